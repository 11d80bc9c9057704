"""The life of one client's connection on the server's side: a state machine without I/O.

It alone decides when a connection may end, so that no request which was read whole is dropped and none is on
its way to a connection that is about to be closed. The host tells it what came and what was answered, asks
`answer_ends` before each answer's head goes out, and `overdue` whenever time has passed.

HTTP/1.1 has no word by which a server ends a resting connection: the client's next request may cross its end.
So each answer tells for how long the connection may rest (`Keep-Alive: timeout=N`), and the connection is not
ended before that time is over.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf

REST_TOLD_MOST_S = 2  # s that a client is told a connection may rest: no longer than a server's leaving takes
REST_SLACK_S = 0.4  # s beyond the time told: the answer's way to the client, and the next request's way back
FIRST_S = 1.0  # s that a client has for its first bytes while the server leaves: it connects in order to ask
UNASKED_S = 1.0  # s that a connection has for its request before it may end for a newcomer
LINGER_S = 1.0  # s that what still comes is read and dropped: a close with bytes unread resets the answer
HEAD_BYTES = 16 * 1024  # bytes of a request's head, where the configuration tells nothing
HEAD_SLACK = 4 * 1024  # bytes beyond the limit of heads: some count the request line, some do not
IDLE_PART = 0.8  # of the configured idle time: the rest is for requests on their way


class Phase(Enum):
    """What a connection is doing."""

    ACCEPTED = auto()  # nothing has come yet
    READING = auto()  # a part of a request's head has come, and nothing read is unanswered
    ANSWERING = auto()  # at least one request was read that is not answered
    RESTING = auto()  # all that was read is answered
    CLOSING = auto()  # the last answer is out; what comes now is dropped
    CLOSED = auto()


MOVES = {
    Phase.ACCEPTED: (Phase.READING, Phase.ANSWERING, Phase.CLOSED),
    Phase.READING: (Phase.ANSWERING, Phase.CLOSED),
    Phase.ANSWERING: (Phase.RESTING, Phase.CLOSING, Phase.CLOSED),
    Phase.RESTING: (Phase.READING, Phase.ANSWERING, Phase.CLOSED),
    Phase.CLOSING: (Phase.CLOSED,),
    Phase.CLOSED: (),
}


@dataclass(frozen=True)
class Limits:
    """What the configuration allows clients. Seconds and bytes."""

    idle_s: float  # that a connection may rest, or stay without its first request
    head_s: float  # that a request's head may take
    head_bytes: int = HEAD_BYTES  # bytes of a request's head

    @property
    def head_most(self) -> int:
        """Bytes from which on a head is refused."""
        return self.head_bytes + HEAD_SLACK

    @property
    def rest_told_s(self) -> int:
        """Whole seconds told in `Keep-Alive`. One at least, as the field has no less: a shorter idle time of
        the configuration gives way to it, since nothing else tells a client when its connection ends.
        """
        return max(1, min(REST_TOLD_MOST_S, int(IDLE_PART * self.idle_s)))


class Connection:
    """One connection. Times are seconds of the host's steady clock.

    `leaving`: the server ends, so that the next answer with nothing read behind it is the last one.
    """

    def __init__(self, now: float) -> None:
        self.phase = Phase.ACCEPTED
        self.since = now  # when the phase began
        self.unanswered = 0  # requests read and not answered
        self.answers_left: int | None = None  # answers until the last one, where that is settled
        self.last_answer = False  # the answer that is being written says that it is the last
        self.rests_until = inf  # no request is on its way from then on

    def move(self, now: float, phase: Phase) -> None:
        """The one place where the phase changes. Raises ValueError where that move is not allowed."""
        if phase not in MOVES[self.phase]:
            raise ValueError(f"a connection cannot go from {self.phase.name} to {phase.name}")
        self.phase, self.since = phase, now

    @property
    def drops(self) -> bool:
        """True where what comes is dropped: the client was told that nothing more is read."""
        return self.last_answer or self.phase in (Phase.CLOSING, Phase.CLOSED)

    @property
    def done(self) -> bool:
        """True where the last answer is out, or the connection is gone."""
        return self.phase in (Phase.CLOSING, Phase.CLOSED)

    def received(self, now: float, requests: int) -> None:
        """Bytes came, and with them the ends of so many requests' heads."""
        if self.drops:
            return
        if requests:
            self.unanswered += requests
            if self.phase is not Phase.ANSWERING:
                self.move(now, Phase.ANSWERING)
        elif self.phase in (Phase.ACCEPTED, Phase.RESTING):
            self.move(now, Phase.READING)

    def limit_answers(self) -> None:
        """From now on what was read so far is answered, or one request more, and nothing behind that.

        Guards against a client that sends on and on, so that there is always a request read behind another.
        """
        if self.answers_left is None:
            self.answers_left = max(1, self.unanswered)

    @property
    def settled(self) -> bool:
        """True where it is settled which answer is the last one."""
        return self.answers_left is not None

    def answer_ends(self, leaving: bool) -> bool:
        """True where the answer whose head goes out now is the last one, and must say so: the server leaves
        and nothing was read behind the request, or no more answers are left.
        """
        nothing_behind = leaving and self.unanswered <= 1
        self.last_answer = self.last_answer or nothing_behind or self.answers_left == 1
        return self.last_answer

    def answered(self, now: float, limits: Limits) -> None:
        """An answer was written whole."""
        if self.phase is not Phase.ANSWERING:
            return
        self.unanswered = max(0, self.unanswered - 1)
        if self.answers_left is not None:
            self.answers_left = max(1, self.answers_left - 1)
        if self.last_answer:
            self.move(now, Phase.CLOSING)
        elif not self.unanswered:
            self.move(now, Phase.RESTING)
            self.rests_until = now + limits.rest_told_s + REST_SLACK_S

    def gone(self, now: float) -> None:
        """The connection has ended, whoever ended it."""
        if self.phase is not Phase.CLOSED:
            self.move(now, Phase.CLOSED)

    def may_yield(self, now: float) -> bool:
        """True where the connection may end because newcomers need its place: no request is on its way."""
        match self.phase:
            case Phase.ACCEPTED | Phase.READING:
                return now - self.since > UNASKED_S
            case Phase.RESTING:
                return now > self.rests_until
        return False

    def overdue(self, now: float, limits: Limits, leaving: bool) -> bool:
        """True where the connection may be ended now, and should be.

        A resting one is ended by the configuration's idle time, but never before the time that its client was
        told: a configuration with a shorter one counts from the next rest on.
        """
        waited_s = now - self.since
        match self.phase:
            case Phase.ACCEPTED:
                return waited_s > (FIRST_S if leaving else max(FIRST_S, limits.idle_s))
            case Phase.READING:
                return waited_s > limits.head_s
            case Phase.RESTING:
                return now > self.rests_until and (leaving or waited_s > limits.idle_s)
            case Phase.CLOSING:
                return waited_s > LINGER_S
        return False
