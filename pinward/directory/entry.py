"""One life of a machine, as it last told it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Any


class Standing(IntEnum):
    """What a machine is to requests; a life only goes up, but for SILENT, which its next beat ends."""

    UP = 0
    SILENT = 1
    DRAIN = 2
    GONE = 3


@dataclass(frozen=True)
class Entry:
    """A machine's life; `calls` rises with each call of it, so that of two entries the later is known."""

    iid: str
    service: str
    where: tuple[str, int]
    zone: str
    build: str
    slots: int
    standing: Standing
    calls: int
    cold_s: float = 0.0  # how much longer it is slow, at the time it was told

    @property
    def leaves(self) -> bool:
        """True where the machine said that it leaves, or that it has left."""
        return self.standing >= Standing.DRAIN

    def newer(self, held: Entry | None) -> bool:
        """True where this one is to take the place of `held`. What leaves never comes back in one life."""
        if held is None:
            return True
        if held.leaves != self.leaves:
            return self.leaves
        if held.leaves and self.standing != held.standing:
            return self.standing > held.standing
        return (self.calls, self.standing) > (held.calls, held.standing)

    def same(self, held: Entry) -> bool:
        """True where requests would be put through alike."""
        return replace(self, calls=0, cold_s=0.0) == replace(held, calls=0, cold_s=0.0)

    def plain(self) -> list[Any]:
        return [
            self.iid, self.service, *self.where, self.zone, self.build, self.slots, int(self.standing),
            self.calls, round(self.cold_s, 2),
        ]  # fmt: skip

    @classmethod
    def of(cls, plain: list[Any]) -> Entry:
        iid, service, host, port, zone, build, slots, standing, calls, cold_s = plain
        return cls(iid, service, (host, port), zone, build, slots, Standing(standing), calls, cold_s)


def unknown(iid: str) -> Entry:
    """A life of which nothing is known but that it has left."""
    return Entry(iid, "", ("", 0), "", "", 0, Standing.GONE, 0)
