"""The program of a front that carries traffic, told its place by PINWARD_BOOT. SIGTERM ends it in order."""

from __future__ import annotations

from pinward.common import startup as startup  # first: until then SIGHUP would end the process
from pinward.trunk import lean as lean  # before all that would load OpenSSL

import asyncio
import gc
import signal
import sys

from pinward.annunciator import ring, start
from pinward.plan.boot import Boot, read_boot
from pinward.switchboard.host import Switchboard


async def serve(boot: Boot) -> None:
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    board = Switchboard(boot)
    loop.add_signal_handler(signal.SIGHUP, board.reread, True)
    await board.run(stop)
    ring(102)


def main() -> int:
    boot = read_boot()
    if boot.is_err():
        print(f"pinward switchboard: {boot.unwrap_err()}", file=sys.stderr)
        return 2
    start(boot.unwrap().name)
    gc.freeze()
    asyncio.run(serve(boot.unwrap()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
