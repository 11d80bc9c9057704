"""Days drawn for the users' bench, and the lines kept of them: `standin/day_draw.py`, `day_hunt.py`."""

from __future__ import annotations

import json
import tempfile
import tomllib
from itertools import pairwise
from pathlib import Path
from typing import Any

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan, MatchesRegex, Not

from standin import day_draw, day_hunt, day_series, day_write

SITE = """
name = "small-gw"
contracts = ["base", "health"]
length_s = 20.0
zones = [{ name = "east" }, { name = "west" }]
services = [{ name = "reads" }, { name = "books" }]
classes = [{ name = "read", service = "reads" }, { name = "book", service = "books" }]
traffic = [{ zone = "east", mix = { read = 2.0, book = 1.0 }, per_s = 100.0, clients = 20 }]
troubles = [{ kind = "core_cut", count = 1, for_s = 5.0, how = "reset" }]

[[day]]
name = "quiet-1"
faults = []
one = 0.99
goal = { floor = 0.49 }
traffic = [{ zone = "east", per_s = 50.0 }]

[[day]]
name = "trouble-1"
faults = [{ at = 3.0, kind = "core_cut" }]
one = 0.9
goal = { floor = 0.4 }
traffic = [{ zone = "east", per_s = 100.0 }]
"""
SEEDS = range(300)
REPORT = {
    "G": 0.5, "breaks": {}, "first": [], "fault": None, "short": [], "missed": [], "unserved": 0.1
}  # fmt: skip
BENCH = """#!/bin/sh
test "$1" = run || exit 2
grep -q 'seed = 7' "$3" && exit 3
test "$4" = --report && cp "$(dirname "$0")/report.json" "$5"
"""


class InFolder(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def site(self, text: str = SITE) -> Path:
        (self.folder / "site.toml").write_text(text)
        return self.folder / "site.toml"


class Drawn(InFolder):
    def days(self) -> list[dict[str, Any]]:
        site = day_draw.read(self.site()).unwrap()
        files = day_write.write(site, SEEDS, self.folder / "drawn")
        files += day_write.write(site, SEEDS, self.folder / "drawn", day_write.Sort.PAIRS)
        return [tomllib.loads(file.read_text()) for file in files]

    def test_all_kinds(self) -> None:
        """Every kind that the site takes comes, with every way, below its heading and inside its ranges."""
        seen: dict[str, set[str]] = {}
        zones, services = {"east", "west"}, {"reads", "books"}
        for day in self.days():
            for side in (day_draw.PLAN, day_draw.FAULTS):
                for told in day[side]:
                    kind = day_draw.KINDS[told["kind"]]
                    self.assertThat(side, Equals(day_draw.under(told)), told)
                    self.assertThat(0 < told["at"] < day["length_s"], Equals(True), told)
                    self.assertThat(
                        {told.get("zone", "east"), told.get("to_zone", "west")} - zones, HasLength(0)
                    )
                    self.assertThat({told.get("service", "reads")} - services, HasLength(0))
                    if day["name"].startswith("drawn") and told["kind"] != "replace_core":
                        for field, (least, most) in kind.ranges.items():
                            self.assertThat(least <= told[field] <= most, Equals(True), told)
                    self.assertThat({"gone", "all"} <= set(told["how"].split()), Equals(False), told)
                    seen.setdefault(told["kind"], set()).update(told["how"].split() or [""])
        self.assertThat(set(seen), Equals(set(day_draw.played_on(day_draw.read(self.site()).unwrap()))))
        self.assertNotIn("idle_race", seen)  # this site hasn't that part of the rules
        for name, found in seen.items():
            kind = day_draw.KINDS[name]
            words = {word for how in kind.hows for word in how.split()}
            words |= {*day_draw.MEETS, *day_draw.TAKEN_BY} - {""} if kind.machines else set()
            self.assertThat(words - found, HasLength(0), name)

    def test_replacements_and_ends(self) -> None:
        """An even seed has core machines replaced; closing faults of all sorts come with and without."""
        ends: dict[bool, set[tuple[str, str]]] = {True: set(), False: set()}
        for number, day in enumerate(self.days()):
            entries = day["plan"] + day["faults"]
            replaced = [told for told in entries if told["kind"] == "replace_core"]
            even = number % 2 == 0
            if even or "replace" not in day["name"]:
                self.assertThat(len(replaced) >= 2, Equals(even), day["name"])
            ends[even].add((day["closing"]["kind"], day["closing"].get("how", "")))
        for found in ends.values():
            self.assertThat(found, Equals(set(day_draw.CLOSINGS)))

    def test_same_again(self) -> None:
        """A seed gives the same day again; the frame is the site's, with the floors of its troubled day."""
        first, again = self.days(), self.days()
        self.assertThat(again, Equals(first))
        for day in first:
            self.assertThat((day["one"], day["goal"]), Equals((0.9, {"floor": 0.4})))
            self.assertThat(day["traffic"][0]["per_s"], LessThan(100.0))
            self.assertThat(day["traffic"][0]["clients"], Equals(20))

    def test_long(self) -> None:
        """A day of three times the length has troubles in each third of it, and replacements where even."""
        site = day_draw.read(self.site()).unwrap()
        for seed in range(20):
            day = day_draw.draw(site, seed, 3)
            entries = day["plan"] + day["faults"]
            thirds = [int(told["at"] * 3 / day["length_s"]) for told in entries]
            self.assertThat(set(thirds), Equals({0, 1, 2}))
            replaced = [told for told in entries if told["kind"] == "replace_core"]
            self.assertThat(len(replaced) >= 6, Equals(seed % 2 == 0))

    def test_planned_work_alone(self) -> None:
        """Nothing unplanned is on any of them, restarts are of proxies; long ones close with a lost disk."""
        site = day_draw.read(self.site()).unwrap()
        kinds = set()
        for seed in range(40):
            day, long = day_draw.planned(site, seed), day_draw.planned(site, seed, 3)
            kinds |= {told["kind"] for told in day["plan"]}
            self.assertThat((day["faults"], long["faults"], "closing" in day), Equals(([], [], False)))
            self.assertThat({told.get("on", "front") for told in long["plan"]}, Equals({"front"}))
            self.assertThat(long["closing"]["kind"], Equals("wipe_after_ack"))
            self.assertThat(len(long["plan"]) > len(day["plan"]), Equals(True))
        self.assertThat(kinds, Equals({kind for kind, _, _ in day_draw.WORK}))

    def test_clients_leave_all_day(self) -> None:
        """On each from the first second to the last, beside other kinds, and within the day."""
        site = day_draw.read(self.site()).unwrap()
        for seed in range(20):
            day = day_draw.leaving(site, seed)
            leaves = [told for told in day["faults"] if told["kind"] == "give_up"]
            longest = max(leaves, key=lambda told: told["for_s"])
            self.assertThat(longest["at"] + longest["for_s"], Equals(day["length_s"]))
            kinds = {told["kind"] for told in day["faults"]}
            self.assertThat(kinds & set(day_draw.LASTING), Not(HasLength(0)))
            self.assertThat(max(told["at"] for told in day["faults"]) < day["length_s"], Equals(True))

    def test_series_of_restarts_overlap_beside_storms_of_changes(self) -> None:
        site = day_draw.read(self.site()).unwrap()
        site["machines"] = [{"class": "front", "count": 40}, {"class": "core", "count": 3}]
        for seed in SEEDS:
            day = day_series.series(site, seed)
            self.assertThat(day, Equals(day_series.series(site, seed)))
            rows = [told for told in day[day_draw.PLAN] if told["kind"] == "roll_term"]
            self.assertThat({told["on"] for told in rows}, Equals({"front"}))
            for first, second in pairwise(rows):
                self.assertThat(second["at"] - first["at"], LessThan(40 * first["gap_s"]))
            changes = sum(told["count"] for told in day[day_draw.PLAN] if told["kind"] == "config_storm")
            self.assertThat(changes, GreaterThan(79))
            kinds = {told["kind"] for told in day[day_draw.FAULTS]}
            self.assertThat(kinds, Equals({"give_up", "srv_slow"} if seed % 2 else set()))

    def test_pairs(self) -> None:
        """Each two of the five points meet within the time that makes them one trouble."""
        days = [day for day in self.days() if day["name"].startswith("paired")]
        self.assertThat({day["name"].rsplit("-", 1)[0] for day in days}, HasLength(len(day_draw.PAIRS)))
        for day in days:
            _, one, other, _ = day["name"].split("-")
            entries = day["plan"] + day["faults"]
            times = {}
            for point in (one, other):
                rows = {(kind, how) for kind, how, _ in day_draw.POINTS[point]}
                times[point] = [told["at"] for told in entries if (told["kind"], told["how"]) in rows]
            gap = min(abs(a - b) for a in times[one] for b in times[other])
            self.assertThat(gap, LessThan(day_draw.PAIR_S), day["name"])

    def test_strange_site(self) -> None:
        """A kind that the table lacks, or a file that is none, is told in a line."""
        strange = day_draw.read(self.site(SITE.replace('"core_cut", count', '"flood", count')))
        self.assertThat(strange.unwrap_err(), Contains("the kind flood is not known"))
        self.assertThat(day_draw.read(self.site("x = 1")).unwrap_err(), Contains("no name"))
        self.assertThat(day_draw.read(self.folder / "none.toml").unwrap_err(), Contains("none.toml"))


class Hunted(InFolder):
    def test_weighed(self) -> None:
        """Each thing that fails the gate is seen, one at a time; an order never answered is told."""
        rule = {"rule": "CONFIG", "at_s": 57.3, "what": "read back: no config"}
        for more, gate in (
            ({}, "passed"),
            ({"breaks": {"CONFIG": 2}, "first": [rule]}, "failed"),
            ({"fault": "a process did not start"}, "failed"),
            ({"short": ["whole day 0.3"]}, "failed"),
            ({"unserved": 0.61}, "failed"),
        ):
            self.assertThat(day_hunt.weigh({**REPORT, **more})[0], Equals(gate), str(more))
        _, rules, words = day_hunt.weigh(
            {**REPORT, "breaks": {"CONFIG": 2}, "first": [rule], "missed": ["an order"]}
        )
        self.assertThat(rules, Equals("CONFIG 2"))
        self.assertThat(words, Equals("57.3 s CONFIG: read back: no config; missed: an order"))

    def test_played(self) -> None:
        """A line is kept of every day, also where the bench gives no report or the time for a day is up."""
        bench, results = self.folder / "bench", self.folder / "found" / "results.txt"
        bench.write_text(BENCH)
        bench.chmod(0o755)
        (self.folder / "report.json").write_text(json.dumps(REPORT))
        for seed in (6, 7):
            file = self.folder / f"small-gw-drawn-{seed}.toml"
            file.write_text(f'name = "drawn-{seed}"\nseed = {seed}\n')
        files = sorted(self.folder.glob("small-gw-*.toml"))
        sites = {"small-gw": self.site(), "small": self.folder / "none"}
        played = day_hunt.hunt(bench, sites, files, 2, 60.0, results, say=len)
        told = [(one.day, one.score, one.gate) for one in played]
        self.assertThat(told[0], Equals(("small-gw-drawn-6", 0.5, "passed")))
        self.assertThat(told[1], Equals(("small-gw-drawn-7", 0.0, "not played")))
        self.assertThat(results.read_text().splitlines(), HasLength(2))
        self.assertThat(
            played[0].line(), MatchesRegex(r".* \| small-gw-drawn-6 \| seed 6 \| 0\.500 \| gate passed")
        )
        self.assertThat(day_hunt.hunt(bench, sites, files, 2, 0.0, results, say=len), HasLength(0))
        (self.folder / "report.json").write_text(json.dumps({**REPORT, "G": None, "fault": "no start"}))
        none = day_hunt.play(bench, sites["small-gw"], files[0], "build")
        self.assertThat((none.score, none.gate, none.why), Equals((0.0, "failed", "fault: no start")))
        seen = {"ends": {"cut, no answer": 2}, "prices": [[day_hunt.WORKED_ON, 7.0, 0.1]]}
        (self.folder / "report.json").write_text(json.dumps({**REPORT, **seen}))
        for more, gate in (("", "failed"), ('faults = [{ at = 1.0, kind = "srv_crash" }]\n', "passed")):
            files[0].write_text(files[0].read_text() + more)
            one = day_hunt.play(bench, sites["small-gw"], files[0], "build")
            self.assertThat((one.cut, one.worked_on, one.gate), Equals((2, 7.0, gate)), more)
        bench.write_text("#!/bin/sh\nexec cat /dev/zero >/dev/null\n")
        late = day_hunt.play(bench, sites["small-gw"], files[0], "build", limit_s=0.05)
        self.assertThat((late.gate, late.why), Equals(("not played", "given up after 0 s")))
