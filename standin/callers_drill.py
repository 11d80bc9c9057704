"""Drawn clients and drawn faults of machines around one front on sockets: each answer must be its caller's.

Clients send up to a dozen requests ahead, of both kinds, with bodies in a piece or in chunks, and some leave
midway. Machines turn away, answer late, in parts, with another's answer before or behind, break off, reset
and fall silent. Records are those of both outer ends alone.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

from standin.faulty_machine import answered, chunked, turned_away

PROMISES = (408, 421, 429, 503)
HELD_S = 4.0  # s after which a client says that it was held: several times its deadline
DEADLINE_MS = 300
SIZES = (1, 1, 1, 2000, 300_000, 1_000_000)  # bytes of answers: held, and passed on as they come


class CallersDrill:
    """Faults found stand in `found`, for people; `counts` tells what was met."""

    def __init__(self, seed: int) -> None:
        self.chance = Random(seed)
        self.ran: Counter[str] = Counter()  # by id: times that a machine began to work on it
        self.bodies: dict[str, list[bytes]] = {}  # by id: whole bodies of its machines
        self.counts: Counter[str] = Counter()
        self.found: list[str] = []
        self.asked = 0

    async def machine(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        last = ""
        try:
            while last is not None:
                head = await reader.readuntil(b"\r\n\r\n")
                id_ = head.partition(b"X-Try-Id: ")[2].partition(b"\r\n")[0].decode()
                early = self.chance.random() < 0.05  # its body is not read
                if not early:
                    await body_of(reader, head)
                await asyncio.sleep(self.chance.choice((0.0, 0.0, 0.01, 0.05, 0.15)))
                kept = await self.act(writer, id_, last)
                if early or not kept:
                    break
                last = id_
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def act(self, writer: asyncio.StreamWriter, id_: str, last: str) -> bool:
        """Answers, or not; True where the connection goes on."""
        draw = self.chance.random()
        if draw < 0.08:
            writer.write(turned_away(id_, 503, b"no"))
            return True
        self.ran[id_] += 1
        size, status = self.chance.choice(SIZES), self.chance.choice((200,) * 9 + (500, 503, 429))
        body = (id_.encode() + b".") * (size // 7 + 1)
        self.bodies.setdefault(id_, []).append(body)
        whole = answered(id_, status, body, self.chance.choice(("Connection: close", "X: 1", "X: 2")))
        if status == 200 and self.chance.random() < 0.4:
            whole = chunked(id_, *(body[at : at + 150_000] for at in range(0, len(body), 150_000)))
        if last and self.chance.random() < 0.15:
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
        if self.chance.random() < 0.1:
            more = answered(id_, 200, b"wrong"), b"junk\r\n", answered("zz", 200, b"wrong"), b"HTTP/1.1 2"
            writer.write(self.chance.choice(more))
        await writer.drain()
        return True

    def request(self) -> tuple[str, bool, bytes]:
        """A new id, whether its route's requests may run once only, and the request."""
        self.asked += 1
        id_, once = f"{self.asked:06d}", self.chance.random() < 0.4
        verb, path = "POST" if once and self.chance.random() < 0.7 else "GET", "/book/x" if once else "/toy/x"
        body = b"p" * self.chance.choice((0, 5, 3000, 400_000)) if verb == "POST" else b""
        told = f"Content-Length: {len(body)}\r\n" if verb == "POST" else ""
        if verb == "POST" and self.chance.random() < 0.5:
            told = "Transfer-Encoding: chunked\r\n"
            body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
        lines = f"{verb} {path} HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: {id_}\r\n"
        return id_, once, f"{lines}X-Deadline-Ms: {DEADLINE_MS}\r\n{told}\r\n".encode() + body

    async def client(self, host: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(host, port, limit=2**24)
        todo = [self.request() for _ in range(self.chance.choice((1, 1, 2, 5, 12)))]
        text = b"".join(part for _, _, part in todo)
        if self.chance.random() < 0.1:
            writer.write(text[: self.chance.randrange(len(text))])
            await asyncio.sleep(self.chance.choice((0.0, 0.02, 0.1)))
            writer.transport.abort()
            self.counts["left"] += 1
            return
        writer.write(text)
        try:
            for id_, once, _ in todo:
                async with asyncio.timeout(HELD_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                    body = await body_of(reader, head)
                self.check(id_, once, head, body)
                if b"connection: close" in head.lower():
                    break
        except TimeoutError:
            self.found.append(f"{id_} was held")
        except (asyncio.IncompleteReadError, ConnectionError):
            self.counts["cut"] += 1
        writer.close()

    def check(self, id_: str, once: bool, head: bytes, body: bytes) -> None:
        status, stamped = int(head.split()[1]), b"X-Stamp" in head
        self.counts[f"{status}{'' if stamped else ' of the front'}"] += 1
        if stamped and (f"X-Try-Id: {id_}\r\n".encode() not in head or body not in self.bodies.get(id_, ())):
            self.found.append(f"MIXED {id_}: {head!r} with {body[:20]!r}")
        if not stamped and (status < 400 or body):
            self.found.append(f"MIXED {id_}: {status} of the front with {body[:20]!r}")
        if once and status in PROMISES and self.ran[id_]:
            self.found.append(f"REFUSED {id_}: {status}, and it ran")
        if once and self.ran[id_] > 1:
            self.found.append(f"TWICE {id_}")


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
