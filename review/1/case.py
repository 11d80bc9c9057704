from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig import APPLY_S, HOST, LIVE_S, Machine, Relay, Rig, main, plan  # noqa: E402

FRONTS, CUT = 12, 2  # proxies, and those that are cut off for a while: 0.167 of them
CUT_S = 5.5
DOWN_S = (0.3, 0.25, 0.2, 0.3, 0.25, 0.2)  # until the killed exchange is started again, in each round
ROUNDS = len(DOWN_S)
LATER_S = 10.0  # s after which it is asked once more, where it was broken
SLACK_S = 0.6  # on top of Live and of Apply
SERVICES = ("blue", "green")  # the route moves from one to the other with each configuration


def moved(version: int) -> dict[str, Any]:
    """The route /job/ goes to one service in odd versions, to the other in even ones."""
    sheet = plan(version, (*SERVICES, *(f"deck{n}" for n in range(ROUNDS))))
    route = {
        "Name": "r-job", "Pfx": "/job/", "Type": "once", "Tmo": "2000ms", "Goal": "500ms", "Prio": 1,
        "Svc": SERVICES[version % 2], "Tries": 2,
    }  # fmt: skip
    assert sheet["Hosts"][0]["Vhost"] == HOST
    sheet["Hosts"][0]["Vroutes"].append(route)
    return sheet


async def old_runs(
    rig: Rig, by_service: dict[str, list[Machine]], version: int, acknowledged: float
) -> int:  # fmt: skip
    """How many requests of this moment are run as only an older configuration says."""
    before = {name: sum(len(m.runs) for m in some) for name, some in by_service.items()}
    _, read = await rig.ctl("GET", "/cfg")
    ago = rig.record.now() - acknowledged
    for _ in range(10):
        await asyncio.gather(*(rig.send(ip, "/job/a", "POST", body=b"x") for ip in rig.fronts))
    ran = {name: sum(len(m.runs) for m in some) - before[name] for name, some in by_service.items()}
    new, old = SERVICES[version % 2], SERVICES[(version - 1) % 2]
    rig.record(
        f"version {json.loads(read)['Ver']} is read back, acknowledged {ago:.1f} s ago: of 120 requests "
        f"{ran[new]} are run by {new}, as it says, and {ran[old]} by {old}, as only an older one says"
    )
    return ran[old]


async def case(rig: Rig, trouble: bool) -> bool:
    relay = Relay(rig, rig.free_ports(1)[0])
    away = rig.fronts[:CUT]
    rig.inner_of = dict.fromkeys(away, relay.port)
    for ip in rig.cores:
        await rig.start(ip)
    await relay.start()
    for ip in rig.fronts:
        await rig.start(ip)
    by_service = {name: await rig.add(name, 2) for name in SERVICES}
    for n in range(ROUNDS):
        await rig.add(f"deck{n}", 1)
    version = 1

    async def taken() -> bool:
        return (await rig.operate("PUT", "/cfg", moved(version)))[0] == 200

    await rig.until("the configuration is taken", taken)
    rig.first = False
    await rig.until("proxies are ready", rig.all_up)
    await asyncio.sleep(4.0)
    for n in range(ROUNDS):
        if trouble:
            relay.cut()
            rig.record("cut off from all exchanges:", *(rig.name(ip) for ip in away))
        joins_at = rig.record.now() + CUT_S
        await asyncio.sleep(0.5)
        version += 1
        if not await taken():
            raise TimeoutError("a configuration was not acknowledged")
        acknowledged = rig.record.now()
        await asyncio.sleep(1.0)
        back = None
        if trouble:
            back = asyncio.ensure_future(rig.killed_and_back([rig.copy()], DOWN_S[n]))
            await asyncio.sleep(0.03)
        order = {"Svc": f"deck{n}", "Target": "v2", "Over": "12s"}
        status, _ = await rig.operate("POST", "/rolls", order)
        if back is not None:
            await back
        await asyncio.sleep(max(0.0, joins_at - rig.record.now()))
        relay.join()
        rig.record("all is joined again; the order's acknowledgement was", status)
        await asyncio.sleep(LIVE_S + SLACK_S)
        await asyncio.sleep(max(0.0, acknowledged + APPLY_S + SLACK_S - rig.record.now()))
        if await old_runs(rig, by_service, version, acknowledged):
            await asyncio.sleep(LATER_S)
            await old_runs(rig, by_service, version, acknowledged)
            return True
    return False


if __name__ == "__main__":
    sys.exit(main(__file__, case, fronts=FRONTS))
