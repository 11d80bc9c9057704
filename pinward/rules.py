"""All decisions of pinward, for one front; what is decided where: `pinward/policy/`, one concern a file.

The caller makes one `Judge` a front, from `Terms` and a seed, and calls its public methods for whatever
happens, `wake` no later than `wake_at`. The time comes first; `orders` then holds what to do, then cleared.
"""

from pinward.figures import Seat
from pinward.policy.loop import PERIOD_S
from pinward.policy.nodes import SAMPLES
from pinward.policy.state import CREDIT_MOST, RATE_S, VOTE_GAP_S
from pinward.policy.votes import Votes
from pinward.terms import Count, Kind, Listing, MOVES, Node, Phase, Product, Release, Reply, Result, State
from pinward.terms import Submission, Txn, Verb, move

ASK_STEPS = 4  # failures, each with twice the wait, until the list is asked for once in the time told for it


class Judge(Votes):
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
                self.stage_at, self.bound, self.scout = now - release.since_s, False, self.chance.random()
                self.begin(self.shares[release.stage])
                self.spell.slow_for *= release.phase is Phase.TRIAL
                self.await_turn(now, 0.0)
            if release.phase in (Phase.GOING_BACK, Phase.WITHDRAWN):
                self.key_floor = {k: n for k, n in self.key_floor.items() if n < release.number}
            self.arms(now)

    def counted(self, now: float, count: Count) -> None:
        self.counts.append(count)

    def wrong(self, now: float, node: Node, product: Product, age_s: float) -> None:
        self.wrongs.append(node.release)
