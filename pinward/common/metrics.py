"""Figures that a process tells of itself, as text in the exposition format of Prometheus (version 0.0.4)."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

PATH = "/metrics"
CONTENT_TYPE = "text/plain"


class Kind(Enum):
    """What a figure does over time."""

    COUNTER = "counter"  # it only rises, from the process's start on
    GAUGE = "gauge"


@dataclass
class Metric:
    """One figure. Names of counters end with `_total`, units stand in the name."""

    name: str
    kind: Kind
    meaning: str
    value: float = 0

    def add(self, by: float = 1) -> None:
        self.value += by

    def render(self) -> str:
        head = f"# HELP {self.name} {self.meaning}\n# TYPE {self.name} {self.kind.value}\n"
        return f"{head}{self.name} {self.value:.15g}\n"


@dataclass
class Metrics:
    """All figures of a process, in the order in which they were made."""

    all: list[Metric] = field(default_factory=list)

    def counter(self, name: str, meaning: str) -> Metric:
        self.all.append(Metric(name, Kind.COUNTER, meaning))
        return self.all[-1]

    def gauge(self, name: str, meaning: str) -> Metric:
        self.all.append(Metric(name, Kind.GAUGE, meaning))
        return self.all[-1]

    def render(self) -> str:
        return "".join(metric.render() for metric in self.all)
