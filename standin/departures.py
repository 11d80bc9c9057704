"""Clients that leave before their answer, around one proxy, and machines that record for whom they work.

What is judged are the records of clients and machines alone: when a client's connection ended, and until when
a machine was at work on its requests. The proxy may be in this process or be one of its own.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from pinward.common.server import peer_has_ended
from pinward.switchboard.kept import RESET_ON_CLOSE

OUTLIVE_S = 0.5  # s after its client has left in which a repeatable request's work must end
HOLD = "x-hold-ms"  # request field: how long the machine works
FILL = "x-answer-bytes"  # request field: how long the answer's body is
UNREAD_STEP_S = 0.01  # s between looks at a connection that is not read from
SMALL = 4096  # bytes that a machine which reads nothing takes all the same
ANSWER_MOST = 64 * 1024  # bytes that a machine writes at a time


@dataclass(eq=False)
class Work:
    """One request at a machine. Times are seconds of the loop's clock."""

    id: str
    path: str
    began: float
    ended: float | None = None
    whole: bool = False  # it was answered, not dropped


@dataclass
class RecordingMachine:
    """Holds each request for as long as the request asks, and drops it once its connection ends."""

    name: str = "i1"
    works: list[Work] = field(default_factory=list)
    connections: int = 0
    slots: int = 10_000  # requests that it works on at once; the others wait
    hold_s: float | None = None  # how long it works, whatever requests ask for
    reads_bodies: bool = True

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Begins to listen; returns the port."""
        self.room = asyncio.Semaphore(self.slots)
        listener = socket.create_server((host, port), backlog=1024)
        if not self.reads_bodies:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=2**20)
        return int(self.server.sockets[0].getsockname()[1])

    @property
    def at_work(self) -> list[Work]:
        return [work for work in self.works if work.ended is None]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                await self.one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # cancelled at the end of the loop: asyncio's streams would log it
        finally:
            writer.close()

    async def one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One request. Raises IncompleteReadError or ConnectionError where its caller goes."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        fields = {key.lower(): value for key, _, value in (line.partition(": ") for line in lines[1:])}
        if not self.admits(writer, fields.get("x-try-id", "")):
            await self.body(reader, fields)
            return
        loop = asyncio.get_running_loop()
        work = Work(fields.get("x-try-id", ""), lines[0].split()[1], loop.time())
        self.works.append(work)
        try:
            if not self.reads_bodies:
                await ended_unread(writer)
            await self.body(reader, fields)
            hold_s = int(fields.get(HOLD, "0")) / 1000 if self.hold_s is None else self.hold_s
            await self.hold(reader, hold_s)
            await self.answer(writer, work.id, int(fields.get(FILL, "2")))
            work.whole = True
        finally:
            work.ended = loop.time()

    def admits(self, writer: asyncio.StreamWriter, id_: str) -> bool:
        """False where a request was refused, and is not run."""
        return True

    async def body(self, reader: asyncio.StreamReader, fields: dict[str, str]) -> None:
        if fields.get("transfer-encoding", "") == "chunked":
            await reader.readuntil(b"0\r\n\r\n")
        else:
            await reader.readexactly(int(fields.get("content-length", "0")))

    async def hold(self, reader: asyncio.StreamReader, seconds: float) -> None:
        """Works so long, or until the connection ends. Raises ConnectionResetError then."""
        async with self.room:
            end = asyncio.ensure_future(reader.read(1))
            try:
                done, _ = await asyncio.wait((end,), timeout=seconds)
                if done:
                    raise ConnectionResetError("the caller has gone")
            finally:
                end.cancel()
                await asyncio.wait((end,))

    async def answer(self, writer: asyncio.StreamWriter, id_: str, size: int) -> None:
        head = f"HTTP/1.1 200 OK\r\nX-Try-Id: {id_}\r\nX-Stamp: {self.name}\r\nContent-Length: {size}\r\n\r\n"
        writer.write(head.encode())
        while size > 0:
            writer.write(b"k" * min(size, ANSWER_MOST))
            size -= ANSWER_MOST
            await writer.drain()


async def ended_unread(writer: asyncio.StreamWriter) -> None:
    """Reads nothing until the connection ends. Raises ConnectionResetError then."""
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    while not peer_has_ended(writer.get_extra_info("socket")):
        await asyncio.sleep(UNREAD_STEP_S)
    raise ConnectionResetError("the caller has gone")


class Leave(Enum):
    """How a client ends its connection."""

    CLOSE = auto()
    RESET = auto()
    HALF_CLOSE = auto()  # it sends no more and still reads: taken for a close, as TCP tells no difference


@dataclass(eq=False)
class Client:
    """One client's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    ids: list[str] = field(default_factory=list)
    left_at: float | None = None

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Client:
        return cls(*await asyncio.open_connection(*address))

    def send(
        self, id_: str, path: str = "/toy/x", hold_ms: int = 2000, deadline_ms: int = 4000, body: bytes = b"",
        length: int | None = None, fill: int = 2,
    ) -> None:  # fmt: skip
        """Writes one request; with `length` more than its `body` has, a part of one."""
        self.ids.append(id_)
        verb = "GET" if length is None and not body else "POST"
        fields = [
            f"{verb} {path} HTTP/1.1", "Host: toy.example", f"X-Try-Id: {id_}",
            f"X-Deadline-Ms: {deadline_ms}", f"{HOLD}: {hold_ms}", f"{FILL}: {fill}",
        ]  # fmt: skip
        if verb == "POST":
            fields.append(f"Content-Length: {len(body) if length is None else length}")
        self.writer.write(("\r\n".join(fields) + "\r\n\r\n").encode() + body)

    def leave(self, how: Leave) -> None:
        """Ends the connection, from now on."""
        self.left_at = asyncio.get_running_loop().time()
        if how is Leave.HALF_CLOSE:
            self.writer.write_eof()
            return
        if how is Leave.RESET:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.writer.transport.abort()
            return
        self.writer.close()


@dataclass(frozen=True)
class Finding:
    """A machine that worked for, or was asked by, a client that had left. Seconds after the leave."""

    id: str
    machine: str
    began_s: float
    ended_s: float | None


def outlived(clients: Iterable[Client], machines: Iterable[RecordingMachine], now: float) -> list[Finding]:
    """Work that went on, or began, more than `OUTLIVE_S` after its client had left."""
    left = {id_: client.left_at for client in clients for id_ in client.ids if client.left_at is not None}
    found = []
    for machine in machines:
        for work in machine.works:
            left_at = left.get(work.id)
            if left_at is None or (work.ended or now) <= left_at + OUTLIVE_S:
                continue
            ended_s = None if work.ended is None else work.ended - left_at
            found.append(Finding(work.id, machine.name, work.began - left_at, ended_s))
    return found
