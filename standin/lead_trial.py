"""The trial of leadership: real instances on loopback under faults drawn from a seed, and a checker.

The checker reads only what those that apply wrote down, and which decisions a caller was told are committed.
Each seed has a net of its own within 127.0.0.0/8, so seeds run side by side.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import json
import os
import shutil
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, TextIO

from hdrh.histogram import HdrHistogram

from standin.links import Network
from standin.processes import Process

PORT, DESK_PORT, APPLIER_PORT = 7701, 7702, 7703
WAIT_S, BEAT_S = 0.6, 0.12
APPLIERS = 2
PAUSE_S = 0.02  # s a caller rests between decisions: those that apply can then be told each one
CALM_S = 25.0  # s that an installation may take to come level once all is mended
RECORDED_MS = (1, 60_000, 3)  # of the histograms: least, most, digits


@dataclass
class Step:
    """One fault of a script."""

    at: float
    what: str
    who: tuple[str, ...] = ()
    for_s: float = 0.0

    def __str__(self) -> str:
        return f"{self.at:7.2f} s  {self.what} {' '.join(self.who)} {self.for_s:.2f} s".rstrip()


def script(seed: int, names: list[str], seconds: float) -> list[Step]:
    """The faults of a seed; `leader` stands for whoever leads then."""
    chance, at, steps = Random(seed), 1.0, []
    appliers = [f"a{n}" for n in range(APPLIERS)]
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


class Trial:
    def __init__(self, seed: int, size: int, seconds: float, folder: Path, slot: int) -> None:
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.net, self.names = Network(), [f"i{n}" for n in range(1, size + 1)]
        self.second = 100 + slot
        self.figures = Figures(seed)
        self.processes: dict[str, Process] = {}
        self.promised: dict[str, int] = {}
        self.over = False

    def own(self, name: str) -> str:
        """The address that a process speaks from and listens at, behind its proxy."""
        kind = {"i": 1, "a": 2}[name[0]]
        return f"127.{self.second}.{kind * 10 + int(name[1:])}.1"

    def shown(self, name: str) -> str:
        """The proxy's address, which others are told."""
        return self.own(name)[:-1] + "2"

    # Setting up.

    def write_file(self, name: str) -> Path:
        lines = [
            "installation trial", f"name {name}", f"state {self.folder / name}",
            f"listen {self.own(name)}:{PORT}", f"desk {self.own(name)}:{DESK_PORT}",
            f"speak-from {self.own(name)}", "plain-text yes", f"seed {self.seed}",
            f"wait {WAIT_S * 1000:.0f}ms", f"beat {BEAT_S * 1000:.0f}ms", "gate majority", "fronts 3",
            "stage 10%", "stage 50%", "stage 100%", "fold-after 200",
        ]  # fmt: skip
        for member in self.names:
            lines += [f"member {member} {{", f"  address {self.shown(member)}:{PORT}", "}"]
        for n in range(APPLIERS):
            lines += [f"applier a{n} {{", f"  address {self.shown(f'a{n}')}:{APPLIER_PORT}", "}"]
        path = self.folder / f"{name}.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def set_up(self) -> None:
        for name in [*self.names, *(f"a{n}" for n in range(APPLIERS))]:
            port = PORT if name in self.names else APPLIER_PORT
            self.net.names[self.own(name)] = name
            await self.net.proxy(name, (self.shown(name), port), (self.own(name), port))
        for n in range(APPLIERS):
            name = f"a{n}"
            record = self.folder / f"{name}.record"
            words = ["standin.applier", f"{self.own(name)}:{APPLIER_PORT}", str(record)]
            self.processes[name] = Process(name, words, self.folder / f"{name}.log")
        for name in self.names:
            path = self.write_file(name)
            words = ["pinward", "lead", "run", "--new", str(path)]
            self.processes[name] = Process(name, words, self.folder / f"{name}.log")
        for process in self.processes.values():
            process.start()
        for name in self.names:  # from now on they start with what they have
            self.processes[name].words.remove("--new")

    # Asking.

    async def ask(self, name: str, **asked: Any) -> dict[str, Any] | None:
        """What an instance answers on its control socket; None where it does not."""
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_unix_connection(str(self.folder / name / "control"))
                try:
                    writer.write(json.dumps(asked).encode() + b"\n")
                    data = await reader.readline()
                    return json.loads(data) if data else None
                finally:
                    writer.close()
        except (OSError, TimeoutError, ValueError):
            return None  # dead, paused, or ended meanwhile

    async def who_acts(self) -> str | None:
        async def one(name: str) -> str | None:
            process = self.processes[name]
            if not process.alive or process.paused:
                return None
            status = await self.ask(name, do="status")
            return name if status and status["acts"] else None

        found = await asyncio.gather(*(one(name) for name in self.names))
        return next((name for name in found if name), None)

    async def await_leader(self, seconds: float = CALM_S) -> str | None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if name := await self.who_acts():
                return name
            await asyncio.sleep(0.01)
        return None

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
                process = self.processes[instance]
                answer = None
                if process.alive and not process.paused:
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
                self.tear(name, chance)
            if led:
                await self.time_gap(self.figures.after_kill_ms, but=name)
            await asyncio.sleep(step.for_s)
            process.start()
        elif step.what in ("kill-two", "kill-all"):
            down = self.names if step.what == "kill-all" else {name, other}
            for victim in down:
                self.processes[victim].kill()
            await asyncio.sleep(step.for_s)
            for victim in down:
                self.processes[victim].start()
        elif step.what == "pause":
            process.pause()
            await asyncio.sleep(step.for_s)
            process.go_on()
        elif step.what == "late-word":
            await self.late_word(name, step.for_s)
        elif step.what == "yield":
            answer = await self.ask(name, do="yield")
            if answer and answer.get("heir"):
                await self.time_gap(self.figures.after_yield_ms, but=name)
        elif step.what in ("cut", "cut-applier"):
            pairs = [(name, n) for n in (others if "applier" not in step.what else self.names)]
            pairs = pairs if chance.random() < 0.5 else [(b, a) for a, b in pairs]
            for pair in pairs:
                self.net.cut(*pair)
            await asyncio.sleep(step.for_s)
            for pair in pairs:
                self.net.mend(*pair)
        elif step.what == "split":
            for n in others:
                self.net.cut(name, n)
                self.net.cut(n, name)
            await asyncio.sleep(step.for_s)
            for n in others:
                self.net.mend(name, n)
                self.net.mend(n, name)
        elif step.what == "flap":
            for _ in range(6):
                self.net.cut(name, other)
                await asyncio.sleep(step.for_s / 12)
                self.net.mend(name, other)
                await asyncio.sleep(step.for_s / 12)
        elif step.what == "reset":
            for n in others:
                self.net.reset(name, n)
                self.net.reset(n, name)
        elif step.what == "slow":
            link = self.net.link(name, other)
            link.delay_s, link.bytes_per_s = 0.05, 20_000.0
            await asyncio.sleep(step.for_s)
            self.net.mend(name, other)

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

    def tear(self, name: str, chance: Random) -> None:
        """The disk of a killed instance loses part of a write that was never acknowledged."""
        states = sorted((self.folder / name).glob("state.*"))
        if states:
            with states[-1].open("ab") as file:
                file.write(bytes(chance.randrange(256) for _ in range(chance.randrange(1, 11))))

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
            self.net.mend_all()
            for process in self.processes.values():
                process.go_on()
                if not process.alive:
                    process.start()
            await self.await_leader()
            await asyncio.sleep(1.0)
            self.over = True
            await asyncio.gather(*callers)
            await self.come_level()
            self.measure()
            self.check()
        finally:
            for process in self.processes.values():
                process.end()
            await self.net.close()
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


def rows(path: Path) -> list[dict[str, Any]]:
    data = path.read_bytes() if path.exists() else b""
    return [json.loads(line) for line in data[: data.rfind(b"\n") + 1].splitlines()]


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


def play_seed(seed: int, size: int, seconds: float, slot: int) -> Figures:
    folder = Path(tempfile.mkdtemp(prefix=f"pinward-trial-{seed}-"))
    figures = asyncio.run(Trial(seed, size, seconds, folder, slot).play())
    if figures.broken:
        steps = "\n".join(map(str, script(seed, [f"i{n}" for n in range(1, size + 1)], seconds)))
        (folder / "script.txt").write_text(steps + "\n")
        figures.broken.setdefault("logs", []).append(str(folder))
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return figures


def spread(values: Iterable[float]) -> dict[str, float]:
    """Median, 99th percentile and greatest of times in ms."""
    histogram = HdrHistogram(*RECORDED_MS)
    for value in values:
        histogram.record_value(round(value))
    if not histogram.get_total_count():
        return {"count": 0}
    return {
        "count": histogram.get_total_count(),
        "median": histogram.get_value_at_percentile(50),
        "p99": histogram.get_value_at_percentile(99),
        "most": histogram.get_max_value(),
    }


def play_all(seeds: Iterable[int], size: int, seconds: float, out: TextIO) -> dict[str, Any]:
    """Plays all seeds, some side by side; all figures in one."""
    seeds = list(seeds)
    side_by_side = max(1, (os.cpu_count() or 1) // 4)  # an installation takes some cores of its own
    done: list[Figures] = []
    with concurrent.futures.ProcessPoolExecutor(side_by_side) as pool:
        jobs = [
            pool.submit(play_seed, seed, size, seconds, slot % 100) for slot, seed in enumerate(seeds)
        ]  # fmt: skip
        for job in concurrent.futures.as_completed(jobs):
            figures = job.result()
            done.append(figures)
            verdict = "broken: " + ", ".join(figures.broken) if figures.broken else "sound"
            told = f"{figures.applied} applied in {figures.epochs} epochs, {figures.stale} refused as stale"
            told += f", {verdict} ({len(done)} of {len(seeds)})"
            print(f"seed {figures.seed}: {told}", file=out, flush=True)
    done.sort(key=lambda figures: figures.seed)
    broken: dict[str, int] = {
        "applied by a leader that was followed": 0, "two leaders in one epoch": 0, "applied twice": 0,
        "applied out of order": 0, "not the same everywhere": 0, "promised and lost": 0,
    }  # fmt: skip
    for figures in done:
        for rule, found in figures.broken.items():
            if rule != "logs":
                broken[rule] = broken.get(rule, 0) + len(found)
    return {
        "instances": size, "seeds": len(seeds), "seconds_of_faults": seconds, "broken": broken,
        "applied": sum(f.applied for f in done), "promised": sum(f.decided for f in done),
        "refused_as_stale": sum(f.stale for f in done),
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
        "runs": [vars(f) for f in done],
    }  # fmt: skip
