"""An operator's order to move a service's traffic to a build, and where it stands."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from hashlib import blake2b
from typing import Any, NamedTuple


class Stage(Enum):
    """Phases of an order. DONE and UNDONE are final."""

    SERVING = "serving"
    DONE = "done"
    UNDONE = "undone"


DIGEST_BYTES = 8

MOVES = {Stage.SERVING: (Stage.DONE, Stage.UNDONE)}


class Earlier(NamedTuple):
    """An order that was acknowledged beside the one in force, or before it: its repeat may still come."""

    target: str
    term_s: float
    number: int


class Age(NamedTuple):
    """What the record of an order tells of its age; spans in s, as the record was written."""

    number: int  # of the order
    least_s: float = 0.0  # since it was taken, at least
    repeats: int = 0  # acknowledgements of it that may have repeats of their own
    quiet_s: float = 0.0  # since the last of these, at least


@dataclass(frozen=True)
class Order:
    """`number` rises with each order of a service, `base` is the earlier build, `term_s` the time wanted.

    `past` are orders before it, newest first: their repeats are acknowledged and not started again. One that
    no operator gave, `given` is False, records which version a service runs without an order.
    """

    service: str
    target: str
    number: int
    base: str
    term_s: float
    stage: Stage = Stage.SERVING
    past: tuple[Earlier, ...] = ()
    given: bool = True
    ages: tuple[Age, ...] = ()  # of this order and of `past`, where there is something to tell

    def moved(self, stage: Stage) -> Order:
        """The one place where an order changes its phase."""
        if stage not in MOVES.get(self.stage, ()):
            raise ValueError(f"an order cannot go from {self.stage.value} to {stage.value}")
        return replace(self, stage=stage)

    def plain(self) -> list[Any]:
        """What fronts are told."""
        return [self.service, self.target, self.number, self.base, self.term_s, self.stage.value]

    def known(self) -> tuple[Earlier, ...]:
        """All orders whose repeats are known, this one first."""
        own = (Earlier(self.target, self.term_s, self.number),) if self.given else ()
        return (*own, *self.past)

    def age_of(self, number: int) -> Age:
        """What is told of the age of an order with this number."""
        return next((age for age in self.ages if age.number == number), Age(number))

    def with_ages(self, past: tuple[Earlier, ...], ages: Iterable[Age]) -> Order:
        """The same order with these before it, and with their ages."""
        numbers = {self.number, *(earlier.number for earlier in past)}
        told = sorted(age for age in ages if age.number in numbers and age != Age(age.number))
        return replace(self, past=past, ages=tuple(told))

    def next_number(self) -> int:
        """The number of whatever comes after it."""
        return 1 + max(self.number, *(earlier.number for earlier in self.past), 0)

    def kept(self) -> list[Any]:
        """What the control state holds."""
        past, ages = [list(earlier) for earlier in self.past], [list(age) for age in self.ages]
        return [*self.plain(), past, self.given, ages]

    @classmethod
    def of(cls, plain: list[Any]) -> Order:
        """An order as told or as kept, also by a build that knew no earlier ones, no records, or no ages."""
        service, target, number, base, term_s, stage, *more = plain
        past = tuple(Earlier(*earlier) for earlier in more[0]) if more else ()
        given = bool(more[1]) if len(more) > 1 else True
        ages = tuple(Age(*age) for age in more[2]) if len(more) > 2 else ()
        return cls(service, target, number, base, term_s, Stage(stage), past, given, ages)

    def supersedes(self, held: Order | None) -> bool:
        """True where this one is to take the place of `held`: a later order, or the end of the same."""
        if held is None:
            return True
        ends, ended = self.stage is not Stage.SERVING, held.stage is not Stage.SERVING
        return (self.number, ends) > (held.number, ended)


def record_of(service: str, build: str, last: Order | None) -> Order:
    """The record that a service runs a build without an order, in the place of an earlier record."""
    number = last.next_number() if last is not None else 0
    return Order(service, build, number, build, 0.0, Stage.DONE, given=False)


def digest_of(orders: Iterable[Order]) -> str:
    """A digest of what proxies are told of orders, the same for the same orders in whatever sequence."""
    told = sorted(f"{order.number} {order.stage.value} {order.service}" for order in orders)
    return blake2b("\n".join(told).encode(), digest_size=DIGEST_BYTES).hexdigest()
