"""A configuration compiled into what a request looks up."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True)
class Route:
    """Where requests under one prefix go, and what they allow. Seconds; `rank` 0 is highest."""

    name: str
    repeatable: bool
    timeout_s: float
    goal_s: float
    rank: int
    tries: int
    split: tuple[tuple[str, float], ...]  # services with weights over 0

    def service(self, chance: Random) -> str:
        """One of the route's services, drawn by weight."""
        if len(self.split) == 1:
            return self.split[0][0]
        at = chance.random() * sum(weight for _, weight in self.split)
        for name, weight in self.split:
            at -= weight
            if at < 0:
                return name
        return self.split[-1][0]


@dataclass(frozen=True)
class Service:
    name: str
    health: str  # path of its health answer
    connections: int  # a machine of it accepts from all callers together; 0: not told


@dataclass(frozen=True)
class Plan:
    """One version of the configuration."""

    version: int
    services: dict[str, Service]
    hosts: dict[str, dict[str, Route]]  # routes by host and prefix
    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float

    def route(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of `path` on that host. `path` comes without its query."""
        routes = self.hosts.get(host) or self.hosts.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        at = len(path)
        while (at := path.rfind("/", 0, at)) >= 0:
            found = routes.get(path[: at + 1])
            if found is not None:
                return found
        return None

    @property
    def size(self) -> int:
        """How many routes there are."""
        return sum(len(routes) for routes in self.hosts.values())
