"""Clients that leave before their answer: no machine works on for them, on real sockets."""

from __future__ import annotations

import asyncio
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

import tests.test_gateway_wire as wire_tests
from standin.departures import OUTLIVE_S, Client, Leave, RecordingMachine, outlived
from tests.test_gateway_wire import EDGE, played

CLIENTS = 6
SLACK_S = 0.1  # s beyond the bound in which this process itself may be late


class Departures(TestCase):
    """Clients and recording machines around a whole proxy."""

    board, taken = wire_tests.Clients.board, wire_tests.Clients.taken

    def test_no_machine_is_at_work_half_a_second_after_its_client_left(self) -> None:
        """Symptom: N of N went on until their answer, or until the time of their route was over."""

        async def work() -> tuple[int, list[Any], float]:
            machine = RecordingMachine()
            board, stop, running = await self.board(await machine.start())  # type: ignore[misc]
            clients = [await Client.connect(EDGE) for _ in range(CLIENTS)]
            for number, client in enumerate(clients):
                client.send(f"q{number}")
            while len(machine.at_work) < CLIENTS:
                await asyncio.sleep(0.01)
            for client, how in zip(clients, [*Leave] * CLIENTS, strict=False):
                client.leave(how)
            await asyncio.sleep(OUTLIVE_S + SLACK_S)
            found = outlived(clients, [machine], asyncio.get_running_loop().time())
            stop.set()
            await running
            return len(machine.works), found, board.forwarder.departures.violations

        asked, found, violations = played(work)
        self.assertThat(asked, GreaterThan(0))
        self.assertThat((found, violations), Equals(([], 0)))
