"""Decides: which nodes of each build are in use, what cold ones are due, and what outcomes tell of each."""

from pinward.figures import Sample, Seat, mean
from pinward.policy.loop import PERIOD_S
from pinward.policy.state import CHANGE_S, FAULTS_LEAST, FULL_S, HASTE, RATE_S, USED_LEAST, USED_S, Kept
from pinward.terms import Kind, Node, Phase, Product, Result, State, Submission, Txn, Verb

RECENT_S, SAMPLES = 8.0, 10  # s, outcomes; older ones, or more, say nothing of a node now
ASIDE_S, ASIDE_PART = (0.8, 6.0), 0.34  # s; first and longest time aside; of an arm, to spare the rest
AWAY, QUIET, SILENT_SLA = 1.2, 3.0, 0.6  # times worse: another zone, a silent node; silent: of the SLA time
REST_FAULTY, REST_GROWS = 0.2, 1.25  # share broken after so long a rest, to rest less; times more each change
CROWD = 1.3  # times equal load on a calm fleet


class Nodes(Kept):
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

    def usual(self, product: Product) -> float:
        return mean(self.lately[product], 0.2 * product.sla_s)

    def useful_until(self, txn: Txn) -> float:
        return min(txn.taken + txn.product.sla_s - HASTE * self.usual(txn.product), txn.expiry - 2 * PERIOD_S)

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

    def opened(self, now: float, sub: Submission) -> None:
        self.seats[sub.node].heard = now

    def reused(self, now: float, rest_s: float, broke: bool) -> None:
        """A connection to a node has served once more after a rest, or broke before an answer."""
        # Guards against whatever drops idle connections sooner than told. Harm: more connections.
        faults, total = self.rests.add(rest_s, broke, self.rest_s)
        if broke and faults >= max(FAULTS_LEAST, REST_FAULTY * total):
            self.rest_s = min(self.rest_s, rest_s)

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
