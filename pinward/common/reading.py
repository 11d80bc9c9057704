"""The reading side of a client's connection: what comes is parsed in bounded parts and accounted for.

aiohttp parses whatever has come, and goes on behind a fault: each further read is a fault again, with an
answer and a traceback of its own. Here nothing is parsed or kept behind the first one.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from aiohttp.helpers import ResponseKey
from aiohttp.http_exceptions import LineTooLong
from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import HttpVersion11
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from pinward.common.capacity import CHUNKED_READ, DROPPED_READ, FRAMING_READ, FREE, READ_MOST
from pinward.common.connection import Limits
from pinward.common.held_bytes import HeldBytes, Reservation
from pinward.common.intake import HeadTooLongError, Intake
from pinward.common.refusals import RefusedError, Refusal

HELD = ResponseKey("held", Reservation)  # of an answer: the room for its body
FIELD_BYTES = 400  # of memory for each header field of a parsed head
TEXT_BYTES = 3  # of memory for each byte of a parsed head
BODY_BYTES = 48 * 1024  # at the most of a body that waits to be read
CHUNKED_BYTES = 96 * 1024  # likewise where it comes in chunks
FRAMING_MOST = 4 * 1024  # bytes of sizes, extensions and trailers in a row
FRAMING_FREE = 1024  # of these, bytes that are not counted
FRAMING_BYTES = 100  # of memory for each byte of trailers: short fields
FRAMING_PART = 8  # bytes of framing that each byte of the body may bring


def placeholder(refusal: Refusal) -> RawRequestMessage:
    """What stands in the queue of requests for one that is refused, so that it is answered in its turn."""
    headers = CIMultiDictProxy(CIMultiDict[str]())
    return RawRequestMessage(
        refusal.name, "/", HttpVersion11, headers, (), False, None, False, False, URL("/")
    )  # fmt: skip


REFUSED = {refusal: placeholder(refusal) for refusal in Refusal}


def refusal_of(request: BaseRequest) -> Refusal | None:
    """Why a request is refused that was not read; None for any other."""
    return next((refusal for refusal, message in REFUSED.items() if request._message is message), None)


def memory_of(message: RawRequestMessage, head: int) -> int:
    """Bytes of memory that a request may take until it is looked at."""
    told = min(int(message.headers.get("Content-Length", "0")), BODY_BYTES)
    body = CHUNKED_BYTES if message.chunked else told
    return len(message.raw_headers) * FIELD_BYTES + head * TEXT_BYTES + body


class BoundedReading(RequestHandler):
    """A connection that reads no more than it may hold. `stopped`: nothing more is read."""

    __slots__ = ("intake", "stopped", "payload", "weights", "kept_weight", "framing", "body_seen")

    def __init__(self, server: Any, **more: Any) -> None:
        super().__init__(server, **more)
        self.intake = Intake()
        self.stopped = False
        self.payload = EMPTY_PAYLOAD  # the body of the newest request
        self.weights: deque[int] = deque()  # taken of the pool for each request that is not answered
        self.kept_weight = 0  # likewise for the last answered one: aiohttp keeps it until the next
        self.framing = self.body_seen = 0  # bytes, of the body under way

    def read_bounded(self, data: bytes, limits: Limits, held: HeldBytes) -> None:
        """Parses what came; without data it goes on with what was held back."""
        if self.stopped:
            return
        if data:
            self.intake.add(data)
        else:
            self.parse(data, held)
        # Not `_buffer_paused`: as aiohttp resumes it asks for what was held back while it is still set.
        while not (self.stopped or self._reading_paused or len(self._messages) >= self._max_msg_queue_size):
            self.intake.in_body = not self.payload.is_eof()
            try:
                part = self.intake.next_part(limits.head_most)
            except HeadTooLongError:
                self.refuse(Refusal.HEAD_TOO_LONG)
                return
            if not part:
                return
            self.parse(part, held)

    def parse(self, part: bytes, held: HeldBytes) -> None:
        """Parses a part, which ends no later than a head or a body does."""
        before = self._request_count
        try:
            super().data_received(part)
        except ValueError:  # a number or a target that aiohttp's Python parser does not expect
            self.refuse(Refusal.MALFORMED)
            return
        if self._request_count > before:
            message, payload = self._messages[-1]
            if isinstance(message, RawRequestMessage):
                self.head_came(message, payload, len(part), held)
            else:
                self.parse_failed(message.exc)
        elif self.payload.exception() is not None:
            self.stop()
        elif not self.payload.is_eof():
            self.framing_came(len(part), held)

    def parse_failed(self, fault: BaseException) -> None:
        """The parser's own word on a fault gives way to ours: it repeats what came, at length."""
        self.take_back()
        self.refuse(Refusal.HEAD_TOO_LONG if isinstance(fault, LineTooLong) else Refusal.MALFORMED)

    def take_back(self) -> None:
        """The newest message is not to be answered."""
        self._messages.pop()
        self._request_count -= 1

    def head_came(self, message: RawRequestMessage, payload: Any, head: int, held: HeldBytes) -> None:
        """A request's head was parsed."""
        free = 0 if self.weights else FREE
        weight = max(0, memory_of(message, head) - free)
        if weight and not held.take(weight):
            self.take_back()
            self.refuse(Refusal.NO_ROOM)
            return
        self.weights.append(weight)
        self.payload, self.framing, self.body_seen = payload, 0, 0
        self.read_at_a_time(CHUNKED_READ if message.chunked else READ_MOST)
        if message.method == "CONNECT" or (message.upgrade and payload.is_eof()):
            self.stop()  # no other protocol is spoken here: what follows is none of ours
        elif not payload.is_eof():
            length = message.headers.get("Content-Length")
            self.intake.begin_body(None if message.chunked or length is None else int(length))

    def read_at_a_time(self, most: int) -> None:
        """Bounds what one turn of the loop reads and parses of this connection, in bytes."""
        if self.transport is not None:
            self.transport.max_size = most  # type: ignore[attr-defined]  # of asyncio's socket transports

    def framing_came(self, size: int, held: HeldBytes) -> None:
        """A part of a body was parsed: what is no body, sizes and trailers, is bounded."""
        if self.intake.body_left is not None:
            return
        grown, self.body_seen = self.payload.total_bytes - self.body_seen, self.payload.total_bytes
        self.read_at_a_time(READ_MOST if 2 * grown >= size else FRAMING_READ)
        before = self.framing
        self.framing = max(0, before + size - FRAMING_PART * grown)
        if self.framing > FRAMING_MOST:
            self.refuse(Refusal.MALFORMED)
        elif self.framing > FRAMING_FREE >= before:
            self.charge(FRAMING_MOST * FRAMING_BYTES, held)

    def charge(self, number: int, held: HeldBytes) -> None:
        """Takes so many bytes more for the newest request, which is refused where there are none."""
        if self.weights and held.take(number):
            self.weights[-1] += number
        else:
            self.refuse(Refusal.NO_ROOM)

    def stop(self) -> None:
        """Nothing more is parsed: what still comes is dropped."""
        self.stopped = True
        self.intake.clear()
        self._parser = None  # it keeps the fields of the last head
        self.read_at_a_time(DROPPED_READ)

    def refuse(self, refusal: Refusal) -> None:
        """Reads no more; the request under way is answered so in its turn."""
        self.stop()
        if not self.payload.is_eof():
            self.payload.set_exception(RefusedError(refusal))  # whoever reads the body answers
            return
        self._request_count += 1
        self.weights.append(0)
        self._messages.append((REFUSED[refusal], EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def log_exception(self, *args: Any, **more: Any) -> None:
        if not isinstance(more.get("exc_info"), RefusedError):
            super().log_exception(*args, **more)

    def give_back(self, response: StreamResponse, held: HeldBytes) -> None:
        """A request was answered: what its answer held is free, and what the one before it held."""
        held.give_back(self.kept_weight)
        self.kept_weight = self.weights.popleft() if self.weights else 0
        reservation = response.get(HELD)
        if reservation is not None:
            reservation.release()
        if isinstance(response, Response):
            response.body = None  # aiohttp keeps the answer until the next one

    def forget(self, held: HeldBytes) -> None:
        """The connection is gone: nothing is held for it."""
        self.stop()
        held.give_back(self.kept_weight + sum(self.weights))
        self.kept_weight = 0
        self.weights.clear()
