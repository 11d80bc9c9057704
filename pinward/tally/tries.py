"""The budget of further tries (rule BUDGET): arrivals beyond each request's first, over all fronts.

Summed over fronts, further arrivals may be `ratio` of the requests in a sliding window and `extra` once.
Each front
keeps to its own ratio, and to an equal part of half of the extra: fronts that restart forget what they spent.
"""

from __future__ import annotations

from pinward.figures import Window
from pinward.plan.boot import Bound

RATIO_PART = 0.9  # of the ratio: requests counted at a window's edge by us may fall outside it for others
EXTRA_PART = 0.5  # of the extra, for all fronts together: the rest is for those that restart or are not known


class Tries:
    """One service's requests and further arrivals at this front."""

    def __init__(self, bounds: Bound) -> None:
        self.ratio, self.extra = RATIO_PART * bounds.retry_ratio, EXTRA_PART * bounds.retry_extra
        self.window_s = bounds.retry_window_s
        self.requests, self.further = Window(self.window_s), Window(self.window_s)

    def request(self, now: float) -> None:
        self.requests.add(now)

    def may(self, now: float, fronts: int, part: float = 1.0) -> bool:
        """True where one more further arrival keeps within the budget, or `part` of it."""
        start = now - self.window_s
        room = self.ratio * self.requests.since(start) + self.extra / max(1, fronts)
        return self.further.since(start) + 1 <= part * room

    def spend(self, now: float) -> None:
        self.further.add(now)
