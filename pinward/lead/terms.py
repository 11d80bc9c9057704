"""The interface of the leadership core: roles, words between instances, and what stands in the log.

Words are plain tuples: a `Word`, then its things. Times are float seconds on the clock of one instance alone;
no time ever goes from one instance to another.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import Any, NamedTuple


class Role(Enum):
    """Where an instance stands; only LEADING may act."""

    FOLLOWING = auto()
    CANVASSING = auto()  # asks whether it would be voted for, without raising the epoch
    STANDING = auto()  # asks for votes in an epoch of its own
    LEADING = auto()
    YIELDING = auto()  # led, acts no more, brings its heir up to date
    LEFT = auto()  # no member any more
    HALTED = auto()  # its disk failed: it says nothing more


class Word(IntEnum):
    """What instances say to each other, with the things that follow, the epoch always first."""

    CANVASS = 1  # last epoch, last index
    CANVASSED = 2  # granted
    ASK_VOTE = 3  # last epoch, last index, handed over
    VOTED = 4  # granted
    APPEND = 5  # round, index before, its epoch, entries, committed
    TAKEN = 6  # round, True and how far the log agrees; or False and where to try
    WHOLE = 7  # round, a Base
    HAND = 8  # nothing: stand at once


class Sort(IntEnum):
    """What an entry of the log is."""

    NOTHING = 0  # a leader's first entry
    DECISION = 1
    MEMBERS = 2
    DUTIES = 3  # changes of who owns what: pinward/owners/book.py


@dataclass(frozen=True, slots=True)
class Entry:
    epoch: int
    index: int
    sort: Sort
    body: Any  # None, or a decision, Members or changes of duties as plain data


@dataclass(frozen=True)
class Members:
    """Who counts towards a majority, and who only follows until it has caught up; with their addresses."""

    voters: frozenset[str]
    learners: frozenset[str] = frozenset()
    where: tuple[tuple[str, str], ...] = ()  # name, host:port

    @property
    def all(self) -> frozenset[str]:
        return self.voters | self.learners

    def majority_in(self, names: set[str] | frozenset[str]) -> bool:
        return 2 * len(self.voters & names) > len(self.voters)

    def plain(self) -> dict[str, Any]:
        where = [list(pair) for pair in self.where]
        return {"voters": sorted(self.voters), "learners": sorted(self.learners), "where": where}

    @staticmethod
    def of(plain: dict[str, Any]) -> Members:
        """From plain data; raises ValueError where a list is wrong or half written."""
        try:
            voters, learners = frozenset(plain["voters"]), frozenset(plain["learners"])
            where = tuple((name, place) for name, place in plain["where"])
        except (KeyError, TypeError, ValueError) as fault:
            raise ValueError(f"no list of members: {fault!r}") from None
        names = [name for name, _ in where]
        if not voters or voters & learners or sorted(names) != sorted(voters | learners):
            raise ValueError("a list of members needs voters, each name once, and an address for each")
        if not all(isinstance(word, str) and word for pair in where for word in pair):
            raise ValueError("names and addresses of members are texts")
        return Members(voters, learners, where)


@dataclass(frozen=True, slots=True)
class Base:
    """What the log begins after: the last entry folded in, the members then, and the state as plain data."""

    index: int
    epoch: int
    members: Members
    state: Any


@dataclass
class Kept:
    """What an instance has on its disk."""

    epoch: int
    vote: str | None
    base: Base
    entries: list[Entry] = field(default_factory=list)

    def copy(self) -> Kept:
        return Kept(self.epoch, self.vote, self.base, list(self.entries))

    def take(self, save: Save) -> None:
        """Takes in a save, as every disk does, real or played; raises ValueError where it does not follow."""
        if save.promise is not None:
            if save.promise[0] < self.epoch:
                raise ValueError("an epoch falls")
            self.epoch, self.vote = save.promise
        if save.base is not None:
            place = save.base.index - self.base.index
            keeps = 0 < place <= len(self.entries) and self.entries[place - 1].epoch == save.base.epoch
            self.entries = self.entries[place:] if keeps else []
            self.base = save.base
        if save.entries:
            place = save.entries[0].index - self.base.index - 1
            if not 0 <= place <= len(self.entries):
                raise ValueError("entries are missing")
            self.entries[place:] = save.entries


class Save(NamedTuple):
    """What must be on disk before `Core.saved` is called with its ticket; what is None stays as it is."""

    ticket: int
    promise: tuple[int, str | None] | None  # epoch, whom it votes for
    entries: tuple[Entry, ...]  # in place of all from the first one's index on
    base: Base | None


@dataclass(frozen=True)
class Pace:
    """The times of an installation, the same at every instance."""

    wait_s: float  # an instance that heard of a leader stays with it at least so long
    beat_s: float  # a leader is heard at least so often
    skew: float  # clocks run at most so much faster or slower than true, as a share

    @property
    def lease_s(self) -> float:
        """How long a leader may act after it ASKED a majority that answered: even where its own clock is slow
        and theirs are fast, none of them lets another begin before."""
        return self.wait_s * (1 - self.skew) / (1 + self.skew)
