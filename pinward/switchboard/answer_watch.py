"""Counts answers of machines that were due to no request, ids that came twice on a connection, and what the
proxy's promises that nothing ran rest on.

No clock, no socket.
"""

from __future__ import annotations

from enum import StrEnum

from pinward.common.metrics import Metrics
from pinward.switchboard.verdict import Ending, Verdict


class Place(StrEnum):
    """Where a surplus answer came; the value is for people."""

    IDLE = "idle"  # no request was under way on its connection
    MISPLACED = "misplaced"  # before the answer that was awaited, with another request's id
    BEHIND = "behind"  # behind the answer, before its connection was given back


MEANINGS = {
    Place.IDLE: "Surplus answers of machines that came while no request was under way on their connection.",
    Place.MISPLACED: "Surplus answers with another request's id that stood in the place of the next answer.",
    Place.BEHIND: "Surplus answers that came behind the answer, before their connection was given back.",
}


class AnswerWatch:
    """Figures of one proxy since its start."""

    def __init__(self, metrics: Metrics) -> None:
        count = metrics.counter
        self.surplus = {
            place: count(f"pinward_surplus_answers_{place}_total", meaning)
            for place, meaning in MEANINGS.items()
        }
        self.refusals = count(
            "pinward_surplus_refusals_total", "Of all surplus answers, those that say that nothing was run."
        )
        self.repeated_ids = count(
            "pinward_repeated_ids_total",
            "Requests for which idle connections were passed over: these may have carried their id.",
        )
        self.unsent = count(
            "pinward_promises_unsent_total", "Promises that nothing ran: no machine had been asked."
        )
        self.not_sent = count(
            "pinward_promises_not_sent_total",
            "Promises that nothing ran: no byte had reached the last machine.",
        )
        self.turned_away = count(
            "pinward_promises_turned_away_total", "Promises that nothing ran: the last machine said so."
        )
        self.last_machine = ""  # that sent a surplus answer

    @property
    def changes(self) -> float:
        """Rises with whatever is worth a line in the log."""
        return self.repeated_ids.value + sum(counter.value for counter in self.surplus.values())

    @property
    def figures(self) -> dict[str, int | str]:
        """What the log tells of them."""
        return {
            **{place.value: int(counter.value) for place, counter in self.surplus.items()},
            "refusals": int(self.refusals.value), "repeated_ids": int(self.repeated_ids.value),
            "unsent": int(self.unsent.value), "not_sent": int(self.not_sent.value),
            "turned_away": int(self.turned_away.value), "last_machine": self.last_machine,
        }  # fmt: skip

    def saw_surplus(self, place: Place, refusal: bool, machine: str) -> None:
        """An answer that no request was due came from the machine at an address."""
        self.surplus[place].add()
        self.last_machine = machine
        if refusal:
            self.refusals.add()

    def promised(self, last: Ending | None) -> None:
        """A client was told that its request has not run, after its last send ended so."""
        if last is None:
            self.unsent.add()
        elif last.verdict is Verdict.NOT_SENT:
            self.not_sent.add()
        else:
            self.turned_away.add()
