"""A listener for the platform alone: few connections, bounded as those of clients are."""

from __future__ import annotations

import asyncio

from pinward.common.client_room import ClientRoom
from pinward.common.connection import Limits
from pinward.common.server import Answering, ClientServer

LIMITS = Limits(idle_s=15.0, head_s=3.0)
LOOK_S = 0.5  # s between looks at connections whose time is over


class SmallListener:
    """Answers at an address."""

    def __init__(self, answer: Answering, where: tuple[str, int], room: ClientRoom) -> None:
        self.server = ClientServer(answer, lambda: LIMITS, room, small=True)
        self.where = where
        self.accepting: asyncio.Server | None = None
        self.looking: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Begins to listen. Raises OSError where the address cannot be had."""
        loop = asyncio.get_running_loop()
        self.accepting = await loop.create_server(self.server, *self.where)
        self.looking = asyncio.ensure_future(self.look())

    async def look(self) -> None:
        """Ends connections whose time is over, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LOOK_S)
            self.server.end_overdue(loop.time())

    def close(self) -> None:
        if self.looking is not None:
            self.looking.cancel()
        if self.accepting is not None:
            self.accepting.close()
