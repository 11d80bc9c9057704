"""One send to a machine over aiohttp, and what its ending proves.

aiohttp does more than asked by itself, so: nothing is sent again (`_retry_connection`), no redirect is
followed,
no body decoded, no header added, the path goes out as it came. An answer counts only whole and with its
request's id; else its connection ends.
"""

from __future__ import annotations

import asyncio
from math import inf
from typing import Any

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from pinward.common.metrics import Metrics
from pinward.switchboard.answer_watch import AnswerWatch
from pinward.switchboard.kept import ID, NOT_RUN, Channels, NothingSentError
from pinward.switchboard.request_body import Body
from pinward.switchboard.stream import Outlet
from pinward.switchboard.verdict import End, Ending, Sent, ended

CONNECT_S = (
    0.35  # s for a connection to a machine to come up: hundreds of round trips, a lost packet costs more
)
CONNECT_PART = 0.9  # of a send's time for its connection: what did not come up by then was not sent
REST_OF_TURNED_S = 0.05  # s that a turned-away answer's body is waited for: its connection can be kept
HELD_MOST = 256 * 1024  # bytes of an answer held, so that it is whole before it is passed on
COPIES = 2  # of an answer: the one held, and the one that is written to the client
BODY_MOST = 8 * 2**20  # bytes of one that cannot be passed on yet: it was asked for ahead
AUTO = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
HOP = frozenset(
    (
        "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
        "proxy-authenticate", "proxy-authorization", "content-length",
    )
)  # fmt: skip
DEADLINE, WANT, STAMP, LOAD = "X-Deadline-Ms", "X-Want-Machine", "X-Stamp", "X-Load"


def client(kept: bool, watch: AnswerWatch, connections: float) -> aiohttp.ClientSession:
    """A session whose connections are kept, or one with a connection of its own for each send."""
    made = aiohttp.ClientSession(
        connector=Channels(kept, watch, connections), cookie_jar=aiohttp.DummyCookieJar(), trust_env=False,
        auto_decompress=False, skip_auto_headers=AUTO,
    )  # fmt: skip
    made._retry_connection = False  # it would send again what may have run
    return made


def time_out(allow_s: float) -> aiohttp.ClientTimeout:
    """So long for all of a send, to the moment; less for its connection: then it is known what was late."""
    # aiohttp rounds what is longer than five seconds up to the next whole one: held past the route's Tmo.
    connect_s = min(CONNECT_S, CONNECT_PART * allow_s)
    return aiohttp.ClientTimeout(total=allow_s, sock_connect=connect_s, ceil_threshold=inf)


def has_end(answer: aiohttp.ClientResponse) -> bool:
    """True where an answer tells where it ends. One that ends with its connection looks whole though cut."""
    if answer.method == "HEAD" or answer.status in (204, 304):
        return True
    coding = answer.headers.get("Transfer-Encoding", "")
    return answer.content_length is not None or coding.lower().strip() == "chunked"


def passed_on(headers: Any) -> CIMultiDict[str]:
    """The headers of a message, without those that concern one connection only."""
    named = {word.strip().lower() for value in headers.getall("Connection", ()) for word in value.split(",")}
    return CIMultiDict((k, v) for k, v in headers.items() if k.lower() not in HOP and k.lower() not in named)


def load_of(text: str | None) -> tuple[int, int, int] | None:
    """`running,waiting,slots`; None where it is not told or cannot be read."""
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None
    return int(parts[0]), int(parts[1]), int(parts[2])


class Wire:
    """Sends to machines."""

    def __init__(self, watch: AnswerWatch | None = None, connections: float = inf) -> None:
        """`connections`: to machines, from which on idle ones end for others."""
        watch = watch or AnswerWatch(Metrics())
        self.kept, self.single = client(True, watch, connections), client(False, watch, connections)

    async def close(self) -> None:
        await self.kept.close()
        await self.single.close()

    async def send(
        self, method: str, url: str, headers: CIMultiDict[str], body: Body | None,
        allow_s: float, fresh: bool, sink: Outlet | None = None,
    ) -> Ending:  # fmt: skip
        """One request to one machine; never raises but on cancellation.

        A long answer goes into `sink`, as does one for which there is no room.
        """
        session = self.single if fresh else self.kept
        asked, until = headers.get(ID), asyncio.get_running_loop().time() + allow_s
        try:
            async with session.request(
                method, URL(url, encoded=True), headers=headers, data=body or None, allow_redirects=False,
                timeout=time_out(allow_s),
            ) as answer:  # fmt: skip
                return await self.read(answer, asked, sink, until)
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError, NothingSentError):
            return ended(End.REFUSED, Sent.NOTHING)
        except TimeoutError:
            return ended(End.SILENT)
        except aiohttp.ClientPayloadError:
            return ended(End.CUT)
        except (aiohttp.ClientResponseError, ValueError):
            return ended(End.SPOILT)
        except (OSError, aiohttp.ClientError):
            return ended(End.RESET)

    async def read(
        self, answer: aiohttp.ClientResponse, asked: str | None, sink: Outlet | None, until: float
    ) -> Ending:
        """What an answer proves, and its body, by `until` of the loop's clock. Raises as aiohttp does."""
        told, status = answer.headers, answer.status
        if not self.answers(answer, asked):
            answer.close()
            return ended(End.ANOTHERS)
        load = load_of(told.get(LOAD))
        if status == 421 or (status >= 400 and NOT_RUN in told):
            await self.let_end(answer)
            return ended(End.TURNED_AWAY, status=status, load=load)
        if status < 200 or NOT_RUN in told or not has_end(answer):
            answer.close()
            return ended(End.SPOILT)
        kept = passed_on(told)
        if status < 300 and STAMP not in kept:
            answer.close()
            return ended(End.ANOTHERS)
        parts: list[bytes] = []
        size, held = 0, sink.held if sink is not None else None
        async for part in answer.content.iter_any():
            size += len(part)
            parts.append(part)
            room = held is None or held.grow(COPIES * len(part))
            if (size > HELD_MOST or not room) and sink is not None:
                # Symptom: while its client did not read, a send's time was not looked at, and it had no end.
                async with asyncio.timeout_at(until):
                    if await sink.open(status, kept, answer.content_length):
                        return await self.pass_on(answer, parts, sink, load)
                sink = None  # not its turn: held on
            if size > BODY_MOST or not room:
                answer.close()
                return ended(End.TOO_LONG)
        body = b"".join(parts)
        headers = list(kept.items())
        return ended(End.ANSWER, status=status, headers=headers, body=body, load=load, held=held)

    @staticmethod
    async def pass_on(
        answer: aiohttp.ClientResponse, held: list[bytes], sink: Outlet, load: tuple[int, int, int] | None
    ) -> Ending:
        """A long answer from here on goes to its client as it comes."""
        for part in held:
            await sink.write(part)
        held.clear()
        async for part in answer.content.iter_any():
            await sink.write(part)
        return ended(End.ANSWER, status=answer.status, load=load, streamed=True)

    @staticmethod
    def answers(answer: aiohttp.ClientResponse, asked: str | None) -> bool:
        """True where an answer bears the id of the request, once. One without an id has a connection of its
        own, and so has its answer none.
        """
        told = answer.headers.getall(ID, ())
        return list(told) == ([] if asked is None else [asked])

    @staticmethod
    async def let_end(answer: aiohttp.ClientResponse) -> None:
        """Reads the rest of an answer whose head says all, to keep its connection; else ends it."""
        if answer.content.at_eof():
            return
        try:
            async with asyncio.timeout(REST_OF_TURNED_S):
                async for _ in answer.content.iter_any():
                    pass
        except (TimeoutError, OSError, aiohttp.ClientError):
            answer.close()
