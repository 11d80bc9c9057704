"""A departure that was acknowledged with 200 outlives every process, and the loss of a disk."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import logbook
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from pinward.directory.book import Book
from pinward.directory.entry import Entry, Standing
from pinward.exchange.departures import Departures
from standin.day_records import broken
from standin.exchange_day import Day, small
from standin.virtual import played

Troubles = Callable[[Day], Awaitable[None]]
TERMS = {"RetryExtra": 10, "Drain": "2s"}
ALL_PROXIES = small().fronts
RUNS_ON_S = 9.0  # s that a machine serves on after its `DELETE` was acknowledged


def play(troubles: Troubles, seed: int = 1, length_s: float = 14.0) -> Day:
    """A day whose troubles may fail a test: what they raise is raised here."""
    raised: list[BaseException] = []

    async def watched(day: Day) -> None:
        try:
            await troubles(day)
        except BaseException as why:
            raised.append(why)
            raise

    async def whole() -> Day:
        day = Day(small(0.3, terms=TERMS), seed)
        await day.play(length_s, watched)
        return day

    with logbook.NullHandler().applicationbound():
        day: Day = played(whole())
    for why in raised:
        raise why
    return day


async def says_gone(day: Day, machine: Any) -> None:
    """`DELETE` with no drain before it; the machine serves on."""
    machine.standing = Standing.DRAIN  # it beats no more
    status = 0
    while status != 200:
        status, _, _ = await day.call("DELETE", f"/machines/{machine.iid}")
    machine.acked_drain = day.now()


async def replaced_beside_a_herd_kill(
    day: Day, wipe: int | None = None, power: bool = False, proxies: int = 1
) -> None:
    """A machine joins and another leaves; all servers and some proxies are killed right after the 200."""
    await asyncio.sleep(1.0)
    leaver = day.of("reads")[0]
    day.machine(leaver.kind, leaver.zone, warm=True)
    await asyncio.sleep(0.6)
    await says_gone(day, leaver)
    for turn, ip in enumerate(day.core_ips):
        day.kill(ip, 0.2, power=power, wipe=turn == wipe)
    for ip in day.front_ips[:proxies]:
        day.kill(ip, 0.2, power=power)
    await asyncio.sleep(RUNS_ON_S)
    day.works.end(leaver)


def entry(iid: str, standing: Standing) -> Entry:
    return Entry(iid, "s", ("10.0.0.1", 80), "z", "v1", 6, standing, 1)


class Acknowledged(TestCase):
    def test_a_departure_outlives_the_kill_of_all_servers_and_a_proxy(self) -> None:
        """Guards against review/2: an acknowledged `DELETE` stood in memory alone."""
        for seed in range(4):
            day = play(replaced_beside_a_herd_kill, seed)
            self.assertThat(broken(day), Equals([]), f"seed {seed}")

    def test_a_departure_outlives_one_disk_while_all_lose_power(self) -> None:
        for wipe in range(3):
            for proxies in (1, ALL_PROXIES):

                async def troubles(day: Day, wipe: int = wipe, proxies: int = proxies) -> None:
                    await replaced_beside_a_herd_kill(day, wipe, power=True, proxies=proxies)

                self.assertThat(broken(play(troubles)), Equals([]), f"server {wipe}, {proxies} proxies")

    def test_no_200_comes_before_two_disks_hold_it(self) -> None:
        """Each disk but one refuses writes: the machine is told 503, and 200 once a second takes them."""

        async def troubles(day: Day) -> None:
            await asyncio.sleep(1.0)
            leaver = day.of("reads")[0]
            leaver.standing = Standing.DRAIN
            day.full_disks.update(day.core_ips[1:])
            for core in day.core_ips:
                sent = await day.send(core, "DELETE", f"/machines/{leaver.iid}")
                self.assertThat(sent.status == 200, Is(False), core)
            day.full_disks.clear()
            await asyncio.sleep(1.0)
            await says_gone(day, leaver)
            disks = [json.loads(day.boxes[ip]["left."])["lines"] for ip in day.core_ips]
            holding = [any(line[0] == leaver.iid for line in lines) for lines in disks]
            self.assertThat(sum(holding), GreaterThan(1))

        play(troubles, length_s=6.0)

    def test_a_full_registry_acknowledges_no_departure_that_it_does_not_hold(self) -> None:
        """Guards against a 200 to a `DELETE` for which there was no room: it was written nowhere."""

        async def troubles(day: Day) -> None:
            await asyncio.sleep(7.0)
            some = day.of("reads")[0]
            with mock.patch("pinward.directory.book.ENTRIES_MOST", len(day.machines)):
                late = day.machine(some.kind, some.zone)
                late.standing = Standing.DRAIN  # its first beat stays on its way
                for core in day.core_ips:
                    up = await day.send(core, "PUT", f"/machines/{late.iid}", {**day.beat(some)})
                    self.assertThat(up.status, Equals(503))
                await says_gone(day, late)
            disks = [json.loads(day.boxes[ip]["left."])["lines"] for ip in day.core_ips]
            holding = [any(line[0] == late.iid for line in lines) for lines in disks]
            self.assertThat(sum(holding), GreaterThan(1))

        play(troubles, length_s=10.0)

    def test_departures_of_a_moment_cost_few_writes(self) -> None:
        writes: list[str] = []

        async def troubles(day: Day) -> None:
            await asyncio.sleep(1.0)
            for ip in day.core_ips:
                storage = day.hosts[ip][1].storage
                whole = storage.write

                async def counted(vault: Any, body: bytes, whole: Any = whole, ip: str = ip) -> None:
                    if vault.prefix == "left.":
                        writes.append(ip)
                    await whole(vault, body)

                storage.write = counted
            some = [day.machine(day.of("reads")[0].kind, "z0", warm=True) for _ in range(60)]
            await asyncio.sleep(1.0)
            await asyncio.gather(*(says_gone(day, machine) for machine in some))

        play(troubles, length_s=6.0)
        self.assertThat(len(writes), GreaterThan(2))
        self.assertThat(len(writes), LessThan(60))


class LateBeats(TestCase):
    def test_a_first_beat_behind_the_delete_of_a_machine_that_nobody_knew_brings_nothing_back(self) -> None:
        """Guards against a departure that was forgotten at once since its machine was not known."""

        async def troubles(day: Day) -> None:
            await asyncio.sleep(7.0)
            some = day.of("reads")[0]
            late = day.machine(some.kind, some.zone)
            beat = day.beat(late)
            late.standing = Standing.DRAIN  # its first beat stays on its way
            await says_gone(day, late)
            await asyncio.sleep(1.5)
            status, _, _ = await day.call("PUT", f"/machines/{late.iid}", beat)
            self.assertThat(status, Equals(200))
            await asyncio.sleep(5.0)
            held = {day.hosts[ip][1].book.lines[late.iid].entry.standing for ip in day.core_ips}
            self.assertThat(held, Equals({Standing.GONE}))

        self.assertThat(broken(play(troubles)), Equals([]))

    def test_deletes_of_machines_that_nobody_knows_are_forgotten_in_the_end(self) -> None:
        book = Book("m", "l", 1.5)
        for n in range(5):
            book.leave(0.0, f"i{n}")
        self.assertThat(len(book.lines), Equals(5))
        book.age(61.0)
        self.assertThat(len(book.lines), Equals(0))


class Restored(TestCase):
    def restored(self, at_less_s: float) -> Book:
        book, restarted = Book("m", "l", 1.5), Book("m", "k", 1.5)
        for iid, standing in (("up", Standing.UP), ("drains", Standing.DRAIN), ("gone", Standing.GONE)):
            book.write(100.0, entry(iid, standing))
        told = json.loads(Departures(book).snapshot(110.0).body)
        told["at"] -= at_less_s
        Departures(restarted).restore(5.0, told)
        return restarted

    def test_what_left_is_told_on_and_what_is_up_is_not(self) -> None:
        for at_less_s in (0.0, 20.0, -3600.0, 3600.0):  # by a sound clock, and by one that was stepped
            book = self.restored(at_less_s)
            self.assertThat(sorted(book.lines), Equals(["drains", "gone"]), f"{at_less_s}")
            book.age(5.0 + 9.0)
            self.assertThat(len(book.lines), Equals(2), f"{at_less_s}")

    def test_it_is_forgotten_in_the_end(self) -> None:
        book = self.restored(0.0)
        book.age(5.0 + 61.0)
        self.assertThat(len(book.lines), Equals(0))

    def test_a_vector_claims_no_departure_that_is_being_written(self) -> None:
        book = Book("m", "l", 1.5)
        departures = Departures(book)
        book.write(0.0, entry("a", Standing.UP))
        self.assertThat((departures.due, departures.vector), Equals((False, book.seen)))
        snapshot = departures.snapshot(0.0)
        before = dict(book.seen)
        book.write(0.0, entry("a", Standing.GONE))
        departures.written(snapshot)
        self.assertThat((departures.due, departures.vector), Equals((True, before)))
        departures.written(departures.snapshot(0.0))
        self.assertThat((departures.due, departures.vector), Equals((False, book.seen)))
