"""A crowd of hostile clients at one listener of a gateway of real processes, and what its process held.

Memory and descriptors are bounded by the process's own settings (`Caps`): what is judged does not depend on
the machine's speed.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from example import toy
from standin.gateway_rig import CTL, EDGE, UP, Machine, Rig, plan
from standin.hostile_clients import Crowd, kind_for
from standin.processes import ROOT, Process

MEMORY_MB = 96  # MB that a process may hold, by its settings
DESCRIPTORS = 300  # that a process may have open, by its settings and by its limit
RESERVED = 200  # descriptors that the platform keeps for files outside the disk's folder
LOG_MOST = 16 * 1024  # bytes that a crowd may make a process log
CLIENTS, BYTES = 64, 4 * 2**20  # of a crowd, and that each of them writes at the most
CROWDS = {"no request at all": 150}  # clients of other kinds: more than there are descriptors
SERVED_S = 30.0  # s of patience for one ordinary request to be answered
LOOK_S = 0.05  # s between looks at a process
LONG_ANSWER = 2**20  # bytes
SLOW_S = 0.5  # s that a slow answer takes


class BusyMachine(Machine):
    """A toy machine with slow and long answers."""

    async def answer(self, request: web.Request) -> web.Response:
        made = await super().answer(request)
        if request.path.endswith("/slow"):
            await asyncio.sleep(SLOW_S)
        if request.path.endswith("/long") and made.status == 200:
            made.body = b"l" * LONG_ANSWER
        return made


class BoundedRig(Rig):
    """A rig whose processes are told less memory and fewer descriptors."""

    def settings(self, ip: str) -> Path:
        path = super().settings(ip)
        told = json.loads(path.read_text())
        told["Self"]["Caps"] = {"Cpu": 1.0, "Ncpu": 1, "MemMb": MEMORY_MB, "Nofile": DESCRIPTORS}
        path.write_text(json.dumps(told, indent=1))
        return path


@dataclass(frozen=True)
class Held:
    """What a process held and did under a crowd."""

    alive: bool
    peak_kib: int
    sockets: int  # descriptors beside files, at the most that was seen
    logged: int  # bytes
    sent: int  # bytes, by the crowd
    answered_beside: bool  # one ordinary request, while the crowd's connections were open
    answered_after: bool

    @property
    def faults(self) -> list[str]:
        """What must not be."""
        found = []
        if not self.alive:
            found.append("the process ended")
        if self.peak_kib > MEMORY_MB * 1024:
            found.append(f"memory: {self.peak_kib} KiB at its peak")
        if self.sockets > DESCRIPTORS - RESERVED:
            found.append(f"descriptors: {self.sockets} sockets and pipes")
        if self.logged > LOG_MOST:
            found.append(f"log: {self.logged} bytes")
        if not self.answered_beside:
            found.append("no answer to an ordinary request beside the crowd")
        if not self.answered_after:
            found.append("no answer to an ordinary request after the crowd")
        return found


class CrowdDrill:
    """A listener of a process that meets one crowd after another, a new process each."""

    listener: str
    where: tuple[str, int]
    process: Process
    sockets = 0  # the most that were seen

    def ordinary(self) -> tuple[str, dict[str, str]]:
        """The path and headers of an ordinary caller's request."""
        raise NotImplementedError

    async def answered(self) -> bool:
        """True where one ordinary request is answered with 200 in the end, each try on a new connection."""
        path, headers = self.ordinary()
        url = f"http://{self.where[0]}:{self.where[1]}{path}"
        limit = aiohttp.ClientTimeout(total=5.0)
        try:
            async with asyncio.timeout(SERVED_S):
                while True:
                    try:
                        async with (
                            aiohttp.ClientSession(timeout=limit) as http,
                            http.get(url, headers=headers) as answer,
                        ):
                            if answer.status == 200 and await answer.read() is not None:
                                return True
                    except (aiohttp.ClientError, OSError, TimeoutError):
                        pass
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            return False

    def look(self) -> None:
        self.sockets = max(self.sockets, sockets_of(self.process))

    async def watch(self) -> None:
        """Looks at the process's descriptors, for ever."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_S)

    async def play(self, kind: str) -> Held:
        """One crowd at a new process. Raises AssertionError where that does not serve before."""
        self.process.kill()
        self.process.start()
        if not await self.answered():
            raise AssertionError("the process does not serve before the crowd comes")
        bound_descriptors(self.process)
        self.sockets, logged = 0, self.process.output.stat().st_size
        crowd = Crowd(kind_for(self.listener, kind), self.where, CROWDS.get(kind, CLIENTS), BYTES)
        watching = asyncio.ensure_future(self.watch())
        await crowd.play()
        self.look()
        beside = await self.answered()
        self.look()
        peak = peak_kib(self.process)
        crowd.close()
        after = await self.answered()
        watching.cancel()
        return Held(
            self.process.alive, max(peak, peak_kib(self.process)), self.sockets,
            self.process.output.stat().st_size - logged, crowd.sent, beside, after,
        )  # fmt: skip


class HostileDrill(CrowdDrill):
    """A gateway of real processes, one of whose listeners, `Edge`, `Up` or `Ctl`, meets the crowds.

    `env`: further variables of the listener's process.
    """

    def __init__(self, listener: str, folder: Path, env: dict[str, str] | None = None) -> None:
        self.rig = BoundedRig(folder, cores=3, fronts=1)
        self.processes = self.rig.processes()
        core, proxy = self.rig.cores[0], self.rig.fronts[0]
        places = {"Edge": (proxy, EDGE), "Up": (proxy, UP), "Ctl": (core, CTL)}
        self.listener, self.where = listener, places[listener]
        self.process = self.processes[self.where[0]]
        self.process.env.update(env or {})

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """The gateway serves."""
        machines: list[Any] = [BusyMachine(1), BusyMachine(2)]
        for machine in machines:
            await machine.start()
        try:
            async with self.rig.running(self.processes, machines) as http:
                async with asyncio.timeout(SERVED_S):
                    while (await self.rig.call(http, "PUT", "/cfg", plan(1)))[0] != 200:
                        await asyncio.sleep(LOOK_S)
                yield
        finally:
            for machine in machines:
                await machine.runner.cleanup()

    def ordinary(self) -> tuple[str, dict[str, str]]:
        match self.listener:
            case "Edge":
                return "/toy/x", {"Host": "toy.example", "X-Try-Id": "ordinary"}
            case "Up":
                return "/up", {}
        return "/cfg", {}


class SidecarDrill(CrowdDrill):
    """The sidecar before the toy fleet of `example/`."""

    listener, where = "Sidecar", ("127.0.0.1", 9000)

    def __init__(self, folder: Path) -> None:
        told = json.loads((ROOT / "example/config.json").read_text())
        told["limits"] = {**told["limits"], "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS - RESERVED}
        config = folder / "config.json"
        config.write_text(json.dumps(told))
        env = {"ROUTER_CONFIG": str(config)}
        self.process = Process("sidecar", ["pinward"], folder / "sidecar.log", env)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """The toy fleet serves."""
        servers = toy.start()
        try:
            yield
        finally:
            self.process.kill()
            for server in servers:
                server.shutdown()
                server.server_close()

    def ordinary(self) -> tuple[str, dict[str, str]]:
        fields = {"Request-Id": "ordinary", "Request-Class": "quote", "Request-Timeout-Ms": "2000"}
        return "/api?do=settle", fields


def status_of(process: Process) -> Path:
    return Path(f"/proc/{process.child.pid if process.child else 0}")


def peak_kib(process: Process) -> int:
    """The most memory that a process was resident with; 0 where it is gone."""
    try:
        rows = (status_of(process) / "status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(row.split()[1]) for row in rows if row.startswith("VmHWM")), 0)


def sockets_of(process: Process) -> int:
    """Sockets and pipes that a process has open."""
    number = 0
    try:
        for path in (status_of(process) / "fd").iterdir():
            try:
                number += os.readlink(path).startswith(("socket:", "pipe:"))
            except OSError:
                continue
    except OSError:
        return number
    return number


def bound_descriptors(process: Process) -> None:
    """Has the kernel hold a process to the descriptors of its settings."""
    assert process.child is not None
    resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
