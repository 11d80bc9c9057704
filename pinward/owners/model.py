"""Explores ownership: every order of words, commits, changes of leader, copies and effects, within bounds.

One part, two members, one of which may come to run twice, a leader that may be followed by another, and one
target. Errors can be planted, to see that they would be found. States nearer to two owners come first.
"""

from __future__ import annotations

import pickle
from dataclasses import dataclass, field
from typing import Any

from pinward.explorer import Explorer
from pinward.lead.fence import Answer, Fences
from pinward.owners.book import Book
from pinward.owners.holder import Holder
from pinward.owners.steward import Steward, Terms
from pinward.owners.terms import Duty, Incarnation, Kind, Pace

PACE = Pace(hold_s=2.0, beat_s=1.0, flight_s=0.0, skew=0.0)  # one step of time is 1
TERMS = Terms((Duty("work", Kind.SINGLE),), PACE, moves_per_s=1000.0, warm_s=0.0)
PART = "work"
PLANTS = ("none", "fence", "lease", "grant", "incarnation")


def keep(part: str, token: int) -> None:
    """The model's disk never fails."""


class LateLease(Holder):
    """Planted: the lease counts from the answer."""

    def lease_from(self, asked: float, answered: float) -> float:
        return answered + self.pace.lease_s


@dataclass
class Bounds:
    """How often each may happen on one way."""

    steps_of_time: int = 4
    asks: int = 4
    effects: int = 2
    leaders: int = 1
    copies: int = 1
    losses: int = 1


@dataclass
class World:
    """One state."""

    left: Bounds
    now: float = 0.0
    index: int = 1
    epoch: int = 1
    book: Book = field(default_factory=Book)  # what is committed
    steward: Steward = field(default_factory=lambda: Steward(TERMS, Book()))
    pending: list[Any] = field(default_factory=list)  # changes in the log, not committed
    holders: dict[str, Holder] = field(default_factory=dict)  # by process: m1, m2, and m1 copied
    words: list[tuple[Any, ...]] = field(default_factory=list)
    effects: list[int] = field(default_factory=list)  # tokens under way to the target
    fences: Fences = field(default_factory=lambda: Fences(keep))
    last: int = 0


class Model(Explorer[World]):
    def __init__(self, bounds: Bounds, plant: str = "none") -> None:
        self.bounds, self.plant = bounds, plant

    def first(self) -> World:
        """Both members are known, and m1 owns the part."""
        world = World(Bounds(**vars(self.bounds)))
        world.steward.lead(0.0, 1)
        for name in ("m1", "m2"):
            kind = LateLease if self.plant == "lease" else Holder
            world.holders[name] = kind(name, Incarnation(f"d-{name}", 1, name), PACE)
        for name in ("m1", "m1", "m1", "m2", "m2"):
            self.ask(world, name, free=True)
            while world.words:
                self.deliver(world, 0)
            self.due(world)
            while world.pending:
                self.commit(world)
        return world

    # Steps.

    def ask(self, world: World, process: str, free: bool = False) -> None:
        world.left.asks -= not free
        holder = world.holders[process]
        world.words.append(("ask", process, world.epoch, holder.ask(world.now)))

    def deliver(self, world: World, place: int) -> None:
        kind, process, epoch, *things = world.words.pop(place)
        if kind == "answer":
            holder = world.holders[process]
            holder.heard(world.now, things[0], things[1])
            holder.notes.clear()
        elif epoch == world.epoch:  # one that is followed renews nothing
            asked = things[0]
            incarnation = Incarnation.of(asked["incarnation"])
            answer = world.steward.renew(
                world.now, asked["name"], incarnation, "", 1.0, asked["released"], asked["view"]
            )
            world.steward.notes.clear()
            world.words.append(("answer", process, epoch, asked["number"], answer))
        self.check(world)

    def lose(self, world: World, place: int) -> None:
        world.left.losses -= 1
        del world.words[place]

    def due(self, world: World) -> None:
        if changes := world.steward.due(world.now):
            world.pending.append(changes)
        world.steward.notes.clear()

    def commit(self, world: World) -> None:
        changes = world.pending.pop(0)
        world.index += 1
        effects = world.book.apply(world.index, changes)
        world.steward.book.apply(world.index, changes)
        world.steward.took(world.now, changes, effects)
        self.check(world)

    def follow(self, world: World) -> None:
        """Another leads: it has what was committed, and no renewals."""
        world.left.leaders -= 1
        world.epoch += 1
        world.pending.clear()
        world.steward = Steward(TERMS, Book.of(world.book.plain()))
        since = world.now - PACE.hold_s if self.plant == "grant" else world.now
        world.steward.lead(since, world.epoch)

    def copy(self, world: World) -> None:
        """A second process of m1, on a copy of its disk."""
        world.left.copies -= 1
        first = world.holders["m1"].incarnation
        nonce = first.nonce if self.plant == "incarnation" else "copied"
        made = Incarnation(first.birth, first.starts, nonce)
        world.holders["copied"] = type(world.holders["m1"])("m1", made, PACE)

    def act(self, world: World, process: str) -> None:
        """The clock is asked, and the effect goes out; it arrives at any time."""
        world.left.effects -= 1
        begun = world.holders[process].begin(world.now, PART)
        if begun is not None:
            world.effects.append(begun[0])
            world.holders[process].done(PART, begun[0])

    def arrive(self, world: World, place: int) -> None:
        token = world.effects.pop(place)
        answer = Answer.KNOWN if self.plant == "fence" else world.fences.admit(PART, token)
        if answer is Answer.STALE:
            return
        if token < world.last:
            self.broken = f"an effect under {token} counts after one under {world.last}"
        world.last = max(world.last, token)

    def pass_time(self, world: World) -> None:
        world.left.steps_of_time -= 1
        world.now += 1.0
        self.check(world)

    def check(self, world: World) -> None:
        owners = [p for p, holder in world.holders.items() if holder.may(world.now, PART) is not None]
        if len(owners) > 1:
            self.broken = f"{' and '.join(owners)} may act at the same time"

    def steps(self, world: World) -> list[tuple[str, Any]]:
        """All that may happen next: what it is called, and what does it to a copy."""
        found: list[tuple[str, Any]] = []
        left = world.left
        for place, word in enumerate(world.words):
            found.append((f"{word[0]} of {word[1]} arrives", lambda w, p=place: self.deliver(w, p)))
            if left.losses:
                found.append((f"{word[0]} of {word[1]} is lost", lambda w, p=place: self.lose(w, p)))
        for process, holder in world.holders.items():
            if left.asks > 0:
                found.append((f"{process} asks", lambda w, p=process: self.ask(w, p)))
            if left.effects > 0 and holder.may(world.now, PART) is not None:
                found.append((f"{process} acts", lambda w, p=process: self.act(w, p)))
        for place in range(len(world.effects)):
            found.append(("an effect arrives", lambda w, p=place: self.arrive(w, p)))
        if world.pending:
            found.append(("an entry is committed", self.commit))
        found.append(("the leader looks", self.due))
        if left.leaders:
            found.append(("another leads", self.follow))
        if left.copies:
            found.append(("m1 runs twice", self.copy))
        if left.steps_of_time:
            found.append(("time goes on", self.pass_time))
        return found

    # Exploring.

    def frozen(self, world: World) -> int:
        now, steward = world.now, world.steward
        holders = tuple(
            (
                process, max(0.0, h.lease_until - now), h.epoch, tuple(h.view), h.number, h.level,
                tuple((n, now - at) for n, at in h.asked if now - at < PACE.hold_s),
                tuple((part, held.token, held.state) for part, held in h.parts.items()),
            )
            for process, h in world.holders.items()
        )  # fmt: skip
        leads = (
            min(now - steward.since, PACE.hold_s), tuple(steward.going.items()),
            tuple(steward.released.items()),
            tuple(
                (n, m.incarnation, m.stand, min(now - m.heard, PACE.hold_s), tuple(m.giving.items()))
                for n, m in steward.members.items()
            ),
            tuple((key, min(now - at, PACE.hold_s)) for key, at in steward.heard.items()),
            tuple(steward.touched.items()),
        )  # fmt: skip
        parts = tuple((n, p.owner, p.incarnation, p.token) for n, p in world.book.parts.items())
        known = tuple((n, k.incarnation) for n, k in world.book.members.items())
        words = repr(world.words)
        rest = tuple(vars(world.left).values()), tuple(world.effects), world.fences.token(PART), world.last
        return hash((holders, leads, parts, known, words, repr(world.pending), world.epoch, rest))

    def interest(self, world: World) -> int:
        """How far a state is on the ways where something could break."""
        believe = sum(PART in holder.parts for holder in world.holders.values())
        tokens = len({*world.effects, world.last} - {0})
        came = world.book.parts[PART].token + len(world.steward.going)
        late = sum(word[0] == "answer" and word[1] == "m1" for word in world.words)
        near = 4 * believe + 3 * tokens + 3 * came + 3 * min(1, late) + int(2 * world.now)
        return near + world.epoch + len(world.holders)

    def held(self, world: World) -> bytes:
        return pickle.dumps(world)

    def fresh(self, held: bytes) -> World:
        world: World = pickle.loads(held)
        return world

    def hunt(self, most: int) -> dict[str, Any]:
        return self.explore(self.first(), most)


HUNTS = {  # bounds that hold the faults one promise leans on
    "fence": Bounds(steps_of_time=3, asks=3, effects=2, leaders=0, copies=0, losses=0),
    "lease": Bounds(steps_of_time=2, asks=3, effects=0, leaders=0, copies=0, losses=0),
    "grant": Bounds(steps_of_time=2, asks=3, effects=0, leaders=1, copies=0, losses=0),
    "incarnation": Bounds(steps_of_time=3, asks=3, effects=0, leaders=0, copies=1, losses=1),
}


def explore(most: int, plant: str = "none") -> dict[str, Any]:
    """Explores with a planted error within its bounds, or the sound core within all; what was seen."""
    runs = [
        {"hunt": name, **Model(bounds, plant).hunt(most)}
        for name, bounds in HUNTS.items()
        if plant in ("none", name)
    ]
    broken = next((run["broken"] for run in runs if run["broken"]), None)
    return {"plant": plant, "broken": broken, "states": sum(run["states"] for run in runs), "runs": runs}
