"""The book of machines that each control front keeps, and of which each front holds a copy.

Every change carries its source, the source's life and a number: the control front that heard it first. A copy
tells by a vector of versions, one a source, what it has; `news` is what it lacks. Entries of one life are
merged by the machine's own count, so the order and the way in which news comes do not matter to them. What
matters is what a copy claims to hold: a vector goes on only from where the news starts, never over a gap. A
copy too far behind, for which changes are no longer kept, gets a snapshot.

What holds for each (source, life, number) of a book's vector: every change of that life up to the number is
held, or was superseded, or forgotten. A change that took its place is held, or not claimed yet. A life is
forgotten only once it is no longer up, long after. So of what a book forgets, a copy that is not behind holds
that it is not up, and forgets it by itself; one that is behind gets a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from math import inf
from typing import Any

from pinward.directory.entry import Entry, Standing, unknown

ENTRIES_MOST = 20_000  # lives held that have not left: tens of MB; more are not taken
LEFT_MOST = 20_000  # lives held that leave or left; of more the one longest unheard is forgotten
GONE_S = 60.0  # s that a life which ended is remembered: late beats of it come within seconds
HINT_S = 2.2  # s that what a disk told of a machine counts without a beat: each beats within two periods
SILENT_BEATS = 3.3  # beats missed until a machine counts as silent: two may be lost on the way
FORMER_MOST = 32  # last versions of sources' former lives remembered: a few restarts of each

Vector = dict[str, tuple[str, int]]


def vector_of(plain: dict[str, Any]) -> Vector:
    """A vector as JSON has it."""
    return {source: (life, number) for source, (life, number) in plain.items()}


def life_of(incarnation: int, token: str) -> str:
    """A life's name: of two lives of one source, the later compares higher; there are 65,535."""
    return f"{incarnation:04x}.{token}"


@dataclass
class Line:
    """An entry and where its news came from."""

    entry: Entry
    source: str
    life: str
    number: int
    heard: float  # by whichever control front
    beaten: float  # by this one


@dataclass(frozen=True)
class News:
    """What a copy lacks: changes from `base` to `vector`, or a snapshot where there is no base.

    A line is an entry in plain words, its source, the source's life, the number, and the seconds since a
    control front heard the machine. `floors` are the highest numbers of the sources that were forgotten.
    `partial` stands where a snapshot is due and its teller does not know all yet.
    """

    base: Vector | None
    vector: Vector
    lines: list[list[Any]]
    floors: dict[str, int] = field(default_factory=dict)
    partial: bool = False

    @property
    def empty(self) -> bool:
        """True where a copy that holds the base gains nothing by it."""
        base = self.base or {}
        return not self.lines and all(
            number <= base.get(source, ("", 0))[1] for source, (_, number) in self.vector.items()
        )

    def plain(self) -> dict[str, Any]:
        told = {"base": self.base, "vector": self.vector, "lines": self.lines}
        return {**told, "floors": self.floors, "partial": self.partial}

    @classmethod
    def of(cls, plain: dict[str, Any]) -> News:
        base = plain["base"]
        return cls(
            None if base is None else vector_of(base), vector_of(plain["vector"]), plain["lines"],
            plain["floors"], plain["partial"],
        )  # fmt: skip


class Book:
    """A control front's book; with no `own` it is a front's copy, which tells nobody and writes nothing."""

    def __init__(self, own: str, token: str, beat_s: float) -> None:
        self.own, self.token, self.beat_s = own, token, beat_s
        self.life = life_of(1, token)
        self.lines: dict[str, Line] = {}
        self.numbers: dict[str, dict[int, str]] = {}  # of each source: numbers of lines, rising, and iids
        self.floors: dict[str, int] = {}  # of each source: the highest number that was forgotten
        self.former: Vector = {}  # the last known of sources' former lives
        self.seen: Vector = {own: (self.life, 0)} if own else {}
        self.partial = False  # a front's copy: what it holds beyond its news is to be looked at again
        self.turn = 0  # rises with each change, from wherever
        self.departures = 0  # rises with each line of a machine that leaves or left
        self.left = 0  # lines of machines that leave or left

    # Lines.

    def put(self, line: Line) -> None:
        former = self.drop(line.entry.iid)
        if line.entry.leaves:
            self.left += 1
            self.departures += not (former and former.entry.same(line.entry))
            self.forget_left(line.entry.iid)
        self.lines[line.entry.iid] = line
        if self.own:
            self.numbers.setdefault(line.source, {})[line.number] = line.entry.iid
        self.turn += 1

    def take_out(self, iid: str) -> Line | None:
        line = self.lines.pop(iid, None)
        if line is not None and line.entry.leaves:
            self.left -= 1
        return line

    def drop(self, iid: str) -> Line | None:
        line = self.take_out(iid)
        if line is not None and self.own:
            del self.numbers[line.source][line.number]
        return line

    def forget_left(self, newest: str) -> None:
        """Keeps the lives that left bounded, without a word of the newest."""
        if self.left > LEFT_MOST:
            left = [line for iid, line in self.lines.items() if line.entry.leaves and iid != newest]
            self.forget(min(left, key=lambda line: line.heard).entry.iid)

    def forget(self, iid: str) -> None:
        """Drops a line for good; copies that may hold what it was before get a snapshot."""
        line = self.drop(iid)
        if line is not None:
            self.floors[line.source] = max(self.floors.get(line.source, 0), line.number)
            self.turn += 1

    def write(self, heard: float, entry: Entry, beaten: float = -inf) -> int:
        """A change of this control front's own."""
        number = self.seen[self.own][1] + 1
        self.seen[self.own] = (self.life, number)
        self.put(Line(entry, self.own, self.life, number, heard, beaten))
        return number

    def room(self) -> bool:
        """True where another life that has not left can be held: a silent one makes room.

        One that left makes none: its departure was acknowledged, and is remembered for its own time.
        """
        if len(self.lines) - self.left < ENTRIES_MOST:
            return True
        silent = [line for line in self.lines.values() if line.entry.standing is Standing.SILENT]
        if not silent:
            return False
        self.forget(min(silent, key=lambda line: line.heard).entry.iid)
        return True

    def silent_s(self) -> float:
        """Seconds without a beat after which a machine counts as silent."""
        return SILENT_BEATS * self.beat_s

    # What machines say.

    def beat(self, now: float, entry: Entry) -> int | None:
        """A machine's own call. Returns the number of the change it made, None where it changed nothing.

        A life that cannot be held is not in `lines` afterwards.
        """
        line = self.lines.get(entry.iid)
        if line is None and not (entry.leaves or self.room()):
            return None
        if line is not None and entry.calls >= line.entry.calls:
            line.heard = line.beaten = now
        if line is not None and not entry.newer(line.entry):
            return None
        if line is not None and entry.same(line.entry):
            line.entry = entry
            return None
        return self.write(now, entry, now)

    def leave(self, now: float, iid: str) -> int | None:
        """A machine says that it is gone.

        One that nobody knows is remembered too: its first beat may be on its way.
        """
        line = self.lines.get(iid)
        if line is None:
            return self.write(now, unknown(iid), now)
        if line.entry.standing is Standing.GONE:
            return None
        return self.write(now, replace(line.entry, standing=Standing.GONE), now)

    def restore(self, now: float, plain: list[list[Any]]) -> None:
        """Entries kept from an earlier life: a hint, silent within `HINT_S` but for those that beat again."""
        for entry in map(Entry.of, plain):
            if entry.iid not in self.lines and len(self.lines) - self.left < ENTRIES_MOST:
                self.write(now - max(0.0, self.silent_s() - HINT_S), entry)

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

    # Sources and their lives.

    def meet(self, vector: Vector) -> None:
        """Takes in which lives of sources there are; of this control front's own name none may be later."""
        for source, (life, _) in vector.items():
            held = self.seen.get(source)
            if held is None or life <= held[0]:
                continue
            if source == self.own:
                self.begin_anew(life)
            else:
                # What its former life told is told on by the numbers of this one.
                self.adopt(source)
                self.seen[source] = (life, 0)

    def begin_anew(self, life: str) -> None:
        """Takes a life later than `life`, an earlier one of this control front that others remember.

        Without it nobody would take what it says: numbers begin anew with a process.
        """
        self.remember(self.own)
        self.life = life_of(int(life.partition(".")[0], 16) + 1, self.token)
        self.seen[self.own] = (self.life, 0)
        self.rewrite(self.own)

    def remember(self, source: str) -> None:
        """Notes up to which version a source's life was known: a copy as far as that lacks none of it."""
        self.former.pop(source, None)
        self.former[source] = self.seen[source]
        while len(self.former) > FORMER_MOST:
            del self.former[next(iter(self.former))]
        self.floors.pop(source, None)

    def rewrite(self, source: str) -> None:
        """Gives what is held of a source numbers of this control front's own."""
        for iid in list(self.numbers.pop(source, {}).values()):
            line = self.lines[iid]
            self.take_out(iid)
            number = self.seen[self.own][1] + 1
            self.seen[self.own] = (self.life, number)
            self.put(Line(line.entry, self.own, self.life, number, line.heard, line.beaten))

    def adopt(self, source: str) -> None:
        """A source's life is over: what is held of it goes on under the own name."""
        self.remember(source)
        if self.own:
            self.rewrite(source)

    def retire(self, source: str) -> None:
        """A source is gone for good: nothing is kept by its name."""
        if source != self.own and source in self.seen:
            self.adopt(source)
            del self.seen[source]

    # News.

    def changes(self, now: float, have: Vector, sources: Iterable[str] | None = None) -> News:
        """What a copy with this vector has not, of all sources or some."""
        base: Vector = {}
        vector: Vector = {}
        lines = []
        for source in self.seen if sources is None else sources:
            life, number = self.seen[source]
            told = have.get(source)
            low = told[1] if told is not None and told[0] == life else 0
            vector[source] = (life, number)
            if low:
                base[source] = (life, low)
            if low >= number:
                continue
            for at, iid in reversed(self.numbers.get(source, {}).items()):
                if at <= low:
                    break
                line = self.lines[iid]
                ago = round(max(0.0, now - line.heard), 2)
                lines.append([line.entry.plain(), source, life, at, ago])
        floors = {source: self.floors[source] for source in vector if source in self.floors}
        return News(base, vector, lines, floors)

    def behind(self, have: Vector) -> bool:
        """True where a copy may hold what changes can no longer mend, since what ended it is forgotten."""
        for source, told in have.items():
            mine = self.seen.get(source)
            if (mine is None or mine[0] != told[0]) and self.former.get(source) != told:
                return True
        for source, (life, _) in self.seen.items():
            held = have.get(source)
            low = held[1] if held is not None and held[0] == life else 0
            if low < self.floors.get(source, 0):
                return True
        return not have

    def news(self, now: float, have: Vector, partial: bool = False, whole: bool = True) -> News | None:
        """What a front lacks: changes, or a snapshot where it is too far behind; None where nothing.

        Where this book is not `whole`, a copy takes the snapshot's lines and drops none, and is `partial`
        until it meets a whole one: one that has just begun knows few of the machines that there are.
        """
        self.meet(have)
        behind = self.behind(have)
        if (behind or partial) and (whole or not have):
            return replace(self.changes(now, {}), base=None, floors={})
        if behind:
            return replace(self.changes(now, {}), floors={}, partial=True)
        found = replace(self.changes(now, have), floors={})
        return found if found.lines else None

    def lacks(self, source: str, life: str, number: int) -> bool:
        """True where a source told more than is held here."""
        held = self.seen.get(source)
        if source == self.own or not number:
            return False
        return held is None or life > held[0] or (life == held[0] and number > held[1])

    def holds(self, source: str, life: str, number: int) -> bool:
        """True where changes of a source that start from there leave no gap here."""
        held = self.seen.get(source)
        if source == self.own or not number:
            return True
        return held is not None and (held[0] > life or (held[0] == life and held[1] >= number))

    def merge(self, now: float, news: News) -> list[Entry] | None:
        """Takes in news of another book; returns what changed. None, and nothing is taken, over a gap."""
        self.meet(news.vector)
        base = news.base if news.base is not None else {}
        if not all(self.holds(source, life, number) for source, (life, number) in base.items()):
            return None
        changed = []
        for plain, source, life, number, ago in sorted(news.lines, key=lambda line: line[3]):
            entry = Entry.of(plain)
            held = self.seen.get(source)
            told = news.vector.get(source)
            # What its source's number cannot tell on is told on by one of this book's own.
            counts = source != self.own and (held is None or (held[0] == life and held[1] < number))
            counts = counts and told is not None and told[0] == life and number <= told[1]
            if self.take(now, entry, Line(entry, source, life, number, now - ago, -inf), counts):
                changed.append(entry)
        for source, (life, number) in news.vector.items():
            held = self.seen.get(source)
            if source != self.own and (held is None or (held[0] == life and held[1] < number)):
                self.seen[source] = (life, number)
                if self.own and source in news.floors:
                    # A front below it is behind here too, though nothing of it was ever held here.
                    self.floors[source] = max(self.floors.get(source, 0), news.floors[source])
        if not self.own:
            changed += self.follow(news)
        return changed

    def take(self, now: float, entry: Entry, told: Line, counts: bool) -> bool:
        """Takes one line of news; `counts` where its number can be told on. True where requests see it."""
        line = self.lines.get(entry.iid)
        if line is not None and not entry.newer(line.entry):
            if counts and (line.source, line.life) == (told.source, told.life) and line.entry.same(entry):
                self.put(replace(line, number=told.number))
            elif self.own and line.entry.newer(entry) and not line.entry.same(entry):
                # A copy that took what is told here has no other reason to hear of what is held here.
                self.write(line.heard, line.entry, line.beaten)
            return False
        if line is None and not (entry.leaves or self.room()):
            if counts:
                self.floors[told.source] = max(self.floors.get(told.source, 0), told.number)
            return False
        if line is not None:
            told.heard, told.beaten = max(line.heard, told.heard), line.beaten
        same = line is not None and entry.same(line.entry)
        if not self.own or (counts and (same or not self.stale(now, told))):
            self.put(told)
        elif line is not None and same:
            line.entry, line.heard = entry, told.heard
        else:
            # A machine not heard for long is not up because one that was cut off thinks so.
            stale = self.stale(now, told)
            self.write(told.heard, replace(entry, standing=Standing.SILENT) if stale else entry, told.beaten)
        return not same

    def stale(self, now: float, line: Line) -> bool:
        return line.entry.standing is Standing.UP and now - line.heard > self.silent_s()

    def follow(self, news: News) -> list[Entry]:
        """A front's copy holds no more than what it pulls from: sources it does not know, lives it forgot."""
        self.partial = news.partial or (self.partial and news.base is not None)
        for source in [source for source in self.seen if source not in news.vector]:
            del self.seen[source]
        if news.base is not None:
            return []
        here = {line[0][0] for line in news.lines}
        dropped = []
        for iid, line in list(self.lines.items()):
            seen = news.vector.get(line.source)
            known = seen is None or seen[0] > line.life or (seen[0] == line.life and seen[1] >= line.number)
            if iid not in here and known:
                self.drop(iid)
                dropped.append(line.entry)
        return dropped

    # Time.

    def age(self, now: float) -> list[Entry]:
        """Marks machines that are silent too long, forgets those long gone; returns the newly silent."""
        silent = []
        for iid, line in list(self.lines.items()):
            quiet = now - line.heard
            if line.entry.standing is not Standing.UP:
                if quiet > GONE_S:
                    self.forget(iid)
            elif quiet > self.silent_s():
                entry = replace(line.entry, standing=Standing.SILENT)
                if self.own:
                    self.write(line.heard, entry, line.beaten)
                silent.append(entry)
        return silent

    def forget_ended(self, now: float) -> bool:
        """A front's copy: forgets lives not up and not heard for long, as `age` does; True for some."""
        old = [
            iid for iid, line in self.lines.items()
            if line.entry.standing is not Standing.UP and now - line.heard > GONE_S
        ]  # fmt: skip
        for iid in old:
            self.drop(iid)
        return bool(old)
