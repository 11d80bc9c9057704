"""Connections to nodes: kept while idle, used again, closed well before the node closes them."""

from __future__ import annotations

from collections import deque

from pinward.net.ring import Link, connect
from pinward.net.scheduler import Scheduler
from pinward.terms import Node


class Pool:
    def __init__(self, tasks: Scheduler, most: int, size: int, connect_s: float, idle_s: float) -> None:
        self.tasks, self.most, self.size = tasks, most, size
        self.connect_s, self.idle_s = connect_s, idle_s
        self.where: dict[Node, tuple[str, int]] = {}
        self.idle: dict[Node, deque[Link]] = {}
        self.count = 0  # connections that stand or are coming up

    def locate(self, node: Node, where: tuple[str, int]) -> None:
        if self.where.get(node) != where:
            self.forget(node)
            self.where[node] = where

    def forget(self, node: Node) -> None:
        """Closes what is idle to a node: it went, restarted or moved."""
        for link in self.idle.pop(node, ()):
            self.close(link)

    def take(self, node: Node, until: float) -> Link | None:
        """An idle connection or a new one; None where all that may stand are in use. Raises OSErrors."""
        idle = self.idle.get(node, ())
        while idle:
            link = idle.pop()
            if not link.stale():
                return link
            self.close(link)
        if self.count >= self.most and not self.spare():
            return None
        self.count += 1
        try:
            until = min(until, self.tasks.now() + self.connect_s)
            return connect(self.tasks, self.where[node], self.size, until)
        except BaseException:
            self.count -= 1
            raise

    def give(self, node: Node, link: Link) -> None:
        """Takes back a connection that may be used again."""
        link.idle_since = self.tasks.now()
        self.idle.setdefault(node, deque()).append(link)

    def close(self, link: Link) -> None:
        if not link.closed:
            self.count -= 1
            link.close()

    def sweep(self) -> None:
        """Closes what has been idle for long; the oldest stand first."""
        old = self.tasks.now() - self.idle_s
        for idle in self.idle.values():
            while idle and idle[0].idle_since < old:
                self.close(idle.popleft())

    def spare(self) -> bool:
        """Closes the connection that has been idle longest, to any node; False where none is idle."""
        some = [idle for idle in self.idle.values() if idle]
        if some:
            self.close(min(some, key=lambda idle: idle[0].idle_since).popleft())
        return bool(some)
