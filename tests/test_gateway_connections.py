"""The life of a client's connection: its states one by one, and the end of a listener."""

from __future__ import annotations

import asyncio
import socket
from unittest import mock

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from testtools import TestCase
from testtools.matchers import Equals, Is, StartsWith

from pinward.common.connection import FIRST_S, LINGER_S, REST_SLACK_S, Connection, Limits, Phase
from pinward.common.listener import Listener
from pinward.common.server import ClientServer

LIMITS = Limits(idle_s=15.0, head_s=3.0)
SHORT = Limits(idle_s=0.3, head_s=3.0)
ALL = frozenset(Phase)


def at(phase: Phase) -> Connection:
    """A connection that came to this phase at 0."""
    connection = Connection(0.0)
    if phase is Phase.READING:
        connection.received(0.0, 0)
    if phase in (Phase.ANSWERING, Phase.RESTING, Phase.CLOSING):
        connection.received(0.0, 1)
    if phase is Phase.CLOSING:
        connection.answer_ends(leaving=True)
    if phase in (Phase.RESTING, Phase.CLOSING):
        connection.answered(0.0, LIMITS)
    if phase is Phase.CLOSED:
        connection.gone(0.0)
    assert connection.phase is phase
    return connection


class Lives(TestCase):
    """The state machine alone."""

    def test_what_each_input_makes_of_each_phase(self) -> None:
        inputs = {
            "part": lambda life: life.received(1.0, 0),
            "request": lambda life: life.received(1.0, 1),
            "answered": lambda life: life.answered(1.0, LIMITS),
            "gone": lambda life: life.gone(1.0),
        }
        table = {
            Phase.ACCEPTED: (Phase.READING, Phase.ANSWERING, Phase.ACCEPTED, Phase.CLOSED),
            Phase.READING: (Phase.READING, Phase.ANSWERING, Phase.READING, Phase.CLOSED),
            Phase.ANSWERING: (Phase.ANSWERING, Phase.ANSWERING, Phase.RESTING, Phase.CLOSED),
            Phase.RESTING: (Phase.READING, Phase.ANSWERING, Phase.RESTING, Phase.CLOSED),
            Phase.CLOSING: (Phase.CLOSING, Phase.CLOSING, Phase.CLOSING, Phase.CLOSED),
            Phase.CLOSED: (Phase.CLOSED,) * 4,
        }
        self.assertThat(table.keys(), Equals(ALL))
        for phase, ends in table.items():
            for (name, give), end in zip(inputs.items(), ends, strict=True):
                life = at(phase)
                give(life)
                self.assertThat(life.phase, Is(end), f"{name} at {phase.name}")

    def test_when_each_phase_may_be_ended(self) -> None:
        rest_s = LIMITS.rest_told_s + REST_SLACK_S
        for phase, stays_s, leaving_s in (
            (Phase.ACCEPTED, LIMITS.idle_s, FIRST_S),
            (Phase.READING, LIMITS.head_s, LIMITS.head_s),
            (Phase.ANSWERING, None, None),
            (Phase.RESTING, LIMITS.idle_s, rest_s),
            (Phase.CLOSING, LINGER_S, LINGER_S),
            (Phase.CLOSED, None, None),
        ):
            for leaving, bound_s in ((False, stays_s), (True, leaving_s)):
                for now in (0.0, 0.2, 0.6, 1.1, 2.0, 2.5, 3.1, 14.9, 15.1, 1e6):
                    may = bound_s is not None and now > bound_s
                    self.assertThat(at(phase).overdue(now, LIMITS, leaving), Is(may), (phase, leaving, now))

    def test_a_shorter_idle_time_ends_no_connection_before_the_time_that_was_told(self) -> None:
        """Symptom: a configuration with a shorter `Idle` closed at once what rested, requests on the wire."""
        life = at(Phase.RESTING)
        self.assertThat(life.overdue(LIMITS.rest_told_s + REST_SLACK_S / 2, SHORT, False), Is(False))
        self.assertThat(life.overdue(LIMITS.rest_told_s + REST_SLACK_S + 0.1, SHORT, False), Is(True))
        life.received(5.0, 1)
        life.answered(5.0, SHORT)  # from this rest on the shorter time counts
        self.assertThat(life.overdue(5.0 + SHORT.rest_told_s + REST_SLACK_S + 0.1, SHORT, False), Is(True))

    def test_the_last_answer_is_the_one_with_nothing_read_behind_it(self) -> None:
        life = Connection(0.0)
        life.received(0.0, 3)
        said = []
        for turn in range(3):
            said.append(life.answer_ends(leaving=True))
            life.answered(float(turn), LIMITS)
        self.assertThat(said, Equals([False, False, True]))
        self.assertThat(life.phase, Is(Phase.CLOSING))

    def test_one_that_always_has_a_request_behind_is_ended_after_those_read_when_it_is_settled(self) -> None:
        life = Connection(0.0)
        life.received(0.0, 2)
        life.limit_answers()
        said = []
        for turn in range(2):
            life.received(float(turn), 1)  # it sends on and on
            said.append(life.answer_ends(leaving=True))
            life.answered(float(turn), LIMITS)
        self.assertThat(said, Equals([False, True]))

    def test_nothing_is_read_behind_an_answer_that_said_it_is_the_last(self) -> None:
        life = Connection(0.0)
        life.received(0.0, 1)
        life.answer_ends(leaving=True)
        life.received(0.0, 1)
        self.assertThat((life.drops, life.unanswered), Equals((True, 1)))

    def test_a_move_that_is_not_in_the_table_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            at(Phase.CLOSING).move(0.0, Phase.ANSWERING)

    def test_the_time_told_is_whole_at_least_one_and_within_the_idle_time(self) -> None:
        told = [Limits(idle_s, 3.0).rest_told_s for idle_s in (0.1, 1.0, 1.3, 2.4, 2.5, 15.0, 600.0)]
        self.assertThat(told, Equals([1, 1, 1, 1, 2, 2, 2]))


class Ends(TestCase):
    """A listener on a socket that closes as a client connects."""

    GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

    def connected_at_the_end(self) -> bytes:
        """What a client gets that connected just before the listener closed, and then sent its request."""

        async def answer(request: BaseRequest) -> Response:
            return Response(text="ok")

        async def work() -> bytes:
            loop = asyncio.get_running_loop()
            server = ClientServer(answer, lambda: LIMITS)
            listener = Listener(server, ("127.0.0.1", 0), backlog=16)
            await listener.open()
            assert listener.socket is not None
            where = listener.socket.getsockname()
            # In one turn of the loop with the listener's end: the kernel has taken the client, nobody else.
            waits = asyncio.ensure_future(asyncio.open_connection(*where))
            await asyncio.sleep(0)
            await listener.close()
            server.leaving = True
            try:
                reader, writer = await waits
                writer.write(self.GET)
                got = await reader.read()
                writer.close()
            except ConnectionError:
                got = b""
            await server.drain(loop.time() + 1.0)
            return got

        return asyncio.run(asyncio.wait_for(work(), 5.0))

    def test_a_client_that_connected_before_the_end_is_served(self) -> None:
        """Symptom: a client that connected as a proxy closed its listener was reset, or never answered."""
        self.assertThat(self.connected_at_the_end(), StartsWith(b"HTTP/1.1 200 OK\r\n"))

    def test_planted_the_end_of_asyncio_is_found(self) -> None:
        async def close(listener: Listener) -> None:
            assert listener.accepting is not None
            listener.accepting.close()

        with mock.patch.object(Listener, "close", close):
            self.assertThat(self.connected_at_the_end(), Equals(b""))

    def test_a_request_that_came_while_the_loop_was_held_up_is_answered(self) -> None:
        """Symptom: after work of half a second a proxy closed what had rested, with a request unread."""

        async def answer(request: BaseRequest) -> Response:
            return Response(text="ok")

        async def work() -> tuple[bytes, bytes]:
            loop = asyncio.get_running_loop()
            server = ClientServer(answer, lambda: SHORT)
            listener = await loop.create_server(server, "127.0.0.1", 0)
            client = socket.create_connection(listener.sockets[0].getsockname())
            client.setblocking(False)
            await loop.sock_sendall(client, self.GET)
            first = await loop.sock_recv(client, 10_000)
            later = loop.time() + SHORT.rest_told_s + REST_SLACK_S + 0.1
            client.send(self.GET)  # the loop has not read it as it looks at the time
            server.end_overdue(later)
            second = await loop.sock_recv(client, 10_000)
            client.close()
            listener.close()
            return first, second

        first, second = asyncio.run(asyncio.wait_for(work(), 5.0))
        self.assertThat(first, StartsWith(b"HTTP/1.1 200 OK\r\n"))
        self.assertThat(second, StartsWith(b"HTTP/1.1 200 OK\r\n"))
