"""Simulated time: what happens when, in order. Those that play cores build on it."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class Events:
    """A queue of things to do, each at its time; those of one time in the order of their coming."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()

    def at(self, when: float, what: Callable[[], None]) -> None:
        heappush(self.events, (when, next(self.order), what))

    def run(self, until: float) -> None:
        """Does all that is due up to a time, in simulated seconds, which it then is."""
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heappop(self.events)
            what()
        self.now = until
