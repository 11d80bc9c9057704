"""Losses of core machines by the hundred in simulated time, and what news costs by number of fronts.

`losses` gives, for each sort of loss, how long nobody led and how long until there were enough copies again;
`writes` how long an acknowledgement takes; `news` the bytes that an exchange tells its fronts. Figures are
median, 99th of a hundred, and worst.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import logbook

from pinward.exchange.view import BEAT_S, LEASE_S, PATIENCE_S, PRE_VOTE_S, ROUND_S, SPREAD_S
from standin.exchange_day import Class, Day, Shape
from standin.exchange_world import SYNC_S, TICK_S, World
from standin.virtual import played
from standin.works import Kind

STEP_S = 0.01  # s between looks
GIVEN_UP_S = 20.0  # s after which a loss counts as never made good
# What a takeover may last: a lease that runs out, patience, two rounds lost, a round for each of three steps.
BOUND_S = LEASE_S + PATIENCE_S + SPREAD_S + 2 * PRE_VOTE_S + 3 * ROUND_S + BEAT_S + 2 * TICK_S


def kill(world: World, lead: str) -> None:
    world.kill(lead, 4.0)


def power(world: World, lead: str) -> None:
    for name in world.names:
        world.kill(name, 0.5 + 0.5 * world.chance.random())


def wipe(world: World, lead: str) -> None:
    world.kill(lead, 1.0, wipe=True)


def cut(world: World, lead: str) -> None:
    world.cut({lead}, 4.0)


def one_way(world: World, lead: str) -> None:
    world.cut({lead}, 4.0, one_way=True)


def hang(world: World, lead: str) -> None:
    world.slow(lead, 4000.0, 5.0)
    world.put(lead)


def freeze(world: World, lead: str) -> None:
    world.freeze(lead, 4.0)


def two(world: World, lead: str) -> None:
    """As many as may be lost, the primary among them."""
    others = [name for name in world.names if name != lead]
    for name in (lead, *others[: world.lost_most - 1]):
        world.kill(name, 4.0)


LOSSES: dict[str, Callable[[World, str], None]] = {
    "primary killed": kill, "all lose power": power, "primary's disk lost": wipe, "primary cut off": cut,
    "cut one way": one_way, "primary's disk hangs": hang, "primary frozen": freeze, "as many as allowed": two,
}  # fmt: skip


def spread(values: list[float]) -> dict[str, float]:
    some = sorted(values)
    if not some:
        return {"median": 0.0, "p99": 0.0, "worst": 0.0}
    at = min(len(some) - 1, int(0.99 * len(some)))
    return {"median": round(some[len(some) // 2], 3), "p99": round(some[at], 3), "worst": round(some[-1], 3)}


def copies(world: World) -> int:
    """Copies of the state on disks of machines that run, as the one that leads has named them."""
    lead = world.primary()
    keeper = world.boxes[lead].keeper if lead is not None else None
    if keeper is None:
        return 0
    return sum(world.boxes[name].keeper is not None for name in keeper.view.copies)


def loss(what: Callable[[World, str], None], seed: int, size: int) -> tuple[float, float, list[str]]:
    """One loss: seconds without a primary, seconds until there are enough copies, and what broke."""
    world = World(seed, size, size // 2)
    world.settles(4.0)
    world.whole(4.0)  # five machines begin with the three that the settings name
    world.operate(0.05)
    world.until(world.now + 0.3 + world.chance.random())
    lead, began = world.primary(), world.now
    if lead is None:
        return GIVEN_UP_S, GIVEN_UP_S, ["nobody led to begin with"]
    what(world, lead)
    without, whole, led = 0.0, 0.0, world.primary() is not None
    while world.now < began + GIVEN_UP_S and (not whole or world.now < began + 6.0):
        world.until(world.now + STEP_S)
        leads = world.primary() is not None
        without += 0.0 if leads else STEP_S
        if leads and not led:
            whole = 0.0
        led = leads
        enough = copies(world) > world.lost_most and world.now > began + STEP_S
        whole = (whole or world.now - began) if enough else 0.0
    return without, whole or GIVEN_UP_S, world.broken


def losses(seeds: int, first: int = 0, size: int = 3) -> list[dict[str, Any]]:
    rows = []
    for name, what in LOSSES.items():
        some = [loss(what, first + n, size) for n in range(seeds)]
        rows.append(
            {
                "loss": name, "machines": size, "times": len(some),
                "without_s": spread([s[0] for s in some]), "copies_s": spread([s[1] for s in some]),
                "over": sum(s[0] > BOUND_S for s in some), "broken": sum(bool(s[2]) for s in some),
            }  # fmt: skip
        )
    return rows


def writes(seeds: int, first: int = 0, size: int = 3) -> dict[str, float]:
    """Seconds from a put to its acknowledgement, with sound disks."""
    took = []
    for seed in range(first, first + seeds):
        world = World(seed, size, size // 2)
        world.settles(4.0)
        world.whole(4.0)
        lead = world.primary()
        if lead is None:
            continue
        world.until(world.now + world.chance.random())
        began = world.now
        if world.put(lead):
            version = world.version
            while world.acked < version and world.now < began + 1.0:
                world.until(world.now + 0.0002)
            took.append(world.now - began)
    return {**spread(took), "sync_most": SYNC_S[1]}


def news(fronts: int, machines: int, routes: int, seed: int = 1) -> dict[str, Any]:
    """Bytes that the exchanges tell one front: at rest a second, for a drain, for a new configuration."""

    async def whole() -> dict[str, float]:
        kinds = (Kind("s", machines),)
        day = Day(Shape(kinds, (Class("c", "s", 0.001, 0.5, 1.0),), fronts=fronts, zones=4), seed)
        marks: list[float] = []

        def told() -> float:
            return sum(day.net.told_bytes.get(ip, 0) for ip in day.core_ips) / fronts

        async def troubles(day: Day) -> None:
            await asyncio.sleep(2.0)
            marks.append(told())
            await asyncio.sleep(4.0)
            marks.append(told())
            await day.leave(day.of("s")[0])
            marks.append(told())
            await day.order("PUT", "/cfg", day.plan(2, extra=routes))
            await asyncio.sleep(1.0)
            marks.append(told())

        await day.play(12.0, troubles)
        rest = (marks[1] - marks[0]) / 4.0
        late = sum(host[1].known.plan.version != 2 for ip, host in day.hosts.items() if ip in day.front_ips)
        return {
            "rest_bytes_s": round(rest), "drain_bytes": round(marks[2] - marks[1]),
            "plan_bytes": round(marks[3] - marks[2]), "fronts_without_plan": late,
        }  # fmt: skip

    with logbook.NullHandler().applicationbound():
        return {"fronts": fronts, "machines": machines, "routes": routes, **played(whole())}
