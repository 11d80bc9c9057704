"""Many members and a leader that changes, in simulated time: the same cores, unlike clocks, and faults.

The leadership is played as what it promises: one log, and one leader at a time that acts; who is followed may
go on believing for as long as it is paused. Targets compare tokens or not, as told. Nothing here does I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from math import inf
from random import Random
from typing import Any

from pinward.events import Events
from pinward.lead.fence import Answer, Fences
from pinward.owners.book import Book
from pinward.owners.holder import Hold, Holder
from pinward.owners.steward import Steward, Terms
from pinward.owners.terms import Incarnation


class BrokenError(Exception):
    """A promise was broken; the text says which and when."""


@dataclass
class Actor:
    """One member: its clock, and whether it runs."""

    name: str
    zone: str
    capacity: float
    rate: float = 1.0
    offset: float = 0.0
    alive: bool = False
    paused_until: float = 0.0
    life: int = 0
    starts: int = 0
    holder: Holder | None = None
    died: float = inf


@dataclass
class Leader:
    """Who leads in an epoch; its clock."""

    epoch: int
    steward: Steward
    rate: float
    offset: float
    alive: bool = True
    paused_until: float = 0.0


@dataclass
class Seen:
    """What the outside saw."""

    effects: int = 0
    stale: int = 0
    granted: int = 0
    moved: int = 0
    words: int = 0
    takeovers_s: list[float] = field(default_factory=list)


class World(Events):
    def __init__(
        self, seed: int, terms: Terms, members: int, skew: float | None = None, fenced: bool = True,
        zones: tuple[str, ...] = (), act_s: float = 0.0, stall: float = 0.0,
    ) -> None:  # fmt: skip
        super().__init__()
        self.chance, self.terms, self.pace = Random(seed), terms, terms.pace
        self.skew = self.pace.skew if skew is None else skew
        self.fenced, self.act_s = fenced, act_s
        self.stall = stall  # share of effects held back after the check
        self.delay_s, self.commit_s = 0.01, 0.02
        self.lost: set[str] = set()  # members whose words do not arrive, either way
        self.book, self.index = Book(), 1
        self.leader: Leader | None = None
        self.epoch = 0
        self.target = Fences(lambda part, token: None)
        self.last: dict[str, int] = {}  # the highest token that had an effect, by part
        self.seen = Seen()
        self.waits: dict[str, float] = {}  # parts whose owner died, and when
        self.actors = {
            f"m{n}": Actor(f"m{n}", zones[n % len(zones)] if zones else "", 1.0) for n in range(members)
        }
        for actor in self.actors.values():
            actor.rate = self.chance.uniform(1 - self.skew, 1 + self.skew)
            actor.offset = self.chance.uniform(0.0, 1000.0)

    # What happens when.

    def local(self, actor: Actor | Leader) -> float:
        return actor.offset + self.now * actor.rate

    def later(self, spread: float = 1.0) -> float:
        return self.now + self.delay_s * (0.5 + spread * self.chance.random())

    # The leader.

    def lead(self) -> None:
        """Another instance acts from now on: it has the log, and no renewals."""
        self.epoch += 1
        steward = Steward(self.terms, Book.of(self.book.plain()))
        rate = self.chance.uniform(1 - self.skew, 1 + self.skew)
        self.leader = Leader(self.epoch, steward, rate, self.chance.uniform(0.0, 1000.0))
        steward.lead(self.local(self.leader), self.epoch)
        self.beat(self.leader)

    def depose(self) -> None:
        """Nobody leads from now on."""
        if self.leader is not None:
            self.leader.alive = False
            self.leader = None

    def beat(self, leader: Leader) -> None:
        if leader is not self.leader:
            return
        self.due(leader)
        self.at(self.now + self.pace.beat_s / 2, lambda: self.beat(leader))

    def due(self, leader: Leader) -> None:
        while changes := leader.steward.due(self.local(leader)):
            when = self.now + self.commit_s * (0.5 + self.chance.random())
            self.at(when, partial(self.commit, leader, changes))

    def commit(self, leader: Leader, changes: list[Any]) -> None:
        """An entry is in the log, in the order of the log; one of a leader that is followed is withdrawn."""
        if leader is not self.leader:
            return
        self.index += 1
        effects = self.book.apply(self.index, changes)
        leader.steward.book.apply(self.index, changes)
        leader.steward.took(self.local(leader), changes, effects)
        for effect in effects:
            if effect.what == "granted":
                self.seen.granted += 1
                self.seen.moved += effect.why == "given up"
        leader.steward.notes.clear()

    # Members.

    def start(self, name: str, birth: str = "", starts: int = 0) -> None:
        actor = self.actors[name]
        actor.life += 1
        actor.starts = starts or actor.starts + 1
        incarnation = Incarnation(birth or f"disk-{name}", actor.starts, f"{name}-{actor.life}")
        actor.holder, actor.alive, actor.paused_until = Holder(name, incarnation, self.pace), True, 0.0
        life = actor.life
        self.at(self.now + self.pace.beat_s * self.chance.random(), lambda: self.renewing(actor, life))

    def kill(self, name: str) -> None:
        actor = self.actors[name]
        if actor.holder is not None and actor.alive:
            for part in actor.holder.mine(self.local(actor)):
                self.waits.setdefault(part, self.now)
        actor.alive, actor.holder = False, None

    def pause(self, name: str, seconds: float) -> None:
        self.actors[name].paused_until = self.now + seconds

    def do(self, actor: Actor, life: int, what: Callable[[Holder], None]) -> None:
        """Something for a member: now, after its pause, or never where it died meanwhile."""
        if actor.holder is None or actor.life != life:
            return
        if self.now < actor.paused_until:
            self.at(actor.paused_until + 1e-6, lambda: self.do(actor, life, what))
            return
        what(actor.holder)

    def renewing(self, actor: Actor, life: int) -> None:
        self.do(actor, life, lambda holder: self.renew(actor, life, holder))

    def renew(self, actor: Actor, life: int, holder: Holder) -> None:
        asked = holder.ask(self.local(actor))
        number = asked["number"]
        self.seen.words += 2
        self.at(self.later(), lambda: self.asked(actor, life, number, asked))
        rest = self.pace.beat_s * self.chance.uniform(0.8, 1.0)
        self.at(self.now + rest, lambda: self.renewing(actor, life))

    def asked(self, actor: Actor, life: int, number: int, asked: dict[str, Any]) -> None:
        """A renewal arrives at the leader, if there is one."""
        leader = self.leader
        if leader is None or actor.name in self.lost:
            return
        answer = leader.steward.renew(
            self.local(leader), actor.name, Incarnation.of(asked["incarnation"]), actor.zone, actor.capacity,
            asked["released"], asked["view"],
        )  # fmt: skip
        self.due(leader)
        if actor.name not in self.lost:
            self.at(self.later(), lambda: self.answered(actor, life, number, answer))

    def answered(self, actor: Actor, life: int, number: int, answer: dict[str, Any]) -> None:
        def take(holder: Holder) -> None:
            before = set(holder.parts)
            holder.heard(self.local(actor), number, answer)
            holder.notes.clear()
            for part in [part for part in holder.parts if part not in before]:
                if part in self.waits:
                    self.seen.takeovers_s.append(self.now - self.waits.pop(part))
                if self.act_s:
                    self.act(actor, life, part)

        self.do(actor, life, take)

    # Acting.

    def act(self, actor: Actor, life: int, part: str) -> None:
        def one(holder: Holder) -> None:
            if part not in holder.parts or holder.parts[part].state is not Hold.OWNED:
                return
            begun = holder.begin(self.local(actor), part)
            if begun is not None:
                self.only(actor, part)
                token = begun[0]
                # Between the check and the effect the process may be paused, and words may be late.
                stalls = self.chance.random() < self.stall
                arrives = self.later() + stalls * 3 * self.pace.hold_s * self.chance.random()
                self.at(arrives, lambda: self.effect(actor, life, part, token))
            rest = self.act_s * self.chance.uniform(0.5, 1.5)
            self.at(self.now + rest, lambda: self.act(actor, life, part))

        self.do(actor, life, one)

    def only(self, actor: Actor, part: str) -> None:
        """No other that runs may act on this part at this moment."""
        for other in self.actors.values():
            if other is actor or other.holder is None or self.now < other.paused_until:
                continue
            if other.holder.may(self.local(other), part) is not None:
                raise BrokenError(f"{actor.name} and {other.name} may both act on {part} at {self.now:.3f}")

    def effect(self, actor: Actor, life: int, part: str, token: int) -> None:
        answer = self.target.admit(part, token) if self.fenced else Answer.KNOWN
        if answer is Answer.STALE:
            self.seen.stale += 1
        else:
            self.seen.effects += 1
            if token < self.last.get(part, 0):
                raise BrokenError(f"{part}: an effect under {token} after one under {self.last[part]}")
            self.last[part] = token
        if actor.holder is not None and actor.life == life:
            actor.holder.done(part, token)
            actor.holder.notes.clear()
