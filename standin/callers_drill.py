"""Drawn clients and drawn faults of machines around one front on sockets: each answer must be its caller's.

Clients send up to a dozen requests ahead, of both kinds, with bodies in a piece or in chunks, and some leave
midway; some send a request again under its id, one that may run once only after a promise that it did not.
Machines turn away, answer late, in parts, with another's answer before or behind, with copies of any answer
that they gave on the connection, break off, reset and fall silent. Records are those of both outer ends
alone.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import NamedTuple

from standin.faulty_machine import answered, chunked, turned_away

PROMISES = (408, 421, 429, 503)
HELD_S = 4.0  # s after which a client says that it was held: several times its deadline
DEADLINE_MS = 300
SIZES = (1, 1, 1, 2000, 300_000, 1_000_000)  # bytes of answers: held, and passed on as they come
WORK_S = (0.0, 0.0, 0.01, 0.05, 0.15)  # s that a machine works on a request
REFUSES, SOUND_REFUSES = 0.15, 0.5  # shares of arrivals that a machine turns away
COPIES = 0.2  # share of arrivals at which a machine sends a copy of an earlier answer
SAME_COPIES = 0.8  # the same, where an earlier answer bears the id that arrived
REPEATS = 0.5  # share of a client's requests that were sent before, under the same id


class Asked(NamedTuple):
    """A request as a client sends it."""

    id_: str
    once: bool  # its route's requests may run once only
    text: bytes


class CallersDrill:
    """Faults found stand in `found`, for people; `counts` tells what was met."""

    def __init__(self, seed: int, sound: bool = False) -> None:
        self.chance = Random(seed)
        self.sound = sound  # machines only refuse, and send copies
        self.ran: Counter[str] = Counter()  # by id: times that a machine began to work on it
        self.bodies: dict[str, list[bytes]] = {}  # by id: whole bodies of its machines
        self.counts: Counter[str] = Counter()
        self.found: list[str] = []
        self.asked = 0
        self.again: list[Asked] = []  # answered, and may be sent again
        self.promised: set[str] = set()  # ids whose last answer promised that nothing ran

    async def machine(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        given: list[bytes] = []  # whole answers on this connection
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                id_ = id_of(head)
                early = not self.sound and self.chance.random() < 0.05  # its body is not read
                if not early:
                    await body_of(reader, head)
                same = [text for text in given if id_of(text) == id_]
                if given and self.chance.random() < (SAME_COPIES if same else COPIES):
                    writer.write(self.copy(same or given))
                await asyncio.sleep(self.chance.choice((0.0, 0.01) if self.sound else WORK_S))
                kept = await self.act(writer, id_, given)
                if early or not kept:
                    break
                if self.chance.random() < COPIES / 4:
                    await asyncio.sleep(self.chance.choice((0.0, 0.01)))
                    writer.write(self.copy(given))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def copy(self, given: list[bytes]) -> bytes:
        """One of the answers that were given on a connection, once more."""
        text = self.chance.choice(given)
        self.counts["copies"] += 1
        self.counts["copies of refusals"] += b"X-Not-Run" in text
        return text

    async def act(self, writer: asyncio.StreamWriter, id_: str, given: list[bytes]) -> bool:
        """Answers, or not; True where the connection goes on."""
        if self.chance.random() < (SOUND_REFUSES if self.sound else REFUSES):
            status = self.chance.choice((503, 503, 429, 421))
            given.append(turned_away(id_, status, b"no"))
            writer.write(given[-1])
            return True
        draw = 1.0 if self.sound else self.chance.uniform(0.08, 1.0)
        self.ran[id_] += 1
        size = 1 if self.sound else self.chance.choice(SIZES)
        status = self.chance.choice((200,) * 9 + (500, 503, 429))
        bodies = self.bodies.setdefault(id_, [])
        body = b"%s.%d." % (id_.encode(), len(bodies)) * (size // 9 + 1)
        bodies.append(body)
        ending = () if self.sound else ("Connection: close",)
        whole = answered(id_, status, body, self.chance.choice(("X: 1", "X: 2", *ending)))
        if status == 200 and self.chance.random() < 0.4:
            whole = chunked(id_, *(body[at : at + 150_000] for at in range(0, len(body), 150_000)))
        last = id_of(given[-1]) if given and not self.sound else ""
        if last != id_ and last and self.chance.random() < 0.15:
            writer.write(self.chance.choice((answered(last, 200, b"wrong"), turned_away(last))))
        cut = self.chance.randrange(len(whole))
        if draw < 0.2:
            writer.write(whole[: 0 if draw < 0.12 else cut])
            if draw > 0.17:
                await writer.drain()
            writer.transport.close() if draw < 0.17 else writer.transport.abort()
            return False
        if draw < 0.23:
            await asyncio.sleep(1.0)  # silent past its caller's deadline
            return False
        writer.write(whole[:cut])
        await asyncio.sleep(0.005 if self.chance.random() < 0.3 else 0.0)
        writer.write(whole[cut:])
        given.append(whole)
        if not self.sound and self.chance.random() < 0.1:
            more = answered(id_, 200, b"wrong"), b"junk\r\n", answered("zz", 200, b"wrong"), b"HTTP/1.1 2"
            writer.write(self.chance.choice(more))
        await writer.drain()
        return True

    def request(self) -> Asked:
        """A new request, or one that was answered before."""
        if self.again and self.chance.random() < REPEATS:
            asked = self.again.pop(self.chance.randrange(len(self.again)))
            self.promised.discard(asked.id_)
            self.counts["repeats"] += 1
            return asked
        self.asked += 1
        id_, once = f"{self.asked:06d}", self.chance.random() < 0.4
        verb, path = "POST" if once and self.chance.random() < 0.7 else "GET", "/book/x" if once else "/toy/x"
        body = b"p" * self.chance.choice((0, 5, 3000, 400_000)) if verb == "POST" else b""
        told = f"Content-Length: {len(body)}\r\n" if verb == "POST" else ""
        if verb == "POST" and self.chance.random() < 0.5:
            told = "Transfer-Encoding: chunked\r\n"
            body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
        lines = f"{verb} {path} HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: {id_}\r\n"
        return Asked(id_, once, f"{lines}X-Deadline-Ms: {DEADLINE_MS}\r\n{told}\r\n".encode() + body)

    async def client(self, host: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(host, port, limit=2**24)
        todo = [self.request() for _ in range(self.chance.choice((1, 1, 2, 5, 12)))]
        text = b"".join(asked.text for asked in todo)
        begun = {asked.id_: len(self.bodies.get(asked.id_, ())) for asked in todo}
        if self.chance.random() < 0.1:
            writer.write(text[: self.chance.randrange(len(text))])
            await asyncio.sleep(self.chance.choice((0.0, 0.02, 0.1)))
            writer.transport.abort()
            self.counts["left"] += 1
            return
        writer.write(text)
        try:
            for asked in todo:
                id_ = asked.id_
                async with asyncio.timeout(HELD_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                    body = await body_of(reader, head)
                self.check(id_, asked.once, head, body, begun[id_])
                if not asked.once or id_ in self.promised:
                    self.again.append(asked)
                if b"connection: close" in head.lower():
                    break
        except TimeoutError:
            self.found.append(f"{id_} was held")
        except (asyncio.IncompleteReadError, ConnectionError):
            self.counts["cut"] += 1
        writer.close()

    def check(self, id_: str, once: bool, head: bytes, body: bytes, begun: int) -> None:
        """An answer; `begun` runs of its id were known as it was sent."""
        status, stamped = int(head.split()[1]), b"X-Stamp" in head
        self.counts[f"{status}{'' if stamped else ' of the front'}"] += 1
        own = f"X-Try-Id: {id_}\r\n".encode() in head and body in self.bodies.get(id_, [])[begun:]
        if stamped and not own:
            self.found.append(f"MIXED {id_}: {head!r} with {body[:20]!r}")
        if not stamped and (status < 400 or body):
            self.found.append(f"MIXED {id_}: {status} of the front with {body[:20]!r}")
        if once and status in PROMISES:
            self.promised.add(id_)
            if self.ran[id_]:
                self.found.append(f"REFUSED {id_}: {status}, and it ran")
        if once and self.ran[id_] > 1:
            self.found.append(f"TWICE {id_}")

    def end(self) -> None:
        """Looks once more when all is over: what was refused with a promise never ran."""
        for id_ in sorted(self.promised):
            if self.ran[id_]:
                self.found.append(f"REFUSED {id_}: it ran after the promise")


def id_of(head: bytes) -> str:
    """The `X-Try-Id` of a message."""
    return head.partition(b"X-Try-Id: ")[2].partition(b"\r\n")[0].decode()


async def body_of(reader: asyncio.StreamReader, head: bytes) -> bytes:
    """The whole body behind a head. Raises IncompleteReadError where it is cut."""
    lower = head.lower()
    if b"transfer-encoding: chunked" not in lower:
        size = lower.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        return await reader.readexactly(int(size or b"0"))
    parts = []
    while size_ := int(await reader.readuntil(b"\r\n"), 16):
        parts.append((await reader.readexactly(size_ + 2))[:-2])
    await reader.readexactly(2)
    return b"".join(parts)
