"""One number, one winner: orders that race, repeats to any machine, calls passed on, and who judges them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from math import inf
from typing import Any
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, Is, Not

from pinward.exchange.answers import Answers
from pinward.exchange.calls import signed
from pinward.exchange.forward import KEPT_MOST, KEPT_S, Fate, Incoming, Outgoing
from pinward.exchange.host import Exchange
from pinward.trial.order import Order, Stage
from standin.day_records import kept
from standin.linearizable import Operation, Register, Rollouts, UndecidedError, linearizable
from standin.operators import PLANTS, Operators, drawn, judged, late, play, woken

Op = tuple[float, float, Any, Any]
A, B = ("put", 2, "a", True), ("put", 2, "b", True)
X, Y = ("post", "x", "v2", "4s"), ("post", "y", "v3", "4s")


def fits(model: Any, *some: Op, latest: float = inf) -> bool:
    history = [Operation(called, answered, asked, answer, latest) for called, answered, asked, answer in some]
    return linearizable(model, history) is None


class Histories(TestCase):
    """The judge itself, on histories made by hand."""

    def test_a_register_of_numbers(self) -> None:
        is_a, is_b = ("is", (2, "a")), ("is", (2, "b"))
        for good in (
            [(0, 1, A, 200), (0, 1, B, 409), (2, 3, ("get",), is_a), (4, 5, A, 200)],
            [(0, 9, A, 200), (1, 2, ("get",), ("is", None)), (3, 4, ("get",), is_a), (5, 6, B, 409)],
            [(0, inf, A, None), (1, 2, ("get",), ("is", None)), (3, 4, ("get",), is_a), (5, 6, B, 409)],
            [(0, inf, A, None), (1, 2, B, 200), (3, 4, ("get",), is_b)],  # it never took effect
            [(0, 1, ("put", 3, "c", True), 200), (2, 3, A, 200), (4, 5, ("get",), ("is", (3, "c")))],
            [(0, 1, ("put", 9, "!", False), 400), (2, 3, ("get",), ("is", None))],
        ):
            self.assertThat(fits(Register(), *good), Is(True), str(good))
        for wrong in (
            [(0, 1, A, 200), (2, 3, B, 200)],  # two winners
            [(0, 1, A, 200), (2, 3, A, 409)],  # a repeat is refused
            [(0, 1, A, 200), (2, 3, ("get",), ("is", None))],  # a read that is old
            [(0, 9, A, 200), (1, 2, ("get",), is_a), (3, 4, ("get",), ("is", None))],  # and that goes back
            [(0, inf, A, None), (1, 2, ("get",), is_a), (3, 4, ("get",), is_b)],  # from nowhere
            [(0, 1, ("put", 9, "!", False), 200)],
            [(0, 1, ("put", 3, "c", True), 200), (2, 3, A, 409)],
        ):
            self.assertThat(fits(Register(), *wrong), Is(False), str(wrong))
        slow = [(0, inf, A, None), (3, 4, ("get",), ("is", None)), (5, 6, ("get",), is_a)]
        self.assertThat([fits(Register(), *slow, latest=at) for at in (2, 3)], Equals([False, True]))

    def test_orders_of_a_service(self) -> None:
        read = ("read",)
        begun = [(0, 1, X, 200), (2, 3, read, ("serving", "v2")), (2, 3, Y, 409)]
        ended = [(0, 1, X, 200), (2, 3, read, ("undone", "v2"))]
        for good in (
            [*begun, (4, 5, X, 200), (6, 7, read, ("done", "v2"))],
            [*ended, (4, 5, X, 200), (6, 7, Y, 200), (8, 9, X, 200), (10, 11, read, ("serving", "v3"))],
            [*ended, (4, 5, ("post", "again", "v2", "4s"), 200), (6, 7, read, ("serving", "v2"))],
            [(0, inf, X, None), (1, 2, read, ("none",)), (3, 4, Y, 409), (5, 6, read, ("serving", "v2"))],
        ):
            self.assertThat(fits(Rollouts(), *good), Is(True), str(good))
        for wrong in (
            [*begun, (4, 5, X, 409)],  # a repeat is refused
            [*ended, (4, 5, X, 200), (6, 7, read, ("serving", "v2"))],  # it starts again
            [*ended, (4, 5, Y, 200), (6, 7, X, 200), (8, 9, read, ("serving", "v2"))],
            [*ended, (4, 5, Y, 409)],  # nothing is under way
            [*begun, (4, 5, read, ("done", "v2")), (6, 7, read, ("undone", "v2"))],
        ):
            self.assertThat(fits(Rollouts(), *wrong), Is(False), str(wrong))

    def test_a_search_beyond_its_bound_is_no_verdict(self) -> None:
        many = [Operation(0, 9, ("put", n, "x", True), 200) for n in range(9)]
        self.assertRaises(UndecidedError, linearizable, Register(), many, 5)


class PassedOn(TestCase):
    """A call that is passed on, one message changed at a time."""

    def setUp(self) -> None:
        super().setUp()
        self.outgoing, self.incoming = Outgoing("life"), Incoming()
        self.outgoing.heard(50.0, "p", 7, 1000.0)  # the primary's clock is 950 s ahead
        self.word = self.outgoing.begin(50.1, "p", 0.9) or {}

    def judge(self, now: float = 1000.15, epoch: int | None = 7, **changed: Any) -> Fate:
        return self.incoming.judge(now, epoch, {**self.word, **changed})[0]

    def test_in_time_and_under_its_epoch_it_is_carried_out_once(self) -> None:
        self.assertThat(self.judge(1001.01), Is(Fate.OVER))
        self.assertThat(self.judge(epoch=8), Is(Fate.ELSEWHERE))
        self.assertThat(self.judge(epoch=None), Is(Fate.ELSEWHERE))
        self.assertThat(self.judge(epoch=6), Is(Fate.ELSEWHERE))
        fate, left = self.incoming.judge(1000.15, 7, self.word)
        self.assertThat((fate, round(left, 3)), Equals((Fate.NEW, 0.85)))
        self.assertThat((self.judge(), self.judge(epoch=8)), Equals((Fate.AGAIN, Fate.AGAIN)))
        self.assertThat(self.incoming.reply(self.word["id"]), Is(None))
        self.incoming.replied(self.word["id"], {"status": 200})
        self.assertThat(self.incoming.reply(self.word["id"]), Equals({"status": 200}))
        self.assertThat(self.judge(1000.15 + KEPT_S + 0.1), Is(Fate.OVER))  # forgotten, and too old

    def test_what_is_remembered_is_bounded(self) -> None:
        fates = {self.judge(id=f"l.{n}") for n in range(KEPT_MOST)}
        self.assertThat((fates, self.judge()), Equals(({Fate.NEW}, Fate.ELSEWHERE)))
        self.assertThat(self.judge(1001.0 + KEPT_S, at=1001.0 + KEPT_S, id="later"), Is(Fate.NEW))
        self.assertThat(len(self.incoming.calls), Equals(1))

    def test_a_reply_counts_from_whom_it_was_asked_of_and_for_this_life(self) -> None:
        reply = {"id": self.word["id"], "life": "life"}
        self.assertThat(self.outgoing.answered("p", reply), Is(True))
        self.assertThat(self.outgoing.answered("q", reply), Is(False))
        self.assertThat(self.outgoing.answered("p", {**reply, "life": "former"}), Is(False))
        self.assertThat(self.outgoing.answered("p", {**reply, "id": "life.2"}), Is(False))
        self.assertThat(self.outgoing.heard(50.2, "p", 8, 1000.1), Equals([]))
        self.assertThat(self.outgoing.heard(50.3, "q", 9, 5.0), Equals([self.word["id"]]))
        self.outgoing.end(self.word["id"])
        self.assertThat(self.outgoing.answered("p", reply), Is(False))
        self.assertThat(self.outgoing.begin(50.4, "p", 0.9), Is(None))


Troubles = Callable[[Operators], Awaitable[None]]


class Orders(TestCase):
    """Real hosts in simulated time, one order at a time."""

    def alone(self, troubles: Troubles, **more: Any) -> Operators:
        crowd = play(1, 0.1, troubles, count=0, **more)
        self.assertThat([*judged(crowd.sends), *crowd.day.net.faults], Equals([]))
        return crowd

    def test_one_body_a_number_and_its_repeat_from_any_machine_at_any_time(self) -> None:
        seen: list[list[int]] = []

        async def troubles(crowd: Operators) -> None:
            day = crowd.day
            one, other = crowd.plan(2, "one"), crowd.plan(2, "other")
            spaced = dict(reversed(one.items()))
            older = crowd.plan(1, "third")
            wrong = {**crowd.plan(2, "wrong"), "Hosts": [{"Vhost": "", "Vroutes": []}]}

            async def each(*bodies: dict[str, Any]) -> None:
                some = [(body, ip) for body in bodies for ip in day.core_ips]
                sends = [await crowd.order("PUT", "/cfg", body, fronts=[ip]) for body, ip in some]
                seen.append([sent.status for sent in sends])

            await each(one, other, spaced, older, wrong)
            lead = day.primary() or ""
            day.kill(lead, 0.5)
            await asyncio.sleep(3.0)
            await each(one, other)
            for ip in day.core_ips:
                day.kill(ip, 0.2, power=True)
            await asyncio.sleep(3.0)
            await each(one, other)
            for ip in day.core_ips:  # what a build without digests had kept
                for items in (day.hosts[ip][1].keeper.kept.items, day.hosts[ip][1].keeper.public):
                    if "plan" in items:
                        items["plan"][2] = {k: v for k, v in items["plan"][2].items() if k != "digest"}
            await each(one, other)

        self.alone(troubles)
        again = [200] * 3 + [409] * 3
        self.assertThat(seen, Equals([[*again, *[200] * 6, *[400] * 3], again, again, again]))

    def test_what_comes_while_a_write_under_its_number_is_on_its_way_waits_for_it(self) -> None:
        statuses: list[int] = []

        async def troubles(crowd: Operators) -> None:
            crowd.day.slow_disks = {ip: 60.0 for ip in crowd.day.core_ips}  # a write takes 0.2 s
            one, other = crowd.plan(2, "one"), crowd.plan(2, "other")
            work = []
            for body in (one, other, one, other):
                work.append(crowd.day.spawn(crowd.order("PUT", "/cfg", body)))
                await asyncio.sleep(0.02)
            self.assertThat([sent.done() for sent in work], Equals([False] * 4))
            statuses.extend(sent.status for sent in await asyncio.gather(*work))

        self.alone(troubles)
        self.assertThat(statuses, Equals([200, 409, 200, 409]))

    def test_of_two_bodies_one_wins_whenever_the_primary_is_lost(self) -> None:
        winners: list[str] = []

        async def troubles(crowd: Operators) -> None:
            lead, bodies = crowd.day.primary() or "", [crowd.plan(2, name) for name in ("one", "other")]
            others = [ip for ip in crowd.day.core_ips if ip != lead]
            some = [crowd.day.spawn(crowd.order("PUT", "/cfg", bodies[0], fronts=[lead, *others]))]
            await asyncio.sleep(self.at_s)
            crowd.day.kill(lead, 2.0, power=True)
            some.append(crowd.day.spawn(crowd.order("PUT", "/cfg", bodies[1], fronts=others)))
            sends = await asyncio.gather(*some)
            self.assertThat(sorted(sent.status for sent in sends), Equals([200, 409]))
            winners.append(next(sent.order for sent in sends if sent.status == 200))

        for ms in range(14):
            self.at_s = ms / 1000
            self.alone(troubles)
        self.assertThat(len(set(winners)), Equals(2))  # the loss came before and after the write

    def test_a_repeat_of_an_older_order_is_acknowledged_and_starts_nothing(self) -> None:
        seen: list[tuple[int, str]] = []
        last: list[Order] = []

        async def troubles(crowd: Operators) -> None:
            day = crowd.day

            async def roll(target: str, over: str = "4s", turn: str = "") -> None:
                body = {"Svc": "reads", "Target": target, "Over": over}
                status = (await crowd.order("POST", "/rolls", body, name=target + over + turn)).status
                await crowd.order("GET", "/rolls/reads")
                host = day.hosts[day.primary() or ""][1]
                seen.append((status, Order.of(host.keeper.public["roll:reads"][2]).target))

            async def ended(stage: Stage) -> None:
                host: Exchange = day.hosts[day.primary() or ""][1]
                order = Order.of(host.keeper.public["roll:reads"][2])
                host.keeper.propose(day.now(), "roll:reads", order.moved(stage).kept())
                host.carry()
                await asyncio.sleep(0.1)

            with mock.patch("standin.operators.Verdicts.verdict", lambda *_: (None, "")):
                await roll("v2")
                await roll("v2", "9s")  # it asks for another term: no repeat
                await ended(Stage.UNDONE)
                await roll("v3")
                for _ in range(2):
                    await roll("v2")  # a repeat that comes late, to this primary and to the next
                    day.kill(day.primary() or "", 0.5)
                    await asyncio.sleep(3.0)
                await ended(Stage.DONE)
                await roll("v3", "9s")  # all that it asks for is in force
                await asyncio.sleep(9.0)
                await roll("v2", turn="again")  # nobody repeats for so long: a new order
                last.append(Order.of(day.hosts[day.primary() or ""][1].keeper.public["roll:reads"][2]))

        self.alone(troubles)
        told = [(200, "v2"), (409, "v2"), (200, "v3"), (200, "v3"), (200, "v3"), (200, "v3"), (200, "v2")]
        self.assertThat(seen, Equals(told))
        self.assertThat((last[0].stage, last[0].past), Equals((Stage.SERVING, ())))  # old ones are forgotten
        self.assertThat(Order.of(last[0].plain()), Equals(last[0]))

    def test_what_waited_in_a_link_does_nothing_once_it_heals(self) -> None:
        for seed in range(3):
            crowd = play(seed, 0.1, late, count=0)
            self.assertThat(judged(crowd.sends, 1.005), Equals([]))
            self.assertThat({s.status for s in crowd.sends if s.order.startswith("late")}, Equals({503}))

    def test_an_order_whose_caller_has_hung_up_does_nothing(self) -> None:
        async def troubles(crowd: Operators) -> None:
            body = {"Svc": "reads", "Target": "v2", "Over": "4s"}
            for front in crowd.day.core_ips:
                await crowd.day.send(front, "POST", "/rolls", body, "late", gone=True)
                await crowd.day.send(front, "PUT", "/cfg", crowd.plan(2, "late"), "late", gone=True)
            host = crowd.day.hosts[crowd.day.primary() or ""][1]
            self.assertThat(list(host.keeper.kept.items), Equals(["plan"]))
            self.assertThat(host.keeper.public["plan"][2]["version"], Equals(1))

        self.alone(troubles)

    def test_a_read_that_outlasts_the_lease_is_not_shown(self) -> None:
        shown: list[int] = []

        async def slow(self: Answers, *words: Any) -> Any:
            await asyncio.sleep(0.7)
            return await whole(self, *words)

        async def troubles(crowd: Operators) -> None:
            lead = crowd.day.primary() or ""
            crowd.day.net.cut({lead}, set(crowd.day.core_ips) - {lead})
            with mock.patch.object(Answers, "get_plan", slow):
                shown.append((await crowd.send("one", lead, "GET", "/cfg")).status)

        whole = Answers.get_plan
        self.alone(troubles)
        self.assertThat(shown, Equals([503]))

    def test_a_control_front_that_hears_no_primary_for_long_answers_at_once(self) -> None:
        took: list[float] = []

        async def troubles(crowd: Operators) -> None:
            day = crowd.day
            front = next(ip for ip in day.core_ips if ip != day.primary())
            day.net.cut({front}, set(day.core_ips) - {front})
            await asyncio.sleep(4.0)
            sent = await crowd.send("one", front, "PUT", "/cfg", crowd.plan(2, "one"))
            took.append((sent.answered or inf) - sent.called)
            self.assertThat(sent.status, Equals(503))
            self.assertThat((await crowd.order("PUT", "/cfg", crowd.plan(2, "one"))).status, Equals(200))

        self.alone(troubles)
        self.assertThat(took[0] < 0.05, Is(True))

    def test_the_digest_is_of_what_a_configuration_says(self) -> None:
        one, other = '{"Ver":"0000000a","Svcs":[]}', '{ "Svcs": [], "Ver": "0000000a" }'
        self.assertThat(signed(one), Equals(signed(other)))
        self.assertThat(signed(one)[0], Equals(10))
        self.assertThat(signed(one.replace("[]", "[1]")), Not(Equals(signed(one))))


class Days(TestCase):
    def test_whatever_goes_wrong_what_operators_saw_is_linearizable(self) -> None:
        clear = 0
        for seed in range(12):
            crowd = play(seed, 12.0, drawn, ack_lost=0.4, cores=5 if seed % 4 == 0 else 3)
            self.assertThat(judged(crowd.sends), Equals([]), f"seed {seed}")
            self.assertThat([*crowd.day.net.faults, *kept(crowd.day)], Equals([]))
            clear += sum(sent.clear for sent in crowd.sends)
        self.assertThat(clear, GreaterThan(800))
        for seed in range(3):
            self.assertThat(judged(play(seed, 0.1, woken, count=0).sends), Equals([]))

    def test_errors_planted_are_found(self) -> None:
        for plant, (troubles, latest_s) in {
            "by-number": (drawn, inf), "refused": (drawn, inf), "again": (drawn, inf),
            "late": (late, 1.005), "unconfirmed": (woken, inf),
        }.items():  # fmt: skip
            with mock.patch.object(*PLANTS[plant]):
                count = 8 if troubles is drawn else 0
                days = (play(seed, 12.0, troubles, count, 0.3 * (count > 0)) for seed in range(8))
                found = next((words for day in days if (words := judged(day.sends, latest_s))), [])
            self.assertThat(" ".join(found), Contains("CONFIG"), plant)
