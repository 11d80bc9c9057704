"""What the leadership's log says of duties: the same at every instance that applied the same.

A token is the index of the log's entry that granted the part: it only grows, whoever leads. `Book.apply`
takes the changes of one entry in order; one that does not fit any more when its turn comes is left out, at
every instance alike. Nothing here does I/O or reads a clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from pinward.owners.terms import MEMBERS_MOST, NOTE_MOST, PARTS_MOST, Incarnation

GONE_MOST = 4096  # members that own nothing any more whose disks are remembered
ENDED_MOST = 1024  # one-offs remembered after their end


@dataclass
class Part:
    """One part of a duty, as the log has it."""

    owner: str = ""  # a member's name; empty: never granted
    incarnation: Incarnation | None = None
    token: int = 0
    step: int = 0  # how far one-off or periodic work has come
    note: str = ""  # its checkpoint
    opened: bool = False  # a one-off that the log began, not the settings
    ended: bool = False


class Known(NamedTuple):
    """The newest start of a member that the log knows."""

    incarnation: Incarnation
    zone: str
    entry: int  # the index of the one that took it in


class Effect(NamedTuple):
    """A change that took effect, for the log of events."""

    what: str
    part: str
    member: str
    token: int
    why: str


@dataclass
class Book:
    parts: dict[str, Part] = field(default_factory=dict)
    members: dict[str, Known] = field(default_factory=dict)
    disks: dict[str, tuple[str, int]] = field(default_factory=dict)  # name: newest disk, its most starts
    owned: dict[str, dict[str, None]] = field(default_factory=dict)  # parts by member, of the above

    def apply(self, index: int, changes: Any) -> list[Effect]:
        """Takes in one committed entry; what took effect. Raises ValueError where it is malformed."""
        if not isinstance(changes, list):
            raise ValueError(f"no changes of duties: {changes!r:.80}")
        effects = (self.change(index, change) for change in changes)
        return [effect for effect in effects if effect is not None]

    def change(self, index: int, change: Any) -> Effect | None:
        try:
            what, *things = change
            acts: dict[str, Callable[..., Effect | None]] = {
                "join": self.join, "grant": self.grant, "free": self.free, "step": self.step,
                "end": self.end, "open": self.open, "leave": self.leave,
            }  # fmt: skip
            return acts[what](index, *things)
        except (KeyError, TypeError) as fault:
            raise ValueError(f"no change of duties: {change!r:.80}: {fault!r}") from None

    # Each change: what it wants to be so, else it is left out.

    def join(self, index: int, name: str, plain: list[Any], zone: str) -> Effect | None:
        """A member's new start. What its former start owned stays granted to that one."""
        incarnation, known = Incarnation.of(plain), self.members.get(name)
        if known is not None and known.incarnation == incarnation:
            return None
        if known is None and len(self.members) >= MEMBERS_MOST:
            return None
        why = self.strange(name, incarnation)
        birth, starts = self.disks.pop(name, ("", 0))
        if birth != incarnation.birth:
            birth, starts = incarnation.birth, 0
        self.disks[name] = (birth, max(starts, incarnation.starts))
        while len(self.disks) > GONE_MOST + MEMBERS_MOST:
            del self.disks[next(iter(self.disks))]
        self.members[name] = Known(incarnation, zone, index)
        return Effect("joined", "", name, index, why)

    def leave(self, index: int, name: str, plain: list[Any]) -> Effect | None:
        """A member that is long gone and owns nothing makes room; its disk stays known."""
        known = self.members.get(name)
        if known is None or known.incarnation != Incarnation.of(plain) or self.owned.get(name):
            return None
        del self.members[name]
        self.owned.pop(name, None)
        return Effect("left", "", name, index, "not heard for long, and owns nothing")

    def strange(self, name: str, incarnation: Incarnation) -> str:
        """What is to be reported of a start: its disk is another one than before, or an older copy."""
        birth, starts = self.disks.get(name, ("", 0))
        if not birth:
            return "new"
        if birth != incarnation.birth:
            return "another disk than before"
        return "again" if incarnation.starts > starts else "an older copy of its disk"

    def grant(
        self, index: int, part: str, member: str, plain: list[Any], before: int, why: str
    ) -> Effect | None:
        """A part goes to a member's start; `before` is the token that the grant ends."""
        known, now = self.members.get(member), self.parts.get(part, Part())
        incarnation = Incarnation.of(plain)
        fits = known is not None and known.incarnation == incarnation and now.token == before
        if not fits or now.ended or (part not in self.parts and len(self.parts) >= PARTS_MOST):
            return None
        if now.owner:
            self.owned[now.owner].pop(part, None)
        self.parts[part] = Part(member, incarnation, index, now.step, now.note, now.opened)
        self.owned.setdefault(member, {})[part] = None
        return Effect("granted", part, member, index, why)

    def free(self, index: int, part: str, token: int, why: str) -> Effect | None:
        """A part has no owner until it is granted anew; its token stays the highest."""
        now = self.parts.get(part)
        if now is None or now.token != token or not now.owner:
            return None
        self.owned[now.owner].pop(part, None)
        member, now.owner, now.incarnation = now.owner, "", None
        return Effect("freed", part, member, token, why)

    def step(self, index: int, part: str, token: int, step: int, note: str) -> Effect | None:
        """The owner of that token is through a step: counted once, in order."""
        now = self.parts.get(part)
        fits = now is not None and now.token == token and step == now.step + 1 and not now.ended
        if now is None or not fits or len(note.encode()) > NOTE_MOST:
            return None
        now.step, now.note = step, note
        return Effect("stepped", part, now.owner, token, note[:60])

    def end(self, index: int, part: str, token: int) -> Effect | None:
        now = self.parts.get(part)
        if now is None or now.token != token or now.ended:
            return None
        now.ended = True
        if now.owner:
            self.owned[now.owner].pop(part, None)
        ended = [name for name, kept in self.parts.items() if kept.ended]
        for name in ended[: max(0, len(ended) - ENDED_MOST)]:
            del self.parts[name]
        return Effect("ended", part, now.owner, token, "")

    def open(self, index: int, part: str, note: str) -> Effect | None:
        """A one-off is to be done: it waits for its first owner."""
        if part in self.parts or len(self.parts) >= PARTS_MOST or len(note.encode()) > NOTE_MOST:
            return None
        self.parts[part] = Part(note=note, opened=True)
        return Effect("opened", part, "", 0, note[:60])

    # The whole, for folding the log and for instances that come late.

    def plain(self) -> dict[str, Any]:
        return {
            "parts": [
                [
                    name, p.owner, p.incarnation.plain() if p.incarnation else None, p.token, p.step, p.note,
                    p.opened, p.ended,
                ]  # fmt: skip
                for name, p in self.parts.items()
            ],
            "members": [[n, k.incarnation.plain(), k.zone, k.entry] for n, k in self.members.items()],
            "disks": [[name, *disk] for name, disk in self.disks.items()],
        }

    @staticmethod
    def of(plain: dict[str, Any] | None) -> Book:
        """From `plain`; an empty one where there is none. Raises ValueError where it is malformed."""
        book = Book()
        if plain is None:
            return book
        try:
            for name, owner, incarnation, token, step, note, opened, ended in plain["parts"]:
                made = Incarnation.of(incarnation) if incarnation else None
                book.parts[name] = Part(owner, made, token, step, note, opened, ended)
                if owner and not ended:
                    book.owned.setdefault(owner, {})[name] = None
            for name, incarnation, zone, index in plain["members"]:
                book.members[name] = Known(Incarnation.of(incarnation), zone, index)
            book.disks = {name: (birth, starts) for name, birth, starts in plain["disks"]}
        except (KeyError, TypeError) as fault:
            raise ValueError(f"no book of duties: {fault!r}") from None
        return book
