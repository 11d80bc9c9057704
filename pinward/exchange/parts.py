"""What the parts of a control front share: its state machines, and how they are woken and carried out."""

from __future__ import annotations

import asyncio
import os
from abc import ABC, abstractmethod
from math import inf
from typing import Any

from pinward.directory.book import Book, Line
from pinward.exchange.departures import Departures, covers
from pinward.exchange.keeper import Keeper, Kept
from pinward.plan.boot import Boot
from pinward.trial.order import Order, digest_of
from pinward.trial.tally import Tally
from pinward.trunk.link import Link

PLAN, ROLL = "plan", "roll:"  # keys of the control state
TICK_S = 0.05  # s between looks at the clock


class Parts(ABC):
    """State machines of one control front, and the links to the others. `host.Exchange` has them at work."""

    def __init__(self, boot: Boot, kept: Kept, now: float, life: str = "") -> None:
        self.boot, self.own, self.life = boot, boot.ip, life or os.urandom(6).hex()
        self.keeper = Keeper(self.own, kept, boot.tolerance, self.life, now)
        self.keeper.locate(now, self.own, boot.locality)
        self.book = Book(self.own, self.life, boot.beat_s)
        self.tally = Tally(boot.bounds)
        self.links: dict[str, Link] = {}
        self.departures = Departures(self.book)
        # Up to where each other control front's disk holds departures, as it says: a vector of versions.
        self.disk_vectors: dict[str, dict[str, Any]] = {}
        self.in_touch_at = now  # when this machine last knew of a primary; a start counts
        self.whole_at = inf  # from when on the book tells of all machines that there are
        self.digested = ("", "")  # of what is committed, and of the orders in it
        self.turned = asyncio.Event()  # set, and replaced, at each change that fronts are told
        self.held = asyncio.Event()  # set, and replaced, when some disk holds more departures

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    def turn(self) -> None:
        self.turned.set()
        self.turned = asyncio.Event()

    def turn_held(self) -> None:
        self.held.set()
        self.held = asyncio.Event()

    def orders_digest(self) -> str:
        """The digest of `orders`, worked out anew where something was committed since."""
        committed = self.keeper.committed.digest
        if self.digested[0] != committed:
            self.digested = (committed, digest_of(self.orders()))
        return self.digested[1]

    def orders(self) -> list[Order]:
        """The roll-outs that a view has acknowledged."""
        return [Order.of(item[2]) for key, item in self.keeper.public.items() if key.startswith(ROLL)]

    def held_order(self, service: str) -> Order | None:
        """The last order or record of a service, also one that is being written."""
        item = self.keeper.kept.items.get(ROLL + service)
        return Order.of(item[2]) if item is not None else None

    def outlasts_losses(self, line: Line) -> bool:
        """True where a departure is known to be on disks of which one outlasts what may be lost."""
        vectors = {self.own: self.departures.vector, **self.disk_vectors}
        holders = [server for server, vector in vectors.items() if covers(vector, line)]
        return self.keeper.tolerance.keeps_a_copy(holders, self.keeper.kept.localities)

    @abstractmethod
    def carry(self) -> None:
        """Carries out what the keeper put into `out`."""

    @abstractmethod
    def send(self, peer: str, word: dict[str, Any]) -> None:
        """A word to another control front, lost where its link does not stand."""

    @abstractmethod
    def spread(self) -> None:
        """Tells control fronts and fronts what is new in the book."""
