"""The leader's half: who owns which part, kept in the leadership's log, with renewals in the leader's memory.

Call `lead` when this instance begins to act in an epoch, `renew` for each renewal of a member, `due` now and
then, and `took` with what the log's entries came to. `due` returns changes for the log, and `refused` must
hear of those that it did not take; only what is committed is so. Every call is made while the instance may
act by its own lease. No I/O, no clock, no chance.

Why no part has two owners: a part goes to another only once its owner gave it up, or has not been heard for
`hold`, or, under a leader that follows another, once that leader has acted for `hold` itself; an owner counts
its lease, shorter by the clocks' skew, from before it asked. docs/design/owners.md has the whole argument.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from heapq import heapify, heapreplace
from math import ceil, floor, inf
from typing import Any

from pinward.owners.book import Book, Effect, Part
from pinward.owners.terms import MEMBERS_MOST, Duty, Incarnation, Kind, Pace

BATCH_MOST = 256  # changes in one entry of the log: some tens of KiB
ON_WAY_MOST = 1024  # changes not yet committed: a cut-off leader stays small
RAMP = (0.25, 4)  # a newcomer's first weight, and in how many steps it comes to its whole capacity
DOUBT_MOST = 6  # doublings of the time until one that comes and goes is trusted: about an hour for a minute
ROOM = 0.9  # of the members that may be known: beyond, those that are gone and own nothing are forgotten
STRANGERS_MOST = 256  # second processes under a known name that are remembered


class Stand(Enum):
    """Where a member stands with the leader."""

    WAITING = auto()  # its start is not in the log yet
    DOUBTED = auto()  # came and went of late: it keeps what it has and gets nothing more
    WARMING = auto()  # gets a growing part
    STEADY = auto()
    LOST = auto()  # not heard for `hold`


@dataclass
class Member:
    """What the leader knows of a member, in memory alone."""

    name: str
    incarnation: Incarnation
    zone: str
    capacity: float
    heard: float
    stand: Stand = Stand.WAITING
    since: float = 0.0  # of its stand
    losses: int = 0
    weight: float = 0.0
    giving: dict[str, int] = field(default_factory=dict)  # parts it was asked to give up, by token


@dataclass(frozen=True)
class Terms:
    """What the settings tell the steward."""

    duties: tuple[Duty, ...]
    pace: Pace
    moves_per_s: float = 10.0  # parts moved between living owners
    warm_s: float = 30.0  # until a newcomer has its whole part


class Steward:
    def __init__(self, terms: Terms, book: Book, members_most: int = MEMBERS_MOST) -> None:
        self.members_most = members_most
        self.terms, self.pace, self.book = terms, terms.pace, book
        self.duty: dict[str, Duty] = {duty.name: duty for duty in terms.duties}
        self.told = {part: (zone, duty) for duty in terms.duties for part, zone in duty.names()}
        self.since = inf  # when this instance began to act; inf: it does not
        self.epoch = 0
        self.members: dict[str, Member] = {}
        self.heard: dict[tuple[str, Incarnation], float] = {}  # starts that may hold a lease, when last heard
        self.released: dict[str, int] = {}  # parts given up, by token
        # Changes in the log that are not committed. While this leads none is lost, however long it takes.
        self.on_way: set[tuple[str, str]] = set()
        self.going: dict[str, str] = {}  # parts that are on their way to a member
        self.goal: dict[str, str] = {}
        self.open: dict[str, None] = {}  # parts not yet as they are to be; a set that keeps order
        self.stepped: dict[str, float] = {}  # periodic parts, when their last step was taken
        self.strangers: dict[tuple[str, Incarnation], float] = {}
        self.touched: dict[str, int] = {}  # how often what a member owns has changed
        self.moves, self.moves_at = 0.0, 0.0
        self.wished: dict[str, str] = {}  # where operators want parts
        self.stale = True  # the goal is to be worked out anew
        self.replans = 0
        self.notes: list[tuple[str, dict[str, Any]]] = []

    # Leading.

    def lead(self, now: float, epoch: int) -> None:
        """This instance acts from now on: what it knows of renewals is nothing, so all count as heard now."""
        self.since, self.epoch = now, epoch
        self.members.clear()
        self.heard.clear()
        self.released.clear()
        self.on_way.clear()
        self.going.clear()
        self.stepped.clear()
        self.strangers.clear()
        self.touched.clear()
        self.wished.clear()
        self.moves, self.moves_at, self.stale = 0.0, now, True

    def follow(self) -> None:
        self.since = inf

    @property
    def leads(self) -> bool:
        return self.since < inf

    def begin_anew(self, book: Book) -> None:
        """Another book took the place of the log's beginning."""
        self.book, self.stale = book, True

    # Members.

    def become(self, now: float, member: Member, stand: Stand, why: str) -> None:
        """The one place where a member's stand changes."""
        before, member.stand, member.since = member.stand, stand, now
        self.stale = True
        told = {"member": member.name, "stand": stand.name.lower(), "before": before.name.lower(), "why": why}
        self.notes.append(("member", told))

    def renew(
        self, now: float, name: str, incarnation: Incarnation, zone: str, capacity: float,
        released: dict[str, int], view: list[int],
    ) -> dict[str, Any]:
        """A member asks to keep its lease; the answer, as plain data. Only `ok` renews."""
        if not self.leads:
            return {"no": "not the leader"}
        known, member = self.book.members.get(name), self.members.get(name)
        if member is not None and member.incarnation != incarnation:
            if now < member.heard + self.pace.hold_s:
                return self.second(now, member, incarnation)
            self.heard[name, member.incarnation] = member.heard
            losses = member.losses + (member.stand is not Stand.LOST)
            del self.members[name]
            member = None
        else:
            losses = 0
        if member is None:
            if known is not None and known.incarnation != incarnation and now < self.since + self.pace.hold_s:
                return {"no": "a former start of this name may still hold its lease"}
            if len(self.members) >= self.members_most:
                self.drop_lost()
            if len(self.members) >= self.members_most:
                return {"no": "too many members"}
            member = Member(name, incarnation, zone, capacity, now, losses=losses)
            member.since = now
            self.members[name] = member
            if known is not None and known.incarnation == incarnation:  # it was there under another leader
                self.become(now, member, Stand.STEADY, "known by the log")
        if known is None or known.incarnation != incarnation:
            member.heard = now
            return {"no": "its start is on its way into the log"}
        if member.stand in (Stand.WAITING, Stand.LOST):
            member.losses += member.stand is Stand.LOST
            self.trust(now, member)
        if (zone, capacity) != (member.zone, member.capacity):
            member.zone, member.capacity, self.stale = zone, capacity, True
        # From here on nothing of it goes to another for `hold`; so first the time, then the answer.
        member.heard = self.heard[name, incarnation] = now
        for part, token in released.items():
            held = self.book.parts.get(part)
            if held is not None and (held.token, held.owner, held.incarnation) == (token, name, incarnation):
                if self.released.get(part) != token:
                    self.released[part], self.stale = token, True
                member.giving.pop(part, None)
        answer: dict[str, Any] = {"ok": True, "view": [self.epoch, self.touched.get(name, 0)]}
        if view != answer["view"]:
            answer["own"] = self.own(member)
        if member.giving:
            answer["give"] = dict(member.giving)
        return answer

    def drop_lost(self) -> None:
        """Forgets members that are not heard any more; what they held is in `heard` and in the book."""
        for name in [name for name, member in self.members.items() if member.stand is Stand.LOST]:
            del self.members[name]

    def second(self, now: float, member: Member, incarnation: Incarnation) -> dict[str, Any]:
        """Another process under a name that is in use. A restart waits out its forerunner's lease; a copied
        machine never gets in while the first one lives."""
        key = (member.name, incarnation)
        first = self.strangers.setdefault(key, now)
        if member.heard > first and member.stand is not Stand.LOST:  # both have spoken since
            self.strangers[key] = inf  # said once
            if first < inf:
                self.notes.append(("same-name-twice", {"member": member.name, "birth": incarnation.birth}))
            return {"no": "another process lives under this name", "twice": True}
        while len(self.strangers) > STRANGERS_MOST:
            del self.strangers[next(iter(self.strangers))]
        return {"no": "a former start of this name may still hold its lease"}

    def trust(self, now: float, member: Member) -> None:
        """A newcomer warms up; one that comes and goes must first stay for a while, longer each time."""
        if member.losses:
            self.become(now, member, Stand.DOUBTED, f"lost {member.losses} times of late")
        else:
            self.become(now, member, Stand.WARMING, "new")

    def doubt_s(self, member: Member) -> float:
        return self.terms.warm_s * 2.0 ** min(DOUBT_MOST, member.losses - 1) if member.losses else 0.0

    def own(self, member: Member) -> dict[str, list[Any]]:
        """What a member may act on: token, step and note a part, without what is going to another."""
        mine: dict[str, list[Any]] = {}
        for part in self.book.owned.get(member.name, ()):
            held = self.book.parts[part]
            if held.incarnation == member.incarnation and part not in self.going:
                mine[part] = [held.token, held.step, held.note]
        return mine

    def touch(self, name: str) -> None:
        if name:
            self.touched[name] = self.touched.get(name, 0) + 1

    # Steps of one-off and periodic work.

    def may_step(self, now: float, part: str, token: int, step: int) -> str | None:
        """Why a step of that token may not be put into the log now; None where it may."""
        held = self.book.parts.get(part)
        if held is None or held.token != token:
            return "stale"
        if step <= held.step:
            return "known" if step == held.step else "stale"
        duty = self.told[part][1] if part in self.told else None
        if duty is not None and duty.kind is Kind.PERIODIC:
            # A leader that follows another does not know when the last step was: it counts as now.
            last = self.stepped.get(part, self.since if held.step else -inf)
            if now < last + duty.period_s * (1 + self.pace.skew):
                return "early"
        return None if step == held.step + 1 else "gap"

    # What is due.

    def due(self, now: float) -> list[list[Any]]:
        """Changes to be put into the log now, as plain data; none twice while it is on its way."""
        if not self.leads:
            return []
        self.watch(now)
        if self.stale:
            self.replan(now)
        changes: list[list[Any]] = []
        for member in self.joining():
            fresh = ["join", member.name, member.incarnation.plain(), member.zone]
            self.ask(changes, ("join", member.name), fresh)
        if len(self.book.members) > ROOM * self.members_most:
            self.forget(now, changes)
        self.grants(now, changes)
        self.moves_due(now)
        return changes

    def forget(self, now: float, changes: list[list[Any]]) -> None:
        """Makes room in the book: who was not heard for `hold`, and owns nothing, goes."""
        if now < self.since + self.pace.hold_s:
            return
        for name, known in self.book.members.items():
            member = self.members.get(name)
            if (member is None or member.stand is Stand.LOST) and not self.book.owned.get(name):
                self.ask(changes, ("leave", name), ["leave", name, known.incarnation.plain()])
        needed = {(held.owner, held.incarnation) for held in self.book.parts.values()}
        needed |= {(member.name, member.incarnation) for member in self.members.values()}
        self.heard = {key: at for key, at in self.heard.items() if key in needed}

    def joining(self) -> list[Member]:
        return [m for m in self.members.values() if m.stand is Stand.WAITING and not self.is_known(m)]

    def is_known(self, member: Member) -> bool:
        """True where the log has this start of it."""
        known = self.book.members.get(member.name)
        return known is not None and known.incarnation == member.incarnation

    def ask(self, changes: list[list[Any]], key: tuple[str, str], change: list[Any]) -> bool:
        full = len(changes) >= BATCH_MOST or len(self.on_way) >= ON_WAY_MOST
        if key in self.on_way or full:
            return False
        self.on_way.add(key)
        changes.append(change)
        return True

    def refused(self, changes: list[list[Any]]) -> None:
        """The log had no room for these: they are due again."""
        for change in changes:
            self.settled(change)

    def settled(self, change: list[Any]) -> None:
        """A change is on its way no more: a part is its owner's by the log again."""
        kind = "grant" if change[0] == "free" else change[0]
        self.on_way.discard((kind, change[1]))
        if kind == "grant" and self.going.pop(change[1], None) is not None:
            held = self.book.parts.get(change[1])
            self.touch(held.owner if held else "")

    def watch(self, now: float) -> None:
        """Members that are not heard, or have stayed long enough."""
        for member in self.members.values():
            if member.stand is not Stand.LOST and now >= member.heard + self.pace.hold_s:
                self.become(now, member, Stand.LOST, "not heard")
                member.giving.clear()
            elif member.stand is Stand.DOUBTED and now >= member.since + self.doubt_s(member):
                self.become(now, member, Stand.WARMING, "has stayed")
            elif member.stand is Stand.WARMING:
                first, steps = RAMP
                done = min(1.0, (now - member.since) / max(1e-9, self.terms.warm_s))
                weight = first + (1 - first) * floor(done * steps) / steps
                if weight != member.weight:
                    member.weight, self.stale = weight, True
                if done >= 1.0:
                    self.become(now, member, Stand.STEADY, "warm")
            elif member.losses and now >= member.since + self.doubt_s(member):
                member.losses -= 1  # forgiven one by one, each after as long again
                member.since = now

    def weight(self, member: Member) -> float:
        share = {Stand.WARMING: max(RAMP[0], member.weight), Stand.STEADY: 1.0}.get(member.stand, 0.0)
        return share * member.capacity

    def wants(self) -> dict[str, str]:
        """All parts that want an owner, with the zone it must be of."""
        wanted = {part: zone for part, (zone, _) in self.told.items()}
        wanted |= {part: "" for part, held in self.book.parts.items() if held.opened}
        return {part: zone for part, zone in wanted.items() if not self.has_ended(part)}

    def has_ended(self, part: str) -> bool:
        held = self.book.parts.get(part)
        return held is not None and held.ended

    def replan(self, now: float) -> None:
        """Who is to own what: each part stays where it is as long as shares allow it.

        With quotas by weight, parts move only from those above theirs, or from none, to those below: the
        least number that brings all within one part of their quota. Called when something has changed.
        """
        self.stale = False
        self.replans += 1
        here = {n: m for n, m in self.members.items() if m.stand in (Stand.WARMING, Stand.STEADY)}
        doubted = {n for n, m in self.members.items() if m.stand is Stand.DOUBTED}
        if not here:
            here = {n: self.members[n] for n in sorted(doubted)}
            doubted = set()
        groups: dict[str, list[str]] = {}
        wanted = self.wants()
        for part, zone in wanted.items():
            if self.holder_of(part) not in doubted:
                groups.setdefault(zone, []).append(part)
        self.goal = {}
        for zone, parts in groups.items():
            some = {n: self.weight(m) for n, m in here.items() if zone in ("", m.zone)}
            self.goal.update(dealt(parts, some, self.holder_of))
            self.goal.update({part: self.wished[part] for part in parts if self.wished.get(part) in some})
        owned = ((p, held) for p, held in self.book.parts.items() if held.owner and not held.ended)
        nobodys = [part for part, _ in owned if part not in wanted]
        self.open = dict.fromkeys(p for p, name in self.goal.items() if not self.is_right(p, name))
        self.open |= dict.fromkeys(nobodys)

    def is_right(self, part: str, name: str) -> bool:
        held, member = self.book.parts.get(part), self.members[name]
        right = held is not None and (held.owner, held.incarnation) == (name, member.incarnation)
        return right and held is not None and self.released.get(part) != held.token

    def holder_of(self, part: str) -> str:
        """Who has a part by the log, its present start or an earlier one; empty where nobody has."""
        held = self.book.parts.get(part)
        return held.owner if held is not None and held.owner else ""

    def fenced(self, part: str) -> bool:
        return part not in self.told or self.told[part][1].fenced

    def is_free(self, now: float, part: str, held: Part | None) -> bool:
        """True where nobody can act on a part: it was given up, or its owner's lease is surely over."""
        if held is None or not held.owner or held.incarnation is None:
            return True
        if self.released.get(part) == held.token:
            return True
        last = self.heard.get((held.owner, held.incarnation), self.since)
        return now >= last + self.pace.wait_s(self.fenced(part))

    def grants(self, now: float, changes: list[list[Any]]) -> None:
        """Parts that nobody can act on go to who is to own them, or to nobody."""
        for part in self.open:
            held, name = self.book.parts.get(part), self.goal.get(part, "")
            if ("grant", part) in self.on_way or not self.is_free(now, part, held):
                continue
            before = held.token if held is not None else 0
            if not name:
                change = ["free", part, before, "wanted no more"]
            elif self.is_known(self.members[name]):
                why = "first" if not before else "given up" if part in self.released else "owner lost"
                change = ["grant", part, name, self.members[name].incarnation.plain(), before, why]
            else:
                continue
            if self.ask(changes, ("grant", part), change):
                self.going[part] = name
                self.touch(held.owner if held is not None else "")

    def moves_due(self, now: float) -> None:
        """Asks living owners to give up what is to be another's, so many a second."""
        rate = self.terms.moves_per_s
        self.moves = min(max(1.0, rate), self.moves + rate * (now - self.moves_at))
        self.moves_at = now
        if now < self.since + self.pace.hold_s:  # not all that live have been heard
            return
        for part in self.open:
            if self.moves < 1.0:
                return
            held, name = self.book.parts.get(part), self.goal.get(part, "")
            owner = self.members.get(held.owner) if held is not None else None
            if held is None or owner is None or owner.name == name or owner.incarnation != held.incarnation:
                continue
            if owner.stand is not Stand.LOST and part not in owner.giving and part not in self.released:
                owner.giving[part] = held.token
                self.moves -= 1.0

    def wish(self, part: str, name: str) -> str | None:
        """An operator wants a part at a member, while this instance leads; why not, where it cannot be."""
        wanted, member = self.wants(), self.members.get(name)
        if part not in wanted:
            return f"{part} is no part of a duty"
        if member is None or member.stand in (Stand.WAITING, Stand.LOST):
            return f"{name} is not heard"
        if wanted[part] not in ("", member.zone):
            return f"{part} wants a member of {wanted[part]}"
        self.wished[part], self.stale = name, True
        return None

    # What the log says.

    def took(self, now: float, changes: list[list[Any]], effects: list[Effect]) -> None:
        """An entry was committed: its changes, and what they came to."""
        for change in changes:
            self.settled(change)
        for effect in effects:
            if effect.what in ("granted", "freed", "ended"):
                if self.goal.get(effect.part, "") == (effect.member if effect.what == "granted" else ""):
                    self.open.pop(effect.part, None)
                self.released.pop(effect.part, None)
                for member in self.members.values():
                    member.giving.pop(effect.part, None)
            elif effect.what == "stepped":
                self.stepped[effect.part] = now
            if effect.what == "left":
                self.members.pop(effect.member, None)
                self.touched.pop(effect.member, None)
            elif effect.what != "joined":
                self.touch(effect.member)
            # Grants are what the goal wants, or it was worked out anew since.
            self.stale = self.stale or effect.what in ("joined", "opened", "ended", "freed")


def dealt(parts: list[str], weights: dict[str, float], holder: Callable[[str], str]) -> dict[str, str]:
    """Who is to have each part: quotas by weight, as few moves as they allow, ties by name."""
    total = sum(weights.values())
    if not total:
        return {}
    names = sorted(weights)
    quota = {name: len(parts) * weights[name] / total for name in names}
    has: dict[str, list[str]] = {name: [] for name in names}
    loose: list[str] = []
    for part in parts:
        has.get(holder(part), loose).append(part)
    for name in names:  # what is above a quota, rounded up, is given up
        most = ceil(quota[name] - 1e-9)
        loose += has[name][most:]
        del has[name][most:]
    lacks = [(len(has[name]) - quota[name], name) for name in names]
    heapify(lacks)
    for part in loose:
        over, name = lacks[0]
        has[name].append(part)
        heapreplace(lacks, (over + 1, name))
    while True:  # who lacks a whole part gets it from who is furthest above its quota
        low = min(names, key=lambda n: len(has[n]) - quota[n])
        high = max(names, key=lambda n: len(has[n]) - quota[n])
        if len(has[low]) + 1 > quota[low] + 1e-9 or len(has[high]) <= quota[high]:
            break
        has[low].append(has[high].pop())
    return {part: name for name, some in has.items() for part in some}
