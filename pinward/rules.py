"""All decisions of pinward, for one front: routing, health, resends, declines, the trial share and votes.

The caller makes one `Judge` a front, from `Terms` and a seed, and calls it for whatever happens: `fleet`,
`take`, `opened`, `ended`, `left`, `reused`, `news`, `counted`, `wrong`, and `wake` no later than `wake_at`.
The time comes first; `orders` then holds what to do, to be carried out and cleared. Types: pinward/terms.py.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from math import ceil, inf, sqrt
from random import Random
from statistics import fmean

from pinward.figures import Record, Rests, Sample, Seat, Spell, Tally, Window
from pinward.figures import faulty_chance, mean, paced, quicker, relative, surely, tail_chance
from pinward.figures import sureness, together, trimmed
from pinward.terms import Count, Group, Kind, Listing, Node, Phase, Product, Release, Reply, Result, State
from pinward.terms import Submission, Terms, Txn, Verb, Verdict

# The design's loop.
PERIOD_S, LOOP_S = 0.2, 3.0  # s; the loop's period, as the design starts it, and how fresh its outcomes are
GAIN_P, GAIN_I, GAIN_D = 4.0, 0.2, 1.0  # gains of the source's map-search run
AIM_LATENCY, AIM_FAULTS = 0.6, 0.1  # of the SLA time, room for the tail; share, two in twenty outcomes
RATE_MOST, CROWD = 2.0, 1.3  # 1/s, lest one outcome shut the trial; times equal load on a calm fleet
AIM_PACE, CALM = 1.7, 1.2  # times the usual before the trial: slowness of all at most, and where it is over
PACE, SPELL, LASTING = 4.0, 0.5, 2.5  # longest SLA times: kept; the least spell; it counts once more
SUNK, RISE, WHOLE = 0.65, 1.5, 0.9  # of what settled before: no burst does; taken: a burst; units there
SURE = 3.0  # standard errors of what settled before
# Votes.
LEAST, LEAST_PER_S, LEAST_EVER = 20, 3.0, 4  # outcomes; the design's least, less each second, and at least
FAULTS_LEAST, FAULTIER, STRIKES = 3, 2.0, 2  # two may be one bad second; times the earlier's; one vote's
DOUBT, FAULT_FLOOR = 0.016, 0.005  # chance, over all fronts, of blaming a build; share put down to chance
BAD_PRIOR = 4.0  # a bad build's share of faults may be any; so many times likelier near nought than all
TRIM_PART, SICK, SPREAD_LEAST = 0.34, 0.3, 2  # of nodes; faulty part of a sick one; faults left elsewhere
SLOWER, SLOW_LEAST = 2.2, 12  # times the earlier build's: "considerably slower"; outcomes it takes to tell
SCOUT_S, SCOUT_MOST, SCOUTS = 5.0, 0.5, 4  # s to the least sample, or few judge for all; their share; number
WATCH_S, VOTE_GAP_S = 15.0, 0.6  # s; watch of a released build; least gap of votes, spread to twice that
RENEW = (0.6, 0.9)  # of a vote's life until it is cast anew; where few are counted a second, one on
KEPT, LATELY = 300, 60  # outcomes kept a build and product: ten seconds of a large front; times a product
# Health and routing.
RECENT_S, SAMPLES = 8.0, 10  # s, outcomes; older ones, or more, say nothing of a node now
ASIDE_S, ASIDE_PART = (0.8, 6.0), 0.34  # s; first and longest time aside; of an arm, to spare the rest
FULL_S, OPEN_ALL = 0.3, 4.0  # s until a full node is tried again; open a node for all fronts, or none learns
AWAY, QUIET, SILENT_SLA = 1.2, 3.0, 0.6  # times worse: another zone, a silent node; silent: of the SLA time
OPEN_S, HASTE = 0.3, 1.3  # of the mean SLA time's settled txns: open, lest many be late; times left of it
USED_S, USED_LEAST, CHANGE_S = 4.0, 4, 3.0  # s between outcomes to know a node; nodes; s between exchanges
COLD_PART, CREDIT_MOST = 0.6, 1.5  # of the fall multiple, rest for chance; txns owed at most: no rush
DRAWS, COLD_DRAWS = 6, 3  # draws to find two open nodes, enough where one in three is; and a cold one
RATE_S, SPENT_OF = 3.0, 8  # s, outcomes; what rates are counted over; what tells slow answers from one
OVER, EDGE_S = 1.3, 0.011  # times a customer's share: over it; s, two batches' slack where a rule counts
ASK_STEPS = 4  # failures, each with twice the wait, until the list is asked for once in the time told for it
# The front's own connections, for its network code.
CLIENTS_OF, NODE_IDLE = 0.6, 0.5  # part for clients, the rest for nodes; of the time when a node closes
REST_FAULTY, REST_GROWS = 0.2, 1.25  # share broken after so long a rest, to rest less; times more each change
ASK_S, IDLE_S, IDLE_OF = 2.5, 2.0, 0.3  # s a client has to ask in full, to be idle; part of them that may be
UNASKED_S, LINGER_S, STALL_S = 0.1, 0.5, 0.3  # s to ask where room is short; for the last; to end an answer

MOVES = {
    State.TAKEN: (State.HELD, State.LEFT),
    State.HELD: (State.SUBMITTED, State.DECLINED, State.VOIDED, State.LEFT),
    State.SUBMITTED: (State.HELD, State.SETTLED, State.VOIDED, State.LEFT),
}


def move(txn: Txn, state: State) -> None:
    """The one place where a txn changes its state."""
    if state not in MOVES.get(txn.state, ()):
        raise ValueError(f"a txn cannot go from {txn.state.name} to {state.name}")
    txn.state = state


class Judge:
    def __init__(self, terms: Terms, seed: int, now: float) -> None:
        self.chance, self.started, self.zone, self.fronts = Random(seed), now, terms.zone, terms.fronts
        self.must_ask, self.ask_most_s, self.watching = terms.must_ask, terms.ask_within_s, False
        self.asked, self.ask_at, self.wake_at = 0, -inf, now
        self.error: float | None = None  # the loop's last
        self.cold, self.cold_load = (terms.cold_from, terms.cold_s), COLD_PART * terms.fall_multiple
        self.max_submissions, self.may_recall = terms.max_submissions, terms.may_recall
        self.over_worth, self.defer_s = terms.over_share_worth, terms.max_defer_s * terms.may_defer
        self.caps, self.shares, self.guarded = terms.stage_caps, terms.stage_shares, terms.guarded_stages
        self.cap_free, self.cap_s, self.by_product = terms.cap_free, terms.cap_window_s, terms.cap_by_product
        self.keys_stay, self.vote_life_s = terms.keys_stay, terms.vote_life_s
        self.clocked, self.lone, on_votes = terms.on_votes == 0, terms.on_votes == 1, max(1, terms.on_votes)
        # Votes that move a build share sample and doubt: many fronts judge from one fault. Harm: a sick node.
        votes = max(1, terms.back_votes)
        self.least_ever, self.slow_least = LEAST_EVER // on_votes, max(LEAST_EVER, LEAST // votes)
        turn_s = on_votes / max(1.0, terms.votes_per_s)  # in which the platform counts what moves a stage
        self.turn_s = turn_s if turn_s > VOTE_GAP_S else 0.0
        # Acts where counting votes takes its own time. Harm elsewhere: a trouble meets a stage begun early.
        self.least = LEAST / on_votes if self.turn_s else LEAST
        self.faults_least, self.strikes_least = ceil(FAULTS_LEAST / votes), STRIKES + (votes > 1)
        self.doubt = votes / terms.fronts * DOUBT ** votes**-0.5  # that so many of all fronts err at once
        self.open_part, self.open_most = OPEN_ALL / terms.fronts, terms.most_open
        slas = [p.sla_s for p in terms.products]
        self.open_s, self.long_s = OPEN_S * fmean(slas), max(slas)
        self.rest_most, self.rests = NODE_IDLE * terms.node_idle_s, Rests(LATELY)
        self.rest_s = self.rest_most  # the longest rest after which a connection to a node is used again
        self.seats: dict[Node, Seat] = {}
        self.trial, self.older, self.fresh = [], [], []  # ready seats: on trial, others; of both, the cold
        self.used, self.used_most, self.change_at = [[], []], USED_LEAST, now  # of these, the warm in use
        self.within: dict[tuple[str, int], list[Seat]] = {}  # the warm by cell and arm, lowest numbers first
        self.held: list[tuple[float, float, float, Txn]] = []  # dearest, then newest first
        self.takes, self.sends = Tally(self.cap_s + RATE_S), Tally(self.cap_s + RATE_S)
        self.evidence, self.counts, self.wrongs = Record(KEPT), deque(maxlen=LATELY), deque(maxlen=LATELY)
        self.lately = {p: deque(maxlen=LATELY) for p in terms.products}  # times of the last settled
        self.before, self.key_floor, self.base = {}, {}, 0  # times before a trial; of keys; last one kept
        self.settles, self.open, self.spent = Window(RATE_S), [], deque(maxlen=SPENT_OF)  # of SLA times
        self.release: Release | None = None
        self.stage_at, self.vote_next, self.most_units = now, now, 0.01
        self.share, self.integral, self.rate, self.bound = 0.0, 0.0, 0.0, False
        # What the trial and the cold nodes are owed, in txns; what part of those taken the cold ones are due.
        self.credit, self.cold_credit, self.cold_part = self.chance.random(), self.chance.random(), 0.0
        self.spell = Spell(PERIOD_S, SPELL * self.long_s, LASTING * self.long_s)
        self.pressed, self.strikes, self.calm = False, 0, 0.0  # txns settled in LOOP_S as a trial begins
        self.vote_at, self.crossed, self.carried, self.scout, self.boost = -inf, False, 0.0, 1.0, 1.0
        self.broke_at = self.on_next = -inf  # the last broken connection; until when a vote on waits its turn
        self.vote: tuple[int, int, Verdict] | None = None  # the last cast
        self.orders: list[tuple] = []

    def fleet(self, now: float, lines: list[Listing], whole: bool, old: bool) -> None:
        """News of the list: changes, or all of it (`old`: as this front last held it, maybe out of date)."""
        listed = {line.node for line in lines}
        for node in self.seats:
            node.ready = node.ready and (not whole or node in listed)
        for line in lines:
            node, seat = line.node, self.seats.get(line.node)
            if seat is None or node.started != line.started or node.release != line.release:
                fresh = Seat(node, line.started, self.cold, RATE_S, SAMPLES, self.chance.random())
                fresh.open, self.seats[node] = seat.open if seat else [], fresh
            node.release, node.zone, node.circle = line.release, line.zone, line.circle
            node.units, node.started, node.ready = max(line.units, 0.01), line.started, line.ready
        self.arms(now)
        self.watching, self.asked = (self.watching, self.asked) if old else (True, 0)

    def list_failed(self, now: float) -> None:
        # Guards against all fronts asking a full registry so often that it hears none. Harm: a late list.
        self.watching, self.asked = False, self.asked + 1
        most_s = self.ask_most_s * min(1.0, 2.0 ** (self.asked - ASK_STEPS))
        self.ask_at = now + self.chance.uniform(0.3, 1.0) * most_s

    def take(self, now: float, txn: Txn) -> None:
        self.takes.add(now, "all", txn.product, txn.customer)
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
            self.key_floor[txn.key] = max(sub.node.release, self.key_floor.get(txn.key, 0))
        self.pump(now)

    def opened(self, now: float, sub: Submission) -> None:
        self.seats[sub.node].heard = now

    def reused(self, now: float, rest_s: float, broke: bool) -> None:
        """A connection to a node has served once more after a rest, or broke before an answer."""
        # Guards against whatever drops idle connections sooner than told. Harm: more connections.
        faults, total = self.rests.add(rest_s, broke, self.rest_s)
        if broke and faults >= max(FAULTS_LEAST, REST_FAULTY * total):
            self.rest_s = min(self.rest_s, rest_s)

    def left(self, now: float, txn: Txn) -> None:
        if txn.state in MOVES:
            move(txn, State.LEFT)
        # Guards against work for nobody; at silent nodes it stays, to tell of them. Harm: fewer outcomes.
        subs = txn.submissions if self.may_recall and txn.product.kind is Kind.INQUIRY_LIKE else ()
        self.orders += [(Verb.RECALL, s) for s in subs if not s.result and self.seats[s.node].heard > s.sent]

    def wake(self, now: float) -> None:
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
        if reply not in (None, Reply.COUNTED):
            self.vote, self.vote_next = None, now + VOTE_GAP_S * self.chance.uniform(1.0, 2.0)
            if reply is Reply.FULL:
                self.await_turn(now, 0.5)
        if release is not None:
            old, self.release = self.release, release
            fresh = old is None or old.number != release.number
            if fresh:
                self.base = old.number if old and old.phase is Phase.RELEASED else self.base
                self.evidence.keep(self.base, release.number)  # builds sent back are nothing to compare with
                self.before = {p: list(times) for p, times in self.lately.items()}
                self.pressed, self.strikes, self.spell.slow_for, self.calm = False, 0, 0.0, 0.0
                self.carried = sum(s.node.units for s in self.seats.values() if s.node.ready)
            if fresh or old.stage != release.stage or old.phase is not release.phase:
                self.stage_at, self.bound, self.integral, self.error = now - release.since_s, False, 0.0, None
                self.share, self.scout = self.shares[release.stage], self.chance.random()
                self.spell.slow_for *= release.phase is Phase.TRIAL
                self.await_turn(now, 0.0)
            if release.phase in (Phase.GOING_BACK, Phase.WITHDRAWN):
                self.key_floor = {k: n for k, n in self.key_floor.items() if n < release.number}
            self.arms(now)

    def await_turn(self, now: float, least: float) -> None:
        # Guards against hundreds of votes on at once, which keep out those back. Harm: a stage's last late.
        if self.turn_s:
            self.on_next = now + self.turn_s * self.chance.uniform(least, 1.0 + least)

    def counted(self, now: float, count: Count) -> None:
        self.counts.append(count)

    def wrong(self, now: float, node: Node, product: Product, age_s: float) -> None:
        self.wrongs.append(node.release)

    def arms(self, now: float) -> None:
        """The ready nodes, the newest release on trial apart; what is newer than any news is on trial."""
        self.seats = {node: s for node, s in self.seats.items() if node.ready or s.open}  # nodes are ever new
        ready, rel = [s for s in self.seats.values() if s.node.ready], self.release
        builds = [s.node.release for s in ready] or [0]
        tried, newest = rel.number + (rel.phase is Phase.RELEASED) if rel else min(builds) + 1, max(builds)
        self.older = [s for s in ready if s.node.release < tried]
        self.trial = [s for s in ready if s.node.release == newest >= tried]
        self.credit = self.credit if self.trial else self.chance.random()  # else what was saved is a rush
        self.cold_credit = self.cold_credit if self.fresh else self.chance.random()
        self.fresh = [s for s in (*self.trial, *self.older) if s.warm_at > now]
        self.most_units = max(self.most_units, sum(s.node.units for s in ready))
        self.choose(now)
        self.warm(now)

    def choose(self, now: float) -> None:
        """The warm nodes of each arm that this front uses: those with the lowest numbers, drawn by chance."""
        # Acts where traffic is too little to know all nodes; guards against slow, squeezed ones. Harm: none.
        warm = [[s for s in arm if s.warm_at <= now] for arm in (self.trial, self.older)]
        self.used = [sorted(arm, key=lambda s: s.draw)[: self.used_most] for arm in warm]
        self.within.clear()
        for arm, older in ((warm[0], 0), (warm[1], 1)):
            for seat in sorted((s for s in arm if s.node.cell), key=lambda s: s.draw):
                self.within.setdefault((seat.node.cell, older), []).append(seat)

    def reach(self, txn: Txn, arm: list[Seat]) -> tuple[list[Seat], list[Seat]]:
        """Of an arm, the warm nodes to draw from for a txn, and all that it may use at last."""
        older = int(arm is self.older)
        if txn.cells is None:
            return self.used[older], arm
        # Acts where customers are confined to cells; one cell of several at a time. Harm: few nodes a draw.
        found = [seats for c in txn.cells if (seats := self.within.get((c, older)))]
        near = found[int(self.chance.random() * len(found))] if found else []
        return near[: self.used_most], near if len(found) < 2 else [s for seats in found for s in seats]

    def change(self, now: float) -> None:
        self.change_at = now + CHANGE_S * self.chance.uniform(0.7, 1.3)
        lived = max(1.0, min(now - self.started, self.cap_s + RATE_S))
        self.rate = self.takes.since(now - lived, "all") / lived
        self.used_most = max(USED_LEAST, round(USED_S * self.rate))
        self.rest_s = min(self.rest_most, REST_GROWS * self.rest_s)
        rest = [s for s in self.older if s.warm_at <= now and s not in self.used[1]]
        if rest and self.used_most < len(self.older):
            worst = max(self.used[1], key=lambda s: s.slowness(now - RECENT_S))
            other = self.chance.choice(rest)
            worst.draw, other.draw = other.draw, worst.draw
        self.choose(now)

    def room(self, now: float, txn: Txn) -> bool:
        """True where one more submission to the trial keeps the window count within the cap."""
        number, what = self.trial[0].node.release, txn.product if self.by_product else "all"
        rel = self.release if self.release is not None and self.release.number == number else None
        stage, cap = (0, self.caps[0]) if rel is None else (rel.stage, rel.cap)
        if cap <= 0.0 or (stage < self.guarded and txn.product.kind is not Kind.INQUIRY_LIKE):
            return False
        sent, start = self.sends.since(now - self.cap_s - EDGE_S, (number, what)), now - self.cap_s + EDGE_S
        taken = self.takes.since(start, what) - self.takes.since(start, Result.UNFIT)
        return sent + 1 <= self.cap_free + cap * taken

    def loop(self, now: float) -> None:
        """The design's PID loop on own outcomes at the new build; its output is the trial share."""
        rel = self.release
        if rel is None or not self.watched(now):
            return
        new, old = self.evidence.of(rel.number), self.evidence.before(rel.number)
        error, fresh = 1.0, [s for s in new if s.at > now - LOOP_S]
        if fresh:  # faults beyond the earlier build's, in the least sample at least: one of few is no share
            faults = sum(s.fault for s in fresh) / max(LEAST, len(fresh)) - mean([s.fault for s in old], 0.0)
            error = 1.0 - max(fmean(s.spent for s in fresh) / AIM_LATENCY, max(0.0, faults) / AIM_FAULTS)
        # Guards against crowding the few trial nodes listed and warm so far. Harm: a late list, a low share.
        mine, theirs = (sum(s.node.units for s in a if s.warm_at <= now) for a in (self.trial, self.older))
        pace = paced((new, old), self.before, now - PACE * self.long_s, now - self.long_s, SLOW_LEAST, LEAST)
        if rel.phase is Phase.TRIAL and rel.stage == 0 and pace < CALM:  # it may have begun in a burst
            self.before = quicker(self.before, self.lately, SLOW_LEAST, CALM)
            self.calm = min(self.calm or inf, self.settles.since(now - LOOP_S))
        part = (CROWD if pace < CALM else 1.0) * mine / (mine + theirs) if theirs else 1.0
        clamp = min(rel.cap, self.cold_part + part * (1.0 - self.cold_part))
        here = sum(s.node.units * s.warmth(now) for s in (*self.trial, *self.older))
        if here >= WHOLE * self.carried:  # a fleet partly cold or short of nodes is slow by itself
            self.strike(now, pace)
        slow = (AIM_PACE - pace) / AIM_PACE
        if theirs >= WHOLE * self.carried:  # else less for the trial would overrun the earlier nodes
            error = min(error, slow)
        rate = 0.0 if self.error is None else max(-RATE_MOST, min(RATE_MOST, (error - self.error) / PERIOD_S))
        out = GAIN_P * error + GAIN_I * self.integral + GAIN_D * rate
        if 0.0 < out < clamp:
            self.integral += error * PERIOD_S
        self.error, self.share = error, max(0.0, min(clamp, out))
        # Guards against waiting where nothing is kept back: no earlier node is left. Harm: a bad one goes on.
        few = self.turn_s > 0 and len(fresh) < LEAST_EVER  # no reason to spend two of the votes counted
        self.crossed = bool(self.older) and (slow < 0 or (error < 0 and not few))
        self.bound = not self.crossed and (out >= clamp or not self.older)
        # Where no front would see enough for a lone vote, some send the share of all. Harm: to their clients.
        self.boost = 1.0
        if self.lone and 0.0 < self.share * self.rate * SCOUT_S < LEAST_EVER:
            most = min(SCOUT_MOST, rel.cap + self.cap_free / self.cap_s / self.rate)
            if self.fronts * self.share >= SCOUTS * most:
                self.boost = (self.scout < self.share / most) * most / self.share

    def strike(self, now: float, pace: float) -> None:
        # Guards against a build that slows all: times before it tell. Harm: shared troubles begun under it.
        # In a burst more come and no fewer settle; rolls are slow too, so a released build must sink them,
        # and surely: of hundreds of fronts some see few by chance. Harm: one with little traffic waits.
        trial, start = self.release.phase is Phase.TRIAL, now - LOOP_S
        sunk = self.settles.since(start) < min(SUNK * self.calm, self.calm - SURE * sqrt(self.calm))
        alike = trial and self.takes.since(start, "all") < RISE * self.calm
        what = self.spell.see(pace > AIM_PACE and (sunk or alike), pace < CALM)
        if what == "began":
            self.pressed = not trial or self.sends.since(start, (self.release.number, "all")) >= FAULTS_LEAST
        elif what is not None:
            self.strikes += self.pressed * (1 + sunk)
            if what == "lasts" and not self.pressed:  # it began without the trial's traffic: the new usual
                self.before = {p: list(times) for p, times in self.lately.items()}

    def barred(self, now: float, txn: Txn) -> bool:
        """True where no further submission of a txn is allowed: by number, by time, or as it may have run."""
        ran, kind = txn.submissions and txn.ran, txn.product.kind
        late = ran and kind is Kind.REFERENCED and now > ran.sent + txn.product.memory_s - EDGE_S
        late = late or (ran and kind is Kind.ONCE_ONLY) or now >= txn.expiry - EDGE_S
        return bool(late) or len(txn.submissions) >= self.max_submissions

    def place(self, now: float, txn: Txn) -> bool:
        """Submit a txn somewhere, the trial first where its share has room; False where it fits nowhere."""
        if self.barred(now, txn) or len(self.open) >= self.open_most or self.full(now):
            return False
        floor = self.key_floor.get(txn.key, 0) if self.keys_stay and txn.key is not None else 0
        stays = bool(self.trial) and floor == self.trial[0].node.release
        # Kept by a credit: the window's free number, times hundreds of fronts, would overrun the trial.
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
        met, found, (used, whole) = [s.node for s in txn.submissions], [], self.reach(txn, arm)
        for seat in [used[int(self.chance.random() * len(used))] for _ in range(DRAWS)] if used else ():
            if seat not in found and seat.node not in met and self.open_to(now, txn, seat, floor):
                found.append(seat)
                if len(found) == 2:
                    return min(found, key=lambda s: self.weight(now, s, txn))
        if not whole:
            return None
        start = self.chance.randrange(len(whole)) if not found else 0  # few open: the first, from anywhere
        around = whole[start:] + whole[:start]
        fits = (s for s in around if s.warm_at <= now and self.open_to(now, txn, s, floor))
        return found[0] if found else next(fits, None)

    def open_to(self, now: float, txn: Txn, seat: Seat, floor: int) -> bool:
        """True where this txn may go there now: one after being set aside, else what settles in time."""
        aside = now < seat.aside_until or (seat.aside_s > 0 and seat.open) or seat.node.release < floor
        if aside or not txn.dropped_by(seat.node):
            return False
        if txn.cells is not None and seat.node.cell not in txn.cells:
            return False
        settled = self.open_s * seat.settles.since(now - RATE_S) / RATE_S  # in a part of the SLA time
        return len(seat.open) < max(1.0, self.open_part, settled)

    def full(self, now: float) -> bool:
        # Guards against long queues; what all fronts need to learn stays. Harm: one at slow nodes waits.
        if len(self.spent) < SPENT_OF or mean(self.spent, 0.0) < AIM_LATENCY:
            return False
        fresh = sum(now - s.sent < s.txn.product.sla_s for s in self.open)
        least, settled_s = len(self.trial) + len(self.older), self.settles.since(now - RATE_S) / RATE_S
        return fresh >= max(1.0, self.open_part * least, self.open_s * settled_s)

    def weight(self, now: float, seat: Seat, txn: Txn) -> float:
        """How long a txn is likely to wait there: open submissions a unit, times how slow it is of late."""
        slow = seat.slowness(now - RECENT_S) * (len(seat.open) + 1) / seat.node.units
        slow *= QUIET if seat.silent(now) > SILENT_SLA * txn.product.sla_s else 1.0
        return slow * (AWAY if seat.node.zone != self.zone else 1.0)

    def warm(self, now: float) -> None:
        """What part of the txns cold nodes are due: their part of all capacity, within a safe load."""
        # Guards cold nodes: credits by txns taken add up, what settled binds bursts. Harm: late warmth.
        if any(s.warm_at <= now for s in self.fresh):
            self.fresh = [s for s in self.fresh if s.warm_at > now]
            self.choose(now)
        self.cold_part = 0.0
        if self.fresh:
            settled = max(self.settles.since(now - RATE_S) + 1, self.calm)
            units = sum(s.node.units * s.warmth(now) for s in self.fresh)
            warm = sum(s.node.units for s in (*self.trial, *self.older) if s.warm_at <= now)
            part = min(1.0, settled / (self.takes.since(now - RATE_S, "all") + 1))
            self.cold_part = units * min(self.cold_load * part / self.most_units, CROWD / (units + warm))

    def due(self, now: float, txn: Txn, arm: list[Seat], floor: int) -> Seat | None:
        slack = self.share >= self.cold_part or not self.older or arm is self.older
        if not self.fresh or self.cold_credit < 1.0 or not slack:
            return None
        for seat in self.chance.choices(self.fresh, k=COLD_DRAWS):
            warm = seat in arm and self.chance.random() < seat.warmth(now)
            if warm and self.open_to(now, txn, seat, floor):
                return seat
        return None

    def submit(self, now: float, txn: Txn, seat: Seat) -> None:
        if now < seat.warm_at:
            self.cold_credit -= 1.0
        if seat in self.trial:
            self.credit -= seat.warm_at <= now
            self.sends.add(now, (seat.node.release, "all"), (seat.node.release, txn.product))
        sub = Submission(txn, seat.node, now, txn.expiry - now, len(txn.submissions))
        for kept in (txn.submissions, seat.open, self.open):
            kept.append(sub)
        move(txn, State.SUBMITTED)
        self.orders.append((Verb.SUBMIT, sub))

    def usual(self, product: Product) -> float:
        return mean(self.lately[product], 0.2 * product.sla_s)

    def take_back(self, now: float) -> None:
        # Guards against vanished, hung or cut-off nodes, not slow ones that answer. Harm: little traffic.
        for seat in self.seats.values() if self.may_recall else ():
            silent = seat.silent(now)
            for sub in seat.open if silent > 0 else ():
                txn, product = sub.txn, sub.txn.product
                late = now > self.useful_until(txn) or silent <= SILENT_SLA * product.sla_s
                more = product.kind is not Kind.ONCE_ONLY and len(txn.submissions) < self.max_submissions
                if more and not late and txn.state is State.SUBMITTED:
                    self.orders.append((Verb.RECALL, sub))

    def useful_until(self, txn: Txn) -> float:
        return min(txn.taken + txn.product.sla_s - HASTE * self.usual(txn.product), txn.expiry - 2 * PERIOD_S)

    def seek(self, now: float, txn: Txn) -> None:
        move(txn, State.HELD)
        if not self.place(now, txn):
            if self.barred(now, txn) or now > self.useful_until(txn):
                self.give_up(txn)
            else:
                heappush(self.held, (-self.value(now, txn), -txn.taken, self.chance.random(), txn))

    def value(self, now: float, txn: Txn) -> float:
        """A txn's revenue, cut where its customer sends far more than its part of what comes in here."""
        who, start = txn.customer, now - RATE_S
        due = 3 + OVER * who.share * self.takes.since(start, "all") if who else inf
        over = self.takes.since(start, who) > due
        return txn.product.revenue * (self.over_worth if over else 1.0)

    def pump(self, now: float) -> None:
        while self.held:
            if self.held[0][3].state is State.HELD and not self.place(now, self.held[0][3]):
                return
            heappop(self.held)

    def sweep(self, now: float) -> None:
        for *_, txn in self.held:
            if txn.state is State.HELD and now > self.useful_until(txn):
                self.give_up(txn)
        self.held = sorted(h for h in self.held if h[3].state is State.HELD)

    def give_up(self, txn: Txn) -> None:
        """The final answer for a txn that will not be settled: declined where that is true, else voided."""
        marked = txn.product.kind is Kind.REFERENCED and txn.product.group is Group.ALL
        harmless = txn.ran is None or txn.product.kind is Kind.INQUIRY_LIKE or marked
        move(txn, State.DECLINED if harmless else State.VOIDED)
        self.orders.append((Verb.DECLINE, txn, self.defer_s) if harmless else (Verb.VOID, txn))

    def learn(self, now: float, sub: Submission, seat: Seat, took: float) -> None:
        result, product = sub.result, sub.txn.product
        left = result is Result.RECALLED and sub.txn.state is State.LEFT
        if left or result in (Result.NEVER_SENT, Result.UNFIT):
            self.takes.add(now, result)  # guards against clients' nonsense: it makes no room within the cap
            return
        if result in (Result.SETTLED, Result.FAULT, Result.SPOILT, Result.TURNED_AWAY):
            seat.heard = now
        if result is Result.TURNED_AWAY:
            # Guards against feeding a full node, or one that drains before the list says so.
            seat.aside_until = max(seat.aside_until, now + FULL_S * self.chance.uniform(0.5, 1.5))
            return
        good, spent = result is Result.SETTLED, (now - sub.txn.taken) / product.sla_s
        self.spent.append(took / product.sla_s)  # without the wait here: else a bound holds itself up
        seat.samples.append((now, good, max(0.5, min(8.0, took / self.usual(product)))))
        if good:
            seat.aside_s = 0.0
            seat.settles.add(now)
            self.settles.add(now)
            self.lately[product].append(took)
        elif result is Result.UNREACHABLE or seat.bad_of(4) >= 3 or 0 < seat.aside_s <= now - seat.aside_at:
            self.set_aside(now, seat, result is Result.UNREACHABLE)
        # Guards against blaming a build for the network: broken connections tell beside earlier nodes alone,
        # and of those that break in one period, as where a zone is lost, the first. Harm: crashes count once.
        fault, cold = result in (Result.FAULT, Result.SPOILT), sub.sent < seat.warm_at
        if result is Result.BROKEN:
            fault, self.broke_at = now > self.broke_at + PERIOD_S and bool(self.trial and self.older), now
        if good or fault or result is Result.SILENT:
            self.evidence.add(Sample(now, seat.node, product, result, fault, took, spent, cold))

    def set_aside(self, now: float, seat: Seat, anyway: bool) -> None:
        # Guards against failing, silent and unreachable nodes: aside ever longer, then one at a time.
        arm = self.trial if seat in self.trial else self.older
        if anyway or sum(s.aside_until > now for s in arm) < ASIDE_PART * len(arm):
            seat.aside_s = min(ASIDE_S[1], max(ASIDE_S[0], 2 * seat.aside_s))
            seat.aside_at, seat.aside_until = now, now + seat.aside_s * self.chance.uniform(0.8, 1.2)

    def probed(self, now: float, node: Node, well: bool) -> None:
        # Guards against each front finding out by its own txns. Harm: one unwell for the prober alone rests.
        seat = self.seats.get(node)
        if seat is not None and not well and not seat.settles.since(now - RATE_S):
            self.set_aside(now, seat, False)

    def watched(self, now: float) -> bool:
        phase, early = self.release.phase, now <= self.stage_at + WATCH_S
        return phase is Phase.TRIAL or (early and phase is Phase.RELEASED)

    def verdict(self, now: float) -> Verdict:
        rel = self.release
        if not self.watched(now):
            return Verdict.NONE
        if self.worse(now, rel.number):
            return Verdict.BACK
        if rel.phase is Phase.RELEASED or self.clocked:
            return Verdict.HOLD if rel.phase is Phase.TRIAL and not self.bound else Verdict.NONE
        counted = (c.total for c in self.counts if c.release == rel.number)
        seen = len(self.evidence.of(rel.number)) + sum(counted)
        least = max(self.least_ever, self.least - LEAST_PER_S * (now - self.stage_at))
        stands = self.vote == (rel.number, rel.stage, Verdict.ON) and not self.crossed
        return Verdict.ON if stands or (seen >= least and self.bound and self.trial) else Verdict.NONE

    def worse(self, now: float, number: int) -> bool:
        """True where the new build's faults or times are beyond what the earlier build's explain."""
        # Guards against holding machine trouble against a build: faults count only without sick nodes, a
        # third at most, and against the earlier one's of their kind. Harm: some on few nodes or amid others.
        new, old = self.evidence.of(number), self.evidence.before(number)
        if self.faults_least > 1:
            spread = sum(s.fault for s in trimmed(new, TRIM_PART, SICK)) >= SPREAD_LEAST
            chance = faulty_chance(new, old, self.faults_least, FAULT_FLOOR, FAULTIER) if spread else 1.0
        else:
            # Guards against stray faults of machines: of many fronts some see one early, at one of its looks.
            # A trouble shared shows in both of the same seconds. Harm: a build failing at one node is kept.
            start = min((s.at for s in new), default=now) if self.older else -inf
            theirs = [s for s in old if s.at >= start]
            mine = new if self.older else trimmed(new, TRIM_PART, SICK)
            chance = 1.0 / max(1.0, sureness(mine, theirs, BAD_PRIOR, FAULT_FLOOR, FAULTIER))
        if chance < self.doubt:
            return True
        paces = relative(*together(new, old, now - RECENT_S), SLOW_LEAST) if self.older else []
        slower = len(paces) >= self.slow_least and surely(paces) > SLOWER
        flagged = self.wrongs.count(number)
        wrong = flagged >= FAULTS_LEAST and tail_chance(flagged, flagged + len(new), FAULT_FLOOR) < self.doubt
        return slower or wrong or self.strikes >= self.strikes_least

    def ballot(self, now: float) -> None:
        if self.release is None or now < self.vote_next:
            return
        vote = (self.release.number, self.release.stage, self.verdict(now))
        none, on = vote[2] is Verdict.NONE, vote[2] is Verdict.ON
        last, out = self.vote, self.release.phase is not Phase.TRIAL
        kept = last is not None and last[:2] == vote[:2]
        spent = last is not None and last[2] is Verdict.ON and out
        nothing, early = none and (not kept or spent), on and now < self.on_next
        stands = none or now < self.vote_at + RENEW[bool(self.turn_s and on)] * self.vote_life_s
        if nothing or early or (vote == self.vote and stands):
            return
        self.vote, self.vote_at = vote, now
        self.vote_next = now + VOTE_GAP_S * self.chance.uniform(1.0, 2.0)
        self.orders.append((Verb.VOTE, *vote))
