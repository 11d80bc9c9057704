"""A front's session with one control front at a time: it pulls what it lacks by its vector of versions.

While the session stands the front is a member. Where the control front is silent, or says that what it knows
is old, another is sought; what was learned stays in force, and nothing older takes its place.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
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
BESIDE_S = 0.06  # s of silence after which the next control front is tried beside: many round trips
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
            try:
                ws = await self.reach(dialler)
                try:
                    await self.pull(ws)
                finally:
                    dialler.abort(ws)
            except (OSError, aiohttp.ClientError, TimeoutError, ValueError) as why:
                if self.stands:
                    ring(301, core=self.core, why=type(why).__name__)
            self.stands = False
            self.at += 1
            await asyncio.sleep(self.chance.uniform(*AGAIN_S))

    @property
    def core(self) -> str:
        """The control front whose turn it is."""
        return self.cores[self.at % len(self.cores)]

    async def reach(self, dialler: Dialler) -> Any:
        """A connection to the first control front that answers, from the one whose turn it is.

        The next is tried beside one that is silent for a moment: after a loss of power one in three is, and a
        front that waits for it serves nobody meanwhile. Raises OSError where none answers.
        """
        tries: dict[asyncio.Future[Any], int] = {}
        try:
            first = self.at
            for turn in range(len(self.cores)):
                core = self.cores[(first + turn) % len(self.cores)]
                tries[asyncio.ensure_future(dialler.dial((core, self.boot.inner), DESK))] = first + turn
                last = turn == len(self.cores) - 1
                while tries:
                    done, _ = await asyncio.wait(
                        tries, timeout=None if last else BESIDE_S, return_when=asyncio.FIRST_COMPLETED
                    )
                    for task in done:
                        at = tries.pop(task)
                        if task.exception() is None:
                            self.at = at
                            return task.result()
                    if not last or not done:
                        break
            raise ConnectionError("no control front answers")
        finally:
            for task in tries:
                task.add_done_callback(partial(self.unused, dialler))
                task.cancel()

    @staticmethod
    def unused(dialler: Dialler, task: asyncio.Future[Any]) -> None:
        """Ends a connection that came up beside the one in use."""
        if not task.cancelled() and task.exception() is None:
            dialler.abort(task.result())

    async def pull(self, ws: Any) -> None:
        """Pulls what is new for as long as the control front answers and is of use."""
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
                ring(300, core=self.core)
            self.learn_cores(news["cores"])
            now = asyncio.get_running_loop().time()
            if self.known.take(now, news):
                self.changed()
            fresh_at = now if news["fresh"] else fresh_at
            if now - fresh_at > OLD_S and len(self.cores) > 1:
                raise ConnectionResetError("the control front has no primary")
