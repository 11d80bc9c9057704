"""One real front, told its place by ROUTER_CONFIG; with words after it, the command `pinward`.

SIGTERM ends the front once it has answered all it took; on SIGHUP it reads its configuration anew.
"""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
import time

from pinward.config import FaultyKeyError, read_branch
from pinward.net.front import Front
from pinward.net.log import Log

COLLECT = (20_000, 20, 20)  # objects and rounds between collections: a txn leaves few, in short cycles


def main() -> int:
    told, teller = socket.socketpair()
    teller.setblocking(False)
    signal.set_wakeup_fd(teller.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: None)  # each comes as a byte, its number, on `told`
    try:
        branch = read_branch()
    except FaultyKeyError as fault:
        print(f"pinward: {fault}", file=sys.stderr)
        return 2
    gc.freeze()
    gc.set_threshold(*COLLECT)
    door = None
    if path := os.environ.get("PINWARD_CELLS"):  # only then: its libraries are not the front's
        from pinward.cells.door import open_door

        try:
            door = open_door(path, time.time())
        except ValueError as fault:
            print(f"pinward: {fault}", file=sys.stderr)
            return 2
    duties = None
    if path := os.environ.get("PINWARD_OWNERS"):  # likewise
        from pinward.owners.watchers import open_duties

        try:
            duties = open_duties(path)
        except ValueError as fault:
            print(f"pinward: {fault}", file=sys.stderr)
            return 2
    Front(branch, Log(branch.name), door, duties).run(told, read_branch)
    return 0


if __name__ == "__main__":
    if len(sys.argv) > 1:  # only then: the front's process loads none of the command's libraries
        from pinward.command import main as command

        sys.exit(command())
    sys.exit(main())
