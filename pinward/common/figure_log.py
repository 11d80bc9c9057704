"""Figures told in the log as they change, in bounded number."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf

from pinward.annunciator import ring

TELL_S = 5.0  # s between two lines of the same figures


class FigureLog:
    """Writes event `number` with figures where `changes` has risen since the last line."""

    def __init__(
        self, number: int, changes: Callable[[], float], figures: Callable[[], Mapping[str, object]]
    ) -> None:
        self.number, self.changes, self.figures = number, changes, figures
        self.told, self.told_at = 0.0, -inf

    def tell(self, now: float) -> None:
        """Writes a line where it is time, at the loop's time `now`."""
        changes = self.changes()
        if changes > self.told and now >= self.told_at + TELL_S:
            self.told, self.told_at = changes, now
            ring(self.number, **self.figures())
