"""A small gateway on loopback: exchanges, switchboards and toy machines, each told its place by a file.

`Rig` writes the files; processes are started by whoever uses it. Toy machines live in the caller's own loop,
beat to the exchanges and answer as machines do.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from standin.processes import Process

CORES, FRONTS, MACHINES = "127.0.61.{}", "127.0.62.{}", "127.0.63.{}"
CTL, UP, EDGE, SOCK, INNER = 18649, 18640, 18641, 18080, 17620
BEAT_S = 0.5
IDLES = ("15000ms", "400ms", "2500ms")  # idle times of a series of configurations, in turn


def plan(version: int, service: str = "toy", prefix: str = "/toy/") -> dict[str, Any]:
    """A configuration with one route of each kind."""
    routes = [
        {"Name": "r-read", "Pfx": prefix, "Type": "idem", "Svc": service},
        {"Name": "r-book", "Pfx": "/book/", "Type": "once", "Svc": service},
    ]
    for route in routes:
        route.update({"Tmo": "2000ms", "Goal": "500ms", "Prio": 1, "Tries": 2})  # type: ignore[dict-item]
    return {
        "Ver": f"{version:08x}",
        "Svcs": [{"Name": service, "Hcheck": "/hc", "Maxconn": 100, "Proto": "h1", "Tls": False}],
        "Caps": {"HdrBytes": 16384, "BodyMaxBytes": 1 << 20, "Hdr": "3000ms", "Idle": "15000ms"},
        "Hosts": [{"Vhost": "toy.example", "Vroutes": routes}],
    }


def has_more(version: int) -> bool:
    """True where a version of the series has the route that comes and goes, `/more/`."""
    return bool(version % 2)


def changed_plan(version: int) -> dict[str, Any]:
    """One of a series of configurations: another idle time, and a route that comes and goes."""
    sheet = plan(version)
    sheet["Caps"]["Idle"] = IDLES[version % len(IDLES)]
    if has_more(version):
        sheet["Hosts"][0]["Vroutes"].append({**sheet["Hosts"][0]["Vroutes"][0], "Pfx": "/more/"})
    return sheet


class Machine:
    """One life of a toy machine."""

    def __init__(self, number: int, build: str = "v1", service: str = "toy") -> None:
        self.iid, self.build, self.service = f"i-{number:04d}", build, service
        self.ip, self.calls, self.ran = MACHINES.format(number), 0, 0
        self.runner: web.AppRunner | None = None

    async def answer(self, request: web.Request) -> web.Response:
        if request.path == "/hc":
            return web.Response(headers={"X-Machine": self.iid})
        if request.headers.get("X-Want-Machine", self.iid) != self.iid:
            told = {"X-Machine": self.iid, "X-Try-Id": request.headers.get("X-Try-Id", "")}
            return web.Response(status=421, headers=told)
        self.ran += 1
        headers = {"X-Try-Id": request.headers.get("X-Try-Id", ""), "X-Stamp": f"{self.iid}.{self.ran}"}
        headers["X-Load"] = "0,0,6"
        return web.Response(text=f"{self.build} of {self.iid}: {request.path}\n", headers=headers)

    async def start(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.answer)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, self.ip, SOCK).start()

    def beat(self, phase: str = "up") -> dict[str, Any]:
        self.calls += 1
        desc = {"Svc": self.service, "Ver": self.build, "Az": "here", "Cap": 6}
        stat = {"Phase": phase, "Calls": self.calls, "Warmup": "0ms"}
        return {"Sock": f"{self.ip}:{SOCK}", "Desc": desc, "Stat": stat}


class Rig:
    """The settings of `cores` exchanges and `fronts` switchboards in a folder."""

    grace_s = 3.0

    def __init__(self, folder: Path, cores: int = 3, fronts: int = 2, beat_s: float = BEAT_S) -> None:
        self.folder, self.beat_s = folder, beat_s
        self.cores = [CORES.format(i + 1) for i in range(cores)]
        self.fronts = [FRONTS.format(i + 1) for i in range(fronts)]

    def settings(self, ip: str) -> Path:
        """Writes the settings of one process and returns their file."""
        core = ip in self.cores
        name = f"{'core' if core else 'edge'}-{ip.rpartition('.')[2]}"
        data = self.folder / name
        data.mkdir(exist_ok=True)
        bind = {"Ctl": f"{ip}:{CTL}"} if core else {"Edge": f"{ip}:{EDGE}", "Up": f"{ip}:{UP}"}
        told = {
            "Self": {
                "HostName": name, "Tiers": ["ctl" if core else "edge"], "Ipaddr": ip, "Az": "here",
                "Quorum": core, "Init": True, "VarDir": str(data) if core else None,
            },
            "Net": {"Bind": bind, "PortsIn": [INNER, INNER + 9], "Peers": [f"{c}:{CTL}" for c in self.cores]},
            "Plat": {"Hb": f"{self.beat_s}s"},
            "Terms": {"Survive": {"Nodes": 1}, "Bnds": {"Grace": f"{self.grace_s}s"}},
        }  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(told, indent=1))
        return path

    async def call(
        self, http: aiohttp.ClientSession, verb: str, path: str, body: Any = None
    ) -> tuple[int, str]:
        """A call of a machine or the operator: each exchange in turn, until one answers."""
        for core in self.cores:
            try:
                async with http.request(
                    verb, f"http://{core}:{CTL}{path}", json=body, timeout=aiohttp.ClientTimeout(total=1.0)
                ) as answer:
                    if answer.status < 500:
                        return answer.status, await answer.text()
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        return 0, ""

    async def beats(self, http: aiohttp.ClientSession, machines: list[Machine]) -> None:
        """Beats of all machines, for ever."""
        while True:
            for machine in machines:
                await self.call(http, "PUT", f"/machines/{machine.iid}", machine.beat())
            await asyncio.sleep(BEAT_S)

    def processes(self) -> dict[str, Process]:
        """All exchanges and switchboards by address, not started; their logs lie in the folder."""
        made = {}
        for ip in (*self.cores, *self.fronts):
            words = ["pinward.exchange" if ip in self.cores else "pinward.switchboard"]
            env = {"PINWARD_BOOT": str(self.settings(ip))}
            made[ip] = Process(ip, words, self.folder / f"{ip}.log", env)
        return made

    @asynccontextmanager
    async def running(
        self, processes: dict[str, Process], machines: list[Machine]
    ) -> AsyncIterator[aiohttp.ClientSession]:  # fmt: skip
        """Starts the processes, lets the machines beat, and ends both at the end."""
        for process in processes.values():
            process.start()
        try:
            async with aiohttp.ClientSession() as http:
                beating = asyncio.ensure_future(self.beats(http, machines))
                try:
                    yield http
                finally:
                    beating.cancel()
        finally:
            for process in processes.values():
                process.end()
