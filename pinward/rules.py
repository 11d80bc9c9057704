"""All decisions of pinward, for one front: routing, health, resends, declines, the trial share and votes.

The caller makes one `Judge` a front, from `Terms` and a seed, and calls it for whatever happens: `fleet`,
`take`, `opened`, `ended`, `left`, `news`, `counted`, `wrong`, and `wake` no later than `wake_at`.
Every call takes the time first; what is to be done then lies in `orders`, for the caller to carry out and
clear. Types and verbs of the calls are in `pinward/terms.py`; nothing here knows how they travel.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from math import ceil, inf, sqrt
from random import Random
from statistics import fmean, variance

from pinward.figures import Sample, Seat, Window, freshest, low, relative, tail_chance, trimmed
from pinward.terms import Count, Group, Kind, Listing, Node, Phase, Product, Release, Reply, Result, State
from pinward.terms import Submission, Terms, Txn, Verb, Verdict

# The design's loop.
PERIOD_S = 0.2  # s; the loop's period, as the design page starts it
GAIN_P, GAIN_I, GAIN_D = 4.0, 0.2, 1.0  # gains of the source's map-search run
AIM_LATENCY = 0.6  # of the SLA time; a mean above it leaves too little room for the tail
AIM_FAULTS = 0.1  # share; two in twenty outcomes bring the error to nought
AIM_PACE, CALM = 1.5, 1.2  # times the usual before the trial: slowness of all at most, and where it is over
LOOP_S = 3.0  # s; the loop looks at outcomes this fresh
PACE_S, SETTLED_S = 2.0, 1.0  # s; slowness is seen on times this fresh, and lasts or is over this long
LASTING_S = 5.0  # s; slowness this long counts once more, or is the new usual where the trial had no traffic
RATE_MOST = 2.0  # 1/s; bound of the error's rate, so that one outcome does not shut the trial for long
CROWD = 1.3  # times equal load: how far trial nodes may be filled beyond the earlier ones on a calm fleet
# Votes.
LEAST = 20  # outcomes; the design's least sample
LEAST_PER_S, LEAST_EVER = 3.0, 4  # outcomes; what each second in the stage takes off, and how far down
FAULTS_LEAST = 3  # faults; two may be one bad second of one machine
DOUBT, FAULT_FLOOR = 0.016, 0.005  # chance, over all fronts, of blaming a build; share put down to chance
SCOUT_S, SCOUT_MOST = 5.0, 0.5  # s to the least sample, or few fronts judge for all; their share at most
TRIM_PART, SPREAD_LEAST = 0.34, 2  # of the nodes; faults that must be left without the worst of them
SLOWER, SLOW_LEAST = 2.2, 12  # times the earlier build's: "considerably slower"; outcomes it takes to tell
WHOLE = 0.9  # of the units before the trial: what must be there, warm, for slowness to tell
STRIKES, ALIKE = 2, 0.8  # slownesses of all for a vote back; unless the new build is this much quicker
WATCH_S = 15.0  # s; how long a released build is watched
VOTE_GAP_S = 0.6  # s; between votes at the least, spread by chance up to twice that
KEPT = 300  # outcomes kept for each build and product: some ten seconds of a large front
# Health and routing.
RECENT_S = 8.0  # s; a node's outcomes older than this say nothing of it now
ASIDE_S = (0.8, 6.0)  # s; first and longest time set aside
ASIDE_PART = 0.34  # of an arm's nodes; no more are set aside, so that the rest is not overrun
FULL_S = (0.08, 1.5)  # s; first and longest wait before a node that turned a txn away is tried again
OPEN_ALL = 4.0  # open submissions a node that all fronts together may always have, or none would learn
OPEN_S = 0.5  # of the mean SLA time; open submissions are bounded to what a node settles in that time
AWAY = 1.2  # a node of another zone must look this much better
MET = 0.8  # a node that met the key lately may look this much worse
QUIET, QUIET_SLA = 3.0, (0.6, 0.6)  # usual times of silence, and parts of SLA: a node is taken for lost
HASTE = 1.3  # usual times that must be left of the SLA time for a submission to be worth it
USED_S, USED_LEAST = 4.0, 4  # s between outcomes at each node used, so that its state is known; nodes at least
CHANGE_S = 3.0  # s; how often one of the nodes used is exchanged, where not all are
COLD_PART = 0.6  # of the fall multiple, against warm nodes' usual load: the rest is for chance and troubles
CREDIT_MOST = 1.5  # txns; what the trial may be owed, so that it gets no rush after a pause
DRAWS = 6  # draws to find two nodes that may take a txn; enough where one in three may
COLD_DRAWS = 3  # draws to find a cold node that may take a txn
SPENT_OF = 8  # outcomes; enough to tell slow answers from one slow txn
RATE_S = 3.0  # s; rates are counted over this
OVER = 1.3  # times its share of what comes in: above it a customer is taken to be over its share
EDGE_S = 0.011  # s; two batches' slack wherever a rule counts over a window

MOVES = {
    State.TAKEN: (State.HELD, State.LEFT),
    State.HELD: (State.SUBMITTED, State.DECLINED, State.VOIDED, State.LEFT),
    State.SUBMITTED: (State.HELD, State.SETTLED, State.VOIDED, State.LEFT),
}
NEVER_RAN = (Result.TURNED_AWAY, Result.UNREACHABLE, Result.NEVER_SENT)


def move(txn: Txn, state: State) -> None:
    """The one place where a txn changes its state."""
    if state not in MOVES.get(txn.state, ()):
        raise ValueError(f"a txn cannot go from {txn.state.name} to {state.name}")
    txn.state = state


class Judge:
    """One front's decisions."""

    def __init__(self, terms: Terms, seed: int, now: float) -> None:
        self.chance, self.started, self.zone = Random(seed), now, terms.zone
        self.must_ask, self.ask_most_s = terms.must_ask, terms.ask_within_s / 4
        self.cold_from, self.cold_s = terms.cold_from, terms.cold_s
        self.cold_load = COLD_PART * terms.fall_multiple
        self.cold: list[Seat] = []  # ready ones that may still be cold
        self.cold_credit, self.cold_part, self.most_units = self.chance.random(), 0.0, 0.01
        self.max_submissions, self.may_recall = terms.max_submissions, terms.may_recall
        self.defer_s = terms.max_defer_s if terms.may_defer else 0.0
        self.over_worth = terms.over_share_worth
        self.caps, self.shares, self.guarded = terms.stage_caps, terms.stage_shares, terms.guarded_stages
        self.cap_free, self.cap_s, self.by_product = terms.cap_free, terms.cap_window_s, terms.cap_by_product
        self.keys_stay, self.warm_keys = terms.keys_stay, terms.warm_keys
        self.vote_life_s, self.clocked = terms.vote_life_s, terms.on_votes == 0
        self.least_ever = LEAST_EVER // max(1, terms.on_votes)
        # The votes that send a build back carry the doubt together: many small fronts judge from a fault each,
        # a lone vote among many fronts from more. Harm: one failing node that all of them meet.
        votes = max(1, terms.back_votes)
        self.doubt = (DOUBT / terms.fronts) ** (1.0 / votes)
        self.faults_least, self.slow_least = ceil(FAULTS_LEAST / votes), max(LEAST_EVER, LEAST // votes)
        self.open_least = max(1.0, OPEN_ALL / terms.fronts)
        self.open_s = OPEN_S * fmean(p.sla_s for p in terms.products)
        self.seats: dict[Node, Seat] = {}
        self.trial, self.older = [], []  # the ready seats on trial and the others
        self.used, self.used_most, self.change_at = ([], []), USED_LEAST, now  # of these, the warm ones in use
        self.asked, self.ask_at, self.watching = 0, -inf, False
        self.held: list[tuple[float, float, float, Txn]] = []  # dearest, then newest first
        self.takes = {p: Window(self.cap_s + RATE_S) for p in (None, *terms.products)}
        self.customer_takes = {c: Window(RATE_S) for c in terms.customers}
        self.trial_sends: dict[tuple[int, Product | None], Window] = {}
        self.evidence: dict[tuple[int, Product], deque[Sample]] = {}
        self.counts, self.wrongs = deque(maxlen=60), deque(maxlen=60)  # by platform and clients
        self.lately: dict[Product, deque[float]] = {p: deque(maxlen=60) for p in terms.products}
        self.before: dict[Product, list[float]] = {}  # times just before the trial
        self.key_floor, self.key_node = {}, {}  # by key: newest release and last node
        self.settles = Window(RATE_S)
        self.open: list[Submission] = []
        self.spent: deque[float] = deque(maxlen=SPENT_OF)  # of the last outcomes, as shares of the SLA time
        self.release: Release | None = None
        self.stage_at = self.vote_next = self.wake_at = now
        self.share, self.integral, self.error, self.bound = 0.0, 0.0, None, False
        self.rate, self.lone, self.scout, self.boost = 0.0, terms.on_votes == 1, 1.0, 1.0
        self.credit = self.chance.random()  # of the trial: its share of each txn taken, less what was sent
        self.pressed, self.strikes, self.slow_for, self.calm_for = False, 0, 0.0, 0.0
        self.vote, self.vote_at, self.crossed, self.carried = None, -inf, False, 0.0
        self.orders: list[tuple] = []

    def fleet(self, now: float, lines: list[Listing], whole: bool, old: bool) -> None:
        """News of the list: changes, or all of it (`old`: as this front last held it, maybe out of date)."""
        listed = {line.node for line in lines}
        for node in self.seats:
            node.ready = node.ready and (not whole or node in listed)
        for line in lines:
            node, seat = line.node, self.seats.get(line.node)
            if seat is None or node.started != line.started or node.release != line.release:
                warm_at = line.started + self.cold_s if line.started > 0 else -inf
                fresh = Seat(node, warm_at, RATE_S, self.chance.random())
                fresh.open, self.seats[node] = seat.open if seat else [], fresh
            node.release, node.zone, node.cell = line.release, line.zone, line.cell
            node.units, node.started, node.ready = max(line.units, 0.01), line.started, line.ready
        self.arms(now)
        if not old:
            self.watching, self.asked = True, 0

    def list_failed(self, now: float) -> None:
        """A call to the list failed: ask again after a growing, randomly spread wait."""
        self.watching, self.asked = False, self.asked + 1
        self.ask_at = now + self.chance.uniform(0.3, 1.0) * min(0.3 * 2**self.asked, self.ask_most_s)

    def take(self, now: float, txn: Txn) -> None:
        for window in (self.takes[None], self.takes[txn.product], self.customer_takes.get(txn.customer)):
            if window is not None:
                window.add(now)
        self.cold_credit = min(1.0, self.cold_credit + self.cold_part * self.boost)
        if self.trial:  # what cold nodes are due of the share is theirs alone
            self.credit = min(CREDIT_MOST, self.credit + max(0.0, self.share - self.cold_part) * self.boost)
        self.seek(now, txn)

    def ended(self, now: float, sub: Submission, result: Result, took: float, final: bool) -> None:
        """A submission ended; `final` says that its txn is over, through it or before."""
        txn, seat, sub.result = sub.txn, self.seats[sub.node], result
        seat.open.remove(sub)
        self.open.remove(sub)
        self.learn(now, sub, seat, took)
        if txn.state is State.SUBMITTED and final:
            move(txn, State.SETTLED if result is Result.SETTLED else State.VOIDED)
        elif txn.state is State.SUBMITTED and all(s.result for s in txn.submissions):
            self.seek(now, txn)
        if result is Result.SETTLED and txn.key is not None:
            self.key_node[txn.key] = sub.node
            self.key_floor[txn.key] = max(sub.node.release, self.key_floor.get(txn.key, 0))
        self.pump(now)

    def opened(self, now: float, sub: Submission) -> None:
        self.seats[sub.node].heard = now

    def left(self, now: float, txn: Txn) -> None:
        if txn.state in MOVES:
            move(txn, State.LEFT)

    def wake(self, now: float) -> None:
        """The loop's beat, every period."""
        self.wake_at = now + PERIOD_S
        self.loop(now)
        self.ballot(now)
        if self.must_ask and not self.watching and now >= self.ask_at:
            self.ask_at = now + self.ask_most_s
            self.orders.append((Verb.WATCH,))
        self.warm(now)
        if now >= self.change_at:
            self.change(now)
        self.take_back(now)
        self.sweep(now)
        self.pump(now)

    def news(self, now: float, release: Release | None, reply: Reply | None) -> None:
        """News of the newest release, or how a vote was answered."""
        if reply not in (None, Reply.COUNTED):
            self.vote_next = now + VOTE_GAP_S * self.chance.uniform(1.0, 2.0)
            self.vote = None
        if release is not None:
            old, self.release = self.release, release
            fresh = old is None or old.number != release.number
            if fresh:
                self.before = {p: list(times) for p, times in self.lately.items()}
                self.pressed, self.strikes, self.slow_for = False, 0, 0.0
                self.carried = sum(s.node.units for s in self.seats.values() if s.node.ready)
            if fresh or old.stage != release.stage or old.phase is not release.phase:
                self.stage_at, self.bound, self.integral, self.error = now - release.since_s, False, 0.0, None
                self.share, self.scout = self.shares[release.stage], self.chance.random()
            if release.phase in (Phase.GOING_BACK, Phase.WITHDRAWN):
                self.key_floor = {k: n for k, n in self.key_floor.items() if n < release.number}
            self.arms(now)

    def counted(self, now: float, count: Count) -> None:
        self.counts.append(count)

    def wrong(self, now: float, node: Node, product: Product, age_s: float) -> None:
        self.wrongs.append(node.release)

    def arms(self, now: float) -> None:
        """The ready nodes, the newest release on trial apart; what is newer than any news is on trial."""
        ready, rel = [s for s in self.seats.values() if s.node.ready], self.release
        tried = 1 + min((s.node.release for s in ready), default=0)
        if rel is not None:
            tried = rel.number + (rel.phase is Phase.RELEASED)
        newest = max((s.node.release for s in ready), default=0)
        self.older = [s for s in ready if s.node.release < tried]
        self.trial = [s for s in ready if s.node.release == newest >= tried]
        if not self.trial:
            self.credit = self.chance.random()
        if not self.cold:
            self.cold_credit = self.chance.random()  # what was saved without a cold node would come in a rush
        self.cold = [s for s in (*self.trial, *self.older) if s.warm_at > now]
        self.most_units = max(self.most_units, sum(s.node.units for s in ready))
        self.choose(now)
        self.warm(now)

    def choose(self, now: float) -> None:
        """The warm nodes of each arm that this front uses: those with the lowest of numbers drawn at random."""
        # Acts where traffic is too little to know all nodes by. Every node has an even chance at every front at
        # any time, also after a roll or restarts. Guards against slow, silent and squeezed nodes. Harm: none
        # seen at large fronts, which use all.
        warm = ([s for s in arm if s.warm_at <= now] for arm in (self.trial, self.older))
        self.used = tuple(sorted(arm, key=lambda s: s.draw)[: self.used_most] for arm in warm)

    def change(self, now: float) -> None:
        """Exchange the used node that looks worst, and fit the number of them to the traffic."""
        self.change_at = now + CHANGE_S * self.chance.uniform(0.7, 1.3)
        lived = max(1.0, min(now - self.started, self.cap_s + RATE_S))
        self.rate = self.takes[None].since(now - lived) / lived
        self.used_most = max(USED_LEAST, round(USED_S * self.rate))
        used = [s for s in self.used[1] if self.used_most < len(self.older)]
        if used:
            max(used, key=lambda s: s.slowness(now - RECENT_S)).draw = self.chance.random()
        self.choose(now)

    def room(self, now: float, txn: Txn) -> bool:
        """True where one more submission to the trial keeps the window count within the cap."""
        number, product = self.trial[0].node.release, txn.product if self.by_product else None
        stage, cap = 0, self.caps[0]
        if self.release is not None and number == self.release.number:
            stage, cap = self.release.stage, self.release.cap
        if cap <= 0.0 or (stage < self.guarded and txn.product.kind is not Kind.INQUIRY_LIKE):
            return False
        sends = self.trial_sends.get((number, product))
        sent = sends.since(now - self.cap_s - EDGE_S) if sends else 0
        taken = self.takes[product].since(now - self.cap_s + EDGE_S)
        return sent + 1 <= self.cap_free + cap * taken

    def loop(self, now: float) -> None:
        """The design's PID loop on own outcomes at the new build; its output is the trial share."""
        rel = self.release
        if rel is None or rel.phase is not Phase.TRIAL:
            return
        fresh = [s for s in self.samples(rel.number) if s.at > now - LOOP_S]
        error = 1.0
        if fresh:
            slow, faults = fmean(s.spent for s in fresh), fmean(s.fault for s in fresh)
            error = min((AIM_LATENCY - slow) / AIM_LATENCY, (AIM_FAULTS - faults) / AIM_FAULTS)
        # Guards against crowding the few trial nodes that are listed and warm so far: the clamp is what they
        # can carry at somewhat more than equal load, and what cold ones are due. Harm: a list that lags
        # keeps the share low.
        mine, theirs = (sum(s.node.units for s in a if s.warm_at <= now) for a in (self.trial, self.older))
        pace, whole = self.pace(now), WHOLE * self.carried
        crowd = CROWD if pace < CALM else 1.0
        part = crowd * mine / (mine + theirs) if theirs else 1.0
        clamp = min(rel.cap, self.cold_part + part * (1.0 - self.cold_part))
        if mine + theirs >= whole:  # a fleet partly cold or short of nodes is slow by itself
            self.strike(now, pace)
        slow = (AIM_PACE - pace) / AIM_PACE
        if theirs >= whole:  # else taking traffic from the trial would overrun the earlier nodes
            error = min(error, slow)
        rate = 0.0 if self.error is None else max(-RATE_MOST, min(RATE_MOST, (error - self.error) / PERIOD_S))
        out = GAIN_P * error + GAIN_I * self.integral + GAIN_D * rate
        if 0.0 < out < clamp:
            self.integral += error * PERIOD_S
        self.error, self.share, self.crossed = error, max(0.0, min(clamp, out)), min(error, slow) < 0
        self.bound = out >= clamp and not self.crossed
        # Where one vote moves the build and no front alone would see enough of it, the judging is shared: some
        # fronts, drawn anew each stage, send as much as their window lets them and the rest nothing, to the
        # same sum. Harm: their customers alone meet a bad build.
        self.boost = 1.0
        if self.lone and 0.0 < self.share * self.rate * SCOUT_S < LEAST_EVER:
            most = min(SCOUT_MOST, rel.cap + self.cap_free / self.cap_s / self.rate)
            self.boost = (self.scout < self.share / most) * most / self.share

    def pace(self, now: float) -> float:
        """The quicker answers of late against those before the trial, at the quicker build; else 1."""
        usual = {p: low(times) / p.sla_s for p, times in self.before.items() if len(times) >= SLOW_LEAST}
        arms = ([s for s in self.samples(self.release.number, below) if s.at > now - RECENT_S]
                for below in (False, True))  # fmt: skip
        fresh = [freshest(arm, usual, now - PACE_S, LEAST) for arm in arms]
        return min((low(paces) for paces in fresh if len(paces) >= SLOW_LEAST), default=1.0)

    def strike(self, now: float, pace: float) -> None:
        """Count how often slowness of all went away with the trial's traffic, which the loop takes away."""
        # Guards against a build that slows every node in step with its traffic, which no comparison of builds
        # shows: times before the trial are the source's "previous runs". Harm: two bursts or shared troubles
        # that begin while the trial has its share send a sound build back.
        if pace > AIM_PACE:
            if not self.slow_for and self.calm_for:
                sends = self.trial_sends.get((self.release.number, None))
                self.pressed = sends is not None and sends.since(now - LOOP_S) >= FAULTS_LEAST
            self.slow_for, self.calm_for = self.slow_for + PERIOD_S, 0.0
            if self.slow_for >= LASTING_S:
                self.strikes, self.slow_for = self.strikes + self.pressed, 0.0
                if not self.pressed:  # it began without the trial's traffic: the new usual
                    self.before = {p: list(times) for p, times in self.lately.items()}
        elif pace < CALM:
            self.calm_for += PERIOD_S
            if self.calm_for >= SETTLED_S and self.slow_for:
                self.strikes += self.pressed and self.slow_for >= SETTLED_S
                self.slow_for = 0.0

    def samples(self, number: int, below: bool = False) -> list[Sample]:
        """The outcomes kept of one release, or of those before it."""
        kept = (k for (n, _), k in self.evidence.items() if (n < number if below else n == number))
        return [s for samples in kept for s in samples]

    def barred(self, now: float, txn: Txn) -> bool:
        """True where no further submission of a txn is allowed: by number, by time, or as it may have run."""
        ran = self.ran(txn)
        kind = txn.product.kind
        late = ran and kind is Kind.REFERENCED and now > ran.sent + txn.product.memory_s - EDGE_S
        late = late or (ran and kind is Kind.ONCE_ONLY) or now >= txn.expiry - EDGE_S
        return bool(late) or len(txn.submissions) >= self.max_submissions

    @staticmethod
    def ran(txn: Txn) -> Submission | None:
        """The first submission that may have run."""
        return next((s for s in txn.submissions if s.result not in NEVER_RAN), None)

    def place(self, now: float, txn: Txn) -> bool:
        """Submit a txn somewhere, the trial first where its share has room; False where it fits nowhere."""
        if self.barred(now, txn) or self.full(now):
            return False
        floor = self.key_floor.get(txn.key, 0) if self.keys_stay and txn.key is not None else 0
        stays = bool(self.trial) and floor == self.trial[0].node.release
        # The share is kept by a credit that starts by chance: the free number of the exposure window, times
        # hundreds of fronts, would overrun the few nodes on trial.
        credit = inf if stays or not self.older else self.credit
        for arm in (self.trial, self.older):
            if not arm or (arm is self.trial and not self.room(now, txn)):
                continue
            seat = self.due(now, txn, arm, floor)
            if seat is None and (arm is self.older or credit >= 1.0):
                seat = self.pick(now, txn, arm, floor)
            if seat is not None:
                self.submit(now, txn, seat)
                return True
        return False

    def pick(self, now: float, txn: Txn, arm: list[Seat], floor: int) -> Seat | None:
        """Two random choices among an arm's nodes that may take one more, the lighter of the two."""
        met = [s.node for s in txn.submissions]
        known = self.seats.get(self.key_node.get(txn.key)) if self.warm_keys else None
        used = self.used[arm is self.older]
        drawn = [s for s in (known,) if s in arm] + (self.chance.choices(used, k=DRAWS) if used else [])
        found: list[Seat] = []
        for seat in drawn:
            if seat.warm_at <= now and seat not in found and seat.node not in met and self.open_to(now, txn, seat, floor):
                found.append(seat)
                if len(found) == 2:
                    return min(found, key=lambda s: self.weight(now, s, txn))
        if found:
            return found[0]
        start = self.chance.randrange(len(arm))  # few are open: the first that is, from a place drawn at random
        around = (arm[i - len(arm)] for i in range(start, start + len(arm)))
        return next((s for s in around if s.warm_at <= now and self.open_to(now, txn, s, floor)), None)

    def open_to(self, now: float, txn: Txn, seat: Seat, floor: int) -> bool:
        """True where this txn may go to this node now."""
        clear = seat.aside_until <= now and seat.node.release >= floor
        return clear and self.fits(now, seat) and self.grouped(txn, seat.node)

    def full(self, now: float) -> bool:
        """True where answers are slow and this front has its part of what the fleet can settle in time."""
        # Guards against long queues at every node, which the bounds a node cannot hold down where each of many
        # fronts may have one open everywhere. What is long overdue, as at a silent node, does not count.
        # Harm: a front that only meets slow nodes holds txns which others could settle.
        if not self.spent or fmean(self.spent) < AIM_LATENCY:
            return False
        fresh = sum(now - s.sent < s.txn.product.sla_s for s in self.open)
        return fresh >= max(1.0, self.open_s * self.settles.since(now - RATE_S) / RATE_S)

    def grouped(self, txn: Txn, node: Node) -> bool:
        """True where a node drops repeats of what the earlier submissions may have done."""
        ran, group = self.ran(txn), txn.product.group
        if ran is None or txn.product.kind is Kind.INQUIRY_LIKE or group is Group.ALL:
            return True
        return ran.node.zone == node.zone if group is Group.ZONE else ran.node.cell == node.cell

    def fits(self, now: float, seat: Seat) -> bool:
        """One more is allowed there: one at a time after being set aside, else what settles in time."""
        if now < seat.next_at or (seat.aside_s > 0 and seat.open):
            return False
        if len(seat.open) < self.open_least:
            return True
        return len(seat.open) < self.open_s * seat.settles.since(now - RATE_S) / RATE_S

    def weight(self, now: float, seat: Seat, txn: Txn) -> float:
        """How long a txn is likely to wait there: open submissions a unit, times how slow it is of late."""
        slow = seat.slowness(now - RECENT_S)
        slow *= QUIET if seat.silent(now) > self.patience(txn.product) else 1.0
        slow *= MET if self.warm_keys and self.key_node.get(txn.key) is seat.node else 1.0
        slow *= AWAY if seat.node.zone != self.zone else 1.0
        return (len(seat.open) + 1) / (seat.node.units * self.warmth(now, seat)) * slow

    def warmth(self, now: float, seat: Seat) -> float:
        """The least part of its capacity that a node can have reached by now."""
        return 1.0 - (1.0 - self.cold_from) * max(0.0, min(1.0, (seat.warm_at - now) / self.cold_s))

    def warm(self, now: float) -> None:
        """What part of the txns cold nodes are due: their part of all capacity, within a safe load."""
        # Guards cold machines: a front's credit grows with each txn taken and starts by chance, so that the
        # credits of any number of fronts add up to a safe sum. Settled over taken keeps bursts and repeats
        # out. Harm: nodes far quicker than the rest warm late.
        cold = [s for s in self.cold if s.warm_at > now]
        if len(cold) < len(self.cold):
            self.cold = cold
            self.choose(now)
        if cold:
            taken, settled = (w.since(now - RATE_S) + 1 for w in (self.takes[None], self.settles))
            units = sum(s.node.units * self.warmth(now, s) for s in self.cold)
            warm = sum(s.node.units for s in (*self.trial, *self.older) if s.warm_at <= now)
            safe = self.cold_load * min(1.0, settled / taken) / self.most_units
            self.cold_part = units * min(safe, 1.0 / (units + warm))

    def due(self, now: float, txn: Txn, arm: list[Seat], floor: int) -> Seat | None:
        """A cold node of the arm that is due a txn, the warmer ones more often."""
        slack = self.share >= self.cold_part or not self.older or arm is self.older
        if not self.cold or self.cold_credit < 1.0 or not slack:
            return None
        for seat in self.chance.choices(self.cold, k=COLD_DRAWS):
            chosen = seat in arm and self.chance.random() < self.warmth(now, seat)
            if chosen and self.open_to(now, txn, seat, floor):
                return seat
        return None

    def submit(self, now: float, txn: Txn, seat: Seat) -> None:
        node = seat.node
        if now < seat.warm_at:
            self.cold_credit -= 1.0
        if seat in self.trial:
            self.credit -= seat.warm_at <= now
            for product in (None, txn.product):
                self.trial_sends.setdefault((node.release, product), Window(self.cap_s + 1.0)).add(now)
        sub = Submission(txn, node, now, txn.expiry - now, len(txn.submissions))
        txn.submissions.append(sub)
        seat.open.append(sub)
        self.open.append(sub)
        move(txn, State.SUBMITTED)
        self.orders.append((Verb.SUBMIT, sub))

    def usual(self, product: Product) -> float:
        return fmean(self.lately[product] or [0.2 * product.sla_s])

    def patience(self, product: Product) -> float:
        """How long a node with open submissions may say nothing before it is taken for dead."""
        least, most = (part * product.sla_s for part in QUIET_SLA)
        return max(least, min(most, QUIET * self.usual(product)))

    def take_back(self, now: float) -> None:
        """Take back what waits at nodes that went silent, where the txn may go elsewhere in time."""
        # Guards against vanished, hung or cut-off nodes, not slow ones that answer. Harm: little traffic.
        for seat in self.seats.values():
            silent = seat.silent(now) if self.may_recall else 0.0
            for sub in seat.open if silent > 0 else ():
                txn, product = sub.txn, sub.txn.product
                more = product.kind is not Kind.ONCE_ONLY and len(txn.submissions) < self.max_submissions
                late = now > self.useful_until(txn) or silent <= self.patience(product)
                if more and not late and txn.state is State.SUBMITTED:
                    self.orders.append((Verb.RECALL, sub))

    def useful_until(self, txn: Txn) -> float:
        """When a held txn can no longer be settled within SLA time."""
        sla_at = txn.taken + txn.product.sla_s - HASTE * self.usual(txn.product)
        return min(sla_at, txn.expiry - 2 * PERIOD_S)

    def seek(self, now: float, txn: Txn) -> None:
        """Submit a txn, or keep it while it may still be settled in time, or else give it up at once."""
        move(txn, State.HELD)
        if not self.place(now, txn):
            if self.barred(now, txn) or now > self.useful_until(txn):
                self.give_up(txn)
            else:
                heappush(self.held, (-self.value(now, txn), -txn.taken, self.chance.random(), txn))

    def value(self, now: float, txn: Txn) -> float:
        """A txn's revenue, cut where its customer sends far more than its part of what comes in here."""
        who, start = txn.customer, now - RATE_S
        due = 3 + OVER * who.share * self.takes[None].since(start) if who else 0
        over = who is not None and self.customer_takes[who].since(start) > due
        return txn.product.revenue * (self.over_worth if over else 1.0)

    def pump(self, now: float) -> None:
        """Place held txns, dearest first, as long as there is room."""
        while self.held:
            if self.held[0][3].state is State.HELD and not self.place(now, self.held[0][3]):
                return
            heappop(self.held)

    def sweep(self, now: float) -> None:
        """Give up held txns that can no longer be settled within SLA time."""
        for *_, txn in self.held:
            if txn.state is State.HELD and now > self.useful_until(txn):
                self.give_up(txn)
        self.held = sorted(h for h in self.held if h[3].state is State.HELD)

    def give_up(self, txn: Txn) -> None:
        """The final answer for a txn that will not be settled: declined where that is true, else voided."""
        kind = txn.product.kind
        marked = kind is Kind.REFERENCED and txn.product.group is Group.ALL
        harmless = self.ran(txn) is None or kind is Kind.INQUIRY_LIKE or marked
        move(txn, State.DECLINED if harmless else State.VOIDED)
        self.orders.append((Verb.DECLINE, txn, self.defer_s) if harmless else (Verb.VOID, txn))

    def learn(self, now: float, sub: Submission, seat: Seat, took: float) -> None:
        result, product = sub.result, sub.txn.product
        if result is Result.NEVER_SENT:
            return
        if result in (Result.SETTLED, Result.FAULT, Result.TURNED_AWAY):
            seat.heard = now
        if result is Result.TURNED_AWAY:
            # Guards against feeding a full node, or one that drains before the list says so.
            seat.full_s = min(FULL_S[1], max(FULL_S[0], 2 * seat.full_s))
            seat.next_at = max(seat.next_at, now + seat.full_s * self.chance.uniform(0.7, 1.3))
            return
        good = result is Result.SETTLED
        self.spent.append((now - sub.txn.taken) / product.sla_s)
        seat.samples.append((now, good, max(0.5, min(8.0, took / self.usual(product)))))
        if good:
            seat.full_s = seat.aside_s = 0.0
            seat.settles.add(now)
            self.settles.add(now)
            self.lately[product].append(took)
        else:
            # Guards against failing, silent and unreachable nodes: set aside ever longer, then one at a time.
            bad = sum(not s[1] for s in list(seat.samples)[-4:])
            if bad >= 3 or result is Result.UNREACHABLE or (seat.aside_s and now >= seat.aside_until):
                arm = self.trial if seat in self.trial else self.older
                if sum(s.aside_until > now for s in arm) < ASIDE_PART * len(arm):
                    seat.aside_s = min(ASIDE_S[1], max(ASIDE_S[0], 2 * seat.aside_s))
                    seat.aside_until = now + seat.aside_s * self.chance.uniform(0.8, 1.2)
        if result in (Result.SETTLED, Result.FAULT, Result.SILENT, Result.BROKEN):
            kept = self.evidence.setdefault((seat.node.release, product), deque(maxlen=KEPT))
            fault, spent = result in (Result.FAULT, Result.BROKEN), (now - sub.txn.taken) / product.sla_s
            kept.append(Sample(now, seat.node, product, fault, took, spent, sub.sent < seat.warm_at))

    def verdict(self, now: float) -> Verdict:
        rel = self.release
        over = rel.phase is Phase.RELEASED and now > self.stage_at + WATCH_S
        if over or rel.phase in (Phase.GOING_BACK, Phase.WITHDRAWN):
            return Verdict.NONE
        if self.worse(now, rel.number):
            return Verdict.BACK
        if rel.phase is Phase.RELEASED or (self.clocked and self.bound):
            return Verdict.NONE
        if self.clocked:
            return Verdict.HOLD
        seen = len(self.samples(rel.number)) + sum(c.total for c in self.counts if c.release == rel.number)
        # Where many votes move the build, they carry the least sample together: a front that sees hardly
        # any of it does not stand in the way for long. Harm: a bad build may go one stage on first.
        least = max(self.least_ever, LEAST - LEAST_PER_S * (now - self.stage_at))
        stands = self.vote == (rel.number, rel.stage, Verdict.ON) and not self.crossed
        return Verdict.ON if stands or (seen >= least and self.bound and self.trial) else Verdict.NONE

    def worse(self, now: float, number: int) -> bool:
        """True where the new build's faults or times are beyond what the earlier build's explain."""
        # Guards against holding machine trouble against a build: faults count only where some are left
        # without the nodes that have most. Harm: a bad build that shows on few of its nodes is judged later.
        new, old = self.samples(number), self.samples(number, below=True)
        spread_out = sum(s.fault for s in trimmed(new, TRIM_PART)) >= SPREAD_LEAST or self.faults_least == 1
        for product in self.lately if spread_out else ():
            mine, theirs = ([s.fault for s in arm if s.product is product] for arm in (new, old))
            share = min(0.5, max(FAULT_FLOOR, fmean(theirs or [0.0])))
            if sum(mine) >= self.faults_least and tail_chance(sum(mine), len(mine), share) < self.doubt:
                return True
        # The same seconds on both sides: a shared trouble is in both. What slows all slows its own too.
        recent = ([s for s in arm if s.at > now - RECENT_S] for arm in (new, old))
        paces = relative(*recent, SLOW_LEAST) if self.older else []  # without earlier nodes, load is unlike
        if len(paces) >= self.slow_least and fmean(paces) > SLOWER + 3 * sqrt(variance(paces) / len(paces)):
            return True
        if self.strikes >= STRIKES and (len(paces) < LEAST or fmean(paces) > ALIKE):
            return True
        flagged = self.wrongs.count(number)
        total = max(flagged, len(self.samples(number)))
        return flagged >= FAULTS_LEAST and tail_chance(flagged, total, FAULT_FLOOR) < self.doubt

    def ballot(self, now: float) -> None:
        """Cast, renew or take away the vote as the verdict wants it."""
        if self.release is None or now < self.vote_next:
            return
        vote = (self.release.number, self.release.stage, self.verdict(now))
        if vote[2] is Verdict.NONE and (self.vote is None or self.vote[:2] != vote[:2]):
            return
        if vote == self.vote and (vote[2] is Verdict.NONE or now < self.vote_at + 0.6 * self.vote_life_s):
            return
        self.vote, self.vote_at = vote, now
        self.vote_next = now + VOTE_GAP_S * self.chance.uniform(1.0, 2.0)
        self.orders.append((Verb.VOTE, *vote))
