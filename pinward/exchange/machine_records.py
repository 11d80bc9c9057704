"""Machines known, on disk: departures at once, and now and then a hint of those that are up.

After a loss of power the hint lets requests go through before all machines have beaten.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from time import time

from pinward.annunciator import ring
from pinward.directory.book import Book
from pinward.directory.entry import Standing
from pinward.exchange.departures import Departures, Snapshot
from pinward.exchange.storage import Storage
from pinward.tasks import Tasks
from pinward.trunk.link import packed

HINT_S = (1.5, 15.0)  # s between two writings of the hint, more with over a thousand machines
HINT_OLD_S = 30.0  # s by the time of day after which a hint tells of machines that others may have forgotten
DEPARTURES_S = 0.02  # s between two writes of departures: a release of many machines costs few
LARGE_BYTES = 200_000  # of departures, from which on the time between two writes grows: packing takes ms


class MachineRecords:
    def __init__(
        self,
        book: Book,
        departures: Departures,
        storage: Storage,
        tasks: Tasks,
        on_departures: Callable[[], None],
        now: float,
    ) -> None:
        """`on_departures` is called each time the disk holds more departures."""
        self.book, self.departures = book, departures
        self.storage, self.tasks, self.on_departures = storage, tasks, on_departures
        self.writing_departures = self.writing_hint = False
        self.hinted, self.hint_at = 0, now

    def restore(self, now: float) -> None:
        """Takes in what the disk held at the start.

        Departures come first: what left is not brought back by a hint of it as up. A hint left from long ago
        would bring back machines that all others have forgotten.
        """
        with contextlib.suppress(OSError, ValueError):
            self.departures.restore(now, self.storage.departures.read() or {"lines": [], "at": 0.0})
        with contextlib.suppress(OSError, ValueError):
            hint = self.storage.hint.read() or {"lines": [], "at": 0.0}
            if abs(time() - hint.get("at", 0.0)) < HINT_OLD_S:
                self.book.restore(now, hint["lines"])
            self.hinted = self.book.turn

    def keep_departures(self, now: Callable[[], float]) -> None:
        """Has departures that the disk lacks written, those of a moment together."""
        if self.departures.due and not self.writing_departures:
            self.writing_departures = True
            self.tasks.spawn(self.write_departures(now))

    async def write_departures(self, now: Callable[[], float]) -> None:
        def newest() -> tuple[Snapshot, bytes]:
            snapshot = self.departures.snapshot(now())
            return snapshot, snapshot.body

        try:
            while self.departures.due:
                vault = self.storage.departures
                snapshot = await self.storage.write_newest(vault, newest, "departures: ")
                self.departures.written(snapshot)
                self.on_departures()
                await asyncio.sleep(DEPARTURES_S * max(1.0, len(snapshot.body) / LARGE_BYTES))
        finally:
            self.writing_departures = False

    def keep_hint(self, now: float) -> None:
        """Has the hint written where machines changed and the last one is old enough."""
        if self.book.turn == self.hinted or now < self.hint_at:
            return
        # Guards against a processor busy with hints: ten thousand lives take tens of milliseconds.
        self.hint_at = now + min(HINT_S[1], max(HINT_S[0], HINT_S[0] * len(self.book.lines) / 1000))
        if not self.writing_hint:  # one that hangs holds up no others behind it
            self.hinted, self.writing_hint = self.book.turn, True
            self.tasks.spawn(self.write_hint())

    async def write_hint(self) -> None:
        # Those that ended would be remembered anew with each start, for as long as if they had just ended.
        lines = [
            line.entry.plain() for line in self.book.lines.values() if line.entry.standing is Standing.UP
        ]
        try:
            await self.storage.write(self.storage.hint, packed({"lines": lines, "at": time()}).encode())
        except OSError as why:
            ring(205, why=f"hint: {why}")
        finally:
            self.writing_hint = False
