"""Forwards clients' requests: reads and checks each one, then sends it as its `Call` says.

`Forwarder` holds what all requests of a proxy share; `ForwardedRequest` drives the attempts of one.
"""

from __future__ import annotations

import asyncio
from functools import partial
from math import inf
from random import Random
from typing import Any

from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from pinward.annunciator import ring
from pinward.common.capacity import FREE
from pinward.common.client_room import ClientRoom
from pinward.common.figure_log import FigureLog
from pinward.common.held_bytes import Reservation
from pinward.common.metrics import Metrics
from pinward.common.reading import HELD
from pinward.common.refusals import RefusedError, Refusal
from pinward.common.server import ClientConnection
from pinward.plan.boot import Boot
from pinward.switchboard.answer_watch import AnswerWatch
from pinward.switchboard.call import Call, Reply, Send, Wait
from pinward.switchboard.departures import OUTLIVE_S, DepartureWatch, allowance_s
from pinward.switchboard.kept import ID, NOT_RUN
from pinward.switchboard.leaving import LeaveSchedule
from pinward.switchboard.lines import Lines
from pinward.switchboard.pipelining import READ_AT, ahead
from pinward.switchboard.request_body import Body, BodyTooLongError, StreamedBody, read_body
from pinward.switchboard.splits import SplitSequence
from pinward.switchboard.stream import Outlet, Sink
from pinward.switchboard.verdict import BROKEN, PROMISES, End, Ending, Verdict, ended
from pinward.switchboard.wire import DEADLINE, WANT, Wire, passed_on
from pinward.tally.tries import Tries
from pinward.tasks import Tasks
from pinward.trial.front import Trial
from pinward.trunk.session import Known

DIGITS_MOST = 12  # of a deadline in milliseconds
DEADLINE_S = 30.0  # s a client waits that does not say how long
UNKNOWN_S = 0.3  # s after which a client is told to come back to a front that knows no configuration yet
AHEAD_PART = 0.5  # of the requests that may be under way, from which on none is begun before its turn
CHECK_S = 0.05  # s beyond the bound after which work that outlived its client is counted
SERVICES_SPARE = 64  # services of former configurations whose budget is remembered

def own_answer(status: int, retry_after_s: float | None = None) -> Response:
    """An answer of the proxy itself."""
    response = Response(status=status)
    if retry_after_s is not None:
        response.headers["Retry-After"] = f"{retry_after_s:.2f}"
    return response


def last_answer(status: int) -> Response:
    """An answer of the proxy itself after which nothing more is read from the connection."""
    response = own_answer(status)
    response.force_close()
    return response


class Forwarder:
    """What the requests of one proxy share."""

    def __init__(
        self, boot: Boot, known: Known, lines: Lines, trials: dict[str, Trial], chance: Random
    ) -> None:  # fmt: skip
        self.boot, self.known, self.lines, self.trials = boot, known, lines, trials
        self.room = ClientRoom()
        self.splits = SplitSequence(chance)
        self.wire: Wire | None = None
        self.tries: dict[str, Tries] = {}  # the retry budget of each service
        self.open = 0  # requests that are not answered yet
        self.calls: set[Call] = set()  # of these, the ones that were read and have a route
        self.sends = Tasks(lambda _, why: ring(110, why=repr(why)))  # they may outlast their requests
        self.metrics = Metrics()
        self.departures = DepartureWatch(self.metrics)
        self.answers = AnswerWatch(self.metrics)
        self.logs = (
            FigureLog(330, lambda: self.departures.departures.value, lambda: self.departures.figures),
            FigureLog(312, lambda: self.answers.changes, lambda: self.answers.figures),
        )
        self.leaving: LeaveSchedule | None = None  # once the proxy was told to end
        self.violations_told = 0

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    async def close(self) -> None:
        """Ends the connections to machines."""
        if self.wire is not None:
            await self.wire.close()

    async def finish_sends(self, until: float) -> None:
        """Waits for sends that go on to their end though their clients left, to the loop's time at most."""
        left_s = until - self.now()
        if self.sends.running and left_s > 0:
            await asyncio.wait(self.sends.running, timeout=left_s)

    def forget_former_services(self) -> None:
        """Drops the budgets of services that the configuration no longer names, where there are many."""
        plan = self.known.plan
        if plan is not None and len(self.tries) > len(plan.services) + SERVICES_SPARE:
            self.tries = {name: tries for name, tries in self.tries.items() if name in plan.services}

    def budget(self, service: str) -> Tries:
        """The retry budget of a service."""
        tries = self.tries.get(service)
        if tries is None:
            tries = self.tries[service] = Tries(self.boot.bounds)
        return tries

    def tell_figures(self, now: float) -> None:
        """Logs figures that have changed since the last call, violations of an invariant at once."""
        watch = self.departures
        if watch.violations > self.violations_told:
            self.violations_told = watch.violations
            ring(331, outlived=watch.outlived.value, after=watch.after.value)
        for log in self.logs:
            log.tell(now)

    def leave(self, schedule: LeaveSchedule) -> None:
        """The proxy was told to end: from now on its schedule bounds what is sent to machines."""
        self.leaving = schedule
        for call in self.calls:
            call.leaving = schedule

    def give_up(self) -> None:
        """Ends the time of all requests: they are answered at once, by what is known of their sends."""
        if self.calls and self.leaving is not None:
            signalled_at = self.leaving.signalled_at
            read_at = max(call.taken for call in self.calls)
            sends = [send.at for call in self.calls for send in call.sending]
            last_send_s = max(sends, default=signalled_at) - signalled_at
            ring(
                332, requests=len(self.calls), sends=len(sends),
                last_read_s=f"{read_at - signalled_at:.3f}", last_send_s=f"{last_send_s:.3f}",
            )  # fmt: skip
        for call in self.calls:
            call.until = min(call.until, self.now())
        self.sends.cancel()

    def may_begin_ahead(self, message: Any) -> bool:
        """True where a request may be begun before its turn: its route lets it run again."""
        plan = self.known.plan
        if plan is None or self.crowded(AHEAD_PART):
            return False
        route = plan.route(message.headers.get("Host", ""), message.path.partition("?")[0])
        return route is not None and route.repeatable

    def crowded(self, part: float = 1.0) -> bool:
        """True where that part of the requests that may be under way to machines at a time are."""
        return len(self.sends.running) >= part * self.room.capacity.sends

    async def on_request(self, request: BaseRequest) -> StreamResponse:
        """The answer to a client's request."""
        self.open += 1
        try:
            return await self.serve(request)
        except asyncio.CancelledError:
            raise
        except ConnectionError:  # the connection has ended, and its client gets nothing
            return own_answer(BROKEN)
        except Exception as why:  # a fault of the program ends this request alone
            ring(110, why=repr(why))
            return own_answer(500)
        finally:
            self.open -= 1

    async def serve(self, request: BaseRequest) -> StreamResponse:
        plan, headers = self.known.plan, request.headers
        read_at = request.get(READ_AT)  # the time a request waits behind another counts too
        now = self.now() if read_at is None else read_at
        if plan is None:
            return own_answer(503, UNKNOWN_S)
        raw = request.raw_path
        if not raw.startswith("/") or "#" in raw:
            return own_answer(400)
        if "Transfer-Encoding" in headers and "Content-Length" in headers:
            return last_answer(400)
        route = plan.route(headers.get("Host", ""), raw.partition("?")[0])
        if route is None:
            return own_answer(404)
        if self.crowded():
            return own_answer(503, UNKNOWN_S)
        allow = headers.get(DEADLINE, "")
        told = allow.isdecimal() and len(allow) <= DIGITS_MOST
        allow_s = int(allow) / 1000 if told else DEADLINE_S
        if headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body: Body = b""
        held = self.room.reservation(FREE)
        service = route.split[0][0] if len(route.split) == 1 else route.service(self.splits.next(route.name))
        call = Call(route, service, now, allow_s)
        if request.body_exists:
            if (request.content_length or 0) > plan.body_bytes:
                return last_answer(413)
            try:
                async with asyncio.timeout(call.until - now):
                    body = await read_body(request.content, plan.body_bytes, held)
            except TimeoutError:
                return last_answer(408)  # nothing was sent on; a body that never ends held its place for ever
            except BodyTooLongError:
                return last_answer(413)
            except RefusedError as why:
                return self.refused(why.refusal)
            except RequestPayloadError:
                return self.refused(Refusal.MALFORMED)
            call.streams = isinstance(body, StreamedBody)
        return await ForwardedRequest(self, request, call, body, held).answered()

    def refused(self, refusal: Refusal) -> Response:
        """The answer where a body cannot be read on; nothing was sent on."""
        response = self.room.refusals.answer(refusal)
        response.force_close()
        return response


class ForwardedRequest:
    """One client's request, from the time it was read to the end of its last send."""

    def __init__(
        self, shared: Forwarder, request: BaseRequest, call: Call, body: Body, held: Reservation
    ) -> None:  # fmt: skip
        """`held`: of the room for clients, what the body takes."""
        self.shared, self.request, self.call, self.body, self.held = shared, request, call, body, held
        self.budget = shared.budget(call.service)
        self.sink = Sink(request, not ahead(request))
        self.headers = passed_on(request.headers)
        if call.streams and request.content_length is not None:
            self.headers["Content-Length"] = str(request.content_length)
        self.headers.popall("Expect", None)
        self.sends: dict[Send, asyncio.Task[Ending]] = {}  # those under way
        protocol = request.protocol
        self.connection = protocol if isinstance(protocol, ClientConnection) else None
        if self.connection is not None:
            self.connection.watch_departure(self.client_left)

    def client_left(self) -> None:
        """The client has left, perhaps after its answer: what is under way for it is given up in time."""
        now, watch, loop = self.shared.now(), self.shared.departures, asyncio.get_running_loop()
        if self.call in self.shared.calls:
            watch.departures.add()
        self.call.leave(now)
        watch.under_way.add(len(self.sends))
        for send in self.sends:
            allow_s = allowance_s(now, self.call, send)
            if allow_s == inf:
                watch.finishing.add()
            else:
                loop.call_later(allow_s, self.cancel, send)
        if self.sends:
            # Two steps: where the process was held up, all that is due runs in one turn of the loop, and what
            # is broken off in it ends in the next ones.
            loop.call_later(OUTLIVE_S, loop.call_later, CHECK_S, watch.looks, self.call)

    def cancel(self, send: Send) -> None:
        """Breaks off a send whose time after its client's leave is over, where it has not ended."""
        task = self.sends.get(send)
        if task is not None:
            self.shared.departures.cancelled.add()
            task.cancel()

    def unwatch(self) -> None:
        """Nothing is under way any more for which the client's leave counts."""
        if self.connection is not None and not self.sends and self.call not in self.shared.calls:
            self.connection.unwatch_departure(self.client_left)

    async def answered(self) -> StreamResponse:
        """The request's answer. Raises ConnectionResetError where one broke off that had begun to go out."""
        self.budget.request(self.shared.now())
        self.call.leaving = self.shared.leaving
        self.shared.calls.add(self.call)
        try:
            return await self.until_answered()
        finally:
            self.shared.calls.discard(self.call)
            self.unwatch()
            self.release_body()

    def release_body(self) -> None:
        """Gives the body's room back once it is sent no more."""
        if not self.sends and self.call not in self.shared.calls:
            self.held.release()

    async def until_answered(self) -> StreamResponse:
        """Sends and waits as the call says, until it has its answer."""
        shared, call = self.shared, self.call
        while True:
            if call.left_at is not None:
                self.sink.shut()
                return own_answer(BROKEN)  # nobody gets it; no further machine works for nobody
            trial = shared.trials.get(call.service)
            step = call.next(shared.now(), shared.lines, self.budget, trial)
            if isinstance(step, Reply):
                return await self.reply(step)
            if isinstance(step, Wait):
                most_s = step.most_s if step.most_s != inf else None
                await asyncio.wait(
                    self.sends.values(), timeout=most_s, return_when=asyncio.FIRST_COMPLETED
                )  # fmt: skip
                continue
            self.begin(step, trial)

    def begin(self, step: Send, trial: Trial | None) -> None:
        """Begins a send."""
        self.shared.departures.begins(self.call)
        task = self.sends[step] = self.shared.sends.spawn(self.send(step))
        # By the task's end, not within it: one that is cancelled before its first step never runs.
        task.add_done_callback(partial(self.ended, step, trial))

    def ended(self, step: Send, trial: Trial | None, task: asyncio.Task[Ending]) -> None:
        """A send has ended: what it tells of its machine, and to its request."""
        whole = not task.cancelled() and task.exception() is None
        ending = task.result() if whole else ended(End.ABANDONED)
        del self.sends[step]
        self.unwatch()
        self.release_body()
        self.call.ended(self.shared.now(), self.shared.lines, step, ending, trial)
        if ending.what in (End.ANOTHERS, End.SPOILT, End.CUT):
            ring(310, iid=step.machine.entry.iid, what=ending.what)

    async def send(self, step: Send) -> Ending:
        """One send over the wire, and how it ended."""
        shared, call, entry = self.shared, self.call, step.machine.entry
        headers = self.headers.copy()
        headers[DEADLINE] = str(max(1, int(step.allow_s * 1000)))
        headers[WANT] = entry.iid
        method = self.request.method
        url = f"http://{entry.where[0]}:{entry.where[1]}{self.request.raw_path}"
        fresh = shared.now() < step.machine.shaky_until and method not in ("GET", "HEAD")
        fresh = fresh or ID not in headers  # by what else could its answer be known
        assert shared.wire is not None
        held = shared.room.reservation(FREE)
        outlet = Outlet(self.sink, call.final, lambda: call.passes_on(step), held)
        ending = await shared.wire.send(method, url, headers, self.body, step.allow_s, fresh, outlet)
        if isinstance(self.body, StreamedBody) and self.body.waits and ending.verdict is Verdict.MAY_HAVE_RUN:
            return ended(End.CLIENT)
        return ending

    async def reply(self, reply: Reply) -> StreamResponse:
        """The answer that goes to the client."""
        sink = self.sink
        if sink.opened:
            return await sink.end(reply.ending is not None and reply.ending.streamed)
        sink.shut()
        if isinstance(self.body, StreamedBody) and self.body.too_long:
            return last_answer(413)
        if reply.ending is None:
            if reply.status in PROMISES:
                self.shared.answers.promised(self.call.last)
            return own_answer(reply.status, reply.back_s)
        headers = CIMultiDict((key, value) for key, value in reply.ending.headers if key != NOT_RUN)
        response = Response(status=reply.status, body=reply.ending.body, headers=headers)
        if reply.ending.held is not None:
            response[HELD] = reply.ending.held
        return response
