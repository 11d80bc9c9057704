"""Which control fronts should vote: what an acting primary knows of voters, standbys and those that must end.

Decides the next change of the voters; carries out none. Who should vote is told by what must be borne
(`plan/fault_tolerance.py`): for machines alone, twice the losses plus one. Further control fronts stand by:
they hold the state as it was taught, and vote on nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from pinward.exchange.view import BEAT_S, GOING_S, LEAVING_S, ROUND_S, SILENT_S, View, majority
from pinward.plan.fault_tolerance import FaultTolerance, Localities


@dataclass(frozen=True)
class Change:
    """One voter goes, one comes, or both."""

    leaver: str | None
    newcomer: str | None

    def voters(self, view: View) -> tuple[str, ...]:
        here = set(view.voters) - {self.leaver}
        return tuple(sorted(here | ({self.newcomer} if self.newcomer is not None else set())))


class Membership:
    def __init__(self, own: str, tolerance: FaultTolerance) -> None:
        self.own, self.tolerance, self.silent_s = own, tolerance, SILENT_S
        self.since = -inf  # since when this machine leads without a break
        self.heard: dict[str, float] = {}  # when each other machine last answered a beat
        self.taught: set[str] = set()  # standbys whose disks hold what was taught
        self.leaving: dict[str, float] = {}  # who must end, and when it last said so
        self.let_go: dict[str, float] = {}  # who was told that it may end, and when

    def begin(self, now: float) -> None:
        """This machine leads, and did not before."""
        self.since = now
        self.heard.clear()
        self.taught.clear()

    def live(self, now: float) -> set[str]:
        """Who answered of late, and this machine."""
        return {self.own, *(peer for peer, at in self.heard.items() if now - at < ROUND_S)}

    def ends(self, now: float) -> set[str]:
        """Who has said of late that it must end."""
        self.leaving = {peer: at for peer, at in self.leaving.items() if now - at < LEAVING_S}
        return set(self.leaving)

    def standbys(self, now: float, view: View) -> list[str]:
        """Machines that answer and don't vote."""
        return sorted(peer for peer in self.live(now) if peer not in view.voters and peer != self.own)

    def gone(self, now: float, view: View) -> list[str]:
        """Voters whose seat may go to another: those told to end, then the longest silent."""
        ends = self.ends(now)
        silent = {v: now - max(self.heard.get(v, -inf), self.since) for v in view.voters if v != self.own}
        found = [v for v, s in silent.items() if v in ends or s > self.silent_s]
        return sorted(found, key=lambda v: (v not in ends, -silent[v], v))

    def next_change(self, now: float, view: View, localities: Localities) -> Change | None:
        """The change that is due, where it would keep a majority of both sets of voters."""
        if view.former:
            return None
        ends, live, gone = self.ends(now), self.live(now), self.gone(now, view)
        ready = [p for p in self.standbys(now, view) if p in self.taught and p not in ends]
        if not (ready or len(view.voters) > 1):
            return None
        best: Change | None = None
        lacking = self.tolerance.voters_lacking(view.voters, localities)
        for change in self.steps(view, self.target(view, localities, gone, ready), gone):
            voters = change.voters(view)
            left = self.tolerance.voters_lacking(voters, localities)
            kept = majority(live, view.voters) and majority(live, voters)
            if kept and (left < lacking or (best is None and left == lacking)):
                best, lacking = change, left
        return best

    def target(
        self, view: View, localities: Localities, gone: list[str], ready: list[str]
    ) -> list[str]:
        """Who should vote, of the voters and the standbys that are ready.

        Voters that are gone stay where the others do not bear what may be lost. Where nobody's vote makes
        that right, all that are here vote, and one that is gone keeps its seat until another is ready.
        """

        def rank(name: str) -> tuple[int, bool, bool, bool, str]:
            gone_for = len(gone) - gone.index(name) if name in gone else 0
            return (gone_for, name != self.own, name not in view.copies, name not in view.voters, name)

        here = [voter for voter in view.voters if voter not in gone]
        for servers in ([*here, *ready], [*view.voters, *ready]):
            chosen = self.tolerance.choose_voters(servers, localities, rank)
            if chosen is not None:
                return chosen
        return [*here, *ready, *gone[len(ready) :]]

    def steps(self, view: View, target: list[str], gone: list[str]) -> list[Change]:
        """Changes of one voter that lead to the target, the better of two alike first."""
        newcomers = [name for name in target if name not in view.voters]
        others = [v for v in reversed(view.voters) if v != self.own and v not in gone]
        without_copy = [v for v in others if v not in view.copies]
        with_copy = [v for v in others if v in view.copies]
        leavers = [v for v in (*gone, *without_copy, *with_copy) if v not in target]
        swaps = [Change(leaver, newcomer) for leaver in leavers for newcomer in newcomers]
        joins = [Change(None, newcomer) for newcomer in newcomers]
        return [*swaps, *joins, *(Change(leaver, None) for leaver in leavers)]

    def others(self, now: float, view: View) -> set[str]:
        """Live voters that stay and hold no copy: they can take one."""
        return (self.live(now) & set(view.voters)) - set(view.copies) - self.ends(now)

    def may_go(self, now: float, view: View, peer: str) -> bool:
        """True where a machine that must end holds nothing that another should take first."""
        # One let go a moment ago may still answer. Harm: two go at once, and no majority is left.
        self.let_go = {p: at for p, at in self.let_go.items() if now - at < GOING_S}
        ends, rest = self.ends(now), self.live(now) - {peer} - self.let_go.keys()
        if peer in view.copies and (self.others(now, view) or not rest & set(view.copies)):
            return False
        if peer in view.voters:
            if now - self.since < 2 * BEAT_S:
                return False  # standbys have not had the time to answer one that leads since a moment
            if any(p not in ends for p in self.standbys(now, view)):
                return False  # one is ready for its seat, or is being taught
            if not majority(rest, view.voters):
                return False
        self.let_go[peer] = now
        return True
