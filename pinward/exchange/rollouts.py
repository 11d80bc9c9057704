"""Roll-outs at a control server: reports reach the primary, which ends orders and records versions."""

from __future__ import annotations

import json
from collections.abc import Callable
from math import inf
from typing import Any

from pinward.annunciator import ring
from pinward.directory.entry import Entry
from pinward.exchange.base_versions import BaseVersions
from pinward.exchange.order_ages import OrderAges
from pinward.exchange.parts import PLAN, ROLL, Parts
from pinward.trial.order import Order, Stage

ASK_AGES_S = 0.3  # s until others are asked again for ages that are lacking


class Rollouts:
    def __init__(
        self, parts: Parts, proxies: Callable[[], int], ages: OrderAges
    ) -> None:
        """`proxies` tells how many proxies are members."""
        self.parts, self.proxies, self.ages = parts, proxies, ages
        self.ask_ages_at = -inf
        self.versions = BaseVersions()
        self.named: tuple[int, tuple[str, ...]] = (-1, ())  # a configuration's version and its services

    def report(self, front: str, reports: list[Any]) -> None:
        """A proxy's counts and votes: taken by the primary, passed on to it by others."""
        keeper, now = self.parts.keeper, self.parts.now()
        if keeper.leads(now):
            self.parts.tally.report(now, front, reports)
        elif keeper.primary is not None:
            self.parts.send(keeper.primary, {"t": "report", "front": front, "reports": reports})

    def decide(self, now: float) -> None:
        """The primary's look at all orders under way."""
        if not self.parts.keeper.leads(now):
            return
        self.record_versions(now)
        self.ask_ages(now)
        for order in self.parts.orders():
            if order.stage is not Stage.SERVING and self.ages.is_settled(order):
                continue
            if self.parts.held_order(order.service) == order:
                self.look_at_order(now, order)

    def ask_ages(self, now: float) -> None:
        """Asks all others how old orders are that were taken before this process heard of them."""
        if now >= self.ask_ages_at and self.ages.lacking(now):
            self.ask_ages_at = now + ASK_AGES_S
            for peer in sorted(self.parts.keeper.peers):
                self.parts.send(peer, {"t": "ages wanted", "at": now})

    def look_at_order(self, now: float, order: Order) -> None:
        """Ends an order whose verdict is there; else has its age written, while repeats may come."""
        stage: Stage | None = None
        if order.stage is Stage.SERVING:
            stage, why = self.parts.tally.verdict(now, order, self.proxies())
        aged = self.ages.aged(now, order)
        if stage is not None:
            ring(220, service=order.service, target=order.target, asked=stage.value, why=why)
            self.parts.keeper.propose(now, ROLL + order.service, aged.moved(stage).kept())
        elif aged != order:
            self.parts.keeper.propose(now, ROLL + order.service, aged.kept())

    def record_first(self, entry: Entry) -> None:
        """Records which version a service runs, by its first machine; asked of the primary by others."""
        keeper, now = self.parts.keeper, self.parts.now()
        if self.parts.held_order(entry.service) is not None or not entry.build:
            return
        if keeper.leads(now):
            record = self.versions.first(entry, (line.entry for line in self.parts.book.lines.values()))
            keeper.propose(now, ROLL + entry.service, record.kept())
        elif keeper.primary is not None:
            self.parts.send(keeper.primary, {"t": "version", "entry": entry.plain()})

    def record_versions(self, now: float) -> None:
        """Records which versions services run without an order, once all machines are known."""
        if now < self.parts.whole_at or not self.versions.look_is_due(now):
            return
        entries = [line.entry for line in self.parts.book.lines.values()]
        for record in self.versions.due(now, self.services(), entries, self.parts.held_order):
            self.parts.keeper.propose(now, ROLL + record.service, record.kept())

    def services(self) -> tuple[str, ...]:
        """The services that the configuration in force names."""
        plan = self.parts.keeper.public.get(PLAN)
        if plan is None:
            return ()
        version, body = plan[2]["version"], plan[2]["body"]
        if self.named[0] != version:
            self.named = (version, tuple(service["Name"] for service in json.loads(body)["Svcs"]))
        return self.named[1]
