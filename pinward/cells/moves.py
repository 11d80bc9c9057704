"""Moves customers from home to home: the controller's half, told of fronts' answers, asked what to say next.

A move goes PLANNED, WARMING, HOLDING, ARRIVED, DONE, or back to UNDONE from each of the first three. What it
stands on at any moment is the map alone, which is signed off and kept: a controller that died reads the map
and goes on (`Mover.resume`). Nothing here does I/O or reads a clock.

Why no referenced txn has two homes: fronts send it to the old home in maps that warm, to none in maps that
hold, to the new one after. A map that holds follows a map that warms; the next follows only once every front
has answered for the one that holds and the marks of what went to the old home are forgotten. So maps that
name unlike homes are never in force together.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import Enum, auto

from pinward.cells.atlas import Chart, MapError, Move, Step, changed

WAITING_MOST = 10_000  # moves that wait their turn


class Stage(Enum):
    """Where the controller stands with a move."""

    PLANNED = auto()
    WARMING = auto()
    HOLDING = auto()
    ARRIVED = auto()
    DONE = auto()
    UNDONE = auto()


OVER = (Stage.DONE, Stage.UNDONE)
NEXT = {  # every change that may be
    Stage.PLANNED: (Stage.WARMING, Stage.UNDONE),
    Stage.WARMING: (Stage.HOLDING, Stage.UNDONE),
    Stage.HOLDING: (Stage.ARRIVED, Stage.UNDONE),
    Stage.ARRIVED: (Stage.DONE,),
    Stage.DONE: (),
    Stage.UNDONE: (),
}


@dataclass(frozen=True)
class Pace:
    """How fast moves go, from the settings."""

    memory_s: float  # how long nodes remember marks
    txn_s: float  # the longest life of a txn
    warm_s: float  # over which a new home's share grows to all inquiry-like txns
    steps: int = 4  # of that growth
    together: int = 10  # moves under way at a time
    per_s: float = 5.0  # that begin
    harm: float = 0.1  # share of late or faulty txns at a new home, beyond its usual, at which nothing begins


@dataclass
class Journey:
    """One customer's move."""

    customer: str
    old: tuple[str, ...]
    new: tuple[str, ...]
    stage: Stage = Stage.PLANNED
    since: float = 0.0
    version: int = 0  # of the map that brought it to its stage
    known_at: float | None = None  # when every front had answered for that map
    undo: bool = False

    def become(self, stage: Stage, now: float, version: int) -> None:
        if stage not in NEXT[self.stage]:
            raise ValueError(f"no move goes from {self.stage.name} to {stage.name}")
        self.stage, self.since, self.version, self.known_at = stage, now, version, None


class Mover:
    """All moves of an installation."""

    def __init__(self, chart: Chart, pace: Pace, now: float) -> None:
        self.chart, self.pace = chart, pace
        self.journeys: dict[str, Journey] = {}
        self.waiting: deque[Journey] = deque()
        self.answered: dict[str, int] = {}  # fronts, and the version of the map each has in force
        self.harmed: dict[str, float] = {}  # cells, and the share of harm told beyond their usual
        self.credit, self.credit_at = 0.0, now
        self.due_now: list[tuple[Journey, Stage]] = []  # what the map of the last `step` does
        self.resume(now)

    def resume(self, now: float) -> None:
        """Takes up what the map says is under way; times of holds count anew, which is only longer."""
        stages = {Step.WARM: Stage.WARMING, Step.HOLD: Stage.HOLDING, Step.MOVED: Stage.ARRIVED}
        for customer, move in self.chart.moves.items():
            stage = stages[move.step]
            self.journeys[customer] = Journey(customer, move.old, move.new, stage, now, self.chart.version)

    # What is asked for and told.

    def plan(self, customer: str, new: tuple[str, ...], now: float) -> None:
        """Plans a move; raises MapError where it makes no sense or another of this customer is under way."""
        if customer in self.journeys:
            raise MapError(f"{customer} moves already; undo that first")
        if len(self.waiting) >= WAITING_MOST:
            raise MapError("too many moves wait")
        old = self.chart.home(customer)
        trial = replace(self.chart, moves={**self.chart.moves, customer: Move(old, new, Step.WARM)})
        trial.check()
        journey = Journey(customer, old, new, since=now)
        self.journeys[customer] = journey
        self.waiting.append(journey)

    def undo(self, customer: str) -> bool:
        """Brings a customer back to its old home; False where it has arrived, so that it must move anew."""
        journey = self.journeys.get(customer)
        if journey is None or Stage.UNDONE not in NEXT[journey.stage]:
            return False
        journey.undo = True
        return True

    def front_has(self, front: str, version: int) -> None:
        """A front answers that a map is in force there, and durably so where it may save."""
        self.answered[front] = max(version, self.answered.get(front, 0))

    def front_gone(self, front: str) -> None:
        """A front has ended for good, or never sends anything again that it took before."""
        self.answered.pop(front, None)

    def harm_told(self, cell: str, share: float) -> None:
        self.harmed[cell] = share

    # What to say next.

    def suffers(self, journey: Journey) -> bool:
        return any(self.harmed.get(cell, 0.0) > self.pace.harm for cell in journey.new)

    def step(self, now: float) -> Chart | None:
        """The next map to sign off and tell all fronts; None where nothing is due.

        The caller keeps it before it is told, then calls `said`.
        """
        moves, homes = dict(self.chart.moves), dict(self.chart.homes)
        due: list[tuple[Journey, Stage]] = []
        known = min(self.answered.values(), default=0)
        for journey in self.journeys.values():
            if journey.stage not in (Stage.PLANNED, *OVER):
                if journey.known_at is None and known >= journey.version:
                    journey.known_at = now
                stage = self.due(journey, now)
                if stage is not None:
                    due.append((journey, stage))
        due += self.beginning(now)
        for journey, stage in due:
            self.put(journey, stage, moves, homes)
        warmer = self.warmer(moves, {journey.customer for journey, _ in due}, now)
        if not due and not warmer:
            return None
        self.due_now = due
        return changed(self.chart, moves=moves, homes=homes)

    def due(self, journey: Journey, now: float) -> Stage | None:
        """Where a move goes now, if anywhere: each step waits until every front knows the one before."""
        if journey.undo and Stage.UNDONE in NEXT[journey.stage]:
            return Stage.UNDONE
        known_at = journey.known_at
        if known_at is None:
            return None
        if journey.stage is Stage.WARMING:
            warmed = now - journey.since >= self.pace.warm_s and not self.suffers(journey)
            return Stage.HOLDING if warmed else None
        if journey.stage is Stage.HOLDING:
            return Stage.ARRIVED if now - known_at >= self.pace.memory_s + self.pace.txn_s else None
        return Stage.DONE

    def beginning(self, now: float) -> list[tuple[Journey, Stage]]:
        """The moves that begin now: at their rate, so many together, and none into a cell that suffers."""
        self.credit = min(1.0 * self.pace.together, self.credit + (now - self.credit_at) * self.pace.per_s)
        self.credit_at = now
        under_way = sum(j.stage not in (Stage.PLANNED, *OVER) for j in self.journeys.values())
        found: list[tuple[Journey, Stage]] = []
        for _ in range(len(self.waiting)):
            if self.credit < 1.0 or under_way >= self.pace.together:
                break
            journey = self.waiting.popleft()
            if journey.undo:
                journey.become(Stage.UNDONE, now, self.chart.version)
                del self.journeys[journey.customer]
            elif self.suffers(journey):
                self.waiting.append(journey)
            else:
                self.credit -= 1.0
                under_way += 1
                found.append((journey, Stage.WARMING))
        return found

    def put(
        self, journey: Journey, stage: Stage, moves: dict[str, Move], homes: dict[str, tuple[str, ...]]
    ) -> None:
        """Writes into the map where a move stands."""
        customer, old, new = journey.customer, journey.old, journey.new
        if stage is Stage.WARMING:
            moves[customer] = Move(old, new, Step.WARM, 1.0 / self.pace.steps)
        elif stage is Stage.HOLDING:
            moves[customer] = Move(old, new, Step.HOLD, 1.0)
        elif stage is Stage.ARRIVED:
            moves[customer] = Move(old, new, Step.MOVED, 1.0)
        else:
            moves.pop(customer, None)
            if stage is Stage.DONE:
                homes[customer] = new

    def warmer(self, moves: dict[str, Move], besides: set[str], now: float) -> bool:
        """Raises the shares of those that warm, as time goes on and while the new home does not suffer."""
        raised = False
        for journey in self.journeys.values():
            move = moves.get(journey.customer)
            if journey.stage is not Stage.WARMING or journey.customer in besides or move is None:
                continue
            warmed = (now - journey.since) / self.pace.warm_s if self.pace.warm_s else 1.0
            grown = 1 + int(warmed * self.pace.steps)
            share = 0.0 if self.suffers(journey) else min(1.0, grown / self.pace.steps)
            if share != move.share:
                moves[journey.customer] = replace(move, share=share)
                raised = True
        return raised

    def said(self, chart: Chart, now: float) -> None:
        """The map of `step` was signed off and kept."""
        chart.check()
        chart.follows(self.chart)
        self.chart = chart
        for journey, stage in self.due_now:
            journey.become(stage, now, chart.version)
            if stage in OVER:
                del self.journeys[journey.customer]
        self.due_now = []
