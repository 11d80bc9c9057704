"""What the decisions of the log come to: where the release stands, its share, and which nodes drain.

`Ledger.apply` is called with each committed decision, in the same order at every instance, and does the same
at each. A decision that does not fit where the release stands then, or that was decided already, is
withdrawn there and everywhere. Those that take effect are numbered by places without a gap; whoever applies
them compares places and epochs (`fence.py`).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any, NamedTuple

from pinward.terms import Phase

NAMES_MOST = 4096  # identities remembered: longer than any caller repeats a decision
RECENT_MOST = 1024  # decisions kept for those that apply late; who is further behind gets the whole
DRAINS_MOST = 10_000  # nodes that drain at a time


class Act(Enum):
    """What can be decided, by the word that stands for it on the wire."""

    OFFER = "offer"  # a release goes on trial, at stage 0
    PROMOTE = "promote"  # to `stage`; beyond the last one it is released
    HOLD = "hold"  # at its stage until it is promoted or sent back
    BACK = "back"
    BACK_DONE = "withdrawn"  # the platform has taken it off
    SHARE = "share"  # caps what fronts may send it, below the stage's cap
    DRAIN = "drain"
    FILL = "fill"  # a drained node takes work again


@dataclass(frozen=True)
class Decision:
    """One decision; `name` is its identity, `by` who asked for it."""

    name: str
    act: Act
    release: int = 0
    stage: int = 0
    share: float = 1.0
    node: str = ""
    by: str = ""

    def plain(self) -> list[Any]:
        return [self.name, self.act.value, self.release, self.stage, self.share, self.node, self.by]

    @staticmethod
    def of(plain: Any) -> Decision:
        """From plain data; raises ValueError where it is none."""
        try:
            name, act, release, stage, share, node, by = plain
            made = Decision(name, Act(act), release, stage, share, node, by)
        except (TypeError, ValueError) as fault:
            raise ValueError(f"no decision: {fault}") from None
        texts = all(isinstance(word, str) and len(word) <= 200 for word in (name, node, by))
        whole = all(type(number) is int and 0 <= number < 2**53 for number in (release, stage))
        if not (texts and whole and name and isinstance(share, int | float) and 0.0 <= share <= 1.0):
            raise ValueError(f"no decision: {plain!r}")
        return made


class Placed(NamedTuple):
    """A decision that took effect, as those that apply it are told."""

    place: int
    epoch: int  # of the leadership that decided it
    decision: Decision


@dataclass(frozen=True)
class Standing:
    """Where the newest release stands."""

    release: int = 0
    stage: int = 0
    phase: Phase = Phase.RELEASED
    held: bool = False
    share: float = 1.0


@dataclass
class Ledger:
    stages: int  # of a release, as the settings tell
    place: int = 0
    standing: Standing = field(default_factory=Standing)
    drains: dict[str, None] = field(default_factory=dict)  # a set that keeps its order
    names: dict[str, int] = field(default_factory=dict)  # identity to its place, 0: withdrawn
    recent: deque[Placed] = field(default_factory=lambda: deque(maxlen=RECENT_MOST))

    def apply(self, epoch: int, decision: Decision) -> Placed | str:
        """Takes in the next decision of the log: its place, or why it is withdrawn."""
        if decision.name in self.names:
            return "decided already"
        why = self.misfit(decision)
        self.names[decision.name] = 0 if why else self.place + 1
        while len(self.names) > NAMES_MOST:
            del self.names[next(iter(self.names))]
        if why:
            return why
        self.place += 1
        self.effect(decision)
        placed = Placed(self.place, epoch, decision)
        self.recent.append(placed)
        return placed

    def misfit(self, decision: Decision) -> str | None:
        """Why a decision does not fit where things stand; None where it does."""
        now, act = self.standing, decision.act
        if act is Act.OFFER:
            if decision.release <= now.release:
                return f"release {now.release} is newer or the same"
            if now.phase in (Phase.TRIAL, Phase.GOING_BACK):
                return f"release {now.release} is still on its way"
            return None
        if act is Act.DRAIN:
            return "too many nodes drain" if len(self.drains) >= DRAINS_MOST else None
        if act is Act.FILL:
            return None if decision.node in self.drains else "the node does not drain"
        if decision.release != now.release:
            return f"release {now.release} is the newest"
        if act is Act.BACK_DONE:
            return None if now.phase is Phase.GOING_BACK else "it is not going back"
        if act is Act.BACK:
            return None if now.phase in (Phase.TRIAL, Phase.RELEASED) else "it is going back already"
        if now.phase is not Phase.TRIAL:
            return "it is not on trial"
        if act is Act.PROMOTE and decision.stage != now.stage + 1:
            return f"it stands at stage {now.stage}"
        return None

    def effect(self, decision: Decision) -> None:
        now, act = self.standing, decision.act
        if act is Act.OFFER:
            now = Standing(decision.release, 0, Phase.TRIAL)
        elif act is Act.PROMOTE and decision.stage >= self.stages:
            now = replace(now, phase=Phase.RELEASED, held=False, share=1.0)
        elif act is Act.PROMOTE:
            now = replace(now, stage=decision.stage, held=False)
        elif act is Act.HOLD:
            now = replace(now, held=True)
        elif act is Act.BACK:
            now = replace(now, phase=Phase.GOING_BACK, held=False)
        elif act is Act.BACK_DONE:
            now = replace(now, phase=Phase.WITHDRAWN)
        elif act is Act.SHARE:
            now = replace(now, share=decision.share)
        elif act is Act.DRAIN:
            self.drains[decision.node] = None
        else:
            del self.drains[decision.node]
        self.standing = now

    def since(self, place: int) -> list[Placed] | None:
        """All that took effect after a place; None where that is too long ago, and the whole must be told."""
        if place >= self.place:
            return []
        if not self.recent or place < self.recent[0].place - 1:
            return None
        return [placed for placed in self.recent if placed.place > place]

    def plain(self) -> dict[str, Any]:
        """The whole as plain data, the same at each instance that applied the same."""
        now = self.standing
        return {
            "place": self.place,
            "standing": [now.release, now.stage, now.phase.name, now.held, now.share],
            "drains": list(self.drains),
            "names": list(self.names.items()),
            "recent": [[p.place, p.epoch, p.decision.plain()] for p in self.recent],
        }

    @staticmethod
    def of(stages: int, plain: dict[str, Any] | None) -> Ledger:
        ledger = Ledger(stages)
        if plain is None:
            return ledger
        release, stage, phase, held, share = plain["standing"]
        ledger.place = plain["place"]
        ledger.standing = Standing(release, stage, Phase[phase], held, share)
        ledger.drains = dict.fromkeys(plain["drains"])
        ledger.names = {name: place for name, place in plain["names"]}
        ledger.recent.extend(Placed(p, e, Decision.of(d)) for p, e, d in plain["recent"])
        return ledger


