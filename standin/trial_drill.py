"""Roll-outs by the hundred in simulated time: sound builds and each sort of bad one, beside troubles.

`measure` plays them on all processors and returns counts, beside two baselines in the same run: a fixed share
in place of the loop, and votes alone in place of the tally's sums.
"""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from random import Random
from typing import Any
from unittest import mock

import logbook

from pinward.policy.loop import Loop
from pinward.trial.arms import Arms
from pinward.trial.tally import Tally
from standin.day_records import broken, exposed, sends
from standin.exchange_day import Class, Day, Shape
from standin.virtual import played
from standin.works import BAD, PREFIX, Bad, Kind

SORTS = ("good", *BAD)
BESIDE = ("nothing", "crash", "takeover")
SIDES = ("as it is", "fixed share", "votes alone")
TERM_S = 12.0  # s that an order has
SERVICE, MAIN, RARE = "lists", "main", "rare"
TERMS = {"RetryExtra": 60, "CanaryFrac": 0.1, "CanaryExtra": 50, "Undo": "5s", "Drain": "2s"}


def shape() -> Shape:
    """One service on two routes, one with a sixth of the traffic; twelve fronts."""
    kinds = (Kind(SERVICE, 10, work_s=0.062, spread=0.5),)
    classes = (Class(MAIN, SERVICE, 300.0, 0.25, 0.6), Class(RARE, SERVICE, 60.0, 0.25, 0.6))
    return Shape(kinds, classes, zones=4, fronts=12, terms=TERMS)


def badness(sort: str, chance: Random) -> Bad | None:
    """A build of that sort, drawn: 20 to 60% errors or 2 to 8 times slower."""
    share, times = chance.uniform(0.2, 0.6), chance.uniform(2.5, 8.0)
    harm: dict[str, Any] = {"share": share} if chance.random() < 0.5 else {"times": times}
    match sort:
        case "errors":
            return Bad(share=share)
        case "slow":
            return Bad(times=times)
        case "late":
            return Bad(**harm, after_s=chance.uniform(0.15, 0.5) * TERM_S)
        case "under_load":
            return Bad(**harm, over=chance.uniform(0.2, 0.6))
        case "one_route":
            return Bad(**harm, path=PREFIX.format(RARE))
    return None


@contextmanager
def side(name: str) -> Iterator[None]:
    """The gateway as it is, or a baseline in place of a part of it."""

    def fixed(self: Loop, error: float, cap: float) -> float:
        self.share, self.error = cap, error
        return cap

    def unsummed(self: Tally, service: str) -> dict[str, Arms]:
        return {MAIN: Arms(new=10**6, old=10**6)}

    if name == "fixed share":
        with mock.patch.object(Loop, "step", fixed):
            yield
    elif name == "votes alone":
        with mock.patch.object(Tally, "sums", unsummed):
            yield
    else:
        yield


async def one(sort: str, beside: str, seed: int) -> dict[str, Any]:
    chance = Random(f"trial.{seed}.{sort}.{beside}")
    bad = badness(sort, chance)
    day, phase = Day(shape(), seed), ""

    async def troubles(day: Day) -> None:
        nonlocal phase
        roll = day.spawn(day.roll(SERVICE, TERM_S, bad))
        await day_sleep(chance.uniform(1.5, 0.6 * TERM_S))
        if beside == "crash":
            for build in ("v1", "v2"):
                for machine in day.of(SERVICE, build)[:1]:
                    day.crash(machine, 4.0, silent=chance.random() < 0.5)
        elif beside == "takeover":
            lead = day.primary()
            if lead is not None:
                day.kill(lead, 3.0)
        phase = await roll

    await day.play(TERM_S + 2.0, troubles, lead_s=3.0)
    all_, new, failed = sends(day, SERVICE)
    after = next((f["after_s"] for _, what, f in day.events if what == "rolled"), 0.0)
    stop_s = max(0.0, new[-1] - failed[49]) if len(failed) >= 50 and new else 0.0
    return {
        "phase": phase, "after_s": after, "sent": len(new), "all": len(all_), "stop_s": stop_s,
        "over": len(exposed(day)) if phase != "done" else 0, "broken": broken(day),
    }  # fmt: skip


async def day_sleep(seconds: float) -> None:
    import asyncio

    await asyncio.sleep(seconds)


def played_one(task: tuple[str, str, str, int]) -> tuple[tuple[str, str, str, int], dict[str, Any]]:
    with logbook.NullHandler().applicationbound(), side(task[0]):
        return task, played(one(*task[1:]))


def measure(
    seeds: int, first: int = 0, sides: tuple[str, ...] = SIDES, jobs: int = 4
) -> list[dict[str, Any]]:  # fmt: skip
    """Rows by side, sort and trouble: how many were wrong, sends, and the time to stop."""
    tasks = [
        (name, sort, beside, first + n)
        for name in sides for sort in SORTS for beside in BESIDE for n in range(seeds)
    ]  # fmt: skip
    told: dict[tuple[str, str, str], list[dict[str, Any]]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        for task, result in pool.map(played_one, tasks, chunksize=2):
            told.setdefault(task[:3], []).append(result)
    rows = []
    for (name, sort, beside), some in told.items():
        wanted = "done" if sort == "good" else "undone"
        ends = sorted(r["after_s"] for r in some)
        rows.append(
            {
                "side": name, "build": sort, "beside": beside, "orders": len(some),
                "wrong": sum(r["phase"] == ("undone" if sort == "good" else "done") for r in some),
                "late": sum(r["phase"] == "serving" for r in some),
                "right": sum(r["phase"] == wanted for r in some),
                "median_s": round(ends[len(ends) // 2], 2),
                "sent_most": max(r["sent"] for r in some),
                "stop_most_s": round(max(r["stop_s"] for r in some), 2),
                "over": sum(bool(r["over"]) for r in some),
                "broken": sum(any(not w.startswith("EXPOSURE") for w in r["broken"]) for r in some),
            }  # fmt: skip
        )
    return rows
