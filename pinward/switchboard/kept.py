"""Connections to machines, kept for further requests only where nothing odd was seen on them.

aiohttp's pool hands out any connection that is up: bytes that came while it was idle are then the answer to
the next request. Here an answer is taken only where one is asked for, and one that bears another request's id
is dropped, once: the answer that was asked for comes behind it. Any answer may come once more, at any time,
so a connection carries each id once: what bears the id under way is no copy of an earlier answer.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from contextvars import ContextVar
from functools import partial
from math import inf
from time import monotonic
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection

from pinward.switchboard.answer_watch import AnswerWatch, Place
from pinward.switchboard.asked_ids import AskedIds

REST_S = 4.0  # s that an idle connection is kept, where the machine tells no less
REST_PART = 0.7  # of the time the machine tells: its close and our next request would cross
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER by which a close sends a reset
ID, KEEP, NOT_RUN = "X-Try-Id", "Keep-Alive", "X-Not-Run"

# Of the request that a connection is sought for: aiohttp asks its pool by the machine's address alone.
CONNECTING_ID: ContextVar[str | None] = ContextVar("CONNECTING_ID", default=None)


class NothingSentError(aiohttp.ClientConnectionError):
    """The connection was gone before a byte of the request was written."""


def rest_of(told: str | None) -> float:
    """Seconds that a connection may rest by a machine's `Keep-Alive: timeout=N`."""
    for word in (told or "").split(","):
        name, _, value = word.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return min(REST_S, REST_PART * int(value))
    return REST_S


class Channel(ResponseHandler):
    """One connection to a machine."""

    asked = False  # a request is under way on it
    asked_id: str | None = None
    dropped = False  # no answer to another request is dropped any more
    body: Any = None  # of the answer under way, once its head came
    served = False  # an earlier request was answered on it
    rest_s, since = REST_S, 0.0  # how long it may be idle, and since when it is

    def __init__(self, loop: asyncio.AbstractEventLoop, watch: AnswerWatch) -> None:
        super().__init__(loop)
        self.watch = watch
        self.asked_ids = AskedIds()

    def asks(self, id_: str | None) -> None:
        """From here on an answer is awaited."""
        self.asked, self.asked_id, self.dropped, self.body = True, id_, not self.served, None
        if id_ is not None:
            self.asked_ids.add(id_)
        if self.asked_ids.full:
            self.force_close()

    def rests(self) -> None:
        """From here on none is: what comes belongs to no request."""
        self.asked, self.served, self.since = False, True, monotonic()

    @property
    def usable(self) -> bool:
        """True where a request may go out on it."""
        return not self._buffer and monotonic() - self.since <= self.rest_s

    @property
    def broken_off(self) -> bool:
        """True where a request is under way whose answer is not whole."""
        return self.asked and (self.body is None or not self.body.is_eof())

    def reset(self) -> None:
        """Ends the connection at once."""
        # Symptom: a machine that had not read all went on for a caller that had gone, as the end of a
        # connection comes behind what is still to be read. Besides, nothing is left waiting on our side.
        if self.transport is not None:
            with suppress(OSError, AttributeError):
                sock = self.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.abort()

    def saw_surplus(self, place: Place, refusal: bool) -> None:
        """An answer came that no request was due."""
        where = self.transport.get_extra_info("peername") if self.transport is not None else None
        self.watch.saw_surplus(place, refusal, f"{where[0]}:{where[1]}" if where else "")

    def data_received(self, data: bytes) -> None:
        if data and not self.asked:  # without data aiohttp goes on with what it holds back
            # Symptom: a surplus answer that came while idle stood in the place of the next request's.
            # Harm: a request that may run once was lost, as nobody can tell whether it ran.
            self.saw_surplus(Place.IDLE, NOT_RUN.lower().encode() in data.lower())
            self.close()
            return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Takes a whole head, with its body to come."""
        message = data[0]
        headers = message.headers
        refusal = NOT_RUN in headers
        if not self.asked:
            self.saw_surplus(Place.IDLE, refusal)
            self.close()  # it came behind the end of an answer, in one segment with it
            return
        if message.code >= 200:
            if self.body is not None:
                self.saw_surplus(Place.BEHIND, refusal)
            told = headers.getall(ID, ())
            if self.asked_id is not None and told and self.asked_id not in told and not self.dropped:
                # One surplus answer may come in the place of the next: the one asked for is behind it.
                if self.body is None:
                    self.saw_surplus(Place.MISPLACED, refusal)
                self.dropped = True
                self.force_close()
                return
            self.body = data[1]
            if KEEP in headers:
                self.rest_s = rest_of(headers[KEEP])
        super().feed_data(data, size)


class Channels(aiohttp.TCPConnector):
    """The pool of connections to machines; with `kept` false each send has one of its own."""

    def __init__(self, kept: bool, watch: AnswerWatch, most: float = inf) -> None:
        """`most`: connections, from which on idle ones end for others."""
        more: dict[str, Any] = {"keepalive_timeout": REST_S} if kept else {"force_close": True}
        super().__init__(limit=0, use_dns_cache=False, **more)
        self.watch, self.most = watch, most
        self._factory = cast("partial[ResponseHandler]", partial(Channel, loop=self._loop, watch=watch))

    async def connect(self, req: ClientRequest, traces: Any, timeout: aiohttp.ClientTimeout) -> Connection:
        """A connection on which neither this request nor its id was written yet.

        Raises NothingSentError where it is gone.
        """
        CONNECTING_ID.set(req.headers.get(ID))
        if not self._conns.get(req.connection_key):
            self.end_idle()
        made = await super().connect(req, traces=traces, timeout=timeout)
        channel = made.protocol
        if not isinstance(channel, Channel) or not channel.is_connected():
            made.close()
            raise NothingSentError("the connection was reset as it came up")
        channel.asks(req.headers.get(ID))
        return made

    async def _get(self, key: ConnectionKey, traces: Any) -> Connection | None:
        id_ = CONNECTING_ID.get()
        chosen: Connection | None = None
        passed_over: list[Connection] = []
        while chosen is None and (found := await super()._get(key, traces)) is not None:
            channel = found.protocol
            if not isinstance(channel, Channel) or not channel.usable:
                found.close()
            elif id_ is not None and channel.asked_ids.may_hold(id_):
                passed_over.append(found)
            else:
                chosen = found
        if passed_over:
            self.pass_over(passed_over, replaced=chosen is None)
        return chosen

    def pass_over(self, connections: list[Connection], replaced: bool) -> None:
        """Puts connections back unused; one of them ends where a new connection is to be made.

        So a client that sends the same id over and over holds no more connections than others.
        """
        self.watch.repeated_ids.add()
        if replaced:
            connections.pop(0).close()
        for connection in connections:
            channel = cast("Channel", connection.protocol)
            since = channel.since
            connection.release()
            channel.since = since  # it rests since it was last used

    def end_idle(self) -> None:
        """Ends an idle connection, of those to the machine with the most, where there are too many in all."""
        idle = max(self._conns.values(), key=len, default=None)
        if idle and len(self._acquired) + sum(map(len, self._conns.values())) >= self.most:
            idle.popleft()[0].close()

    def _release(self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False) -> None:
        if isinstance(protocol, Channel):
            if protocol.broken_off:
                protocol.reset()
            protocol.rests()
        super()._release(key, protocol, should_close=should_close)
