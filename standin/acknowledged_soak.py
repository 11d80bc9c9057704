"""What was answered 200 outlives a kill of all control servers right behind it: real processes on loopback.

Round after round, operators and machines are acknowledged a few things at the same time: a configuration, a
roll-out order, drains, `DELETE`s of machines that are known and of one whose first beat is yet to come. At
that moment all control servers and a proxy are killed; some rounds take their power as well, some a disk,
some a disk and the power of all else, proxies too.
Then all are started again, and after a bound every control server and proxy must treat all as acknowledged.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from aiohttp import web

from standin.agreement import QUIET_S, Agreement, Asked
from standin.gateway_rig import EDGE, Machine, Rig, plan
from standin.power_loss import lose_disk, lose_power
from standin.run_logs import run_folder

DRAIN_S = 2.0  # s, the users' bound, as the settings have it by default
KNOWN_S = 4.0  # s after a start until a control server knows all machines
JOINED_S = (0.5, 1.5)  # s from a machine's join, its first beat within half a second, to what is acknowledged
TRAFFIC_S = 0.02  # s between two requests of the client that each proxy has all the time
ACKNOWLEDGED_S = 5.0  # s for an acknowledgement
KILL_S = (0.0, 0.03)  # s from the last 200 to the kill, drawn
DOWN_S = (0.1, 0.6)  # s until the processes are started again, drawn
LATE_BEAT_S = 1.0  # s after the start at which a first beat comes that a `DELETE` has overtaken
ACTS_MOST = 3  # at the same time
# What a round takes, drawn: the power of all, a disk. With both, all proxies go too.
LOSSES = ((False, False), (True, False), (True, False), (False, True), (True, True), (True, True))
MACHINES_COUNT = 5  # that a round begins with
START_S = 30.0  # s for the gateway to serve its first request
ORDERED = "kiosk"  # the service with a roll-out; the others' machines come and go
TARGET = "v2"


class RecordingMachine(Machine):
    """Records when requests reach it; a client's call for health is none."""

    def __init__(self, number: int, build: str = "v1", service: str = "toy") -> None:
        super().__init__(number, build, service)
        self.reached: list[float] = []

    async def answer(self, request: web.Request) -> web.Response:
        if request.path != "/hc" and request.headers.get("X-Want-Machine", self.iid) == self.iid:
            self.reached.append(asyncio.get_running_loop().time())
        return await super().answer(request)


class WatchedRig(Rig):
    """Control servers whose synced files are known; `Init` is true for the first start alone."""

    first = True

    def settings(self, ip: str) -> Path:
        path = super().settings(ip)
        told = json.loads(path.read_text())
        told["Self"]["Init"] = self.first
        path.write_text(json.dumps(told))
        return path

    def folder_of(self, core: str) -> Path:
        return Path(json.loads(self.settings(core).read_text())["Self"]["VarDir"])


@dataclass
class AcknowledgedSoak:
    """One run of some rounds."""

    seed: int
    rounds: int
    folder: Path
    faults: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    version: int = 1
    ordered: bool = False
    number: int = 0  # of the machine that came last
    late: RecordingMachine | None = None  # whose first beat comes behind its `DELETE`

    def __post_init__(self) -> None:
        self.chance = Random(f"acknowledged.{self.seed}")
        self.rig = WatchedRig(self.folder)
        self.processes = self.rig.processes()
        for core in self.rig.cores:
            self.processes[core].words[0] = "standin.power_loss"
        self.machines: list[Machine] = []  # that beat
        self.departed: dict[str, tuple[RecordingMachine, float]] = {}  # of this round, and when acknowledged

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    # Machines and operators.

    async def machine(self, build: str = "v1", service: str = "toy", beats: bool = True) -> RecordingMachine:
        self.number += 1
        machine = RecordingMachine(self.number, build, service)
        await machine.start()
        if beats:
            self.machines.append(machine)
        return machine

    def plan(self, version: int) -> dict[str, Any]:
        """A configuration with a route that its version alone has."""
        sheet = plan(version)
        route, service = sheet["Hosts"][0]["Vroutes"][0], sheet["Svcs"][0]
        for prefix, name in ((f"/v{version}/", "toy"), (f"/{ORDERED}/", ORDERED)):
            sheet["Hosts"][0]["Vroutes"].append({**route, "Name": f"r{prefix}", "Pfx": prefix, "Svc": name})
        sheet["Svcs"].append({**service, "Name": ORDERED})
        return sheet

    async def acknowledged(self, verb: str, path: str, body: Callable[[], Any] = lambda: None) -> bool:
        """A call until it is answered 200; False where that takes too long."""
        until = self.now() + ACKNOWLEDGED_S
        while self.now() < until:
            status, _ = await self.rig.call(self.http, verb, path, body())
            if status == 200:
                return True
            await asyncio.sleep(0.02)
        self.faults.append(f"{verb} {path}: not acknowledged within {ACKNOWLEDGED_S:.0f} s")
        return False

    async def configure(self) -> None:
        sheet = self.plan(self.version + 1)
        if await self.acknowledged("PUT", "/cfg", lambda: sheet):
            self.version += 1

    async def order(self) -> None:
        if not self.ordered:
            body = {"Svc": ORDERED, "Target": TARGET, "Over": "600s"}
            self.ordered = await self.acknowledged("POST", "/rolls", lambda: body)

    async def leave(self, machine: RecordingMachine, drains: bool) -> None:
        if machine in self.machines:
            self.machines.remove(machine)
        verb, phase = ("PUT", lambda: machine.beat("drain")) if drains else ("DELETE", lambda: None)
        if await self.acknowledged(verb, f"/machines/{machine.iid}", phase):
            self.departed[machine.iid] = (machine, self.now())

    async def drain(self) -> None:
        await self.leave(self.leaver(), drains=True)

    async def delete(self) -> None:
        await self.leave(self.leaver(), drains=False)

    async def delete_before_the_first_beat(self) -> None:
        self.late = await self.machine(beats=False)
        await self.leave(self.late, drains=False)

    def leaver(self) -> RecordingMachine:
        some = [m for m in self.machines if isinstance(m, RecordingMachine) and m.service == "toy"]
        chosen = self.chance.choice(some)
        self.machines.remove(chosen)
        return chosen

    # A round.

    async def play_round(self) -> None:
        self.departed, self.late = {}, None
        while sum(machine.service == "toy" for machine in self.machines) < MACHINES_COUNT:
            await self.machine()
        await asyncio.sleep(KNOWN_S)
        await self.machine()  # a step of a release: one joins before another leaves
        await asyncio.sleep(self.chance.uniform(*JOINED_S))
        acts: list[Callable[[], Awaitable[None]]] = [
            self.configure, self.order, self.drain, self.delete, self.delete_before_the_first_beat,
        ]  # fmt: skip
        some = self.chance.sample(acts, self.chance.randint(1, ACTS_MOST))
        self.counts.update(act.__name__ for act in some)
        await asyncio.gather(*(act() for act in some))
        await asyncio.sleep(self.chance.uniform(*KILL_S))
        await self.kill_all()
        await self.agreement.started(self.processes)
        back = self.now()
        await asyncio.sleep(LATE_BEAT_S)
        if self.late is not None:
            await self.rig.call(self.http, "PUT", f"/machines/{self.late.iid}", self.late.beat())
        await asyncio.sleep(max(0.0, back + QUIET_S - self.now()))
        await self.judge(back + QUIET_S)
        for machine, _ in self.departed.values():
            assert machine.runner is not None
            await machine.runner.cleanup()

    async def kill_all(self) -> None:
        """All control servers and proxies at one moment; they come back with what the disks hold."""
        power, disk = self.chance.choice(LOSSES)
        fronts = self.rig.fronts if power and disk else [self.chance.choice(self.rig.fronts)]
        killed = [*self.rig.cores, *fronts]
        for ip in killed:
            self.processes[ip].kill()
        lost = self.chance.choice(self.rig.cores) if disk else ""
        self.counts.update(["power lost"] * power + ["disk lost"] * disk + ["both"] * (power and disk))
        self.rig.first = False
        for core in self.rig.cores:
            folder = self.rig.folder_of(core)
            if core == lost:
                lose_disk(folder)
            elif power:
                lose_power(folder)
        await asyncio.sleep(self.chance.uniform(*DOWN_S))
        for ip in killed:
            self.rig.settings(ip)
            self.processes[ip].start()

    # The judgement, from answers and arrivals alone.

    def fault(self, what: str) -> None:
        self.faults.append(f"version {self.version}: {what}")

    def judge_processes(self) -> None:
        """None has ended by itself since it was started."""
        for ip, process in self.processes.items():
            if not process.alive and process.child is not None:
                last = process.output.read_text(errors="replace").splitlines()[-1:]
                self.fault(f"{ip} ended by itself with {process.child.returncode}: {last}")

    async def judge(self, counted_from: float) -> None:
        self.judge_processes()
        agreement = self.agreement
        await agreement.configuration(self.version, self.version)
        if self.ordered:
            await agreement.order(ORDERED, TARGET)
        routes = [Asked("GET", "/toy/x"), Asked("POST", "/book/x"), Asked("GET", f"/v{self.version}/x")]
        self.counts["requests"] += await agreement.proxies(routes)
        for fault in agreement.faults:
            self.fault(fault)
        agreement.faults.clear()
        for machine, at in self.departed.values():
            late = sum(reached > max(counted_from, at + DRAIN_S) for reached in machine.reached)
            if late:
                self.fault(f"{late} requests reach {machine.iid}, whose leave was acknowledged")

    async def traffic(self, front: str) -> None:
        """Requests without a pause: a machine that answers is kept in use, so that no error mends itself."""
        while True:
            await asyncio.gather(self.agreement.ask(front, EDGE, "POST", "/book/x"), asyncio.sleep(TRAFFIC_S))

    # The run.

    async def serving(self) -> None:
        """Waits until all proxies forward. Raises TimeoutError where they do not in time."""
        async with asyncio.timeout(START_S):
            while (await self.rig.call(self.http, "PUT", "/cfg", self.plan(1)))[0] != 200:
                await asyncio.sleep(0.1)
            for front in self.rig.fronts:
                while (await self.agreement.ask(front, EDGE, "GET", "/toy/x"))[0] != 200:
                    await asyncio.sleep(0.1)

    async def run(self) -> None:
        for _ in range(MACHINES_COUNT):
            await self.machine()
        for build in ("v1", "v1", TARGET):
            await self.machine(build, ORDERED)
        async with self.rig.running(self.processes, self.machines) as self.http:
            self.agreement = Agreement(self.rig, self.http, str(self.seed))
            await self.serving()
            clients = [asyncio.ensure_future(self.traffic(front)) for front in self.rig.fronts]
            for _ in range(self.rounds):
                await self.play_round()
            for client in clients:
                client.cancel()
        for machine in self.machines:
            if machine.runner is not None:
                await machine.runner.cleanup()

    def figures(self) -> dict[str, object]:
        """The run in one row."""
        return {"seed": self.seed, "rounds": self.rounds, **self.counts, "faults": len(self.faults)}


def played(seed: int, rounds: int) -> AcknowledgedSoak:
    """One run, whole."""
    with run_folder(f"acknowledged-{seed}") as folder:
        soak = AcknowledgedSoak(seed, rounds, folder.path)
        asyncio.run(soak.run())
        folder.keeps = bool(soak.faults)
        return soak
