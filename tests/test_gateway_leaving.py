"""A proxy that leaves finishes what it passes on to machines, and passes on nothing that it cannot finish."""

from __future__ import annotations

import asyncio

import logbook
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

import tests.test_gateway_wire as wire_tests
from standin.departures import RecordingMachine
from standin.leaving import BusyClient, Outcome, Records
from tests.test_gateway_wire import EDGE

GRACE_S = 3.0
MACHINES, CLIENTS = 12, 20
BEFORE_S = 0.5  # s of load before the signal
LAST_ANSWERS_S = 3.0  # s that clients have for what is left as the proxy has ended
SEEDS = 2


class BusyConnections(TestCase):
    """Clients that always have requests sent, around a whole proxy."""

    board, taken = wire_tests.Clients.board, wire_tests.Clients.taken

    async def left(self, seed: int) -> Records:
        """The clients' records around one SIGTERM."""
        machines = [RecordingMachine(f"i{number}") for number in range(1, MACHINES + 1)]
        ports = [await machine.start() for machine in machines]
        board, stop, running = await self.board(*ports, grace_s=GRACE_S)  # type: ignore[misc]
        loop, records, over = asyncio.get_running_loop(), Records(), asyncio.Event()
        clients = [
            asyncio.ensure_future(BusyClient(f"c{n}", seed, records, lambda: EDGE, over.is_set).run())
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(BEFORE_S)
        records.signalled[EDGE] = [loop.time()]
        stop.set()
        await running
        over.set()
        for connection in board.server.connections:  # as the process would have ended with them
            connection.force_close()
        _, late = await asyncio.wait(clients, timeout=LAST_ANSWERS_S)
        assert not late
        return records

    def test_nothing_is_taken_long_after_sigterm_and_given_up(self) -> None:
        """Symptom: a request taken 4.96 s after SIGTERM was at work 0.42 s later, and given up with 502."""
        for seed in range(SEEDS):
            with logbook.NullHandler().applicationbound():
                records = asyncio.run(self.left(seed))
            self.assertThat(records.counts[Outcome.SERVED.value], GreaterThan(CLIENTS))
            self.assertThat(records.faults(GRACE_S), Equals([]), f"seed {seed}")
