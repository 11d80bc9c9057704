"""A zone is lost, as `Survive` allows, right after a configuration was acknowledged."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2 import TROUBLE, Gateway, Record, main, plan  # noqa: E402

ROUTES = [{"Pfx": "/read/", "Type": "idem", "Svc": "toy"}]
DOWN_S = 1.5  # s that a zone is away
SYNC_S = 4.0  # `Sync`: so long after its return it still counts as lost
LIVE_S = 3.0  # `Live`: the operator reads back for this long at least
READ_S = 12.0  # s that the operator goes on asking here


async def read_back(gateway: Gateway, record: Record) -> int:
    """The newest version that reads answer, at each control server for `READ_S`; 0 where none does."""
    until, newest = time.monotonic() + READ_S, 0
    while time.monotonic() < until:
        for core in gateway.cores:
            status, _, body = await gateway.at(core, "GET", "/cfg")
            version = int(json.loads(body)["Ver"], 16) if status == 200 else 0
            record("operator GET /cfg at", core, status, f"{version:08x}" if version else body[:80])
            newest = max(newest, version)
        if newest:
            return newest
        await asyncio.sleep(0.5)
    return newest


async def case(gateway: Gateway, record: Record) -> bool:
    gateway.survive = {"Nodes": 0, "Azs": 1, "RegsLost": 0}
    gateway.zones = {core: f"zone-{n}" for n, core in enumerate(gateway.cores, 1)}
    gateway.zones |= {front: f"zone-{n}" for n, front in enumerate(gateway.fronts, 1)}
    for ip in (*gateway.cores, *gateway.fronts):
        gateway.start(ip)
    await asyncio.sleep(8.0)  # all is calm for longer than `Sync`
    for acked, core in enumerate(gateway.cores, 1):
        await gateway.put(plan(acked, ROUTES, ["toy"]))
        if TROUBLE:
            gateway.wipe(core)
            await asyncio.sleep(DOWN_S)
            gateway.start(core)
        newest = await read_back(gateway, record)
        if newest < acked:
            record(f"acknowledged {acked:08x}, read back {newest:08x}")
            return True
        await asyncio.sleep(SYNC_S + 2.0)
    return False


if __name__ == "__main__":
    sys.exit(main(HERE, case, cores=3, fronts=1))
