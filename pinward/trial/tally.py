"""The tally of a roll-out at the primary: what fronts counted and voted, and what follows.

Counts are cumulative for one life of a front and one order, so that a report that comes late, twice or not
at all
does no harm; those of lives that ended stay, since their answers were given. Votes of fronts that are no
longer members do not count. A new primary begins with none: fronts tell all again with their next report.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import sqrt
from typing import Any

from pinward.figures import tail_chance
from pinward.plan.boot import Bound
from pinward.policy.compare import FAULTIER, SLOW_LEAST, SLOWER
from pinward.trial.arms import Arms, slowness, summed
from pinward.trial.order import Order, Stage

FAULT_FLOOR = 0.01  # share of faults put down to chance: machines' own errors are a few in a thousand
DOUBT = 0.0005  # chance of blaming a sound build at one look; looks are some hundred an order
FAULTS_LEAST = 3  # bad answers in all
TIMED_LEAST = 6  # answers of the new build that tell of times, where they are slow beyond all scatter
THEIRS_LEAST = 2 * SLOW_LEAST  # of the earlier build, on the same route
SCATTER = 6.0  # of a mean over n answers, over the root of n: machines differ 2 to 1, times have tails
RECENT_S, MARK_S = 3.0, 0.5  # s looked at apart, lest what turned bad late drown; s between two marks
ROUTE_PART, ROUTE_LEAST = 0.05, 24  # a route with so much of the traffic is to have so many outcomes
WATCHED_THIN = 0.8  # of the order's term that a build waits for these at most
WATCHED = 0.62  # of the order's term until a build goes on: what turns bad late is met before
OUTCOMES_LEAST = 60  # at the new build, over all fronts; as many for each fault more
VOTE_LIFE_S = 2.0  # s that a vote counts after it was last told
LIVES_MOST = 4000  # lives of fronts an order remembers


@dataclass
class Report:
    """What one life of a front says of an order: outcomes and faults, times by route, its vote."""

    at: float
    front: str
    age_s: float  # for how long the front has known the order
    routes: dict[str, Arms]
    vote: str


class Tally:
    def __init__(self, bounds: Bound) -> None:
        self.bounds = bounds
        self.begun: dict[str, tuple[int, float]] = {}  # service: order's number, and since when it is known
        self.reports: dict[str, dict[str, Report]] = {}
        self.marks: dict[str, deque[tuple[float, dict[str, Arms]]]] = {}  # sums of earlier moments

    def learn(self, now: float, order: Order) -> None:
        if self.begun.get(order.service, (0, 0.0))[0] != order.number:
            self.begun[order.service] = (order.number, now)
            self.reports[order.service] = {}
            self.marks[order.service] = deque()

    def forget(self, service: str) -> None:
        """Its order is over."""
        for kept in (self.begun, self.reports, self.marks):
            kept.pop(service, None)  # type: ignore[attr-defined]

    def report(self, now: float, front: str, reports: list[Any]) -> None:
        for service, number, life, age_s, routes, vote in reports:
            kept = self.reports.get(service)
            if (
                kept is None
                or self.begun[service][0] != number
                or (life not in kept and len(kept) >= LIVES_MOST)
            ):
                continue
            kept[life] = Report(now, front, age_s, {n: Arms(*plain) for n, plain in routes.items()}, vote)

    def sums(self, service: str) -> dict[str, Arms]:
        """What all fronts counted, by route."""
        routes: dict[str, Arms] = {}
        for report in self.reports[service].values():
            for route, arms in report.routes.items():
                routes.setdefault(route, Arms()).add(arms)
        return routes

    @staticmethod
    def faulty(arms: Arms, doubt: float) -> bool:
        """True where the new build fails more often than chance and the earlier one's failures explain."""
        theirs = FAULTIER * (arms.old_bad + 1) / (arms.old + 1) if arms.old_bad else 0.0
        share = min(0.5, max(FAULT_FLOOR, theirs))
        return arms.new_bad >= FAULTS_LEAST and tail_chance(arms.new_bad, arms.new, share) < doubt

    @staticmethod
    def slow(some: Iterable[Arms]) -> str:
        """How much slower the new build is where that is considerable and beyond chance; else empty."""
        slower, timed = slowness(some, THEIRS_LEAST)
        sure = timed >= TIMED_LEAST and slower > max(SLOWER, 1.0 + SCATTER / sqrt(timed))
        return f"slower={slower:.2f}" if sure else ""

    def bad(self, routes: dict[str, Arms], whole: Arms) -> str:
        """Where the new build is bad, in words; empty where it is not.

        Each route is looked at by itself as well: one with a sixth of the traffic is lost in the sum.
        """
        if self.faulty(whole, DOUBT):
            return "faults"
        if why := self.slow(routes.values()):
            return why
        for name, arms in routes.items():
            if self.faulty(arms, DOUBT / len(routes)):
                return f"faults on {name}"
            if why := self.slow((arms,)):
                return f"{why} on {name}"
        return ""

    def recent(self, now: float, service: str, routes: dict[str, Arms]) -> str:
        """Where the new build is bad in what came lately; empty where it is not."""
        marks = self.marks[service]
        if not marks or now - marks[-1][0] >= MARK_S:
            marks.append((now, routes))
        while len(marks) > 1 and now - marks[1][0] >= RECENT_S:
            marks.popleft()
        late = {name: arms.since(marks[0][1].get(name)) for name, arms in routes.items()}
        why = self.bad(late, summed(late.values()))
        return f"lately {why}" if why else ""

    @staticmethod
    def thin(routes: dict[str, Arms], whole: Arms) -> bool:
        """True where a route that carries traffic tells little of the new build yet."""
        part = ROUTE_PART * (whole.new + whole.old)
        return any(arms.new + arms.old >= part and arms.new < ROUTE_LEAST for arms in routes.values())

    @staticmethod
    def enough(whole: Arms) -> bool:
        """True where outcomes are enough to go on: as many again for each fault beyond the earlier rate.

        Guards against builds bad under load or late, of which few sends tell: 4 faults of 63 beside none of
        685 went on, and nothing was left to go back to. Harm: a sound one waits for some more outcomes.
        """
        beyond = whole.new_bad - whole.new * whole.old_bad / max(1, whole.old)
        return whole.new >= OUTCOMES_LEAST * (1.0 + max(0.0, beyond))

    def verdict(self, now: float, order: Order, fronts: int) -> tuple[Stage | None, str]:
        """Whether the order is over, and the evidence."""
        if self.begun.get(order.service, (0, 0.0))[0] != order.number:
            return None, ""
        routes = self.sums(order.service)
        whole = summed(routes.values())
        votes = [r for r in self.reports[order.service].values() if now - r.at < VOTE_LIFE_S]
        back, on = (sum(r.vote == word for r in votes) for word in ("back", "on"))
        why = f"new={whole.new_bad}/{whole.new} earlier={whole.old_bad}/{whole.old} on={on} back={back}"
        bad = self.bad(routes, whole) or self.recent(now, order.service, routes)
        if bad or back > max(1, fronts // 8):
            return Stage.UNDONE, f"{why} {bad}"
        # A new primary learns late of an order that fronts have watched for long. Harm: a duty missed.
        ages = [now - self.begun[order.service][1], *(r.age_s + now - r.at for r in votes)]
        watched = max(ages) >= (WATCHED_THIN if self.thin(routes, whole) else WATCHED) * order.term_s
        if watched and self.enough(whole) and 2 * on > len(votes) and on:
            return Stage.DONE, why
        return None, why
