"""Processor time of the pieces of work that an exchange and a switchboard do for machines and fronts, one by
one in this process, with no socket: what the slopes of `gateway_scale` are made of. Milliseconds each."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import logbook

from pinward.exchange import desk
from pinward.exchange.calls import find
from pinward.exchange.host import Exchange
from pinward.exchange.keeper import Kept, View
from pinward.exchange.vault import Vault
from pinward.plan.boot import boot_of
from pinward.plan.routes import plan_read
from pinward.plan.schema import plan_of
from pinward.switchboard.host import Switchboard
from pinward.trunk.link import packed, say
from standin.gateway_rig import Rig
from standin.gateway_scale import Size, plan

ENOUGH_S = 0.3  # s of processor time until a piece's figure is taken
TIMES_MOST = 2000


class Sink:
    """A link or websocket that keeps the last word and counts bytes."""

    def __init__(self) -> None:
        self.word: dict[str, Any] = {}
        self.size, self.stands = 0, True

    def send(self, word: dict[str, Any]) -> None:
        self.word = word

    async def send_str(self, text: str) -> None:
        self.size = len(text)

    async def send_bytes(self, data: bytes) -> None:
        self.size = len(data)


async def cost(work: Callable[[int], Awaitable[Any] | None]) -> float:
    """Milliseconds of processor time that `work` takes, called with 0, 1, 2 ..."""
    began, n = time.process_time(), 0
    while n < TIMES_MOST and (n < 2 or time.process_time() - began < ENOUGH_S):
        waits = work(n)
        if waits is not None:
            await waits
        n += 1
    return round(1000 * (time.process_time() - began) / n, 4)


async def pieces(size: Size, folder: Path) -> dict[str, float]:
    rig = Rig(folder, 3, 1, size.beat_s)
    boot = boot_of(json.loads(rig.settings(rig.cores[0]).read_text())).unwrap()
    founders = tuple(rig.cores)
    exchange = Exchange(boot, Vault(folder), Kept(0, View(0, "", founders, founders), False), 0.0, "l1")
    peer, ws = rig.cores[1], Sink()
    exchange.links[peer] = ws  # type: ignore[assignment]
    bodies: list[dict[str, Any]] = []
    for n in range(size.machines):
        desc = {"Svc": f"svc-{n % size.services:03d}", "Ver": "v1", "Az": f"zone-{n % 10}", "Cap": 6}
        where = "10.{}.{}.{}:18080".format(*Random(n).randbytes(3))
        bodies.append({"Sock": where, "Desc": desc, "Stat": {"Phase": "up", "Warmup": "0ms"}})

    def beat(n: int) -> Awaitable[Any]:
        at, calls = n % size.machines, 1 + n // size.machines
        bodies[at]["Stat"]["Calls"] = calls
        found = find("PUT", f"/machines/i-{at:06d}{Random(at).getrandbits(32):08x}")
        assert not isinstance(found, int)
        exchange.in_touch_at = exchange.now()
        return exchange.answers.answer(*found, json.dumps(bodies[at]).encode())

    for n in range(size.machines):
        await beat(n)
    exchange.spreading = True  # nobody is told meanwhile
    told: dict[str, float] = {"a machine's beat": await cost(lambda n: beat(size.machines + n))}
    have = {"plan": -1, "orders": [0, 0], "vector": {}, "fresh": False}
    with mock.patch.object(desk, "PULL_S", 0.0):
        news = await exchange.desk.news(have, 0.0, desk.OrdersTold())
        have["vector"] = {source: list(seen) for source, seen in exchange.book.seen.items()}
        told["a look for news, none"] = await cost(lambda n: exchange.desk.news(have, 0.0, desk.OrdersTold()))
    told["a snapshot packed"] = await cost(lambda n: say(ws, news))
    told["a snapshot, bytes"] = ws.size
    now = exchange.now()
    told["a digest made"] = await cost(lambda n: exchange.digest(now, 0.0))
    word = {
        **ws.word,
        "beats": ws.word["beats"][: max(1, size.machines // 9)],
    }  # a third of a third of a beat
    told["a digest's beats"] = len(word["beats"])
    told["a digest packed"] = await cost(lambda n: say(ws, word))
    told["a digest, bytes"] = ws.size

    def hear(n: int) -> None:
        beats = [[iid, 10_000 + n] for iid, _ in word["beats"]]
        exchange.hear(peer, {**word, "beats": beats, "vector": exchange.book.seen})

    told["a digest heard"] = await cost(hear)
    told["a hint to disk"] = await cost(lambda n: exchange.records.write_hint())
    body = json.dumps(plan(1, size))
    told["a configuration, bytes"] = len(body)
    told["a configuration checked"] = await cost(lambda n: void(plan_of(body)))
    told["a configuration packed"] = await cost(lambda n: say(ws, {"plan": body}))
    told["a configuration packed, bytes"] = ws.size
    told["a configuration read by a front"] = await cost(lambda n: void(plan_read(body)))
    board = Switchboard(boot_of(json.loads(rig.settings(rig.fronts[0]).read_text())).unwrap(), "l2")
    text = zlib.compress(packed(news).encode())
    told["a snapshot read by a front"] = await cost(lambda n: void(json.loads(zlib.decompress(text))))
    began = time.process_time()
    board.known.take(now, news)
    told["a snapshot taken by a front"] = round(1000 * (time.process_time() - began), 3)
    told["any news, lines learned by a front"] = await cost(lambda n: board.changed())
    return told


def void(_: Any) -> None:
    """Nothing to wait for."""


def measure(size: Size) -> dict[str, float]:
    with (
        tempfile.TemporaryDirectory(prefix="pinward-pieces-") as folder,
        logbook.NullHandler().applicationbound(),
    ):
        return asyncio.run(pieces(size, Path(folder)))
