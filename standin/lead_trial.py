"""The trial of leadership: real instances on loopback under faults drawn from a seed, and a checker.

The checker reads only what those that apply wrote down, and which decisions a caller was told are committed.
Each seed has a net of its own within 127.0.0.0/8, so seeds run side by side.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, TextIO

from standin.installation import CALM_S, TAKER_PORT, WAIT_S, Installation, Step
from standin.installation import in_folder, play_seeds, rows, spread

APPLIERS = 2
PAUSE_S = 0.02  # s a caller rests between decisions: those that apply can then be told each one


ALWAYS = ("late-word", "stop-saying", "old-disk", "pause", "kill")  # of the leader, in every seed


def script(seed: int, names: list[str], seconds: float) -> list[Step]:
    """The faults of a seed, those that must strike first; `leader` stands for whoever leads then."""
    chance, at, steps = Random(seed), 1.0, []
    appliers = [f"a{n}" for n in range(APPLIERS)]
    due = list(ALWAYS)
    chance.shuffle(due)
    while due:
        steps.append(Step(at, due.pop(), ("leader", chance.choice(names)), chance.uniform(0.3, 2 * WAIT_S)))
        at += chance.uniform(0.6, 1.5)
    while at < seconds:
        kind = chance.choice([
            "kill", "kill", "pause", "pause", "cut", "cut", "split", "yield", "flap", "reset", "slow",
            "kill-two", "kill-applier", "cut-applier", "kill-all", "torn", "late-word", "late-word",
        ])  # fmt: skip
        who = chance.choice(["leader", "leader", *names])
        other = chance.choice(names)
        for_s = chance.uniform(0.3, 4 * WAIT_S)
        if kind == "kill-all" and chance.random() < 0.6:
            kind = "kill"
        target = (chance.choice(appliers),) if "applier" in kind else (who, other)
        steps.append(Step(at, kind, target, for_s))
        at += chance.uniform(0.6, 2.5)
    return steps


@dataclass
class Figures:
    """What one seed showed."""

    seed: int
    broken: dict[str, list[Any]] = field(default_factory=dict)
    decided: int = 0
    applied: int = 0
    stale: int = 0
    epochs: int = 0
    after_kill_ms: list[float] = field(default_factory=list)
    after_yield_ms: list[float] = field(default_factory=list)
    rest_per_s: float = 0.0
    faults_per_s: float = 0.0
    memory_kib: list[int] = field(default_factory=list)
    disk_bytes: list[int] = field(default_factory=list)


class Trial(Installation):
    def __init__(self, seed: int, size: int, seconds: float, folder: Path, slot: int) -> None:
        super().__init__(seed, size, folder, slot)
        self.seconds = seconds
        self.figures = Figures(seed)
        self.promised: dict[str, int] = {}

    # Setting up.

    async def set_up(self) -> None:
        appliers: list[str] = []
        for n in range(APPLIERS):
            name = f"a{n}"
            await self.proxy(name, TAKER_PORT)
            appliers += [f"applier {name} {{", f"  address {self.shown(name)}:{TAKER_PORT}", "}"]
            record = self.folder / f"{name}.record"
            self.add(name, ["standin.applier", f"{self.own(name)}:{TAKER_PORT}", str(record)])
        await self.add_instances(appliers)
        self.start_all()

    async def load(self, caller: int) -> None:
        """One caller that asks for decisions, one after another, and repeats what it has no answer to."""
        here, node = 0, 0
        while not self.over:
            node += 1
            name = f"s{self.seed}-c{caller}-{node}"
            act, target = "drain" if node % 2 else "fill", f"n{caller}-{(node - 1) // 2}"
            await asyncio.sleep(PAUSE_S)
            while not self.over:
                instance = self.names[here % len(self.names)]
                answer = await self.ask(instance, do="decide", id=name, act=act, node=target)
                if answer and "place" in answer:
                    if answer["place"]:
                        self.promised[name] = answer["place"]
                    break
                if answer and "withdrawn" in answer:
                    break  # a drain that stood already
                leader = (answer or {}).get("leader")
                here = self.names.index(leader) if leader in self.names else here + 1
                await asyncio.sleep(0.02)

    # Faults.

    async def fault(self, step: Step, chance: Random) -> None:
        who = [await self.who_acts() or chance.choice(self.names) if w == "leader" else w for w in step.who]
        name, other = who[0], who[-1]
        process = self.processes[name]
        others = [n for n in self.names if n != name]
        if step.what in ("kill", "torn", "kill-applier"):
            led = await self.who_acts() == name
            process.kill()
            if step.what == "torn":
                self.tear(f"{name}/state.*", chance)
            if led:
                await self.time_gap(self.figures.after_kill_ms, but=name)
            await asyncio.sleep(step.for_s)
            process.start()
        elif step.what in ("kill-two", "kill-all"):
            await self.kill(self.names if step.what == "kill-all" else {name, other}, step.for_s)
        elif step.what == "pause":
            await self.pause(name, step.for_s)
        elif step.what == "stop-saying":
            if not await self.stop_at(name, "saying"):
                return
            await self.time_gap([], but=name)  # another leads and speaks meanwhile
            await asyncio.sleep(step.for_s)
            process.go_on()
        elif step.what == "old-disk":
            leader = await self.who_acts()
            await self.old_disk(next(n for n in others if n != leader))
        elif step.what == "late-word":
            await self.late_word(name, step.for_s)
        elif step.what == "yield":
            answer = await self.ask(name, do="yield")
            if answer and answer.get("heir"):
                await self.time_gap(self.figures.after_yield_ms, but=name)
        elif step.what in ("cut", "cut-applier"):
            who_hears = others if "applier" not in step.what else self.names
            await self.cut(name, who_hears, step.for_s, chance.choice(["in", "out"]))
        elif step.what == "split":
            await self.cut(name, others, step.for_s)
        elif step.what == "flap":
            await self.flap(name, other, step.for_s)
        elif step.what == "reset":
            self.reset(name, others)
        elif step.what == "slow":
            await self.slow(name, other, step.for_s)
        self.struck[step.what] += 1

    async def late_word(self, name: str, for_s: float) -> None:
        """What a leader had said when it was paused arrives after another has spoken."""
        appliers = [f"a{n}" for n in range(APPLIERS)]
        for applier in appliers:
            self.net.cut(name, applier)
        await asyncio.sleep(0.2)
        self.processes[name].pause()
        await self.time_gap([], but=name)
        await asyncio.sleep(for_s)
        for applier in appliers:
            self.net.mend(name, applier)
        await asyncio.sleep(0.2)
        self.processes[name].go_on()

    async def old_disk(self, name: str) -> None:
        """One that follows finds an older copy of its disk while a leader stands, and is let come level."""
        kept = self.copy_disk(name)
        await asyncio.sleep(0.5)
        self.processes[name].kill()
        self.put_back(name, kept)
        self.processes[name].start()
        await asyncio.sleep(2 * WAIT_S)

    async def time_gap(self, into: list[float], but: str) -> None:
        began = time.monotonic()
        while time.monotonic() < began + 10.0:
            found = await self.who_acts()
            if found and found != but:
                into.append((time.monotonic() - began) * 1000)
                return
            await asyncio.sleep(0.005)

    # One seed.

    async def play(self) -> Figures:
        figures, chance = self.figures, Random(self.seed + 1)
        try:
            await self.set_up()
            if await self.await_leader() is None:
                figures.broken["no leader at the start"] = [self.seed]
                return figures
            callers = [asyncio.ensure_future(self.load(n)) for n in range(3)]
            began, before = time.monotonic(), len(self.promised)
            await asyncio.sleep(2.0)
            figures.rest_per_s = (len(self.promised) - before) / (time.monotonic() - began)
            self.measure()
            began, before = time.monotonic(), len(self.promised)
            for step in script(self.seed, self.names, self.seconds):
                await asyncio.sleep(max(0.0, began + step.at - time.monotonic()))
                await self.fault(step, chance)
            figures.faults_per_s = (len(self.promised) - before) / (time.monotonic() - began)
            await self.mend()
            await self.await_leader()
            await asyncio.sleep(1.0)
            self.over = True
            await asyncio.gather(*callers)
            await self.come_level()
            self.measure()
            self.check()
        finally:
            await self.close()
        return figures

    async def come_level(self) -> None:
        """Until all that apply have all there is."""
        end = time.monotonic() + CALM_S
        while time.monotonic() < end:
            name = await self.who_acts()
            status = await self.ask(name, do="status") if name else None
            if status:
                places = [a["place"] for a in status["appliers"].values()]
                if places and all(place == status["place"] for place in places):
                    return
            await asyncio.sleep(0.1)
        self.figures.broken["not level in time"] = [self.seed]

    def measure(self) -> None:
        figures = self.figures
        figures.memory_kib.append(max(self.processes[name].memory_kib() for name in self.names))
        sizes = [sum(f.stat().st_size for f in (self.folder / name).glob("state.*")) for name in self.names]
        figures.disk_bytes.append(max(sizes))

    def check(self) -> None:
        """What was applied, read from the records alone."""
        figures = self.figures
        records = {n: rows(self.folder / f"a{n}.record") for n in range(APPLIERS)}
        for found in check_records(records, self.promised):
            figures.broken.setdefault(found[0], []).append(found[1])
        figures.decided = len(self.promised)
        figures.applied = sum(row["what"] == "apply" for row in records[0])
        figures.stale = sum(row["what"] == "stale" for some in records.values() for row in some)
        figures.epochs = max((row["epoch"] for row in records[0]), default=0)


def check_records(
    records: dict[int, list[dict[str, Any]]], promised: dict[str, int]
) -> list[tuple[str, Any]]:  # fmt: skip
    """What is wrong with what was applied: pairs of the rule and the instance of it."""
    found: list[tuple[str, Any]] = []
    leaders: dict[int, str] = {}
    orders: dict[int, str] = {}
    for who, some in records.items():
        place, epoch, names = 0, 0, set()
        for row in some:
            if row["what"] == "stale":
                continue
            if row["epoch"] < epoch:
                found.append(("applied by a leader that was followed", [who, row]))
            epoch = max(epoch, row["epoch"])
            if leaders.setdefault(row["epoch"], row["leader"]) != row["leader"]:
                found.append(("two leaders in one epoch", [who, row]))
            if row["what"] != "apply":
                place = max(place, row["place"]) if row["what"] == "whole" else place
                continue
            if row["id"] in names:
                found.append(("applied twice", [who, row]))
            names.add(row["id"])
            if row["place"] != place + 1:
                found.append(("applied out of order", [who, row, place]))
            place = row["place"]
            if orders.setdefault(place, row["id"]) != row["id"]:
                found.append(("not the same everywhere", [who, row]))
        skipped = any(row["what"] == "whole" for row in some)
        lost = {name for name in promised if name not in names} if not skipped else set()
        if lost:
            found.append(("promised and lost", [who, sorted(lost)[:5]]))
    return found


# All seeds.


class Player:
    """One seed, to be sent to a process of the pool."""

    def __init__(self, size: int, seconds: float) -> None:
        self.size, self.seconds = size, seconds

    def __call__(self, seed: int, slot: int) -> dict[str, Any]:
        def play(folder: Path) -> dict[str, Any]:
            trial = Trial(seed, self.size, self.seconds, folder, slot)
            figures = vars(asyncio.run(trial.play()))
            if figures["broken"]:
                steps = "\n".join(map(str, script(seed, trial.names, self.seconds)))
                (folder / "script.txt").write_text(steps + "\n")
            return {**figures, "struck": dict(trial.struck)}

        return in_folder(seed, play)


def said(figures: dict[str, Any]) -> str:
    return f"{figures['applied']} applied in {figures['epochs']} epochs, {figures['stale']} refused as stale"


def play_all(seeds: Iterable[int], size: int, seconds: float, out: TextIO) -> dict[str, Any]:
    """Plays all seeds, some side by side; all figures in one."""
    runs = play_seeds(list(seeds), Player(size, seconds), said, out)
    done = [Figures(**{k: v for k, v in run.items() if k not in ("struck", "logs")}) for run in runs]
    broken: dict[str, int] = {
        "applied by a leader that was followed": 0, "two leaders in one epoch": 0, "applied twice": 0,
        "applied out of order": 0, "not the same everywhere": 0, "promised and lost": 0,
    }  # fmt: skip
    for figures in done:
        for rule, found in figures.broken.items():
            if rule != "logs":
                broken[rule] = broken.get(rule, 0) + len(found)
    return {
        "instances": size, "seeds": len(runs), "seconds_of_faults": seconds, "broken": broken,
        "applied": sum(f.applied for f in done), "promised": sum(f.decided for f in done),
        "refused_as_stale": sum(f.stale for f in done),
        "never_struck": [kind for kind in ALWAYS if any(not run["struck"].get(kind) for run in runs)]
        + ["no stale word was refused" for run in runs if not run["stale"]],
        "no_leader_after_kill_ms": spread(ms for f in done for ms in f.after_kill_ms),
        "no_leader_after_yield_ms": spread(ms for f in done for ms in f.after_yield_ms),
        "decisions_per_s": {
            "at_rest": round(sum(f.rest_per_s for f in done) / len(done), 1),
            "under_faults": round(sum(f.faults_per_s for f in done) / len(done), 1),
        },
        "memory_kib": [max(f.memory_kib[0] for f in done if f.memory_kib),
                       max(f.memory_kib[-1] for f in done if f.memory_kib)],
        "disk_bytes": [max(f.disk_bytes[0] for f in done if f.disk_bytes),
                       max(f.disk_bytes[-1] for f in done if f.disk_bytes)],
        "runs": runs,
    }  # fmt: skip
