"""Explores the core: every order of words, lost saves, restarts, broken connections and ticks, within bounds.

The bounds are few instances, steps of time, ticks, restarts and decisions; within them every reachable state
is visited once. Errors can be planted, to see that they would be found. States in which more leads or stands
come first: what breaks is found early, and what is whole is seen whole all the same.
"""

from __future__ import annotations

from collections import deque
from copy import copy
from dataclasses import dataclass, field, replace
from math import inf
from typing import Any

from pinward.explorer import Explorer
from pinward.lead.core import Core
from pinward.lead.fence import Answer, Fence
from pinward.lead.terms import Base, Entry, Kept, Members, Pace, Role, Save, Sort

PACE = Pace(wait_s=2.0, beat_s=1.0, skew=0.0)  # one step of time is 1: a beat
PLANTS = ("none", "fence", "lease", "vote")
RANKS = {Role.CANVASSING: 1, Role.STANDING: 2, Role.LEADING: 3}  # how near to leading


class ModelCore(Core):
    """The core without chance: when to stand is one of the orders explored."""

    def patience(self) -> float:
        return self.pace.wait_s


class LateLease(ModelCore):
    """Planted: the lease counts from the answer."""

    def lease_from(self, asked: float, answered: float) -> float:
        return answered + self.pace.lease_s


@dataclass
class Bounds:
    """How often each may happen on one way."""

    steps_of_time: int = 3
    restarts: int = 1
    decisions: int = 1
    acts: int = 1
    losses: int = 1  # connections that break, with all that is on its way
    ticks: int = 3  # of all instances together


@dataclass
class World:
    """One state: cores, disks, words on their way, the one that applies, and what bounds leave."""

    names: tuple[str, ...]
    cores: dict[str, Core]
    disks: dict[str, Kept]
    left: Bounds
    now: float = 0.0
    ways: dict[tuple[str, str], tuple[Any, ...]] = field(default_factory=dict)
    acting: tuple[tuple[str, int, int], ...] = ()  # told to the one that applies, not there yet
    fence: Fence = field(default_factory=Fence)
    applied: tuple[tuple[int, int], ...] = ()  # epoch, place
    leaders: dict[int, str] = field(default_factory=dict)
    committed: dict[int, Entry] = field(default_factory=dict)

    def copy(self) -> World:
        disks = {name: disk.copy() for name, disk in self.disks.items()}
        cores = {name: copied(core) for name, core in self.cores.items()}
        return World(
            self.names, cores, disks, replace(self.left), self.now, dict(self.ways), self.acting,
            replace(self.fence), self.applied, dict(self.leaders), dict(self.committed),
        )  # fmt: skip


def copied(core: Core) -> Core:
    """A core that goes its own way from here; pickling would do, ten times slower."""
    fresh = object.__new__(type(core))
    fresh.__dict__ = {
        name: value.copy() if isinstance(value, list | set | deque) else value
        for name, value in core.__dict__.items()
    }
    fresh.peers = {name: copy(peer) for name, peer in core.peers.items()}
    return fresh


class Model(Explorer[World]):
    def __init__(self, instances: int, bounds: Bounds, plant: str = "none") -> None:
        self.names = tuple(f"i{n}" for n in range(instances))
        self.bounds, self.plant = bounds, plant
        self.kind = LateLease if plant == "lease" else ModelCore

    # States.

    def first(self, led: bool) -> World:
        """A state to begin from: all just started, or with a leader that all know."""
        where = tuple((name, "127.0.0.1:1") for name in self.names)
        base = Base(0, 0, Members(frozenset(self.names), frozenset(), where), None)
        disks = {name: Kept(0, None, base, []) for name in self.names}
        world = World(self.names, {}, disks, Bounds(**vars(self.bounds)))
        for name in self.names:
            self.start(world, name)
        world.now = PACE.wait_s
        if led:
            self.do(world, self.names[0], lambda core: core.tick(world.now))
            self.flush(world)
            self.do(world, self.names[0], lambda core: core.tick(world.now))
            self.flush(world)
        return world

    def flush(self, world: World) -> None:
        while any(world.ways.values()):
            for way in list(world.ways):
                if world.ways[way]:
                    self.deliver(world, way)

    def start(self, world: World, name: str) -> None:
        world.cores[name] = self.kind(name, world.disks[name].copy(), PACE, 0, world.now)

    def frozen(self, world: World) -> int:
        """All that matters of a state; times count from now, and what is long over is all the same."""
        now = world.now

        def since(at: float) -> float:
            return at if abs(at) == inf else max(at - now, -PACE.wait_s)

        cores = [
            (
                c.role, c.epoch, c.vote, c.leader, since(c.heard), since(c.stand_at), since(c.beat_at),
                max(0.0, since(c.lease_until)), since(c.yield_by), c.committed, c.durable, c.first,
                tuple((e.epoch, e.sort) for e in c.entries), tuple(sorted(c.granted)),
                tuple(sorted(c.doubted)),
                tuple((n, p.following, p.match, p.round, since(p.answered), since(p.sent))
                      for n, p in sorted(c.peers.items())) if c.role is Role.LEADING else (),
                tuple((r, since(at)) for r, at in c.asked), c.round,
            )
            for c in (world.cores[name] for name in self.names)
        ]  # fmt: skip
        disks = [(d.epoch, d.vote, len(d.entries)) for d in (world.disks[name] for name in self.names)]
        ways = sorted((way, words) for way, words in world.ways.items() if words)
        fence = world.fence.epoch, world.fence.place
        left = tuple(vars(world.left).values())
        rest = left, world.acting, fence, world.applied, tuple(sorted(world.leaders.items()))
        return hash((tuple(cores), tuple(disks), tuple(ways), rest))

    # Steps.

    def do(self, world: World, name: str, what: Any, loses: bool = False) -> None:
        """One call of a core, with its saves done before anything else, or lost with a restart."""
        core = world.cores[name]
        before = core.epoch, core.committed
        what(core)
        if core.epoch < before[0] or core.committed < before[1]:
            self.broken = f"{name} falls from {before} to {(core.epoch, core.committed)}"
        while core.sends or core.saves:
            sends, core.sends = core.sends, []
            for peer, word in sends:
                way, word = (name, peer), tuple(tuple(x) if isinstance(x, list) else x for x in word)
                world.ways[way] = (*world.ways.get(way, ()), word)
            saves, core.saves = core.saves, []
            if loses and saves:
                self.start(world, name)
                return
            for save in saves:
                self.save(world, name, save)
                core.saved(world.now, save.ticket)
        core.notes.clear()
        for entry in core.take_committed():
            known = world.committed.setdefault(entry.index, entry)
            if known != entry:
                self.broken = f"{name} has {entry} committed where another has {known}"
        if core.role is Role.LEADING and world.leaders.setdefault(core.epoch, name) != name:
            self.broken = f"{name} and {world.leaders[core.epoch]} lead in epoch {core.epoch}"
        self.check(world)

    def save(self, world: World, name: str, save: Save) -> None:
        if self.plant == "vote" and save.promise is not None and save.promise[1] != name:
            save = save._replace(promise=(save.promise[0], None))
        world.disks[name].take(save)

    def check(self, world: World) -> None:
        acting = [name for name in self.names if world.cores[name].may_act(world.now)]
        if len(acting) > 1:
            self.broken = f"{' and '.join(acting)} may act at the same time"

    def deliver(self, world: World, way: tuple[str, str], loses: bool = False) -> None:
        word, world.ways[way] = world.ways[way][0], world.ways[way][1:]
        self.do(world, way[1], lambda core: core.hear(world.now, way[0], word), loses)

    def apply(self, world: World) -> None:
        """What a leader told arrives at the one that applies."""
        (_, epoch, place), world.acting = world.acting[0], world.acting[1:]
        if self.plant == "fence":
            world.fence.epoch = min(world.fence.epoch, epoch)
        if world.fence.judge(epoch, place) is Answer.APPLY:
            if world.applied and epoch < world.applied[-1][0]:
                self.broken = f"epoch {epoch} applied after epoch {world.applied[-1][0]}"
            if place != len(world.applied) + 1:
                self.broken = f"place {place} applied after {len(world.applied)}"
            world.applied = (*world.applied, (epoch, place))

    def greet(self, world: World, name: str) -> None:
        epoch = world.cores[name].epoch
        world.fence.greet(epoch)

    def steps(self, world: World) -> list[tuple[str, Any]]:
        """All that may happen next: what it is called, and what does it to a copy."""
        found: list[tuple[str, Any]] = []
        left = world.left
        for way, words in world.ways.items():
            if words:
                said = f"{way[0]} to {way[1]}: {words[0][0].name.lower()}"
                found.append((said, lambda w, way=way: self.deliver(w, way)))
                if left.restarts:
                    found.append((f"{said}, its save lost", lambda w, way=way: self.lose(w, way)))
                if left.losses:
                    found.append((f"{way[0]} to {way[1]} breaks", lambda w, way=way: self.silence(w, way)))
        for name, core in world.cores.items():
            if left.ticks and world.now >= core.wake_at:
                found.append((f"{name} ticks", lambda w, name=name: self.tick(w, name)))
            if left.restarts:
                found.append((f"{name} restarts", lambda w, name=name: self.restart(w, name)))
            if core.may_act(world.now):
                if left.decisions:
                    found.append((f"{name} decides", lambda w, name=name: self.decide(w, name)))
                if left.acts and len(world.acting) < 3:
                    found.append((f"{name} acts", lambda w, name=name: self.act(w, name)))
        if left.steps_of_time:
            found.append(("time goes on", self.pass_time))
        for place in range(len(world.acting)):
            found.append((f"{world.acting[place][0]} is heard", lambda w, place=place: self.arrive(w, place)))
        return found

    def tick(self, world: World, name: str) -> None:
        world.left.ticks -= 1
        self.do(world, name, lambda core: core.tick(world.now))

    def lose(self, world: World, way: tuple[str, str]) -> None:
        world.left.restarts -= 1
        self.deliver(world, way, loses=True)

    def silence(self, world: World, way: tuple[str, str]) -> None:
        world.left.losses -= 1
        world.ways[way] = ()

    def restart(self, world: World, name: str) -> None:
        world.left.restarts -= 1
        self.start(world, name)  # what is on its way still comes: networks can be slower than restarts

    def decide(self, world: World, name: str) -> None:
        world.left.decisions -= 1
        self.do(world, name, lambda core: core.propose(world.now, Sort.DECISION, name))

    def act(self, world: World, name: str) -> None:
        """The leader says the next two places; each is heard at any time after."""
        world.left.acts -= 1
        self.greet(world, name)
        epoch, place = world.cores[name].epoch, world.fence.place
        world.acting = (*world.acting, (name, epoch, place + 1), (name, epoch, place + 2))

    def arrive(self, world: World, place: int) -> None:
        world.acting = (world.acting[place], *world.acting[:place], *world.acting[place + 1 :])
        self.apply(world)

    def pass_time(self, world: World) -> None:
        world.left.steps_of_time -= 1
        world.now += 1.0
        self.check(world)

    # Exploring.

    def interest(self, world: World) -> int:
        """How far a state is on the ways where something could break."""
        cores = world.cores.values()
        roles = sum(RANKS.get(core.role, 0) + len(core.granted) for core in cores)
        acting = sum(core.may_act(world.now) for core in cores)
        spoke = {epoch for _, epoch, _ in world.acting} | {epoch for epoch, _ in world.applied}
        return roles + 4 * acting + 6 * len(world.leaders) + 5 * len(spoke)

    def held(self, world: World) -> World:
        return world

    def fresh(self, held: World) -> World:
        return held.copy()


HUNTS = {  # which state to begin from, and bounds that hold the faults one promise leans on
    "vote": (False, Bounds(steps_of_time=2, restarts=1, decisions=0, acts=0, losses=0, ticks=2)),
    "lease": (True, Bounds(steps_of_time=3, restarts=0, decisions=0, acts=0, losses=0, ticks=3)),
    "fence": (True, Bounds(steps_of_time=2, restarts=0, decisions=0, acts=2, losses=0, ticks=2)),
    "log": (True, Bounds(steps_of_time=2, restarts=1, decisions=1, acts=1, losses=1, ticks=2)),
}


def explore(instances: int, most: int, plant: str = "none") -> dict[str, Any]:
    """Explores with a planted error within its bounds, or the sound core within all; what was seen."""
    runs = []
    for name, (led, bounds) in HUNTS.items():
        if plant in ("none", name):
            model = Model(instances, bounds, plant)
            runs.append(model.explore(model.first(led), most))
    broken = next((run["broken"] for run in runs if run["broken"]), None)
    return {"instances": instances, "plant": plant, "broken": broken, "runs": runs}
