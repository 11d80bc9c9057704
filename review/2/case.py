from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig import DRAIN_S, LIVE_S, Rig, main, plan  # noqa: E402

FRONTS = 6  # with three exchanges nine processes; four are killed at once, 0.44 of them
DOWN_S = 0.5
SERVES_ON_S = 12.0  # for which the machine that leaves serves on after its acknowledgement
SLACK_S = 0.5  # on top of Live: nothing near the bound is counted


async def case(rig: Rig, trouble: bool) -> bool:
    for ip in (*rig.cores, *rig.fronts):
        await rig.start(ip)
    some = await rig.add("toy", 4, work_s=0.1)
    await rig.until("the configuration is taken", lambda: taken(rig))
    rig.first = False
    await rig.until("proxies are ready", rig.all_up)
    await asyncio.sleep(5.0)
    # One step of a release: the new machine starts first, then the old one leaves.
    await rig.add("toy", 1, work_s=0.1)
    await asyncio.sleep(0.6)
    leaver = some[0]
    acknowledged = await leaver.says_gone()
    if acknowledged is None:
        raise TimeoutError("its leaving was not acknowledged")
    await asyncio.sleep(0.2)
    front = rig.fronts[0]
    if trouble:
        await rig.killed_and_back([*rig.cores, front], DOWN_S)
    back = rig.record.now()
    await rig.until("the proxy is ready", lambda: rig.up(front))
    counts_from = max(acknowledged + DRAIN_S, back + LIVE_S + SLACK_S)
    sent: list[asyncio.Task[int]] = []
    while rig.record.now() < acknowledged + SERVES_ON_S:
        verb, path = ("GET", "/toy/a") if len(sent) % 2 else ("POST", "/toy-book/a")
        sent.append(asyncio.ensure_future(rig.send(front, path, verb, body=b"x" if verb == "POST" else b"")))
        await asyncio.sleep(0.015)
    await leaver.end()
    statuses = await asyncio.gather(*sent)
    late = [(at, id_) for at, id_ in leaver.reached if at > counts_from]
    rig.record(f"acknowledged as gone at {acknowledged:.3f}, counted from {counts_from:.3f}")
    rig.record(f"requests that reached {leaver.iid} after that:", len(late), late[:1], late[-1:])
    rig.record("answers by status:", {s: statuses.count(s) for s in sorted(set(statuses))})
    return bool(late)


async def taken(rig: Rig) -> bool:
    return (await rig.operate("PUT", "/cfg", plan(1)))[0] == 200


if __name__ == "__main__":
    sys.exit(main(__file__, case, fronts=FRONTS))
