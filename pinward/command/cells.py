"""`pinward cells`: shows and checks maps of cells, plans who goes where, and measures placement."""

from __future__ import annotations

import csv
import sys
from collections import Counter
from pathlib import Path

import click
import orjson

from pinward.cells.atlas import Chart, MapError
from pinward.cells.door import read_map
from pinward.cells.placement import Machine, deal, spread_load, units_of
from pinward.command.shown import INTO, JSON, NotHeldError, keep, rig

MAP = click.argument("map_file", metavar="MAP", type=click.Path(path_type=Path))


def opened(path: Path) -> Chart:
    try:
        return read_map(path)
    except MapError as fault:
        raise click.ClickException(str(fault)) from None


def table_of(path: Path, columns: tuple[str, ...]) -> list[dict[str, str]]:
    """The rows of a CSV file that must have these columns."""
    try:
        with path.open(newline="") as file:
            rows = list(csv.DictReader(file))
    except (OSError, UnicodeDecodeError, csv.Error) as fault:
        raise click.ClickException(f"{path}: cannot be read: {fault}") from None
    for number, row in enumerate(rows, 2):
        lacking = [name for name in columns if not row.get(name)]
        if lacking:
            raise click.ClickException(f"{path}:{number}: {lacking[0]}: missing")
    return rows


def number_of(path: Path, line: int, row: dict[str, str], name: str) -> float:
    try:
        number = float(row[name])
        if not 0.0 <= number < float("inf"):
            raise ValueError
        return number
    except ValueError:
        raise click.ClickException(f"{path}:{line}: {name}: must be a number, not {row[name]!r}") from None


@click.group()
def cells() -> None:
    """Customers confined to parts of the fleet."""


@cells.command()
@MAP
def check(map_file: Path) -> None:
    """Checks a map whole; exit 2 with what is wrong."""
    chart = opened(map_file)
    counts = f"{len(chart.cells)} cells, {len(chart.moves)} moves"
    click.echo(f"{map_file}: right; version {chart.version}, {counts}")


@cells.command()
@MAP
@JSON
def show(map_file: Path, as_json: bool) -> None:
    """Shows the cells of a map, with their nodes, named customers and moves."""
    chart = opened(map_file)
    nodes, homes = Counter(chart.nodes.values()), Counter(c for home in chart.homes.values() for c in home)
    comes = Counter(cell for move in chart.moves.values() for cell in move.new)
    rows = [
        {"cell": c, "units": u, "nodes": nodes[c], "named_customers": homes[c], "coming": comes[c]}
        for c, u in chart.cells.items()
    ]
    if as_json:
        told = {"version": chart.version, "epoch": chart.epoch, "width": chart.width, "cells": rows}
        click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode())
        return
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"version {chart.version}, {chart.width} cells a customer")
    for name in rows[0]:
        table.add_column(name.replace("_", " "), justify="left" if name == "cell" else "right")
    for row in rows:
        table.add_row(*map(str, row.values()))
    Console().print(table)


@cells.command()
@click.option("--cells", "cells_file", type=click.Path(path_type=Path), required=True, help="cell,capacity")
@click.option("--nodes", "nodes_file", type=click.Path(path_type=Path), help="node,zone")
@click.option("--loads", "loads_file", type=click.Path(path_type=Path), help="customer,load")
@click.option("--width", type=click.IntRange(1, 64), default=1, show_default=True, help="cells a customer")
@click.option("--slack", type=click.FloatRange(0.0), default=0.25, show_default=True, help="over its part")
@click.option("--seed", type=click.IntRange(0), default=0, show_default=True)
@click.option("--write", type=click.Path(path_type=Path), help="write the first map there; never over one")
def plan(
    cells_file: Path, nodes_file: Path | None, loads_file: Path | None, width: int, slack: float, seed: int,
    write: Path | None,
) -> None:  # fmt: skip
    """Plans a first map from CSV files: deals nodes, spreads told loads, prints what results, then writes.

    \b
    Example: pinward cells plan --cells cells.csv --nodes nodes.csv --loads loads.csv --write map.json
    """
    sized = table_of(cells_file, ("cell", "capacity"))
    units = units_of({r["cell"]: number_of(cells_file, n, r, "capacity") for n, r in enumerate(sized, 2)})
    listed = table_of(nodes_file, ("node", "zone")) if nodes_file else []
    machines = [Machine(row["node"], row["zone"]) for row in listed]
    told = table_of(loads_file, ("customer", "load")) if loads_file else []
    source = loads_file or Path()
    loads = {r["customer"]: number_of(source, n, r, "load") for n, r in enumerate(told, 2)}
    homes, large = spread_load(loads, units, seed, width, slack) if loads else ({}, [])
    chart = Chart(1, seed=seed, width=width, cells=units, nodes=deal(machines, units, {}, seed), homes=homes)
    try:
        chart.check()
    except MapError as fault:
        raise NotHeldError(str(fault)) from None
    used = dict.fromkeys(units, 0.0)
    for name, load in loads.items():
        home = chart.home(name)
        for cell in home:
            used[cell] += load / len(home)
    whole = sum(loads.values()) or 1.0
    dealt = Counter(chart.nodes.values())
    for cell, size in units.items():
        click.echo(f"{cell}: {size} units, {dealt[cell]} nodes, {used[cell] / whole:.1%} of the told load")
    for name in large:
        click.echo(f"{name}: larger than {width} cells, spread over {len(chart.home(name))}")
    if write:
        if write.exists():
            raise NotHeldError(f"{write}: is there already; maps in force change by moves")
        write.write_bytes(orjson.dumps(chart.plain(), option=orjson.OPT_INDENT_2))
        click.echo(f"{write}: written, version 1")


@cells.command()
@click.option("--customers", type=click.IntRange(100, 1_000_000), default=100_000, show_default=True)
@click.option("--nodes", type=click.IntRange(10, 100_000), default=2000, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@INTO
def measure(customers: int, nodes: int, seed: int, into: Path | None) -> None:
    """Measures placement at size against theory, and the cost of a look-up as sizes grow."""
    from pinward.cells.measure import measure as figures

    keep(figures(customers, nodes, seed, click.echo), into)


@cells.command()
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True)
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="the first seed")
@click.option("--seconds", type=click.FloatRange(1.0), default=8.0, show_default=True, help="of each play")
@INTO
def trial(seeds: int, first: int, seconds: float, into: Path | None) -> int:
    """Plants a bad customer before real fronts on loopback, with cells and without, and counts its harm."""
    figures = rig("cells_trial").play_all(range(first, first + seeds), seconds, sys.stderr)
    keep(figures, into)
    for name, value in figures.items():
        if name != "runs":
            click.echo(f"{name.replace('_', ' ')}: {value}")
    return 1 if figures["without_an_answer"] or figures["effects_twice"] else 0
