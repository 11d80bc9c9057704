"""Clients that use their connection until its proxy ends, and how each of their requests ended.

A client keeps a number of requests sent on its connection, so that another one is always on its way while one
is answered. What is judged are the clients' records and the moments at which proxies were told to end.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from random import Random

from standin.connections_drill import Answer, read_answer

Address = tuple[str, int]

DEADLINE_MS = 2000
HOLDS_MS = (50, 100, 200, 400, 700, 1200)  # how long machines work, drawn
DEPTHS = (1, 2, 4)  # requests that are always sent on a connection, drawn
PAUSES_S = (0.0, 0.0, 0.05, 0.3)  # s between an answer and the next request, drawn
ONCE = 0.2  # share of the connections whose requests may run once: these have one sent at a time
REPEATS = 0.5  # share of the requests that repeat one that was refused under its id, where there is one
ONCE_MARK = "o"  # what the ids of requests that may run once begin with
AGAIN_S = 0.02  # s until a client that was refused a connection tries again
GRACE_PART_ADMITTED = 0.5  # of the grace: what was sent later is finished, or refused before it runs
GRACE_PART_AT_WORK = 5 / 6  # of the grace: what is still at work then may be given up, where sent early


class Outcome(Enum):
    """What a client knows of one request."""

    SERVED = "served"  # a machine's answer
    REFUSED = "refused"  # it has not run
    NOT_READ = "not read"  # it was sent behind an answer that closed the connection
    GIVEN_UP = "given up"  # the proxy's own 502 or 504
    UNANSWERED = "unanswered"  # the connection ended
    WRONG = "wrong"  # a status that nothing here explains


@dataclass(eq=False)
class Request:
    """One request by its client's record. Times are seconds of the loop's clock."""

    id: str
    proxy: Address
    sent_at: float
    outcome: Outcome | None = None
    ended_at: float = inf


@dataclass
class Records:
    """All requests of a run, and when each proxy was told to end."""

    requests: list[Request] = field(default_factory=list)
    signalled: dict[Address, list[float]] = field(default_factory=dict)
    refused_connections: int = 0

    @property
    def counts(self) -> Counter[str]:
        """How many requests had each outcome."""
        return Counter(one.outcome.value for one in self.requests if one.outcome is not None)

    def faults(self, grace_s: float) -> list[str]:
        """Requests that a leaving proxy took and neither finished nor refused, each with its moments."""
        found = []
        for one in self.requests:
            if one.outcome in (Outcome.UNANSWERED, Outcome.WRONG) or (
                one.outcome is Outcome.GIVEN_UP and not self.may_be_given_up(one, grace_s)
            ):
                found.append(self.told(one))
        return found

    def may_be_given_up(self, one: Request, grace_s: float) -> bool:
        """True where its client's time was over, or it was sent early and was at work as the grace ended."""
        if one.ended_at >= one.sent_at + DEADLINE_MS / 1000:
            return True
        signal_at = self.last_signal(one)
        early = one.sent_at <= signal_at + GRACE_PART_ADMITTED * grace_s
        return early and one.ended_at >= signal_at + GRACE_PART_AT_WORK * grace_s

    def last_signal(self, one: Request) -> float:
        """The last SIGTERM of its proxy before the request ended; infinite where there was none."""
        before = [at for at in self.signalled.get(one.proxy, ()) if at <= one.ended_at]
        return before[-1] if before else inf

    def told(self, one: Request) -> str:
        """A line about a request; times after its proxy's signal."""
        signal_at = self.last_signal(one)
        outcome = one.outcome.value if one.outcome is not None else "open"
        sent_s, ended_s = one.sent_at - signal_at, one.ended_at - signal_at
        moments = f"sent {sent_s:.3f} s, ended {ended_s:.3f} s after SIGTERM"
        return f"{one.id} at {one.proxy[0]}: {outcome}, {moments}"


def outcome_of(answer: Answer) -> Outcome:
    """What an answer says of its request."""
    if answer.stamped:
        return Outcome.SERVED
    if answer.status in (429, 503):
        return Outcome.REFUSED
    return Outcome.GIVEN_UP if answer.status in (502, 504) else Outcome.WRONG


class BusyClient:
    """One client: a connection after another, each used until it ends.

    `proxy` says where the next connection goes; `over` that no request is to be sent any more.
    """

    def __init__(
        self, name: str, seed: int, records: Records, proxy: Callable[[], Address], over: Callable[[], bool]
    ) -> None:  # fmt: skip
        self.name, self.chance, self.records = name, Random(f"{seed} {name}"), records
        self.proxy, self.over = proxy, over
        self.asked = 0
        self.refused: dict[bool, list[str]] = {False: [], True: []}  # ids to repeat, by whether they run once

    async def run(self) -> None:
        """Until the run is over."""
        while not self.over():
            address = self.proxy()
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                self.records.refused_connections += 1
                await asyncio.sleep(AGAIN_S)
                continue
            try:
                await self.use(address, reader, writer)
            finally:
                writer.close()

    async def use(self, address: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Uses a connection until it ends, with the same number of requests sent all the time."""
        once = self.chance.random() < ONCE
        depth = 1 if once else self.chance.choice(DEPTHS)
        pause_s = self.chance.choice(PAUSES_S)
        waiting: list[Request] = []
        while True:
            while len(waiting) < depth and not self.over():
                waiting.append(self.send(address, writer, once))
            if not waiting:
                return
            answer = await self.answered(reader, waiting)
            if answer is None:
                return
            await asyncio.sleep(min(pause_s, answer.rest_s))

    def send(self, address: Address, writer: asyncio.StreamWriter, once: bool) -> Request:
        """Writes one request."""
        id_ = self.next_id(once)
        request = Request(id_, address, asyncio.get_running_loop().time())
        self.records.requests.append(request)
        verb, path = ("POST", "/book/x") if once else ("GET", "/toy/x")
        fields = [
            f"{verb} {path} HTTP/1.1", "Host: toy.example", f"X-Try-Id: {request.id}",
            f"X-Deadline-Ms: {DEADLINE_MS}", f"X-Hold-Ms: {self.chance.choice(HOLDS_MS)}",
        ]  # fmt: skip
        if once:
            fields.append("Content-Length: 0")
        writer.write(("\r\n".join(fields) + "\r\n\r\n").encode())
        return request

    def next_id(self, once: bool) -> str:
        """A new id, or that of a request that was refused."""
        if self.refused[once] and self.chance.random() < REPEATS:
            return self.refused[once].pop(0)
        self.asked += 1
        return f"{ONCE_MARK if once else 'r'}.{self.name}.{self.asked}"

    async def answered(self, reader: asyncio.StreamReader, waiting: list[Request]) -> Answer | None:
        """Reads the next answer and records it; None where the connection is of no more use."""
        answer: Answer | None = None
        try:
            answer = await read_answer(reader)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            self.end(waiting, Outcome.UNANSWERED)
            return None
        request, outcome = waiting.pop(0), outcome_of(answer)
        self.end([request], outcome)
        if outcome is Outcome.REFUSED:
            self.refused[request.id.startswith(ONCE_MARK)].append(request.id)
        if answer.closes:
            self.end(waiting, Outcome.NOT_READ)
            return None
        return answer

    @staticmethod
    def end(requests: Iterable[Request], outcome: Outcome) -> None:
        now = asyncio.get_running_loop().time()
        for request in requests:
            request.outcome, request.ended_at = outcome, now
