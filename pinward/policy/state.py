"""Decides: what all decisions of a front rest on, and the one place where a txn changes its state."""

from collections import deque
from math import ceil, inf
from random import Random
from statistics import fmean

from pinward.figures import Record, Rests, Seat, Spell, Tally, Window
from pinward.policy.loop import PERIOD_S, Loop
from pinward.terms import Node, Release, Terms, Txn, Verdict

PACE, SPELL, LASTING = 4.0, 0.5, 2.5  # longest SLA times: kept; the least spell; it counts once more
LEAST, LEAST_PER_S, LEAST_EVER = 20, 3.0, 4  # outcomes; the design's least, less each second, and at least
DOUBT, FAULT_FLOOR = 0.016, 0.005  # chance, over all fronts, of blaming a build; share put down to chance
WATCH_S, VOTE_GAP_S = 15.0, 0.6  # s; watch of a released build; least gap of votes, spread to twice that
KEPT, LATELY = 300, 60  # outcomes kept a build and product: ten seconds of a large front; times a product
FULL_S, OPEN_ALL = 0.3, 4.0  # s until a full node is tried again; open a node for all fronts, or none learns
OPEN_S, HASTE = 0.3, 1.3  # of the mean SLA time's settled txns: open, lest many be late; times left of it
USED_S, USED_LEAST, CHANGE_S = 4.0, 4, 3.0  # s between outcomes to know a node; nodes; s between exchanges
COLD_PART, CREDIT_MOST = 0.6, 1.5  # of the fall multiple, rest for chance; txns owed at most: no rush
RATE_S, SPENT_OF = 3.0, 8  # s, outcomes; what rates are counted over; what tells slow answers from one
CLIENTS_OF, NODE_IDLE = 0.6, 0.5  # part for clients, the rest for nodes; of the time when a node closes
LOOP_S = 3.0  # s; how fresh the loop's outcomes are
FAULTS_LEAST, STRIKES = 3, 2  # two may be one bad second; strikes that are one vote
ASK_S, IDLE_S, IDLE_OF = 2.5, 2.0, 0.3  # s a client has to ask in full, to be idle; part of them that may be
UNASKED_S, LINGER_S, STALL_S = 0.1, 0.5, 0.3  # s to ask where room is short; for the last; to end an answer


class Kept(Loop):
    def __init__(self, terms: Terms, seed: int, now: float) -> None:
        super().__init__()
        self.chance, self.started, self.zone, self.fronts = Random(seed), now, terms.zone, terms.fronts
        self.must_ask, self.ask_most_s, self.watching = terms.must_ask, terms.ask_within_s, False
        self.asked, self.ask_at, self.wake_at, self.rate, self.bound = 0, -inf, now, 0.0, False
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
        # What the trial and the cold nodes are owed, in txns; what part of those taken the cold ones are due.
        self.credit, self.cold_credit, self.cold_part = self.chance.random(), self.chance.random(), 0.0
        self.spell = Spell(PERIOD_S, SPELL * self.long_s, LASTING * self.long_s)
        self.pressed, self.strikes, self.calm = False, 0, 0.0  # txns settled in LOOP_S as a trial begins
        self.vote_at, self.crossed, self.carried, self.scout, self.boost = -inf, False, 0.0, 1.0, 1.0
        self.broke_at = self.on_next = -inf  # the last broken connection; until when a vote on waits its turn
        self.vote: tuple[int, int, Verdict] | None = None  # the last cast
        self.orders: list[tuple] = []
