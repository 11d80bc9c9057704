"""The owners' core: book, steward, holder and fence, alone and in simulated time."""

from __future__ import annotations

import unittest
from math import ceil, floor
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from pinward.lead.fence import Answer, Fences
from pinward.owners.book import Book
from pinward.owners.holder import Hold, Holder
from pinward.owners.model import HUNTS, Model
from pinward.owners.simulated import BrokenError, World
from pinward.owners.steward import Stand, Steward, Terms, dealt
from pinward.owners.terms import Duty, Incarnation, Kind, Pace

PACE = Pace(hold_s=2.0, beat_s=0.25, flight_s=0.2, skew=0.1)
WORK = Duty("work", Kind.SPLIT, parts=12)
WATCH = Duty("watch", Kind.SINGLE)
TERMS = Terms((WORK, WATCH), PACE, moves_per_s=50.0, warm_s=1.0)


def start(number: int = 1, birth: str = "d", nonce: str = "n") -> Incarnation:
    return Incarnation(birth, number, nonce)


class TestBook(unittest.TestCase):
    def test_tokens_only_grow(self) -> None:
        """A grant ends just the token that it names; one that was overtaken is left out."""
        book, a = Book(), start()
        book.apply(2, [["join", "m1", a.plain(), ""], ["join", "m2", a.plain(), ""]])
        self.assertEqual(1, len(book.apply(3, [["grant", "work/0", "m1", a.plain(), 0, "first"]])))
        self.assertEqual([], book.apply(4, [["grant", "work/0", "m2", a.plain(), 0, "late"]]))
        self.assertEqual(1, len(book.apply(5, [["grant", "work/0", "m2", a.plain(), 3, "given up"]])))
        self.assertEqual(("m2", 5), (book.parts["work/0"].owner, book.parts["work/0"].token))
        self.assertEqual((["work/0"], []), (list(book.owned["m2"]), list(book.owned["m1"])))

    def test_grant_to_a_former_start(self) -> None:
        """A grant on its way to a start that was followed by another is left out."""
        book = Book()
        book.apply(2, [["join", "m1", start(1).plain(), ""]])
        book.apply(3, [["join", "m1", start(2).plain(), ""]])
        self.assertEqual([], book.apply(4, [["grant", "work/0", "m1", start(1).plain(), 0, "first"]]))

    def test_steps(self) -> None:
        """A step counts once, in order, from the owner of that token alone; the next owner goes on there."""
        book, a = Book(), start()
        book.apply(2, [["join", "m1", a.plain(), ""], ["open", "once", "begin"]])
        book.apply(3, [["grant", "once", "m1", a.plain(), 0, "first"]])
        steps = ((1, "one"), (1, "again"), (3, "gap"))
        changes = [["step", "once", 3, step, note] for step, note in steps]
        self.assertEqual(["one"], [effect.why for effect in book.apply(4, changes)])
        book.apply(5, [["grant", "once", "m1", a.plain(), 3, "owner lost"]])
        self.assertEqual((1, "one"), (book.parts["once"].step, book.parts["once"].note))
        self.assertEqual([], book.apply(6, [["step", "once", 3, 2, "an old owner's"]]))
        book.apply(7, [["end", "once", 5]])
        self.assertEqual([], book.apply(8, [["grant", "once", "m1", a.plain(), 5, "ended"]]))

    def test_disks(self) -> None:
        """Starts are told apart: again, an older copy of the disk, another disk."""
        book, said = Book(), []
        for number, (birth, starts) in enumerate((("d", 1), ("d", 2), ("d", 2), ("d", 1), ("e", 1))):
            effects = book.apply(2 + number, [["join", "m1", [birth, starts, f"n{number}"], ""]])
            said += [effect.why for effect in effects]
        older = "an older copy of its disk"
        self.assertEqual(["new", "again", older, older, "another disk than before"], said)

    def test_whole(self) -> None:
        """A book goes through plain data unchanged, and what is malformed is refused."""
        book, a = Book(), start()
        book.apply(2, [["join", "m1", a.plain(), "z"], ["grant", "work/1", "m1", a.plain(), 0, "first"]])
        book.apply(3, [["open", "once", "x"]])
        self.assertEqual(book, Book.of(book.plain()))
        for changes in ("x", [["grant"]], [["nothing", 1]], [["join", "m", ["", 0, ""], ""]], [7]):
            with self.assertRaises(ValueError):
                Book().apply(2, changes)


class TestDealt(unittest.TestCase):
    @given(st.integers(0, 60), st.lists(st.floats(0.1, 5.0), min_size=1, max_size=8), st.integers(0, 2**32))
    def test_quotas(self, count: int, weights: list[float], seed: int) -> None:
        """All parts are dealt, each member within one of its quota, and nobody within it gives any up."""
        chance, parts = Random(seed), [f"p{n}" for n in range(count)]
        shares = {f"m{n}": weight for n, weight in enumerate(weights)}
        had = {part: chance.choice([*shares, "gone"]) for part in parts}
        goal = dealt(parts, shares, had.__getitem__)
        self.assertEqual(sorted(parts), sorted(goal))
        for name, weight in shares.items():
            quota = count * weight / sum(weights)
            owns, kept = sum(w == name for w in goal.values()), sum(w == name for w in had.values())
            self.assertTrue(floor(quota - 1e-6) <= owns <= ceil(quota + 1e-6), (quota, owns))
            stay = sum(goal[part] == name for part in parts if had[part] == name)
            self.assertGreaterEqual(stay, min(kept, floor(quota - 1e-6)))

    def test_least_moves(self) -> None:
        """One that comes takes its part from the others and nothing else moves; one that goes likewise."""
        parts = [f"p{n}" for n in range(100)]
        first = dealt(parts, dict.fromkeys("abcd", 1.0), lambda part: "")
        second = dealt(parts, dict.fromkeys("abcde", 1.0), first.__getitem__)
        self.assertEqual(20, sum(first[part] != second[part] for part in parts))
        third = dealt(parts, dict.fromkeys("abce", 1.0), second.__getitem__)
        moved = {part for part in parts if second[part] != third[part]}
        self.assertEqual({part for part in parts if second[part] == "d"}, moved)


class Played:
    """A steward whose log commits at once, unless told to wait."""

    def __init__(self, terms: Terms = TERMS) -> None:
        self.book, self.index, self.now = Book(), 1, 100.0
        self.steward = Steward(terms, self.book)
        self.steward.lead(self.now, 1)
        self.open: list[list] = []

    def renew(self, name: str, incarnation: Incarnation, **more: object) -> dict:
        told = {"zone": "", "capacity": 1.0, "released": {}, "view": [0, 0], **more}
        return self.steward.renew(self.now, name, incarnation, **told)

    def due(self, commit: bool = True) -> None:
        while changes := self.steward.due(self.now):
            self.open.append(changes)
        if commit:
            self.commit()

    def commit(self) -> None:
        for changes in self.open:
            self.index += 1
            self.steward.took(self.now, changes, self.book.apply(self.index, changes))
        self.open.clear()

    def settle(self, names: dict[str, Incarnation], seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for name, incarnation in names.items():
                given = {p: t for p, t in (self.renew(name, incarnation).get("give") or {}).items()}
                if given:
                    self.renew(name, incarnation, released=given)
            self.due()
            self.now += 0.25

    def owners(self) -> dict[str, int]:
        return {name: len(parts) for name, parts in self.book.owned.items() if parts}


class TestSteward(unittest.TestCase):
    def test_shares(self) -> None:
        """Parts follow told capacity."""
        played = Played()
        for _ in range(16):
            for name, capacity in (("m1", 1.0), ("m2", 3.0)):
                answer = played.renew(name, start(), capacity=capacity)
                if answer.get("give"):
                    played.renew(name, start(), capacity=capacity, released=answer["give"])
            played.due()
            played.now += 0.25
        self.assertEqual({"m1": 3, "m2": 10}, played.owners())

    def test_zones(self) -> None:
        """A part of a zone goes to a member of it, or to nobody."""
        played = Played(Terms((Duty("list", Kind.SPLIT, zones=("a", "b")),), PACE))
        for _ in range(6):
            played.renew("m1", start(), zone="a")
            played.due()
        self.assertEqual({"m1": 1}, played.owners())
        self.assertEqual("m1", played.book.parts["list/a"].owner)

    def test_takes_over_after_hold(self) -> None:
        """The parts of one that is not heard go to the others after `hold`, and not before."""
        played = Played()
        played.settle({"m1": start(), "m2": start()}, 3.0)
        lost = set(played.book.owned["m2"])
        last = played.now - 0.25
        while played.book.owned["m2"]:
            played.now += 0.05
            played.renew("m1", start())
            played.due()
        self.assertGreaterEqual(played.now, last + PACE.hold_s)
        self.assertLess(played.now, last + PACE.hold_s + 0.2)
        self.assertLessEqual(lost, set(played.book.owned["m1"]))

    def test_unfenced_waits_for_the_flight(self) -> None:
        """Where targets compare nothing, the next owner also waits for what may be on its way."""
        played = Played(Terms((Duty("calls", Kind.SINGLE, fenced=False),), PACE))
        played.settle({"m1": start()}, 2.0)
        last = played.now - 0.25
        while played.book.parts["calls"].owner == "m1":
            played.now += 0.01
            played.renew("m2", start())
            played.due()
        self.assertGreaterEqual(played.now, last + PACE.hold_s + PACE.flight_s)

    def test_comes_back_while_its_part_goes(self) -> None:
        """One heard again while a grant of its part is on its way to another is not told that it owns it."""
        played = Played(Terms((WATCH,), PACE))
        played.settle({"m1": start(), "m2": start()}, 3.0)
        owner = played.book.parts["watch"].owner
        other = "m2" if owner == "m1" else "m1"
        for _ in range(12):
            played.now += 0.25
            played.renew(other, start())
            played.due(commit=False)
        self.assertTrue(played.open)
        answer = played.renew(owner, start())
        self.assertTrue(answer["ok"])
        self.assertNotIn("watch", answer["own"])
        played.commit()
        self.assertEqual(other, played.book.parts["watch"].owner)

    def test_next_leader_waits(self) -> None:
        """A leader that follows takes nothing from owners it has not heard until it has acted for `hold`."""
        played = Played(Terms((WATCH,), PACE))
        played.settle({"m1": start(), "m2": start()}, 3.0)
        owner = played.book.parts["watch"].owner
        other = "m2" if owner == "m1" else "m1"
        played.now += 1.9
        played.steward.lead(played.now, 2)
        began = played.now
        while played.book.parts["watch"].owner == owner:
            played.now += 0.05
            played.renew(other, start())
            played.due()
        self.assertGreaterEqual(played.now, began + PACE.hold_s)

    def test_known_owners_stay(self) -> None:
        """Under a leader that follows, owners that are heard keep what they have, and nothing moves."""
        played = Played()
        names = {f"m{n}": start() for n in range(3)}
        played.settle(names, 4.0)
        before = {part: held.token for part, held in played.book.parts.items()}
        played.steward.lead(played.now, 2)
        played.settle(names, 6.0)
        self.assertEqual(before, {part: held.token for part, held in played.book.parts.items()})

    def test_hand_over(self) -> None:
        """By will: the next is granted at once, with a higher token."""
        played = Played(Terms((WATCH,), PACE))
        played.settle({"m1": start(), "m2": start()}, 3.0)
        held = played.book.parts["watch"]
        owner, token = held.owner, held.token
        other = "m2" if owner == "m1" else "m1"
        self.assertEqual("m9 is not heard", played.steward.wish("watch", "m9"))
        self.assertIsNone(played.steward.wish("watch", other))
        played.due()
        answer = played.renew(owner, start())
        self.assertEqual({"watch": token}, answer["give"])
        self.assertEqual(owner, played.book.parts["watch"].owner)
        played.renew(owner, start(), released=answer["give"])
        played.due()
        self.assertEqual(other, played.book.parts["watch"].owner)
        self.assertGreater(played.book.parts["watch"].token, token)

    def test_same_name_twice(self) -> None:
        """A second process under a name gets nothing while the first lives, and that is said once."""
        played = Played()
        played.settle({"m1": start()}, 2.0)
        copied = start(nonce="copied")
        for _ in range(10):
            self.assertNotIn("ok", played.renew("m1", copied))
            played.now += 0.25
            self.assertTrue(played.renew("m1", start())["ok"])
        said = [event for event, _ in played.steward.notes]
        self.assertEqual(1, said.count("same-name-twice"))

    def test_restart_waits_out_its_former_lease(self) -> None:
        """A restarted owner owns nothing until its former start's lease is over, then anew."""
        played = Played(Terms((WATCH,), PACE))
        played.settle({"m1": start()}, 2.0)
        last, token = played.now - 0.25, played.book.parts["watch"].token
        again = start(2, nonce="again")
        while played.book.parts["watch"].incarnation != again:
            played.now += 0.05
            played.renew("m1", again)
            played.due()
        self.assertGreaterEqual(played.now, last + PACE.hold_s)
        self.assertGreater(played.book.parts["watch"].token, token)

    def test_flapping(self) -> None:
        """One that comes and goes is trusted with parts ever later."""
        played, waits = Played(), []
        names = {"m1": start(), "m2": start()}
        played.settle(names, 4.0)
        for _ in range(4):
            played.settle({"m1": start()}, 2.5)
            self.assertEqual({"m1": 13}, played.owners())
            began = played.now
            while played.steward.members["m2"].stand is not Stand.WARMING:
                played.settle(names, 0.25)
            waits.append(played.now - began)
        self.assertEqual(sorted(waits), waits)
        self.assertGreater(waits[-1], 4 * waits[0])

    def test_newcomers_warm_up(self) -> None:
        """A newcomer beside steady ones gets a quarter of its part first."""
        played = Played(Terms((Duty("work", Kind.SPLIT, parts=100),), PACE, 1000.0, warm_s=8.0))
        names = {f"m{n}": start() for n in range(3)}
        played.settle(names, 12.0)
        names["m3"] = start()
        played.settle(names, 1.5)
        few = played.owners()["m3"]
        played.settle(names, 9.0)
        self.assertLess(few, 10)
        self.assertEqual(25, played.owners()["m3"])

    def test_moves_are_paced(self) -> None:
        """Parts of living owners move no faster than told."""
        played = Played(Terms((Duty("work", Kind.SPLIT, parts=100),), PACE, 4.0, warm_s=0.1))
        played.settle({"m1": start()}, 4.0)
        played.settle({"m1": start(), "m2": start()}, 5.0)
        self.assertLessEqual(played.owners()["m2"], 4 * 5 + 4)
        self.assertGreaterEqual(played.owners()["m2"], 12)

    def test_periodic(self) -> None:
        """A period's step is let into the log once a period, and under a later leader not sooner."""
        played = Played(Terms((Duty("sum", Kind.PERIODIC, period_s=3.0),), PACE))
        played.settle({"m1": start()}, 2.0)
        steward, token = played.steward, played.book.parts["sum"].token
        self.assertIsNone(steward.may_step(played.now, "sum", token, 1))
        played.open.append([["step", "sum", token, 1, ""]])
        played.commit()
        self.assertEqual("known", steward.may_step(played.now, "sum", token, 1))
        self.assertEqual("early", steward.may_step(played.now + 3.0, "sum", token, 2))
        self.assertIsNone(steward.may_step(played.now + 3.31, "sum", token, 2))
        steward.lead(played.now + 10.0, 2)
        self.assertEqual("early", steward.may_step(played.now + 10.1, "sum", token, 2))
        self.assertEqual("stale", steward.may_step(played.now + 20.0, "sum", token - 1, 2))

    def test_room_for_members(self) -> None:
        """Members under ever new names are forgotten once they are gone; those that live or own stay."""
        played = Played(Terms((WATCH,), PACE))
        played.steward.members_most = 20
        for number in range(60):
            played.settle({"m1": start(), f"x{number}": start()}, 0.75)
        played.settle({"m1": start()}, 4.0)
        self.assertIn("m1", played.book.members)
        self.assertLessEqual(len(played.book.members), 20)
        self.assertLessEqual(len(played.steward.members), 20)
        self.assertLessEqual(len(played.steward.heard), 40)

    def test_work_that_left_the_settings(self) -> None:
        """A part that no settings want is given up, and nobody's then."""
        played = Played()
        played.settle({"m1": start()}, 2.0)
        played.steward = Steward(Terms((WATCH,), PACE), played.book)
        played.steward.lead(played.now, 2)
        played.settle({"m1": start()}, 4.0)
        self.assertEqual({"m1": 1}, played.owners())


class TestHolder(unittest.TestCase):
    def setUp(self) -> None:
        self.holder = Holder("m1", start(), PACE)

    def answer(self, now: float, asked: dict, **more: object) -> bool:
        return self.holder.heard(now, asked["number"], {"ok": True, "view": [1, 1], **more})

    def test_lease_counts_from_the_question(self) -> None:
        asked = self.holder.ask(10.0)
        self.answer(11.0, asked, own={"watch": [5, 0, ""]})
        self.assertEqual(5, self.holder.may(11.5, "watch"))
        self.assertIsNone(self.holder.may(10.0 + PACE.lease_s, "watch"))

    def test_gives_up_after_its_last_effect(self) -> None:
        self.answer(10.0, self.holder.ask(10.0), own={"watch": [5, 0, ""]})
        self.assertIsNotNone(self.holder.begin(10.1, "watch"))
        self.answer(10.2, self.holder.ask(10.2), give={"watch": 5})
        self.assertIs(Hold.ENDING, self.holder.parts["watch"].state)
        self.assertIsNone(self.holder.begin(10.3, "watch"))
        self.assertEqual({}, self.holder.ask(10.3)["released"])
        self.holder.done("watch", 5)
        self.assertEqual({"watch": 5}, self.holder.ask(10.4)["released"])
        self.answer(10.5, self.holder.ask(10.5), own={"watch": [5, 0, ""]})  # the log is not so far yet
        self.assertIsNone(self.holder.may(10.6, "watch"))
        self.answer(10.7, self.holder.ask(10.7), own={"watch": [9, 0, ""]})
        self.assertEqual(9, self.holder.may(10.8, "watch"))

    def test_renewals_are_bounded(self) -> None:
        """However many parts are given up at once, a renewal tells some of them, and the rest later."""
        own = {f"work/{number}": [5, 0, ""] for number in range(500)}
        self.answer(10.0, self.holder.ask(10.0), own=own)
        self.holder.give_all("leaving")
        self.assertEqual(100, len(self.holder.ask(10.1)["released"]))
        for part in list(own)[:100]:
            del own[part]
        self.answer(10.2, self.holder.ask(10.2), own=own)
        self.assertEqual("work/100", next(iter(self.holder.ask(10.3)["released"])))

    def test_late_lists_change_nothing(self) -> None:
        """A list of a leader that was followed, or older than another, does not bring parts back."""
        first, second = self.holder.ask(10.0), self.holder.ask(10.1)
        self.holder.heard(10.2, second["number"], {"ok": True, "view": [2, 1], "own": {}})
        self.holder.heard(10.3, first["number"], {"ok": True, "view": [1, 4], "own": {"watch": [5, 0, ""]}})
        self.assertIsNone(self.holder.may(10.4, "watch"))
        third, fourth = self.holder.ask(10.5), self.holder.ask(10.6)
        self.holder.heard(10.7, fourth["number"], {"ok": True, "view": [2, 3], "own": {}})
        self.holder.heard(10.8, third["number"], {"ok": True, "view": [2, 2], "own": {"watch": [5, 0, ""]}})
        self.assertIsNone(self.holder.may(10.9, "watch"))

    def test_refused(self) -> None:
        self.assertFalse(self.holder.heard(10.1, self.holder.ask(10.0)["number"], {"no": "not now"}))
        self.assertEqual("not now", self.holder.why)


class TestFences(unittest.TestCase):
    def test_order(self) -> None:
        kept: list[tuple[str, int]] = []
        fences = Fences(lambda part, token: kept.append((part, token)))
        said = [fences.admit("w", token) for token in (3, 3, 2, 7)] + [fences.admit("v", 1)]
        known = [Answer.APPLY, Answer.KNOWN, Answer.STALE, Answer.APPLY, Answer.APPLY]
        self.assertEqual((known, [("w", 3), ("w", 7), ("v", 1)]), (said, kept))

    def test_not_kept_not_admitted(self) -> None:
        """Where the disk is full at the moment of keeping the token, nothing was admitted."""

        def full(part: str, token: int) -> None:
            raise OSError("full")

        fences = Fences(full)
        for _ in range(2):
            with self.assertRaises(OSError):
                fences.admit("w", 3)
        self.assertEqual(0, fences.token("w"))

    def test_bounded(self) -> None:
        fences = Fences(lambda part, token: None, most=1)
        fences.admit("w", 3)
        self.assertIs(Answer.GAP, fences.admit("v", 3))


class TestModel(unittest.TestCase):
    def test_planted(self) -> None:
        """Each planted error is found; the sound core shows nothing in as many states."""
        for plant, most in (("fence", 4000), ("grant", 4000), ("incarnation", 4000), ("lease", 18_000)):
            found = Model(HUNTS[plant], plant).hunt(most)
            self.assertIsNotNone(found["broken"], plant)
            sound = Model(HUNTS[plant]).hunt(1500)
            self.assertIsNone(sound["broken"], sound["way"])


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "pause", "cut", "depose", "restart", "kill-all", "copied", "emptied"]),
        st.integers(0, 4), st.floats(0.05, 4.0),
    ),
    min_size=1, max_size=10,
)  # fmt: skip


class TestTogether(unittest.TestCase):
    def play(self, seed: int, faults: list[tuple[str, int, float]], **more: object) -> World:
        world = World(seed, TERMS, 5, act_s=0.15, **more)
        world.lead()
        for name in world.actors:
            world.start(name)
        world.run(3.0)
        for what, who, for_s in faults:
            name = f"m{who}"
            if what == "kill":
                world.kill(name)
            elif what == "pause":
                world.pause(name, for_s)
            elif what == "cut":
                world.lost ^= {name}
            elif what == "restart":
                world.kill(name)
                world.start(name)
            elif what == "copied":
                world.kill(name)
                world.start(name, starts=1)
            elif what == "emptied":
                world.kill(name)
                world.start(name, birth=f"fresh-{world.now}", starts=1)
            elif what == "kill-all":
                for other in world.actors:
                    world.kill(other)
                    world.start(other)
            else:
                world.depose()
                world.run(world.now + for_s / 4)
                world.lead()
            world.run(world.now + for_s)
        world.lost.clear()
        for name, actor in world.actors.items():
            if not actor.alive:
                world.start(name)
        if world.leader is None:
            world.lead()
        world.run(world.now + 20.0)  # effects held back keep parts from being given up
        return world

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32), FAULTS)
    def test_any_faults(self, seed: int, faults: list[tuple[str, int, float]]) -> None:
        """Whatever fails: never two owners, no effect out of token order, and all is owned in the end."""
        world = self.play(seed, faults, stall=0.05)
        owned = {part for a in world.actors.values() if a.holder for part in a.holder.mine(world.local(a))}
        self.assertEqual(13, len(owned))
        self.assertGreater(world.seen.effects, 0)

    def test_takeover_within_its_bound(self) -> None:
        """Owners that die, with the leader or without, are followed within the computed time."""
        for deposes, most in ((False, PACE.takeover_s(0.0)), (True, PACE.takeover_s(0.5))):
            times: list[float] = []
            for seed in range(20):
                world = World(seed, TERMS, 5, act_s=0.0)
                world.lead()
                for name in world.actors:
                    world.start(name)
                world.run(6.0 + seed / 20)
                world.kill("m1")
                if deposes:
                    world.depose()
                    world.run(world.now + 0.5)
                    world.lead()
                world.run(world.now + 10.0)
                times += world.seen.takeovers_s
            self.assertGreaterEqual(len(times), 40)
            self.assertLessEqual(max(times), most)

    def test_clocks_beyond_skew(self) -> None:
        """With clocks far off the lease lets two act, and tokens alone keep effects in order."""
        twice = 0
        for seed in range(12):
            faults = [("pause", n % 5, 2.5) for n in range(6)] + [("cut", 1, 3.0), ("depose", 0, 1.0)]
            world = World(seed, TERMS, 5, skew=0.6, act_s=0.05)
            world.only = lambda actor, part: None  # type: ignore[method-assign]
            world.lead()
            for name in world.actors:
                world.start(name)
            world.run(3.0)
            for _, who, for_s in faults:
                world.pause(f"m{who}", for_s)
                world.lost ^= {f"m{(who + 1) % 5}"}
                world.run(world.now + for_s)
            twice += world.seen.stale
        self.assertGreater(twice, 0)  # an old owner's effects came after a later one's, and were refused

    def test_unfenced(self) -> None:
        """The same without a fence: an effect held back by a pause comes after a later owner's."""
        with self.assertRaises(BrokenError):
            for seed in range(20):
                self.play(seed, [("kill", n % 5, 3.0) for n in range(5)], fenced=False, stall=0.1)
