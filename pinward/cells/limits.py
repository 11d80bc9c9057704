"""What a cell and a customer may have open, and how fast; what is over is declined at once.

Each cell owns a part of the front's room. What it does not use is lent, but for a part that it always keeps;
as others' txns end, what was lent is its own again, and nobody borrows while its owner has nothing left.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

CUSTOMERS_MOST = 100_000  # whose rates are remembered; who was away longest is forgotten with a full burst
LEAST_AWAY_S = 0.05  # s that somebody declined stays away at the least: a round trip is no use
WANT_S = 2.0  # s that nobody borrows from a cell after it was turned away: its clients come back within
MOST_AWAY_S = 5.0  # s likewise at the most, where nothing says how long


class Bucket:
    """A rate with a burst."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst = rate, burst
        self.level, self.at = burst, now

    def fill(self, now: float) -> None:
        self.level = min(self.burst, self.level + max(0.0, now - self.at) * self.rate)
        self.at = max(self.at, now)

    def wait(self, now: float) -> float:
        """Seconds until one more may come; 0.0 where it may now."""
        self.fill(now)
        if self.level >= 1.0:
            return 0.0
        return (1.0 - self.level) / self.rate if self.rate > 0 else inf


@dataclass(frozen=True)
class Allowance:
    """What the settings give a customer or a cell; None: no limit."""

    most_open: int | None = None
    rate: float | None = None  # txns a second
    burst: float = 1.0


@dataclass
class Room:
    """What one cell has of the front's room."""

    owns: int
    keeps: int  # of that, never lent
    open: int = 0
    wants: bool = False  # it was turned away within its own part: all of that is kept for it

    @property
    def reserve(self) -> int:
        """What must stay free for it."""
        left = self.owns - self.open
        return max(0, left if self.wants else min(left, self.keeps))

    @property
    def borrowed(self) -> int:
        return max(0, self.open - self.owns)


class Limits:
    """The room of one front, dealt to cells; and the allowances of cells and customers."""

    def __init__(
        self, room: int, units: Mapping[str, int], now: float, kept: float = 0.25,
        cells: Mapping[str, Allowance] | None = None, customers: Mapping[str, Allowance] | None = None,
        usual: Allowance | None = None,
    ) -> None:  # fmt: skip
        self.room, self.kept = room, kept
        self.cell_allowances, self.allowances = dict(cells or {}), dict(customers or {})
        self.usual = usual or Allowance()
        self.rooms: dict[str, Room] = {}
        self.open = self.reserved = 0
        self.wanting: dict[str, float] = {}  # cells turned away within their own part, and until when
        self.customers_open: dict[str, int] = {}
        self.buckets: OrderedDict[tuple[str, str], Bucket] = OrderedDict()
        self.ended_at, self.pace_s = now, MOST_AWAY_S  # when one last ended, and about how far apart they end
        self.deal(units)

    def deal(self, units: Mapping[str, int]) -> None:
        """Deals the room to cells by their units; what is open stays open."""
        whole, before = sum(units.values()) or 1, self.rooms
        self.rooms = {}
        self.wanting.clear()
        for cell, size in units.items():
            owns = self.room * size // whole
            was = before.get(cell)
            self.rooms[cell] = Room(owns, int(owns * self.kept), was.open if was else 0)
        for cell, was in before.items():
            if cell not in self.rooms and was.open:
                self.rooms[cell] = Room(0, 0, was.open)
        self.reserved = sum(room.reserve for room in self.rooms.values())

    def admit(self, now: float, customer: str, cell: str) -> float:
        """0.0 where a txn may be taken, and is counted as open from now; else for how long to stay away."""
        room = self.rooms.get(cell)
        if room is None:
            return MOST_AWAY_S
        away = max(self.over(customer, cell, room), self.full(now, cell, room))
        if away:
            return away
        buckets = [b for b in (self.bucket(now, "customer", customer), self.bucket(now, "cell", cell)) if b]
        waits = max((bucket.wait(now) for bucket in buckets), default=0.0)
        if waits:
            return min(max(waits, LEAST_AWAY_S), MOST_AWAY_S)
        for bucket in buckets:
            bucket.level -= 1.0
        self.count(room, 1)
        self.customers_open[customer] = self.customers_open.get(customer, 0) + 1
        return 0.0

    def over(self, customer: str, cell: str, room: Room) -> float:
        """Seconds to stay away for having too much open, or 0.0."""
        most = self.allowances.get(customer, self.usual).most_open
        cell_most = self.cell_allowances.get(cell, Allowance()).most_open
        too_many = most is not None and self.customers_open.get(customer, 0) >= most
        too_many = too_many or (cell_most is not None and room.open >= cell_most)
        return self.soon() if too_many else 0.0

    def full(self, now: float, cell: str, room: Room) -> float:
        """Seconds to stay away where the front has no room for this cell, or 0.0."""
        while self.wanting and min(self.wanting.values()) <= now:
            self.want(min(self.wanting, key=self.wanting.__getitem__), None)
        if self.open >= self.room:
            if room.open < room.owns:
                self.want(cell, now + WANT_S)
            return self.soon()
        if room.open < room.owns:
            return 0.0
        return 0.0 if self.open + 1 + self.reserved <= self.room else self.soon()

    def want(self, cell: str, until: float | None) -> None:
        """A cell was turned away within its own part, or no more."""
        room = self.rooms[cell]
        self.reserved -= room.reserve
        room.wants = until is not None
        self.reserved += room.reserve
        if until is None:
            del self.wanting[cell]
        else:
            self.wanting[cell] = until

    def soon(self) -> float:
        """About when one of those that are open will have ended."""
        return min(max(2 * self.pace_s, LEAST_AWAY_S), MOST_AWAY_S)

    def count(self, room: Room, more: int) -> None:
        self.reserved -= room.reserve
        room.open += more
        self.open += more
        self.reserved += room.reserve

    def ended(self, now: float, customer: str, cell: str) -> None:
        """A txn that was admitted has its final answer."""
        self.count(self.rooms[cell], -1)
        left = self.customers_open[customer] - 1
        if left:
            self.customers_open[customer] = left
        else:
            del self.customers_open[customer]
        self.pace_s += 0.1 * (max(0.0, now - self.ended_at) - self.pace_s)
        self.ended_at = now

    def bucket(self, now: float, what: str, name: str) -> Bucket | None:
        told = self.allowances.get(name, self.usual) if what == "customer" else self.cell_allowances.get(name)
        if told is None or told.rate is None:
            return None
        bucket = self.buckets.get((what, name))
        if bucket is None:
            bucket = self.buckets[what, name] = Bucket(told.rate, max(1.0, told.burst), now)
            if len(self.buckets) > CUSTOMERS_MOST:
                self.buckets.popitem(last=False)
        else:
            self.buckets.move_to_end((what, name))
        return bucket
