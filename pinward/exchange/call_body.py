"""The body of a call of a machine or the operator, read in bounded memory and time."""

from __future__ import annotations

import asyncio

from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest

from pinward.common.capacity import FREE
from pinward.common.client_room import ClientRoom
from pinward.common.refusals import RefusedError, Refusal

BODY_S = 10.0  # s for a body to come: callers go elsewhere sooner
COPIES = 2  # of a body: its bytes, and its text


class CallRefusedError(Exception):
    """A call is not read on: the status for its caller, and a reason for people."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


async def read_call(request: BaseRequest, most: int, room: ClientRoom) -> bytes:
    """A call's body of `most` bytes at the most. Raises CallRefusedError."""
    if (request.content_length or 0) > most:
        raise CallRefusedError(413, "the body is too large")
    held, body = room.reservation(FREE), bytearray()
    try:
        async with asyncio.timeout(BODY_S):
            while part := await request.content.readany():
                body += part
                if len(body) > most:
                    raise CallRefusedError(413, "the body is too large")
                if not held.grow(COPIES * len(part)):
                    raise RefusedError(Refusal.NO_ROOM)
    except TimeoutError:
        raise CallRefusedError(408, "the body does not come") from None
    except RefusedError as why:
        room.refusals.requests[why.refusal].add()
        raise CallRefusedError(why.refusal.value, "the body cannot be read") from None
    except (RequestPayloadError, ConnectionError):
        raise CallRefusedError(400, "the body cannot be read") from None
    return bytes(body)
