"""Many fronts before many nodes in simulated time: what each does alone, added up over a fleet.

Real Judges, one a front; nodes with a few cores and a queue; a platform that stages releases by votes, of
which it counts only so many a second. Zones are lost and return cold, nodes are slow or fail, builds are bad.
All chance comes from one seed, and nothing waits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

from pinward.rules import Judge
from pinward.terms import Gate, Group, Kind, Listing, Node, Phase, Product, Release, Reply, Result, State
from pinward.terms import Submission, Terms, Txn, Verb, Verdict

PRODUCTS = (  # SLA time and expiry in s, revenue, its late part, kind; mean work in s and share of all txns
    (Product(1.5, 5.0, 1.0, 0.2, Kind.INQUIRY_LIKE), 0.19, 0.58),
    (Product(2.0, 6.0, 1.0, 0.2, Kind.INQUIRY_LIKE), 0.27, 0.25),
    (Product(0.8, 2.0, 2.0, 0.2, Kind.REFERENCED, Group.ALL, 4.0), 0.11, 0.17),
)
WAVES, SLACK = (0.1, 0.35, 1.0), 1.7  # shares of places on trial, and the cap over them
BAKE_S, BOOT_S, DRAIN_S = 2.0, (1.0, 2.5), 2.0  # least time of a stage; a node's start; a drained one's
LIST_S, NEWS_S, SILENT_S = (0.45, 1.3), (0.12, 0.9), (7.0, 14.0)  # until listed; told; until a dead one is
CORES, QUEUE = 4, 80  # of a node; txns that wait there
TRIES = 2  # more tries of a client
HOP_S, CALL_S, VOTE_S = 0.0005, (0.036, 0.2), 10.0  # to a node; to the platform; a vote's life
COLD_FROM, COLD_S = 0.4, 4.0  # a node that has just started


@dataclass
class Build:
    """A release on offer, and how it is bad, if it is."""

    offered: float
    faults: float = 0.0  # share of its txns
    slower: float = 1.0  # times the work
    late_s: float = 0.0  # both begin so long after a node's start
    loaded: float = 0.0  # both begin where more than this part of a node's cores is busy
    shared: float = 0.0  # every node, old or new, is slower by this times the build's part of the fleet
    fate: str = "never offered"
    at: float = 0.0


@dataclass(eq=False)
class Wish:
    """What a client wants; each try is a txn of its own."""

    product: Product
    work: float
    began: float
    tries: int = 0


@dataclass(eq=False)
class Machine:
    """What runs at one place; `node` is what the list tells of it."""

    node: Node
    place: int
    started: float
    cores: int = CORES
    slow: float = 1.0
    faults: float = 0.0
    alive: bool = True
    drains: bool = False
    busy: int = 0
    line: deque[Submission] = field(default_factory=deque)

    def speed(self, now: float) -> float:
        warmth = 1.0 - (1.0 - COLD_FROM) * max(0.0, 1.0 - (now - self.started) / COLD_S)
        return warmth / self.slow


@dataclass(eq=False)
class Desk:
    """A front: its Judge, its part of the traffic and what it has been told."""

    judge: Judge
    part: float
    vote: tuple[int, int, Verdict] | None = None
    vote_until: float = 0.0


class Crowd:
    """A day; `run` plays it. `settled` and `asked` count revenue by whole second."""

    def __init__(
        self, seed: int, fronts: int, places: int, load: float, builds: list[Build], zones: int = 3,
        on_part: float = 0.5, back_part: float = 0.08, votes_per_s: float = 75.0,
    ) -> None:  # fmt: skip
        self.chance, self.now, self.zones = Random(seed), 1000.0, zones
        self.began, self.builds, self.events, self.count = self.now, builds, [], 0
        self.on_votes, self.back_votes = max(1, round(on_part * fronts)), max(1, round(back_part * fronts))
        self.votes_per_s, self.room, self.full = votes_per_s, 2 * votes_per_s, 0  # of votes; refused
        self.rate = load * places * CORES / sum(work * part for _, work, part in PRODUCTS)
        self.machines: dict[Node, Machine] = {}
        self.weak: dict[int, tuple[float, float]] = {}  # places in trouble: how slow, how faulty
        self.homes: list[Machine] = []
        for place in range(places):
            self.homes.append(self.launch(place, 1, 0.0))
        self.release = Release(1, Phase.RELEASED, len(WAVES) - 1, 1.0, 0.0)
        self.ready, self.drag = self.now, 0.0
        self.new: set[int] = set()  # places that get the build on trial
        self.asked: dict[int, float] = {}
        self.settled: dict[int, float] = {}
        self.declined = self.late = self.voted = 0
        self.surge = lambda t: 1.0
        told = self.terms(fronts)
        parts = [self.chance.lognormvariate(0.0, 0.7) for _ in range(fronts)]
        self.desks = [
            Desk(Judge(told[n % zones], seed * 1000 + n, self.now), part / sum(parts))
            for n, part in enumerate(parts)
        ]
        for desk in self.desks:
            self.tell(desk, desk.judge.fleet, [self.listing(m) for m in self.homes], True, False)
            self.tell(desk, desk.judge.news, self.release, None)
            self.after(self.chance.uniform(0.0, 0.2), self.beat, desk)
            self.after(self.chance.expovariate(self.rate * desk.part), self.arrive, desk)
        self.after(0.2, self.govern)

    def terms(self, fronts: int) -> list[Terms]:
        usual = dict(
            fronts=fronts, number=0, products=[p for p, _, _ in PRODUCTS], customers=[], over_share_worth=0.2,
            must_ask=False, ask_within_s=10.0, answer_slack_s=0.02, cold_from=COLD_FROM, cold_s=COLD_S,
            drain_grace_s=1.0, fall_multiple=2.0, fall_s=1.0, max_submissions=3, most_open=200,
            node_idle_s=15.0, may_recall=True, may_copy=False, may_probe=False, may_tell=False,
            may_defer=True, max_defer_s=0.5, gate=Gate.MAJORITY, in_place=True,
            stage_caps=[min(1.0, SLACK * w) for w in WAVES],
            stage_shares=list(WAVES), cap_by_product=False, cap_free=2.0, cap_window_s=4.0, guarded_stages=1,
            keys_stay=False, warm_keys=False, on_votes=self.on_votes, back_votes=self.back_votes,
            hold_votes=0, vote_life_s=VOTE_S, vote_answer_s=2.0, votes_per_s=self.votes_per_s, soak_s=BAKE_S,
            counts_every_s=0.0, count_sample=0.0, wrong_share=0.0, behind_price=0.45,
            harm_price=5.0, batch_s=0.005,
        )  # fmt: skip
        return [Terms(zone=zone, **usual) for zone in range(self.zones)]  # type: ignore[arg-type]

    # The clock.

    def after(self, seconds: float, call: Callable[..., None], *things: Any) -> None:
        self.count += 1
        heappush(self.events, (self.now + seconds, self.count, call, things))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, call, things = heappop(self.events)
            call(*things)
        self.now = end

    # Fronts.

    def tell(self, desk: Desk, call: Callable[..., None], *things: Any) -> None:
        call(self.now, *things)
        orders, desk.judge.orders = desk.judge.orders, []
        for verb, *what in orders:
            if verb is Verb.SUBMIT:
                self.after(HOP_S, self.reach, what[0])
                self.after(what[0].allow_s, self.end, what[0], Result.SILENT)
            elif verb is Verb.RECALL:
                self.after(0.0, self.end, what[0], Result.RECALLED)
            elif verb in (Verb.DECLINE, Verb.VOID):
                self.turned_away(desk, what[0].tag[1], what[1] if verb is Verb.DECLINE else 0.0)
            elif verb is Verb.VOTE:
                self.after(self.chance.uniform(*CALL_S), self.cast, desk, tuple(what))

    def beat(self, desk: Desk) -> None:
        self.tell(desk, desk.judge.wake)
        self.after(max(0.01, desk.judge.wake_at - self.now), self.beat, desk)

    def arrive(self, desk: Desk) -> None:
        rate = self.rate * desk.part * self.surge(self.now - self.began)
        self.after(self.chance.expovariate(rate), self.arrive, desk)
        product, work, _ = self.chance.choices(PRODUCTS, [part for *_, part in PRODUCTS])[0]
        second = int(self.now - self.began)
        self.asked[second] = self.asked.get(second, 0.0) + product.revenue
        self.ask(Wish(product, work * self.chance.lognormvariate(-0.25, 0.7), self.now), desk)

    def ask(self, wish: Wish, desk: Desk) -> None:
        wish.tries += 1
        txn = Txn(wish.product, None, wish.began + wish.product.expiry_s, taken=self.now, tag=(desk, wish))
        self.tell(desk, desk.judge.take, txn)

    def turned_away(self, desk: Desk, wish: Wish, away_s: float) -> None:
        """A client that got no answer comes again, at any front, up to its tries."""
        self.declined += 1
        pause = max(away_s, 0.1 * 2**wish.tries * self.chance.uniform(0.5, 1.5))
        if wish.tries <= TRIES and self.now + pause < wish.began + wish.product.expiry_s:
            self.after(pause, self.ask, wish, desk)

    def end(self, sub: Submission, result: Result) -> None:
        if sub.result is not None:
            return
        if sub in (line := self.machines[sub.node].line):
            line.remove(sub)
        txn, over = sub.txn, result is Result.SETTLED or sub.txn.state is State.LEFT
        desk, wish = txn.tag
        if result is Result.SETTLED and txn.state is State.SUBMITTED:
            late = self.now - wish.began > txn.product.sla_s
            second = int(wish.began - self.began)
            worth = txn.product.revenue * (txn.product.late_share if late else 1.0)
            self.settled[second] = self.settled.get(second, 0.0) + worth
            self.late += late
        self.tell(desk, desk.judge.ended, sub, result, self.now - sub.sent, over)

    # Nodes.

    def listing(self, m: Machine) -> Listing:
        ready = not m.drains and m.alive
        return Listing(m.node, m.node.release, m.place % self.zones, 0, 1.0, m.started, ready)

    def launch(self, place: int, number: int, started: float) -> Machine:
        machine = Machine(Node(f"m{len(self.machines)}", number, place % self.zones), place, started)
        machine.slow, machine.faults = self.weak.get(place, (1.0, 0.0))
        self.machines[machine.node] = machine
        return machine

    def listed(self, machine: Machine, *delay: float) -> None:
        line = self.listing(machine)
        for desk in self.desks:
            late = self.chance.uniform(*(delay or LIST_S))
            self.after(late, self.tell, desk, desk.judge.fleet, [line], False, False)

    def reach(self, sub: Submission) -> None:
        machine = self.machines[sub.node]
        if sub.result is not None or not machine.alive:
            return
        if machine.drains or len(machine.line) >= QUEUE:
            self.after(HOP_S, self.end, sub, Result.TURNED_AWAY)
            return
        machine.line.append(sub)
        self.work_on(machine)

    def work_on(self, machine: Machine) -> None:
        while machine.alive and machine.line and machine.busy < machine.cores:
            sub = machine.line.popleft()
            machine.busy += 1
            build = self.builds[sub.node.release - 2] if sub.node.release > 1 else None
            age = self.now - machine.started
            faulty, slow = machine.faults, 1.0 + self.drag
            if build is not None and age >= build.late_s and machine.busy >= build.loaded * machine.cores:
                faulty, slow = max(faulty, build.faults), slow * build.slower
            took = sub.txn.tag[1].work * slow / machine.speed(self.now)
            bad = self.chance.random() < faulty
            self.after(took * (0.2 if bad else 1.0), self.done, machine, sub, bad)

    def done(self, machine: Machine, sub: Submission, bad: bool) -> None:
        if machine.alive:
            machine.busy -= 1
            self.after(HOP_S, self.end, sub, Result.FAULT if bad else Result.SETTLED)
            self.work_on(machine)

    def die(self, machine: Machine, back_s: float) -> None:
        """Falls silent; after `back_s` another starts at its place, cold."""
        machine.alive = False
        self.listed(machine, *SILENT_S)
        self.after(back_s, self.replace, machine)

    def replace(self, machine: Machine) -> None:
        self.listed(machine)
        if self.homes[machine.place] is machine:  # else another build has come meanwhile
            self.homes[machine.place] = self.launch(machine.place, machine.node.release, self.now)
            self.listed(self.homes[machine.place])

    def lose_zone(self, zone: int, back_s: float) -> None:
        for machine in list(self.homes):
            if machine.alive and machine.place % self.zones == zone:
                self.die(machine, back_s)

    # The platform.

    def cast(self, desk: Desk, vote: tuple[int, int, Verdict]) -> None:
        number, stage, verdict = vote
        self.voted, answer = self.voted + 1, self.chance.uniform(*CALL_S)
        if self.room < 1:
            self.full += 1
            self.after(answer, self.tell, desk, desk.judge.news, self.aged(self.release), Reply.FULL)
            return
        self.room -= 1
        rel = self.release
        moot = number != rel.number or rel.phase is Phase.WITHDRAWN or rel.phase is Phase.GOING_BACK
        moot = moot or (verdict is Verdict.ON and (stage != rel.stage or rel.phase is not Phase.TRIAL))
        if not moot:
            desk.vote, desk.vote_until = vote, self.now + VOTE_S
        reply = Reply.MOOT if moot else Reply.COUNTED
        self.after(answer, self.tell, desk, desk.judge.news, self.aged(self.release), reply)

    def aged(self, rel: Release) -> Release:
        """What the platform says now of where a release came to stand."""
        return Release(rel.number, rel.phase, rel.stage, rel.cap, self.now - rel.since_s)

    def stand(self, number: int, phase: Phase, stage: int, cap: float) -> None:
        self.release, self.ready = Release(number, phase, stage, cap, self.now), self.now + 1.0
        for desk in self.desks:
            self.after(self.chance.uniform(*NEWS_S), self.hear, desk, self.release)

    def hear(self, desk: Desk, rel: Release) -> None:
        self.tell(desk, desk.judge.news, self.aged(rel), None)

    def govern(self) -> None:
        self.after(0.1, self.govern)
        self.room = min(2 * self.votes_per_s, self.room + 0.1 * self.votes_per_s)
        shares = [self.builds[m.node.release - 2].shared for m in self.homes if m.node.release > 1]
        self.drag = sum(shares) / len(self.homes)
        rel, t = self.release, self.now - self.began
        build = self.builds[rel.number - 2] if rel.number > 1 else None
        votes = [d.vote for d in self.desks if d.vote and d.vote_until > self.now and d.vote[0] == rel.number]
        back = sum(v[2] is Verdict.BACK for v in votes)
        on = sum(v[2] is Verdict.ON and v[1] == rel.stage for v in votes)
        if build and rel.phase in (Phase.TRIAL, Phase.RELEASED) and back >= self.back_votes:
            build.fate, build.at = f"back from {rel.phase.name.lower()} {rel.stage}", t
            self.stand(rel.number, Phase.GOING_BACK, rel.stage, 0.0)
            for place in sorted(self.new):
                self.after(self.chance.uniform(*BOOT_S), self.undo, place)
        elif rel.phase is Phase.TRIAL and build and on >= self.on_votes and self.now >= self.ready + BAKE_S:
            if rel.stage + 1 < len(WAVES):
                self.enter(rel.number, rel.stage + 1)
            else:
                build.fate, build.at = "released", t
                self.stand(rel.number, Phase.RELEASED, rel.stage, 1.0)
                self.new.clear()
        elif rel.phase is Phase.GOING_BACK and not self.new:
            self.stand(rel.number, Phase.WITHDRAWN, rel.stage, 0.0)
        over = rel.phase in (Phase.RELEASED, Phase.WITHDRAWN)
        due = rel.number - 1 < len(self.builds) and t >= self.builds[rel.number - 1].offered
        if over and due:
            self.builds[rel.number - 1].fate = "on trial"
            self.base = [m.node.release for m in self.homes]
            self.enter(rel.number + 1, 0)

    def enter(self, number: int, stage: int) -> None:
        self.stand(number, Phase.TRIAL, stage, min(1.0, SLACK * WAVES[stage]))
        wanted = round(WAVES[stage] * len(self.homes))
        left = [p for p in range(len(self.homes)) if p not in self.new and self.homes[p].alive]
        for place in self.chance.sample(left, max(0, min(len(left), wanted - len(self.new)))):
            boot = self.chance.uniform(*BOOT_S)
            self.ready = max(self.ready, self.now + boot + 1.0)
            self.new.add(place)
            self.after(boot, self.succeed, place, number)

    def succeed(self, place: int, number: int) -> None:
        if self.release.number != number or self.release.phase is not Phase.TRIAL:
            self.new.discard(place)
            return
        self.swap(place, number)

    def undo(self, place: int) -> None:
        self.swap(place, self.base[place])
        self.new.discard(place)

    def swap(self, place: int, number: int) -> None:
        old = self.homes[place]
        if old.node.release == number:
            return
        self.homes[place] = self.launch(place, number, self.now)
        self.listed(self.homes[place])
        self.after(DRAIN_S, self.drain, old)

    def drain(self, machine: Machine) -> None:
        machine.drains = True
        self.listed(machine)

    def share(self, first: int = 0, last: int = 10**9) -> float:
        """The revenue settled in time over that asked for, of the seconds from `first` up to `last`."""
        seconds = [s for s in self.asked if first <= s < last]
        return sum(self.settled.get(s, 0.0) for s in seconds) / sum(self.asked[s] for s in seconds)
