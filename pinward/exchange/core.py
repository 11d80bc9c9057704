"""What the parts of a keeper share: its state, what it puts into `out`, and words that wait for the disk."""

from __future__ import annotations

from math import inf
from random import Random
from typing import Any

from pinward.exchange.committed import Committed
from pinward.exchange.membership import Change, Membership
from pinward.exchange.view import (
    ALIVE_S,
    BACK_S,
    DISK_S,
    LATER_S,
    MOVES,
    PATIENCE_S,
    SPREAD_S,
    Kept,
    Role,
    View,
    Word,
    newest,
)

from pinward.plan.fault_tolerance import FaultTolerance


class Core:
    def __init__(
        self, own: str, kept: Kept, tolerance: FaultTolerance, seed: int | str, now: float
    ) -> None:
        self.own, self.kept, self.tolerance, self.chance = own, kept, tolerance, Random(seed)
        self.role, self.epoch = Role.FOLLOWING, 0
        self.peers: set[str] = kept.view.members() - {own}
        self.seen: dict[str, float] = {}  # when those that are no voters were last heard of
        self.primary: str | None = None  # as last heard
        self.heard_at = now  # a start counts: it may have answered a beat just before
        self.helped_at = -inf  # when it accepted a view
        self.bound_to = kept.view.primary  # whom these two times bind it to
        self.lease_heard_at = -inf  # when a beat last came of a primary that held its lease
        self.standbys: list[str] = []  # as the primary tells
        self.tell_at = -inf  # when those that the primary doesn't know are told who counts
        self.ticket = self.on_disk = self.view_ticket = 0
        self.asked_disk: dict[int, float] = {}  # tickets not yet saved, and since when
        self.waits: list[tuple[int, str, Word]] = []  # ticket, peer, word
        self.nonce = self.chance.getrandbits(48) + 1  # of this life: who is readmitted is this one
        self.membership = Membership(own, tolerance)
        self.change: Change | None = None  # of the voters, to come with the view that is asked for
        self.led_epoch = -1  # the last epoch that this process led: its view is known to be chosen
        self.leave_at: float | None = None  # when it was told to end
        self.released = False  # nothing here is needed any more: the process may end
        # A primary that comes back has no lease any more, and whom it led may help it at once.
        self.stand_at = now + (BACK_S if kept.view.primary == own else self.patience())
        self.number = newest(kept.items)[1]
        self.answered: dict[str, float] = {}  # when the last beat that a peer answered was sent
        self.committed = Committed()  # what views have acknowledged, as far as it was told here
        self.differs_since: float | None = now  # since when the primary's digest is another; None: it is not
        self.differs_told = False
        self.told_intolerance = ""  # why writes are refused, as an event last told it
        self.ask_items_at = -inf  # when the primary may be told again what is held here
        self.out: list[tuple[Any, ...]] = []

    @property
    def view(self) -> View:
        return self.kept.view

    @property
    def public(self) -> dict[str, list[Any]]:
        """What views have acknowledged, by key."""
        return self.committed.items

    def send(self, peer: str, **word: Any) -> None:
        self.out.append(("send", peer, word))

    def save(self, now: float) -> int:
        self.ticket += 1
        self.asked_disk[self.ticket] = now
        self.out.append(("save", self.ticket, self.kept))
        return self.ticket

    def send_durable(self, ticket: int, peer: str, **word: Any) -> None:
        """Sends a word once the disk holds what it promises."""
        if peer != self.own and ticket <= self.on_disk:
            self.send(peer, **word)
        else:
            self.waits.append((ticket, peer, word))

    def event(self, number: int, **facts: Any) -> None:
        self.out.append(("event", number, facts))

    def move(self, role: Role) -> None:
        """The one place where the role changes."""
        if role is not self.role and role not in MOVES[self.role]:
            raise ValueError(f"a keeper cannot go from {self.role.name} to {role.name}")
        self.role = role

    def patience(self) -> float:
        later = LATER_S if self.leave_at is not None else 0.0
        return PATIENCE_S + SPREAD_S * self.chance.random() + later

    def disk_hangs(self, now: float) -> bool:
        return bool(self.asked_disk) and now - min(self.asked_disk.values()) > DISK_S

    def confirmed(self, now: float) -> float:
        """When the last beat was sent that a majority has answered."""
        times = sorted((now if v == self.own else self.answered.get(v, -inf)) for v in self.view.voters)
        return times[(len(times) - 1) // 2]

    def lease_held(self, now: float, asker: str) -> bool:
        """True while another primary than `asker` may act on this voter's word, or this is one."""
        bound = now - max(self.heard_at, self.helped_at) < ALIVE_S and asker != self.bound_to
        return bound or (self.role is Role.PRIMARY and now - self.confirmed(now) < ALIVE_S)
