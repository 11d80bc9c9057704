"""A gateway of real processes on loopback whose proxies are restarted in series that overlap.

Beside the restarts, processes are reloaded at any moment of their life, some are told twice to end, control
servers are restarted and configurations come in series. Clients use each connection until it ends. Nothing
unplanned happens, so each request is served, refused before it ran, or known to its client as not read; what
a leaving proxy gives up was sent early in the grace. Machines refuse some requests, clients send these again
under their ids, and copies of earlier answers come in between. Judged are the records of clients and
machines; where hostile clients come beside them, also what processes hold.
"""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from random import Random

import aiohttp

from pinward.switchboard.leaving import HEARD_S
from standin.agreement import QUIET_S, Agreement, Asked
from standin.gateway_rig import EDGE, MACHINES, SOCK, Machine, Rig, changed_plan, has_more
from standin.hostile_drill import BoundedRig
from standin.hostile_load import HostileLoad
from standin.leaving import ONCE_MARK, Address, BusyClient, Outcome, Records
from standin.refusing_machine import RefusingMachine
from standin.run_logs import run_folder

MACHINES_COUNT = 12
CLIENTS_BESIDE = 12  # clients of a run, and as many again as a proxy has
CLIENTS_PER_PROXY = 3
START_S = 60.0  # s for the gateway to serve its first request at each proxy
ENDED_S = 6.0  # s for a process to end after SIGTERM: its grace and more
STEP_S = 0.02  # s between looks at a process that ends
TERM_GAP_S = (0.05, 0.5)  # s between two SIGTERMs of a series, drawn for each series
HUP_GAP_S = (0.05, 0.6)  # s between two SIGHUPs
CHANGE_GAP_S = (0.02, 0.3)  # s between two configurations
CORE_GAP_S = (2.0, 4.0)  # s between restarts of control servers
REST_GAP_S = (0.0, 1.0)  # s between two series
TWICE = 0.2  # share of the processes told to end that are told so again
PLATFORM_S = 0.1  # s between the platform's looks for processes that ended
LATE_ANSWERS_S = 5.0  # s that clients have for their last answers


@dataclass
class RestartsSoak:
    """One run. `seconds` of load, after the gateway has come up."""

    seed: int
    seconds: float
    folder: Path
    proxies: int = 3
    crowds: int = 0  # of hostile clients, at a time
    records: Records = field(default_factory=Records)
    signals: Counter[str] = field(default_factory=Counter)
    changes: int = 0
    acknowledged: int = 0  # the highest version
    disagreements: list[str] = field(default_factory=list)  # of control servers and proxies at the end
    not_ended: list[str] = field(default_factory=list)  # processes that outlasted their grace
    ended: list[str] = field(default_factory=list)  # processes that ended by themselves
    end_at: float = 0.0

    def __post_init__(self) -> None:
        self.chance = Random(self.seed)
        rig = BoundedRig if self.crowds else Rig
        self.rig = rig(self.folder, cores=3, fronts=self.proxies)
        self.hostile = HostileLoad(self.seed, self.rig, self.crowds, lambda: self.over)
        self.machines = [
            RefusingMachine(f"i-{number:04d}", seed=self.seed) for number in range(1, MACHINES_COUNT + 1)
        ]
        self.beats = [Machine(number) for number in range(1, MACHINES_COUNT + 1)]
        self.processes = self.rig.processes()
        self.leaving: set[str] = set()  # processes that are being restarted

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    @property
    def over(self) -> bool:
        return self.now() >= self.end_at

    async def pause(self, span_s: tuple[float, float]) -> None:
        await asyncio.sleep(self.chance.uniform(*span_s))

    # Planned work.

    async def restart(self, ip: str) -> None:
        """Tells a process to end, and starts it again once it has."""
        self.leaving.add(ip)
        process = self.processes[ip]
        self.signals["SIGTERM"] += 1
        self.records.signalled.setdefault((ip, EDGE), []).append(self.now())
        process.signal(signal.SIGTERM)
        if self.chance.random() < TWICE:
            await asyncio.sleep(self.chance.uniform(0.0, 1.0))
            process.signal(signal.SIGTERM)
        until = self.now() + ENDED_S
        while process.alive:
            if self.now() > until:
                self.not_ended.append(ip)
                process.kill()
            await asyncio.sleep(STEP_S)
        process.start()
        self.leaving.discard(ip)

    async def restart_proxies(self) -> None:
        """One series after another; each tells proxies in turn, whether the last have come back or not."""
        running: list[asyncio.Task[None]] = []
        while not self.over:
            gap_s = self.chance.uniform(*TERM_GAP_S)
            for ip in self.chance.sample(self.rig.fronts, len(self.rig.fronts)):
                if self.over:
                    break
                if ip not in self.leaving:
                    running.append(asyncio.ensure_future(self.restart(ip)))
                await asyncio.sleep(gap_s)
            await self.pause(REST_GAP_S)
        await asyncio.gather(*running)

    async def restart_cores(self) -> None:
        while not self.over:
            await self.pause(CORE_GAP_S)
            await self.restart(self.chance.choice(self.rig.cores))

    async def start_ended(self) -> None:
        """Starts again whatever ends by itself, as the platform does.

        SIGHUP in the first moments of the interpreter ends a process: that is counted. All else is a fault.
        """
        while True:
            await asyncio.sleep(PLATFORM_S)
            for ip, process in self.processes.items():
                if process.alive or ip in self.leaving or process.child is None:
                    continue
                if process.child.returncode == -signal.SIGHUP:
                    self.signals["ended by SIGHUP"] += 1
                else:
                    self.ended.append(f"{ip}: ended by itself with {process.child.returncode}")
                process.start()

    async def reload(self) -> None:
        """SIGHUP at any moment of a process's life."""
        while not self.over:
            await self.pause(HUP_GAP_S)
            self.signals["SIGHUP"] += 1
            self.processes[self.chance.choice(list(self.processes))].signal(signal.SIGHUP)

    async def configure(self, http: aiohttp.ClientSession) -> None:
        while not self.over:
            await self.pause(CHANGE_GAP_S)
            await self.change(http)

    async def change(self, http: aiohttp.ClientSession) -> None:
        """Puts the next configuration."""
        self.changes += 1
        version = self.changes
        status, _ = await self.rig.call(http, "PUT", "/cfg", changed_plan(version))
        if status == 200:
            self.acknowledged = max(self.acknowledged, version)

    # Clients.

    def proxy(self) -> Address:
        """Where a client connects: a proxy that is not known to leave, where there is one."""
        known = [ip for ip in self.rig.fronts if not self.known_to_leave(ip)]
        return self.chance.choice(known or self.rig.fronts), EDGE

    def known_to_leave(self, ip: str) -> bool:
        return ip in self.leaving and self.now() > self.records.signalled[ip, EDGE][-1] + HEARD_S

    async def serving(self, http: aiohttp.ClientSession) -> None:
        """Waits until all proxies forward. Raises TimeoutError where they do not in time."""
        async with asyncio.timeout(START_S):
            for ip in self.rig.fronts:
                while await self.probe(http, ip) != 200:
                    await self.change(http)
                    await asyncio.sleep(0.1)

    @staticmethod
    async def probe(http: aiohttp.ClientSession, ip: str) -> int:
        headers = {"Host": "toy.example", "X-Try-Id": "probe", "X-Hold-Ms": "0"}
        try:
            async with http.get(f"http://{ip}:{EDGE}/toy/x", headers=headers) as answer:
                return answer.status
        except aiohttp.ClientError:
            return 0

    async def run(self) -> None:
        for number, machine in enumerate(self.machines, 1):
            await machine.start(MACHINES.format(number), SOCK)
        async with self.rig.running(self.processes, self.beats) as http:
            await self.serving(http)
            platform = asyncio.ensure_future(self.start_ended())
            await self.load(http)
            await self.agree(http)
            platform.cancel()
        for machine in self.machines:
            machine.server.close()

    async def load(self, http: aiohttp.ClientSession) -> None:
        self.end_at = self.now() + self.seconds
        clients = [
            asyncio.ensure_future(
                BusyClient(f"c{number}", self.seed, self.records, self.proxy, lambda: self.over).run()
            )
            for number in range(CLIENTS_BESIDE + CLIENTS_PER_PROXY * self.proxies)
        ]
        await asyncio.gather(
            self.restart_proxies(), self.restart_cores(), self.reload(), self.configure(http),
            self.hostile.run(self.processes),
        )  # fmt: skip
        _, late = await asyncio.wait(clients, timeout=LATE_ANSWERS_S)
        for client in late:
            client.cancel()

    # The judgement.

    async def agree(self, http: aiohttp.ClientSession) -> None:
        """All control servers and proxies hold the configuration that was acknowledged last."""
        for machine in self.machines:
            machine.refuses = 0.0
        agreement = Agreement(self.rig, http, "agree")
        await agreement.started(self.processes)
        await asyncio.sleep(QUIET_S)
        version = await agreement.configuration(self.acknowledged, self.changes)
        more = 200 if has_more(version) else 404
        await agreement.proxies([Asked("GET", "/toy/x"), Asked("GET", "/more/x", more)])
        self.disagreements = agreement.faults

    @property
    def faults(self) -> list[str]:
        """All that no planned work excuses, a line each."""
        ran = Counter(work.id for machine in self.machines for work in machine.works)
        found = self.records.faults(self.rig.grace_s)
        for request in self.records.requests:
            if request.outcome is None:
                found.append(f"{request.id}: no answer and no end")
            if not request.id.startswith(ONCE_MARK):
                continue
            if ran[request.id] > 1:
                found.append(f"{request.id}: run {ran[request.id]} times")
        found += self.run_though_refused()
        found += [f"{ip}: did not end within its grace" for ip in self.not_ended]
        found += self.hostile.faults if self.crowds else []
        return found + self.ended + self.disagreements

    def run_though_refused(self) -> list[str]:
        """Requests that may run once, were refused, and ran before their client sent them again."""
        began: dict[str, list[float]] = {}
        for machine in self.machines:
            for work in machine.works:
                began.setdefault(work.id, []).append(work.began)
        again_at: dict[str, float] = {}  # when its client sent an id next
        found = []
        for request in reversed(self.records.requests):
            until = again_at.get(request.id, inf)
            again_at[request.id] = request.sent_at
            if not request.id.startswith(ONCE_MARK) or request.outcome is not Outcome.REFUSED:
                continue
            if any(request.sent_at <= at < until for at in began.get(request.id, ())):
                found.append(f"{request.id}: refused, and run")
        return found

    def figures(self) -> dict[str, object]:
        """The run in one row."""
        return {
            "seed": self.seed, "proxies": self.proxies, "requests": len(self.records.requests),
            **self.records.counts, "refused_connections": self.records.refused_connections,
            "repeats": len(self.records.requests) - len({one.id for one in self.records.requests}),
            "copies": sum(machine.copies for machine in self.machines),
            **(self.hostile.figures() if self.crowds else {}),
            **self.signals, "changes": self.changes, "faults": len(self.faults),
        }  # fmt: skip


def played(seed: int, seconds: float, proxies: int = 3, crowds: int = 0) -> RestartsSoak:
    """One run, whole."""
    with run_folder(f"restarts-{seed}") as folder:
        soak = RestartsSoak(seed, seconds, folder.path, proxies, crowds)
        asyncio.run(soak.run())
        folder.keeps = bool(soak.faults)
        return soak
