"""A fleet on loopback: nodes with workers, queues and memories of marks; their list; a platform; and clients.

Each node notes every effect it has, each client every final answer it gets; checkers read these notes alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

Handler = Callable[[str, dict[str, str], bytes], Awaitable[tuple[int, bytes, str] | None]]
HEAD_MOST = 64 * 1024
QUEUE_MOST = 12  # txns that wait at a node; more are turned away


async def heads(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """The next message: its first line, its fields in lower case, its body; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = int(fields.get("content-length", 0))
    return first, fields, await reader.readexactly(length) if length else b""


async def serve(where: tuple[str, int], handle: Handler) -> asyncio.Server:
    """Serves HTTP/1.1; where the handler gives None the connection breaks."""

    async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await heads(reader)) is not None:
                answer = await handle(*message)
                if answer is None:
                    break
                status, body, more = answer
                head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n{more}\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer left, or the play is over
        finally:
            writer.transport.abort()

    return await asyncio.start_server(one, *where, limit=HEAD_MOST)


@dataclass
class Effect:
    """Something that a node did for a mark."""

    key: str
    node: str
    at: float


@dataclass
class Node:
    """One machine. Nodes of one circle drop each other's repeats for `memory_s`."""

    name: str
    where: tuple[str, int]
    circle: int
    work_s: float
    marks: dict[str, float]
    memory_s: float
    effects: list[Effect]
    workers: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(2))
    waiting: int = 0
    down_until: float = 0.0

    async def handle(self, first: str, fields: dict[str, str], body: bytes) -> tuple[int, bytes, str] | None:
        if time.monotonic() < self.down_until:
            return None
        if self.waiting >= QUEUE_MOST:
            return 503, b"", "Not-Started: 1\r\n"
        until = time.monotonic() + int(fields.get("request-timeout-ms", "1000")) / 1000
        self.waiting += 1
        try:
            async with self.workers:
                if time.monotonic() >= until:
                    return 504, b"", "Not-Started: 1\r\n"
                return await self.work(first, fields)
        finally:
            self.waiting -= 1

    async def work(self, first: str, fields: dict[str, str]) -> tuple[int, bytes, str] | None:
        now, key = time.monotonic(), fields.get("idempotency-key")
        if "do=crash" in first:
            self.down_until = now + 2.0
            return None
        if key and now - self.marks.get(key, -1e9) > self.memory_s:
            self.marks[key] = now
            self.effects.append(Effect(key, self.name, now))
        await asyncio.sleep(self.work_s * (20 if "do=slow" in first else 1))
        if time.monotonic() < self.down_until:
            return None
        return 200, fields.get("request-id", "").encode(), ""


@dataclass
class Answer:
    """What a client got for one txn, in all its tries."""

    customer: str
    took_s: float
    status: int  # 0: none
    tries: int


class Fleet:
    """Nodes, their list and the platform, on a net of its own within 127.0.0.0/8."""

    def __init__(self, net: str, cells: int, nodes_a_cell: int, work_s: float, memory_s: float) -> None:
        self.net = net
        self.effects: list[Effect] = []
        self.nodes: list[Node] = []
        for cell in range(cells):
            marks: dict[str, float] = {}
            for n in range(nodes_a_cell):
                place = (f"{net}.{20 + cell}.{1 + n}", 8000)
                self.nodes.append(Node(f"n{cell}-{n}", place, cell, work_s, marks, memory_s, self.effects))
        self.discovery, self.platform = (f"{net}.1.1", 8500), (f"{net}.1.1", 6400)
        self.servers: list[asyncio.Server] = []

    async def start(self) -> None:
        for node in self.nodes:
            self.servers.append(await serve(node.where, node.handle))
        self.servers.append(await serve(self.discovery, self.listed))
        self.servers.append(await asyncio.start_server(self.desk, *self.platform))

    async def listed(self, first: str, fields: dict[str, str], body: bytes) -> tuple[int, bytes, str]:
        if "hold_ms=" in first:
            hold_s = float(first.partition("hold_ms=")[2].split()[0].split("&")[0]) / 1000
            await asyncio.sleep(hold_s)
        targets = [
            {"uid": n.name, "endpoint": f"{n.where[0]}:{n.where[1]}", "az": "a", "pod_group": n.circle,
             "state": "up", "capacity_hint": 1.0, "boot_ms": 0, "release": 1}
            for n in self.nodes
        ]  # fmt: skip
        return 200, json.dumps({"rev": 1, "all": True, "targets": targets}).encode(), ""

    async def desk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readline()
            writer.write(b"OK\r\n* ROLLOUT 1 2 released 1 99000\r\n")
            while True:
                writer.write(b"*\r\n")
                await writer.drain()
                await asyncio.sleep(1.0)
        except (OSError, asyncio.CancelledError):
            pass  # the front left, or the play is over
        finally:
            writer.close()

    def close(self) -> None:
        for server in self.servers:
            server.close()

    def twice(self, within_s: float) -> int:
        """Effects that one mark had more than once, within the time that it must be remembered."""
        seen: dict[str, float] = {}
        found = 0
        for effect in self.effects:
            found += effect.at - seen.get(effect.key, -1e9) <= within_s
            seen[effect.key] = effect.at
        return found


@dataclass
class Load:
    """What one customer asks for."""

    customer: str
    per_s: float
    what: str = "settle"  # or crash, or slow
    booked: float = 0.3  # share of referenced txns


class Clients:
    """Open-loop clients of several customers before several fronts; a booking without an answer is repeated
    through another front with the same mark."""

    def __init__(self, fronts: list[tuple[str, int]], seed: int, timeout_s: float) -> None:
        self.fronts, self.chance, self.timeout_s = fronts, Random(seed), timeout_s
        self.answers: list[Answer] = []
        self.idle: dict[tuple[str, int], list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.asked = 0

    async def run(self, loads: list[Load], seconds: float) -> None:
        async with asyncio.TaskGroup() as group:
            for load in loads:
                group.create_task(self.one(load, seconds, group))

    async def one(self, load: Load, seconds: float, group: asyncio.TaskGroup) -> None:
        chance, end = Random(f"{load.customer}{self.chance.random()}"), time.monotonic() + seconds
        at = time.monotonic()
        while (at := at + chance.expovariate(load.per_s)) < end:
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            self.asked += 1
            group.create_task(self.txn(load, self.asked, chance.random() < load.booked))

    async def txn(self, load: Load, number: int, books: bool) -> None:
        began, status, tries = time.monotonic(), 0, 0
        front = self.chance.randrange(len(self.fronts))
        while tries < (3 if books else 1) and status != 200:
            if tries:
                await asyncio.sleep(0.05)
            where = self.fronts[(front + tries) % len(self.fronts)]
            status = await self.ask(where, load, number, books, tries)
            tries += 1
        self.answers.append(Answer(load.customer, time.monotonic() - began, status, tries))

    async def ask(self, front: tuple[str, int], load: Load, number: int, books: bool, tries: int) -> int:
        """The status of a final answer; 0 for none before the client gives up."""
        product, name = "booking" if books else "quote", f"{load.customer}-{number}"
        mark = f"Idempotency-Key: {name}\r\n" if books else ""
        repeat = "Client-Retry: 1\r\n" if tries else ""
        text = (
            f"{'POST' if books else 'GET'} /api?do={load.what} HTTP/1.1\r\nRequest-Id: {name}-{tries}\r\n"
            f"Request-Class: {product}\r\nTenant: {load.customer}\r\n{mark}{repeat}"
            f"Request-Timeout-Ms: {int(self.timeout_s * 1000)}\r\nContent-Length: 0\r\n\r\n"
        )
        free = self.idle.setdefault(front, [])
        try:
            async with asyncio.timeout(self.timeout_s + 0.2):
                while True:  # a front may close an idle connection: then the txn is said on another
                    reused = bool(free)
                    reader, writer = free.pop() if free else await asyncio.open_connection(*front)
                    writer.write(text.encode())
                    message = await heads(reader)
                    if message is not None or not reused:
                        break
        except (OSError, TimeoutError):
            return 0
        if message is None:
            return 0
        if message[1].get("connection") == "close":
            writer.close()
        else:
            free.append((reader, writer))
        return int(message[0].split()[1])

    async def close(self) -> None:
        for pairs in self.idle.values():
            for _, writer in pairs:
                writer.close()
                with contextlib.suppress(OSError):
                    await writer.wait_closed()

    def in_time(self, customers: set[str], within_s: float) -> float:
        """The share of these customers' txns that were settled within a time."""
        mine = [answer for answer in self.answers if answer.customer in customers]
        good = sum(answer.status == 200 and answer.took_s <= within_s for answer in mine)
        return good / len(mine) if mine else 1.0
