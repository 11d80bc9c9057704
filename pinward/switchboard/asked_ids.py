"""Which request ids a connection has carried, in bounded memory: a Bloom filter.

It may report an id that the connection has not carried, never the reverse. No clock, no socket.
"""

from __future__ import annotations

IDS_MOST = 1024  # ids that a connection may carry: then one in 400 others is reported as carried
FILTER_BITS = 14  # bits of a position in the filter, so 2 KiB a connection
POSITIONS = 4  # set for each id: all are taken from one hash of 64 bits
MASK = (1 << FILTER_BITS) - 1


def positions(id_: str) -> list[int]:
    """The bits that an id sets. The hash differs from process to process, so no client can aim at it."""
    digest = hash(id_)
    return [digest >> FILTER_BITS * n & MASK for n in range(POSITIONS)]


class AskedIds:
    """The ids of the requests that one connection has carried."""

    __slots__ = ("bits", "count")

    def __init__(self) -> None:
        self.bits = bytearray()  # made with the first id
        self.count = 0

    @property
    def full(self) -> bool:
        """True where a further id would make too many others look as if they were carried."""
        return self.count >= IDS_MOST

    def add(self, id_: str) -> None:
        """The connection carries a request with this id."""
        if not self.bits:
            self.bits = bytearray(1 << FILTER_BITS - 3)
        for position in positions(id_):
            self.bits[position >> 3] |= 1 << (position & 7)
        self.count += 1

    def may_hold(self, id_: str) -> bool:
        """False where the connection has surely not carried a request with this id."""
        bits = self.bits
        return bool(bits) and all(bits[at >> 3] >> (at & 7) & 1 for at in positions(id_))
