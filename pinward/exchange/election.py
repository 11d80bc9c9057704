"""Who leads next, and by which view: pre-vote, prepare, state transfer, accept.

A proposer that sees a view with former voters needs majorities of both sets, and proposes the same two sets
again: it can't know that the view was chosen. Only a primary that acts knows it; it drops the former voters,
and only then may the next change of the voters begin.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from pinward.exchange.replication import Replication
from pinward.exchange.view import (
    FREE_S,
    GATHER_S,
    LATER_S,
    PAUSE_S,
    PRE_VOTE_S,
    ROUND_S,
    TIE_S,
    Kept,
    Role,
    Stamp,
    View,
    Word,
    localities_of,
    newest,
)
from pinward.plan.fault_tolerance import FaultTolerance


class Election(Replication):
    def __init__(
        self, own: str, kept: Kept, tolerance: FaultTolerance, seed: int | str, now: float
    ) -> None:
        super().__init__(own, kept, tolerance, seed, now)
        self.granted: set[str] = set()  # who would help
        self.promises: dict[str, tuple[View, Stamp]] = {}
        self.blanks: dict[str, int] = {}  # whose disk is lost, as heard, and in which life
        self.left_out: dict[str, int] = {}  # blanks known as the epoch in force was asked for
        self.next_view: View | None = None
        self.base_view = kept.view
        self.order: list[str] = []  # who may hold a copy in the next view, the best first
        self.awaited: set[str] = set()  # whose disks are waited for
        self.offered: set[str] = set()  # who was sent the whole state
        self.offered_others = False
        self.transferred: set[str] = set()  # who has it on disk
        self.accepted: set[str] = set()
        self.accept_at = -inf
        self.round_at = self.gather_at = self.refused_at = inf
        self.beat_at = self.change_at = -inf
        self.freed = -1  # the last epoch that its primary gave up
        self.fenced = False  # a standby promised a later epoch: it can't count until this one is later

    # Majorities.

    def quorum(self, view: View, some: Iterable[str]) -> bool:
        """True where `some` can decide after this view, or on it."""
        return view.quorum(some)

    # Standing.

    def stand(self, now: float) -> None:
        """No primary is heard: would a majority help?"""
        self.stand_at = now + self.patience()
        if not self.disk_hangs(now):
            self.granted, self.stand_at = {self.own}, now + PRE_VOTE_S
            for peer in sorted(self.peers):
                self.ask_pre_vote(peer)
            self.consider(now)

    def ask_pre_vote(self, peer: str) -> None:
        self.send(peer, t="pre_vote", n=self.kept.promised, epoch=self.view.epoch)

    def consider(self, now: float) -> None:
        if self.role is Role.FOLLOWING and self.quorum(self.view, self.granted):
            self.event(201, epoch=self.kept.promised + 1, after=round(now - self.heard_at, 2))
            self.change = None
            self.prepare(now)

    def on_pre_vote(self, now: float, peer: str, word: Word) -> None:
        if self.kept.blank:
            self.send(peer, t="blank", n=word["n"], life=self.nonce)
        elif not self.lease_held(now, peer) and (
            peer in self.view.copies or word["epoch"] >= self.view.epoch
        ):  # Guards against one that lost its seat while it was cut off. Harm: an epoch used up for nothing.
            self.send(peer, t="pre_granted", n=word["n"])

    def on_pre_granted(self, now: float, peer: str, word: Word) -> None:
        self.granted.add(peer)
        self.consider(now)

    def on_blank(self, now: float, peer: str, word: Word) -> None:
        self.blanks[peer] = word["life"]

    def on_free(self, now: float, peer: str, word: Word) -> None:
        """The primary that this machine was bound to leads no longer."""
        if self.role is Role.FOLLOWING and peer == self.bound_to and word["n"] >= self.view.epoch:
            self.freed = word["n"]
            self.heard_at = self.helped_at = self.lease_heard_at = -inf
            self.primary = None
            if word["ends"]:
                self.membership.leaving[peer] = now
            if self.own in self.view.copies:
                later = LATER_S if self.leave_at is not None else 0.0
                self.stand_at = now + FREE_S * self.chance.random() + later

    # The first round.

    def prepare(self, now: float) -> None:
        """Who helps this machine to lead the next epoch, and what they hold."""
        self.move(Role.PREPARING)
        self.epoch = self.kept.promised + 1
        self.kept.promised = self.epoch
        self.promises, self.transferred, self.accepted, self.next_view = {}, set(), set(), None
        self.left_out = dict(self.blanks)
        self.fenced = False
        self.round_at, self.gather_at, self.refused_at = now + ROUND_S, inf, inf
        self.change_at = now + PAUSE_S
        ticket = self.save(now)
        stamp = list(newest(self.kept.items))
        self.send_durable(ticket, self.own, t="promise", n=self.epoch, view=self.view.plain(), stamp=stamp)
        for peer in sorted(self.peers):
            self.send(peer, t="prepare", n=self.epoch)

    def go_on(self, now: float) -> None:
        if self.role is Role.PREPARING and now >= self.gather_at:
            self.choose(now)
        elif self.role is Role.PREPARING and self.gather_at == inf and now >= self.refused_at + GATHER_S:
            # Guards against two that stood at once and share the votes: each waited for its round and its
            # patience, 2 to 4 s in all. Harm: an epoch used up where an answer was late.
            self.follow(now)
            self.stand_at = now + TIE_S * self.chance.random()
        elif self.role is Role.TRANSFERRING and now >= self.round_at - ROUND_S / 3:
            if not self.transfer_to_others(now):
                self.ask_accept(now)
        elif now >= self.round_at:
            self.follow(now)

    def on_prepare(self, now: float, peer: str, word: Word) -> None:
        if self.kept.blank:
            self.send(peer, t="blank", n=word["n"], life=self.nonce)
            return
        if word["n"] <= self.kept.promised or self.lease_held(now, peer):
            self.send(peer, t="refuse", n=word["n"], promised=self.kept.promised)
            return
        if self.role is not Role.FOLLOWING:
            self.follow(now)
        self.kept.promised = word["n"]
        self.stand_at = now + self.patience()
        stamp = list(newest(self.kept.items))
        self.send_durable(self.save(now), peer, t="promise", n=word["n"], view=self.view.plain(), stamp=stamp)

    def on_promise(self, now: float, peer: str, word: Word) -> None:
        if self.role is Role.PREPARING and word["n"] == self.epoch:
            self.promises[peer] = (View.of(word["view"]), tuple(word["stamp"]))
            self.gather(now)

    def on_refuse(self, now: float, peer: str, word: Word) -> None:
        if word["n"] != self.epoch or self.role is not Role.PREPARING:
            return
        self.kept.promised = max(self.kept.promised, word["promised"])
        if word["promised"] > self.epoch:
            self.follow(now)
        else:
            self.refused_at = min(self.refused_at, now)

    def base(self) -> View:
        """The newest view that was told."""
        found = self.view
        for view, _ in self.promises.values():
            found = view if view.newer(found) else found
        return found

    def gather(self, now: float) -> None:
        view = self.base()
        if self.own not in self.promises or not self.quorum(view, self.promises):
            return
        if self.gather_at == inf:
            self.gather_at = now + GATHER_S
        stays = (set(self.promises) & set(view.voters)) - self.membership.ends(now)
        enough = self.tolerance.keeps_a_copy(stays, self.kept.localities)
        if enough and set(view.copies) <= set(self.promises):
            self.choose(now)

    # State transfer.

    def choose(self, now: float) -> None:
        """A majority promised: the copies of the next view, and a newcomer, take the whole state."""
        view = self.base()
        if self.own not in view.copies:  # what it holds may be old
            self.follow(now)
            return
        if view.epoch != self.led_epoch or view.former:
            self.change = None  # whether the view was chosen can't be known here
        voters = self.change.voters(view) if self.change is not None else view.voters
        former = view.voters if self.change is not None else view.former
        ends = self.membership.ends(now)
        blank = [p for p in self.left_out if p not in self.promises]
        able = {*self.promises, *blank} & {*view.voters, *voters} - {self.own}
        self.order = [
            self.own,
            *sorted(able, key=lambda p: (p not in voters, p in ends, p in blank, p not in view.copies, p)),
        ]
        copies = self.tolerance.choose_copies(self.order, self.kept.localities)
        self.awaited = {p for p in copies if p in voters}
        if self.change is not None and self.change.newcomer is not None:
            self.awaited.add(self.change.newcomer)
        spare = [p for p in view.copies if p in able and self.change is not None]  # should a copy not take it
        self.base_view = view
        self.next_view = View(self.epoch, self.own, tuple(copies), voters, former)
        self.move(Role.TRANSFERRING)
        self.round_at, self.transferred = now + ROUND_S, {self.own}
        self.offered, self.offered_others = set(), False
        self.offer({*self.awaited, *spare})
        if self.awaited <= self.transferred:
            self.ask_accept(now)

    def offer(self, some: set[str]) -> None:
        """Sends the whole state to those that may hold a copy in the next view."""
        self.offered |= some
        for peer in sorted(some - {self.own}):
            self.transfer(peer)

    def transfer(self, peer: str) -> None:
        """Sends the whole state."""
        self.send(peer, t="transfer", n=self.epoch, items=self.kept.items, localities=self.kept.localities)

    def transfer_to_others(self, now: float) -> bool:
        """Offers the state to all that promised, where those chosen are late; False where that is done."""
        if self.next_view is None or self.enough_copies(self.next_view):
            return False
        others = set(self.order) & set(self.next_view.voters) - self.offered
        if not others:
            return False
        self.round_at, self.offered_others = now + ROUND_S, True
        self.offer(others)
        return True

    def others_took_it(self) -> bool:
        """True where those chosen were late, and enough others took the state."""
        return self.offered_others and self.next_view is not None and self.enough_copies(self.next_view)

    def enough_copies(self, view: View) -> bool:
        """True where as many of a view's voters hold the whole state as may lose it, and one more."""
        return self.suffices(self.transferred, view)

    def suffices(self, copies: Iterable[str], view: View) -> bool:
        """True where these copies outlast what may be lost, or no voter more would bring them nearer."""
        some = set(copies) & set(view.voters)
        return self.tolerance.as_many_as_can(some, view.voters, self.kept.localities)

    def chosen_copies(self, hold: list[str], view: View) -> tuple[str, ...]:
        """The copies of a view among those that hold the whole state."""
        some = [peer for peer in hold if peer in view.voters]
        return tuple(self.tolerance.choose_copies(some, self.kept.localities))

    def on_transfer(self, now: float, peer: str, word: Word) -> None:
        if word["n"] < self.kept.promised:
            return
        if self.role is not Role.FOLLOWING:
            self.follow(now)
        if not self.kept.blank:
            self.kept.promised = word["n"]
        self.kept.items = {key: list(item) for key, item in word["items"].items()}
        self.kept.localities = {**localities_of(word.get("localities")), **self.kept.localities}
        self.stand_at = now + self.patience()
        self.send_durable(self.save(now), peer, t="transferred", n=word["n"])

    def on_transferred(self, now: float, peer: str, word: Word) -> None:
        if word["n"] != self.epoch:
            return
        if self.role is Role.TRANSFERRING:
            self.transferred.add(peer)
            if self.awaited <= self.transferred or self.others_took_it():
                self.ask_accept(now)
        elif self.role is Role.PRIMARY and peer not in self.blanks:
            self.membership.taught.add(peer)

    # The second round.

    def ask_accept(self, now: float) -> None:
        """Those that hold the state are named in a view for a majority to accept."""
        view, base = self.next_view, self.base_view
        if view is None:
            self.follow(now)
            return
        hold = [p for p in self.order if p in self.transferred]
        copies = self.chosen_copies(hold, view)
        if self.change is not None:
            came = self.change.newcomer
            fewer = not self.suffices(copies, view)
            if fewer or (came is not None and came not in self.transferred):
                # A change of the voters never costs a copy, and nobody counts untaught.
                self.change = None
                if came is not None and came not in self.transferred:
                    # Guards against one whose disk hangs. Harm: each try holds up writes, without end.
                    self.membership.taught.discard(came)
                view = View(view.epoch, view.primary, (), base.voters, base.former)
                copies = self.chosen_copies(hold, view)
        if not self.suffices(copies, view):
            self.follow(now)
            return
        self.next_view = View(view.epoch, view.primary, copies, view.voters, view.former)
        self.move(Role.ACCEPTING)
        self.round_at, self.accept_at = now + ROUND_S, now
        self.accept(now, self.own, self.next_view)
        for peer in sorted(self.next_view.members() | base.members()):
            if peer != self.own:
                self.send(peer, t="accept", view=self.next_view.plain())

    def accept(self, now: float, asker: str, view: View) -> None:
        if view.epoch > self.view.epoch:
            self.kept.promised, self.kept.view = view.epoch, view
            self.view_ticket = self.save(now)
        self.send_durable(self.view_ticket, asker, t="accepted", n=view.epoch)

    def on_accept(self, now: float, peer: str, word: Word) -> None:
        view = View.of(word["view"])
        if self.kept.blank or view.epoch < self.kept.promised:
            return
        if self.role is not Role.FOLLOWING:
            self.follow(now)
        self.stand_at, self.helped_at, self.bound_to = now + self.patience(), now, peer
        self.accept(now, peer, view)

    def on_accepted(self, now: float, peer: str, word: Word) -> None:
        if self.role is Role.ACCEPTING and word["n"] == self.epoch and self.next_view is not None:
            self.accepted.add(peer)
            if self.quorum(self.next_view, self.accepted):
                self.begin(now)

    def begin(self, now: float) -> None:
        """Majorities accepted the view: this machine leads it, and knows that it was chosen."""
        raise NotImplementedError

    def follow(self, now: float) -> None:
        self.move(Role.FOLLOWING)
        self.primary = self.primary if self.primary != self.own else None
        self.stand_at = now + self.patience()
        self.end_open(False)
