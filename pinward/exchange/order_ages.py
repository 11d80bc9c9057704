"""How long ago orders were taken, and so whether the same order again is a repeat or a new one.

`POST /rolls` has no number: an order that looks like an earlier one is a repeat where it was sent within
`Ack` of it, and a new order where it was sent later. An age is known within bounds: each control server has
a steady clock of its own, no time of day is asked, and a process that starts knows nothing of the time
before. An order is as old at least as its record tells, which the primary writes anew each second until no
repeat can come. A primary that does not know how old one is at most asks the other servers. Where the bounds
do not tell, neither an acknowledgement nor a start would be right. No I/O here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import floor, inf
from typing import Any

from pinward.trial.order import Age, Earlier, Order

LATE_S = 3.0  # s beyond `Ack` in which a repeat may come: on its way, at servers, and `MARK_S`
MARK_S = 1.0  # s after an acknowledgement from which on another is written: its repeats may come later
HEARD_S = 1.0  # s by which a server in touch with the primary may hear of an order late: its link's patience


class Sent(Enum):
    """What an order that looks like an earlier one is."""

    REPEAT = auto()
    NEW = auto()
    UNCLEAR = auto()


@dataclass
class Taken:
    """When an order was taken, by this process's steady clock, in s; -inf: nothing is known."""

    at_earliest: float
    at_latest: float
    repeats: int = 0  # acknowledgements of it that may have repeats of their own
    repeated_at: float = -inf  # when the last of these was, at the latest


class OrderAges:
    """The ages of all orders whose repeats may still come, at one control server."""

    def __init__(self, ack_s: float) -> None:
        """`ack_s`: for how long an operator sends an order again."""
        self.ack_s, self.repeat_s = ack_s, ack_s + LATE_S
        self.oldest_s = floor(self.repeat_s) + 1.0  # the highest age that is written
        self.taken: dict[str, dict[Earlier, Taken]] = {}  # by service
        self.proposed: dict[tuple[str, Earlier], float] = {}  # own writes under way, and since when

    def propose(self, now: float, order: Order) -> None:
        """This process begins to write an order: it is not older than that."""
        for one in order.known():
            self.proposed.setdefault((order.service, one), now)

    def learn(self, now: float, order: Order, late_s: float) -> None:
        """An order was told as taken, `late_s` ago at most where it is new here."""
        known = self.taken.get(order.service, {})
        taken = {}
        for one in order.known():
            age = order.age_of(one.number)
            at_latest = now - age.least_s
            held = known.get(one)
            if held is None:
                proposed = self.proposed.get((order.service, one))
                held = Taken(at_latest - late_s if proposed is None else proposed, at_latest)
            held.at_latest = min(held.at_latest, at_latest)
            held.at_earliest = min(held.at_earliest, held.at_latest)
            if age.repeats > held.repeats:
                held.repeats, held.repeated_at = age.repeats, now - age.quiet_s
            taken[one] = held
        self.taken[order.service] = taken
        self.proposed = {key: at for key, at in self.proposed.items() if key[0] != order.service}

    def most(self, now: float, service: str, one: Earlier) -> float:
        """The age that an order has at most, in s; inf where that is not known."""
        held = self.taken.get(service, {}).get(one)
        return now - held.at_earliest if held is not None else inf

    # Between control servers.

    def lacking(self, now: float) -> bool:
        """True where it is not known of some order how old it is at most, and that still matters."""
        return any(
            held.at_earliest == -inf and now - held.at_latest <= self.repeat_s
            for taken in self.taken.values()
            for held in taken.values()
        )

    def told(self, now: float) -> list[list[Any]]:
        """What is known here of orders whose repeats may come: service, order, least and most age in s."""
        return [
            [service, list(one), now - held.at_latest, now - held.at_earliest]
            for service, taken in self.taken.items()
            for one, held in taken.items()
            if held.at_earliest > -inf and now - held.at_latest <= self.repeat_s
        ]

    def learn_from(self, now: float, asked_at: float, ages: list[list[Any]]) -> None:
        """Takes in what another server told, which it worked out after it was asked."""
        for service, one, least, most in ages:
            held = self.taken.get(service, {}).get(Earlier(*one))
            if held is not None:
                held.at_latest = min(held.at_latest, now - least)
                held.at_earliest = min(held.at_latest, max(held.at_earliest, asked_at - most))

    # The judgement.

    def judge(self, now: float, service: str, one: Earlier) -> Sent:
        """What an order is that looks like this one and comes now."""
        if self.most(now, service, one) <= self.ack_s:
            return Sent.REPEAT
        return Sent.NEW if self.quiet(now, service, one) > self.repeat_s else Sent.UNCLEAR

    def clear_in(self, now: float, service: str, one: Earlier) -> float:
        """Seconds until an order that looks like this one is surely new."""
        return max(0.0, self.repeat_s - self.quiet(now, service, one))

    def quiet(self, now: float, service: str, one: Earlier) -> float:
        """Seconds since an order was taken, or a late repeat of it acknowledged, at least."""
        held = self.taken.get(service, {}).get(one)
        return now - max(held.at_latest, held.repeated_at) if held is not None else 0.0

    def repeated(self, now: float, service: str, one: Earlier) -> bool:
        """A repeat is about to be acknowledged; True where its own repeats may come too late to be known.

        Then that is to be written first: another operator may have given the same order, and sends it for as
        long again. What looks like it stays unclear meanwhile, since it may be a new order too.
        """
        held = self.taken.get(service, {}).get(one)
        if held is None or self.quiet(now, service, one) < MARK_S:
            return False
        held.repeats, held.repeated_at = held.repeats + 1, now
        return True

    def is_settled(self, order: Order) -> bool:
        """True where the record of an order's age is not to be written any more: no repeat can come."""
        if order.past or not order.given:
            return not order.past
        age = order.age_of(order.number)
        return age.least_s >= self.oldest_s and (not age.repeats or age.quiet_s >= self.oldest_s)

    def aged(self, now: float, order: Order) -> Order:
        """The order as it is to be written now: with its ages, without what is past repeating."""
        past = tuple(one for one in order.past if self.judge(now, order.service, one) is not Sent.NEW)
        return order.with_ages(past, [self.age(now, order.service, one) for one in order.known()])

    def age(self, now: float, service: str, one: Earlier) -> Age:
        """What is to be written of an order's age."""
        held = self.taken.get(service, {}).get(one)
        if held is None:
            return Age(one.number)
        quiet_s = self.written(now - held.repeated_at) if held.repeats else 0.0
        return Age(one.number, self.written(now - held.at_latest), held.repeats, quiet_s)

    def written(self, span_s: float) -> float:
        """A span as a record has it: whole seconds, up to where no repeat can come."""
        return float(floor(min(span_s, self.oldest_s)))
