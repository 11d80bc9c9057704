"""Explores a model: every order of its steps, each reachable state once, until one is broken.

States of more interest come first: what breaks is found early, and what is whole is seen whole all the same.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any, Generic, TypeVar

W = TypeVar("W")


class Explorer(ABC, Generic[W]):
    """A model's steps and states; `broken` is what a step found broken, in words."""

    broken: str | None = None
    bounds: Any

    @abstractmethod
    def steps(self, world: W) -> list[tuple[str, Callable[[W], Any]]]:
        """All that may happen next: what it is called, and what does it to a copy."""

    @abstractmethod
    def frozen(self, world: W) -> int:
        """All that matters of a state, as a hash."""

    @abstractmethod
    def interest(self, world: W) -> int:
        """How far a state is on the ways where something could break."""

    @abstractmethod
    def held(self, world: W) -> Any:
        """A state as it is put away."""

    @abstractmethod
    def fresh(self, held: Any) -> W:
        """A copy of what was put away, for one step."""

    def explore(self, world: W, most: int) -> dict[str, Any]:
        """Visits states until one is broken, all are seen, or `most` are; what was seen."""
        began, order = time.monotonic(), count()
        seen = {self.frozen(world)}
        frontier: list[tuple[int, int, int, Any, tuple[str, ...]]] = []
        heappush(frontier, (0, 0, next(order), self.held(world), ()))
        deepest, broken_by = 0, ()
        while frontier and len(seen) < most and not self.broken:
            _, depth, _, held, way = heappop(frontier)
            deepest = max(deepest, depth)
            for name, step in self.steps(self.fresh(held)):
                fresh = self.fresh(held)
                step(fresh)
                if self.broken:
                    broken_by, deepest = (*way, name), depth + 1
                    break
                state = self.frozen(fresh)
                if state not in seen:
                    seen.add(state)
                    rank = -self.interest(fresh)
                    heappush(frontier, (rank, depth + 1, next(order), self.held(fresh), (*way, name)))
        return {
            "bounds": vars(self.bounds), "states": len(seen), "depth": deepest,
            "all_within_bounds": not frontier and not self.broken, "broken": self.broken,
            "way": list(broken_by), "seconds": round(time.monotonic() - began, 1),
        }  # fmt: skip
