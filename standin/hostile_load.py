"""Hostile clients of every kind, drawn by a seed, at every listener of a gateway of real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from standin.gateway_rig import CTL, EDGE, UP, Rig
from standin.hostile_clients import KINDS, Crowd, kind_for
from standin.hostile_drill import DESCRIPTORS, MEMORY_MB, RESERVED, peak_kib, sockets_of
from standin.processes import Process

CLIENTS = (1, 6)  # of one crowd
BYTES = (16 * 1024, 512 * 1024)  # that a client writes at the most
HOLD_S = (0.0, 0.5)  # s that a crowd keeps its connections once it has written
LOOK_S = 0.1  # s between looks at the processes
LISTENERS = {"Edge": EDGE, "Up": UP, "Ctl": CTL}


class HostileLoad:
    """`crowds` at a time, until `over`; what the processes held is judged by their settings."""

    def __init__(self, seed: int, rig: Rig, crowds: int, over: Callable[[], bool]) -> None:
        self.chance = Random(f"hostile {seed}")
        self.rig, self.crowds, self.over = rig, crowds, over
        self.played = self.sent = 0
        self.peak_kib, self.sockets = 0, 0  # the most that a process held

    def draw(self) -> Crowd:
        """The next crowd."""
        listener = self.chance.choice(list(LISTENERS))
        ip = self.chance.choice(self.rig.cores if listener == "Ctl" else self.rig.fronts)
        kind = kind_for(listener, self.chance.choice(list(KINDS)))
        where = (ip, LISTENERS[listener])
        return Crowd(kind, where, self.chance.randint(*CLIENTS), self.chance.randint(*BYTES))

    async def play(self) -> None:
        """One crowd after another."""
        while not self.over():
            crowd = self.draw()
            await crowd.play()
            await asyncio.sleep(self.chance.uniform(*HOLD_S))
            crowd.close()
            self.played, self.sent = self.played + 1, self.sent + crowd.sent

    async def watch(self, processes: dict[str, Process]) -> None:
        """Looks at what the processes hold."""
        while not self.over():
            await asyncio.sleep(LOOK_S)
            for process in processes.values():
                self.peak_kib = max(self.peak_kib, peak_kib(process))
                self.sockets = max(self.sockets, sockets_of(process))

    async def run(self, processes: dict[str, Process]) -> None:
        await asyncio.gather(self.watch(processes), *(self.play() for _ in range(self.crowds)))

    @property
    def faults(self) -> list[str]:
        """What a process held beyond its settings."""
        found = []
        if self.peak_kib > MEMORY_MB * 1024:
            found.append(f"a process held {self.peak_kib} KiB")
        if self.sockets > DESCRIPTORS - RESERVED:
            found.append(f"a process had {self.sockets} sockets and pipes")
        return found

    def figures(self) -> dict[str, object]:
        held = {"peak_kib": self.peak_kib, "sockets": self.sockets}
        return {"crowds": self.played, "hostile_bytes": self.sent, **held}
