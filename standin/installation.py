"""One rig for faults among processes: control instances, those that apply, members, targets, on loopback.

An installation is real processes, each behind a proxy of its own (`links.py`), and faults as named steps
drawn from a seed or told by a test. Trials build on it and read only what targets, appliers and clients
wrote down. A trial tells which kinds of fault struck; one that never did fails it. Each seed has a net of its
own within 127.0.0.0/8, so that seeds run side by side.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import json
import os
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any, TextIO

from hdrh.histogram import HdrHistogram

from standin.links import Network
from standin.processes import Process

PORT, DESK_PORT, TAKER_PORT = 7701, 7702, 7703
WAIT_S, BEAT_S = 0.6, 0.12
CALM_S = 25.0  # s that an installation may take to come level once all is mended
STOPS_S = 5.0  # s in which a process comes to a point at which it is to stop
RECORDED_MS = (1, 120_000, 3)  # of the histograms: least, most, digits
KINDS = {"i": 1, "a": 2, "m": 3, "t": 4}  # by the first letter of a name: part of its address


@dataclass
class Step:
    """One fault of a script."""

    at: float
    what: str
    who: tuple[str, ...] = ()
    for_s: float = 0.0

    def __str__(self) -> str:
        return f"{self.at:7.2f} s  {self.what} {' '.join(self.who)} {self.for_s:.2f} s".rstrip()


class Installation:
    """Processes, the net between them, and what can befall them."""

    def __init__(self, seed: int, size: int, folder: Path, slot: int) -> None:
        self.seed, self.folder, self.second = seed, folder, 100 + slot
        self.net, self.names = Network(), [f"i{n}" for n in range(1, size + 1)]
        self.processes: dict[str, Process] = {}
        self.struck: Counter[str] = Counter()  # kinds of fault that had their effect
        self.over = False

    def own(self, name: str) -> str:
        """The address that a process speaks from and listens at, behind its proxy."""
        return f"127.{self.second}.{KINDS[name[0]] * 40 + int(name[1:])}.1"

    def shown(self, name: str) -> str:
        """The proxy's address, which others are told."""
        return self.own(name)[:-1] + "2"

    async def proxy(self, name: str, port: int) -> None:
        self.net.names[self.own(name)] = name
        await self.net.proxy(name, (self.shown(name), port), (self.own(name), port))

    def add(self, name: str, words: list[str], rate: float = 1.0, **env: str) -> Process:
        """A process to be started; its monotonic clock runs at a rate of true time."""
        words = ["standin.skewed", f"{rate:.4f}", *words] if rate != 1.0 else words
        self.processes[name] = Process(name, words, self.folder / f"{name}.log", env)
        return self.processes[name]

    # Control instances.

    def write_instance(self, name: str, more: list[str]) -> Path:
        lines = [
            "installation trial", f"name {name}", f"state {self.folder / name}",
            f"listen {self.own(name)}:{PORT}", f"desk {self.own(name)}:{DESK_PORT}",
            f"speak-from {self.own(name)}", "plain-text yes", f"seed {self.seed}",
            f"wait {WAIT_S * 1000:.0f}ms", f"beat {BEAT_S * 1000:.0f}ms", "gate majority", "fronts 3",
            "stage 10%", "stage 50%", "stage 100%", "fold-after 200", *more,
        ]  # fmt: skip
        for member in self.names:
            lines += [f"member {member} {{", f"  address {self.shown(member)}:{PORT}", "}"]
        path = self.folder / f"{name}.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def add_instances(self, more: list[str], rates: dict[str, float] | None = None) -> None:
        for name in self.names:
            await self.proxy(name, PORT)
            await self.net.proxy(name, (self.shown(name), DESK_PORT), (self.own(name), DESK_PORT))
            words = ["pinward", "lead", "run", "--new", str(self.write_instance(name, more))]
            self.add(name, words, (rates or {}).get(name, 1.0), PINWARD_POINTS=str(self.points(name)))

    def start_all(self) -> None:
        for process in self.processes.values():
            process.start()
        for name in self.names:  # from now on they start with what they have
            self.processes[name].words.remove("--new")

    async def ask(self, name: str, **asked: Any) -> dict[str, Any] | None:
        """What a process answers on its control socket; None where it does not."""
        process = self.processes[name]
        if not process.alive or process.paused:
            return None
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
            status = await self.ask(name, do="status")
            return name if status and status["acts"] else None

        found = await asyncio.gather(*(one(name) for name in self.names))
        return next((name for name in found if name), None)

    async def await_leader(self, seconds: float = CALM_S, but: str = "") -> str | None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            name = await self.who_acts()
            if name and name != but:
                return name
            await asyncio.sleep(0.01)
        return None

    async def shown_by_leader(self) -> dict[str, Any]:
        """Who owns what, as the leader knows; empty where nobody leads."""
        name = await self.who_acts()
        return (await self.ask(name, do="owners", what="show") if name else None) or {}

    async def until(self, fact: Callable[[], Any], seconds: float) -> bool:
        """Waits until a fact holds, sync or async; False where it does not in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = fact()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return True
            await asyncio.sleep(0.02)
        return False

    # Faults.

    async def kill(self, names: Iterable[str], for_s: float) -> None:
        names = list(names)
        for name in names:
            self.processes[name].kill()
        await asyncio.sleep(for_s)
        for name in names:
            self.processes[name].start()

    async def pause(self, name: str, for_s: float) -> None:
        self.processes[name].pause()
        await asyncio.sleep(for_s)
        self.processes[name].go_on()

    def points(self, name: str) -> Path:
        return self.folder / f"{name}.points"

    async def stop_at(self, name: str, point: str) -> bool:
        """Lets a process run to a named point of the program and stop there; False where it does not come."""
        process, folder = self.processes[name], self.points(name)
        folder.mkdir(exist_ok=True)
        mark = folder / point
        mark.touch()
        if await self.until(lambda: not mark.exists() and process.stopped(), STOPS_S):
            process.paused = True
            return True
        mark.unlink(missing_ok=True)
        return False

    async def cut(self, name: str, others: Iterable[str], for_s: float, ways: str = "both") -> None:
        """`out`: nothing that the named one says arrives; `in`: nothing that others say to it; or both."""
        pairs = [(name, n) for n in others] if ways in ("out", "both") else []
        pairs += [(n, name) for n in others] if ways in ("in", "both") else []
        for pair in pairs:
            self.net.cut(*pair)
        await asyncio.sleep(for_s)
        for pair in pairs:
            self.net.mend(*pair)

    async def flap(self, name: str, other: str, for_s: float) -> None:
        for _ in range(6):
            self.net.cut(name, other)
            await asyncio.sleep(for_s / 12)
            self.net.mend(name, other)
            await asyncio.sleep(for_s / 12)

    def reset(self, name: str, others: Iterable[str]) -> None:
        for n in others:
            self.net.reset(name, n)
            self.net.reset(n, name)

    async def slow(self, name: str, other: str, for_s: float) -> None:
        link = self.net.link(name, other)
        link.delay_s, link.bytes_per_s = 0.05, 20_000.0
        await asyncio.sleep(for_s)
        self.net.mend(name, other)

    def tear(self, pattern: str, chance: Random) -> None:
        """The disk of a killed process loses part of a write that was never acknowledged."""
        if states := sorted(self.folder.glob(pattern)):
            with states[-1].open("ab") as file:
                file.write(bytes(chance.randrange(256) for _ in range(chance.randrange(1, 11))))

    def copy_disk(self, name: str) -> Path:
        """A copy of a process's folder as it is now, for `put_back`."""
        kept = self.folder / f"{name}.copy"
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(self.folder / name, kept, ignore=shutil.ignore_patterns("control"))
        return kept

    def put_back(self, name: str, kept: Path | None = None) -> None:
        """A killed process finds an older copy of its disk, or an emptied one."""
        shutil.rmtree(self.folder / name, ignore_errors=True)
        if kept is not None:
            shutil.copytree(kept, self.folder / name)

    async def mend(self) -> None:
        """All links whole, all processes running."""
        self.net.mend_all()
        for process in self.processes.values():
            process.go_on()
            if not process.alive:
                process.start()

    async def close(self) -> None:
        # In threads, since the links between those that still speak run on this loop.
        await asyncio.gather(*(asyncio.to_thread(process.end) for process in self.processes.values()))
        await self.net.close()


# Records, figures and seeds.


def rows(path: Path) -> list[dict[str, Any]]:
    """The whole lines of a record, each a JSON object."""
    data = path.read_bytes() if path.exists() else b""
    return [json.loads(line) for line in data[: data.rfind(b"\n") + 1].splitlines()]


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


def in_folder(seed: int, play: Callable[[Path], dict[str, Any]]) -> dict[str, Any]:
    """Plays one seed in a folder that is kept only where something broke."""
    folder = Path(tempfile.mkdtemp(prefix=f"pinward-trial-{seed}-"))
    figures = play(folder)
    if figures["broken"]:
        figures["logs"] = str(folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return figures


def play_seeds(
    seeds: list[int], play: Callable[[int, int], dict[str, Any]], told: Callable[[dict[str, Any]], str],
    out: TextIO, cores: int = 4,
) -> list[dict[str, Any]]:  # fmt: skip
    """Plays all seeds, some side by side; the figures of each, in order. An installation takes some cores."""
    side_by_side = max(1, (os.cpu_count() or 1) // cores)
    done: list[dict[str, Any]] = []
    with concurrent.futures.ProcessPoolExecutor(side_by_side) as pool:
        jobs = [pool.submit(play, seed, slot % 100) for slot, seed in enumerate(seeds)]
        for job in concurrent.futures.as_completed(jobs):
            figures = job.result()
            done.append(figures)
            broken = figures["broken"]
            verdict = f"broken: {', '.join(broken)} ({figures['logs']})" if broken else "sound"
            said = f"{told(figures)}, {verdict} ({len(done)} of {len(seeds)})"
            print(f"seed {figures['seed']}: {said}", file=out, flush=True)
    return sorted(done, key=lambda figures: figures["seed"])
