"""A configuration compiled into what a request looks up."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

SPAN = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)(ms|s)\s*")
CAPS = {"HdrBytes": 16384, "BodyMaxBytes": 67108864, "Hdr": "3000ms", "Idle": "15000ms"}  # where not told


def seconds(text: Any) -> float:
    """A time with its unit, `1500ms` or `2.5s`, as float seconds. Raises ValueError."""
    found = SPAN.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"must be a time such as 1500ms or 2.5s, not {text!r}")
    return float(found[1]) * (0.001 if found[2] == "ms" else 1.0)


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

    def service(self, point: float) -> str:
        """The one of the route's services in whose part of the weights a point in [0, 1) lies."""
        at = point * sum(weight for _, weight in self.split)
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


def route_of(sheet: dict[str, Any]) -> Route:
    split = [(s["Svc"], float(s["Wt"])) for s in sheet.get("Split") or ({"Svc": sheet["Svc"], "Wt": 1},)]
    return Route(
        name=sheet.get("Name", ""),
        repeatable=sheet["Type"] == "idem",
        timeout_s=seconds(sheet["Tmo"]),
        goal_s=seconds(sheet.get("Goal", "0ms")),
        rank=int(sheet.get("Prio", 0)),
        tries=max(1, int(sheet.get("Tries", 1))),
        split=tuple((service, weight) for service, weight in split if weight > 0),
    )


def compiled(told: dict[str, Any]) -> Plan:
    """A configuration that `schema.plan_of` found right, here or at an exchange, ready to be looked up.

    Fronts call this alone: checking 1,200 routes anew takes a slow front 0.4 s, and all calls wait for it.
    """
    hosts: dict[str, dict[str, Route]] = {}
    for host in told["Hosts"]:
        routes = hosts.setdefault(host["Vhost"].lower(), {})
        for sheet in host["Vroutes"]:
            routes[sheet["Pfx"]] = route_of(sheet)
    services = {
        s["Name"]: Service(s["Name"], s.get("Hcheck") or "", int(s.get("Maxconn") or 0)) for s in told["Svcs"]
    }
    caps = {**CAPS, **(told.get("Caps") or {})}
    return Plan(
        int(told["Ver"], 16), services, hosts, int(caps["HdrBytes"]), int(caps["BodyMaxBytes"]),
        seconds(caps["Hdr"]), seconds(caps["Idle"]),
    )  # fmt: skip


def plan_read(body: str) -> Plan:
    """A configuration as an exchange passes it on."""
    return compiled(json.loads(body))
