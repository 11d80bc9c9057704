"""Leadership at size: the same core in simulated time with more instances, and many listeners on loopback."""

from __future__ import annotations

import asyncio
import json
import shutil
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TextIO

from pinward.lead.fence import Fence
from pinward.lead.ledger import Act, Decision
from pinward.lead.simulated import Installation
from pinward.lead.terms import Role
from standin.applier import Applier, Record
from standin.installation import DESK_PORT, spread
from standin.lead_trial import Trial

DECISIONS = 50
KILLS = 100
SETTLE_S = 30.0  # s that all listeners may take to be led


class Memory(Record):
    """A listener that keeps its fence in memory: a thousand disks are not what is measured."""

    def __init__(self) -> None:
        self.fence = Fence()
        self.came: dict[str, float] = {}

    def keep(self, what: str, epoch: int, place: int, **facts: Any) -> None:
        if what == "apply":
            self.came[facts["id"]] = time.monotonic()

    def sync(self) -> None:
        pass


def simulated(size: int, seed: int) -> dict[str, Any]:
    """Times without a leader, over many kills and hand-overs, in waits of the installation's pace."""
    here, words = Installation(size, seed), [0]
    send = here.send

    def counted(*things: Any) -> None:
        words[0] += 1
        send(*things)

    here.send = counted  # type: ignore[method-assign]
    here.run(5.0)
    gaps: dict[str, list[float]] = {"kill": [], "yield": []}
    for n in range(2 * KILLS):
        while (leader := here.leader()) is None:
            here.run(here.now + 0.05)
        kind, began = ("kill", "yield")[n % 2], here.now
        if kind == "kill":
            here.kill(leader.name)
        elif leader.core is not None:
            leader.core.hand_over(here.local(leader))
            here.settle(leader)
        while here.leader() in (None, leader):
            here.run(here.now + 0.001)
        gaps[kind].append(1000 * (here.now - began))
        if kind == "kill":
            here.start(leader.name)
        here.run(here.now + 3.0)
    before, at = words[0], here.now
    here.run(at + 20.0)
    idle = (words[0] - before) / 20.0
    before, taken = words[0], 0
    for n in range(400):
        taken += here.propose(Decision(f"x{n}", Act.DRAIN, node=f"n{n}"))
        here.run(here.now + 0.05)
    each = (words[0] - before - 20.0 * idle) / max(1, taken)
    here.check_end()
    voters = [actor.core.role for actor in here.actors.values() if actor.core]
    assert voters.count(Role.LEADING) == 1
    return {
        "instances": size, "wait_ms": 1000 * here.pace.wait_s, "after_kill_ms": spread(gaps["kill"]),
        "after_yield_ms": spread(gaps["yield"]), "words_per_s_at_rest": round(idle, 1),
        "words_a_decision": round(each, 2),
    }  # fmt: skip


async def listened(listeners: int, size: int) -> dict[str, Any]:
    """Real instances with many listeners: how late each decision is at the last of them."""
    folder = Path(tempfile.mkdtemp(prefix="pinward-scale-"))
    trial = Trial(1, size, 1.0, folder, slot=90)
    records = [Memory() for _ in range(listeners)]
    tasks: list[asyncio.Task[None]] = []
    try:
        await trial.set_up()
        leader = await trial.await_leader()
        desks = [(trial.own(name), DESK_PORT) for name in trial.names]
        tasks = [asyncio.ensure_future(Applier(record).follow(desks)) for record in records]
        end = time.monotonic() + SETTLE_S
        while time.monotonic() < end and not all(record.fence.epoch for record in records):
            await asyncio.sleep(0.05)
        led = sum(bool(record.fence.epoch) for record in records)
        last: list[float] = []
        answered: list[float] = []
        for n in range(DECISIONS):
            began, name = time.monotonic(), f"scale-{n}"
            await trial.ask(leader or "", do="decide", id=name, act="drain", node=name)
            answered.append(1000 * (time.monotonic() - began))
            while not all(name in record.came for record in records) and time.monotonic() < began + 10.0:
                await asyncio.sleep(0.005)
            last.append(1000 * (max(record.came.get(name, began + 10.0) for record in records) - began))
        return {
            "instances": size, "listeners": listeners, "led": led, "decisions": DECISIONS,
            "answered_ms": spread(answered), "at_the_last_listener_ms": spread(last),
            "memory_kib": max(trial.processes[name].memory_kib() for name in trial.names),
        }  # fmt: skip
    finally:
        for task in tasks:
            task.cancel()
        await trial.close()
        shutil.rmtree(folder, ignore_errors=True)


def measure(sizes: Iterable[int], listeners: int, out: TextIO) -> dict[str, Any]:
    """Both measurements; each line is printed as it comes."""
    found: dict[str, Any] = {"simulated": []}
    for size in sizes:
        found["simulated"].append(simulated(size, seed=size))
        print(json.dumps(found["simulated"][-1]), file=out, flush=True)
    if listeners:
        found["listeners"] = asyncio.run(listened(listeners, 3))
        print(json.dumps(found["listeners"]), file=out, flush=True)
    return found
