"""How a send ended, and so whether the request may have run."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto


class Verdict(Enum):
    """Of one send. Only the first two prove that nothing ran."""

    NOT_SENT = auto()  # no byte reached a machine
    TURNED_AWAY = auto()  # the machine says that it did not run it
    MAY_HAVE_RUN = auto()  # a break, a spoilt answer or silence after bytes had gone out
    RAN = auto()  # a whole answer to this request


NEVER_RAN = (Verdict.NOT_SENT, Verdict.TURNED_AWAY)


@dataclass
class Ending:
    """A send's verdict, with the answer where there is one."""

    verdict: Verdict
    what: str  # for people: `answer`, `refused`, `reset`, `spoilt`, `silent` ...
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    load: tuple[int, int, int] | None = None  # running, waiting, slots
    streamed: bool = False  # its body was passed on as it came
