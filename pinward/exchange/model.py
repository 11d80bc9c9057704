"""Explores the keeper: every order of words, ticks, puts, restarts, lost saves, lost disks, joins and ends.

Three machines, one of whose disks may be lost, and two that may come. All within bounds: how often time goes
on, somebody ticks and so on is told for each hunt; some begin after steps that are always the same, so that
a change of the voters is near. Errors can be planted, to see that they would be found.

In whatever state nothing is under way any more and one leads, all hold the same after a few of its beats:
with two keys and links that come up at any moment one item may be kept and another missed.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from pinward.exchange.committed import Committed, stamp_of
from pinward.exchange.keeper import Keeper, Kept, Role, View
from pinward.exchange.membership import Membership
from pinward.exchange.view import BEAT_S, PATIENCE_S, Word, majority
from pinward.explorer import Explorer
from pinward.plan.fault_tolerance import FaultTolerance

STEP_S = 0.5  # s of one step of time: a lease lasts one and not two, as does a voter's word
NAMES = ("c0", "c1", "c2")
NEW = ("d0", "d1")  # machines that may come, empty
KEYS = ("plan", "roll:a")
BEATS = 5  # of a primary, undisturbed, within which all are to hold what it holds
TAKING = ("prepare", "promise", "transfer", "transferred", "accept", "accepted")  # words of a takeover
RANKS = {Role.PREPARING: 2, Role.TRANSFERRING: 4, Role.ACCEPTING: 6, Role.PRIMARY: 7}  # how near to leading


class Even:
    """No chance: when to stand is one of the orders explored."""

    def random(self) -> float:
        return 0.5


class ModelKeeper(Keeper):
    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self.chance = Even()  # type: ignore[assignment]
        self.membership.silent_s = 1.5 * STEP_S

    def patience(self) -> float:
        return PATIENCE_S


class Early(ModelKeeper):
    """Planted: a write is answered before the copies hold it."""

    def settle(self, now: float) -> None:
        for write in self.open.values():
            write.lacking.clear()
        super().settle(now)


class Unconfirmed(ModelKeeper):
    """Planted: a primary reads without asking whether it still leads."""

    def leads(self, now: float) -> bool:
        return self.role is Role.PRIMARY


class Alone(ModelKeeper):
    """Planted: a primary leaves a copy out of its view by itself, when that copy is silent, and writes on."""

    def intolerance(self) -> str:
        return ""

    def lead(self, now: float) -> None:
        here = {c for c, at in self.answered.items() if now - at < STEP_S / 2} | {self.own}
        copies = tuple(c for c in self.view.copies if c in here)
        self.kept.view = View(self.view.epoch, self.own, copies, self.view.voters)
        for write in self.open.values():
            write.lacking &= set(copies)
        super().lead(now)
        self.settle(now)


class Untaught(ModelKeeper):
    """Planted: a newcomer counts, and may hold a copy, before it was taught."""

    def ask_accept(self, now: float) -> None:
        self.transferred |= self.awaited
        super().ask_accept(now)


class Formerless(ModelKeeper):
    """Planted: a proposer asks the new voters alone."""

    def quorum(self, view: View, some: Iterable[str]) -> bool:
        return majority(some, view.voters)


class Remover(ModelKeeper):
    """Planted: a primary takes a silent voter's seat away by itself, and writes on."""

    def intolerance(self) -> str:
        return ""

    def lead(self, now: float) -> None:
        gone = self.membership.gone(now, self.view)
        here = tuple(v for v in self.view.voters if v not in gone)
        copies = tuple(c for c in self.view.copies if c in here)
        self.kept.view = View(self.view.epoch, self.own, copies, here)
        for write in self.open.values():
            write.lacking &= set(copies)
        super().lead(now)
        self.settle(now)


class Hasty(ModelKeeper):
    """Planted: a machine that must end goes at once."""

    def leave(self, now: float) -> None:
        self.released = True


class Newest(ModelKeeper):
    """Planted: what a peer lacks is judged by the newest item that it holds."""

    def compare(self, now: float, primary: str, digest: str | None) -> None:
        super().compare(now, primary, None)

    def catch_up(self, peer: str, word: Word) -> None:
        last = stamp_of(word["pub"])
        items = {key: item for key, item in self.public.items() if stamp_of(item) > last}
        if items:
            self.send(peer, t="commit", n=self.epoch, items=items)


KINDS = {
    "early": Early, "unconfirmed": Unconfirmed, "alone": Alone,
    "untaught": Untaught, "formerless": Formerless, "remover": Remover, "hasty": Hasty,
    "newest": Newest,
}  # fmt: skip
PLANTS = ("none", "blank", *KINDS)
LOSES = ("blank", "early", "unconfirmed", "alone")  # planted errors that must be found by what they lose


@dataclass
class Bounds:
    """How often each may happen on one way."""

    steps_of_time: int = 3
    ticks: int = 3
    puts: int = 1
    restarts: int = 1
    wipes: int = 1
    losses: int = 2  # of words
    joins: int = 0
    ends: int = 0  # told
    removals: int = 0  # for good, without a word
    keys: int = 1  # that are written
    links: bool = False  # a restart breaks links, which come up at any moment; all must then hold the same


@dataclass
class World:
    left: Bounds
    now: float = 0.0
    keepers: dict[str, Keeper] = field(default_factory=dict)
    disks: dict[str, bytes] = field(default_factory=dict)
    ways: dict[tuple[str, str], list[dict[str, Any]]] = field(default_factory=dict)
    down: set[tuple[str, str]] = field(default_factory=set)  # links that have yet to come up
    version: int = 0
    writes: dict[tuple[str, int], tuple[str, int]] = field(default_factory=dict)  # keys and versions
    acked: dict[str, int] = field(default_factory=dict)  # the highest version acknowledged of each key
    acting: dict[int, str] = field(default_factory=dict)  # by epoch
    views: dict[int, View] = field(default_factory=dict)  # as begun, by epoch
    ends: set[str] = field(default_factory=set)  # told to


class Model(Explorer[World]):
    def __init__(self, bounds: Bounds, plant: str = "none") -> None:
        self.bounds, self.plant = bounds, plant
        self.kind = KINDS.get(plant, ModelKeeper)

    def first(self, begin: tuple[str, ...] = ()) -> World:
        """The first machine leads all, nothing is under way; then these steps."""
        world = World(Bounds(**vars(self.bounds)))
        for name in NAMES:
            self.start(world, name, Kept(0, View(0, "", NAMES, NAMES), False))
        world.now = 2 * PATIENCE_S
        self.do(world, NAMES[0], lambda k: k.tick(world.now))
        self.flush(world)
        self.put(world, NAMES[0])
        self.flush(world)
        bounds = self.bounds
        world.left = Bounds(9, 9, 9, 9 * bounds.links, 0, 9, 2, 2, 2, bounds.keys, bounds.links)
        for name in begin:
            if name == "all arrives":
                self.flush(world)
            elif name in (steps := dict(self.steps(world))):  # else it is a planted error's own
                steps[name](world)
        world.left = Bounds(**vars(self.bounds))
        return world

    def flush(self, world: World) -> None:
        while any(world.ways.values()):
            for way in sorted(way for way, words in world.ways.items() if words):
                self.deliver(world, way)

    # Steps.

    def start(self, world: World, name: str, kept: Kept) -> None:
        world.keepers[name] = self.kind(name, kept, FaultTolerance(1), 0, world.now)
        world.disks[name] = pickle.dumps(kept)

    def do(self, world: World, name: str, what: Callable[[Keeper], Any], loses: bool = False) -> Any:
        """One call of a keeper, its saves done before anything else, or lost with a restart."""
        keeper = world.keepers[name]
        done = what(keeper)
        while keeper.out:
            out, keeper.out = keeper.out, []
            tickets = []
            for order in out:
                match order:
                    case ("send", peer, word) if peer in world.keepers and (name, peer) not in world.down:
                        word = {k: v for k, v in pickle.loads(pickle.dumps(word)).items()}
                        world.ways.setdefault((name, peer), []).append(word)
                    case ("save", ticket, kept):
                        tickets.append((ticket, pickle.dumps(kept)))
                    case ("done", number, held):
                        key, version = world.writes.pop((name, number), ("", 0))
                        if key and held:
                            world.acked[key] = max(world.acked.get(key, 0), version)
            if tickets and loses:
                self.restart_at(world, name)
                return done
            for ticket, kept in tickets:
                world.disks[name] = kept
                keeper.saved(world.now, ticket)
        self.check(world)
        return done

    def judged(self, step: Callable[[World], Any]) -> Callable[[World], Any]:
        """A step after which all must hold the same, where nothing is under way."""

        def whole(world: World) -> None:
            step(world)
            if not self.broken:
                self.converge(world)

        return whole

    def check(self, world: World) -> None:
        lead = [name for name, keeper in world.keepers.items() if keeper.leads(world.now)]
        if len(lead) > 1 and self.plant not in LOSES:
            self.broken = f"{' and '.join(lead)} act at one time"
        for name, keeper in world.keepers.items():
            if not keeper.leads(world.now):
                continue
            other = world.acting.setdefault(keeper.epoch, name)
            if other != name:
                self.broken = f"{name} and {other} act in epoch {keeper.epoch}"
            if keeper.epoch not in world.views:
                self.judge(world, keeper.view)
            for key in KEYS:
                shown, acked = keeper.public.get(key), world.acked.get(key, 0)
                version = shown[2] if shown else 0
                if version < acked:
                    self.broken = f"{name} answers {version} of {key}, {acked} was acknowledged"
                world.acked[key] = max(acked, version)  # what was once shown does not go back

    def judge(self, world: World, view: View) -> None:
        """A view as it begins: copies and newcomers hold on disk what was acknowledged."""
        last = world.views[max(world.views)] if world.views else view
        world.views[view.epoch] = view
        came = set(view.voters) - set(last.voters)
        for name in {*view.copies, *came} & world.disks.keys():
            kept: Kept = pickle.loads(world.disks[name])
            lacks = any(kept.items.get(key, [0, 0, 0])[2] < acked for key, acked in world.acked.items())
            if (lacks and not kept.blank) or (name in came and kept.blank):
                self.broken = f"{name} counts in epoch {view.epoch}, and lacks what was acknowledged"

    def deliver(self, world: World, way: tuple[str, str], loses: bool = False) -> None:
        word = world.ways[way].pop(0)
        world.left.restarts -= loses
        self.do(world, way[1], lambda k: k.hear(world.now, way[0], word), loses)

    def lose(self, world: World, way: tuple[str, str]) -> None:
        world.left.losses -= 1
        world.ways[way].clear()

    def join(self, world: World, name: str) -> None:
        """An empty machine comes, and links come up."""
        world.left.joins -= 1
        self.start(world, name, Kept(0, View(0, "", NAMES, NAMES), True))
        for other in [other for other in world.keepers if other != name]:
            self.do(world, other, lambda k: k.met(name))
            self.do(world, name, partial(ModelKeeper.met, peer=other))

    def end(self, world: World, name: str) -> None:
        world.left.ends -= 1
        world.ends.add(name)
        self.do(world, name, lambda k: k.leave(world.now))

    def remove(self, world: World, name: str) -> None:
        """A machine is gone for good."""
        keeper, left = world.keepers[name], set(world.keepers) - {name}
        if name not in world.ends:
            world.left.removals -= 1
        elif world.views:
            view = world.views[max(world.views)]
            takers = [v for v in view.voters if v in left and v not in view.copies and v not in world.ends]
            takers = [v for v in takers if not world.keepers[v].kept.blank]
            if name in view.copies and takers and not keeper.kept.blank:
                self.broken = f"{name} is let go with a copy that {takers[0]} could take"
        del world.keepers[name], world.disks[name]
        world.writes = {key: v for key, v in world.writes.items() if key[0] != name}
        world.ways = {way: words for way, words in world.ways.items() if name not in way}

    def restart_at(self, world: World, name: str) -> None:
        world.writes = {key: v for key, v in world.writes.items() if key[0] != name}
        if world.left.links:
            ways = {way for other in world.keepers if other != name for way in ((name, other), (other, name))}
            world.down |= ways
            world.ways = {way: words for way, words in world.ways.items() if way not in ways}
        self.start(world, name, pickle.loads(world.disks[name]))
        self.check(world)

    def come_up(self, world: World, way: tuple[str, str]) -> None:
        """A link stands: its host tells the keeper."""
        world.down.discard(way)
        self.do(world, way[0], lambda k: k.met(way[1]))

    def converge(self, world: World) -> None:
        """Where nothing is under way and one leads, all hold what it holds after a few of its beats."""
        lead = next((name for name, keeper in world.keepers.items() if keeper.leads(world.now)), None)
        if lead is None or world.down or any(world.ways.values()) or world.keepers[lead].open:
            return
        calm = self.fresh(self.held(world))
        for _ in range(BEATS):
            calm.now += BEAT_S
            self.do(calm, lead, lambda k: k.tick(calm.now))
            self.flush(calm)
        public = calm.keepers[lead].public
        for name, keeper in calm.keepers.items():
            lacks = [key for key, item in public.items() if keeper.public.get(key) != item]
            if lacks and calm.keepers[lead].leads(calm.now):
                self.broken = f"{name} lacks {' and '.join(lacks)}, which {lead} holds"

    def restart(self, world: World, name: str) -> None:
        world.left.restarts -= 1
        self.restart_at(world, name)

    def wipe(self, world: World, name: str) -> None:
        world.left.wipes -= 1
        kept = Kept(0, View(0, "", NAMES, NAMES), self.plant != "blank")
        world.disks[name] = pickle.dumps(kept)
        self.restart_at(world, name)

    def tick(self, world: World, name: str) -> None:
        world.left.ticks -= 1
        self.do(world, name, lambda k: k.tick(world.now))

    def put(self, world: World, name: str, key: str = KEYS[0]) -> None:
        world.left.puts -= 1
        world.version += 1
        version = world.version

        def propose(keeper: Keeper) -> None:
            number = keeper.propose(world.now, key, version)
            if number is not None:
                world.writes[(name, number)] = (key, version)

        self.do(world, name, propose)

    def pass_time(self, world: World) -> None:
        world.left.steps_of_time -= 1
        world.now += STEP_S
        self.check(world)

    def steps(self, world: World) -> list[tuple[str, Callable[[World], Any]]]:
        found: list[tuple[str, Callable[[World], Any]]] = []
        left = world.left
        for way, words in sorted(world.ways.items()):
            if words:
                said = f"{way[0]} to {way[1]}: {words[0]['t']}"
                found.append((said, partial(self.deliver, way=way)))
                if left.restarts:
                    found.append((f"{said}, its save lost", partial(self.deliver, way=way, loses=True)))
                if left.losses:
                    found.append((f"{way[0]} to {way[1]} breaks", partial(self.lose, way=way)))
        for name, keeper in world.keepers.items():
            due = keeper.role is not Role.FOLLOWING or world.now >= keeper.stand_at
            if left.ticks and due:
                found.append((f"{name} ticks", partial(self.tick, name=name)))
            if left.puts and keeper.leads(world.now):
                found.append((f"{name} takes a put", partial(self.put, name=name)))
                for key in KEYS[1 : left.keys]:
                    found.append((f"{name} takes a put of {key}", partial(self.put, name=name, key=key)))
            if left.restarts:
                found.append((f"{name} restarts", partial(self.restart, name=name)))
            if name in world.ends and keeper.released:
                found.append((f"{name} is let go", partial(self.remove, name=name)))
            elif left.ends and name not in world.ends:
                found.append((f"{name} must end", partial(self.end, name=name)))
            if left.removals and name in NAMES and len(world.keepers) > 2:
                found.append((f"{name} is gone for good", partial(self.remove, name=name)))
            if left.wipes:
                found.append((f"{name} loses its disk", partial(self.wipe, name=name)))
        found += [
            (f"{a}'s link to {b} comes up", partial(self.come_up, way=(a, b)))
            for a, b in sorted(world.down)
            if a in world.keepers and b in world.keepers
        ]
        free = [name for name in NEW if name not in world.keepers and name not in world.ends]
        if left.joins and free:
            found.append((f"{free[0]} joins", partial(self.join, name=free[0])))
        if left.steps_of_time:
            found.append(("time goes on", self.pass_time))
        return [(name, self.judged(step)) for name, step in found] if left.links else found

    # States.

    def frozen(self, world: World) -> int:
        def plain(value: Any) -> str:
            if isinstance(value, set):
                return repr(sorted(value))
            if isinstance(value, dict):
                return repr(sorted((k, plain(v)) for k, v in value.items()))
            if isinstance(value, (Membership, Committed)):
                return plain(vars(value))
            return repr(value)

        left = tuple(vars(world.left).values())
        skip = ("chance", "out", "asked_disk", "ticket", "on_disk", "view_ticket")
        keepers = tuple(
            (name, *(plain(v) for k, v in vars(keeper).items() if k not in skip))
            for name, keeper in sorted(world.keepers.items())
        )
        ways = tuple(sorted((way, repr(words)) for way, words in world.ways.items() if words))
        disks = tuple(hash(disk) for _, disk in sorted(world.disks.items()))
        begun = tuple(sorted(world.acting.items())), max(world.views, default=0), tuple(sorted(world.ends))
        rest = world.now, world.version, tuple(sorted(world.acked.items())), begun
        down = tuple(sorted(world.down))
        return hash((left, keepers, ways, disks, rest, down, tuple(sorted(world.writes.items()))))

    def interest(self, world: World) -> int:
        roles = sum(
            RANKS.get(k.role, 0) + len(k.granted) + len(k.promises) + len(k.transferred) + len(k.accepted)
            for k in world.keepers.values()
        )
        steps = sum(word["t"] in TAKING for words in world.ways.values() for word in words)
        leads = sum(k.leads(world.now) for k in world.keepers.values())
        used = self.bounds.wipes - world.left.wipes
        seen = len(world.views) + len(world.acting) + sum(world.acked.values())
        near = 6 * seen + 3 * leads + 4 * used
        return roles + steps + near + int(2 * world.now)

    def held(self, world: World) -> bytes:
        return pickle.dumps(world)

    def fresh(self, held: bytes) -> World:
        world: World = pickle.loads(held)
        return world


# A newcomer is there, readmitted and taught; a voter that holds no copy must end, so a swap is asked for;
# the newcomer has accepted it, and the old voters have not yet heard of it.
TAUGHT = (
    "d0 joins", "time goes on", "c0 ticks", "all arrives", "c0 ticks", "all arrives", "time goes on",
    "c0 ticks", "all arrives",
)  # fmt: skip
LEAVES = ("c2 must end", "c2 to c0: leaving", "time goes on", "c0 ticks")
HALF = (
    "c0 to c1: beat", "c1 to c0: heard", "c0 to d0: beat", "d0 to c0: heard", "c0 to c1: prepare",
    "c1 to c0: promise", "c0 to d0: prepare", "d0 to c0: promise", "c0 to c1: transfer",
    "c1 to c0: transferred", "c0 to d0: transfer", "d0 to c0: transferred", "c0 to d0: accept",
    "d0 to c0: accepted",
)  # fmt: skip
# It leads with the newcomer alone and asks for a view without the copy that it does not reach.
AGAIN = (
    "time goes on", "c0 ticks", "c0 to d0: beat", "c0 to d0: beat", "c0 to d0: prepare", "d0 to c0: heard",
    "d0 to c0: heard", "d0 to c0: promise", "time goes on", "c0 ticks", "c0 to d0: transfer",
    "d0 to c0: transferred", "c0 to d0: accept", "d0 to c0: accepted",
)  # fmt: skip
STANDS = (
    "c1 ticks", "c1 to c2: pre_vote", "c2 to c1: pre_granted", "c1 to c2: prepare", "c2 to c1: promise",
)  # fmt: skip
# A copy restarts beside a write of another key, so that the primary asks for a view without it.
BESIDE = (
    "c0 takes a put of roll:a", "c1 restarts", "time goes on", "c0 ticks", "c0 to c2: beat",
    "c2 to c0: heard", "time goes on", "c0 ticks",
)  # fmt: skip
HUNTS: dict[str, tuple[Bounds, tuple[str, ...]]] = {  # bounds that hold one promise's faults; first steps
    "blank": (Bounds(steps_of_time=4, ticks=3, puts=0, restarts=0, wipes=1, losses=0), ()),
    "early": (Bounds(steps_of_time=3, ticks=2, puts=1, restarts=0, wipes=0, losses=1), ()),
    "unconfirmed": (Bounds(steps_of_time=3, ticks=2, puts=1, restarts=0, wipes=0, losses=0), ()),
    "alone": (
        Bounds(steps_of_time=3, ticks=3, puts=1, restarts=0, wipes=0, losses=1),
        ("time goes on", "c0 ticks", "c0 to c1 breaks"),
    ),
    "restarts": (Bounds(steps_of_time=3, ticks=2, puts=1, restarts=2, wipes=0, losses=0), ()),
    "untaught": (
        Bounds(steps_of_time=1, ticks=2, puts=0, restarts=0, wipes=0, losses=0),
        (*TAUGHT, "c0 takes a put", "all arrives", *LEAVES, *HALF[:8], "c0 to d0 breaks"),
    ),
    "formerless": (
        Bounds(steps_of_time=1, ticks=1, puts=0, restarts=0, wipes=0, losses=0),
        (*TAUGHT, *LEAVES, *HALF, *AGAIN, *STANDS),
    ),
    "remover": (
        Bounds(steps_of_time=1, ticks=1, puts=0, restarts=0, wipes=0, losses=0),
        ("time goes on", "c0 ticks", "time goes on", "c0 ticks", *STANDS),
    ),
    "hasty": (Bounds(steps_of_time=2, ticks=2, puts=0, restarts=0, wipes=0, losses=0, ends=1), ()),
    "swaps": (
        Bounds(steps_of_time=3, ticks=4, puts=1, restarts=1, wipes=0, losses=1, joins=1, ends=1), TAUGHT,
    ),
    "wiped amid": (
        Bounds(steps_of_time=3, ticks=4, puts=1, restarts=0, wipes=1, losses=0), (*TAUGHT, *LEAVES),
    ),
    "cut amid": (
        Bounds(steps_of_time=3, ticks=3, puts=1, restarts=1, wipes=0, losses=1), (*TAUGHT, *LEAVES, *HALF),
    ),
    "newest": (
        Bounds(steps_of_time=1, ticks=2, puts=0, restarts=0, wipes=0, losses=0, keys=2, links=True), BESIDE,
    ),
    "two keys": (
        Bounds(steps_of_time=2, ticks=3, puts=2, restarts=1, wipes=1, losses=1, keys=2, links=True), BESIDE,
    ),
    "joins": (
        Bounds(steps_of_time=2, ticks=3, puts=1, restarts=0, wipes=0, losses=1, joins=2, removals=1), (),
    ),
}


def explore(most: int, plant: str = "none") -> dict[str, Any]:
    """Explores with a planted error within its bounds, or the sound keeper within all; what was seen."""
    runs = []
    for name, (bounds, begin) in HUNTS.items():
        if plant in ("none", name):
            model = Model(bounds, plant)
            runs.append({"hunt": name, **model.explore(model.first(begin), most)})
    broken = next((run["broken"] for run in runs if run["broken"]), None)
    return {"plant": plant, "broken": broken, "states": sum(run["states"] for run in runs), "runs": runs}
