"""What the decisions count with: windows of times, outcomes, a record a node, one test. None decides."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import exp, inf, lgamma, log
from statistics import fmean
from typing import NamedTuple

from pinward.terms import Node, Product, Submission


class Sample(NamedTuple):
    """One outcome at a node."""

    at: float
    node: Node
    product: Product
    fault: bool
    took: float  # s, of this submission alone
    spent: float  # all the time since its txn was taken, as a share of the SLA time
    cold: bool


class Window:
    """Times of the last few seconds, counted when asked."""

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        self.times.append(now)
        while self.times[0] < now - self.keep_s:
            self.times.popleft()

    def since(self, start: float) -> int:
        count = 0
        for at in reversed(self.times):
            if at < start:
                break
            count += 1
        return count


class Seat:
    """What this front knows of one node from its own submissions."""

    def __init__(self, node: Node, warm_at: float, rate_s: float, draw: float) -> None:
        self.node, self.warm_at, self.draw = node, warm_at, draw
        self.open: list[Submission] = []
        self.samples: deque[tuple[float, bool, float]] = deque(maxlen=10)  # when, settled, took over usual
        self.settles = Window(rate_s)
        self.heard = self.aside_until = self.next_at = -inf
        self.aside_s = self.full_s = 0.0

    def slowness(self, start: float) -> float:
        """Times against the usual over the settled part of the outcomes, with one usual outcome more."""
        recent = [s for s in self.samples if s[0] > start]
        slow = fmean([s[2] for s in recent] + [1.0])
        return slow * (len(recent) + 1) / (sum(s[1] for s in recent) + 1)

    def silent(self, now: float) -> float:
        """For how long the node has owed an answer without a word to this front."""
        return now - max(self.heard, min(s.sent for s in self.open)) if self.open else 0.0


def trimmed(samples: list[Sample], part: float) -> list[Sample]:
    """The samples without those of the `part` of the nodes that have most faults."""
    faults = dict.fromkeys((s.node for s in samples), 0)
    for s in samples:
        faults[s.node] += s.fault
    worst = sorted(faults, key=lambda node: -faults[node])[: int(part * len(faults))]
    return [s for s in samples if s.node not in worst]


def low(values: Iterable[float]) -> float:
    """The lower quartile: queues move it less than the middle."""
    ordered = sorted(values)
    return ordered[len(ordered) // 4]


def freshest(samples: list[Sample], usual: dict[Product, float], start: float, least: int) -> list[float]:
    """Times against the usual ones: all since `start`, or the last `least` where those are too few."""
    warm = [s for s in samples if not s.cold and s.product in usual]
    timed = sorted((s.at, s.spent / usual[s.product]) for s in warm)
    latest = [pace for at, pace in timed if at > start]
    return latest if len(latest) > least else [pace for _, pace in timed[-least:]]


def relative(new: list[Sample], old: list[Sample], least: int) -> list[float]:
    """The new times against the mean of the old at the same product, on warm nodes and without faults."""
    times: dict[Product, list[float]] = {}
    for s in old:
        if not s.cold and not s.fault:
            times.setdefault(s.product, []).append(s.took)
    usual = {p: fmean(took) for p, took in times.items() if len(took) >= least}
    return [s.took / usual[s.product] for s in new if s.product in usual and not s.cold and not s.fault]


def tail_chance(faults: int, total: int, share: float) -> float:
    """The chance of this many faults or more in `total` outcomes at a true share of `share`."""
    if faults == 0:
        return 1.0
    total_ways = lgamma(total + 1)
    chance = 0.0
    for k in range(faults, total + 1):
        ways = total_ways - lgamma(k + 1) - lgamma(total - k + 1)
        chance += exp(ways + k * log(share) + (total - k) * log(1 - share))
    return chance
