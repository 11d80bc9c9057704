"""A world in simulated time for the control state: keepers on a network and disks that fail on purpose.

Everything is drawn from one seed. `World.run` plays some seconds of troubles and operators; `broken` holds
what
an outsider saw go wrong: an acknowledged write that a later read does not show, a read that went back, two
primaries that acted in one epoch.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from random import Random
from typing import Any

from pinward.exchange.keeper import Keeper, Kept, Role, View

TICK_S = 0.05  # s, as the host looks at the clock
DELAY_S = (0.0005, 0.004)  # s one way between machines
SYNC_S = (0.003, 0.006)  # s of a save on a sound disk
START_S = (0.3, 0.6)  # s until a process that was killed is there again
KEY = "plan"


@dataclass
class Box:
    """A core machine: its disk outlives its process."""

    name: str
    disk: Kept | None = None
    keeper: Keeper | None = None
    life: int = 0
    slow: float = 1.0
    frozen: bool = False
    saving: bool = False
    to_save: tuple[int, Kept] | None = None
    later: list[Callable[[], None]] = field(default_factory=list)


class World:
    def __init__(
        self, seed: int, size: int = 3, lost_most: int = 1, mutate: Callable[..., Any] | None = None
    ) -> None:
        self.chance, self.now, self.count = Random(seed), 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.names = [f"c{i}" for i in range(size)]
        self.lost_most, self.first = lost_most, True
        self.boxes = {name: Box(name) for name in self.names}
        self.cuts: set[tuple[str, str]] = set()  # one way each
        self.mutate = mutate  # (sender, peer, word) -> words that arrive, in place of it
        self.mangle = 0.0  # share of words lost, doubled or late
        self.acked = 0  # the highest version acknowledged
        self.version = 0
        self.acting: dict[int, set[str]] = {}
        self.writes: dict[tuple[str, int, int], int] = {}
        self.broken: list[str] = []
        self.led_s = 0.0
        self.takeovers: list[float] = []
        for name in self.names:
            self.start(name)

    # Time.

    def after(self, seconds: float, what: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.queue, (self.now + seconds, self.count, what))

    def until(self, end: float) -> None:
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heappop(self.queue)
            what()
        self.now = end

    # Machines.

    def start(self, name: str) -> None:
        box = self.boxes[name]
        if box.keeper is not None:
            return
        box.life += 1
        kept = copy.deepcopy(box.disk)
        if kept is None:
            kept = Kept(0, View(0, "", tuple(self.names), tuple(self.names)), not self.first)
        box.keeper = Keeper(name, kept, self.lost_most, f"{name}.{box.life}.{self.chance.random()}", self.now)
        box.saving, box.to_save, box.frozen = False, None, False
        for other in self.names:
            if other != name and self.boxes[other].keeper is not None:
                self.do(name, partial(Keeper.met, peer=other))
                self.do(other, lambda k: k.met(name))
        self.tick(name, box.life)

    def tick(self, name: str, life: int) -> None:
        if self.boxes[name].life == life and self.boxes[name].keeper is not None:
            self.do(name, lambda k: k.tick(self.now))
            self.after(TICK_S, lambda: self.tick(name, life))

    def do(self, name: str, what: Callable[[Keeper], Any]) -> Any:
        box = self.boxes[name]
        if box.keeper is None:
            return None
        if box.frozen:
            box.later.append(lambda: self.do(name, what))
            return None
        done = what(box.keeper)
        self.carry(box)
        return done

    def carry(self, box: Box) -> None:
        keeper = box.keeper
        assert keeper is not None
        out, keeper.out = keeper.out, []
        for order in out:
            match order:
                case ("send", peer, word):
                    self.send(box.name, peer, copy.deepcopy(word))
                case ("save", ticket, kept):
                    box.to_save = (ticket, copy.deepcopy(kept))
                    self.save(box)
                case ("done", number, held):
                    version = self.writes.pop((box.name, box.life, number), None)
                    if version is not None and held:
                        self.acked = max(self.acked, version)
        if keeper.role is Role.PRIMARY and keeper.leads(self.now):
            self.acting.setdefault(keeper.epoch, set()).add(box.name)
            if len(self.acting[keeper.epoch]) > 1:
                self.broken.append(f"{self.now:.3f} two primaries act in epoch {keeper.epoch}")

    def save(self, box: Box) -> None:
        if box.saving or box.to_save is None:
            return
        box.saving, life = True, box.life
        (ticket, kept), box.to_save = box.to_save, None

        def whole() -> None:
            if box.life != life or box.keeper is None:
                return
            box.disk, box.saving = kept, False
            self.do(box.name, lambda k: k.saved(self.now, ticket))
            self.save(box)

        self.after(self.chance.uniform(*SYNC_S) * box.slow, whole)

    def send(self, sender: str, peer: str, word: dict[str, Any]) -> None:
        words = [word] if self.mutate is None else self.mutate(sender, peer, word)
        for one in words:
            draw = self.chance.random()
            copies = 0 if draw < self.mangle / 2 else 2 if draw < self.mangle else 1
            for _ in range(copies):
                late = self.chance.random() < self.mangle / 2
                delay = self.chance.uniform(*DELAY_S) + (self.chance.uniform(0, 1.5) if late else 0.0)
                self.after(delay, partial(self.arrive, sender, peer, one))

    def arrive(self, sender: str, peer: str, word: dict[str, Any]) -> None:
        if (sender, peer) not in self.cuts:
            self.do(peer, lambda k: k.hear(self.now, sender, copy.deepcopy(word)))

    # Troubles.

    def kill(self, name: str, down_s: float | None = None, wipe: bool = False) -> None:
        box = self.boxes[name]
        box.keeper, box.life = None, box.life + 1
        box.later.clear()
        if wipe:
            box.disk, self.first = None, False
        self.first = self.first and box.disk is None and self.acked == 0
        if box.disk is None:
            self.first = False
        self.after(down_s or self.chance.uniform(*START_S), lambda: self.start(name))

    def freeze(self, name: str, seconds: float) -> None:
        box = self.boxes[name]
        if box.keeper is None:
            return
        box.frozen, life = True, box.life

        def thaw() -> None:
            if box.life == life:
                box.frozen = False
                later, box.later = box.later, []
                for what in later:
                    what()

        self.after(seconds, thaw)

    def cut(self, some: set[str], seconds: float, one_way: bool = False) -> None:
        ways = {(a, b) for a in some for b in self.names if b not in some}
        ways |= set() if one_way else {(b, a) for a, b in ways}
        self.cuts |= ways
        self.after(seconds, lambda: self.cuts.difference_update(ways))

    def slow(self, name: str, times: float, seconds: float) -> None:
        self.boxes[name].slow = times
        self.after(seconds, lambda: setattr(self.boxes[name], "slow", 1.0))

    # Operators.

    def primary(self) -> str | None:
        for name, box in self.boxes.items():
            if box.keeper is not None and not box.frozen and box.keeper.leads(self.now):
                return name
        return None

    def put(self, name: str) -> bool:
        """A new version to one machine; True where it took it on."""
        box = self.boxes[name]
        if box.keeper is None or box.frozen:
            return False
        self.version += 1
        version, life = self.version, box.life
        number = box.keeper.propose(self.now, KEY, version)
        if number is not None:
            self.writes[(name, life, number)] = version
            self.carry(box)
        return number is not None

    def read(self, name: str) -> int | None:
        """The version that a machine answers, checked against what was acknowledged before."""
        box = self.boxes[name]
        if box.keeper is None or box.frozen or not box.keeper.leads(self.now):
            return None
        item = box.keeper.public.get(KEY)
        version = item[2] if item else 0
        if version < self.acked:
            self.broken.append(f"{self.now:.3f} {name} reads {version}, {self.acked} was acknowledged")
        self.acked = max(self.acked, version)  # a version once read does not go back
        return version

    def operate(self, every_s: float) -> None:
        for name in self.names:
            self.read(name)
            if self.chance.random() < 0.5:
                self.put(name)
        self.after(every_s, lambda: self.operate(every_s))

    def settles(self, within_s: float) -> bool:
        """True where, left alone, a primary takes a write within so long, and nothing acknowledged is
        lost.
        """
        end = self.now + within_s
        while self.now < end:
            self.until(self.now + TICK_S)
            name = self.primary()
            if name is not None and self.put(name):
                version = self.version
                self.until(self.now + 0.1)
                if self.acked >= version:
                    self.read(name)
                    return True
        return False


def trouble(world: World) -> None:
    """One trouble that the users' `Survive` allows, ended before the next."""
    chance, name = world.chance, world.chance.choice(world.names)
    lead = world.primary() or name
    match chance.randrange(9):
        case 0:
            world.kill(lead)
        case 1:
            world.kill(name, 2.0)
        case 2:
            world.kill(chance.choice((lead, name)), 1.0, wipe=True)
        case 3:
            world.cut({chance.choice((lead, name))}, 3.0, one_way=chance.random() < 0.4)
        case 4:
            world.freeze(chance.choice((lead, name)), 2.0)
        case 5:
            world.slow(chance.choice((lead, name)), 400.0, 2.5)
        case 6:
            for other in world.names:
                world.kill(other, chance.uniform(0.5, 1.5))
        case 7:
            for other in world.names:
                world.kill(other, chance.uniform(0.5, 2.5), wipe=other == lead)
        case _:
            world.mangle = 0.2
            world.after(2.0, lambda: setattr(world, "mangle", 0.0))


def play(seed: int, size: int = 3, lost_most: int = 1, troubles: int = 4, mutate: Any = None) -> World:
    """Some troubles in a row, each ended for the catch-up time before the next; then all must be well."""
    world = World(seed, size, lost_most, mutate)
    if not world.settles(4.0):
        world.broken.append("no first primary")
    world.operate(0.05)
    for _ in range(troubles):
        world.until(world.now + world.chance.uniform(0.0, 0.3))
        trouble(world)
        world.until(world.now + 3.5 + 4.0)
    if not world.settles(6.0):
        world.broken.append(f"{world.now:.3f} no write is taken any more")
    return world
