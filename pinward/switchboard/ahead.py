"""Requests that a client sends before the first is answered: put through at once, answered in their order.

aiohttp handles a connection's requests one after another, so one slow answer holds up all behind it, and
what was not put through in time is late. Here those without a body that are read behind another are begun as
they are read; aiohttp, which comes to them in turn, finds the answer begun. Those that may run once wait for
their turn: where an answer before theirs ends the connection, clients take them as not read and send again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

AHEAD_MOST = 8  # requests of one connection that are put through at a time, the first not counted
AHEAD = "ahead"  # mark of a request that was begun before its turn
READ_AT = "read at"  # since when a request waited for its turn
METHODS = ("GET", "HEAD")  # what has no body, and may be sent ahead by the protocol's rules

Answering = Callable[[BaseRequest], Coroutine[Any, Any, StreamResponse]]
Able = Callable[[RawRequestMessage], bool]


class Line(RequestHandler):
    """One client's connection."""

    __slots__ = ("begun", "head_since", "read_at")

    def __init__(self, manager: Server, **more: Any) -> None:
        super().__init__(manager, **more)
        self.begun: dict[int, asyncio.Task[StreamResponse]] = {}  # by the message's identity
        self.read_at: dict[int, float] = {}  # of messages that wait, by their identity
        self.head_since: float | None = None  # since when a request's head has been coming

    def data_received(self, data: bytes) -> None:
        seen = self._request_count
        super().data_received(data)
        if self._request_count > seen or self._current_request is not None:
            self.head_since = None
        elif data and self.head_since is None:
            self.head_since = self._loop.time()
        if not self._messages or (self._current_request is None and len(self._messages) == 1):
            return
        now, server = self._loop.time(), self._manager
        for message, _ in self._messages:
            self.read_at.setdefault(id(message), now)
        if isinstance(server, LineServer) and not self._force_close and not self._close:
            self.begin(server)

    def begin(self, server: LineServer) -> None:
        """Begins what waits behind another request, up to the first that is not to be begun."""
        skip = self._current_request is None  # aiohttp is about to take the first itself
        for message, payload in self._messages:
            if skip:
                skip = False
                continue
            if id(message) in self.begun:
                continue
            if not isinstance(message, RawRequestMessage) or message.should_close:
                return
            if message.method not in METHODS or payload is not EMPTY_PAYLOAD or not server.able(message):
                return
            if len(self.begun) >= AHEAD_MOST or self._task_handler is None or not server.may():
                return
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


class LineServer(Server):
    """aiohttp's server with such connections. `may` says whether more may be begun ahead, `able` whether
    this one.
    """

    def __init__(self, answer: Answering, may: Callable[[], bool], able: Able, **more: Any) -> None:
        super().__init__(self.in_turn, **more)
        self.answer, self.may, self.able = answer, may, able

    def __call__(self) -> RequestHandler:
        return Line(self, loop=self._loop, **self._kwargs)

    async def in_turn(self, request: BaseRequest) -> StreamResponse:
        """The answer to the request whose turn it is; one that ends the connection says so
        only where no answer behind it was begun.
        """
        line = request.protocol
        begun = line.taken(request) if isinstance(line, Line) else None
        response = await (begun if begun is not None else self.answer(request))
        if not self.may() and not waiting(request):
            response.force_close()
        return response


def waiting(request: BaseRequest) -> bool:
    """True where requests behind this one are put through already: its answer must not say close."""
    line = request.protocol
    return isinstance(line, Line) and bool(line.begun)


def ahead(request: BaseRequest) -> bool:
    """True for a request that was begun before its turn: its answer must wait."""
    return AHEAD in request
