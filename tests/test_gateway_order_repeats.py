"""Behind any trouble an order's repeat within `Ack` starts nothing, and a new order like it is started."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from functools import partial
from math import inf
from typing import Any
from unittest import mock

import logbook
from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan

from pinward.exchange.order_ages import HEARD_S, OrderAges, Sent
from pinward.trial.order import Age, Earlier, Order, Stage
from standin import losses
from standin.exchange_day import Day, small
from standin.losses import Loss
from standin.virtual import played

ACK_S = 5.0  # s, the users' bound, as the settings have it by default
ORDER = {"Svc": "reads", "Target": "v2", "Over": "4s"}
BACK = {"Svc": "reads", "Target": "v1", "Over": "4s"}
SEEN_S = 1.0  # s after an acknowledgement in which an order must be under way


class Ages(TestCase):
    """One change of what is known at a time."""

    def setUp(self) -> None:
        super().setUp()
        self.ages = OrderAges(ACK_S)
        self.order = Order("s", "v2", 3, "v1", 4.0, Stage.UNDONE)

    def judged(self, *moments: float) -> list[Sent]:
        return [self.ages.judge(now, "s", Earlier("v2", 4.0, 3)) for now in moments]

    def test_one_heard_as_it_was_taken_is_repeated_for_ack_and_new_after_what_may_be_late(self) -> None:
        self.ages.learn(100.0, self.order, HEARD_S)
        self.assertThat(self.judged(100.0, 104.0), Equals([Sent.REPEAT] * 2))
        self.assertThat(self.judged(104.1, 105.1, 108.0), Equals([Sent.UNCLEAR] * 3))
        self.assertThat(self.judged(108.1, 1000.0), Equals([Sent.NEW] * 2))

    def test_one_that_this_process_wrote_is_a_repeat_for_all_of_ack(self) -> None:
        self.ages.propose(100.0, self.order)
        self.ages.learn(100.1, self.order, inf)
        self.assertThat(self.judged(105.0, 105.1, 108.05, 108.2),
                        Equals([Sent.REPEAT, Sent.UNCLEAR, Sent.UNCLEAR, Sent.NEW]))  # fmt: skip

    def test_after_a_start_it_is_as_old_as_its_record_tells_and_never_surely_a_repeat(self) -> None:
        for age, new_at in ((0.0, 108.1), (5.0, 103.1), (9.0, 100.0)):
            self.ages = OrderAges(ACK_S)
            self.ages.learn(100.0, self.order.with_ages((), [Age(3, age)]), inf)
            self.assertThat(self.judged(new_at), Equals([Sent.NEW]), str(age))
            if age < 8.0:
                self.assertThat(self.judged(100.0, new_at - 0.2), Equals([Sent.UNCLEAR] * 2), str(age))

    def test_another_server_tells_what_a_start_forgot(self) -> None:
        other = OrderAges(ACK_S)
        other.learn(7.0, self.order, HEARD_S)  # its clock began elsewhere
        self.ages.learn(100.0, self.order, inf)
        self.assertThat(self.ages.lacking(100.0), Equals(True))
        self.ages.learn_from(100.4, 100.2, other.told(9.0))
        self.assertThat(self.ages.lacking(100.4), Equals(False))
        self.assertThat(self.judged(102.1, 102.3), Equals([Sent.REPEAT, Sent.UNCLEAR]))
        self.assertThat(self.judged(106.3, 106.5), Equals([Sent.UNCLEAR, Sent.NEW]))
        self.assertThat(OrderAges(ACK_S).told(0.0), Equals([]))

    def test_what_an_acknowledged_repeat_may_be_followed_by_starts_nothing(self) -> None:
        """Guards against a second operator's order, acknowledged as a repeat, whose own repeat starts it."""
        one = Earlier("v2", 4.0, 3)
        self.ages.learn(100.0, self.order, 0.0)
        self.assertThat(self.ages.repeated(100.5, "s", one), Equals(False))  # its repeats come in time
        self.assertThat(self.ages.repeated(104.5, "s", one), Equals(True))
        aged = self.ages.aged(104.5, self.order)
        self.assertThat(aged.ages, Equals((Age(3, 4.0, 1, 0.0),)))
        self.assertThat(self.judged(105.0, 109.4, 112.4, 112.6),
                        Equals([Sent.REPEAT, Sent.UNCLEAR, Sent.UNCLEAR, Sent.NEW]))  # fmt: skip
        started = OrderAges(ACK_S)  # a process that starts a second later
        started.learn(3.0, aged, inf)
        judged = [started.judge(at, "s", one) for at in (10.9, 11.1)]
        self.assertThat(judged, Equals([Sent.UNCLEAR, Sent.NEW]))
        self.assertThat(self.ages.is_settled(self.ages.aged(112.0, self.order)), Equals(False))
        self.assertThat(self.ages.is_settled(self.ages.aged(114.0, self.order)), Equals(True))

    def test_what_is_written_is_what_is_known_and_drops_what_no_repeat_can_follow(self) -> None:
        order = Order("s", "v3", 4, "v1", 4.0, past=(Earlier("v2", 4.0, 3),))
        self.ages.learn(100.0, order, 0.0)
        self.assertThat(self.ages.aged(100.9, order), Equals(order))
        aged = self.ages.aged(102.5, order)
        self.assertThat((aged.ages, aged.past), Equals(((Age(3, 2.0), Age(4, 2.0)), order.past)))
        old = self.ages.aged(120.0, order)
        self.assertThat((old.past, old.ages), Equals(((), (Age(4, 9.0),))))
        self.assertThat(self.ages.aged(500.0, old), Equals(old))  # nothing more is written
        settled = [self.ages.is_settled(one) for one in (order, aged, old)]
        self.assertThat(settled, Equals([False, False, True]))

    def test_kept_and_read_again_by_this_build_and_by_an_earlier_one(self) -> None:
        ages = (Age(3, 2.0), Age(4, 1.0, 2, 1.0))
        order = Order("s", "v3", 4, "v1", 4.0, past=(Earlier("v2", 4.0, 3),), ages=ages)
        kept = json.loads(json.dumps(order.kept()))
        self.assertThat(Order.of(kept), Equals(order))
        self.assertThat(Order.of(kept[:8]).ages, Equals(()))
        self.assertThat(kept[6], Equals([["v2", 4.0, 3]]))  # as builds that know no ages read it


class Days(TestCase):
    """Whole control servers in simulated time; the operator's order ends, then it is sent again."""

    def play(self, what: Callable[[Day], Awaitable[None]]) -> None:
        async def whole() -> None:
            day = Day(small(0.0), 1)
            for ip in (*day.core_ips, *day.front_ips):
                day.start(ip)
            for kind in day.shape.kinds:
                day.machine(kind, "z0", "v1", warm=True)
            await day.order("PUT", "/cfg", day.plan(1))
            await asyncio.sleep(7.0)
            await what(day)

        none = mock.patch("pinward.trial.tally.Tally.verdict", lambda *_: (None, ""))
        with none, logbook.NullHandler().applicationbound():
            played(whole())

    @staticmethod
    def held(day: Day) -> Order:
        """The order that the control servers hold, the latest that one of them shows."""
        hosts = [day.hosts[ip][1] for ip in day.core_ips if ip in day.hosts]
        found = [host.keeper.public.get("roll:reads") for host in hosts]
        return max((Order.of(item[2]) for item in found if item), key=lambda order: order.number)

    async def ended(self, day: Day, stage: Stage) -> None:
        """The order under way ends."""
        host: Any = day.hosts[day.primary() or ""][1]
        host.keeper.propose(day.now(), "roll:reads", self.held(day).moved(stage).kept())
        host.carry()
        await asyncio.sleep(0.2)

    async def ordered(self, day: Day, back: bool) -> float:
        """An order that is sent back; or one that is done, and so is another behind it. When it was given."""
        began = day.now()
        self.assertThat((await day.order("POST", "/rolls", ORDER))[0], Equals(200))
        await self.ended(day, Stage.DONE if back else Stage.UNDONE)
        if back:
            self.assertThat((await day.order("POST", "/rolls", BACK))[0], Equals(200))
            await self.ended(day, Stage.DONE)
        return began

    def test_a_new_order_like_an_earlier_one_is_started(self) -> None:
        """Guards against review/6: acknowledged after a restart as a repeat of long ago, never started."""
        for trouble in losses.ALL:
            for after_s, before_s in ((5.5, 1.5), (5.5, 4.0), (7.0, 0.5), (18.0, 3.0)):
                for back in (False, True):
                    self.play(partial(self.sent_anew, trouble, after_s, before_s, back))

    async def sent_anew(
        self, trouble: Loss, after_s: float, before_s: float, back: bool, day: Day
    ) -> None:
        """So long after the order, and behind a trouble so long before, it is given anew."""
        name = f"{trouble.__name__} {after_s} {before_s} {back}"
        began = await self.ordered(day, back)
        last = self.held(day).number
        await asyncio.sleep(began + after_s - before_s - day.now())
        await trouble(day)
        await asyncio.sleep(began + after_s - day.now())
        status, text = await day.order("POST", "/rolls", ORDER, within_s=ACK_S)
        self.assertThat(status, Equals(200), f"{name} {text}")
        await asyncio.sleep(SEEN_S)
        held = self.held(day)
        self.assertThat((held.target, held.stage), Equals(("v2", Stage.SERVING)), name)
        self.assertThat(last, LessThan(held.number), name)
        closing = losses.lose_all_power if trouble in losses.OF_A_DISK else losses.lose_disk_and_all_power
        await closing(day)
        await asyncio.sleep(3.0)
        _, state = await day.order("GET", "/rolls/reads")
        self.assertThat(state, Contains("serving"), name)

    def test_a_repeat_within_ack_is_never_started_again_nor_refused(self) -> None:
        for trouble in losses.ALL:
            for after_s, before_s in ((1.5, 1.0), (3.0, 0.2), (4.8, 2.5), (4.9, 0.05)):
                for back in (False, True):
                    self.play(partial(self.sent_again, trouble, after_s, before_s, back))

    async def sent_again(
        self, trouble: Loss, after_s: float, before_s: float, back: bool, day: Day
    ) -> None:
        """So long after the order, behind a trouble so long before, it is repeated until `Ack` is over."""
        name = f"{trouble.__name__} {after_s} {before_s} {back}"
        began = await self.ordered(day, back)
        await asyncio.sleep(max(0.0, began + after_s - before_s - day.now()))
        await trouble(day)
        sends = [day.spawn(self.repeats(day, ip, began)) for ip in day.core_ips]
        statuses = {status for some in await asyncio.gather(*sends) for status in some}
        self.assertThat(statuses - {0, 200, 503}, Equals(set()), name)
        await asyncio.sleep(10.0)
        self.assertThat(self.held(day).stage is not Stage.SERVING, Equals(True), name)

    @staticmethod
    async def repeats(day: Day, ip: str, began: float) -> list[int]:
        """The order sent again to one server until `Ack` is over."""
        found = []
        while day.now() < began + ACK_S:
            found.append((await day.send(ip, "POST", "/rolls", ORDER)).status)
            await asyncio.sleep(0.15)
        return found
