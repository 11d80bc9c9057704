"""Judges a day by what outsiders saw: clients' answers, machines' runs, what operators were acknowledged.

Nothing of the gateway's own state is read. Each check returns what broke, in words; `broken` gathers all.
"""

from __future__ import annotations

import json
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from typing import Any

from standin.exchange_day import Day
from standin.operators import judged

RETRY_RATIO, RETRY_EXTRA, RETRY_S = 0.2, 10.0, 10.0  # the settings' own figures where none are told
CAP, FREE, UNDO_S, UNDO_AFTER = 0.1, 20.0, 5.0, 50
DRAIN_S, SLACK_S = 2.0, 0.01  # s; a request on its way as the time ends


def seconds(told: Any, usual: float) -> float:
    return float(str(told).removesuffix("s")) if told is not None else usual


def mixed(day: Day) -> list[str]:
    """A success without its machine's stamp, or with another request's body."""
    bad = []
    for asked in day.asked:
        if 200 <= asked.status < 300:
            own = asked.stamp.split("/")[1:2]
            if own != asked.ids[-1:] or asked.body != asked.ids[-1].encode():
                bad.append(f"MIXED {asked.ids} {asked.stamp!r}")
    return bad + [f"MIXED {facts}" for _, what, facts in day.events if what == "another's answer"]


def runs(day: Day) -> list[str]:
    """Requests run twice that may run once, run after a promise, or run that nobody sent."""
    sent = {try_id: asked for asked in day.asked for try_id in asked.ids}
    promised = {try_id for asked in day.asked for try_id, _ in asked.refused}
    counts: Counter[str] = Counter()
    bad = []
    for run in day.works.runs:
        if run.ran:
            counts[run.try_id] += 1
            if run.try_id not in sent:
                bad.append(f"UNASKED {run.try_id}")
            elif sent[run.try_id].path != run.path:
                bad.append(f"UNASKED {run.try_id} changed to {run.path}")
    for try_id, count in counts.items():
        asked = sent.get(try_id)
        if asked is not None and not asked.kind.repeatable:
            if count > 1:
                bad.append(f"TWICE {try_id}")
            if try_id in promised:
                bad.append(f"REFUSED {try_id} ran")
    return bad


def budget(day: Day) -> list[str]:
    """Arrivals beyond the first of each request, in each sliding window."""
    terms, bad = day.shape.terms, []
    ratio, extra = terms.get("RetryRatio", RETRY_RATIO), terms.get("RetryExtra", RETRY_EXTRA)
    window = seconds(terms.get("RetryWin"), RETRY_S)
    for kind in day.shape.kinds:
        begun = sorted(
            a.begun for a in day.asked for _ in a.ids if a.kind.service == kind.name
        )  # fmt: skip
        seen: set[str] = set()
        further = []
        for run in day.works.runs:
            if run.service == kind.name:
                if run.try_id in seen:
                    further.append(run.at)
                seen.add(run.try_id)
        worst = 0.0
        for i, at in enumerate(further):
            count = bisect_right(further, at + window) - i
            spans = ((at, at + window), (at - window, at), (at - window / 2, at + window / 2))
            asked = max(bisect_right(begun, b) - bisect_left(begun, a) for a, b in spans)
            worst = max(worst, count - ratio * asked - extra)
        if worst > 0:
            bad.append(f"BUDGET {kind.name} by {worst:.0f}")
    return bad


def drained(day: Day) -> list[str]:
    """Requests that reach a machine too long after its drain was acknowledged."""
    span = seconds(day.shape.terms.get("Drain"), DRAIN_S) + SLACK_S
    acked = {m.iid: m.acked_drain for m in day.machines.values() if m.acked_drain is not None}
    return [
        f"DRAIN {run.iid} {run.at - acked[run.iid]:.2f} s after"
        for run in day.works.runs if run.ran and run.iid in acked and run.at > acked[run.iid] + span
    ]  # fmt: skip


def sends(day: Day, service: str) -> tuple[list[float], list[float], list[float]]:
    """Of a service's last order: times of all requests, of sends to the new build, of its bad answers."""
    orders = [{**f, "at": at} for at, what, f in day.events if what == "ordered" and f["service"] == service]
    order = orders[-1]
    of = [run for run in day.works.runs if run.service == service and run.at >= order["at"]]
    new = [run for run in of if run.build == order["target"]]
    first = {run.try_id: run.at for run in reversed(of)}
    return sorted(first.values()), [run.at for run in new], [run.at for run in new if run.bad]


def exposed(day: Day) -> list[str]:
    """A bad build with more sends than cap and allowance, or sent to too long after its 50th bad answer."""
    terms, bad = day.shape.terms, []
    cap, free = terms.get("CanaryFrac", CAP), terms.get("CanaryExtra", FREE)
    undo_s = seconds(terms.get("Undo"), UNDO_S)
    for _, what, facts in day.events:
        if what != "ordered" or not facts["bad"]:
            continue
        service = facts["service"]
        all_, new, failed = sends(day, service)
        if len(new) > cap * len(all_) + free:
            bad.append(f"EXPOSURE {service}: {len(new)} of {len(all_)}")
        ends = [f["phase"] for _, w, f in day.events if w == "rolled" and f["service"] == service]
        if "done" in ends:
            bad.append(f"EXPOSURE {service}: a bad build is done")
        if len(failed) >= UNDO_AFTER and new and new[-1] > failed[UNDO_AFTER - 1] + undo_s:
            late = new[-1] - failed[UNDO_AFTER - 1]
            bad.append(f"EXPOSURE {service}: sent to {late:.1f} s after its 50th bad answer")
    return bad


def kept(day: Day) -> list[str]:
    """A configuration read that is older than one acknowledged, or other than was put; phases gone back."""
    bad, newest, put = [], -1, {}
    phases: dict[str, str] = defaultdict(str)
    for at, what, facts in day.events:
        if what == "answered" and facts["verb"] == "PUT" and facts["status"] == 200:
            version = int(facts["body"]["Ver"], 16)
            newest, put[version] = max(newest, version), facts["body"]
        elif what == "answered" and facts["verb"] == "GET" and facts["path"] == "/cfg":
            read = json_of(facts["text"])
            version = int(read["Ver"], 16) if read else -1
            if version < newest:
                bad.append(f"CONFIG {at:.2f} read {version}, {newest} was acknowledged")
            elif version in put and read != put[version]:
                bad.append(f"CONFIG {at:.2f} version {version} differs")
        elif what == "rolled":
            before = phases[facts["service"]]
            if before not in ("", "serving", facts["phase"]):
                bad.append(f"LOST {facts['service']} went from {before} to {facts['phase']}")
            phases[facts["service"]] = facts["phase"]
        elif what == "fault":
            bad.append(f"fault {at:.2f} {facts['why']}")
    return bad + [f"fault {why}" for why in day.net.faults]


def json_of(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return None


def broken(day: Day) -> list[str]:
    """All that broke."""
    checks = (mixed, runs, budget, drained, exposed, kept, lambda day: judged(day.sends))
    return [w for check in checks for w in check(day)]


def worth(day: Day, since: float = 0.0, until: float = 1e9) -> dict[str, float]:
    """Figures of a span: shares served, within the aim, refused; tails; arrivals a request."""
    some = [a for a in day.asked if since <= a.begun < until]
    good = [a for a in some if a.answered and 200 <= a.status < 300]
    well = sum(1 for a in good if (a.answered or 0.0) - a.begun <= a.kind.aim_s)
    took = sorted((a.answered or 0.0) - a.begun for a in good)
    arrivals = Counter(run.try_id for run in day.works.runs if since <= run.at < until)
    whole = max(1, len(some))
    return {
        "asked": float(len(some)),
        "within_aim": well / whole,
        "served": len(took) / whole,
        "refused": sum(1 for a in some if a.status in (429, 503)) / whole,
        "p50_s": took[len(took) // 2] if took else 0.0,
        "p99_s": took[int(len(took) * 0.99)] if took else 0.0,
        "arrivals": sum(arrivals.values()) / max(1, len(arrivals)),
        "away_kb": day.works.away_bytes / 1000 / whole,
        "connections": day.works.connected / whole,
    }  # fmt: skip
