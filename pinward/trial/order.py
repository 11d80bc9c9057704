"""An operator's order to move a service's traffic to a build, and where it stands."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import Any


class Stage(Enum):
    """Phases of an order. DONE and UNDONE are final."""

    SERVING = "serving"
    DONE = "done"
    UNDONE = "undone"


MOVES = {Stage.SERVING: (Stage.DONE, Stage.UNDONE)}


@dataclass(frozen=True)
class Order:
    """`number` rises with each order of a service, `base` is the earlier build, `term_s` the time wanted."""

    service: str
    target: str
    number: int
    base: str
    term_s: float
    stage: Stage = Stage.SERVING

    def moved(self, stage: Stage) -> Order:
        """The one place where an order changes its phase."""
        if stage not in MOVES.get(self.stage, ()):
            raise ValueError(f"an order cannot go from {self.stage.value} to {stage.value}")
        return replace(self, stage=stage)

    def plain(self) -> list[Any]:
        return [self.service, self.target, self.number, self.base, self.term_s, self.stage.value]

    @classmethod
    def of(cls, plain: list[Any]) -> Order:
        service, target, number, base, term_s, stage = plain
        return cls(service, target, number, base, term_s, Stage(stage))
