"""Clients that leave before their answer, and the sends to machines that are under way for them.

The invariant, without I/O: half a second after a client has left, no machine is at work on a request of its
that may run again, and none is sent to a machine. `DepartureWatch` counts each violation.
"""

from __future__ import annotations

from pinward.common.metrics import Metrics
from pinward.switchboard.call import Call

OUTLIVE_S = 0.5  # s after the leave from which on work for nobody is a violation


class DepartureWatch:
    """Counts leaves, what was under way for those who left, and violations of the invariant."""

    def __init__(self, metrics: Metrics) -> None:
        self.departures = metrics.counter(
            "pinward_departures_total", "Requests whose client left before its answer."
        )
        self.under_way = metrics.counter(
            "pinward_sends_at_departure_total", "Sends to machines under way as their client left."
        )
        self.outlived = metrics.counter(
            "pinward_sends_outlived_client_total",
            "Violations: sends of a request that may run again at work half a second after its client left.",
        )
        self.after = metrics.counter(
            "pinward_sends_after_departure_total", "Violations: sends begun after their client had left."
        )

    @property
    def violations(self) -> int:
        return int(self.outlived.value + self.after.value)

    def left(self, call: Call) -> None:
        """A client has left; its request has no answer yet."""
        self.departures.add()
        self.under_way.add(len(call.sending))

    def begins(self, call: Call) -> None:
        """A send begins."""
        if call.left_at is not None:
            self.after.add()

    def looks(self, call: Call) -> None:
        """`OUTLIVE_S` has passed since the client left: whatever may run again has ended."""
        if call.route.repeatable:
            self.outlived.add(len(call.sending))
