"""A machine on loopback that answers a request and then, as a request with the same id comes on the same
connection again, sends a copy of that earlier answer first, while it works on the request.

What it ran is its own record; it acts on what it has read, never on a clock.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from standin.callers_drill import body_of, id_of
from standin.faulty_machine import answered


@dataclass
class CopyingMachine:
    """Gives `refusals` in the order in which requests arrive, and runs all that come after them."""

    refusals: list[bytes]
    gate: asyncio.Event = field(default_factory=asyncio.Event)  # runs are answered once it is set
    running: asyncio.Event = field(default_factory=asyncio.Event)  # a run has begun
    ran: list[str] = field(default_factory=list)  # ids, in the order in which their runs began
    at_work: int = 0
    arrived: int = 0
    opened: int = 0
    copies: int = 0  # answers given once more

    async def start(self) -> int:
        """Begins to listen, at one more port each time; the refusals are shared. Returns the port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        given: dict[str, bytes] = {}  # on this connection, by id
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await body_of(reader, head)
                self.arrived += 1
                id_ = id_of(head)
                if id_ in given:
                    self.copies += 1
                    writer.write(given[id_])
                given[id_] = self.refusals.pop(0) if self.refusals else await self.run(id_, reader)
                writer.write(given[id_])
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

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
