"""What the ending of a send proves, whether its request goes on after it, and what its client gets: tables.

Docs: docs/design/line.md, "Right caller, once". A send is one request to one machine; a request may have
several.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto

from pinward.common.held_bytes import Reservation

class Verdict(Enum):
    """Of one send. Only the first two prove that nothing ran."""

    NOT_SENT = auto()  # no byte reached a machine
    TURNED_AWAY = auto()  # the machine says that it did not run it
    MAY_HAVE_RUN = auto()  # a break, a spoilt answer or silence after bytes had gone out
    RAN = auto()  # a whole answer to this request


class End(StrEnum):
    """How a send ended; the value is for people."""

    REFUSED = "refused"  # no connection came up, or it was gone before the first byte was written
    RESET = "reset"  # the connection ended before a whole head of an answer
    SPOILT = "spoilt"  # what came is no answer in the protocol, or has no end that can be known
    ANOTHERS = "another's"  # an answer without this request's id, or a success without a stamp
    CUT = "cut"  # the head of this request's answer came, its body not whole
    TOO_LONG = "too long"  # its body is longer than what may be held
    SILENT = "silent"  # the time was over
    CLIENT = "its client's body did not come"  # and so the machine had no whole request
    ABANDONED = "ended with its front"  # the send was given up
    TURNED_AWAY = "turned away"  # with this request's id: 421, or a failure with `X-Not-Run`
    ANSWER = "answer"  # whole, with this request's id


class Sent(Enum):
    """What of the request had been handed to the connection by then."""

    NOTHING = auto()
    HEAD_PART = auto()
    HEAD = auto()
    BODY_PART = auto()
    WHOLE = auto()


class Kind(Enum):
    """Of a route: whether its requests may run more than once."""

    IDEM = auto()
    ONCE = auto()


NEVER_RAN = (Verdict.NOT_SENT, Verdict.TURNED_AWAY)
N, T, M, R = Verdict
X = None  # cannot be: an answer bears this request's id only where bytes had gone out
# A part proves as little as the whole: bytes handed to the system may arrive after the break, and a machine
# may begin before it has read a request's body.
PROVES: dict[End, dict[Sent, Verdict | None]] = {
    end: dict(zip(Sent, row, strict=True))
    for end, row in {
        #              nothing, head part, head, body part, whole
        End.REFUSED: (N, X, X, X, X),
        End.RESET: (N, M, M, M, M),
        End.SPOILT: (N, M, M, M, M),
        End.ANOTHERS: (N, M, M, M, M),
        End.CUT: (X, M, M, M, M),
        End.TOO_LONG: (X, M, M, M, M),
        End.SILENT: (N, M, M, M, M),
        End.CLIENT: (X, M, M, M, M),
        End.ABANDONED: (N, M, M, M, M),
        End.TURNED_AWAY: (X, T, T, T, T),
        End.ANSWER: (X, R, R, R, R),
    }.items()
}
GOES_ON: dict[tuple[Verdict, bool], dict[Kind, bool]] = {
    # verdict, answer is a failure of the machine (5xx): may another machine be asked
    (N, False): {Kind.IDEM: True, Kind.ONCE: True},
    (T, False): {Kind.IDEM: True, Kind.ONCE: True},
    (T, True): {Kind.IDEM: True, Kind.ONCE: True},
    (M, False): {Kind.IDEM: True, Kind.ONCE: False},
    (R, False): {Kind.IDEM: False, Kind.ONCE: False},
    (R, True): {Kind.IDEM: True, Kind.ONCE: False},
}
PROMISES = frozenset((408, 421, 429, 503))  # to a client: it has not run and never will
BROKEN, LATE, TURNED = 502, 504, 503  # answers of our own: the first two promise nothing
OWN: dict[tuple[Verdict, bool], int | None] = {
    # verdict of the last send, some send may have run: the status of our own; None for the machine's answer
    (N, False): TURNED,
    (N, True): BROKEN,
    (T, False): TURNED,
    (T, True): BROKEN,
    (M, True): BROKEN,
    (R, True): None,
}


@dataclass
class Ending:
    """A send's verdict, with the answer where there is one."""

    verdict: Verdict
    what: str  # for people: an `End`
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    load: tuple[int, int, int] | None = None  # running, waiting, slots
    streamed: bool = False  # its body was passed on as it came
    held: Reservation | None = None  # of the room for clients, what its body takes


def ended(end: End, sent: Sent = Sent.WHOLE, status: int = 0, **more: object) -> Ending:
    """The ending of a send by the table. Raises ValueError where the table has no such case."""
    verdict = PROVES[end][sent]
    if verdict is None:
        raise ValueError(f"{end} with {sent.name} sent cannot be")
    return Ending(verdict, end, status, **more)  # type: ignore[arg-type]


def goes_on(last: Ending, ran: bool, kind: Kind) -> bool:
    """True where the request may go to another machine; `ran`: some send of it may have run."""
    failed = last.verdict in (T, R) and last.status >= 500
    return GOES_ON[last.verdict, failed][kind] and not (ran and kind is Kind.ONCE)


def own_status(last: Ending | None, ran: bool, kind: Kind) -> int | None:
    """The status of an answer of our own where nothing more is sent; None where the last one is passed on."""
    if last is None:
        return BROKEN if ran else TURNED
    status = OWN[last.verdict, ran]
    if status is None and kind is Kind.ONCE and last.status in PROMISES:
        return BROKEN  # it ran: passed on, the machine's status would promise that it did not
    return LATE if status == BROKEN and last.what == End.SILENT else status
