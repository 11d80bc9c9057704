"""Decides: which node a txn is submitted to within limits and cap, which wait, and which are given up."""

from heapq import heappop, heappush
from math import inf

from pinward.figures import Seat, mean
from pinward.policy.loop import AIM_LATENCY, within
from pinward.policy.nodes import AWAY, QUIET, RECENT_S, SILENT_SLA, Nodes
from pinward.policy.state import RATE_S, SPENT_OF
from pinward.terms import Group, Kind, Result, State, Submission, Txn, Verb, move

DRAWS, COLD_DRAWS = 6, 3  # draws to find two open nodes, enough where one in three is; and a cold one
OVER, EDGE_S = 1.3, 0.011  # times a customer's share: over it; s, two batches' slack where a rule counts


class Picking(Nodes):
    def room(self, now: float, txn: Txn) -> bool:
        """True where one more submission to the trial keeps the window count within the cap."""
        number, what = self.trial[0].node.release, txn.product if self.by_product else "all"
        rel = self.release if self.release is not None and self.release.number == number else None
        stage, cap = (0, self.caps[0]) if rel is None else (rel.stage, rel.cap)
        if stage < self.guarded and txn.product.kind is not Kind.INQUIRY_LIKE:
            return False
        sent, start = self.sends.since(now - self.cap_s - EDGE_S, (number, what)), now - self.cap_s + EDGE_S
        taken = self.takes.since(start, what) - self.takes.since(start, Result.UNFIT)
        return within(sent, taken, cap, self.cap_free)

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
