"""Machines, and the lines to them, in simulated time: slots, queues, warm-up, bad builds, lives that end.

`Works` stands where the switchboard's `Wire` would be. What machines saw is in `Works.runs`, for checkers.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp, log, sqrt
from random import Random
from typing import Any, NamedTuple

from pinward.directory.entry import Standing
from pinward.switchboard.verdict import Ending, Verdict
from pinward.switchboard.kept import ID, REST_S
from pinward.switchboard.wire import CONNECT_S, DEADLINE, WANT

HOST, PREFIX = "day.example", "/{}/"
BAD = ("errors", "slow", "late", "under_load", "one_route")  # how a build may be bad
HOLD_S = 5.0  # s that a machine keeps an idle connection


class Run(NamedTuple):
    """A request that came to a machine: what became of it there."""

    at: float
    front: str
    iid: str
    service: str
    build: str
    try_id: str
    path: str
    ran: bool
    bad: bool


@dataclass
class Kind:
    """A service: its machines and their work."""

    name: str
    machines: int
    slots: int = 6
    queue: int = 24
    connections: int = 130
    work_s: float = 0.08
    spread: float = 0.5
    speeds: tuple[float, ...] = (1.0,)
    cold_s: float = 3.0
    cold_x: float = 2.0
    errors: float = 0.001  # share that fails in a sound build


@dataclass
class Bad:
    """How a build is bad: `share` of answers fail, all take `times` as long; from when, where, above what."""

    share: float = 0.0
    times: float = 1.0
    after_s: float = 0.0
    over: float = -1.0  # part of the slots busy from which on it is bad
    path: str = ""  # the only prefix on which it is bad


@dataclass
class Machine:
    """One life of a machine."""

    iid: str
    kind: Kind
    where: tuple[str, int]
    zone: str
    build: str
    born: float
    speed: float
    warm: bool = False
    alive: bool = True
    silent: bool = False  # it lost its power: nothing comes back
    standing: Standing = Standing.UP
    calls: int = 0
    busy: int = 0
    waiting: deque[asyncio.Future[None]] = field(default_factory=deque)
    open: dict[str, int] = field(default_factory=dict)  # connections at work, by front
    rest: dict[str, deque[float]] = field(default_factory=dict)  # idle ones, by front: since when
    lost: float = 0.0  # share of answers lost
    spoilt: float = 0.0  # share of answers that are no answers
    slower: float = 1.0
    acked_drain: float | None = None  # when its drain was acknowledged


class Works:
    """All machines, and the sends to them of all fronts."""

    def __init__(self, seed: int, now: Callable[[], float], way_s: Callable[[str, str], float]) -> None:
        self.chance, self.now, self.way_s = Random(f"works.{seed}"), now, way_s
        self.at: dict[tuple[str, int], Machine] = {}  # by address
        self.bad: dict[tuple[str, str], Bad] = {}  # by service and build
        self.trial_at: dict[str, float] = {}  # when an order to a service's new build was given
        self.runs: list[Run] = []
        self.connected = 0  # new connections
        self.away_bytes = 0  # between zones
        self.dark: set[str] = set()
        self.cuts: set[str] = set()

    # Work.

    def work_s(self, machine: Machine, path: str) -> tuple[float, bool]:
        """How long a request takes there, and whether it fails."""
        kind, chance = machine.kind, self.chance
        sigma = sqrt(log(1.0 + kind.spread**2))
        took = kind.work_s * exp(chance.gauss(-sigma * sigma / 2, sigma)) * machine.speed * machine.slower
        if not machine.warm and self.now() < machine.born + kind.cold_s:
            took *= kind.cold_x
        fails = chance.random() < kind.errors
        bad = self.bad.get((kind.name, machine.build))
        if bad is not None and self.is_bad(machine, bad, path):
            took *= bad.times
            fails = fails or chance.random() < bad.share
        return took, fails

    def is_bad(self, machine: Machine, bad: Bad, path: str) -> bool:
        since = self.now() - self.trial_at.get(machine.kind.name, 0.0)
        loaded = machine.busy >= bad.over * machine.kind.slots
        return since >= bad.after_s and loaded and path.startswith(bad.path)

    def connect(self, front: str, machine: Machine) -> bool | None:
        """Takes a connection: True where a new one came up, False a kept one, None where it was reset."""
        rest = machine.rest.setdefault(front, deque())
        while rest and self.now() - rest[0] > HOLD_S:
            rest.popleft()
        machine.open[front] = machine.open.get(front, 0) + 1
        if rest:
            rest.pop()
            return False
        self.connected += 1
        here = sum(machine.open.values()) + sum(map(len, machine.rest.values()))
        return True if here <= machine.kind.connections else None

    def disconnect(self, front: str, machine: Machine, keeps: bool) -> None:
        machine.open[front] -= 1
        if keeps:
            machine.rest[front].append(self.now())

    async def send(self, front: str, zone: str, url: str, headers: Any, allow_s: float) -> Ending:
        """One request to the machine that has this address now."""
        address, _, path = url.removeprefix("http://").partition("/")
        host, _, port = address.partition(":")
        machine, way_s = self.at.get((host, int(port))), self.way_s(zone, host)
        if machine is None or machine.silent or front in self.cuts:
            dead = machine is None and front not in self.cuts
            await asyncio.sleep(2 * way_s if dead else min(CONNECT_S, allow_s))
            return Ending(Verdict.NOT_SENT, "refused")
        if zone != machine.zone:
            self.away_bytes += 2500
        fresh, keeps = self.connect(front, machine), False
        try:
            async with asyncio.timeout(allow_s):
                await asyncio.sleep(way_s * (3 if fresh else 1))
                if fresh is None:
                    return Ending(Verdict.NOT_SENT, "reset as it came up")
                ending = await self.serve(front, machine, headers, "/" + path)
                await asyncio.sleep(way_s)
                if machine.silent:
                    await asyncio.sleep(allow_s)
                keeps = ending.verdict in (Verdict.RAN, Verdict.TURNED_AWAY) and machine.alive
                return ending
        except TimeoutError:
            return Ending(Verdict.MAY_HAVE_RUN, "silent")
        finally:
            self.disconnect(front, machine, keeps)

    async def serve(self, front: str, machine: Machine, headers: Any, path: str) -> Ending:
        kind, left = machine.kind, int(headers[DEADLINE]) / 1000
        until = self.now() + left

        def turned(status: int) -> Ending:
            self.note(front, machine, headers[ID], path, ran=False, bad=False)
            return Ending(Verdict.TURNED_AWAY, "turned away", status, load=load(machine))

        if headers.get(WANT, machine.iid) != machine.iid:
            return turned(421)
        if machine.busy >= kind.slots:
            if len(machine.waiting) >= kind.queue:
                return turned(503)
            place: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            machine.waiting.append(place)
            try:
                await place
            except asyncio.CancelledError:  # its caller gave up
                if place in machine.waiting:
                    machine.waiting.remove(place)
                elif place.done() and not place.cancelled():
                    self.free(machine)
                raise
            if not machine.alive:
                return Ending(Verdict.MAY_HAVE_RUN, "reset")
            if self.now() >= until:
                self.free(machine)
                return turned(503)
        else:
            machine.busy += 1
        try:
            took, fails = self.work_s(machine, path)
            self.note(front, machine, headers[ID], path, ran=True, bad=fails)
            await asyncio.sleep(min(took, max(0.0, until - self.now())))
        finally:
            self.free(machine)
        if not machine.alive:
            return Ending(Verdict.MAY_HAVE_RUN, "reset")
        if self.chance.random() < machine.lost:
            return Ending(Verdict.MAY_HAVE_RUN, "reset")
        if self.chance.random() < machine.spoilt:
            return Ending(Verdict.MAY_HAVE_RUN, "spoilt")
        told = [(ID, headers[ID]), ("X-Stamp", f"{machine.iid}/{headers[ID]}/{path}")]
        status = 500 if fails else 504 if self.now() >= until else 200
        return Ending(Verdict.RAN, "answer", status, told, headers[ID].encode(), load(machine))

    def note(self, front: str, machine: Machine, try_id: str, path: str, ran: bool, bad: bool) -> None:
        name, build = machine.kind.name, machine.build
        self.runs.append(Run(self.now(), front, machine.iid, name, build, try_id, path, ran, bad))

    def free(self, machine: Machine) -> None:
        """A slot is free: the next takes it."""
        while machine.waiting:
            place = machine.waiting.popleft()
            if not place.done():
                place.set_result(None)
                return
        machine.busy -= 1

    # Lives.

    def start(
        self, number: int, kind: Kind, ip: str, zone: str, build: str, warm: bool = False
    ) -> Machine:  # fmt: skip
        speed = kind.speeds[number % len(kind.speeds)]
        machine = Machine(f"i-{number:05d}", kind, (ip, 8080), zone, build, self.now(), speed, warm)
        self.at[machine.where] = machine
        return machine

    def end(self, machine: Machine, silent: bool = False) -> None:
        """The life is over: what is there breaks, or nothing is heard of it where it lost its power."""
        machine.alive, machine.silent = False, silent
        if not silent and self.at.get(machine.where) is machine:
            del self.at[machine.where]
        while machine.waiting:
            place = machine.waiting.popleft()
            if not place.done():
                place.set_result(None)


def load(machine: Machine) -> tuple[int, int, int]:
    return machine.busy, len(machine.waiting), machine.kind.slots


@dataclass
class Lines:
    """A front's `Wire`."""

    works: Works
    front: str
    zone: str
    rest_s: float = REST_S

    async def send(
        self, method: str, url: str, headers: Any, body: Any, allow_s: float, fresh: bool, sink: Any
    ) -> Ending:  # fmt: skip
        return await self.works.send(self.front, self.zone, url, headers, allow_s)

    async def close(self) -> None:
        pass
