"""Simulated time for asyncio, and a network of processes in it that fails on purpose.

A loop whose clock jumps to the next timer: the gateway's own hosts run on it unchanged, with `Net` where
their websockets would be. Each pair of machines draws from a Random of its own, so that one seed gives one
run whatever the order in which sets are gone through.
"""

from __future__ import annotations

import asyncio
import selectors
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from contextvars import Context, ContextVar
from math import inf
from random import Random
from typing import Any, TypeVarTuple

import aiohttp

from pinward.trunk.link import CONNECT_S, SILENT_S, Dialler

Some = TypeVarTuple("Some")

LEAST_S = 1e-8  # s by which the clock goes on at each look: waits as short as its rounding end

OWNER: ContextVar[Process | None] = ContextVar("owner", default=None)


class StuckError(Exception):
    """Nothing is to happen any more."""


class Jumps(selectors.SelectSelector):
    """Waits for nothing: the clock goes on by as much as would be waited."""

    loop: Loop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise StuckError
        self.loop.at += max(LEAST_S, timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.at = 0.0
        self.ends = False  # what is frozen does not keep a run from its end
        selector = Jumps()
        selector.loop = self
        super().__init__(selector)
        self.set_task_factory(owned)

    def time(self) -> float:
        return self.at

    # What a frozen process would do waits: its sockets take bytes, its clock goes on.

    def call_soon(
        self, callback: Callable[[*Some], object], *args: *Some, context: Context | None = None
    ) -> asyncio.Handle:
        owner = OWNER.get() if context is None else context.get(OWNER)
        if owner is not None and owner.frozen and not self.ends:
            handle = asyncio.Handle(callback, args, self, context)
            owner.waits.append(handle)
            return handle
        return super().call_soon(callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable[[*Some], object], *args: *Some,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:  # fmt: skip
        owner = OWNER.get() if context is None else context.get(OWNER)
        if owner is None:
            return super().call_at(when, callback, *args, context=context)
        return super().call_at(when, self.due, owner, callback, args, context)

    def due(self, owner: Process, callback: Any, args: tuple[Any, ...], context: Context | None) -> None:
        """A timer of a process is due."""
        if owner.frozen and not self.ends:
            owner.timers.append(asyncio.Handle(callback, args, self, context))
        else:
            callback(*args)


def owned(loop: asyncio.AbstractEventLoop, work: Any, **more: Any) -> asyncio.Task[Any]:
    """Each task belongs to the process in which it began, and ends with it."""
    task: asyncio.Task[Any] = asyncio.Task(work, loop=loop, **more)
    owner = OWNER.get()
    if owner is not None:
        owner.tasks.add(task)
        task.add_done_callback(owner.tasks.discard)
    return task


def played(work: Coroutine[Any, Any, Any]) -> Any:
    """Runs `work` in simulated time."""
    loop = Loop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)
    finally:
        loop.ends = True
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()


class Process:
    """What runs at one address: its tasks, and who takes websockets there by path."""

    def __init__(self, net: Net, ip: str) -> None:
        self.net, self.ip, self.alive = net, ip, True
        self.tasks: set[asyncio.Task[Any]] = set()
        self.frozen = False
        self.waits: list[asyncio.Handle] = []  # what would have run while it was frozen
        self.timers: list[asyncio.Handle] = []  # which of them were timers
        self.attend: dict[str, Callable[[Any], Awaitable[None]]] = {}
        net.processes[ip] = self

    def run(self, what: Callable[[], Any]) -> Any:
        """Calls `what` so that all tasks it begins belong to this process."""
        token = OWNER.set(self)
        try:
            return what()
        finally:
            OWNER.reset(token)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = self.run(lambda: asyncio.ensure_future(work))
        return task

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        """Goes on with all that came meanwhile: from sockets in any order, then timers, as a loop does."""
        self.frozen = False
        self.net.chance(self.ip, "thaw").shuffle(self.waits)
        waits, self.waits, self.timers = [*self.waits, *self.timers], [], []
        for handle in waits:
            if not handle.cancelled() and self.alive:
                asyncio.get_running_loop().call_soon(handle._run)

    def kill(self, power: bool = False) -> None:
        """Ends the process: peers see their connections reset, or nothing where the power is gone too."""
        self.alive, self.frozen = False, False
        self.waits.clear()
        self.timers.clear()
        if self.net.processes.get(self.ip) is self:
            del self.net.processes[self.ip]
        if power:
            self.net.dark.add(self.ip)
        for end in [e for e in self.net.ends if e.process is self]:
            end.die(tell=not power)
        for task in list(self.tasks):
            task.cancel()


class Net:
    def __init__(self, seed: int, delay_s: Callable[[str, str], float]) -> None:
        self.seed, self.delay_s = seed, delay_s
        self.chances: dict[tuple[str, str], Random] = {}
        self.processes: dict[str, Process] = {}
        self.dark: set[str] = set()  # machines without power
        self.cuts: set[tuple[str, str]] = set()  # one way each
        self.ends: set[End] = set()
        self.faults: list[str] = []  # errors of programs that ended a connection
        self.told_bytes: dict[str, int] = {}  # sent on websockets, by sender
        self.told_bytes_to: dict[str, int] = {}  # the same, by receiver
        self.rates: dict[str, float] = {}  # bits a second of machines whose links are slow

    def chance(self, a: str, b: str) -> Random:
        return self.chances.setdefault((a, b), Random(f"{self.seed}.{a}.{b}"))

    def way_s(self, a: str, b: str) -> float:
        return self.delay_s(a, b) * self.chance(a, b).uniform(1.0, 1.3)

    def reaches(self, a: str, b: str) -> bool:
        return (a, b) not in self.cuts and (b, a) not in self.cuts and b not in self.dark

    def cut(self, some: set[str], others: set[str], one_way: bool = False) -> set[tuple[str, str]]:
        ways = {(a, b) for a in some for b in others if a != b}
        ways |= set() if one_way else {(b, a) for a, b in ways}
        self.cuts |= ways
        return ways

    def join(self, ways: set[tuple[str, str]]) -> None:
        self.cuts -= ways
        for end in list(self.ends):
            end.flush()


class End:
    """One end of a websocket, as aiohttp's are used: `send_str`, `send_bytes`, `receive`."""

    def __init__(self, net: Net, process: Process, own: str, peer: str) -> None:
        self.net, self.process, self.own, self.peer = net, process, own, peer
        self.other: End | None = None
        self.come: asyncio.Queue[aiohttp.WSMessage] = asyncio.Queue()
        self.held: deque[aiohttp.WSMessage] = deque()  # sent, not there yet: a cut holds them up
        self.arrives = 0.0
        self.closed = False
        net.ends.add(self)

    async def send_str(self, text: str) -> None:
        self.send(aiohttp.WSMessage(aiohttp.WSMsgType.TEXT, text, None), len(text))

    async def send_bytes(self, data: bytes) -> None:
        self.send(aiohttp.WSMessage(aiohttp.WSMsgType.BINARY, data, None), len(data))

    async def receive(self) -> aiohttp.WSMessage:
        return await self.come.get()

    def send(self, message: aiohttp.WSMessage, size: int) -> None:
        if self.closed:
            raise ConnectionResetError("the connection is closed")
        self.net.told_bytes[self.own] = self.net.told_bytes.get(self.own, 0) + size
        self.net.told_bytes_to[self.peer] = self.net.told_bytes_to.get(self.peer, 0) + size
        self.held.append(message)
        if len(self.held) == 1 and not self.net.reaches(self.own, self.peer):
            asyncio.get_running_loop().call_later(SILENT_S, self.given_up, message)
        self.flush()

    def given_up(self, message: aiohttp.WSMessage) -> None:
        """TCP had no sign of the peer for too long."""
        if self.held and self.held[0] is message:
            self.die(tell=False)

    def flush(self) -> None:
        loop = asyncio.get_running_loop()
        while self.held and not self.closed and self.net.reaches(self.own, self.peer):
            message = self.held.popleft()
            rate = min(self.net.rates.get(self.own, inf), self.net.rates.get(self.peer, inf))
            self.arrives = max(self.arrives, loop.time() + self.net.way_s(self.own, self.peer))
            self.arrives += 8 * len(message.data) / rate
            loop.call_at(self.arrives, self.arrive, message)

    def arrive(self, message: aiohttp.WSMessage) -> None:
        if self.other is not None and not self.other.closed:
            self.other.come.put_nowait(message)
        elif self.net.reaches(self.peer, self.own):
            # Its end was lost in a cut. What comes to a connection that is no more is answered with a reset.
            asyncio.get_running_loop().call_later(self.net.way_s(self.peer, self.own), self.die, False)

    def die(self, tell: bool) -> None:
        if self.closed:
            return
        self.closed = True
        self.net.ends.discard(self)
        self.come.put_nowait(aiohttp.WSMessage(aiohttp.WSMsgType.CLOSED, None, None))
        other = self.other
        if tell and other is not None and self.net.reaches(self.own, self.peer):
            asyncio.get_running_loop().call_later(self.net.way_s(self.own, self.peer), other.die, False)


class Dial(Dialler):
    """The dialler of one process."""

    def __init__(self, net: Net, process: Process) -> None:
        self.net, self.process = net, process

    async def dial(self, where: tuple[str, int], path: str, within_s: float = CONNECT_S) -> Any:
        own, peer = self.process.ip, where[0]
        if not self.net.reaches(own, peer):
            await asyncio.sleep(within_s)
            raise TimeoutError
        await asyncio.sleep(2 * self.net.way_s(own, peer))
        other = self.net.processes.get(peer)
        if other is None or path not in other.attend:
            raise ConnectionRefusedError
        mine, theirs = End(self.net, self.process, own, peer), End(self.net, other, peer, own)
        mine.other, theirs.other = theirs, mine

        async def attend() -> None:
            try:
                await other.attend[path](theirs)
            except Exception as why:
                if not isinstance(why, OSError):
                    self.net.faults.append(repr(why))
                raise
            finally:
                theirs.die(tell=True)

        other.spawn(attend())
        return mine

    def abort(self, ws: Any) -> None:
        ws.die(tell=True)

    async def close(self) -> None:
        pass
