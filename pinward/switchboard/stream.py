"""A long answer passed on as it comes, in bounded memory; one that breaks off never looks complete."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from pinward.common.held_bytes import Reservation
from pinward.common.server import announce


class Outlet:
    """One send's way into a request's sink, for a status that is `final`; `opens` is told once its answer
    begins to be passed on. `held`: the room for what of the answer is not passed on yet.
    """

    def __init__(
        self, sink: Sink, final: Callable[[int], bool], opens: Callable[[], None], held: Reservation
    ) -> None:  # fmt: skip
        self.sink, self.final, self.opens, self.write = sink, final, opens, sink.write
        self.held = held

    async def open(self, status: int, headers: Any, length: int | None) -> bool:
        if not self.sink.free or not self.final(status):
            return False
        self.opens()
        await self.sink.open(status, headers, length)
        return True


class Sink:
    """Where one request's answer may be passed on to before it is whole. Opened once, by one send."""

    def __init__(self, request: BaseRequest, in_turn: bool) -> None:
        self.request, self.may = request, in_turn and request.method != "HEAD"
        self.response: StreamResponse | None = None
        self.gone = False  # the client left

    @property
    def opened(self) -> bool:
        return self.response is not None

    @property
    def free(self) -> bool:
        """False where it is not this request's turn or another send has begun."""
        return self.may and not self.opened

    async def open(self, status: int, headers: Any, length: int | None) -> None:
        """Begins the answer."""
        response = self.response = StreamResponse(status=status, headers=headers)
        if length is not None:
            response.content_length = length
        else:
            response.enable_chunked_encoding()
        announce(self.request, response)
        try:
            await response.prepare(self.request)
        except ConnectionError:
            self.gone = True

    async def write(self, part: bytes) -> None:
        """Passes a part on; waits where the client is slow. The rest is read all the same where it left."""
        if self.gone or self.response is None:
            return
        try:
            await self.response.write(part)
        except ConnectionError:
            self.gone = True

    def shut(self) -> None:
        """The request has its answer: no send passes one on any more."""
        # Symptom: a long answer of the slower of two machines went out behind the one that was given.
        self.may = False

    async def end(self, whole: bool) -> StreamResponse:
        """The answer's end. Raises ConnectionResetError, and ends the connection, where it is not whole."""
        response = self.response
        if not whole or self.gone or response is None:
            if self.request.transport is not None:
                self.request.transport.abort()
            raise ConnectionResetError("the answer broke off")
        await response.write_eof()
        return response
