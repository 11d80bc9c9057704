"""Is a history linearizable? Wing and Gong's search, with Lowe's memory of what was seen.

An operation has a time at which it was called and one at which its answer came. The history is linearizable
where each answered operation can be put at one moment between the two so that a sequential model gives the
same answers. An operation without a clear answer may take effect at one moment after its call, or never.

Two models: `Register`, one configuration under rising numbers, and `Rollouts`, the orders of one service. In
both an unclear operation that takes effect twice does nothing the second time, so the search need not
remember which of them it has used.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from math import inf
from typing import Any, NamedTuple, Protocol

STATES_MOST = 400_000  # nodes looked at until a search is given up: a day of operators has some thousands

State = Any  # hashable, of the model


class UndecidedError(Exception):
    """The search is longer than its bound: the history is neither accepted nor refused."""


@dataclass(frozen=True)
class Operation:
    """`answer` is None where there was no clear one; it then takes effect by `latest`, or never."""

    called: float
    answered: float
    asked: Hashable
    answer: Hashable | None = None
    latest: float = inf


class Model(Protocol):
    start: State

    def after(self, state: State, asked: Any, answer: Any) -> Iterable[State]:
        """States that may follow; none where the answer is wrong here. Answer None: the effects alone."""


class Node(NamedTuple):
    done: int  # a bit for each answered operation, by its place in order of calls
    low: int  # operations before this place are all done
    state: State


def linearizable(model: Model, history: Sequence[Operation], most: int = STATES_MOST) -> Operation | None:
    """None where the history is linearizable, else the operation that fits nowhere after the longest part.

    Raises UndecidedError after `most` nodes.
    """
    clear = sorted((o for o in history if o.answer is not None), key=lambda o: (o.called, o.answered))
    open_ = sorted((o for o in history if o.answer is None), key=lambda o: o.called)
    nodes, seen, farthest = [Node(0, 0, model.start)], set(), (-1, -inf, clear[0] if clear else None)
    while nodes:
        node = nodes.pop()
        if node in seen:
            continue
        seen.add(node)
        if len(seen) > most:
            raise UndecidedError(f"{len(seen)} nodes, {len(clear)} operations")
        if node.low == len(clear):
            return None
        some, first = candidates(clear, node)
        count = node.done.bit_count()
        if (count, first.answered) > farthest[:2]:
            farthest = (count, first.answered, first)
        nodes.extend(steps(model, clear, open_, node, some, first.answered))
    return farthest[2]


def candidates(clear: list[Operation], node: Node) -> tuple[list[int], Operation]:
    """Places of operations that may be next, the last to be answered first; and the first to be answered."""
    some: list[int] = []
    first = clear[node.low]
    for place in range(node.low, len(clear)):
        if clear[place].called > first.answered:
            break
        if not node.done >> place & 1:
            some.append(place)
            if clear[place].answered < first.answered:
                first = clear[place]
    some = [place for place in some if clear[place].called <= first.answered]
    return sorted(some, key=lambda place: -clear[place].answered), first


def steps(
    model: Model, clear: list[Operation], open_: list[Operation], node: Node, some: list[int], until: float
) -> Iterator[Node]:
    """What may come next. The search takes the last of them first: the operation that was answered first."""
    begun = clear[node.done.bit_length() - 1].called if node.done else -inf  # the latest call that is done
    for operation in open_:
        if operation.called <= until and begun <= operation.latest:
            for state in model.after(node.state, operation.asked, None):
                if state != node.state:
                    yield Node(node.done, node.low, state)
    for place in some:
        done, low = node.done | 1 << place, node.low
        while done >> low & 1:
            low += 1
        for state in model.after(node.state, clear[place].asked, clear[place].answer):
            yield Node(done, low, state)


class Register:
    """One configuration: `("put", number, digest, valid)` answers a status, `("get",)` the pair or None.

    A higher number takes force; the same body under the number in force is acknowledged again, another one is
    a 409; a lower number is acknowledged and alters nothing. What is invalid is refused, never in force.
    """

    start: State = None

    def after(self, state: State, asked: Any, answer: Any) -> Iterator[State]:
        if asked[0] == "get":
            if answer == ("is", state):
                yield state
            return
        _, number, digest, valid = asked
        if not valid:
            if answer == 400:
                yield state
        elif state is None or number > state[0]:
            if answer in (None, 200):
                yield (number, digest)
        elif answer == (200 if number < state[0] or digest == state[1] else 409) or answer is None:
            yield state


class Rolled(NamedTuple):
    """A service's last order, its phase as far as it was read, and all orders that were taken."""

    target: str
    term: str
    phase: str
    taken: frozenset[str]
    bodies: frozenset[tuple[str, str]]


class Rollouts:
    """Orders of one service: `("post", order, target, term)` answers a status, `("read",)` phase and target.

    Each order, with all its repeats, takes force once at most, and once acknowledged is never refused. One
    whose body is that of an earlier order may be taken for its repeat. An order ends by itself, unseen until
    it is read.
    """

    start: State = None

    def after(self, state: State, asked: Any, answer: Any) -> Iterator[State]:
        if asked[0] == "read":
            if state is None:
                if answer == ("none",):
                    yield state
            elif answer == (state.phase, state.target):
                yield state
            elif state.phase == "serving" and answer in (("done", state.target), ("undone", state.target)):
                yield state._replace(phase=answer[0])
            return
        _, order, target, term = asked
        known = state if state is not None else Rolled("", "", "", frozenset(), frozenset())
        if order in known.taken:
            if answer in (None, 200):
                yield state
            return
        if answer == 409:
            if known.phase == "serving" and (known.target, known.term) != (target, term):
                yield state
            return
        if answer not in (None, 200):
            return
        taken, body = known.taken | {order}, (target, term)
        if body in known.bodies:
            yield known._replace(taken=taken)
        if known.target == target and known.phase != "undone":  # it is in force: there is nothing to do
            yield known._replace(phase="done", taken=taken, bodies=known.bodies | {body})
        if (known.target, known.phase) != (target, "done"):
            yield Rolled(target, term, "serving", taken, known.bodies | {body})
