"""The gateway's other state machines: directory, calls, budget, choice of machine, roll-outs."""

from __future__ import annotations

import asyncio
import copy
from dataclasses import replace
from itertools import permutations
from typing import Any

import aiohttp
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, IsInstance, LessThan

from pinward.directory.book import HINT_S, Book, News
from pinward.directory.entry import Entry, Standing
from pinward.directory.sanctioned import earlier, sanctioned
from pinward.plan.boot import boot_of
from pinward.plan.routes import Route
from pinward.switchboard.call import BESIDE_PART, Call, Reply, Send, Wait
from pinward.switchboard.lines import Lines
from pinward.switchboard.verdict import NEVER_RAN, Ending, Verdict
from pinward.tally.tries import Tries
from pinward.trial.arms import ROUTES_MOST
from pinward.trial.front import Trial
from pinward.trial.order import Order, Stage
from pinward.trial.tally import Tally
from pinward.trunk.link import say, word_of
from tests.test_gateway_plan import Settings

BOUNDS = boot_of(Settings.TOLD).unwrap().bounds
READ = Route("r", True, 2.0, 0.5, 1, 3, (("s", 1.0),))
BOOK = replace(READ, repeatable=False)


def entry(
    number: int, build: str = "v1", calls: int = 1, standing: Standing = Standing.UP, zone: str = "a"
) -> Entry:
    return Entry(f"i{number}", "s", (f"10.0.0.{number}", 80), zone, build, 6, standing, calls)


class Directory(TestCase):
    def test_news_merge_alike_in_every_order_and_twice(self) -> None:
        told = [
            [entry(1, calls=5).plain(), "a", "x", 1, 0.0],
            [entry(1, calls=7, standing=Standing.DRAIN).plain(), "b", "y", 1, 0.0],
            [entry(1, calls=6, standing=Standing.SILENT).plain(), "c", "z", 4, 0.0],
            [entry(1, calls=8).plain(), "a", "x", 2, 0.0],
        ]
        for order in permutations(told):
            book = Book("m", "l", 1.5)
            for one in (*order, order[0]):
                book.merge(0.0, News({}, {}, [copy.deepcopy(one)]))
            self.assertThat(book.lines["i1"].entry.standing, Is(Standing.DRAIN))

    def test_what_left_never_comes_back_in_one_life(self) -> None:
        book = Book("m", "l", 1.5)
        book.beat(0.0, entry(1, calls=3))
        book.leave(1.0, "i1")
        self.assertThat(book.beat(1.1, entry(1, calls=9)), Is(None))
        self.assertThat(book.lines["i1"].entry.standing, Is(Standing.GONE))

    def test_a_copy_pulls_what_it_lacks_and_all_of_a_source_that_began_anew(self) -> None:
        book, copy_ = Book("m", "l", 1.5), Book("", "f", 1.5)
        for number in range(3):
            book.beat(0.0, entry(number))
        snapshot = book.news(0.0, copy_.seen)
        assert snapshot is not None
        self.assertThat((snapshot.base, len(snapshot.lines)), Equals((None, 3)))
        copy_.merge(0.0, snapshot)
        self.assertThat(book.news(0.0, copy_.seen), Is(None))
        book.beat(1.0, entry(1, calls=2, standing=Standing.DRAIN))
        changes = book.news(1.0, copy_.seen)
        assert changes is not None
        self.assertThat(changes.base, Equals({"m": (book.life, 3)}))
        self.assertThat([line[0][0] for line in changes.lines], Equals(["i1"]))
        anew = Book("m", "l2", 1.5)
        anew.beat(2.0, entry(1, calls=3))
        snapshot = anew.news(2.0, copy_.seen)
        assert snapshot is not None
        self.assertThat((snapshot.base, len(snapshot.lines)), Equals((None, 1)))

    def test_a_silent_machine_is_up_again_once_any_source_heard_it(self) -> None:
        book = Book("m", "l", 1.5)
        book.beat(0.0, entry(1, calls=4))
        self.assertThat(len(book.age(5.1)), Equals(1))
        book.heard(5.2, [["i1", 4]])
        self.assertThat(book.lines["i1"].entry.standing, Is(Standing.SILENT))
        book.heard(5.3, [["i1", 5]])
        self.assertThat(book.lines["i1"].entry.standing, Is(Standing.UP))

    def test_a_hint_from_disk_lasts_for_two_beats(self) -> None:
        book = Book("m", "l", 1.5)
        book.restore(100.0, [entry(1).plain(), entry(2).plain()])
        book.beat(101.0, entry(2, calls=2))
        self.assertThat(book.age(100.0 + HINT_S - 0.1), Equals([]))
        self.assertThat([e.iid for e in book.age(100.0 + HINT_S + 0.1)], Equals(["i1"]))

    def test_no_build_runs_requests_that_no_order_let_in(self) -> None:
        some = [entry(1), entry(2), entry(3, "v2")]
        order = Order("s", "v2", 1, "v1", 12.0)
        self.assertThat(sanctioned(some, None), Equals(("v1", None)))
        for old, new in (("v1", "v2"), ("v9", "v10")):  # as many of the new one come up before the order
            even = [entry(1, build=old), entry(2, build=new)]
            for told in (even, even[::-1]):
                self.assertThat(sanctioned(told, None), Equals((old, None)))
        self.assertThat(sanctioned(some, order), Equals(("v1", "v2")))
        self.assertThat(sanctioned(some, order.moved(Stage.UNDONE)), Equals(("v1", None)))
        self.assertThat(sanctioned(some, order.moved(Stage.DONE)), Equals(("v2", None)))
        crowd = [entry(1), entry(2, "v2"), entry(3, "v2"), entry(4, "v3")]
        undone = order.moved(Stage.UNDONE)
        self.assertThat(earlier(crowd, undone, "v3"), Equals("v1"))
        self.assertThat(earlier(crowd, replace(undone, base=""), "v3"), Equals("v1"))
        self.assertThat(earlier(crowd, order.moved(Stage.DONE), "v3"), Equals("v2"))
        self.assertThat(earlier(crowd, None, "v2"), Equals("v1"))
        self.assertThat(earlier([*crowd, entry(5, "v3")], None, "v2"), Equals("v3"))
        self.assertRaises(ValueError, order.moved(Stage.DONE).moved, Stage.UNDONE)


class FourMachines(TestCase):
    """Four machines of a service that had fifty requests."""

    def setUp(self) -> None:
        super().setUp()
        self.lines, self.tries = Lines("a", 1), Tries(BOUNDS)
        self.lines.learn(0.0, [entry(n) for n in range(4)], {}, {"s": 100})
        for _ in range(50):
            self.tries.request(0.0)


class Calls(FourMachines):

    def play(self, route: Route, *verdicts: tuple[Verdict, int]) -> tuple[int, Reply]:
        """Sends with these endings, in turn; how many there were, and the reply."""
        call, sent = Call(route, "s", 0.0, 1.0), 0
        endings = list(verdicts)
        while True:
            step = call.next(0.01 * sent, self.lines, self.tries, None)
            if isinstance(step, Reply):
                return sent, step
            assert isinstance(step, Send)
            verdict, status = endings.pop(0)
            sent += 1
            call.ended(0.01 * sent, self.lines, step, Ending(verdict, verdict.name, status), None)

    def test_once_goes_on_only_where_nothing_ran(self) -> None:
        for verdict in Verdict:
            status = 500 if verdict is Verdict.RAN else 503 if verdict is Verdict.TURNED_AWAY else 0
            sent, reply = self.play(BOOK, (verdict, status), (Verdict.RAN, 200))
            self.assertThat(sent, Equals(2 if verdict in NEVER_RAN else 1), verdict.name)
            promise = reply.status in (408, 421, 429, 503)
            self.assertThat(promise and verdict not in NEVER_RAN, Is(False), verdict.name)

    def test_a_promise_only_where_no_send_may_have_run(self) -> None:
        turned = (Verdict.TURNED_AWAY, 503)
        sent, reply = self.play(BOOK, turned, turned, turned, turned)
        self.assertThat((sent, reply.status), Equals((3, 503)))
        self.assertThat(reply.back_s, GreaterThan(0.0))
        sent, reply = self.play(READ, (Verdict.MAY_HAVE_RUN, 0), turned, turned)
        self.assertThat((sent, reply.status, reply.back_s), Equals((3, 502, None)))

    def test_no_machine_is_tried_twice_and_tries_are_bounded(self) -> None:
        call = Call(replace(READ, tries=9), "s", 0.0, 1.0)
        while isinstance(step := call.next(0.0, self.lines, self.tries, None), Send):
            call.ended(0.0, self.lines, step, Ending(Verdict.MAY_HAVE_RUN, "reset"), None)
        self.assertThat(len({m.entry.iid for m in call.tried}), Equals(len(call.tried)))
        self.assertThat(len(call.tried), Equals(4))

    def beside(self, route: Route) -> tuple[Call, Send, Send | Wait | Reply]:
        """A call whose machine is silent for longer than usual; its send, and what comes then."""
        call = Call(route, "s", 0.0, 2.0)
        first = call.next(0.0, self.lines, self.tries, None)
        assert isinstance(first, Send)
        wait = call.next(0.0, self.lines, self.tries, None)
        assert isinstance(wait, Wait)
        late = wait.most_s + 0.001 if wait.most_s < 2.0 else 1.0
        return call, first, call.next(late, self.lines, self.tries, None)

    def test_beside_a_silent_machine_a_second_is_asked_and_whichever_answers_counts(self) -> None:
        call, first, second = self.beside(READ)
        assert isinstance(second, Send)
        self.assertThat(second.machine is first.machine, Is(False))
        call.ended(0.5, self.lines, second, Ending(Verdict.RAN, "answer", 200), None)
        reply = call.next(0.5, self.lines, self.tries, None)
        assert isinstance(reply, Reply)
        self.assertThat(reply.status, Equals(200))
        call.ended(2.0, self.lines, first, Ending(Verdict.MAY_HAVE_RUN, "silent"), None)
        self.assertThat(first.machine.open, Equals(0))
        self.assertThat(first.machine.failed, Equals(1))

    def test_beside_it_counts_only_once_both_failed(self) -> None:
        call, first, second = self.beside(replace(READ, tries=2))
        assert isinstance(second, Send)
        call.ended(0.5, self.lines, first, Ending(Verdict.MAY_HAVE_RUN, "reset"), None)
        self.assertThat(call.next(0.5, self.lines, self.tries, None), IsInstance(Wait))
        call.ended(0.6, self.lines, second, Ending(Verdict.RAN, "answer", 200), None)
        reply = call.next(0.6, self.lines, self.tries, None)
        self.assertThat(reply, IsInstance(Reply))

    def test_nothing_is_asked_beside_that_may_run_once_or_without_budget_or_room(self) -> None:
        self.assertThat(self.beside(BOOK)[2], IsInstance(Wait))
        while self.tries.may(0.0, 1, BESIDE_PART):
            self.tries.spend(0.0)
        self.assertThat(self.beside(READ)[2], IsInstance(Wait))
        self.assertThat(self.tries.may(0.0, 1), Is(True))
        self.tries = Tries(BOUNDS)
        for _ in range(50):
            self.tries.request(0.0)
        for machine in self.lines.machines.values():
            machine.open = machine.entry.slots
        lone = Call(replace(READ, goal_s=9.0, timeout_s=9.0), "s", 0.0, 9.0)
        self.assertThat(lone.next(0.0, self.lines, self.tries, None), IsInstance(Send))
        self.assertThat(lone.next(3.0, self.lines, self.tries, None), IsInstance(Wait))

    def test_too_late_nothing_is_sent_and_the_answer_is_at_once(self) -> None:
        call = Call(READ, "s", 0.0, 0.05)
        step = call.next(0.049, self.lines, self.tries, None)
        self.assertThat(step, IsInstance(Reply))
        self.assertThat(step.status, Equals(503))  # type: ignore[union-attr]

    def test_the_budget_holds_over_sliding_windows_and_fronts(self) -> None:
        tries, further = Tries(BOUNDS), 0
        for turn in range(4000):
            now = turn / 100
            tries.request(now)
            if tries.may(now, 12):
                tries.spend(now)
                further += 1
        self.assertThat(further, LessThan(0.2 * 4000 + BOUNDS.retry_extra))
        self.assertThat(further, GreaterThan(0.15 * 4000))

    def test_left_out_machines_come_back_and_never_all_are_left_out(self) -> None:
        lines = Lines("a", 2)
        lines.learn(0.0, [entry(1), entry(2)], {}, {})
        for machine in lines.machines.values():
            lines.begin(machine)
            lines.end(0.0, machine, Ending(Verdict.NOT_SENT, "refused"), 0.0)
        self.assertThat(lines.pick(0.1, "s", []) is not None, Is(True))
        machine = next(iter(lines.machines.values()))
        lines.begin(machine)
        lines.end(6.0, machine, Ending(Verdict.RAN, "answer", 200), 0.05)
        self.assertThat(machine.aside_s, Equals(0.0))

    def test_a_draining_or_unsanctioned_machine_gets_nothing(self) -> None:
        lines = Lines("a", 3)
        lines.learn(0.0, [entry(1, standing=Standing.DRAIN), entry(2, "v2"), entry(3), entry(4)], {}, {})
        picked = {lines.pick(0.0, "s", []).entry.iid for _ in range(50)}  # type: ignore[union-attr]
        self.assertThat(picked, Equals({"i3", "i4"}))

    def test_home_first_until_it_is_busy(self) -> None:
        lines = Lines("a", 4)
        lines.learn(0.0, [entry(1), entry(2, zone="b")], {}, {})
        home = lines.pick(0.0, "s", [])
        assert home is not None
        self.assertThat(home.entry.iid, Equals("i1"))
        for _ in range(5):
            lines.begin(home)
        self.assertThat(lines.pick(0.0, "s", []).entry.iid, Equals("i1"))  # type: ignore[union-attr]
        for _ in range(5):
            lines.begin(home)
        self.assertThat(lines.pick(0.0, "s", []).entry.iid, Equals("i2"))  # type: ignore[union-attr]


class Words(TestCase):
    def test_long_and_short_words_come_back_and_what_is_none_is_refused(self) -> None:
        class Wire:
            sent: aiohttp.WSMessage

            async def send_str(self, text: str) -> None:
                self.sent = aiohttp.WSMessage(aiohttp.WSMsgType.TEXT, text, None)

            async def send_bytes(self, data: bytes) -> None:
                self.sent = aiohttp.WSMessage(aiohttp.WSMsgType.BINARY, data, None)

        for word in ({"t": "a"}, {"t": "b", "body": "x" * 50_000}):
            wire = Wire()
            asyncio.run(say(wire, word))
            self.assertThat(word_of(wire.sent), Equals(word))
            self.assertThat(len(wire.sent.data), LessThan(1000))
        for sort, data in ((aiohttp.WSMsgType.TEXT, "[1]"), (aiohttp.WSMsgType.BINARY, b"none")):
            self.assertRaises(ValueError, word_of, aiohttp.WSMessage(sort, data, None))


class RollOuts(TestCase):
    ORDER = Order("s", "v2", 1, "v1", 12.0)

    def report(
        self, sent: int, bad: int, vote: str = "on", slow: float = 1.0, age_s: float = 9.0, **more: Any
    ) -> list[Any]:
        routes = {"r": [sent, bad, 1000, 2, sent, sent * 0.05 * slow, 1000, 50.0], **more}
        return ["s", 1, f"life{sent}.{bad}", age_s, routes, vote]

    def tally(self, *reports: list[object], now: float = 1.0) -> Stage | None:
        tally = Tally(BOUNDS)
        tally.learn(0.0, self.ORDER)
        for number, report in enumerate(reports):
            tally.report(now, f"f{number}", [report])
        return tally.verdict(now, self.ORDER, max(1, len(reports)))[0]

    def test_good_goes_on_once_watched_and_not_before(self) -> None:
        self.assertThat(self.tally(self.report(50, 0), self.report(49, 0)), Is(Stage.DONE))
        early = (self.report(50, 0, age_s=1.0), self.report(49, 0, age_s=1.0))
        self.assertThat(self.tally(*early), Is(None))
        self.assertThat(self.tally(self.report(5, 0), self.report(6, 0)), Is(None))

    def test_bad_goes_back_by_the_sum_of_all_fronts(self) -> None:
        few = [self.report(6 + n, 1, "") for n in range(6)]
        self.assertThat(self.tally(*few), Is(Stage.UNDONE))
        self.assertThat(self.tally(self.report(40, 0, "", slow=3.0)), Is(Stage.UNDONE))
        self.assertThat(self.tally(self.report(400, 3)), Is(Stage.DONE))

    def test_bad_on_one_route_goes_back_though_the_sum_looks_sound(self) -> None:
        failing, slow = [42, 6, 500, 1, 30, 1.5, 500, 25.0], [42, 0, 500, 1, 40, 6.0, 500, 25.0]
        self.assertThat(self.tally(self.report(600, 2)), Is(Stage.DONE))
        self.assertThat(self.tally(self.report(600, 2, rare=failing)), Is(Stage.UNDONE))
        self.assertThat(self.tally(self.report(600, 2, rare=slow)), Is(Stage.UNDONE))

    def test_what_turns_bad_late_is_seen_beside_much_that_was_sound(self) -> None:
        tally = Tally(BOUNDS)
        tally.learn(0.0, self.ORDER)
        for turn in range(10):
            sound = self.report(60 * (turn + 1), 0, vote="")
            sound[2] = "life"
            sound[4]["r"][2:] = [100 * turn, 0, 60 * turn, 3.0 * turn, 100 * turn, 5.0 * turn]
            tally.report(float(turn), "f", [sound])
            self.assertThat(tally.verdict(float(turn), self.ORDER, 1)[0], Is(None))
        late = self.report(640, 0, vote="")
        late[2], late[4] = "life", {"r": [640, 0, 1000, 0, 640, 47.0, 1000, 50.0]}
        tally.report(10.0, "f", [late])
        self.assertThat(tally.verdict(10.0, self.ORDER, 1)[0], Is(Stage.UNDONE))

    def test_faults_beyond_the_earlier_builds_hold_a_build_until_more_is_known(self) -> None:
        def report(sent: int, bad: int, old: int, theirs: int) -> list[Any]:
            told = self.report(sent, bad)
            told[4] = {"r": [sent, bad, old, theirs, sent, sent * 0.05, old, old * 0.05]}
            return told

        for sent, bad, old, theirs in ((63, 4, 685, 0), (60, 1, 676, 1), (62, 3, 700, 3)):
            self.assertThat(self.tally(report(sent, bad, old, theirs)), Is(None))
        for sent, bad, old, theirs in ((63, 0, 685, 0), (180, 2, 1000, 4), (400, 2, 4000, 16)):
            self.assertThat(self.tally(report(sent, bad, old, theirs)), Is(Stage.DONE))

    def test_a_route_that_tells_little_is_waited_for(self) -> None:
        thin = [10, 0, 200, 0, 10, 0.5, 200, 10.0]
        early, late = (self.report(600, 0, age_s=age_s, rare=thin) for age_s in (8.5, 9.7))
        self.assertThat(self.tally(early), Is(None))
        self.assertThat(self.tally(late), Is(Stage.DONE))

    def test_a_front_counts_few_routes_apart_and_the_rest_together(self) -> None:
        trial = Trial(self.ORDER, BOUNDS, 0.0)
        for turn in range(3 * ROUTES_MOST):
            trial.ended(0.1, True, f"r{turn}", False, 0.05, 0.5, False)
        self.assertThat(len(trial.routes), Equals(ROUTES_MOST + 1))
        self.assertThat(sum(arms.new for arms in trial.routes.values()), Equals(3 * ROUTES_MOST))

    def test_reports_twice_late_or_of_another_order_do_no_harm(self) -> None:
        tally = Tally(BOUNDS)
        tally.learn(0.0, self.ORDER)
        for _ in range(5):
            tally.report(1.0, "f", [self.report(20, 2)])
        other = self.report(50, 50)
        other[1] = 2
        tally.report(1.0, "g", [other])
        self.assertThat(tally.sums("s")["r"].plain()[:4], Equals([20, 2, 1000, 2]))

    def test_a_front_never_passes_cap_and_its_part_of_the_allowance(self) -> None:
        for fronts in (1, 12):
            trial, sent = Trial(self.ORDER, BOUNDS, 0.0), 0
            for turn in range(1, 3000):
                trial.take(0.5)
                new = trial.wants(fronts)
                trial.sends(new)
                sent += new
                self.assertThat(sent, LessThan(BOUNDS.trial_cap * turn + BOUNDS.trial_free / fronts + 1e-9))
            self.assertThat(sent, GreaterThan(200))

    def test_a_front_votes_back_on_faults_and_slowness_and_on_otherwise(self) -> None:
        for fault, slow, vote in ((0.4, 1.0, "back"), (0.0, 4.0, "back"), (0.0, 1.0, "on")):
            trial = Trial(self.ORDER, BOUNDS, 0.0)
            for turn in range(400):
                trial.take(0.5)
                new = turn % 10 == 0
                bad = new and turn // 10 % 10 < 10 * fault
                trial.ended(turn / 40, new, "r", bad, 0.05 * (slow if new else 1.0), 0.5, False)
                trial.step(turn / 40)
            self.assertThat(trial.vote, Equals(vote), f"{fault} {slow}")

    def test_an_order_that_is_over_sends_nothing(self) -> None:
        trial = Trial(self.ORDER.moved(Stage.UNDONE), BOUNDS, 0.0)
        for _ in range(100):
            trial.take(0.5)
        self.assertThat(trial.wants(1), Is(False))
