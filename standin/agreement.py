"""Do all control servers and proxies treat alike what was acknowledged? Asked from outside, on loopback.

To be called once nothing has gone wrong for `QUIET_S`, all processes listening. Reads answers alone.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import aiohttp

from standin.gateway_rig import CTL, EDGE, UP, Rig

LIVE_S, APPLY_S = 3.0, 2.0  # s, the users' bounds, as the settings have them by default
QUIET_S = LIVE_S + APPLY_S  # s without trouble until all must treat all alike
START_S = 30.0  # s for a process to listen: beside load its start waits for a processor
LOOK_S = 0.02  # s between looks whether one listens
SENDS = 24  # requests on each route at each proxy


@dataclass(frozen=True)
class Asked:
    """A request that every proxy must answer with one status."""

    verb: str
    path: str
    status: int = 200


@dataclass
class Agreement:
    """Asks all; `faults` names who differs."""

    rig: Rig
    http: aiohttp.ClientSession
    name: str  # begins the ids of its requests
    faults: list[str] = field(default_factory=list)
    tried: int = 0

    async def ask(self, ip: str, port: int, verb: str, path: str) -> tuple[int, str]:
        """One request, its status and text; status 0 where no answer came."""
        self.tried += 1
        headers = {"Host": "toy.example", "X-Try-Id": f"{self.name}-{self.tried}", "X-Deadline-Ms": "2000"}
        headers["X-Hold-Ms"] = "0"  # to machines that are told how long they work
        try:
            async with self.http.request(verb, f"http://{ip}:{port}{path}", headers=headers) as answer:
                return answer.status, await answer.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as why:
            return 0, type(why).__name__

    async def started(self, some: Iterable[str]) -> None:
        """Waits until these processes listen, whatever they answer: bounds count from there."""
        until = asyncio.get_running_loop().time() + START_S
        for ip in some:
            port, path = (CTL, "/cfg") if ip in self.rig.cores else (UP, "/up")
            while not (await self.ask(ip, port, "GET", path))[0]:
                if asyncio.get_running_loop().time() > until:
                    self.faults.append(f"{ip} does not listen within {START_S:.0f} s")
                    return
                await asyncio.sleep(LOOK_S)

    async def configuration(self, acknowledged: int, sent: int) -> int:
        """Every control server answers one version, no older than what was acknowledged; that version."""
        found = Counter[int]()
        for core in self.rig.cores:
            status, text = await self.ask(core, CTL, "GET", "/cfg")
            version = int(json.loads(text)["Ver"], 16) if status == 200 else -status
            found[version] += 1
            if not acknowledged <= version <= sent:
                self.faults.append(f"{core} has version {version}, {acknowledged} was acknowledged")
        if len(found) > 1:
            self.faults.append(f"control servers have versions {sorted(found)}")
        return max(found)

    async def order(self, service: str, target: str) -> None:
        """Every control server answers an order to this target."""
        for core in self.rig.cores:
            status, text = await self.ask(core, CTL, "GET", f"/rolls/{service}")
            if status != 200 or json.loads(text)["Target"] != target:
                self.faults.append(f"{core} answers /rolls/{service} with {status} {text[:60]}")

    async def proxies(self, requests: list[Asked]) -> int:
        """Every proxy answers each of these with its status; how many were sent."""
        for front in self.rig.fronts:
            for asked in requests:
                sent = (self.ask(front, EDGE, asked.verb, asked.path) for _ in range(SENDS))
                statuses = Counter(status for status, _ in await asyncio.gather(*sent))
                if statuses != {asked.status: SENDS}:
                    self.faults.append(f"{front} answers {asked.verb} {asked.path} with {dict(statuses)}")
        return SENDS * len(self.rig.fronts) * len(requests)
