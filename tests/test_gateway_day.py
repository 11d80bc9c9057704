"""Whole gateways in simulated time under troubles, judged by outsiders' records; errors planted are found."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest import mock

import logbook
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from pinward.directory.entry import Standing
from pinward.exchange.answers import Answers
from pinward.switchboard.call import Call, Reply
from pinward.switchboard.lines import Lines
from pinward.switchboard.verdict import Verdict
from pinward.tally.tries import Tries
from pinward.trial.front import Trial
from standin import day_file
from standin.day_records import broken, worth
from standin.exchange_day import START_S, Day, small
from standin.virtual import played
from standin.works import Bad

TERMS = {"RetryExtra": 10, "CanaryFrac": 0.1, "CanaryExtra": 20, "Undo": "5s", "Drain": "2s"}
Troubles = Callable[[Day], Awaitable[None]]


def play(
    troubles: Troubles | None = None, seed: int = 1, scale: float = 0.3, length_s: float = 4.0, **terms: Any
) -> Day:
    async def whole() -> Day:
        day = Day(small(scale, terms={**TERMS, **terms}), seed)
        await day.play(length_s, troubles)
        return day

    with logbook.NullHandler().applicationbound():
        day: Day = played(whole())
    return day


async def crash(day: Day) -> None:
    """A machine of each service ends without a word, one of them with its power."""
    await asyncio.sleep(1.0)
    for service in ("reads", "books"):
        day.crash(day.of(service)[0], 2.0, silent=service == "reads")


async def lossy(day: Day) -> None:
    """Machines whose answers are lost, or are none."""
    for machine in day.of("books")[:3] + day.of("reads")[:3]:
        machine.lost, machine.spoilt = 0.1, 0.1


async def drain(day: Day) -> None:
    await asyncio.sleep(0.5)
    await asyncio.gather(*(day.leave(day.of(service)[0]) for service in ("reads", "books")))


async def takeover(day: Day) -> None:
    """The primary is killed in the middle of a change of configuration, and the answer is read back."""
    await asyncio.sleep(0.5)
    put = day.spawn(day.order("PUT", "/cfg", day.plan(2, extra=40)))
    await asyncio.sleep(0.004)
    lead = day.primary()
    assert lead is not None
    day.kill(lead, 1.5)
    await put
    await day.order("PUT", "/cfg", day.plan(3))
    for _ in range(3):
        await day.order("GET", "/cfg")
        await asyncio.sleep(0.3)


async def fronts_killed(day: Day) -> None:
    await asyncio.sleep(1.0)
    for ip in day.front_ips[:2]:
        day.kill(ip, 0.5)


async def power(day: Day) -> None:
    """All control fronts lose their power right after an acknowledgement, one of them its disk as well."""
    await asyncio.sleep(0.5)
    await day.order("PUT", "/cfg", day.plan(2))
    lead = day.primary()
    for ip in day.core_ips:
        day.kill(ip, 0.5, power=True, wipe=ip == lead)
    await asyncio.sleep(1.5)
    await day.order("GET", "/cfg")


async def gone_at_one_that_forgot(day: Day) -> None:
    """Machines say that they are gone to a control server that lost its disk and has just started."""
    await asyncio.sleep(0.5)
    core = next(ip for ip in day.core_ips if ip != day.primary())
    day.kill(core, 0.0, wipe=True)
    while core not in day.hosts:
        await asyncio.sleep(0.001)
    for machine in (day.of("reads")[0], day.of("books")[0]):
        machine.standing = Standing.DRAIN  # it beats no more
        sent = await day.send(core, "DELETE", f"/machines/{machine.iid}")
        status = sent.status if sent.clear else 0
        while not status:
            status, _, _ = await day.call("DELETE", f"/machines/{machine.iid}")
        machine.acked_drain = day.now()
    await asyncio.sleep(4.0)


def rolled(bad: Bad | None) -> Troubles:
    async def troubles(day: Day) -> None:
        await asyncio.sleep(0.5)
        await day.roll("reads", 5.0, bad)

    return troubles


class Days(TestCase):
    def test_a_calm_day_is_served(self) -> None:
        day = play()
        self.assertThat(broken(day), Equals([]))
        self.assertThat(worth(day)["within_aim"], GreaterThan(0.98))

    def test_nothing_breaks_under_troubles(self) -> None:
        for number, trouble in enumerate((crash, lossy, drain, takeover, fronts_killed, power)):
            day = play(trouble, seed=10 + number)
            self.assertThat(broken(day), Equals([]), trouble.__name__)
            self.assertThat(worth(day)["served"], GreaterThan(0.85), trouble.__name__)

    def test_a_machine_that_is_gone_is_left_also_where_a_server_that_forgot_was_told(self) -> None:
        """Symptom: a `DELETE` of a machine that a server did not know was acknowledged and reached nobody."""
        for seed in range(30, 33):
            self.assertThat(broken(play(gone_at_one_that_forgot, seed=seed)), Equals([]))

    def test_one_seed_gives_one_day(self) -> None:
        one, other = play(crash, seed=3, length_s=2.0), play(crash, seed=3, length_s=2.0)
        self.assertThat([r.try_id for r in one.works.runs], Equals([r.try_id for r in other.works.runs]))

    def test_a_bad_build_goes_back_and_a_sound_one_on(self) -> None:
        for bad, phase in ((Bad(share=0.5), "undone"), (None, "done")):
            day = play(rolled(bad), scale=0.5, length_s=6.0)
            phases = [facts["phase"] for _, what, facts in day.events if what == "rolled"]
            self.assertThat(phases, Equals([phase]))
            self.assertThat(broken(day), Equals([]))

    def test_beside_a_silent_machine_few_are_late(self) -> None:
        def within_aim() -> float:
            return sum(worth(play(crash, seed=seed))["within_aim"] for seed in range(5, 9))

        served = within_aim()
        with mock.patch("pinward.switchboard.call.BESIDE", 1e9):
            alone = within_aim()
        self.assertThat(alone, LessThan(served - 4 * 0.002))


class Sessions(TestCase):
    def test_a_front_that_starts_beside_a_silent_control_front_is_ready_at_once(self) -> None:
        took: list[float] = []

        async def troubles(day: Day) -> None:
            await asyncio.sleep(0.5)
            day.kill(next(ip for ip in day.core_ips if ip != day.primary()), 9.0, power=True)
            for ip in day.front_ips:
                day.kill(ip, 0.1)
            began = day.now()
            while not all(ip in day.hosts and day.hosts[ip][1].ready for ip in day.front_ips):
                await asyncio.sleep(0.01)
            took.append(day.now() - began)

        self.assertThat(broken(play(troubles, seed=20)), Equals([]))
        self.assertThat(took[0], LessThan(0.1 + START_S + 0.2))


class Files(TestCase):
    def test_the_example_plays_and_a_fault_is_told_by_field(self) -> None:
        text = (Path(__file__).parents[1] / "example" / "day.toml").read_text()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "day.toml"
            short = text.replace("length_s = 20.0", "length_s = 3.3").replace("at = 10.0", "at = 0.5")
            path.write_text(short)
            told = day_file.read(path).unwrap()
            day = day_file.play(told)
            self.assertThat(day_file.judged(day), Equals([]))
            self.assertThat(len(day_file.spans(day)), Equals(2))
            for old, new, field in (
                ("slots = 6", "slots = 0", "service.0.slots"),
                ('kind = "crash"', 'kind = "crush"', "trouble.2.kind"),
                ('service = "lists"', 'service = "listings"', "service"),
                ("length_s = 20.0", "length_s = ", "the whole"),
            ):
                path.write_text(text.replace(old, new))
                self.assertThat(day_file.read(path).unwrap_err(), Contains(f"{path}: {field}: "))


class Planted(TestCase):
    """The checkers find errors put in on purpose, so what they do not find counts."""

    def finds(self, rule: str, day: Day) -> None:
        self.assertThat({word.partition(" ")[0] for word in broken(day)}, Contains(rule))

    def test_a_request_that_may_run_once_sent_again(self) -> None:
        def again(self: Call, now: float, lines: Lines, tries: Tries) -> bool:
            return self.last is not None and self.last.verdict is not Verdict.RAN and len(self.tried) < 2

        with mock.patch.object(Call, "again", again):
            self.finds("TWICE", play(lossy))

    def test_a_promise_where_a_send_may_have_run(self) -> None:
        def reply(self: Call, lines: Lines) -> Reply:
            answer = whole(self, lines)
            return Reply(503, back_s=0.1) if answer.ending is None else answer

        whole = Call.reply
        with mock.patch.object(Call, "reply", reply):
            self.finds("REFUSED", play(lossy))

    def test_a_machine_that_leaves_is_still_sent_to(self) -> None:
        stays = staticmethod(lambda now, machine: machine.entry.standing < Standing.GONE)
        with mock.patch.object(Lines, "answers", stays):
            self.finds("DRAIN", play(drain))

    def test_further_tries_without_a_budget(self) -> None:
        with mock.patch.object(Tries, "may", lambda *_: True), mock.patch(
            "pinward.switchboard.call.BESIDE", 0.3
        ):  # fmt: skip
            self.finds("BUDGET", play(RetryExtra=1))

    def test_a_trial_without_its_clamp(self) -> None:
        with mock.patch.object(Trial, "wants", lambda *_: True):
            self.finds("EXPOSURE", play(rolled(Bad(share=0.3)), scale=0.5, length_s=6.0))

    def test_a_configuration_acknowledged_and_not_kept(self) -> None:
        async def put_plan(self: Answers, _: str, said: Any, body: bytes) -> tuple[int, str]:
            held = self.parts.keeper.public.get("plan")
            return (200, "{}") if held is not None else await whole(self, _, said, body)

        whole = Answers.put_plan
        with mock.patch.object(Answers, "put_plan", put_plan):
            self.finds("CONFIG", play(takeover))
