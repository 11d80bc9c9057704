"""The ledger, the gates, the fence, the store and the words between instances, each by itself."""

from __future__ import annotations

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from pinward.lead import model
from pinward.lead.fence import Answer, Fence
from pinward.lead.gates import Gates, GateTerms, Way
from pinward.lead.ledger import RECENT_MOST, Act, Decision, Ledger, Placed, Standing
from pinward.lead.peers import VERSION, Peers
from pinward.lead.store import Acquaintances, Store, StoreError
from pinward.lead.terms import Base, Entry, Members, Save, Sort, Word
from pinward.lead.words import Frames, MalformedWordError, frame, plain_word, word_of
from pinward.terms import Phase, Verdict
from standin.lead_trial import check_records

MEMBERS = Members(frozenset("ab"), frozenset(), (("a", "127.0.0.1:1"), ("b", "127.0.0.1:2")))
ACTS = st.sampled_from(list(Act))
DECISIONS = st.builds(
    Decision, name=st.text(min_size=1, max_size=3), act=ACTS, release=st.integers(0, 3),
    stage=st.integers(0, 3), node=st.sampled_from(["n1", "n2"]),
)  # fmt: skip


class Ledgers(unittest.TestCase):
    def told(self, ledger: Ledger, *acts: tuple[Act, int, int]) -> list[str]:
        said = []
        for act, release, stage in acts:
            name = f"{len(ledger.names)}-{act.value}"
            result = ledger.apply(1, Decision(name, act, release, stage))
            said.append(result if isinstance(result, str) else "")
        return said

    def test_a_release_from_offer_to_released_and_back(self) -> None:
        ledger = Ledger(2)
        said = self.told(
            ledger, (Act.OFFER, 7, 0), (Act.PROMOTE, 7, 1), (Act.PROMOTE, 7, 2), (Act.BACK, 7, 0),
            (Act.BACK_DONE, 7, 0), (Act.OFFER, 8, 0),
        )  # fmt: skip
        self.assertEqual(said, [""] * 6)
        self.assertEqual(ledger.standing, Standing(8, 0, Phase.TRIAL))

    def test_what_does_not_fit_is_withdrawn(self) -> None:
        ledger = Ledger(3)
        said = self.told(
            ledger, (Act.OFFER, 7, 0), (Act.OFFER, 8, 0), (Act.OFFER, 7, 0), (Act.PROMOTE, 7, 2),
            (Act.PROMOTE, 6, 1), (Act.BACK, 7, 0), (Act.PROMOTE, 7, 1), (Act.BACK, 7, 0),
            (Act.FILL, 0, 0),
        )  # fmt: skip
        fits = [why == "" for why in said]
        self.assertEqual(fits, [True, False, False, False, False, True, False, False, False])

    def test_an_identity_counts_once(self) -> None:
        ledger = Ledger(3)
        self.assertIsInstance(ledger.apply(1, Decision("x", Act.DRAIN, node="n1")), Placed)
        self.assertEqual(ledger.apply(2, Decision("x", Act.DRAIN, node="n2")), "decided already")

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.lists(DECISIONS, max_size=40), st.integers(0, 40))
    def test_a_state_written_and_read_goes_on_the_same(self, decisions: list[Decision], cut: int) -> None:
        whole, halved = Ledger(3), Ledger(3)
        for n, decision in enumerate(decisions):
            if n == cut:
                halved = Ledger.of(3, halved.plain())
            self.assertEqual(whole.apply(1, decision), halved.apply(1, decision))
        self.assertEqual(whole.plain(), halved.plain())
        self.assertEqual([p.place for p in whole.recent], list(range(1, whole.place + 1)))

    def test_one_far_behind_is_told_the_whole(self) -> None:
        ledger = Ledger(3)
        for n in range(RECENT_MOST + 5):
            ledger.apply(1, Decision(f"d{n}", Act.DRAIN, node=f"n{n}"))
        self.assertIsNone(ledger.since(3))
        self.assertEqual(len(ledger.since(5) or ()), RECENT_MOST)

    def test_what_is_no_decision_is_refused(self) -> None:
        good = Decision("x", Act.SHARE, 1, 0, 0.5).plain()
        self.assertEqual(Decision.of(good).share, 0.5)
        for place, wrong in ((0, ""), (1, "no"), (2, -1), (2, True), (4, 1.5), (5, "n" * 201)):
            with self.assertRaises(ValueError):
                Decision.of([*good[:place], wrong, *good[place + 1 :]])


class GatesAndFences(unittest.TestCase):
    def gates(self, way: Way, **more: float) -> Gates:
        made = Gates(GateTerms(way, 5, vote_life_s=10.0, **more))
        made.stands(0.0, Standing(7, 0, Phase.TRIAL))
        return made

    def test_each_way(self) -> None:
        for way, needed in ((Way.ONE, 1), (Way.SHARES, 2), (Way.MAJORITY, 3)):
            gates = self.gates(way, on_share=0.4)
            for n in range(needed):
                self.assertIsNone(gates.due(1.0))
                gates.vote(1.0, f"f{n}", 7, 0, Verdict.ON)
            self.assertIs(gates.due(1.0), Act.PROMOTE)

    def test_soak_votes_that_lapse_and_one_vote_a_front(self) -> None:
        gates = self.gates(Way.SHARES, on_share=0.4, soak_s=3.0)
        for _ in range(3):
            gates.vote(1.0, "f1", 7, 0, Verdict.ON)
        self.assertIsNone(gates.due(4.0))
        gates.vote(2.0, "f2", 7, 0, Verdict.ON)
        self.assertIsNone(gates.due(2.0))
        self.assertIs(gates.due(4.0), Act.PROMOTE)
        self.assertIsNone(gates.due(11.5))

    def test_back_goes_before_on_and_after_release(self) -> None:
        gates = self.gates(Way.ONE, back_share=0.4)
        gates.vote(1.0, "f1", 7, 0, Verdict.ON)
        gates.vote(1.0, "f2", 7, 0, Verdict.BACK)
        self.assertIs(gates.due(1.0), Act.PROMOTE)
        gates.vote(1.0, "f3", 7, 0, Verdict.BACK)
        self.assertIs(gates.due(1.0), Act.BACK)
        gates.stands(2.0, Standing(7, 0, Phase.RELEASED))
        self.assertIsNone(gates.due(2.0))
        for front in ("f2", "f3"):
            self.assertTrue(gates.vote(2.0, front, 7, 2, Verdict.BACK))
        self.assertIs(gates.due(2.0), Act.BACK)

    def test_the_clock_waits_for_holds(self) -> None:
        gates = self.gates(Way.CLOCK, stage_s=5.0)
        self.assertIsNone(gates.due(4.0))
        self.assertIs(gates.due(5.0), Act.PROMOTE)
        gates.vote(5.0, "f1", 7, 0, Verdict.HOLD)
        self.assertIsNone(gates.due(6.0))
        gates.vote(6.0, "f1", 7, 0, Verdict.NONE)
        self.assertIs(gates.due(6.0), Act.PROMOTE)

    def test_votes_on_something_else_do_not_count(self) -> None:
        gates = self.gates(Way.ONE)
        self.assertFalse(gates.vote(1.0, "f1", 6, 0, Verdict.ON))
        self.assertFalse(gates.vote(1.0, "f1", 7, 1, Verdict.ON))

    def test_a_fence_refuses_who_was_followed(self) -> None:
        fence = Fence()
        self.assertIs(fence.greet(3), Answer.APPLY)
        self.assertIs(fence.judge(3, 1), Answer.APPLY)
        self.assertIs(fence.judge(3, 3), Answer.GAP)
        self.assertIs(fence.greet(5), Answer.APPLY)
        for said in (fence.greet(3), fence.judge(3, 2), fence.whole(4, 9)):
            self.assertIs(said, Answer.STALE)
        self.assertIs(fence.judge(5, 1), Answer.KNOWN)
        self.assertIs(fence.whole(5, 9), Answer.APPLY)

    def test_the_checker_finds_what_it_looks_for(self) -> None:
        def row(epoch: int, place: int, name: str, leader: str = "i1") -> dict:
            return {"what": "apply", "epoch": epoch, "place": place, "id": name, "leader": leader}

        sound = [row(1, 1, "a"), row(2, 2, "b", "i2")]
        self.assertEqual(check_records({0: sound, 1: sound}, {"a": 1, "b": 2}), [])
        broken = {
            "applied by a leader that was followed": [row(2, 1, "a", "i2"), row(1, 2, "b")],
            "two leaders in one epoch": [row(1, 1, "a"), row(1, 2, "b", "i2")],
            "applied twice": [row(1, 1, "a"), row(1, 2, "a")],
            "applied out of order": [row(1, 2, "a")],
            "promised and lost": [row(1, 1, "a")],
        }
        for rule, rows in broken.items():
            self.assertIn(rule, [found for found, _ in check_records({0: rows}, {"b": 2})], rule)
        unlike = {0: sound, 1: [row(1, 1, "b"), row(2, 2, "a", "i2")]}
        self.assertIn("not the same everywhere", [found for found, _ in check_records(unlike, {})])


class Stores(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "state"
        self.store = Store(self.folder)
        self.addCleanup(lambda: self.store.close())
        self.store.create(MEMBERS, founds=True)

    def entries(self, epoch: int, *indexes: int) -> tuple[Entry, ...]:
        return tuple(Entry(epoch, index, Sort.DECISION, [f"e{epoch}-{index}"]) for index in indexes)

    def again(self) -> Store:
        self.store.close()
        self.store = Store(self.folder)
        self.store.open()
        return self.store

    def fill(self) -> None:
        self.store.save(Save(1, (3, "a"), self.entries(3, 1, 2, 3), None))
        self.store.save(Save(2, None, self.entries(4, 3, 4), None))
        self.store.save(Save(3, (4, None), (), None))

    def test_all_comes_back(self) -> None:
        self.fill()
        birth, before = self.store.birth, self.store.kept
        store = self.again()
        self.assertEqual((store.birth, store.kept, store.cut), (birth, before, 0))
        self.assertEqual([e.epoch for e in store.kept.entries], [3, 3, 4, 4])  # type: ignore[union-attr]

    def test_folding_begins_a_new_generation(self) -> None:
        self.fill()
        self.store.save(Save(4, None, (), Base(2, 3, MEMBERS, {"place": 2})))
        store = self.again()
        self.assertEqual(store.kept.base.index, 2)  # type: ignore[union-attr]
        self.assertEqual([e.index for e in store.kept.entries], [3, 4])  # type: ignore[union-attr]
        self.assertEqual([path.name for path in self.folder.glob("state.*")], ["state.2"])

    def test_a_torn_last_record_is_cut_off_wherever_it_tore(self) -> None:
        self.fill()
        whole = self.store.path.read_bytes()
        self.store.save(Save(4, (9, "b"), (), None))
        longer = self.store.path.read_bytes()
        for end in range(len(whole) + 1, len(longer)):
            self.store.close()
            self.store.path.write_bytes(longer[:end])
            store = self.again()
            self.assertEqual((store.kept.epoch, store.cut), (4, end - len(whole)))  # type: ignore[union-attr]
            self.assertEqual(store.path.read_bytes(), whole)

    def test_space_that_was_never_written_is_cut_off(self) -> None:
        self.fill()
        with self.store.path.open("ab") as file:
            file.write(bytes(50))
        self.assertEqual(self.again().cut, 50)

    def test_damage_elsewhere_stops_it(self) -> None:
        self.fill()
        data = self.store.path.read_bytes()
        for at in range(0, len(data) - 40, 7):
            self.store.close()
            self.store.path.write_bytes(data[:at] + bytes([data[at] ^ 0x55]) + data[at + 1 :])
            self.store = Store(self.folder)
            with self.assertRaisesRegex(StoreError, "damaged at byte"):
                self.store.open()

    def test_two_processes_cannot_share_it(self) -> None:
        other = Store(self.folder)
        with self.assertRaisesRegex(StoreError, "another process"):
            other.open()

    def test_an_empty_folder_and_a_full_one(self) -> None:
        with self.assertRaisesRegex(StoreError, "no state here"):
            Store(self.folder.parent / "empty").open()
        self.store.close()
        with self.assertRaisesRegex(StoreError, "holds a state already"):
            self.store.create(MEMBERS, founds=True)

    def test_a_full_disk_is_told(self) -> None:
        full = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        told = self.assertRaisesRegex(StoreError, "No space left")
        with mock.patch("os.fdatasync", side_effect=full), told:
            self.store.save(Save(1, (3, "a"), (), None))

    def test_each_save_is_on_the_disk_before_it_returns(self) -> None:
        with mock.patch("os.fdatasync") as sync:
            self.store.save(Save(1, (3, "a"), (), None))
        sync.assert_called_once()

    def test_another_disk_under_a_known_name_is_refused(self) -> None:
        known = Acquaintances(self.folder)
        self.assertTrue(known.meet("b", "one"))
        known = Acquaintances(self.folder)
        self.assertFalse(known.meet("b", "two"))
        known.forget({"b"})
        self.assertTrue(Acquaintances(self.folder).meet("b", "two"))


class Words(unittest.TestCase):
    SAID = (
        (Word.CANVASS, 2, 1, 7),
        (Word.VOTED, 2, True),
        (Word.APPEND, 2, 9, 3, 1, [Entry(2, 4, Sort.DECISION, ["x"]), Entry(2, 5, Sort.NOTHING, None)], 3),
        (Word.TAKEN, 2, 9, False, 1),
        (Word.WHOLE, 2, 9, Base(7, 2, MEMBERS, {"place": 1})),
        (Word.HAND, 2),
    )

    def test_words_come_back_byte_by_byte(self) -> None:
        frames, heard = Frames(), []
        for byte in b"".join(frame(plain_word(word)) for word in self.SAID):
            frames.add(bytes([byte]))
            while (thing := frames.next()) is not None:
                heard.append(word_of(thing))
        self.assertEqual(heard, list(self.SAID))

    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(st.binary(max_size=60))
    def test_anything_else_is_refused(self, data: bytes) -> None:
        frames = Frames(most=1000)
        frames.add(data)
        try:
            while (thing := frames.next()) is not None:
                word_of(thing)
        except MalformedWordError:
            pass

    def test_words_of_wrong_shape(self) -> None:
        gap = [5, 1, 2, 3, 4, [[1, 9, 0, None]], 0]
        for wrong in (gap, [2, 1, 1], [8, -1], [8], [99, 1], [7, 1, 2, [1]], "x"):
            with self.assertRaises(MalformedWordError):
                word_of(wrong)


class Greetings(unittest.TestCase):
    def test_who_is_let_in(self) -> None:
        peers = object.__new__(Peers)
        peers.installation, peers.name, peers.senders = "north", "a", {"b": None}  # type: ignore[dict-item]
        peers.founding, peers.meet = {"place": 0}, lambda name, birth: birth == "disk"
        good = ["pinward", VERSION, "north", "b", "a", "disk", {"place": 0}]
        self.assertIsNone(peers.objection(good, {"b"}))
        self.assertIsNone(peers.objection([*good[:6], None], None))  # one that joins founded nothing
        for place, wrong, why in (
            (0, "other", "no hello"), (1, VERSION + 1, "words of version"), (2, "south", "meant for"),
            (4, "c", "meant for"), (3, "stranger", "no member"), (6, {"place": 1}, "other members"),
            (5, "emptied", "another disk"),
        ):  # fmt: skip
            said = peers.objection([*good[:place], wrong, *good[place + 1 :]], {"b", "stranger"})
            self.assertIn(why, said or "")
        self.assertIn("certificate is for c", peers.objection(good, {"c"}) or "")
        self.assertIn("no hello", peers.objection("x", None) or "")


class Explored(unittest.TestCase):
    def test_planted_errors_are_found(self) -> None:
        for plant, said in (("vote", "lead in epoch"), ("lease", "may act at the same time"),
                            ("fence", "applied after epoch")):  # fmt: skip
            self.assertIn(said, model.explore(3, 20_000, plant)["broken"] or "", plant)

    def test_the_sound_core_shows_none(self) -> None:
        found = model.explore(3, 1500)
        self.assertIsNone(found["broken"])
        self.assertEqual([run["states"] >= 1500 for run in found["runs"]], [True] * 4)


if __name__ == "__main__":
    unittest.main()
