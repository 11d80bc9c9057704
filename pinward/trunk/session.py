"""A front's session with one control front at a time: it pulls what it lacks by its vector of versions.

While the session stands the front is a member. Where the control front is silent, or says that what it knows
is old, another is sought; what was learned stays in force, and nothing older takes its place.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import aiohttp

from pinward.annunciator import ring
from pinward.directory.book import Book
from pinward.directory.entry import Standing
from pinward.plan.boot import Boot
from pinward.plan.routes import Plan, plan_read
from pinward.trial.order import Order, Stage
from pinward.trunk.link import DESK, Dialler, say, word_of

NEWS_S = 1.5  # s for an answer to a pull, which is held less than one
AGAIN_S = (0.05, 0.25)  # s until another control front is tried, drawn
OLD_S = 1.0  # s that a control front may be without a primary until another is tried: a change takes as long


class Known:
    """What a front knows of the system; `changed` is called after each piece of news."""

    def __init__(self, boot: Boot, life: str) -> None:
        self.plan: Plan | None = None
        self.book = Book("", life, boot.beat_s)
        self.book.seen = {}
        self.orders: dict[str, Order] = {}
        self.orders_at = [0, 0]
        self.fronts, self.fresh = 1, False

    def vector(self) -> dict[str, Any]:
        return {
            "plan": self.plan.version if self.plan else -1, "orders": self.orders_at, "vector":
            self.book.seen, "fresh": self.fresh,
        }  # fmt: skip

    def take(self, now: float, news: dict[str, Any]) -> bool:
        """Takes news in; True where something changed. Nothing goes back to an older version."""
        changed = False
        self.fresh = news["fresh"]
        if "plan" in news:
            plan = plan_read(news["plan"])
            if self.plan is None or plan.version > self.plan.version:
                self.plan, changed = plan, True
                ring(302, version=f"{plan.version:08x}", routes=plan.size)
        if "orders" in news and news["orders_at"] > self.orders_at:
            self.orders_at, changed = news["orders_at"], True
            for plain in news["orders"]:
                order, held = Order.of(plain), self.orders.get(plain[0])
                if held is None or (order.number, order.stage is not Stage.SERVING) > (
                    held.number, held.stage is not Stage.SERVING
                ):  # fmt: skip
                    self.orders[order.service] = order
        if "lines" in news:
            vector = {source: (life, number) for source, (life, number) in news["vector"].items()}
            changed = bool(self.book.merge(now, "", vector, news["lines"])) or changed
            self.forget()
        if news["fronts"] != self.fronts:
            self.fronts, changed = max(1, news["fronts"]), True
        return changed

    def forget(self) -> None:
        """Drops lives that are gone, once many are held: late news of one does nothing but bring it back as
        gone.
        """
        gone = [iid for iid, line in self.book.lines.items() if line.entry.standing is Standing.GONE]
        for iid in gone[: max(0, len(gone) - 1000)]:
            del self.book.lines[iid]


class Session:
    def __init__(
        self,
        boot: Boot,
        known: Known,
        life: str,
        reports: Callable[[], list[Any]],
        changed: Callable[[], None],
    ) -> None:
        self.boot, self.known, self.life = boot, known, life
        self.reports, self.changed = reports, changed
        self.chance = Random(life)
        self.cores = list(dict.fromkeys(host for host, _ in boot.peers))
        self.at = self.chance.randrange(max(1, len(self.cores)))
        self.stands = False

    def learn_cores(self, cores: list[str]) -> None:
        self.cores += [core for core in cores if core not in self.cores]

    async def run(self, dialler: Dialler) -> None:
        while True:
            core = self.cores[self.at % len(self.cores)]
            try:
                await self.once(dialler, core)
            except (OSError, aiohttp.ClientError, TimeoutError, ValueError) as why:
                if self.stands:
                    ring(301, core=core, why=type(why).__name__)
            self.stands = False
            self.at += 1
            await asyncio.sleep(self.chance.uniform(*AGAIN_S))

    async def once(self, dialler: Dialler, core: str) -> None:
        ws = await dialler.dial((core, self.boot.inner), DESK)
        try:
            fresh_at = asyncio.get_running_loop().time()
            while True:
                pull = {
                    "t": "pull",
                    "front": self.boot.name,
                    "have": self.known.vector(),
                    "reports": self.reports(),
                }
                await say(ws, pull)
                news = word_of(await asyncio.wait_for(ws.receive(), NEWS_S))
                if news is None:
                    raise ConnectionResetError("the control front ended the session")
                if not self.stands:
                    self.stands = True
                    ring(300, core=core)
                self.learn_cores(news["cores"])
                now = asyncio.get_running_loop().time()
                if self.known.take(now, news):
                    self.changed()
                fresh_at = now if news["fresh"] else fresh_at
                if now - fresh_at > OLD_S and len(self.cores) > 1:
                    raise ConnectionResetError("the control front has no primary")
        finally:
            dialler.abort(ws)
