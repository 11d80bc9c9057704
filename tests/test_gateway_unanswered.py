"""Whole requests on real sockets that must be answered, whatever is planned beside them."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from typing import Any
from unittest import mock

import logbook
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, StartsWith

import tests.test_gateway_wire as wire_tests
from pinward.common.connection import Connection, Limits, Phase
from pinward.switchboard.leaving import GIVE_UP_S, LAST_S
from standin import connections_processes
from standin.connections_drill import ConnectionsDrill, Outcome, address_of_own
from tests.test_gateway_wire import EDGE, SOUND, Gated, Scripted, played

GET = b"GET /toy/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: 7\r\nX-Deadline-Ms: 900\r\n\r\n"
REQUESTS = 1200
DRILL_S = 60.0  # s that a drill may take: no drill ends by it where all is well


async def left(board: Any) -> None:
    """Waits until the proxy has begun to leave."""
    while not board.leaving:
        await asyncio.sleep(0)


class Unanswered(TestCase):
    """Raw bytes against a whole proxy that knows one machine."""

    board, taken = wire_tests.Clients.board, wire_tests.Clients.taken

    def test_a_client_that_had_just_connected_is_answered_as_the_proxy_leaves(self) -> None:
        """Symptom: connections without a request were closed every 20 ms at the end of a grace."""

        async def work() -> bytes:
            machine = Scripted(SOUND)
            board, stop, running = await self.board(await machine.start())  # type: ignore[misc]
            reader, writer = await asyncio.open_connection(*EDGE)
            stop.set()
            await left(board)
            await asyncio.sleep(0.1)  # longer than between two looks at connections
            writer.write(GET)
            answer = await reader.read()
            writer.close()
            await running
            return answer

        self.assertThat(played(work), StartsWith(b"HTTP/1.1 200 OK\r\n"))

    def test_a_resting_connection_is_answered_beside_a_configuration_with_a_shorter_idle_time(self) -> None:
        """Symptom: as `Idle` became shorter all that rested longer was closed, with requests on the wire."""

        async def work() -> bytes:
            machine = Scripted(SOUND, SOUND)
            board, stop, running = await self.board(await machine.start())  # type: ignore[misc]
            reader, writer = await asyncio.open_connection(*EDGE)
            writer.write(GET)
            await reader.readuntil(b"ok")
            board.known.plan = replace(board.known.plan, version=9, idle_s=0.05)
            board.changed()
            await asyncio.sleep(0.25)  # two looks at what time changes
            writer.write(GET)
            answer = await reader.read(15)
            writer.close()
            stop.set()
            await running
            return answer

        self.assertThat(played(work), StartsWith(b"HTTP/1.1 200 OK"))

    def test_bytes_behind_the_last_answer_do_not_reset_it(self) -> None:
        """Symptom: the close behind the last answer came with bytes unread, which resets the connection."""

        async def work() -> tuple[bytes, bytes]:
            machine = Gated()
            board, stop, running = await self.board(await machine.start())  # type: ignore[misc]
            loop, client = asyncio.get_running_loop(), socket.create_connection(EDGE)
            client.setblocking(False)
            await loop.sock_sendall(client, GET)
            await machine.asked.wait()
            stop.set()
            await left(board)
            machine.go_on.set()
            answer = await loop.sock_recv(client, 10_000)
            end = await loop.sock_recv(client, 10_000)
            for _ in range(2):  # a client that had not seen yet that this was the last sends on
                await loop.sock_sendall(client, GET)
                await asyncio.sleep(0.02)
                end += await loop.sock_recv(client, 10_000)
            client.close()
            await running
            machine.server.close()
            return answer, end

        answer, end = played(work)
        self.assertThat(answer.lower(), Contains(b"connection: close"))
        self.assertThat(end, Equals(b""))

    def test_what_a_machine_never_answers_gets_an_answer_before_the_process_ends(self) -> None:
        """Symptom: at the end of the grace the connection of a request at work was cut without a word."""

        async def work() -> bytes:
            release = asyncio.Event()

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await release.wait()
                writer.close()

            machine = await asyncio.start_server(serve, "127.0.0.1", 0)
            board, stop, running = await self.board(  # type: ignore[misc]
                machine.sockets[0].getsockname()[1]
            )
            reader, writer = await asyncio.open_connection(*EDGE)
            writer.write(GET.replace(b"Ms: 900", b"Ms: 9000").replace(b"/toy/", b"/book/"))
            while not board.forwarder.open:
                await asyncio.sleep(0)
            route = board.known.plan.hosts["toy.example"]["/book/"]
            self.assertThat(route.timeout_s, GreaterThan(LAST_S - GIVE_UP_S))
            stop.set()
            answer = await reader.read()
            await running
            release.set()
            writer.close()
            machine.close()
            return answer

        self.assertThat(played(work), StartsWith(b"HTTP/1.1 502"))


class Drills(TestCase):
    """Clients of every habit beside changes, reloads and restarts."""

    def drill(self, seed: int, requests: int = REQUESTS) -> ConnectionsDrill:
        with logbook.NullHandler().applicationbound():
            drill = ConnectionsDrill(seed, requests, address_of_own())
            play = drill.play(reload_s=0.3, restart_s=0.5)
            return asyncio.run(asyncio.wait_for(play, DRILL_S))

    def test_each_whole_request_is_answered(self) -> None:
        drill = self.drill(1)
        self.assertThat(drill.faults, Equals([]))
        self.assertThat(min(drill.restarts, drill.reloads, drill.changes // 5), GreaterThan(0))

    def test_planted_errors_are_found(self) -> None:
        def closes_with_one_queued(connection: Connection, leaving: bool) -> bool:
            connection.last_answer = leaving
            return leaving

        def ends_what_rests(connection: Connection, now: float, limits: Limits, leaving: bool) -> bool:
            return connection.phase in (Phase.ACCEPTED, Phase.RESTING) and leaving

        def ends_at_work(connection: Connection, now: float, limits: Limits, leaving: bool) -> bool:
            return connection.phase is Phase.ANSWERING and leaving

        for planted in (ends_what_rests, ends_at_work):
            with mock.patch.object(Connection, "overdue", planted):
                found = self.drill(2).faults
            self.assertTrue(any(record.outcome is Outcome.UNANSWERED for record in found), planted.__name__)
        with mock.patch.object(Connection, "answer_ends", closes_with_one_queued):
            counts = self.drill(3).counts
        self.assertThat(counts[Outcome.NOT_READ.value], GreaterThan(20))


class RealProcesses(TestCase):
    """The short form of `pinward gateway connections --processes`."""

    def test_none_is_unanswered_around_a_process_that_is_reloaded_and_restarted(self) -> None:
        drill = connections_processes.played(1, 2 * REQUESTS)
        self.assertThat([record.outcome for record in drill.faults], Equals([]))
        self.assertThat(drill.restarts, GreaterThan(0))
