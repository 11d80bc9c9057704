"""Figures of a process, and what the log tells of them."""

from __future__ import annotations

import asyncio
import os
from unittest import mock

import aiohttp
from testtools import TestCase
from testtools.matchers import Contains, Equals

from pinward.common import metrics_server
from pinward.common.metrics import Metrics

OWN_IP = f"127.66.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"


class MetricsServer(TestCase):
    def test_figures_are_told_at_a_port_that_no_settings_name(self) -> None:
        """Symptom: an incident's figures were asked for at a port that was drawn anew each day."""

        async def work() -> tuple[int, str, int]:
            metrics = Metrics()
            metrics.counter("pinward_x_total", "X.").add(3)
            server = await metrics_server.listen(metrics, OWN_IP)
            assert server is not None
            async with aiohttp.ClientSession() as http:
                base = f"http://{OWN_IP}:{metrics_server.PORT}"
                async with http.get(f"{base}/metrics") as answer:
                    status, text = answer.status, await answer.text()
                async with http.get(f"{base}/x") as answer:
                    other = answer.status
            server.close()
            return status, text, other

        status, text, other = asyncio.run(asyncio.wait_for(work(), 5.0))
        self.assertThat((status, other), Equals((200, 404)))
        self.assertThat(text, Contains("pinward_x_total 3\n"))

    def test_a_port_that_is_taken_is_told_and_ends_nothing(self) -> None:
        async def work() -> bool:
            first = await metrics_server.listen(Metrics(), OWN_IP)
            second = await metrics_server.listen(Metrics(), OWN_IP)
            assert first is not None
            first.close()
            return second is None

        with mock.patch.object(metrics_server, "ring") as told:
            self.assertTrue(asyncio.run(asyncio.wait_for(work(), 5.0)))
        self.assertThat([call.args[0] for call in told.mock_calls], Equals([105]))
