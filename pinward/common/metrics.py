"""Figures that a process tells of itself, as text in the exposition format of Prometheus (version 0.0.4)."""

from __future__ import annotations

from dataclasses import dataclass, field

PATH = "/metrics"
CONTENT_TYPE = "text/plain"


@dataclass
class Counter:
    """A figure that only rises, from the process's start on. Its name ends with `_total`."""

    name: str
    meaning: str
    value: float = 0

    def add(self, by: float = 1) -> None:
        self.value += by

    def render(self) -> str:
        head = f"# HELP {self.name} {self.meaning}\n# TYPE {self.name} counter\n"
        return f"{head}{self.name} {self.value:.15g}\n"


@dataclass
class Metrics:
    """All figures of a process, in the order in which they were made."""

    all: list[Counter] = field(default_factory=list)

    def counter(self, name: str, meaning: str) -> Counter:
        self.all.append(Counter(name, meaning))
        return self.all[-1]

    def render(self) -> str:
        return "".join(counter.render() for counter in self.all)
