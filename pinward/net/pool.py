"""Connections to nodes: kept while idle, used again, closed well before the node closes them."""

from __future__ import annotations

from collections import deque

from pinward.net.ring import Link, connect
from pinward.net.scheduler import Scheduler
from pinward.terms import Node


class Place:
    """Where a node listens, in one of its lives, and the idle connections to it."""

    def __init__(self, where: tuple[str, int]) -> None:
        self.where = where
        self.idle: deque[Link] = deque()  # the longest idle first


class Pool:
    def __init__(self, tasks: Scheduler, most: int, size: int, connect_s: float) -> None:
        self.tasks, self.most, self.size = tasks, most, size
        self.connect_s = connect_s
        self.places: dict[Node, Place] = {}
        self.homes: dict[Link, Place] = {}  # of each connection that stands
        self.count = 0  # connections that stand or are coming up

    def locate(self, node: Node, where: tuple[str, int], anew: bool) -> None:
        """Where a node listens; `anew` where it has started again. Earlier connections are of no use then."""
        place = self.places.get(node)
        if place is None or place.where != where or anew:
            self.forget(node)
            self.places[node] = Place(where)

    def forget(self, node: Node) -> None:
        """A node has gone."""
        place = self.places.pop(node, None)
        while place is not None and place.idle:
            self.close(place.idle.popleft())

    def take(self, node: Node, until: float, rest_s: float) -> Link | None:
        """An idle connection or a new one; None where none may stand or the node is gone. Raises OSErrors."""
        place = self.places.get(node)
        link = None if place is None else self.rested(place, rest_s)
        if link is not None or place is None:
            return link
        if self.count >= self.most and not self.spare():
            return None
        self.count += 1
        try:
            until = min(until, self.tasks.now() + self.connect_s)
            link = connect(self.tasks, place.where, self.size, until)
        except BaseException:
            self.count -= 1
            raise
        self.homes[link] = place
        return link

    def rested(self, place: Place, rest_s: float) -> Link | None:
        """The connection used last, if it has not rested longer than `rest_s`."""
        old = self.tasks.now() - rest_s
        while place.idle:
            link = place.idle.pop()
            if link.idle_since >= old and not link.stale():
                return link
            self.close(link)
        return None

    def give(self, node: Node, link: Link) -> None:
        """Takes back a connection that may be used again."""
        place = self.homes[link]
        if place is not self.places.get(node):  # it has moved or started again meanwhile
            self.close(link)
            return
        link.idle_since, link.known = self.tasks.now(), True
        place.idle.append(link)

    def close(self, link: Link) -> None:
        if self.homes.pop(link, None) is not None:
            self.count -= 1
            link.close()

    def sweep(self, rest_s: float) -> None:
        """Closes what has rested longer; the oldest stand first."""
        old = self.tasks.now() - rest_s
        for place in self.places.values():
            while place.idle and place.idle[0].idle_since < old:
                self.close(place.idle.popleft())

    def spare(self) -> bool:
        """Closes the connection that has been idle longest, to any node; False where none is idle."""
        some = [place for place in self.places.values() if place.idle]
        if some:
            self.close(min(some, key=lambda place: place.idle[0].idle_since).idle.popleft())
        return bool(some)
