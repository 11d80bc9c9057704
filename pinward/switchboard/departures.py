"""Clients that leave before their answer, and the sends to machines that are under way for them.

The invariant: half a second after a client has left, no machine is at work on a request of its that may run
again, and none is sent to a machine. `allowance_s` decides how long a send may go on, and `DepartureWatch`
counts each violation. No clock, no socket.
"""

from __future__ import annotations

from math import inf

from pinward.common.metrics import Metrics
from pinward.switchboard.call import Call, Send
from pinward.switchboard.verdict import Kind

OUTLIVE_S = 0.5  # s after the leave from which on work for nobody is a violation
LATE_LEAST_S = 0.05  # s below which a late event loop is of no account
SETTLE_S = 0.25  # s that a send may still end by itself: its connection is kept then


def allowance_s(now: float, call: Call, send: Send) -> float:
    """Seconds that a send may go on once its client has left; infinite where it goes on to its end.

    A request that may run once goes on: what its machine has begun cannot be begun again, and nobody can tell
    how much of it was done where it is broken off. Others get a moment to end by themselves: in HTTP/1.1 a
    send that is broken off costs its connection. They end at once where others wait for the machine's slots,
    and where the answer is already on its way.
    """
    if call.kind is Kind.ONCE:
        return inf
    full = send.machine.busy(now) >= send.machine.entry.slots
    return 0.0 if full or call.passing is send else SETTLE_S


class DepartureWatch:
    """Counts leaves, what became of the sends of those who left, and violations of the invariant."""

    def __init__(self, metrics: Metrics) -> None:
        count = metrics.counter
        self.departures = count("pinward_departures_total", "Requests whose client left before its answer.")
        self.under_way = count(
            "pinward_sends_at_departure_total", "Sends to machines under way as their client left."
        )
        self.cancelled = count("pinward_sends_cancelled_total", "Of these, the ones that were broken off.")
        self.finishing = count(
            "pinward_sends_finishing_total", "Of these, the ones that go on to their end: they may run once."
        )
        self.outlived = count(
            "pinward_sends_outlived_client_total",
            "Violations: sends of a request that may run again at work half a second after its client left.",
        )
        self.late_s = count(
            "pinward_loop_late_seconds_total", "Seconds by which the event loop was late, over 50 ms each."
        )
        self.after = count(
            "pinward_sends_after_departure_total", "Violations: sends begun after their client had left."
        )

    @property
    def violations(self) -> int:
        return int(self.outlived.value + self.after.value)

    @property
    def figures(self) -> dict[str, float]:
        """What the log tells of them."""
        return {
            "departures": int(self.departures.value), "under_way": int(self.under_way.value),
            "cancelled": int(self.cancelled.value), "finishing": int(self.finishing.value),
            "violations": self.violations, "late_s": round(self.late_s.value, 3),
        }  # fmt: skip

    def waited(self, late_s: float) -> None:
        """A wait of the event loop ended so much later than it should have."""
        if late_s > LATE_LEAST_S:
            self.late_s.add(late_s)

    def begins(self, call: Call) -> None:
        """A send begins."""
        if call.left_at is not None:
            self.after.add()

    def looks(self, call: Call) -> None:
        """`OUTLIVE_S` has passed since the client left: whatever may run again has ended."""
        if call.route.repeatable:
            self.outlived.add(len(call.sending))
