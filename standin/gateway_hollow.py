"""Hollow fronts and machines, many in one process, for `gateway_scale`: they speak as real ones do and keep
nothing but counts and times.

A hollow front is a real `Session` that forgets what it is told but for its vector. A hollow machine beats on
a connection that it keeps, goes to the next exchange after a failure, drains and comes back as a new life.
The parent asks in lines of JSON on standard input; each is answered by one line.
"""

from __future__ import annotations

import asyncio
import json
import re
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

if __name__ == "__main__":  # before all that would load OpenSSL, which tests of other parts need
    from pinward.trunk import lean as lean

import aiohttp

from pinward.directory.entry import Standing
from pinward.plan.boot import Boot, boot_of
from pinward.trunk.link import Dialler
from pinward.trunk.session import Known, Session

TRY = re.compile(rb"(?i)\r\nx-try-id: *([^\r]*)")
ANSWER = b"Content-Length: 400\r\n\r\n" + 400 * b"x"  # the rest of each answer of a machine that serves
SERVED = ("127.0.63.{}", 18080)  # where machines serve that do
VERSION = re.compile(r'"Ver":\s*"([0-9A-Fa-f]{1,8})"')
LENGTH = re.compile(rb"(?i)\r\ncontent-length: *([0-9]+)")
CALL_S = 1.0  # s that a machine waits for an answer, until it calls elsewhere
PAUSE_S = (0.1, 2.0)  # s between two failed calls, doubled each time
DRAIN_S = 2.0  # s that a machine serves on after its drain was acknowledged
START_S = 0.3  # s within which all machines start, where nobody says otherwise
DIALS_MOST = 400  # connections that machines of one process open at a time


class Times:
    """When each thing came to pass, a list of moments each, and how often each thing was done."""

    def __init__(self) -> None:
        self.at: dict[str, list[float]] = defaultdict(list)
        self.counts: Counter[str] = Counter()

    def told(self, what: str) -> None:
        self.at[what].append(time.monotonic())


class Counted:
    """A websocket whose words and bytes are counted."""

    def __init__(self, ws: Any, counts: Counter[str]) -> None:
        self.ws, self.counts = ws, counts

    async def send_str(self, text: str) -> None:
        self.counts["pulls"] += 1
        self.counts["pull_bytes"] += len(text)
        await self.ws.send_str(text)

    async def send_bytes(self, data: bytes) -> None:
        self.counts["pulls"] += 1
        self.counts["pull_bytes"] += len(data)
        await self.ws.send_bytes(data)

    async def receive(self) -> aiohttp.WSMessage:
        message: aiohttp.WSMessage = await self.ws.receive()
        if message.type in (aiohttp.WSMsgType.TEXT, aiohttp.WSMsgType.BINARY):
            self.counts["news"] += 1
            self.counts["news_bytes"] += len(message.data)
        return message


class CountedDialler:
    """Another dialler, whose websockets are counted."""

    def __init__(self, inner: Dialler, counts: Counter[str]) -> None:
        self.inner, self.counts = inner, counts

    async def dial(self, where: tuple[str, int], path: str, *more: Any) -> Any:
        self.counts["dials"] += 1
        return Counted(await self.inner.dial(where, path, *more), self.counts)

    def abort(self, ws: Any) -> None:
        self.inner.abort(ws.ws)


def later(held: dict[str, Any], told: dict[str, Any]) -> dict[str, Any]:
    """A vector after news with the vector `told`: of each source what is later, within one life of it."""
    some = {}
    for source, (life, number) in told.items():
        mine = held.get(source, (life, number))
        some[source] = (life, max(number, mine[1]) if mine[0] == life else number)
    return some


class HollowKnown(Known):
    """What a hollow front knows: versions and its vector; of machines only which it was told of."""

    def __init__(self, boot: Boot, life: str, times: Times, machines: int) -> None:
        super().__init__(boot, life)
        self.times, self.marked = times, True
        self.lacks = bytearray(b"\1" * machines)  # machines that it was never told of, by number

    def take(self, now: float, news: dict[str, Any]) -> bool:
        self.fresh, self.fronts = news["fresh"], max(1, news["fronts"])
        if self.fresh and self.marked:
            self.marked = False
            self.times.told("back")
        if "plan" in news:
            found = VERSION.search(news["plan"])
            version = int(found[1], 16) if found else -1
            if self.plan is None or version > self.plan.version:
                self.plan = SimpleNamespace(version=version)  # type: ignore[assignment]
                self.times.told(f"plan {version}")
        if "orders" in news:
            self.orders_at = max(self.orders_at, news["orders_at"])
        if "lines" in news:
            self.book.seen = later(self.book.seen, news["vector"])
            self.times.counts["lines"] += len(news["lines"])
            lacked = any(self.lacks)
            for plain, *_ in news["lines"]:
                self.lacks[int(plain[0][2:8])] = 0
                if plain[7] >= Standing.DRAIN:
                    self.times.told(f"{Standing(plain[7]).name} {plain[0]}")
            if lacked and not any(self.lacks):
                self.times.told("all machines")
        return True


class Caller(asyncio.Protocol):
    """A machine's connection to an exchange: one call at a time."""

    def __init__(self) -> None:
        self.got, self.transport = b"", None  # type: ignore[var-annotated]
        self.done: asyncio.Future[int] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def call(self, data: bytes) -> asyncio.Future[int]:
        """The status of the answer, 0 where the connection ended."""
        assert self.transport is not None
        self.got = b""
        self.done = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.done

    def data_received(self, data: bytes) -> None:
        self.got += data
        head, found, body = self.got.partition(b"\r\n\r\n")
        size = LENGTH.search(head)
        if found and len(body) >= (int(size[1]) if size else 0):
            self.finish(int(head[9:12]))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.finish(0)

    def finish(self, status: int) -> None:
        if self.done is not None and not self.done.done():
            self.done.set_result(status)


class Server(asyncio.Protocol):
    """A machine that answers each request at once: what is measured is the front before it."""

    def connection_made(self, transport: Any) -> None:
        self.transport, self.got = transport, b""

    def data_received(self, data: bytes) -> None:
        self.got += data
        while b"\r\n\r\n" in self.got:
            head, _, self.got = self.got.partition(b"\r\n\r\n")
            found = TRY.search(head)
            told = b"X-Try-Id: " + (found[1] if found else b"") + b"\r\nX-Stamp: s\r\nX-Load: 0,0,6\r\n"
            self.transport.write(b"HTTP/1.1 200 OK\r\n" + told + ANSWER)


class HollowMachine:
    """One machine over all its lives."""

    def __init__(self, number: int, service: str, told: SimpleNamespace) -> None:
        self.number, self.service, self.told = number, service, told
        self.chance = Random(f"{told.seed}.{number}")
        self.at = self.chance.randrange(len(told.cores))
        self.life, self.calls = 1, 0
        self.caller: Caller | None = None

    @property
    def iid(self) -> str:
        # As hard to compress as the users' names are.
        return f"i-{self.number:06d}{Random(f'{self.number}.{self.life}').getrandbits(32):08x}"

    async def call(self, verb: str, phase: str = "up") -> bool:
        """One call, to the exchange in use; after a failure the next is in use."""
        self.calls += 1
        counts, core = self.told.times.counts, self.told.cores[self.at % len(self.told.cores)]
        body = b""
        if verb == "PUT":
            desc = {"Svc": self.service, "Ver": "v1", "Az": f"zone-{self.number % 10}", "Cap": 6}
            stat = {"Phase": phase, "Calls": self.calls, "Warmup": "0ms"}
            where = "10.{}.{}.{}:18080".format(*Random(self.number).randbytes(3))
            if self.told.serve:
                where = f"{SERVED[0].format(self.number + 1)}:{SERVED[1]}"
            body = json.dumps({"Sock": where, "Desc": desc, "Stat": stat}, separators=(",", ":")).encode()
        head = f"{verb} /machines/{self.iid} HTTP/1.1\r\nHost: {core}\r\nContent-Type: application/json\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        status = 0
        try:
            async with asyncio.timeout(CALL_S):
                if self.caller is None or self.caller.transport is None:
                    async with self.told.gate:
                        counts["connections"] += 1
                        loop = asyncio.get_running_loop()
                        _, self.caller = await loop.create_connection(Caller, core, self.told.port)
                status = await self.caller.call(data)
                counts["answer_bytes"] += len(self.caller.got)
        except (OSError, TimeoutError):
            pass
        counts["calls"] += 1
        counts["call_bytes"] += len(data)
        counts["refused" if status >= 500 else "taken" if status else "unanswered"] += 1
        if not 200 <= status < 300:
            self.at += 1
            if self.caller is not None and self.caller.transport is not None:
                self.caller.transport.abort()
            self.caller = None
        return 200 <= status < 300

    async def insists(self, verb: str, phase: str = "up") -> None:
        pause_s = PAUSE_S[0]
        while not await self.call(verb, phase):
            await asyncio.sleep(pause_s * self.chance.uniform(0.8, 1.2))
            pause_s = min(PAUSE_S[1], 2 * pause_s)

    async def run(self) -> None:
        await asyncio.sleep(self.chance.uniform(0.0, START_S if self.life > 1 else self.told.ramp_s))
        while True:
            began = time.monotonic()
            await self.insists("PUT")
            beat_s = self.told.beat_s * self.chance.uniform(0.95, 1.05)
            await asyncio.sleep(max(0.0, began + beat_s - time.monotonic()))

    async def leaves(self) -> float:
        """Drains, ends, and begins a new life; seconds until the drain was acknowledged."""
        began, self.work = time.monotonic(), self.task
        self.task.cancel()
        await self.insists("PUT", "drain")
        took = time.monotonic() - began
        self.told.times.told(f"acknowledged {self.iid}")
        await asyncio.sleep(DRAIN_S)
        await self.insists("DELETE")
        self.life, self.calls = self.life + 1, 0
        self.start()
        return took

    def start(self) -> None:
        self.task = asyncio.ensure_future(self.run())


class Hollow:
    """The hollow ones of this process, and the answers to what the parent asks."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.times, self.told = Times(), SimpleNamespace(**told)
        self.told.times, self.told.gate = self.times, asyncio.Semaphore(DIALS_MOST)
        self.machines = [
            HollowMachine(n, f"svc-{n % self.told.services:03d}", self.told)
            for n in range(*self.told.machines)
        ]
        self.known: list[HollowKnown] = []
        self.tasks: set[asyncio.Future[Any]] = set()

    def keep(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def begin(self) -> None:
        for machine in self.machines:
            machine.start()
        dialler = CountedDialler(Dialler(), self.times.counts)
        for n in range(*self.told.fronts):
            boot = boot_of({**self.told.boot, "Self": {**self.told.boot["Self"], "HostName": f"hollow-{n}"}})
            known = HollowKnown(boot.unwrap(), f"hollow{n}", self.times, self.told.all_machines)
            self.known.append(known)
            session = Session(boot.unwrap(), known, f"hollow{n}", lambda: [], lambda: None)
            self.keep(self.pulls(session, dialler, n / max(1, self.told.fronts[1]) * self.told.ramp_s))

    @staticmethod
    async def pulls(session: Session, dialler: Any, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        await session.run(dialler)

    async def serves(self) -> None:
        """The machines answer requests too; at most 250 of them."""
        loop = asyncio.get_running_loop()
        for machine in self.machines:
            await loop.create_server(Server, SERVED[0].format(machine.number + 1), SERVED[1])

    async def asks(self, where: tuple[str, int], per_s: float, for_s: float, connections: int) -> None:
        """Requests at a steady rate over kept connections; seconds that each took are kept as `took`."""
        end, chance = time.monotonic() + for_s, Random(per_s)

        async def one(number: int) -> None:
            caller, at, sent = None, time.monotonic() + chance.random() * connections / per_s, 0
            while (at := at + chance.expovariate(per_s / connections)) < end:
                await asyncio.sleep(max(0.0, at - time.monotonic()))
                began, sent = time.monotonic(), sent + 1
                if caller is None or caller.transport is None:
                    _, caller = await asyncio.get_running_loop().create_connection(Caller, *where)
                name = f"{number}.{sent}"
                head = f"GET /path00000/x HTTP/1.1\r\nHost: host-000.example\r\nX-Try-Id: {name}\r\n"
                status = await caller.call(f"{head}X-Deadline-Ms: 2000\r\n\r\n".encode())
                self.times.at["took" if status == 200 else "failed"].append(time.monotonic() - began)

        await asyncio.gather(*(one(n) for n in range(connections)))
        self.times.told("asked")

    async def churn(self, per_s: float, for_s: float) -> None:
        """Restarts machines one after another; those that are done begin again."""
        end, n = time.monotonic() + for_s, 0
        while time.monotonic() < end and self.machines:
            self.keep(self.machines[n % len(self.machines)].leaves())
            n += 1
            await asyncio.sleep(1 / per_s)

    async def answer(self, asked: dict[str, Any]) -> Any:
        match asked["do"]:
            case "counts":
                return {**self.times.counts, "at": time.monotonic()}
            case "times":
                return self.times.at.get(asked["of"], [])
            case "lack":
                return [sum(known.lacks) for known in self.known]
            case "mark":
                self.times.at.pop("back", None)
                for known in self.known:
                    known.marked = True
            case "drain":
                machine = self.machines[asked["number"]]
                iid = machine.iid
                self.keep(machine.leaves())
                return iid
            case "ask":
                self.times.at.clear()
                self.keep(self.asks(tuple(asked["where"]), *asked["how"]))
            case "churn":
                self.keep(self.churn(asked["per_s"], asked["for_s"]))
        return {}


async def serve(told: dict[str, Any]) -> None:
    hollow, reader = Hollow(told), asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    async with asyncio.timeout(told["most_s"]):
        while line := await reader.readline():
            asked = json.loads(line)
            if asked["do"] == "begin":
                hollow.begin()
                if told["serve"]:
                    await hollow.serves()
            print(json.dumps(await hollow.answer(asked)), flush=True)


def main() -> None:
    asyncio.run(serve(json.loads(Path(sys.argv[1]).read_text())))


if __name__ == "__main__":
    main()
