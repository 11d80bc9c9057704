"""Goodput and tails of the choice of machine beside plain baselines, in one run, by load and by trouble."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from itertools import count
from typing import Any
from unittest import mock

import logbook

from pinward.switchboard.lines import Lines, Machine
from standin.day_records import broken, worth
from standin.exchange_day import Day, small
from standin.virtual import played

SIDES = ("as it is", "nothing beside", "random", "round robin", "least in flight")
LOADS = (0.55, 1.0, 2.0, 3.0)  # of what the machines can do
FULL = 1.8  # times the day's own load that fills them
TERMS = {"RetryExtra": 50, "CanaryExtra": 50}
LENGTH_S = 5.0


async def nothing(day: Day) -> None:
    pass


async def crash(day: Day) -> None:
    """Two machines of each service are gone with their power for good."""
    await asyncio.sleep(1.0)
    for service in ("reads", "books"):
        for machine in day.of(service)[:2]:
            day.crash(machine, None, silent=True)


async def slow(day: Day) -> None:
    """A quarter of the machines are four times slower."""
    for service in ("reads", "books"):
        for machine in day.of(service)[:2]:
            machine.slower = 4.0


async def lossy(day: Day) -> None:
    for service in ("reads", "books"):
        for machine in day.of(service)[:3]:
            machine.lost = machine.spoilt = 0.03


async def drain(day: Day) -> None:
    await asyncio.gather(*(day.leave(day.of(service)[0]) for service in ("reads", "books")))


TROUBLES: dict[str, Callable[[Day], Awaitable[None]]] = {
    "none": nothing, "machines gone": crash, "machines slow": slow, "answers lost": lossy, "a drain": drain,
}  # fmt: skip


def able(lines: Lines, name: str, tried: list[Machine]) -> list[Machine]:
    service = lines.services.get(name)
    return [m for m in service.base if m not in tried] if service is not None else []


@contextmanager
def side(name: str) -> Iterator[None]:
    """The gateway as it is, or with a plain choice of machine that leaves none out and refuses nothing."""
    turn = count()

    def randomly(self: Lines, now: float, service: str, tried: list[Machine], *_: Any) -> Machine | None:
        some = able(self, service, tried)
        return self.chance.choice(some) if some else None

    def in_turn(self: Lines, now: float, service: str, tried: list[Machine], *_: Any) -> Machine | None:
        some = able(self, service, tried)
        return some[next(turn) % len(some)] if some else None

    def least(self: Lines, now: float, service: str, tried: list[Machine], *_: Any) -> Machine | None:
        some = able(self, service, tried)
        return min(some, key=lambda m: (m.open, self.chance.random()), default=None)

    picks = {"random": randomly, "round robin": in_turn, "least in flight": least}
    with ExitStack() as all_:
        if name != "as it is":
            all_.enter_context(mock.patch("pinward.switchboard.call.BESIDE", 1e9))
        if name in picks:
            all_.enter_context(mock.patch.object(Lines, "pick", picks[name]))
            all_.enter_context(mock.patch("pinward.switchboard.call.ADMIT", 1e9))
            all_.enter_context(mock.patch("pinward.switchboard.call.ADMIT_LEAST", 1e9))
        yield


def one(task: tuple[str, str, float, int]) -> tuple[tuple[str, str, float, int], dict[str, float], int]:
    name, trouble, load, seed = task

    async def whole() -> Day:
        day = Day(small(load * FULL, terms=TERMS), seed)
        await day.play(LENGTH_S, TROUBLES[trouble])
        return day

    with logbook.NullHandler().applicationbound(), side(name):
        day = played(whole())
        return task, worth(day), len(broken(day))


def measure(
    seeds: int, first: int = 0, jobs: int = 4, loads: tuple[float, ...] = LOADS
) -> list[dict[str, Any]]:  # fmt: skip
    """Rows by load, then by trouble at the lightest load, for each side."""
    shapes = [("none", load) for load in loads] + [(t, loads[0]) for t in TROUBLES if t != "none"]
    tasks = [(name, *shape, first + n) for shape in shapes for name in SIDES for n in range(seeds)]
    told: dict[tuple[str, str, float], list[tuple[dict[str, float], int]]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        for task, figures, faults in pool.map(one, tasks):
            told.setdefault(task[:3], []).append((figures, faults))
    rows = []
    for (name, trouble, load), some in told.items():
        mean = {key: sum(f[key] for f, _ in some) / len(some) for key in some[0][0]}
        goodput = mean["within_aim"] * mean["asked"] / LENGTH_S
        rows.append(
            {
                "load": load, "trouble": trouble, "side": name, "goodput_per_s": round(goodput),
                "within_aim": round(mean["within_aim"], 4), "served": round(mean["served"], 4),
                "refused": round(mean["refused"], 4), "p50_s": round(mean["p50_s"], 3),
                "p99_s": round(mean["p99_s"], 3), "arrivals": round(mean["arrivals"], 3),
                "away_kb": round(mean["away_kb"], 3), "broken": sum(faults for _, faults in some),
            }  # fmt: skip
        )
    return rows
