"""A front on sockets: takes clients' requests, puts them through to machines, and says whether it is
ready.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator
from math import inf
from random import Random
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server
from multidict import CIMultiDict

from pinward.annunciator import ring
from pinward.common.connection import Limits, Phase
from pinward.common.listener import Listener
from pinward.plan.boot import Boot, Watched
from pinward.switchboard.call import Call, Reply, Send, Wait
from pinward.switchboard.lines import Lines
from pinward.switchboard.pipelining import READ_AT, PipeliningServer, ahead
from pinward.switchboard.stream import Outlet, Sink
from pinward.switchboard.kept import ID
from pinward.switchboard.verdict import BROKEN, End, ended
from pinward.switchboard.wire import DEADLINE, NOT_RUN, WANT, Wire, passed_on
from pinward.tally.tries import Tries
from pinward.tasks import Tasks
from pinward.trial.front import Trial
from pinward.trial.order import Stage
from pinward.trunk.link import Dialler
from pinward.trunk.session import Known, Session

STEP_S = 0.1  # s between looks at what time changes
REREAD_S = 2.0  # s between looks at the settings file, which may change without a signal
HELD_MOST = 256 * 1024  # bytes of a request's body held whole, so that it can be sent again
DEADLINE_S = 30.0  # s a client waits that does not say how long
UNKNOWN_S = 0.3  # s after which a client is told to come back to a front that knows no configuration yet
BLIND_S = 4.0  # s until a front that finds no control front with a primary serves by what it knows
HEARD_S = 2.2  # s after which the platform, which asks each second, has surely heard that a front leaves
LAST_S = 2.4  # s before the grace ends: no client is taken any more
GIVE_UP_S = 0.5  # s before the grace ends: what is not answered yet gets an answer of our own
EXIT_S = 0.2  # s before the grace ends: the process itself takes some time to end
QUIET_S = 0.3  # s without a new connection after which no client is taken to be connecting
LEAVE_STEP_S = 0.02  # s between looks at the clients' connections while the process leaves
HEAD_MOST = 16384  # bytes of a request's first line and of each of its headers
IDLE_S = 15.0  # s that a client's connection may be idle, where the configuration tells nothing
LINGER_S = 1.0  # s that the rest of a refused body is read, so that its client sees the answer
LISTEN = 1024  # connections that wait to be taken
SERVICES_SPARE = 64  # services of former configurations whose budget is remembered


class Switchboard:
    def __init__(self, boot: Boot, life: str = "") -> None:
        self.boot, self.life = boot, life or os.urandom(6).hex()
        self.chance = Random(self.life)
        self.known = Known(boot, self.life)
        self.lines = Lines(boot.zone, self.life)
        self.tries: dict[str, Tries] = {}
        self.trials: dict[str, Trial] = {}
        self.session = Session(boot, self.known, self.life, self.reports, self.changed)
        self.wire: Wire | None = None
        self.ready = self.leaving = False
        self.known_once = asyncio.Event()
        self.open = 0
        self.sends = Tasks(lambda _, why: ring(110, why=repr(why)))  # they may outlast their requests
        self.began = self.reread_at = 0.0
        self.watched = Watched()
        self.server: PipeliningServer | None = None
        self.calls: set[Call] = set()  # requests that are not answered yet

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    # What is known.

    def changed(self) -> None:
        now, plan = self.now(), self.known.plan
        limits = {name: service.connections for name, service in plan.services.items()} if plan else {}
        if plan is not None and len(self.tries) > len(plan.services) + SERVICES_SPARE:
            self.tries = {name: tries for name, tries in self.tries.items() if name in plan.services}
        self.lines.fronts = self.known.fronts
        entries = [line.entry for line in self.known.book.lines.values()]
        self.lines.learn(now, entries, self.known.orders, limits)
        for service, order in self.known.orders.items():
            held = self.trials.get(service)
            if order.stage is not Stage.SERVING:
                self.trials.pop(service, None)
            elif held is None or held.order.number != order.number:
                self.trials[service] = Trial(order, self.boot.bounds, now)
        self.look(now)

    def look(self, now: float) -> None:
        sure = self.known.fresh or now - self.began > BLIND_S
        ready = self.known.plan is not None and bool(self.known.book.lines) and (self.ready or sure)
        ready = ready and not self.leaving
        if ready != self.ready:
            self.ready = ready
            self.known_once.set()
            ring(303, ready=ready)

    def reports(self) -> list[Any]:
        return [trial.report(self.now(), self.life) for trial in self.trials.values()]

    def reread(self, anyway: bool = False) -> None:
        """Takes in a settings file that changed."""
        boot = self.watched.taken(anyway)
        if boot is not None:
            self.boot = self.session.boot = boot
            self.session.learn_cores([host for host, _ in boot.peers])

    async def step(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now = self.now()
            if now >= self.reread_at:
                self.reread_at = now + REREAD_S
                self.reread()
            self.look(now)
            if self.server is not None:
                self.server.end_overdue(now)
            for trial in self.trials.values():
                vote = trial.vote
                trial.step(now)
                if trial.vote != vote:
                    ring(320, service=trial.order.service, vote=trial.vote or "none", why=trial.why)

    def limits(self) -> Limits:
        """What the configuration in force allows clients' connections."""
        plan = self.known.plan
        return Limits(plan.idle_s, plan.head_s) if plan is not None else Limits(IDLE_S, IDLE_S)

    # Requests.

    def able(self, message: Any) -> bool:
        """True where a request may be begun before its turn: its route lets it run again."""
        plan = self.known.plan
        if plan is None:
            return False
        route = plan.route(message.headers.get("Host", ""), message.path.partition("?")[0])
        return route is not None and route.repeatable

    async def on_ready(self, request: BaseRequest) -> Response:
        return Response(status=200 if self.ready else 503)

    def own(self, status: int, back_s: float | None = None) -> Response:
        response = Response(status=status)
        if back_s is not None:
            response.headers["Retry-After"] = f"{back_s:.2f}"
        return response

    def last(self, status: int) -> Response:
        """An answer after which nothing more is read."""
        response = self.own(status)
        response.force_close()
        return response

    async def on_request(self, request: BaseRequest) -> StreamResponse:
        self.open += 1
        try:
            return await self.serve(request)
        except (ConnectionResetError, asyncio.CancelledError):
            raise
        except Exception as why:  # a fault of the program ends this request alone
            ring(110, why=repr(why))
            return self.own(500)
        finally:
            self.open -= 1

    async def serve(self, request: BaseRequest) -> StreamResponse:
        plan, headers = self.known.plan, request.headers
        read_at = request.get(READ_AT)  # the time a request waits behind another counts too
        now = self.now() if read_at is None else read_at
        if plan is None:
            return self.own(503, UNKNOWN_S)
        raw = request.raw_path
        if not raw.startswith("/") or "#" in raw:
            return self.own(400)
        if "Transfer-Encoding" in headers and "Content-Length" in headers:
            return self.last(400)
        route = plan.route(headers.get("Host", ""), raw.partition("?")[0])
        if route is None:
            return self.own(404)
        allow = headers.get(DEADLINE, "")
        allow_s = int(allow) / 1000 if allow.isdecimal() else DEADLINE_S
        if headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body: bytes | AsyncIterator[bytes] = b""
        call = Call(route, route.service(self.chance), now, allow_s)
        if request.body_exists:
            size = request.content_length or 0
            if size > plan.body_bytes:
                return self.last(413)
            try:
                async with asyncio.timeout(call.until - now):
                    body, call.streams = await self.body(request)
            except TimeoutError:
                return self.last(408)  # nothing was sent on; a body that never ends held its place for ever
        return await self.put_through(request, call, body)

    async def body(self, request: BaseRequest) -> tuple[bytes | AsyncIterator[bytes], bool]:
        """The body whole, or what has come of it and the rest as it comes."""
        parts, size = [], 0
        async for part in request.content.iter_any():
            parts.append(part)
            size += len(part)
            if size > HELD_MOST:
                break
        first = b"".join(parts)
        if size <= HELD_MOST:
            return first, False

        async def rest() -> AsyncIterator[bytes]:
            yield first
            async for part in request.content.iter_any():
                yield part

        return rest(), True

    async def put_through(self, request: BaseRequest, call: Call, body: Any) -> StreamResponse:
        name = call.service
        tries = self.tries.get(name)
        if tries is None:
            tries = self.tries[name] = Tries(self.boot.bounds)
        tries.request(self.now())
        headers = passed_on(request.headers)
        if call.streams and request.content_length is not None:
            headers["Content-Length"] = str(request.content_length)
        headers.popall("Expect", None)
        sink = Sink(request, not ahead(request))
        self.calls.add(call)
        try:
            return await self.until_answered(request, call, body, headers, tries, sink)
        finally:
            self.calls.discard(call)

    async def until_answered(
        self, request: BaseRequest, call: Call, body: Any, headers: CIMultiDict[str], tries: Tries, sink: Sink
    ) -> StreamResponse:
        """Sends and waits as the call says, until it has its answer."""
        name = call.service
        sends: set[asyncio.Task[None]] = set()
        while True:
            if call.tried and request.transport is None:
                sink.shut()
                return self.own(BROKEN)  # its client is gone: no further machine works for nobody
            now, trial = self.now(), self.trials.get(name)
            step = call.next(now, self.lines, tries, trial)
            if isinstance(step, Reply):
                return await self.answer(sink, step)
            if isinstance(step, Wait):
                most_s = step.most_s if step.most_s != inf else None
                await asyncio.wait(sends, timeout=most_s, return_when=asyncio.FIRST_COMPLETED)
                sends = {task for task in sends if not task.done()}
                continue
            work = self.send(request, headers.copy(), step, body, call, trial, sink)
            sends.add(self.sends.spawn(work))

    async def send(
        self, request: BaseRequest, headers: Any, step: Send, body: Any, call: Call, trial: Trial | None,
        sink: Sink,
    ) -> None:  # fmt: skip
        """One send, from its beginning to what it tells of its machine."""
        entry = step.machine.entry
        headers[DEADLINE] = str(max(1, int(step.allow_s * 1000)))
        headers[WANT] = entry.iid
        url = f"http://{entry.where[0]}:{entry.where[1]}{request.raw_path}"
        fresh = self.now() < step.machine.shaky_until and request.method not in ("GET", "HEAD")
        fresh = fresh or ID not in headers  # by what else could its answer be known
        assert self.wire is not None
        ending, outlet = ended(End.ABANDONED), Outlet(sink, call.final, lambda: call.passes_on(step))
        try:
            ending = await self.wire.send(request.method, url, headers, body, step.allow_s, fresh, outlet)
        finally:
            call.ended(self.now(), self.lines, step, ending, trial)
        if ending.what in (End.ANOTHERS, End.SPOILT, End.CUT):
            ring(310, iid=entry.iid, what=ending.what)

    async def answer(self, sink: Sink, reply: Reply) -> StreamResponse:
        if sink.opened:
            return await sink.end(reply.ending is not None and reply.ending.streamed)
        sink.shut()
        if reply.ending is None:
            return self.own(reply.status, reply.back_s)
        headers = CIMultiDict((key, value) for key, value in reply.ending.headers if key != NOT_RUN)
        return Response(status=reply.status, body=reply.ending.body, headers=headers)

    # Life.

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop`, then ends within the grace: what was read is finished first."""
        dialler = Dialler()
        tasks = self.begin(Wire(), dialler)
        try:
            await self.listen(stop)
        finally:
            for task in tasks:
                task.cancel()
            if self.wire is not None:
                await self.wire.close()
            await dialler.close()

    def begin(self, wire: Wire, dialler: Dialler) -> list[asyncio.Task[None]]:
        """At work from here on: the session is sought, time is looked at."""
        self.wire, self.began = wire, self.now()
        return [asyncio.ensure_future(self.session.run(dialler)), asyncio.ensure_future(self.step())]

    async def listen(self, stop: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        server = self.server = PipeliningServer(
            self.on_request,
            self.limits,
            self.able,
            max_line_size=HEAD_MOST,
            max_field_size=HEAD_MOST,
            lingering_time=LINGER_S,
            auto_decompress=False,
        )
        host, port = self.boot.bind["Up"]
        up = await loop.create_server(Server(self.on_ready, access_log=None), host, port)
        host, port = self.boot.bind["Edge"]
        listener = Listener(server, (host, port), LISTEN)
        ring(100, edge=f"{host}:{port}")
        # Clients are taken once it knows where to put them: a refused connection costs them less.
        waits = [asyncio.ensure_future(event.wait()) for event in (stop, self.known_once)]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            await listener.open()
            try:
                await stop.wait()
                await self.leave(server, listener)
            finally:
                await listener.close()
        finally:
            for wait in waits:
                wait.cancel()
            up.close()

    async def leave(self, server: PipeliningServer, listener: Listener) -> None:
        """Tells the platform first; takes new clients until it has surely heard, and nobody may be about to
        ask on a connection that rests; then finishes the rest.
        """
        ring(101, open=self.open)
        self.leaving = server.leaving = True
        began = self.now()
        self.look(began)
        end = began + self.boot.bounds.grace_s
        last_at = end - LAST_S
        heard_at = min(began + HEARD_S, last_at)
        while self.now() < last_at and (self.now() < heard_at or self.may_ask(server)):
            server.end_overdue(self.now())
            await asyncio.sleep(LEAVE_STEP_S)
        await listener.close()
        if await server.drain(end - GIVE_UP_S):
            self.give_up()
            await server.drain(end - EXIT_S)

    @staticmethod
    def may_ask(server: PipeliningServer) -> bool:
        """True while a client may send a request on a connection that has none, or may be connecting."""
        # The platform turns to fronts that leave where most of a zone's do. What the kernel has not connected
        # as a listener closes is reset, though its client may have sent its request by then.
        connecting = asyncio.get_running_loop().time() < server.connected_at + QUIET_S
        return connecting or any(life.phase in (Phase.ACCEPTED, Phase.RESTING) for life in server.lives())

    def give_up(self) -> None:
        """Ends the time of all requests: they are answered at once, by what is known of their sends."""
        for call in self.calls:
            call.until = min(call.until, self.now())
        self.sends.cancel()
