"""Telling those that apply: the leader's lines to each, and the check at the moment of acting.

    leader                          who applies
    LEAD <epoch> <name>             OK <epoch> <place>, or STALE <epoch>
    APPLY <epoch> <place> <json>    OK <place>, KNOWN <place>, GAP <place>, FULL, or STALE <epoch>
    WHOLE <epoch> <place> <json>    the same

Lines end in CRLF. Who applies keeps epoch and place on its disk before it says OK (`fence.py`). FULL means
not now, try again.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

import orjson

from pinward import points
from pinward.lead.core import Core
from pinward.lead.ledger import Ledger, Placed
from pinward.net.ring import Link, connect
from pinward.net.scheduler import Scheduler, Task

RING_BYTES = 64 * 1024  # a direction: many decisions fit
LINE_MOST = 32 * 1024  # bytes of an answer
ANSWER_S = 2.0  # s within which one that applies answers; its disk may be slow
RETRY_S = 0.2  # s between tries: a decision is late by no more than this once it can be reached
AHEAD_MOST = 64  # lines on their way to one that applies


class TellError(Exception):
    """One that applies answers what makes no sense."""


class Told(Enum):
    """Where a teller stands with the one it tells."""

    AWAY = auto()  # no connection
    GREETED = auto()
    LEVEL = auto()  # knows all there is


def line(placed: Placed, epoch: int) -> bytes:
    """A decision as the leader of `epoch` tells it."""
    d = placed.decision
    facts = {
        "id": d.name, "act": d.act.value, "release": d.release, "stage": d.stage, "share": d.share,
        "node": d.node, "decided_in": placed.epoch,
    }  # fmt: skip
    return b"APPLY %d %d %s\r\n" % (epoch, placed.place, orjson.dumps(facts))


def whole(ledger: Ledger, epoch: int) -> bytes:
    now = ledger.standing
    facts = {
        "release": now.release, "stage": now.stage, "phase": now.phase.name.lower(), "held": now.held,
        "share": now.share, "drains": list(ledger.drains),
    }  # fmt: skip
    return b"WHOLE %d %d %s\r\n" % (epoch, ledger.place, orjson.dumps(facts))


class Leadership:
    """What tellers share: the core and the ledger of the instance, and what to do when one was followed."""

    def __init__(
        self, tasks: Scheduler, name: str, core: Core, deposed: Callable[[int], None],
        note: Callable[..., None], source: str | None = None,
    ) -> None:  # fmt: skip
        self.tasks, self.name, self.core, self.deposed, self.note = tasks, name, core, deposed, note
        self.source = source
        self.ledger = Ledger(1)

    def acts(self) -> bool:
        return self.core.may_act(self.tasks.now())


class Teller:
    """Brings one that applies to where the log stands, while this instance leads."""

    def __init__(self, lead: Leadership, name: str, trusted: bool = True) -> None:
        self.lead, self.name, self.trusted = lead, name, trusted
        self.state, self.place = Told.AWAY, 0
        self.task: Task | None = None
        self.why = ""

    def wake(self) -> None:
        if self.task is not None:
            self.lead.tasks.wake(self.task)

    def run(self, where: tuple[str, int]) -> None:
        """For one that listens at an address: connects whenever this instance leads. Never returns."""
        tasks = self.lead.tasks
        self.task = tasks.current()
        while True:
            if self.lead.acts():
                try:
                    link = connect(tasks, where, RING_BYTES, tasks.now() + ANSWER_S, self.lead.source)
                    try:
                        self.tell(link)
                    finally:
                        link.close()
                except (OSError, ValueError, TellError) as fault:
                    self.lost(f"{type(fault).__name__}: {fault}")
            self.state = Told.AWAY
            tasks.wait(tasks.now() + RETRY_S)

    def lost(self, why: str) -> None:
        if why != self.why:
            self.why = why
            self.lead.note("applier-lost", applier=self.name, why=why)

    def tell(self, link: Link) -> None:
        """Tells all there is on a connection, as long as this instance may act."""
        lead, tasks = self.lead, self.lead.tasks
        self.task = tasks.current()
        epoch = lead.core.epoch
        if not lead.acts():
            return
        link.send(b"LEAD %d %s\r\n" % (epoch, lead.name.encode()), tasks.now() + ANSWER_S)
        words = self.answer(link)
        if words[0] != "OK" or int(words[1]) != epoch:
            self.refused(words, epoch)
            return
        self.place, self.state, self.why = int(words[2]), Told.GREETED, ""
        if self.place > lead.ledger.place:
            raise TellError(f"it has applied {self.place} decisions, of {lead.ledger.place} that there are")
        while True:
            data, count = self.next(epoch)
            if not data:
                self.state = Told.LEVEL
                # until there is more to tell; now and then all the same, so that a lost link is noticed
                tasks.wait(tasks.now() + ANSWER_S, link.reads)
                link.fill()
                if link.ended:
                    return
                if not lead.acts() or lead.core.epoch != epoch:
                    return
                continue
            if not lead.acts() or lead.core.epoch != epoch:
                return  # the moment of acting: whatever has changed since, nothing is said
            points.reach("saying")
            link.send(data, tasks.now() + ANSWER_S)
            for _ in range(count):
                if not self.heard(self.answer(link), epoch):
                    return

    def next(self, epoch: int) -> tuple[bytes, int]:
        """The next lines to tell, and how many."""
        due = self.lead.ledger.since(self.place)
        if due is None:
            return whole(self.lead.ledger, epoch), 1
        lines = [line(placed, epoch) for placed in due[:AHEAD_MOST]]
        return b"".join(lines), len(lines)

    def heard(self, words: list[str], epoch: int) -> bool:
        """Takes in an answer; False where nothing more is to be told on this connection."""
        if words[0] in ("OK", "KNOWN"):
            self.place = max(self.place, int(words[1]))
            return True
        if words[0] == "STALE":
            self.refused(words, epoch)
        elif words[0] not in ("GAP", "FULL"):
            raise TellError(f"it answers {' '.join(words)!r:.80}")
        return False  # begin anew, from where it says it stands

    def refused(self, words: list[str], epoch: int) -> None:
        if words[0] != "STALE":
            raise TellError(f"it answers {' '.join(words)!r:.80}")
        later = int(words[1])
        if later > epoch and self.trusted:
            self.lead.note("stale", applier=self.name, epoch=epoch, later=later)
            self.lead.deposed(later)

    def answer(self, link: Link) -> list[str]:
        text = read_line(self.lead.tasks, link, self.lead.tasks.now() + ANSWER_S, LINE_MOST)
        if text is None:
            raise ConnectionError("it ended the connection")
        words = text.split(" ")
        if len(words) < 2 and words != ["FULL"]:
            raise TellError(f"it answers {text!r:.80}")
        return words


def read_line(tasks: Scheduler, link: Link, until: float, most: int) -> str | None:
    """The next line, without its CRLF; None at the end. Raises TimeoutError, or ValueError: too long."""
    while True:
        end = link.inbox.peek(most).find(b"\n")
        if end >= 0:
            return link.inbox.take(end + 1).rstrip(b"\r\n").decode()
        if link.inbox.used >= min(most, link.inbox.size):
            raise ValueError("a line is too long")
        if link.ended:
            return None
        if tasks.now() >= until:
            raise TimeoutError("no line comes")
        tasks.wait(until, link.reads)
        link.fill()
