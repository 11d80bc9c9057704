"""Control machines that come and go, and that are cut off for long, in simulated time."""

from __future__ import annotations

import asyncio
from itertools import combinations
from typing import Any
from unittest import mock

import logbook
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, Is, LessThan, Not

from pinward.plan.fault_tolerance import FaultTolerance, Localities
from pinward.exchange.election import Election
from pinward.exchange.keeper import Keeper, Kept, Role, View
from pinward.exchange.model import LOSES, PLANTS, explore
from pinward.exchange.membership import Change, Membership
from pinward.exchange.view import FORGET_S, SILENT_S
from standin.exchange_day import Day, small
from standin.exchange_plays import play_changes
from standin.exchange_world import STOP_S, Box, World
from standin.virtual import played

ACK_S = 5.0  # s within which a proper order is to be acknowledged
STEPS = ("prepare", "promise", "transfer", "transferred", "accept", "accepted", "beat", "heard", "readmit")


def led(seed: int = 1, size: int = 3) -> tuple[World, str]:
    """A world whose voters are as many as they should be, and its primary."""
    world = World(seed, size, size // 2)
    assert world.settles(4.0) and world.whole(4.0)
    return world, str(world.primary())


def keeper_of(world: World, name: str) -> Keeper:
    keeper = world.boxes[name].keeper
    assert keeper is not None
    return keeper


def voters(world: World) -> tuple[str, ...]:
    return keeper_of(world, str(world.primary())).view.voters


class Faults(TestCase):
    """Days that lost the control state while voters only grew."""

    def test_one_replaced_then_another_down_for_long(self) -> None:
        for seed in range(6):
            for planned in (False, True):
                world, _ = led(seed)
                world.replace(world.names[seed % 3], planned)
                world.until(world.now + 8.0)
                lead = str(world.primary())
                world.kill(next(name for name in world.names if name != lead), 13.0)
                self.assertTrue(world.settles(ACK_S), f"{seed} {planned}")
                world.kill(lead, 13.0)
                self.assertThat(world.broken, Equals([]))

    def test_three_replaced_in_a_row_then_all_lose_power(self) -> None:
        for seed in range(6):
            for planned in (False, True):
                world, _ = led(seed)
                for name in tuple(world.names):
                    world.replace(name, planned)
                    world.until(world.now + 8.0)
                for name in world.names:
                    world.kill(name, 0.5)
                self.assertTrue(world.settles(ACK_S), f"{seed} {planned}")
                self.assertThat(world.broken, Equals([]))

    def test_two_replaced_as_planned_a_wipe_a_kill_and_all_killed(self) -> None:
        for seed in range(6):
            world, _ = led(seed)
            for _ in range(2):
                world.replace(str(world.primary()), planned=True)
                world.until(world.now + 8.0)
            world.kill(str(world.primary()), 1.0, wipe=True)
            world.until(world.now + 5.0)
            world.kill(str(world.primary()))
            world.until(world.now + 5.0)
            world.kill_all()
            self.assertTrue(world.settles(ACK_S), str(seed))
            self.assertThat(world.broken, Equals([]))

    def test_through_all_machines_twice_round(self) -> None:
        for size, planned in ((3, True), (3, False), (5, True), (5, False)):
            world, _ = led(3, size)
            world.operate(0.1)
            for _ in range(2 * size):
                world.replace(world.names[0], planned)
                world.until(world.now + 7.0)
            self.assertTrue(world.whole(2.0), f"{size} {planned}")
            self.assertThat(voters(world), HasLength(size))
            self.assertThat(world.broken, Equals([]), f"{size} {planned}")


class Changes(TestCase):
    def test_a_wipe_a_kill_or_a_cut_meets_each_step(self) -> None:
        """The trouble strikes who sends or who hears the first such word after the change began."""
        for size, sort in [(3, sort) for sort in STEPS] + [(5, "transfer"), (5, "accept")]:
            for how in ("wipe", "kill", "cut"):
                for hits_sender in (True, False):
                    for planned in (True, False):
                        world, _ = led(11, size)
                        world.operate(0.05)
                        world.replace(world.names[1], planned)
                        world.until(world.now + (1.0 if planned else 3.0))
                        world.mutate = Strike(world, sort, how, hits_sender)
                        world.until(world.now + 10.0)
                        world.mutate = None
                        case = f"{size} {sort} {how} {hits_sender} {planned}"
                        self.assertTrue(world.settles(ACK_S), case)
                        self.assertTrue(world.whole(6.0), case)
                        self.assertThat(world.broken, Equals([]), case)

    def test_two_lost_of_five_each_pair_after_a_replacement(self) -> None:
        for pair in combinations(range(5), 2):
            world, _ = led(4, 5)
            world.replace("c1", planned=False)
            world.until(world.now + 9.0)
            for at in pair:
                world.kill(world.names[at], 2.0, wipe=True)
            self.assertTrue(world.settles(ACK_S), str(pair))
            world.until(world.now + 6.0)
            self.assertTrue(world.whole(2.0), str(pair))
            self.assertThat(world.broken, Equals([]))

    def test_beyond_its_size_nobody_is_added_and_what_is_above_it_shrinks(self) -> None:
        world, _ = led(5)
        world.add()
        world.until(world.now + 4.0)
        self.assertThat(voters(world), HasLength(3))
        lead = keeper_of(world, str(world.primary()))
        self.assertThat(lead.members(world.now), Contains("c3"))
        four = View(lead.epoch, lead.own, lead.view.copies, ("c0", "c1", "c2", "c3"))
        lead.membership.heard.update({name: world.now for name in four.voters if name != lead.own})
        change = lead.membership.next_change(world.now, four, {})
        assert change is not None
        self.assertThat(change.newcomer, Is(None))
        self.assertThat(four.copies, Not(Contains(change.leaver)))

    def test_one_that_came_while_nobody_led_finds_the_primary(self) -> None:
        world, lead = led(13)
        for name in world.names:
            world.kill(name, 0.5)
        world.until(world.now + 0.501)
        self.assertThat(world.primary(), Is(None))
        world.boxes["c3"] = Box("c3", tuple(n for n in world.names if n != lead))
        world.names.append("c3")
        world.start("c3")
        world.until(world.now + 4.0)
        self.assertThat(keeper_of(world, str(world.primary())).members(world.now), Contains("c3"))

    def test_cut_off_for_long_its_seat_goes_and_it_comes_back_as_a_standby(self) -> None:
        world, lead = led(6)
        world.add()
        world.until(world.now + 1.0)
        world.cut({lead}, 20.0)
        world.operate(0.1)
        world.until(world.now + SILENT_S + 3.0)
        self.assertThat(voters(world), Not(Contains(lead)))
        epoch = keeper_of(world, str(world.primary())).epoch
        world.until(world.now + 25.0)
        self.assertThat(keeper_of(world, lead).role, Is(Role.FOLLOWING))
        self.assertThat(keeper_of(world, str(world.primary())).members(world.now), Contains(lead))
        self.assertThat(keeper_of(world, str(world.primary())).epoch, LessThan(epoch + 3))
        self.assertThat(world.broken, Equals([]))

    def test_a_standby_whose_disk_hangs_holds_up_no_writes(self) -> None:
        world, lead = led(12)
        world.add()
        world.until(world.now + 2.0)
        world.slow("c3", 10_000.0, 30.0)
        world.put(lead)
        world.kill(next(name for name in world.names if name != lead), 25.0)
        world.until(world.now + SILENT_S + 0.5)
        for _ in range(10):
            self.assertTrue(world.settles(0.5))
            world.until(world.now + 0.5)

    def test_gone_for_good_it_is_dialled_no_more(self) -> None:
        world, _ = led(7)
        world.replace("c1", planned=False)
        world.until(world.now + FORGET_S + 10.0)
        for name in world.names:
            self.assertThat(keeper_of(world, name).peers, Not(Contains("c1")))
            self.assertThat(keeper_of(world, name).members(world.now), Not(Contains("c1")))

    def test_cut_in_two_as_a_swap_is_accepted_one_side_leads(self) -> None:
        for seed in range(20):
            world = split(seed)
            self.assertTrue(world.settles(ACK_S), str(seed))
            self.assertThat(world.broken, Equals([]), str(seed))

    def test_a_proposer_needs_the_former_voters_too(self) -> None:
        """The view that swaps c for d has majorities a, d and b, c that don't meet."""
        old = View(1, "a", ("a", "b"), ("a", "b", "c"))
        swap = View(2, "a", ("a", "b"), ("a", "b", "d"), ("a", "b", "c"))
        self.assertThat(swap.quorum({"a", "d"}), Is(False))
        self.assertThat(swap.quorum({"b", "c"}), Is(False))
        self.assertThat(swap.quorum({"a", "b"}), Is(True))
        keeper = Keeper("b", Kept(2, old, False), FaultTolerance(1), 1, 0.0)
        keeper.tick(2.0)
        for peer in ("a", "c"):
            keeper.hear(2.0, peer, {"t": "pre_granted", "n": 2})
        keeper.saved(2.01, keeper.ticket)
        keeper.hear(2.01, "d", {"t": "promise", "n": 3, "view": swap.plain(), "stamp": [0, 0]})
        keeper.tick(2.3)
        self.assertThat(keeper.role, Is(Role.PREPARING))  # b and d alone are no majority of a, b, c
        keeper.hear(2.3, "c", {"t": "promise", "n": 3, "view": old.plain(), "stamp": [0, 0]})
        keeper.tick(2.5)
        view = keeper.next_view
        assert view is not None
        self.assertThat((view.voters, view.former), Equals((swap.voters, swap.former)))

    def test_a_view_from_before_reads_as_one_without_former_voters(self) -> None:
        self.assertThat(View.of([3, "a", ["a", "b"], ["a", "b", "c"]]).former, Equals(()))
        swap = View(2, "a", ("a",), ("a", "d"), ("a", "c"))
        self.assertThat(View.of(swap.plain()), Equals(swap))


def split(seed: int) -> World:
    """A swap whose acceptance reaches the newcomer alone: its side and the old voters' are cut apart."""
    world, lead = led(seed)
    leaver = next(name for name in world.names if name not in keeper_of(world, lead).view.copies)
    rest = {name for name in world.names if name != lead}
    world.operate(0.05)
    world.replace(leaver, planned=True)

    def cut(sender: str, peer: str, word: dict[str, Any]) -> list[dict[str, Any]]:
        if word["t"] == "accept" and leaver in word["view"][4] and leaver not in word["view"][3]:
            world.mutate = None
            ways = {(a, b) for a in rest for b in world.boxes if b not in rest}
            world.after(0.0, lambda: world.cut_ways(ways | {(b, a) for a, b in ways}, 6.0))
        return [word]

    world.mutate = cut
    world.until(world.now + 12.0)
    return world


def narrowed(seed: int) -> World:
    """Five machines: two are cut off from the primary and a copy for long, then a second copy is too."""
    world, lead = led(seed, 5)
    copies = keeper_of(world, lead).view.copies
    here, there = {lead, copies[1]}, {name for name in world.names if name not in copies}
    world.operate(0.05)
    for others, seconds in ((there, 16.0), ({copies[2]}, 12.0)):
        ways = {(a, b) for a in here for b in others}
        world.cut_ways(ways | {(b, a) for a, b in ways}, seconds)
        world.until(world.now + 4.0)
    world.until(world.now + 14.0)
    return world


class Strike:
    """Wipes, kills or cuts off who sends, or who hears, the first word of one sort."""

    def __init__(self, world: World, sort: str, how: str, hits_sender: bool) -> None:
        self.world, self.sort, self.how, self.hits_sender = world, sort, how, hits_sender

    def __call__(self, sender: str, peer: str, word: dict[str, Any]) -> list[dict[str, Any]]:
        if word["t"] == self.sort:
            world = self.world
            world.mutate = None
            name = sender if self.hits_sender else peer
            if world.boxes[name].gone:
                pass
            elif self.how == "cut":
                world.after(0.0, lambda: world.cut({name}, 5.0))
            else:
                world.after(0.0, lambda: world.kill(name, 0.8, wipe=self.how == "wipe"))
        return [word]


class Ends(TestCase):
    def ended(self, world: World, name: str) -> float:
        """Seconds from the signal until the process may end."""
        began = world.now
        keeper = keeper_of(world, name)
        world.do(name, lambda k: k.leave(world.now))
        while not keeper.released and world.now < began + STOP_S:
            world.until(world.now + 0.01)
        return world.now - began

    def test_a_plain_restart_is_quick_and_keeps_its_seat(self) -> None:
        for seed in range(4):
            for at in range(3):
                world, lead = led(seed)
                name = sorted(world.names, key=lambda n: n != lead)[at]
                world.until(world.now + 2.0)
                took = self.ended(world, name)
                self.assertThat(took, LessThan(1.5), f"{seed} {at}")
                copies = keeper_of(world, str(world.primary())).view.copies
                self.assertThat(copies, Not(Contains(name)))
                self.assertThat(copies, HasLength(2))
                world.kill(name, 0.5)
                world.until(world.now + 3.0)
                self.assertThat(voters(world), Contains(name))
                self.assertTrue(world.settles(1.0))

    def test_two_are_not_let_go_at_once(self) -> None:
        view = View(1, "a", ("a", "b"), ("a", "b", "c"))
        members = Membership("a", 1)
        for name in "bc":
            members.heard[name] = members.leaving[name] = 1.0
        self.assertThat([members.may_go(1.0, view, name) for name in "cb"], Equals([True, False]))

    def test_in_a_planned_replacement_seat_and_copy_go_first(self) -> None:
        for seed in range(4):
            world, lead = led(seed)
            world.add()
            world.until(world.now + 1.0)
            self.assertThat(self.ended(world, lead), LessThan(3.0))
            self.assertThat(voters(world), Not(Contains(lead)))
            self.assertThat(voters(world), Contains("c3"))

    def test_a_newcomer_that_is_being_taught_is_waited_for(self) -> None:
        world, lead = led(2)
        name = next(n for n in world.names if n not in keeper_of(world, lead).view.copies)
        world.add()
        world.until(world.now + 0.2)
        self.assertThat(self.ended(world, name), LessThan(3.0))
        self.assertThat(voters(world), Contains("c3"))

    def test_the_only_copy_goes_last(self) -> None:
        world, lead = led(3)
        for other in world.names:
            if other != lead:
                world.kill(other, 3.0)
        world.until(world.now + 0.2)
        self.assertThat(self.ended(world, lead), GreaterThan(3.0))
        self.assertThat(world.broken, Equals([]))

    def test_all_told_to_end_at_once_go_one_after_another(self) -> None:
        for seed in range(4):
            world, _ = led(seed)
            for name in world.names:
                world.terminate(name, back=True)
            world.until(world.now + STOP_S + 2.0)
            self.assertTrue(world.settles(3.0))
            self.assertTrue(world.whole(3.0))
            self.assertThat(world.broken, Equals([]))


class CutOff(TestCase):
    def test_without_a_majority_nothing_is_fresh_and_nothing_is_answered(self) -> None:
        for size in (3, 5):
            for at in range(size):
                world, lead = led(8, size)
                name = sorted(world.names, key=lambda n: n != lead)[at]
                world.operate(0.05)
                world.cut({name}, 20.0)
                world.until(world.now + 1.6)
                keeper = keeper_of(world, name)
                self.assertThat(keeper.in_touch(world.now), Is(False))
                self.assertThat(keeper.leads(world.now), Is(False))
                self.assertThat(keeper.propose(world.now, "plan", 1), Is(None))
                self.assertTrue(world.settles(4.0))
                world.until(world.now + 20.0)
                self.assertThat(world.broken, Equals([]))

    def test_cut_off_from_one_after_another_only_one_side_leads(self) -> None:
        for seed in range(10):
            world = narrowed(seed)
            self.assertTrue(world.settles(ACK_S), str(seed))
            self.assertThat(world.broken, Equals([]), str(seed))

    def test_two_that_can_not_reach_each_other_break_nothing(self) -> None:
        for a, b in combinations(("c0", "c1", "c2"), 2):
            world, _ = led(9)
            world.operate(0.05)
            world.cut_ways({(a, b), (b, a)}, 20.0)
            world.until(world.now + 3.0)
            self.assertTrue(world.settles(4.0), f"{a} {b}")
            world.until(world.now + 20.0)
            self.assertThat(world.broken, Equals([]))

    def test_frozen_and_woken_amid_a_read_a_write_and_an_acknowledgement(self) -> None:
        for milliseconds in range(0, 14, 2):
            world, lead = led(10)
            world.put(lead)
            world.until(world.now + milliseconds / 1e3)
            world.freeze(lead, 8.0)
            world.operate(0.05)
            world.until(world.now + 10.0)
            self.assertThat(world.acked, GreaterThan(20))
            self.assertThat(world.broken, Equals([]), str(milliseconds))


class Property(TestCase):
    @settings(max_examples=15, deadline=None, derandomize=True)
    @given(st.integers(10_000, 10_000_000), st.sampled_from([(3, 1), (5, 2)]))
    def test_nothing_acknowledged_is_lost_while_machines_come_and_go(
        self, seed: int, shape: tuple[int, int]
    ) -> None:
        self.assertThat(play_changes(seed, *shape, changes=3).broken, Equals([]))


class Explored(TestCase):
    def test_each_planted_error_of_a_change_is_found(self) -> None:
        said = {
            "untaught": "counts in epoch 3", "formerless": "act in epoch", "remover": "act at one time",
            "hasty": "is let go with a copy", "newest": "c1 lacks plan",
        }  # fmt: skip
        for plant, what in said.items():
            self.assertThat(explore(30_000, plant)["broken"], Contains(what), plant)
        self.assertThat(tuple(said), Equals(PLANTS[1 + len(LOSES) :]))


class Planted(TestCase):
    """The world finds errors of changes and cuts put in on purpose."""

    def found(self, word: str, seeds: int = 80, size: int = 3) -> None:
        said: list[str] = []
        for seed in range(seeds):
            said += play_changes(seed, size, size // 2).broken
            if any(word in one for one in said):
                return
        self.fail(f"{word}: {said[:3]}")

    def test_a_newcomer_counts_untaught(self) -> None:
        def awaited(self: Election, now: float) -> None:
            if self.change is not None and self.change.newcomer is not None:
                self.awaited.discard(self.change.newcomer)
                self.transferred.add(self.change.newcomer)
            whole(self, now)

        def standbys(self: Membership, now: float, view: View) -> list[str]:
            found = every(self, now, view)
            self.taught |= set(found)
            return found

        whole, every = Election.ask_accept, Membership.standbys
        with (
            mock.patch.object(Election, "ask_accept", awaited),
            mock.patch.object(Membership, "standbys", standbys),
            mock.patch.object(Election, "on_transfer", untaught(Election.on_transfer)),
        ):
            self.found("counts in epoch")

    def test_two_changes_at_once(self) -> None:
        def due(self: Membership, now: float, view: View, localities: Localities) -> Change | None:
            change = whole(self, now, view, localities)
            gone = self.gone(now, view)
            if change is not None and change.newcomer is not None and view.voters:
                idle = [v for v in view.voters if v not in (self.own, change.leaver, *gone)]
                return Two(change.leaver, change.newcomer, idle[0] if idle else None)
            return change

        whole = Membership.next_change
        with mock.patch.object(Membership, "next_change", due):
            self.found("changes more than one voter", 20)

    def test_a_primary_that_removes_a_voter_alone(self) -> None:
        def lead(self: Keeper, now: float) -> None:
            here = tuple(v for v in self.view.voters if v not in self.membership.gone(now, self.view))
            if here != self.view.voters and self.own in here:
                copies = tuple(c for c in self.view.copies if c in here)
                self.kept.view = View(self.view.epoch, self.own, copies, here)
                for write in self.open.values():
                    write.lacking &= set(copies)
            whole(self, now)

        whole = Keeper.lead
        with mock.patch.object(Keeper, "lead", lead):
            said = [w for seed in range(10) for w in narrowed(seed).broken]
            self.assertTrue(any("changes more than one voter" in one for one in said), str(said[:3]))
            # So few copies may not lead any more; where they may, what was acknowledged is lost besides.
            planted = {
                "suffices": lambda self, copies, view: len(set(copies) & set(view.voters)) >= 2,
                "intolerance": lambda self: "",
            }
            with mock.patch.multiple(Election, **planted):
                said = [w for seed in range(10) for w in narrowed(seed).broken]
        self.assertTrue(any("was acknowledged" in one for one in said), str(said[:3]))

    def test_a_leaver_that_goes_before_its_copy_does(self) -> None:
        def leave(self: Keeper, now: float) -> None:
            self.released = True

        with mock.patch.object(Keeper, "leave", leave):
            self.found("let go", 20)

    def test_a_proposer_that_ignores_the_former_voters(self) -> None:
        with mock.patch.object(View, "quorum", lambda self, some: majority(some, self.voters)):
            said = [w for seed in range(20) for w in split(seed).broken]
        self.assertTrue(any("was acknowledged" in one for one in said), str(said[:3]))

    def test_a_lease_longer_than_the_voters_promise(self) -> None:
        with (
            mock.patch.object(Keeper, "due", lambda self, now: False),  # it would ask for a view sooner
            mock.patch("pinward.exchange.replication.LEASE_S", 4.0),
            mock.patch("pinward.exchange.keeper.LEASE_S", 4.0),
            mock.patch("pinward.exchange.keeper.ALIVE_S", 4.0),
        ):
            self.found("was acknowledged")

    def test_one_cut_off_hands_out_news_as_fresh(self) -> None:
        with mock.patch.object(Keeper, "in_touch", lambda self, now: self.primary is not None):
            self.found("as fresh")


class Two(Change):
    """Two voters go where one may."""

    def __init__(self, leaver: str | None, newcomer: str | None, second: str | None) -> None:
        super().__init__(leaver, newcomer)
        object.__setattr__(self, "second", second)

    def voters(self, view: View) -> tuple[str, ...]:
        return tuple(v for v in super().voters(view) if v != self.second)  # type: ignore[attr-defined]


def majority(some: Any, names: tuple[str, ...]) -> bool:
    return 2 * len(set(some) & set(names)) > len(names)


def untaught(whole: Any) -> Any:
    """A machine that answers a transfer without keeping it, unless it holds a copy."""

    def on_transfer(self: Election, now: float, peer: str, word: dict[str, Any]) -> None:
        if self.own in self.view.members():
            whole(self, now, peer, word)

    return on_transfer


class Host(TestCase):
    """The control front around the keeper, in a day of simulated time."""

    def played(self, troubles: Any) -> None:
        async def whole() -> None:
            await Day(small(0.1), 1).play(5.0, troubles)

        with logbook.NullHandler().applicationbound():
            played(whole())

    def test_links_come_and_go_with_the_peers(self) -> None:
        async def troubles(day: Day) -> None:
            host = day.hosts[day.core_ips[0]][1]
            host.keeper.peers.add("10.9.9.9")
            await asyncio.sleep(0.2)
            self.assertThat(host.links, Contains("10.9.9.9"))
            host.keeper.peers.discard("10.9.9.9")
            await asyncio.sleep(0.2)
            for some in (host.links, host.dials, host.sent, host.disk_vectors):
                self.assertThat(some, Not(Contains("10.9.9.9")))

        self.played(troubles)

    def test_without_a_majority_an_operator_is_sent_elsewhere_at_once(self) -> None:
        async def troubles(day: Day) -> None:
            last = next(ip for ip in day.core_ips if ip != day.primary())
            for ip in day.core_ips:
                if ip != last:
                    day.kill(ip, 20.0, power=True)
            await asyncio.sleep(2.5)
            began = day.now()
            status, _, _ = await day.call("GET", "/cfg", only={last})
            self.assertThat(status, Equals(503))
            self.assertThat(day.now() - began, LessThan(0.1))

        self.played(troubles)

    def test_told_to_end_it_hands_over_within_its_bound(self) -> None:
        async def troubles(day: Day) -> None:
            lead = day.hosts[str(day.primary())][1]
            began = day.now()
            await lead.hand_over()
            self.assertThat(lead.keeper.released, Is(True))
            self.assertThat(day.now() - began, LessThan(1.5))
            for ip in day.core_ips:
                if ip != lead.own:
                    day.kill(ip, 20.0, power=True)
            rest = day.hosts[lead.own][1]
            rest.keeper.released, began = False, day.now()
            await rest.hand_over()
            self.assertThat(day.now() - began, LessThan(rest.boot.bounds.grace_s - 1.0))

        self.played(troubles)
