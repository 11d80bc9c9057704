"""What was acknowledged reaches every control server and proxy, whatever was under way as it came up."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import logbook
from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan

from pinward.plan.fault_tolerance import FaultTolerance
from pinward.exchange import desk
from pinward.exchange.committed import NO_STAMP, Committed, stamp_of
from pinward.exchange.host import Exchange
from pinward.exchange.keeper import Keeper, Kept, View
from pinward.exchange.model import HUNTS, Model
from pinward.exchange.vault import Vault
from pinward.exchange.view import Role
from pinward.plan.boot import Boot, boot_of
from pinward.trial.order import Order, digest_of
from pinward.trunk.session import Known
from standin import convergence
from standin.exchange_day import START_S, Day, small
from standin.exchange_plays import play, play_changes
from standin.exchange_world import World
from standin.virtual import played

LOOK_S = 0.002  # s between looks for a moment
READY_S = START_S + 1.5  # s within which a proxy that starts is ready: it tries two control servers at most
MODEL_STATES = 2_000  # of a hunt; the whole one takes minutes
PLANTED_SEEDS = range(1, 20, 2)  # those of single moments, within which each planted error is found
ROLL_OUT = {"Svc": "reads", "Target": "v2", "Over": "12s"}


class Compared(TestCase):
    """What one server lacks of another's items."""

    def held(self, *keys: str) -> Committed:
        committed = Committed()
        for number, key in enumerate(keys):
            committed.take(key, [1, number, key])
        return committed

    def test_equal_digests_are_of_equal_items_in_whatever_order_they_came(self) -> None:
        one, other = Committed(), Committed()
        items = [("plan", [1, 1, "a"]), ("roll:a", [1, 2, "b"]), ("plan", [1, 3, "c"])]
        for key, item in items:
            one.take(key, item)
        for key, item in reversed(items):
            other.take(key, item)
        self.assertThat(one.digest, Equals(other.digest))
        other.take("roll:b", [2, 1, "d"])
        self.assertThat(one.digest == other.digest, Is(False))

    def test_an_older_item_that_was_missed_is_told_beside_the_newest(self) -> None:
        whole, lacks = self.held("plan", "roll:a", "roll:b"), Committed()
        lacks.take("roll:b", [1, 2, "roll:b"])
        self.assertThat(lacks.newest, Equals(whole.newest))
        self.assertThat(sorted(whole.lacking(lacks.stamps())), Equals(["plan", "roll:a"]))

    def test_stamps_that_cannot_be_read_are_answered_with_all(self) -> None:
        whole = self.held("plan", "roll:a")
        for odd in (7, [], "x", {"plan": 7, "roll:a": "x"}, {"plan": [], "roll:a": ["1", "2"]}):
            self.assertThat(len(whole.lacking(odd)), Equals(2), str(odd))


class Servers(TestCase):
    def led(self) -> tuple[World, str]:
        world = World(1)
        self.assertTrue(world.settles(4.0) and world.whole(4.0))
        return world, str(world.primary())

    def test_a_server_that_starts_while_a_view_is_asked_for_holds_all(self) -> None:
        """Guards against review/1: a restarted server was told the newest write alone, for good."""
        world, primary = self.led()
        for key in ("plan", "roll:a"):
            world.put(primary, key)
            world.until(world.now + 0.2)
        keeper = world.boxes[primary].keeper
        assert keeper is not None
        copy = next(name for name in keeper.view.copies if name != primary)
        world.kill(copy, 60.0)
        world.put(primary, "roll:b")
        while keeper.role is Role.PRIMARY:
            world.until(world.now + LOOK_S)
        world.start(copy)
        world.until(world.now + 1.0)
        world.converges()
        self.assertThat(world.broken, Equals([]))

    def test_all_hold_the_same_after_whatever_went_wrong(self) -> None:
        """Guards against review/1 in the orders of troubles, writes and changes of voters that seeds draw."""
        for seed in range(12):
            self.assertThat(play(seed).broken, Equals([]), f"seed {seed}")
            self.assertThat(play_changes(seed).broken, Equals([]), f"seed {seed}")

    def test_a_server_that_has_not_compared_does_not_say_that_it_is_whole(self) -> None:
        world, primary = self.led()
        other = next(name for name in world.names if name != primary)
        world.kill(other, 60.0)
        world.until(world.now + 1.0)
        world.cut_ways({(other, primary)}, 1.0)  # what it asks for doesn't arrive
        world.mutate = lambda sender, peer, word: [] if word["t"] == "commit" and peer == other else [word]
        world.start(other)
        seen = []
        for _ in range(40):
            world.until(world.now + 0.02)
            keeper = world.boxes[other].keeper
            assert keeper is not None
            seen.append((keeper.in_touch(world.now), keeper.whole(world.now)))
        self.assertThat({whole for _, whole in seen}, Equals({False}))
        self.assertThat(seen[-1][0], Is(True))
        world.mutate = None
        world.until(world.now + 1.0)
        world.converges()
        self.assertThat(world.broken, Equals([]))

    def test_in_each_explored_order_of_two_keys_and_links_all_hold_the_same(self) -> None:
        """The model of review/1: a restart, a write of another key, links that come up at any moment."""
        for hunt in ("newest", "two keys"):
            bounds, begin = HUNTS[hunt]
            model = Model(bounds)
            self.assertThat(model.explore(model.first(begin), MODEL_STATES)["broken"], Is(None), hunt)

    def test_a_digest_that_is_none_stops_nobody(self) -> None:
        for odd in ("", "zz", 7, [], {"a": 1}):

            def mutate(sender: str, peer: str, word: dict[str, Any], odd: Any = odd) -> list[dict[str, Any]]:
                return [{**word, "digest": odd, "stamps": odd}] if word["t"] == "heard" else [word]

            world = play(3, troubles=1, mutate=mutate)
            self.assertThat(world.broken, Equals([]), str(odd))

    def test_beside_a_build_that_tells_no_digest_nothing_else_breaks(self) -> None:
        def mutate(sender: str, peer: str, word: dict[str, Any]) -> list[dict[str, Any]]:
            told = {name: value for name, value in word.items() if name not in ("digest", "stamps")}
            return [told] if "c0" in (sender, peer) else [word]

        for seed in range(6):
            world = play(seed, troubles=2, mutate=mutate)
            self.assertThat([fault for fault in world.broken if "hold" not in fault], Equals([]))

    def test_the_world_finds_a_server_that_is_judged_by_its_newest_item(self) -> None:
        def digest(self: Committed) -> str:
            return str(self.newest)

        def lacking(self: Committed, stamps: dict[str, Any]) -> dict[str, Any]:
            last = max(stamps.values(), default=NO_STAMP)
            return {key: item for key, item in self.items.items() if stamp_of(item) > last}

        with (
            mock.patch.object(Committed, "digest", property(digest)),
            mock.patch.object(Committed, "lacking", lacking),
        ):
            found = any(play(seed).broken or play_changes(seed).broken for seed in range(60))
        self.assertThat(found, Is(True))


class Drills(TestCase):
    """Whole gateways, judged from outside; `pinward gateway converge` plays more."""

    def test_servers_and_proxies_agree_with_what_was_acknowledged_once_it_is_quiet(self) -> None:
        for seed in range(8):
            self.assertThat(convergence.play(seed).faults, Equals([]))

    def test_each_planted_error_is_found(self) -> None:
        for plant in convergence.PLANTS:
            found = any(convergence.play(seed, plant).faults for seed in PLANTED_SEEDS)
            self.assertThat(found, Is(True), plant)


class Proxies(TestCase):
    def test_proxies_that_start_beside_a_restarted_server_are_ready_and_follow_the_newest(self) -> None:
        """Guards against review/1's other half: proxies of a server that lacked the plan never listened."""

        async def troubles(day: Day) -> None:
            await asyncio.sleep(0.3 + 0.01 * day.seed)
            await day.order("PUT", "/cfg", day.plan(2))
            keeper = day.hosts[str(day.primary())][1].keeper
            copy = next(name for name in keeper.view.copies if name != keeper.own)
            day.kill(copy, 0.02 * day.seed)
            await asyncio.sleep(0.03)
            await day.order("POST", "/rolls", ROLL_OUT)
            await asyncio.sleep(1.5)
            for ip in day.front_ips:
                day.kill(ip, 0.0)
            await asyncio.sleep(READY_S)
            boards = [day.hosts[ip][1] for ip in day.front_ips]
            self.assertThat({board.ready for board in boards}, Equals({True}), f"seed {day.seed}")
            held = {board.known.plan.version for board in boards}
            self.assertThat(held, Equals({2}), f"seed {day.seed}")

        async def whole(seed: int) -> None:
            day = Day(small(0.2, terms={"RetryExtra": 10}), seed)
            await day.play(4.0, troubles)

        with logbook.NullHandler().applicationbound():
            for seed in range(9, 16):
                played(whole(seed))

    @staticmethod
    def boot() -> Boot:
        own = {"HostName": "c0", "Ipaddr": "c0", "Az": "z", "Quorum": True, "Init": True, "VarDir": "."}
        told = {
            "Self": own,
            "Net": {"Bind": {}, "PortsIn": [1, 9], "Peers": ["c0:1"]},
            "Plat": {"Hb": "1s"},
            "Terms": {"Survive": {"Nodes": 1}, "Bnds": {}},
        }
        return boot_of(told).unwrap()

    def server(self, *orders: tuple[Order, int]) -> Exchange:
        boot = self.boot()
        server = Exchange(boot, Vault(None), Kept(0, View(0, "", ("c0",), ("c0",)), False), 0.0, "l")  # type: ignore[arg-type]
        self.tell(server, *orders)
        return server

    @staticmethod
    def tell(server: Exchange, *orders: tuple[Order, int]) -> None:
        for order, number in orders:
            server.keeper.take(f"roll:{order.service}", [1, number, order.kept()])

    def pull(self, server: Exchange, known: Known, told: desk.OrdersTold) -> bool:
        """One pull of a proxy; True where it was told orders."""

        async def whole() -> dict[str, Any]:
            return await server.desk.news(known.vector(), 0.0, told)

        with mock.patch.object(desk, "PULL_S", 0.0):
            news = asyncio.run(whole())
        known.take(0.0, news)
        return "orders" in news

    def test_an_order_that_a_server_learned_late_reaches_proxies_that_hold_a_newer_one(self) -> None:
        """Guards against the cause of review/1 between servers and proxies: orders judged by the newest."""
        early, late = Order("a", "v2", 1, "v1", 9.0), Order("b", "v2", 1, "v1", 9.0)
        server, known, told = self.server((late, 2)), Known(self.boot(), "f"), desk.OrdersTold()
        self.pull(server, known, told)
        self.assertThat(sorted(known.orders), Equals(["b"]))
        self.tell(server, (early, 1))
        self.pull(server, known, told)
        self.assertThat(sorted(known.orders), Equals(["a", "b"]))
        self.assertThat(known.orders_digest, Equals(digest_of([early, late])))

    def test_an_order_that_one_server_lacks_reaches_proxies_that_go_on_to_another(self) -> None:
        early, late = Order("a", "v2", 1, "v1", 9.0), Order("b", "v2", 1, "v1", 9.0)
        known = Known(self.boot(), "f")
        self.pull(self.server((late, 2)), known, desk.OrdersTold())
        self.pull(self.server((early, 1), (late, 2)), known, desk.OrdersTold())
        self.assertThat(sorted(known.orders), Equals(["a", "b"]))

    def test_a_server_that_lacks_an_order_tells_its_list_once_and_takes_none_away(self) -> None:
        early, late = Order("a", "v2", 1, "v1", 9.0), Order("b", "v2", 1, "v1", 9.0)
        known, told = Known(self.boot(), "f"), desk.OrdersTold()
        self.pull(self.server((early, 1), (late, 2)), known, desk.OrdersTold())
        lacks = self.server((late, 2))
        times = sum(self.pull(lacks, known, told) for _ in range(6))
        self.assertThat(times, LessThan(2))
        self.assertThat(sorted(known.orders), Equals(["a", "b"]))


class Named(TestCase):
    def test_the_keeper_says_whole_only_in_touch(self) -> None:
        kept = Kept(0, View(0, "", ("c0", "c1"), ("c0", "c1")), False)
        keeper = Keeper("c0", kept, FaultTolerance(1), 1, 0.0)
        self.assertThat((keeper.in_touch(1.0), keeper.whole(1.0)), Equals((False, False)))
