"""Hundreds of changes in simulated time: the real hosts, hollow machines that each keep to one exchange, and
restarts, lost disks and cuts among the changes.

`world` plays them and tells what is held, on disk and sent after so many changes; `settled` says where a copy
differs from what is. `behind` has a front that is behind by so many changes catch up over a slow link, `herd`
many fronts at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from multiprocessing import get_context
from random import Random
from time import process_time
from typing import Any
from unittest import mock

import logbook

from pinward.directory import book as book_module
from pinward.directory.book import GONE_S, SILENT_BEATS, Book
from pinward.directory.entry import Entry, Standing
from pinward.exchange.answers import ALONE_S
from standin.exchange_day import BEAT_S, START_S, Class, Day, Shape
from standin.virtual import played
from standin.works import Kind

SETTLE_S = SILENT_BEATS * BEAT_S + 4.0  # s after the last change and trouble until all copies are alike
LATER_S = 15.0  # s that an ended life may be held beyond `GONE_S`: silence, looks and news on the way
TROUBLE_EACH = 20  # changes to a trouble


@dataclass
class Hollow:
    """A machine that only beats; it keeps to one exchange until that one does not answer."""

    entry: Entry
    at: int
    ended: float | None = None  # when it left or was lost


class World:
    """A day without clients, and the machines in it."""

    def __init__(
        self, seed: int, machines: int, fronts: int, routes: int, gone_s: float = GONE_S
    ) -> None:  # fmt: skip
        shape = Shape((Kind("s", 0),), (Class("c", "s", 5.0, 0.5, 1.0),), fronts=fronts, zones=4)
        self.day, self.chance = Day(shape, seed), Random(f"changes.{seed}")
        self.hollows: dict[str, Hollow] = {}
        self.number, self.version, self.routes = 0, 1, routes
        self.machines, self.ended_s = machines, gone_s + LATER_S
        self.acked = 1
        self.orders: dict[str, int] = {}
        self.faults: list[str] = []
        self.last_wipe = 0.0

    def now(self) -> float:
        return self.day.now()

    def exchanges(self) -> list[tuple[str, Any]]:
        return [(ip, self.day.hosts[ip][1]) for ip in self.day.core_ips if ip in self.day.hosts]

    def fronts(self) -> list[tuple[str, Any]]:
        return [(ip, self.day.hosts[ip][1]) for ip in self.day.front_ips if ip in self.day.hosts]

    # Machines.

    def begin(self, at: int | None = None) -> Hollow:
        """A new machine, at its first beat."""
        self.number += 1
        n = self.number
        where = (f"10.5.{n // 250 % 250}.{n % 250}", 80)
        entry = Entry(f"i{n:06x}", f"s{n % 3}", where, "z0", "v1", 6, Standing.UP, 0)
        hollow = Hollow(entry, self.chance.randrange(3) if at is None else at)
        self.hollows[entry.iid] = hollow
        self.call(hollow)
        return hollow

    def call(self, hollow: Hollow) -> None:
        """One beat, to the exchange it keeps to or the next that answers."""
        calls = hollow.entry.calls + 1
        hollow.entry = replace(hollow.entry, calls=calls)
        for _ in range(3):
            ip = self.day.core_ips[hollow.at % 3]
            host = self.day.hosts.get(ip)
            if host is not None and self.now() - host[1].in_touch_at <= ALONE_S:
                exchange = host[1]
                if hollow.entry.standing is Standing.GONE:
                    told = exchange.book.leave(self.now(), hollow.entry.iid)
                else:
                    told = exchange.book.beat(self.now(), hollow.entry)
                if told is not None:
                    host[0].run(exchange.spread)
                return
            hollow.at += 1

    async def beats(self) -> None:
        """All beat, spread over the period."""
        step = 0
        while True:
            await asyncio.sleep(BEAT_S / 10)
            step += 1
            for n, hollow in enumerate(list(self.hollows.values())):
                if hollow.ended is None and n % 10 == step % 10:
                    self.call(hollow)

    async def watch(self) -> None:
        """No front loses sight of a machine that it knew and that is up."""
        held: dict[str, tuple[Any, set[str]]] = {}
        while True:
            await asyncio.sleep(0.1)
            for ip, host in self.fronts():
                before, here = held.get(ip, (None, set())), set(host.known.book.lines)
                held[ip] = (host, here)
                up = {hollow.entry.iid for hollow in self.up()}
                lost = (before[1] - here) & up
                if before[0] is host and lost:
                    self.faults.append(f"DROPPED {ip} at {self.now():.1f}: {sorted(lost)[:3]}")

    async def leave(self, hollow: Hollow) -> None:
        hollow.ended = self.now()
        hollow.entry = replace(hollow.entry, standing=Standing.DRAIN)
        self.call(hollow)
        await asyncio.sleep(2.3)
        hollow.entry, hollow.ended = replace(hollow.entry, standing=Standing.GONE), self.now()
        self.call(hollow)

    def up(self) -> list[Hollow]:
        return [hollow for hollow in self.hollows.values() if hollow.ended is None]

    # Changes.

    async def change(self) -> None:
        draw = self.chance.random()
        if draw < 0.25:
            self.version += self.chance.randint(1, 3)
            extra = self.chance.randint(self.routes // 2, self.routes)
            status, _ = await self.day.order("PUT", "/cfg", self.day.plan(self.version, extra))
            if status == 200:
                self.acked = self.version
        elif draw < 0.3:
            service = f"s{self.chance.randrange(3)}"
            self.orders[service] = self.orders.get(service, 0) + 1
            body = {"Svc": service, "Target": f"v{self.orders[service]}", "Over": "1s"}
            await self.day.order("POST", "/rolls", body, 1.0)
        else:
            some = self.up()
            hollow = self.chance.choice(some)
            self.begin()
            if draw < 0.4:
                hollow.ended = self.now()  # lost without a word
            else:
                self.day.spawn(self.leave(hollow))
        before = self.now() - 2 * self.ended_s
        for iid in [iid for iid, h in self.hollows.items() if h.ended is not None and h.ended < before]:
            del self.hollows[iid]

    async def trouble(self) -> None:
        """One trouble, over before the next change that is looked at."""
        day, core = self.day, self.chance.choice(self.day.core_ips)
        front = self.chance.choice(day.front_ips)
        draw = self.chance.random()
        if draw < 0.25:
            day.kill(core, self.chance.uniform(0.0, 3.0))
        elif draw < 0.4 and self.now() > self.last_wipe + 15.0:
            self.last_wipe = self.now()
            day.kill(core, self.chance.uniform(0.0, 1.0), wipe=True)
        elif draw < 0.5:
            for ip in day.core_ips:
                day.kill(ip, self.chance.uniform(0.0, 0.5), power=True)
        elif draw < 0.7:
            others = {*day.core_ips, *day.front_ips} - {core}
            ways = day.net.cut({core}, others, one_way=self.chance.random() < 0.3)
            asyncio.get_running_loop().call_later(self.chance.uniform(0.3, 20.0), day.net.join, ways)
        elif draw < 0.85:
            ways = day.net.cut({front}, set(day.core_ips))
            asyncio.get_running_loop().call_later(self.chance.choice((5.0, 30.0, 90.0)), day.net.join, ways)
        else:
            day.kill(front, self.chance.uniform(0.0, 3.0))

    # What is looked at.

    async def settle(self) -> None:
        self.day.net.join(set(self.day.net.cuts))
        await asyncio.sleep(SETTLE_S + START_S + 3.0)
        self.faults += self.settled()

    def lose(self, teller: str, hearer: str, sort: str) -> None:
        """The next word of this sort between two exchanges is lost."""
        link = self.day.hosts[teller][1].links[hearer]
        send = link.send

        def lossy(word: dict[str, Any]) -> None:
            if word["t"] == sort:
                link.send = send
            else:
                send(word)

        link.send = lossy

    def settled(self) -> list[str]:
        """Where a copy differs from what is, once all is calm."""
        up = {hollow.entry.iid for hollow in self.up()}
        faults = []
        since = self.now() - self.ended_s
        late = sum(h.ended is not None and h.ended > since for h in self.hollows.values())
        books = [(ip, host.book) for ip, host in self.exchanges()]
        books += [(ip, host.known.book) for ip, host in self.fronts()]
        at = f"at {self.now():.0f}"
        for ip, book in books:
            held = {iid for iid, line in book.lines.items() if line.entry.standing is Standing.UP}
            if held != up:
                faults.append(f"LIVES {ip} {at}: lacks {sorted(up - held)[:3]}, has {sorted(held - up)[:3]}")
            if len(book.lines) > len(up) + late:
                faults.append(f"HELD {ip} {at}: {len(book.lines)} lives, {len(up)} up, {late} ended lately")
            if len(book.seen) > len(self.day.core_ips):
                faults.append(f"VECTOR {ip} {at}: {sorted(book.seen)}")
        for ip, host in self.fronts():
            if host.known.plan is None or host.known.plan.version < self.acked:
                faults.append(f"PLAN {ip} {at}: not {self.acked}")
        return faults

    def held(self) -> dict[str, int]:
        """What is held and was sent up to now."""
        exchanges, fronts = self.exchanges(), self.fronts()
        books = [host.book for _, host in exchanges] + [host.known.book for _, host in fronts]
        return {
            "up": len(self.up()),
            "lives_most": max(len(book.lines) for book in books),
            "vector_most": max(len(book.seen) for book in books),
            "former_most": max(len(book.former) for book in books),
            "disk_most": max(sum(map(len, box.values())) for box in self.day.boxes.values()),
            "links_bytes": sum(self.day.net.told_bytes.values()),
        }

    async def play(self, work: Callable[[], Any]) -> None:
        async def troubles(day: Day) -> None:
            for _ in range(self.machines):
                self.begin()
            day.spawn(self.beats())
            day.spawn(self.watch())
            await asyncio.sleep(3.0)
            await work()

        with logbook.NullHandler().applicationbound():
            await self.day.play(0.01, troubles)


def changes(
    seed: int, marks: tuple[int, ...] = (100, 1000), gap_s: float = 1.0, machines: int = 40, fronts: int = 8,
    routes: int = 300, trouble_each: int = TROUBLE_EACH,
) -> dict[str, Any]:  # fmt: skip
    """Plays the changes of one seed: what is held at each mark, and the faults found at every hundredth."""

    async def whole() -> dict[str, Any]:
        world = World(seed, machines, fronts, routes)
        rows: list[dict[str, Any]] = []

        async def work() -> None:
            began, last = world.now(), world.held()["links_bytes"]
            for n in range(1, marks[-1] + 1):
                await world.change()
                await asyncio.sleep(world.chance.uniform(0.0, 2 * gap_s))
                if n % trouble_each == 0:
                    await world.trouble()
                if n in marks or n % 100 == 0:
                    await world.settle()
                if n in marks:
                    held = world.held()
                    sent, took = held.pop("links_bytes"), world.now() - began
                    row = {"seed": seed, "changes": n, **held, "links_bytes_s": round((sent - last) / took)}
                    rows.append(row)
                    began, last = world.now(), sent

        await world.play(work)
        return {"rows": rows, "faults": world.faults}

    found: dict[str, Any] = played(whole())
    return found


def absences(seed: int, gone_s: float, machines: int = 6) -> list[str]:
    """A word lost, an exchange that begins anew, a front away longer than lives are remembered: faults."""

    async def whole() -> list[str]:
        world = World(seed, machines, 3, 2, gone_s)
        day = world.day

        async def look(after_s: float) -> None:
            await asyncio.sleep(after_s)
            world.faults += world.settled()

        async def churn(at: int, times: int) -> None:
            for _ in range(times):
                world.begin(at)
                old = next(hollow for hollow in world.up())
                old.at = at
                day.spawn(world.leave(old))
                await asyncio.sleep(0.1)

        async def work() -> None:
            first, second, third = range(3)
            await churn(third, 12)
            await look(3.0)
            world.lose(day.core_ips[first], day.core_ips[second], "lines")
            for _ in range(2):
                world.begin(first)
                await asyncio.sleep(0.1)
            await look(2.0)
            day.kill(day.core_ips[third], 0.1)
            await asyncio.sleep(1.5)
            for _ in range(2):
                world.begin(third)
            ways = day.net.cut(set(day.front_ips[:1]), {day.core_ips[first], day.core_ips[second]})
            await look(4.0)
            day.net.join(ways)
            ways = day.net.cut(set(day.front_ips[1:2]), set(day.core_ips))
            await churn(first, 3)
            await asyncio.sleep(gone_s + 4.0)
            await churn(second, 1)
            day.net.join(ways)
            await look(4.0)
            # One that begins with nothing is all that a front reaches.
            day.kill(day.core_ips[third], 0.1, wipe=True)
            alone = {day.core_ips[third], *day.front_ips[2:]}
            ways = day.net.cut(alone, {day.core_ips[first], day.core_ips[second]})
            await asyncio.sleep(2.0)
            day.net.join(ways)
            await look(4.0)
            await look(gone_s + LATER_S)

        await world.play(work)
        return world.faults

    found: list[str] = played(whole())
    return found


def planted(name: str) -> Any:
    """An error to plant, as a context: one of `PLANTS`."""
    news = Book.news
    return {
        "none": lambda: mock.patch.object(Book, "own_errors", None, create=True),
        # Changes are taken in wherever they start from.
        "gap": lambda: mock.patch.object(Book, "holds", lambda *_: True),
        # Versions go without the life of their source.
        "life": lambda: mock.patch.object(book_module, "life_of", lambda incarnation, token: "0.x"),
        # Lives of machines are never forgotten.
        "lives": lambda: mock.patch.object(book_module, "GONE_S", float("inf")),
        # A copy far behind gets changes and no snapshot.
        "floor": lambda: mock.patch.object(Book, "behind", lambda self, have: not have),
        # A snapshot of one that has just begun is taken as if it told of all.
        "whole": lambda: mock.patch.object(Book, "news", lambda self, now, have, *_: news(self, now, have)),
    }[name]()


PLANTS = ("none", "gap", "life", "lives", "floor", "whole")


async def catches_up(world: World, book: Book, lead: Any, also: Callable[[], bool]) -> float:
    """Seconds until a book holds all that the primary's held as this began, and `also` is true.

    Changes go on meanwhile. 20 s at most.
    """
    began, aim = world.now(), dict(lead.book.seen)
    while world.now() < began + 20.0:
        await asyncio.sleep(0.01)
        if int(100 * world.now()) % 10 == 0:
            world.begin()
        if not any(book.lacks(source, *seen) for source, seen in aim.items()) and also():
            break
    return round(world.now() - began, 2)


def behind(changes: int, machines: int, routes: int, bits_s: float, seed: int = 1) -> dict[str, Any]:
    """A front cut off while so many changes are made, and then while they go on: seconds to catch up."""

    async def whole() -> dict[str, Any]:
        world = World(seed, machines, 4, routes)
        row: dict[str, Any] = {"behind": changes, "machines": machines, "routes": routes}

        async def work() -> None:
            day, front = world.day, world.day.front_ips[0]
            day.net.rates[front] = bits_s
            await day.order("PUT", "/cfg", day.plan(2, routes))
            await asyncio.sleep(3.0)
            ways = day.net.cut({front}, set(day.core_ips))
            for _ in range(changes):
                world.begin()
                hollow = next(iter(world.up()))
                world.day.spawn(world.leave(hollow))
                await asyncio.sleep(0.09)
            await day.order("PUT", "/cfg", day.plan(3, routes))
            await asyncio.sleep(2.4)
            sent = day.net.told_bytes_to.get(front, 0)
            day.net.join(ways)
            known, lead = day.hosts[front][1].known, day.hosts[day.primary() or day.core_ips[0]][1]
            row["caught_up_s"] = await catches_up(world, known.book, lead, lambda: known.plan.version == 3)
            row["bytes"] = day.net.told_bytes_to.get(front, 0) - sent

        await world.play(work)
        return row

    found: dict[str, Any] = played(whole())
    return found


def herd(fronts: int, machines: int, routes: int, bits_s: float, seed: int = 1) -> dict[str, Any]:
    """All fronts killed at once: seconds from their start until all know all, and the processor's time."""

    async def whole() -> dict[str, Any]:
        world = World(seed, machines, fronts, routes)
        row: dict[str, Any] = {"fronts": fronts, "machines": machines, "routes": routes}

        async def work() -> None:
            day = world.day
            for ip in day.front_ips:
                day.net.rates[ip] = bits_s
            await day.order("PUT", "/cfg", day.plan(2, routes))
            await asyncio.sleep(2.0)
            for ip in day.front_ips:
                day.kill(ip, 0.5)
            await asyncio.sleep(0.5 + START_S - 0.001)
            began, cpu, sent = world.now(), process_time(), sum(day.net.told_bytes_to.values())
            up = len(world.up())
            while world.now() < began + 20.0:
                await asyncio.sleep(0.01)
                knowns = [host.known for _, host in world.fronts()]
                if len(knowns) == fronts and all(
                    k.plan is not None and k.plan.version == 2 and len(k.book.lines) >= up for k in knowns
                ):  # fmt: skip
                    break
            row["all_know_s"] = round(world.now() - began, 2)
            row["bytes"] = round((sum(day.net.told_bytes_to.values()) - sent) / fronts)
            row["processor_s"] = round(process_time() - cpu, 2)

        await world.play(work)
        return row

    found: dict[str, Any] = played(whole())
    return found


def member(changes: int, machines: int, routes: int, seed: int = 1) -> dict[str, Any]:
    """An exchange down while so many changes are made, each tenth a configuration; changes go on after."""

    async def whole() -> dict[str, Any]:
        world = World(seed, machines, 2, routes)
        row: dict[str, Any] = {"behind": changes}

        async def work() -> None:
            day = world.day
            late = next(ip for ip in day.core_ips if ip != day.primary())
            day.kill(late, 1e9)
            for n in range(changes):
                world.begin()
                world.day.spawn(world.leave(world.up()[0]))
                if n % 10 == 0:
                    world.version += 1
                    await day.order("PUT", "/cfg", day.plan(world.version, routes))
                await asyncio.sleep(0.05)
            sent = day.net.told_bytes_to.get(late, 0)
            day.start(late)
            host, lead = day.hosts[late][1], day.hosts[day.primary() or ""][1]
            items = dict(lead.keeper.kept.items)

            def counts() -> bool:
                return late in lead.keeper.view.copies + lead.keeper.view.voters and all(
                    host.keeper.public.get(key, [0, 0])[:2] >= item[:2] for key, item in items.items()
                )

            row["caught_up_s"] = await catches_up(world, host.book, lead, counts)
            row["bytes"] = day.net.told_bytes_to.get(late, 0) - sent

        await world.play(work)
        return row

    found: dict[str, Any] = played(whole())
    return found


def measure(seeds: int, first: int, count: int, jobs: int) -> list[dict[str, Any]]:
    """Rows of `changes` for so many seeds, at a tenth of the changes and at all; each with its faults."""
    marks = (max(1, count // 10), count)
    rows = []
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        for found in pool.map(partial(changes, marks=marks), range(first, first + seeds)):
            rows += [{**row, "faults": len(found["faults"])} for row in found["rows"]]
    return rows


def returns(bits_s: float = 2e6) -> list[dict[str, Any]]:
    """Rows of `behind`, `member` and `herd`."""
    late = [behind(count, 400, 350, bits_s) for count in (1, 100, 1000)]
    crowd = [herd(fronts, 400, 350, bits_s) for fronts in (12, 80)]
    told = [(f"a front behind by {row['behind']}", row["caught_up_s"], row["bytes"]) for row in late]
    told += [
        (f"an exchange behind by {row['behind']}", row["caught_up_s"], row["bytes"])
        for row in (member(count, 400, 350) for count in (1, 100, 1000))
    ]
    told += [(f"{row['fronts']} fronts start at once", row["all_know_s"], row["bytes"]) for row in crowd]
    return [{"what": what, "seconds": took, "bytes_each": sent} for what, took, sent in told]
