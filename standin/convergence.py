"""After troubles that overlap, all control servers and proxies treat everything as it was acknowledged.

Whole gateways in simulated time, drawn by a seed. While processes are killed, frozen, cut off and lose their
power or a disk, operators change the configuration and order roll-outs, and machines join, drain and leave.
Then it is quiet for a bound; then every control server is asked, and every proxy is sent requests on each
route. Half of the seeds end a day with the worst loss that is allowed: right behind an acknowledgement a
disk is lost as all else loses power. Judged by what operators, machines and clients sent and saw alone.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from multiprocessing import get_context
from random import Random
from typing import Any
from unittest import mock

import logbook

from pinward.directory.book import SILENT_BEATS
from pinward.directory.entry import Standing
from pinward.exchange.answers import Answers
from pinward.exchange.base_versions import BaseVersions
from pinward.exchange.committed import NO_STAMP, Committed, stamp_of
from pinward.exchange.departures import Departures
from pinward.exchange.keeper import Keeper
from pinward.exchange.parts import ROLL, Parts
from pinward.exchange.rollouts import Rollouts
from pinward.trial.order import Order, digest_of
from pinward.trunk.session import Known
from standin.day_requests import request
from standin.exchange_day import BEAT_S, Class, Day, Shape
from standin.virtual import played
from standin.works import HOST, Kind, Machine

LIVE_S, APPLY_S = 3.0, 2.0  # s, the users' bounds: in touch again, in force
QUIET_S = LIVE_S + APPLY_S + SILENT_BEATS * BEAT_S  # s after the last trouble until all must agree
KNOWN_S = 7.0  # s after the start until all machines are known
TROUBLED_S = 14.0  # s in which troubles begin that overlap
LAST_S = (0.0, 0.05)  # s from the last acknowledgement to the loss that ends a day
EPISODES = 3  # in place of these in every other seed
PAUSE_S = (0.05, 0.8)  # s between two steps, drawn
TERM_S = 6.0  # s that an order may take
ROLLED_S = 2.5 * TERM_S  # s after the last order until each has ended
BUILDS = {"done": {"v2"}, "serving": {"v1", "v2"}}  # what may run by an order's phase; else the earlier one
SERVICES = ("s0", "s1", "s2", "s3")
MOVED = "/moved/"  # the prefix of a route that goes to another service with each version
SENDS = 80  # requests on each route at each proxy, all at once: more than a service's machines have slots
TRIES = 4  # of one request that was refused
LOOKS = 2  # at what all servers say of an order
SHAPE = Shape(
    tuple(Kind(name, 4, work_s=0.02) for name in SERVICES),
    tuple(Class(f"c{name}", name, 30.0, 0.5, 1.0, repeatable=False) for name in SERVICES),
    fronts=4,
    terms={"RetryExtra": 1000},
)


@dataclass
class Found:
    """What one seed came to."""

    seed: int
    faults: list[str] = field(default_factory=list)
    steps: Counter[str] = field(default_factory=Counter)
    changes: int = 0  # acknowledged configurations
    orders: int = 0  # acknowledged
    left: int = 0  # machines whose leave was acknowledged

    def figures(self) -> dict[str, Any]:
        return {**vars(self), "faults": len(self.faults), "steps": dict(sorted(self.steps.items()))}


class Drill:
    def __init__(self, seed: int) -> None:
        self.day, self.chance, self.found = Day(SHAPE, seed), Random(f"convergence.{seed}"), Found(seed)
        self.version = self.acknowledged = 1
        self.sent = {1}  # versions that may be in force
        self.targets: dict[str, set[str]] = {name: {"v1"} for name in SERVICES}  # that may be in force
        self.departed: list[Machine] = []
        self.operations: set[asyncio.Task[Any]] = set()
        self.wiped = False
        self.number = 0

    def fault(self, what: str) -> None:
        self.found.faults.append(f"seed {self.day.seed}: {what}")

    # What operators and machines do.

    def plan(self, version: int) -> dict[str, Any]:
        plan = self.day.plan(version)
        routes = plan["Hosts"][0]["Vroutes"]
        moved = {"Name": "moved", "Pfx": MOVED, "Svc": SERVICES[version % len(SERVICES)]}
        routes.append({**routes[0], **moved})
        return plan

    async def change(self) -> None:
        self.version += 1
        version = self.version
        self.sent.add(version)
        status, _ = await self.day.order("PUT", "/cfg", self.plan(version))
        if status == 200:
            self.found.changes += 1
            self.acknowledged = max(self.acknowledged, version)

    async def roll_out(self) -> None:
        service = self.chance.choice(SERVICES)
        if len(self.targets[service]) > 1:
            return  # one roll-out of each service a day
        self.targets[service].add("v2")
        for machine in self.day.of(service):
            self.day.machine(machine.kind, machine.zone, "v2", warm=True)
        body = {"Svc": service, "Target": "v2", "Over": f"{TERM_S}s"}
        status, _ = await self.day.order("POST", "/rolls", body)
        self.found.orders += status == 200

    async def start_unordered(self) -> None:
        """Machines of a version that nobody orders come, more than there are of the one that runs."""
        service = self.chance.choice(SERVICES)
        some = self.day.of(service)
        for n in range(len(some) + 1):
            self.day.machine(some[0].kind, f"z{n % SHAPE.zones}", "v9", warm=True)

    async def join(self) -> None:
        service = self.chance.choice(SERVICES)
        some = self.day.of(service, "v1")
        self.day.machine(some[0].kind, some[0].zone, warm=True)

    async def leave(self) -> None:
        """A machine says `drain`, or `DELETE` at once, and serves on to the end of the day."""
        some = self.day.of(self.chance.choice(SERVICES), "v1")
        if len(some) < 3:
            return
        machine, drains = self.chance.choice(some), self.chance.random() < 0.5
        machine.standing = Standing.DRAIN
        status = 0
        while status != 200:
            if drains:
                path = f"/machines/{machine.iid}"
                status, _, _ = await self.day.call("PUT", path, self.day.beat(machine))
            else:
                status, _, _ = await self.day.call("DELETE", f"/machines/{machine.iid}")
            await asyncio.sleep(0.05)
        self.departed.append(machine)
        self.found.left += 1

    # Troubles.

    def kill(self, ip: str, down_s: float, power: bool = False, wipe: bool = False) -> None:
        host = self.day.hosts.get(ip)
        if host is not None and host[0].frozen:
            host[0].thaw()  # in the same moment: the stand-in's tasks end only where they are woken
        self.day.kill(ip, down_s, power, wipe)

    async def kill_server(self) -> None:
        self.kill(self.chance.choice(self.day.core_ips), self.chance.uniform(0.0, 1.0))

    async def kill_primary(self) -> None:
        self.kill(self.day.primary() or self.day.core_ips[0], self.chance.uniform(0.0, 1.0))

    async def kill_all(self) -> None:
        power = self.chance.random() < 0.5
        for ip in (*self.day.core_ips, self.chance.choice(self.day.front_ips)):
            self.kill(ip, self.chance.uniform(0.0, 0.6), power=power)

    async def wipe(self) -> None:
        """One disk is lost, once a day: until all is calm it counts as lost, and one may be."""
        if self.wiped:
            return
        self.wiped = True
        self.kill(self.chance.choice(self.day.core_ips), self.chance.uniform(0.0, 0.5), wipe=True)

    async def freeze(self) -> None:
        ip = self.chance.choice(self.day.core_ips)
        if ip in self.day.hosts:
            self.day.freeze(ip, self.chance.uniform(0.2, 2.0))

    async def cut(self) -> None:
        day = self.day
        some = {self.chance.choice((*day.core_ips, *day.front_ips))}
        ways = day.net.cut(some, set(day.core_ips) - some)
        asyncio.get_running_loop().call_later(self.chance.uniform(0.5, 4.0), day.net.join, ways)

    async def kill_proxy(self) -> None:
        self.kill(self.chance.choice(self.day.front_ips), self.chance.uniform(0.0, 1.0))

    def steps(self) -> list[Callable[[], Any]]:
        """What may happen, by how often it is there."""
        return [
            *(4 * [self.change]), self.roll_out, self.roll_out, self.start_unordered, self.join, self.join,
            *(3 * [self.leave]), self.kill_server, self.kill_server, self.kill_primary, self.kill_all,
            self.wipe, self.freeze, self.cut, self.cut, self.kill_proxy,
        ]  # fmt: skip

    # Troubles at the moments where an item may be missed, with little after them that would mend it.

    async def write_beside_a_restart(self) -> None:
        """A configuration while proxies are cut off; then an order as a copy is killed and starts again."""
        day, some = self.day, set(self.chance.sample(self.day.front_ips, 2))
        ways = day.net.cut(some, set(day.core_ips))
        await self.change()
        primary = day.primary()
        if primary is not None:
            copies = [ip for ip in day.hosts[primary][1].keeper.view.copies if ip != primary]
            self.kill(self.chance.choice(copies or day.core_ips), self.chance.uniform(0.1, 0.4))
        await asyncio.sleep(0.03)
        await self.roll_out()
        await asyncio.sleep(self.chance.uniform(0.5, 2.0))
        day.net.join(ways)

    async def leave_beside_a_kill_of_all(self) -> None:
        await self.join()
        await asyncio.sleep(self.chance.uniform(0.0, 1.0))
        await self.leave()
        await self.kill_all()

    async def outnumber_beside_a_restart(self) -> None:
        await self.start_unordered()
        await asyncio.sleep(self.chance.uniform(0.0, 1.0))
        for ip in (*self.day.core_ips, *self.day.front_ips):
            self.kill(ip, self.chance.uniform(0.0, 0.6))

    async def episodes(self) -> None:
        """A few of these, one after another."""
        kinds: list[Callable[[], Any]] = [
            self.write_beside_a_restart, self.write_beside_a_restart, self.leave_beside_a_kill_of_all,
            self.outnumber_beside_a_restart,
        ]  # fmt: skip
        for _ in range(EPISODES):
            step = self.chance.choice(kinds)
            self.found.steps[step.__name__] += 1
            await step()
            await asyncio.sleep(self.chance.uniform(1.0, 4.0))

    async def lose_a_disk_and_all_power(self) -> None:
        """The worst loss that is allowed: what memory alone held is gone, proxies and all."""
        day = self.day
        acts = [self.change, self.roll_out, self.start_unordered, self.join, self.leave, self.leave]
        some = self.chance.sample(acts, self.chance.randint(1, len(acts)))
        self.found.steps.update(f"last {act.__name__}" for act in some)
        await asyncio.gather(*(act() for act in some))
        await asyncio.sleep(self.chance.uniform(*LAST_S))
        lost = day.primary() if self.chance.random() < 0.5 else None
        lost = lost or self.chance.choice(day.core_ips)
        for ip in (*day.core_ips, *day.front_ips):
            self.kill(ip, self.chance.uniform(0.0, 0.6), power=True, wipe=ip == lost)

    # The day.

    async def play(self, day: Day) -> None:
        await asyncio.sleep(KNOWN_S)
        await self.change()
        if day.seed % 2:
            await self.episodes()
        else:
            await self.overlap()
        await asyncio.sleep(max(QUIET_S, ROLLED_S))
        if day.seed // 2 % 2:
            await self.lose_a_disk_and_all_power()
            await asyncio.sleep(max(QUIET_S, ROLLED_S))
        if any(not task.done() for task in self.operations):
            self.fault("an operation is never acknowledged")
        await self.judge()

    async def overlap(self) -> None:
        """Steps of all kinds, many at the same time."""
        day = self.day
        until = day.now() + TROUBLED_S
        while day.now() < until:
            step = self.chance.choice(self.steps())
            self.found.steps[step.__name__] += 1
            self.operations.add(day.spawn(step()))
            if self.chance.random() < 0.6:  # the rest begin at the same moment
                await asyncio.sleep(self.chance.uniform(*PAUSE_S))
        await asyncio.wait(self.operations, timeout=ROLLED_S)

    async def judge(self) -> None:
        version = await self.agreed("/cfg", lambda told: int(told["Ver"], 16))
        if version is not None and (version < self.acknowledged or version not in self.sent):
            self.fault(f"version {version} is in force, {self.acknowledged} was acknowledged")
        builds = await self.builds_in_force()
        await asyncio.sleep(APPLY_S)  # one may have ended a moment ago
        if version is not None:
            routes = {f"/c{name}/": name for name in SERVICES}
            routes[MOVED] = SERVICES[version % len(SERVICES)]
            seen = [(front, await self.served(front, routes)) for front in self.day.front_ips]
            # These requests are outcomes too: an order that was serving may end by them.
            for service, some in (await self.builds_in_force()).items():
                builds[service] |= some
            for front, by_route in seen:
                self.judge_proxy(front, routes, builds, by_route)
        self.judge_machines(builds)

    async def builds_in_force(self) -> dict[str, set[str]]:
        """Which versions may run, by what all servers say of each order."""
        builds = {}
        for service in SERVICES:
            phase = await self.agreed(f"/rolls/{service}", lambda told: str(told["Phase"]))
            builds[service] = set(BUILDS.get(phase, {"v1"}))
        return builds

    async def agreed(self, path: str, of: Callable[[Any], Any]) -> Any:
        """What all control servers answer alike; None where none has any.

        An order may move on between two answers: a second look tells.
        """
        told: set[Any] = set()
        for _ in range(LOOKS):
            told = set()
            for ip in self.day.core_ips:
                sent = await self.day.send(ip, "GET", path)
                if sent.status not in (200, 404):
                    self.fault(f"{ip} answers {path} with {sent.status}")
                told.add(of(json.loads(sent.text)) if sent.status == 200 else None)
            if len(told) == 1:
                return told.pop()
        self.fault(f"control servers answer {path} with {sorted(map(str, told))}")
        return told.pop()

    async def served(self, front: str, routes: dict[str, str]) -> dict[str, Counter[tuple[str, str]]]:
        """Which services and versions ran a proxy's requests on each route."""
        found = {}
        for prefix in routes:
            ids = set(await asyncio.gather(*(self.ask(front, prefix) for _ in range(SENDS))))
            runs = [run for run in self.day.works.runs if run.try_id in ids and run.ran]
            found[prefix] = Counter((run.service, run.build) for run in runs)
        return found

    def judge_proxy(
        self, front: str, routes: dict[str, str], builds: dict[str, set[str]],
        by_route: dict[str, Counter[tuple[str, str]]],
    ) -> None:  # fmt: skip
        for prefix, service in routes.items():
            seen, allowed = by_route[prefix], sorted(builds[service])
            if seen.keys() - {(service, build) for build in allowed}:
                self.fault(f"{front} puts {prefix} through to {dict(seen)}, not to {service} {allowed}")
            if seen.total() < SENDS:
                self.fault(f"{front} serves {seen.total()} of {SENDS} on {prefix}")

    async def ask(self, front: str, prefix: str) -> str:
        """One request at a proxy, sent again where it is refused; the id of its last try."""
        host, id_ = self.day.hosts[front], ""
        for _ in range(TRIES):
            self.number += 1
            id_ = f"judge-{self.number}"
            headers = {"Host": HOST, "X-Try-Id": id_, "X-Deadline-Ms": "1000"}
            if host[1].known.plan is None:
                return id_  # such a proxy doesn't listen
            answer = await host[0].spawn(host[1].on_request(request("POST", prefix + "a", headers)))
            if answer.status != 503:
                return id_
            await asyncio.sleep(0.1)
        return id_

    def judge_machines(self, builds: dict[str, set[str]]) -> None:
        reached = {run.iid for run in self.day.works.runs if run.try_id.startswith("judge-")}
        for machine in self.departed:
            if machine.iid in reached:
                self.fault(f"{machine.iid}, whose leave was acknowledged, is sent requests")
        for service in SERVICES:
            for machine in self.day.of(service):
                if {machine.build} == builds[service] and machine.iid not in reached:
                    self.fault(f"{machine.iid}, which serves {service}, gets no request")


# Errors planted, to see that they would be found.


def by_the_newest(patches: ExitStack) -> None:
    """A server that has the newest item and lacks an older one is taken to hold all."""

    def lacking(self: Committed, stamps: dict[str, Any]) -> dict[str, Any]:
        last = max(map(stamp_of, stamps.values()), default=NO_STAMP)
        return {key: item for key, item in self.items.items() if stamp_of(item) > last}

    digest = property(lambda self: str(self.newest))
    patches.enter_context(mock.patch.object(Committed, "digest", digest))
    patches.enter_context(mock.patch.object(Committed, "lacking", lacking))


def replaced_orders(patches: ExitStack) -> None:
    """A proxy holds the orders of the last list alone, and is told the newest order alone."""

    def orders(self: Parts) -> list[Order]:
        rolls = [(item[0], item[1], key) for key, item in self.keeper.public.items() if key.startswith(ROLL)]
        return [Order.of(self.keeper.public[max(rolls)[2]][2])] if rolls else []

    def take(self: Known, plain: list[list[Any]], newest: list[int]) -> bool:
        self.orders = {order.service: order for order in map(Order.of, plain)}
        self.orders_at, self.orders_digest = newest, digest_of(self.orders.values())
        return True

    patches.enter_context(mock.patch.object(Known, "take_orders", take))
    patches.enter_context(mock.patch.object(Parts, "orders", orders))


def in_memory(patches: ExitStack) -> None:
    """Departures are acknowledged and kept in memory alone."""
    patches.enter_context(mock.patch.object(Departures, "restore", lambda self, now, told: None))
    patches.enter_context(mock.patch.object(Parts, "outlasts_losses", lambda self, line: True))


def counted(patches: ExitStack) -> None:
    """The version that runs without an order is counted at each look."""
    patches.enter_context(mock.patch.object(BaseVersions, "due", lambda self, *told: []))
    patches.enter_context(mock.patch.object(Rollouts, "record_first", lambda self, entry: None))
    patches.enter_context(mock.patch.object(Answers, "has_version", lambda self, entry: True))


def told_fresh(patches: ExitStack) -> None:
    """A server says that it is whole whatever it holds, and asks for nothing."""
    patches.enter_context(mock.patch.object(Keeper, "whole", Keeper.in_touch))
    patches.enter_context(mock.patch.object(Keeper, "stamps_due", lambda self, now: None))


PLANTS: dict[str, Callable[[ExitStack], None]] = {
    "newest": by_the_newest, "orders": replaced_orders, "memory": in_memory, "counted": counted,
    "fresh": told_fresh,
}  # fmt: skip


def play(seed: int, plant: str = "") -> Found:
    async def whole() -> Found:
        drill = Drill(seed)
        raised: list[BaseException] = []

        async def watched(day: Day) -> None:
            try:
                await drill.play(day)
            except Exception as why:
                raised.append(why)

        length_s = KNOWN_S + TROUBLED_S + ROLLED_S
        await drill.day.play(length_s, watched)
        for why in raised:
            raise why
        return drill.found

    with ExitStack() as patches:
        patches.enter_context(logbook.NullHandler().applicationbound())
        if plant:
            PLANTS[plant](patches)
        found: Found = played(whole())
    return replace(found, faults=found.faults[:20])


def plays(seeds: range, jobs: int) -> list[Found]:
    if jobs == 1:
        return [play(seed) for seed in seeds]
    with ProcessPoolExecutor(jobs, get_context("spawn")) as pool:
        return list(pool.map(play, seeds))
