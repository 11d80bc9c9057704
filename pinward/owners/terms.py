"""The words of the owners' core: duties, who may own them, and the times of their leases.

Times are float seconds on the clock of one process alone; no time ever goes from one process to another.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MEMBERS_MOST = 4096  # processes that may own, known at a time
PARTS_MOST = 100_000  # parts of all duties: one grant of each fits a log that is folded in time
NOTE_MOST = 4096  # bytes of a checkpoint


class Kind(Enum):
    """How the work of a duty is owned."""

    SINGLE = "single"  # one owner for all of it
    SPLIT = "split"  # one owner a part
    PERIODIC = "periodic"  # once a period, by whoever owns it; each period is a step
    ONE_OFF = "one-off"  # steps one after another, none twice, until it is ended


@dataclass(frozen=True)
class Duty:
    """Work on behalf of the fleet. Its parts are numbered, or named by zones where each wants its own."""

    name: str
    kind: Kind
    parts: int = 1
    zones: tuple[str, ...] = ()  # one part a zone, owned by a member of that zone
    period_s: float = 0.0  # of periodic work
    fenced: bool = True  # its targets compare tokens; else the next grant waits for what is on its way

    def names(self) -> list[tuple[str, str]]:
        """Its parts, each with the zone that its owner must be of, or none."""
        if self.zones:
            return [(f"{self.name}/{zone}", zone) for zone in self.zones]
        if self.kind is Kind.SPLIT:
            return [(f"{self.name}/{number}", "") for number in range(self.parts)]
        return [(self.name, "")]


def duty_of(part: str) -> str:
    return part.partition("/")[0]


@dataclass(frozen=True, order=True)
class Incarnation:
    """One start of a process on one disk. A nonce tells two that were started on copies of one disk."""

    birth: str
    starts: int
    nonce: str

    def plain(self) -> list[str | int]:
        return [self.birth, self.starts, self.nonce]

    @staticmethod
    def of(plain: object) -> Incarnation:
        """From plain data; raises ValueError where it is none."""
        if isinstance(plain, list) and len(plain) == 3:
            birth, starts, nonce = plain
            texts = all(isinstance(text, str) and 0 < len(text) <= 64 for text in (birth, nonce))
            if texts and type(starts) is int and 0 < starts < 2**53:
                return Incarnation(birth, starts, nonce)
        raise ValueError(f"no incarnation: {plain!r:.80}")


@dataclass(frozen=True)
class Pace:
    """The times of ownership, the same at every instance and member of an installation."""

    hold_s: float  # the leader gives nothing of a member to another for so long after it heard it
    beat_s: float  # a member renews at least so often
    flight_s: float  # the longest that an effect is on its way to a target that cannot compare tokens
    skew: float  # clocks run at most so much faster or slower than true, as a share

    @property
    def lease_s(self) -> float:
        """How long an owner may act after it ASKED the leader that answered: even where its own clock is
        slow and the leader's fast, the leader still holds its parts for it."""
        return self.hold_s * (1 - self.skew) / (1 + self.skew)

    def wait_s(self, fenced: bool) -> float:
        """How long after it last heard the owner the leader gives its part to the next. Where no fence stands
        before the target, what the owner said at its last moment must have arrived."""
        return self.hold_s if fenced else self.hold_s + self.flight_s * (1 + self.skew)

    def takeover_s(self, leaderless_s: float, fenced: bool = True) -> float:
        """From an owner's death until the next may act, at the most, in true seconds.

        The leader may have heard the owner in its last moment, or be followed by another that must count the
        whole wait anew; its clock may be slow; then it looks once a beat, and the next owner is told at its
        next beat. `leaderless_s`: how long nobody leads, 0.0 where the leader lives; words on their way and
        syncs are to be within a beat.
        """
        slow = 1 - self.skew
        return leaderless_s + self.wait_s(fenced) / slow + 3 * self.beat_s / slow
