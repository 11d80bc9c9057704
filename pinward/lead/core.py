"""The core of leadership: a majority log with pre-votes, leases, single-step membership and hand-over.

It does no I/O, reads no clock, and draws chance only from its seeded `Random`. Call `hear` for each word of a
peer, `tick` at `wake_at` or later, `saved` once a Save is on disk, and `propose`, `change`, `hand_over` and
`fold` as asked. After each call the caller carries out, in order, what stands in `sends` (peer, word) and
`saves`, and applies what `take_jump` and `take_committed` return. Words that promise something wait in here
until the disk holds it.

The log is Raft's (Ongaro and Ousterhout 2014; Ongaro's thesis for pre-votes, check-quorum, hand-over and
single-step membership with the amendment that a leader first commits in its own epoch).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import inf
from random import Random
from typing import Any

from pinward.lead.terms import Base, Entry, Kept, Members, Pace, Role, Save, Sort, Word

BATCH_MOST = 64  # entries in one word: some tens of KiB
OPEN_MOST = 512  # entries not yet committed: more are turned away, so a cut-off leader stays small
SPREAD = 1.0  # of wait_s, drawn on top of it before an instance stands: few stand at once
BACKOFF_MOST = 4  # times SPREAD: candidates that tie go further apart
LAG_MOST = 16  # entries behind, at which a learner becomes a voter: it catches up within a word


class Peer:
    """What a leader knows of another instance's log."""

    def __init__(self, following: int, now: float) -> None:
        self.following = following  # the next index to send
        self.match = 0  # up to here its disk agrees
        self.round = 0  # the newest word it answered
        self.suspect = 0  # the word whose answer fell short of what it had promised
        self.owes = 0  # how far its log must reach before it counts again, once its disk went back
        self.answered = now
        self.sent = -inf  # when a word with entries went out that is not answered; -inf: none


class Core:
    def __init__(self, name: str, kept: Kept, pace: Pace, seed: int | str, now: float) -> None:
        self.name, self.pace, self.chance = name, pace, Random(seed)
        self.epoch, self.vote = kept.epoch, kept.vote
        self.base, self.entries = kept.base, list(kept.entries)
        self.role = Role.FOLLOWING
        self.leader: str | None = None
        self.heard: float = now  # a start counts: it may have promised a leader to stay with it
        self.committed = self.applied = self.base.index
        self.durable = self.last  # the log's end on the own disk
        self.jump: Base | None = kept.base if kept.base.index else None  # to begin from, not yet taken
        self.ticket = 0
        self.waits: deque[tuple[int, int, str, tuple[Any, ...]]] = deque()  # ticket, epoch, peer, word
        self.lasting: deque[tuple[int, int]] = deque()  # ticket, the log's end once it is saved
        self.granted: set[str] = set()
        self.handed = False
        self.tries = 0
        self.peers: dict[str, Peer] = {}
        self.doubted: set[str] = set()  # whose disk went back
        self.round = 0
        self.asked: deque[tuple[int, float]] = deque()  # words that may still count, when asked
        self.lease_until = -inf
        self.first = 0  # index of the first entry of the own epoch
        self.heir: str | None = None
        self.yield_by = inf
        self.sends: list[tuple[str, tuple[Any, ...]]] = []
        self.saves: list[Save] = []
        self.notes: list[tuple[str, dict[str, Any]]] = []
        self.members = self.members_now()
        self.stand_at = now + self.patience()
        self.beat_at = inf

    # The log.

    @property
    def last(self) -> int:
        return self.base.index + len(self.entries)

    def epoch_of(self, index: int) -> int | None:
        """The epoch of an entry; None where it is not here."""
        if index == self.base.index:
            return self.base.epoch
        place = index - self.base.index - 1
        return self.entries[place].epoch if 0 <= place < len(self.entries) else None

    def after(self, index: int) -> list[Entry]:
        return self.entries[index - self.base.index :]

    def members_now(self) -> Members:
        """The last list of members in the log, committed or not."""
        for entry in reversed(self.entries):
            if entry.sort is Sort.MEMBERS:
                return Members.of(entry.body)
        return self.base.members

    @property
    def changing(self) -> bool:
        """True while a list of members is not committed."""
        return any(entry.sort is Sort.MEMBERS for entry in self.after(self.committed))

    def take_jump(self) -> Base | None:
        """What to begin from anew, before what `take_committed` gives; None where nothing was skipped."""
        jump, self.jump = self.jump, None
        return jump

    def take_committed(self) -> list[Entry]:
        """The entries committed since the last call, in order."""
        new = self.after(self.applied)[: self.committed - self.applied]
        self.applied = self.committed
        return new

    def write(self, entries: Iterable[Entry] = (), promise: bool = False, base: Base | None = None) -> int:
        """Takes entries into the log and asks for a save; its ticket."""
        entries = tuple(entries)
        if entries:
            first = entries[0].index
            cuts = first <= self.last
            del self.entries[first - self.base.index - 1 :]
            self.entries.extend(entries)
            if cuts or any(entry.sort is Sort.MEMBERS for entry in entries):
                self.members = self.members_now()
            if cuts:  # what is on its way to the disk is no longer the log from there on
                self.durable = min(self.durable, first - 1)
                self.lasting = deque((ticket, min(end, first - 1)) for ticket, end in self.lasting)
        self.ticket += 1
        self.saves.append(Save(self.ticket, (self.epoch, self.vote) if promise else None, entries, base))
        self.lasting.append((self.ticket, self.last))
        return self.ticket

    def saved(self, now: float, ticket: int) -> None:
        """The disk holds all up to this ticket: what waited for that is said now."""
        while self.lasting and self.lasting[0][0] <= ticket:
            self.durable = min(self.lasting.popleft()[1], self.last)
        while self.waits and self.waits[0][0] <= ticket:
            _, epoch, peer, word = self.waits.popleft()
            if epoch != self.epoch:
                continue
            if peer == self.name:
                self.hear(now, self.name, word)
            else:
                self.sends.append((peer, word))
        if self.role in (Role.LEADING, Role.YIELDING):
            self.count(now)

    def say(self, peer: str, *word: Any) -> None:
        self.sends.append((peer, word))

    def promise(self, ticket: int, peer: str, *word: Any) -> None:
        """Says a word once the disk holds what it promises."""
        if self.lasting:
            self.waits.append((ticket, self.epoch, peer, word))
        else:
            self.say(peer, *word)

    # Roles: every change goes through `become`.

    def become(self, now: float, role: Role, why: str) -> None:
        before, self.role = self.role, role
        self.lease_until, self.beat_at, self.yield_by = -inf, inf, inf
        self.granted.clear()
        self.asked.clear()
        if role is Role.FOLLOWING:
            self.stand_at = now + self.patience()
        elif role is Role.CANVASSING:
            self.leader, self.stand_at = None, now + self.patience()
            self.granted = {self.name}
        elif role is Role.STANDING:
            self.leader, self.stand_at = None, now + self.patience()
        elif role is Role.LEADING:
            self.leader, self.tries, self.stand_at = self.name, 0, inf
            self.peers = {peer: Peer(self.last + 1, now) for peer in self.members.all - {self.name}}
            self.doubted.clear()
            self.first = self.last + 1
            self.write([Entry(self.epoch, self.first, Sort.NOTHING, None)])
            self.beat_at = now
        elif role is Role.YIELDING:
            self.yield_by, self.beat_at = now + self.pace.wait_s, now
        else:
            self.leader, self.stand_at = None, inf
        if role is not before:
            told = {"role": role.name.lower(), "before": before.name.lower(), "why": why}
            self.notes.append(("role", told))

    def patience(self) -> float:
        spread = SPREAD * (1 + min(self.tries, BACKOFF_MOST))
        return self.pace.wait_s * (1 + spread * self.chance.random())

    def rise(self, now: float, epoch: int, why: str) -> None:
        """A higher epoch is known of: follow in it."""
        self.epoch, self.vote, self.leader = epoch, None, None
        self.write(promise=True)
        self.become(now, Role.FOLLOWING, why)

    def halt(self, now: float, why: str) -> None:
        """The disk does not keep what was promised: say nothing more."""
        self.waits.clear()
        self.become(now, Role.HALTED, why)

    @property
    def wake_at(self) -> float:
        return min(self.stand_at, self.beat_at, self.yield_by)

    def may_act(self, now: float) -> bool:
        """True while no other can lead; to be asked at the moment of acting, each time."""
        return self.role is Role.LEADING and self.committed >= self.first and now < self.lease_until

    # Time.

    def tick(self, now: float) -> None:
        if self.role in (Role.LEADING, Role.YIELDING):
            if now >= self.yield_by:
                # not back to leading: the heir may yet stand in this epoch's succession
                self.become(now, Role.FOLLOWING, "hand-over took too long")
            elif now >= self.beat_at:
                quorum = {p for p, peer in self.peers.items() if now - peer.answered < 2 * self.pace.wait_s}
                if not self.members.majority_in(quorum | {self.name}):
                    self.become(now, Role.FOLLOWING, "no majority answers")
                    self.leader = None
                else:
                    self.beat(now)
        elif now >= self.stand_at and self.role not in (Role.LEFT, Role.HALTED):
            if self.name not in self.members.voters:
                self.stand_at = now + self.patience()
                return
            self.tries += 1
            self.become(now, Role.CANVASSING, "no leader is heard")
            if self.members.majority_in(self.granted):
                self.stand(now, handed=False)
            for peer in sorted(self.members.voters - {self.name}):
                self.say(peer, Word.CANVASS, self.epoch + 1, self.epoch_of(self.last), self.last)

    def beat(self, now: float) -> None:
        """Asks every peer anew; the lease counts from here, before anything is sent."""
        self.beat_at = now + self.pace.beat_s
        self.asked.append((self.round + 1, now))
        for peer in sorted(self.peers):
            self.append(now, peer, anyway=True)
        if not self.peers:
            self.renew(now)

    def renew(self, now: float) -> None:
        """The lease from the newest round that a majority has answered."""
        asked = None
        for round_, at in self.asked:
            there = {p for p, peer in self.peers.items() if peer.round >= round_} - self.doubted
            if not self.members.majority_in(there | {self.name}):
                break
            asked = (round_, at)
        if asked is not None:
            while self.asked[0][0] < asked[0]:
                self.asked.popleft()
            if self.role is Role.LEADING:
                self.lease_until = max(self.lease_until, self.lease_from(asked[1], now))
        while len(self.asked) > 2 + 2 * self.pace.wait_s / self.pace.beat_s:
            self.asked.popleft()

    def lease_from(self, asked: float, answered: float) -> float:
        """Counted from before the question went out: an answer's time says nothing of when it was heard."""
        return asked + self.pace.lease_s

    # Words.

    def hear(self, now: float, peer: str, word: tuple[Any, ...]) -> None:
        """Takes in a word of a peer: a tuple as in `Word`."""
        kind, epoch, *things = word
        if self.role in (Role.HALTED, Role.LEFT):
            return
        if kind is Word.CANVASS:
            self.canvass(now, peer, epoch, *things)
            return
        if kind is Word.CANVASSED:
            if not things[0] and epoch > self.epoch:
                self.rise(now, epoch, "a peer's epoch is higher")
            elif things[0] and self.role is Role.CANVASSING and epoch == self.epoch + 1:
                self.granted.add(peer)
                if self.members.majority_in(self.granted):
                    self.stand(now, handed=False)
            return
        if kind is Word.ASK_VOTE and not things[2] and self.loyal(now):
            return  # with a leader heard of just now, its lease must run out first
        if epoch > self.epoch:
            self.rise(now, epoch, "a peer's epoch is higher")
        if epoch < self.epoch:
            if kind in (Word.APPEND, Word.WHOLE):
                self.say(peer, Word.TAKEN, self.epoch, things[0], False, 0)
            elif kind is Word.ASK_VOTE:
                self.say(peer, Word.VOTED, self.epoch, False)
            return
        if kind is Word.ASK_VOTE:
            self.asked_for_vote(now, peer, *things)
        elif kind is Word.VOTED:
            if self.role is Role.STANDING and things[0]:
                self.granted.add(peer)
                if self.members.majority_in(self.granted):
                    self.become(now, Role.LEADING, "a majority voted")
        elif kind is Word.APPEND:
            self.follow(now, peer)
            self.appended(peer, *things)
        elif kind is Word.WHOLE:
            self.follow(now, peer)
            self.replaced(peer, *things)
        elif kind is Word.TAKEN:
            if self.role in (Role.LEADING, Role.YIELDING) and peer in self.peers:
                self.taken(now, peer, *things)
        elif kind is Word.HAND and self.role is Role.FOLLOWING and peer == self.leader:
            self.stand(now, handed=True)

    def loyal(self, now: float) -> bool:
        """True where a leader may still count on this instance."""
        return now - self.heard < self.pace.wait_s or self.role is Role.LEADING

    def newer(self, epoch: int, index: int) -> bool:
        """True where a log that ends so holds at least what this one does."""
        return (epoch, index) >= (self.epoch_of(self.last), self.last)

    def canvass(self, now: float, peer: str, epoch: int, last_epoch: int, last: int) -> None:
        granted = epoch > self.epoch and not self.loyal(now) and self.newer(last_epoch, last)
        self.say(peer, Word.CANVASSED, epoch if granted else self.epoch, granted)

    def stand(self, now: float, handed: bool) -> None:
        self.epoch, self.vote = self.epoch + 1, self.name
        ticket = self.write(promise=True)
        self.become(now, Role.STANDING, "handed over" if handed else "a majority would vote")
        self.promise(ticket, self.name, Word.VOTED, self.epoch, True)
        for peer in sorted(self.members.voters - {self.name}):
            self.say(peer, Word.ASK_VOTE, self.epoch, self.epoch_of(self.last), self.last, handed)

    def asked_for_vote(self, now: float, peer: str, last_epoch: int, last: int, handed: bool) -> None:
        if self.vote not in (None, peer) or self.leader is not None or not self.newer(last_epoch, last):
            self.say(peer, Word.VOTED, self.epoch, False)
            return
        if self.vote is None:
            self.vote = peer
            self.write(promise=True)
        self.stand_at = now + self.patience()
        self.promise(self.ticket, peer, Word.VOTED, self.epoch, True)

    def follow(self, now: float, leader: str) -> None:
        """A leader of this epoch was heard."""
        self.heard = now
        self.tries = 0
        if self.role is not Role.FOLLOWING or self.leader != leader:
            self.become(now, Role.FOLLOWING, f"{leader} leads")
            self.leader = leader
        self.stand_at = now + self.patience()

    def appended(
        self, peer: str, round_: int, before: int, before_epoch: int, entries: list[Entry], committed: int
    ) -> None:
        if before < self.base.index:  # what is folded in is committed, so it agrees
            entries = [entry for entry in entries if entry.index > self.base.index]
            before, before_epoch = self.base.index, self.base.epoch
        agrees = self.epoch_of(before) == before_epoch
        if not agrees:
            hint = min(before - 1, self.last)
            while hint > self.base.index and (self.epoch_of(hint) or 0) > before_epoch:
                hint -= 1  # these cannot agree either
            self.promise(self.ticket, peer, Word.TAKEN, self.epoch, round_, False, hint)
            return
        reaches = entries[-1].index if entries else before
        new = [entry for entry in entries if self.epoch_of(entry.index) != entry.epoch]
        if new:
            self.write([entry for entry in entries if entry.index >= new[0].index])
        self.committed = max(self.committed, min(committed, reaches))
        self.promise(self.ticket, peer, Word.TAKEN, self.epoch, round_, True, reaches)

    def replaced(self, peer: str, round_: int, base: Base) -> None:
        """The log begins anew after what the leader has folded in."""
        if base.index > self.committed:
            keeps = self.epoch_of(base.index) == base.epoch
            self.entries = self.after(base.index) if keeps else []
            self.base, self.members = base, base.members
            self.members = self.members_now()
            self.committed = self.applied = base.index
            self.jump = base
            self.durable = min(self.durable, self.last)
            self.write(self.entries, base=base)
        reaches = max(base.index, self.base.index)
        self.promise(self.ticket, peer, Word.TAKEN, self.epoch, round_, True, reaches)

    # Leading.

    def append(self, now: float, name: str, anyway: bool = False) -> None:
        """Sends a peer what it lacks, a word at a time; `anyway` also where one is out or nothing lacks."""
        peer = self.peers[name]
        out = now - peer.sent < self.pace.beat_s
        if not anyway and (out or peer.following > self.last):
            return
        before = peer.following - 1
        if before < self.base.index:
            if not out:
                peer.sent = now
                self.round += 1
                self.say(name, Word.WHOLE, self.epoch, self.round, self.base)
            return
        entries = [] if out else self.after(before)[:BATCH_MOST]
        if entries:
            peer.sent = now
        self.round += 1
        things = self.round, before, self.epoch_of(before), entries, self.committed
        self.say(name, Word.APPEND, self.epoch, *things)

    def taken(self, now: float, name: str, round_: int, agrees: bool, reaches: int) -> None:
        peer = self.peers[name]
        peer.answered, peer.round = now, max(peer.round, round_)
        if agrees:
            if reaches > peer.match:
                peer.match, peer.sent = reaches, -inf
            peer.following = max(peer.following, peer.match + 1)
            if name in self.doubted and reaches >= peer.owes:
                self.doubted.discard(name)
                self.notes.append(("caught-up", {"peer": name, "has": reaches}))
        elif reaches >= peer.match:
            peer.following, peer.sent = max(1, min(peer.following, reaches + 1)), -inf
        elif round_ == peer.round:
            self.doubt(name, peer, reaches)
        self.count(now)
        self.renew(now)
        self.append(now, name)
        if name == self.heir and self.role is Role.YIELDING and peer.match >= self.last:
            self.say(name, Word.HAND, self.epoch)
            self.heir = None

    def doubt(self, name: str, peer: Peer, reaches: int) -> None:
        """Its log ends before what it had promised: an old copy of its disk was put back, or, once, words of
        a former connection came late. Until it holds all that again it counts towards nothing."""
        if not peer.suspect:
            peer.suspect = self.round
        elif peer.round > peer.suspect:
            self.doubted.add(name)
            self.notes.append(("went-back", {"peer": name, "had": peer.match, "has": reaches}))
            peer.owes, peer.match, peer.suspect = peer.match, 0, 0
            peer.following, peer.sent = max(1, reaches + 1), -inf

    def count(self, now: float) -> None:
        """Commits what a majority's disks hold, where it is of the own epoch."""
        ends = {name: peer.match for name, peer in self.peers.items() if name not in self.doubted}
        ends[self.name] = self.durable
        for index in sorted({end for end in ends.values() if end > self.committed}, reverse=True):
            if self.epoch_of(index) != self.epoch:
                break
            if self.members.majority_in({name for name, end in ends.items() if end >= index}):
                self.committed = index
                if self.name not in self.members.all and not self.changing:
                    self.become(now, Role.LEFT, "removed from the members")
                break

    def propose(self, now: float, sort: Sort, body: Any) -> int | None:
        """Puts an entry into the log; its index, or None where this instance may not or has too many open."""
        if not self.may_act(now) or self.last - self.committed >= OPEN_MOST:
            return None
        entry = Entry(self.epoch, self.last + 1, sort, body)
        self.write([entry])
        for peer in sorted(self.peers):
            self.append(now, peer)
        return entry.index

    def change(self, now: float, members: Members) -> str | None:
        """Goes over to another list of members; why not, where that is refused."""
        if not self.may_act(now):
            return "this instance does not lead"
        if self.changing:
            return "another change is under way"
        if len(self.members.voters ^ members.voters) > 1:
            return "voters change one at a time, so that no two majorities stand side by side"
        if not members.voters:
            return "no voter would be left"
        if self.propose(now, Sort.MEMBERS, members.plain()) is None:
            return "too many entries are open"
        for name in members.all - set(self.peers) - {self.name}:
            self.peers[name] = Peer(self.last, now)
            self.append(now, name)
        for name in set(self.peers) - members.all:
            del self.peers[name]
        return None

    def ripe(self) -> str | None:
        """A learner that has caught up, so that it may vote; None where there is none or a change is on."""
        if self.role is not Role.LEADING or self.changing:
            return None
        caught = (n for n in sorted(self.members.learners) if self.peers[n].match >= self.last - LAG_MOST)
        return next((name for name in caught if name not in self.doubted), None)

    def hand_over(self, now: float) -> str | None:
        """Stops acting and names the most caught-up voter, who stands at once; None where there is none."""
        if self.role is not Role.LEADING:
            return None
        recent = {
            name: peer.match for name, peer in self.peers.items()
            if name in self.members.voters - self.doubted and now - peer.answered < self.pace.wait_s
        }  # fmt: skip
        if not recent:
            self.become(now, Role.FOLLOWING, "steps down, none to hand over to")
            self.leader = None
            return None
        self.become(now, Role.YIELDING, "hands over")
        heir = max(sorted(recent), key=recent.__getitem__)
        if recent[heir] >= self.last:
            self.say(heir, Word.HAND, self.epoch)
        else:
            self.heir = heir
        return heir

    def fold(self, index: int, state: Any) -> None:
        """Folds the log up to an applied index into `state`, which the caller made from it."""
        epoch = self.epoch_of(index)
        if not self.base.index < index <= self.applied or epoch is None:
            return
        members = self.base.members
        for entry in self.entries[: index - self.base.index]:
            if entry.sort is Sort.MEMBERS:
                members = Members.of(entry.body)
        rest = self.after(index)
        self.base, self.entries = Base(index, epoch, members, state), rest
        self.write(base=self.base)
