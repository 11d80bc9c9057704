"""What machines and the operator may send in a call's body, and that it is read in bounded time."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from pinward.common.capacity import Capacity
from pinward.common.client_room import ClientRoom
from pinward.common.connection import Limits
from pinward.common.server import ClientServer
from pinward.exchange import call_body
from pinward.exchange.answers import REASON_MOST, Answers, fault
from pinward.exchange.calls import CALLS, checked
from pinward.plan.schema import plan_of

LIMITS = Limits(idle_s=15.0, head_s=3.0)
CFG_MOST = next(call.body_most for call in CALLS if call.handler == "put_plan")  # bytes
NESTED = "[" * 100_000  # deeper than a decoder goes
WAIT_S = 10.0


class Heard(Answers):
    """Answers with the number of bytes that were read."""

    def __init__(self) -> None:
        self.room = ClientRoom(Capacity(300.0, 4096))

    async def answer(self, call: Any, word: str, data: bytes) -> tuple[int, str]:
        return 200, str(len(data))

    @staticmethod
    async def hung_up(request: Any) -> bool:
        return False


def called(data: bytes) -> tuple[int, bytes]:
    """The status and the body that these bytes bring at `Ctl`, and nothing that comes behind them."""

    async def play() -> tuple[int, bytes]:
        server = ClientServer(Heard().on_call, lambda: LIMITS)
        listening = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listening.sockets[0].getsockname())
        try:
            async with asyncio.timeout(WAIT_S):
                writer.write(data)
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
                return int(head.split()[1]), await reader.readexactly(int(fields[b"content-length"]))
        finally:
            writer.transport.abort()
            listening.close()
            await server.shutdown(0.1)

    return asyncio.run(play())


def put(size: int, path: str = "/cfg") -> bytes:
    return b"PUT %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (path.encode(), size)


class Bodies(TestCase):
    def test_a_configuration_at_the_limit_is_read_whole(self) -> None:
        """Guards against aiohttp's own limit of 1 MiB."""
        self.assertThat(called(put(CFG_MOST) + b"a" * CFG_MOST), Equals((200, str(CFG_MOST).encode())))

    def test_a_body_over_the_limit_is_refused(self) -> None:
        self.assertThat(called(put(CFG_MOST + 1))[0], Equals(413))
        chunk = b"8000\r\n" + b"a" * 0x8000 + b"\r\n"
        chunked = b"PUT /machines/i HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertThat(called(chunked + 3 * chunk)[0], Equals(413))

    def test_a_body_that_does_not_come_is_given_up_with_a_promise(self) -> None:
        with mock.patch.object(call_body, "BODY_S", 0.1):
            self.assertThat(called(put(100) + b"a")[0], Equals(408))

    def test_a_body_that_is_malformed_is_refused(self) -> None:
        chunked = b"PUT /cfg HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertThat(called(chunked + b"x\r\n")[0], Equals(400))


class Reasons(TestCase):
    def test_what_is_nested_too_deep_gets_a_reason(self) -> None:
        beat = next(call for call in CALLS if call.handler == "beat_call")
        self.assertThat(checked(beat, NESTED.encode()).is_err(), Equals(True))
        self.assertThat(plan_of(NESTED).is_err(), Equals(True))

    def test_a_reason_is_bounded(self) -> None:
        self.assertThat(len(json.loads(fault("x" * 10**6))["Err"]), Equals(REASON_MOST))
        self.assertThat(REASON_MOST, LessThan(4096))
