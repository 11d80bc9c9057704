"""Decides: what the loop aims at within which clamp, and what a front says of a release."""

from math import inf, sqrt
from statistics import fmean

from pinward.figures import faulty_chance, mean, paced, quicker, sureness, tail_chance, trimmed
from pinward.policy.compare import FAULTIER, SLOW_LEAST, slower
from pinward.policy.loop import AIM_FAULTS, AIM_LATENCY
from pinward.policy.nodes import CROWD, RECENT_S
from pinward.policy.picking import Picking
from pinward.policy.state import FAULTS_LEAST, FAULT_FLOOR, LEAST, LEAST_EVER, LEAST_PER_S, LOOP_S, PACE
from pinward.policy.state import VOTE_GAP_S, WATCH_S
from pinward.terms import Phase, Verb, Verdict

AIM_PACE, CALM = 1.7, 1.2  # times the usual before the trial: slowness of all at most, and where it is over
SUNK, RISE, WHOLE = 0.65, 1.5, 0.9  # of what settled before: no burst does; taken: a burst; units there
SURE = 3.0  # standard errors of what settled before
BAD_PRIOR = 4.0  # a bad build's share of faults may be any; so many times likelier near nought than all
TRIM_PART, SICK, SPREAD_LEAST = 0.34, 0.3, 2  # of nodes; faulty part of a sick one; faults left elsewhere
SCOUT_S, SCOUT_MOST, SCOUTS = 5.0, 0.5, 4  # s to the least sample, or few judge for all; their share; number
RENEW = (0.6, 0.9)  # of a vote's life until it is cast anew; where few are counted a second, one on


class Votes(Picking):
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
        out = self.step(error, clamp)
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

    def await_turn(self, now: float, least: float) -> None:
        # Guards against hundreds of votes on at once, which keep out those back. Harm: a stage's last late.
        if self.turn_s:
            self.on_next = now + self.turn_s * self.chance.uniform(least, 1.0 + least)

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
        slow = bool(self.older) and slower(new, old, now - RECENT_S, self.slow_least)
        flagged = self.wrongs.count(number)
        wrong = flagged >= FAULTS_LEAST and tail_chance(flagged, flagged + len(new), FAULT_FLOOR) < self.doubt
        return slow or wrong or self.strikes >= self.strikes_least

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
