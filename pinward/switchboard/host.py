"""The process of a proxy: settings, what it knows, its listener, whether it is ready, and its end.

Requests are forwarded by `forwarding`.
"""

from __future__ import annotations

import asyncio
import os
from random import Random
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from pinward.annunciator import ring
from pinward.common import metrics, metrics_server
from pinward.common.capacity import Capacity
from pinward.common.client_room import ClientRoom
from pinward.common.connection import Limits, Phase
from pinward.common.listener import Listener
from pinward.common.small_listener import SmallListener
from pinward.plan.boot import Boot, Watched
from pinward.switchboard.forwarding import Forwarder
from pinward.switchboard.leaving import LeaveSchedule
from pinward.switchboard.lines import Lines
from pinward.switchboard.pipelining import PipeliningServer
from pinward.switchboard.wire import Wire
from pinward.trial.front import Trial
from pinward.trial.order import Stage
from pinward.trunk.link import Dialler
from pinward.trunk.session import Known, Session

STEP_S = 0.1  # s between looks at what time changes
REREAD_S = 2.0  # s between looks at the settings file, which may change without a signal
BLIND_S = 4.0  # s until a front that finds no control front with a primary serves by what it knows
QUIET_S = 0.3  # s without a new connection after which no client is taken to be connecting
LEAVE_STEP_S = 0.02  # s between looks at the clients' connections while the process leaves
IDLE_S = 15.0  # s that a client's connection may be idle, where the configuration tells nothing
LISTEN = 1024  # connections that wait to be taken


class Switchboard:
    def __init__(self, boot: Boot, life: str = "") -> None:
        self.boot, self.life = boot, life or os.urandom(6).hex()
        self.chance = Random(self.life)
        self.known = Known(boot, self.life)
        self.lines = Lines(boot.zone, self.life)
        self.trials: dict[str, Trial] = {}
        self.session = Session(boot, self.known, self.life, self.reports, self.changed)
        self.forwarder = Forwarder(boot, self.known, self.lines, self.trials, self.chance)
        self.room = ClientRoom(Capacity(boot.memory_mb, boot.descriptors), self.forwarder.metrics)
        self.forwarder.room = self.room
        self.on_request = self.forwarder.on_request
        self.ready = self.leaving = False
        self.known_once = asyncio.Event()
        self.began = self.reread_at = 0.0
        self.watched = Watched()
        self.server: PipeliningServer | None = None

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    # What is known.

    def changed(self) -> None:
        now, plan = self.now(), self.known.plan
        limits = {name: service.connections for name, service in plan.services.items()} if plan else {}
        self.forwarder.forget_former_services()
        self.lines.fronts = self.known.fronts
        entries = [line.entry for line in self.known.book.lines.values() if line.entry.service]
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
            self.boot = self.session.boot = self.forwarder.boot = boot
            self.session.learn_cores([host for host, _ in boot.peers])

    async def step(self) -> None:
        while True:
            due_at = self.now() + STEP_S
            await asyncio.sleep(STEP_S)
            now = self.now()
            self.forwarder.departures.waited(now - due_at)
            if now >= self.reread_at:
                self.reread_at = now + REREAD_S
                self.reread()
            self.look(now)
            self.forwarder.tell_figures(now)
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
        if plan is None:
            return Limits(IDLE_S, IDLE_S)
        return Limits(plan.idle_s, plan.head_s, plan.head_bytes)

    async def on_ready(self, request: BaseRequest) -> Response:
        """Whether clients should come, asked by the platform; under `/metrics` the process's figures."""
        if request.path == metrics.PATH:
            return Response(text=self.forwarder.metrics.render(), content_type=metrics.CONTENT_TYPE)
        return Response(status=200 if self.ready else 503)

    # Life.

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop`, then ends within the grace: what was read is finished first."""
        dialler = Dialler()
        wire = Wire(self.forwarder.answers, self.room.capacity.sends)
        tasks = self.begin(wire, dialler)
        try:
            await self.listen(stop)
        finally:
            for task in tasks:
                task.cancel()
            await self.forwarder.close()
            await dialler.close()

    def begin(self, wire: Wire, dialler: Dialler) -> list[asyncio.Task[None]]:
        """At work from here on: the session is sought, time is looked at."""
        self.forwarder.wire, self.began = wire, self.now()
        return [asyncio.ensure_future(self.session.run(dialler)), asyncio.ensure_future(self.step())]

    async def listen(self, stop: asyncio.Event) -> None:
        server = self.server = PipeliningServer(
            self.on_request,
            self.limits,
            self.forwarder.may_begin_ahead,
            room=self.room,
            auto_decompress=False,
        )
        up = SmallListener(self.on_ready, self.boot.bind["Up"], self.room)
        await up.open()
        figures = await metrics_server.listen(self.forwarder.metrics, self.boot.ip, self.room)
        host, port = self.boot.bind["Edge"]
        listener = Listener(server, (host, port), LISTEN, self.room.capacity.accepts)
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
            if figures is not None:
                figures.close()

    async def leave(self, server: PipeliningServer, listener: Listener) -> None:
        """Tells the platform first; takes new clients until it has surely heard, and nobody may be about to
        ask on a connection that rests; then finishes the rest.
        """
        ring(101, open=self.forwarder.open)
        schedule = LeaveSchedule(self.now(), self.boot.bounds.grace_s)
        self.leaving = True
        self.look(schedule.signalled_at)
        self.forwarder.leave(schedule)
        server.leave(schedule.sends_until)
        while (now := self.now()) < schedule.accepts_until:
            if now >= schedule.heard_at and not self.may_ask(server):
                break
            server.end_overdue(now)
            await asyncio.sleep(LEAVE_STEP_S)
        await listener.close()
        if await server.drain(schedule.gives_up_at):
            self.forwarder.give_up()
            await server.drain(schedule.exits_at)
        await self.forwarder.finish_sends(schedule.exits_at)

    @staticmethod
    def may_ask(server: PipeliningServer) -> bool:
        """True while a client may send a request on a connection that has none, or may be connecting."""
        # The platform turns to fronts that leave where most of a zone's do. What the kernel has not connected
        # as a listener closes is reset, though its client may have sent its request by then.
        connecting = asyncio.get_running_loop().time() < server.connected_at + QUIET_S
        return connecting or any(life.phase in (Phase.ACCEPTED, Phase.RESTING) for life in server.lives())
