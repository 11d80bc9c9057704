"""The tally of a roll-out at the primary: what fronts counted and voted, and what follows.

Counts are cumulative for one life of a front and one order, so that a report that comes late, twice or not
at all
does no harm; those of lives that ended stay, since their answers were given. Votes of fronts that are no
longer members do not count. A new primary begins with none: fronts tell all again with their next report.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pinward.figures import tail_chance
from pinward.plan.boot import Bound
from pinward.policy.compare import FAULTIER, SLOW_LEAST, SLOWER
from pinward.trial.order import Order, Stage

FAULT_FLOOR = 0.01  # share of faults put down to chance: machines' own errors are a few in a thousand
DOUBT = 0.0005  # chance of blaming a sound build at one look; looks are some hundred an order
FAULTS_LEAST = 5  # bad answers in all
TIMED_LEAST = 2 * SLOW_LEAST  # outcomes in all that tell of times: they come from many fronts
WATCHED = 0.62  # of the order's term until a build goes on: what turns bad late is met before
OUTCOMES_LEAST = 60  # at the new build, over all fronts
VOTE_LIFE_S = 2.0  # s that a vote counts after it was last told
LIVES_MOST = 4000  # lives of fronts an order remembers


@dataclass
class Report:
    """What one life of a front says of an order: outcomes and faults, times by route, its vote."""

    at: float
    front: str
    age_s: float  # for how long the front has known the order
    counts: list[int]  # new build's outcomes and faults, the earlier build's outcomes and faults
    times: dict[str, list[float]]  # route: the new build's outcomes and seconds, the earlier's
    vote: str


class Tally:
    def __init__(self, bounds: Bound) -> None:
        self.bounds = bounds
        self.begun: dict[str, tuple[int, float]] = {}  # service: order's number, and since when it is known
        self.reports: dict[str, dict[str, Report]] = {}

    def learn(self, now: float, order: Order) -> None:
        if self.begun.get(order.service, (0, 0.0))[0] != order.number:
            self.begun[order.service] = (order.number, now)
            self.reports[order.service] = {}

    def report(self, now: float, front: str, reports: list[Any]) -> None:
        for service, number, life, age_s, counts, times, vote in reports:
            kept = self.reports.get(service)
            if (
                kept is None
                or self.begun[service][0] != number
                or (life not in kept and len(kept) >= LIVES_MOST)
            ):
                continue
            kept[life] = Report(now, front, age_s, counts, times, vote)

    def sums(self, service: str) -> tuple[list[int], float, int]:
        """Counts over all fronts; how many times slower the new build is; on how many outcomes."""
        counts = [0, 0, 0, 0]
        routes: dict[str, list[float]] = {}
        for report in self.reports[service].values():
            counts = [a + b for a, b in zip(counts, report.counts, strict=True)]
            for route, times in report.times.items():
                routes[route] = [
                    a + b for a, b in zip(routes.get(route, [0, 0.0, 0, 0.0]), times, strict=True)
                ]
        told = [r for r in routes.values() if r[0] and r[2] >= TIMED_LEAST]
        expected = sum(n * (theirs / m) for n, _, m, theirs in told)
        seen, outcomes = sum(mine for _, mine, *_ in told), sum(int(n) for n, *_ in told)
        return counts, seen / expected if expected > 0 else 1.0, outcomes

    def verdict(self, now: float, order: Order, fronts: int) -> tuple[Stage | None, str]:
        """Whether the order is over, and the evidence."""
        if self.begun.get(order.service, (0, 0.0))[0] != order.number:
            return None, ""
        (sent, bad, theirs, theirs_bad), slower, timed = self.sums(order.service)
        votes = [r for r in self.reports[order.service].values() if now - r.at < VOTE_LIFE_S]
        back, on = (sum(r.vote == word for r in votes) for word in ("back", "on"))
        why = f"sent={sent} bad={bad} earlier={theirs}/{theirs_bad} slower={slower:.2f} on={on} back={back}"
        share = max(FAULT_FLOOR, FAULTIER * (theirs_bad + 1) / (theirs + 1) if theirs_bad else FAULT_FLOOR)
        if bad >= FAULTS_LEAST and tail_chance(bad, sent, min(0.5, share)) < DOUBT:
            return Stage.UNDONE, why
        if (timed >= TIMED_LEAST and slower > SLOWER) or back > max(1, fronts // 8):
            return Stage.UNDONE, why
        # A new primary learns late of an order that fronts have watched for long. Harm: a duty missed.
        ages = [now - self.begun[order.service][1], *(r.age_s + now - r.at for r in votes)]
        watched = max(ages) >= WATCHED * order.term_s
        if watched and sent >= OUTCOMES_LEAST and 2 * on > len(votes) and on:
            return Stage.DONE, why
        return None, why
