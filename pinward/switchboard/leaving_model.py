"""Explores a proxy's end: every order of signal, requests, machines' answers, time and the grace's end.

One connection, whose client sends up to a few requests whenever it likes, around the real `Connection` and
`LeaveSchedule`; what the hosts do with them is repeated here in few lines. Errors can be planted, to see that
they would be found. States with more requests at machines come first.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from functools import partial
from typing import Any

from pinward.common.connection import Connection, Limits, Phase
from pinward.explorer import Explorer
from pinward.switchboard.leaving import LeaveSchedule

STEP_S = 0.5  # s that pass in one step of time
GRACE_S = 3.0
EARLY_PART = 0.5  # of the grace: what its client sent later may not be given up
SHORT_S, LONG_S = 0.5, 6.0  # time that requests have
LIMITS = Limits(idle_s=15.0, head_s=3.0)
PLANTS = ("none", "any send", "ahead of the end", "no giving up")


class State(Enum):
    """What has become of a request."""

    WAITS = auto()  # it was read, and is not sent to a machine
    SENT = auto()
    RAN = auto()  # its machine has answered
    REFUSED = auto()  # it is answered without being sent
    GIVEN_UP = auto()  # it is answered though its machine is at work
    DONE = auto()  # its answer went out


@dataclass
class Request:
    """One request on the connection. Times in seconds."""

    read_at: float
    until: float
    state: State = State.WAITS


@dataclass
class Bounds:
    """How often each may happen on one way."""

    requests: int = 3
    steps_of_time: int = 7


@dataclass
class World:
    """One state."""

    left: Bounds
    now: float = 0.0
    schedule: LeaveSchedule | None = None
    connection: Connection = field(default_factory=lambda: Connection(0.0))
    requests: list[Request] = field(default_factory=list)  # in the order in which they were read
    exited: bool = False

    @property
    def open(self) -> list[Request]:
        """Requests whose answers are not out, in their order."""
        return [request for request in self.requests if request.state is not State.DONE]


class Model(Explorer[World]):
    """`plant` names an error of `PLANTS`."""

    def __init__(self, plant: str = "none", bounds: Bounds | None = None) -> None:
        self.plant, self.bounds = plant, bounds or Bounds()

    def explore_all(self, most: int) -> dict[str, Any]:
        """Explores from a connection that was just accepted, before the signal."""
        return self.explore(World(Bounds(**vars(self.bounds))), most)

    # What may happen.

    def steps(self, world: World) -> list[tuple[str, Callable[[World], Any]]]:
        if world.exited:
            return []
        some: list[tuple[str, Callable[[World], Any]]] = []
        if world.schedule is None:
            some.append(("signal", self.signal))
        if world.left.requests and world.connection.phase is not Phase.CLOSED:
            some += [("short request", partial(self.read, allow_s=SHORT_S))]
            some += [("long request", partial(self.read, allow_s=LONG_S))]
        some += [
            (f"machine answers {number}", partial(self.ran, number=number))
            for number, request in enumerate(world.requests)
            if request.state is State.SENT
        ]
        if world.left.steps_of_time:
            some.append(("time", self.time))
        return some

    def signal(self, world: World) -> None:
        world.schedule = LeaveSchedule(world.now, GRACE_S)

    def read(self, world: World, allow_s: float) -> None:
        """A whole request is read from the connection, or dropped behind its last answer."""
        world.left.requests -= 1
        if world.connection.drops:
            return
        world.requests.append(Request(world.now, world.now + allow_s))
        settled = world.connection.settled and self.plant != "ahead of the end"
        world.connection.received(world.now, 1)
        if len(world.open) == 1 or not settled:
            self.send(world, world.requests[-1])
        self.answer(world)

    def ran(self, world: World, number: int) -> None:
        world.requests[number].state = State.RAN
        self.answer(world)

    def time(self, world: World) -> None:
        """Some time passes; then the proxy does what is due."""
        world.left.steps_of_time -= 1
        world.now += STEP_S
        for request in world.open:
            if request.state is State.SENT and world.now >= request.until:
                request.state = State.RAN  # answered with 504: its client does not wait any more
        schedule, connection = world.schedule, world.connection
        if schedule is not None:
            if world.now >= schedule.sends_until:
                connection.limit_answers()
            if world.now >= schedule.gives_up_at and self.plant != "no giving up":
                self.give_up(world, schedule)
        self.answer(world)
        if connection.overdue(world.now, LIMITS, schedule is not None):
            self.end(world)
        if schedule is not None and world.now >= schedule.ends_at:
            self.exit(world)

    # What the hosts do.

    def send(self, world: World, request: Request) -> None:
        """Sends a request to a machine, or refuses it."""
        schedule = world.schedule
        may = schedule is None or schedule.may_send(world.now, request.until) or self.plant == "any send"
        request.state = State.SENT if may else State.REFUSED

    def answer(self, world: World) -> None:
        """Writes the answers that are due, in their order, and sends the request whose turn it is."""
        connection = world.connection
        for request in world.open:
            if connection.done:
                break
            if request.state is State.WAITS:
                self.send(world, request)
            if request.state is State.SENT:
                return
            connection.answer_ends(world.schedule is not None)
            connection.answered(world.now, LIMITS)
            request.state = State.DONE
        if connection.done:
            self.drop(world)

    def drop(self, world: World) -> None:
        """The last answer is out: what was read behind it has none."""
        for request in world.open:
            if request.state is not State.WAITS:
                self.broken = "a request that was sent to a machine is behind the last answer"
            request.state = State.DONE

    def give_up(self, world: World, schedule: LeaveSchedule) -> None:
        for request in world.open:
            if request.state is State.SENT:
                request.state = State.GIVEN_UP
                if request.read_at > schedule.signalled_at + EARLY_PART * GRACE_S:
                    self.broken = "a request that was read late was sent to a machine and given up"

    def end(self, world: World) -> None:
        """The proxy ends the connection."""
        if world.open:
            self.broken = "the connection was ended under a request"
        world.connection.gone(world.now)

    def exit(self, world: World) -> None:
        """The process ends."""
        if world.open:
            self.broken = "the process ended under a request"
        world.exited = True

    # States.

    def frozen(self, world: World) -> int:
        connection = world.connection
        signalled_at = world.schedule.signalled_at if world.schedule is not None else None
        open_ = tuple((request.read_at, request.until, request.state) for request in world.open)
        life = (
            connection.phase, connection.since, connection.unanswered, connection.answers_left,
            connection.last_answer, connection.rests_until,
        )  # fmt: skip
        return hash((world.now, world.left.requests, signalled_at, world.exited, open_, life))

    def interest(self, world: World) -> int:
        return sum(request.state is State.SENT for request in world.requests)

    def held(self, world: World) -> bytes:
        return pickle.dumps(world)

    def fresh(self, held: bytes) -> World:
        world: World = pickle.loads(held)
        return world
