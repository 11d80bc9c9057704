"""The book of machines that each control front keeps, and of which each front holds a copy.

Every change carries its source, the source's life and a number: the control front that heard it first. A copy
tells by a vector, one number a source, what it has; `lacking` is what it has not. Entries of one life are
merged by the machine's own count, so the order and the way in which news comes do not matter.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf
from typing import Any

from pinward.directory.entry import Entry, Standing

ENTRIES_MOST = 20_000  # lives held: tens of MB; more are not taken
GONE_S = 60.0  # s that a life which ended is remembered: late beats of it come within seconds
HINT_S = 2.2  # s that what a disk told of a machine counts without a beat: each beats within two periods
SILENT_BEATS = 3.3  # beats missed until a machine counts as silent: two may be lost on the way

Vector = dict[str, tuple[str, int]]


@dataclass
class Line:
    """An entry and where its news came from."""

    entry: Entry
    source: str
    life: str
    number: int
    heard: float  # by whichever control front
    beaten: float  # by this one


class Book:
    def __init__(self, own: str, life: str, beat_s: float) -> None:
        self.own, self.life, self.beat_s = own, life, beat_s
        self.lines: dict[str, Line] = {}
        self.seen: Vector = {own: (life, 0)}
        self.turn = 0  # rises with each change, from wherever

    def beat(self, now: float, entry: Entry) -> int | None:
        """A machine's own call. Returns the number of the change it made, None where it changed nothing."""
        line = self.lines.get(entry.iid)
        if line is None and len(self.lines) >= ENTRIES_MOST:
            return None
        if line is not None and entry.calls >= line.entry.calls:
            line.heard = line.beaten = now
        if line is not None and not entry.newer(line.entry):
            return None
        if line is not None and entry.same(line.entry):
            line.entry = entry
            return None
        return self.write(now, entry, now)

    def write(self, heard: float, entry: Entry, beaten: float = -inf) -> int:
        number = self.seen[self.own][1] + 1
        self.seen[self.own] = (self.life, number)
        self.lines[entry.iid] = Line(entry, self.own, self.life, number, heard, beaten)
        self.turn += 1
        return number

    def leave(self, now: float, iid: str) -> int | None:
        """A machine says that it is gone."""
        line = self.lines.get(iid)
        if line is None or line.entry.standing is Standing.GONE:
            return None
        return self.write(now, replace(line.entry, standing=Standing.GONE), now)

    def restore(self, now: float, plain: list[list[Any]]) -> None:
        """Entries kept from an earlier life: a hint, silent within `HINT_S` but for those that beat again."""
        for entry in map(Entry.of, plain):
            if entry.iid not in self.lines and len(self.lines) < ENTRIES_MOST:
                self.write(now - max(0.0, SILENT_BEATS * self.beat_s - HINT_S), entry)

    def number_of(self, iid: str) -> tuple[str, int] | None:
        """Source and number of what is held of a life."""
        line = self.lines.get(iid)
        return (line.source, line.number) if line else None

    def heard(self, now: float, beats: list[list[Any]]) -> None:
        """Another control front heard of these machines just now: lives and their counts of calls."""
        for iid, calls in beats:
            line = self.lines.get(iid)
            if line is None or calls <= line.entry.calls:
                continue
            line.heard = now
            line.entry = replace(line.entry, calls=calls)
            if line.entry.standing is Standing.SILENT:
                self.write(now, replace(line.entry, standing=Standing.UP), line.beaten)

    def lately(self, since: float) -> list[list[Any]]:
        """Machines that called this control front itself since then, with their counts of calls."""
        return [[iid, line.entry.calls] for iid, line in self.lines.items() if line.beaten >= since]

    def merge(self, now: float, source: str, vector: Vector, news: list[list[Any]]) -> list[Entry]:
        """News of another copy, with the vector that holds once it is taken; returns what changed."""
        changed = []
        for plain, origin, life, number in news:
            entry, line = Entry.of(plain), self.lines.get(plain[0])
            if not entry.newer(line.entry if line else None) or len(self.lines) >= ENTRIES_MOST:
                continue
            same = line is not None and entry.same(line.entry)
            beaten = line.beaten if line else -inf
            self.lines[entry.iid] = Line(entry, origin, life, number, now, beaten)
            self.turn += 1
            if not same:
                changed.append(entry)
        for origin, seen in vector.items():
            if origin == self.own and seen[0] == self.life:
                continue
            held = self.seen.get(origin)
            if held is None or held[0] != seen[0] or held[1] < seen[1]:
                self.seen[origin] = (seen[0], seen[1])
        return changed

    def lacking(self, have: Vector) -> list[list[Any]]:
        """What a copy with this vector has not, as plain words; all of it where a source began anew."""
        found = []
        for line in self.lines.values():
            held = have.get(line.source)
            if held is None or held[0] != line.life or held[1] < line.number:
                found.append([line.entry.plain(), line.source, line.life, line.number])
        return found

    def age(self, now: float) -> list[Entry]:
        """Marks machines that are silent too long, forgets those long gone; returns the newly silent."""
        silent = []
        for iid, line in list(self.lines.items()):
            quiet = now - line.heard
            if line.entry.standing is Standing.GONE and quiet > GONE_S:
                del self.lines[iid]
            elif line.entry.standing is not Standing.GONE and quiet > SILENT_BEATS * self.beat_s:
                if quiet > GONE_S:
                    del self.lines[iid]
                elif line.entry.standing is Standing.UP:
                    entry = replace(line.entry, standing=Standing.SILENT)
                    self.write(line.heard, entry, line.beaten)
                    silent.append(entry)
        return silent
