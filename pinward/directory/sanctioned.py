"""Which builds of a service may run its requests: none that no order let in (rule ROUTE)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from pinward.directory.entry import Entry, Standing
from pinward.trial.order import Order, Stage


def base_of(entries: Iterable[Entry], target: str | None) -> str:
    """The build that most machines of a service have, `target` aside; empty where none is known."""
    builds = Counter(e.build for e in entries if e.standing is not Standing.GONE and e.build != target)
    return max(builds, key=lambda build: (builds[build], build)) if builds else ""


def sanctioned(entries: Iterable[Entry], order: Order | None) -> tuple[str, str | None]:
    """The earlier build of a service and, while one is on trial, the new one."""
    if order is None:
        return base_of(entries, None), None
    if order.stage is Stage.DONE:
        return order.target, None
    base = order.base or base_of(entries, order.target)
    return base, order.target if order.stage is Stage.SERVING else None
