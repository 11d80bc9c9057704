"""Runs the command with files that cannot grow beyond a size, as on a full disk: SIZE WORDS..."""

from __future__ import annotations

import resource
import signal
import sys

from pinward.command import main

if __name__ == "__main__":
    size = int(sys.argv.pop(1))
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, size))
    sys.exit(main())
