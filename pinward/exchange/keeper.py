"""The control state and who may change it: a primary, its copies, and witnesses that keep only epochs.

A view names an epoch, its primary, the copies and the voters. The primary answers a write once its own disk
and
every copy's disk hold it. Who takes over is decided by a majority of voters that keep, durably, the highest
epoch
they promised and the view they accepted; no log is replicated by them. A new view's copies hold all that the
former view acknowledged, since its proposer was a copy there and takes nothing more of it once it asks.

A disk that was lost forgot what it promised. Its machine says so (`blank`) and counts for no majority until a
view that was asked for and accepted without its word teaches it anew.

The machine does no I/O: `hear`, `tick`, `saved` and `propose` put what is to be done into `out`. Words that
promise something wait in here until the disk holds it. Written after Viewstamped Replication's view changes
and Vertical Paxos' use of a separate register of views (Lamport, Malkhi, Zhou 2009).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf
from random import Random
from typing import Any

BEAT_S = 0.15  # s between a primary's beats: six fit into a voter's patience
ALIVE_S = 0.8  # s after a beat in which a voter helps nobody else to lead: a read's lease rests on it
LEASE_S = 0.6  # s after a beat was sent in which a majority's answer to it lets the primary act
PATIENCE_S = 0.9  # s without a beat until a copy stands
SPREAD_S = 0.35  # s, drawn on top: two copies rarely stand at once
ROUND_S = 0.6  # s until an attempt to lead is given up, and until a copy's answer is missed
BACK_S = 0.1  # s after its start until a former primary stands: links come up meanwhile
FREE_S = 0.1  # s, drawn, until a copy stands whose primary gave up
TIE_S = 0.3  # s, drawn, until one that lost an epoch to a tie stands again: two rarely draw alike
PROBE_S = 0.3  # s for a majority to say that it would help: only then an epoch is used up
GATHER_S = 0.12  # s more, once a majority said yes, for enough copies to answer
PAUSE_S = 0.5  # s between two changes of view by a primary that lasts
DISK_S = 0.7  # s that the primary's own disk may take until another leads
ITEMS_MOST = 4096  # keys of the control state

Stamp = tuple[int, int]  # epoch and number of a write
Word = dict[str, Any]


class Role(Enum):
    FOLLOWING = auto()
    ASKING = auto()
    SYNCING = auto()
    SEATING = auto()
    PRIMARY = auto()


MOVES = {
    Role.FOLLOWING: (Role.ASKING,),
    Role.ASKING: (Role.SYNCING, Role.SEATING, Role.FOLLOWING),
    Role.SYNCING: (Role.SEATING, Role.FOLLOWING),
    Role.SEATING: (Role.PRIMARY, Role.FOLLOWING),
    Role.PRIMARY: (Role.ASKING, Role.FOLLOWING),
}


@dataclass(frozen=True)
class View:
    """Who holds the state in an epoch, and who votes on the next."""

    epoch: int
    primary: str
    copies: tuple[str, ...]
    voters: tuple[str, ...]

    def plain(self) -> list[Any]:
        return [self.epoch, self.primary, list(self.copies), list(self.voters)]

    @classmethod
    def of(cls, plain: list[Any]) -> View:
        return cls(plain[0], plain[1], tuple(plain[2]), tuple(plain[3]))


@dataclass
class Kept:
    """What the disk holds."""

    promised: int
    view: View
    blank: bool
    items: dict[str, list[Any]] = field(default_factory=dict)  # key: epoch, number, value

    def plain(self) -> dict[str, Any]:
        return {
            "promised": self.promised,
            "view": self.view.plain(),
            "blank": self.blank,
            "items": self.items,
        }

    @classmethod
    def of(cls, plain: dict[str, Any]) -> Kept:
        return cls(plain["promised"], View.of(plain["view"]), plain["blank"], plain["items"])


@dataclass
class Write:
    """A write under way at the primary."""

    ticket: int  # of its own disk
    key: str
    item: list[Any]
    lacking: set[str]  # copies that have yet to keep it
    since: float


def newest(items: dict[str, list[Any]]) -> Stamp:
    return max(((item[0], item[1]) for item in items.values()), default=(0, 0))


class Keeper:
    def __init__(self, own: str, kept: Kept, lost_most: int, seed: int | str, now: float) -> None:
        self.own, self.kept, self.lost_most, self.chance = own, kept, lost_most, Random(seed)
        self.role, self.epoch = Role.FOLLOWING, 0
        self.peers: set[str] = {peer for peer in kept.view.voters if peer != own}
        self.public: dict[str, list[Any]] = {}  # what a view has acknowledged
        self.primary: str | None = None  # as last heard
        self.heard_at = now  # a start counts: it may have answered a beat just before
        self.helped_at = -inf  # when it accepted a view
        self.bound_to = kept.view.primary  # whom these two times bind it to
        self.would: set[str] = set()  # who would help
        self.seat_at = -inf
        self.ticket = self.on_disk = self.view_ticket = 0
        self.asked_disk: dict[int, float] = {}  # tickets not yet saved, and since when
        self.waits: list[tuple[int, str, Word]] = []  # ticket, peer, word
        self.yes: dict[str, tuple[View, Stamp]] = {}
        self.blanks: set[str] = set()  # whose disk is lost, as heard
        self.left_out: set[str] = set()  # blanks known as the epoch in force was asked for
        self.outsiders: set[str] = set()  # who asks to count
        self.next_view: View | None = None
        self.base_view = kept.view
        self.synced: set[str] = set()
        self.seated: set[str] = set()
        self.round_at = self.gather_at = self.refused_at = inf
        self.beat_at = self.change_at = -inf
        self.answered: dict[str, float] = {}  # when the last beat that a peer answered was sent
        self.pubs: dict[str, Stamp] = {}
        self.number = newest(kept.items)[1]
        self.open: dict[int, Write] = {}
        # A primary that comes back has no lease any more, and whom it led may help it at once.
        self.stand_at = now + (BACK_S if kept.view.primary == own else self.patience())
        self.out: list[tuple[Any, ...]] = []

    # What the host asks.

    @property
    def view(self) -> View:
        return self.kept.view

    def leads(self, now: float) -> bool:
        """True where this machine may answer operators now."""
        return self.role is Role.PRIMARY and now - self.confirmed(now) < LEASE_S

    def fresh(self, now: float) -> bool:
        """True where what is public here is what the primary holds, but for what is on its way."""
        return self.leads(now) or (self.primary is not None and now - self.heard_at < PATIENCE_S)

    def met(self, peer: str) -> None:
        """A link to a control front stands."""
        if peer != self.own:
            self.peers.add(peer)
            if self.role is Role.FOLLOWING and self.would:
                self.send(peer, t="probe", n=self.kept.promised)
            if self.role is Role.PRIMARY and self.public:
                self.send(peer, t="told", n=self.epoch, items=self.public)

    def propose(self, now: float, key: str, value: Any) -> int | None:
        """Begins a write; its number, told by a `done` later, or None where this machine may not."""
        if not self.leads(now) or (key not in self.kept.items and len(self.kept.items) >= ITEMS_MOST):
            return None
        self.number += 1
        self.kept.items[key] = [self.epoch, self.number, value]
        ticket = self.save(now)
        others = {copy for copy in self.view.copies if copy != self.own}
        self.open[self.number] = Write(ticket, key, self.kept.items[key], others, now)
        for copy in others:
            self.send(copy, t="put", n=self.epoch, seq=self.number, key=key, value=value)
        return self.number

    # Plumbing.

    def send(self, peer: str, **word: Any) -> None:
        self.out.append(("send", peer, word))

    def save(self, now: float) -> int:
        self.ticket += 1
        self.asked_disk[self.ticket] = now
        self.out.append(("save", self.ticket, self.kept))
        return self.ticket

    def promise(self, ticket: int, peer: str, **word: Any) -> None:
        """Sends a word once the disk holds what it promises."""
        if peer == self.own:
            self.waits.append((ticket, peer, word))
        elif ticket <= self.on_disk:
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
        return PATIENCE_S + SPREAD_S * self.chance.random()

    @staticmethod
    def most(some: Iterable[str], voters: tuple[str, ...]) -> bool:
        return 2 * len(set(some) & set(voters)) > len(voters)

    # Time.

    def tick(self, now: float) -> None:
        """To be called each 50 ms or so."""
        if self.role is Role.PRIMARY:
            self.lead(now)
        elif self.role is not Role.FOLLOWING:
            self.go_on(now)
        elif now >= self.stand_at and not self.kept.blank and self.own in self.view.copies:
            self.stand_at = now + self.patience()
            if not self.disk_hangs(now):
                self.would, self.stand_at = {self.own}, now + PROBE_S
                for peer in self.peers:
                    self.send(peer, t="probe", n=self.kept.promised)
                self.consider(now)

    def consider(self, now: float) -> None:
        if self.role is Role.FOLLOWING and self.most(self.would, self.view.voters):
            self.event(201, epoch=self.kept.promised + 1, after=round(now - self.heard_at, 2))
            self.ask(now)

    def disk_hangs(self, now: float) -> bool:
        return bool(self.asked_disk) and now - min(self.asked_disk.values()) > DISK_S

    def confirmed(self, now: float) -> float:
        """When the last beat was sent that a majority has answered."""
        times = sorted((now if v == self.own else self.answered.get(v, -inf)) for v in self.view.voters)
        return times[(len(times) - 1) // 2]

    def lead(self, now: float) -> None:
        if now - self.confirmed(now) > ALIVE_S + BEAT_S or self.disk_hangs(now):
            self.step_down(now)
            return
        if now >= self.beat_at:
            self.beat_at = now + BEAT_S
            for peer in self.peers:
                self.send(peer, t="beat", n=self.epoch, view=self.view.plain(), at=now)
        if now < self.change_at:
            return
        lost = [c for c in self.view.copies if c != self.own and now - self.answered.get(c, -inf) > ROUND_S]
        able = [p for p in self.peers if now - self.answered.get(p, -inf) < 2 * BEAT_S]
        few = len(self.view.copies) <= self.lost_most and any(p not in self.view.copies for p in able)
        unknown = self.blanks - self.left_out
        stuck = any(now - write.since > ROUND_S for write in self.open.values())
        if lost or few or unknown or stuck or (self.outsiders - set(self.view.voters)):
            self.ask(now)

    def step_down(self, now: float) -> None:
        """Leads no longer, and says so: nobody need wait until it is missed."""
        self.event(202, epoch=self.epoch)
        self.follow(now)
        for peer in self.peers:
            self.send(peer, t="free", n=self.epoch)

    def follow(self, now: float) -> None:
        self.move(Role.FOLLOWING)
        self.primary = self.primary if self.primary != self.own else None
        self.stand_at = now + self.patience()
        for number in self.open:
            self.out.append(("done", number, False))
        self.open.clear()

    # Standing.

    def ask(self, now: float) -> None:
        """The first round: who helps this machine to lead the next epoch, and what they hold."""
        self.move(Role.ASKING)
        self.epoch = self.kept.promised + 1
        self.kept.promised = self.epoch
        self.yes, self.synced, self.seated, self.next_view = {}, set(), set(), None
        self.left_out = set(self.blanks)
        self.round_at, self.gather_at, self.refused_at = now + ROUND_S, inf, inf
        self.change_at = now + PAUSE_S
        ticket = self.save(now)
        stamp = newest(self.kept.items)
        self.promise(ticket, self.own, t="yes", n=self.epoch, view=self.view.plain(), stamp=list(stamp))
        for peer in self.peers:
            self.send(peer, t="ask", n=self.epoch)

    def go_on(self, now: float) -> None:
        if self.role is Role.ASKING and now >= self.gather_at:
            self.choose(now)
        elif self.role is Role.ASKING and self.gather_at == inf and now >= self.refused_at + GATHER_S:
            # Guards against two that stood at once and share the votes: each waited for its round and its
            # patience, 2 to 4 s in all. Harm: an epoch used up where an answer was late.
            self.follow(now)
            self.stand_at = now + TIE_S * self.chance.random()
        elif self.role is Role.SYNCING and now >= self.round_at - ROUND_S / 3:
            self.seat(now)
        elif now >= self.round_at:
            self.follow(now)

    def gather(self, now: float) -> None:
        view = max((view for view, _ in self.yes.values()), key=lambda v: v.epoch)
        if self.own not in self.yes or not self.most(self.yes, view.voters):
            return
        if self.gather_at == inf:
            self.gather_at = now + GATHER_S
        if len(self.yes) > self.lost_most and set(view.copies) <= set(self.yes):
            self.choose(now)

    def choose(self, now: float) -> None:
        """A majority said yes: the copies of the next view, which take the whole state."""
        view = max((view for view, _ in self.yes.values()), key=lambda v: v.epoch)
        if self.own not in view.copies:  # what it holds may be old
            self.follow(now)
            return
        others = sorted(self.yes, key=lambda p: (p not in view.copies, p))
        others = [p for p in others if p != self.own]
        others += sorted(p for p in self.left_out if p in view.voters and p != self.own)
        copies = (self.own, *others[: self.lost_most])
        joined = sorted(self.outsiders - set(view.voters))[:1]
        voters = tuple(sorted({*view.voters, *joined}))
        self.base_view = view
        self.next_view = View(self.epoch, self.own, copies, voters)
        self.move(Role.SYNCING)
        self.round_at, self.synced = now + ROUND_S, {self.own}
        for copy in copies[1:]:
            self.send(copy, t="sync", n=self.epoch, items=self.kept.items)
        if len(copies) == 1:
            self.seat(now)

    def seat(self, now: float) -> None:
        """The second round: those that hold the state are named in a view for a majority to accept."""
        view = self.next_view
        if view is None or (len(self.synced) < 2 and self.lost_most > 0 and len(view.voters) > 1):
            self.follow(now)
            return
        copies = tuple(copy for copy in view.copies if copy in self.synced)
        self.next_view = View(view.epoch, view.primary, copies, view.voters)
        self.move(Role.SEATING)
        self.round_at, self.seat_at = now + ROUND_S, now
        self.take_seat(now, self.own, self.next_view)
        for peer in set(view.voters) | set(self.base_view.voters):
            if peer != self.own:
                self.send(peer, t="seat", view=self.next_view.plain())

    def take_seat(self, now: float, asker: str, view: View) -> None:
        self.kept.promised, self.kept.view = view.epoch, view
        self.view_ticket = self.save(now)
        self.promise(self.view_ticket, asker, t="seated", n=view.epoch)

    def begin(self, now: float) -> None:
        """A majority accepted the view: this machine leads it."""
        self.move(Role.PRIMARY)
        self.primary, self.heard_at, self.beat_at = self.own, now, now
        self.answered = {peer: self.seat_at for peer in self.seated}
        self.number = max(self.number, newest(self.kept.items)[1])
        self.outsiders -= set(self.view.voters)
        self.event(200, epoch=self.epoch, copies="+".join(self.view.copies), voters=len(self.view.voters))
        for key, item in self.kept.items.items():
            self.publish(key, item)
        for number in list(self.open):  # what was under way is in what the copies took
            self.out.append(("done", number, True))
        self.open.clear()
        for peer in self.left_out & set(self.view.voters):
            self.send(peer, t="teach", view=self.view.plain())
        self.lead(now)

    def publish(self, key: str, item: list[Any]) -> None:
        held = self.public.get(key)
        if held is None or (held[0], held[1]) < (item[0], item[1]):
            self.public[key] = list(item)
            self.out.append(("took", key, item[2]))
            for peer in self.peers:
                self.send(peer, t="told", n=self.epoch, items={key: item})

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
            handler(now, peer, word)

    def loyal(self, now: float, asker: str) -> bool:
        """True while another primary than `asker` may act on this voter's word, or this is one."""
        bound = now - max(self.heard_at, self.helped_at) < ALIVE_S and asker != self.bound_to
        return bound or (self.role is Role.PRIMARY and now - self.confirmed(now) < ALIVE_S)

    def on_probe(self, now: float, peer: str, word: Word) -> None:
        if self.kept.blank:
            self.send(peer, t="blank", n=word["n"])
        elif not self.loyal(now, peer):
            self.send(peer, t="would", n=word["n"])

    def on_would(self, now: float, peer: str, word: Word) -> None:
        self.would.add(peer)
        self.consider(now)

    def on_ask(self, now: float, peer: str, word: Word) -> None:
        if self.kept.blank:
            self.send(peer, t="blank", n=word["n"])
            return
        if word["n"] <= self.kept.promised or self.loyal(now, peer):
            self.send(peer, t="no", n=word["n"], promised=self.kept.promised)
            return
        if self.role is not Role.FOLLOWING:
            self.follow(now)
        self.kept.promised = word["n"]
        self.stand_at = now + self.patience()
        stamp = list(newest(self.kept.items))
        self.promise(self.save(now), peer, t="yes", n=word["n"], view=self.view.plain(), stamp=stamp)

    def on_yes(self, now: float, peer: str, word: Word) -> None:
        if self.role is Role.ASKING and word["n"] == self.epoch:
            self.yes[peer] = (View.of(word["view"]), tuple(word["stamp"]))
            self.gather(now)

    def on_no(self, now: float, peer: str, word: Word) -> None:
        if word["n"] != self.epoch or self.role is not Role.ASKING:
            return
        self.kept.promised = max(self.kept.promised, word["promised"])
        if word["promised"] > self.epoch:
            self.follow(now)
        else:
            self.refused_at = min(self.refused_at, now)

    def on_blank(self, now: float, peer: str, word: Word) -> None:
        self.blanks.add(peer)

    def on_free(self, now: float, peer: str, word: Word) -> None:
        """The primary that this machine was bound to leads no longer."""
        if self.role is Role.FOLLOWING and peer == self.bound_to and word["n"] >= self.view.epoch:
            self.heard_at = self.helped_at = -inf
            self.primary = None
            if self.own in self.view.copies:
                self.stand_at = now + FREE_S * self.chance.random()

    def on_sync(self, now: float, peer: str, word: Word) -> None:
        if word["n"] < self.kept.promised:
            return
        if self.role is not Role.FOLLOWING:
            self.follow(now)
        if not self.kept.blank:
            self.kept.promised = word["n"]
        self.kept.items = {key: list(item) for key, item in word["items"].items()}
        self.stand_at = now + self.patience()
        self.promise(self.save(now), peer, t="synced", n=word["n"])

    def on_synced(self, now: float, peer: str, word: Word) -> None:
        if self.role is Role.SYNCING and word["n"] == self.epoch and self.next_view is not None:
            self.synced.add(peer)
            if set(self.next_view.copies) <= self.synced:
                self.seat(now)

    def on_seat(self, now: float, peer: str, word: Word) -> None:
        view = View.of(word["view"])
        if self.kept.blank or view.epoch < self.kept.promised:
            return
        if self.role is not Role.FOLLOWING:
            self.follow(now)
        self.stand_at, self.helped_at, self.bound_to = now + self.patience(), now, peer
        self.take_seat(now, peer, view)

    def on_seated(self, now: float, peer: str, word: Word) -> None:
        if self.role is Role.SEATING and word["n"] == self.epoch and self.next_view is not None:
            self.seated.add(peer)
            if self.most(self.seated, self.next_view.voters) and self.most(
                self.seated, self.base_view.voters
            ):
                self.begin(now)

    def on_teach(self, now: float, peer: str, word: Word) -> None:
        view = View.of(word["view"])
        if self.kept.blank and view.epoch >= self.kept.promised:
            self.kept.blank, self.kept.promised, self.kept.view = False, view.epoch, view
            self.event(204, epoch=view.epoch)
            self.save(now)

    def on_beat(self, now: float, peer: str, word: Word) -> None:
        view = View.of(word["view"])
        if word["n"] < self.kept.promised and not self.kept.blank:
            self.send(peer, t="old", n=word["n"], promised=self.kept.promised)
            return
        if self.role is not Role.FOLLOWING:
            self.follow(now)
        self.primary, self.heard_at, self.bound_to = peer, now, peer
        self.would = set()
        self.stand_at = now + self.patience()
        self.peers |= set(view.voters) - {self.own}
        if (
            not self.kept.blank and view.epoch > self.view.epoch
        ):  # it was chosen: its seat was lost on the way
            self.kept.promised, self.kept.view = max(self.kept.promised, view.epoch), view
            self.view_ticket = self.save(now)
        self.promise(  # only once the disk knows whom it is bound to
            self.view_ticket, peer, t="heard", n=word["n"], at=word["at"], pub=list(newest(self.public)),
            blank=self.kept.blank, out=self.own not in view.voters,
        )  # fmt: skip

    def on_old(self, now: float, peer: str, word: Word) -> None:
        if word["n"] == self.epoch and self.role is Role.PRIMARY:
            self.kept.promised = max(self.kept.promised, word["promised"])
            self.ask(now)

    def on_heard(self, now: float, peer: str, word: Word) -> None:
        if self.role is not Role.PRIMARY or word["n"] != self.epoch:
            return
        if word["blank"]:
            self.blanks.add(peer)
            if peer in self.left_out:
                self.send(peer, t="teach", view=self.view.plain())
        else:
            self.blanks.discard(peer)
            self.answered[peer] = max(word["at"], self.answered.get(peer, -inf))
            if word["out"]:
                self.outsiders.add(peer)
        pub = tuple(word["pub"])
        if pub < newest(self.public) and self.pubs.get(peer) == pub:  # twice so: not merely on its way
            items = {key: item for key, item in self.public.items() if (item[0], item[1]) > pub}
            self.send(peer, t="told", n=self.epoch, items=items)
        self.pubs[peer] = pub  # type: ignore[assignment]

    def on_put(self, now: float, peer: str, word: Word) -> None:
        if self.kept.blank or word["n"] != self.kept.promised or self.view.epoch != word["n"]:
            return
        held = self.kept.items.get(word["key"])
        if held is None or (held[0], held[1]) < (word["n"], word["seq"]):  # else a later one came before it
            self.kept.items[word["key"]] = [word["n"], word["seq"], word["value"]]
        self.promise(self.save(now), peer, t="kept", n=word["n"], seq=word["seq"])

    def on_kept(self, now: float, peer: str, word: Word) -> None:
        if self.role is Role.PRIMARY and word["n"] == self.epoch and word["seq"] in self.open:
            self.open[word["seq"]].lacking.discard(peer)
            self.settle(now)

    def on_told(self, now: float, peer: str, word: Word) -> None:
        for key, item in word["items"].items():
            held = self.public.get(key)
            if held is None or (held[0], held[1]) < (item[0], item[1]):
                self.public[key] = list(item)
                self.out.append(("took", key, item[2]))

    def settle(self, now: float) -> None:
        """Ends the writes that all disks of the view hold."""
        if self.role is not Role.PRIMARY:
            return
        for number, write in list(self.open.items()):
            if write.ticket <= self.on_disk and not write.lacking:
                del self.open[number]
                self.publish(write.key, write.item)  # what came after it may not be held by all yet
                self.out.append(("done", number, True))
