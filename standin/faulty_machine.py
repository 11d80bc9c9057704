"""A machine on loopback that misbehaves by a script: resets, silence, late, doubled and foreign answers.

It acts on what it has read, never on a clock, so that a test sees the same each time.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from pinward.switchboard.kept import RESET_ON_CLOSE



class Read(Enum):
    """How much of a request the machine reads before it acts."""

    NOTHING = auto()  # acts as the connection comes up
    HEAD_PART = auto()  # one byte
    HEAD = auto()
    BODY_PART = auto()  # one byte of the body
    WHOLE = auto()


class Then(Enum):
    """What becomes of the connection once the machine has written."""

    KEPT = auto()  # the next request is served
    CLOSED = auto()
    RESET = auto()
    SILENT = auto()  # nothing more until the caller goes


@dataclass
class Act:
    """What the machine does with one request."""

    read: Read = Read.WHOLE
    parts: tuple[bytes, ...] = ()  # written one after another, each in a segment of its own
    then: Then = Then.KEPT
    gate: asyncio.Event | None = None  # waited for before it writes


def answered(id_: str | None = "7", status: int = 200, body: bytes = b"ok", *more: str) -> bytes:
    """A whole answer with its length."""
    lines = [f"HTTP/1.1 {status} Text", *(() if id_ is None else (f"X-Try-Id: {id_}",)), "X-Stamp: s", *more]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def chunked(id_: str = "7", *chunks: bytes) -> bytes:
    """A whole answer in chunks."""
    lines = ["HTTP/1.1 200 Text", f"X-Try-Id: {id_}", "X-Stamp: s", "Transfer-Encoding: chunked", "", ""]
    head = "\r\n".join(lines).encode()
    return head + b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"


def turned_away(id_: str | None = "7", status: int = 503, body: bytes = b"") -> bytes:
    """An answer that says that the request was not run."""
    return answered(id_, status, body, "X-Not-Run: 1").replace(b"X-Stamp: s\r\n", b"")


@dataclass
class FaultyMachine:
    """Takes the acts in the order in which requests arrive; past the last one it is silent."""

    acts: list[Act]
    heads: list[bytes] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)  # of requests whose body was read whole
    opened: int = 0
    arrived: asyncio.Event = field(default_factory=asyncio.Event)  # a head was read

    @classmethod
    def of(cls, acts: Iterable[Act | bytes]) -> FaultyMachine:
        return cls([Act(parts=(act,)) if isinstance(act, bytes) else act for act in acts])

    async def start(self) -> int:
        """Begins to listen, at one more port each time; the acts are shared. Returns the port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2**24)
        return int(server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        try:
            while True:
                act = self.acts[0] if self.acts else Act(then=Then.SILENT)
                await self.take(reader, act.read)
                if self.acts:
                    self.acts.pop(0)
                if not await self.play(writer, act):
                    break
            if act.then is Then.SILENT:
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def play(self, writer: asyncio.StreamWriter, act: Act) -> bool:
        """Writes what the act says; True where the connection goes on."""
        if act.gate is not None:
            await act.gate.wait()
        for part in act.parts:
            writer.write(part)
            await writer.drain()
            for _ in range(4):  # the caller reads each part by itself
                await asyncio.sleep(0)
        if act.then is Then.RESET:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        return act.then is Then.KEPT

    async def take(self, reader: asyncio.StreamReader, much: Read) -> None:
        """Reads that much of a request."""
        if much is Read.NOTHING:
            return
        if much is Read.HEAD_PART:
            await reader.readexactly(1)
            return
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        self.arrived.set()
        if much is Read.HEAD:
            return
        size = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size = int(line.partition(b":")[2])
        if much is Read.BODY_PART:
            await reader.readexactly(min(1, size))
            return
        if b"\r\ntransfer-encoding:" in head.lower():
            self.bodies.append(await reader.readuntil(b"0\r\n\r\n"))
            return
        self.bodies.append(await reader.readexactly(size))
