"""A loopback network that fails on purpose: proxies before each listener, with faults by who connects.

Who connects is told by its own address (127.x.y.1), so one proxy serves all that speak with a listener. A
link is an ordered pair of names; each may be cut (bytes wait and nothing is said), delayed, throttled,
refused, or reset in the middle of what is on its way. Cut bytes of a connection that the sender has given up
arrive once the link is whole again, after what a newer connection brought: the reordering of real networks.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

CHUNK = 4096
HELD_MOST = 1 << 20  # bytes that a cut link holds a connection; beyond, the sender is held back


@dataclass
class Link:
    """The state of one ordered pair."""

    cut: bool = False
    refused: bool = False
    delay_s: float = 0.0
    bytes_per_s: float = 0.0  # 0: as fast as it comes
    whole: asyncio.Event = field(default_factory=asyncio.Event)
    flows: set[asyncio.StreamWriter] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.whole.set()


class Network:
    """All proxies of one installation, in one event loop."""

    def __init__(self) -> None:
        self.names: dict[str, str] = {}  # by the address that it speaks from
        self.links: dict[tuple[str, str], Link] = {}
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.carried = 0

    def link(self, sender: str, receiver: str) -> Link:
        return self.links.setdefault((sender, receiver), Link())

    async def proxy(self, name: str, before: tuple[str, int], behind: tuple[str, int]) -> None:
        """Listens at `before` for what is meant for `name`, which listens at `behind`."""

        async def flow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.connected(name, behind, reader, writer)

        self.servers.append(await asyncio.start_server(flow, *before))

    async def connected(
        self, name: str, behind: tuple[str, int], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sender = self.names.get(writer.get_extra_info("peername")[0], "?")
        there, back = self.link(sender, name), self.link(name, sender)
        try:
            if there.refused:
                return
            await there.whole.wait()
            far_reader, far_writer = await asyncio.open_connection(*behind)
        except OSError:
            return
        finally:
            if there.refused or "far_writer" not in locals():
                writer.close()
        pumps = [
            asyncio.ensure_future(self.pump(there, reader, far_writer)),
            asyncio.ensure_future(self.pump(back, far_reader, writer)),
        ]
        for pump in pumps:
            self.tasks.add(pump)
            pump.add_done_callback(self.tasks.discard)
        await asyncio.wait(pumps)
        for end in (writer, far_writer):
            end.close()

    async def pump(self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link.flows.add(writer)
        try:
            while data := await reader.read(CHUNK):
                if link.delay_s:
                    await asyncio.sleep(link.delay_s)
                if link.bytes_per_s:
                    await asyncio.sleep(len(data) / link.bytes_per_s)
                await link.whole.wait()
                writer.write(data)
                self.carried += len(data)
                await writer.drain()
            await link.whole.wait()
            writer.write_eof()
        except (OSError, RuntimeError):
            writer.close()
        finally:
            link.flows.discard(writer)

    def cut(self, sender: str, receiver: str) -> None:
        link = self.link(sender, receiver)
        link.cut = True
        link.whole.clear()

    def mend(self, sender: str, receiver: str) -> None:
        link = self.link(sender, receiver)
        link.cut, link.refused, link.delay_s, link.bytes_per_s = False, False, 0.0, 0.0
        link.whole.set()

    def mend_all(self) -> None:
        for sender, receiver in list(self.links):
            self.mend(sender, receiver)

    def reset(self, sender: str, receiver: str) -> None:
        """Breaks the open connections of a link, with what is on its way."""
        for writer in list(self.link(sender, receiver).flows):
            writer.transport.abort()

    async def close(self) -> None:
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self.tasks, return_exceptions=True)
