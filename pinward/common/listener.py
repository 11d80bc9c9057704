"""A listening socket whose end drops no connection.

`asyncio.Server.close` does, in two ways: connections that the kernel holds are reset, and one accepted
in the same turn of the loop is neither served nor closed (its transport refuses a closed server, and
the error is swallowed). Here what has connected is taken before the socket closes.
"""

from __future__ import annotations

import asyncio
import socket

from aiohttp.web_server import Server


class Listener:
    """Takes connections for `server` at an address."""

    def __init__(self, server: Server, where: tuple[str, int], backlog: int, accepts: int = 16) -> None:
        """`backlog`: connections that the kernel holds; `accepts`: taken in one turn of the loop."""
        self.server, self.where, self.backlog, self.accepts = server, where, backlog, accepts
        self.socket: socket.socket | None = None
        self.accepting: asyncio.Server | None = None

    async def open(self) -> None:
        """Begins to listen. Raises OSError where the address cannot be had."""
        loop = asyncio.get_running_loop()
        self.socket = socket.create_server(self.where, backlog=self.backlog)
        self.socket.setblocking(False)
        self.accepting = await loop.create_server(self.server, sock=self.socket, backlog=self.accepts)
        self.socket.listen(self.backlog)  # asyncio takes its own `backlog` for both

    def waiting(self) -> list[socket.socket]:
        """The connections that the kernel holds for us."""
        taken: list[socket.socket] = []
        assert self.socket is not None
        while True:
            try:
                taken.append(self.socket.accept()[0])
            except OSError:  # there is none, or the descriptors are used up
                return taken

    async def close(self) -> None:
        """Takes what has connected, then closes. A second call does nothing."""
        if self.socket is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        taken = self.waiting()
        # Not `self.accepting.close()`: it would drop those accepted a moment ago.
        self.socket.close()
        self.socket = None
        for one in taken:
            one.setblocking(False)
            await loop.connect_accepted_socket(self.server, one)
