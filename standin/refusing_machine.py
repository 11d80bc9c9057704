"""A recording machine that refuses some requests, and sends copies of answers given on a connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from weakref import WeakKeyDictionary

from standin.departures import RecordingMachine
from standin.faulty_machine import answered, turned_away

REFUSES = 0.15  # share of requests that it refuses
COPIES = 0.02  # share of requests at which it sends a copy of some earlier answer
SAME_COPIES = 0.8  # the same, where an earlier answer bears the id that arrived


@dataclass
class RefusingMachine(RecordingMachine):
    """Refusals are no work: `works` has what ran. Copies come before the answer that is due."""

    seed: int = 0
    refuses: float = REFUSES
    refused: int = 0
    copies: int = 0
    given: WeakKeyDictionary[asyncio.StreamWriter, dict[str, bytes]] = field(
        default_factory=WeakKeyDictionary
    )

    def __post_init__(self) -> None:
        self.chance = Random(f"{self.seed} {self.name}")

    def admits(self, writer: asyncio.StreamWriter, id_: str) -> bool:
        given = self.given.setdefault(writer, {})
        if given and self.chance.random() < (SAME_COPIES if id_ in given else COPIES):
            self.copies += 1
            writer.write(given[id_] if id_ in given else self.chance.choice(list(given.values())))
        if self.chance.random() >= self.refuses:
            return True
        self.refused += 1
        given[id_] = turned_away(id_)
        writer.write(given[id_])
        return False

    async def answer(self, writer: asyncio.StreamWriter, id_: str, size: int) -> None:
        self.given[writer][id_] = answered(id_, 200, b"k" * size)
        await super().answer(writer, id_, size)
