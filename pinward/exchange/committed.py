"""The committed items as one control server holds them, and a digest by which two servers compare them all.

Whether a server lacks something is never inferred from the newest item that it holds: items come one at a
time, and one that was down or cut off as an older item came may hold a newer one. The digest covers every key
with its stamp, costs one hash a write, and rides on each heartbeat; only where two digests differ are the
stamps of all keys sent, and then the items that differ.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from pinward.exchange.view import Stamp, newest

DIGEST_BYTES = 8
NO_STAMP: Stamp = (0, 0)  # lower than that of any write

Item = list[Any]  # epoch, number, value


def stamp_of(plain: Any) -> Stamp:
    """A stamp as JSON has it; what is none counts as lower than all, so that its key is sent anew."""
    match plain:
        case [int(epoch), int(number), *_]:
            return epoch, number
    return NO_STAMP


def key_digest(key: str, stamp: Stamp) -> int:
    """One key's part of the digest."""
    told = f"{stamp[0]} {stamp[1]} {key}".encode()
    return int.from_bytes(blake2b(told, digest_size=DIGEST_BYTES).digest(), "big")


@dataclass
class Committed:
    """Items by key, the newest of each that was told, and the digest of their keys and stamps."""

    items: dict[str, Item] = field(default_factory=dict)
    combined: int = 0  # the parts of all keys, combined by exclusive or: their order does not count

    @property
    def digest(self) -> str:
        return f"{self.combined:0{2 * DIGEST_BYTES}x}"

    @property
    def newest(self) -> Stamp:
        return newest(self.items)

    def take(self, key: str, item: Item) -> bool:
        """Takes an item in; False where it is not newer than the one held."""
        held = self.items.get(key)
        if held is not None:
            if stamp_of(held) >= stamp_of(item):
                return False
            self.combined ^= key_digest(key, stamp_of(held))
        self.items[key] = list(item)
        self.combined ^= key_digest(key, stamp_of(item))
        return True

    def stamps(self) -> dict[str, Stamp]:
        """What is held of each key."""
        return {key: stamp_of(item) for key, item in self.items.items()}

    def lacking(self, stamps: Any) -> dict[str, Item]:
        """The items that a server with these stamps lacks; all, where the stamps cannot be read."""
        held = stamps if isinstance(stamps, dict) else {}
        return {key: item for key, item in self.items.items() if stamp_of(held.get(key)) < stamp_of(item)}
