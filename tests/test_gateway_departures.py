"""Clients that leave before their answer: no machine works on for them, on real sockets."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from math import inf
from typing import Any, NamedTuple

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

import tests.test_gateway_wire as wire_tests
from pinward.plan.routes import Route
from pinward.switchboard.call import Call, Send
from pinward.switchboard.departures import SETTLE_S, allowance_s
from pinward.switchboard.lines import GUESS_S, Lines
from pinward.switchboard.verdict import End, ended
from pinward.tally.tries import Tries
from pinward.trial.front import Trial
from pinward.trial.order import Order
from standin import departures_soak
from standin.departures import OUTLIVE_S, Client, Leave, RecordingMachine, outlived
from tests.test_gateway_parts import BOOK, BOUNDS, READ, entry
from tests.test_gateway_wire import EDGE, played

SLACK_S = 0.1  # s beyond the bound in which this process itself may be late
LONG, LONG_BODY = 2**24, 900_000  # bytes of an answer or a body: more than what is on the way can hold


class Seen(NamedTuple):
    """What machines, clients and the proxy saw once the bound after the leaves was over."""

    asked: int  # requests that reached machines
    outlived: list[Any]
    violations: int
    failed: int  # failures that the proxy holds against machines
    running: int  # sends that are still under way


NOTHING = ([], 0, 0, 0)  # of `Seen`, but for the first


class Place(NamedTuple):
    """Where a client's requests are as it leaves."""

    name: str
    send: Callable[[Client, str], None]
    asked: int  # requests of it that reach machines before it leaves


def several(count: int) -> Callable[[Client, str], None]:
    """Sends that many requests ahead."""

    def send(client: Client, name: str) -> None:
        for number in range(count):
            client.send(f"{name}.{number}")

    return send


def behind_it(raw: bytes) -> Callable[[Client, str], None]:
    """Sends one request and raw bytes behind it."""

    def send(client: Client, name: str) -> None:
        client.send(name)
        client.writer.write(raw)

    return send


PLACES = (
    Place("at work", several(1), 1),
    Place("begun ahead", several(3), 3),
    Place("with a part of another behind", behind_it(b"GET /toy/y HTTP/1.1\r\nHost: toy"), 1),
    Place(
        "with one that may run once waiting for its turn",
        behind_it(b"POST /book/x HTTP/1.1\r\nHost: toy.example\r\nX-Try-Id: o\r\nContent-Length: 0\r\n\r\n"),
        1,
    ),
    Place("before its body is whole", lambda client, name: client.send(name, length=100, body=b"part"), 0),
    # Nine of them are begun, the rest wait: as their number reaches 32 nothing more is read.
    Place("while nothing is read from it", several(60), 9),
)


class Departures(TestCase):
    """Clients and recording machines around a whole proxy."""

    board, taken = wire_tests.Clients.board, wire_tests.Clients.taken

    async def seen(
        self, machines: list[RecordingMachine], work: Callable[[], Awaitable[list[Client]]]
    ) -> Seen:  # fmt: skip
        """Plays `work`, which returns clients that have just left, around a proxy with these machines."""
        board, stop, running = await self.board(  # type: ignore[misc]
            *[await machine.start() for machine in machines]
        )
        clients = await work()
        await asyncio.sleep(OUTLIVE_S + SLACK_S)
        found = outlived(clients, machines, asyncio.get_running_loop().time())
        left = Seen(
            sum(len(machine.works) for machine in machines), found, board.forwarder.departures.violations,
            sum(one.failed for one in board.lines.machines.values()), len(board.forwarder.sends.running),
        )  # fmt: skip
        stop.set()
        await running
        for client in clients:
            client.writer.transport.abort()
        return left

    def test_no_machine_is_at_work_half_a_second_after_its_client_left(self) -> None:
        """Symptom: N of N went on until their answer, or until the time of their route was over."""
        for place in PLACES:
            for how in Leave:
                seen = self.left_from(place, how)
                self.assertThat(seen.asked, Equals(place.asked), f"{place.name}, {how.name}")
                self.assertThat(seen[1:], Equals(NOTHING), f"{place.name}, {how.name}")

    def left_from(self, place: Place, how: Leave) -> Seen:
        machine = RecordingMachine()

        async def leaves() -> list[Client]:
            client = await Client.connect(EDGE)
            place.send(client, "q")
            while len(machine.at_work) < place.asked:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.02)  # what is not sent on has been read too
            client.leave(how)
            return [client]

        return played(lambda: self.seen([machine], leaves))  # type: ignore[no-any-return]

    def test_both_machines_of_a_request_stop(self) -> None:
        """The second was asked beside the first, which was silent for longer than usual."""
        machines = [RecordingMachine("i1"), RecordingMachine("i2")]

        async def leaves() -> list[Client]:
            client = await Client.connect(EDGE)
            client.send("q")
            while len(machines[0].at_work) + len(machines[1].at_work) < 2:
                await asyncio.sleep(0.01)
            client.leave(Leave.CLOSE)
            return [client]

        seen = played(lambda: self.seen(machines, leaves))
        self.assertThat(seen, Equals((2, *NOTHING)))

    def test_the_slower_of_two_machines_stops_as_the_answered_client_leaves(self) -> None:
        machines = [RecordingMachine("i1"), RecordingMachine("i2")]

        async def leaves() -> list[Client]:
            client = await Client.connect(EDGE)
            client.send("q")
            while not (first := [machine for machine in machines if machine.at_work]):
                await asyncio.sleep(0.01)
            for machine in machines:
                machine.hold_s = None if machine is first[0] else 0.0
            await client.reader.readuntil(b"kk")
            client.leave(Leave.CLOSE)
            return [client]

        seen = played(lambda: self.seen(machines, leaves))
        self.assertThat(seen, Equals((2, *NOTHING)))

    def test_an_answer_that_its_client_does_not_read_ends_with_the_client(self) -> None:
        for how in Leave:
            machine = RecordingMachine()

            async def leaves(machine: RecordingMachine = machine, how: Leave = how) -> list[Client]:
                client = await Client.connect(EDGE)
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                client.send("q", hold_ms=0, fill=LONG)
                while not machine.at_work:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)  # all buffers on the way are full
                client.leave(how)
                return [client]

            seen = played(lambda leaves=leaves, machine=machine: self.seen([machine], leaves))
            self.assertThat(seen, Equals((1, *NOTHING)), how.name)

    def test_a_body_that_its_machine_does_not_read_ends_with_the_client(self) -> None:
        """Symptom: the proxy did not read from the client either, and so did not see that it had left."""
        for how in Leave:
            machine = RecordingMachine(reads_bodies=False)

            async def leaves(machine: RecordingMachine = machine, how: Leave = how) -> list[Client]:
                client = await Client.connect(EDGE)
                client.send("q", body=b"p" * LONG_BODY)
                while not machine.at_work:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                client.leave(how)
                return [client]

            seen = played(lambda leaves=leaves, machine=machine: self.seen([machine], leaves))
            self.assertThat(seen.outlived, Equals([]), how.name)
            self.assertThat((seen.violations, seen.running), Equals((0, 0)), how.name)

    def test_a_connection_that_does_not_come_up_is_not_waited_for(self) -> None:
        async def work() -> tuple[int, int]:
            with socket.create_server(("127.0.0.1", 0), backlog=0) as silent:
                crowd = []
                for _ in range(4):  # its queue is full: the next one's first packet is dropped
                    one = socket.socket()
                    one.setblocking(False)
                    one.connect_ex(silent.getsockname())
                    crowd.append(one)
                board, stop, running = await self.board(silent.getsockname()[1])  # type: ignore[misc]
                client = await Client.connect(EDGE)
                client.send("q")
                while not board.forwarder.sends.running:
                    await asyncio.sleep(0.01)
                client.leave(Leave.CLOSE)
                await asyncio.sleep(OUTLIVE_S)
                left = len(board.forwarder.sends.running), board.forwarder.departures.violations
                stop.set()
                await running
                for one in crowd:
                    one.close()
                return left

        self.assertThat(played(work), Equals((0, 0)))

    def test_a_process_that_was_held_up_counts_only_what_it_did_not_end(self) -> None:
        """Symptom: held up over both times, it counted sends that it had broken off a moment before."""
        machine = RecordingMachine()

        async def work() -> tuple[float, int]:
            board, stop, running = await self.board(await machine.start())  # type: ignore[misc]
            client = await Client.connect(EDGE)
            client.send("q")
            while not machine.at_work:
                await asyncio.sleep(0.01)
            client.leave(Leave.CLOSE)
            await asyncio.sleep(SETTLE_S / 2)
            time.sleep(OUTLIVE_S - SETTLE_S / 2 + 0.03)
            await asyncio.sleep(0.2)
            watch = board.forwarder.departures
            stop.set()
            await running
            return watch.cancelled.value, watch.violations

        self.assertThat(played(work), Equals((1, 0)))

    def test_what_may_run_once_is_finished_by_its_machine_and_never_sent_again(self) -> None:
        machine = RecordingMachine()

        async def work() -> tuple[list[bool], float, float]:
            board, stop, running = await self.board(await machine.start())  # type: ignore[misc]
            client = await Client.connect(EDGE)
            client.send("q", path="/book/x", hold_ms=800, body=b"pay")
            while not machine.at_work:
                await asyncio.sleep(0.01)
            client.leave(Leave.CLOSE)
            await asyncio.sleep(0.05)
            stop.set()  # the proxy leaves too, and waits for it
            await running
            watch = board.forwarder.departures
            return [work.whole for work in machine.works], watch.finishing.value, watch.violations

        self.assertThat(played(work), Equals(([True], 1, 0)))

    def test_an_answer_that_comes_soon_after_the_leave_keeps_its_connection(self) -> None:
        machine = RecordingMachine()

        async def work() -> tuple[int, float]:
            board, stop, running = await self.board(await machine.start())  # type: ignore[misc]
            for number in range(5):
                client = await Client.connect(EDGE)
                client.send(f"q{number}", hold_ms=100)
                while len(machine.works) <= number:
                    await asyncio.sleep(0.01)
                client.leave(Leave.CLOSE)
                while board.forwarder.sends.running:
                    await asyncio.sleep(0.01)
            stop.set()
            await running
            return machine.connections, board.forwarder.departures.cancelled.value

        self.assertThat(played(work), Equals((1, 0)))


class Decisions(TestCase):
    """What is decided of a send whose client has left, without a socket."""

    def setUp(self) -> None:
        super().setUp()
        self.lines, self.tries = Lines("a", 1), Tries(BOUNDS)
        self.lines.learn(0.0, [entry(1)], {}, {"s": 100})

    def sent(self, route: Route) -> tuple[Call, Send]:
        """A call with one send under way."""
        call = Call(route, "s", 0.0, 2.0)
        send = call.next(0.0, self.lines, self.tries, None)
        assert isinstance(send, Send)
        return call, send

    def test_how_long_a_send_goes_on_by_its_kind_its_answer_and_the_room_at_its_machine(self) -> None:
        for route, passing, others, allowed_s in (
            (READ, False, 0, SETTLE_S),
            (READ, False, 5, 0.0),  # all six slots are taken: others wait for this one
            (READ, True, 0, 0.0),
            (BOOK, False, 0, inf),
            (BOOK, False, 5, inf),
            (BOOK, True, 0, inf),
        ):
            call, send = self.sent(route)
            send.machine.open += others
            if passing:
                call.passes_on(send)
            call.leave(0.1)
            self.assertThat(allowance_s(0.1, call, send), Equals(allowed_s), f"{route} {passing} {others}")
            send.machine.open = 0

    def test_an_abandoned_send_is_no_failure_of_its_machine(self) -> None:
        call, send = self.sent(READ)
        call.leave(0.05)
        call.ended(0.05, self.lines, send, ended(End.ABANDONED), None)
        machine = send.machine
        learned = machine.failed, machine.open, machine.aside_until, machine.shaky_until, machine.good_at
        self.assertThat(learned, Equals((0, 0, -inf, -inf, -inf)))
        self.assertThat((machine.speed, self.lines.services["s"].usual_s), Equals((1.0, GUESS_S)))

    def test_one_abandoned_after_long_tells_that_its_machine_is_slow(self) -> None:
        """Symptom: machines too slow for any client to wait looked quick and empty, and got more and more."""
        for _ in range(10):
            call, send = self.sent(READ)
            call.leave(0.3)
            call.ended(0.3, self.lines, send, ended(End.ABANDONED), None)
        self.assertThat(send.machine.speed, GreaterThan(2.0))
        call, send = self.sent(READ)
        before = send.machine.speed
        call.ended(0.05, self.lines, send, ended(End.ABANDONED), None)
        self.assertThat(send.machine.speed, Equals(before))  # a short one tells nothing

    def test_an_abandoned_send_tells_nothing_of_a_build_or_the_budget(self) -> None:
        trial = Trial(Order("s", "v2", 1, "v1", 10.0), BOUNDS, 0.0)
        call, send = self.sent(READ)
        call.leave(0.3)
        call.ended(0.3, self.lines, send, ended(End.ABANDONED), trial)
        self.assertThat((trial.routes, list(trial.fresh)), Equals(({}, [])))
        self.assertThat(self.tries.further.since(-1.0), Equals(0))


class RealProcesses(TestCase):
    """The short form of `pinward gateway departures`."""

    def test_clients_leave_while_processes_are_killed_paused_and_cut_off(self) -> None:
        soak = departures_soak.played(1, 4.0)
        self.assertThat(soak.faults, Equals([]))
        self.assertThat(soak.counted["pinward_departures_total"], GreaterThan(0))
        self.assertThat(len(soak.troubles), GreaterThan(1))
