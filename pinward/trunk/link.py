"""Words between parts of the system: JSON on a websocket of the inner port.

A peer that says nothing does not hang anybody: TCP gives up after `SILENT_S`, a connection is tried for
`CONNECT_S`, and what cannot be sent soon is dropped with its connection; each end then begins anew.
"""

from __future__ import annotations

import asyncio
import json
import socket
import zlib
from collections.abc import Callable
from random import Random
from typing import Any

import aiohttp
from aiohttp.web_request import BaseRequest
from aiohttp.web_ws import WebSocketResponse

SILENT_S = 1.2  # s without a sign of TCP from a peer until the connection ends: several round trips and beats
CONNECT_S = 0.3  # s for a connection to come up
AGAIN_S = (0.1, 0.4)  # s between two tries, drawn: reconnects of many spread
RARELY_S = (0.5, 1.0)  # s between two tries of a peer that was away for `AWAY_S`
AWAY_S = 60.0  # s without a connection: such a peer may be gone for good
WORDS_MOST = 2000  # words that wait for one peer
WORD_MOST = 16 * 2**20  # bytes of one word: a snapshot with the largest configuration
LONG = 2048  # characters of a word from which on it is sent compressed
LINK, DESK = "/link", "/desk"  # paths: of control fronts, of fronts


def guard(sock: socket.socket | None) -> None:
    """Makes TCP give up on a silent peer and send small words at once."""
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SILENT_S * 1000))


class Dialler:
    """Opens websockets to control fronts. The emulator has one of its own."""

    def __init__(self) -> None:
        # No cookies, no proxies, no redirects followed by itself.
        self.http = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(), trust_env=False, timeout=aiohttp.ClientTimeout(total=None),
            connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
        )  # fmt: skip

    async def dial(self, where: tuple[str, int], path: str, within_s: float = CONNECT_S) -> Any:
        """A websocket to a control front's inner port. Raises OSError, ClientError, TimeoutError."""
        host, port = where
        async with asyncio.timeout(within_s):
            ws = await self.http.ws_connect(
                f"http://{host}:{port}{path}", autoping=True, compress=0, max_msg_size=WORD_MOST
            )
        guard(ws.get_extra_info("socket"))
        return ws

    def abort(self, ws: Any) -> None:
        """Ends a connection at once: its peer may be silent."""
        connection = ws._response.connection
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    async def close(self) -> None:
        await self.http.close()


async def taken(request: BaseRequest) -> WebSocketResponse:
    """The websocket that a request asks for."""
    ws = WebSocketResponse(compress=False, max_msg_size=WORD_MOST, autoping=True)
    await ws.prepare(request)
    if request.transport is not None:
        guard(request.transport.get_extra_info("socket"))
    return ws


def packed(word: dict[str, Any]) -> str:
    return json.dumps(word, separators=(",", ":"))


def encoded(word: dict[str, Any]) -> str | bytes:
    """A word as it is sent, a long one compressed: a front's link may carry 2 Mbit/s, a plan be 180 KB."""
    text = packed(word)
    return text if len(text) < LONG else zlib.compress(text.encode(), 6)


async def say_encoded(ws: Any, told: str | bytes) -> None:
    await (ws.send_str(told) if isinstance(told, str) else ws.send_bytes(told))


async def say(ws: Any, word: dict[str, Any]) -> None:
    await say_encoded(ws, encoded(word))


def word_of(message: aiohttp.WSMessage) -> dict[str, Any] | None:
    """The word in a message; None where the connection ends. Raises ValueError for what is no word."""
    if message.type is aiohttp.WSMsgType.TEXT:
        text = message.data
    elif message.type is aiohttp.WSMsgType.BINARY:
        opened = zlib.decompressobj()
        try:
            text = opened.decompress(message.data, WORD_MOST)
        except zlib.error as why:
            raise ValueError(f"a word cannot be read: {why}") from None
        if opened.unconsumed_tail:
            raise ValueError("a word is too long")
    else:
        return None
    word = json.loads(text)
    if not isinstance(word, dict):
        raise ValueError("a word must be an object")
    return word


class Link:
    """The words of this process to one peer, over a connection of its own that is opened anew for ever."""

    def __init__(
        self, dialler: Dialler, where: tuple[str, int], hello: dict[str, Any],
        up: Callable[[], None], down: Callable[[], None],
    ) -> None:  # fmt: skip
        self.dialler, self.where, self.hello, self.on_up, self.on_down = dialler, where, hello, up, down
        self.words: asyncio.Queue[dict[str, Any]] = asyncio.Queue(WORDS_MOST)
        self.stands = False
        self.chance = Random(str(where))
        self.trying: asyncio.Task[None] | None = None
        self.stood_at: float | None = None  # its last connection's end, or its first try

    def kick(self) -> None:
        """The peer has just been heard: a try that waits for it to come up begins anew."""
        if not self.stands and self.trying is not None:
            self.trying.cancel()

    def send(self, word: dict[str, Any]) -> None:
        """Sends a word where the link stands; else it is lost, as on any network."""
        if self.stands:
            try:
                self.words.put_nowait(word)
            except asyncio.QueueFull:
                self.stands = False

    async def run(self) -> None:
        while True:
            self.trying = asyncio.ensure_future(self.once())
            try:
                await asyncio.wait((self.trying,))
            finally:
                self.trying.cancel()
            if not self.trying.cancelled():
                self.trying.result()

    async def once(self) -> None:
        try:
            await self.connected()
        except (OSError, aiohttp.ClientError, TimeoutError):
            now = asyncio.get_running_loop().time()
            self.stood_at = now if self.stood_at is None else self.stood_at
            pauses = AGAIN_S if now - self.stood_at < AWAY_S else RARELY_S
            await asyncio.sleep(self.chance.uniform(*pauses))

    async def connected(self) -> None:
        ws = await self.dialler.dial(self.where, LINK)
        try:
            await say(ws, self.hello)
            while not self.words.empty():
                self.words.get_nowait()
            self.stands = True
            self.on_up()
            end = asyncio.ensure_future(ws.receive())  # the peer says nothing here: this is its end
            try:
                while self.stands:
                    word = asyncio.ensure_future(self.words.get())
                    await asyncio.wait((word, end), return_when=asyncio.FIRST_COMPLETED)
                    if end.done():
                        word.cancel()
                        return
                    async with asyncio.timeout(SILENT_S):
                        await say(ws, word.result())
            finally:
                end.cancel()
        finally:
            self.stood_at = asyncio.get_running_loop().time()
            if self.stands:
                self.stands = False
                self.on_down()
            self.dialler.abort(ws)
