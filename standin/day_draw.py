"""Days for the users' bench, drawn by a seed: troubles of every kind and way, at any moment, more than once.

The bench's own `hunt` draws from a site's troubles alone. A day of `draw` takes all kinds that the bench
knows; one of `paired` puts two of five hard things together at the worst moment, and closes with a fault;
on one of `leaving` clients leave early all day besides.
What a day is played on (places, services, traffic, floors) comes from the site's file. Days with an even
seed replace core machines. All chance comes from the seed.
"""

from __future__ import annotations

import tomllib
from itertools import combinations_with_replacement
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from result import Err, Ok, Result

PLAN, FAULTS = "plan", "faults"
QUIET_S = 1.0  # s of traffic before the first trouble, and without a new one before the closing fault
LENGTH = (0.95, 1.4)  # of the site's own length
LOAD = (0.3, 0.65)  # of the site's traffic: days are many, and what is hunted are rules, not room
ENTRIES = {PLAN: (4, 8), FAULTS: (4, 8)}  # a day, besides replacements
REPLACED = (2, 4)  # core machines, one after another
REPLACE_S = (0.3, 9.0)  # s between two of them; the bench lets one wait while it would lose too many
PAIR_S = 1.2  # s at most between the two things of a pair
ROUNDS = 2  # times that a pair comes in a day

# Words of `how`: what a machine is taken by, what meets its return, how cuts are felt, how far one goes.
TAKEN_BY = ("", "", "leader", "leader", "reader", "seed")
MEETS = ("meet", "race", "hard", "drain")
FELT = ("", "", "reset", "refuse")
REACH = ("", "", "", "across", "all")

CLOSINGS: tuple[tuple[str, str], ...] = (
    ("power_off_all", ""), ("wipe_after_ack", "aimed"), ("kill_all", ""), ("wipe_after_ack", "timed"),
    ("power_off_all", "timed"), ("wipe_after_ack", "taken"), ("kill_all", "timed"), ("wipe_after_ack", ""),
)  # fmt: skip


class Kind(NamedTuple):
    """How entries of a kind are drawn: ranges by field, the ways of `how`, words that may go with it."""

    under: str  # PLAN or FAULTS
    ranges: dict[str, tuple[float, float]]  # count and x of whole things as int
    hows: tuple[str, ...] = ("",)
    machines: bool = False  # `how` may say which machine, and what meets its return
    on: tuple[str, ...] = ()  # classes of machines
    cuts: bool = False  # `how` may say that a cut is felt
    reach: bool = False  # `how` may say across and all
    where: tuple[str, ...] = ()  # fields drawn from the site: zone, to_zone, service, class
    contract: str = "base"  # the bench takes it only on a site that has this part of the rules


LASTS = (1.5, 7.0)  # s of most faults: below and above the bounds that sites have for contact
CORE = ("core", "core", "front")

KINDS: dict[str, Kind] = {
    # traffic
    "burst": Kind(FAULTS, {"x": (1.2, 1.9), "for_s": LASTS}, where=("zone|class",)),
    "shift": Kind(FAULTS, {"share": (0.1, 0.5), "for_s": LASTS}, where=("zone", "to_zone")),
    "retry_abuse": Kind(FAULTS, {"x": (1, 3), "share": (0.1, 0.4), "for_s": LASTS}),
    "give_up": Kind(FAULTS, {"share": (0.1, 0.8), "for_s": LASTS}),
    # servers
    "srv_crash": Kind(FAULTS, {"share": (0.05, 0.25), "for_s": LASTS}, ("", "dark", "gone", "dark gone"),
                      reach=True, where=("service|",)),
    "srv_slow": Kind(FAULTS, {"share": (0.05, 0.25), "x": (2, 6), "for_s": LASTS}, where=("service|",)),
    "srv_grey": Kind(FAULTS, {"share": (0.05, 0.2), "x": (0.2, 0.8), "for_s": LASTS},
                     ("errors", "shed", "busy", "hang", "reset", "mute", "errors one_zone"),
                     where=("service|", "to_zone"), contract="health"),
    "srv_lying_health": Kind(FAULTS, {"share": (0.05, 0.15), "for_s": LASTS},
                             ("errors", "hang", "reset", "bad"), contract="health"),
    "srv_flap": Kind(FAULTS, {"share": (0.05, 0.15), "gap_s": (0.6, 2.0), "for_s": LASTS}, contract="health"),
    "replace_with_reuse": Kind(FAULTS, {"share": (0.05, 0.2)}, ("", "drain", "dark")),
    "release": Kind(PLAN, {"share": (0.2, 0.6), "x": (1, 4), "gap_s": (0.5, 1.5)}),
    "scale_out": Kind(PLAN, {"share": (0.1, 0.4), "gap_s": (0.5, 3.0)}),
    "scale_in": Kind(PLAN, {"share": (0.05, 0.2), "x": (1, 3)}, ("", "", "spot")),
    "idle_race": Kind(FAULTS, {"share": (0.2, 0.6), "x": (200, 500), "for_s": LASTS}, contract="pool"),
    "answer_lost": Kind(FAULTS, {"share": (0.2, 0.7), "x": (0.01, 0.08), "for_s": LASTS}, ("", "reset"),
                        where=("service|",)),
    "garble": Kind(FAULTS, {"share": (0.2, 0.7), "x": (0.01, 0.05), "for_s": LASTS},
                   ("", "extra", "extra late"), where=("service|",)),
    # machines of the system
    "node_kill": Kind(FAULTS, {"count": (1, 2), "for_s": (0.5, 6.0)}, ("", "power"), True, CORE),
    "roll_term": Kind(PLAN, {"x": (1, 2), "gap_s": (0.6, 3.0)}, ("", "busy", "remove"), True, CORE),
    "herd_kill": Kind(FAULTS, {"share": (0.3, 0.6), "for_s": (0.5, 3.0)}, ("", "power", "taken"), True,
                      CORE),
    "node_freeze": Kind(FAULTS, {"count": (1, 2), "for_s": (0.3, 8.0)}, ("",), True, CORE),
    "node_slow": Kind(FAULTS, {"count": (1, 2), "x": (2, 6), "for_s": LASTS}, ("",), True, CORE),
    "clock_step": Kind(FAULTS, {"x": (500, 60_000), "share": (0.1, 0.5), "for_s": LASTS},
                       ("", "back", "ahead")),
    "hup": Kind(PLAN, {"share": (0.2, 1.0), "gap_s": (0.2, 2.0)}, on=CORE),
    "reset_conns": Kind(FAULTS, {"share": (0.1, 0.5), "x": (0.3, 1.0)}, ("",), True, CORE),
    "seed_turnover": Kind(PLAN, {}),
    # machines with the state
    "replace_core": Kind(FAULTS, {"x": (0.5, 3.0)}, ("", "", "leader")),
    "after_ack_kill": Kind(FAULTS, {"count": (1, 2), "for_s": (0.5, 6.0)},
                           ("", "kill", "timed", "taken"), True),
    "after_ack_wipe": Kind(FAULTS, {"count": (1, 2), "for_s": (0.5, 6.0)}, ("", "timed", "taken"), True),
    "disk_slow": Kind(FAULTS, {"count": (1, 1), "x": (5, 60), "for_s": LASTS}, ("",), True),
    "disk_full": Kind(FAULTS, {"count": (1, 1), "for_s": LASTS}, ("",), True),
    "disk_stall": Kind(FAULTS, {"count": (1, 1), "for_s": (0.3, 7.0)}, ("",), True),
    "core_cut": Kind(FAULTS, {"count": (1, 1), "for_s": (0.5, 25.0)}, ("", "one_way", "seeds", "both"),
                     machines=True, cuts=True),
    "node_cut": Kind(FAULTS, {"share": (0.1, 0.3), "for_s": LASTS}, ("", "servers"), True, cuts=True),
    # the operator
    "config_change": Kind(PLAN, {}, ("route", "weights", "timeout", "tenant", "quota", "idle")),
    "config_storm": Kind(PLAN, {"count": (10, 60), "gap_s": (0.04, 0.3)},
                         ("", "route", "weights", "idle")),
    "config_race": Kind(PLAN, {"count": (1, 8), "gap_s": (0.2, 1.2)}),
    "bad_config": Kind(PLAN, {"count": (1, 4), "gap_s": (0.3, 1.0)},
                       ("cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
                        "old_version", "same_version", "stale_match", "shared_key")),
    "big_config": Kind(PLAN, {"count": (50, 400)}),
    "rollout_good": Kind(PLAN, {"for_s": (12.0, 17.0)}, where=("service",)),
    "rollout_bad": Kind(PLAN, {"for_s": (12.0, 17.0), "share": (0.3, 0.6), "gap_s": (1.0, 3.0)},
                        ("errors", "slow", "under_load", "one_class", "late"), where=("service",)),
    "ack_lost": Kind(FAULTS, {"x": (0.3, 0.9), "for_s": (2.0, 10.0)}),
}  # fmt: skip
WHOLE = ("count",)
WHOLE_X = ("release", "roll_term", "retry_abuse")  # kinds whose x counts things
PLANNED = {"kind": "replace_core", "how": "planned"}  # the same kind, under PLAN

# The five things of a pair: entries as (kind, how, fields), the first two at the moment of the pair.
POINTS: dict[str, tuple[tuple[str, str, dict[str, Any]], ...]] = {
    "cut": (
        ("core_cut", "leader race", {"for_s": 6.0}), ("core_cut", "leader one_way meet", {"for_s": 12.0}),
        ("node_freeze", "leader race", {"on": "core", "count": 1}), ("core_cut", "both", {"for_s": 5.0}),
        ("core_cut", "leader refuse hard", {"for_s": 20.0}), ("core_cut", "seeds drain", {"for_s": 6.0}),
    ),
    "number": (
        ("config_race", "", {"count": 6, "gap_s": 0.2}), ("ack_lost", "", {"x": 0.8, "for_s": 8.0}),
        ("bad_config", "old_version", {"count": 3, "gap_s": 0.4}),
        ("bad_config", "same_version", {"count": 3, "gap_s": 0.4}), ("rollout_good", "", {}),
    ),
    "replace": (
        ("replace_core", "", {"x": 1.0}), ("replace_core", "planned", {}),
        ("replace_core", "leader", {"x": 2.5}), ("replace_core", "planned", {"x": 0.5}),
        ("replace_core", "", {"x": 0.5}),
    ),
    "restart": (
        ("config_storm", "", {"count": 60, "gap_s": 0.05}), ("disk_slow", "leader", {"x": 40.0, "count": 1}),
        ("node_kill", "leader race", {"on": "core", "count": 1}),
        ("after_ack_wipe", "", {"count": 1}), ("roll_term", "hard", {"on": "core", "x": 1, "gap_s": 1.0}),
        ("after_ack_kill", "timed", {"count": 1}), ("herd_kill", "power meet", {"on": "core", "for_s": 1.0}),
    ),
    "caller": (
        ("garble", "extra late", {"share": 0.6, "x": 0.04}),
        ("answer_lost", "reset", {"share": 0.6, "x": 0.06}),
        ("roll_term", "busy", {"on": "front", "x": 1, "gap_s": 1.0}),
        ("hup", "", {"on": "front", "share": 1.0}),
        ("reset_conns", "", {"on": "front", "share": 0.4, "x": 0.8}), ("node_kill", "hard", {"on": "front"}),
    ),
}  # fmt: skip
PAIRS = tuple(combinations_with_replacement(POINTS, 2))

# Days of planned work alone: kinds, their ways, how many of each in a day of the site's own length.
WORK: tuple[tuple[str, tuple[str, ...], tuple[int, int]], ...] = (
    ("config_change", ("route", "weights", "timeout", "idle", "idle"), (4, 16)),
    ("config_storm", ("", "route", "weights", "idle"), (0, 4)), ("hup", ("",), (0, 3)),
    ("roll_term", ("", "busy"), (0, 2)), ("release", ("",), (0, 1)), ("scale_in", ("",), (0, 1)),
    ("big_config", ("",), (0, 1)), ("config_race", ("",), (0, 2)),
)  # fmt: skip
# Days on which clients leave all day: what makes machines' work last, so that it can outlive its client.
LEAVE_LOAD = (0.7, 1.1)  # of the site's traffic
LASTING = ("srv_slow", "burst", "srv_slow", "answer_lost", "node_freeze", "retry_abuse")
LOST_LAST = {"kind": "wipe_after_ack", "down_s": 1.0, "how": "taken"}  # closes long days of planned work

NEEDED = ("name", "contracts", "length_s", "zones", "services", "classes", "traffic", "day")  # of a site
HEAD = ("slot", "one", "zero", "goal", "floor_classes", "floor_zones", "labels", "wall", "small")


def read(path: Path) -> Result[dict[str, Any], str]:
    """A site's file; an error is a line with what is missing, or a kind that the table has not."""
    try:
        site = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as why:
        return Err(f"{path}: {why}")
    missing = [name for name in NEEDED if name not in site]
    if missing:
        return Err(f"{path}: no {missing[0]}: this is no site file")
    strange = [t["kind"] for t in site.get("troubles", ()) if t["kind"] not in KINDS]
    return Err(f"{path}: troubles: the kind {strange[0]} is not known here") if strange else Ok(site)


def played_on(site: dict[str, Any]) -> list[str]:
    """The kinds that the bench takes for a site."""
    return [name for name, kind in KINDS.items() if kind.contract in site["contracts"]]


def amount(rng: Random, kind: str, field: str, least: float, most: float) -> float:
    if field in WHOLE or (field == "x" and kind in WHOLE_X):
        return rng.randint(int(least), int(most))
    return float(f"{rng.uniform(least, most):.3g}")


def place(rng: Random, site: dict[str, Any], field: str) -> dict[str, str]:
    """One of a site's places, services or kinds of requests; `a|b` is either, `a|` is a or none told."""
    names = {"zone": "zones", "to_zone": "zones", "service": "services", "class": "classes"}
    chosen = rng.choice(field.split("|"))
    return {chosen: rng.choice(site[names[chosen]])["name"]} if chosen else {}


def way(rng: Random, kind: Kind) -> str:
    words = [rng.choice(kind.hows)]
    if kind.machines:
        words.append(rng.choice(TAKEN_BY))
    if kind.cuts:
        words.append(rng.choice(FELT))
    if kind.reach:  # a service of which all are gone for good serves no request: a day of that says nothing
        words.append(rng.choice(REACH if "gone" not in words[0].split() else REACH[:-1]))
    if kind.machines:
        words += [word for word in MEETS if rng.random() < 0.25]
    return " ".join(word for word in words if word)


def entry(rng: Random, site: dict[str, Any], name: str, at: float) -> dict[str, Any]:
    """An entry of a kind; field by field as its row says."""
    kind = KINDS[name]
    told: dict[str, Any] = {"at": round(at, 2), "kind": name, "how": way(rng, kind)}
    if kind.on:
        told["on"] = rng.choice(kind.on)
    for field, (least, most) in kind.ranges.items():
        told[field] = amount(rng, name, field, least, most)
    for field in kind.where:
        told |= place(rng, site, field)
    if told.get("to_zone") == told.get("zone", ""):
        others = [zone["name"] for zone in site["zones"] if zone["name"] != told["zone"]]
        told["to_zone"] = rng.choice(others or [told["zone"]])
    return told


def replacements(rng: Random, first_s: float, length_s: float) -> list[tuple[str, dict[str, Any]]]:
    """Core machines that go one after another, planned or not, from any moment of a span of time on."""
    rows, at, last = [], first_s + rng.uniform(QUIET_S, length_s / 3), first_s + length_s - QUIET_S
    for _ in range(rng.randint(*REPLACED)):
        if rng.random() < 0.5:
            rows.append((PLAN, {"at": round(at, 2), **PLANNED}))
        else:
            rows.append((FAULTS, entry(rng, {}, "replace_core", at)))
        at = min(at + rng.uniform(*REPLACE_S), last)
    return rows


def under(told: dict[str, Any]) -> str:
    return PLAN if "planned" in told["how"].split() else KINDS[told["kind"]].under


def frame(
    rng: Random, site: dict[str, Any], seed: int, name: str, times: int = 1,
    loads: tuple[float, float] = LOAD,
) -> dict[str, Any]:  # fmt: skip
    """A day without troubles: traffic scaled from the site's, floors of its troubled day of nearest load."""
    scale = rng.uniform(*loads)
    traffic = [{**row, "per_s": round(row["per_s"] * scale, 1)} for row in site["traffic"]]
    load = sum(row["per_s"] for row in traffic)
    troubled = [day for day in site["day"] if day.get(FAULTS)] or site["day"]
    near = min(troubled, key=lambda day: abs(sum(row["per_s"] for row in day["traffic"]) - load))
    head = {field: near[field] for field in HEAD if field in near}
    length_s = round(site["length_s"] * rng.uniform(*LENGTH) * times, 1)
    head |= {"name": f"{name}-{seed}", "seed": rng.getrandbits(28), "light": False, "length_s": length_s}
    return {**head, PLAN: [], FAULTS: [], "traffic": traffic}


def ended(
    rng: Random, day: dict[str, Any], number: int, rows: list[tuple[str, dict[str, Any]]]
) -> dict[str, Any]:
    """The day with its entries in order of time and its closing fault."""
    kind, how = CLOSINGS[number % len(CLOSINGS)]
    day["closing"] = {
        "kind": kind,
        "down_s": round(rng.uniform(0.4, 2.0), 2),
        **({"how": how} if how else {}),
    }
    for side in (PLAN, FAULTS):
        day[side] = sorted((told for where, told in rows if where == side), key=lambda told: told["at"])
    return day


def draw(site: dict[str, Any], seed: int, times: int = 1) -> dict[str, Any]:
    """A day of all kinds. An even seed has core machines replaced; closing faults take turns by the seed.

    A day `times` as long has so many times the troubles: through all core machines, and round again.
    """
    rng = Random(f"drawn {site['name']} {seed} {times}")
    day = frame(rng, site, seed, "drawn" if times == 1 else f"drawn-{times}-long", times)
    span_s = day["length_s"] / times
    rows: list[tuple[str, dict[str, Any]]] = [(PLAN, {"at": 1.0, "kind": "config_change", "how": "route"})]
    for first_s in (span_s * turn for turn in range(times)):
        rows += replacements(rng, first_s, span_s) if seed % 2 == 0 else []
        rolled = False
        for side, (least, most) in ENTRIES.items():
            names = [name for name in played_on(site) if KINDS[name].under == side and name != "replace_core"]
            for _ in range(rng.randint(least, most)):
                name = rng.choice(names)
                if name.startswith("rollout") and rolled:  # a second may not start while the first goes on
                    name = "config_race"
                rolled = rolled or name.startswith("rollout")
                rows.append((side, entry(rng, site, name, first_s + rng.uniform(QUIET_S, span_s - QUIET_S))))
    return ended(rng, day, seed // 2, rows)


def paired(site: dict[str, Any], seed: int) -> dict[str, Any]:
    """A day that puts two of the five points together, over and over, with changes all day."""
    rng = Random(f"paired {site['name']} {seed}")
    pair = PAIRS[seed % len(PAIRS)]
    day = frame(rng, site, seed, "-".join(("paired", *pair)))
    first = day["length_s"] * 0.1
    rows: list[tuple[str, dict[str, Any]]] = []
    for turn in range(ROUNDS):
        at = first + turn * (day["length_s"] - first) / ROUNDS + rng.uniform(0.0, 3.0)
        for point in pair:
            for name, how, fields in rng.sample(POINTS[point], 2):
                told = entry(rng, site, name, min(at + rng.uniform(0.0, PAIR_S), day["length_s"] - QUIET_S))
                told |= {"how": how, **fields}
                rows.append((under(told), told))
    if seed % 2 == 0 and "replace" not in pair:
        rows += replacements(rng, 0.0, day["length_s"])
    for at in range(1, int(day["length_s"]), 4):
        rows.append(
            (PLAN, {"at": at + 0.5, "kind": "config_change", "how": rng.choice(("idle", "route", "timeout"))})
        )
    return ended(rng, day, seed // len(PAIRS) + seed, rows)


def planned(site: dict[str, Any], seed: int, times: int = 1) -> dict[str, Any]:
    """A day of planned work alone, on which no request may end unanswered; `times` as long, with as much more
    of it and, where longer than the site's own, a lost disk behind its end."""
    rng = Random(f"planned {site['name']} {seed} {times}")
    day = frame(rng, site, seed, "planned" if times == 1 else f"planned-{times}-long", times)
    span_s = day["length_s"] / times
    for first_s in (span_s * turn for turn in range(times)):
        for name, hows, (least, most) in WORK:
            for _ in range(rng.randint(least, most)):
                told = entry(rng, site, name, first_s + rng.uniform(QUIET_S, span_s - QUIET_S))
                told["how"] = rng.choice(hows)
                if "on" in told:
                    told["on"] = "front"
                day[PLAN].append(told)
    day[PLAN].sort(key=lambda told: told["at"])
    if times > 1:
        day["closing"] = dict(LOST_LAST)
    return day


def leaves_all_day(rng: Random, day: dict[str, Any]) -> dict[str, Any]:
    """Clients that leave early from a day's first second to its last."""
    share = amount(rng, "give_up", "share", *KINDS["give_up"].ranges["share"])
    return {"at": QUIET_S, "kind": "give_up", "share": share, "for_s": day["length_s"] - QUIET_S}


def leaving(site: dict[str, Any], seed: int, times: int = 1) -> dict[str, Any]:
    """A day of all kinds on which clients leave early from its first second to its last, and machines are
    slow or full at times; `times` as long, with as much more of it."""
    rng = Random(f"leaving {site['name']} {seed} {times}")
    day = frame(rng, site, seed, "leaving" if times == 1 else f"leaving-{times}-long", times, LEAVE_LOAD)
    rows = [(side, told) for side in (PLAN, FAULTS) for told in draw(site, seed, times)[side]]
    rows = [(side, told) for side, told in rows if told["at"] < day["length_s"] - QUIET_S]
    rows.append((FAULTS, leaves_all_day(rng, day)))
    for _ in range(times):
        for name in rng.sample(LASTING, 3):
            rows.append((FAULTS, entry(rng, site, name, rng.uniform(1.0, day["length_s"] - QUIET_S))))
    return ended(rng, day, seed, rows)
