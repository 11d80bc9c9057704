"""Many cores in simulated time: links that are cut, slow or lose words, disks, clocks of unlike rates, kills.

The same cores that run for real are played here by one seeded `Random`, for sizes past one machine and for
tests that must come out the same each time. It also checks, at every step, what may never be.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from math import inf
from random import Random
from typing import Any

from pinward.events import Events
from pinward.lead.core import Core
from pinward.lead.fence import Answer, Fence
from pinward.lead.ledger import Decision, Ledger
from pinward.lead.terms import Base, Entry, Kept, Members, Pace, Role, Save, Sort

PACE = Pace(wait_s=1.0, beat_s=0.2, skew=0.1)
FOLD_AT = 200  # entries, after which a simulated instance folds its log


class BrokenError(AssertionError):
    """Something happened that may never happen."""


@dataclass
class Actor:
    """One simulated instance."""

    name: str
    disk: Kept  # what it has saved
    rate: float = 1.0  # of its clock, against true time
    offset: float = 0.0
    core: Core | None = None  # None while it is dead
    ledger: Ledger = field(default_factory=lambda: Ledger(3))
    paused_until: float = 0.0
    waiting: list[Callable[[], None]] = field(default_factory=list)  # what came while it was paused
    life: int = 0
    wakes_at: float = inf  # in true time
    saved_at: float = 0.0  # when the last save asked for is done: a disk takes them in turn


class Installation(Events):
    """Instances, the links between them, and one that applies."""

    def __init__(self, size: int, seed: int, pace: Pace = PACE, learners: int = 0) -> None:
        super().__init__()
        self.chance, self.pace = Random(seed), pace
        self.names = [f"i{n}" for n in range(size)]
        voters = frozenset(self.names[: size - learners])
        where = tuple((n, "127.0.0.1:1") for n in self.names)
        self.members = Members(voters, frozenset(self.names) - voters, where)
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.delay_s, self.save_s, self.loss = 0.005, 0.002, 0.0
        self.actors: dict[str, Actor] = {}
        self.fence, self.fenced = Fence(), 0
        self.applied: list[tuple[int, int, str, str]] = []  # place, epoch of the leader, identity, leader
        self.promised: dict[str, float] = {}  # identities that a leader called committed, and when
        self.leaders: dict[int, str] = {}  # by epoch
        self.history: list[tuple[int, Any]] = []  # committed: index, entry, as any instance first saw it
        self.leaderless: list[tuple[float, float]] = []  # from, to
        self.quiet_since: float | None = 0.0
        for name in self.names:
            self.actors[name] = Actor(name, Kept(0, None, Base(0, 0, self.members, None)))
            self.start(name)

    # What happens when.

    def local(self, actor: Actor) -> float:
        return actor.offset + self.now * actor.rate

    def start(self, name: str) -> None:
        actor = self.actors[name]
        kept = actor.disk.copy()
        actor.life += 1
        actor.paused_until = 0.0
        actor.waiting.clear()
        actor.core = Core(name, kept, self.pace, self.chance.randrange(2**32), self.local(actor))
        actor.ledger = Ledger(3)
        actor.wakes_at = inf
        self.settle(actor)

    def kill(self, name: str) -> None:
        self.actors[name].core = None
        self.actors[name].life += 1
        self.watch()

    def pause(self, name: str, seconds: float) -> None:
        actor = self.actors[name]
        actor.paused_until = max(actor.paused_until, self.now + seconds)
        self.at(actor.paused_until, lambda: self.resume(actor))

    def resume(self, actor: Actor) -> None:
        if self.now >= actor.paused_until and actor.core:
            waiting, actor.waiting = actor.waiting, []
            for what in waiting:
                what()

    def do(self, actor: Actor, life: int, what: Callable[[Core], None]) -> None:
        """Something for an instance to do: at once, after its pause, or never where it died meanwhile."""
        if actor.core is None or actor.life != life:
            return
        if self.now < actor.paused_until:
            actor.waiting.append(lambda: self.do(actor, life, what))
            return
        what(actor.core)
        self.settle(actor)

    def wake(self, actor: Actor, life: int) -> None:
        def tick(core: Core) -> None:
            actor.wakes_at = inf
            if self.local(actor) >= core.wake_at:
                core.tick(self.local(actor))

        self.do(actor, life, tick)

    def set_alarm(self, actor: Actor, core: Core) -> None:
        """A tick when the core next wants one, unless there will be one earlier."""
        due = max((core.wake_at - actor.offset) / actor.rate, self.now) + 1e-6
        if due < actor.wakes_at:
            actor.wakes_at = due
            self.at(due, partial(self.wake, actor, actor.life))

    def settle(self, actor: Actor) -> None:
        """Carries out what a core asks for, and checks."""
        core, life = actor.core, actor.life
        assert core is not None
        for peer, word in core.sends:
            self.send(actor.name, peer, word)
        core.sends.clear()
        saves, core.saves = core.saves, []
        for save in saves:
            actor.saved_at = max(self.now + self.save_s * (0.5 + self.chance.random()), actor.saved_at)
            self.at(actor.saved_at, partial(self.saved, actor, life, save))
        core.notes.clear()
        if (jump := core.take_jump()) is not None:
            actor.ledger = Ledger.of(3, jump.state)
        for entry in core.take_committed():
            self.committed(actor, entry)
        if core.applied - core.base.index >= FOLD_AT:
            core.fold(core.applied, actor.ledger.plain())
        if core.role is Role.LEADING:
            if self.leaders.setdefault(core.epoch, actor.name) != actor.name:
                raise BrokenError(f"two leaders in epoch {core.epoch}")
            self.act(actor, core)
        self.set_alarm(actor, core)
        self.watch()

    def saved(self, actor: Actor, life: int, save: Save) -> None:
        if actor.core is None or actor.life != life:
            return
        if self.now < actor.paused_until:
            actor.waiting.append(lambda: self.saved(actor, life, save))
            return
        actor.disk.take(save)
        self.do(actor, life, lambda core: core.saved(self.local(actor), save.ticket))

    def send(self, sender: str, peer: str, word: tuple[Any, ...]) -> None:
        if (sender, peer) in self.cut or self.chance.random() < self.loss:
            return
        actor = self.actors[peer]
        life = actor.life
        arrives = self.now + self.delay_s * (0.5 + self.chance.random())

        def arrive() -> None:
            if (sender, peer) not in self.cut:
                self.do(actor, life, lambda core: core.hear(self.local(actor), sender, word))

        self.at(arrives, arrive)

    # What is checked.

    def committed(self, actor: Actor, entry: Entry) -> None:
        while len(self.history) < entry.index:
            self.history.append((0, None))
        known = self.history[entry.index - 1]
        if known[1] is None:
            self.history[entry.index - 1] = (entry.index, entry)
        elif known[1] != entry:
            raise BrokenError(f"{actor.name} has {entry} where another has {known[1]}")
        if entry.sort is Sort.DECISION:
            actor.ledger.apply(entry.epoch, Decision.of(entry.body))

    def act(self, actor: Actor, core: Core) -> None:
        """The leader tells the one that applies what it lacks, if it may act."""
        if not core.may_act(self.local(actor)):
            return
        if any(other is not actor and self.acts(other) for other in self.actors.values()):
            raise BrokenError(f"two may act at {self.now:.3f}")
        for placed in actor.ledger.since(self.fence.place) or ():
            answer = self.fence.judge(core.epoch, placed.place)
            if answer is Answer.APPLY:
                self.applied.append((placed.place, core.epoch, placed.decision.name, actor.name))
            elif answer is Answer.STALE:
                self.fenced += 1
                core.become(self.local(actor), Role.FOLLOWING, "one that applies knows a later leader")
                return
        for name, place in actor.ledger.names.items():
            if place and name not in self.promised:
                self.promised[name] = self.now

    def leader(self) -> Actor | None:
        """Who may act now."""
        return next((actor for actor in self.actors.values() if self.acts(actor)), None)

    def acts(self, actor: Actor) -> bool:
        here = actor.core is not None and self.now >= actor.paused_until
        return here and actor.core is not None and actor.core.may_act(self.local(actor))

    def watch(self) -> None:
        led = self.leader() is not None
        if led and self.quiet_since is not None:
            self.leaderless.append((self.quiet_since, self.now))
            self.quiet_since = None
        elif not led and self.quiet_since is None:
            self.quiet_since = self.now

    def propose(self, decision: Decision) -> bool:
        actor = self.leader()
        if actor is None or actor.core is None:
            return False
        taken = actor.core.propose(self.local(actor), Sort.DECISION, decision.plain()) is not None
        self.settle(actor)
        return taken

    def check_end(self) -> None:
        """What must hold once all is well again: nothing applied twice, out of order, or lost."""
        places = [place for place, *_ in self.applied]
        if places != list(range(1, len(places) + 1)):
            raise BrokenError(f"places applied out of order: {places}")
        epochs = [epoch for _, epoch, _, _ in self.applied]
        if epochs != sorted(epochs):
            raise BrokenError("an earlier leadership applied after a later one")
        lost = set(self.promised) - {name for *_, name, _ in self.applied}
        if lost:
            raise BrokenError(f"promised and lost: {sorted(lost)}")
