"""The half of whoever applies decisions: it refuses leaders that were followed by another, and repeats.

A platform, a proxy or a front that listens embeds a `Fence`, calls it at each word of a leader, and keeps
what it returns on a disk before the leader is answered. Nothing here does I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Answer(Enum):
    """What a leader is answered."""

    APPLY = "ok"  # new: keep, apply, then say so
    KNOWN = "known"  # applied before
    STALE = "stale"  # a later leadership has spoken
    GAP = "gap"  # something before it is missing


@dataclass
class Fence:
    """The highest epoch that spoke, and the last place applied."""

    epoch: int = 0
    place: int = 0

    def greet(self, epoch: int) -> Answer:
        """A leader presents itself; APPLY where its epoch was raised and must be kept."""
        if epoch < self.epoch:
            return Answer.STALE
        known, self.epoch = epoch == self.epoch, epoch
        return Answer.KNOWN if known else Answer.APPLY

    def judge(self, epoch: int, place: int) -> Answer:
        """A leader of `epoch` says what stands at `place`."""
        if epoch >= self.epoch and place > self.place + 1:
            self.epoch = epoch
            return Answer.GAP
        return self.whole(epoch, place)

    def whole(self, epoch: int, place: int) -> Answer:
        """A leader tells the whole state as it stands after `place`."""
        if epoch < self.epoch:
            return Answer.STALE
        self.epoch = epoch
        if place <= self.place:
            return Answer.KNOWN
        self.place = place
        return Answer.APPLY
