"""Measures owners at size, in simulated time: takeover, moves against the least, words and processor time."""

from __future__ import annotations

import time
from typing import Any, TextIO

from pinward.owners.simulated import World
from pinward.owners.steward import Terms
from pinward.owners.terms import Duty, Kind, Pace
from standin.installation import spread

PACE = Pace(hold_s=4.0, beat_s=0.5, flight_s=0.5, skew=0.1)
FLAPPING = 0.1  # of the members, that come and go


def measure(sizes: list[tuple[int, ...]], out: TextIO) -> dict[str, Any]:
    """Plays each size once; figures by size, one line each on `out`."""
    found = {}
    for members, parts in sizes:
        figures = play(members, parts)
        found[f"{members}x{parts}"] = figures
        print(f"{members} members, {parts} parts: {figures}", file=out, flush=True)
    return found


def play(members: int, parts: int) -> dict[str, Any]:
    """Members come, one dies, one comes back, a tenth flaps, all are lost and back."""
    terms = Terms((Duty("work", Kind.SPLIT, parts=parts),), PACE, moves_per_s=100.0, warm_s=5.0)
    world = World(members, terms, members)
    world.lead()
    for name in world.actors:
        world.start(name)
    world.run(25.0)
    at_rest = beat(world, 4.0)
    share = parts / members
    granted = world.seen.granted
    world.kill("m0")
    world.run(world.now + 15.0)
    takeovers, moved = list(world.seen.takeovers_s), world.seen.granted - granted
    granted = world.seen.granted
    world.start("m0")
    world.run(world.now + 20.0 + parts / members / 100.0)
    back = world.seen.granted - granted
    granted = world.seen.granted
    some = list(world.actors)[:: round(1 / FLAPPING)]
    for _ in range(5):
        for name in some:
            world.kill(name)
        world.run(world.now + 6.0)
        for name in some:
            world.start(name)
        world.run(world.now + 6.0)
    flapped = world.seen.granted - granted
    for name in world.actors:
        world.kill(name)
        world.start(name)
    world.run(world.now + 12.0)
    owned = sum(len(a.holder.mine(world.local(a))) for a in world.actors.values() if a.holder)
    return {
        "takeover_ms": spread(1000 * s for s in takeovers), "told_ms": round(1000 * PACE.takeover_s(0.0)),
        "moved_when_one_died": moved, "its_share": round(share, 1), "moved_when_it_came_back": back,
        "moved_a_flap": round(flapped / 5, 1), "flapping_own": round(share * len(some), 1),
        "owned_after_all_restarted": owned, **at_rest,
    }  # fmt: skip


def beat(world: World, seconds: float) -> dict[str, Any]:
    """Words and processor time a beat of the leader and all members, where nothing happens."""
    words, leader = world.seen.words, world.leader
    assert leader is not None
    plans = leader.steward.replans
    began = time.process_time()
    world.run(world.now + seconds)
    spent = time.process_time() - began
    beats = seconds / PACE.beat_s
    return {
        "words_a_beat": round((world.seen.words - words) / beats),
        "cpu_ms_a_beat": round(1000 * spent / beats, 2),
        "plans_at_rest": leader.steward.replans - plans,
    }
