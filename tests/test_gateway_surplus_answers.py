"""Answers of machines that no request was due: what they prove, and what is told of them."""

from __future__ import annotations

import asyncio
from math import inf
from random import Random
from typing import Any
from unittest import mock

from multidict import CIMultiDict
from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan

import tests.test_gateway_wire as wire_tests
from pinward.common.metrics import Metrics
from pinward.switchboard import asked_ids
from pinward.switchboard.answer_watch import AnswerWatch
from pinward.switchboard.asked_ids import IDS_MOST, AskedIds
from pinward.switchboard.departures import OUTLIVE_S
from pinward.switchboard.verdict import NEVER_RAN, Ending, Verdict
from pinward.switchboard.wire import Wire
from standin.copying_machine import CopyingMachine, When, turns
from standin.faulty_machine import Act, FaultyMachine, answered, turned_away
from tests.test_gateway_verdicts import played
from tests.test_gateway_wire import EDGE


def sends(
    *acts: Act | bytes, ids: tuple[str, ...], method: str = "POST", allow_s: float = 0.5
) -> tuple[list[Ending], FaultyMachine, AnswerWatch]:
    """The endings of sends with these ids, one after another, to a machine that acts so."""
    watch = AnswerWatch(Metrics())

    async def work() -> tuple[list[Ending], FaultyMachine]:
        machine = FaultyMachine.of(acts)
        port, wire, endings = await machine.start(), Wire(watch), []
        for id_ in ids:
            headers = CIMultiDict({"Host": "h", "X-Try-Id": id_})
            url = f"http://127.0.0.1:{port}/a"
            endings.append(await wire.send(method, url, headers, b"x", allow_s, False))
            for _ in range(12):  # what the machine writes on an idle connection is read
                await asyncio.sleep(0)
        await wire.close()
        return endings, machine

    endings, machine = played(work)
    return endings, machine, watch


class AskedIdsTable(TestCase):
    def test_every_id_carried_is_held_and_few_others(self) -> None:
        chance, ids = Random(7), AskedIds()
        carried = [f"{chance.getrandbits(64):x}" for _ in range(IDS_MOST)]
        self.assertThat((ids.may_hold(carried[0]), ids.full), Equals((False, False)))
        for id_ in carried:
            ids.add(id_)
        self.assertThat(([id_ for id_ in carried if not ids.may_hold(id_)], ids.full), Equals(([], True)))
        others = sum(ids.may_hold(f"{chance.getrandbits(64):x}") for _ in range(20_000))
        self.assertThat(others, LessThan(200))


class Figures(TestCase):
    """What a proxy tells of surplus answers."""

    def test_each_place_is_told_and_whether_it_was_a_refusal(self) -> None:
        seven, eight, refusal = answered("7"), answered("8"), turned_away("7")
        for acts, ids, place, refusals in (
            ((seven, eight), "78", "", 0),
            ((Act(parts=(seven, seven)), eight), "78", "idle", 0),
            ((Act(parts=(turned_away("7"), refusal)), eight), "78", "idle", 1),
            ((seven, refusal + eight), "78", "misplaced", 1),
            ((turned_away("7"), refusal + eight), "78", "misplaced", 1),
            ((seven + refusal, eight), "78", "behind", 1),
            ((seven, eight, seven), "787", "", 0),
        ):
            watch = sends(*acts, ids=tuple(ids))[2]
            told = {name for name in ("idle", "misplaced", "behind") if watch.figures[name]}
            self.assertThat((told, watch.figures["refusals"]), Equals(({place} - {""}, refusals)), repr(acts))
            self.assertThat(watch.figures["repeated_ids"], Equals(int(ids == "787")))
            self.assertThat(watch.figures["last_machine"] != "", Equals(bool(place)))


REFUSALS = (turned_away("7"), turned_away("7", 429, b"no"), answered("7", 421, b""))


class Copies(TestCase):
    """Copies of answers that bear the id of the request that is under way."""

    def repeated(self, refusals: list[bytes], ids: str, method: str) -> tuple[Ending, CopyingMachine]:
        """The ending of the last of several sends to one machine, one after another, with these ids."""

        async def work() -> tuple[Ending, CopyingMachine]:
            machine, wire = CopyingMachine(refusals), Wire()
            machine.gate.set()
            port = await machine.start()
            for id_ in ids:
                headers = CIMultiDict({"Host": "h", "X-Try-Id": id_})
                ending = await wire.send(method, f"http://127.0.0.1:{port}/a", headers, b"", 0.5, False)
            await wire.close()
            return ending, machine

        return played(work)  # type: ignore[no-any-return]

    def test_a_copy_of_a_refusal_says_nothing_of_a_repeat_under_the_same_id(self) -> None:
        """Symptom: a request that its machine ran was called refused, by a copy of its first refusal."""
        for refusal in REFUSALS:
            for ids in ("77", "787", "78987"):
                for method in ("GET", "POST"):
                    ending, machine = self.repeated([refusal], ids, method)
                    name = f"{refusal!r}, {ids}, {method}"
                    self.assertThat(machine.ran.count("7"), Equals(1), name)
                    self.assertThat((ending.verdict, ending.body[-4:]), Equals((Verdict.RAN, b"of 7")), name)

    def wrong(self, machine: CopyingMachine, ids: list[str]) -> list[str]:
        """Sends, one after another, that prove more than their machine's record, or get another's answer."""

        async def work() -> list[str]:
            machine.gate.set()
            wire, found = Wire(), []
            url = f"http://127.0.0.1:{await machine.start()}/a"
            for id_ in ids:
                ran = len(machine.ran)
                headers = CIMultiDict({"Host": "h", "X-Try-Id": id_})
                ending = await wire.send("POST", url, headers, b"x", 0.5, False)
                for _ in range(3):  # a machine that has sent a copy goes on
                    await turns()
                ran = len(machine.ran) - ran
                own = ending.verdict is not Verdict.RAN or ending.body == b"run %d of %s" % (
                    len(machine.ran), id_.encode()
                )  # fmt: skip
                if (ending.verdict in NEVER_RAN and ran) or not own:
                    found.append(f"{id_}: {ending.what}, {ending.body!r}, {ran} runs")
            await wire.close()
            return found

        return played(work)  # type: ignore[no-any-return]

    def test_no_copy_proves_anything_wherever_and_however_often_it_comes(self) -> None:
        """At once, while idle, behind one and many other requests, twice, in parts; then the id once more."""
        for text in (*REFUSALS, answered("7", 200, b"run 0 of 7")):
            for when, behind in (
                (When.AT_ONCE, 1), (When.IDLE, 1), (When.LATER, 1), (When.LATER, 2), (When.LATER, 20),
                (When.SAME_ID, 1),
            ):  # fmt: skip
                for times in (1, 2):
                    for split in (None, 1, len(text) // 2, len(text) - 1):
                        machine = CopyingMachine([text], when, behind, times, split)
                        ids = ["7", *(f"other-{n}" for n in range(behind)), "7", "last"]
                        found = self.wrong(machine, ids)
                        name = f"{text!r} {when} {behind} {times} {split}"
                        self.assertThat(found, Equals([]), name)
                        self.assertThat(machine.copies > 0, Is(when is not When.SAME_ID), name)

    def test_a_copy_of_an_answer_is_not_the_answer_to_a_repeat(self) -> None:
        ending, machine = self.repeated([], "787", "GET")
        self.assertThat((ending.body, machine.ran), Equals((b"run 3 of 7", ["7", "8", "7"])))

    def test_connections_are_kept_behind_refusals(self) -> None:
        ids = "789abcdef"
        _, machine = self.repeated([turned_away(id_) for id_ in ids[:-1]], ids, "POST")
        self.assertThat((machine.opened, machine.arrived), Equals((1, len(ids))))

    def test_a_repeated_id_takes_one_connection_more_and_holds_no_more(self) -> None:
        for ids, opened in (("77", 2), ("778", 2), ("777777", 6)):
            machine = self.repeated([], ids, "GET")[1]
            self.assertThat((machine.opened, machine.copies), Equals((opened, 0)), ids)

        async def work() -> tuple[int, int]:
            machine, wire = CopyingMachine([]), Wire()
            machine.gate.set()
            url, headers = f"http://127.0.0.1:{await machine.start()}/a", CIMultiDict({"X-Try-Id": "7"})
            for _ in range(20):
                await wire.send("GET", url, headers, b"", 0.5, False)
            held = sum(map(len, wire.kept.connector._conns.values()))  # type: ignore[union-attr]
            await wire.close()
            return held, len(machine.ran)

        self.assertThat(played(work), Equals((1, 20)))

    def test_a_connection_ends_once_its_filter_is_full(self) -> None:
        with mock.patch.object(asked_ids, "IDS_MOST", 3):
            machine = self.repeated([], "789abcde", "GET")[1]
        self.assertThat((machine.opened, machine.arrived), Equals((3, 8)))


class Repeats(TestCase):
    """Clients that send a request again under its id, through a whole proxy that knows two machines."""

    board, taken = wire_tests.Clients.board, wire_tests.Clients.taken
    ONCE = b"POST /book/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: 7\r\nX-Deadline-Ms: 900\r\n\r\n"
    IDEM = b"GET /toy/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: 7\r\nX-Deadline-Ms: 2000\r\n\r\n"

    def ask(self, raw: bytes, work: Any) -> CopyingMachine:
        """A client's request is refused by both machines; then it sends it again, and `work` goes on."""

        async def whole() -> CopyingMachine:
            machine = CopyingMachine([REFUSALS[0], REFUSALS[0]])
            board, stop, running = await self.board(await machine.start(), await machine.start())
            _, writer = await self.sent(raw, b"503")
            writer.close()
            for known in board.lines.machines.values():
                known.full_until = known.aside_until = -inf
            await work(machine, board, raw)
            stop.set()
            await running
            return machine

        return played(whole)  # type: ignore[no-any-return]

    async def sent(self, raw: bytes, status: bytes = b"") -> tuple[bytes, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*EDGE)
        writer.write(raw)
        head = await reader.readuntil(b"\r\n\r\n") if status else b""
        if status:
            self.assertThat(head.split()[1], Equals(status))
        return head, writer

    def test_nothing_runs_that_was_refused_with_a_promise_by_a_copy(self) -> None:
        """Symptom: REFUSED, a payment ran that its client had been told would not run."""

        async def work(machine: CopyingMachine, board: Any, raw: bytes) -> None:
            reader, writer = await asyncio.open_connection(*EDGE)
            writer.write(raw)
            await machine.running.wait()
            machine.gate.set()
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            self.assertThat((machine.ran, head.split()[1]), Equals((["7"], b"200")))

        self.ask(self.ONCE, work)

    def test_nothing_runs_that_was_refused_as_a_machine_came_back_at_its_address(self) -> None:
        """Symptom: REFUSED, with no repeat by any client: 421 to the former life, and the request to the next
        one, went over one connection."""

        async def work() -> tuple[bytes, CopyingMachine]:
            machine = CopyingMachine([], iid="i2")
            machine.gate.set()
            port = await machine.start()
            board, stop, running = await self.board(port, port)
            board.lines.machines["i2"].full_until = inf  # the former life is asked first
            head, writer = await self.sent(self.ONCE, b"200")
            writer.close()
            stop.set()
            await running
            return head, machine

        _, machine = played(work)
        self.assertThat((machine.arrived, machine.ran, machine.copies), Equals((2, ["7"], 0)))

    def test_a_copy_ends_no_work_of_a_request_that_may_run_again(self) -> None:
        """Symptom: a machine's slot was free to the proxy while it worked, and others were asked besides."""

        async def work(machine: CopyingMachine, board: Any, raw: bytes) -> None:
            _, writer = await self.sent(raw)
            await machine.running.wait()
            for _ in range(50):
                await asyncio.sleep(0.001)
            sends = sum(known.open for known in board.lines.machines.values())
            self.assertThat((sends, machine.at_work, machine.ran), Equals((1, 1, ["7"])))
            writer.transport.abort()
            async with asyncio.timeout(OUTLIVE_S):
                while machine.at_work:
                    await asyncio.sleep(0.01)

        self.ask(self.IDEM, work)
