"""Which builds of a service may run its requests: none that no order let in (rule ROUTE)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from pinward.directory.entry import Entry, Standing
from pinward.trial.order import Order, Stage


def base_of(entries: Iterable[Entry], *aside: str) -> str:
    """The build that most machines of a service have, some builds aside; empty where none is known.

    Of two with as many the one whose name comes first: the new one is started beside as many of the old.
    """
    builds = Counter(e.build for e in entries if e.standing is not Standing.GONE and e.build not in aside)
    return min(builds, key=lambda build: (-builds[build], len(build), build)) if builds else ""


def senior_version(entries: Iterable[Entry]) -> str:
    """The build of the machine that has called most often; empty where there is none.

    Unlike a count of machines this says the same whenever it is asked: a machine that came later has called
    less. Of two that called as often the one whose build's name comes first.
    """
    here = [entry for entry in entries if entry.standing is not Standing.GONE]
    ranked = sorted((-entry.calls, len(entry.build), entry.build) for entry in here)
    return ranked[0][2] if ranked else ""


def earlier(entries: Iterable[Entry], last: Order | None, target: str) -> str:
    """The build that a new order to `target` moves traffic from. One that was sent back is none: its machines
    are there for some seconds yet."""
    if last is None:
        return base_of(entries, target)
    if last.stage is Stage.DONE:
        return last.target
    return last.base or base_of(entries, target, last.target)


def sanctioned(entries: Iterable[Entry], order: Order | None) -> tuple[str, str | None]:
    """The earlier build of a service and, while one is on trial, the new one."""
    if order is None:
        return base_of(entries), None
    if order.stage is Stage.DONE:
        return order.target, None
    base = order.base or base_of(entries, order.target)
    return base, order.target if order.stage is Stage.SERVING else None
