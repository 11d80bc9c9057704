"""One control instance: the core, its disk, its peers, and those that apply.

Every call of the core goes through `tell`, which carries out what it asks for: saves first, then words.
"""

from __future__ import annotations

import contextlib
import signal
import socket
from collections import deque
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import Any

from pinward.lead.commands import CONTROL_MOST, Commands, control_socket
from pinward.lead.core import Core
from pinward.lead.desk import ANSWER_S, DESK_MOST, DESK_RING_BYTES, VERDICTS, Desk, serve_all
from pinward.lead.gates import Gates
from pinward.lead.ledger import Act, Decision, Ledger, Placed
from pinward.lead.office import LeadFile
from pinward.lead.peers import Peers
from pinward.lead.store import Acquaintances, Store, StoreError
from pinward.lead.teller import RING_BYTES, Leadership, Teller
from pinward.lead.terms import Entry, Members, Role, Sort
from pinward.lead.tls import Keys
from pinward.lead.words import MalformedWordError, plain_word, word_of
from pinward.net.ring import listen
from pinward.net.scheduler import READ, Scheduler
from pinward.owners.book import Book
from pinward.owners.office import Duties
from pinward.terms import Verdict

PENDING_MOST = 1024  # votes passed on that wait for the leader's word


class Instance:
    def __init__(self, office: LeadFile, store: Store, log: Any) -> None:
        self.office, self.store, self.log = office, store, log
        self.tasks = Scheduler()
        self.tasks.failed = self.failed
        kept = store.kept
        assert kept is not None
        seed = f"{office.seed} {office.name}"
        self.core = Core(office.name, kept, office.pace, seed, self.tasks.now())
        self.known = Acquaintances(store.folder)
        self.lead = Leadership(
            self.tasks, office.name, self.core, self.deposed, self.note, office.speak_from
        )
        self.gates = Gates(office.gates)
        self.standing_since = self.tasks.now()
        self.lead.ledger = Ledger(len(office.stage))
        self.proposed: dict[str, float] = {}  # identities of decisions on their way, until when they count
        self.waiting: dict[str, list[Any]] = {}  # tasks that wait for a decision, by identity
        self.pending: dict[int, list[Any]] = {}  # votes passed on: task, answer
        self.ticket = 0
        self.queue: deque[Callable[[], None]] = deque()
        self.busy = self.leaving = False
        self.exit = 0
        self.tellers: list[Teller] = []
        self.desk = Desk(self)
        self.book = Book()
        self.duties = Duties(self, office.owners) if office.owners is not None else None

    # Running.

    def run(self, signals: socket.socket | None = None) -> int:
        """Runs until SIGTERM's or SIGINT's number comes on `signals`, or the disk fails; the exit status."""
        office, spawn = self.office, self.tasks.spawn
        told = office.keys
        keys = Keys(told.authority, told.certificate, told.key) if told is not None else None
        self.peers = Peers(
            self.tasks, office.installation, office.name, self.store.birth, self.store.founding,
            office.listen, keys, self.heard, self.known.meet, self.note, office.speak_from,
        )  # fmt: skip
        self.meet()
        for applier in office.applier:
            teller = Teller(self.lead, applier.name)
            self.tellers.append(teller)
            spawn(teller.run, applier.address)
        if office.desk is not None:
            serve, note = self.desk.serve_front, self.note
            spawn(serve_all, self.tasks, listen(office.desk), serve, DESK_MOST, DESK_RING_BYTES, note)
        commands, listener = Commands(self), control_socket(self.control_path)
        spawn(serve_all, self.tasks, listener, commands.serve_command, CONTROL_MOST, RING_BYTES, self.note)
        if signals is not None:
            spawn(self.heed, signals)
        self.ticker = spawn(self.tick)
        self.note("start", listen=office.listen, last=self.core.last, cut=self.store.cut)
        self.tasks.run()
        self.note("stop", epoch=self.core.epoch, saves=self.store.saves)
        self.peers.close()
        self.store.close()
        with contextlib.suppress(OSError):
            self.control_path.unlink()
        return self.exit

    @property
    def control_path(self) -> Path:
        return self.store.folder / "control"

    def note(self, event: str, **facts: object) -> None:
        self.log.info(event, epoch=self.core.epoch, **{k: v for k, v in facts.items() if k != "epoch"})

    def failed(self, fault: Exception) -> None:
        if isinstance(fault, StoreError):
            self.disk_failed(fault)
        else:
            self.log.error("fault", exc_info=fault)

    def disk_failed(self, fault: StoreError) -> None:
        self.log.error("disk-failed", why=str(fault))
        self.core.halt(self.tasks.now(), "the disk failed")
        self.exit = 1
        self.tasks.stop()

    # The core.

    def tell(self, call: Callable[..., Any], *things: object) -> Any:
        result = call(self.tasks.now(), *things)
        self.carry_out()
        return result

    def carry_out(self) -> None:
        """Saves, then says, until the core asks for nothing more."""
        core = self.core
        if self.busy:
            return
        self.busy = True
        try:
            while core.sends or core.saves:
                sends, core.sends = core.sends, []
                for peer, word in sends:
                    self.peers.send(peer, ["w", plain_word(word)])
                saves, core.saves = core.saves, []
                for save in saves:
                    self.store.save(save)
                    core.saved(self.tasks.now(), save.ticket)
        except StoreError as fault:
            self.disk_failed(fault)
            return
        finally:
            self.busy = False
        notes, core.notes = core.notes, []
        for event, facts in notes:
            self.note(event, **facts)
        if (jump := core.take_jump()) is not None:
            self.lead.ledger = Ledger.of(len(self.office.stage), jump.state)
            self.book = Book.of((jump.state or {}).get("duties"))
            if self.duties is not None:
                self.duties.begin_anew(self.book)
            self.note("state-taken", place=self.ledger.place)
            self.meet()
            self.stood()
        for entry in core.take_committed():
            self.committed(entry)
        if core.applied - core.base.index >= self.office.fold_after:
            core.fold(core.applied, self.plain())
            self.carry_out()
        self.tasks.wake(self.ticker)

    def plain(self) -> dict[str, Any]:
        """All that the log's entries came to, as plain data."""
        return {**self.ledger.plain(), "duties": self.book.plain()}

    @property
    def ledger(self) -> Ledger:
        return self.lead.ledger

    def stood(self) -> None:
        """Where the release stands may have changed."""
        now = self.tasks.now()
        before = self.gates.standing
        self.gates.stands(now, self.ledger.standing)
        if before != self.ledger.standing:
            self.standing_since = now

    def committed(self, entry: Entry) -> None:
        """An entry that will never go: what it says is so, here and everywhere."""
        if entry.sort is Sort.MEMBERS:
            self.meet()
            self.note("members", **entry.body)
        elif entry.sort is Sort.DECISION:
            decision = Decision.of(entry.body)
            result = self.ledger.apply(entry.epoch, decision)
            placed = isinstance(result, Placed)
            facts = {"id": decision.name, "act": decision.act.value, "release": decision.release}
            self.note("decided" if placed else "withdrawn", **facts, why="" if placed else result)
            self.stood()
            self.proposed.pop(decision.name, None)
            for waiter in self.waiting.pop(decision.name, ()):
                waiter[1] = {"place": result.place} if isinstance(result, Placed) else {"withdrawn": result}
                self.tasks.wake(waiter[0])
            for teller in self.tellers:
                teller.wake()
            self.desk.wake()
        elif entry.sort is Sort.DUTIES:
            effects = self.book.apply(entry.index, entry.body)
            if self.duties is not None:
                self.duties.committed(entry.body, effects)

    def meet(self) -> None:
        """Speak with the members as they are now."""
        where = dict(self.core.members.where)
        self.peers.members(where)
        self.known.forget(set(self.known.births) - set(where))

    def heard(self, peer: str, thing: Any) -> None:
        """A peer says something: a word for the core, or a vote passed on."""
        if not isinstance(thing, list) or len(thing) != 2:
            raise MalformedWordError("neither word nor vote")
        kind, what = thing
        if kind == "w":
            word, members = word_of(what), self.core.members
            self.tell(self.core.hear, peer, word)
            if self.core.members is not members:
                self.meet()
        elif kind == "vote":
            ticket, front, release, stage, verdict = what
            answer = self.vote(str(front)[:200], int(release), int(stage), VERDICTS[verdict])
            self.peers.send(peer, ["voted", [ticket, answer]])
        elif kind == "voted":
            ticket, answer = what
            if waiter := self.pending.get(ticket):
                waiter[1] = answer
                self.tasks.wake(waiter[0])

    def deposed(self, later: int) -> None:
        """One that applies has heard of a later leadership."""
        if later > self.core.epoch:
            self.tell(lambda now: self.core.rise(now, later, "one that applies knows a later leader"))

    def tick(self) -> None:
        while True:
            gate_at = self.tasks.now() + self.office.beat if self.core.role is Role.LEADING else inf
            self.tasks.wait(min(self.core.wake_at, gate_at))
            if self.tasks.now() >= self.core.wake_at:
                self.tell(self.core.tick)
            self.decide_by_votes()
            self.take_in()
            if self.duties is not None:
                self.duties.tick()

    # Deciding.

    def decide_by_votes(self) -> None:
        now, here = self.tasks.now(), self.ledger.standing
        if not self.core.may_act(now):
            return
        act = self.gates.due(now)
        if act is None:
            return
        stage = here.stage + 1 if act is Act.PROMOTE else here.stage
        named = act is not Act.HOLD  # a stage may be held again after it was promoted past a hold
        name = f"r{here.release}-{act.value}" + (f"-{stage}" if named else f"-{stage}-{self.ledger.place}")
        if not (named and name in self.ledger.names):
            self.propose(Decision(name, act, here.release, stage, by="votes"))

    def propose(self, decision: Decision) -> bool:
        """Puts a decision into the log, unless it is on its way; False where there is no room for it."""
        now = self.tasks.now()
        while self.proposed and next(iter(self.proposed.values())) <= now:  # the oldest stands first
            del self.proposed[next(iter(self.proposed))]
        if decision.name in self.proposed:
            return True
        self.proposed[decision.name] = now + ANSWER_S
        taken = self.core.propose(now, Sort.DECISION, decision.plain()) is not None
        self.carry_out()
        return taken

    def take_in(self) -> None:
        """Lets a learner that has caught up vote."""
        name = self.core.ripe()
        if name is not None:
            members = self.core.members
            grown = Members(members.voters | {name}, members.learners - {name}, members.where)
            self.tell(self.core.change, grown)

    def vote(self, front: str, release: int, stage: int, verdict: Verdict) -> str:
        """Counts a vote, if this instance leads; the platform's word for how that went."""
        now = self.tasks.now()
        if not self.core.may_act(now):
            return "FAILED"
        if not self.gates.vote(now, front, release, stage, verdict):
            return "STALE"
        self.decide_by_votes()
        return "OK"

    def pass_on(self, front: str, release: int, stage: int, verdict: str) -> str:
        """A vote that came here, counted by the leader wherever that is."""
        leader = self.core.leader
        if leader == self.office.name:
            return self.vote(front, release, stage, VERDICTS[verdict])
        if leader is None or len(self.pending) >= PENDING_MOST:
            return "BUSY"
        self.ticket += 1
        ticket = self.ticket
        waiter: list[Any] = [self.tasks.current(), None]
        self.pending[ticket] = waiter
        try:
            self.peers.send(leader, ["vote", [ticket, front, release, stage, verdict]])
            until = self.tasks.now() + ANSWER_S
            while waiter[1] is None and self.tasks.now() < until:
                self.tasks.wait(until)
        finally:
            del self.pending[ticket]
        return waiter[1] or "FAILED"

    # The end.

    def heed(self, signals: socket.socket) -> None:
        while True:
            self.tasks.wait(inf, (signals.fileno(), READ))
            numbers = signals.recv(4096)
            if signal.SIGHUP in numbers and self.peers.keys is not None:
                try:
                    self.note("keys-read", anew=self.peers.keys.renew())
                except OSError as fault:
                    self.note("keys-faulty", why=str(fault))
            if signal.SIGTERM in numbers or signal.SIGINT in numbers or not numbers:
                self.leave()
                return

    def leave(self) -> None:
        """Hands over if this instance leads, gives the heir a moment to be told, and ends."""
        self.note("leaving")
        if self.core.role is Role.LEADING:
            self.tell(self.core.hand_over)
            until = self.tasks.now() + self.office.wait
            while self.core.role is Role.YIELDING and self.tasks.now() < until:
                self.tasks.wait(self.tasks.now() + 0.01)
        self.tasks.stop()


