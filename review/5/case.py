"""All of the core is killed as a service was just added; servers of an unordered version start alongside."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2 import TROUBLE, Gateway, Machine, Record, call, main, plan, request  # noqa: E402

TOY = {"Pfx": "/toy/", "Type": "idem", "Svc": "toy"}
SHOP = {"Pfx": "/shop/", "Type": "once", "Svc": "shop"}
OLD, NEW = 3, 4  # machines of shop: v1, and v2 started alongside
PER_S, WATCHED_S = 20, 25.0


async def client(gateway: Gateway, record: Record, name: str, answers: dict[str, int]) -> None:
    """Sends one booking after the other, to each proxy in turn."""
    number = 0
    while True:
        number += 1
        id_ = f"{name}-{number}"
        headers = {"X-Try-Id": id_, "X-Deadline-Ms": 2000, "Connection": "close"}
        front = gateway.fronts[number % len(gateway.fronts)]
        try:
            status, _, _ = await call(
                front, gateway.port["edge"], request("POST", "/shop/x", "toy.example", headers, b"one"), 3.0
            )
        except (OSError, TimeoutError, EOFError, ValueError):
            status = 0
        answers[id_] = status
        record("sent", id_, "to", front, "answer", status)
        await asyncio.sleep(1 / PER_S)


async def case(gateway: Gateway, record: Record) -> bool:
    for ip in (*gateway.cores, *gateway.fronts):
        gateway.start(ip)
    toy = [Machine(gateway, n, "toy") for n in (1, 2)]
    old = [Machine(gateway, 10 + n, "shop", "v1") for n in range(OLD)]
    for machine in (*toy, *old):
        await machine.start()
    await gateway.put(plan(1, [TOY], ["toy"]))
    await gateway.ready(gateway.fronts)
    await asyncio.sleep(10.0)  # as traffic starts 10 s after the machines do
    await gateway.put(plan(2, [TOY, SHOP], ["toy", "shop"]))
    acked_at = time.monotonic()
    if TROUBLE:
        for core in gateway.cores:
            gateway.signal(core, signal.SIGKILL)
        for core in gateway.cores:
            gateway.children[core].wait()
        await asyncio.sleep(0.4)
        for core in gateway.cores:
            gateway.start(core)
    await asyncio.sleep(max(0.0, acked_at + 2.0 - time.monotonic()))
    new = [Machine(gateway, 20 + n, "shop", "v2") for n in range(NEW)]
    for machine in new:
        await machine.start()
    record("machines of v2 are started alongside, no order was given; v1:", [m.iid for m in old])
    answers: dict[str, int] = {}
    task = asyncio.ensure_future(client(gateway, record, "b", answers))
    await asyncio.sleep(WATCHED_S)
    task.cancel()
    state = await gateway.ctl("GET", "/rolls/shop")
    record("operator GET /rolls/shop", state[0], state[2])
    ran = {build: sum(len(m.ran) for m in some) for build, some in (("v1", old), ("v2", new))}
    late = sum(at > acked_at + 15.0 for m in new for at, *_ in m.ran)
    record("requests run:", ran, "at v2 later than 15 s after the configuration:", late)
    record("requests sent:", len(answers))
    return ran["v2"] > 0


if __name__ == "__main__":
    sys.exit(main(HERE, case, cores=3, fronts=2, beat_s=1.5))
