"""The clients of `connections_drill` around a gateway of real processes under planned work.

One proxy and three control servers are processes. The proxy is reloaded by SIGHUP and restarted by SIGTERM
while the operator puts one configuration after another. Nothing unplanned happens, so each whole request must
be answered, or end for a reason by which its client knows that it was not read.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import aiohttp

from standin.connections_drill import ConnectionsDrill
from standin.gateway_rig import EDGE, MACHINES, SOCK, Machine, Rig, changed_plan
from standin.processes import Process
from standin.run_logs import run_folder

START_S = 20.0  # s for the gateway to serve its first request
END_S = 6.0  # s for a proxy to end after SIGTERM: its grace and more
STARTED_S = 1.0  # s after its start in which a proxy gets no signal
STEP_S = 0.02  # s between looks at a process that ends
CHANGE_S, RELOAD_S, RESTART_S = 0.1, 0.4, 1.5  # s between two changes, reloads, restarts


class ProcessesDrill(ConnectionsDrill):
    """Plays until `requests` are recorded; settings and logs of the processes go to `folder`."""

    def __init__(self, seed: int, requests: int, folder: Path, clients: int = 24) -> None:
        self.rig = Rig(folder, cores=3, fronts=1)
        super().__init__(seed, requests, (self.rig.fronts[0], EDGE), clients)
        self.beats = [Machine(number) for number in range(1, 4)]
        self.processes = self.rig.processes()

    @property
    def proxy(self) -> Process:
        return self.processes[self.rig.fronts[0]]

    async def change(self, http: aiohttp.ClientSession) -> None:
        """Puts the next configuration."""
        self.changes += 1
        await self.rig.call(http, "PUT", "/cfg", changed_plan(self.changes))

    async def restart(self) -> None:
        """Ends the proxy by SIGTERM, and starts it again. Raises TimeoutError where it does not end."""
        self.proxy.signal(signal.SIGTERM)
        async with asyncio.timeout(END_S):
            while self.proxy.alive:
                await asyncio.sleep(STEP_S)
        self.proxy.start()
        self.restarts += 1

    async def planned_work(self, http: aiohttp.ClientSession) -> None:
        """Changes, reloads and restarts beside each other, until all is recorded."""
        loop = asyncio.get_running_loop()
        reload_at, restart_at = loop.time() + RELOAD_S, loop.time() + RESTART_S
        restarting: asyncio.Task[None] | None = None
        while not self.over:
            await asyncio.sleep(CHANGE_S)
            await self.change(http)
            if loop.time() > reload_at and restarting is None:
                reload_at = loop.time() + RELOAD_S
                self.reloads += 1
                self.proxy.signal(signal.SIGHUP)
            if restarting is not None and restarting.done():
                await restarting
                # A process that has just started would be ended by SIGHUP: it does not listen to it yet.
                restarting, restart_at = None, loop.time() + RESTART_S
                reload_at = loop.time() + STARTED_S
            if restarting is None and loop.time() > restart_at:
                restarting = asyncio.ensure_future(self.restart())
        if restarting is not None:
            await restarting

    async def serving(self, http: aiohttp.ClientSession) -> None:
        """Waits until the proxy forwards. Raises TimeoutError where it does not in time."""
        async with asyncio.timeout(START_S):
            while True:
                await self.change(http)
                try:
                    headers = {"Host": "toy.example", "X-Try-Id": "probe"}
                    url = f"http://{self.address[0]}:{self.address[1]}/toy/x"
                    async with http.get(url, headers=headers) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)

    async def play_processes(self) -> ProcessesDrill:
        """Plays to the end and returns itself."""
        servers = [
            await asyncio.start_server(self.machine, MACHINES.format(number), SOCK, backlog=1024)
            for number in range(1, 4)
        ]
        async with self.rig.running(self.processes, self.beats) as http:
            await self.serving(http)
            habits = (self.pooled, self.pipelined, self.fresh, self.slow, self.pooled, self.idle)
            clients = (self.client(habits[n % len(habits)]) for n in range(self.clients))
            await asyncio.gather(self.planned_work(http), *clients)
        for server in servers:
            server.close()
        return self


def played(seed: int, requests: int) -> ProcessesDrill:
    """One run."""
    with run_folder(f"connections-{seed}") as folder:
        drill = asyncio.run(ProcessesDrill(seed, requests, folder.path).play_processes())
        folder.keeps = bool(drill.faults)
        return drill
