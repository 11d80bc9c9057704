"""Hundreds of changes, then a restart: what a copy claims, what is forgotten, what stays on disk."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from random import Random
from time import time
from typing import Any
from unittest import mock

import aiohttp
import logbook
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, Is, LessThan, Not

from pinward.directory.book import ENTRIES_MOST, FORMER_MOST, GONE_S, Book, News
from pinward.directory.entry import Entry, Standing
from pinward.exchange.host import Exchange
from pinward.exchange.machine_records import HINT_OLD_S
from pinward.exchange.vault import KEPT, Vault
from pinward.plan.boot import boot_of
from pinward.trial.order import Order, Stage
from pinward.trial.tally import Tally
from pinward.trunk.link import packed, word_of
from pinward.trunk.session import AGAIN_MOST_S, AGAIN_S, CORES_MOST, QUICK, Known, Session
from standin import changes
from standin.day_records import broken
from standin.exchange_day import START_S, Class, Day, Shape
from standin.virtual import played
from standin.works import Kind
from tests.test_gateway_plan import Settings

BEAT_S = 1.5


def entry(number: int, calls: int = 1, standing: Standing = Standing.UP) -> Entry:
    return Entry(f"i{number}", "s", (f"10.0.0.{number}", 80), "a", "v1", 6, standing, calls)


def standings(book: Book) -> dict[str, Standing]:
    return {iid: line.entry.standing for iid, line in book.lines.items()}


def pull(now: float, copy: Book, source: Book) -> News | None:
    """One pull of a front's copy."""
    news = source.news(now, copy.seen)
    if news is not None:
        copy.merge(now, News.of(word(news)))
    return news


def word(news: News) -> dict[str, Any]:
    """As it comes over a link."""
    message = aiohttp.WSMessage(aiohttp.WSMsgType.TEXT, packed(news.plain()), None)
    return word_of(message) or {}


class Vectors(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.begin()

    def begin(self) -> None:
        self.a, self.b, self.copy = Book("a", "1", BEAT_S), Book("b", "1", BEAT_S), Book("", "f", BEAT_S)

    def swap(self, now: float, one: Book, other: Book) -> None:
        """Each tells the other what it lacks."""
        for teller, hearer in ((one, other), (other, one)):
            teller.meet(hearer.seen)
            hearer.merge(now, News.of(word(teller.changes(now, hearer.seen))))

    def test_changes_over_a_gap_are_refused_whole(self) -> None:
        self.a.beat(0.0, entry(1))
        pull(0.0, self.copy, self.a)
        have = dict(self.copy.seen)
        self.a.beat(1.0, entry(2))
        lost = dict(self.a.seen)
        self.a.beat(1.1, entry(3))
        late = self.a.changes(1.2, lost)
        self.assertThat(self.copy.merge(1.2, late), Is(None))
        self.assertThat((self.copy.seen, len(self.copy.lines)), Equals((have, 1)))
        pull(1.3, self.copy, self.a)
        self.assertThat(len(self.copy.lines), Equals(3))

    def test_what_two_exchanges_tell_between_each_other_goes_back_to_nothing_older(self) -> None:
        self.a.beat(0.0, entry(1))
        self.swap(0.0, self.a, self.b)
        pull(0.0, self.copy, self.b)
        self.b.beat(1.0, entry(1, calls=2, standing=Standing.DRAIN))
        pull(1.0, self.copy, self.b)
        old = self.a.news(1.1, self.copy.seen)
        self.assertThat(old, Is(None))
        self.assertThat(standings(self.copy), Equals({"i1": Standing.DRAIN}))

    def test_a_copy_that_slept_through_a_life_and_its_forgetting_drops_it(self) -> None:
        for away_s in (5.0, 30.0, 90.0, 500.0):
            self.begin()
            for number in (1, 2):
                self.a.beat(0.0, entry(number))
            pull(0.0, self.copy, self.a)
            self.a.leave(0.5, "i1")
            now = 0.5
            while now < away_s:
                now += 0.5
                self.a.beat(now, entry(2, calls=int(10 * now)))
                self.a.age(now)
            self.a.beat(now, entry(3))
            news = pull(now, self.copy, self.a)
            assert news is not None
            self.assertThat(news.base is None, Is(away_s > GONE_S), f"{away_s}")
            self.assertThat(standings(self.copy).get("i1", Standing.GONE), Is(Standing.GONE))
            self.assertThat(self.copy.lines, Contains("i3"))

    def test_what_was_forgotten_before_an_exchange_began_is_known_there(self) -> None:
        for number in (1, 2):
            self.a.beat(0.0, entry(number))
        pull(0.0, self.copy, self.a)
        self.a.leave(0.5, "i1")
        for turn in range(180):
            self.a.beat(0.5 * turn, entry(2, calls=turn))
            self.a.age(0.5 * turn)
        self.swap(90.0, self.a, self.b)
        pull(90.0, self.copy, self.b)
        self.assertThat(list(self.copy.lines), Equals(["i2"]))

    def test_an_exchange_that_knows_little_takes_nothing_from_a_front(self) -> None:
        for number in (1, 2):
            self.a.beat(0.0, entry(number))
        pull(0.0, self.copy, self.a)
        self.b.beat(1.0, entry(3))
        news = self.b.news(1.0, self.copy.seen, whole=False)
        assert news is not None
        self.copy.merge(1.0, news)
        self.assertThat((set(self.copy.lines), self.copy.partial), Equals(({"i1", "i2", "i3"}, True)))
        self.assertThat(self.b.news(1.1, self.copy.seen, True, whole=False), Is(None))
        news = self.b.news(6.0, self.copy.seen, True, whole=True)
        assert news is not None
        self.copy.merge(6.0, news)
        self.assertThat((set(self.copy.lines), self.copy.partial), Equals(({"i3"}, False)))

    def test_a_source_that_began_anew_is_told_once_and_its_former_life_never_comes_back(self) -> None:
        for number in (1, 2, 3):
            self.b.beat(0.0, entry(number))
        self.swap(0.0, self.a, self.b)
        pull(0.0, self.copy, self.a)
        stale = self.b.changes(0.0, {})
        self.b = Book("b", "0", BEAT_S)  # by its name alone its life is the older
        self.swap(1.0, self.a, self.b)
        self.b.beat(1.0, entry(4))
        self.swap(1.0, self.a, self.b)
        self.assertThat(self.a.seen["b"], Equals(self.b.seen["b"]))
        news = pull(1.0, self.copy, self.a)
        assert news is not None
        self.assertThat(news.base, Not(Is(None)))  # the copy was not behind: no snapshot
        self.assertThat(self.a.news(1.1, self.copy.seen), Is(None))
        self.assertThat(len(self.copy.lines), Equals(4))
        seen = dict(self.a.seen)
        self.a.merge(1.2, stale)
        self.assertThat(self.a.seen["b"], Equals(seen["b"]))
        self.copy.merge(1.2, replace(stale, base=None))
        self.assertThat(len(self.copy.lines), Equals(4))

    def test_a_life_only_a_front_remembers_is_outlived(self) -> None:
        self.b.beat(0.0, entry(1))
        pull(0.0, self.copy, self.b)
        anew = Book("b", "0", BEAT_S)
        anew.beat(1.0, entry(2))
        pull(1.0, self.copy, anew)
        self.assertThat(anew.seen["b"][0] > self.b.seen["b"][0], Is(True))
        self.assertThat(list(self.copy.lines), Equals(["i2"]))
        self.assertThat(anew.news(1.1, self.copy.seen), Is(None))

    def test_one_that_was_cut_off_brings_back_no_life_as_up(self) -> None:
        for book in (self.a, self.b):
            book.beat(0.0, entry(1))
        pull(0.0, self.copy, self.a)
        self.a.leave(1.0, "i1")
        for turn in range(200):
            self.a.age(turn)
        pull(200.0, self.copy, self.a)
        self.swap(200.0, self.a, self.b)
        self.assertThat(self.a.lines["i1"].entry.standing, Is(Standing.SILENT))
        for turn in range(3):
            self.a.age(201.0 + turn)
        self.assertThat(self.a.lines, HasLength(0))

    def test_a_copy_that_took_a_false_silence_hears_better_from_another(self) -> None:
        self.a.beat(0.0, entry(1, calls=4))
        self.swap(0.0, self.a, self.b)
        pull(0.0, self.copy, self.b)
        self.a.heard(5.0, [["i1", 9]])
        self.b.age(5.0)
        pull(5.0, self.copy, self.b)
        self.assertThat(standings(self.copy)["i1"], Is(Standing.SILENT))
        self.a.merge(5.1, self.b.changes(5.1, {}))
        pull(5.1, self.copy, self.a)  # b is gone for good
        self.assertThat(standings(self.copy)["i1"], Is(Standing.UP))

    def test_nothing_kept_grows_with_what_has_been(self) -> None:
        for turn in range(1000):
            now = 10.0 * turn
            source = f"c{turn}"
            other = Book(source, "1", BEAT_S)
            self.swap(now, self.a, other)
            other.beat(now, entry(turn))
            self.swap(now, self.a, other)
            pull(now, self.copy, self.a)
            self.a.leave(now + 1.0, f"i{turn}")
            self.a.retire(source)
            self.a.age(now)
            self.copy.forget_ended(now)
        held = GONE_S / 10.0 + 2
        for kept in (self.a.lines, self.copy.lines, self.a.numbers["a"]):
            self.assertThat(len(kept), LessThan(held + 1))
        for vector in (self.a.seen, self.copy.seen, self.a.floors, self.a.numbers):
            self.assertThat(len(vector), LessThan(3))
        self.assertThat(len(self.a.former), Equals(FORMER_MOST))

    def test_a_full_book_takes_departures_and_loses_none_that_is_up(self) -> None:
        with (
            mock.patch("pinward.directory.book.ENTRIES_MOST", 10),
            mock.patch("pinward.directory.book.LEFT_MOST", 3),
        ):
            for number in range(10):
                self.a.beat(0.0, entry(number))
            self.assertThat(self.a.beat(0.0, entry(10)), Is(None))
            self.a.leave(1.0, "i3")
            self.assertThat(self.a.beat(1.0, entry(11)), GreaterThan(10))
            self.assertThat(set(self.a.lines), Equals({f"i{n}" for n in (*range(10), 11)}))
            self.assertThat(self.a.beat(1.0, entry(12)), Is(None))
            for number in range(20, 30):
                self.assertThat(self.a.leave(2.0 + number, f"i{number}"), GreaterThan(10))
            left = {iid for iid, line in self.a.lines.items() if line.entry.leaves}
            self.assertThat((left, self.a.left), Equals(({"i27", "i28", "i29"}, 3)))
            for line in self.a.lines.values():
                line.heard = 40.0 if line.entry.iid != "i0" else 30.0
            self.a.age(40.0)  # one is silent: it makes room
            self.assertThat(self.a.beat(40.0, entry(13)), GreaterThan(10))
            self.assertThat("i0" in self.a.lines, Is(False))
        self.assertThat(self.a.left, Equals(sum(line.entry.leaves for line in self.a.lines.values())))
        self.assertThat(ENTRIES_MOST, GreaterThan(10_000))

    def test_a_torn_word_is_none(self) -> None:
        for number in range(200):
            self.a.beat(0.0, entry(number))
        whole = zlib.compress(packed(self.a.changes(0.0, {}).plain()).encode())
        for size in (1, len(whole) // 2, len(whole) - 8):
            torn = aiohttp.WSMessage(aiohttp.WSMsgType.BINARY, whole[:size], None)
            self.assertRaises(ValueError, word_of, torn)


def meet_founders(exchange: Exchange, peer: str, whole: Any = Exchange.meet) -> None:
    if peer.startswith("10.9."):
        whole(exchange, peer)


class CrashError(Exception):
    """The process ends here."""


class Disks(TestCase):
    """A folder whose files and entries last only as far as they were synced."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.lasting: dict[str, bytes] = {}  # the folder as last synced: names, and their files' bytes
        self.files: dict[str, bytes] = {}  # files as last synced, by name, since then
        self.calls, self.ends_at = 0, -1

    def sync(self, path: Path) -> None:
        self.calls += 1
        if self.calls == self.ends_at:
            raise CrashError
        if path == self.folder:
            self.lasting = {name: self.files.get(name, b"") for name in os.listdir(path)}
        else:
            self.files[path.name] = path.read_bytes()

    def lose_power(self, chance: Random) -> None:
        """Each file made or removed since the folder's last sync is there or not, by itself."""
        now = {p.name: p.read_bytes() for p in self.folder.iterdir()}
        for name in {*now, *self.lasting, *self.files}:
            kept: bytes | None = self.lasting.get(name)
            if name in now and (name not in self.lasting or chance.random() < 0.5):
                whole = self.files.get(name)
                torn = now[name][: chance.randrange(len(now[name]) + 1)]
                kept = (whole if whole == now[name] else torn) if chance.random() < 0.5 else kept
            elif name not in now and name in self.lasting and chance.random() < 0.5:
                kept = None
            path = self.folder / name
            path.unlink(missing_ok=True)
            if kept is not None:
                path.write_bytes(kept)

    @contextmanager
    def synced(self) -> Iterator[None]:
        with mock.patch("pinward.exchange.vault.sync", self.sync):
            yield

    def test_what_counted_is_there_after_any_loss_of_power(self) -> None:
        for seed in range(150):
            chance = Random(seed)
            for path in self.folder.iterdir():
                path.unlink()
            self.lasting, self.files = {}, {}
            told = tried = 0
            with self.synced():
                for _ in range(5):
                    vault = Vault(self.folder)
                    held = (vault.read() or {"n": 0})["n"]
                    self.assertThat(told <= held <= tried, Is(True), f"{seed}: {told} {held} {tried}")
                    self.calls, self.ends_at = 0, chance.randrange(1, 16)
                    try:
                        for _ in range(5):
                            tried += 1
                            vault.write(b'{"n":%d}' % tried)
                            told = tried
                    except CrashError:
                        pass
                    self.ends_at = -1
                    if chance.random() < 0.7:
                        self.lose_power(chance)

    def test_a_disk_that_refuses_writes_is_not_filled_with_what_it_refused(self) -> None:
        vault = Vault(self.folder)
        for number in range(4):
            vault.write(b'{"n":%d}' % number)
        self.assertThat(len(vault.numbers()), Equals(KEPT))
        with mock.patch("pinward.exchange.vault.sync", side_effect=OSError("no room")):
            for _ in range(50):
                self.assertRaises(OSError, vault.write, b'{"n":99}')
            self.assertThat(len(vault.numbers()), Equals(1))
        self.assertThat(Vault(self.folder).read(), Equals({"n": 3}))
        vault.write(b'{"n":100}')
        self.assertThat(Vault(self.folder).read(), Equals({"n": 100}))

    def test_a_thousand_saves_leave_two(self) -> None:
        vault = Vault(self.folder)
        with self.synced():
            for number in range(1000):
                vault.write(b'{"n":%d}' % number)
        self.assertThat(len(list(self.folder.iterdir())), LessThan(3 * KEPT + 1))
        again = Vault(self.folder)
        self.assertThat(again.read(), Equals({"n": 999}))
        again.write(b'{"n":1000}')
        self.assertThat(again.generation, GreaterThan(vault.generation))


class Lists(TestCase):
    """A front's list of control fronts, and how it tries them."""

    def session(self, *peers: str) -> Session:
        boot = replace(boot_of(Settings.TOLD).unwrap(), peers=tuple((peer, 8649) for peer in peers))
        return Session(boot, Known(boot, "f"), "f", list, lambda: None)

    def test_who_is_gone_leaves_the_list_and_the_settings_stay(self) -> None:
        session = self.session("a", "b", "c")
        for turn in range(1000):
            session.learn_cores([f"n{turn}", f"n{turn + 1}", f"n{turn + 2}"], sure=True)
        self.assertThat(set(session.cores), Equals({"a", "b", "c", "n999", "n1000", "n1001"}))
        session.boot = replace(session.boot, peers=(("d", 8649),))
        session.learn_cores(["n1001"], sure=True)
        self.assertThat(set(session.cores), Equals({"d", "n1001"}))

    def test_one_cut_off_takes_nobody_off_the_list_which_stays_bounded(self) -> None:
        session = self.session("a")
        session.learn_cores(["b", "c"], sure=True)
        for turn in range(100):
            session.learn_cores([f"n{turn}"], sure=False)
        self.assertThat(len(session.cores), Equals(CORES_MOST))
        self.assertThat({"a", "b", "c"} <= set(session.cores), Is(True))

    def test_whose_turn_it_is_stays_so_as_the_list_changes(self) -> None:
        session = self.session("a", "b", "c")
        for core in ("c", "a"):
            session.at = session.cores.index(core)
            session.learn_cores([core, "x", "y"], sure=True)
            self.assertThat(session.core, Equals(core))

    def test_first_tries_are_quick_and_many_vain_ones_slow_down(self) -> None:
        session = self.session("a", "b", "c")
        for session.vain in range(QUICK + 1):
            self.assertThat(session.pause_s(), LessThan(AGAIN_S[1]))
        session.vain = 50
        pauses = [session.pause_s() for _ in range(100)]
        self.assertThat(sum(pauses) / 100, GreaterThan(AGAIN_S[1]))
        self.assertThat(max(pauses), LessThan(AGAIN_MOST_S))

    def test_an_order_that_is_over_is_tallied_no_more(self) -> None:
        tally = Tally(boot_of(Settings.TOLD).unwrap().bounds)
        for number in range(100):
            order = Order(f"s{number}", "v2", 1, "v1", 12.0)
            tally.learn(0.0, order)
            tally.report(0.0, "f", [[order.service, 1, "life", 1.0, {}, "on"]])
            tally.forget(order.service)
            tally.report(0.0, "f", [[order.service, 1, "life", 1.0, {}, "on"]])
            self.assertThat(tally.verdict(9.0, order.moved(Stage.DONE), 1), Equals((None, "")))
        self.assertThat([len(kept) for kept in (tally.begun, tally.reports, tally.marks)], Equals([0, 0, 0]))


class Worlds(TestCase):
    """Whole gateways in simulated time."""

    def test_after_a_restart_rest_is_as_cheap_as_before(self) -> None:
        told: list[int] = []

        async def troubles(day: Day) -> None:
            async def rest() -> None:
                before = sum(day.net.told_bytes.values())
                await asyncio.sleep(4.0)
                told.append(sum(day.net.told_bytes.values()) - before)

            await asyncio.sleep(2.0)
            await rest()
            day.kill(next(ip for ip in day.core_ips if ip != day.primary()), 0.5)
            await asyncio.sleep(4.0)
            await rest()

        async def whole() -> None:
            shape = Shape((Kind("s", 20),), (Class("c", "s", 5.0, 0.5, 1.0),), fronts=4)
            await Day(shape, 1).play(0.01, troubles)

        with logbook.NullHandler().applicationbound():
            played(whole())
        self.assertThat(told[1], LessThan(1.2 * told[0]))

    def test_nothing_differs_after_changes_with_restarts_lost_disks_and_cuts(self) -> None:
        for seed in (1, 2):
            found = changes.changes(seed, (60,), 0.4, 10, 3, 40, trouble_each=6)
            self.assertThat(found["faults"], Equals([]), f"{seed}")

    def test_a_control_front_that_was_behind_leads_only_with_what_was_acknowledged(self) -> None:
        async def troubles(day: Day) -> None:
            for turn in range(6):
                lead = day.primary()
                late = next(ip for ip in day.core_ips if ip != lead)
                day.kill(late, 1.0, power=turn % 2 == 0)
                for _ in range(20):
                    version = self.version = self.version + 1
                    await day.order("PUT", "/cfg", day.plan(version, extra=20))
                await asyncio.sleep(1.0)
                day.kill(lead or day.core_ips[0], 2.0)  # of three, one that was behind is left, and a copy
                status, text = await day.order("GET", "/cfg")
                self.assertThat((status, json.loads(text)["Ver"]), Equals((200, f"{version:08x}")))
                await asyncio.sleep(6.0)

        self.version = 1
        self.quiet_day(troubles)

    def test_a_disk_that_takes_no_more_costs_its_machine_the_lead_and_nothing_else(self) -> None:
        async def troubles(day: Day) -> None:
            lead = day.primary()
            assert lead is not None
            day.full_disks.add(lead)
            status, _ = await day.order("PUT", "/cfg", day.plan(2))
            self.assertThat((status, day.primary() not in (None, lead)), Equals((200, True)))
            self.assertThat(day.boxes[lead], HasLength(1))  # the machines known made room
            await asyncio.sleep(4.0)
            day.full_disks.clear()
            await asyncio.sleep(4.0)
            former, primary = (json.loads(day.boxes[ip]["state."]) for ip in (lead, day.primary() or ""))
            self.assertThat(former, Equals(primary))
            recorded = primary["items"]["roll:s"]  # which version the service runs, from its first machine on
            self.assertThat(day.hosts[lead][1].keeper.public["roll:s"], Equals(recorded))

        self.quiet_day(troubles)

    def test_a_hint_brings_back_no_life_that_ended_or_that_others_forgot(self) -> None:
        async def troubles(day: Day) -> None:
            core, gone = day.core_ips[0], day.of("s")[0]
            await day.leave(gone)
            await asyncio.sleep(2.0)
            hint = json.loads(day.boxes[core]["book."])
            self.assertThat(len(hint["lines"]), Equals(5))
            for age_s, held in ((HINT_OLD_S / 2, True), (2 * HINT_OLD_S, False)):
                told = {"lines": [entry(99).plain()], "at": time() - age_s}
                day.kill(core, 0.1)
                day.boxes[core]["book."] = json.dumps(told).encode()
                await asyncio.sleep(0.1 + START_S + 0.02)
                self.assertThat("i99" in day.hosts[core][1].book.lines, Is(held))
                await asyncio.sleep(GONE_S + 8.0)

        self.quiet_day(troubles)

    def test_sources_gone_for_good_are_retired_and_no_list_of_a_control_front_grows(self) -> None:
        async def troubles(day: Day) -> None:
            host = day.hosts[day.core_ips[0]][1]
            for turn in range(300):
                gone = f"10.8.{turn // 250}.{turn % 250}"
                other = Book(gone, "1", BEAT_S)
                other.beat(day.now(), entry(turn))
                host.hear(gone, {"t": "lines", **other.changes(day.now(), {}).plain()})
                host.hear(gone, {"t": "have", "vector": other.seen})
                host.desk.told(day.now(), [f"front {turn}"])
                await asyncio.sleep(1.0)
            vectors = host.disk_vectors
            for kept in (host.book.seen, host.told_of, vectors, host.sent, host.wanted, host.desk.fronts):
                self.assertThat(len(kept), LessThan(GONE_S + 8.0))
            self.assertThat(len(host.book.lines), LessThan(GONE_S + 8.0))
            await asyncio.sleep(GONE_S + 2.0)
            self.assertThat(set(host.book.seen), Equals(set(day.core_ips)))
            self.assertThat(set(host.told_of) | set(host.disk_vectors) <= set(day.core_ips), Is(True))

        # Who links to whom is the keeper's membership to say.
        with mock.patch("pinward.exchange.host.Exchange.meet", meet_founders):
            self.quiet_day(troubles)

    def quiet_day(self, troubles: Any) -> None:
        """A day with hardly a client; a fault in `troubles` is raised here."""

        async def whole() -> Day:
            shape = Shape((Kind("s", 6),), (Class("c", "s", 5.0, 0.5, 1.0),), fronts=2)
            day, faults = Day(shape, 1), []

            async def watched(day: Day) -> None:
                try:
                    await troubles(day)
                except BaseException as fault:
                    faults.append(fault)
                    raise

            await day.play(0.01, watched)
            for fault in faults:
                raise fault
            return day

        with logbook.NullHandler().applicationbound():
            self.assertThat(broken(played(whole())), Equals([]))

    def absences(self, plant: str) -> set[str]:
        with mock.patch("pinward.directory.book.GONE_S", 6.0), changes.planted(plant):
            return {fault.partition(" ")[0] for seed in (1, 3, 4) for fault in changes.absences(seed, 6.0)}

    def test_nothing_differs_after_a_lost_word_a_restart_and_a_long_absence(self) -> None:
        self.assertThat(self.absences("none"), Equals(set()))

    def test_errors_planted_are_found(self) -> None:
        rules = {"gap": "LIVES", "life": "LIVES", "lives": "HELD", "floor": "LIVES", "whole": "DROPPED"}
        for plant, rule in rules.items():
            self.assertThat(self.absences(plant), Contains(rule), plant)

    def test_one_behind_catches_up_over_a_slow_link(self) -> None:
        for count in (1, 100):
            for row in (changes.behind(count, 100, 350, 2e6), changes.member(count, 100, 350)):
                self.assertThat(row["caught_up_s"], LessThan(4.0), f"{row}")
