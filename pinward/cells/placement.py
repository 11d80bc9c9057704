"""Which cells a customer or a key belongs to, and which nodes are a cell's: by rendezvous, in whole numbers.

A cell has units, as many as its capacity is a multiple of the least. Each unit draws a number for a customer
from a hash of both; the cells of the highest numbers are the customer's. When a cell goes, only its customers
move; when one comes, only those that it wins. Whole numbers alone are compared, so every front, on whatever
machine, finds the same.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from fractions import Fraction
from math import comb

from xxhash import xxh64

UNITS_MOST = 4096  # of all cells together: a customer's first txn costs so many hashes


def draw(text: str, seed: int) -> int:
    """A number of 64 bits, the same everywhere and always."""
    return xxh64(text.encode(), seed).intdigest()


def rank(cells: Mapping[str, int], name: str, seed: int, width: int) -> tuple[str, ...]:
    """The `width` cells of a name, the first drawn first; fewer where there are fewer cells.

    `cells` are units by name. Raises ValueError where they are too many.
    """
    if sum(cells.values()) > UNITS_MOST:
        raise ValueError(f"more than {UNITS_MOST} units of cells")
    drawn = []
    for cell, units in cells.items():
        draws = (draw(f"{cell}\0{unit}\0{name}", seed) for unit in range(units))
        best = max(draws, default=-1)
        if best >= 0:
            drawn.append((best, cell))
    drawn.sort(reverse=True)
    return tuple(cell for _, cell in drawn[:width])


def pick(cells: Sequence[str], key: str, seed: int) -> str:
    """The one cell among a customer's that a key belongs to."""
    if len(cells) == 1:
        return cells[0]
    return max(cells, key=lambda cell: (draw(f"{cell}\0{key}", seed ^ 1), cell))


def units_of(capacity: Mapping[str, float], most: int = 64) -> dict[str, int]:
    """Units by told capacity: the least has one, or what keeps the greatest at `most`."""
    if not capacity:
        return {}
    top, least = max(capacity.values()), min(c for c in capacity.values() if c > 0)
    unit = max(least, top / most)
    return {cell: max(1, round(size / unit)) if size > 0 else 0 for cell, size in capacity.items()}


def shared_by_chance(cells: int, width: int) -> float:
    """The chance that two customers have all their cells in common: what one bad customer reaches whole."""
    return 1 / comb(cells, width) if 0 < width <= cells else 0.0


def touched_by_chance(cells: int, width: int) -> float:
    """The chance that two customers have any cell in common."""
    if width > cells:
        return 1.0
    return 1 - comb(cells - width, width) / comb(cells, width) if 2 * width <= cells else 1.0


@dataclass(frozen=True)
class Machine:
    """A node as placement sees it."""

    name: str
    zone: str


def deal(
    machines: Iterable[Machine], cells: Mapping[str, int], before: Mapping[str, str], seed: int = 0
) -> dict[str, str]:
    """Deals nodes to cells, zone by zone, in proportion to the cells' units; who is well placed stays.

    `before` is the former dealing. Each cell gets nodes of every zone as far as there are enough of them.
    """
    rooms = {cell: units for cell, units in cells.items() if units > 0}
    if not rooms:
        return {}
    zones: dict[str, list[Machine]] = {}
    for machine in sorted(machines, key=lambda m: draw(m.name, seed)):
        zones.setdefault(machine.zone, []).append(machine)
    whole = Fraction(sum(rooms.values()))
    dealt: dict[str, str] = {}
    held: Counter[str] = Counter()  # nodes a cell over all zones, so that odd ones even out
    for zone in sorted(zones):
        here = zones[zone]
        due = {cell: Fraction(units) * len(here) / whole for cell, units in rooms.items()}
        has: Counter[str] = Counter()
        left = []
        for machine in here:
            cell = before.get(machine.name, "")
            if cell in due and has[cell] + 1 <= -(-due[cell] // 1):  # at most its due, rounded up
                has[cell] += 1
                dealt[machine.name] = cell
            else:
                left.append(machine)
        for machine in left:
            cell = max(due, key=lambda c: (due[c] - has[c], -held[c], c))
            has[cell] += 1
            dealt[machine.name] = cell
        even_out(here, due, has, dealt)
        held.update(has)
    return dealt


def even_out(
    here: Sequence[Machine], due: Mapping[str, Fraction], has: Counter[str], dealt: dict[str, str]
) -> None:
    """Moves nodes one by one, until no cell lacks one of its due while another has one beyond it."""
    for _ in range(len(here)):
        short = max(due, key=lambda cell: (due[cell] - has[cell], cell))
        rich = min(due, key=lambda cell: (due[cell] - has[cell], cell))
        if due[short] - has[short] < 1 and due[rich] - has[rich] > -1:
            return
        machine = next(m for m in here if dealt[m.name] == rich)
        dealt[machine.name] = short
        has[rich] -= 1
        has[short] += 1


def spread_load(
    loads: Mapping[str, float], cells: Mapping[str, int], seed: int, width: int, slack: float
) -> tuple[dict[str, tuple[str, ...]], list[str]]:
    """Homes for customers whose load is told, none of the cells more than `slack` over its part.

    Returns the homes that differ from the drawn ones, and the customers too large for `width` cells, which
    are spread over as many as they need. Customers are placed largest first, each in the first of its drawn
    order that has room.
    """
    total, units = sum(loads.values()), sum(cells.values())
    room = {cell: (1 + slack) * total * u / units for cell, u in cells.items()}
    homes: dict[str, tuple[str, ...]] = {}
    large = []
    for name in sorted(loads, key=lambda n: (-loads[n], n)):
        order = rank(cells, name, seed, len(cells))
        wide = width
        while True:
            part = loads[name] / wide
            fits = [cell for cell in order if room[cell] >= part - 1e-9]
            if len(fits) >= wide or wide >= len(order):
                break
            wide += 1
        if wide > width:
            large.append(name)
        chosen = tuple(fits[:wide]) if len(fits) >= wide else order
        for cell in chosen:
            room[cell] -= loads[name] / len(chosen)
        if chosen != order[:width]:
            homes[name] = chosen
    return homes, large
