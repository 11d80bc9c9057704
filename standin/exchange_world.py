"""A world in simulated time for the control state: keepers on a network and disks that fail on purpose.

Everything is drawn from one seed. Machines are killed, cut off, frozen, wiped and replaced at other addresses
while operators write several keys, lose answers and ask other machines again. `broken` holds what an outsider
saw go wrong: an acknowledged write that a later read does not show, a read that went back, two primaries that
acted in one epoch, a write acknowledged on too few disks, a view that names a copy whose disk lacks what was
acknowledged, fewer copies after a change of the voters, a machine let go while it held a copy that no other
took, news handed out as fresh by one that was cut off, a machine that lacks what the primary holds though
nothing was wrong for a while.
"""

from __future__ import annotations

import copy
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from random import Random
from typing import Any

from pinward.exchange.keeper import Keeper, Kept, Role, View
from pinward.plan.fault_tolerance import FaultTolerance

TICK_S = 0.05  # s, as the host looks at the clock
DELAY_S = (0.0005, 0.004)  # s one way between machines
SYNC_S = (0.003, 0.006)  # s of a save on a sound disk
START_S = (0.3, 0.6)  # s until a process that was killed is there again
AFTER_S = 1.0  # s between the two steps of a replacement
STOP_S = 4.5  # s that a machine told to end may wait until its seat and copy are taken
FRESH_S = 2.0  # s after which a machine cut off from all hands out nothing as fresh
ALIKE_S = 2.0  # s without trouble within which every machine holds what the primary holds: the users' `Apply`
KEY = "plan"
KEYS = (KEY, "roll:a", "roll:b")
JUST_S = 1.0  # s after the loss of a disk in which an answer may be under way that it had allowed
RARE_KEY = "roll:once"  # written once, so that no later write of it hides that a machine was never told
ORDERS = 8  # orders under way at a time
TRY_S = (0.05, 0.3)  # s between two tries of an order
GIVE_UP_S = 6.0  # s until an operator leaves an order


@dataclass
class Box:
    """A core machine: its disk outlives its process."""

    name: str
    seeds: tuple[str, ...] = ()  # the machines it was told of
    disk: Kept | None = None
    keeper: Keeper | None = None
    life: int = 0
    slow: float = 1.0
    frozen: bool = False
    gone: bool = False  # for good
    wiped_at: float = -1.0
    began_at: float = 0.0  # when the process started
    ends: bool = False  # told to
    cut_at: float | None = None  # since when it is cut off from all others, both ways
    saving: bool = False
    to_save: tuple[int, Kept] | None = None
    later: list[Callable[[], None]] = field(default_factory=list)


@dataclass
class Order:
    """A write that an operator wants, asked of one machine after another until one acknowledges it."""

    key: str
    version: int
    until: float
    done: bool = False


class World:
    def __init__(
        self, seed: int, size: int = 3, lost_most: int = 1, mutate: Callable[..., Any] | None = None
    ) -> None:
        self.chance, self.now, self.count = Random(seed), 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.names = [f"c{i}" for i in range(size)]  # machines that are not gone for good
        self.made = size
        self.lost_most, self.first = lost_most, True
        founders = tuple(self.names[:3])
        self.boxes = {name: Box(name, founders if size > 3 else tuple(self.names)) for name in self.names}
        self.cuts: Counter[tuple[str, str]] = Counter()  # one way each
        self.mutate = mutate  # (sender, peer, word) -> words that arrive, in place of it
        self.mangle = 0.0  # share of words lost, doubled or late
        self.answers_lost = 0.0  # share of answers to operators that are lost
        self.acks: dict[str, int] = {}  # the highest version acknowledged of each key
        self.version = 0
        self.orders: list[Order] = []
        self.operating = True
        self.acting: dict[int, set[str]] = {}
        self.views: dict[int, View] = {}  # as begun, by epoch
        self.writes: dict[tuple[str, int, int], tuple[str, int, Order | None]] = {}
        self.broken: list[str] = []
        self.led_s = 0.0
        self.takeovers: list[float] = []
        for name in self.names:
            self.start(name)

    @property
    def acked(self) -> int:
        """The highest version acknowledged."""
        return max(self.acks.values(), default=0)

    def fault(self, what: str) -> None:
        if len(self.broken) < 20:
            self.broken.append(f"{self.now:.3f} {what}")

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
        if box.keeper is not None or box.gone:
            return
        box.life += 1
        box.began_at, box.ends = self.now, False
        kept = copy.deepcopy(box.disk)
        if kept is None:
            kept = Kept(0, View(0, "", box.seeds, box.seeds), not self.first)
        seed = f"{name}.{box.life}.{self.chance.random()}"
        box.keeper = Keeper(name, kept, FaultTolerance(self.lost_most), seed, self.now)
        box.saving, box.to_save, box.frozen = False, None, False
        for other in self.names:
            keeper = self.boxes[other].keeper
            if other == name or keeper is None:
                continue
            if other in box.seeds or other in box.keeper.peers or name in keeper.peers:
                self.do(name, partial(Keeper.met, peer=other))
                self.do(other, lambda k: k.met(name))
        self.tick(name, box.life)

    def tick(self, name: str, life: int) -> None:
        box = self.boxes[name]
        if box.life == life and box.keeper is not None:
            self.do(name, lambda k: k.tick(self.now))
            if not box.frozen and box.keeper is not None:
                self.look(box, box.keeper)
            self.after(TICK_S, lambda: self.tick(name, life))

    def look(self, box: Box, keeper: Keeper) -> None:
        cut = box.cut_at is not None and self.now - box.cut_at > FRESH_S and len(self.names) > 1
        if cut and keeper.whole(self.now):
            self.fault(f"{box.name}, cut off for {FRESH_S} s, hands out news as fresh")

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
                    key, version, asked = self.writes.pop((box.name, box.life, number), (KEY, 0, None))
                    if version and held:
                        self.judge_acknowledged(key, version, keeper.view)
                        self.acks[key] = max(self.acks.get(key, 0), version)
                        self.answered(asked)
        if keeper.role is Role.PRIMARY:
            if keeper.epoch not in self.views:
                self.views[keeper.epoch] = keeper.view
                self.judge(keeper.view)
            if keeper.leads(self.now):
                self.acting.setdefault(keeper.epoch, set()).add(box.name)
                if len(self.acting[keeper.epoch]) > 1:
                    self.fault(f"two primaries act in epoch {keeper.epoch}")

    def judge_acknowledged(self, key: str, version: int, view: View) -> None:
        """A write as it is acknowledged: one disk more than may be lost holds it, or held it a moment ago."""
        disks = 0
        for box in self.boxes.values():
            items = box.disk.items if box.disk is not None else {}
            held = items[key][2] if key in items else 0
            disks += held >= version or self.now - box.wiped_at < JUST_S
        if disks < min(self.lost_most + 1, len(view.voters)):
            self.fault(f"{version} of {key} is acknowledged in epoch {view.epoch} on {disks} disks")

    def judge(self, view: View) -> None:
        """A view as it begins: its copies, and newcomers among its voters, hold what was acknowledged."""
        before = [old for epoch, old in self.views.items() if epoch < view.epoch]
        last = max(before, key=lambda old: old.epoch, default=None)
        came = set(view.voters) - set(last.voters) if last is not None else set()
        for name in {*view.copies, *came}:
            box = self.boxes[name]
            if box.disk is None or self.now - box.wiped_at < JUST_S:
                continue
            held = {key: item[2] for key, item in box.disk.items.items()}
            lacks = [key for key, version in self.acks.items() if held.get(key, 0) < version]
            if lacks or (name in came and box.disk.blank):
                self.fault(f"{name} counts in epoch {view.epoch} without {lacks or 'its disk'}")
        if last is not None and set(last.voters) != set(view.voters):
            if len(view.copies) < min(self.lost_most + 1, len(last.copies)):
                self.fault(f"epoch {view.epoch} changes its voters and has fewer copies")
            if len(set(last.voters) - set(view.voters)) > 1 or len(came) > 1:
                self.fault(f"epoch {view.epoch} changes more than one voter")

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
        if not self.cuts[(sender, peer)] and peer in self.boxes:
            self.do(peer, lambda k: k.hear(self.now, sender, copy.deepcopy(word)))

    # Troubles.

    def kill(self, name: str, down_s: float | None = None, wipe: bool = False) -> None:
        box = self.boxes[name]
        self.stop(box)
        if wipe:
            box.disk, box.wiped_at, self.first = None, self.now, False
        self.first = self.first and box.disk is None and self.acked == 0
        if box.disk is None:
            self.first = False
        self.after(down_s or self.chance.uniform(*START_S), lambda: self.start(name))

    def kill_all(self) -> None:
        for name in self.names:
            self.kill(name)

    def stop(self, box: Box) -> None:
        box.keeper, box.life = None, box.life + 1
        box.later.clear()

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
        ways = {(a, b) for a in some for b in self.boxes if b not in some}
        ways |= set() if one_way else {(b, a) for a, b in ways}
        alone = [self.boxes[name] for name in some] if len(some) == 1 and not one_way else []
        self.cut_ways(ways, seconds, alone)

    def cut_ways(self, ways: set[tuple[str, str]], seconds: float, alone: list[Box] | None = None) -> None:
        """Cuts these ways, for so long; the machines `alone` reach nobody meanwhile."""
        self.cuts.update(ways)
        for box in alone or ():
            box.cut_at = self.now

        def joined() -> None:
            self.cuts.subtract(ways)
            for box in alone or ():
                box.cut_at = None

        self.after(seconds, joined)

    def slow(self, name: str, times: float, seconds: float) -> None:
        self.boxes[name].slow = times
        self.after(seconds, lambda: setattr(self.boxes[name], "slow", 1.0))

    # Replacements.

    def add(self) -> str:
        """An empty machine at another address, told of up to three that run."""
        name = f"c{self.made}"
        self.made += 1
        runs = [other for other in self.names if self.boxes[other].keeper is not None]
        seeds = tuple(sorted(self.chance.sample(runs, min(3, len(runs))))) or tuple(self.names[:3])
        self.boxes[name] = Box(name, seeds)
        self.names.append(name)
        self.first = False
        self.start(name)
        return name

    def come(self) -> None:
        self.add()

    def replace(self, name: str, planned: bool) -> None:
        """A machine goes for good and an empty one comes; where planned the new one comes first."""
        if planned:
            self.come()
            self.after(AFTER_S, lambda: self.terminate(name, back=False))
        else:
            self.remove(name)
            self.after(AFTER_S, self.come)

    def remove(self, name: str) -> None:
        box = self.boxes[name]
        if box.gone:
            return
        self.stop(box)
        box.gone = True
        self.names.remove(name)

    def terminate(self, name: str, back: bool) -> None:
        """SIGTERM: the process may hand over first; then it ends, for good or for a restart."""
        box = self.boxes[name]
        until, life, box.ends = self.now + STOP_S, box.life, box.keeper is not None
        self.do(name, lambda k: k.leave(self.now))

        def look() -> None:
            if box.life != life or box.gone:
                return
            if self.now < until and (box.frozen or (box.keeper is not None and not box.keeper.released)):
                self.after(TICK_S, look)
                return
            if self.now < until and box.keeper is not None:
                self.judge_end(name)
            if back:
                self.do(name, lambda k: k.step_down(self.now) if k.role is Role.PRIMARY else None)
                self.kill(name)
            else:
                self.do(name, lambda k: k.step_down(self.now) if k.role is Role.PRIMARY else None)
                self.remove(name)

        look()

    def judge_end(self, name: str) -> None:
        """A machine that says it may end: no other could take its copy, or one has."""
        view = self.views[max(self.views)]
        calm = not any(self.cuts.values()) and not self.mangle
        others = [
            other for other in view.voters
            if other not in view.copies and (box := self.boxes[other]).keeper is not None
            and not (box.frozen or box.ends or box.keeper.kept.blank) and self.now - box.began_at > 2.0
        ]  # fmt: skip
        if name in view.copies and others and calm:
            self.fault(f"{name} is let go with a copy that {others[0]} could take")

    # Operators.

    def primary(self) -> str | None:
        for name in self.names:
            box = self.boxes[name]
            if box.keeper is not None and not box.frozen and box.keeper.leads(self.now):
                return name
        return None

    def put(self, name: str, key: str = KEY, order: Order | None = None) -> bool:
        """A new version to one machine, or that of an order; True where it took it on."""
        box = self.boxes[name]
        if box.keeper is None or box.frozen:
            return False
        if order is None:
            self.version += 1
        version, life = order.version if order else self.version, box.life
        number = box.keeper.propose(self.now, key, version)
        if number is not None:
            self.writes[(name, life, number)] = (key, version, order)
            self.carry(box)
        return number is not None

    def read(self, name: str, key: str = KEY) -> int | None:
        """The version that a machine answers, checked against what was acknowledged before."""
        box = self.boxes[name]
        if box.keeper is None or box.frozen or not box.keeper.leads(self.now):
            return None
        item = box.keeper.public.get(key)
        version = item[2] if item else 0
        acked = self.acks.get(key, 0)
        if version < acked:
            self.fault(f"{name} reads {version} of {key}, {acked} was acknowledged")
        self.acks[key] = max(acked, version)  # a version once read does not go back
        return version

    def answered(self, order: Order | None) -> None:
        """An acknowledgement of an order is on its way, or lost."""
        if order is not None and self.chance.random() >= self.answers_lost:
            order.done = True

    def attempt(self, order: Order) -> None:
        """One try at a machine; the order is tried elsewhere until it is answered."""
        if order not in self.orders:
            return
        if order.done or self.now > order.until:
            self.orders.remove(order)
            return
        name = self.chance.choice(self.names)
        keeper = self.boxes[name].keeper
        if keeper is not None and not self.boxes[name].frozen and keeper.leads(self.now):
            public, held = keeper.public.get(order.key), keeper.kept.items.get(order.key)
            if public is not None and public[2] >= order.version:  # as the answer to a put says
                self.read(name, order.key)
                self.answered(order)
            elif held is None or held[2] < order.version:
                self.put(name, order.key, order)
        self.after(self.chance.uniform(*TRY_S), lambda: self.attempt(order))

    def operate(self, every_s: float) -> None:
        if not self.operating:
            return
        for name in list(self.names):
            for key in KEYS:
                self.read(name, key)
            if self.chance.random() < 0.5:
                self.put(name)
        if len(self.orders) < ORDERS and self.chance.random() < 0.5:
            self.version += 1
            key = self.chance.choice(KEYS)
            order = Order(key, self.version, self.now + GIVE_UP_S)
            self.orders.append(order)
            self.attempt(order)
        self.after(every_s, lambda: self.operate(every_s))

    def rest(self) -> None:
        """Operators write no more, and what they wanted is left."""
        self.operating = False
        self.orders.clear()

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
                if self.acks.get(KEY, 0) >= version:
                    self.read(name)
                    return True
        return False

    def whole(self, within_s: float) -> bool:
        """True where, within so long, the voters are as many as they should be and all run."""
        end = self.now + within_s
        while self.now < end:
            self.until(self.now + TICK_S)
            lead = self.primary()
            keeper = self.boxes[lead].keeper if lead is not None else None
            if keeper is None:
                continue
            runs = {name for name in self.names if self.boxes[name].keeper is not None}
            view, most = keeper.view, min(2 * self.lost_most + 1, len(self.names))
            if (
                set(view.voters) <= runs and len(view.voters) == most and not view.former
                and len(view.copies) == min(self.lost_most + 1, most)
            ):  # fmt: skip
                return True
        return False

    def lacking(self) -> dict[str, list[str]]:
        """The keys of which a running machine does not hold the primary's version, by machine."""
        lead = self.primary()
        keeper = self.boxes[lead].keeper if lead is not None else None
        if keeper is None:
            return {}
        found = {}
        for name in self.names:
            other = self.boxes[name].keeper
            if other is not None and not self.boxes[name].frozen:
                found[name] = [key for key, item in keeper.public.items() if other.public.get(key) != item]
        return {name: keys for name, keys in found.items() if keys}

    def converges(self) -> None:
        """To be called while nothing is wrong and nobody writes: all hold the same soon, and say so."""
        until = self.now + ALIKE_S
        while self.now < until and (self.lacking() or not self.all_whole()):
            self.until(self.now + TICK_S)
        for name, keys in self.lacking().items():
            self.fault(f"{name} does not hold what the primary holds: {', '.join(keys)}")
        if self.primary() is not None and not self.lacking() and not self.all_whole():
            self.fault("all hold the same, and one says that it does not")

    def all_whole(self) -> bool:
        """True where every running machine says that it holds what the primary holds."""
        boxes = [self.boxes[name] for name in self.names]
        return all(box.keeper is None or box.frozen or box.keeper.whole(self.now) for box in boxes)
