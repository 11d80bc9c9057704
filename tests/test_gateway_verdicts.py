"""The right caller, once: what each ending of a send proves, by a machine that misbehaves on a script."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from math import inf
from pathlib import Path
from typing import Any
from unittest import mock

from aiohttp.client_proto import ResponseHandler
from aiohttp.web_server import Server
from multidict import CIMultiDict
from testtools import TestCase
from testtools.matchers import Contains, Equals, Is, LessThan, Not, StartsWith

import pinward.switchboard.call as call_module
import tests.test_gateway_wire as wire_tests
from pinward.exchange.answers import Answers
from pinward.plan.boot import boot_of
from pinward.plan.routes import Route
from pinward.switchboard.asked_ids import AskedIds
from pinward.switchboard.call import Call, Reply, Send, Wait
from pinward.switchboard.kept import Channel, rest_of
from pinward.switchboard.lines import Lines
from pinward.switchboard.verdict import GOES_ON, PROVES, End, Ending, Kind, Sent, Verdict, ended, goes_on
from pinward.switchboard.wire import Wire, time_out
from pinward.tally.tries import Tries
from standin.callers_drill import CallersDrill
from standin.faulty_machine import Act, FaultyMachine, Read, Then, answered, chunked, turned_away
from tests.test_gateway_parts import BOOK, READ, entry
from tests.test_gateway_plan import Settings
from tests.test_gateway_wire import EDGE

WAIT_S = 8.0  # s that a test may take: none ends by it where all is well
RAN, MAY, TURNED, NOT_SENT = Verdict.RAN, Verdict.MAY_HAVE_RUN, Verdict.TURNED_AWAY, Verdict.NOT_SENT
HEAD = b"HTTP/1.1 200 Text\r\nX-Try-Id: 7\r\nX-Stamp: s\r\n"


def played(work: Callable[[], Awaitable[Any]]) -> Any:
    async def whole() -> Any:
        return await asyncio.wait_for(work(), WAIT_S)

    return asyncio.run(whole())


def sent(*acts: Act | bytes, ids: tuple[str | None, ...] = ("7",), method: str = "GET", body: Any = b"",
         wire: type[Wire] = Wire, allow_s: float = 0.5) -> tuple[list[Ending], FaultyMachine]:  # fmt: skip
    """The endings of sends with these ids, one after another, to a machine that acts so."""

    async def work() -> tuple[list[Ending], FaultyMachine]:
        machine = FaultyMachine.of(acts)
        port, sends, endings = await machine.start(), wire(), []
        for id_ in ids:
            headers = CIMultiDict({"Host": "h"} if id_ is None else {"Host": "h", "X-Try-Id": id_})
            url = f"http://127.0.0.1:{port}/a"
            whole = body() if callable(body) else body
            endings.append(await sends.send(method, url, headers, whole, allow_s, id_ is None))
            for _ in range(12):  # what the machine writes on an idle connection is read
                await asyncio.sleep(0)
        await sends.close()
        return endings, machine

    return played(work)  # type: ignore[no-any-return]


async def endless() -> AsyncIterator[bytes]:
    """A body that never ends."""
    yield b"x"
    await asyncio.Event().wait()


# What the machine does, how the send ends by it, and what the front does with a request that may run once and
# with one that may be repeated: how many machines it asks, and the status its client gets.
FAULTS: dict[str, tuple[tuple[bytes, ...], Then, End, tuple[int, int], tuple[int, int]]] = {
    "reset": ((), Then.RESET, End.RESET, (1, 502), (2, 200)),
    "closes": ((), Then.CLOSED, End.RESET, (1, 502), (2, 200)),
    "silent": ((), Then.SILENT, End.SILENT, (1, 504), (2, 200)),
    "cut head": ((HEAD,), Then.CLOSED, End.RESET, (1, 502), (2, 200)),
    "cut body": ((answered()[:-1],), Then.CLOSED, End.CUT, (1, 502), (2, 200)),
    "reset in the body": ((answered()[:-1],), Then.RESET, End.CUT, (1, 502), (2, 200)),
    "no answer": ((b"garbage\r\n\r\n",), Then.KEPT, End.SPOILT, (1, 502), (2, 200)),
    "no end": ((HEAD + b"\r\nok",), Then.CLOSED, End.SPOILT, (1, 502), (2, 200)),
    "two ends": ((answered("7", 200, b"0\r\n\r\n", "Transfer-Encoding: chunked"),), Then.KEPT,
                 End.SPOILT, (1, 502), (2, 200)),
    "upgrade": ((answered("7", 101, b"", "Connection: upgrade", "Upgrade: websocket"),), Then.KEPT,
                End.SPOILT, (1, 502), (2, 200)),
    "not run, but 200": ((answered("7", 200, b"ok", "X-Not-Run: 1"),), Then.KEPT,
                         End.SPOILT, (1, 502), (2, 200)),
    "another's": ((answered("6"),), Then.KEPT, End.ANOTHERS, (1, 502), (2, 200)),
    "another's, not run": ((turned_away("6"),), Then.KEPT, End.ANOTHERS, (1, 502), (2, 200)),
    "no id, not run": ((turned_away(None),), Then.KEPT, End.ANOTHERS, (1, 502), (2, 200)),
    "two ids": ((answered("7", 200, b"ok", "X-Try-Id: 6"),), Then.KEPT, End.ANOTHERS, (1, 502), (2, 200)),
    "stamp of a connection": ((answered("7", 200, b"ok", "Connection: X-Stamp"),), Then.KEPT,
                              End.ANOTHERS, (1, 502), (2, 200)),
    "coded": ((chunked("7", b"ok").replace(b": chunked", b": gzip, chunked"),), Then.KEPT,
              End.SPOILT, (1, 502), (2, 200)),
    "no stamp": ((answered().replace(b"X-Stamp: s\r\n", b""),), Then.KEPT, End.ANOTHERS, (1, 502), (2, 200)),
    "not run": ((turned_away(),), Then.KEPT, End.TURNED_AWAY, (2, 200), (2, 200)),
    "not it": ((answered("7", 421, b""),), Then.KEPT, End.TURNED_AWAY, (2, 200), (2, 200)),
    "not run, cut": ((turned_away("7", 503, b"ab")[:-1],), Then.CLOSED, End.TURNED_AWAY, (2, 200), (2, 200)),
    "failed": ((answered("7", 500),), Then.KEPT, End.ANSWER, (1, 500), (2, 200)),
    "ran, says 503": ((answered("7", 503),), Then.KEPT, End.ANSWER, (1, 502), (2, 200)),
    "ran, says 429": ((answered("7", 429),), Then.KEPT, End.ANSWER, (1, 502), (1, 429)),
    "ran, says 503 at length": ((answered("7", 503, b"z" * 2**19),), Then.KEPT,
                                End.ANSWER, (1, 502), (2, 200)),
    "failed at length": ((answered("7", 500, b"z" * 2**19),), Then.KEPT, End.ANSWER, (1, 500), (2, 200)),
    "refused": ((answered("7", 404),), Then.KEPT, End.ANSWER, (1, 404), (1, 404)),
    "hints": ((b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Hints\r\n\r\n", answered()), Then.KEPT,
              End.ANSWER, (1, 200), (1, 200)),
    "twice": ((answered() + answered(),), Then.KEPT, End.ANSWER, (1, 200), (1, 200)),
    "trailers": ((chunked("7", b"ok")[:-2] + b"X-T: 1\r\n\r\n",), Then.KEPT, End.ANSWER, (1, 200), (1, 200)),
}  # fmt: skip


def wrong_proofs(wire: type[Wire]) -> list[str]:
    """Sends whose ending says more than their answers prove, or bears the answer to another request."""
    wrong = []
    surplus = [turned_away("6"), turned_away(None), turned_away("6", 421), answered("6", 200, b"other")]
    for first in (answered("6"), answered("6") + answered("6", 200, b"other")):
        for odd in surplus:  # it stands in the place of the answer to a POST that had arrived
            endings, machine = sent(first, odd, ids=("6", "7"), method="POST", body=b"x", wire=wire)
            if endings[1].verdict is not MAY or len(machine.bodies) != 2:
                wrong.append(f"{endings[1].what} by {odd!r}")
    for size in range(1, len(surplus[-1]) + 1):
        first = Act(parts=(answered("6"), surplus[-1][:size]))
        endings, _ = sent(first, Act(parts=(surplus[-1][size:] + answered(),)), ids=("6", "7"), wire=wire)
        if endings[1].body == b"other" or endings[0].body != b"ok":
            wrong.append(f"an answer to another request after {size} bytes")
    return wrong


class Proof(TestCase):
    """Of one send."""

    def test_an_answer_proves_something_by_its_id_alone(self) -> None:
        self.assertThat(wrong_proofs(Wire), Equals([]))

    def test_planted_proof_by_a_surplus_answer_is_found(self) -> None:
        class Believes(Wire):
            async def read(self, answer: Any, asked: Any, sink: Any, until: float) -> Ending:
                if answer.status == 421 or "X-Not-Run" in answer.headers:
                    return ended(End.TURNED_AWAY, status=answer.status)
                return await super().read(answer, asked, sink, until)

        self.assertThat(wrong_proofs(Believes), Not(Equals([])))

    def test_planted_answer_in_anothers_place_is_found(self) -> None:
        class Mixes(Wire):
            answers = staticmethod(lambda answer, asked: True)  # type: ignore[assignment]

        with mock.patch.multiple(Channel, usable=True, asks=lambda self, id_: setattr(self, "asked", True),
                                 data_received=ResponseHandler.data_received):  # fmt: skip
            self.assertThat(wrong_proofs(Mixes), Not(Equals([])))

    def test_each_fault_by_what_the_machine_had_read(self) -> None:
        for name, (parts, then, end, _, _) in FAULTS.items():
            for read in Read:
                act, allow_s = Act(read, parts, then), 0.03 if then is Then.SILENT else 0.5
                endings, _ = sent(act, method="POST", body=b"xy", allow_s=allow_s)
                ending = endings[0]
                verdict = {End.ANSWER: RAN, End.TURNED_AWAY: TURNED}.get(end, MAY)
                if then is Then.RESET:  # a reset may overtake what was written before it
                    self.assertThat(ending.verdict, Is(MAY), f"{name}, {read}")
                    continue
                self.assertThat((ending.verdict, ending.what), Equals((verdict, end)), f"{name}, {read}")
                self.assertThat(PROVES[end][Sent.WHOLE], Is(verdict))

    def test_an_answer_cut_at_each_byte_is_never_whole(self) -> None:
        for whole in (answered(), chunked("7", b"o", b"k"), turned_away("7", 503, b"ab")):
            told = len(whole.partition(b"\r\n\r\n")[0]) + 4 if b"X-Not-Run" in whole else inf
            for size in range(len(whole)):
                for then in (Then.CLOSED, Then.RESET):
                    verdict = sent(Act(parts=(whole[:size],), then=then))[0][0].verdict
                    proven = (MAY, TURNED) if size >= told and then is Then.RESET else (MAY,)
                    proven = (TURNED,) if size >= told and then is Then.CLOSED else proven
                    self.assertThat(proven, Contains(verdict), f"{then} after {size} of {whole!r}")
            single = tuple(whole[at : at + 1] for at in range(len(whole)))
            self.assertThat(sent(Act(parts=single))[0][0].verdict, Is(TURNED if told < inf else RAN))

    def test_a_connection_is_kept_only_while_all_is_well(self) -> None:
        ids = ("7", "8", "9")
        well = [answered("7"), answered("8"), answered("9")]
        self.assertThat(sent(*well, ids=ids)[1].opened, Equals(1))
        self.assertThat(sent(turned_away("7", 503, b"ab"), *well[1:], ids=ids)[1].opened, Equals(1))
        for odd in (
            Act(parts=(well[0], answered("6"))),  # a surplus one while idle
            Act(parts=(well[0][:-1], well[0][-1:] + answered("6"))),
            Act(parts=(well[0], b"HTT")),
            Act(parts=(well[0] + answered("6"),)),
            answered("7", 200, b"ok", "Keep-Alive: timeout=0"),
            answered("7", 200, b"ok", "Connection: close"),
            well[0].replace(b"HTTP/1.1", b"HTTP/1.0"),
            answered("7", 204, b"").replace(b"Content-Length: 0\r\n", b"") + b"ok",
        ):
            endings, machine = sent(odd, *well[1:], ids=ids, method="POST", body=b"x")
            self.assertThat(machine.opened, Equals(2), repr(odd))
            self.assertThat([e.verdict for e in endings[1:]], Equals([RAN, RAN]), repr(odd))
        for early in (well[0], turned_away()):  # before the body is read, which then never ends
            endings, machine = sent(Act(Read.HEAD, (early,)), Act(Read.HEAD, (well[1],)), ids=ids[:2],
                                    method="POST", body=endless)  # fmt: skip
            self.assertThat((endings[1].verdict, machine.opened), Equals((RAN, 2)))
        endings, machine = sent(well[0], answered("6") + well[1], well[2], ids=ids)
        self.assertThat(([e.verdict for e in endings], machine.opened), Equals(([RAN] * 3, 2)))
        self.assertThat([rest_of(text) for text in (None, "x", "timeout=1, max=9")], Equals([4.0, 4.0, 0.7]))

    def test_a_request_without_an_id_is_proven_by_its_own_connection(self) -> None:
        refused = turned_away(None, 400)
        endings, machine = sent(answered(), refused, refused, ids=("7", None, None))
        self.assertThat([e.verdict for e in endings], Equals([RAN, TURNED, TURNED]))
        self.assertThat(machine.opened, Equals(3))
        self.assertThat(sent(turned_away("6", 400), ids=(None,))[0][0].verdict, Is(MAY))

    def test_answers_without_a_body_end_with_their_head(self) -> None:
        for method, status in (("HEAD", 200), ("GET", 304), ("GET", 204)):
            length = b"Content-Length: 2\r\n" if method == "HEAD" else b""
            text = b"HTTP/1.1 %d T\r\nX-Try-Id: 7\r\nX-Stamp: s\r\n%s\r\n" % (status, length)
            next_text = text.replace(b"Id: 7", b"Id: 8")
            endings, machine = sent(text, next_text, ids=("7", "8"), method=method)
            self.assertThat([(e.verdict, e.status) for e in endings], Equals([(RAN, status)] * 2))
            self.assertThat(machine.opened, Equals(1))

    def test_no_send_is_held_past_its_time(self) -> None:
        self.assertThat(time_out(7.25).total, Equals(7.25))
        self.assertThat(time_out(7.25).ceil_threshold, Equals(inf))
        self.assertThat(time_out(0.1).sock_connect, LessThan(0.1))  # then it is known: nothing was sent


class Goes(TestCase):
    """Of a request: the table, and a call that plays it."""

    def play(self, route: Route, ending: Ending) -> tuple[int, int]:
        """Machines asked, and the final status, where the first send ends so and a second answers."""
        lines, tries = Lines("a", 1), Tries(boot_of(Settings.TOLD).unwrap().bounds)
        lines.learn(0.0, [entry(1), entry(2)], {}, {})
        for _ in range(50):
            tries.request(0.0)
        call, endings = Call(route, "s", 0.0, 1.0), [ending, ended(End.ANSWER, status=200)]
        while isinstance(step := call.next(0.0, lines, tries, None), Send):
            call.ended(0.0, lines, step, endings.pop(0), None)
        assert isinstance(step, Reply)
        return 2 - len(endings), step.status

    def test_every_cell_of_the_table(self) -> None:
        self.assertThat(set(PROVES), Equals(set(End)))
        for end, row in PROVES.items():
            self.assertThat(tuple(row), Equals(tuple(Sent)))
            for part, verdict in row.items():
                if verdict is None:
                    self.assertRaises(ValueError, ended, end, part)
                    continue
                for status in (503, 200) if end is End.ANSWER else (503,) if end is End.TURNED_AWAY else (0,):
                    ending = ended(end, part, status)
                    never = part is Sent.NOTHING or end is End.TURNED_AWAY
                    self.assertThat(verdict in (NOT_SENT, TURNED), Is(never), f"{end}, {part}")
                    whole = status == 200
                    once = (2, 200) if never else (1, 200 if whole else 504 if end is End.SILENT else 502)
                    self.assertThat(self.play(BOOK, ending), Equals(once), f"{end}, {part}, {status}")
                    idem = (1 if whole else 2, 200)
                    self.assertThat(self.play(READ, ending), Equals(idem), f"{end}, {part}, {status}")

    def test_the_page_prints_the_tables(self) -> None:
        page = Path("docs/design/line.md").read_text()
        names = {None: "-", **{verdict: verdict.name.lower().replace("_", " ") for verdict in Verdict}}
        for end, row in PROVES.items():
            line = " | ".join(names[verdict] for verdict in row.values())
            self.assertThat(page, Contains(f"| {end} | {line} |"))
        for (verdict, failed), kinds in GOES_ON.items():
            told = " | ".join("yes" if may else "no" for may in kinds.values())
            self.assertThat(page, Contains(f"| {names[verdict]}{', 5xx' if failed else ''} | {told} |"))

    def two(self) -> tuple[Call, list[Send], Callable[[float], Any]]:
        """A call with two sends beside each other, and what it says to do at a time."""
        lines, tries = Lines("a", 1), Tries(boot_of(Settings.TOLD).unwrap().bounds)
        lines.learn(0.0, [entry(n) for n in range(4)], {}, {})
        for _ in range(50):
            tries.request(0.0)
        call, sends = Call(replace(READ, tries=3), "s", 0.0, 2.0), []
        for at in (0.0, 1.0):
            step = call.next(at, lines, tries, None)
            assert isinstance(step, Send)
            sends.append(step)
        self.lines = lines
        return call, sends, lambda at: call.next(at, lines, tries, None)

    def test_nothing_ends_an_answer_that_is_on_its_way(self) -> None:
        for passing in (0, 1):
            call, sends, step = self.two()
            first, other = sends[passing], sends[1 - passing]
            call.passes_on(first)
            call.ended(1.0, self.lines, other, ended(End.ANSWER, status=200), None)
            self.assertThat(step(1.0), Equals(Wait(inf)))
            call.ended(1.1, self.lines, first, ended(End.ANSWER, status=200, streamed=True), None)
            reply = step(1.1)
            self.assertTrue(isinstance(reply, Reply) and reply.ending is not None and reply.ending.streamed)

    def test_two_sends_that_end_at_once_leave_the_first_whole_answer(self) -> None:
        for second in (ended(End.RESET), ended(End.ANSWER, status=200, body=b"second")):
            call, sends, step = self.two()
            call.ended(1.0, self.lines, sends[0], ended(End.ANSWER, status=200, body=b"first"), None)
            call.ended(1.0, self.lines, sends[1], second, None)
            reply = step(1.0)
            self.assertTrue(isinstance(reply, Reply) and reply.ending is not None)
            self.assertThat(reply.ending.body, Equals(b"first"))


class Callers(TestCase):
    """Clients on sockets, through a whole switchboard that knows two machines with one script."""

    board, taken = wire_tests.Clients.board, wire_tests.Clients.taken
    POST = b"POST /book/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: 7\r\nX-Deadline-Ms: %d\r\n"
    GET = b"GET /toy/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: 7\r\nX-Deadline-Ms: %d\r\n"

    def ask(self, raw: bytes, *acts: Act | bytes, work: Any = None) -> tuple[bytes, FaultyMachine]:
        """The bytes a client gets; `work` does more amid it."""

        async def whole() -> tuple[bytes, FaultyMachine]:
            machine = FaultyMachine.of(acts)
            ports = await machine.start(), await machine.start()
            board, stop, running = await self.board(*ports)  # type: ignore[misc]
            reader, writer = await asyncio.open_connection(*EDGE)
            writer.write(raw)
            if work is not None:
                await work(machine, board, stop, writer)
            answer = await reader.read()
            writer.close()
            stop.set()
            await running
            return answer, machine

        return played(whole)  # type: ignore[no-any-return]

    def wrong_sends(self, kind: Kind) -> list[str]:
        """Faults after which the front asked more or fewer machines, or answered otherwise, than it may."""
        wrong = []
        for name, (parts, then, _, once, idem) in FAULTS.items():
            deadline = 120 if then is Then.SILENT and kind is Kind.ONCE else 900
            end = b"Connection: close\r\n\r\n"
            raw = (self.POST if kind is Kind.ONCE else self.GET) % deadline + end
            answer, machine = self.ask(raw, Act(Read.WHOLE, parts, then), answered())
            got = len(machine.heads), int(answer.split()[1])
            whole = answer.count(b"HTTP/1.1") == 1 and (got[1] != 200 or answer.endswith(b"\r\n\r\nok"))
            stamped = b"X-Stamp" in answer
            if got != (once if kind is Kind.ONCE else idem) or not whole or stamped is (got[1] in (502, 504)):
                wrong.append(f"{name}: {got}, {answer!r}")
        return wrong

    def test_each_fault_of_a_machine_gives_its_client_what_the_table_says(self) -> None:
        self.assertThat(self.wrong_sends(Kind.ONCE), Equals([]))
        self.assertThat(self.wrong_sends(Kind.IDEM), Equals([]))

    def test_planted_send_again_after_a_reset_is_found(self) -> None:
        def again(last: Ending, ran: bool, kind: Kind) -> bool:
            return last.what == End.RESET or goes_on(last, ran, kind)

        with mock.patch.object(call_module, "goes_on", again):
            self.assertThat(self.wrong_sends(Kind.ONCE), Not(Equals([])))

    def test_what_may_run_once_is_not_begun_before_its_turn_and_a_signal_ends_the_line_in_order(self) -> None:
        gate = asyncio.Event()

        async def signals(machine: FaultyMachine, board: Any, stop: asyncio.Event, writer: Any) -> None:
            await machine.arrived.wait()
            board.reread(True)
            stop.set()
            while not board.leaving:
                await asyncio.sleep(0)
            before.append(len(machine.heads))
            gate.set()

        before: list[int] = []
        book = self.POST.replace(b"POST", b"GET").replace(b"Id: 7", b"Id: 8") % 900
        raw = self.GET % 900 + b"\r\n" + book + b"\r\n"
        answer, machine = self.ask(raw, Act(parts=(answered(),), gate=gate), answered("8"), work=signals)
        self.assertThat(before, Equals([1]))
        self.assertThat((answer.count(b"HTTP/1.1 200"), len(machine.heads)), Equals((2, 2)))
        self.assertThat(answer.lower().count(b"connection: close"), Equals(1))
        self.assertTrue(answer.lower().index(b"connection: close") > answer.index(b"Id: 8"))

    def test_a_body_that_never_ends_is_refused_in_time_and_one_cut_is_never_whole(self) -> None:
        answer, machine = self.ask(self.POST % 40 + b"Content-Length: 9\r\n\r\nabc")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 408"))
        self.assertThat(machine.heads, Equals([]))

        async def leaves(machine: FaultyMachine, board: Any, stop: Any, writer: Any) -> None:
            await machine.arrived.wait()
            writer.transport.abort()

        size = 2**19
        for told, part in ((b"Content-Length: %d\r\n\r\n" % size, b""),
                           (b"Transfer-Encoding: chunked\r\n\r\n", b"%x\r\n" % size)):  # fmt: skip
            raw = self.POST % 900 + told + part + b"z" * (size - 9)
            machine = self.ask(raw, answered(), work=leaves)[1]
            self.assertThat((len(machine.heads), machine.bodies), Equals((1, [])))

    def test_a_client_that_never_reads_is_held_no_longer_than_its_time(self) -> None:
        """Symptom: a long answer's send waited for its client for ever."""

        async def waits(machine: FaultyMachine, board: Any, stop: Any, writer: Any) -> None:
            writer.transport.pause_reading()
            await machine.arrived.wait()
            while board.forwarder.open or board.forwarder.sends.running:
                await asyncio.sleep(0)
            writer.transport.abort()

        long = answered("7", 200, b"z" * 2**25)
        answer, machine = self.ask(self.GET % 400 + b"\r\n", Act(parts=(long,)), work=waits)
        self.assertThat(len(answer) < len(long), Is(True))

    def test_a_late_answer_of_the_slower_of_two_machines_reaches_nobody(self) -> None:
        """Symptom: where it was long, it was passed on behind the answer that had been given."""
        gate = asyncio.Event()

        async def late(machine: FaultyMachine, board: Any, stop: Any, writer: Any) -> None:
            while len(machine.heads) < 2 or board.forwarder.open:
                await asyncio.sleep(0)
            gate.set()
            while board.forwarder.sends.running:
                await asyncio.sleep(0)
            writer.write(self.GET.replace(b"Id: 7", b"Id: 8") % 900 + b"Connection: close\r\n\r\n")

        for slow in (answered("7", 200, b"z" * 2**20), answered("7", 200, b"zz")):
            gate.clear()
            acts = Act(parts=(slow,), gate=gate), answered(), answered("8", 200, b"next"), answered("8")
            answer, _ = self.ask(self.GET % 1500 + b"\r\n", *acts, work=late)
            self.assertThat((answer.count(b"HTTP/1.1 200"), answer.count(b"zz")), Equals((2, 0)))
            self.assertTrue(answer.endswith(b"next"))

    def test_no_further_machine_works_for_a_client_that_left(self) -> None:
        gate = asyncio.Event()

        async def leaves(machine: FaultyMachine, board: Any, stop: Any, writer: Any) -> None:
            await machine.arrived.wait()
            writer.transport.abort()
            while board.server.connections:
                await asyncio.sleep(0)
            gate.set()
            while board.forwarder.open:
                await asyncio.sleep(0)

        act = Act(then=Then.RESET, gate=gate)
        machine = self.ask(self.GET % 900 + b"\r\n", act, answered(), work=leaves)[1]
        self.assertThat(len(machine.heads), Equals(1))


class Drawn(TestCase):
    """Drawn clients and drawn faults around one front, judged by what both ends saw."""

    board, taken = wire_tests.Clients.board, wire_tests.Clients.taken

    def drill(self, seed: int, rounds: int = 4, sound: bool = False) -> CallersDrill:
        async def work() -> CallersDrill:
            drill, ports = CallersDrill(seed, sound), []
            for _ in range(3):
                server = await asyncio.start_server(drill.machine, "127.0.0.1", 0, limit=2**24)
                ports.append(server.sockets[0].getsockname()[1])
            board, stop, running = await self.board(*ports)  # type: ignore[misc]
            for _ in range(rounds):
                for machine in board.lines.machines.values():
                    machine.aside_until = -inf  # faults are drawn anew: none is left out for long
                    if sound:  # else POSTs would have connections of their own
                        machine.shaky_until = machine.full_until = -inf
                await asyncio.gather(*(drill.client(*EDGE) for _ in range(8)))
            stop.set()
            await running
            drill.end()
            return drill

        return asyncio.run(work())

    def test_each_answer_is_its_callers(self) -> None:
        drill = self.drill(1)
        self.assertThat(drill.found, Equals([]))
        self.assertThat(drill.counts["200"] > 30 and drill.counts["502 of the front"] > 3, Is(True))

    def test_no_copy_of_an_answer_is_believed(self) -> None:
        drill = self.drill(1, 12, sound=True)
        self.assertThat(drill.found, Equals([]))
        self.assertThat(drill.counts["repeats"] > 30 and drill.counts["copies of refusals"] > 10, Is(True))

    def test_planted_use_of_a_connection_twice_for_one_id_is_found(self) -> None:
        with mock.patch.object(AskedIds, "may_hold", lambda self, id_: False):
            self.assertTrue(any(self.drill(seed, 8, sound=True).found for seed in range(12)))

    def test_planted_answers_of_others_and_promises_of_what_ran_are_found(self) -> None:
        with mock.patch.object(Call, "final", lambda self, status: True):
            self.assertTrue(any("REFUSED" in one for seed in range(8) for one in self.drill(seed).found))
        mixes = mock.patch.object(Channel, "asks", lambda self, id_: setattr(self, "asked", True))
        with mixes, mock.patch.object(Wire, "answers", lambda self, answer, asked: True):
            self.assertTrue(any("MIXED" in one for seed in range(8) for one in self.drill(seed).found))


class Controls(TestCase):
    """Calls of machines and operators that share a connection."""

    def test_calls_sent_ahead_are_answered_in_their_order_and_none_behind_a_close(self) -> None:
        begun = []

        class Slow(Answers):
            def __init__(self) -> None:
                """It answers by itself: no part of a control front is needed."""

            async def answer(self, call: Any, word: str, body: bytes) -> tuple[int, str]:
                begun.append(word)
                for _ in range(30 if word == "a" else 0):  # the first takes longest
                    await asyncio.sleep(0)
                return 200, word

        async def work() -> bytes:
            server = Server(Slow().on_call, access_log=None)
            listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
            reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
            for word, more in (("a", b""), ("b", b"Connection: close\r\n"), ("c", b"")):
                writer.write(b"GET /rolls/%s HTTP/1.1\r\nHost: h\r\n%s\r\n" % (word.encode(), more))
                await asyncio.sleep(0)
            answer = await reader.read()
            writer.close()
            listener.close()
            return answer

        answer = played(work)
        bodies = [part.split(b"HTTP/1.1")[0] for part in answer.split(b"\r\n\r\n")[1:]]
        self.assertThat((bodies, begun), Equals(([b"a", b"b"], ["a", "b"])))
