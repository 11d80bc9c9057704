"""Drawn days on which proxies are restarted in series that overlap, beside storms of changes and reloads.

On days with an odd seed clients leave early from the first second to the last, and some machines are slow.
"""

from __future__ import annotations

from random import Random
from typing import Any

from standin.day_draw import FAULTS, PLAN, QUIET_S, amount, entry, frame, leaves_all_day

SERIES = (2, 4)  # of restarts, in a day of the site's own length
TERM_GAP_S = (0.23, 0.48)  # s between two SIGTERMs of a series
AGAIN_PART = (0.2, 0.8)  # of a series until the next begins
PROXIES_KIND = "front"  # how the bench names the class of machines that carry traffic
STORMS, CHANGES = (2, 4), (40, 68)  # storms of a day, changes of a storm
OTHERS = (("hup", (1, 3)), ("config_change", (3, 8)), ("config_race", (0, 1)))
SLOW = (1, 3)  # times that machines are slow, on days with an odd seed


def proxies_of(site: dict[str, Any]) -> int:
    """How many proxies a site has."""
    return sum(row.get("count", 0) for row in site["machines"] if row.get("class") == PROXIES_KIND)


def restarts(rng: Random, site: dict[str, Any], first_s: float, until_s: float) -> list[dict[str, Any]]:
    """Series of restarts, each begun while the one before goes on."""
    rows, at = [], first_s + rng.uniform(QUIET_S, 3.0)
    for _ in range(rng.randint(*SERIES)):
        gap_s = amount(rng, "roll_term", "gap_s", *TERM_GAP_S)
        rows.append({"at": round(at, 2), "kind": "roll_term", "on": PROXIES_KIND, "x": 1, "gap_s": gap_s})
        at += rng.uniform(*AGAIN_PART) * gap_s * max(1, proxies_of(site))
        if at > until_s - QUIET_S:
            break
    return rows


def storms(rng: Random, site: dict[str, Any], first_s: float, until_s: float) -> list[dict[str, Any]]:
    """Hundreds of changes, some at a time."""
    rows = []
    for _ in range(rng.randint(*STORMS)):
        told = entry(rng, site, "config_storm", rng.uniform(first_s + QUIET_S, until_s - QUIET_S))
        told["count"] = rng.randint(*CHANGES)
        rows.append(told)
    return rows


def series(site: dict[str, Any], seed: int, times: int = 1) -> dict[str, Any]:
    """A day of overlapping restarts; `times` as long, with as much more of it."""
    rng = Random(f"series {site['name']} {seed} {times}")
    day = frame(rng, site, seed, "series" if times == 1 else f"series-{times}-long", times)
    span_s = day["length_s"] / times
    for first_s in (span_s * turn for turn in range(times)):
        until_s = first_s + span_s
        day[PLAN] += restarts(rng, site, first_s, until_s) + storms(rng, site, first_s, until_s)
        for name, (least, most) in OTHERS:
            for _ in range(rng.randint(least, most)):
                told = entry(rng, site, name, rng.uniform(first_s + QUIET_S, until_s - QUIET_S))
                if "on" in told:
                    told["on"] = PROXIES_KIND
                day[PLAN].append(told)
        if seed % 2:
            for _ in range(rng.randint(*SLOW)):
                at = rng.uniform(first_s + QUIET_S, until_s - QUIET_S)
                day[FAULTS].append(entry(rng, site, "srv_slow", at))
    if seed % 2:
        day[FAULTS].append(leaves_all_day(rng, day))
    for side in (PLAN, FAULTS):
        day[side].sort(key=lambda told: told["at"])
    return day
