"""The half of whoever applies decisions or takes effects: it refuses who was followed, and repeats.

A platform, a proxy or a front that listens embeds a `Fence`, calls it at each word of a leader, and keeps
what it returns on a disk before the leader is answered. Nothing here does I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
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


@dataclass
class Fences:
    """A fence for each part of a duty, in one who takes effects: `admit` compares tokens.

    What it answers with APPLY must be on a disk before the effect is done (`keep`, called with part and
    token); where that fails, nothing was admitted. Parts are bounded: beyond, a new part is refused, since
    forgetting a token would let an old owner in.
    """

    keep: Callable[[str, int], None]
    most: int = 100_000
    parts: dict[str, Fence] = field(default_factory=dict)

    def admit(self, part: str, token: int) -> Answer:
        """What an effect under a token is answered: APPLY and KNOWN let it in, STALE and GAP do not."""
        fence = self.parts.get(part)
        if fence is None:
            if len(self.parts) >= self.most:
                return Answer.GAP
            fence = Fence()
        before = fence.epoch
        answer = fence.greet(token)
        if answer is Answer.APPLY:
            try:
                self.keep(part, token)
            except BaseException:
                fence.epoch = before
                raise
            self.parts[part] = fence
        return answer

    def token(self, part: str) -> int:
        """The highest token that a part has shown; 0: none."""
        return self.parts[part].epoch if part in self.parts else 0
