"""A front whose customers are confined to cells, on sockets before the toy fleet."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
import time
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

from pinward.cells.atlas import Chart, Move, Step, changed
from standin.cells_trial import PLANTS, play, usual
from tests.test_front import Whole as Fronts
from tests.test_front import ask, look

CHART = Chart(
    1, cells={"c1": 1, "c2": 1}, nodes={"s-one": "c1", "s-two": "c2"},
    homes={"acme": ("c1",), "other": ("c2",), "busy": ("c2",)},
)  # fmt: skip
FILE = "map {folder}/map.json\nroom 50\ncustomer busy {{\n  rate 1\n  burst 2\n}}\n"


def of(customer: str, product: str = "quote", number: int = 1, what: str = "settle") -> str:
    wanted = look(product, what).replace("Request-Id: 1", f"Request-Id: {customer}-{number}")
    return wanted.replace("\r\n\r\n", f"\r\nTenant: {customer}\r\n\r\n")


class Confined(Fronts):
    """Inherits how fronts are started and ended; its own tests alone run."""

    def begin(self, chart: Chart) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.map = folder / "map.json"
        (folder / "cells.conf").write_text(FILE.format(folder=folder))
        self.write(chart)
        self.enterContext(mock.patch.dict(os.environ, {"PINWARD_CELLS": str(folder / "cells.conf")}))
        self.front = self.start()

    def write(self, chart: Chart) -> None:
        self.chart = chart
        self.map.write_text(json.dumps(chart.plain()))

    def renew(self, chart: Chart) -> None:
        self.write(chart)
        self.front.send_signal(signal.SIGHUP)
        time.sleep(0.3)

    def finish(self) -> tuple[dict[str, list[str]], list[dict]]:
        """The nodes of each txn by its id, and all that was logged."""
        self.front.send_signal(signal.SIGTERM)
        said = [json.loads(line) for line in self.front.communicate(timeout=10)[0].splitlines()]
        return {line["id"]: line["subs"] for line in said if line["event"] == "txn"}, said

    def test_customers_stay_in_their_cells(self) -> None:
        self.begin(CHART)
        for n in range(6):
            for customer in ("acme", "other"):
                self.assertTrue(ask(of(customer, "booking", n)).startswith("200"))
        ask(of("acme", "quote", 9, "fault"))
        subs, _ = self.finish()
        for name, tried in subs.items():
            node = "s-one" if name.startswith("acme") else "s-two"
            self.assertEqual({sub.split()[0] for sub in tried}, {node}, name)

    def test_what_is_over_is_declined_at_once_with_when_to_come_back(self) -> None:
        self.begin(CHART)
        began = time.monotonic()
        said = [ask(of("busy", "quote", n)).split()[0] for n in range(4)]
        self.assertEqual(said, ["200", "200", "503", "503"])
        self.assertLess(time.monotonic() - began, 0.9)
        self.assertTrue(ask(of("other", "quote", 9)).startswith("200"))
        subs, _ = self.finish()
        self.assertEqual(len(subs), 3)

    def test_a_move_by_maps_taken_anew(self) -> None:
        self.begin(CHART)
        to_two = {"acme": Move(("c1",), ("c2",), Step.WARM, 0.0)}
        self.renew(changed(self.chart, moves=to_two))
        ask(of("acme", "booking", 1))
        self.renew(changed(self.chart, moves={"acme": replace(to_two["acme"], step=Step.MOVED)}))  # no hold
        ask(of("acme", "booking", 2))
        kept, self.chart = self.chart, replace(self.chart, version=2, moves=to_two)
        self.assertGreater(kept.version, 2)
        self.renew(changed(self.chart, moves={"acme": replace(to_two["acme"], step=Step.HOLD)}))
        held = ask(of("acme", "booking", 3))
        repeat = ask(of("acme", "booking", 4).replace("\r\n\r\n", "\r\nClient-Retry: 1\r\n\r\n"))
        self.renew(changed(self.chart, moves={"acme": replace(to_two["acme"], step=Step.MOVED)}))
        ask(of("acme", "booking", 5))
        subs, said = self.finish()
        self.assertTrue(held.startswith("503"))
        self.assertTrue(repeat.startswith("200"))
        self.assertEqual({name: tried[0].split()[0] for name, tried in subs.items()}, {
            "acme-1": "s-one", "acme-2": "s-one", "acme-4": "s-one", "acme-5": "s-two",
        })  # fmt: skip
        faulty = [line["faulty"] for line in said if line["event"] == "cells" and "faulty" in line]
        self.assertEqual(len(faulty), 1)
        self.assertIn("without a hold", faulty[0])

    test_a_front = test_bad_clients = test_clients_that_stay = test_new_configuration = None  # type: ignore



class Planted(unittest.TestCase):
    def test_a_customer_that_crashes_nodes_harms_its_own_cell_alone(self) -> None:
        planted = [PLANTS["crash"] if load.customer == "t0-0" else load for load in usual()]
        seen = asyncio.run(play(planted, True, 5, 3.0, "127.96"))
        self.assertEqual((seen["no_answer"], seen["twice"]), (0, 0), seen)
        self.assertEqual(seen["answers"], seen["asked"])
        self.assertGreater(seen["others_in_time"], 0.95)
        self.assertLess(seen["own_cell_in_time"], seen["others_in_time"])


del Fronts
