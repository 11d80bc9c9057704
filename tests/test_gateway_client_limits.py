"""What a client may send, part by part: at its limit it is served, over it it is refused.

Each case is played by aiohttp's parser in C and by the one in Python.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Iterator
from typing import Any
from unittest import mock

from aiohttp import web_protocol
from aiohttp.http_parser import HttpRequestParser, HttpRequestParserPy
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from pinward.common.capacity import Capacity
from pinward.common.client_room import ClientRoom
from pinward.common.connection import HEAD_SLACK, Limits
from pinward.common.held_bytes import HeldBytes, Reservation
from pinward.common.intake import HeadTooLongError, Intake
from pinward.common.refusals import RefusedError
from pinward.common.server import ClientServer

HEAD = 16 * 1024  # bytes of a head that the tests' limits allow
LIMITS = Limits(idle_s=15.0, head_s=3.0, head_bytes=HEAD)
PARSERS = {"C": HttpRequestParser, "Python": HttpRequestParserPy}
START = b"GET / HTTP/1.1\r\nHost: a\r\n"
GET = START + b"\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
WAIT_S = 5.0
LOOK_S, LATER_S = 1.0, 10.0  # s until the server looks at its connections, as if so many had passed


def head_of(size: int, field: int) -> bytes:
    """A head of exactly `size` bytes, its fields of so many bytes each, the last one of what is left."""
    room = size - len(START) - 2
    number, rest = divmod(room, field)
    fields = [field] * (number - 1) + [field + rest]
    lines = [b"%04x:%s\r\n" % (number, b"v" * (size - 7)) for number, size in enumerate(fields)]
    return START + b"".join(lines) + b"\r\n"


async def read(request: BaseRequest) -> Response:
    """Answers with the number of fields and of the body's bytes."""
    size = 0
    try:
        while part := await request.content.readany():
            size += len(part)
    except RefusedError as why:
        return Response(status=why.refusal.value, headers={"Connection": "close"})
    return Response(text=f"{len(request.headers)} {size}")


Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[Any]]


def talked(talk: Talk, parser: str, room: ClientRoom | None = None) -> Any:
    """What `talk` returns, which has a connection to a server with such a parser."""

    async def play() -> Any:
        server = ClientServer(read, lambda: LIMITS, room)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listening.sockets[0].getsockname())
        looks = loop.call_later(LOOK_S, server.end_overdue, loop.time() + LATER_S)
        try:
            async with asyncio.timeout(WAIT_S):
                return await talk(reader, writer)
        finally:
            looks.cancel()
            writer.transport.abort()
            listening.close()
            await server.shutdown(0.1)

    with mock.patch.object(web_protocol, "HttpRequestParser", PARSERS[parser]):
        return asyncio.run(play())


async def statuses(reader: asyncio.StreamReader) -> list[int]:
    """The statuses of all answers until the connection ends."""
    found = []
    while head := await reader.readuntil(b"\r\n\r\n") if not reader.at_eof() else b"":
        found.append(int(head.split()[1]))
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        if fields.get(b"connection") == b"close":
            return found
    return found


def answered(data: bytes, parser: str, piece: int | None = None) -> list[int]:
    """The statuses that these bytes bring, sent at once or in pieces, until the connection ends."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> list[int]:
        for at in range(0, len(data), piece or len(data)):
            writer.write(data[at : at + (piece or len(data))])
            if piece:
                await asyncio.sleep(0)
        return await statuses(reader)

    return talked(talk, parser)  # type: ignore[no-any-return]


LAST = START + b"Connection: close\r\n\r\n"  # ends a connection whose requests were all served
SERVED = {
    "one long field at the limit": head_of(HEAD, HEAD - len(START) - 2) + LAST,
    "many short fields at the limit": head_of(HEAD, 10) + LAST,
    "a long request line": b"GET /" + b"a" * (HEAD - 40) + b" HTTP/1.1\r\nHost: a\r\n\r\n" + LAST,
    "a few blank lines before a request": b"\r\n\r\n" + GET + b"\r\n" + LAST,
    "a body with a length": POST + b"Content-Length: 70000\r\n\r\n" + b"\r\n" * 35_000 + LAST,
    "a body in chunks": CHUNKED + b"8000\r\n" + b"\r\n" * 0x4000 + b"\r\n0\r\n\r\n" + LAST,
    "chunks of one byte": CHUNKED + b"1\r\na\r\n" * 3000 + b"0\r\n\r\n" + LAST,
    "an extension and a trailer": CHUNKED + b"1;a=b\r\na\r\n0\r\nA: b\r\n\r\n" + LAST,
}
REFUSED = {
    "one field over the limit": (head_of(HEAD + HEAD_SLACK + 1, 10_000), 431),
    "short fields over the limit": (head_of(HEAD + HEAD_SLACK + 1, 10), 431),
    "a head without end": (START + b"a:b\r\n" * 10_000, 431),
    "a request line without end": (b"GET /" + b"a" * 50_000, 431),
    "blank lines without end": (b"\r\n" * 50_000, 431),
    "a name with a space": (START + b"a b: c\r\n\r\n", 400),
    "a chunk's size that is none": (CHUNKED + b"x\r\n", 400),
    "a chunk's size without end": (CHUNKED + b"0" * 50_000, 400),
    "an extension without end": (CHUNKED + b"1;" + b"a=b;" * 50_000, 400),
    "trailers without end": (CHUNKED + b"1\r\na\r\n0\r\n" + b"a:b\r\n" * 50_000, 400),
}


def each_parser(cases: dict[str, Any]) -> Iterator[tuple[str, str, Any]]:
    for parser in PARSERS:
        for name, case in cases.items():
            yield parser, name, case


class Parts(TestCase):
    def test_what_is_inside_the_limits_is_served(self) -> None:
        for parser, name, data in each_parser(SERVED):
            for piece in (None, 997):
                got = answered(data, parser, piece)
                self.assertThat((parser, name, piece, got), Equals((parser, name, piece, [200, 200])))

    def test_what_is_over_them_is_refused_once_and_nothing_behind_it_is_read(self) -> None:
        for parser, name, (data, status) in each_parser(REFUSED):
            got = answered(GET + data + GET * 50, parser)
            self.assertThat((parser, name, got), Equals((parser, name, [200, status])))

    def test_the_answer_to_a_refused_head_says_that_the_connection_ends(self) -> None:
        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
            writer.write(START + b"a b: c\r\n\r\n")
            return await reader.read()

        for parser in PARSERS:
            self.assertIn(b"Connection: close\r\n", talked(talk, parser))

    def test_behind_an_upgrade_nothing_is_read(self) -> None:
        upgrade = START + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
        for parser in PARSERS:
            self.assertThat(answered(upgrade + b"\xff\x00" * 50_000, parser), Equals([200]))


class Room(TestCase):
    def test_without_room_a_long_head_gets_a_promise_and_an_ordinary_request_is_served(self) -> None:
        room = ClientRoom(Capacity(96.0, 300))
        room.held.take(int(room.held.most))

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> list[int]:
            writer.write(GET)
            await reader.readuntil(b"\r\n\r\n")
            await reader.read(100)
            writer.write(head_of(HEAD, 10))
            return await statuses(reader)

        for parser in PARSERS:
            self.assertThat(talked(talk, parser, room), Equals([503]))

    def test_what_was_held_is_given_back(self) -> None:
        room = ClientRoom(Capacity(96.0, 300))

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> list[int]:
            writer.write(head_of(HEAD, 10) + CHUNKED + b"1\r\na\r\n0\r\n\r\n" + LAST)
            return await statuses(reader)

        for parser in PARSERS:
            self.assertThat(talked(talk, parser, room), Equals([200, 200, 200]))
            self.assertThat(room.held.used, Equals(0))

    def test_a_resting_connection_holds_its_head_and_ends_if_room_lacks(self) -> None:
        """Guards against clients that each send one long head and rest, as aiohttp keeps heads."""
        room = ClientRoom(Capacity(96.0, 300))

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
            writer.write(head_of(HEAD, 10))
            await reader.readuntil(b"\r\n\r\n")
            self.assertThat(room.held.used, GreaterThan(400_000))
            room.held.take(int(room.held.most) - room.held.used)
            return await reader.read()

        talked(talk, "C", room)
        self.assertThat(room.held.used, LessThan(int(room.held.most) - 400_000))

    def test_a_reservation_counts_beyond_what_is_free_and_gives_back_once(self) -> None:
        pool = HeldBytes(100)
        some = Reservation(pool, free=10)
        self.assertThat([some.grow(10), some.grow(60), some.grow(41)], Equals([True, True, False]))
        self.assertThat(pool.used, Equals(60))
        some.release()
        del some
        self.assertThat(pool.used, Equals(0))

    def test_connections_keep_to_memory_and_descriptors(self) -> None:
        small, roomy = Capacity(96.0, 300), Capacity(300.0, 4100)
        self.assertThat(small.connections(HEAD), LessThan(101))
        held = roomy.connections(HEAD) * (HEAD + HEAD_SLACK) + roomy.pool_bytes
        self.assertThat(held, LessThan(300 * 2**20))


class Cuts(unittest.TestCase):
    def test_a_body_is_cut_where_it_may_end_however_it_comes(self) -> None:
        body = b"5\r\nab\r\n\r\r\n0\r\n\r\n"
        for at in range(1, len(body)):
            intake, parts = Intake(), []
            intake.begin_body(None)
            for piece in (body[:at], body[at:] + b"GET"):
                intake.add(piece)
                while part := intake.next_part(HEAD):
                    parts.append(part)
            ends = [len(b"".join(parts[: n + 1])) for n in range(len(parts))]
            self.assertIn(len(body), ends)

    def test_blank_lines_count_until_a_head_begins(self) -> None:
        intake = Intake()
        for _ in range(4):
            intake.add(b"\r\n" * 10)
            self.assertEqual(intake.next_part(99), b"")
        intake.add(GET)
        self.assertEqual(intake.next_part(99), GET)
        intake.add(b"\r\n" * 50)
        self.assertRaises(HeadTooLongError, intake.next_part, 99)
