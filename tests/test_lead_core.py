"""The core of leadership in simulated time: what may never be, whatever fails, and what must come back."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from math import inf
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from pinward.lead.core import OPEN_MOST, Core
from pinward.lead.ledger import Act, Decision
from pinward.lead.simulated import PACE, Actor, Installation
from pinward.lead.terms import Base, Entry, Kept, Members, Role, Sort, Word


def drain(name: str) -> Decision:
    return Decision(name, Act.DRAIN, node=f"node-{name}")


def members(*names: str) -> Members:
    return Members(frozenset(names), frozenset(), tuple((name, "127.0.0.1:1") for name in sorted(names)))


class Played(unittest.TestCase):
    def led(self, size: int = 3, seed: int = 1, **told: int) -> tuple[Installation, Actor]:
        here = Installation(size, seed, **told)
        here.run(5.0)
        leader = here.leader()
        assert leader is not None
        return here, leader

    def others(self, here: Installation, actor: Actor) -> list[str]:
        return [name for name in here.names if name != actor.name]

    def split(self, here: Installation, name: str) -> None:
        for other in here.names:
            here.cut |= {(name, other), (other, name)}

    def commit(self, here: Installation, name: str) -> None:
        self.assertTrue(here.propose(drain(name)))
        here.run(here.now + 1.0)
        self.assertIn(name, here.promised)

    def core(self, actor: Actor) -> Core:
        assert actor.core is not None
        return actor.core


class Failures(Played):
    def test_leader_killed(self) -> None:
        here, leader = self.led()
        self.commit(here, "before")
        here.kill(leader.name)
        here.run(here.now + 5.0)
        self.commit(here, "after")
        here.check_end()

    def test_paused_leader_wakes_and_goes_on(self) -> None:
        here, leader = self.led()
        self.commit(here, "before")
        epoch = self.core(leader).epoch
        here.pause(leader.name, 6.0)
        here.run(here.now + 5.0)
        self.commit(here, "meanwhile")
        here.run(here.now + 3.0)
        self.assertEqual(self.core(leader).role, Role.FOLLOWING)
        self.assertGreater(self.core(leader).epoch, epoch)
        self.assertFalse(self.core(leader).may_act(here.local(leader)))

    def test_leader_in_the_minority_stops_by_itself_before_another_begins(self) -> None:
        here, leader = self.led(5)
        self.split(here, leader.name)
        stopped = began = inf
        while here.now < 20.0 and began == inf:
            here.run(here.now + 0.01)
            if not self.core(leader).may_act(here.local(leader)):
                stopped = min(stopped, here.now)
            other = here.leader()
            if other is not None and other is not leader:
                began = here.now
        self.assertLess(stopped, began)
        self.assertLess(began, 20.0)

    def test_one_way_cuts(self) -> None:
        for outward in (True, False):
            here, leader = self.led()
            for other in self.others(here, leader):
                here.cut.add((leader.name, other) if outward else (other, leader.name))
            here.run(here.now + 8.0)
            self.assertIsNot(here.leader(), leader)
            self.assertIsNotNone(here.leader())
            self.commit(here, f"after-{outward}")

    def test_flapping_link_does_not_raise_epochs(self) -> None:
        here, leader = self.led()
        epoch, follower = self.core(leader).epoch, self.others(here, leader)[0]
        for _ in range(40):
            here.cut |= {(leader.name, follower), (follower, leader.name)}
            here.run(here.now + 1.5)
            here.cut.clear()
            here.run(here.now + 0.3)
        self.assertEqual(self.core(leader).epoch, epoch)
        self.assertIs(here.leader(), leader)

    def test_two_at_once_and_all(self) -> None:
        here, leader = self.led(5)
        self.commit(here, "before")
        for name in self.others(here, leader)[:2]:
            here.kill(name)
        here.run(here.now + 3.0)
        self.commit(here, "three-left")
        for name in here.names:
            here.kill(name)
        here.run(here.now + 1.0)
        for name in here.names:
            here.start(name)
        here.run(here.now + 5.0)
        self.commit(here, "after")
        here.check_end()

    def test_all_die_and_one_disk_lost_its_last_write(self) -> None:
        here, leader = self.led()
        for n in range(3):
            self.commit(here, f"d{n}")
        for name in here.names:
            here.kill(name)
        victim = here.actors[leader.name]
        victim.disk.entries.pop()
        for name in here.names:
            here.start(name)
        here.run(here.now + 5.0)
        self.commit(here, "after")
        self.assertEqual([name for *_, name, _ in here.applied], ["d0", "d1", "d2", "after"])
        here.check_end()

    def test_no_majority_says_nothing_new(self) -> None:
        here, leader = self.led()
        for name in self.others(here, leader):
            here.kill(name)
        here.run(here.now + 4.0)
        self.assertIsNone(here.leader())
        self.assertFalse(here.propose(drain("never")))

    def test_old_copy_of_a_disk_is_noticed_and_counts_again_once_level(self) -> None:
        here, leader = self.led()
        self.commit(here, "first")
        victim = here.actors[self.others(here, leader)[0]]
        old = victim.disk.copy()
        for n in range(5):
            self.commit(here, f"more-{n}")
        doubted = []
        here.kill(victim.name)
        victim.disk = old
        here.start(victim.name)
        for _ in range(200):
            here.run(here.now + 0.01)
            doubted.append(victim.name in self.core(leader).doubted)
        self.assertIn(True, doubted)
        self.assertFalse(doubted[-1])
        self.commit(here, "after")

    def test_follower_far_behind_gets_the_whole(self) -> None:
        here, leader = self.led()
        behind = here.actors[self.others(here, leader)[0]]
        here.kill(behind.name)
        for n in range(450):
            here.propose(drain(f"d{n}"))
            here.run(here.now + 0.05)
        self.assertGreater(self.core(leader).base.index, 0)
        here.start(behind.name)
        here.run(here.now + 3.0)
        self.assertEqual(behind.ledger.plain(), leader.ledger.plain())

    def test_hand_over_goes_to_the_most_caught_up_and_is_short(self) -> None:
        here, leader = self.led(5)
        here.leaderless.clear()
        heir = self.core(leader).hand_over(here.local(leader))
        self.assertFalse(self.core(leader).may_act(here.local(leader)))
        here.settle(leader)
        here.run(here.now + 1.0)
        self.assertEqual(here.leader(), here.actors[heir or ""])
        (began, ended), = here.leaderless
        self.assertLess(ended - began, PACE.beat_s)

    def test_hand_over_to_one_that_just_died_waits_the_lease_out(self) -> None:
        here, leader = self.led()
        for name in self.others(here, leader):
            here.pause(name, 0.5)
        self.core(leader).hand_over(here.local(leader))
        here.settle(leader)
        here.run(here.now + 6.0)
        self.assertIsNotNone(here.leader())

    def test_clocks_ten_percent_apart_and_jumping_between_lives(self) -> None:
        here = Installation(5, 3)
        for n, actor in enumerate(here.actors.values()):
            actor.rate, actor.offset = (0.9, 1.1)[n % 2], n * 1000.0
            here.start(actor.name)
        for n in range(12):
            here.run(here.now + 4.0)
            self.commit(here, f"d{n}")
            leader = here.leader()
            assert leader is not None
            here.kill(leader.name)
            leader.offset += 5000.0 * (-1) ** n
            here.run(here.now + 0.5)
            here.start(leader.name)
        here.check_end()


class Membership(Played):
    def change(self, here: Installation, leader: Actor, changed: Members) -> str | None:
        why = self.core(leader).change(here.local(leader), changed)
        here.settle(leader)
        here.run(here.now + 2.0)
        return why

    def test_one_voter_at_a_time(self) -> None:
        here, leader = self.led(5)
        core = self.core(leader)
        two = members(*here.names[:3])
        self.assertIn("one at a time", self.change(here, leader, two) or "")
        gone = self.others(here, leader)[0]
        self.assertIsNone(self.change(here, leader, members(*(set(here.names) - {gone}))))
        self.assertEqual(len(core.members.voters), 4)
        self.assertFalse(core.changing)

    def test_second_change_waits_for_the_first(self) -> None:
        here, leader = self.led(5)
        gone = self.others(here, leader)
        core, now = self.core(leader), here.local(leader)
        self.assertIsNone(core.change(now, members(*(set(here.names) - {gone[0]}))))
        why = core.change(now, members(*(set(here.names) - {gone[0], gone[1]})))
        self.assertEqual(why, "another change is under way")

    def test_removed_leader_leaves_and_another_leads(self) -> None:
        here, leader = self.led()
        self.assertIsNone(self.change(here, leader, members(*self.others(here, leader))))
        here.run(here.now + 3.0)
        self.assertEqual(self.core(leader).role, Role.LEFT)
        self.commit(here, "without")

    def test_learner_catches_up_before_it_votes(self) -> None:
        here, leader = self.led(4, learners=1)
        learner = here.names[3]
        self.assertNotIn(learner, self.core(leader).members.voters)
        self.commit(here, "one")
        self.assertEqual(self.core(leader).ripe(), learner)
        here.kill(learner)
        self.assertIsNone(self.change(here, leader, members(*here.names)))
        self.commit(here, "two")

    def test_change_during_a_split_is_not_said(self) -> None:
        here, leader = self.led()
        self.split(here, leader.name)
        core = self.core(leader)
        core.change(here.local(leader), members(leader.name, self.others(here, leader)[0]))
        here.settle(leader)
        here.run(here.now + 5.0)
        here.cut.clear()
        here.run(here.now + 4.0)
        self.assertEqual(len(core.members.voters), 3)
        self.commit(here, "after")

    def test_wrong_lists_are_refused(self) -> None:
        good = members("a", "b").plain()
        wrong: list[dict[str, object]] = [
            {}, {**good, "voters": []}, {**good, "learners": ["a"]}, {**good, "where": [["a", "x:1"]]},
            {**good, "where": [["a", "x:1"], ["b"]]}, {**good, "where": [["a", ""], ["b", "x:1"]]},
        ]  # fmt: skip
        for plain in wrong:
            with self.assertRaises(ValueError):
                Members.of(plain)


class Alone(unittest.TestCase):
    """One core by hand."""

    def setUp(self) -> None:
        self.core = Core("a", Kept(0, None, Base(0, 0, members("a", "b", "c"), None)), PACE, 1, 0.0)

    def words(self) -> list[tuple]:
        said, self.core.sends = self.core.sends, []
        return said

    def test_a_vote_is_said_only_once_it_is_on_disk(self) -> None:
        self.core.hear(5.0, "b", (Word.ASK_VOTE, 1, 0, 0, False))
        self.assertEqual(self.words(), [])
        self.core.saved(5.0, self.core.saves[-1].ticket)
        self.assertEqual(self.words(), [("b", (Word.VOTED, 1, True))])
        self.core.hear(5.0, "c", (Word.ASK_VOTE, 1, 0, 0, False))
        self.assertEqual(self.words(), [("c", (Word.VOTED, 1, False))])

    def test_one_that_just_started_votes_for_nobody(self) -> None:
        self.core.hear(0.5, "b", (Word.CANVASS, 1, 0, 0))
        self.assertEqual(self.words(), [("b", (Word.CANVASSED, 0, False))])
        self.core.hear(0.5, "b", (Word.ASK_VOTE, 1, 0, 0, False))
        self.assertEqual((self.words(), self.core.epoch), ([], 0))

    def test_entries_are_taken_only_once_on_disk(self) -> None:
        entries = [Entry(1, 1, Sort.NOTHING, None)]
        self.core.hear(5.0, "b", (Word.APPEND, 1, 7, 0, 0, entries, 1))
        self.assertEqual(self.words(), [])
        self.core.saved(5.0, self.core.saves[-1].ticket)
        self.assertEqual(self.words(), [("b", (Word.TAKEN, 1, 7, True, 1))])

    def test_what_does_not_agree_is_cut_off(self) -> None:
        first = [Entry(1, n, Sort.NOTHING, None) for n in (1, 2, 3)]
        self.core.hear(5.0, "b", (Word.APPEND, 1, 1, 0, 0, first, 0))
        second = [Entry(2, 2, Sort.NOTHING, None)]
        self.core.hear(5.1, "c", (Word.APPEND, 2, 1, 1, 1, second, 0))
        self.assertEqual([e.epoch for e in self.core.entries], [1, 2])
        self.core.saved(5.2, self.core.saves[0].ticket)
        self.assertLess(self.core.durable, 2)  # what the disk holds there is no longer the log

    def test_a_halted_core_says_nothing(self) -> None:
        self.core.halt(1.0, "the disk failed")
        self.core.hear(5.0, "b", (Word.ASK_VOTE, 1, 0, 0, False))
        self.core.tick(100.0)
        self.assertEqual((self.words(), self.core.wake_at), ([], inf))

    def test_open_entries_are_bounded(self) -> None:
        alone = Core("a", Kept(0, None, Base(0, 0, members("a"), None)), PACE, 1, 0.0)
        alone.tick(5.0)
        for save in alone.saves:
            alone.saved(5.0, save.ticket)
        alone.tick(5.0)
        for save in alone.saves:
            alone.saved(5.0, save.ticket)
        self.assertTrue(alone.may_act(5.1))
        taken = [alone.propose(5.1, Sort.NOTHING, None) for _ in range(OPEN_MOST + 1)]
        self.assertIsNone(taken[-1])
        self.assertIsNotNone(taken[-2])


class Anything(unittest.TestCase):
    """Whatever is drawn: no two act, nothing is lost, nothing comes twice or in another order."""

    @settings(max_examples=40, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 2**32), st.sampled_from([3, 5, 7]))
    def test_any_faults(self, seed: int, size: int) -> None:
        here, chance = Installation(size, seed), Random(seed)
        for actor in here.actors.values():
            actor.rate, actor.offset = chance.uniform(0.91, 1.09), chance.uniform(0, 1000)
            here.start(actor.name)
        for n in range(40):
            here.run(here.now + chance.uniform(0.05, 1.0))
            here.propose(drain(f"d{n}"))
            self.fault(here, chance)
        here.loss = 0.0
        here.cut.clear()
        for actor in here.actors.values():
            if actor.core is None:
                here.start(actor.name)
        here.run(here.now + 20.0)
        self.assertTrue(here.propose(drain("last")))
        here.run(here.now + 2.0)
        self.assertEqual(here.applied[-1][2], "last")
        here.check_end()

    def fault(self, here: Installation, chance: Random) -> None:
        kind, name, other = chance.random(), chance.choice(here.names), chance.choice(here.names)
        later = here.now + chance.uniform(0, 3)
        if kind < 0.06:
            here.kill(name)
            here.at(later, lambda: here.actors[name].core or here.start(name))
        elif kind < 0.12:
            here.pause(name, chance.uniform(0, 4))
        elif kind < 0.25:
            here.cut.add((name, other))
            here.at(later, lambda: here.cut.discard((name, other)))
        elif kind < 0.3 and (leader := here.leader()) is not None and leader.core is not None:
            leader.core.hand_over(here.local(leader))
            here.settle(leader)
        elif kind < 0.34:
            here.loss = chance.choice([0.0, 0.0, 0.2])


class Late(unittest.TestCase):
    def test_leases_are_shorter_than_waits_by_both_clocks(self) -> None:
        self.assertAlmostEqual(PACE.lease_s, 0.9 / 1.1)

    def test_the_same_seed_plays_the_same(self) -> None:
        def play(what: Callable[[Installation], object]) -> object:
            here = Installation(5, 9)
            here.loss = 0.1
            here.run(30.0)
            return what(here)

        def epochs(here: Installation) -> object:
            return here.leaders, here.leaderless

        self.assertEqual(play(epochs), play(epochs))
