"""One control instance: the core, its disk, its peers, those that apply, the desk for fronts, and commands.

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

import orjson

from pinward.lead.core import Core
from pinward.lead.gates import Gates
from pinward.lead.ledger import Act, Decision, Ledger, Placed
from pinward.lead.office import LeadFile
from pinward.lead.peers import Peers, accepted
from pinward.lead.store import Acquaintances, Store, StoreError
from pinward.lead.teller import RING_BYTES, Leadership, Teller, read_line
from pinward.lead.terms import Entry, Members, Role, Sort
from pinward.lead.tls import Keys
from pinward.lead.words import MalformedWordError, plain_word, word_of
from pinward.net.ring import Link, listen
from pinward.net.scheduler import READ, Scheduler
from pinward.terms import Phase, Verdict

ANSWER_S = 2.0  # s that a front's vote or a command may wait for the leader
DESK_MOST = 4096  # connections of fronts and listeners
DESK_RING_BYTES = 8 * 1024  # a direction of one of these: a line of the platform's, twice
IDLE_S = 60.0  # s after which a connection that says nothing ends, unless it watches
SIGN_S = 1.0  # s between signs of life to those that watch
PENDING_MOST = 1024  # votes passed on that wait for the leader's word
CONTROL_MOST = 16  # commands at a time
COMMAND_MOST = 64 * 1024  # bytes of a command
SHOWN_MOST = 200  # entries of the log that one command shows
VERDICTS = {"abstain": Verdict.NONE, "promote": Verdict.ON, "pause": Verdict.HOLD, "abort": Verdict.BACK}
PHASES = {
    Phase.TRIAL: "trial", Phase.GOING_BACK: "rolling_back", Phase.RELEASED: "released",
    Phase.WITHDRAWN: "withdrawn",
}  # fmt: skip


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
        self.watchers: dict[Link, Any] = {}
        self.voted: set[Link] = set()  # of fronts without a name

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
            spawn(self.accept, listen(office.desk), self.serve_front, DESK_MOST, DESK_RING_BYTES)
        spawn(self.accept, self.control_socket(), self.serve_command, CONTROL_MOST, RING_BYTES)
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

    def control_socket(self) -> socket.socket:
        self.control_path.unlink(missing_ok=True)  # the store's lock says that nobody else uses it
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.bind(str(self.control_path))
        self.control_path.chmod(0o600)
        sock.listen(CONTROL_MOST)
        sock.setblocking(False)
        return sock

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
            self.note("state-taken", place=self.ledger.place)
            self.meet()
            self.stood()
        for entry in core.take_committed():
            self.committed(entry)
        if core.applied - core.base.index >= self.office.fold_after:
            core.fold(core.applied, self.ledger.plain())
            self.carry_out()
        self.tasks.wake(self.ticker)

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
            for task in self.watchers.values():
                self.tasks.wake(task)

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

    # The desk: fronts that watch and vote in the platform's lines, and listeners that apply.

    def accept(
        self, listener: socket.socket, serve: Callable[[Link], None], most: int, ring_bytes: int
    ) -> None:
        links: set[Link] = set()
        while True:
            sock = accepted(self.tasks, listener)
            if len(links) >= most:
                sock.close()
                continue
            link = Link(self.tasks, sock, ring_bytes)
            links.add(link)
            self.tasks.spawn(self.one, link, serve, links)

    def one(self, link: Link, serve: Callable[[Link], None], links: set[Link]) -> None:
        try:
            serve(link)
        except OSError:
            pass  # the peer broke the connection
        except ValueError as fault:
            self.note("malformed", why=str(fault))
        finally:
            links.discard(link)
            self.watchers.pop(link, None)
            link.close()

    def news(self) -> str:
        """Where the release stands, in the platform's words."""
        here, caps = self.ledger.standing, self.office.stage
        cap = min(caps[min(here.stage, len(caps) - 1)], here.share)
        cap = {Phase.TRIAL: cap, Phase.RELEASED: 1.0}.get(here.phase, 0.0)
        age_ms = int(1000 * (self.tasks.now() - self.standing_since))
        return f"{here.release} {here.stage} {PHASES[here.phase]} {cap:g} {age_ms}"

    def serve_front(self, link: Link) -> None:
        """One front's connection; without a name it is known by that, and its vote ends with it."""
        host, port = link.sock.getpeername()[:2]
        peer = f"{host}:{port}"
        try:
            self.converse(link, peer)
        finally:
            here = self.ledger.standing
            if link in self.voted:
                self.voted.discard(link)
                self.tasks.spawn(self.take_back, peer, here.release, here.stage)

    def take_back(self, front: str, release: int, stage: int) -> None:
        self.pass_on(front, release, stage, "abstain")

    def converse(self, link: Link, peer: str) -> None:
        front, told = peer, -1
        while True:
            words = self.front_says(link, told)
            if words is None:
                return
            if words == ["FOLLOW"]:
                self.follow(link, peer)
                return
            if words == ["WATCH"]:
                self.watchers[link] = self.tasks.current()
                link.send(b"OK\r\n", self.tasks.now() + ANSWER_S)
            elif words[:1] == ["NAME"] and len(words) == 2:
                front = words[1][:200]
                link.send(b"OK\r\n", self.tasks.now() + ANSWER_S)
            elif words[:1] == ["VOTE"]:
                if front == peer:
                    self.voted.add(link)
                link.send(self.vote_line(front, words), self.tasks.now() + ANSWER_S)
            elif words:
                link.send(b"ERR SYNTAX\r\n", self.tasks.now() + ANSWER_S)
            if link in self.watchers and told != self.ledger.place:
                told = self.ledger.place
                link.send(f"* ROLLOUT {self.news()}\r\n".encode(), self.tasks.now() + ANSWER_S)

    def front_says(self, link: Link, told: int) -> list[str] | None:
        """The next line of a front, as words; none where only something is to be told; None at the end."""
        began = self.tasks.now()
        while True:
            if link.inbox.peek(COMMAND_MOST).find(b"\n") >= 0:
                return (read_line(self.tasks, link, began, COMMAND_MOST) or "").split(" ")
            if link.ended:
                return None
            if link.inbox.room == 0:
                raise ValueError("a line is too long")
            watches = link in self.watchers
            if watches and told != self.ledger.place:
                return []
            until = self.tasks.now() + SIGN_S if watches else began + IDLE_S
            self.tasks.wait(until, (link.sock.fileno(), READ))
            link.fill()
            if self.tasks.now() >= until:
                if not watches:
                    return None
                link.send(b"*\r\n", self.tasks.now() + ANSWER_S)

    def vote_line(self, front: str, words: list[str]) -> bytes:
        if len(words) != 4 or not (words[1].isdecimal() and words[2].isdecimal()) or words[3] not in VERDICTS:
            return b"ERR SYNTAX\r\n"
        answer = self.pass_on(front, int(words[1]), int(words[2]), words[3])
        return f"OK {self.news()}\r\n".encode() if answer == "OK" else f"ERR {answer}\r\n".encode()

    def follow(self, link: Link, name: str) -> None:
        """One that applies has come by itself: it is told on this connection while this instance leads."""
        if not self.core.may_act(self.tasks.now()):
            link.send(f"ERR NOLEAD {self.core.leader or '-'}\r\n".encode(), self.tasks.now() + ANSWER_S)
            return
        teller = Teller(self.lead, name, trusted=False)
        self.tellers.append(teller)
        try:
            teller.tell(link)
        finally:
            self.tellers.remove(teller)

    # Commands.

    def serve_command(self, link: Link) -> None:
        text = read_line(self.tasks, link, self.tasks.now() + ANSWER_S, COMMAND_MOST)
        if text is None:
            return
        try:
            asked = orjson.loads(text)
            answer = getattr(self, f"do_{asked['do']}")(asked)
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            answer = {"error": f"no command: {fault}"}
        link.send(orjson.dumps(answer, default=str) + b"\n", self.tasks.now() + ANSWER_S)

    def do_status(self, _: Any) -> dict[str, Any]:
        core, now = self.core, self.tasks.now()
        leads = core.role is Role.LEADING
        return {
            "name": self.office.name, "installation": self.office.installation,
            "role": core.role.name.lower(), "epoch": core.epoch, "leader": core.leader,
            "acts": core.may_act(now), "lease_s": round(max(0.0, core.lease_until - now), 3),
            "last": core.last, "committed": core.committed,
            "base": core.base.index, "place": self.ledger.place, "release": self.news().split(" "),
            "disk_bytes": self.store.size, "saves": self.store.saves,
            "doubted": sorted(core.doubted),
            "peers": {
                name: {
                    "up": sender.up, "why": sender.why, "dropped": sender.dropped,
                    "match": core.peers[name].match if leads and name in core.peers else None,
                }
                for name, sender in self.peers.senders.items()
            },
            "appliers": {t.name: {"state": t.state.name.lower(), "place": t.place} for t in self.tellers},
            "refusals": self.peers.refusals,
        }  # fmt: skip

    def do_members(self, asked: Any) -> dict[str, Any]:
        """Shows the members, or adds or removes one."""
        members, where = self.core.members, dict(self.core.members.where)
        add, remove = asked.get("add"), asked.get("remove")
        if add is None and remove is None:
            return {**members.plain(), "changing": self.core.changing}
        if add is not None:
            name, place = add
            if name in where:
                return {"error": f"{name} is a member already"}
            where[name] = place
            changed = Members(members.voters, members.learners | {name}, tuple(sorted(where.items())))
        else:
            if remove not in where:
                return {"error": f"{remove} is no member"}
            del where[remove]
            rest = tuple(sorted(where.items()))
            changed = Members(members.voters - {remove}, members.learners - {remove}, rest)
        why = self.tell(self.core.change, Members.of(changed.plain()))
        if why is None:
            self.meet()
        return {"error": why} if why else {"ok": True}

    def do_yield(self, _: Any) -> dict[str, Any]:
        if self.core.role is not Role.LEADING:
            return {"error": "this instance does not lead"}
        return {"heir": self.tell(self.core.hand_over)}

    def do_log(self, asked: Any) -> dict[str, Any]:
        first = max(int(asked.get("since", self.core.last - 20)), self.core.base.index)
        shown = self.core.after(first)[:SHOWN_MOST]
        return {
            "base": self.core.base.index, "committed": self.core.committed,
            "entries": [[e.index, e.epoch, e.sort.name.lower(), e.body] for e in shown],
        }  # fmt: skip

    def do_snapshot(self, _: Any) -> dict[str, Any]:
        self.core.fold(self.core.applied, self.ledger.plain())
        self.carry_out()
        return {"base": self.core.base.index, "disk_bytes": self.store.size, "state": self.ledger.plain()}

    def do_decide(self, asked: Any) -> dict[str, Any]:
        """Puts a decision into the log and waits until it is committed; it may be asked for again."""
        decision = Decision.of([
            asked["id"], asked["act"], asked.get("release", 0), asked.get("stage", 0),
            asked.get("share", 1.0), asked.get("node", ""), asked.get("by", "command"),
        ])  # fmt: skip
        now = self.tasks.now()
        if not self.core.may_act(now):
            return {"error": "this instance does not lead", "leader": self.core.leader}
        if decision.name in self.ledger.names:
            return {"place": self.ledger.names[decision.name], "again": True}
        waiter: list[Any] = [self.tasks.current(), None]
        self.waiting.setdefault(decision.name, []).append(waiter)
        try:
            if not self.propose(decision):
                return {"error": "too many decisions are open; again in a moment"}
            until = self.tasks.now() + ANSWER_S
            while waiter[1] is None and self.tasks.now() < until:
                self.tasks.wait(until)
        finally:
            if waiter in (others := self.waiting.get(decision.name, [])):
                others.remove(waiter)
                if not others:
                    del self.waiting[decision.name]
        return waiter[1] or {"error": "not committed yet; ask again with the same identity", "unknown": True}

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


