"""The life of one client's request, from its reading to its final answer: a state machine without I/O.

`Call.next` says what to do: send to a machine, answer, or wait. A request goes to another machine only where
it may run again or has provably not run, within its route's tries, the budget and the time left. One that
may run again is also sent to a second machine beside a first that is long silent; the first goes on, and
whichever answers first counts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf

from pinward.plan.routes import Route
from pinward.switchboard.leaving import LeaveSchedule
from pinward.switchboard.lines import Lines, Machine
from pinward.switchboard.verdict import (
    BROKEN, LATE, NEVER_RAN, TURNED, End, Ending, Kind, Verdict, ended, goes_on, own_status,
)  # fmt: skip
from pinward.tally.tries import Tries
from pinward.trial.front import Trial

AGAIN_PART = 0.5  # of the service's usual time that must be left for a further try to be of use
BACK_S = (0.1, 0.3)  # s after which a client is told to come back, drawn: they come spread
ADMIT, ADMIT_RANK, ADMIT_LEAST = 0.75, 0.05, 0.45  # of the goal: expected time at most; less for each rank
BESIDE = 2.2  # times the expected time until a second machine is asked beside: one in fifty takes longer
BESIDE_LOAD = 0.5  # of the slots busy, over the service, up to which work is done twice: above, queues grow
BESIDE_PART = 0.5  # of the budget: the rest is for requests whose send ended in vain
NEAR_S = 0.001  # s that count as none: a wait so short would be a busy one
LEAST_S = 0.004  # s below which nothing is sent any more: a machine would be asked in vain


class State(Enum):
    TAKEN = auto()  # nothing is under way
    SENT = auto()  # one or two sends are
    ENDED = auto()


MOVES = {State.TAKEN: (State.SENT, State.ENDED), State.SENT: (State.SENT, State.TAKEN, State.ENDED)}


@dataclass(eq=False)
class Send:
    """Send to this machine now; `allow_s` is what is left of the client's time."""

    machine: Machine
    allow_s: float
    trial: bool
    at: float


@dataclass
class Wait:
    """Wait for a send to end, so long at most (for ever where `inf`); then ask again."""

    most_s: float


@dataclass
class Reply:
    """The final answer: the machine's, or one of our own with `status`."""

    status: int
    ending: Ending | None = None
    back_s: float | None = None


class Call:
    def __init__(self, route: Route, service: str, taken: float, allow_s: float) -> None:
        self.route, self.service, self.taken = route, service, taken
        self.until = taken + min(allow_s, route.timeout_s)
        self.state = State.TAKEN
        self.tried: list[Machine] = []
        self.last: Ending | None = None
        self.left_at: float | None = None  # when its client left
        self.leaving: LeaveSchedule | None = None  # of the proxy, once it was told to end
        self.ran = False  # a send of it may have run
        self.streams = False  # its body is gone once it was sent
        self.sending: list[Send] = []
        self.passing: Send | None = None  # the one send whose answer is being passed on
        self.kind = Kind.IDEM if route.repeatable else Kind.ONCE

    def move(self, state: State) -> None:
        """The one place where a call changes its state."""
        if state not in MOVES.get(self.state, ()):
            raise ValueError(f"a call cannot go from {self.state.name} to {state.name}")
        self.state = state

    def leave(self, now: float) -> None:
        """Its client has left: nothing more is sent for it, and what its sends bring is for nobody."""
        self.left_at = now
        if self.state is not State.ENDED:
            self.move(State.ENDED)

    def may_send(self, now: float) -> bool:
        """False where the proxy leaves and would have to give up what it sends now."""
        return self.leaving is None or self.leaving.may_send(now, self.until)

    def next(self, now: float, lines: Lines, tries: Tries, trial: Trial | None) -> Send | Reply | Wait:
        """What to do now; not to be asked once the client has left."""
        left = self.until - now
        if self.state is State.SENT:
            return self.beside(now, lines, tries, trial)
        if not self.may_send(now) or (self.tried and not self.again(now, lines, tries)):
            return self.reply(lines)
        if left < LEAST_S:
            self.move(State.ENDED)
            back_s = None if self.ran else lines.chance.uniform(*BACK_S)
            return Reply(LATE if self.ran else TURNED, back_s=back_s)
        machine, new = None, False
        service = lines.services.get(self.service)
        if trial is not None and service is not None:
            if not self.tried:
                trial.take(service.part())
            if trial.wants(lines.fronts) and not self.tried:
                some = max(1, round(trial.bounds.trial_cap * len(service.base)))
                machine = lines.pick(now, self.service, self.tried, True, some)
                new = machine is not None
        machine = machine or lines.pick(now, self.service, self.tried)
        if machine is None:
            return self.reply(lines)
        if not self.tried and not new and self.hopeless(now, lines, machine):
            self.move(State.ENDED)
            return Reply(TURNED, back_s=lines.chance.uniform(*BACK_S))
        return self.send(now, lines, tries, trial, machine, new)

    def send(
        self, now: float, lines: Lines, tries: Tries, trial: Trial | None, machine: Machine, new: bool
    ) -> Send:  # fmt: skip
        if trial is not None:
            trial.sends(new)
        if self.tried:
            tries.spend(now)
        self.tried.append(machine)
        lines.begin(machine)
        self.move(State.SENT)
        self.sending.append(Send(machine, self.until - now, new, now))
        return self.sending[-1]

    def beside(self, now: float, lines: Lines, tries: Tries, trial: Trial | None) -> Send | Wait:
        """Whether a second machine is asked while the first is silent.

        Guards against machines that are gone or very slow: nothing else tells of them before the deadline.
        Harm: work done twice, within half of the budget, and only where half of the slots are free.
        """
        first, service = self.sending[0], lines.services.get(self.service)
        may = self.route.repeatable and not (self.streams or self.passing) and len(self.sending) == 1
        may = may and self.may_send(now)
        if not may or service is None or len(self.tried) >= self.route.tries:
            return Wait(inf)
        late_s = first.at + BESIDE * max(service.usual_s, lines.expected(now, first.machine)) - now
        if self.until - now - max(0.0, late_s) < AGAIN_PART * service.usual_s:
            return Wait(inf)
        if late_s > NEAR_S:
            return Wait(late_s)
        machine = lines.pick(now, self.service, self.tried)
        spare = machine is not None and service.load(now) <= BESIDE_LOAD
        if machine is None or not spare or not tries.may(now, lines.fronts, BESIDE_PART):
            return Wait(inf)
        return self.send(now, lines, tries, trial, machine, False)

    def hopeless(self, now: float, lines: Lines, machine: Machine) -> bool:
        # Guards against queues of late work: the best machine found is full and would answer after the goal.
        # Low ranks go first. Harm: where the load told is old, one that would have been in time.
        goal_s = self.route.goal_s or self.route.timeout_s
        part = max(ADMIT_LEAST, ADMIT - ADMIT_RANK * self.route.rank)
        full = machine.busy(now) >= machine.entry.slots
        return full and lines.expected(now, machine) > part * goal_s

    def again(self, now: float, lines: Lines, tries: Tries) -> bool:
        """True where another machine may be tried."""
        last = self.last
        if last is None or self.streams or self.passing or len(self.tried) >= self.route.tries:
            return False
        if not goes_on(last, self.ran, self.kind):
            return False
        service = lines.services.get(self.service)
        useful = service is not None and self.until - now > AGAIN_PART * service.usual_s
        return useful and tries.may(now, lines.fronts)

    def final(self, status: int) -> bool:
        """True where a machine's answer with this status is the client's, whatever else ends."""
        # Symptom: a long 503 of a machine that ran a `once` request was passed on before the table was asked.
        last = ended(End.ANSWER, status=status)
        return not goes_on(last, True, self.kind) and own_status(last, True, self.kind) is None

    def passes_on(self, sending: Send) -> None:
        """A send's answer has begun to go to the client: from here on it alone counts."""
        # Symptom: a second machine, asked beside one whose long answer was on its way, ended it midway.
        self.passing = sending

    def ended(self, now: float, lines: Lines, sending: Send, ending: Ending, trial: Trial | None) -> None:
        """A send ended, perhaps after the answer was given: then only what it tells of its machine counts."""
        took = now - sending.at
        self.sending.remove(sending)
        lines.end(now, sending.machine, ending, took)
        self.ran = self.ran or ending.verdict not in NEVER_RAN
        if trial is not None and ending.verdict is Verdict.RAN:
            cold = now < sending.machine.warm_at
            goal_s = self.route.goal_s or self.route.timeout_s
            trial.ended(now, sending.trial, self.route.name, ending.status >= 500, took, goal_s, cold)
        if self.state is not State.SENT or (self.passing is not None and sending is not self.passing):
            return
        whole = ending.verdict is Verdict.RAN and ending.status < 500
        self.last = ending
        if whole or not self.sending or self.passing is not None:
            self.move(State.TAKEN)

    def reply(self, lines: Lines) -> Reply:
        """The answer where nothing more is sent."""
        self.move(State.ENDED)
        status = own_status(self.last, self.ran, self.kind)
        if status is None and self.last is not None:
            return Reply(self.last.status, self.last)
        back_s = lines.chance.uniform(*BACK_S) if status == TURNED else None
        return Reply(status or BROKEN, back_s=back_s)
