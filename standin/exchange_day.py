"""A whole gateway's day in simulated time: the real hosts of switchboards and exchanges, machines, clients,
operators, and troubles, all from one seed.

Only sockets, disks and the clock are stand-ins (`virtual`, `works`). What outsiders saw is kept: answers that
clients got, runs that machines saw, acknowledgements that operators and machines got. `day_records` judges by
these alone.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any


from pinward.directory.entry import Standing
from pinward.exchange.keeper import Kept, View
from pinward.exchange.vault import Vault
from pinward.plan.boot import Boot, boot_of
from pinward.switchboard.host import Switchboard
from pinward.switchboard.wire import DEADLINE, ID
from pinward.tasks import Tasks
from pinward.trunk.link import DESK, LINK
from standin.day_control import BoxStorage, Core
from standin.day_requests import Transport, request
from standin.virtual import Dial, Net, Process
from standin.works import HOST, PREFIX, Bad, Kind, Lines, Machine, Works

BEAT_S = 1.5  # s between a machine's beats
START_S = 0.35  # s that a process takes to start, and again after its end
CALL_S = 1.0  # s that machines and operators wait for an answer
DRAIN_S = 2.0  # s that a machine serves on after its drain was acknowledged
LOOK_S = 1.0  # s between the platform's looks at `/up`


@dataclass
class Class:
    """A kind of request. Seconds; `per_s` over all zones."""

    name: str
    service: str
    per_s: float
    aim_s: float
    deadline_s: float
    repeatable: bool = True
    tries: int = 2
    rank: int = 1


@dataclass
class Shape:
    """What a day has: the defaults are a small deployment."""

    kinds: tuple[Kind, ...]
    classes: tuple[Class, ...]
    zones: int = 3
    fronts: int = 6
    cores: int = 3
    lost_most: int = 1
    survive: dict[str, int] = field(default_factory=dict)  # as the settings have it; `lost_most` where empty
    core_zones: tuple[str, ...] = ()  # of the control servers in turn; one after the other where empty
    regions: dict[str, str] = field(default_factory=dict)  # of zones
    zone_s: float = 0.0012  # one way between zones
    client_s: float = 0.002  # one way from clients
    sync_s: float = 0.003  # of a save on a sound disk
    terms: dict[str, Any] = field(default_factory=dict)


@dataclass
class Asked:
    """What a client sent, and what came of it."""

    kind: Class
    path: str
    begun: float
    ids: list[str] = field(default_factory=list)
    answered: float | None = None
    status: int = 0
    stamp: str = ""
    body: bytes = b""
    refused: list[tuple[str, float]] = field(default_factory=list)  # ids answered with a promise
    answers: list[tuple[str, int]] = field(default_factory=list)
    held_s: float = 0.0  # the longest time that a front kept a try


@dataclass
class Send:
    """One send of an operator's order to one control front; without `answered` its answer never came."""

    order: str
    verb: str
    path: str
    body: dict[str, Any] | None
    front: str
    called: float
    answered: float | None = None
    status: int = 0
    text: str = ""

    @property
    def clear(self) -> bool:
        return self.answered is not None and self.status < 500


class Day:
    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape, self.seed, self.chance = shape, seed, Random(f"day.{seed}")
        self.zone_of: dict[str, str] = {}
        self.net = Net(seed, self.delay_s)
        self.works = Works(seed, self.now, self.to_machine_s)
        self.core_ips = [f"10.9.{i}.1" for i in range(shape.cores)]
        self.front_ips = [f"10.1.{i}.1" for i in range(shape.fronts)]
        for i, ip in enumerate((*self.core_ips, *self.front_ips)):
            self.zone_of[ip] = f"z{i % shape.zones}"
        self.zone_of.update(zip(self.core_ips, shape.core_zones, strict=False))
        self.boxes: dict[str, dict[str, bytes]] = {ip: {} for ip in self.core_ips}
        self.first = True
        self.hosts: dict[str, tuple[Process, Any]] = {}
        self.lives: dict[str, int] = {}
        self.slow_disks: dict[str, float] = {}
        self.full_disks: set[str] = set()
        self.down: set[str] = set()  # fronts that the platform knows to be down
        self.asked: list[Asked] = []
        self.tasks = Tasks(lambda _, why: self.saw("fault", why=repr(why)))
        self.machines: dict[str, Machine] = {}
        self.number = self.tried = self.orders = 0
        self.events: list[tuple[float, str, dict[str, Any]]] = []  # what operators and machines saw
        self.sends: list[Send] = []  # of operators
        self.tries_open = 0

    # Time and ways.

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    def delay_s(self, a: str, b: str) -> float:
        return 0.0001 if self.zone_of.get(a) == self.zone_of.get(b) else self.shape.zone_s

    def to_machine_s(self, zone: str, ip: str) -> float:
        return 0.0001 if self.zone_of.get(ip) == zone else self.shape.zone_s

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        return self.tasks.spawn(work)

    def saw(self, what: str, **facts: Any) -> None:
        self.events.append((self.now(), what, facts))

    # Processes.

    def boot(self, ip: str) -> Boot:
        core = ip in self.core_ips
        survive = self.shape.survive or {"Nodes": self.shape.lost_most}
        told = {
            "Self": {
                "HostName": ip, "Ipaddr": ip, "Az": self.zone_of[ip], "Quorum": core, "Init": self.first,
                "VarDir": "." if core else None,
            },
            "Net": {
                "Bind": {}, "PortsIn": [7620, 7635], "Peers": [f"{c}:8649" for c in self.core_ips[:3]],
                "Azs": {z: self.shape.regions.get(z, "r") for z in sorted(set(self.zone_of.values()))},
            },
            "Plat": {"Hb": f"{BEAT_S}s"},
            "Terms": {"Survive": survive, "Bnds": self.shape.terms},
        }  # fmt: skip
        return boot_of(told).unwrap()

    def start(self, ip: str) -> None:
        """Starts the process of a machine anew."""
        if ip in self.net.processes:
            return
        self.net.dark.discard(ip)
        self.lives[ip] = self.lives.get(ip, 0) + 1
        process, life = Process(self.net, ip), f"{ip}/{self.lives[ip]}"
        dial, boot = Dial(self.net, process), self.boot(ip)
        if ip in self.core_ips:
            self.hosts[ip] = (process, process.run(lambda: self.exchange(process, boot, life, dial)))
        else:
            board = Switchboard(boot, life)
            wire: Any = Lines(self.works, ip, boot.zone)
            process.run(lambda: board.begin(wire, dial))
            self.hosts[ip] = (process, board)

    def exchange(self, process: Process, boot: Boot, life: str, dial: Dial) -> Core:
        box = self.boxes[boot.ip]
        founders = tuple(sorted(self.core_ips[:3]))
        kept = Kept(0, View(0, "", founders, founders), not boot.first)
        if "state." in box:
            kept = Kept.of(json.loads(box["state."]))
        core = Core(boot, Vault(Path(".")), kept, self.now(), life)
        chance = Random(f"disk.{life}.{self.seed}")
        core.faults = self.net.faults

        def write_s() -> float:
            return self.shape.sync_s * chance.uniform(0.8, 1.5) * self.slow_disks.get(boot.ip, 1.0)

        core.use(BoxStorage(box, write_s, lambda: boot.ip in self.full_disks))
        process.attend = {LINK: core.attend, DESK: core.desk.attend}
        core.begin(dial)
        return core

    def kill(self, ip: str, down_s: float, power: bool = False, wipe: bool = False) -> None:
        """Ends a process; it is started again after `down_s` and its start."""
        host = self.hosts.pop(ip, None)
        if host is None:
            return
        host[0].kill(power)
        self.saw("kill", ip=ip, power=power, wipe=wipe)
        if wipe:
            self.boxes[ip].clear()
        if ip in self.core_ips and not self.boxes[ip]:
            self.first = False
        asyncio.get_running_loop().call_later(down_s + START_S, self.start, ip)

    def freeze(self, ip: str, for_s: float) -> None:
        """Stops a process amid whatever it does; its machine's sockets and clock go on."""
        process = self.hosts[ip][0]
        process.freeze()
        self.saw("freeze", ip=ip)
        asyncio.get_running_loop().call_later(for_s, process.thaw)

    def primary(self) -> str | None:
        """The exchange that leads, by its own word; for troubles that aim at it."""
        for ip in self.core_ips:
            host = self.hosts.get(ip)
            if host is not None and host[1].keeper.leads(self.now()):
                return ip
        return None

    # Calls of machines and operators.

    async def send(
        self, front: str, verb: str, path: str, body: Any = None, order: str = "",
        way_s: Callable[[], float] | None = None, lost: Callable[[], bool] = lambda: False,
        gone: bool = False,
    ) -> Send:  # fmt: skip
        """One call to one exchange, until its answer comes, is lost, or a second is over; `gone`: the caller
        has ended its connection when it comes."""
        sent = Send(order, verb, path, body, front, self.now())
        if not path.startswith("/machines"):
            self.sends.append(sent)
        host, way_s = self.hosts.get(front), way_s or (lambda: self.shape.client_s)
        if host is None:
            await asyncio.sleep(0.002 if front not in self.net.dark else CALL_S)
            return sent
        await asyncio.sleep(way_s())
        data = json.dumps(body).encode() if body is not None else b""
        asked = request(verb, path, {}, data, Transport(gone))
        task = host[0].spawn(host[1].answers.on_call(asked))
        done, _ = await asyncio.wait((task,), timeout=CALL_S)
        if lost():
            await asyncio.sleep(max(0.0, sent.called + CALL_S - self.now()))
            return sent
        await asyncio.sleep(way_s())
        if done and not task.cancelled() and front in self.hosts:
            sent.status, sent.text, sent.answered = task.result().status, task.result().text, self.now()
        return sent

    async def call(
        self, verb: str, path: str, body: Any = None, only: set[str] | None = None, order: str = ""
    ) -> tuple[int, str, str]:
        """One call to one exchange after another until one answers below 500; who did."""
        cores = [ip for ip in self.core_ips if only is None or ip in only]
        self.chance.shuffle(cores)
        for ip in cores:
            sent = await self.send(ip, verb, path, body, order)
            if sent.clear:
                return sent.status, sent.text, ip
        return 0, "", ""

    async def order(self, verb: str, path: str, body: Any = None, within_s: float = 5.0) -> tuple[int, str]:
        """An operator's call, repeated until it has a clear answer."""
        until, pause = self.now() + within_s, 0.05
        self.orders += 1
        name = f"d{self.orders}"
        while self.now() < until:
            status, text, _ = await self.call(verb, path, body, order=name)
            if status:
                self.saw("answered", verb=verb, path=path, body=body, status=status, text=text)
                return status, text
            await asyncio.sleep(pause)
            pause = min(0.5, 2 * pause)
        self.saw("unanswered", verb=verb, path=path, body=body)
        return 0, ""

    def plan(self, version: int, extra: int = 0) -> dict[str, Any]:
        """A configuration with a route a class and `extra` more."""
        routes = []
        for c in self.shape.classes:
            routes.append(
                {
                    "Name": c.name,
                    "Pfx": PREFIX.format(c.name),
                    "Type": "idem" if c.repeatable else "once",
                    "Tmo": f"{c.deadline_s}s",
                    "Goal": f"{c.aim_s}s",
                    "Prio": c.rank,
                    "Tries": c.tries,
                    "Svc": c.service,
                }  # fmt: skip
            )
        for n in range(extra):
            routes.append({**routes[n % len(routes)], "Name": f"x{n}", "Pfx": f"/x{n}/"})
        services = [
            {"Name": k.name, "Hcheck": "/hc", "Maxconn": k.connections, "Proto": "h1", "Tls": False}
            for k in self.shape.kinds
        ]
        return {"Ver": f"{version:08x}", "Svcs": services, "Hosts": [{"Vhost": HOST, "Vroutes": routes}]}

    # Machines.

    def machine(self, kind: Kind, zone: str, build: str = "v1", warm: bool = False) -> Machine:
        self.number += 1
        ip = f"10.5.{self.number // 250}.{self.number % 250}"
        self.zone_of[ip] = zone
        machine = self.works.start(self.number, kind, ip, zone, build, warm)
        self.machines[machine.iid] = machine
        self.spawn(self.beats(machine))
        return machine

    def beat(self, machine: Machine) -> dict[str, Any]:
        machine.calls += 1
        kind = machine.kind
        cold = 0.0 if machine.warm else max(0.0, machine.born + kind.cold_s - self.now())
        phase = "up" if machine.standing is Standing.UP else "drain"
        return {
            "Sock": f"{machine.where[0]}:{machine.where[1]}",
            "Desc": {"Svc": kind.name, "Ver": machine.build, "Az": machine.zone, "Cap": kind.slots},
            "Stat": {"Phase": phase, "Calls": machine.calls, "Warmup": f"{cold:.3f}s"},
        }

    async def beats(self, machine: Machine) -> None:
        await asyncio.sleep(self.chance.uniform(0.0, 0.2 if machine.warm else 0.05))
        while machine.alive and machine.standing is Standing.UP:
            await self.call("PUT", f"/machines/{machine.iid}", self.beat(machine))
            await asyncio.sleep(BEAT_S * self.chance.uniform(0.9, 1.1))

    async def leave(self, machine: Machine) -> None:
        """Drains, says that it is gone, and ends."""
        machine.standing = Standing.DRAIN
        status = 0
        while not status and machine.alive:
            status, _, _ = await self.call("PUT", f"/machines/{machine.iid}", self.beat(machine))
        machine.acked_drain = self.now()
        self.saw("drained", iid=machine.iid)
        await asyncio.sleep(DRAIN_S + 0.3)
        await self.call("DELETE", f"/machines/{machine.iid}")
        self.works.end(machine)

    def crash(self, machine: Machine, back_s: float | None, silent: bool = False) -> None:
        """Ends a machine without a word; another life of it comes `back_s` later."""
        self.works.end(machine, silent)
        if back_s is not None:
            asyncio.get_running_loop().call_later(
                back_s, self.machine, machine.kind, machine.zone, machine.build
            )

    def of(self, service: str, build: str | None = None) -> list[Machine]:
        """Machines of a service that live and do not leave."""
        return [
            m for m in self.machines.values()
            if m.kind.name == service and m.alive and m.standing is Standing.UP and build in (None, m.build)
        ]  # fmt: skip

    # Roll-outs.

    async def roll(
        self, service: str, over_s: float, bad: Bad | None = None, target: str = "v2"
    ) -> str:  # fmt: skip
        """A new build beside the old, and an order to it; the phase in which it ends."""
        kind = next(k for k in self.shape.kinds if k.name == service)
        olds = self.of(service)
        if bad is not None:
            self.works.bad[(service, target)] = bad
        for old in olds:
            self.machine(kind, old.zone, target)
        await asyncio.sleep(1.0)
        body = {"Svc": service, "Target": target, "Over": f"{over_s}s"}
        begun = self.now()
        self.works.trial_at[service] = begun
        self.saw("ordered", service=service, target=target, over_s=over_s, bad=bad is not None)
        await self.order("POST", "/rolls", body)
        phase = "serving"
        while phase == "serving" and self.now() < begun + over_s + 4.0:
            await asyncio.sleep(0.3)
            status, text, _ = await self.call("GET", f"/rolls/{service}")
            if status == 200:
                phase = json.loads(text)["Phase"]
        self.saw("rolled", service=service, target=target, phase=phase, after_s=self.now() - begun)
        if phase == "done":
            for old in olds:
                if old.alive:
                    self.works.end(old)
        elif phase == "undone":
            for new in self.of(service, target):
                self.spawn(self.leave(new))
        return phase

    # Clients.

    async def clients(self, kind: Class, until: float, wave: Callable[[float], float]) -> None:
        while self.now() < until:
            await asyncio.sleep(self.chance.expovariate(kind.per_s * wave(self.now())))
            asked = Asked(kind, PREFIX.format(kind.name) + f"{self.tried:x}", self.now())
            self.asked.append(asked)
            self.spawn(self.ask(asked, f"z{self.chance.randrange(self.shape.zones)}"))

    def front(self, zone: str) -> str:
        """Where the platform sends a new connection."""
        here = [ip for ip in self.front_ips if self.zone_of[ip] == zone]
        some = [ip for ip in here if ip not in self.down]
        if 2 * len(some) < len(here):
            some = here
        if all(ip in self.down for ip in some):
            some = [ip for ip in self.front_ips if ip not in self.down] or self.front_ips
        return self.chance.choice(some)

    async def platform(self) -> None:
        missed: dict[str, int] = {}
        while True:
            await asyncio.sleep(LOOK_S)
            for ip in self.front_ips:
                host = self.hosts.get(ip)
                up = host is not None and host[1].ready
                missed[ip] = 0 if up else missed.get(ip, 0) + 1
                (self.down.discard if up else self.down.add if missed[ip] > 1 else lambda _: None)(ip)

    async def ask(self, asked: Asked, zone: str) -> None:
        kind, repeats = asked.kind, 1
        until = asked.begun + kind.deadline_s
        while True:
            self.tried += 1
            try_id = f"{self.seed:x}-{self.tried:x}"
            asked.ids.append(try_id)
            status, back_s = await self.attempt(asked, try_id, zone, until)
            asked.answers.append((try_id, status))
            left = until - self.now()
            if status in (429, 503, 408, 421):
                asked.refused.append((try_id, self.now()))
            elif 200 <= status < 300 or status in (400, 401, 404, 413, 431) or not kind.repeatable and status:
                break
            if not repeats or left < 0.01 or (not status and not kind.repeatable):
                break
            repeats -= 1
            await asyncio.sleep(min(back_s, left / 3))
        asked.answered = self.now()

    async def attempt(self, asked: Asked, try_id: str, zone: str, until: float) -> tuple[int, float]:
        """One try of a client: its status, 0 where the connection ended, and when it may come back."""
        ip = self.front(zone)
        host = self.hosts.get(ip)
        way_s = self.shape.client_s
        if host is None or host[1].known.plan is None:
            await asyncio.sleep(2 * way_s if ip not in self.net.dark else min(1.0, until - self.now()))
            return 0, 0.05
        headers = {"Host": HOST, ID: try_id, DEADLINE: str(max(1, int(1000 * (until - self.now()))))}
        await asyncio.sleep(2 * way_s)
        verb = "GET" if asked.kind.repeatable else "POST"
        begun = self.now()
        if not host[0].alive:
            return 0, 0.05
        task = host[0].spawn(host[1].on_request(request(verb, asked.path, headers)))
        await asyncio.wait((task,), timeout=max(0.0, until - self.now()))
        asked.held_s = max(asked.held_s, self.now() - begun)
        if not task.done() or task.cancelled():
            return 0, 0.05
        answer = task.result()
        await asyncio.sleep(way_s)
        asked.status, asked.body = answer.status, answer.body or b""
        asked.stamp = answer.headers.get("X-Stamp", "")
        if answer.headers.get(ID, try_id) != try_id:
            self.saw("another's answer", asked=try_id, got=answer.headers[ID])
        return answer.status, float(answer.headers.get("Retry-After", 0.05))

    # The day.

    async def play(
        self, length_s: float, troubles: Callable[[Day], Awaitable[None]] | None = None,
        wave: Callable[[float], float] = lambda at: 1.0, lead_s: float = 4.0,
    ) -> None:  # fmt: skip
        """Starts all, waits `lead_s`, then traffic for `length_s` with troubles beside it."""
        for ip in (*self.core_ips, *self.front_ips):
            asyncio.get_running_loop().call_later(START_S * self.chance.uniform(0.9, 1.2), self.start, ip)
        for kind in self.shape.kinds:
            for n in range(kind.machines):
                self.machine(kind, f"z{n % self.shape.zones}", warm=True)
        platform = self.spawn(self.platform())
        await self.order("PUT", "/cfg", self.plan(1), lead_s)
        await asyncio.sleep(max(0.0, lead_s - self.now()))
        self.works.connected = 0
        until = self.now() + length_s
        work = [self.spawn(self.clients(kind, until, wave)) for kind in self.shape.classes]
        if troubles is not None:
            work.append(self.spawn(troubles(self)))
        await asyncio.gather(*work, return_exceptions=True)
        await asyncio.sleep(max(kind.deadline_s for kind in self.shape.classes) + 0.2)
        platform.cancel()


def small(scale: float = 1.0, **more: Any) -> Shape:
    """Two services, one whose requests may run once, at `scale` times a load that fills over half."""
    kinds = (
        Kind("reads", 8, work_s=0.06, spread=0.5, speeds=(0.8, 1.0, 1.25)),
        Kind("books", 6, work_s=0.08, spread=0.8),
    )
    classes = (
        Class("read", "reads", 440 * scale, 0.25, 0.6),
        Class("book", "books", 220 * scale, 0.3, 0.8, repeatable=False),
    )
    return replace(Shape(kinds, classes), **more)
