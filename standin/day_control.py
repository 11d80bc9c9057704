"""Control servers of a simulated day: the real ones, on disks that are boxes in memory."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from pinward.exchange.host import Exchange
from pinward.exchange.storage import Storage
from pinward.exchange.vault import Vault


class BoxStorage(Storage):
    """A disk that is a box of the day's: bodies by the prefix of their vault."""

    def __init__(self, box: dict[str, bytes], write_s: Callable[[], float], full: Callable[[], bool]) -> None:
        super().__init__(Vault(Path(".")))
        self.box, self.write_s, self.full = box, write_s, full
        for vault in (self.departures, self.hint):
            vault.read = partial(self.read, vault)  # type: ignore[method-assign]

    def read(self, vault: Vault) -> Any:
        return json.loads(self.box[vault.prefix]) if vault.prefix in self.box else None

    async def write(self, vault: Vault, body: bytes) -> None:
        await asyncio.sleep(self.write_s())
        if self.full():
            raise OSError("the disk takes no more")
        self.box[vault.prefix] = body

    async def make_room(self) -> None:
        self.box.pop(self.hint.prefix, None)


class Core(Exchange):
    """An exchange of the day's, which tells it of faults."""

    faults: list[str]

    def fault(self, task: asyncio.Task[Any], why: BaseException) -> None:
        super().fault(task, why)
        self.faults.append(repr(why))
