"""A proxy that leaves finishes what it passes on to machines, and passes on nothing that it cannot finish."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from dataclasses import replace
from unittest import mock

import aiohttp
import logbook
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, Is, IsInstance, LessThan, Not, StartsWith

import tests.test_gateway_parts as parts_tests
import tests.test_gateway_wire as wire_tests
from pinward.exchange.desk import Desk
from pinward.exchange.host import HANDED_S, STOP_S, Exchange
from pinward.exchange.storage import open_state
from pinward.plan.boot import boot_of
from pinward.switchboard import leaving
from pinward.switchboard.call import Call, Reply, Send, Wait
from pinward.switchboard.leaving import SENDS_S, LeaveSchedule
from pinward.switchboard.leaving_model import PLANTS, Model
from pinward.switchboard.verdict import Ending, Verdict
from standin import restarts_soak
from standin.departures import RecordingMachine
from standin.leaving import BusyClient, Outcome, Records
from tests.test_gateway_parts import READ
from tests.test_gateway_wire import EDGE

GRACE_S = 3.0
MACHINES, CLIENTS = 12, 20
BEFORE_S = 0.5  # s of load before the signal
LAST_ANSWERS_S = 3.0  # s that clients have for what is left as the proxy has ended
SEEDS = 2
SOAK_SEEDS, SOAK_S = (1, 2, 3), 20.0


class Schedules(TestCase):
    """The moments of a proxy's end."""

    def test_moments_come_in_their_order(self) -> None:
        for grace_s in (2.4, 3.0, 6.0, 10.0, 30.0):
            schedule = LeaveSchedule(100.0, grace_s)
            self.assertTrue(100.0 < schedule.sends_until < schedule.gives_up_at < schedule.exits_at)
            self.assertTrue(100.0 <= schedule.heard_at <= schedule.accepts_until < schedule.gives_up_at)
            self.assertThat(schedule.exits_at, LessThan(schedule.ends_at))
            self.assertThat(schedule.sends_until - 100.0, LessThan(SENDS_S + 0.001))
            self.assertThat(schedule.sends_until - 100.0, LessThan(0.5 * grace_s))

    def test_what_may_be_sent_by_the_moment_and_the_time_of_the_request(self) -> None:
        schedule = LeaveSchedule(0.0, 6.0)
        for now, until, may in (
            (0.0, 6.0, True),  # early: whatever its time
            (2.3, 8.3, True),
            (2.5, 5.4, True),  # late: it is over before the proxy gives up
            (2.5, 5.6, False),
            (4.9, 5.5, True),
            (4.9, 10.9, False),
        ):
            self.assertThat(schedule.may_send(now, until), Is(may), f"{now} {until}")


class LeavingCalls(parts_tests.FourMachines):
    """One request's sends as its proxy leaves: SIGTERM comes at 0, the grace is 6 s."""

    def call(self, taken: float, allow_s: float) -> Call:
        call = Call(replace(READ, timeout_s=9.0), "s", taken, allow_s)
        call.leaving = LeaveSchedule(0.0, 6.0)
        return call

    def step(self, call: Call, now: float) -> Send | Wait | Reply:
        return call.next(now, self.lines, self.tries, None)

    def test_a_late_request_is_refused_at_once_and_may_be_sent_again(self) -> None:
        reply = self.step(self.call(4.96, 6.0), 4.96)
        assert isinstance(reply, Reply)
        self.assertThat(reply.status, Equals(503))
        self.assertThat(reply.back_s, GreaterThan(0.0))

    def test_a_late_request_that_is_over_in_time_is_sent(self) -> None:
        self.assertThat(self.step(self.call(4.8, 0.6), 4.8), IsInstance(Send))

    def test_late_no_second_machine_is_asked_beside_a_silent_one(self) -> None:
        """Symptom: a second machine was asked 4.92 s after SIGTERM, and both were broken off."""
        call = self.call(2.0, 6.0)
        self.assertThat(self.step(call, 2.0), IsInstance(Send))
        self.assertThat(self.step(call, 4.92), IsInstance(Wait))

    def test_late_no_other_machine_is_asked_after_one_that_broke_off(self) -> None:
        for verdict, status in ((Verdict.MAY_HAVE_RUN, 502), (Verdict.NOT_SENT, 503)):
            call = self.call(2.0, 6.0)
            send = self.step(call, 2.0)
            assert isinstance(send, Send)
            call.ended(4.0, self.lines, send, Ending(verdict, "reset"), None)
            reply = self.step(call, 4.0)
            assert isinstance(reply, Reply)
            self.assertThat(reply.status, Equals(status))


class Explored(TestCase):
    """Every order of signal, requests, answers and passing time on one connection, within bounds."""

    def test_no_order_breaks_a_rule(self) -> None:
        seen = Model().explore_all(100_000)
        self.assertThat((seen["broken"], seen["all_within_bounds"]), Equals((None, True)))

    def test_planted_errors_are_found(self) -> None:
        for plant in PLANTS[1:]:
            self.assertThat(Model(plant).explore_all(100_000)["broken"], Not(Is(None)), plant)


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

    def test_planted_a_proxy_that_sends_whatever_it_reads_is_found(self) -> None:
        with (
            mock.patch.multiple(leaving, SENDS_S=GRACE_S, SENDS_PART=1.0),
            logbook.NullHandler().applicationbound(),
        ):
            records = asyncio.run(self.left(0))
        self.assertThat(records.faults(GRACE_S), Not(Equals([])))


class SlowBodies(TestCase):
    """A request whose body comes slowly, around a SIGTERM."""

    GRACE_S, REST_AFTER_S = 2.0, 1.2
    HEAD = (
        b"POST /book/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: 7\r\nX-Deadline-Ms: 9000\r\n"
        b"Content-Length: 4\r\n\r\nbo"
    )

    board, taken = wire_tests.Clients.board, wire_tests.Clients.taken

    async def ended_late(self) -> tuple[bytes, int]:
        """The answer, and how many requests reached the machine."""
        machine = RecordingMachine("i1")
        board, stop, running = await self.board(  # type: ignore[misc]
            await machine.start(), grace_s=self.GRACE_S
        )
        reader, writer = await asyncio.open_connection(*EDGE)
        writer.write(self.HEAD)
        while not board.forwarder.open:
            await asyncio.sleep(0)
        stop.set()
        await asyncio.sleep(self.REST_AFTER_S)
        writer.write(b"dy")
        answer = await reader.read(20)
        await running
        writer.close()
        return answer, len(machine.works)

    def test_one_that_is_whole_too_late_is_refused(self) -> None:
        """Symptom: a request whose body was read as SIGTERM came was sent on whenever it was whole."""
        with logbook.NullHandler().applicationbound():
            answer, asked = asyncio.run(asyncio.wait_for(self.ended_late(), 10.0))
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503"))
        self.assertThat(asked, Equals(0))


class RealProcesses(TestCase):
    """The short form of `pinward gateway restarts`."""

    def test_nothing_is_lost_around_restarts_reloads_and_changes_that_overlap(self) -> None:
        for seed in SOAK_SEEDS:
            soak = restarts_soak.played(seed, SOAK_S)
            self.assertThat(soak.faults, Equals([]), f"seed {seed}")
            self.assertThat(soak.signals["SIGTERM"], GreaterThan(5))
            self.assertThat(soak.records.counts[Outcome.SERVED.value], GreaterThan(100))


class PulledWebSocket:
    """A proxy's session at a control server: its pulls come when the test says so."""

    def __init__(self) -> None:
        self.pulls: asyncio.Queue[aiohttp.WSMessage] = asyncio.Queue()

    async def receive(self) -> aiohttp.WSMessage:
        return await self.pulls.get()

    async def send_str(self, text: str) -> None:
        """What is sent goes nowhere."""

    def pull(self) -> None:
        have = {"vector": {}, "partial": False, "plan": 0, "orders": {}, "fresh": False}
        word = {"t": "pull", "front": "p1", "have": have, "reports": []}
        self.pulls.put_nowait(aiohttp.WSMessage(aiohttp.WSMsgType.TEXT, json.dumps(word), None))


class Sessions(TestCase):
    """Sessions of proxies as their control server's process ends."""

    STEPS = 8  # turns of the loop between a pull and the end

    async def ended(self, steps: int) -> bool:
        """True where a session that is cancelled so many turns after its pull came ends by it."""

        async def news(*_: object) -> dict[str, object]:
            await asyncio.sleep(0)
            return {}

        desk = Desk(mock.MagicMock(now=lambda: 0.0), lambda *_: None)
        desk.news = news  # type: ignore[method-assign]
        desk.encoded = lambda *_: "{}"  # type: ignore[method-assign]
        ws = PulledWebSocket()
        session = asyncio.ensure_future(desk.attend(ws))
        for turns in (2, steps):
            for _ in range(turns):
                await asyncio.sleep(0)
            ws.pull()
        for _ in range(steps):
            await asyncio.sleep(0)
        session.cancel()
        await asyncio.wait((session,), timeout=0.2)
        return session.cancelled()

    def test_a_pull_that_comes_as_the_process_ends_keeps_no_session_alive(self) -> None:
        """Symptom: a control server with many sessions had not ended 6 s after SIGTERM."""
        for steps in range(self.STEPS):
            self.assertThat(asyncio.run(self.ended(steps)), Is(True), f"{steps} turns after a pull")


class ControlServers(TestCase):
    """A control server that ends, and what is called as it does."""

    IP = f"127.67.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
    PORT, INNER = 18649, 17620
    HANDS_OVER_S = 0.3  # s of the grace in which nobody takes over

    def settings(self, folder: str) -> dict[str, object]:
        return {
            "Self": {
                "HostName": "core", "Ipaddr": self.IP, "Az": "here", "Quorum": True, "Init": True,
                "VarDir": folder,
            },
            "Net": {
                "Bind": {"Ctl": f"{self.IP}:{self.PORT}"}, "PortsIn": [self.INNER, self.INNER + 9],
                "Peers": [f"{ip}:{self.PORT}" for ip in (self.IP, "127.67.0.2", "127.67.0.3")],
            },
            "Plat": {"Hb": "500ms"},
            "Terms": {
                "Survive": {"Nodes": 1}, "Bnds": {"Grace": f"{int(1000 * (HANDED_S + self.HANDS_OVER_S))}ms"},
            },
        }  # fmt: skip

    async def called_late(self, folder: str) -> bytes:
        """What a machine gets that says it leaves in the control server's last moments."""
        boot = boot_of(self.settings(folder)).unwrap()
        vault, kept = open_state(boot)
        stop = asyncio.Event()
        running = asyncio.ensure_future(Exchange(boot, vault, kept, time.monotonic()).run(stop))
        await asyncio.sleep(0.1)
        reader, writer = await asyncio.open_connection(self.IP, self.PORT)
        writer.write(b"GET /cfg HTTP/1.1\r\nHost: c\r\n\r\n")
        self.assertThat(await reader.readuntil(b"}"), Contains(b"timeout=2"))
        stop.set()
        await asyncio.sleep(self.HANDS_OVER_S + 0.8 * STOP_S)
        writer.write(b"DELETE /machines/i-1 HTTP/1.1\r\nHost: c\r\n\r\n")
        reading = asyncio.ensure_future(reader.read(20))
        await running
        answer = reading.result() if reading.done() else b""  # its process would be gone
        reading.cancel()
        writer.close()
        return answer

    def test_a_call_that_comes_as_it_ends_is_answered(self) -> None:
        """Symptom: the connection ended under a call that was read a fifth of a second before the end."""
        with tempfile.TemporaryDirectory() as folder, logbook.NullHandler().applicationbound():
            answer = asyncio.run(asyncio.wait_for(self.called_late(folder), 10.0))
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503"))
