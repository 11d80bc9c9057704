"""The interface of the decisions: the plain types that `pinward.rules.Judge` is called with.

Nothing here decides. Times are float seconds on the caller's clock; objects point to each other, so
ids stay with the caller. The Judge's `orders` are plain tuples: a `Verb` and then its things.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import Any


class Kind(Enum):
    """What a product allows once a submission may have run."""

    INQUIRY_LIKE = auto()
    REFERENCED = auto()
    ONCE_ONLY = auto()


class Group(Enum):
    """The nodes that drop repeats of a referenced txn."""

    ALL = auto()
    ZONE = auto()
    CIRCLE = auto()


class State(IntEnum):
    """Where a txn stands; the last three are final answers, LEFT means that nothing is owed."""

    TAKEN = auto()
    HELD = auto()
    SUBMITTED = auto()
    SETTLED = auto()
    DECLINED = auto()
    VOIDED = auto()
    LEFT = auto()


class Result(Enum):
    """How a submission or a probe ended."""

    SETTLED = auto()
    FAULT = auto()
    SPOILT = auto()  # an answer that cannot be read
    TURNED_AWAY = auto()
    SILENT = auto()
    UNREACHABLE = auto()
    BROKEN = auto()
    RECALLED = auto()
    NEVER_SENT = auto()
    UNFIT = auto()  # the node finds fault with the txn itself; always final


NEVER_RAN = (Result.TURNED_AWAY, Result.UNREACHABLE, Result.NEVER_SENT)  # proof that nothing was done


class Phase(Enum):
    """Where a release stands on its way through the fleet."""

    TRIAL = auto()
    GOING_BACK = auto()
    RELEASED = auto()
    WITHDRAWN = auto()


class Gate(Enum):
    """What moves a stage on: one vote, a number of fronts, or the clock."""

    SINGLE = auto()
    MAJORITY = auto()
    CLOCKED = auto()


class Verdict(Enum):
    """What a front says of a release."""

    NONE = auto()
    ON = auto()
    HOLD = auto()
    BACK = auto()


class Reply(Enum):
    """How a vote was answered."""

    COUNTED = auto()
    MOOT = auto()
    FULL = auto()
    REFUSED = auto()
    UNKNOWN = auto()


class Verb(Enum):
    """The orders that a call returns, each with what follows it in the tuple."""

    SUBMIT = auto()  # Submission
    RECALL = auto()  # Submission
    DECLINE = auto()  # Txn, seconds to stay away
    VOID = auto()  # Txn
    WATCH = auto()  # nothing: follow the list from now on
    VOTE = auto()  # release number, stage, Verdict
    NOTE = auto()  # a line for people


@dataclass(eq=False)
class Product:
    sla_s: float
    expiry_s: float
    revenue: float
    late_share: float
    kind: Kind
    group: Group | None = None
    memory_s: float = 0.0
    streaming: bool = False


@dataclass(eq=False)
class Customer:
    share: float
    quota_per_s: float


@dataclass(eq=False)
class Node:
    """A machine as the list last told it; `name` is the caller's and decides nothing."""

    name: str
    release: int = 0
    zone: int = 0
    circle: int = 0  # of nodes that drop each other's repeats
    cell: str = ""  # where customers are confined to cells, whose it is
    units: float = 1.0
    started: float = 0.0
    ready: bool = False


@dataclass
class Listing:
    """One line of a list: what it now says of `node`; not `ready` means draining or gone."""

    node: Node
    release: int
    zone: int
    circle: int
    units: float
    started: float
    ready: bool


@dataclass(eq=False)
class Txn:
    product: Product
    customer: Customer | None
    expiry: float
    key: str | None = None
    cost_hint: float | None = None
    cells: tuple[str, ...] | None = None  # whose nodes it may use; None: all
    state: State = State.TAKEN
    taken: float = 0.0
    submissions: list[Submission] = field(default_factory=list)
    tag: Any = None

    @property
    def ran(self) -> Submission | None:
        """The first submission that may have run, if any."""
        return next((s for s in self.submissions if s.result not in NEVER_RAN), None)

    def dropped_by(self, node: Node) -> bool:
        """True where a node drops repeats of what the earlier submissions may have done, if it matters."""
        ran, group = self.submissions and self.ran, self.product.group
        if not ran or self.product.kind is Kind.INQUIRY_LIKE or group is Group.ALL:
            return True
        return ran.node.zone == node.zone if group is Group.ZONE else ran.node.circle == node.circle

    @property
    def over(self) -> bool:
        """True once nothing more can come of it, so that the caller may forget it."""
        waits = self.state in (State.TAKEN, State.HELD, State.SUBMITTED)
        return not waits and all(s.result for s in self.submissions)


@dataclass(eq=False)
class Submission:
    txn: Txn
    node: Node
    sent: float
    allow_s: float
    number: int
    result: Result | None = None


@dataclass
class Release:
    """News of the newest release: where it stands and since how long."""

    number: int
    phase: Phase
    stage: int
    cap: float
    since_s: float


@dataclass
class Count:
    """What the platform counted of one release and product over a past period."""

    release: int
    product: Product
    total: int
    faults: int
    mean_s: float
    ended: float


@dataclass
class Terms:
    """What is told once, at the start of a front."""

    fronts: int
    number: int
    zone: int
    products: list[Product]
    customers: list[Customer]
    over_share_worth: float
    must_ask: bool
    ask_within_s: float
    answer_slack_s: float
    cold_from: float
    cold_s: float
    drain_grace_s: float
    fall_multiple: float
    fall_s: float
    max_submissions: int
    most_open: int  # submissions at a time
    node_idle_s: float
    may_recall: bool
    may_copy: bool
    may_probe: bool
    may_tell: bool
    may_defer: bool
    max_defer_s: float
    gate: Gate
    in_place: bool
    stage_caps: list[float]
    stage_shares: list[float]
    cap_by_product: bool
    cap_free: float
    cap_window_s: float
    guarded_stages: int
    keys_stay: bool
    warm_keys: bool
    on_votes: int
    back_votes: int
    hold_votes: int
    vote_life_s: float
    vote_answer_s: float
    votes_per_s: float
    soak_s: float
    counts_every_s: float
    count_sample: float
    wrong_share: float
    behind_price: float
    harm_price: float
    batch_s: float


MOVES = {
    State.TAKEN: (State.HELD, State.LEFT),
    State.HELD: (State.SUBMITTED, State.DECLINED, State.VOIDED, State.LEFT),
    State.SUBMITTED: (State.HELD, State.SETTLED, State.VOIDED, State.LEFT),
}


def move(txn: Txn, state: State) -> None:
    """The one place where a txn changes its state."""
    if state not in MOVES.get(txn.state, ()):
        raise ValueError(f"a txn cannot go from {txn.state.name} to {state.name}")
    txn.state = state
