"""A front: its listener, and the life of each txn from what its client asks to its final answer.

To embed it: `Front(branch, log).run()`, with a `Branch` of `pinward.config`; see `pinward/__main__.py`.
"""

from __future__ import annotations

import signal
import socket
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pinward.config import Branch, Entry, FaultyKeyError, Told
from pinward.net import http, log
from pinward.net.discovery import Discovery
from pinward.net.log import Log, hold
from pinward.net.platform import Platform
from pinward.net.pool import Pool
from pinward.net.ring import Link, listen
from pinward.net.scheduler import READ, Scheduler, Task
from pinward.policy.state import ASK_S, IDLE_S, LINGER_S, STALL_S, UNASKED_S
from pinward.rules import Judge
from pinward.terms import Count, Kind, Listing, Node, Release, Reply, Result, State, Submission, Txn, Verb

READY, LIVE = b"/health/ready", b"/health/live"
PASSED_ON = {  # to nodes, unchanged
    name.lower(): name + b": %s\r\n"
    for name in (b"Host", b"Request-Id", b"Idempotency-Key", b"Content-Type")
}
Outcome = tuple[Result, http.Message | None]
GONE = 0  # in place of a status: nobody is there to be answered
ACCEPTS = 32  # new connections in a row, before others have their turn


@dataclass
class Desk:
    """What the front keeps of an open txn: who works on it, and the Judge's words that wait for them."""

    task: Task
    product: str
    words: deque[tuple] = field(default_factory=deque)


class Front:
    def __init__(self, branch: Branch, log: Log, cells: Any = None, duties: Any = None) -> None:
        self.branch, self.log, self.tasks = branch, log, Scheduler()
        self.cells = cells  # a `pinward.cells.door.Door` where customers are confined to cells
        self.duties = duties  # `pinward.owners.watchers.FrontDuties` where it works for the fleet as well
        self.tasks.failed = self.failed
        self.judge = Judge(branch.terms, branch.seed, self.tasks.now())
        self.slack_s = branch.terms.answer_slack_s
        self.patience_s = max(p.expiry_s for p in branch.terms.products)
        self.nodes: dict[str, Node] = {}
        self.pool = Pool(self.tasks, branch.lines_most, branch.ring_bytes, branch.connect_s)
        self.waiting: dict[Link, Task] = {}  # clients yet to ask, or idle after a txn, the longest first
        self.ids: set[bytes] = set()  # of open txns
        self.clients, self.ready, self.leaving, self.shut = 0, False, False, False
        self.accepted_at, self.finished = self.tasks.now(), 0
        self.stands: tuple[int, int, str, float] | None = None  # of the release, as last told

    def run(self, signals: socket.socket | None = None, anew: Callable[[], Branch] | None = None) -> None:
        """Serves until SIGTERM's number comes on `signals`; on SIGHUP's it reads its branch `anew`."""
        branch, terms, spawn = self.branch, self.branch.terms, self.tasks.spawn
        self.listener = listen(branch.listen)
        self.listed(branch.known, old=True)
        if branch.news:
            self.news(branch.news, None)
        self.discovery = Discovery(
            self.tasks, branch.discovery, branch.ring_bytes, terms.ask_within_s / 2, terms.ask_within_s / 4,
            self.listed, self.list_lost, branch.known.rev if branch.known.entries else None,
        )  # fmt: skip
        self.platform = Platform(
            self.tasks, branch.platform, branch.ring_bytes, branch.products, len(terms.stage_caps),
            branch.connect_s, terms.vote_answer_s, self.news, self.counted, self.platform_lost,
        )  # fmt: skip
        self.ticker = spawn(self.tick)
        self.door = spawn(self.accept)
        if self.duties is not None:
            self.duties.join(self)
        if signals is not None:
            spawn(self.heed, signals, anew)
        self.log.say("start", listen=branch.listen, links_most=branch.links_most)
        self.tasks.run()
        self.log.say("stop", txns=self.finished, broken=log.broken)
        self.log.flush(100)

    # The Judge: every call goes through `tell`, which carries out what was ordered.

    def tell(self, call: Callable[..., None], *things: object, **more: object) -> None:
        try:
            call(self.tasks.now(), *things, **more)
        except Exception:
            self.log.say("fault", where="rules", trace=traceback.format_exc())
            hold(False, "the Judge raises nothing")
        self.carry_out()

    def carry_out(self) -> None:
        orders, self.judge.orders = self.judge.orders, []
        for verb, *things in orders:
            if verb in (Verb.SUBMIT, Verb.RECALL, Verb.DECLINE, Verb.VOID):
                txn = things[0] if isinstance(things[0], Txn) else things[0].txn
                txn.tag.words.append((verb, *things))
                self.tasks.wake(txn.tag.task)
            elif verb is Verb.VOTE:
                number, stage, verdict = things
                self.log.say("vote", release=number, stage=stage, verdict=verdict.name.lower())
                self.platform.vote(number, stage, verdict)
            elif verb is Verb.WATCH:
                self.discovery.watch()
            else:
                self.log.say("note", line=things[0])

    def tick(self) -> None:
        while True:
            self.tasks.wait(self.judge.wake_at)
            if self.tasks.now() >= self.judge.wake_at:
                self.tell(self.judge.wake)
                self.pool.sweep(self.judge.rest_s)
                self.log.flush()

    # What discovery and the platform say.

    def listed(self, told: Told, old: bool = False) -> None:
        lines = [self.listing(entry) for entry in told.entries]
        here = {entry.name for entry in told.entries if entry.state is not None}
        gone = set(self.nodes) - here if told.whole else {entry.name for entry in told.entries} - here
        self.ready = self.ready or not old
        if lines or told.whole:
            self.log.say("list", rev=told.rev, whole=told.whole, nodes=len(lines), old=old)
        self.tell(self.judge.fleet, lines, whole=told.whole, old=old)
        for name in gone:  # what it may still be sent is in the Judge's hands; ids are ever new
            self.pool.forget(self.nodes.pop(name))

    def listing(self, entry: Entry) -> Listing:
        zones, node = self.branch.zones, self.nodes.setdefault(entry.name, Node(entry.name))
        if self.cells is not None:
            self.cells.settle(node)
        if entry.where is not None:
            anew = (entry.started, entry.release) != (node.started, node.release)
            self.pool.locate(node, entry.where, anew)
        return Listing(
            node,
            release=node.release if entry.release is None else entry.release,
            zone=zones.index(entry.zone) if entry.zone in zones else 0,
            circle=entry.circle,
            units=entry.units,
            started=entry.started,
            ready=bool(entry.state),
        )

    def known_nodes(self) -> dict[str, tuple[str, int]]:
        """The nodes of the list, with their addresses."""
        places = self.pool.places
        return {name: places[node].where for name, node in self.nodes.items() if node in places}

    def probed(self, name: str, well: bool) -> None:
        """What an owner's probe found of a node, where that has changed."""
        self.log.say("probed", node=name, well=well)
        if (node := self.nodes.get(name)) is not None:
            self.tell(self.judge.probed, node, well)

    def list_lost(self, why: str) -> None:
        self.log.say("list-lost", why=why)
        self.ready = True  # it serves with the list that it had
        self.tell(self.judge.list_failed)

    def news(self, news: Release | None, reply: Reply | None) -> None:
        if reply is not None:
            self.log.say("vote-answer", reply=reply.name.lower())
        if news and (stands := (news.number, news.stage, news.phase.name.lower(), news.cap)) != self.stands:
            self.stands = stands
            self.log.say("release", **dict(zip(("number", "stage", "phase", "cap"), stands, strict=True)))
        self.tell(self.judge.news, news, reply)

    def counted(self, count: Count) -> None:
        self.tell(self.judge.counted, count)

    def platform_lost(self, why: str) -> None:
        self.log.say("platform-lost", why=why)

    # Clients.

    def accept(self) -> None:
        while not self.shut:
            self.tasks.wait(float("inf"), (self.listener.fileno(), READ))
            room = self.branch.links_most - self.clients
            if room <= 0 and not self.make_room():
                self.tasks.wait(self.tasks.now() + UNASKED_S)  # all are at work, or new; or until one leaves
            for _ in range(min(room, ACCEPTS)):
                try:
                    sock, _ = self.listener.accept()
                except BlockingIOError:
                    break
                except OSError as fault:  # gone again, or no descriptor left
                    self.log.say("accept", fault=str(fault))
                    break
                self.accepted_at = self.tasks.now()
                self.clients += 1
                self.tasks.spawn(self.serve, Link(self.tasks, sock, self.branch.ring_bytes))
        self.listener.close()

    def make_room(self) -> bool:
        """Sends away all that are slow to ask, or else who is idle longest; False where all are at work."""
        old = self.tasks.now() - UNASKED_S
        slow = [link for link in self.waiting if not link.known and link.idle_since < old]
        idle = [link for link in self.waiting if link.known]
        return sum(map(self.dismiss, slow)) > 0 or any(map(self.dismiss, idle))

    def dismiss(self, link: Link) -> bool:
        """Ends the connection of a client that waits, unless it has just sent something."""
        if link.pending():
            return False
        link.ended = True
        self.tasks.wake(self.waiting.pop(link))
        return True

    def serve(self, link: Link) -> None:
        """One client's connection, txn after txn."""
        reader, stays = http.Reader(), True
        try:
            while stays and (ask := self.read(link, reader)) is not None:
                stays = self.reply(link, ask)
        except http.CutShortError:
            pass
        except http.MalformedError as fault:
            self.log.say("malformed", why=str(fault), status=fault.status)
            self.farewell(link, http.answer(fault.status, b"", stays=False))
        except OSError:
            pass  # the client broke the connection
        except Exception as fault:
            self.farewell(link, http.answer(502, b"", stays=False))
            self.failed(fault)
        finally:
            link.close()
            self.clients -= 1
            if self.clients + 1 == self.branch.links_most:
                self.tasks.wake(self.door)

    def read(self, link: Link, reader: http.Reader) -> http.Message | None:
        """What the client asks next; None where it ends the connection, or we do."""
        word_sent, idle, self.waiting[link] = False, link.known, self.tasks.current()
        if idle and sum(other.known for other in self.waiting) > self.branch.idle_most:
            any(map(self.dismiss, [other for other in self.waiting if other.known]))  # the longest idle
        until = self.tasks.now() + (IDLE_S if idle else ASK_S)
        try:
            while True:
                ask = reader.step(link.inbox, link.ended)
                if ask is not None or link.ended:
                    return ask
                if idle and (reader.begun or link.inbox.used):
                    idle, until = False, self.tasks.now() + ASK_S
                    self.waiting.pop(link, None)
                if self.tasks.now() >= until:
                    if idle:
                        return None
                    raise http.MalformedError("takes too long to ask", 408)
                if reader.wants_word and not word_sent:
                    word_sent = True
                    link.send(b"HTTP/1.1 100 Continue\r\n\r\n", until)
                self.tasks.wait(until, link.reads)
                link.fill()
        finally:
            self.waiting.pop(link, None)

    def reply(self, link: Link, ask: http.Message) -> bool:
        """Answers what a client asked; True where the connection stays."""
        path = ask.start[1].partition(b"?")[0]
        if path in (READY, LIVE):
            status, body, more = 200 if path == LIVE or (self.ready and not self.leaving) else 503, b"", b""
        else:
            txn, name = self.admit(ask), ask.fields[b"request-id"]
            self.ids.add(name)
            try:
                live = self.live if self.cells is None else self.confined
                status, body, more = live(link, ask, txn)
            finally:
                self.ids.discard(name)
        if status == GONE:
            return False
        stays, link.known = ask.stays and not self.leaving, True
        data = http.answer(status, body, stays, more)
        if stays:
            link.send(data, self.tasks.now() + self.patience_s)
        else:
            self.farewell(link, data)
        return stays

    def farewell(self, link: Link, data: bytes) -> None:
        """A last answer; what the client still sends is read, or the answer might be lost with it."""
        until = self.tasks.now() + self.patience_s
        try:
            link.send(data, until)
            link.sock.shutdown(socket.SHUT_WR)
            until = min(until, self.tasks.now() + LINGER_S)
            while not link.ended and self.tasks.now() < until:
                link.inbox.skip(link.inbox.used)
                self.tasks.wait(until, link.reads)
                link.fill()
        except OSError:
            pass

    # Txns.

    def admit(self, ask: http.Message) -> Txn:
        """The txn that a client asks for, taken now."""
        fields, now = ask.fields, self.tasks.now()
        name, allowed = text(ask, b"request-class"), fields.get(b"request-timeout-ms", b"")
        product, key = self.branch.products.get(name), fields.get(b"idempotency-key")
        if product is None or not fields.get(b"request-id") or not allowed.isdigit() or len(allowed) > 9:
            raise http.MalformedError("its id, product or time cannot be read")
        if fields[b"request-id"] in self.ids:
            raise http.MalformedError("its id is that of an open txn")
        if product.kind is Kind.REFERENCED and not key:
            raise http.MalformedError("a referenced txn without its mark")
        customer = self.branch.customers.get(text(ask, b"tenant"))
        expiry = now + min(int(allowed) / 1000, product.expiry_s)
        return Txn(product, customer, expiry, taken=now, tag=Desk(self.tasks.current(), name))

    def confined(self, link: Link, ask: http.Message, txn: Txn) -> tuple[int, bytes, bytes]:
        """A txn within its customer's cells; one beyond their limits is declined at once."""
        customer, repeat = text(ask, b"tenant"), ask.fields.get(b"client-retry") == b"1"
        key, drawn = text(ask, b"idempotency-key"), self.judge.chance.random()
        cells, cell, away_s = self.cells.admit(txn.taken, customer, txn.product.kind, key, drawn, repeat)
        if not cells:
            most_s = self.branch.terms.max_defer_s if self.branch.terms.may_defer else 0.0
            return 503, b"", b"Retry-After: %.3f\r\n" % min(away_s, most_s) if most_s else b""
        txn.cells = cells
        try:
            return self.live(link, ask, txn)
        finally:
            self.cells.ended(self.tasks.now(), customer, cell)

    def live(self, link: Link, ask: http.Message, txn: Txn) -> tuple[int, bytes, bytes]:
        """The life of a txn: its final answer, or GONE where the client left before it."""
        self.tell(self.judge.take, txn)  # the Judge chooses a node, or lets it wait, or gives it up
        while True:
            verb, *things = self.word(link, txn)
            if verb is Verb.SUBMIT:
                result, answer = self.submit(link, ask, things[0])
                over = result in (Result.SETTLED, Result.UNFIT) or txn.state is State.LEFT
                took = self.tasks.now() - things[0].sent
                self.tell(self.judge.ended, things[0], result, took, over)  # it chooses again, unless over
                if over:
                    final = (GONE, b"", b"") if txn.state is State.LEFT else (400, b"", b"")
                    if answer is not None and txn.state is State.SETTLED:
                        final = (200, answer.body, kept_of(answer))
                    break
            elif verb is Verb.DECLINE:
                final = (503, b"", b"Retry-After: %.3f\r\n" % things[1] if things[1] else b"")
                break
            elif verb is Verb.VOID:
                final = (502, b"", b"")
                break
            else:
                self.tell(self.judge.left, txn)  # the client has gone: nothing is owed
                for sub in (order[1] for order in txn.tag.words if order[0] is Verb.SUBMIT):
                    self.tell(self.judge.ended, sub, Result.NEVER_SENT, 0.0, True)  # ordered just then
                final = (GONE, b"", b"")
                break
        self.finished += 1
        if not __debug__:
            return final
        subs = [f"{s.node.name} {s.result.name.lower()}" for s in txn.submissions if s.result]
        told = {"product": txn.tag.product, "state": txn.state.name.lower(), "subs": subs}
        self.log.say("txn", id=text(ask, b"request-id"), took=round(self.tasks.now() - txn.taken, 4), **told)
        return final

    def word(self, link: Link, txn: Txn) -> tuple:
        """The Judge's next word on a txn; LEFT once its client has gone."""
        words, until = txn.tag.words, txn.expiry + self.slack_s
        while True:
            while words and words[0][0] is Verb.RECALL:  # of a submission that has ended meanwhile
                words.popleft()
            if words:
                return words.popleft()
            if self.tasks.now() >= until:
                hold(False, "the Judge answers every txn in time")
                self.tell(self.judge.left, txn)
                return (Verb.VOID, txn)
            if self.tasks.wait(until, link.hangs_up):
                return (State.LEFT,)

    def submit(self, link: Link, ask: http.Message, sub: Submission) -> Outcome:
        """Carries a submission to its node and back, and goes on if the client leaves: its end is news."""
        until, line, rest_s = sub.sent + sub.allow_s, None, 0.0
        try:
            line = self.pool.take(sub.node, until, self.judge.rest_s)
            if line is None or sub.txn.tag.words:  # no connection is to be had, or it was taken back
                if line is not None:
                    self.pool.give(sub.node, line)
                return Result.NEVER_SENT, None
            rest_s = self.tasks.now() - line.idle_since if line.known else 0.0
            line.send(self.passed_on(ask, until), until)
        except OSError:
            if line is not None:
                self.pool.close(line)
            return Result.UNREACHABLE if self.tasks.now() < until else Result.NEVER_SENT, None
        result, answer = self.hear(link, line, sub, until)
        if line.known:
            self.tell(self.judge.reused, rest_s, result is Result.BROKEN)
        if answer is not None and answer.stays and not line.inbox.used and not line.ended:
            self.pool.give(sub.node, line)
        else:
            self.pool.close(line)
        return result, answer

    def hear(self, link: Link, line: Link, sub: Submission, until: float) -> Outcome:
        """What a node answers to a submission that was written whole."""
        reader, txn, client, whole_by = http.Reader(answers=True), sub.txn, link.hangs_up, until
        while True:
            watched = (line.reads,) if txn.state is State.LEFT else (line.reads, client)
            fired = self.tasks.wait(min(until, whole_by), *watched)
            if client[0] in fired:
                self.tell(self.judge.left, txn)
            try:
                line.fill()
                answer = reader.step(line.inbox, line.ended)
                if answer is None and whole_by == until and (reader.begun or line.inbox.used):
                    whole_by = self.tasks.now() + STALL_S
                if answer is None and until > whole_by <= self.tasks.now():
                    raise http.MalformedError("it does not end")
            except http.CutShortError:
                return Result.BROKEN, None
            except http.MalformedError as fault:
                self.log.say("malformed", node=sub.node.name, why=str(fault))
                return Result.SPOILT, None
            except OSError:
                return Result.BROKEN, None
            if answer is not None:
                return graded(answer), answer
            if line.ended:
                return Result.BROKEN, None
            if txn.tag.words:  # a recall, the only word while a submission is out
                return Result.RECALLED, None
            if self.tasks.now() >= until:
                return Result.SILENT, None

    def passed_on(self, ask: http.Message, until: float) -> bytes:
        fields = [line % ask.fields[name] for name, line in PASSED_ON.items() if name in ask.fields]
        fields.append(b"Request-Timeout-Ms: %d\r\n" % max(1, (until - self.tasks.now()) * 1000))
        return http.request(ask.start[0], ask.start[1], b"".join(fields), ask.body)

    # The end.

    def heed(self, signals: socket.socket, anew: Callable[[], Branch] | None) -> None:
        """Does what signals ask for; each comes as a byte, its number."""
        while not self.leaving:
            self.tasks.wait(float("inf"), (signals.fileno(), READ))
            numbers = signals.recv(4096)
            if signal.SIGHUP in numbers and anew is not None:
                self.reload(anew)
            if signal.SIGTERM in numbers or not numbers:
                self.leave()

    def reload(self, anew: Callable[[], Branch]) -> None:
        """Goes to the addresses of a new configuration, if that is faultless; else only the map is new."""
        if self.cells is not None:
            self.renew_map()
        try:
            branch = anew()
        except Exception as fault:  # whatever is wrong with a file, signals are heeded after it
            self.log.say("reload", faulty=str(fault) if isinstance(fault, FaultyKeyError) else repr(fault))
            return
        if branch.discovery != self.branch.discovery:
            self.discovery.move(branch.discovery)
        if branch.platform != self.branch.platform:
            self.platform.move(branch.platform)
        self.log.say("reload", discovery=branch.discovery, platform=branch.platform)
        self.branch.discovery, self.branch.platform = branch.discovery, branch.platform

    def renew_map(self) -> None:
        """Takes the map of cells anew, if it may follow the one in force, and tells the Judge."""
        try:
            self.log.say("cells", version=self.cells.renew(), moving=self.cells.moving)
        except ValueError as fault:
            self.log.say("cells", faulty=str(fault))
            return
        for node in self.nodes.values():
            self.cells.settle(node)
        self.tell(self.judge.arms)

    def leave(self) -> None:
        """Takes what still comes, finishes what was taken, and ends."""
        self.leaving = True
        if self.duties is not None:
            self.duties.leave()
        began = self.accepted_at = self.tasks.now()
        self.log.say("leaving", clients=self.clients)
        while (now := self.tasks.now()) < min(self.accepted_at + LINGER_S, began + self.patience_s):
            self.tasks.wait(now + 0.02)
        self.shut = True
        self.tasks.wake(self.door)
        for link in list(self.waiting):
            self.dismiss(link)
        while self.clients and self.tasks.now() < began + 2 * self.patience_s:
            self.tasks.wait(self.tasks.now() + 0.02)
        self.tasks.stop()

    def failed(self, fault: Exception) -> None:
        """A task ended by an exception that nothing foresaw."""
        self.log.say("fault", where="net", trace="".join(traceback.format_exception(fault)))
        hold(False, "no task ends by an exception")


def graded(answer: http.Message) -> Result:
    if answer.status == 200:
        return Result.SETTLED
    if answer.status in (503, 504) and answer.fields.get(b"not-started") == b"1":
        return Result.TURNED_AWAY
    if 400 <= answer.status < 500:
        return Result.UNFIT
    return Result.FAULT


def kept_of(answer: http.Message) -> bytes:
    kind = answer.fields.get(b"content-type")
    return b"" if kind is None else b"Content-Type: %s\r\n" % kind


def text(ask: http.Message, name: bytes) -> str:
    return ask.fields.get(name, b"").decode("latin-1")
