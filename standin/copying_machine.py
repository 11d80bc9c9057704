"""A machine on loopback that sends answers once more on the connection on which it gave them.

What it ran is its own record; it acts on what it has read, never on a clock.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum, auto

from standin.callers_drill import body_of, id_of
from standin.faulty_machine import answered

STEPS = 4  # turns of the event loop after which what was written has been read


class When(Enum):
    """When a copy of an answer comes, on its connection."""

    SAME_ID = auto()  # as a request with its id arrives again, before that request's answer
    AT_ONCE = auto()  # with the answer, in one segment
    IDLE = auto()  # behind the answer, in a segment of its own
    LATER = auto()  # as a later request arrives, before its answer


@dataclass
class CopyingMachine:
    """Gives `refusals` in the order in which requests arrive, and runs all that come after them.

    A request that wants another machine than `iid`, where that is told, gets 421.
    """

    refusals: list[bytes]
    when: When = When.SAME_ID
    behind: int = 1  # LATER: how many requests after the copied one
    times: int = 1  # copies of an answer
    split: int | None = None  # bytes of a copy's first segment
    iid: str | None = None
    gate: asyncio.Event = field(default_factory=asyncio.Event)  # runs are answered once it is set
    running: asyncio.Event = field(default_factory=asyncio.Event)  # a run has begun
    ran: list[str] = field(default_factory=list)  # ids, in the order in which their runs began
    at_work: int = 0
    arrived: int = 0
    opened: int = 0
    copies: int = 0

    async def start(self) -> int:
        """Begins to listen, at one more port each time; the refusals are shared. Returns the port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        given: list[tuple[str, bytes]] = []  # on this connection
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await body_of(reader, head)
                self.arrived += 1
                id_ = id_of(head)
                for text in self.due(id_, given):
                    await self.copy(writer, text)
                text = self.refusal(id_, head) or await self.run(id_, reader)
                given.append((id_, text))
                if self.when is When.AT_ONCE and self.arrived == 1:
                    self.copies += self.times
                    text *= 1 + self.times
                writer.write(text)
                if self.when is When.IDLE and self.arrived == 1:
                    await turns()
                    await self.copy(writer, text)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def due(self, id_: str, given: list[tuple[str, bytes]]) -> list[bytes]:
        """Earlier answers that are to be sent once more as a request arrives."""
        if self.when is When.SAME_ID:
            return [text for former, text in given if former == id_][-1:]
        return [given[0][1]] if self.when is When.LATER and len(given) == self.behind else []

    async def copy(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        self.copies += self.times
        whole = text * self.times
        if self.split is not None:
            writer.write(whole[: self.split])
            await turns()
        writer.write(whole[self.split or 0 :])
        await turns()

    def refusal(self, id_: str, head: bytes) -> bytes:
        """Empty for a request that is to run."""
        if self.iid is not None and f"X-Want-Machine: {self.iid}\r\n".encode() not in head:
            return answered(id_, 421, b"").replace(b"X-Stamp: s\r\n", b"")
        return self.refusals.pop(0) if self.refusals else b""

    async def run(self, id_: str, reader: asyncio.StreamReader) -> bytes:
        """The answer of a run. Raises IncompleteReadError where its caller ends the connection before."""
        self.ran.append(id_)
        self.running.set()
        self.at_work += 1
        left = asyncio.ensure_future(reader.readexactly(1))
        go_on = asyncio.ensure_future(self.gate.wait())
        try:
            await asyncio.wait((left, go_on), return_when=asyncio.FIRST_COMPLETED)
            if left.done():
                left.result()
            return answered(id_, 200, f"run {len(self.ran)} of {id_}".encode())
        finally:
            self.at_work -= 1
            for task in (left, go_on):
                task.cancel()
            await asyncio.gather(left, go_on, return_exceptions=True)  # another read may begin


async def turns() -> None:
    """Lets the other end read what was written."""
    for _ in range(STEPS):
        await asyncio.sleep(0)
