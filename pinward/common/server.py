"""An aiohttp server whose connections end only where their state machine says so.

aiohttp by itself drops requests that it has read: behind an answer that says close, at its keep-alive time,
and as it shuts down. It also closes while bytes are unread, which resets the connection and may destroy the
last answer on its way.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from contextlib import suppress
from math import inf
from typing import Any

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from pinward.annunciator import ring
from pinward.common.capacity import READ_MOST, SMALL, WRITE_MOST
from pinward.common.client_room import ClientRoom
from pinward.common.connection import LINGER_S, Connection, Limits, Phase
from pinward.common.reading import BoundedReading, refusal_of

DRAIN_STEP_S = 0.02  # s between looks at connections while the server leaves
AHEAD_GREEDY = 8  # requests that wait on a connection, beyond which it ends where newcomers need its place
YIELD_PART = 1 / 3  # of the idle time, in which a client that ends for newcomers must take of its answers
ROOM_STEP_S = 0.1  # s between two searches for connections that may end for newcomers

TCP_ENDED = (7, 8, 9)  # Linux: closed, close-wait (the peer has ended its side), last-ack

Answering = Callable[[BaseRequest], Coroutine[Any, Any, StreamResponse]]


def peer_has_ended(sock: Any) -> bool:
    """True where TCP has heard that the peer ended its side, though bytes are unread before that.

    Source: tcp(7), TCP_INFO, whose first byte is the connection's state. False where no system call tells.
    """
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (OSError, AttributeError):
        return False
    return bool(state) and state[0] in TCP_ENDED


class Output:
    """What waits to be sent on a connection, and since when its client has taken nothing of it."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.waiting, self.since = 0, -inf

    def stalled_s(self, now: float) -> float:
        """Seconds for which nothing was taken, though something waits."""
        waiting = self.transport.get_write_buffer_size()
        if waiting != self.waiting or not waiting:
            self.waiting, self.since = waiting, now
        return now - self.since


class ClientConnection(BoundedReading):
    """One client's connection; `life` decides when it ends.

    The client has left once its side of the connection has ended. TCP tells no difference between a close and
    a half-close, so a client that sends no more counts as one that left.
    """

    __slots__ = ("life", "departed_at", "departure_callbacks", "output", "yields")

    def __init__(self, server: ClientServer, **more: Any) -> None:
        super().__init__(server, **more)
        self.life = Connection(self._loop.time())
        self.departed_at: float | None = None  # when the client left
        self.departure_callbacks: set[Callable[[], None]] = set()
        self.output: Output | None = None  # none before the connection stands
        self.yields = False  # it ends because newcomers need its place

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        server = self._manager
        if isinstance(server, ClientServer) and not server.admits(self._loop.time()):
            transport.abort()  # before aiohttp begins to wait for requests
            return
        transport.set_write_buffer_limits(WRITE_MOST)
        self.output = Output(transport)
        super().connection_made(transport)
        self.read_at_a_time(READ_MOST)

    def watch_departure(self, callback: Callable[[], None]) -> None:
        """`callback` is called as the client leaves, or at once where it has left."""
        if self.departed_at is not None:
            callback()
        else:
            self.departure_callbacks.add(callback)

    def unwatch_departure(self, callback: Callable[[], None]) -> None:
        """`callback` is called no more."""
        self.departure_callbacks.discard(callback)

    def depart(self) -> None:
        """The client has left; a second call does nothing."""
        if self.departed_at is None:
            self.departed_at = self._loop.time()
        callbacks, self.departure_callbacks = self.departure_callbacks, set()
        for callback in callbacks:
            callback()

    @property
    def left_unread(self) -> bool:
        """True where the client has ended its side, and this is not noticed as nothing is read from it now.

        aiohttp stops reading while many requests wait, or a long body is not taken off.
        """
        paused = self._reading_paused or self._buffer_paused
        if not paused or self.transport is None:
            return False
        return peer_has_ended(self.transport.get_extra_info("socket"))

    def end_departed(self, now: float) -> None:
        """Ends the connection of a client that has left: nobody waits for its answers."""
        if self.transport is None:
            return
        if self.left_unread:
            self.depart()
            self.transport.abort()  # not `close`: that would wait until all is written
        elif self.departed_at is not None and now > self.departed_at + LINGER_S:
            self.transport.abort()  # a half-closed one whose client does not read would stay for ever

    def abort(self) -> None:
        """Ends the connection at once, whatever waits to be written."""
        if self.output is not None:
            self.output.transport.abort()

    def end_if_greedy(self) -> None:
        """Ends the connection behind what was read, where many requests wait behind one another."""
        if self.life.unanswered > AHEAD_GREEDY and self.payload.is_eof():
            self.yields = True
            self.stop()
            self.life.limit_answers()

    def end_stuck(self, now: float, limits: Limits) -> bool:
        """Ends a connection whose client takes no answer; True where it did."""
        if self.output is None:
            return False
        most_s = YIELD_PART * limits.idle_s if self.yields else limits.idle_s
        if self.output.stalled_s(now) <= max(LINGER_S, most_s):
            return False
        self.depart()
        self.abort()
        return True

    def eof_received(self) -> None:
        self.depart()
        super().eof_received()

    def data_received(self, data: bytes) -> None:
        if self.life.drops:
            return
        before = self._request_count
        server = self._manager
        if isinstance(server, ClientServer):
            self.read_bounded(data, server.limits(), server.room.held)
        requests = self._request_count - before
        if data or requests:  # without data aiohttp goes on with what it held back
            self.life.received(self._loop.time(), requests)
        if self.stopped:
            self.life.limit_answers()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """The answer where a handler failed. Nothing that a client sent is told or logged."""
        if not isinstance(exc, ConnectionError):  # else its client left while its request was read
            ring(110, why=repr(exc))
        response = Response(status=status)
        response.force_close()
        return response

    def announce(self, response: StreamResponse) -> None:
        """Writes into an answer's head how long the connection may rest, or that it ends."""
        server = self._manager
        if not isinstance(server, ClientServer):
            return
        if self.life.answer_ends(server.leaving):
            # Not `force_close`: aiohttp would close at once, with bytes unread.
            response.headers["Connection"] = "close"
            self._messages.clear()
        else:
            response.headers["Keep-Alive"] = f"timeout={server.limits().rest_told_s}"

    async def finish_response(
        self, request: BaseRequest, resp: StreamResponse, start_time: float | None
    ) -> tuple[StreamResponse, bool]:
        done = await super().finish_response(request, resp, start_time)
        server = self._manager
        if isinstance(server, ClientServer):
            self.give_back(resp, server.room.held)
            if resp.keep_alive is False:
                self.stop()
            self.life.answered(self._loop.time(), server.limits())
        if self.life.phase is Phase.CLOSING and self.transport is not None and self.transport.can_write_eof():
            with suppress(OSError):  # its client has reset it, which is heard in the next turn of the loop
                self.transport.write_eof()  # what still comes is read and dropped until the client ends too
        return done

    def connection_lost(self, exc: BaseException | None) -> None:
        self.life.gone(self._loop.time())
        self.depart()
        server = self._manager
        if isinstance(server, ClientServer):
            self.forget(server.room.held)
        super().connection_lost(exc)

    def _process_keepalive(self) -> None:
        """aiohttp's own end of idle connections does not take place."""


class ClientServer(Server):
    """Answers clients' requests, one after another on each connection.

    `limits` are asked for anew each time: the configuration in force may change.
    """

    connection_type: type[ClientConnection] = ClientConnection

    def __init__(
        self,
        answer: Answering,
        limits: Callable[[], Limits],
        room: ClientRoom | None = None,
        small: bool = False,
        **more: Any,
    ) -> None:
        """`small`: for the platform alone, which needs few connections."""
        super().__init__(self.in_turn, access_log=None, **more)
        self.answer, self.limits = answer, limits
        self.room, self.small = room or ClientRoom(), small
        self.searched_at = -inf  # loop's time of the last search for connections that may end
        self.leaving = False
        self.settles_at = inf  # loop's time from which on connections carry nothing but what was read
        self.overdue: dict[RequestHandler, float] = {}  # at the last look, by their phase's begin
        self.connected_at = -inf  # loop's time of the last new connection

    def __call__(self) -> RequestHandler:
        most = self.limits().head_most
        bounds = {
            "max_line_size": most, "max_field_size": most, "max_headers": most,
            "read_bufsize": READ_MOST, "lingering_time": LINGER_S,
        }  # fmt: skip
        return self.connection_type(self, loop=self._loop, **{**bounds, **self._kwargs})

    @property
    def most(self) -> int:
        """Connections that are taken at a time."""
        return SMALL if self.small else self.room.capacity.connections(self.limits().head_bytes)

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        self.connected_at = asyncio.get_running_loop().time()
        super().connection_made(handler, transport)

    def admits(self, now: float) -> bool:
        """True where there is a place for a newcomer."""
        admitted = len(self.connections) < self.most or self.make_room(now)
        if not admitted:
            self.room.refusals.crowded.add()
        return admitted

    def make_room(self, now: float) -> bool:
        """Ends connections on which no request is due; False where there are none.

        Where there are none, those that have sent many requests ahead end behind what was read of them.
        """
        if now < self.searched_at + ROOM_STEP_S:
            return False
        self.searched_at = now
        all_ = [c for c in self.connections if isinstance(c, ClientConnection)]
        idle = [connection for connection in all_ if connection.life.may_yield(now)]
        for connection in idle:
            connection.abort()
        if not idle:
            for connection in all_:
                connection.end_if_greedy()
        self.room.refusals.evicted.add(len(idle))
        return bool(idle)

    async def in_turn(self, request: BaseRequest) -> StreamResponse:
        """The answer to the request whose turn it is."""
        refusal = refusal_of(request)
        if refusal is None:
            response = await self.answer_to(request)
        else:
            response = self.room.refusals.answer(refusal)
        announce(request, response)
        return response

    async def answer_to(self, request: BaseRequest) -> StreamResponse:
        """The answer to a request that was read."""
        return await self.answer(request)

    def lives(self) -> list[Connection]:
        """The connections that are not gone."""
        return [c.life for c in self.connections if isinstance(c, ClientConnection) and not c.life.done]

    def end_overdue(self, now: float) -> int:
        """Ends the connections whose time is over at the loop's time `now`; returns the number left.

        Only those whose time was over at the last call too: what came in time has been read since then,
        though the loop was held up by other work.
        """
        self.settle(now)
        limits, left = self.limits(), 0
        overdue: dict[RequestHandler, float] = {}
        for connection in list(self.connections):
            assert isinstance(connection, ClientConnection)
            connection.end_departed(now)
            if connection.end_stuck(now, limits):
                self.room.refusals.stalled.add()
            if connection.kept_weight and self.room.held.scarce and connection.life.may_yield(now):
                connection.abort()
                self.room.refusals.evicted.add()
            life = connection.life
            if not life.overdue(now, limits, self.leaving):
                left += 1
            elif self.overdue.get(connection) == life.since:
                connection.force_close()
            else:
                overdue[connection] = life.since
                left += 1
        self.overdue = overdue
        self.room.refusals.log.tell(now)
        return left

    def leave(self, settles_at: float) -> None:
        """The server ends: each connection's answer with nothing read behind it is its last one.

        From the loop's time `settles_at` on a connection carries the answers to what was read by then, or one
        more: a client that always has another request sent would hold it for ever.
        """
        self.leaving, self.settles_at = True, settles_at

    def settle(self, now: float) -> None:
        """Bounds the answers of all connections, where it is time."""
        if now >= self.settles_at:
            for life in self.lives():
                life.limit_answers()

    async def drain(self, until: float) -> int:
        """After the listener was closed: answers what was read, by the loop's time `until` at most.

        Returns the number of connections that are left.
        """
        loop = asyncio.get_running_loop()
        while (left := self.end_overdue(loop.time())) and loop.time() < until:
            await asyncio.sleep(DRAIN_STEP_S)
        return left


def announce(request: BaseRequest, response: StreamResponse) -> None:
    """See `ClientConnection.announce`. One that has begun to go out was announced before, and where the
    client or the answer itself ends the connection aiohttp says so.
    """
    connection = request.protocol
    ends = response.keep_alive is False or not request.keep_alive
    if isinstance(connection, ClientConnection) and not response.prepared and not ends:
        connection.announce(response)
