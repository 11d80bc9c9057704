"""Requests that a client sends before the first is answered: put through at once, answered in their order.

aiohttp handles a connection's requests one after another, so one slow answer holds up all behind it, and
what was not put through in time is late. Here those without a body that are read behind another are begun as
they are read; aiohttp, which comes to them in turn, finds the answer begun. Those that may run once wait for
their turn: where an answer before theirs ends the connection, clients take them as not read and send again.
Nothing is begun behind a request with a body, as a refusal of that body ends the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from pinward.common.connection import Limits
from pinward.common.server import Answering, ClientConnection, ClientServer

AHEAD_MOST = 8  # requests of one connection that are put through at a time, the first not counted
AHEAD = "ahead"  # mark of a request that was begun before its turn
READ_AT = "read at"  # since when a request waited for its turn
METHODS = ("GET", "HEAD")  # what has no body, and may be sent ahead by the protocol's rules

Able = Callable[[RawRequestMessage], bool]


class PipelinedConnection(ClientConnection):
    """A client's connection whose requests are begun as they are read."""

    __slots__ = ("begun", "read_at")

    def __init__(self, server: PipeliningServer, **more: Any) -> None:
        super().__init__(server, **more)
        self.begun: dict[int, asyncio.Task[StreamResponse]] = {}  # by the message's identity
        self.read_at: dict[int, float] = {}  # of messages that wait, by their identity

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if not self._messages or (self._current_request is None and len(self._messages) == 1):
            return
        now, server = self._loop.time(), self._manager
        for message, _ in self._messages:
            self.read_at.setdefault(id(message), now)
        if isinstance(server, PipeliningServer) and not self._force_close and not self._close:
            self.begin(server)

    def begin(self, server: PipeliningServer) -> None:
        """Begins what waits behind another request, up to the first that is not to be begun."""
        if self._current_request is not None and self._current_request.method not in METHODS:
            return  # its answer may end the connection: what is begun behind it would have none
        skip = self._current_request is None  # aiohttp is about to take the first itself
        for message, payload in self._messages:
            if not isinstance(message, RawRequestMessage) or message.should_close:
                return
            if message.method not in METHODS or payload is not EMPTY_PAYLOAD:
                return
            if skip:
                skip = False
                continue
            if id(message) in self.begun:
                continue
            if not server.able(message):
                return
            if len(self.begun) >= AHEAD_MOST or self._task_handler is None or self.life.settled:
                return  # what is read behind the last answer has none
            writer = StreamWriter(self, self._loop)
            request = BaseRequest(message, payload, self, writer, self._task_handler, self._loop)
            request[AHEAD] = True
            self.begun[id(message)] = self._loop.create_task(server.answer(request))

    def taken(self, request: BaseRequest) -> asyncio.Task[StreamResponse] | None:
        """The answer of a request that was begun as it was read."""
        read_at = self.read_at.pop(id(request._message), None)
        if read_at is not None:
            request[READ_AT] = read_at
        return self.begun.pop(id(request._message), None)


class PipeliningServer(ClientServer):
    """A server with such connections. `able` says whether a request may be begun before its turn."""

    connection_type = PipelinedConnection

    def __init__(self, answer: Answering, limits: Callable[[], Limits], able: Able, **more: Any) -> None:
        super().__init__(answer, limits, **more)
        self.able = able

    async def answer_to(self, request: BaseRequest) -> StreamResponse:
        """The answer to a request, which may have been begun as it was read."""
        connection = request.protocol
        begun = connection.taken(request) if isinstance(connection, PipelinedConnection) else None
        return await (begun if begun is not None else self.answer(request))


def ahead(request: BaseRequest) -> bool:
    """True for a request that was begun before its turn: its answer must wait."""
    return AHEAD in request
