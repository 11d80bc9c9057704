"""The map of cells: versioned, checked whole, refused when older or inconsistent; what a front asks of it.

A map names cells with their units, nodes where they are dealt, customers where they do not follow the draw,
and moves under way. A customer that no map names is drawn; so is a node. `Atlas` is a front's view of one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from xxhash import xxh64

from pinward.cells.placement import UNITS_MOST, pick, rank
from pinward.terms import Kind

FORMAT = 1  # of the plain data; a map of a later one is refused, not guessed at
CELLS_MOST = 1024
NODES_MOST = 100_000
CUSTOMERS_MOST = 1_000_000
MOVES_MOST = 10_000  # under way at a time
CACHE_MOST = 100_000  # customers whose cells a front remembers


class MapError(ValueError):
    """A map is inconsistent, torn, of a later format, or older than the one in force."""


class Step(Enum):
    """Where the move of a customer stands, as fronts act on it."""

    WARM = "warm"  # a share of inquiry-like txns goes to the new home
    HOLD = "hold"  # referenced ones are declined until nobody sends them to the old home any more
    MOVED = "moved"  # all go to the new home


@dataclass(frozen=True)
class Move:
    """A customer on its way: from its old cells to its new ones."""

    old: tuple[str, ...]
    new: tuple[str, ...]
    step: Step
    share: float = 0.0  # of inquiry-like txns that go to the new home while it warms


@dataclass(frozen=True)
class Shift:
    """All customers that are drawn, on their way from what other cells and width drew for them."""

    cells: Mapping[str, int]
    width: int
    step: Step
    share: float = 0.0


@dataclass(frozen=True)
class Chart:
    """One version of the map. `epoch` is of the leadership that signed it off, 0 where there is none."""

    version: int
    epoch: int = 0
    seed: int = 0
    width: int = 1
    cells: Mapping[str, int] = field(default_factory=dict)  # units by name; 0: takes nobody new
    nodes: Mapping[str, str] = field(default_factory=dict)
    homes: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    apart: tuple[frozenset[str], ...] = ()  # customers that must never share a cell
    moves: Mapping[str, Move] = field(default_factory=dict)
    shift: Shift | None = None

    def check(self) -> None:
        """Raises MapError with the first thing that does not fit."""
        if not self.cells or not any(self.cells.values()):
            raise MapError("no cell takes customers")
        if len(self.cells) > CELLS_MOST or sum(self.cells.values()) > UNITS_MOST:
            raise MapError("too many cells, or units of them")
        if len(self.nodes) > NODES_MOST or len(self.homes) > CUSTOMERS_MOST or len(self.moves) > MOVES_MOST:
            raise MapError("too many nodes, customers or moves")
        if not 1 <= self.width <= len(self.cells):
            raise MapError(f"a customer has 1 to {len(self.cells)} cells, not {self.width}")
        for node, cell in self.nodes.items():
            if cell not in self.cells:
                raise MapError(f"node {node} is in {cell}, which is no cell")
        for customer, home in self.homes.items():
            self.check_home(customer, home)
        for customer, move in self.moves.items():
            self.check_home(customer, move.old)
            self.check_home(customer, move.new)
            if set(move.old) == set(move.new):
                raise MapError(f"customer {customer} moves to where it is")
            if not 0.0 <= move.share <= 1.0:
                raise MapError(f"customer {customer}: a share is from 0 to 1")
        if self.shift is not None and not set(self.shift.cells) <= set(self.cells):
            raise MapError("a cell goes while customers are drawn from it; leave it with 0 units until then")
        for group in self.apart:
            self.check_apart(group)

    def check_home(self, customer: str, home: tuple[str, ...]) -> None:
        if not home or len(home) != len(set(home)):
            raise MapError(f"customer {customer}: no home, or a cell twice")
        for cell in home:
            if cell not in self.cells:
                raise MapError(f"customer {customer} is in {cell}, which is no cell")

    def check_apart(self, group: frozenset[str]) -> None:
        taken: dict[str, str] = {}
        for customer in sorted(group):
            move = self.move(customer)
            cells = set(move.old) | set(move.new) if move else set(self.home(customer))
            for cell in cells:
                if taken.setdefault(cell, customer) != customer:
                    raise MapError(f"{taken[cell]} and {customer} must never share a cell, and share {cell}")

    def home(self, customer: str) -> tuple[str, ...]:
        """The cells of a customer that does not move: told, or drawn."""
        return self.homes.get(customer) or rank(self.cells, customer, self.seed, self.width)

    def move(self, customer: str) -> Move | None:
        """The move that a customer is on, by itself or with all that are drawn."""
        shift = self.shift
        if customer in self.moves or customer in self.homes or shift is None:
            return self.moves.get(customer)
        old, new = rank(shift.cells, customer, self.seed, shift.width), self.home(customer)
        return None if set(old) == set(new) else Move(old, new, shift.step, shift.share)

    def cell_of(self, node: str) -> str:
        """The cell of a node: dealt, or, until a map names it, drawn."""
        return self.nodes.get(node) or rank(self.cells, node, self.seed ^ 2, 1)[0]

    def follows(self, before: Chart) -> None:
        """Raises MapError where a front that has `before` must not go over to this one."""
        if (self.epoch, self.version) <= (before.epoch, before.version) or self.version < before.version:
            raise MapError(f"older than the map in force: {self.version} after {before.version}")
        if self.seed != before.seed:
            raise MapError("another seed would move every customer at once")
        for customer in {*self.moves, *before.moves, *self.homes, *before.homes}:
            self.follows_for(before, customer)
        was, now = before.drawn_from(), self.drawn_from()
        if was is not None and now is not None and was != now:
            raise MapError("customers that are drawn would change homes without a hold")

    def drawn_from(self) -> tuple[dict[str, int], int] | None:
        """What draws the referenced txns of customers that no map names; None while they are held."""
        shift = self.shift
        if shift is not None and shift.step is Step.HOLD:
            return None
        source = shift if shift is not None and shift.step is Step.WARM else self
        return {cell: units for cell, units in source.cells.items() if units}, source.width

    def follows_for(self, before: Chart, customer: str) -> None:
        """The referenced txns of a customer never go from one home to another without a hold between."""
        was, now = before.referenced_home(customer), self.referenced_home(customer)
        if was is not None and now is not None and set(was) != set(now):
            raise MapError(f"customer {customer} would change homes without a hold")

    def referenced_home(self, customer: str) -> tuple[str, ...] | None:
        """Where referenced txns go; None while they are held."""
        move = self.move(customer)
        if move is None:
            return self.home(customer)
        return {Step.WARM: move.old, Step.HOLD: None, Step.MOVED: move.new}[move.step]

    # Plain data.

    def plain(self) -> dict[str, Any]:
        body = {
            "format": FORMAT, "version": self.version, "epoch": self.epoch, "seed": self.seed,
            "width": self.width, "cells": dict(self.cells), "nodes": dict(self.nodes),
            "homes": {name: list(home) for name, home in self.homes.items()},
            "apart": [sorted(group) for group in self.apart],
            "moves": {
                name: [list(m.old), list(m.new), m.step.value, m.share] for name, m in self.moves.items()
            },
            "shift": self.shift and [
                dict(self.shift.cells), self.shift.width, self.shift.step.value, self.shift.share,
            ],
        }  # fmt: skip
        return {**body, "sum": checksum(body)}

    @staticmethod
    def of(plain: Any) -> Chart:
        """From plain data, checked whole; raises MapError."""
        if not isinstance(plain, dict):
            raise MapError("no map")
        if plain.get("format") != FORMAT:
            raise MapError(f"a map of format {plain.get('format')!r}, this program reads {FORMAT}")
        body = {name: value for name, value in plain.items() if name != "sum"}
        if checksum(body) != plain.get("sum"):
            raise MapError("torn or changed: its checksum is wrong")
        try:
            moves = {
                name: Move(tuple(old), tuple(new), Step(step), share)
                for name, (old, new, step, share) in plain["moves"].items()
            }
            shift = None
            if plain["shift"] is not None:
                cells, width, step, share = plain["shift"]
                shift = Shift(cells, width, Step(step), share)
            made = Chart(
                plain["version"], plain["epoch"], plain["seed"], plain["width"], plain["cells"],
                plain["nodes"], {name: tuple(home) for name, home in plain["homes"].items()},
                tuple(frozenset(group) for group in plain["apart"]), moves, shift,
            )  # fmt: skip
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise MapError(f"no map: {fault!r}") from None
        numbers = (made.version, made.epoch, made.seed, made.width, *made.cells.values())
        if any(type(number) is not int or number < 0 for number in numbers):
            raise MapError("versions, seeds and units are whole numbers")
        made.check()
        return made


def checksum(body: dict[str, Any]) -> str:
    """Of plain data, whatever the order of its names."""
    return xxh64(repr(sorted(flat(body))).encode()).hexdigest()


def flat(value: Any, path: str = "") -> list[tuple[str, str]]:
    if isinstance(value, dict):
        return [pair for name in value for pair in flat(value[name], f"{path}.{name}")] or [(path, "{}")]
    if isinstance(value, list):
        return [pair for n, item in enumerate(value) for pair in flat(item, f"{path}[{n}]")] or [(path, "[]")]
    return [(path, repr(value))]


class Atlas:
    """A front's view of the map: flat work a txn, whatever the number of nodes, customers and cells."""

    def __init__(self, chart: Chart) -> None:
        chart.check()
        self.chart = chart
        self.drawn: OrderedDict[str, tuple[str, ...]] = OrderedDict()
        self.shifted: dict[str, Move | None] = {}  # while those that are drawn shift
        self.cells: dict[str, str] = {}  # of nodes met

    def take(self, chart: Chart) -> None:
        """Goes over to another map; raises MapError where it may not, and stays with the one in force."""
        chart.check()
        chart.follows(self.chart)
        if (chart.cells, chart.width) != (self.chart.cells, self.chart.width):
            self.drawn.clear()
        self.chart = chart
        self.shifted.clear()
        self.cells.clear()

    def cell_of(self, node: str) -> str:
        cell = self.cells.get(node)
        if cell is None:
            if len(self.cells) >= NODES_MOST:
                self.cells.clear()
            cell = self.cells[node] = self.chart.cell_of(node)
        return cell

    def home(self, customer: str) -> tuple[str, ...]:
        told = self.chart.homes.get(customer)
        if told is not None:
            return told
        drawn = self.drawn.get(customer)
        if drawn is None:
            drawn = self.drawn[customer] = self.chart.home(customer)
            if len(self.drawn) > CACHE_MOST:
                self.drawn.popitem(last=False)
        else:
            self.drawn.move_to_end(customer)
        return drawn

    def move(self, customer: str) -> Move | None:
        if self.chart.shift is None:
            return self.chart.moves.get(customer)
        if customer not in self.shifted:
            if len(self.shifted) >= CACHE_MOST:
                self.shifted.clear()
            self.shifted[customer] = self.chart.move(customer)
        return self.shifted[customer]

    def homes(
        self, customer: str, kind: Kind, key: str | None, drawn: float, repeat: bool = False
    ) -> tuple[str, ...]:
        """The cells that a txn may use now, none where it is held back from both homes and to be declined.

        `drawn` is a number of the front's chance, 0 to 1; `repeat` is true where the client marked a repeat.
        """
        move = self.move(customer)
        if move is None:
            home = self.home(customer)
        elif move.step is Step.MOVED:
            home = move.new
        elif kind is Kind.REFERENCED and move.step is Step.HOLD:
            return move.old if repeat else ()  # a marked repeat finds its mark at the old home alone
        elif kind is Kind.INQUIRY_LIKE and drawn < move.share:
            home = move.new
        else:
            home = move.old
        if kind is Kind.REFERENCED and key is not None:
            return (pick(home, key, self.chart.seed),)
        return home


def changed(chart: Chart, **more: Any) -> Chart:
    """The next version of a map."""
    return replace(chart, version=chart.version + 1, **more)
