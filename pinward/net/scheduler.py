"""Greenlets over select.poll: tasks that wait for descriptors, for a time or for a word from another task."""

from __future__ import annotations

import select
import time
from collections import deque
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import inf
from typing import cast

from greenlet import getcurrent, greenlet

from pinward.net.log import hold

READ, WRITE, HANGUP = select.POLLIN, select.POLLOUT, select.POLLRDHUP
POLL_MOST_MS = 60_000  # poll takes whole milliseconds of 31 bits; it is called again after this


def raised(fault: Exception) -> None:
    """What to do about an exception that leaves a task."""
    raise fault


class Task:
    """One flow of work. `turn` numbers its waits, so that a word meant for an earlier one does nothing."""

    def __init__(self, work: Callable[[], None], hub: greenlet) -> None:
        self.flow = greenlet(work, hub)
        self.turn, self.waits = 1, False
        self.fired: dict[int, int] = {}


class Scheduler:
    def __init__(self) -> None:
        self.poll = select.poll()
        self.watchers: dict[int, Task] = {}
        self.ready: deque[tuple[Task, int]] = deque()
        self.timers: list[tuple[float, int, Task, int]] = []
        self.count = 0
        self.live = 0
        self.offset = time.time() - time.monotonic()
        self.ended = False
        self.hub = getcurrent()
        self.running: Task | None = None
        self.failed: Callable[[Exception], None] = raised  # a host may put its own in place

    def now(self) -> float:
        """Unix seconds that never jump: nodes tell their starts in Unix time."""
        return self.offset + time.monotonic()

    def spawn(self, work: Callable[..., None], *things: object) -> Task:
        def whole() -> None:
            try:
                work(*things)
            except Exception as fault:
                self.failed(fault)
            finally:
                self.live -= 1

        task = Task(whole, self.hub)
        self.live += 1
        self.ready.append((task, 1))
        return task

    def current(self) -> Task:
        hold(self.running, "only tasks wait")
        return cast(Task, self.running)

    def wait(self, until: float, *watched: tuple[int, int]) -> dict[int, int]:
        """Waits for one of (descriptor, events), for `wake` or for a time; returns the events that came."""
        task = self.current()
        for fd, events in watched:
            hold(fd not in self.watchers, "one task waits for a descriptor")
            self.watchers[fd] = task
            self.poll.register(fd, events)
        task.turn += 1
        task.waits, task.fired = True, {}
        if until < inf:
            self.count += 1
            heappush(self.timers, (until, self.count, task, task.turn))
        try:
            self.hub.switch()
        finally:
            task.waits = False
            for fd, _ in watched:
                if self.watchers.pop(fd, None) is not None:
                    self.poll.unregister(fd)
        return task.fired

    def wake(self, task: Task) -> None:
        """Ends the wait that a task is in now, if it is in one."""
        if task.waits:
            task.waits = False
            self.ready.append((task, task.turn))

    def run(self) -> None:
        """Runs all tasks until `stop`; an exception that leaves a task leaves here."""
        self.hub = getcurrent()
        while not self.ended:
            self.turn()

    def turn(self) -> None:
        """One look at the descriptors and the clock, then every task that has something to do."""
        now = self.now()
        while self.timers and (self.timers[0][0] <= now or self.over(self.timers[0])):
            timer = heappop(self.timers)
            if not self.over(timer):
                self.wake(timer[2])
        if len(self.timers) > 64 + 4 * self.live:
            self.timers = [timer for timer in self.timers if not self.over(timer)]
            heapify(self.timers)
        pause = 0.0 if self.ready else self.timers[0][0] - now if self.timers else inf
        for fd, events in self.poll.poll(min(POLL_MOST_MS, max(0.0, pause * 1000))):
            task = self.watchers[fd]
            task.fired[fd] = events
            self.wake(task)
        for _ in range(len(self.ready)):  # what they make ready waits for the next turn
            task, turn = self.ready.popleft()
            if task.turn == turn and not task.flow.dead:
                self.running = task
                task.flow.switch()
                self.running = None

    def over(self, timer: tuple[float, int, Task, int]) -> bool:
        return timer[2].turn != timer[3] or timer[2].flow.dead

    def stop(self) -> None:
        self.ended = True
