"""The program of a control front, told its place by PINWARD_BOOT. SIGTERM ends it in order."""

from __future__ import annotations

from pinward.common import startup as startup  # first: until then SIGHUP would end the process
from pinward.trunk import lean as lean  # before all that would load OpenSSL

import asyncio
import signal
import sys
import time

from pinward.annunciator import ring, start
from pinward.exchange.host import Exchange
from pinward.exchange.storage import open_state
from pinward.plan.boot import Boot, read_boot


async def serve(boot: Boot) -> None:
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    vault, kept = open_state(boot)
    exchange = Exchange(boot, vault, kept, time.monotonic())
    loop.add_signal_handler(signal.SIGHUP, exchange.reread, True)
    await exchange.run(stop)
    ring(102)


def main() -> int:
    boot = read_boot()
    if boot.is_err():
        print(f"pinward exchange: {boot.unwrap_err()}", file=sys.stderr)
        return 2
    start(boot.unwrap().name)
    asyncio.run(serve(boot.unwrap()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
