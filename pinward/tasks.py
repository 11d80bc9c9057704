"""Work that outlasts the call which began it: held until it ends, and a fault in it told, not lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

Told = Callable[[asyncio.Task[Any], BaseException], None]


class Tasks:
    def __init__(self, fault: Told) -> None:
        self.fault = fault
        self.running: set[asyncio.Task[Any]] = set()  # asyncio itself holds none of them

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self.running.add(task)
        task.add_done_callback(self.ended)
        return task

    def ended(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (why := task.exception()) is not None:
            self.fault(task, why)

    def cancel(self) -> None:
        for task in self.running:
            task.cancel()
