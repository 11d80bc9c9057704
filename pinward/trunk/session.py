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
from pinward.directory.book import Book, News
from pinward.plan.boot import Boot
from pinward.plan.routes import Plan, plan_read
from pinward.trial.order import Order, digest_of
from pinward.trunk.link import CONNECT_S, DESK, Dialler, say, word_of

NEWS_S = 1.5  # s for an answer to a pull, which is held less than one
BESIDE_S = 0.06  # s of silence after which the next control front is tried beside: many round trips
AGAIN_S = (0.05, 0.25)  # s until another control front is tried, drawn
OLD_S = 1.0  # s that a control front may be without a primary until another is tried: a change takes as long
QUICK = 6  # vain sessions in a row until pauses grow: each of three is tried twice as quickly as may be
AGAIN_MOST_S = 0.5  # s, the longest pause: one that was cut off is back soon after the cut
PATIENT_S = 0.6  # s that a connection may then take: the drowned answer late, but they do
CALM_S = 3.0  # s that a session stands until pauses are short again
CORES_MOST = 16  # control fronts remembered
FORGET_S = 5.0  # s between looks for lives to forget


class Known:
    """What a front knows of the system; `changed` is called after each piece of news."""

    def __init__(self, boot: Boot, life: str) -> None:
        self.plan: Plan | None = None
        self.book = Book("", life, boot.beat_s)
        self.forget_at = 0.0
        self.orders: dict[str, Order] = {}
        self.orders_at = [0, 0]  # the newest of them, for control fronts of builds that compare no digest
        self.orders_digest = digest_of(())
        self.fronts, self.fresh = 1, False

    def vector(self) -> dict[str, Any]:
        return {
            "plan": self.plan.version if self.plan else -1, "orders": self.orders_at, "orders_digest":
            self.orders_digest, "vector": self.book.seen, "partial": self.book.partial, "fresh": self.fresh,
        }  # fmt: skip

    def take_orders(self, plain: list[list[Any]], newest: list[int]) -> bool:
        """Takes in orders that are later than those held; True for some.

        None is dropped: the list may be of a control front that lacks some.
        """
        changed = False
        self.orders_at = max(self.orders_at, newest)
        for order in map(Order.of, plain):
            if order.supersedes(self.orders.get(order.service)):
                self.orders[order.service], changed = order, True
        if changed:
            self.orders_digest = digest_of(self.orders.values())
        return changed

    def take(self, now: float, news: dict[str, Any]) -> bool:
        """Takes news in; True where something changed. Nothing goes back to an older version."""
        changed = False
        self.fresh = news["fresh"]
        if "plan" in news:
            plan = plan_read(news["plan"])
            if self.plan is None or plan.version > self.plan.version:
                self.plan, changed = plan, True
                ring(302, version=f"{plan.version:08x}", routes=plan.size)
        if "orders" in news:
            changed = self.take_orders(news["orders"], news["orders_at"]) or changed
        if "lines" in news:
            # None where another session's news was taken between: the next pull says what is held.
            changed = bool(self.book.merge(now, News.of(news))) or changed
        if now >= self.forget_at:
            self.forget_at = now + FORGET_S
            changed = self.book.forget_ended(now) or changed
        if news["fronts"] != self.fronts:
            self.fronts, changed = max(1, news["fronts"]), True
        return changed


class RefusedError(ConnectionError):
    """No control front runs where one is known: each said so at once."""


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
        self.vain = 0  # sessions in a row that ended soon, or never began though somebody may have heard

    def learn_cores(self, cores: list[str], sure: bool = False) -> None:
        """Control fronts there are; where that is sure, those neither told nor in the settings are gone.

        The settings' stay: one that knows only machines gone for good goes back to them.
        """
        peers = [host for host, _ in self.boot.peers]
        here = dict.fromkeys((*cores, *peers))
        turn = self.core if self.cores else ""
        kept = [core for core in self.cores if core in here or not sure]
        for core in here:
            if core not in kept and (len(kept) < CORES_MOST or core in peers):
                kept.insert(self.chance.randrange(len(kept) + 1), core)  # not all fronts go on to the same
        self.cores = kept
        # One that is gone stays in turn for nobody: the session it stands in ends by itself.
        self.at = kept.index(turn) if turn in kept else 0

    def pause_s(self) -> float:
        """Seconds until another control front is tried, longer after many vain tries."""
        # Guards against storms: hundreds of fronts that try drowned control fronts keep them drowned.
        low, high = AGAIN_S
        grown = min(AGAIN_MOST_S / high, 2.0 ** max(0, self.vain - QUICK))
        return self.chance.uniform(low, high) * grown

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
                if not isinstance(why, RefusedError):  # a refusal costs nobody anything
                    self.vain += 1
            self.stands = False
            self.at += 1
            await asyncio.sleep(self.pause_s())

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
        hurry, silent = self.vain < QUICK, False
        beside_s, within_s = (BESIDE_S, CONNECT_S) if hurry else (CONNECT_S, PATIENT_S)
        try:
            first = self.at
            for turn in range(len(self.cores)):
                core = self.cores[(first + turn) % len(self.cores)]
                dial = dialler.dial((core, self.boot.inner), DESK, within_s)
                tries[asyncio.ensure_future(dial)] = first + turn
                last = turn == len(self.cores) - 1
                while tries:
                    done, _ = await asyncio.wait(
                        tries, timeout=None if last else beside_s, return_when=asyncio.FIRST_COMPLETED
                    )
                    for task in done:
                        at = tries.pop(task)
                        if task.exception() is None:
                            self.at = at
                            return task.result()
                        silent = silent or isinstance(task.exception(), TimeoutError)
                    if not last or not done:
                        break
            raise TimeoutError if silent else RefusedError("no control front answers")
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
        began = fresh_at = asyncio.get_running_loop().time()
        while True:
            pull = {
                "t": "pull",
                "front": self.boot.name,
                "have": self.known.vector(),
                "reports": self.reports(),
            }
            await say(ws, pull)
            async with asyncio.timeout(NEWS_S):
                message = await ws.receive()
            news = word_of(message)
            if news is None:
                raise ConnectionResetError("the control front ended the session")
            if not self.stands:
                self.stands = True
                ring(300, core=self.core)
            self.learn_cores(news["cores"], news["fresh"])
            now = asyncio.get_running_loop().time()
            if now - began > CALM_S:
                self.vain = 0
            if self.known.take(now, news):
                self.changed()
            fresh_at = now if news["fresh"] else fresh_at
            if now - fresh_at > OLD_S and len(self.cores) > 1:
                raise ConnectionResetError("the control front has no primary")
