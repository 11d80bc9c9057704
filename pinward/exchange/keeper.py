"""The control state and who may change it: a primary, its copies, and witnesses that keep only epochs.

A view names an epoch, its primary, the copies and the voters. The primary answers a write once its own disk
and every copy's disk hold it. Who takes over is decided by a majority of voters that keep, durably, the
highest epoch they promised and the view they accepted; no log is replicated by them. A new view's copies hold
all that the former view acknowledged: its proposer was a copy there, and takes nothing more once it asks.

A disk that was lost forgot what it promised. Its machine says so (`blank`) and counts for no majority until a
view that was asked for and accepted without its word readmits it.

Voters change one at a time by a view that majorities of the old and of the new ones accept; who comes has the
whole state on disk before.

The machine does no I/O: `hear`, `tick`, `saved` and `propose` put what is to be done into `out`. Words that
promise something wait in here until the disk holds it. Written after Viewstamped Replication's view changes,
Vertical Paxos' use of a separate register of views (Lamport, Malkhi, Zhou 2009) and Raft's joint consensus.
Its parts: `view` (views, majorities, times), `replication`, `election`, `membership`.
"""

from __future__ import annotations

from math import inf

from pinward.exchange.election import Election
from pinward.exchange.view import (
    ALIVE_S,
    BEAT_S,
    FORGET_S,
    LEASE_S,
    PATIENCE_S,
    PEERS_MOST,
    ROUND_S,
    TELL_S,
    Kept,
    Role,
    View,
    Word,
    newest,
)

__all__ = ["Keeper", "Kept", "Role", "View"]
from pinward.plan.fault_tolerance import FaultTolerance, Locality


class Keeper(Election):
    # What the host asks.

    def in_touch(self, now: float) -> bool:
        """True where a primary that holds its lease was heard of late, or this machine is it."""
        if self.primary == self.own:  # also while it asks for its next view: its lease still runs
            return now - self.confirmed(now) < LEASE_S
        return self.primary is not None and now - self.lease_heard_at < PATIENCE_S

    def whole(self, now: float) -> bool:
        """True where all that the primary holds is known to be held here, but for what is on its way."""
        return self.in_touch(now) and (self.primary == self.own or self.differs_since is None)

    def members(self, now: float) -> list[str]:
        """Control fronts that count, stand by, or are this one: where fronts may go."""
        standbys = self.membership.standbys(now, self.view) if self.role is Role.PRIMARY else self.standbys
        return sorted({self.own, *self.view.voters, *standbys})

    def know(self, peers: list[str]) -> None:
        """Control fronts that the settings name."""
        self.peers |= set(peers) - {self.own}

    def locate(self, now: float, server: str, locality: Locality) -> None:
        """A control server tells where it stands; that is kept, since it counts also while it is away."""
        if self.kept.localities.get(server) != locality and len(self.kept.localities) < PEERS_MOST:
            self.kept.localities[server] = locality
            self.save(now)

    def bear(self, tolerance: FaultTolerance) -> None:
        """What may be lost at once, where the settings say otherwise than before."""
        self.tolerance = self.membership.tolerance = tolerance

    def met(self, peer: str) -> None:
        """A link to a control front stands."""
        if peer == self.own:
            return
        self.peers.add(peer)
        if self.role is Role.FOLLOWING and self.granted:
            self.ask_pre_vote(peer)
        if self.role is Role.PRIMARY and self.public:
            self.send(peer, t="commit", n=self.epoch, items=self.public)
        if self.role is Role.FOLLOWING and self.primary is not None and peer not in self.view.voters:
            self.tell_members(peer)

    def tell_members(self, peer: str) -> None:
        counts = {*self.view.voters, *([self.primary] if self.primary is not None else [])}
        self.send(peer, t="members", peers=sorted(counts - {peer}))

    def leave(self, now: float) -> None:
        """The process must end; it may once `released`, or when its time is over."""
        if self.leave_at is None:
            self.leave_at = now
            self.hand_over(now)

    # Time.

    def tick(self, now: float) -> None:
        """To be called each 50 ms or so."""
        if self.role is Role.PRIMARY:
            self.lead(now)
        elif self.role is not Role.FOLLOWING:
            self.go_on(now)
        elif now >= self.stand_at and not self.kept.blank and self.own in self.view.copies:
            self.stand(now)
        self.hand_over(now)
        self.forget(now)

    def hand_over(self, now: float) -> None:
        """Moves leadership, copy and seat of a machine that must end to others."""
        if self.leave_at is None:
            return
        if self.kept.blank or self.own not in self.view.members():
            self.released = True
        elif self.role is Role.PRIMARY:
            rest = self.membership.live(now) - self.membership.ends(now) - {self.own}
            if rest & set(self.view.copies) and (not self.open or now - self.leave_at > ROUND_S):
                self.step_down(now)
            elif self.view.voters == (self.own,) and not rest:
                self.released = True
        elif self.role is Role.FOLLOWING and self.primary is not None and now >= self.beat_at:
            self.beat_at = now + BEAT_S
            self.send(self.primary, t="leaving", n=self.view.epoch)

    def on_leaving(self, now: float, peer: str, word: Word) -> None:
        if self.role is Role.PRIMARY:
            self.membership.leaving[peer] = now
            if self.membership.may_go(now, self.view, peer):
                self.send(peer, t="released", n=self.epoch)

    def on_released(self, now: float, peer: str, word: Word) -> None:
        if self.leave_at is not None and word["n"] >= self.view.epoch:
            self.released = True

    def forget(self, now: float) -> None:
        """Drops those that are no voters and were not heard of for long: they are gone for good."""
        others = self.peers - self.view.members() - set(self.standbys)
        for peer in [p for p in self.seen if p not in others]:
            del self.seen[peer]
        for peer in others:
            if now - self.seen.setdefault(peer, now) > FORGET_S and self.in_touch(now):
                self.peers.discard(peer)
                del self.seen[peer]
                for some in (self.blanks, self.left_out, self.answered, self.membership.heard):
                    some.pop(peer, None)
                self.kept.localities.pop(peer, None)
                self.membership.taught.discard(peer)
                self.event(207, peer=peer)

    def lead(self, now: float) -> None:
        if now - self.confirmed(now) > ALIVE_S + BEAT_S or self.disk_hangs(now):
            self.step_down(now)
            return
        self.tell_intolerance()
        if now >= self.beat_at:
            self.beat_at = now + BEAT_S
            self.beat(now)
        if now >= self.change_at and self.due(now):
            self.change = self.membership.next_change(now, self.view, self.kept.localities)
            self.prepare(now)

    def tell_intolerance(self) -> None:
        """An event where the control servers at hand bear what may be lost no more, or do again."""
        why = self.intolerance()
        if why != self.told_intolerance:
            self.told_intolerance = why
            if why:
                self.event(215, why=why)
            else:
                self.event(216, voters=len(self.view.voters), copies="+".join(self.view.copies))

    def beat(self, now: float) -> None:
        self.standbys = self.membership.standbys(now, self.view)
        word = {
            "n": self.epoch, "view": self.view.plain(), "at": now, "lease": self.leads(now),
            "standbys": self.standbys, "digest": self.committed.digest,
        }  # fmt: skip
        for peer in sorted(self.peers):
            self.send(peer, t="beat", **word)

    def due(self, now: float) -> bool:
        """True where another view would be better than this one."""
        view, others = self.view, self.membership.others(now, self.view)
        lost = [c for c in view.copies if c != self.own and now - self.answered.get(c, -inf) > ROUND_S]
        able = [p for p in others if now - self.answered.get(p, -inf) < 2 * BEAT_S]
        few = not self.tolerance.as_many_as_can(view.copies, able, self.kept.localities)
        moves = bool(able) and any(c in self.membership.ends(now) for c in view.copies)
        unknown = any(self.left_out.get(peer) != life for peer, life in self.blanks.items())
        stuck = any(now - write.since > ROUND_S for write in self.open.values())
        changes = self.membership.next_change(now, view, self.kept.localities) is not None
        return bool(lost) or few or moves or unknown or stuck or changes or self.fenced

    def step_down(self, now: float) -> None:
        """Leads no longer, and says so: nobody need wait until it is missed."""
        self.event(202, epoch=self.epoch)
        self.follow(now)
        self.heard_at = self.helped_at = -inf  # it was bound to itself alone: it may help another at once
        for peer in sorted(self.peers):
            self.send(peer, t="free", n=self.epoch, ends=self.leave_at is not None)

    def begin(self, now: float) -> None:
        self.move(Role.PRIMARY)
        former, self.kept.view = self.view.former, self.view.settled()
        if former:
            self.view_ticket = self.save(now)
            self.event(206, joined="+".join(sorted(set(self.view.voters) - set(former))),
                       left="+".join(sorted(set(former) - set(self.view.voters))))  # fmt: skip
        if self.primary != self.own:
            self.membership.begin(now)
        self.led_epoch, self.change = self.epoch, None
        self.primary, self.heard_at, self.beat_at = self.own, now, now
        self.answered = {peer: self.accept_at for peer in self.accepted}
        self.number = max(self.number, newest(self.kept.items)[1])
        self.event(200, epoch=self.epoch, copies="+".join(self.view.copies), voters=len(self.view.voters))
        for key, item in self.kept.items.items():
            self.publish(key, item)
        self.end_open(True)  # what was under way is in what the copies took
        for peer, life in self.left_out.items():
            self.send(peer, t="readmit", view=self.view.plain(), life=life)
        self.lead(now)

    # Words.

    def saved(self, now: float, ticket: int) -> None:
        """The disk holds what was to be saved up to this ticket."""
        self.on_disk = max(self.on_disk, ticket)
        self.asked_disk = {t: at for t, at in self.asked_disk.items() if t > ticket}
        ready = [wait for wait in self.waits if wait[0] <= ticket]
        self.waits = [wait for wait in self.waits if wait[0] > ticket]
        for _, peer, word in ready:
            if peer == self.own:
                self.hear(now, self.own, word)
            else:
                self.send(peer, **word)
        self.settle(now)

    def hear(self, now: float, peer: str, word: Word) -> None:
        """A word of a peer; what is old or malformed does nothing."""
        handler = getattr(self, f"on_{word.get('t')}", None)
        if handler is not None:
            if peer in self.seen:
                self.seen[peer] = now
            handler(now, peer, word)

    def on_members(self, now: float, peer: str, word: Word) -> None:
        """Who counts, told to one that may know only some: it makes itself known to them."""
        for other in word["peers"][:PEERS_MOST]:
            if other != self.own and other not in self.peers:
                self.peers.add(other)
                self.send(other, t="join")

    def on_join(self, now: float, peer: str, word: Word) -> None:
        self.met(peer)

    def on_readmit(self, now: float, peer: str, word: Word) -> None:
        view = View.of(word["view"])
        if self.kept.blank and word["life"] == self.nonce and view.epoch >= self.kept.promised:
            self.kept.blank, self.kept.promised, self.kept.view = False, view.epoch, view
            self.event(204, epoch=view.epoch)
            self.save(now)

    def on_beat(self, now: float, peer: str, word: Word) -> None:
        view = View.of(word["view"])
        if word["n"] < self.kept.promised and not self.kept.blank:
            self.send(peer, t="old", n=word["n"], promised=self.kept.promised)
            return
        if word["n"] <= self.freed:
            return  # sent before the primary gave up: it came late
        if self.role is not Role.FOLLOWING:
            self.follow(now)
        self.primary, self.heard_at, self.bound_to = peer, now, peer
        self.compare(now, peer, word.get("digest"))
        if word["lease"]:
            self.lease_heard_at = now
        self.granted = set()
        self.stand_at = now + self.patience()
        self.standbys = list(word["standbys"])
        self.peers |= {*view.members(), *self.standbys[:PEERS_MOST]} - {self.own}
        if now >= self.tell_at:  # one that came while nobody led was told nothing: it would never stand by
            self.tell_at = now + TELL_S
            for other in sorted(self.peers - view.members() - set(self.standbys)):
                self.tell_members(other)
        if not self.kept.blank and view.newer(self.view):  # it was chosen: the word of it was lost on the way
            self.kept.promised, self.kept.view = max(self.kept.promised, view.epoch), view
            self.view_ticket = self.save(now)
        self.send_durable(  # only once the disk knows whom it is bound to
            self.view_ticket, peer, t="heard", n=word["n"], at=word["at"], pub=list(self.committed.newest),
            digest=self.committed.digest, stamps=self.stamps_due(now),
            blank=self.nonce if self.kept.blank else 0,
        )  # fmt: skip

    def on_old(self, now: float, peer: str, word: Word) -> None:
        if word["n"] == self.epoch and self.role is Role.PRIMARY:
            self.kept.promised = max(self.kept.promised, word["promised"])
            if peer in self.view.voters:
                self.change = None
                self.prepare(now)
            else:
                self.fenced = True

    def on_heard(self, now: float, peer: str, word: Word) -> None:
        if self.role is not Role.PRIMARY or word["n"] != self.epoch:
            return
        votes = peer in self.view.voters
        if word["blank"]:
            self.blanks[peer] = word["blank"]
            self.membership.taught.discard(peer)
            if self.left_out.get(peer) == word["blank"]:
                self.send(peer, t="readmit", view=self.view.plain(), life=word["blank"])
        else:
            self.blanks.pop(peer, None)
            if votes:
                self.answered[peer] = max(word["at"], self.answered.get(peer, -inf))
            elif peer not in self.membership.taught:
                self.transfer(peer)
        if not (votes and word["blank"]):
            self.membership.heard[peer] = now
        self.catch_up(peer, word)
