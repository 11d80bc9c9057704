"""Clients that send what no client should, each kind a plain list of what it writes and whether it reads."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import NamedTuple

BLOCK = 64 * 1024  # bytes that a client writes at a time
STALLED_S = 1.0  # s without progress after which a client stops writing: the server reads no more
CONNECT_S = 5.0  # s for a connection to come up
ANSWER = 4096  # bytes of an answer that a client reads at a time

GET = b"GET /toy/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: hostile\r\n"
POST = b"POST /toy/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: hostile\r\nX-Deadline-Ms: 60000\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
FIELDS = b"".join(b"h%d: %s\r\n" % (number, b"v" * 100) for number in range(100))
LONG_HEAD = b"GET /toy/slow HTTP/1.1\r\nHost: toy.example\r\n" + FIELDS + b"\r\n"


class Kind(NamedTuple):
    """What a client writes first, then over and over, and whether it reads the answers."""

    first: bytes
    again: bytes
    reads: bool = True


KINDS = {
    "blank lines before a request": Kind(b"", b"\r\n"),
    "blank lines between requests": Kind(GET + b"\r\n", b"\r\n"),
    "bare line feeds": Kind(b"", b"\n"),
    "a request line without end": Kind(b"GET /", b"a"),
    "a method without end": Kind(b"", b"G"),
    "one field without end": Kind(GET + b"Field: ", b"a"),
    "one name without end": Kind(GET, b"a"),
    "fields without end": Kind(GET, b"a:b\r\n"),
    "long fields without end": Kind(GET, b"Field: " + b"v" * 4000 + b"\r\n"),
    "bytes behind a refused head": Kind(GET + b"Field: " + b"a" * 40_000 + b"\r\n\r\n", b"\xff\x00"),
    "requests behind a refused head": Kind(GET + b"Bad name: x\r\n\r\n", GET + b"\r\n"),
    "a chunk's size without end": Kind(CHUNKED, b"0"),
    "a chunk's extension without end": Kind(CHUNKED + b"5;", b"a=b;"),
    "trailers without end": Kind(CHUNKED + b"0\r\n", b"a:b\r\n"),
    "chunks of one byte": Kind(CHUNKED, b"1\r\na\r\n"),
    "a chunked body without end": Kind(CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "a body that is never whole": Kind(POST + b"Content-Length: 1048576\r\n\r\n" + b"a" * 250_000, b""),
    "a body behind its refusal": Kind(POST + b"Content-Length: 99999999\r\n\r\n", b"a"),
    "requests ahead with long heads": Kind(b"", LONG_HEAD),
    "answers that are not read": Kind(b"", b"GET /toy/long HTTP/1.1\r\nHost: toy.example\r\n\r\n", False),
    "refusals that are not read": Kind(b"", b"GET /no-route HTTP/1.1\r\nHost: toy.example\r\n\r\n", False),
    "bytes behind an upgrade": Kind(GET + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", b"\xff\x00"),
    "bytes behind CONNECT": Kind(b"CONNECT toy:1 HTTP/1.1\r\nHost: toy:1\r\n\r\n", b"\xff\x00"),
    "no request at all": Kind(b"", b""),
}


# What stands for the requests of `KINDS` at the other listeners.
TARGETS: dict[str, dict[bytes, bytes]] = {
    "Edge": {},
    "Ctl": {b"POST /toy/x": b"PUT /cfg", b"/toy/x": b"/cfg", b"/toy/slow": b"/cfg", b"/toy/long": b"/cfg"},
    "Sidecar": {
        b"/toy/x": b"/api?do=settle", b"/toy/slow": b"/api?do=silent", b"/toy/long": b"/api?do=settle",
        b"X-Try-Id: hostile": b"Request-Id: hostile\r\nRequest-Class: quote\r\nRequest-Timeout-Ms: 2000",
    },
    "Up": {b"/toy/x": b"/up", b"/toy/slow": b"/up", b"/toy/long": b"/up"},
}


def kind_for(listener: str, name: str) -> Kind:
    """A kind of client as it comes to a listener."""
    kind = KINDS[name]
    first, again = kind.first, kind.again
    for ours, theirs in TARGETS[listener].items():
        first, again = first.replace(ours, theirs), again.replace(ours, theirs)
    return kind._replace(first=first, again=again)


@dataclass
class Crowd:
    """So many clients of one kind at an address; each writes `most` bytes at the most."""

    kind: Kind
    where: tuple[str, int]
    clients: int
    most: int
    sent: int = 0  # bytes, by all clients
    refused: int = 0  # connections that did not come up
    open: list[asyncio.StreamWriter] = field(default_factory=list)

    async def play(self) -> None:
        """All clients write beside each other, until each has written all or makes no progress."""
        await asyncio.gather(*(self.client() for _ in range(self.clients)))

    async def client(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(*self.where)
        except (OSError, TimeoutError):
            self.refused += 1
            return
        self.open.append(writer)
        reading = asyncio.ensure_future(self.read(reader)) if self.kind.reads else None
        try:
            await self.write(writer)
        except (OSError, TimeoutError):
            pass  # the server has ended the connection, or reads no more
        finally:
            if reading is not None:
                reading.cancel()

    async def write(self, writer: asyncio.StreamWriter) -> None:
        first, again = self.kind.first, self.kind.again
        block = again * (BLOCK // len(again) + 1) if again else b""
        written = 0
        part = first or block
        while part and written < self.most:
            writer.write(part)
            async with asyncio.timeout(STALLED_S):
                await writer.drain()
            written += len(part)
            self.sent += len(part)
            part = block

    @staticmethod
    async def read(reader: asyncio.StreamReader) -> None:
        try:
            while await reader.read(ANSWER):
                pass
        except OSError:
            pass

    def close(self) -> None:
        """Ends all connections at once."""
        for writer in self.open:
            writer.transport.abort()
