"""The arithmetic of leases proved for all times and clocks within `skew`, and rejected with a sign turned."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any

import z3

from pinward.owners.terms import Pace


def lease(hold: Any, skew: Any) -> Any:
    """The program's own formula, on the solver's terms."""
    return Pace(hold, hold, hold, skew).lease_s


def wrong_lease(hold: Any, skew: Any) -> Any:
    return hold * (1 + skew) / (1 - skew)


class Times:
    """True times, and what clocks make of them: a clock of rate r shows r times what has passed."""

    def __init__(self) -> None:
        self.solver = z3.Solver()
        self.hold, self.skew, self.flight = z3.Reals("hold skew flight")
        self.solver.add(self.hold > 0, self.skew >= 0, self.skew < z3.Q(1, 2), self.flight >= 0)

    def rate(self, name: str) -> Any:
        rate = z3.Real(name)
        self.solver.add(rate >= 1 - self.skew, rate <= 1 + self.skew)
        return rate

    def time(self, name: str, after: Any = None) -> Any:
        at = z3.Real(name)
        if after is not None:
            self.solver.add(at >= after)
        return at

    def holds(self, claim: Any) -> bool:
        """True where the claim cannot be false."""
        self.solver.push()
        self.solver.add(z3.Not(claim))
        found = self.solver.check()
        self.solver.pop()
        if found == z3.unknown:
            raise AssertionError("the solver cannot tell")
        return found == z3.unsat


class Proof(unittest.TestCase):
    def one_leader(self, formula: Callable[[Any, Any], Any], flight: bool = False) -> bool:
        """A leader that heard the owner, and gives its part to the next after its wait."""
        t = Times()
        owner, leader = t.rate("owner"), t.rate("leader")
        asked = t.time("asked")
        heard = t.time("heard", asked)  # and answered at any time after: that plays no part
        ends = asked + formula(t.hold, t.skew) / owner  # the owner's last moment of acting
        wait = Pace(t.hold, t.hold, t.flight, t.skew).wait_s(not flight)
        given = t.time("given", heard + wait / leader)
        last = ends + t.flight if flight else ends  # where targets compare nothing, its last word's arrival
        return t.holds(last <= given)

    def next_leader(self, formula: Callable[[Any, Any], Any], waits: bool = True) -> bool:
        """The owner is heard by a leader that is then followed; the next waits anew from when it acts."""
        t = Times()
        owner, following = t.rate("owner"), t.rate("following")
        asked = t.time("asked")
        heard = t.time("heard", asked)
        acts = t.time("acts", heard)  # none acts while the one before may, which it asked as it heard
        ends = asked + formula(t.hold, t.skew) / owner
        given = t.time("given", acts + (t.hold if waits else 0) / following)
        return t.holds(ends <= given)

    def test_one_leader(self) -> None:
        self.assertTrue(self.one_leader(lease))

    def test_next_leader(self) -> None:
        self.assertTrue(self.next_leader(lease))

    def test_flight(self) -> None:
        """Where no fence stands, even the last word has arrived before the next grant."""
        self.assertTrue(self.one_leader(lease, flight=True))

    def test_planted(self) -> None:
        """With a sign turned, or a leader that grants at once, two could own."""
        self.assertFalse(self.one_leader(wrong_lease))
        self.assertFalse(self.next_leader(wrong_lease))
        self.assertFalse(self.next_leader(lease, waits=False))

    def test_counted_from_the_answer(self) -> None:
        """A lease from the answer's time is no lease: the answer may come at any time."""
        t = Times()
        owner, leader = t.rate("owner"), t.rate("leader")
        heard = t.time("heard")
        answered = t.time("answered", heard)
        given = t.time("given", heard + t.hold / leader)
        self.assertFalse(t.holds(answered + lease(t.hold, t.skew) / owner <= given))

    def test_takeover(self) -> None:
        """The told bound covers the slowest clocks, and a leader that dies in the same instant."""
        t = Times()
        beat, leaderless = z3.Reals("beat leaderless")
        t.solver.add(beat > 0, leaderless >= 0)
        leader, heir = t.rate("leader"), t.rate("heir")
        died = t.time("died")
        acts = t.time("acts", died)
        t.solver.add(acts <= died + leaderless)
        pace = Pace(t.hold, beat, t.flight, t.skew)
        free = acts + pace.wait_s(False) / leader
        granted = free + beat / leader  # it looks once a beat; words and syncs within another
        told = granted + beat / heir + beat
        self.assertTrue(t.holds(told <= died + pace.takeover_s(leaderless, False)))
        self.assertFalse(t.holds(told <= died + leaderless + pace.wait_s(False)))
