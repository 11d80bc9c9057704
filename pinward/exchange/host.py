"""A control front on sockets and disk: carries out what its state machines say.

Calls of machines and operators come in on `Ctl`, words of control fronts and of fronts on the inner port.
"""

from __future__ import annotations

import asyncio
from math import inf
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from aiohttp.web_server import Server
from aiohttp.web_ws import WebSocketResponse

from pinward.annunciator import ring
from pinward.common.capacity import Capacity
from pinward.common.client_room import ClientRoom
from pinward.common.connection import Limits
from pinward.common.listener import Listener
from pinward.common.server import ClientServer
from pinward.directory.book import GONE_S, News, vector_of
from pinward.directory.entry import Entry
from pinward.exchange.answers import Answers
from pinward.exchange.desk import Desk
from pinward.exchange.keeper import Kept, Role
from pinward.exchange.machine_records import MachineRecords
from pinward.exchange.order_ages import HEARD_S, OrderAges
from pinward.exchange.parts import PLAN, ROLL, TICK_S, Parts
from pinward.exchange.rollouts import Rollouts
from pinward.exchange.storage import Storage
from pinward.exchange.vault import Vault
from pinward.exchange.view import localities_of
from pinward.plan.boot import Boot, Watched
from pinward.tasks import Tasks
from pinward.trial.order import Order, Stage
from pinward.trunk.link import DESK, LINK, Dialler, Link, packed, taken, word_of

DIGEST_S = 0.5  # s between two words on who was heard
WHOLE_S = 1.2  # s with a primary until the book is whole again: two digests, and what they make it ask for
REREAD_S = 2.0  # s between looks at the settings file, which may change without a signal
SPREAD_S = 0.02  # s that changes of machines wait for others of the same moment
WANT_S = 0.2  # s until the same control front is asked again for what is lacking: its answer is on its way
STOP_S = 1.0  # s for calls that are being answered, and on their way, as the process ends
ANSWER_S = 0.15  # s before its end in which the process only writes answers
CALLERS = Limits(idle_s=15.0, head_s=3.0)  # what machines and operators are allowed on their connections
OVERDUE_S = 0.5  # s between looks at callers' connections
HANDED_S = 1.5  # s of `Grace` left for the end itself, once seat and copy were handed over or could not be


class Exchange(Parts):
    def __init__(self, boot: Boot, vault: Vault, kept: Kept, now: float, life: str = "") -> None:
        super().__init__(boot, kept, now, life)
        self.began = now
        self.tasks = Tasks(self.fault)
        self.use(Storage(vault))
        self.ages = OrderAges(boot.bounds.ack_s)
        self.rollouts = Rollouts(self, lambda: len(self.desk.fronts), self.ages)
        self.answers = Answers(self, self.rollouts.record_first, self.ages)
        self.answers.room = ClientRoom(Capacity(boot.memory_mb, boot.descriptors))
        self.desk = Desk(self, self.rollouts.report)
        self.dialler: Dialler | None = None
        self.sent: dict[str, tuple[str, int]] = {}  # own life and changes told to each control front
        self.wanted: dict[str, float] = {}  # when each control front was last asked for what is lacking
        self.told_of: dict[str, float] = {}  # when a source, or one that heard it, last spoke
        self.dials: dict[str, asyncio.Task[Any]] = {}  # what keeps each link up
        self.to_save: tuple[int, bytes] | None = None
        self.saving = self.spreading = False
        self.told_at = now
        self.told_orders: dict[str, tuple[int, str]] = {}  # by service: number and phase in the last event
        self.was_in_touch = self.was_whole = False
        self.watched, self.reread_at = Watched(), now

    def use(self, storage: Storage) -> None:
        """Keeps state and machines there from here on."""
        self.storage = storage
        self.records = MachineRecords(
            self.book, self.departures, storage, self.tasks, self.departures_held, self.began
        )

    def fault(self, task: asyncio.Task[Any], why: BaseException) -> None:
        ring(110, call=task.get_coro(), why=repr(why))

    # The keeper's orders.

    def carry(self) -> None:
        out, self.keeper.out = self.keeper.out, []
        for order in out:
            match order:
                case ("send", peer, word):
                    self.send(peer, word)
                case ("save", ticket, kept):
                    self.to_save = (ticket, packed(kept.plain()).encode())
                case ("done", number, held):
                    self.answers.written(number, held)
                case ("took", key, value):
                    self.took(key, value)
                case ("event", number, facts):
                    ring(number, **facts)
        if self.to_save is not None and not self.saving:
            self.saving = True
            self.tasks.spawn(self.save())

    async def save(self) -> None:
        """Has the newest control state written, until the disk holds all that was to be saved."""
        try:
            while (due := self.to_save) is not None:
                ticket = await self.storage.write_newest(self.storage.state, lambda: self.to_save or due)
                if self.to_save is not None and self.to_save[0] == ticket:
                    self.to_save = None
                self.keeper.saved(self.now(), ticket)
                self.carry()
        finally:
            self.saving = False

    def took(self, key: str, value: Any) -> None:
        """What a view has acknowledged."""
        if key == PLAN:
            ring(210, version=f"{value['version']:08x}", bytes=len(value["body"]))
        elif key.startswith(ROLL):
            order = Order.of(value)
            self.tell_order(order)
            self.answers.version_known(order.service)
            self.ages.learn(self.now(), order, HEARD_S if self.was_whole else inf)
            if order.stage is Stage.SERVING:
                self.tally.learn(self.now(), order)
            else:
                self.tally.forget(order.service)
        self.turn()

    def tell_order(self, order: Order) -> None:
        """An event where an order is another than the one last told, or in another phase."""
        told = (order.number, order.stage.value)
        if self.told_orders.get(order.service) != told:
            self.told_orders[order.service] = told
            facts = {"service": order.service, "target": order.target, "number": order.number}
            ring(220 if order.given else 223, **facts, stage=order.stage.value)

    def send(self, peer: str, word: dict[str, Any]) -> None:
        self.meet(peer)
        if peer in self.links:
            self.links[peer].send(word)

    # Links with other control fronts.

    def meet(self, peer: str) -> None:
        if peer == self.own or peer in self.links or self.dialler is None:
            return

        def up() -> None:
            # What it lacks it asks for: after a moment's cut that is little.
            self.disk_vectors.pop(peer, None)
            self.sent[peer] = self.book.seen[self.own]
            self.keeper.met(peer)
            self.send(peer, {"t": "digest", "beats": [], "fronts": [], "near": [], **self.held_here()})
            self.carry()

        def down() -> None:
            self.disk_vectors.pop(peer, None)

        hello = {"t": "hello", "from": self.own, "life": self.life, "locality": self.boot.locality}
        self.links[peer] = Link(self.dialler, (peer, self.boot.inner), hello, up, down)
        self.dials[peer] = self.tasks.spawn(self.links[peer].run())

    def drop(self, peer: str) -> None:
        """Ends the link to a control front that is gone for good."""
        self.dials.pop(peer).cancel()
        for some in (self.links, self.sent, self.disk_vectors, self.wanted):
            some.pop(peer, None)  # type: ignore[attr-defined]

    def tell_lines(self, peer: str, news: News) -> None:
        self.links[peer].send({"t": "lines", **news.plain()})
        self.sent[peer] = self.book.seen[self.own]

    def spread(self) -> None:
        """Tells the other control fronts what is new here, many changes of one moment together."""
        self.keep_departures()
        if not self.spreading:
            self.spreading = True
            asyncio.get_running_loop().call_later(SPREAD_S, self.spread_now)

    def untold(self, peer: str) -> bool:
        """True where this control front made changes that a peer was not told."""
        return self.book.seen[self.own] != self.sent.get(peer, (self.book.life, 0))

    def spread_now(self) -> None:
        self.spreading = False
        for peer, link in self.links.items():
            if link.stands and self.untold(peer):
                have = {self.own: self.sent.get(peer, ("", 0))}
                self.tell_lines(peer, self.book.changes(self.now(), have, (self.own,)))
        self.turn()

    def want(self, peer: str) -> None:
        """Asks for what is lacking here, from where this book stands."""
        if self.now() >= self.wanted.get(peer, 0.0) + WANT_S:
            self.wanted[peer] = self.now()
            self.send(peer, {"t": "want", **self.held_here()})

    def held_here(self) -> dict[str, Any]:
        """What this control front says that it holds: of all machines, and of departures on its disk."""
        return {"vector": self.book.seen, "on_disk": self.departures.vector}

    def holds(self, peer: str, word: dict[str, Any]) -> None:
        """A control front says what it holds; one of a build that keeps no departures tells no disk's."""
        vector = word["vector"]
        self.disk_vectors[peer] = word.get("on_disk", vector)
        self.turn_held()
        self.book.meet(vector_of(vector))
        if any(self.untold(peer) for peer in self.links):
            self.spread()

    async def on_inner(self, request: BaseRequest) -> Any:
        handler = {LINK: self.on_link, DESK: self.desk.on_desk}.get(request.path)
        if handler is None:
            return Response(status=404)
        try:
            return await handler(request)
        except ConnectionError:
            # Who dialled went elsewhere. Harm: a traceback each, for thousands a second at a start of all.
            return Response(status=503)

    async def on_link(self, request: BaseRequest) -> WebSocketResponse:
        ws = await taken(request)
        await self.attend(ws)
        return ws

    async def attend(self, ws: Any) -> None:
        """Another control front's words, until its connection ends."""
        peer = ""
        while (word := word_of(await ws.receive())) is not None:
            if word["t"] == "hello":
                peer = word["from"]
                for server, locality in localities_of({peer: word.get("locality")}).items():
                    self.keeper.locate(self.now(), server, locality)
                self.meet(peer)
                self.links[peer].kick()
                self.keeper.met(peer)
            elif peer:
                self.hear(peer, word)
            self.carry()

    def hear(self, peer: str, word: dict[str, Any]) -> None:
        now = self.now()
        self.told_of[peer] = now
        match word["t"]:
            case "lines":
                changed = self.book.merge(now, News.of(word))
                if changed is None:
                    self.want(peer)
                    return
                if changed:
                    self.turn()
                if any(self.untold(peer) for peer in self.links):
                    self.spread()
                self.keep_departures()
                self.send(peer, {"t": "have", **self.held_here()})
            case "have":
                self.holds(peer, word)
            case "digest":
                self.book.heard(now, word["beats"])
                self.desk.told(now, word["fronts"])
                self.told_of.update(dict.fromkeys(word["near"], now))
                self.holds(peer, word)
                known = {*self.told_of, *self.keeper.view.voters}
                if any(s in known and self.book.lacks(s, *seen) for s, seen in word["vector"].items()):
                    self.want(peer)
            case "want":
                self.holds(peer, word)
                news = self.book.changes(now, vector_of(word["vector"]))
                if peer in self.links and not news.empty:
                    self.tell_lines(peer, news)
            case "call":
                self.tasks.spawn(self.answers.answer_call(peer, word))
            case "reply":
                self.answers.replied(peer, word)
            case "beat":
                self.keeper.hear(now, peer, word)
                if self.keeper.primary == peer and word["n"] >= self.keeper.view.epoch:
                    self.answers.beat_heard(now, peer, word["n"], word["at"])
            case "version":
                self.rollouts.record_first(Entry.of(word["entry"]))
            case "ages":
                self.ages.learn_from(now, word["asked_at"], word["ages"])
            case "ages wanted":
                self.send(peer, {"t": "ages", "asked_at": word["at"], "ages": self.ages.told(now)})
            case "report":
                self.rollouts.report(word["front"], word["reports"])
            case _:
                self.keeper.hear(now, peer, word)

    # Time.

    async def beat(self) -> None:
        while True:
            try:
                self.look(self.now())
            except Exception as why:  # one fault must not end all beats
                ring(110, call="beat", why=repr(why))
            await asyncio.sleep(TICK_S)

    def reread(self, anyway: bool = False) -> None:
        """Takes in a settings file that changed."""
        boot = self.watched.taken(anyway)
        if boot is not None:
            self.boot = boot
            self.keeper.bear(boot.tolerance)
            self.meet_all()

    def look(self, now: float) -> None:
        if now >= self.reread_at:
            self.reread_at = now + REREAD_S
            self.reread()
        self.keeper.tick(now)
        for peer in [peer for peer in self.links if peer not in self.keeper.peers]:
            self.drop(peer)
        for peer in sorted(self.keeper.peers - self.links.keys()):
            self.meet(peer)
        self.look_at_primary(now)
        self.keep_departures()
        self.rollouts.decide(now)
        if now >= self.told_at + DIGEST_S:
            since, self.told_at = self.told_at, now
            self.digest(now, since)
        self.records.keep_hint(now)
        self.carry()

    def look_at_primary(self, now: float) -> None:
        """Notes whether a primary is heard, and whether all that it holds is held here; fronts are told."""
        in_touch, whole = self.keeper.in_touch(now), self.keeper.whole(now)
        if in_touch:
            self.in_touch_at = now
        if in_touch and not self.was_in_touch:
            self.whole_at = max(now + WHOLE_S, self.began + self.book.silent_s())
        elif not in_touch:
            self.whole_at = inf
        if (in_touch, whole) != (self.was_in_touch, self.was_whole):
            self.was_in_touch, self.was_whole = in_touch, whole
            self.turn()

    def keep_departures(self) -> None:
        """Has departures that the disk lacks written."""
        self.records.keep_departures(self.now)

    def departures_held(self) -> None:
        """The disk holds more departures: whoever waits for it is told, here and at other control fronts."""
        self.turn_held()
        for peer in self.links:
            self.send(peer, {"t": "have", **self.held_here()})

    def digest(self, now: float, since: float) -> None:
        fronts = self.desk.age(now)
        # One cut off hears nothing of machines that beat elsewhere. Harm: a dead one stays for that long.
        silent = self.book.age(now) if self.keeper.in_touch(now) else []
        for entry in silent:
            ring(230, iid=entry.iid, service=entry.service, standing=entry.standing.name)
        near = self.sources(now)
        word = {
            "t": "digest", "beats": self.book.lately(since), "fronts": fronts, "near": near,
            **self.held_here(),
        }  # fmt: skip
        for peer in self.links:
            self.links[peer].send(word)
        if silent:
            self.spread()

    def sources(self, now: float) -> list[str]:
        """Retires sources not heard of for long; those that speak to this control front and do not vote."""
        voters = {self.own, *self.keeper.view.voters}
        near = [peer for peer, link in self.links.items() if link.stands and peer not in voters]
        here = {*near, *voters}
        self.told_of = {s: at for s, at in self.told_of.items() if now - at < GONE_S}
        for source in [s for s in self.book.seen if s not in here and s not in self.told_of]:
            self.book.retire(source)
        for kept in (self.disk_vectors, self.sent, self.wanted):
            for peer in [peer for peer in kept if peer not in self.links]:
                del kept[peer]  # type: ignore[attr-defined]
        return near

    # Life.

    async def run(self, stop: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        inner = Server(self.on_inner, access_log=None)
        await loop.create_server(inner, self.own, self.boot.inner, backlog=1024)
        server = ClientServer(self.answers.on_call, lambda: CALLERS, self.answers.room)
        host, port = self.boot.bind["Ctl"]
        listener = Listener(server, (host, port), 1024, self.answers.room.capacity.accepts)
        await listener.open()
        self.tasks.spawn(self.end_overdue(server))
        self.begin(Dialler())
        ring(100, ctl=f"{host}:{port}", inner=self.boot.inner, epoch=self.keeper.kept.promised)
        await stop.wait()
        ring(101)
        server.leave(inf)
        await self.hand_over()
        if self.keeper.role is Role.PRIMARY:
            self.keeper.step_down(self.now())
            self.carry()
            await asyncio.sleep(TICK_S)  # in which the links take it to the others
        await listener.close()
        server.leave(self.now())
        ends_at = self.now() + STOP_S
        self.answers.closes_at = ends_at - ANSWER_S
        await server.drain(ends_at)
        self.tasks.cancel()
        if self.dialler is not None:
            await self.dialler.close()

    async def end_overdue(self, server: ClientServer) -> None:
        """Ends callers' connections whose time is over, for ever."""
        while True:
            await asyncio.sleep(OVERDUE_S)
            server.end_overdue(self.now())

    def begin(self, dialler: Dialler) -> None:
        """At work from here on: links are opened, time is looked at."""
        self.dialler = dialler
        self.records.restore(self.now())
        for key, item in self.keeper.kept.items.items():
            if key.startswith(ROLL):  # what the disk holds is that old at least, whoever leads when
                self.ages.learn(self.now(), Order.of(item[2]), inf)
        self.meet_all()
        self.tasks.spawn(self.beat())

    def meet_all(self) -> None:
        """Opens links to all control fronts that the settings or the state name."""
        self.keeper.know([host for host, _ in self.boot.peers])
        for peer in sorted(self.keeper.peers):
            self.meet(peer)

    async def hand_over(self) -> None:
        """Serves on until others have taken what this machine holds, or for a bound within `Grace`."""
        until = self.now() + self.boot.bounds.grace_s - HANDED_S
        self.keeper.leave(self.now())
        self.carry()
        while not self.keeper.released and self.now() < until:
            await asyncio.sleep(TICK_S)
        ring(208, released=self.keeper.released)
