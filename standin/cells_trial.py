"""A planted bad customer, with cells and without, side by side: what it does to customers of other cells.

Real fronts on sockets before a loopback fleet. Each plant is played three times in one run: nobody bad with
cells, the bad one with cells, the bad one without. Counted are txns without a final answer, effects twice,
and the share settled in time of the customers that live in other cells.
"""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TextIO
from unittest import mock

from pinward.cells.atlas import Chart
from standin.fleet import Clients, Fleet, Load
from standin.processes import ROOT, Process

CELLS, NODES_A_CELL, CUSTOMERS_A_CELL, FRONTS = 3, 2, 2, 2
WORK_S, PER_S = 0.04, 16.0  # a txn's work; txns a second of a customer: a third of what its cell can do
SLA_S, TIMEOUT_S, MEMORY_S = 0.8, 1.2, 4.0
PLANTS = {
    "traffic": Load("t0-0", 10 * PER_S),
    "crash": Load("t0-0", PER_S, "crash"),
    "slow": Load("t0-0", PER_S, "slow"),
}  # fmt: skip
READY_S = 10.0


def customers() -> dict[str, str]:
    """Customers and their cells."""
    return {f"t{cell}-{n}": f"c{cell}" for cell in range(CELLS) for n in range(CUSTOMERS_A_CELL)}


def chart() -> Chart:
    nodes = {f"n{cell}-{n}": f"c{cell}" for cell in range(CELLS) for n in range(NODES_A_CELL)}
    homes = {name: (cell,) for name, cell in customers().items()}
    return Chart(1, cells={f"c{n}": 1 for n in range(CELLS)}, nodes=nodes, homes=homes)


def write_front(folder: Path, fleet: Fleet, number: int, seed: int) -> dict[str, str]:
    """A front's configuration; its environment."""
    told = json.loads((ROOT / "example/config.json").read_text())
    facts = told["settings"]
    told.update(
        name=f"f{number}", listen=f"{fleet.net}.2.{1 + number}:9000", seed=f"{seed * 16 + number:x}",
        discovery=f"{fleet.discovery[0]}:{fleet.discovery[1]}",
        platform={"address": f"{fleet.platform[0]}:{fleet.platform[1]}", "news": None},
    )  # fmt: skip
    facts.update(fleetSize=FRONTS, slotNo=number)
    share = 1 / len(customers())
    facts["projects"] = [{"name": name, "fraction": share, "quotaRps": PER_S} for name in customers()]
    for lane in facts["lanes"]:
        lane.update(aimS=SLA_S, giveUpS=TIMEOUT_S)
        if lane["name"] == "booking":
            lane.update(group="cell", memorySpanS=MEMORY_S)
    path = folder / f"f{number}.json"
    path.write_text(json.dumps(told))
    return {"ROUTER_CONFIG": str(path)}


async def play(loads: list[Load], cells: bool, seed: int, seconds: float, net: str) -> dict[str, Any]:
    """One play; what nodes and clients noted of it."""
    fleet = Fleet(net, CELLS, NODES_A_CELL, WORK_S, MEMORY_S)
    await fleet.start()
    fronts: list[Process] = []
    with tempfile.TemporaryDirectory(prefix="pinward-cells-") as name:
        folder = Path(name)
        (folder / "map.json").write_text(json.dumps(chart().plain()))
        (folder / "cells.conf").write_text(f"map {folder}/map.json\nroom 60\n")
        try:
            for number in range(FRONTS):
                env = write_front(folder, fleet, number, seed)
                env |= {"PINWARD_CELLS": str(folder / "cells.conf")} if cells else {}
                fronts.append(Process(f"f{number}", ["pinward"], folder / f"f{number}.log"))
                with mock.patch.dict(os.environ, env):
                    fronts[-1].start()
            where = [(f"{net}.2.{1 + number}", 9000) for number in range(FRONTS)]
            await asyncio.gather(*(ready(place) for place in where))
            clients = Clients(where, seed, TIMEOUT_S)
            cpu_s = -sum(front.cpu_s() for front in fronts)
            await clients.run(loads, seconds)
            cpu_s += sum(front.cpu_s() for front in fronts)
            await clients.close()
        finally:
            for front in fronts:
                front.end()
            fleet.close()
    others = {name for name, cell in customers().items() if cell != "c0"}
    return {
        "asked": clients.asked, "answers": len(clients.answers),
        "no_answer": sum(answer.status == 0 for answer in clients.answers),
        "cpu_s": cpu_s, "effects": len(fleet.effects), "twice": fleet.twice(MEMORY_S),
        "others_in_time": round(clients.in_time(others, SLA_S), 4),
        "own_cell_in_time": round(clients.in_time({"t0-1"}, SLA_S), 4),
    }  # fmt: skip


async def ready(where: tuple[str, int]) -> None:
    async with asyncio.timeout(READY_S):
        while True:
            try:
                reader, writer = await asyncio.open_connection(*where)
                writer.write(b"GET /health/ready HTTP/1.1\r\n\r\n")
                status = await reader.readline()
                writer.close()
                if b" 200 " in status:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)


def usual() -> list[Load]:
    return [Load(name, PER_S) for name in customers()]


def play_all(seeds: Iterable[int], seconds: float, out: TextIO) -> dict[str, Any]:
    """All plants for all seeds, each beside the same without it and without cells; and what cells cost."""
    runs: list[dict[str, Any]] = []
    ratios: list[float] = []
    for seed in seeds:
        cpu = []
        for cells in (True, False):
            seen = asyncio.run(play(usual(), cells, seed, seconds, f"127.{58 + cells}"))
            cpu.append(seen["cpu_s"] / max(1, seen["asked"]))
        ratios.append(round(cpu[0] / cpu[1], 3))
        print(f"seed {seed}: CPU a txn with cells {ratios[-1]} times that without", file=out, flush=True)
        for plant, bad in PLANTS.items():
            planted = [bad if load.customer == bad.customer else load for load in usual()]
            run: dict[str, Any] = {"seed": seed, "plant": plant}
            for number, (name, loads, cells) in enumerate(
                (("none", usual(), True), ("cells", planted, True), ("no_cells", planted, False))
            ):
                net = f"127.{60 + (seed * 9 + number) % 40}"
                run[name] = asyncio.run(play(loads, cells, seed, seconds, net))
            sound = run["none"]["others_in_time"]
            run["harm_with_cells"] = round(sound - run["cells"]["others_in_time"], 4)
            run["harm_without"] = round(sound - run["no_cells"]["others_in_time"], 4)
            runs.append(run)
            harm, bare, twice = run["harm_with_cells"], run["harm_without"], run["cells"]["twice"]
            told = f"harm to other cells {harm:.4f}, without cells {bare:.4f}; effects twice {twice}"
            print(f"seed {seed}, {plant}: {told}", file=out, flush=True)
    kept = [run[name] for run in runs for name in ("none", "cells")]
    return {
        "seeds": len({run["seed"] for run in runs}), "seconds": seconds,
        "txns": sum(play["asked"] for play in kept),
        "without_an_answer": sum(play["no_answer"] for play in kept),
        "effects_twice": sum(play["twice"] for play in kept),
        "effects_twice_without_cells": sum(run["no_cells"]["twice"] for run in runs),
        "cpu_a_txn_ratios": ratios,
        "most_harm_with_cells": max(run["harm_with_cells"] for run in runs),
        "most_harm_without": max(run["harm_without"] for run in runs),
        "runs": runs,
    }  # fmt: skip
