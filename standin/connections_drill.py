"""Clients of every habit around one proxy on loopback that is restarted, reloaded and given configurations.

Nothing unplanned happens, so each whole request must be answered, or end for a reason by which its client
knows that it was not read. What is judged are the clients' own records.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from enum import Enum
from random import Random
from typing import Any, NamedTuple

import logbook

from pinward.directory.book import News
from pinward.directory.entry import Entry, Standing
from pinward.plan.boot import Boot, boot_of
from pinward.plan.schema import plan_of
from pinward.switchboard.host import Switchboard
from standin.gateway_rig import changed_plan

PORT = 18641
ANSWER_S = 4.0  # s after which a client says that it was held: its deadline and more
DEADLINE_MS = 2000
GRACE_S = 3.6  # s of the proxy's grace: some are still at work as it ends
WORK_S = (0.0, 0.002, 0.01, 0.03)  # s that a machine works, drawn
THINK_S = (0.0, 0.01, 0.1, 0.4, 1.2)  # s that a connection rests, drawn
AHEAD_MOST = 6  # requests that a client sends before the first is answered
AGAIN_S = 0.02  # s until a client that was refused a connection tries again
FIRST_SPAN_S = 0.25  # s at most from a client's connection to its first request


class Outcome(Enum):
    """What a client knows of one request."""

    ANSWERED = "answered"
    REFUSED = "refused"  # 429 or 503: it has not run
    NOT_READ = "not read"  # it was sent behind an answer that closed the connection
    UNREAD_PART = "unread part"  # the client itself stopped in the middle of the request
    WRONG = "wrong"  # a status of the proxy's own although all machines are sound
    UNANSWERED = "unanswered"  # the connection ended
    HELD = "held"  # no answer in time


FAULTS = (Outcome.WRONG, Outcome.UNANSWERED, Outcome.HELD)


class Record(NamedTuple):
    """One request by its client's record. `at`: loop's time at its end."""

    habit: str
    number: int
    outcome: Outcome
    at: float


class OverError(Exception):
    """All requests are recorded: nobody connects any more."""


class Answer(NamedTuple):
    """The head of an answer, as far as a client heeds it."""

    status: int
    closes: bool
    rest_s: float
    stamped: bool  # a machine's, not the proxy's own


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """One whole answer. Raises IncompleteReadError where it is cut, TimeoutError where it does not come."""
    async with asyncio.timeout(ANSWER_S):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        await reader.readexactly(int(fields.get("content-length", "0")))
    rest_s = float(fields.get("keep-alive", "timeout=15").removeprefix("timeout="))
    return Answer(int(head.split()[1]), fields.get("connection") == "close", rest_s, "x-stamp" in fields)


class ConnectionsDrill:
    """Plays until `requests` are recorded. `address` is where the proxy listens, on loopback."""

    def __init__(self, seed: int, requests: int, address: tuple[str, int], clients: int = 40) -> None:
        self.chance, self.most, self.address, self.clients = Random(seed), requests, address, clients
        self.records: list[Record] = []
        self.refused_connections = self.changes = self.restarts = self.reloads = 0
        self.asked = 0
        self.boards: list[Switchboard] = []

    @property
    def counts(self) -> Counter[str]:
        """How many requests had each outcome."""
        return Counter(record.outcome.value for record in self.records)

    @property
    def faults(self) -> list[Record]:
        """Requests that ended without answer, refusal or a reason that their clients can know."""
        return [record for record in self.records if record.outcome in FAULTS]

    @property
    def over(self) -> bool:
        return len(self.records) >= self.most

    # The machine and the proxy.

    async def machine(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A sound machine: it answers each request after some work."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = head.decode().lower().partition("content-length: ")[2]
                await reader.readexactly(int(fields.partition("\r\n")[0] or 0))
                id_ = head.partition(b"X-Try-Id: ")[2].partition(b"\r\n")[0]
                await asyncio.sleep(self.chance.choice(WORK_S))
                told = b"X-Try-Id: %s\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok" % id_
                writer.write(b"HTTP/1.1 200 OK\r\n" + told)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # cancelled at the end of the loop: asyncio's streams would log it
        finally:
            writer.close()

    def boot(self) -> Boot:
        host = self.address[0]
        told = {
            "Self": {"HostName": "edge", "Ipaddr": host, "Az": "here", "Init": True, "VarDir": None},
            "Net": {"Bind": {}, "PortsIn": [7620, 7635], "Peers": [f"{host}:1"]},
            "Plat": {"Hb": "1500ms"},
            "Terms": {"Survive": {"Nodes": 1}, "Bnds": {}},
        }  # fmt: skip
        boot = boot_of(told).unwrap()
        bounds = replace(boot.bounds, grace_s=GRACE_S)
        return replace(boot, bind={"Up": (host, 0), "Edge": self.address}, bounds=bounds)

    def configure(self, board: Switchboard) -> None:
        """Puts the next configuration in force."""
        self.changes += 1
        board.known.plan = plan_of(json.dumps(changed_plan(self.changes))).unwrap()
        board.changed()

    def start(self, ports: list[int]) -> tuple[Switchboard, asyncio.Event, asyncio.Future[None]]:
        """A proxy that knows all machines from its start."""
        board, stop = Switchboard(self.boot()), asyncio.Event()
        for number, port in enumerate(ports, 1):
            life = Entry(f"i{number}", "toy", ("127.0.0.1", port), "here", "v1", 100, Standing.UP, 1)
            news = News({}, {"m": ("l", number)}, [[life.plain(), "m", "l", number, 0.0]])
            board.known.book.merge(0.0, news)
        board.known.fresh = True
        self.configure(board)
        return board, stop, asyncio.ensure_future(board.run(stop))

    async def operate(self, ports: list[int], change_s: float, reload_s: float, restart_s: float) -> None:
        """Changes, reloads and restarts of the proxy, one after another, until all is recorded."""
        while not self.over:
            board, stop, running = self.start(ports)
            await asyncio.sleep(0)
            board.changed()
            self.boards.append(board)
            loop = asyncio.get_running_loop()
            ends_at, reload_at = loop.time() + restart_s, loop.time() + reload_s
            while not self.over and loop.time() < ends_at:
                await asyncio.sleep(change_s)
                self.configure(board)
                if loop.time() > reload_at:
                    reload_at += reload_s
                    self.reloads += 1
                    board.reread(True)
            stop.set()
            await running
            self.restarts += 1

    # Clients.

    def request(self, verb: str = "GET") -> bytes:
        self.asked += 1
        body = b"p" * self.chance.choice((1, 3000)) if verb == "POST" else b""
        path = "/book/x" if verb == "POST" else "/toy/x"
        told = f"Content-Length: {len(body)}\r\n" if body else ""
        lines = f"{verb} {path} HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: {self.asked:x}\r\n"
        return f"{lines}X-Deadline-Ms: {DEADLINE_MS}\r\n{told}\r\n".encode() + body

    async def connected(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A new connection; refusals are counted and tried again. Raises OverError at the drill's end."""
        while not self.over:
            try:
                return await asyncio.open_connection(*self.address)
            except ConnectionError:
                self.refused_connections += 1
                await asyncio.sleep(AGAIN_S)
        raise OverError

    def record(self, habit: str, outcome: Outcome) -> None:
        self.records.append(Record(habit, self.asked, outcome, asyncio.get_running_loop().time()))

    async def answers(self, habit: str, reader: asyncio.StreamReader, count: int) -> Answer | None:
        """Reads and records `count` answers; the last one, None where the connection is of no more use."""
        answer: Answer | None = None
        for at in range(count):
            try:
                answer = await read_answer(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                for _ in range(count - at):
                    self.record(habit, Outcome.UNANSWERED)
                return None
            except TimeoutError:
                self.record(habit, Outcome.HELD)
                return None
            refused = answer.status in (429, 503)
            sound = answer.status == 200
            self.record(
                habit, Outcome.ANSWERED if sound else Outcome.REFUSED if refused else Outcome.WRONG
            )  # fmt: skip
            if answer.closes:
                for _ in range(count - at - 1):
                    self.record(habit, Outcome.NOT_READ)
                return None
        return answer

    async def pooled(self) -> None:
        """Keeps its connection, and rests on it no longer than it was told."""
        reader, writer = await self.connected()
        while not self.over:
            verb = self.chance.choice(("GET", "POST"))
            writer.write(self.request(verb))
            answer = await self.answers("pooled", reader, 1)
            rest_s = self.chance.choice(THINK_S)
            if answer is None or rest_s >= answer.rest_s:
                break
            await asyncio.sleep(rest_s)
        writer.close()

    async def pipelined(self) -> None:
        """Sends several requests before the first is answered."""
        reader, writer = await self.connected()
        while not self.over:
            count = self.chance.randint(2, AHEAD_MOST)
            writer.write(b"".join(self.request() for _ in range(count)))
            if await self.answers("pipelined", reader, count) is None:
                break
        writer.close()

    async def fresh(self) -> None:
        """A connection a request, and a moment between the two."""
        reader, writer = await self.connected()
        await asyncio.sleep(self.chance.uniform(0.0, FIRST_SPAN_S))
        writer.write(self.request())
        await self.answers("fresh", reader, 1)
        writer.close()

    async def slow(self) -> None:
        """A request in two parts."""
        reader, writer = await self.connected()
        text = self.request("POST")
        cut = self.chance.randrange(1, len(text))
        writer.write(text[:cut])
        await asyncio.sleep(self.chance.uniform(0.0, FIRST_SPAN_S))
        writer.write(text[cut:])
        await self.answers("slow", reader, 1)
        writer.close()

    async def idle(self) -> None:
        """Connects, and leaves without a word."""
        _, writer = await self.connected()
        await asyncio.sleep(self.chance.choice(THINK_S))
        writer.close()

    async def client(self, habit: Callable[[], Awaitable[None]]) -> None:
        while not self.over:
            try:
                await habit()
            except OverError:
                return
            except ConnectionError:
                self.record(habit.__name__, Outcome.UNANSWERED)

    async def play(
        self, change_s: float = 0.05, reload_s: float = 0.7, restart_s: float = 2.0
    ) -> ConnectionsDrill:  # fmt: skip
        """Plays to the end and returns itself."""
        servers = [await asyncio.start_server(self.machine, "127.0.0.1", 0, backlog=1024) for _ in range(3)]
        ports = [server.sockets[0].getsockname()[1] for server in servers]
        operator = asyncio.ensure_future(self.operate(ports, change_s, reload_s, restart_s))
        habits = (self.pooled, self.pipelined, self.fresh, self.slow, self.pooled, self.idle)
        await asyncio.gather(*(self.client(habits[n % len(habits)]) for n in range(self.clients)))
        await operator
        for board in self.boards:  # as their processes would have ended with them
            for connection in board.server.connections if board.server is not None else ():
                connection.force_close()
        for server in servers:
            server.close()
        return self

    def figures(self) -> dict[str, Any]:
        """A row of results."""
        return {
            "requests": len(self.records), **self.counts, "refused_connections": self.refused_connections,
            "changes": self.changes, "reloads": self.reloads, "restarts": self.restarts,
        }  # fmt: skip


def address_of_own() -> tuple[str, int]:
    """An address on loopback that no other process of the drill has."""
    own = os.getpid()
    return f"127.63.{own // 250 % 250}.{own % 250 + 1}", PORT


def played(seed: int, requests: int) -> ConnectionsDrill:
    """One run, with nothing of it logged."""
    with logbook.NullHandler().applicationbound():
        return asyncio.run(ConnectionsDrill(seed, requests, address_of_own()).play())
