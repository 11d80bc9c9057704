"""The loop: lines in on standard input, a reply a batch out on standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from pinward.wirehost.codec import MalformedError, Reader


def run(source: BinaryIO, sink: BinaryIO) -> None:
    reader = Reader()
    for text in source:
        reply = reader.line(text)
        if reply is not None:
            sink.write(reply)
            sink.flush()


def main() -> int:
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedError as fault:
        print(f"pinward: {fault}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
