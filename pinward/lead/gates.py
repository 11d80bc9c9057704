"""How votes become decisions: one, shares, a majority, or the clock. Kept by the leader alone, not on disk.

A new leader begins without votes; fronts vote again as theirs lapse. Nothing here does I/O or reads a clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import ceil, inf

from pinward.lead.ledger import Act, Standing
from pinward.terms import Phase, Verdict

FRONTS_MOST = 4096  # fronts whose votes are held at a time: beyond, the one that lapses first goes


class Way(Enum):
    """What moves a release on."""

    ONE = "one"
    SHARES = "shares"
    MAJORITY = "majority"
    CLOCK = "clock"


@dataclass(frozen=True)
class GateTerms:
    """What the settings tell of the gate."""

    way: Way
    fronts: int  # of the installation
    on_share: float = 0.5  # of the fronts, at the way SHARES
    back_share: float = 0.0  # likewise; 0: one front sends back
    soak_s: float = 0.0  # a stage runs at least so long
    stage_s: float = 0.0  # at the way CLOCK, it moves on after so long unless held or sent back
    vote_life_s: float = 10.0

    @property
    def on_votes(self) -> int:
        if self.way is Way.ONE:
            return 1
        if self.way is Way.MAJORITY:
            return self.fronts // 2 + 1
        return max(1, ceil(self.on_share * self.fronts - 1e-9))

    @property
    def back_votes(self) -> int:
        return max(1, ceil(self.back_share * self.fronts - 1e-9))


@dataclass
class Gates:
    terms: GateTerms
    standing: Standing = field(default_factory=Standing)
    since: float = -inf
    votes: dict[str, tuple[Verdict, float]] = field(default_factory=dict)  # front: verdict, until when

    def stands(self, now: float, standing: Standing) -> None:
        """Where the release stands by the log; votes on an earlier stage are over."""
        before, self.standing = self.standing, standing
        at = (standing.release, standing.stage, standing.phase)
        if at != (before.release, before.stage, before.phase):
            self.votes.clear()
            self.since = now

    def vote(self, now: float, front: str, release: int, stage: int, verdict: Verdict) -> bool:
        """A front votes; False where the vote is on something else than what stands now."""
        here = self.standing
        if release != here.release or here.phase not in (Phase.TRIAL, Phase.RELEASED):
            return False
        if here.phase is Phase.TRIAL and stage != here.stage:
            return False
        self.votes.pop(front, None)  # so that the order is that of lapsing
        if verdict is not Verdict.NONE:
            self.votes[front] = (verdict, now + self.terms.vote_life_s)
        while len(self.votes) > FRONTS_MOST:
            del self.votes[next(iter(self.votes))]
        return True

    def count(self, now: float, verdict: Verdict) -> int:
        return sum(said is verdict and until > now for said, until in self.votes.values())

    def due(self, now: float) -> Act | None:
        """What the votes and the clock call for now, if anything."""
        here, terms = self.standing, self.terms
        if here.phase not in (Phase.TRIAL, Phase.RELEASED) or not here.release:
            return None
        if self.count(now, Verdict.BACK) >= terms.back_votes:
            return Act.BACK
        if here.phase is Phase.RELEASED:
            return None
        holds = self.count(now, Verdict.HOLD)
        if holds >= terms.on_votes:
            return None if here.held else Act.HOLD
        ran = now - self.since
        if terms.way is Way.CLOCK:
            return Act.PROMOTE if ran >= terms.stage_s and not holds and not here.held else None
        enough = self.count(now, Verdict.ON) >= terms.on_votes
        return Act.PROMOTE if enough and ran >= terms.soak_s else None
