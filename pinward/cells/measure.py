"""Placement at size, against theory; and what a txn's look-up costs as nodes, customers and cells grow."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from pinward.cells.atlas import Atlas, Chart
from pinward.cells.limits import Limits
from pinward.cells.placement import Machine, deal, rank, shared_by_chance, touched_by_chance
from pinward.terms import Kind

UNITS = 4  # of each cell
LOOKS = 20_000  # txns looked up for a figure
SAMPLED = 20  # bad customers drawn, whose reach is counted among all


def reach(cells: int, width: int, customers: int, seed: int) -> dict[str, Any]:
    """Which share of other customers one bad customer has all, or any, of its cells in common with."""
    units = {f"c{n}": UNITS for n in range(cells)}
    homes = [frozenset(rank(units, f"customer-{n}", seed, width)) for n in range(customers)]
    whole, part = 0, 0
    for bad in Random(seed).sample(homes, SAMPLED):
        whole += sum(home == bad for home in homes) - 1
        part += sum(bool(home & bad) for home in homes) - 1
    others = SAMPLED * (customers - 1)
    return {
        "cells": cells, "width": width, "whole": round(whole / others, 5),
        "whole_by_theory": round(shared_by_chance(cells, width), 5), "any": round(part / others, 4),
        "any_by_theory": round(touched_by_chance(cells, width), 4),
    }  # fmt: skip


def moved(cells: int, customers: int, nodes: int, seed: int) -> dict[str, Any]:
    """Customers and nodes that change cells when a node, a zone or a cell goes, and the least possible."""
    units = {f"c{n}": UNITS for n in range(cells)}
    homes = {f"customer-{n}": rank(units, f"customer-{n}", seed, 1)[0] for n in range(customers)}
    fewer = {cell: size for cell, size in units.items() if cell != "c0"}
    gone = [name for name, cell in homes.items() if rank(fewer, name, seed, 1)[0] != cell]
    machines = [Machine(f"n{n}", "abc"[n % 3]) for n in range(nodes)]
    dealt = deal(machines, units, {}, seed)

    def shifted(rest: list[Machine], left: dict[str, int]) -> int:
        again = deal(rest, left, dealt, seed)
        return sum(again[m.name] != dealt[m.name] for m in rest)

    return {
        "cells": cells, "customers": customers, "nodes": nodes,
        "a_cell_goes": {
            "customers": len(gone), "least_customers": sum(cell == "c0" for cell in homes.values()),
            "nodes": shifted(machines, fewer), "least_nodes": sum(cell == "c0" for cell in dealt.values()),
        },
        "a_node_goes": {"customers": 0, "nodes": shifted(machines[1:], units)},
        "a_zone_goes": {"customers": 0, "nodes": shifted([m for m in machines if m.zone != "a"], units)},
        "nodes_a_cell": [min(Counter(dealt.values()).values()), max(Counter(dealt.values()).values())],
    }  # fmt: skip


def cost(nodes: int, customers: int, cells: int, seed: int) -> float:
    """Seconds a txn: its homes, its admission and its end, with all customers met before."""
    units = {f"c{n}": UNITS for n in range(cells)}
    atlas = Atlas(Chart(1, cells=units, width=min(2, cells)))
    limits, chance = Limits(10_000, units, 0.0), Random(seed)
    names = [f"customer-{n}" for n in range(customers)]
    for name in names:
        atlas.home(name)
    for n in range(nodes):
        atlas.cell_of(f"n{n}")
    asked = [(chance.choice(names), f"k{n}", chance.random()) for n in range(LOOKS)]
    began = time.perf_counter()
    for customer, key, drawn in asked:
        home = atlas.homes(customer, Kind.REFERENCED, key, drawn)
        if not limits.admit(0.0, customer, home[0]):
            limits.ended(0.0, customer, home[0])
    return (time.perf_counter() - began) / LOOKS


def measure(customers: int, nodes: int, seed: int, told: Callable[[str], None]) -> dict[str, Any]:
    """All figures; times only as ratios to the smallest size of the same run."""
    found: dict[str, Any] = {"customers": customers, "nodes": nodes, "seed": seed, "reach": []}
    for cells, width in ((8, 1), (8, 2), (16, 2), (32, 3)):
        found["reach"].append(reach(cells, width, customers, seed))
        told(f"reach with {cells} cells, {width} a customer: {found['reach'][-1]}")
    found["moved"] = moved(16, customers, nodes, seed)
    told(f"moved: {found['moved']}")
    sizes = [(10, 10, 2), (100, 1000, 8), (nodes, customers, 32)]
    times = [min(cost(*size, seed) for _ in range(3)) for size in sizes]
    found["cost_ratio"] = [
        {"nodes": n, "customers": c, "cells": k, "times_the_smallest": round(t / times[0], 2)}
        for (n, c, k), t in zip(sizes, times, strict=True)
    ]
    told(f"cost a txn: {found['cost_ratio']}")
    return found
