"""The control state under each trouble, in simulated time, by mutating one message at a time."""

from __future__ import annotations

from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, Is, LessThan, Not

from pinward.plan.fault_tolerance import FaultTolerance
from pinward.exchange import keeper as keepers
from pinward.exchange import view as views
from pinward.exchange.election import Election
from pinward.exchange.keeper import Keeper
from pinward.exchange.model import LOSES, explore
from pinward.exchange.view import Role
from standin.exchange_plays import play
from standin.exchange_world import World

WORDS = (
    "pre_vote",
    "pre_granted",
    "prepare",
    "promise",
    "transfer",
    "transferred",
    "accept",
    "accepted",
    "put",
    "kept",
    "beat",
    "heard",
    "commit",
)


class Once:
    """Does something to the nth word of one sort, and lets all others pass."""

    def __init__(self, sort: str, turn: int, how: str) -> None:
        self.sort, self.turn, self.how, self.held = sort, turn, how, []  # type: ignore[var-annotated]

    def __call__(self, sender: str, peer: str, word: dict[str, Any]) -> list[dict[str, Any]]:
        if word["t"] != self.sort:
            return [word]
        self.turn -= 1
        if self.turn == -1:
            if self.how == "swapped":
                self.held = [word]
            return {"lost": [], "twice": [word, word], "old": [{**word, "n": 0}], "swapped": []}[self.how]
        held, self.held = self.held, []
        return [word, *held]


class CutAt:
    """Cuts off whom the first word of one sort goes to."""

    def __init__(self, world: World, sort: str) -> None:
        self.world, self.sort = world, sort

    def __call__(self, sender: str, peer: str, word: dict[str, Any]) -> list[dict[str, Any]]:
        if word["t"] == self.sort:
            self.world.mutate = None
            self.world.cut({peer}, 2.0)
        return [word]


class Mutated(TestCase):
    def test_one_word_lost_doubled_swapped_or_from_an_old_epoch_breaks_nothing(self) -> None:
        for sort in WORDS:
            for how in ("lost", "twice", "swapped", "old"):
                if how == "old" and sort in ("accept", "beat"):
                    continue  # their epoch stands in the view
                for turn in (0, 2):
                    world = play(7, troubles=1, mutate=Once(sort, turn, how))
                    self.assertThat(world.broken, Equals([]), f"{sort} {how} {turn}")

    def test_cut_off_at_each_word_the_machine_catches_up(self) -> None:
        for sort in ("put", "kept", "transfer", "accept"):
            world = World(3)
            world.settles(4.0)
            world.mutate = CutAt(world, sort)
            if sort in ("transfer", "accept"):
                world.kill(str(world.primary()))
            world.operate(0.05)
            world.until(world.now + 6.0)
            self.assertThat(world.settles(4.0), Is(True), sort)
            self.assertThat(world.broken, Equals([]), sort)


class Losses(TestCase):
    def led(self, seed: int = 1, size: int = 3) -> tuple[World, str]:
        world = World(seed, size, size // 2)
        self.assertTrue(world.settles(4.0) and world.whole(4.0))  # five begin with the three that are told
        return world, str(world.primary())

    def test_killed_at_each_moment_of_a_write(self) -> None:
        for microseconds in range(0, 16_000, 1_000):
            world, primary = self.led()
            world.put(primary)
            world.until(world.now + microseconds / 1e6)
            world.kill(primary, 2.5)
            self.assertTrue(world.settles(3.0))
            self.assertThat(world.broken, Equals([]), str(microseconds))

    def test_each_machine_wiped_while_all_others_lose_power(self) -> None:
        for victim in range(3):
            for seed in range(6):
                world, _ = self.led(seed)
                for name in world.names:
                    world.kill(name, 0.5 + 0.7 * world.chance.random(), wipe=name == f"c{victim}")
                self.assertTrue(world.settles(4.0), f"{victim} {seed}")
                self.assertThat(world.broken, Equals([]))

    def test_wiped_in_turn_through_all(self) -> None:
        world, _ = self.led(2)
        for name in world.names * 2:
            world.kill(name, 0.6, wipe=True)
            world.until(world.now + 4.5)
            self.assertTrue(world.settles(3.0), name)
        self.assertThat(world.broken, Equals([]))

    def test_two_of_five_lost_then_the_next_two(self) -> None:
        world, _ = self.led(4, 5)
        for pair in (("c0", "c1"), ("c2", "c3"), ("c4", "c0")):
            for name in pair:
                world.kill(name, 1.0, wipe=True)
            world.until(world.now + 6.0)
            self.assertTrue(world.settles(4.0), str(pair))
        self.assertThat(world.broken, Equals([]))

    def test_a_primary_frozen_and_woken_answers_nothing_old(self) -> None:
        world, primary = self.led(5)
        world.freeze(primary, 3.0)
        world.operate(0.02)
        world.until(world.now + 5.0)
        self.assertThat(world.acked, GreaterThan(20))
        self.assertThat(world.broken, Equals([]))

    def test_a_primary_whose_disk_hangs_hands_over(self) -> None:
        world, primary = self.led(6)
        world.slow(primary, 2000.0, 6.0)
        world.put(primary)
        world.until(world.now + 3.0)
        self.assertThat(world.primary() == primary, Is(False))
        self.assertTrue(world.settles(2.0))

    def test_a_machine_without_its_disk_counts_only_once_taught(self) -> None:
        world, primary = self.led(8)
        other = next(name for name in world.names if name != primary)
        world.kill(other, 0.3, wipe=True)
        world.until(world.now + 0.31)
        keeper = world.boxes[other].keeper
        assert keeper is not None
        self.assertThat(keeper.kept.blank, Is(True))
        epoch = world.boxes[primary].keeper.epoch  # type: ignore[union-attr]
        world.until(world.now + 3.0)
        self.assertThat(keeper.kept.blank, Is(False))
        self.assertThat(keeper.view.epoch, GreaterThan(epoch))

    def test_a_former_primary_is_back_at_once(self) -> None:
        world, primary = self.led(9)
        for name in world.names:
            world.kill(name, 0.5)
        world.until(world.now + 0.5)
        began = world.now
        while world.primary() is None:
            world.until(world.now + 0.01)
        self.assertThat(world.now - began, LessThan(0.6))
        self.assertThat(world.primary(), Equals(primary))

    def test_a_primary_that_gives_up_is_followed_at_once(self) -> None:
        world, primary = self.led(10)
        world.do(primary, lambda k: k.step_down(world.now))
        began = world.now
        while world.primary() is None:
            world.until(world.now + 0.01)
        self.assertThat(world.now - began, LessThan(0.5))


class Ties(TestCase):
    def test_one_that_shares_the_votes_stands_again_soon(self) -> None:
        """Symptom: two of three copies stood at once, with one of five machines dead; nobody led for 4 s."""
        names = tuple(f"c{n}" for n in range(5))
        view = keepers.View(1, "c3", ("c3", "c0", "c1"), names)
        keeper = Keeper("c0", keepers.Kept(1, view, False), FaultTolerance(2), 1, 0.0)
        keeper.tick(2.0)
        for peer in ("c1", "c2"):
            keeper.hear(2.0, peer, {"t": "pre_granted", "n": 1})
        self.assertThat(keeper.role, Is(keepers.Role.PREPARING))
        keeper.saved(2.01, keeper.ticket)
        keeper.hear(2.01, "c2", {"t": "promise", "n": 2, "view": view.plain(), "stamp": [0, 0]})
        keeper.hear(2.01, "c1", {"t": "refuse", "n": 2, "promised": 2})
        keeper.tick(2.01 + views.GATHER_S / 2)
        self.assertThat(keeper.role, Is(keepers.Role.PREPARING))  # a third answer may be on its way
        keeper.tick(2.02 + views.GATHER_S)
        self.assertThat(keeper.role, Is(keepers.Role.FOLLOWING))
        self.assertThat(keeper.stand_at, LessThan(2.02 + views.GATHER_S + views.TIE_S))


class Disks(TestCase):
    """Five machines of which two may be lost, and their disks: three disks hold a write first."""

    SEEDS = range(20, 26)

    def test_a_write_is_on_survive_plus_one_disks_before_its_200(self) -> None:
        """Guards against a view with fewer copies where one was late: two lost disks took a write along."""
        for seed in self.SEEDS:
            self.assertThat(play(seed, 5, 2).broken, Equals([]), f"seed {seed}")

    def test_the_world_finds_a_view_with_fewer_copies(self) -> None:
        planted = {
            "suffices": lambda self, copies, view: len(set(copies) & set(view.voters)) >= 2,
            "intolerance": lambda self: "",
        }
        with mock.patch.multiple(Election, **planted):
            said = [one for seed in self.SEEDS for one in play(seed, 5, 2).broken]
        self.assertTrue(any("is acknowledged in epoch" in one for one in said), str(said[:3]))

    def test_a_copy_that_is_late_is_replaced_in_the_same_round(self) -> None:
        """One that promised, and whose disk then hangs, holds nobody up: another takes the state."""
        world, lead = self.led()
        world.kill(lead, 60.0)
        began, late = world.now, ""
        while world.primary() is None and world.now < began + 6.0:
            world.until(world.now + 0.001)
            for box in world.boxes.values():
                if not late and box.keeper is not None and box.keeper.role is Role.TRANSFERRING:
                    assert box.keeper.next_view is not None
                    copies = box.keeper.next_view.copies[1:]
                    late = next(name for name in copies if not world.boxes[name].saving)
                    world.slow(late, 1000.0, 6.0)
                    epoch = box.keeper.epoch
        now_leads = world.boxes[str(world.primary())].keeper
        assert now_leads is not None
        self.assertThat((now_leads.epoch, len(now_leads.view.copies)), Equals((epoch, 3)))
        self.assertThat(now_leads.view.copies, Not(Contains(late)))

    def led(self) -> tuple[World, str]:
        world = World(1, 5, 2)
        self.assertTrue(world.settles(4.0) and world.whole(4.0))
        return world, str(world.primary())


class Property(TestCase):
    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(st.integers(10_000, 10_000_000), st.sampled_from([(3, 1), (5, 2)]))
    def test_nothing_acknowledged_is_lost(self, seed: int, shape: tuple[int, int]) -> None:
        self.assertThat(play(seed, *shape, troubles=2).broken, Equals([]))


class Explored(TestCase):
    def test_each_planted_error_is_found_and_the_sound_machine_breaks_nothing(self) -> None:
        for plant in LOSES:
            self.assertThat(explore(30_000, plant)["broken"], Contains("acknowledged"), plant)
        self.assertThat(explore(1_000)["broken"], Is(None))


class Planted(TestCase):
    """The world finds errors put in on purpose, so what it does not find counts."""

    def found(self, seeds: int = 60) -> bool:
        return any(play(seed).broken for seed in range(seeds))

    def test_an_answer_before_the_copies_hold_it(self) -> None:
        def settle(self: Keeper, now: float) -> None:
            for write in self.open.values():
                write.lacking.clear()
            whole(self, now)

        whole = Keeper.settle
        with mock.patch.object(Keeper, "settle", settle):
            self.assertTrue(self.found())

    def test_a_machine_that_lost_its_disk_votes(self) -> None:
        def init(self: Keeper, own: str, kept: keepers.Kept, *rest: Any) -> None:
            kept.blank = False
            whole(self, own, kept, *rest)

        whole = Keeper.__init__
        with mock.patch.object(Keeper, "__init__", init):
            self.assertTrue(self.found())

    def test_a_primary_that_asks_nobody_whether_it_still_leads(self) -> None:
        def lead(self: Keeper, now: float) -> None:
            self.beat(now)

        with (
            mock.patch.object(Keeper, "confirmed", lambda self, now: now),
            mock.patch.object(Keeper, "lead", lead),
        ):
            self.assertTrue(self.found())

    def test_a_view_that_a_primary_shrinks_alone(self) -> None:
        def lead(self: Keeper, now: float) -> None:
            here = tuple(c for c in self.view.copies if c == self.own or now - self.answered.get(c, 0) < 0.5)
            self.kept.view = keepers.View(self.view.epoch, self.own, here, self.view.voters)
            for write in self.open.values():
                write.lacking &= set(here)
            whole(self, now)

        whole = Keeper.lead
        with mock.patch.object(Keeper, "lead", lead):
            self.assertTrue(self.found(120))
