"""The trial of owners: control instances, members and targets as real processes under faults, and a checker.

Sides run on the same steps: sound, with clocks that run up to `skew` fast or slow; `beyond`, with clocks far
outside it, where tokens alone must hold; `unfenced` (targets compare no tokens); `unleased` (members act on
belief, whatever their clock says, with targets that compare). The checker reads only what the targets wrote
down, and which one-off work was ended.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from typing import Any, TextIO

from standin.installation import DESK_PORT, TAKER_PORT, Installation, Step
from standin.installation import in_folder, play_seeds, rows, spread

INSTANCES, MEMBERS, TARGETS = 3, 4, 2
START_S = 15.0  # s for a process to answer after its start
HOLD_S, MEMBER_BEAT_S, FLIGHT_S, TAKEOVER_S = 1.0, 0.1, 0.1, 6.0
SETTINGS = [
    "owners {", f"  hold {HOLD_S:g}s", f"  member-beat {MEMBER_BEAT_S * 1000:g}ms",
    f"  flight {FLIGHT_S * 1000:g}ms", f"  takeover {TAKEOVER_S:g}s", "  warm 500ms",
    "  moves-per-second 50", "  duty work {", "    kind split", "    parts 8", "  }",
    "  duty watch {", "    kind single", "  }",
    "  duty periodic {", "    kind periodic", "    period 400ms", "  }", "}",
]  # fmt: skip
KINDS = (
    "kill", "pause", "cut-in", "cut-out", "stop-checked", "stop-checked", "stop-asked", "stop-answered",
    "late-effect", "late-effect", "kill-leader", "kill-both", "yield", "twice", "older-disk", "emptied",
    "target-down", "kill-all", "reset", "cut-targets",
)  # fmt: skip
ALWAYS = ("stop-checked", "late-effect", "older-disk", "kill-both", "twice")  # strike in every seed
SIDES = ("sound", "beyond", "unfenced", "unleased")
SKEW, BEYOND = 0.1, 0.5  # of the settings; and what clocks are off by on that side
ONCE = 3  # pieces of one-off work a seed


def script(seed: int, seconds: float) -> list[Step]:
    """The faults of a seed: those that must always strike among others drawn by chance."""
    chance, at, steps = Random(seed), 1.0, []
    due = list(ALWAYS)
    chance.shuffle(due)
    while at < seconds or due:
        what = due.pop() if due else chance.choice(KINDS)
        steps.append(Step(at, what, (f"m{chance.randint(1, MEMBERS)}",), chance.uniform(0.4, 2.5 * HOLD_S)))
        at += chance.uniform(0.3, 1.2)
    return steps


class Trial(Installation):
    def __init__(self, seed: int, seconds: float, folder: Path, slot: int, side: str = "sound") -> None:
        super().__init__(seed, INSTANCES, folder, slot)
        self.seconds, self.side, self.chance = seconds, side, Random(seed + 1)
        self.members = [f"m{n}" for n in range(1, MEMBERS + 1)]
        self.targets = [f"t{n}" for n in range(1, TARGETS + 1)]
        off, chance = BEYOND if side == "beyond" else SKEW, Random(seed + 2)
        clocked = [*self.names, *self.members]
        self.rates = {name: chance.choice([1 - off, 1.0, 1 + off]) for name in clocked}
        self.takeovers: list[tuple[str, float]] = []  # members that died, and when
        self.ended: set[str] = set()
        self.copies = 0  # machines that were copied

    # Setting up.

    def write_member(self, name: str, as_name: str = "") -> Path:
        lines = [
            f"name {as_name or name}", f"state {self.folder / name}", f"hold {HOLD_S:g}s",
            f"member-beat {MEMBER_BEAT_S * 1000:g}ms", f"flight {FLIGHT_S * 1000:g}ms",
            f"speak-from {self.own(name)}", f"seed {self.seed}",
        ]  # fmt: skip
        for n in self.names:
            lines += [f"desk {n} {{", f"  address {self.shown(n)}:{DESK_PORT}", "}"]
        path = self.folder / f"{name}.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    def add_member(self, name: str, as_name: str = "") -> None:
        self.net.names[self.own(name)] = name
        takers = [f"{self.shown(t)}:{TAKER_PORT}" for t in self.targets]
        words = ["standin.owning", str(self.write_member(name, as_name)), *takers]
        words += ["--unleased"] if self.side == "unleased" else []
        self.add(name, words, self.rates.get(name, 1.0), PINWARD_POINTS=str(self.points(name)))

    async def set_up(self) -> None:
        await self.add_instances(SETTINGS, self.rates)
        for t in self.targets:
            await self.proxy(t, TAKER_PORT)
            words = ["standin.target", f"{self.own(t)}:{TAKER_PORT}"]
            words += [str(self.record(t)), str(self.folder / t)]
            words += ["--unfenced"] if self.side == "unfenced" else []
            self.add(t, words, PINWARD_POINTS=str(self.points(t)))
        for name in self.members:
            self.add_member(name)
        self.start_all()

    def record(self, target: str) -> Path:
        return self.folder / f"{target}.record"

    async def owner(self) -> str:
        """A member that owns something now, or any."""
        parts = (await self.shown_by_leader()).get("parts", {})
        owners = sorted({who for who, *_ in parts.values() if who in self.members})
        return self.chance.choice([n for n in owners if self.processes[n].alive] or self.members)

    async def all_owned(self) -> bool:
        shown = await self.shown_by_leader()
        stands = [member["stand"] for member in shown.get("members", {}).values()]
        return bool(shown) and not shown["unowned"] and stands.count("lost") < len(stands)

    async def once(self) -> None:
        """One-off work, a piece after another, asked for until it is in the log."""
        for number in range(ONCE):
            part = f"once-{number}"
            while not self.over:
                leader = await self.who_acts()
                answer = await self.ask(leader, do="owners", what="open", part=part) if leader else None
                if answer and ("ok" in answer or "already" in answer.get("error", "")):
                    break
                await asyncio.sleep(0.1)
            while not self.over:
                parts = (await self.shown_by_leader()).get("parts", {})
                if parts.get(part, [0, 0, 0, False])[3]:
                    self.ended.add(part)
                    break
                await asyncio.sleep(0.2)

    # Faults.

    async def fault(self, step: Step) -> None:
        name = await self.owner() if self.chance.random() < 0.8 else step.who[0]
        what, for_s = step.what, step.for_s
        struck = True
        if what == "kill":
            self.died(name)
            await self.kill([name], for_s)
        elif what == "pause":
            await self.pause(name, HOLD_S + for_s)
        elif what in ("cut-in", "cut-out"):
            await self.cut(name, self.names, HOLD_S + for_s, what[4:])
        elif what == "cut-targets":
            await self.cut(name, self.targets, for_s)
        elif what.startswith("stop-"):
            struck = await self.stop_at(name, what[5:])
            if struck:  # for longer than its lease, at that point, and then it goes on
                await asyncio.sleep(HOLD_S + for_s)
                self.processes[name].go_on()
        elif what == "late-effect":
            struck = await self.late_effect(name, for_s)
        elif what == "kill-leader":
            leader = await self.who_acts()
            struck = leader is not None
            await self.kill([leader] if leader else [], for_s)
        elif what == "kill-both":
            leader = await self.who_acts()
            struck = leader is not None
            self.died(name)
            await self.kill([name, leader] if leader else [name], HOLD_S + for_s)
        elif what == "kill-all":
            await self.kill([*self.names, *self.members], for_s)
        elif what == "yield":
            leader = await self.who_acts()
            struck = bool(leader and await self.ask(leader, do="yield"))
        elif what == "twice":
            struck = await self.twice(name)
        elif what in ("older-disk", "emptied"):
            kept = self.copy_disk(name) if what == "older-disk" else None
            await self.kill([name], 0.1)
            await asyncio.sleep(2.5 * HOLD_S)  # until the new start is in the log
            self.processes[name].kill()
            self.put_back(name, kept)
            self.processes[name].start()
            struck = await self.until(self.reported(what), 4 * HOLD_S)
        elif what == "target-down":
            await self.kill([self.chance.choice(self.targets)], min(for_s, 0.5))
        elif what == "reset":
            self.reset(name, [*self.names, *self.targets])
        self.struck[what] += struck

    def reported(self, what: str) -> Callable[[], Any]:
        """True once an instance has said what became of a disk, once more than it had."""
        words = {"older-disk": "an older copy of its disk", "emptied": "another disk than before"}[what]

        def said() -> int:
            return max((self.folder / f"{n}.log").read_text().count(words) for n in self.names)

        before = said()
        return lambda: said() > before

    def died(self, name: str) -> None:
        self.takeovers.append((name, time.monotonic()))

    async def late_effect(self, name: str, for_s: float) -> bool:
        """What an owner had said arrives after the next owner's, with its lease long over."""
        for target in self.targets:
            self.net.cut(name, target)
        await asyncio.sleep(0.1)  # it says its next effects into the cut
        self.processes[name].pause()
        await asyncio.sleep(HOLD_S * 1.5 + for_s)
        for target in self.targets:
            self.net.mend(name, target)
        await asyncio.sleep(0.1)
        self.processes[name].go_on()
        return True

    async def twice(self, name: str) -> bool:
        """A second process under a member's name, on a copy of its disk; it must get nothing."""
        self.copies += 1
        copied = f"m{MEMBERS + self.copies}"
        self.copy_disk(name).rename(self.folder / copied)
        self.add_member(copied, as_name=name)
        self.processes[copied].start()
        # Symptom: on a busy machine its start took longer than the time in which it is watched.
        answers = await self.until(lambda: self.ask(copied, do="status"), START_S)
        await asyncio.sleep(HOLD_S)
        status = await self.ask(copied, do="status")
        self.processes[copied].kill()
        self.processes.pop(copied)
        return answers and status is not None

    # One seed.

    async def play(self) -> dict[str, Any]:
        broken: dict[str, list[Any]] = {}
        try:
            await self.set_up()
            if not await self.until(self.all_owned, 25.0):
                return self.figures({"not owned at the start": [self.seed]})
            once = asyncio.ensure_future(self.once())
            began = time.monotonic()
            for step in script(self.seed, self.seconds):
                await asyncio.sleep(max(0.0, min(step.at, began + step.at - time.monotonic())))
                await self.fault(step)
            await self.mend()
            if not await self.until(self.all_owned, 25.0):
                broken["not owned in the end"] = [self.seed]
            await asyncio.wait([once], timeout=20.0)
            self.over = True
            await once
            await asyncio.sleep(1.0)
        finally:
            await self.close()
        for rule, found in check({t: rows(self.record(t)) for t in self.targets}):
            broken.setdefault(rule, []).append(found)
        if len(self.ended) < ONCE and self.side == "sound":
            broken["lost_steps"] = [f"{len(self.ended)} of {ONCE} pieces of one-off work ended"]
        return self.figures(broken)

    def figures(self, broken: dict[str, list[Any]]) -> dict[str, Any]:
        records = [row for t in self.targets for row in rows(self.record(t))]
        kinds = Counter(row["what"] for row in records)
        return {
            "seed": self.seed, "side": self.side, "broken": broken, "effects": kinds["effect"],
            "stale": kinds["stale"], "struck": dict(self.struck), "ended": len(self.ended),
            "takeover_ms": takeovers(records, self.takeovers),
        }  # fmt: skip


def takeovers(records: list[dict[str, Any]], died: list[tuple[str, float]]) -> list[float]:
    """From an owner's death to the next's first effect on each part it had, in ms, by what targets saw."""
    found: list[float] = []
    last: dict[str, dict[str, Any]] = {}
    for row in sorted((row for row in records if row["what"] == "effect"), key=lambda row: row["at"]):
        part, before = row["part"], last.get(row["part"])
        if before is not None and before["token"] != row["token"]:
            for name, at in died:
                if before["who"] == name and before["at"] <= at + 0.1 and row["at"] > at:
                    found.append(1000 * (row["at"] - at))
                    break
        if before is None or row["token"] >= before["token"]:
            last[part] = row
    return found


def check(records: dict[str, list[dict[str, Any]]]) -> list[tuple[str, Any]]:
    """What is wrong with what targets let in: pairs of the rule and the instance of it."""
    found: list[tuple[str, Any]] = []
    owners: dict[tuple[str, int], str] = {}
    steps: dict[tuple[str, int], int] = {}
    for target, some in records.items():
        highest: dict[str, int] = {}
        stepped: dict[str, int] = {}
        for row in (row for row in some if row["what"] == "effect"):
            part, token, who, step = row["part"], row["token"], row["who"], row["step"]
            if token < highest.get(part, 0):
                found.append(("stale_effects", [target, row, highest[part]]))
            highest[part] = max(token, highest.get(part, 0))
            if owners.setdefault((part, token), who) != who:
                found.append(("two_owners", [target, row, owners[part, token]]))
            if not part.startswith(("once", "periodic")):
                continue
            if steps.setdefault((part, step), token) != token or step <= stepped.get(part, 0):
                found.append(("steps_twice", [target, row]))
            stepped[part] = max(step, stepped.get(part, 0))
    return found


def play_side(seed: int, seconds: float, slot: int, side: str) -> dict[str, Any]:
    def play(folder: Path) -> dict[str, Any]:
        return asyncio.run(Trial(seed, seconds, folder, slot, side).play())

    return in_folder(seed, play)


class Player:
    """One seed of one side, to be sent to a process of the pool."""

    def __init__(self, seconds: float, side: str) -> None:
        self.seconds, self.side = seconds, side

    def __call__(self, seed: int, slot: int) -> dict[str, Any]:
        return play_side(seed, self.seconds, slot, self.side)


def said(figures: dict[str, Any]) -> str:
    return f"{figures['side']}: {figures['effects']} effects, {figures['stale']} refused as stale"


def play_all(
    seeds: Iterable[int], seconds: float, out: TextIO, sides: tuple[str, ...] = SIDES
) -> dict[str, Any]:
    """Plays all seeds on each side; all figures in one. Only the sound side must hold."""
    runs = {side: play_seeds(list(seeds), Player(seconds, side), said, out) for side in sides}
    sound = runs["sound"]
    rules = ("two_owners", "stale_effects", "lost_steps", "steps_twice")
    struck: Counter[str] = Counter()
    for run in sound:
        struck.update(run["struck"])
    never = [kind for kind in ALWAYS if any(not run["struck"].get(kind) for run in sound)]
    if not sum(run["stale"] for run in sound):
        never.append("no stale effect was ever refused")
    broken = {rule: sum(len(run["broken"].get(rule, ())) for run in sound) for rule in rules}
    for run in sound:
        for rule, found in run["broken"].items():
            broken[rule] = broken.get(rule, 0) if rule in rules else broken.get(rule, 0) + len(found)
    return {
        "instances": INSTANCES, "members": MEMBERS, "targets": TARGETS, "seeds": len(sound),
        "seconds_of_faults": seconds, "broken": broken, "never_struck": never, "struck": dict(struck),
        "effects": sum(run["effects"] for run in sound), "stale_refused": sum(run["stale"] for run in sound),
        "takeover_ms": spread(ms for run in sound for ms in run["takeover_ms"]),
        "takeover_told_ms": 1000 * TAKEOVER_S,
        "let_through": {
            side: dict(Counter(rule for run in some for rule, found in run["broken"].items() for _ in found))
            for side, some in runs.items() if side != "sound"
        },
        "runs": [run for some in runs.values() for run in some],
    }  # fmt: skip


if __name__ == "__main__":
    print(json.dumps(play_side(1, 10.0, 0, "sound"), indent=1))
