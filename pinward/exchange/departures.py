"""Machines that leave, on disk: what a 200 to a drain or a `DELETE` promises outlives every process.

No I/O here: `Departures` says when a write is due, what it holds and what it proves. A write holds all
departures known at its moment, so those of one moment cost one write. A server tells the others, as a vector
of versions, up to where the departures of each source are on its disk.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from time import time
from typing import Any

from pinward.directory.book import GONE_S, Book, Line, Vector
from pinward.directory.entry import Entry

REMEMBERED_LEAST_S = 10.0  # s that a departure read from disk counts, however old the file says that it is


@dataclass(frozen=True)
class Snapshot:
    """All departures known at one moment, to be written."""

    change: int  # the registry's count of departures
    vector: Vector  # up to where the registry had heard of each source
    body: bytes


class Departures:
    def __init__(self, book: Book) -> None:
        self.book = book
        self.change_on_disk = 0
        self.on_disk: Vector = {}

    @property
    def due(self) -> bool:
        """True where the disk lacks a departure."""
        return self.change_on_disk != self.book.departures

    @property
    def vector(self) -> Vector:
        """Up to where the departures of each source are on disk."""
        if not self.due:
            self.on_disk = dict(self.book.seen)  # what came since were no departures
        return self.on_disk

    def snapshot(self, now: float) -> Snapshot:
        lines = [
            [*line.entry.plain(), round(max(0.0, now - line.heard), 1)]
            for line in self.book.lines.values()
            if line.entry.leaves
        ]
        body = json.dumps({"lines": lines, "at": time()}, separators=(",", ":")).encode()
        return Snapshot(self.book.departures, dict(self.book.seen), body)

    def written(self, snapshot: Snapshot) -> None:
        """The disk holds a snapshot."""
        self.change_on_disk, self.on_disk = snapshot.change, snapshot.vector

    def restore(self, now: float, told: dict[str, Any]) -> None:
        """Takes in what the disk held at the start.

        By the time of day a departure is as old as it is, and it may be forgotten; a clock that was stepped
        forgets none at once.
        """
        off_s = max(0.0, time() - told["at"])
        for *plain, ago in told["lines"]:
            entry = Entry.of(plain)
            heard = now - min(ago + off_s, GONE_S - REMEMBERED_LEAST_S)
            if entry.iid not in self.book.lines:
                self.book.write(heard, entry)


def covers(vector: dict[str, Any], line: Line) -> bool:
    """True where a vector, as JSON has it or as the registry does, reaches a line's change."""
    life, number = vector.get(line.source, ("", 0))
    return bool(life == line.life and number >= line.number)
