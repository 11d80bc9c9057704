"""A gateway of real processes on loopback, under troubles that overlap, and clients that leave.

Three control servers and two proxies are processes; clients and machines live here and keep the records by
which the run is judged. Troubles are drawn by a seed, several at a time: processes killed and started again,
paused and continued; machines cut off, silent to all for a while; answers lost.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import aiohttp

from pinward.common.metrics import PATH
from standin.departures import OUTLIVE_S, Client, Leave, RecordingMachine, Work
from standin.gateway_rig import BEAT_S, EDGE, MACHINES, SOCK, UP, Machine, Rig, plan
from standin.run_logs import run_folder

SLACK_S = 0.15  # s by which records and processes on one busy machine may be late
HOLDS_MS = (5, 30, 150, 600, 1500)  # how long machines work, drawn
LEAVE_S = (0.0, 0.02, 0.1, 0.3)  # s from a client's last request to its leave, drawn
LEAVES = 0.6  # share of the connections whose client leaves before its answers
ONCE = 0.25  # share of the requests that may run once
LOST = 0.05  # share of the answers that are lost while that trouble lasts
START_S = 20.0  # s for the gateway to serve its first request
GAP_S = (0.05, 0.5)  # s between the beginnings of two troubles, drawn: they overlap
LAST_S = (0.2, 1.2)  # s that one lasts, drawn
VIOLATIONS = ("pinward_sends_outlived_client_total", "pinward_sends_after_departure_total")


class TroubledMachine(RecordingMachine):
    """Can be cut off, and can lose answers."""

    chance = Random(0)
    lost = 0.0

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.writers: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def cut(self) -> None:
        """From here on it hears nothing, not even that a connection has ended."""
        asyncio.get_running_loop().remove_reader(self.server.sockets[0].fileno())
        for writer in self.writers:
            writer.transport.pause_reading()  # type: ignore[attr-defined]

    def heal(self) -> None:
        self.server._start_serving()  # type: ignore[attr-defined]
        for writer in self.writers:
            writer.transport.resume_reading()  # type: ignore[attr-defined]

    async def hold(self, reader: asyncio.StreamReader, seconds: float) -> None:
        await super().hold(reader, seconds)
        if self.chance.random() < self.lost:
            raise ConnectionResetError("the answer is lost")


@dataclass
class Span:
    """A time in which a process or machine was in trouble, by the loop's clock."""

    at: float
    until: float


@dataclass
class Soak:
    """One run. `seconds` of load, after the gateway has come up."""

    seed: int
    seconds: float
    folder: Path
    clients: list[Client] = field(default_factory=list)
    served_by: dict[str, str] = field(default_factory=dict)  # the proxy that each request went to
    answered: Counter[str] = field(default_factory=Counter)
    troubles: Counter[str] = field(default_factory=Counter)
    spans: dict[str, list[Span]] = field(default_factory=dict)
    counted: Counter[str] = field(default_factory=Counter)  # the proxies' own figures, summed over lives
    faults: list[str] = field(default_factory=list)
    asked: int = 0
    cut_now: bool = False

    def __post_init__(self) -> None:
        self.chance = Random(self.seed)
        self.rig = Rig(self.folder)
        self.works = [TroubledMachine(f"i-{number:04d}") for number in range(1, 5)]
        self.beats = [Machine(number) for number in range(1, 5)]
        self.processes = self.rig.processes()
        self.end_at = 0.0

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    # The gateway.

    async def serving(self, http: aiohttp.ClientSession) -> None:
        """Waits until both proxies forward. Raises TimeoutError where they do not in time."""
        async with asyncio.timeout(START_S):
            while (await self.rig.call(http, "PUT", "/cfg", plan(1)))[0] != 200:
                await asyncio.sleep(0.1)
            for front in self.rig.fronts:
                while await self.probe(http, front) != 200:
                    await asyncio.sleep(0.1)

    @staticmethod
    async def probe(http: aiohttp.ClientSession, front: str) -> int:
        try:
            headers = {"Host": "toy.example", "X-Try-Id": "probe", "X-Hold-Ms": "0"}
            async with http.get(f"http://{front}:{EDGE}/toy/x", headers=headers) as answer:
                return answer.status
        except aiohttp.ClientError:
            return 0

    async def count(self, http: aiohttp.ClientSession, front: str) -> None:
        """Takes in a proxy's own figures, as far as it can be asked."""
        try:
            async with http.get(
                f"http://{front}:{UP}{PATH}", timeout=aiohttp.ClientTimeout(total=1.0)
            ) as answer:  # fmt: skip
                text = await answer.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        for line in text.splitlines():
            name, _, value = line.partition(" ")
            if not line.startswith("#"):
                self.counted[name] += int(float(value))

    # Clients.

    async def client(self) -> None:
        """One client after another, until the time is over."""
        while self.now() < self.end_at:
            try:
                await self.connection(self.chance.choice(self.rig.fronts))
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.answered["connection lost"] += 1
            await asyncio.sleep(self.chance.uniform(0.0, 0.05))

    async def connection(self, front: str) -> None:
        async with asyncio.timeout(1.0):
            client = await Client.connect((front, EDGE))
        self.clients.append(client)
        try:
            for _ in range(self.chance.choice((1, 1, 2, 4))):
                self.ask(client, front)
            if self.chance.random() < LEAVES:
                await asyncio.sleep(self.chance.choice(LEAVE_S))
                client.leave(self.chance.choice([*Leave]))
                return
            for id_ in client.ids:
                await self.answer(client, id_)
        finally:
            if client.left_at is None:
                client.leave(Leave.CLOSE)

    def ask(self, client: Client, front: str) -> None:
        self.asked += 1
        once = self.chance.random() < ONCE
        id_ = f"{'o' if once else 'r'}{self.seed}.{self.asked}"
        self.served_by[id_] = front
        body = b"p" * self.chance.choice((0, 10, 3000)) if once else b""
        client.send(id_, "/book/x" if once else "/toy/x", self.chance.choice(HOLDS_MS), 1800, body)

    async def answer(self, client: Client, id_: str) -> None:
        """Reads one answer, and notes one that is another's.

        Raises OSError, IncompleteReadError, TimeoutError.
        """
        async with asyncio.timeout(4.0):
            head = (await client.reader.readuntil(b"\r\n\r\n")).decode().lower()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            await client.reader.readexactly(int(fields.get("content-length", "0")))
        status = head.split()[1]
        self.answered[status] += 1
        if status == "200" and fields.get("x-try-id") != id_:
            self.faults.append(f"{id_}: the answer of {fields.get('x-try-id')}")
        if fields.get("connection") == "close":
            raise ConnectionResetError("what was sent behind it counts as not read")

    # Troubles.

    async def trouble(self, http: aiohttp.ClientSession) -> None:
        """Begins one trouble after another; those begun earlier go on beside it."""
        running: set[asyncio.Task[None]] = set()
        while self.now() < self.end_at:
            await asyncio.sleep(self.chance.uniform(*GAP_S))
            kind = self.chance.choice((self.kill, self.pause, self.cut, self.lose))
            task = asyncio.ensure_future(kind(http, self.chance.uniform(*LAST_S)))
            running.add(task)
            task.add_done_callback(running.discard)
        if running:
            await asyncio.wait(running)

    def target(self) -> str | None:
        """A process that is in no trouble; one control server at most is, so that a majority stands."""
        well = [ip for ip, process in self.processes.items() if process.alive and not process.paused]
        cores = [ip for ip in self.rig.cores if ip in well]
        able = [ip for ip in well if ip in self.rig.fronts or len(cores) == len(self.rig.cores)]
        return self.chance.choice(able) if able else None

    def note(self, kind: str, where: str, for_s: float) -> None:
        self.troubles[kind] += 1
        self.spans.setdefault(where, []).append(Span(self.now(), self.now() + for_s))

    async def kill(self, http: aiohttp.ClientSession, for_s: float) -> None:
        ip = self.target()
        if ip is None:
            return
        if ip in self.rig.fronts:
            await self.count(http, ip)
        if not self.processes[ip].alive or self.processes[ip].paused:
            return
        self.note("kill", ip, for_s)
        self.processes[ip].kill()
        await asyncio.sleep(for_s)
        self.processes[ip].start()

    async def pause(self, http: aiohttp.ClientSession, for_s: float) -> None:
        ip = self.target()
        if ip is None:
            return
        self.note("pause", ip, for_s)
        self.processes[ip].pause()
        await asyncio.sleep(for_s)
        self.processes[ip].go_on()

    async def cut(self, http: aiohttp.ClientSession, for_s: float) -> None:
        """A machine hears nothing for a while; one at a time."""
        if self.cut_now:
            return
        self.cut_now = True
        machine = self.chance.choice(self.works)
        self.note("cut", machine.name, for_s)
        machine.cut()
        await asyncio.sleep(for_s)
        machine.heal()
        self.cut_now = False

    async def lose(self, http: aiohttp.ClientSession, for_s: float) -> None:
        machine = self.chance.choice(self.works)
        self.note("lose", machine.name, 0.0)
        machine.lost = LOST
        await asyncio.sleep(for_s)
        machine.lost = 0.0

    # The run.

    async def run(self) -> None:
        for number, machine in enumerate(self.works, 1):
            machine.chance = self.chance
            await machine.start(MACHINES.format(number), SOCK)
        async with self.rig.running(self.processes, self.beats) as http:
            await self.load(http)
        for machine in self.works:
            machine.server.close()

    async def load(self, http: aiohttp.ClientSession) -> None:
        await self.serving(http)
        self.end_at = self.now() + self.seconds
        await asyncio.gather(*(self.client() for _ in range(24)), self.trouble(http))
        await asyncio.sleep(OUTLIVE_S + BEAT_S)
        for front in self.rig.fronts:
            await self.count(http, front)
        self.judge()

    # The judgement.

    def held_until(self, where: str, at: float) -> float:
        """When what reached a process or machine at that time was heard, as far as its troubles go."""
        for span in self.spans.get(where, []):
            if span.at - SLACK_S <= at <= span.until + SLACK_S:
                at = max(at, span.until + SLACK_S)
        return at

    def judge(self) -> None:
        left = {id_: client.left_at for client in self.clients for id_ in client.ids}
        ran: Counter[str] = Counter()
        for machine in self.works:
            for work in machine.works:
                ran[work.id] += 1
                left_at = left.get(work.id)
                if left_at is not None:
                    self.judge_work(machine.name, work, left_at)
        for id_, times in ran.items():
            if id_.startswith("o") and times > 1:
                self.faults.append(f"{id_}: run {times} times")
        for name in VIOLATIONS:
            if self.counted[name]:
                self.faults.append(f"{name} {self.counted[name]} by the proxies' own count")

    def judge_work(self, machine: str, work: Work, left_at: float) -> None:
        due = self.held_until(self.served_by[work.id], left_at) + OUTLIVE_S
        due = self.held_until(self.served_by[work.id], due)  # paused as the time came
        due = self.held_until(machine, due) + SLACK_S
        ended = self.now() if work.ended is None else work.ended
        if work.began > due:
            self.faults.append(f"{work.id}: began at {machine} {work.began - left_at:.2f} s after the leave")
        elif work.id.startswith("r") and ended > due:
            self.faults.append(f"{work.id}: at work at {machine}, {ended - left_at:.2f} s after the leave")

    def figures(self) -> dict[str, object]:
        """The run in one row."""
        left = sum(len(client.ids) for client in self.clients)
        return {
            "seed": self.seed, "requests": left, "answers": dict(self.answered),
            "troubles": dict(self.troubles), "departures": self.counted["pinward_departures_total"],
            "cancelled": self.counted["pinward_sends_cancelled_total"],
            "finishing": self.counted["pinward_sends_finishing_total"], "faults": len(self.faults),
        }  # fmt: skip


def played(seed: int, seconds: float) -> Soak:
    """One run, whole."""
    with run_folder(f"departures-{seed}") as folder:
        soak = Soak(seed, seconds, folder.path)
        asyncio.run(soak.run())
        folder.keeps = bool(soak.faults)
        return soak
