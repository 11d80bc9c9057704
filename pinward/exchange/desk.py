"""Sessions with fronts: while one stands its front is a member; it pulls what it lacks."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_ws import WebSocketResponse

from pinward.directory.book import vector_of
from pinward.exchange.parts import PLAN, ROLL, Parts
from pinward.trunk.link import encoded, say_encoded, taken, word_of

PULL_S = 0.8  # s that a pull with nothing to tell is held
GAP_S = 0.1  # s between two answers to one front: many changes at once are one piece of news
PULLS_S = 3.0  # s without a pull until a session ends
MEMBER_S = 3.0  # s that a front counts after it was last told of
ALIKE = 8  # pieces of news kept as they were sent: fronts in step lack the same
ALIKE_S = 0.25  # s that one is kept: seconds told in it grow old


@dataclass
class OrdersTold:
    """The front's digest and the own one for which a session's front was last told all orders.

    One that holds an order of which this control front was not told differs for longer, and is told once.
    """

    digests: tuple[str, str] = ("", "")


class Desk:
    def __init__(self, parts: Parts, report: Callable[[str, list[Any]], None]) -> None:
        self.parts, self.report = parts, report
        self.fronts: dict[str, float] = {}  # members, and when they were last told of
        self.sessions: Counter[str] = Counter()
        self.alike: OrderedDict[str, tuple[float, str | bytes]] = OrderedDict()

    def told(self, now: float, fronts: list[str]) -> None:
        """These fronts have sessions, here or at another control front."""
        for front in fronts:
            self.fronts[front] = now

    def age(self, now: float) -> list[str]:
        """Forgets members not told of for long; the fronts with a session here."""
        self.told(now, list(self.sessions))
        self.fronts = {front: at for front, at in self.fronts.items() if now - at < MEMBER_S}
        return list(self.sessions)

    async def on_desk(self, request: BaseRequest) -> WebSocketResponse:
        ws = await taken(request)
        await self.attend(ws)
        return ws

    async def attend(self, ws: Any) -> None:
        """A front's session, from its first pull to its end."""
        front, last, told = "", 0.0, OrdersTold()
        try:
            while True:
                try:
                    # Not `wait_for`: before Python 3.12 it loses a cancellation that meets a message.
                    async with asyncio.timeout(PULLS_S):
                        message = await ws.receive()
                except TimeoutError:
                    break
                word = word_of(message)
                if word is None:
                    break
                if not front:
                    front = word["front"]
                    self.sessions[front] += 1
                    self.fronts[front] = self.parts.now()
                if word["reports"]:
                    self.report(front, word["reports"])
                    self.parts.carry()
                news = await self.news(word["have"], last + GAP_S, told)
                last = self.parts.now()
                await say_encoded(ws, self.encoded(news, word["have"]))
        except ConnectionError:
            pass  # the front went elsewhere
        finally:
            if front:
                self.sessions[front] -= 1
                if not self.sessions[front]:
                    del self.sessions[front]

    def encoded(self, news: dict[str, Any], have: dict[str, Any]) -> str | bytes:
        """The news as it is sent: packed once for all fronts that lack the same at the same moment."""
        if not ("plan" in news or "lines" in news):
            return encoded(news)
        now = self.parts.now()
        small = {name: told for name, told in news.items() if name not in ("plan", "lines")}
        key = repr((have, small, hash(news.get("plan")), self.parts.book.turn))
        at, told = self.alike.pop(key, (now, b""))
        if not told or now - at > ALIKE_S:
            at, told = now, encoded(news)
        self.alike[key] = (at, told)
        while len(self.alike) > ALIKE:
            self.alike.popitem(last=False)
        return told

    def orders_news(self, have: dict[str, Any], told: OrdersTold) -> dict[str, Any]:
        """All orders, where a front does not hold what is held here; else nothing.

        What it holds is compared by a digest: the newest order alone says nothing of the older ones.
        """
        held, own = have.get("orders_digest"), self.parts.orders_digest()
        if held is None:
            lacks = self.newest_order() > have["orders"]  # a build that tells no digest
        else:
            lacks = held != own and told.digests != (held, own)
            told.digests = (held, own)
        if not lacks:
            return {}
        orders = [order.plain() for order in self.parts.orders()]
        return {"orders": orders, "orders_at": self.newest_order()}

    def newest_order(self) -> list[int]:
        """The stamp of the order committed last."""
        items = self.parts.keeper.public.items()
        return max(([item[0], item[1]] for key, item in items if key.startswith(ROLL)), default=[0, 0])

    async def news(self, have: dict[str, Any], earliest: float, told: OrdersTold) -> dict[str, Any]:
        """What a front lacks, as soon as there is something, or after the time that a pull is held."""
        await asyncio.sleep(max(0.0, earliest - self.parts.now()))
        until = self.parts.now() + PULL_S
        vector = vector_of(have["vector"])
        while True:
            turned, found = self.parts.turned, {}
            public = self.parts.keeper.public
            plan = public.get(PLAN)
            if plan is not None and plan[2]["version"] > have["plan"]:
                found["plan"] = plan[2]["body"]
            found.update(self.orders_news(have, told))
            now = self.parts.now()
            lines = self.parts.book.news(now, vector, have["partial"], now >= self.parts.whole_at)
            if lines is not None:
                found.update(lines.plain())
            left, fresh = until - self.parts.now(), self.parts.keeper.whole(self.parts.now())
            if found or left <= 0 or fresh != have["fresh"]:
                found["fronts"] = len(self.fronts)
                found["fresh"] = fresh
                found["cores"] = self.parts.keeper.members(self.parts.now())
                return found
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await turned.wait()
