"""The core of cells: placement, the map, moves and limits, each without I/O."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from pinward.cells import measure
from pinward.cells.atlas import Atlas, Chart, MapError, Move, Shift, Step, changed
from pinward.cells.limits import Allowance, Limits
from pinward.cells.moves import Mover, Pace, Stage
from pinward.cells.placement import Machine, deal, pick, rank, shared_by_chance, spread_load, units_of
from pinward.command.main import run
from pinward.terms import Kind
from tests.trace import LOOK, Play

CELLS = {f"c{n}": 4 for n in range(8)}
STILL = Chart(1, cells=CELLS, width=1)
CUSTOMERS = [f"customer-{n}" for n in range(2000)]
steady = settings(max_examples=60, deadline=None, derandomize=True, database=None)


class Placement(unittest.TestCase):
    def test_few_customers_move_when_cells_come_and_go(self) -> None:
        before = {name: rank(CELLS, name, 0, 1) for name in CUSTOMERS}
        fewer = {cell: units for cell, units in CELLS.items() if cell != "c3"}
        moved = [name for name in CUSTOMERS if rank(fewer, name, 0, 1) != before[name]]
        self.assertEqual(sorted(moved), sorted(name for name in CUSTOMERS if before[name] == ("c3",)))
        more = {**CELLS, "c8": 4}
        moved = [name for name in CUSTOMERS if rank(more, name, 0, 1) != before[name]]
        self.assertTrue(all(rank(more, name, 0, 1) == ("c8",) for name in moved))
        self.assertAlmostEqual(len(moved) / len(CUSTOMERS), 1 / 9, delta=0.03)

    def test_sizes_follow_units(self) -> None:
        cells = {"small": 2, "large": 6}
        drawn = Counter(rank(cells, name, 0, 1)[0] for name in CUSTOMERS)
        self.assertAlmostEqual(drawn["large"] / len(CUSTOMERS), 0.75, delta=0.03)
        self.assertEqual(units_of({"a": 1.0, "b": 2.5, "c": 0.0}), {"a": 1, "b": 2, "c": 0})

    def test_shuffles_share_whole_homes_as_theory_says(self) -> None:
        homes = [frozenset(rank(CELLS, name, 5, 2)) for name in CUSTOMERS]
        same = sum(home == homes[0] for home in homes[1:]) / (len(homes) - 1)
        self.assertAlmostEqual(same, shared_by_chance(8, 2), delta=0.015)

    def test_a_key_has_one_cell_of_its_customer(self) -> None:
        home = ("c1", "c4", "c6")
        picked = Counter(pick(home, f"k{n}", 0) for n in range(900))
        self.assertEqual(set(picked), set(home))
        self.assertGreater(min(picked.values()), 240)
        self.assertEqual(pick(home, "k", 0), pick(tuple(reversed(home)), "k", 0))

    @steady
    @given(st.lists(st.tuples(st.integers(0, 60), st.sampled_from("abc")), min_size=1, max_size=60),
           st.integers(1, 5), st.integers(0, 60))  # fmt: skip
    def test_nodes_are_dealt_evenly_and_stay(self, told: list, count: int, gone: int) -> None:
        machines = [Machine(f"n{n}", zone) for n, zone in dict(told).items()]
        cells = {f"c{n}": 1 for n in range(count)}
        dealt = deal(machines, cells, {})
        for zone in "abc":
            has = Counter(dealt[m.name] for m in machines if m.zone == zone)
            sizes = [has[cell] for cell in cells]
            self.assertLessEqual(max(sizes) - min(sizes), 1)
        self.assertEqual(deal(machines, cells, dealt), dealt)
        rest = [m for m in machines if m.name != f"n{gone}"]
        again = deal(rest, cells, dealt)
        self.assertLessEqual(sum(again[m.name] != dealt[m.name] for m in rest), 1)

    @steady
    @given(st.lists(st.floats(0.1, 50.0), min_size=1, max_size=40), st.integers(1, 3))
    def test_loads_are_spread_within_slack(self, sizes: list[float], width: int) -> None:
        loads = {f"t{n}": size for n, size in enumerate(sizes)}
        homes, large = spread_load(loads, CELLS, 0, width, slack=1.0)
        used: Counter[str] = Counter()
        for name, size in loads.items():
            home = homes.get(name) or rank(CELLS, name, 0, width)
            for cell in home:
                used[cell] += size / len(home)
        part = 2.0 * sum(sizes) / len(CELLS)
        whole = any(len(homes.get(name, ())) == len(CELLS) for name in large)
        self.assertTrue(whole or max(used.values()) <= part + 1e-6)

    def test_a_customer_larger_than_any_cell_gets_several(self) -> None:
        homes, large = spread_load({"huge": 50.0, "a": 1.0, "b": 1.0}, CELLS, 0, 1, slack=0.2)
        self.assertEqual(large, ["huge"])
        self.assertGreater(len(homes["huge"]), 4)


class Maps(unittest.TestCase):
    def test_what_does_not_fit_is_refused(self) -> None:
        wrong = {
            "no cell takes": {"cells": {"c0": 0}}, "which is no cell": {"nodes": {"n": "x"}},
            "1 to 8 cells": {"width": 9}, "a cell twice": {"homes": {"t": ("c1", "c1")}},
            "moves to where it is": {"moves": {"t": Move(("c1",), ("c1",), Step.WARM)}},
            "must never share": {"homes": {"t": ("c1",), "u": ("c1",)}, "apart": (frozenset("tu"),)},
            "too many cells": {"cells": {"c0": 5000}},
            "leave it with 0 units": {"shift": Shift({"gone": 1}, 1, Step.WARM)},
        }  # fmt: skip
        for why, more in wrong.items():
            with self.assertRaisesRegex(MapError, why):
                replace(STILL, **more).check()  # type: ignore[arg-type]

    def test_older_unlike_and_abrupt_maps_are_refused_and_the_old_one_stays(self) -> None:
        atlas = Atlas(replace(STILL, version=5, homes={"t": ("c1",)}))
        abrupt = [
            ("older", replace(atlas.chart, version=4)),
            ("older", replace(atlas.chart, epoch=3, version=4)),
            ("seed", changed(atlas.chart, seed=1)),
            ("without a hold", changed(atlas.chart, homes={"t": ("c2",)})),
            ("without a hold", changed(atlas.chart, moves={"t": Move(("c1",), ("c2",), Step.MOVED)})),
            ("without a hold", changed(atlas.chart, cells={**CELLS, "c9": 4})),
            ("without a hold", changed(atlas.chart, width=2)),
        ]
        for why, chart in abrupt:
            with self.assertRaisesRegex(MapError, why):
                atlas.take(chart)
        self.assertEqual(atlas.chart.version, 5)
        atlas.take(changed(atlas.chart, cells={**CELLS, "c9": 0}))  # empty: it draws nobody

    def test_plain_data_comes_back_and_torn_data_does_not(self) -> None:
        chart = replace(
            STILL, homes={"t": ("c1", "c2")}, nodes={"n": "c1"}, apart=(frozenset({"t", "u"}),),
            moves={"u": Move(("c3",), ("c4",), Step.WARM, 0.5)}, shift=Shift({"c0": 4}, 1, Step.HOLD),
        )  # fmt: skip
        plain = chart.plain()
        self.assertEqual(Chart.of(plain), chart)
        for torn in ({**plain, "version": 9}, {**plain, "format": 2}, {}, [], {**plain, "sum": ""}):
            with self.assertRaises(MapError):
                Chart.of(torn)

    def test_what_a_txn_may_use_at_each_step(self) -> None:
        def homes(step: Step, kind: Kind, drawn: float, repeat: bool = False) -> tuple[str, ...]:
            move = Move(("c1",), ("c2",), step, 0.5)
            return Atlas(replace(STILL, moves={"t": move})).homes("t", kind, "k", drawn, repeat)

        look, marked, once = Kind.INQUIRY_LIKE, Kind.REFERENCED, Kind.ONCE_ONLY
        self.assertEqual((homes(Step.WARM, look, 0.4), homes(Step.WARM, look, 0.6)), (("c2",), ("c1",)))
        self.assertEqual((homes(Step.WARM, marked, 0.0), homes(Step.WARM, once, 0.0)), (("c1",), ("c1",)))
        self.assertEqual((homes(Step.HOLD, marked, 0.0), homes(Step.HOLD, marked, 0.0, True)), ((), ("c1",)))
        self.assertEqual(homes(Step.HOLD, once, 0.0), ("c1",))
        self.assertEqual(homes(Step.MOVED, marked, 0.9), ("c2",))

    def test_all_that_are_drawn_shift_with_a_hold(self) -> None:
        atlas, more = Atlas(STILL), {**CELLS, "c8": 4}
        mover = next(name for name in CUSTOMERS if rank(more, name, 0, 1) == ("c8",))
        stays = next(name for name in CUSTOMERS if rank(more, name, 0, 1) != ("c8",))
        said = []
        for step in (Step.WARM, Step.HOLD, Step.MOVED, None):
            shift = step and Shift(CELLS, 1, step)
            atlas.take(changed(atlas.chart, cells=more, shift=shift))
            said.append(atlas.homes(mover, Kind.REFERENCED, "k", 1.0))
            self.assertEqual(atlas.homes(stays, Kind.REFERENCED, "k", 1.0), rank(CELLS, stays, 0, 1))
        self.assertEqual(said, [rank(CELLS, mover, 0, 1), (), ("c8",), ("c8",)])


PACE = Pace(memory_s=4.0, txn_s=2.0, warm_s=2.0, together=5, per_s=10.0)


class Moves(unittest.TestCase):
    def settle(self, mover: Mover, now: float, fronts: list[str], until: float) -> float:
        """Steps on, all fronts answering at once, until nothing is under way."""
        while mover.journeys and now < until:
            now += 0.1
            if (chart := mover.step(now)) is not None:
                mover.said(chart, now)
            for front in fronts:
                mover.front_has(front, mover.chart.version)
        return now

    def test_a_move_waits_until_marks_are_forgotten(self) -> None:
        mover = Mover(replace(STILL, homes={"t": ("c1",)}), PACE, 0.0)
        mover.plan("t", ("c2",), 0.0)
        took = self.settle(mover, 0.0, ["f"], 60.0)
        self.assertGreaterEqual(took, PACE.warm_s + PACE.memory_s + PACE.txn_s)
        self.assertEqual(mover.chart.home("t"), ("c2",))

    def test_one_late_front_holds_the_move_up(self) -> None:
        mover = Mover(replace(STILL, homes={"t": ("c1",)}), PACE, 0.0)
        mover.plan("t", ("c2",), 0.0)
        mover.front_has("late", 1)
        for n in range(1, 600):
            mover.front_has("f", mover.chart.version)
            if (chart := mover.step(n / 10)) is not None:
                mover.said(chart, n / 10)
        self.assertEqual(mover.journeys["t"].stage, Stage.WARMING)
        mover.front_gone("late")
        self.settle(mover, 60.0, ["f"], 120.0)
        self.assertEqual(mover.chart.home("t"), ("c2",))

    def test_undone_at_each_stage_and_not_after_arrival(self) -> None:
        for stage in (Stage.PLANNED, Stage.WARMING, Stage.HOLDING, Stage.ARRIVED):
            mover, now = Mover(replace(STILL, homes={"t": ("c1",)}), PACE, 0.0), 0.0
            mover.plan("t", ("c2",), 0.0)
            while mover.journeys["t"].stage is not stage:
                now += 0.1
                if (chart := mover.step(now)) is not None:
                    mover.said(chart, now)
                mover.front_has("f", mover.chart.version)
            self.assertEqual(mover.undo("t"), stage is not Stage.ARRIVED)
            with self.assertRaisesRegex(MapError, "moves already"):
                mover.plan("t", ("c3",), now)
            self.settle(mover, now, ["f"], now + 60.0)
            self.assertEqual(mover.chart.home("t"), ("c2",) if stage is Stage.ARRIVED else ("c1",))

    def test_moves_have_a_rate_and_stop_where_the_new_home_suffers(self) -> None:
        homes = {f"t{n}": ("c1",) for n in range(40)}
        mover = Mover(replace(STILL, homes=homes), PACE, 0.0)
        for name in homes:
            mover.plan(name, ("c2",), 0.0)
        mover.harm_told("c2", 0.5)
        for n in range(1, 50):
            self.assertIsNone(mover.step(n / 10))
        mover.harm_told("c2", 0.0)
        chart = mover.step(5.1)
        assert chart is not None
        self.assertEqual(len(chart.moves), PACE.together)
        mover.said(chart, 5.1)
        mover.front_has("f", chart.version)
        mover.harm_told("c2", 0.5)
        chart = mover.step(6.0)
        assert chart is not None
        self.assertEqual({move.share for move in chart.moves.values()}, {0.0})

    @steady
    @given(st.integers(0, 2**32))
    def test_no_referenced_txn_has_two_homes_whatever_comes_late(self, seed: int) -> None:
        """Fronts with maps of unlike versions, a controller that dies, undos, moves back and forth."""
        chance, now = Random(seed), 0.0
        chart = replace(STILL, homes={f"t{n}": (f"c{n}",) for n in range(3)})
        mover = Mover(chart, PACE, now)
        fronts = {f"f{n}": Atlas(chart) for n in range(4)}
        on_way: list[tuple[float, str, Chart]] = []
        ran: dict[tuple[str, str], tuple[str, float]] = {}  # customer, key: whose nodes know its mark
        for name in fronts:
            mover.front_has(name, chart.version)
        for _ in range(900):
            now += chance.uniform(0.0, 0.3)
            if (fresh := mover.step(now)) is not None:
                mover.said(fresh, now)
                on_way += [(now + chance.choice([0.0, 0.1, 3.0]), name, fresh) for name in fronts]
            for item in [item for item in on_way if item[0] <= now]:
                on_way.remove(item)
                _, name, told = item
                if told.version > fronts[name].chart.version:
                    fronts[name].take(told)
                mover.front_has(name, fronts[name].chart.version)
            customer, key = f"t{chance.randrange(3)}", f"k{chance.randrange(3)}"
            kind = chance.random()
            if kind < 0.02:
                mover = Mover(mover.chart, PACE, now)
                for name, atlas in fronts.items():
                    mover.front_has(name, atlas.chart.version)
            elif kind < 0.05:
                mover.undo(customer)
            elif kind < 0.1 and customer not in mover.journeys:
                target = (f"c{chance.randrange(8)}",)
                if target != mover.chart.home(customer):
                    mover.plan(customer, target, now)
            atlas = chance.choice(list(fronts.values()))
            cells = atlas.homes(customer, Kind.REFERENCED, key, chance.random())
            if cells:
                was = ran.get((customer, key))
                if was is not None and now - was[1] < PACE.memory_s:
                    self.assertEqual(was[0], cells[0])
                ran[customer, key] = (cells[0], now)


class Bounds(unittest.TestCase):
    def test_what_is_not_used_is_lent_and_taken_back(self) -> None:
        limits = Limits(100, {"a": 1, "b": 1}, 0.0, kept=0.2)
        taken = sum(limits.admit(0.0, "t", "a") == 0.0 for _ in range(200))
        self.assertEqual(taken, 90)  # its own 50, and b's but for the 10 that b always keeps
        self.assertEqual(sum(limits.admit(0.0, "u", "b") == 0.0 for _ in range(200)), 10)
        for _ in range(30):
            limits.ended(1.0, "t", "a")
        self.assertEqual(limits.admit(1.0, "t", "a") > 0.0, True)  # b is back at its own first
        self.assertEqual(sum(limits.admit(1.0, "u", "b") == 0.0 for _ in range(200)), 30)

    def test_a_rate_with_a_burst_tells_when_to_come_back(self) -> None:
        limits = Limits(100, {"a": 1}, 0.0, customers={"t": Allowance(rate=10.0, burst=3.0)})
        said = [limits.admit(0.0, "t", "a") for _ in range(4)]
        self.assertEqual(said[:3], [0.0] * 3)
        self.assertAlmostEqual(said[3], 0.1)
        self.assertEqual(limits.admit(0.11, "t", "a"), 0.0)
        self.assertEqual(limits.admit(0.11, "u", "a"), 0.0)

    def test_open_txns_of_a_customer_are_bounded(self) -> None:
        limits = Limits(100, {"a": 1}, 0.0, usual=Allowance(most_open=2))
        self.assertEqual([limits.admit(0.0, "t", "a") > 0 for _ in range(3)], [False, False, True])
        limits.ended(0.1, "t", "a")
        self.assertEqual(limits.admit(0.1, "t", "a"), 0.0)

    @steady
    @given(st.lists(st.tuples(st.booleans(), st.sampled_from("abc")), max_size=300), st.integers(1, 30))
    def test_room_is_never_passed_and_counts_agree(self, steps: list, room: int) -> None:
        limits = Limits(room, {"a": 2, "b": 1, "c": 1}, 0.0)
        held: list[str] = []
        for comes, cell in steps:
            if comes and limits.admit(0.0, cell, cell) == 0.0:
                held.append(cell)
            elif not comes and cell in held:
                held.remove(cell)
                limits.ended(0.0, cell, cell)
            self.assertLessEqual(len(held), room)
            self.assertEqual(limits.open, len(held))
            self.assertEqual(limits.reserved, sum(r.reserve for r in limits.rooms.values()))
            for name, own in limits.rooms.items():
                self.assertEqual(own.open, held.count(name))


class Judged(unittest.TestCase):
    """The Judge among the nodes that cells leave open."""

    def play(self, nodes: dict[str, int], cells: dict[str, str], **told: object) -> Play:
        play = Play(nodes, **told)
        for name, cell in cells.items():
            play.nodes[name].cell = cell
        play.judge.arms(play.now)
        return play

    def spent(self, play: Play, count: int, home: tuple[str, ...] | None) -> Counter[str]:
        sent: Counter[str] = Counter()
        for _ in range(count):
            play.wait(0.02)
            play.take(LOOK, cells=home)
            if play.waiting:
                sent[play.waiting[-1].node.cell] += 1
                play.end()
        return sent

    def test_txns_stay_in_their_cells(self) -> None:
        cells = {f"n{n}": f"c{n % 4}" for n in range(40)}
        play = self.play(dict.fromkeys(cells, 1), cells)
        self.assertEqual(self.spent(play, 50, ("c2",)), {"c2": 50})
        both = self.spent(play, 100, ("c1", "c3"))
        self.assertEqual(set(both), {"c1", "c3"})
        self.assertGreater(min(both.values()), 25)
        self.assertEqual(set(self.spent(play, 100, None)), {"c0", "c1", "c2", "c3"})

    def test_a_cell_without_nodes_reaches_no_other(self) -> None:
        cells = {f"n{n}": f"c{n % 2}" for n in range(8)}
        play = self.play(dict.fromkeys(cells, 1), cells)
        play.take(LOOK, cells=("c9",))
        self.assertEqual(play.waiting, [])
        play.wait(5.0)
        self.assertTrue(any("declin" in line for line in play.lines), play.lines)

    def test_a_trial_reaches_each_cell_by_its_own_nodes(self) -> None:
        cells = {f"n{n}": f"c{n % 2}" for n in range(8)}
        play = self.play({name: 2 if n < 2 else 1 for n, name in enumerate(cells)}, cells)
        play.stage(2, 0, 0.5)
        sent: Counter[tuple[str, int]] = Counter()
        for n in range(300):
            play.wait(0.02)
            play.take(LOOK, cells=(f"c{n % 2}",))
            sub = play.waiting[-1]
            self.assertEqual(sub.node.cell, f"c{n % 2}")
            sent[sub.node.cell, sub.node.release] += 1
            play.end()
        for cell in ("c0", "c1"):
            self.assertGreater(sent[cell, 2], 10)
            self.assertLess(sent[cell, 2], 90)


class Commands(unittest.TestCase):
    def run_it(self, *words: str) -> tuple[int, str]:
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            status = run(["cells", *words])
        return status, out.getvalue()

    def test_a_plan_is_printed_written_once_and_checked(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            where = Path(folder)
            (where / "cells.csv").write_text("cell,capacity\nc1,10\nc2,10\nc3,5\n")
            (where / "nodes.csv").write_text("node,zone\n" + "".join(f"n{n},z{n % 2}\n" for n in range(20)))
            (where / "loads.csv").write_text("customer,load\nhuge,90\nt1,4\nt2,4\nt3,2\n")
            words = [f"--{name}={where / name}.csv" for name in ("cells", "nodes", "loads")]
            written = str(where / "map.json")
            status, said = self.run_it("plan", *words, "--write", written)
            self.assertEqual(status, 0, said)
            self.assertIn("c1: 2 units, 8 nodes", said)
            self.assertIn("huge: larger than 1 cells, spread over", said)
            self.assertEqual(self.run_it("plan", *words, "--write", written)[0], 1)
            self.assertEqual(self.run_it("check", written)[0], 0)
            shown = json.loads(self.run_it("show", "--json", written)[1])
            self.assertEqual([row["nodes"] for row in shown["cells"]], [8, 8, 4])
            torn = Path(written).read_text().replace('"version": 1', '"version": 7')
            Path(written).write_text(torn)
            status, said = self.run_it("check", written)
            self.assertEqual((status, "checksum" in said), (2, True), said)
            (where / "loads.csv").write_text("customer,load\nt1,many\n")
            status, said = self.run_it("plan", *words)
            self.assertEqual((status, "loads.csv:2: load: must be a number" in said), (2, True), said)

    def test_reach_and_moves_are_as_theory_says(self) -> None:
        reached = measure.reach(8, 2, 3000, 1)
        self.assertAlmostEqual(reached["whole"], reached["whole_by_theory"], delta=0.01)
        moved = measure.moved(8, 500, 90, 1)
        self.assertEqual(moved["a_cell_goes"]["customers"], moved["a_cell_goes"]["least_customers"])
        self.assertLessEqual(moved["a_node_goes"]["nodes"], 1)
