"""One JSON line an event on standard output, never waiting for its reader; and what must hold."""

from __future__ import annotations

import os
import select
import sys
import time
from collections import deque

import orjson

LINES_MOST = 4096  # lines that wait for the reader; more are dropped and counted
PIPE = select.PIPE_BUF  # bytes that a pipe which is ready takes without blocking

broken: dict[str, int] = {}  # by what should have held, how often it did not


def hold(fact: object, what: str) -> None:
    """What must hold: asserted in debug builds, counted in release builds (`python -O`)."""
    if __debug__:
        assert fact, what
    elif not fact:
        broken[what] = broken.get(what, 0) + 1


class Log:
    def __init__(self, name: str, fd: int = 1) -> None:
        self.name, self.fd = name, fd
        self.lines: deque[bytes] = deque()
        self.rest = b""
        self.dropped = 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def say(self, event: str, **facts: object) -> None:
        if len(self.lines) >= LINES_MOST:
            self.dropped += 1
            return
        line = {"at": round(time.time(), 6), "front": self.name, "event": event, **facts}
        self.lines.append(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def flush(self, wait_ms: int = 0) -> None:
        """Writes lines as long as the reader takes them."""
        while (self.rest or self.lines) and self.poll.poll(wait_ms):
            if not self.rest:
                self.rest = self.lines.popleft()
            try:
                self.rest = self.rest[os.write(self.fd, self.rest[:PIPE]) :]
            except OSError:  # nobody reads: the front serves on
                self.lines.clear()
                self.rest = b""


def plain(text: str) -> None:
    """A line for a person at the terminal, before there is a log."""
    print(text, file=sys.stderr)
