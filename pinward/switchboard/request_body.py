"""A request's body: a short one is held whole, to be sent again; a long one goes on as it comes."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp.streams import StreamReader

from pinward.common.held_bytes import Reservation
from pinward.common.refusals import RefusedError, Refusal

HELD_MOST = 256 * 1024  # bytes of a body held whole
COPIES = 2  # of a body: the one held, and the one on its way to a machine


class BodyTooLongError(Exception):
    """A body has more bytes than the configuration allows."""


class StreamedBody:
    """A long body, of which `first` has come, sent on once.

    `waits`: more of it must come from its client. `too_long`: it broke off as it had more than `most` bytes.
    """

    def __init__(self, first: bytes, content: StreamReader, most: int) -> None:
        self.first, self.content, self.most = first, content, most
        self.waits = self.too_long = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Raises BodyTooLongError, RefusedError, and as aiohttp does where the client breaks off."""
        size = len(self.first)
        first, self.first = self.first, b""
        yield first
        while True:
            self.waits = True
            part = await self.content.readany()
            size += len(part)
            if size > self.most:
                self.too_long = True
                raise BodyTooLongError
            self.waits = False
            if not part:
                return
            yield part


Body = bytes | StreamedBody


async def read_body(content: StreamReader, most: int, held: Reservation) -> Body:
    """A request's body. Raises BodyTooLongError, and RefusedError where it has no room or is malformed."""
    first = bytearray()
    while part := await content.readany():
        first += part
        if len(first) > most:
            raise BodyTooLongError
        if not held.grow(COPIES * len(part)):
            raise RefusedError(Refusal.NO_ROOM)
        if len(first) > HELD_MOST:
            return StreamedBody(bytes(first), content, most)
    return bytes(first)
