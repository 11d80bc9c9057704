"""Bytes that the connections of a process hold together, bounded whatever each of them does."""

from __future__ import annotations

from typing import Self


class HeldBytes:
    """A pool of `most` bytes."""

    def __init__(self, most: float) -> None:
        self.most, self.used = most, 0

    def take(self, number: int) -> bool:
        """Takes so many bytes; False, with nothing taken, where the pool has not so many left."""
        if self.used + number > self.most:
            return False
        self.used += number
        return True

    def give_back(self, number: int) -> None:
        self.used -= number

    @property
    def scarce(self) -> bool:
        """True where less than half is left."""
        return self.used > self.most / 2


class Reservation:
    """What one request holds of a pool. What it still holds is given back as it is forgotten."""

    def __init__(self, pool: HeldBytes, free: int) -> None:
        """The first `free` bytes are not counted: each connection may hold them."""
        self.pool, self.free, self.taken = pool, free, 0

    def grow(self, number: int) -> bool:
        """Holds so many bytes more; False, with nothing taken, where the pool has not so many left."""
        counted = max(0, number - self.free)
        if counted and not self.pool.take(counted):
            return False
        self.free = max(0, self.free - number)
        self.taken += counted
        return True

    def join(self, other: Self) -> None:
        """Holds from here on what another reservation of the same pool held."""
        self.taken, other.taken = self.taken + other.taken, 0

    def release(self) -> None:
        """Gives all back; a second call does nothing."""
        self.pool.give_back(self.taken)
        self.taken = 0

    def __del__(self) -> None:
        self.release()
