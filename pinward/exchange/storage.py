"""The disk of a control server: writes beside all else, repeated until the disk takes them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

from pinward.annunciator import ring
from pinward.exchange.keeper import Kept, View
from pinward.exchange.vault import DEPARTURES, MACHINES, Vault
from pinward.plan.boot import Boot

RETRY_S = (0.05, 0.8)  # s between tries of a disk that refuses writes, doubled each time

Content = TypeVar("Content")


class Storage:
    """Three sequences of generations in one folder: the control state, departures, a hint of machines."""

    def __init__(self, state: Vault) -> None:
        self.state = state
        self.departures = Vault(state.folder, DEPARTURES)
        self.hint = Vault(state.folder, MACHINES)
        self.executor = ThreadPoolExecutor(1)

    async def write(self, vault: Vault, body: bytes) -> None:
        """A new generation, written beside all else: a disk that hangs stops no beat. Raises OSError."""
        await asyncio.get_running_loop().run_in_executor(self.executor, vault.write, body)

    async def write_newest(
        self, vault: Vault, newest: Callable[[], tuple[Content, bytes]], label: str = ""
    ) -> Content:
        """Writes what is newest at each try until the disk takes it; returns what was written."""
        pause_s = RETRY_S[0]
        while True:
            content, body = newest()
            try:
                await self.write(vault, body)
                return content
            except OSError as why:
                ring(205, why=f"{label}{why}")
            await self.make_room()
            await asyncio.sleep(pause_s)
            pause_s = min(RETRY_S[1], 2 * pause_s)

    async def make_room(self) -> None:
        """The control state goes before the machines known, on a disk that takes no more."""
        await asyncio.get_running_loop().run_in_executor(self.executor, self.hint.empty)


def open_state(boot: Boot) -> tuple[Vault, Kept]:
    """The state on disk, or what a machine without any begins from."""
    vault = Vault(Path(boot.folder or "."))
    data = vault.read()
    founders = tuple(sorted(host for host, _ in boot.peers))
    if data is not None:
        return vault, Kept.of(data)
    blank = not boot.first
    if blank:
        ring(203)
    return vault, Kept(0, View(0, "", founders, founders), blank)
