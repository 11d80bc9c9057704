"""Words between instances as frames: a 32-bit length, then msgpack. Nothing here does I/O."""

from __future__ import annotations

import struct
from typing import Any

import msgpack

from pinward.lead.store import base_of, entry_of, plain_base, plain_entry
from pinward.lead.terms import Word

FRAME_MOST = 8 * 2**20  # bytes; a longer one ends the connection. A state holds some hundreds of KiB
LENGTH = struct.Struct("<I")


class MalformedWordError(ValueError):
    """What came is no frame or no word."""


def frame(thing: Any) -> bytes:
    body = msgpack.packb(thing)
    return LENGTH.pack(len(body)) + body


class Frames:
    """Takes in bytes as they come and gives back what was framed."""

    def __init__(self, most: int = FRAME_MOST) -> None:
        self.most = most
        self.data = bytearray()

    def add(self, data: bytes) -> None:
        self.data += data

    def next(self) -> Any | None:
        """The next framed thing; None until it is whole. Raises MalformedWordError."""
        if len(self.data) < LENGTH.size:
            return None
        length = LENGTH.unpack_from(self.data)[0]
        if not 0 < length <= self.most:
            raise MalformedWordError(f"a frame of {length} bytes")
        end = LENGTH.size + length
        if len(self.data) < end:
            return None
        try:
            thing = msgpack.unpackb(bytes(self.data[LENGTH.size : end]), strict_map_key=False)
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as fault:
            raise MalformedWordError(f"a frame that is no msgpack: {fault}") from None
        del self.data[:end]
        if thing is None:
            raise MalformedWordError("an empty frame")
        return thing


def plain_word(word: tuple[Any, ...]) -> list[Any]:
    kind, *things = word
    if kind is Word.APPEND:
        things[4] = [plain_entry(entry) for entry in things[4]]
    elif kind is Word.WHOLE:
        things[2] = plain_base(things[2])
    return [int(kind), *things]


SHAPES: dict[Word, tuple[type, ...]] = {
    Word.CANVASS: (int, int, int),
    Word.CANVASSED: (int, bool),
    Word.ASK_VOTE: (int, int, int, bool),
    Word.VOTED: (int, bool),
    Word.APPEND: (int, int, int, int, list, int),
    Word.TAKEN: (int, int, bool, int),
    Word.WHOLE: (int, int, list),
    Word.HAND: (int,),
}


def word_of(plain: Any) -> tuple[Any, ...]:
    """A word from plain data; raises MalformedWordError where it is none."""
    try:
        kind = Word(plain[0])
        things = plain[1:]
        if tuple(map(type, things)) != SHAPES[kind]:
            raise ValueError(f"{kind.name} with {things!r:.80}")
        if any(type(thing) is int and not 0 <= thing < 2**53 for thing in things):
            raise ValueError("a number out of range")
        if kind is Word.APPEND:
            things[4] = [entry_of(entry) for entry in things[4]]
            indexes = [entry.index for entry in things[4]]
            if indexes != list(range(things[2] + 1, things[2] + 1 + len(indexes))):
                raise ValueError("entries with gaps")
        elif kind is Word.WHOLE:
            things[2] = base_of(things[2])
    except (ValueError, TypeError, IndexError, KeyError) as fault:
        raise MalformedWordError(f"no word: {fault}") from None
    return (kind, *things)
