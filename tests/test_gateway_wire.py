"""Sends to machines and clients' requests on real sockets: what an ending proves, what never goes through."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from multidict import CIMultiDict
from testtools import TestCase
from testtools.matchers import Contains, Equals, Is, LessThan, Not, StartsWith

from pinward.common.connection import Phase
from pinward.directory.book import News
from pinward.directory.entry import Entry, Standing
from pinward.plan.boot import boot_of
from pinward.plan.schema import plan_of
from pinward.switchboard.host import Switchboard
from pinward.switchboard.leaving import LAST_S
from pinward.switchboard.verdict import Verdict
from pinward.switchboard.wire import Wire
from standin.gateway_rig import plan
from tests.test_gateway_plan import Settings

# Of this process alone: beside another's tests clients would meet the other's board.
EDGE = (f"127.62.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}", 18641)
WAIT_S = 5.0  # s that a test may take: no test ends by it where all is well
SOUND = b"HTTP/1.1 200 OK\r\nX-Try-Id: 7\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok"


class Scripted:
    """A machine that answers each request with the next of its texts; b"" ends the connection."""

    def __init__(self, *texts: bytes) -> None:
        self.texts, self.heads, self.opened = list(texts), [], 0  # type: ignore[var-annotated]

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        try:
            while self.texts:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                text = self.texts.pop(0)
                writer.write(text)
                if not text or not text.endswith(b"ok"):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


class Gated:
    """A machine that has read a request once `asked` is set, and answers it once `go_on` is."""

    async def start(self) -> int:
        self.asked, self.go_on = asyncio.Event(), asyncio.Event()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.asked.set()
        await self.go_on.wait()
        writer.write(SOUND)
        await reader.read()
        writer.close()


def played(work: Callable[[], Awaitable[Any]]) -> Any:
    async def whole() -> Any:
        return await asyncio.wait_for(work(), WAIT_S)

    return asyncio.run(whole())


class Sends(TestCase):
    def send(self, *texts: bytes, times: int = 1, fresh: bool = False) -> tuple[list[Any], Scripted]:
        machine = Scripted(*texts)

        async def work() -> list[Any]:
            port, wire, endings = await machine.start(), Wire(), []
            headers = CIMultiDict({"Host": "h", "X-Try-Id": "7"})
            for _ in range(times):
                url = f"http://127.0.0.1:{port}/a%2fb?x=%41"
                endings.append(await wire.send("GET", url, headers, b"", 1.0, fresh))
            await wire.close()
            return endings

        return played(work), machine

    def test_each_ending_and_what_it_proves(self) -> None:
        for text, verdict, what in (
            (SOUND, Verdict.RAN, "answer"),
            (SOUND.replace(b"Id: 7", b"Id: 6"), Verdict.MAY_HAVE_RUN, "another's"),
            (SOUND.replace(b"X-Stamp: s\r\n", b""), Verdict.MAY_HAVE_RUN, "another's"),
            (SOUND[:-1], Verdict.MAY_HAVE_RUN, "cut"),
            (
                SOUND.replace(b"Content-Length: 2", b"Transfer-Encoding: chunked"),
                Verdict.MAY_HAVE_RUN,
                "spoilt",
            ),
            (b"no answer at all\r\n\r\n", Verdict.MAY_HAVE_RUN, "spoilt"),
            (b"", Verdict.MAY_HAVE_RUN, "reset"),
            (
                b"HTTP/1.1 503 No\r\nX-Try-Id: 7\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                Verdict.TURNED_AWAY,
                "turned away",
            ),
            (
                b"HTTP/1.1 421 No\r\nX-Try-Id: 7\r\nX-Machine: i\r\nContent-Length: 0\r\n\r\n",
                Verdict.TURNED_AWAY,
                "turned away",
            ),
            (
                b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                Verdict.MAY_HAVE_RUN,
                "another's",
            ),
            (
                b"HTTP/1.1 421 No\r\nX-Machine: i\r\nContent-Length: 0\r\n\r\n",
                Verdict.MAY_HAVE_RUN,
                "another's",
            ),
        ):
            endings, _ = self.send(text)
            self.assertThat((endings[0].verdict, endings[0].what), Equals((verdict, what)), repr(text))

    def test_a_kept_connection_that_ended_is_no_reason_to_send_again(self) -> None:
        endings, machine = self.send(SOUND, b"", SOUND, times=2)
        self.assertThat([e.verdict for e in endings], Equals([Verdict.RAN, Verdict.MAY_HAVE_RUN]))
        self.assertThat(len(machine.heads), Equals(2))

    def test_a_surplus_answer_reaches_nobody(self) -> None:
        endings, _ = self.send(SOUND + SOUND.replace(b"Id: 7", b"Id: 5"), SOUND, times=2)
        self.assertThat(endings[0].verdict, Is(Verdict.RAN))
        self.assertThat(endings[1].verdict is Verdict.RAN and endings[1].body != b"ok", Is(False))

    def test_the_request_goes_out_as_it_came(self) -> None:
        _, machine = self.send(SOUND)
        head = machine.heads[0].decode()
        self.assertThat(head, StartsWith("GET /a%2fb?x=%41 HTTP/1.1\r\n"))
        for added in ("User-Agent", "Accept", "Cookie", "Content-Type"):
            self.assertThat(head, Not(Contains(added)))

    def test_nothing_reached_a_port_without_a_machine(self) -> None:
        async def work() -> Any:
            machine, wire = Scripted(), Wire()
            port = await machine.start()
            machine.server.close()
            await machine.server.wait_closed()
            ending = await wire.send(
                "GET", f"http://127.0.0.1:{port}/", CIMultiDict({"X-Try-Id": "7"}), b"", 1.0, False
            )
            await wire.close()
            return ending

        self.assertThat(played(work).verdict, Is(Verdict.NOT_SENT))

    def test_sends_of_their_own_connection_share_none(self) -> None:
        _, machine = self.send(SOUND, SOUND, times=2, fresh=True)
        self.assertThat(machine.opened, Equals(2))


class Clients(TestCase):
    """Raw bytes against a whole switchboard that knows one machine."""

    def ask(self, raw: bytes, *texts: bytes, end: bool = False) -> tuple[bytes, Scripted]:
        machine = Scripted(*texts)

        async def work() -> bytes:
            port = await machine.start()
            _, _, running = await self.board(port)
            reader, writer = await asyncio.open_connection(*EDGE)
            writer.write(raw)
            if end:
                writer.write_eof()
            answer = await reader.read()
            writer.close()
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            return answer

        return played(work), machine

    def test_as_it_leaves_an_idle_connection_is_closed_and_one_at_work_answered(self) -> None:
        """Symptom: an idle connection stayed open unserved, what came on it was read and never answered."""

        async def work() -> tuple[bytes, bytes]:
            machine = Gated()
            board, stop, running = await self.board(await machine.start())
            idle, idle_out = await asyncio.open_connection(*EDGE)
            busy, busy_out = await asyncio.open_connection(*EDGE)
            busy_out.write(self.GET.replace(b"Ms: 900", b"Ms: 2000"))
            await machine.asked.wait()
            stop.set()
            end = await idle.read()  # returns only once the switchboard closes it
            machine.go_on.set()
            answer = await busy.read()
            await running
            for writer in (idle_out, busy_out):
                writer.close()
            machine.server.close()
            return end, answer

        end, answer = played(work)
        self.assertThat(end, Equals(b""))
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 OK\r\n"))
        self.assertThat(answer.lower(), Contains(b"connection: close\r\n"))

    async def board(
        self, *ports: int, grace_s: float = LAST_S
    ) -> tuple[Switchboard, asyncio.Event, asyncio.Future[None]]:
        """A switchboard that serves, has a machine at each port, and leaves without delay."""
        boot = boot_of(Settings.TOLD).unwrap()
        boot = replace(
            boot, bind={"Up": ("127.0.0.1", 0), "Edge": EDGE}, peers=((EDGE[0], 1),),
            bounds=replace(boot.bounds, grace_s=grace_s),
        )  # fmt: skip
        board, stop = Switchboard(boot), asyncio.Event()
        board.known.plan = plan_of(json.dumps(plan(1))).unwrap()
        for number, port in enumerate(ports, 1):
            life = Entry(f"i{number}", "toy", ("127.0.0.1", port), "here", "v1", 6, Standing.UP, 1)
            board.known.book.merge(
                0.0, News({}, {"m": ("l", number)}, [[life.plain(), "m", "l", number, 0.0]])
            )
        board.known.fresh = True
        running = asyncio.ensure_future(board.run(stop))
        await asyncio.sleep(0)
        board.changed()
        while board.server is None or not await self.taken():
            await asyncio.sleep(0)
        return board, stop, running

    async def taken(self) -> bool:
        try:
            _, writer = await asyncio.open_connection(*EDGE)
        except ConnectionRefusedError:
            return False
        writer.close()
        return True

    GET = (
        b"GET /toy/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: 7\r\nX-Deadline-Ms: 900\r\n"
        b"Connection: close\r\n\r\n"
    )

    def test_an_answer_comes_back_unchanged_and_names_its_machine(self) -> None:
        answer, machine = self.ask(self.GET, SOUND)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 OK\r\n"))
        self.assertThat(answer, Contains(b"X-Stamp: s\r\n"))
        self.assertTrue(answer.endswith(b"\r\n\r\nok"))
        self.assertThat(machine.heads[0], Contains(b"X-Want-Machine: i1\r\n"))
        self.assertThat(machine.heads[0].lower().count(b"x-try-id"), Equals(1))

    def test_a_machines_own_failure_comes_back_as_it_is(self) -> None:
        answer, _ = self.ask(self.GET, SOUND.replace(b"200 OK", b"500 Oh"), SOUND)
        self.assertThat(answer, Contains(b"X-Stamp: s\r\n"))

    def test_what_is_no_request_or_hides_another_is_never_sent_on(self) -> None:
        line = b"POST /book/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: 7\r\n"
        for raw in (
            line
            + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /toy/y HTTP/1.1\r\n\r\n",
            line + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            line + b"Content-Length: -3\r\n\r\nabc",
            line + b"Content-Length : 3\r\n\r\nabc",
            line + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
            line + b"Transfer-Encoding: identity, chunked, x\r\n\r\n0\r\n\r\n",
            b"GET http://elsewhere/toy/ HTTP/1.1\r\nHost: toy.example\r\n\r\n",
            b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03",
            line + b"X: " + b"y" * 70_000 + b"\r\n\r\n",
        ):
            answer, machine = self.ask(raw, SOUND, SOUND, end=True)
            self.assertThat(machine.heads, Equals([]), repr(raw[:120]))
            self.assertThat(b" 200 " in answer[:15], Is(False), repr(raw[:120]))

    def test_no_route_is_404_and_a_large_body_413(self) -> None:
        self.assertThat(self.ask(self.GET.replace(b"/toy/", b"/not/"))[0], StartsWith(b"HTTP/1.1 404"))
        large = (
            b"POST /book/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: 7\r\nContent-Length: 9999999\r\n\r\n"
        )
        self.assertThat(self.ask(large)[0], StartsWith(b"HTTP/1.1 413"))

    def test_requests_sent_ahead_are_answered_in_their_order(self) -> None:
        second = self.GET.replace(b"/toy/x", b"/toy/y").replace(b"Id: 7", b"Id: 8")
        last = SOUND.replace(b"Id: 7", b"Id: 8")
        answer, machine = self.ask(self.GET.replace(b"Connection: close\r\n", b"") + second, SOUND, last)
        self.assertThat(answer.count(b"HTTP/1.1 200"), Equals(2))
        self.assertTrue(answer.index(b"Id: 7") < answer.index(b"Id: 8"))

    def test_requests_sent_ahead_are_put_through_at_once(self) -> None:
        async def work() -> tuple[bytes, list[bytes]]:
            asked, go_on = asyncio.Queue(), asyncio.Event()  # type: ignore[var-annotated]

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                head = await reader.readuntil(b"\r\n\r\n")
                asked.put_nowait(head)
                if b"/toy/x" in head:
                    await go_on.wait()  # the first answers last
                writer.write(SOUND.replace(b"Id: 7", b"Id: 7" if b"/toy/x" in head else b"Id: 8"))

            machine = await asyncio.start_server(serve, "127.0.0.1", 0)
            board, stop, running = await self.board(machine.sockets[0].getsockname()[1])
            reader, writer = await asyncio.open_connection(*EDGE)
            first = self.GET.replace(b"Connection: close\r\n", b"")
            writer.write(first + first.replace(b"/toy/x", b"/toy/y").replace(b"Id: 7", b"Id: 8"))
            heads = [await asked.get(), await asked.get()]
            stop.set()  # both were read: both are answered, and only the last says close
            while not board.leaving:
                await asyncio.sleep(0)
            go_on.set()
            answer = await reader.read()
            await running
            writer.close()
            machine.close()
            return answer, heads

        answer, heads = played(work)
        self.assertThat(len(heads), Equals(2))
        self.assertThat(answer.count(b"HTTP/1.1 200"), Equals(2))
        self.assertTrue(answer.index(b"Id: 7") < answer.index(b"Id: 8"))
        self.assertThat(answer.lower().count(b"connection: close"), Equals(1))
        self.assertTrue(answer.lower().index(b"connection: close") > answer.index(b"Id: 7"))

    def test_a_head_that_comes_for_ever_ends_its_connection_and_no_other(self) -> None:
        async def work() -> tuple[bytes, bytes]:
            board, stop, running = await self.board(1)
            slow, slow_out = await asyncio.open_connection(*EDGE)
            well, well_out = await asyncio.open_connection(*EDGE)
            slow_out.write(b"GET /toy/x HTTP/1.1\r\nHost: toy.ex")
            assert board.server is not None and board.known.plan is not None
            while not any(life.phase is Phase.READING for life in board.server.lives()):
                await asyncio.sleep(0)
            now, head_s = board.now(), board.known.plan.head_s
            board.server.end_overdue(now + head_s - 0.5)
            still = [life.phase for life in board.server.lives()].count(Phase.READING)
            board.server.end_overdue(now + head_s + 0.5)
            await asyncio.sleep(0)
            board.server.end_overdue(now + head_s + 0.5)
            end = await slow.read()
            self.assertThat(still, Equals(1))
            well_out.write(self.GET.replace(b"/toy/", b"/not/"))
            answer = await well.read()
            stop.set()
            await running
            slow_out.close()
            well_out.close()
            return end, answer

        end, answer = played(work)
        self.assertThat(end, Equals(b""))
        self.assertThat(answer, StartsWith(b"HTTP/1.1 404"))

    LONG = 2**20  # bytes of an answer that is not held

    def test_a_long_answer_is_passed_on_as_it_comes(self) -> None:
        head = SOUND.partition(b"Content-Length")[0]
        body = b"z" * self.LONG
        for told in (b"Content-Length: %d\r\n\r\n" % self.LONG + body,
                     b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % self.LONG + body + b"\r\n0\r\n\r\n"):
            answer, _ = self.ask(self.GET, head + told)
            self.assertThat(answer, StartsWith(b"HTTP/1.1 200 OK\r\n"))
            self.assertThat(answer, Contains(b"X-Stamp: s\r\n"))
            self.assertThat(answer.count(b"z"), Equals(self.LONG))

    def test_a_long_answer_that_breaks_off_never_looks_whole_and_is_not_sent_again(self) -> None:
        head = SOUND.partition(b"Content-Length")[0]
        chunked = b"Transfer-Encoding: chunked\r\n\r\nfffff\r\n"
        for told in (b"Content-Length: %d\r\n\r\n" % self.LONG, chunked):
            answer, machine = self.ask(self.GET, head + told + b"z" * (self.LONG // 2), SOUND)
            self.assertThat(len(machine.heads), Equals(1))
            got, _, rest = answer.partition(b"\r\n\r\n")
            self.assertThat(rest.count(b"z"), LessThan(self.LONG))
            self.assertThat(rest.endswith(b"0\r\n\r\n"), Is(False))

    def test_once_is_not_sent_again_after_a_break(self) -> None:
        post = b"POST /book/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: 7\r\n"
        post += b"Content-Length: 0\r\nConnection: close\r\n\r\n"
        answer, machine = self.ask(post, b"", SOUND)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 502"))
        self.assertThat(len(machine.heads), Equals(1))
