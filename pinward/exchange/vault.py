"""The control state on disk: each save is a whole new generation, a `dbm.dumb` database of its own.

`dbm.dumb` rewrites its index in place and syncs nothing, so a generation is written once, its files synced,
then
the folder, and only then counts. The newest generation whose checksum is right is taken at the start; a torn
or missing one stands for a save that was never told.

After a loss of power each file that was made or removed since the folder's last sync may be there or not, by
itself. So no number is used twice in a life, and a generation that counts is there until a newer one counts:
what comes back beside it is older, torn, or a later state that nobody was told of.
"""

from __future__ import annotations

import contextlib
import dbm.dumb
import json
import os
from pathlib import Path
from typing import Any
from zlib import crc32

from pinward.annunciator import ring
from pinward.disk import sync

STATE = "state."  # the control state
MACHINES = "book."  # the machines known, a hint for the first seconds
DEPARTURES = "left."  # machines that leave or left
KEPT = 2  # whole generations left on disk: the newest, and one should it be damaged
ENDINGS = (".dat", ".dir", ".bak")  # of the files that `dbm.dumb` makes


class Vault:
    """The generations in a folder. Every call may wait for the disk and raise OSError."""

    def __init__(self, folder: Path, prefix: str = STATE) -> None:
        self.folder, self.prefix = folder, prefix
        self.generation = 0  # the highest number used
        self.whole_ones: list[int] = []  # generations known to be whole, oldest first

    def numbers(self) -> list[int]:
        """Generations that have a file, newest first."""
        found = set()
        for name in os.listdir(self.folder):
            stem = name.removeprefix(self.prefix).partition(".")[0]
            if name.startswith(self.prefix) and stem.isdecimal():
                found.add(int(stem))
        return sorted(found, reverse=True)

    def path(self, number: int) -> Path:
        return self.folder / f"{self.prefix}{number:010d}"

    def read(self) -> dict[str, Any] | None:
        """The newest whole generation; None where there is none."""
        numbers = self.numbers()
        self.generation = numbers[0] if numbers else 0
        for number in numbers:
            try:
                data = self.whole(number)
            except Exception as why:  # a torn index is any text, and `dbm.dumb` fails at it in any way
                ring(205, why=f"{self.path(number).name}: {type(why).__name__}: {why}")
                continue
            self.whole_ones = [number]
            return data
        return None

    def whole(self, number: int) -> dict[str, Any]:
        base = str(self.path(number))
        if not os.path.exists(base + ".dir"):
            raise ValueError("it has no index")
        with contextlib.closing(dbm.dumb.open(base, "r")) as book:
            body, check = bytes(book[b"body"]), bytes(book[b"check"])
        if int(check) != crc32(body):
            raise ValueError("its checksum is wrong")
        data: dict[str, Any] = json.loads(body)
        return data

    def write(self, body: bytes) -> None:
        """Puts a new generation on disk; it is there when this returns.

        One that the disk refused leaves nothing behind and takes the older whole one with it that is only a
        spare: on a full disk the next try has their room.
        """
        self.generation += 1
        try:
            self.put(self.generation, body)
        except OSError:
            del self.whole_ones[:-1]
            self.clear()
            raise
        self.whole_ones = [*self.whole_ones, self.generation][-KEPT:]
        self.clear()

    def empty(self) -> None:
        """Leaves nothing on disk."""
        self.whole_ones = []
        self.clear()

    def put(self, number: int, body: bytes) -> None:
        base = str(self.path(number))
        with contextlib.closing(dbm.dumb.open(base, "n")) as book:
            book[b"body"] = body
            book[b"check"] = b"%d" % crc32(body)
        for ending in (".dat", ".dir"):
            sync(Path(base + ending))
        sync(self.folder)

    def clear(self) -> None:
        """Removes all files but those of the whole generations known; what cannot be is tried again later."""
        with contextlib.suppress(OSError):
            for number in self.numbers():
                if number not in self.whole_ones:
                    for ending in ENDINGS:
                        with contextlib.suppress(OSError):
                            os.remove(str(self.path(number)) + ending)
