"""Connections compete for places: who ends for newcomers; answers that are not read; lines of the log."""

from __future__ import annotations

import asyncio
import errno
from asyncio import selector_events
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from pinward.annunciator import LineLimit
from pinward.common import server as server_module
from pinward.common.client_room import ClientRoom
from pinward.common.connection import Connection, Limits, Phase
from pinward.common.held_bytes import HeldBytes, Reservation
from pinward.common.refusals import RefusedError, Refusal
from pinward.common.server import ClientConnection, ClientServer, Output
from pinward.directory.entry import Entry, Standing
from pinward.switchboard.lines import Lines
from pinward.switchboard.request_body import BodyTooLongError, StreamedBody, read_body
from pinward.switchboard.verdict import End, ended

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
PLACES = 3
LIMITS = Limits(idle_s=0.2, head_s=3.0)
WAIT_S = 5.0
LONG = b"l" * 2**20

Client = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Connect = Callable[[], Awaitable[Client]]


class Crowded(ClientServer):
    """A server with few places, whose clients may yield at once."""

    most = PLACES  # type: ignore[assignment]


Play = Callable[[Crowded, Connect], Awaitable[None]]


class Places(TestCase):
    def played(self, play: Play) -> Crowded:
        """Plays with a server and a way to connect; its requests are answered at length, once allowed."""
        self.allowed = asyncio.Event()

        async def answer(request: BaseRequest) -> Response:
            await self.allowed.wait()
            return Response(body=LONG)

        async def whole() -> Crowded:
            self.allowed = asyncio.Event()
            server = Crowded(answer, lambda: LIMITS)
            listening = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
            where = listening.sockets[0].getsockname()
            clients: list[Client] = []

            async def connect() -> Client:
                clients.append(await asyncio.open_connection(*where))
                await asyncio.sleep(0.02)
                return clients[-1]

            try:
                async with asyncio.timeout(WAIT_S):
                    await play(server, connect)
            finally:
                for _, writer in clients:
                    writer.transport.abort()
                listening.close()
                await server.shutdown(0.1)
            return server

        with (
            mock.patch.object(server_module, "ROOM_STEP_S", 0.0),
            mock.patch("pinward.common.connection.UNASKED_S", 0.0),
        ):
            return asyncio.run(whole())

    def test_connections_without_a_request_end_for_a_newcomer(self) -> None:
        async def play(server: Crowded, connect: Connect) -> None:
            self.allowed.set()
            idle = [await connect() for _ in range(PLACES)]
            reader, writer = await connect()
            writer.write(GET)
            self.assertThat((await reader.readuntil(b"\r\n")).split()[1], Equals(b"200"))
            for ended_reader, _ in idle:
                self.assertThat(await ended_reader.read(), Equals(b""))

        server = self.played(play)
        self.assertThat(server.room.refusals.evicted.value, Equals(PLACES))

    def test_requests_under_way_keep_their_places(self) -> None:
        async def play(server: Crowded, connect: Connect) -> None:
            clients = [await connect() for _ in range(PLACES)]
            for _, writer in clients:
                writer.write(GET)
            await asyncio.sleep(0.05)
            newcomer, _ = await connect()
            self.assertThat(await newcomer.read(), Equals(b""))
            self.allowed.set()
            for reader, _ in clients:
                self.assertThat((await reader.readuntil(b"\r\n")).split()[1], Equals(b"200"))

        server = self.played(play)
        self.assertThat(server.room.refusals.crowded.value, Equals(1))

    def test_who_sends_many_ahead_ends_behind_what_was_read(self) -> None:
        async def play(server: Crowded, connect: Connect) -> None:
            clients = [await connect() for _ in range(PLACES)]
            for _, writer in clients:
                writer.write(20 * GET)
            await asyncio.sleep(0.05)
            await connect()
            self.allowed.set()
            reader, writer = clients[0]
            writer.write(20 * GET)
            told = await reader.read()
            self.assertThat(told.count(b"HTTP/1.1 200"), Equals(20))
            self.assertIn(b"Connection: close", told)

        self.played(play)

    def test_a_client_that_takes_nothing_of_its_answers_ends(self) -> None:
        async def play(server: Crowded, connect: Connect) -> None:
            self.allowed.set()
            _, writer = await connect()
            writer.write(30 * GET)
            loop = asyncio.get_running_loop()
            while server.connections:
                await asyncio.sleep(0.05)
                server.end_overdue(loop.time())

        server = self.played(play)
        self.assertThat(server.room.refusals.stalled.value, Equals(1))
        self.assertThat(server.room.held.used, Equals(0))

    def test_a_client_that_resets_its_connection_leaves_no_traceback(self) -> None:
        """Guards against a traceback in the log for each client that is refused and resets."""
        gone = OSError(errno.ENOTCONN, "Transport endpoint is not connected")

        async def play(server: Crowded, connect: Connect) -> None:
            reader, writer = await connect()
            writer.write(b"no HTTP\r\n\r\n")
            self.assertThat((await reader.readuntil(b"\r\n")).split()[1], Equals(b"400"))

        with (
            self.assertNoLogs("aiohttp.server", "ERROR"),
            mock.patch.object(selector_events._SelectorSocketTransport, "write_eof", side_effect=gone),
        ):
            self.played(play)

    def test_one_that_closes_with_bytes_unsent_ends_though_none_were_seen_before(self) -> None:
        """Guards against a connection that closes between two looks and keeps its descriptor for ever."""

        async def looked() -> tuple[bool, bool]:
            connection = ClientServer(mock.AsyncMock(), lambda: LIMITS)()
            assert isinstance(connection, ClientConnection)
            transport = mock.Mock()
            transport.is_closing.return_value, transport.get_write_buffer_size.return_value = True, 9
            connection.output = Output(transport)
            return connection.end_stuck(1.0, LIMITS), connection.end_stuck(9.0, LIMITS)

        self.assertThat(asyncio.run(looked()), Equals((False, True)))

    def test_who_may_yield(self) -> None:
        """Each phase, a moment after it began and long after."""
        expected = {
            Phase.ACCEPTED: (False, True), Phase.READING: (False, True), Phase.ANSWERING: (False, False),
            Phase.RESTING: (False, True), Phase.CLOSING: (False, False), Phase.CLOSED: (False, False),
        }  # fmt: skip
        for phase, yields in expected.items():
            life = Connection(0.0)
            life.phase, life.rests_until = phase, 2.4
            self.assertThat((phase, life.may_yield(0.5), life.may_yield(9.0)), Equals((phase, *yields)))


class Bodies(TestCase):
    @staticmethod
    def stream(*parts: bytes, fault: BaseException | None = None) -> Any:
        """A body as it comes from a client; `fault` ends it."""
        content = mock.Mock()
        content.readany = mock.AsyncMock(side_effect=[*parts, fault or b""])
        return content

    def test_a_short_one_is_whole_and_a_long_one_goes_on(self) -> None:
        room = Reservation(HeldBytes(2**30), 0)
        short = asyncio.run(read_body(self.stream(b"a", b"b"), 10, room))
        self.assertThat(short, Equals(b"ab"))
        long = asyncio.run(read_body(self.stream(LONG, LONG), 2**30, room))
        self.assertIsInstance(long, StreamedBody)

    def test_one_over_the_limit_and_one_without_room_are_refused(self) -> None:
        room = Reservation(HeldBytes(10), 0)
        self.assertRaises(BodyTooLongError, asyncio.run, read_body(self.stream(b"abc"), 2, room))
        self.assertRaises(RefusedError, asyncio.run, read_body(self.stream(LONG), 2**30, room))

    def test_a_long_one_tells_whether_its_client_owes_more(self) -> None:
        async def sent(body: StreamedBody) -> list[bytes]:
            return [part async for part in body]

        whole = StreamedBody(b"a", self.stream(b"b"), 10)
        self.assertThat(asyncio.run(sent(whole)), Equals([b"a", b"b"]))
        cut = StreamedBody(b"a", self.stream(b"b", fault=RefusedError(Refusal.MALFORMED)), 10)
        self.assertRaises(RefusedError, asyncio.run, sent(cut))
        over = StreamedBody(b"a", self.stream(LONG), 10)
        self.assertRaises(BodyTooLongError, asyncio.run, sent(over))
        waits = [body.waits for body in (whole, cut, over)]
        self.assertThat([*waits, over.too_long], Equals([False, True, True, True]))

    def test_a_machine_is_not_blamed_for_a_body_that_did_not_come(self) -> None:
        """Guards against clients that have sound machines left out."""
        entry = Entry("i-1", "toy", ("127.0.0.1", 1), "", "v1", 6, Standing.UP, 1, 0.0)
        for end, failed in ((End.CLIENT, 0), (End.SILENT, 9)):
            lines = Lines("", 1)
            lines.learn(0.0, [entry], {}, {"toy": 100})
            machine = lines.pick(1.0, "toy", [])
            assert machine is not None
            for _ in range(9):
                lines.begin(machine)
                lines.end(1.0, machine, ended(end), 1.0)
            self.assertThat((end, machine.failed), Equals((end, failed)))


class Log(TestCase):
    def test_lines_that_anybody_can_bring_about_are_bounded_and_counted(self) -> None:
        limit = LineLimit()
        number = min(limit.events)
        admitted = sum(limit.admits(number, 0.01 * n) for n in range(100))
        self.assertThat(admitted, Equals(limit.most))
        self.assertThat(limit.left_out[number], Equals(100 - limit.most))
        self.assertThat(limit.admits(number, limit.window_s), Equals(True))
        self.assertThat(sum(limit.admits(200, 0.0) for _ in range(100)), Equals(100))

    def test_a_room_counts_what_it_refuses(self) -> None:
        room = ClientRoom()
        room.refusals.answer(Refusal.NO_ROOM)
        self.assertThat(room.refusals.changes(), GreaterThan(0))
        self.assertThat(room.refusals.figures()["no_room"], Equals(1))
