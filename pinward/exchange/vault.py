"""The control state on disk: each save is a whole new generation, a `dbm.dumb` database of its own.

`dbm.dumb` rewrites its index in place and syncs nothing, so a generation is written once, its files synced,
then
the folder, and only then counts. The newest generation whose checksum is right is taken at the start; a torn
or missing one stands for a save that was never told. Older ones than the last two are removed.
"""

from __future__ import annotations

import contextlib
import dbm.dumb
import json
import os
from pathlib import Path
from typing import Any
from zlib import crc32

from pinward.disk import sync

STATE, MACHINES = "state.", "book."  # the control state; the machines known, a hint for the first seconds
KEPT = 2  # generations left on disk: the newest, and one should it be damaged


class Vault:
    """The generations in a folder. Every call may wait for the disk and raise OSError."""

    def __init__(self, folder: Path, prefix: str = STATE) -> None:
        self.folder, self.prefix = folder, prefix
        self.generation = 0

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
            with contextlib.suppress(OSError, ValueError, KeyError, dbm.dumb.error):
                return self.whole(number)
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
        """Puts a new generation on disk; it is there when this returns."""
        self.generation += 1
        path = self.path(self.generation)
        base = str(path)
        with contextlib.closing(dbm.dumb.open(base, "n")) as book:
            book[b"body"] = body
            book[b"check"] = b"%d" % crc32(body)
        for ending in (".dat", ".dir"):
            sync(Path(base + ending))
        sync(self.folder)
        for number in self.numbers()[KEPT:]:
            for ending in (".dat", ".dir", ".bak"):
                with contextlib.suppress(OSError):
                    os.remove(str(self.path(number)) + ending)
