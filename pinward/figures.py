"""What the decisions count with: windows of times, outcomes, a record a node, one test. None decides."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Iterable, Sequence
from math import exp, inf, lgamma, log, sqrt
from statistics import fmean, variance
from typing import NamedTuple

from pinward.terms import Node, Product, Result, Submission


class Sample(NamedTuple):
    """One outcome at a node."""

    at: float
    node: Node
    product: Product
    result: Result | None
    fault: bool
    took: float  # s, of this submission alone
    spent: float  # all the time since its txn was taken, as a share of the SLA time
    cold: bool


class Window:
    """Times of the last few seconds, counted when asked."""

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self.times: list[float] = []
        self.old = 0  # so many at the front are past keeping

    def add(self, now: float) -> None:
        self.times.append(now)
        if self.times[self.old] < now - self.keep_s:
            self.old = bisect_left(self.times, now - self.keep_s, self.old)
            if 2 * self.old > len(self.times):
                del self.times[: self.old]
                self.old = 0

    def since(self, start: float) -> int:
        return len(self.times) - bisect_left(self.times, start, self.old)


class Tally:
    """Windows by whatever they are counted for."""

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self.windows: dict[object, Window] = {}

    def add(self, now: float, *things: object) -> None:
        for thing in things:
            if thing not in self.windows:
                self.windows[thing] = Window(self.keep_s)
            self.windows[thing].add(now)

    def since(self, start: float, thing: object) -> int:
        return self.windows[thing].since(start) if thing in self.windows else 0


class Spell:
    """How long something has been high, seen at every beat, and how long it has been low since."""

    def __init__(self, beat_s: float, least_s: float, lasting_s: float) -> None:
        self.beat_s, self.least_s, self.lasting_s = beat_s, least_s, lasting_s
        self.slow_for = self.calm_for = 0.0

    def see(self, high: bool, low: bool) -> str | None:
        """What this beat brings: `began`, `gone` after the least spell and as long a calm, or `lasts`."""
        self.calm_for = self.calm_for + self.beat_s if low else 0.0 if high else self.calm_for
        began = high and not self.slow_for
        self.slow_for += self.beat_s if high else 0.0
        what = "began" if began else None
        if self.slow_for >= self.lasting_s:
            what, self.slow_for = "lasts", 0.0
        elif self.calm_for >= self.least_s and self.slow_for:
            what, self.slow_for = "gone" if self.slow_for >= self.least_s else None, 0.0
        return what


class Rests:
    """How connections fared that were used again after a rest."""

    def __init__(self, kept: int) -> None:
        self.last: deque[tuple[float, bool]] = deque(maxlen=kept)

    def add(self, rest_s: float, broke: bool, most: float) -> tuple[int, int]:
        """How many broke after so long a rest or a longer one, up to `most`, and of how many."""
        self.last.append((rest_s, broke))
        longer = [broke for rest, broke in self.last if rest_s <= rest <= most]
        return sum(longer), len(longer)


class Seat:
    """What this front knows of one node from its own submissions."""

    def __init__(
        self, node: Node, started: float, cold: tuple[float, float], rate_s: float, kept: int, draw: float
    ) -> None:
        self.node, self.draw = node, draw
        self.cold_from, self.cold_s = cold
        self.warm_at = started + self.cold_s if started > 0 else -inf
        self.open: list[Submission] = []
        self.samples: deque[tuple[float, bool, float]] = deque(maxlen=kept)  # when, settled, took over usual
        self.settles = Window(rate_s)
        self.heard = self.aside_at = self.aside_until = -inf
        self.aside_s = 0.0

    def bad_of(self, last: int) -> int:
        return sum(not s[1] for s in list(self.samples)[-last:])

    def warmth(self, now: float) -> float:
        """The least part of its capacity that the node can have reached by now."""
        return 1.0 - (1.0 - self.cold_from) * max(0.0, min(1.0, (self.warm_at - now) / self.cold_s))

    def slowness(self, start: float) -> float:
        """Times against the usual over the settled part of the outcomes, with one usual outcome more."""
        total, good = 1.0, 1
        for at, settled, slow in self.samples:
            if at > start:
                total += slow
                good += settled
        return total / good

    def silent(self, now: float) -> float:
        """For how long the node has owed an answer without a word to this front."""
        return now - max(self.heard, self.open[0].sent) if self.open else 0.0  # the oldest stands first


class Record:
    """The last outcomes of each release and product."""

    def __init__(self, kept: int) -> None:
        self.kept = kept
        self.samples: dict[tuple[int, Product], deque[Sample]] = {}

    def add(self, sample: Sample) -> None:
        key = (sample.node.release, sample.product)
        if key not in self.samples:
            self.samples[key] = deque(maxlen=self.kept)
        self.samples[key].append(sample)

    def keep(self, base: int, number: int) -> None:
        """Forgets all releases before `number` but `base`, if that is known."""
        some = {key: kept for key, kept in self.samples.items() if key[0] >= number or key[0] == base}
        self.samples = some if base else self.samples

    def of(self, number: int) -> list[Sample]:
        return [s for (n, _), kept in self.samples.items() if n == number for s in kept]

    def before(self, number: int) -> list[Sample]:
        return [s for (n, _), kept in self.samples.items() if n < number for s in kept]


def trimmed(samples: list[Sample], part: float, sick: float) -> list[Sample]:
    """The samples without sick nodes', where `sick` of the outcomes since the first fault are faults.

    At most the worst `part` of all nodes are left out.
    """
    since: dict[Node, list[bool]] = {}
    for s in sorted(samples, key=lambda s: s.at):
        if s.fault or since.get(s.node):
            since.setdefault(s.node, []).append(s.fault)
    ill = [node for node, faults in since.items() if sum(faults) >= sick * len(faults)]
    nodes = dict.fromkeys(s.node for s in samples)
    left_out = sorted(ill, key=lambda node: -sum(since[node]))[: int(part * len(nodes))]
    return [s for s in samples if s.node not in left_out]


def low(values: Iterable[float]) -> float:
    """The lower quartile: queues move it less than the middle."""
    ordered = sorted(values)
    return ordered[len(ordered) // 4]


def freshest(samples: list[Sample], usual: dict[Product, float], start: float, least: int) -> list[float]:
    """Times against the usual ones: all since `start`, or the last `least` where those are too few."""
    warm = [s for s in samples if not s.cold and s.product in usual]
    timed = sorted((s.at, s.spent / usual[s.product]) for s in warm)
    latest = [pace for at, pace in timed if at > start]
    return latest if len(latest) > least else [pace for _, pace in timed[-least:]]


def quicker(
    before: dict[Product, list[float]], lately: dict[Product, deque[float]], least: int, times: float
) -> dict[Product, list[float]]:
    """Product by product the times `before`, or those of late where they are so many times quicker."""
    enough = [p for p, last in lately.items() if len(last) >= least]
    clearly = [p for p in enough if times * low(lately[p]) < low(before.get(p) or [inf])]
    return {**before, **{p: list(lately[p]) for p in clearly}}


def paced(
    builds: tuple[list[Sample], ...],
    before: dict[Product, list[float]],
    recent: float,
    fresh: float,
    least: int,
    enough: int,
) -> float:
    """The quicker answers of late against those of `before`, at the quicker build; 1 where too few tell."""
    usual = {p: low(times) / p.sla_s for p, times in before.items() if len(times) >= least}
    paces = (freshest([s for s in build if s.at > recent], usual, fresh, enough) for build in builds)
    return min((low(p) for p in paces if len(p) >= least), default=1.0)


def together(new: list[Sample], old: list[Sample], start: float) -> tuple[list[Sample], list[Sample]]:
    """Those of the same seconds since `start`, up to the last of `old`: a shared trouble is in both."""
    theirs = [s for s in old if s.at > start]
    last = max((s.at for s in theirs), default=start)
    return [s for s in new if start < s.at <= last], theirs


def relative(new: list[Sample], old: list[Sample], least: int) -> list[float]:
    """The new times against the mean of the old at the same product, on warm nodes and without faults."""
    times: dict[Product, list[float]] = {}
    for s in old:
        if not s.cold and not s.fault:
            times.setdefault(s.product, []).append(s.took)
    usual = {p: fmean(took) for p, took in times.items() if len(took) >= least}
    return [s.took / usual[s.product] for s in new if s.product in usual and not s.cold and not s.fault]


def surely(values: list[float]) -> float:
    """Three standard errors below their mean."""
    return fmean(values) - 3 * sqrt(variance(values) / len(values))


def faulty_chance(new: list[Sample], old: list[Sample], least: int, floor: float, times: float) -> float:
    """The least chance, of any product and kind of fault, of so many in `new` at `times` the share in `old`.

    Where `old` has any, one more is added to them: few outcomes tell its share roughly.
    """
    chances = [1.0]
    for product, kind in dict.fromkeys((s.product, s.result) for s in new if s.fault):
        mine, theirs = ([s.result is kind for s in arm if s.product is product] for arm in (new, old))
        if sum(mine) >= least:
            share = times * (sum(theirs) + 1) / len(theirs) if any(theirs) else floor
            share = min(0.5, max(floor, share))
            chances.append(tail_chance(sum(mine), len(mine), share))
    return min(chances)


def sureness(new: list[Sample], old: list[Sample], prior: float, floor: float, times: float) -> float:
    """How many times likelier the faults in `new` are at a bad build than at `times` the share in `old`.

    Kind by kind, all products together. A node counts once, however often it fails: one in trouble fails
    again and again. It holds at every look: a build no worse reaches 1 / a by a chance of `a` at most: Ville.
    """
    most = 0.0
    for kind in dict.fromkeys(s.result for s in new if s.fault):
        nodes = len({s.node for s in new if s.result is kind})
        others, theirs = sum(s.result is not kind for s in new), sum(s.result is kind for s in old)
        share = min(0.5, max(floor, times * (theirs + 1) / len(old))) if theirs else floor
        if nodes > share * (nodes + others):
            most = max(most, likelier(nodes, nodes + others, share, prior))
    return most


def likelier(faults: int, total: int, share: float, prior: float) -> float:
    """Of so many faults: their chance over all shares, drawn from Beta(1, `prior`), over that at `share`."""
    bad = lgamma(faults + 1) + lgamma(total - faults + prior) - lgamma(total + 1 + prior) + log(prior)
    return exp(min(700.0, bad - faults * log(share) - (total - faults) * log(1 - share)))


def mean(values: Sequence[float], usual: float) -> float:
    """Quick, for the hot paths; `usual` where there are none."""
    return sum(values) / len(values) if values else usual


def tail_chance(faults: int, total: int, share: float) -> float:
    """The chance of this many faults or more in `total` outcomes at a true share of `share`."""
    if faults == 0:
        return 1.0
    total_ways = lgamma(total + 1)
    chance = 0.0
    for k in range(faults, total + 1):
        ways = total_ways - lgamma(k + 1) - lgamma(total - k + 1)
        chance += exp(ways + k * log(share) + (total - k) * log(1 - share))
    return chance
