"""A front's part in a roll-out: its share of sends to the new build, what it counts, and its vote.

The design (docs/design.md) on the gateway's requests: the loop of `pinward.policy.loop` each 0.2 s on own
outcomes at the new build, clamped to the cap, and votes against the earlier build.
"""

from __future__ import annotations

from collections import deque
from statistics import fmean
from typing import Any, NamedTuple

from pinward.plan.boot import Bound
from pinward.policy.compare import SLOW_LEAST, SLOWER
from pinward.policy.loop import AIM_FAULTS, AIM_LATENCY, PERIOD_S, Loop, within
from pinward.policy.state import LEAST, LEAST_PER_S, LOOP_S
from pinward.trial.arms import REST, ROUTES_MOST, Arms, slowness, summed
from pinward.trial.order import Order, Stage

KEPT = 400  # outcomes kept a build
FREE_PART = 0.4  # of the free allowance, for all fronts together: the rest is for those that forget or come
CAP_PART = 0.95  # of the cap: counted by what was sent here, judged by what arrived


class Outcome(NamedTuple):
    at: float
    route: str
    fault: bool
    took: float
    spent: float  # of the route's goal


class Trial:
    """One order of one service at this front."""

    def __init__(self, order: Order, bounds: Bound, now: float) -> None:
        self.order, self.bounds, self.begun = order, bounds, now
        self.loop, self.credit, self.step_at = Loop(), 0.0, now + PERIOD_S
        self.taken = self.sent = 0
        self.routes: dict[str, Arms] = {}
        self.fresh: deque[Outcome] = deque(maxlen=KEPT)
        self.bound = False
        self.vote, self.why = "", ""
        self.loop.begin(0.0)

    def take(self, part: float) -> None:
        """A request of the service is to be sent; `part` is the trial's part of the service's machines."""
        if self.loop.error is None and not self.loop.share:
            self.loop.share = min(self.cap, part)
        self.credit = min(2.0, self.credit + self.loop.share)

    @property
    def cap(self) -> float:
        return CAP_PART * self.bounds.trial_cap

    def wants(self, fronts: int) -> bool:
        """True where the next send goes to the new build."""
        free = FREE_PART * self.bounds.trial_free / max(1, fronts)
        room = within(self.sent, self.taken, self.cap, free)
        return self.order.stage is Stage.SERVING and self.credit >= 1.0 and room

    def sends(self, new: bool) -> None:
        self.taken += 1
        if new:
            self.sent += 1
            self.credit -= 1.0

    def ended(
        self, now: float, new: bool, route: str, fault: bool, took: float, goal_s: float, cold: bool
    ) -> None:
        """A machine answered, well or not; what broke on the way is no verdict on a build."""
        if new:
            self.fresh.append(Outcome(now, route, fault, took, took / max(0.001, goal_s)))
        arms = self.routes.get(route)
        if arms is None:
            if len(self.routes) >= ROUTES_MOST:
                route = REST  # they still count together
            arms = self.routes.setdefault(route, Arms())
        arms.count(new, fault)
        if not cold and not fault:
            arms.time(new, took)

    def step(self, now: float) -> None:
        """The loop and the vote, each period."""
        if now < self.step_at or self.order.stage is not Stage.SERVING:
            return
        self.step_at = now + PERIOD_S
        fresh = [o for o in self.fresh if o.at > now - LOOP_S]
        error = 1.0
        if fresh:
            whole = summed(self.routes.values())
            theirs = whole.old_bad / whole.old if whole.old else 0.0
            faults = max(0.0, sum(o.fault for o in fresh) / max(LEAST, len(fresh)) - theirs)
            error = 1.0 - max(fmean(o.spent for o in fresh) / AIM_LATENCY, faults / AIM_FAULTS)
        out = self.loop.step(error, self.cap)
        self.bound = out >= self.cap
        self.vote, self.why = self.judge(now, error)

    def judge(self, now: float, error: float) -> tuple[str, str]:
        whole = summed(self.routes.values())
        new, bad, old, old_bad = whole.new, whole.new_bad, whole.old, whole.old_bad
        slower, timed = slowness(self.routes.values(), SLOW_LEAST)
        why = f"new={new}/{bad} earlier={old}/{old_bad} slower={slower:.2f} share={self.loop.share:.3f}"
        if new >= LEAST and bad / new > AIM_FAULTS >= old_bad / max(1, old):
            return "back", why
        if timed >= SLOW_LEAST and slower > SLOWER:
            return "back", why
        least = max(1.0, LEAST - LEAST_PER_S * (now - self.begun))
        return ("on" if new >= least and self.bound else ""), why

    def report(self, now: float, life: str) -> list[Any]:
        age_s = round(now - self.begun, 3)
        routes = {name: arms.plain() for name, arms in self.routes.items()}
        return [self.order.service, self.order.number, life, age_s, routes, self.vote]
