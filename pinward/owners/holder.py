"""The owner's half: what a member may act on, asked at the moment of acting.

Call `ask` for each renewal that goes out and `heard` for each answer. `may` says under which token a part may
be acted on now; `begin` and `done` stand around each effect, so that a part is given up only once its last
effect is answered. A token goes with each effect: the lease here keeps two owners from acting at a time, the
target's fence keeps what an owner said before a pause from counting after it. No I/O, no clock, no chance.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from math import inf
from typing import Any

from pinward.owners.terms import Incarnation, Pace

RELEASED_MOST = 100  # parts given up that one renewal tells: a desk takes lines of 8 KiB
ASKED_MOST = 64  # renewals on their way; an answer to an older one is worth nothing


class Hold(Enum):
    """Where an owner stands with a part."""

    OWNED = auto()
    ENDING = auto()  # asked to give it up: what was begun is answered first
    GIVEN = auto()  # given up; until the log says so too, the leader is told again and again


@dataclass
class Held:
    token: int
    step: int = 0
    note: str = ""
    state: Hold = Hold.OWNED
    open: int = 0  # effects begun and not answered


class Holder:
    def __init__(self, name: str, incarnation: Incarnation, pace: Pace) -> None:
        self.name, self.incarnation, self.pace = name, incarnation, pace
        self.parts: dict[str, Held] = {}
        self.asked: deque[tuple[int, float]] = deque(maxlen=ASKED_MOST)  # number, when
        self.number = self.level = 0  # of the last renewal, and of the newest that was answered
        self.lease_until = -inf
        self.epoch = 0
        self.view: list[int] = [0, 0]  # what the list of own parts is level with
        self.why = "not asked yet"
        self.notes: list[tuple[str, dict[str, Any]]] = []

    # Renewing.

    def ask(self, now: float) -> dict[str, Any]:
        """A renewal, as plain data, to be sent at once: the lease counts from here."""
        self.number += 1
        self.asked.append((self.number, now))
        given = [(part, held.token) for part, held in self.parts.items() if held.state is Hold.GIVEN]
        return {
            "do": "renew", "name": self.name, "incarnation": self.incarnation.plain(), "number": self.number,
            "view": self.view, "released": dict(given[:RELEASED_MOST]),
        }  # fmt: skip

    def heard(self, now: float, number: int, answer: dict[str, Any]) -> bool:
        """Takes in the answer to a renewal; False where it renewed nothing."""
        asked = next((at for n, at in self.asked if n == number), None)
        if not answer.get("ok"):
            self.why = str(answer.get("no", "no answer"))
            return False
        if asked is None:
            self.why = "an answer to what was not asked, or long ago"
            return False
        until = self.lease_from(asked, now)
        epoch, version = answer["view"]
        if epoch < self.epoch or number < self.level:
            # From a leader that was followed, or late: the lease stood then, the list does not now.
            self.lease_until = max(self.lease_until, until)
            return True
        self.epoch, self.level = epoch, number
        if "own" in answer:
            self.take(now, answer["own"])
            self.view = [epoch, version]
        for part, token in answer.get("give", {}).items():
            held = self.parts.get(part)
            if held is not None and held.token == token and held.state is Hold.OWNED:
                self.become(part, held, Hold.ENDING, "asked to give it up")
        self.lease_until, self.why = max(self.lease_until, until), ""
        return True

    def lease_from(self, asked: float, answered: float) -> float:
        """Counted from before the question went out: an answer's time says nothing of when it was heard."""
        return asked + self.pace.lease_s

    def take(self, now: float, own: dict[str, list[Any]]) -> None:
        """The leader's list of own parts: what is not on it is another's already."""
        for part in [part for part in self.parts if part not in own]:
            self.drop(part, "no longer on the leader's list")
        for part, (token, step, note) in own.items():
            held = self.parts.get(part)
            if held is None or token > held.token:
                self.parts[part] = Held(token, step, note)
                self.notes.append(("owned", {"part": part, "fence": token}))
            elif token == held.token:
                held.step, held.note = max(held.step, step), note if step >= held.step else held.note

    def drop(self, part: str, why: str) -> None:
        held = self.parts.pop(part)
        self.notes.append(("owned-no-more", {"part": part, "fence": held.token, "why": why}))

    def become(self, part: str, held: Held, state: Hold, why: str) -> None:
        """The one place where a part's state changes."""
        held.state = state
        self.notes.append((state.name.lower(), {"part": part, "fence": held.token, "why": why}))
        if state is Hold.ENDING and not held.open:
            self.become(part, held, Hold.GIVEN, "its last effect is answered")

    def give(self, part: str, why: str) -> None:
        """Gives a part up by will, once what was begun is answered."""
        held = self.parts.get(part)
        if held is not None and held.state is Hold.OWNED:
            self.become(part, held, Hold.ENDING, why)

    def give_all(self, why: str) -> None:
        for part in list(self.parts):
            self.give(part, why)

    @property
    def waits(self) -> bool:
        """True while something that was begun keeps a part from being given up."""
        return any(held.state is Hold.ENDING for held in self.parts.values())

    # Acting.

    def may(self, now: float, part: str) -> int | None:
        """The token under which a part may be acted on at this moment; None where it may not."""
        held = self.parts.get(part)
        return held.token if held and held.state is Hold.OWNED and now < self.lease_until else None

    def mine(self, now: float) -> list[str]:
        """The parts that may be acted on now."""
        if now >= self.lease_until:
            return []
        return [part for part, held in self.parts.items() if held.state is Hold.OWNED]

    def begin(self, now: float, part: str) -> tuple[int, float] | None:
        """Begins an effect: its token, and for how long from now it counts; None where it may not be. Each
        that begins is ended by `done`."""
        token = self.may(now, part)
        if token is None:
            return None
        self.parts[part].open += 1
        return token, self.lease_until - now

    def done(self, part: str, token: int) -> None:
        """An effect was answered, or cannot arrive any more."""
        held = self.parts.get(part)
        if held is None or held.token != token:
            return  # it is another's by now; the target's fence dealt with it
        held.open -= 1
        if held.state is Hold.ENDING and not held.open:
            self.become(part, held, Hold.GIVEN, "its last effect is answered")

    def stale(self, part: str, token: int, why: str) -> None:
        """A target has seen a later token: whatever the lease says, this one is over."""
        held = self.parts.get(part)
        if held is not None and held.token == token:
            self.drop(part, why)
            self.view = [0, 0]  # the leader's list is asked for anew
