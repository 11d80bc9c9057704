"""The scale run's own parts: lines through points, sockets' counters, and hollow fronts that pull as real
ones do."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

import logbook
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, MatchesDict

from pinward.directory.entry import Standing
from pinward.exchange.host import Exchange
from pinward.exchange.keeper import Kept, View
from pinward.exchange.vault import Vault
from pinward.plan.boot import boot_of
from pinward.plan.schema import plan_of
from pinward.trunk.link import DESK
from pinward.trunk.session import Session
from standin.exchange_day import Class, Day, Shape
from standin.gateway_hollow import (
    TRY,
    Caller,
    CountedDialler,
    HollowKnown,
    HollowMachine,
    Server,
    Times,
    later,
)
from standin.gateway_rig import Rig
from standin.gateway_scale import Size, fitted, grown, least, parts, plan, shares, slope, sockets
from standin.virtual import Dial, Process, played
from standin.works import Kind

SS = """\
0 0   127.0.61.1:17620 127.0.0.1:40001 users:(("python",pid=11,fd=9))
\t cubic bytes_sent:700 bytes_acked:700 bytes_received:300 segs_out:9
0 0   127.0.0.1:40001 127.0.61.1:17620 users:(("python",pid=12,fd=8))
\t cubic bytes_sent:300 bytes_acked:300 bytes_received:700 segs_out:9
0 0   127.0.61.1:17620 127.0.0.1:40002 users:(("python",pid=11,fd=7))
\t cubic bytes_sent:50 bytes_received:20
0 0   127.0.0.1:40002 127.0.61.1:17620 users:(("python",pid=99,fd=7))
\t cubic bytes_sent:20 bytes_received:50
"""
CORES = {11: "127.0.61.1", 12: "127.0.61.2"}


class Figures(TestCase):
    def test_a_line_and_its_power(self) -> None:
        found = slope([(10, 25.0), (20, 45.0), (40, 85.0)])
        self.assertThat((round(found["each"], 6), round(found["base"], 6)), Equals((2.0, 5.0)))
        self.assertThat(slope([(n, 3.0 * n * n) for n in (1, 3, 9)])["power"], Equals(2.0))

    def test_what_a_sum_is_made_of(self) -> None:
        rows = [[1.0, float(a), float(b), float(a * b)] for a in (1, 5, 9) for b in (2, 4, 7)]
        values = [0.5 + 2 * a + 3 * b + 0.25 * ab for _, a, b, ab in rows]
        self.assertThat([round(x, 6) for x in least(rows, values)], Equals([0.5, 2.0, 3.0, 0.25]))
        self.assertRaises(ZeroDivisionError, least, [[1.0, 1.0], [2.0, 2.0]], [1.0, 2.0])

    def test_a_run_that_is_not_at_rest_makes_no_slope(self) -> None:
        def run(fronts: int, machines: int, answered: float) -> dict[str, Any]:
            calls, pulls = machines / 1.5, fronts / 0.8
            cpu = 0.1 + 0.0002 * calls + 0.0003 * pulls + 1e-7 * pulls * machines
            return {
                "size": {"fronts": fronts, "machines": machines},
                "rest": {
                    "processes": {"x": {"cpu": cpu if answered else 3.0, "links": 4}, "y": {"cpu": 9.0}},
                    "machines": {"calls": calls, "taken": answered * calls}, "fronts": {"pulls": pulls},
                },
            }  # fmt: skip

        sizes = ((30, 100), (30, 3000), (300, 100), (300, 1000), (100, 300))
        told = fitted([*(run(f, m, 1.0) for f, m in sizes), run(790, 10000, 0.0), {"size": {}}])
        self.assertThat((told["call_ms"], told["pull_ms"], told["pull_machine_ms"]), Equals((0.2, 0.3, 1e-4)))
        self.assertThat(told["runs"], HasLength(5))
        self.assertRaises(ValueError, fitted, [run(f, m, 1.0) for f, m in sizes[:4]])

    def test_all_are_shared_out_once(self) -> None:
        for count, most in ((0, 4), (1, 4), (790, 4), (7, 3)):
            some = [n for a, b in shares(count, 200, most) for n in range(a, b)]
            self.assertThat(some, Equals(list(range(count))))
            self.assertThat(len(shares(count, 200, most)) <= most, Equals(True))

    def test_what_never_came_is_no_figure(self) -> None:
        some = [10.0 + n for n in range(99)]
        told = parts(some, 10.0, 100)
        self.assertThat(told, Equals({"first": 0.0, "p50": 49.0, "p99": 98.0, "all": None}))
        self.assertThat(parts([], 0.0, 2)["first"], Equals(None))

    def test_links_are_told_from_sessions(self) -> None:
        ends = sockets(SS, CORES)
        self.assertThat([kind for kind, *_ in ends], Equals(["link", "link", "desk"]))
        after = {key: {way: n + 100 for way, n in moved.items()} for key, moved in ends.items()}
        del ends["desk", "127.0.61.1", "127.0.61.1:17620 127.0.0.1:40002"]  # came up meanwhile: not counted
        moved = grown(ends, after)["127.0.61.1"]
        self.assertThat(
            moved,
            Equals({"links": 1.0, "link_sent": 100.0, "link_received": 100.0, "desks": 1.0, "desk_sent": 0.0,
                    "desk_received": 0.0}),
        )  # fmt: skip

    def test_its_configurations_are_valid(self) -> None:
        taken = plan_of(json.dumps(plan(7, Size(services=3, routes=250)))).unwrap()
        self.assertThat((taken.version, taken.size, len(taken.services)), Equals((7, 250, 3)))

    def test_a_vector_goes_on_within_a_life_only(self) -> None:
        held = {"a": ("l1", 5), "b": ("l1", 5), "gone": ("l1", 1)}
        told = {"a": ["l1", 3], "b": ["l2", 2], "c": ["l1", 1]}
        self.assertThat(later(held, told), Equals({"a": ("l1", 5), "b": ("l2", 2), "c": ("l1", 1)}))


class Hollow(TestCase):
    def day(self, work: Any, fronts: int = 2, machines: int = 3) -> tuple[Any, Times, list[HollowKnown]]:
        """Exchanges in simulated time, hollow fronts beside them, then `work(day, call)`."""
        times, known = Times(), []

        async def whole() -> Any:
            kind, route = Kind("s", 0), Class("c", "s", 1.0, 0.5, 1.0)
            day = Day(Shape((kind,), (route,), fronts=0), 1)
            for ip in day.core_ips:
                day.start(ip)
            day.zone_of["10.9.0.1"] = "z0"
            process = Process(day.net, "10.9.0.1")
            for n in range(fronts):
                known.append(HollowKnown(day.boot("10.9.0.1"), f"h{n}", times, machines))
                session = Session(day.boot("10.9.0.1"), known[-1], f"h{n}", lambda: [], lambda: None)
                dialler: Any = CountedDialler(Dial(day.net, process), times.counts)
                process.spawn(session.run(dialler))
            await day.order("PUT", "/cfg", day.plan(1))
            return await work(day)

        with logbook.NullHandler().applicationbound():
            return played(whole()), times, known

    async def beat(self, day: Day, number: int, phase: str = "up", calls: int = 1) -> None:
        body = {
            "Sock": f"10.7.0.{number}:80", "Desc": {"Svc": "s"}, "Stat": {"Phase": phase, "Calls": calls}
        }  # fmt: skip
        status, *_ = await day.call("PUT", f"/machines/i-{number:06d}0001", body)
        self.assertThat(status, Equals(200))

    def test_it_is_told_of_the_configuration_of_machines_and_of_a_drain(self) -> None:
        async def work(day: Day) -> None:
            for number in range(3):
                await self.beat(day, number)
            await asyncio.sleep(2.0)
            await self.beat(day, 1, "drain", 2)
            await day.order("PUT", "/cfg", day.plan(2))
            await asyncio.sleep(2.0)

        _, times, known = self.day(work)
        for what in ("plan 1", "plan 2", "all machines", f"{Standing.DRAIN.name} i-0000010001"):
            self.assertThat(times.at[what], HasLength(2))
        self.assertThat([sum(k.lacks) for k in known], Equals([0, 0]))
        self.assertThat(times.counts["news_bytes"], GreaterThan(0))
        self.assertThat(times.counts["pulls"] - times.counts["news"] <= 2, Equals(True))

    def test_what_it_holds_is_not_told_again(self) -> None:
        async def work(day: Day) -> None:
            for number in range(3):
                await self.beat(day, number)
            await asyncio.sleep(4.0)

        _, times, _ = self.day(work)
        self.assertThat(times.counts["lines"], Equals(2 * 3))

    def test_a_front_that_was_never_told_of_a_machine_is_found(self) -> None:
        async def work(day: Day) -> None:
            await self.beat(day, 0)
            await self.beat(day, 2)
            await asyncio.sleep(2.0)

        _, times, known = self.day(work)
        self.assertThat([sum(k.lacks) for k in known], Equals([1, 1]))
        self.assertThat(times.at.get("all machines"), Equals(None))


class Herd(TestCase):
    def test_a_front_that_dials_and_goes_elsewhere_is_no_fault(self) -> None:
        """Thousands a second do as exchanges start: each must not become a traceback in the log."""

        async def work() -> int:
            rig = Rig(Path(folder), 1, 0)
            boot = boot_of(json.loads(rig.settings(rig.cores[0]).read_text())).unwrap()
            founders = tuple(rig.cores)
            kept = Kept(0, View(0, "", founders, founders), False)
            exchange = Exchange(boot, Vault(rig.folder), kept, 0.0, "l1")
            gone: Any = SimpleNamespace(path=DESK)
            with mock.patch("pinward.exchange.desk.taken", side_effect=ConnectionResetError):
                return int((await exchange.on_inner(gone)).status)

        with tempfile.TemporaryDirectory() as folder:
            self.assertThat(asyncio.run(work()), Equals(503))


class Calls(TestCase):
    def test_each_request_is_answered_by_its_own_id(self) -> None:
        server, written = Server(), []
        server.connection_made(SimpleNamespace(write=written.append))
        for piece in (b"GET /a HTTP/1.1\r\nX-Try-Id: 1\r\n", b"\r\nGET /b HTTP/1.1\r\nx-try-id: 2\r\n\r\n"):
            server.data_received(piece)
        self.assertThat([TRY.search(told)[1] for told in written], Equals([b"1", b"2"]))  # type: ignore[index]

    def test_an_answer_in_pieces_counts_once_whole(self) -> None:
        async def work() -> list[int | None]:
            caller, seen = Caller(), []
            caller.connection_made(SimpleNamespace(write=lambda data: None))
            done = caller.call(b"")
            for piece in (b"HTTP/1.1 20", b"0 OK\r\nContent-Length: 2\r\n", b"\r\n{", b"}"):
                caller.data_received(piece)
                seen.append(done.result() if done.done() else None)
            return seen

        self.assertThat(asyncio.run(work()), Equals([None, None, None, 200]))

    def test_a_machine_goes_elsewhere_after_a_failure(self) -> None:
        async def work() -> tuple[bool, int, dict[str, int]]:
            server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            times = Times()
            told = SimpleNamespace(
                seed=1,
                cores=["127.0.0.1"] * 3,
                port=port,
                times=times,
                gate=asyncio.Semaphore(1),
                serve=False,
            )
            machine = HollowMachine(5, "s", told)
            at = machine.at
            taken = await machine.call("PUT")
            server.close()
            return taken, machine.at - at, dict(times.counts)

        taken, moved, counts = asyncio.run(work())
        self.assertThat((taken, moved), Equals((False, 1)))
        self.assertThat({k: counts[k] for k in ("calls", "connections", "unanswered")}, MatchesDict({
            "calls": Equals(1), "connections": Equals(1), "unanswered": Equals(1),
        }))  # fmt: skip
