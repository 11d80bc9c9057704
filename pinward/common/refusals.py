"""Why clients are refused before their requests are looked at: statuses, and figures for the log."""

from __future__ import annotations

from enum import Enum

from aiohttp.web_response import Response

from pinward.common.figure_log import FigureLog
from pinward.common.metrics import Metrics

BACK_S = 0.5  # s after which a client may come back where there was no room


class Refusal(Enum):
    """A reason, and the status that the client gets."""

    MALFORMED = 400
    HEAD_TOO_LONG = 431
    NO_ROOM = 503  # a promise: nothing of the request was begun


class RefusedError(Exception):
    """The body of a request is not read on. `refusal` says why."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.name)
        self.refusal = refusal


class RefusalWatch:
    """Counts of what was refused and of connections that were ended for it, told in event 313."""

    def __init__(self, metrics: Metrics) -> None:
        self.requests = {
            refusal: metrics.counter(
                f"pinward_clients_refused_{refusal.name.lower()}_total",
                f"Requests refused with {refusal.value} before they were looked at.",
            )
            for refusal in Refusal
        }
        self.crowded = metrics.counter(
            "pinward_connections_refused_total", "Connections ended as they came: there were too many."
        )
        self.evicted = metrics.counter(
            "pinward_connections_evicted_total", "Connections without a request ended for newcomers."
        )
        self.stalled = metrics.counter(
            "pinward_connections_stalled_total", "Connections ended whose clients did not read their answers."
        )
        self.log = FigureLog(313, self.changes, self.figures)

    def answer(self, refusal: Refusal) -> Response:
        """What a client that is refused gets."""
        self.requests[refusal].add()
        response = Response(status=refusal.value)
        if refusal is Refusal.NO_ROOM:
            response.headers["Retry-After"] = f"{BACK_S:.2f}"
        return response

    def changes(self) -> float:
        ended = self.crowded.value + self.evicted.value + self.stalled.value
        return ended + sum(counter.value for counter in self.requests.values())

    def figures(self) -> dict[str, object]:
        told: dict[str, object] = {
            refusal.name.lower(): int(counter.value) for refusal, counter in self.requests.items()
        }
        told.update(
            crowded=int(self.crowded.value), evicted=int(self.evicted.value), stalled=int(self.stalled.value)
        )
        return told
