"""Plays drawn days on the users' bench, some beside each other, and keeps a line of each.

The bench is a program of its own, outside of the repository; its path is told. What a day's report says is
weighed as the gate does it: no rule broken, no fault, no floor missed, no order left without an answer.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

DAY_S = 900.0  # s for one day, else it is given up: the bench itself bounds processor time only
LATE_S = 10.0  # s for the bench to end after SIGTERM
UNSERVED = 0.6  # of the requests owed: beyond it the gate fails
CUT, NOT_CONNECTED = "cut, no answer", "no connection"  # how the bench names ends of clients' tries
WORKED_ON = "worth worked on after its client had left"  # how it names that price
TOLD = 200  # characters of the bench's words in a line


class Played(NamedTuple):
    """A line of results: what was played on which build, and how it went; times in seconds."""

    build: str
    day: str
    seed: int
    score: float
    gate: str  # passed, failed, or not played
    broken: str  # rules with their counts
    why: str  # the bench's first words about it
    wall_s: float
    cut: int = 0  # requests whose connections ended without an answer
    refused: int = 0  # connections that clients did not get
    worked_on: float = 0  # worth of requests worked on half a second after their clients had left

    def line(self) -> str:
        ends = f"{self.cut} cut, {self.refused} not connected, {self.worked_on:g} worked on"
        parts = (self.build, self.day, f"seed {self.seed}", f"{self.score:.3f}", f"gate {self.gate}",
                 self.broken or "-", self.why or "-", ends, f"{self.wall_s:.0f} s")  # fmt: skip
        return " | ".join(parts)


def weigh(report: dict[str, Any]) -> tuple[str, str, str]:
    """Gate, broken rules and first words of a report of the bench's `run`."""
    breaks = report["breaks"]
    rules = " ".join(f"{rule} {count}" for rule, count in sorted(breaks.items()))
    words = [f"{first['at_s']:.1f} s {first['rule']}: {first['what']}" for first in report["first"]]
    if report["fault"]:
        words.append(f"fault: {report['fault']}")
    words += [f"short: {short}" for short in report["short"]]
    if report["unserved"] > UNSERVED:
        words.append(f"unserved {report['unserved']:.2f}")
    failed = bool(words or breaks)
    words += [f"missed: {missed}" for missed in report["missed"]]
    return "failed" if failed else "passed", rules, "; ".join(words)[:TOLD].replace("\n", " ")


def build() -> str:
    """The last commit that changed what is played, with a plus where files differ from it."""

    def git(*words: str) -> str:
        words = ("git", *words, "--", "pinward", "deploy", ":!pinward/command", ":!deploy/checked")
        return subprocess.run(words, capture_output=True, text=True, check=False).stdout.strip()

    changed = git("status", "--porcelain", "--untracked-files=no")
    return git("log", "-1", "--format=%h") + ("+" if changed else "")


def play(bench: Path, site: Path, file: Path, of: str, limit_s: float = DAY_S) -> Played:
    """One day; its output lies beside its file, as FILE.out. Given up at the limit, with all it started."""
    day = tomllib.loads(file.read_text())
    began = time.monotonic()
    cut = refused = worked_on = 0
    with tempfile.TemporaryDirectory() as folder, file.with_suffix(".out").open("wb") as out:
        report = Path(folder) / "report.json"
        words = (bench, "run", site, file, "--report", report, "--why", f"Drawn day {day['name']} on {of}")
        run = subprocess.Popen(words, stdout=out, stderr=subprocess.STDOUT, start_new_session=True)
        try:
            status = run.wait(timeout=limit_s)
            told = json.loads(report.read_text())
            gate, broken, why = weigh(told)
            cut, refused = (told.get("ends", {}).get(name, 0) for name in (CUT, NOT_CONNECTED))
            worked_on = next((worth for name, worth, *_ in told.get("prices", ()) if name == WORKED_ON), 0)
            if cut and not day.get("faults") and "closing" not in day:  # nothing but planned work
                gate, why = "failed", f"{cut} requests without an answer; {why}"[:TOLD]
            score = float(told["G"] or 0.0)  # none where a day has a fault
        except subprocess.TimeoutExpired:
            end(run)
            gate, broken, why, score = "not played", "", f"given up after {limit_s:.0f} s", 0.0
        except (OSError, ValueError, KeyError) as fault:
            gate, broken, why, score = "not played", "", f"exit {status}, report: {fault!r}"[:TOLD], 0.0
    wall_s = time.monotonic() - began
    return Played(of, file.stem, day["seed"], score, gate, broken, why, wall_s, cut, refused, worked_on)


def end(run: subprocess.Popen[bytes]) -> None:
    """Ends a bench and what it started: it leads a process group of its own."""
    for by in (signal.SIGTERM, signal.SIGKILL):
        try:
            os.killpg(run.pid, by)
            run.wait(timeout=LATE_S)
        except (ProcessLookupError, subprocess.TimeoutExpired):
            continue


def hunt(
    bench: Path, sites: dict[str, Path], files: Iterable[Path], jobs: int, for_s: float, results: Path,
    say: Callable[[str], None] = print,
) -> list[Played]:  # fmt: skip
    """Plays days until all are played or the time is up; no day begins after that.

    A day's site is the one whose name its file begins with; a line goes to `results` as each ends.
    """
    until = time.monotonic() + for_s
    of = build()
    results.parent.mkdir(parents=True, exist_ok=True)

    def one(file: Path) -> Played | None:
        if time.monotonic() >= until:
            return None
        name = max((name for name in sites if file.name.startswith(f"{name}-")), key=len)
        played = play(bench, sites[name], file, of)
        with results.open("a") as lines:
            lines.write(f"{played.line()}\n")
        say(played.line())
        return played

    with ThreadPoolExecutor(jobs) as pool:
        return [played for played in pool.map(one, files) if played is not None]
