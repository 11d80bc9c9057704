"""Which machine a request goes to: by what machines told of their load, own sends, speed learned, zone and
warmth.

No clock, no socket; chance comes from one seeded Random.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, inf
from random import Random

from pinward.directory.entry import Entry, Standing
from pinward.directory.sanctioned import sanctioned
from pinward.switchboard.verdict import End, Ending, Verdict
from pinward.trial.order import Order

DRAWS = 4  # machines looked at for a request: the best of a few, lest all fronts choose the same
LOAD_S = 0.8  # s in which what a machine told of its load fades to what is usual there
AWAY = 0.5  # of the usual time that another zone costs: bytes between zones are priced
SPILL = 1.1  # of the slots busy at the best near machine, from which on other zones are looked at
SPEED_KEPT = 0.9  # of the speed learned that stays with each answer
SLOWNESS_MOST = 4.0  # times the usual that one answer counts as, at most
ASIDE_S = (0.4, 4.0)  # s that a machine is left out after failures in a row, doubled each time
ASIDE_AFTER = 2  # failures in a row; a refused connection counts as enough
FULL_S = 0.15  # s that a machine which turned one away is taken to be full
SHAKY_S = 8.0  # s after a spoilt or broken answer in which `once` requests get connections of their own
CONNECTIONS_PART = 0.8  # of what a machine accepts, for all fronts together
OPEN_LEAST = 2  # sends at a machine that any front may have open
ANSWERS_S = 3.0  # s after a whole answer in which silence of its beats is no reason to leave a machine out
GUESS_S = 0.1  # s of a service whose times are not known yet


class Machine:
    """A life of a machine and what this front learned of it."""

    def __init__(self, entry: Entry, now: float) -> None:
        self.entry = entry
        self.warm_at = now + entry.cold_s
        self.open = 0
        self.told, self.told_at, self.told_open = 0.0, -inf, 0
        self.full_until = self.aside_until = self.shaky_until = -inf
        self.good_at = -inf  # its last whole answer
        self.failed, self.aside_s = 0, 0.0
        self.speed = 1.0  # times the service's usual
        self.trial = False

    def busy(self, now: float) -> float:
        """Requests there: own, and others' as last told, faded."""
        others = max(0.0, self.told - self.told_open) * exp(-(now - self.told_at) / LOAD_S)
        return self.open + others

    def wait(self, now: float) -> float:
        """About how long a request takes there, in usual times."""
        slots = self.entry.slots
        over = max(0.0, self.busy(now) + 1 - slots) / slots
        near = min(1.0, self.busy(now) / slots)
        cold = 2.0 if now < self.warm_at else 1.0
        full = 2.0 if now < self.full_until else 0.0
        return self.speed * cold * (1.0 + over + 0.5 * near * near) + full


class Service:
    """The machines of a service that may run its requests now."""

    def __init__(self) -> None:
        self.usual_s = GUESS_S
        self.base: list[Machine] = []
        self.trial: list[Machine] = []
        self.connections = 0  # that a machine accepts

    def load(self, now: float) -> float:
        """Part of the slots that are busy, as far as this front knows; over 1 where requests wait."""
        slots = sum(machine.entry.slots for machine in self.base)
        return sum(machine.busy(now) for machine in self.base) / slots if slots else 1.0

    def part(self) -> float:
        """The new build's part of the machines."""
        whole = len(self.base) + len(self.trial)
        return len(self.trial) / whole if whole else 0.0


class Lines:
    def __init__(self, zone: str, seed: int | str) -> None:
        self.zone, self.chance = zone, Random(seed)
        self.machines: dict[str, Machine] = {}
        self.services: dict[str, Service] = {}
        self.fronts = 1

    def learn(
        self, now: float, entries: Iterable[Entry], orders: dict[str, Order], limits: dict[str, int]
    ) -> None:
        """All machines known, the orders in force, and how many connections a service's machines accept."""
        by_service: dict[str, list[Entry]] = {}
        known = set()
        for entry in entries:
            known.add(entry.iid)
            by_service.setdefault(entry.service, []).append(entry)
            machine = self.machines.get(entry.iid)
            if machine is None:
                self.machines[entry.iid] = Machine(entry, now)
            else:
                machine.entry = entry
        for iid in [iid for iid, machine in self.machines.items() if iid not in known and not machine.open]:
            del self.machines[iid]
        some_left = {*by_service, *limits, *(machine.entry.service for machine in self.machines.values())}
        for name in [name for name in self.services if name not in some_left]:
            del self.services[name]
        for name in {*by_service, *self.services}:
            service = self.services.setdefault(name, Service())
            found = by_service.get(name, [])
            base, target = sanctioned(found, orders.get(name))
            some = [self.machines[e.iid] for e in found]
            up = [m for m in some if m.entry.standing is Standing.UP or self.answers(now, m)]
            silent = [m for m in some if m.entry.standing is Standing.SILENT]
            service.base = [m for m in up if m.entry.build == base]
            service.base = service.base or [m for m in silent if m.entry.build == base]
            service.trial = sorted(
                (m for m in up if target is not None and m.entry.build == target), key=lambda m: m.entry.iid
            )
            service.connections = limits.get(name, 0)
            for machine in service.base:
                machine.trial = False
            for machine in service.trial:
                machine.trial = True

    @staticmethod
    def answers(now: float, machine: Machine) -> bool:
        # Guards against beats lost with a control front: an answer tells more. Harm: an error a front.
        return machine.entry.standing is Standing.SILENT and now - machine.good_at < ANSWERS_S

    def expected(self, now: float, machine: Machine) -> float:
        """About how many seconds a request takes there, in the service's usual times."""
        service = self.services[machine.entry.service]
        over = max(0.0, machine.busy(now) + 1 - machine.entry.slots) / machine.entry.slots
        return service.usual_s * machine.speed * (1.0 + over)

    def open_most(self, service: Service) -> float:
        part = CONNECTIONS_PART * service.connections / max(1, self.fronts)
        return max(OPEN_LEAST, part) if service.connections else inf

    def pick(
        self, now: float, name: str, tried: list[Machine], trial: bool = False, some: int = 0
    ) -> Machine | None:
        """The machine for a send of service `name`, one not yet tried; None where none may take it.

        With `trial`, one of the new build's first `some` that are well: equal load a machine.
        """
        service = self.services.get(name)
        if service is None:
            return None
        most = self.open_most(service)
        arm = service.trial if trial else service.base
        able = [m for m in arm if m not in tried and m.open < most]
        well = [m for m in able if now >= m.aside_until and not (m.aside_s and m.open)]
        if trial:
            return self.best(now, well[:some]) if well else None
        if not well:
            return min(able, key=lambda m: (m.open, m.aside_until)) if able else None
        near = [m for m in well if m.entry.zone == self.zone]
        first = self.best(now, near)
        if first is not None and first.busy(now) < SPILL * first.entry.slots and now >= first.full_until:
            return first
        second = self.best(now, [m for m in well if m.entry.zone != self.zone])
        if first is None or second is None:
            return first or second
        return min((first, second), key=lambda m: m.wait(now) + (AWAY if m is second else 0.0))

    def best(self, now: float, some: list[Machine]) -> Machine | None:
        if len(some) > DRAWS:
            some = self.chance.sample(some, DRAWS)
        return min(some, key=lambda m: (m.wait(now), self.chance.random()), default=None)

    def begin(self, machine: Machine) -> None:
        machine.open += 1

    def end(self, now: float, machine: Machine, ending: Ending, took: float) -> None:
        """A send there ended."""
        machine.open -= 1
        if ending.what == End.ABANDONED:
            self.abandoned(now, machine, took)
            return
        if ending.what == End.CLIENT:
            return  # it tells nothing of the machine
        if ending.load is not None:
            running, waiting, _ = ending.load
            machine.told, machine.told_at, machine.told_open = running + waiting, now, machine.open
        if ending.verdict is Verdict.RAN:
            machine.failed, machine.aside_s, machine.good_at = 0, 0.0, now
            service = self.services.get(machine.entry.service)
            queued = ending.load is not None and ending.load[1] > 0  # its time tells of the queue
            if service is not None and ending.status < 500 and not queued:
                service.usual_s = 0.98 * service.usual_s + 0.02 * min(took, 10 * service.usual_s)
                if now >= machine.warm_at:
                    part = min(SLOWNESS_MOST, took / service.usual_s)
                    machine.speed = SPEED_KEPT * machine.speed + (1 - SPEED_KEPT) * part
        elif ending.verdict is Verdict.TURNED_AWAY:
            machine.full_until = now + FULL_S * self.chance.uniform(0.6, 1.4)
            if ending.status == 421:
                self.leave_out(now, machine)
        else:
            machine.failed += 1
            machine.shaky_until = now + SHAKY_S
            if machine.failed >= ASIDE_AFTER or ending.verdict is Verdict.NOT_SENT:
                self.leave_out(now, machine)

    def abandoned(self, now: float, machine: Machine, took: float) -> None:
        """A send was given up here: its machine has not failed. It is known to take at least so long.

        Harm without it: the machines that are so slow that clients leave would look as quick as the rest, and
        empty besides, and be chosen more and more.
        """
        service = self.services.get(machine.entry.service)
        if service is None or now < machine.warm_at:
            return
        slots = machine.entry.slots
        queue = max(0.0, machine.busy(now) + 1 - slots) / slots  # usual times of waiting for a slot
        part = min(SLOWNESS_MOST, took / service.usual_s - queue)
        if part > machine.speed:
            machine.speed = SPEED_KEPT * machine.speed + (1 - SPEED_KEPT) * part

    def leave_out(self, now: float, machine: Machine) -> None:
        machine.aside_s = min(ASIDE_S[1], max(ASIDE_S[0], 2 * machine.aside_s))
        machine.aside_until = now + machine.aside_s * self.chance.uniform(0.8, 1.2)
