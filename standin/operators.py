"""Operators of an emulated day that race, lose answers and go to other machines, and what they saw.

Each sends an order unchanged until it has a clear answer, to any control front that it reaches. Their
records, one a send, are all that `judged` reads: `linearizable` has the models.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterable
from contextlib import nullcontext
from hashlib import blake2b
from math import inf
from random import Random
from typing import Any
from unittest import mock

import logbook

from pinward.exchange.answers import Answer, Answers
from pinward.exchange.calls import Call, signed
from pinward.exchange.forward import Fate, Incoming
from pinward.exchange.order_ages import OrderAges, Sent
from pinward.exchange.parts import PLAN
from pinward.plan.boot import Boot, Bound
from pinward.trial.order import Order, Stage
from pinward.trial.tally import Tally
from standin.day_control import Core
from standin.exchange_day import CALL_S, START_S, Class, Day, Send, Shape
from standin.linearizable import Operation, Register, Rollouts, UndecidedError, linearizable
from standin.virtual import Dial, Process, played
from standin.works import Kind

REPEAT_S = 5.0  # s in which an order that is no configuration may be sent again (`Ack`)
PLAN_S = 30.0  # s in which a configuration is sent again
PAUSES_S = (0.05, 0.8)  # s between two sends of one order, the first and the longest
SERVICES = ("reads", "books")
TERMS_S = (4.0, 9.0)


class Verdicts(Tally):
    """A tally whose orders end after a time drawn, so that a day needs no traffic."""

    def __init__(self, bounds: Bound, seed: int) -> None:
        super().__init__(bounds)
        self.seed = seed

    def verdict(self, now: float, order: Order, fronts: int) -> tuple[Stage | None, str]:
        number, begun = self.begun.get(order.service, (0, 0.0))
        chance = Random(f"{self.seed}.{order.service}.{order.number}")
        if number != order.number or now - begun < chance.uniform(0.2, 2.5):
            return None, ""
        return chance.choice((Stage.DONE, Stage.UNDONE)), "drawn"


class Operators:
    """A crowd of operators of one day."""

    def __init__(self, day: Day, ack_lost: float = 0.0, services: tuple[str, ...] = SERVICES) -> None:
        """`services` are those that they roll out."""
        self.day, self.ack_lost, self.services = day, ack_lost, services
        self.chance = Random(f"operators.{day.seed}")
        self.orders = 0

    @property
    def sends(self) -> list[Send]:
        return self.day.sends

    def highest(self) -> int:
        """The highest version that anybody has sent."""
        bodies = (sent.body for sent in self.sends if sent.path == "/cfg" and sent.body)
        return max((int(body["Ver"], 16) for body in bodies), default=0)

    async def send(
        self, order: str, front: str, verb: str, path: str, body: dict[str, Any] | None = None
    ) -> Send:
        """One call to one front, with ways that differ and an answer that may be lost."""
        way_s = self.day.shape.client_s
        return await self.day.send(
            front, verb, path, body, order, lambda: way_s * self.chance.uniform(0.2, 2.0),
            lambda: self.chance.random() < self.ack_lost,
        )  # fmt: skip

    async def order(
        self, verb: str, path: str, body: dict[str, Any] | None = None, again: float = 0.0,
        fronts: Iterable[str] | None = None, name: str = "",
    ) -> Send:  # fmt: skip
        """An order, sent until it has a clear answer; `again` is the chance of a repeat after that."""
        self.orders += 1
        name = name or f"o{self.orders}"
        until, pause = self.day.now() + (PLAN_S if path == "/cfg" else REPEAT_S), PAUSES_S[0]
        some = list(fronts or self.day.core_ips)
        while True:
            sent = await self.send(name, self.chance.choice(some), verb, path, body)
            repeats = sent.clear and self.chance.random() < again
            if (sent.clear and not repeats) or self.day.now() + pause > until:
                return sent
            await asyncio.sleep(pause * self.chance.uniform(0.7, 1.3))
            pause, again = min(PAUSES_S[1], 2 * pause), 0.0 if repeats else again

    def plan(self, version: int, writer: str) -> dict[str, Any]:
        """A configuration that tells who wrote it."""
        plan = self.day.plan(version)
        routes = plan["Hosts"][0]["Vroutes"]
        routes.append({**routes[0], "Name": writer, "Pfx": f"/{writer}/"})
        return plan

    async def one(self, until: float, rest_s: float, fronts: Iterable[str] | None = None) -> None:
        """One operator: now a configuration that races with others', now a roll-out, now a read."""
        day = self.day
        while day.now() < until:
            await asyncio.sleep(self.chance.expovariate(1 / rest_s))
            what, writer = self.chance.random(), f"w{len(self.sends)}"
            if what < 0.4:
                version = max(1, self.highest() + self.chance.choice((-1, 0, 0, 1, 1, 1, 2)))
                await self.order("PUT", "/cfg", self.plan(version, writer), 0.5, fronts)
            elif what < 0.5 or not self.services:
                await self.order("GET", "/cfg", None, 0.0, fronts)
            elif what < 0.8:
                told = {
                    "Svc": self.chance.choice(self.services),
                    "Target": self.chance.choice(("v2", "v3", "v4")),
                    "Over": f"{self.chance.choice(TERMS_S)}s",
                }
                await self.order("POST", "/rolls", told, 0.7, fronts)
            else:
                await self.order("GET", f"/rolls/{self.chance.choice(self.services)}", None, 0.0, fronts)

    async def crowd(self, count: int, until: float, rest_s: float = 0.4) -> None:
        """`count` operators beside one another; at the end all is read back."""
        await asyncio.gather(*(self.one(until, rest_s) for _ in range(count)))
        for path in ("/cfg", *(f"/rolls/{service}" for service in self.services)):
            await self.order("GET", path)


def digest(body: dict[str, Any]) -> str:
    return blake2b(json.dumps(body, sort_keys=True).encode(), digest_size=8).hexdigest()


def history(sends: Iterable[Send], key: str, latest_s: float = inf) -> list[Operation]:
    """The sends on `/cfg` or on the roll-outs of one service. A call without a clear answer takes effect
    within `latest_s`, or never."""
    found = []
    for sent in sends:
        body = sent.body or {}
        answer: Any
        read = json.loads(sent.text) if sent.clear and sent.status == 200 and sent.verb == "GET" else None
        if sent.path == key == "/cfg" and sent.verb == "PUT":
            valid = all(host["Vhost"] for host in body["Hosts"])
            asked: tuple[Any, ...] = ("put", int(body["Ver"], 16), digest(body), valid)
            answer = sent.status
        elif sent.path == key == "/cfg":
            asked = ("get",)
            answer = ("is", (int(read["Ver"], 16), digest(read)) if read else None)
        elif sent.path == "/rolls" and body["Svc"] == key:
            asked = ("post", sent.order, body["Target"], body["Over"])
            answer = sent.status
        elif sent.path == f"/rolls/{key}":
            asked = ("read",)
            answer = (read["Phase"], read["Target"]) if read else ("none",)
        else:
            continue
        if sent.clear:
            found.append(Operation(sent.called, sent.answered or 0.0, asked, answer))
        elif sent.verb != "GET":
            found.append(Operation(sent.called, inf, asked, None, sent.called + latest_s))
    return found


def judged(sends: list[Send], latest_s: float = inf) -> list[str]:
    """What no linearizable control state would have answered, in words."""
    bad = []
    services = {s.body["Svc"] for s in sends if s.body and s.path == "/rolls"}
    for key in ("/cfg", *sorted(services)):
        try:
            wrong = linearizable(
                Register() if key == "/cfg" else Rollouts(), history(sends, key, latest_s)
            )  # fmt: skip
        except UndecidedError as why:
            bad.append(f"UNDECIDED {key}: {why}")
            continue
        if wrong is not None:
            bad.append(f"CONFIG {key} at {wrong.called:.3f}: {wrong.asked} was answered {wrong.answer}")
    return bad + [
        f"CONFIG {s.path} at {s.called:.3f}: status {s.status} {s.text}"
        for s in sends if s.clear and s.status not in (200, 400, 404, 409)
    ]  # fmt: skip


def shape(cores: int) -> Shape:
    """A deployment for operators: control fronts, a front, and no clients."""
    kinds = tuple(Kind(name, 1) for name in SERVICES)
    classes = tuple(Class(kind.name, kind.name, 1.0, 0.25, 0.6) for kind in kinds)
    return Shape(kinds, classes, fronts=1, cores=cores, lost_most=cores // 2)


Troubles = Callable[["Operators"], Awaitable[None]]


async def begun(day: Day) -> None:
    """Starts all of a day's hosts, waits for a primary, and takes the first configuration."""
    for ip in (*day.core_ips, *day.front_ips):
        asyncio.get_running_loop().call_later(START_S * day.chance.uniform(0.9, 1.2), day.start, ip)
    for kind in day.shape.kinds:
        day.machine(kind, "z0", warm=True)
    while day.primary() is None:
        await asyncio.sleep(0.05)


def play(
    seed: int, length_s: float, troubles: Troubles | None = None, count: int = 8, ack_lost: float = 0.0,
    rest_s: float = 0.4, cores: int = 3,
) -> Operators:  # fmt: skip
    """A day of operators: `count` beside one another for `length_s`, and troubles; all is read back."""

    async def whole() -> Operators:
        day = Operated(shape(cores), seed)
        crowd = Operators(day, ack_lost)
        await begun(day)
        await crowd.order("PUT", "/cfg", crowd.plan(1, "first"))
        until = day.now() + length_s
        work = [day.spawn(crowd.crowd(count, until, rest_s))]
        if troubles is not None:
            work.append(day.spawn(troubles(crowd)))
        await asyncio.gather(*work)
        return crowd

    with logbook.NullHandler().applicationbound():
        crowd: Operators = played(whole())
    return crowd


class Operated(Day):
    """A day whose roll-outs end by themselves."""

    def exchange(self, process: Process, boot: Boot, life: str, dial: Dial) -> Core:
        core = super().exchange(process, boot, life, dial)
        core.tally = Verdicts(boot.bounds, self.seed)
        return core


CUTS = ("cut", "one-way", "pair")
CATCH_UP_S = 4.0  # s after which a machine that lost its disk counts again (`Sync`)


async def drawn(crowd: Operators) -> None:
    """Troubles of a bad day, drawn: primaries and others killed, wiped, cut off for 5 to 20 s, frozen."""
    day, chance = crowd.day, Random(f"troubles.{crowd.day.seed}")
    for _ in range(3):
        await asyncio.sleep(chance.uniform(0.5, 4.0))
        lead = day.primary()
        kind = chance.choice(("kill", "wipe", *CUTS, "freeze", "blinks"))
        some = lead if lead is not None and chance.random() < 0.7 else chance.choice(day.core_ips)
        if some not in day.hosts:
            continue
        others = set(day.core_ips) - {some}
        if kind == "kill":
            day.kill(some, chance.uniform(0.2, 3.0), power=chance.random() < 0.5)
            await asyncio.sleep(3.5)
        elif kind == "wipe":
            day.kill(some, down_s := chance.uniform(0.2, 2.0), power=True, wipe=True)
            await asyncio.sleep(down_s + START_S + CATCH_UP_S)
        elif kind == "freeze":
            day.freeze(some, for_s := chance.uniform(0.3, 6.0))
            await asyncio.sleep(for_s)
        elif kind == "blinks":  # shorter than the time after which a link ends: bytes wait in it
            for _ in range(6):
                ways = day.net.cut({some}, {chance.choice(sorted(others))})
                await asyncio.sleep(chance.uniform(0.2, 1.15))
                day.net.join(ways)
                await asyncio.sleep(chance.uniform(0.05, 0.5))
        else:
            one = {chance.choice(sorted(others))} if kind == "pair" else others
            ways = day.net.cut({some}, one, one_way=kind == "one-way")
            await asyncio.sleep(chance.uniform(5.0, 20.0))
            day.net.join(ways)


async def late(crowd: Operators) -> None:
    """Orders sent once through a control front whose link to the primary is cut at that moment, and joined
    again when the caller has given up but the link has not: what waited in it comes then."""
    day, chance = crowd.day, Random(f"late.{crowd.day.seed}")
    for turn in range(4):
        await asyncio.sleep(chance.uniform(0.8, 1.2))
        lead = day.primary()
        if lead is None:
            continue
        front = chance.choice([ip for ip in day.core_ips if ip != lead])
        ways = day.net.cut({front}, {lead})
        orders = (
            ("PUT", "/cfg", crowd.plan(crowd.highest() + 1, f"late{turn}")),
            ("POST", "/rolls", {"Svc": SERVICES[turn % 2], "Target": f"v{turn + 2}", "Over": "4.0s"}),
        )
        sends = [day.spawn(crowd.send(f"late{turn}.{n}", front, *order)) for n, order in enumerate(orders)]
        await asyncio.sleep(chance.uniform(1.02, 1.12))
        day.net.join(ways)
        await asyncio.gather(*sends)
        for _ in range(6):
            for path in ("/cfg", *(f"/rolls/{service}" for service in SERVICES)):
                await crowd.send(f"read{turn}", lead, "GET", path)
            await asyncio.sleep(0.03)


async def woken(crowd: Operators) -> None:
    """A primary frozen until another leads and has taken a change, and woken with reads that wait for it."""
    day, chance = crowd.day, Random(f"woken.{crowd.day.seed}")
    for turn in range(3):
        await asyncio.sleep(chance.uniform(0.5, 1.0))
        lead = day.primary()
        if lead is None:
            continue
        for_s = chance.uniform(2.2, 3.0)
        day.freeze(lead, for_s)
        others = [ip for ip in day.core_ips if ip != lead]
        body = crowd.plan(crowd.highest() + 1, f"woken{turn}")
        put = day.spawn(crowd.order("PUT", "/cfg", body, fronts=others))
        roll = {"Svc": SERVICES[turn % 2], "Target": f"v{turn + 2}", "Over": "4.0s"}
        post = day.spawn(crowd.order("POST", "/rolls", roll, fronts=others))
        await asyncio.sleep(for_s - 0.05)
        paths = ("/cfg", *(f"/rolls/{service}" for service in SERVICES))
        reads = [day.spawn(crowd.send(f"read{turn}", lead, "GET", path)) for path in paths]
        await asyncio.gather(put, post, *reads)


# Errors to plant, by name: `judged` is to find each.


async def by_number(self: Answers, _: str, said: Any, body: str) -> Answer | None:
    public = self.parts.keeper.public.get(PLAN)
    if public is not None and signed(body)[0] <= public[2]["version"]:
        return 200, "{}"
    return await PUT_PLAN(self, _, said, body)


async def refused(self: Answers, _: str, said: Any, body: str) -> Answer | None:
    public = self.parts.keeper.public.get(PLAN)
    if public is not None and signed(body)[0] <= public[2]["version"] and public[0] < self.parts.keeper.epoch:
        return 409, "{}"
    return await PUT_PLAN(self, _, said, body)


def always(self: Incoming, now: float, epoch: int | None, word: dict[str, Any]) -> tuple[Fate, float]:
    return (Fate.NEW if epoch is not None else Fate.ELSEWHERE), 1.0


async def anywhere(self: Answers, call: Call, word: str, data: bytes) -> Answer:
    if call.verb == "GET" and (answer := await getattr(self, call.handler)(word, None, "")) is not None:
        read: Answer = answer
        return read
    return await ANSWER(self, call, word, data)


ANSWER = Answers.answer
PUT_PLAN = Answers.put_plan
PLANTS: dict[str, tuple[Any, str, Any]] = {
    "by-number": (Answers, "put_plan", by_number),  # confirms any body under a number in force
    "refused": (Answers, "put_plan", refused),  # refuses a repeat once another primary leads
    "again": (OrderAges, "judge", lambda self, *told: Sent.NEW),  # starts an ended roll-out again
    "late": (Incoming, "judge", always),  # carries out what comes late, or under another epoch
    "unconfirmed": (Answers, "answer", anywhere),  # reads what is known at whichever control front
}


DAYS: tuple[tuple[Troubles, float, float], ...] = (  # troubles, share of answers lost, s for an effect
    (drawn, 0.3, inf),
    (late, 0.0, CALL_S + 0.005),
    (woken, 0.0, inf),
)


def drill(seeds: int, first: int, plant: str = "none") -> list[dict[str, Any]]:
    """Days of operators over seeds, by trouble: what was sent, what had a clear answer, what broke."""
    rows = []
    with mock.patch.object(*PLANTS[plant]) if plant in PLANTS else nullcontext():
        for troubles, ack_lost, latest_s in DAYS:
            sends = clear = broken = 0
            faults: list[str] = []
            for seed in range(first, first + seeds):
                count = 8 if troubles is drawn else 0
                crowd = play(seed, 20.0, troubles, count, ack_lost, cores=5 if seed % 4 == 0 else 3)
                found = judged(crowd.sends, latest_s)
                sends, clear = sends + len(crowd.sends), clear + sum(s.clear for s in crowd.sends)
                broken += bool(found)
                faults += [f"seed {seed}: {fault}" for fault in found]
            name = troubles.__name__
            rows.append(
                {
                    "trouble": name, "days": seeds, "sends": sends, "clear": clear, "broken": broken,
                    "first": faults[0] if faults else "-",
                }  # fmt: skip
            )
    return rows
