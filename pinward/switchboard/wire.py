"""One send to a machine over aiohttp, and what its ending proves.

aiohttp does more than asked by itself, so: nothing is sent again (`_retry_connection`), no redirect is
followed,
no body decoded, no header added, the path goes out as it came. An answer counts only whole and with its
request's id; else its connection ends.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from pinward.switchboard.stream import Sink
from pinward.switchboard.verdict import Ending, Verdict

CONNECT_S = (
    0.35  # s for a connection to a machine to come up: hundreds of round trips, a lost packet costs more
)
REST_S = 4.0  # s that an idle connection is kept; machines close theirs later
HELD_MOST = 256 * 1024  # bytes of an answer held, so that it is whole before it is passed on
BODY_MOST = 8 * 2**20  # bytes of one that cannot be passed on yet: it was asked for ahead
AUTO = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
HOP = frozenset(
    (
        "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
        "proxy-authenticate", "proxy-authorization", "content-length",
    )
)  # fmt: skip
ID, DEADLINE, WANT, STAMP, LOAD, NOT_RUN = (
    "X-Try-Id", "X-Deadline-Ms", "X-Want-Machine", "X-Stamp", "X-Load", "X-Not-Run"
)  # fmt: skip


def client(kept: bool) -> aiohttp.ClientSession:
    """A session whose connections are kept, or one with a connection of its own for each send."""
    connector = (
        aiohttp.TCPConnector(limit=0, use_dns_cache=False, keepalive_timeout=REST_S)
        if kept
        else aiohttp.TCPConnector(limit=0, use_dns_cache=False, force_close=True)
    )
    made = aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar(), trust_env=False, auto_decompress=False,
        skip_auto_headers=AUTO,
    )  # fmt: skip
    made._retry_connection = False  # it would send again what may have run
    return made


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

    def __init__(self) -> None:
        self.kept, self.single = client(True), client(False)

    async def close(self) -> None:
        await self.kept.close()
        await self.single.close()

    async def send(
        self, method: str, url: str, headers: CIMultiDict[str], body: bytes | AsyncIterator[bytes] | None,
        allow_s: float, fresh: bool, sink: Sink | None = None,
    ) -> Ending:  # fmt: skip
        """One request to one machine; never raises but on cancellation. A long answer goes into `sink`."""
        session = self.single if fresh else self.kept
        timeout = aiohttp.ClientTimeout(total=allow_s, sock_connect=min(CONNECT_S, allow_s))
        try:
            async with session.request(
                method, URL(url, encoded=True), headers=headers, data=body or None, allow_redirects=False,
                timeout=timeout,
            ) as answer:  # fmt: skip
                return await self.read(answer, headers.get(ID), sink)
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError):
            return Ending(Verdict.NOT_SENT, "refused")
        except TimeoutError:
            return Ending(Verdict.MAY_HAVE_RUN, "silent")
        except aiohttp.ClientPayloadError:
            return Ending(Verdict.MAY_HAVE_RUN, "cut")
        except (aiohttp.ClientResponseError, ValueError):
            return Ending(Verdict.MAY_HAVE_RUN, "spoilt")
        except (OSError, aiohttp.ClientError):
            return Ending(Verdict.MAY_HAVE_RUN, "reset")

    async def read(self, answer: aiohttp.ClientResponse, asked: str | None, sink: Sink | None) -> Ending:
        told = answer.headers
        load = load_of(told.get(LOAD))
        if answer.status == 421 or NOT_RUN in told:
            await answer.read()
            return Ending(Verdict.TURNED_AWAY, "turned away", answer.status, load=load)
        if told.get(ID) != asked or (answer.status < 300 and STAMP not in told):
            answer.close()
            return Ending(Verdict.MAY_HAVE_RUN, "another's")
        parts: list[bytes] = []
        size, streams = 0, False
        kept = passed_on(told)
        async for part in answer.content.iter_any():
            size += len(part)
            if not streams and size > HELD_MOST and sink is not None:
                streams = await sink.open(answer.status, kept, answer.content_length)
                held, parts = parts, []
                for earlier in held if streams else ():
                    await sink.write(earlier)
                parts = [] if streams else held
            if streams and sink is not None:
                await sink.write(part)
                continue
            if size > BODY_MOST:
                answer.close()
                return Ending(Verdict.MAY_HAVE_RUN, "too long")
            parts.append(part)
        body = b"".join(parts)
        return Ending(Verdict.RAN, "answer", answer.status, list(kept.items()), body, load, streams)
