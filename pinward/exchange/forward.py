"""Calls that a control front passes on to the primary: in time, under one epoch, once.

Both ends without I/O. `Outgoing` is the control front's: which calls wait for an answer, and what a `call`
word says. `Incoming` is the primary's: whether a word that comes may be carried out.

A word may wait in a link that is cut and come when it heals. So it tells the time left as a span, and how
long it has been on its way is seen by the primary's own clock alone: each beat tells that clock's time, `at`;
the caller sends it back with the span since it heard it, and whatever the primary's clock shows beyond the
two was spent on the way. Times of two machines are never compared.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

KEPT_S = 2.0  # s that the primary remembers a call: none is carried out that is older than its caller's time
KEPT_MOST = 512  # calls remembered: an operator's eight and the machines' control fronts are far fewer

Word = dict[str, Any]


@dataclass(frozen=True)
class Clock:
    """The clock of a primary as a control front last heard it."""

    primary: str
    epoch: int
    at: float  # s, the primary's
    heard: float  # s, own


class Outgoing:
    """Calls of one life of a control front that were passed on and have no answer yet."""

    def __init__(self, life: str) -> None:
        self.life, self.count = life, 0
        self.clock: Clock | None = None
        self.open: dict[str, Clock] = {}

    def heard(self, now: float, primary: str, epoch: int, at: float) -> list[str]:
        """A primary's beat; returns the calls whose answer will not come, since another machine leads.

        One that leads on under a new epoch, since a copy was lost, answers what it had begun.
        """
        self.clock = Clock(primary, epoch, at, now)
        return [id_ for id_, clock in self.open.items() if clock.primary != primary]

    def begin(self, now: float, primary: str, left: float) -> Word | None:
        """What a call to the primary says beside its matter; None where its clock is not known."""
        clock = self.clock
        if clock is None or clock.primary != primary:
            return None
        self.count += 1
        id_ = f"{self.life}.{self.count}"
        self.open[id_] = clock
        return {
            "t": "call", "id": id_, "life": self.life, "epoch": clock.epoch, "at": clock.at,
            "since": now - clock.heard, "left": left,
        }  # fmt: skip

    def answered(self, peer: str, word: Word) -> bool:
        """True where a reply is the answer of the machine that a call of this life was passed on to."""
        clock = self.open.get(word["id"])
        return clock is not None and word.get("life") == self.life and clock.primary == peer

    def end(self, id_: str) -> None:
        self.open.pop(id_, None)


class Fate(Enum):
    """What becomes of a call that comes."""

    NEW = auto()  # to be carried out
    AGAIN = auto()  # it came before: its reply is sent again where it has one
    OVER = auto()  # its time is over; nobody waits for it
    ELSEWHERE = auto()  # meant for another epoch, or there is no room: nothing was done, the caller is told


class Incoming:
    """Calls that came to the primary, remembered for longer than any of them may be carried out."""

    def __init__(self) -> None:
        self.calls: OrderedDict[str, tuple[float, Word | None]] = OrderedDict()  # when it came, its reply

    def judge(self, now: float, epoch: int | None, word: Word) -> tuple[Fate, float]:
        """The fate of a call and the seconds left for it; `epoch` is None where this machine leads none."""
        while self.calls and now - next(iter(self.calls.values()))[0] > KEPT_S:
            self.calls.popitem(last=False)
        # A clock that runs faster than the caller's makes the way look shorter than none, by a few ms.
        way = max(0.0, now - word["at"] - word["since"])
        left: float = min(word["left"], KEPT_S) - way
        if word["id"] in self.calls:
            return Fate.AGAIN, left
        if epoch is None or word["epoch"] != epoch:
            return Fate.ELSEWHERE, left
        if left <= 0:
            return Fate.OVER, left
        if len(self.calls) >= KEPT_MOST:
            return Fate.ELSEWHERE, left
        self.calls[word["id"]] = (now, None)
        return Fate.NEW, left

    def replied(self, id_: str, reply: Word) -> None:
        if id_ in self.calls:
            self.calls[id_] = (self.calls[id_][0], reply)

    def reply(self, id_: str) -> Word | None:
        return self.calls[id_][1] if id_ in self.calls else None
