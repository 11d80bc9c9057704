"""What is counted of the two builds on one route: outcomes, faults, times; summed over fronts or routes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import astuple, dataclass
from typing import Any

ROUTES_MOST = 64  # routes that a front counts apart; the rest together, so that a report stays some KB
REST = "*"  # the name under which they are
TIME_MOST = 8.0  # times the mean of the route: a longer time counts as this


@dataclass
class Arms:
    """Of the new build and the earlier: outcomes, faults, answers timed (warm and whole), their seconds."""

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0
    new_timed: int = 0
    new_s: float = 0.0
    old_timed: int = 0
    old_s: float = 0.0

    def count(self, new: bool, fault: bool) -> None:
        if new:
            self.new += 1
            self.new_bad += fault
        else:
            self.old += 1
            self.old_bad += fault

    def time(self, new: bool, took: float) -> None:
        mean = self.old_s / self.old_timed if self.old_timed else took
        took = min(took, TIME_MOST * mean)
        if new:
            self.new_timed += 1
            self.new_s += took
        else:
            self.old_timed += 1
            self.old_s += took

    def plain(self) -> list[Any]:
        *counts, new_timed, new_s, old_timed, old_s = astuple(self)
        return [*counts, new_timed, round(new_s, 3), old_timed, round(old_s, 3)]

    def add(self, other: Arms, times: int = 1) -> None:
        for name, value in vars(other).items():
            setattr(self, name, getattr(self, name) + times * value)

    def since(self, earlier: Arms | None) -> Arms:
        """What came after an earlier state of these counts."""
        later = Arms(*astuple(self))
        if earlier is not None:
            later.add(earlier, -1)
        return later


def summed(some: Iterable[Arms]) -> Arms:
    """All of them in one."""
    whole = Arms()
    for arms in some:
        whole.add(arms)
    return whole


def slowness(some: Iterable[Arms], least: int) -> tuple[float, int]:
    """How many times slower the new build is than the earlier on the same routes, and on how many answers.

    A route with fewer than `least` answers of the earlier build tells nothing.
    """
    told = [arms for arms in some if arms.new_timed and arms.old_timed >= least]
    expected = sum(arms.new_timed * arms.old_s / arms.old_timed for arms in told)
    seen = sum(arms.new_s for arms in told)
    return seen / expected if expected > 0 else 1.0, sum(arms.new_timed for arms in told)
