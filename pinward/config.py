"""The one place where configuration is read, checked and given defaults, for the real front and the bench.

What is wrong is said by the key's whole name. Nothing here decides.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf, isfinite
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import orjson

from pinward.policy.state import CLIENTS_OF, IDLE_OF
from pinward.terms import Customer, Gate, Group, Kind, Phase, Product, Release, Terms

T = TypeVar("T")
NEEDED: Any = object()
USUAL_MEMORY_MB, USUAL_SOCKETS, USUAL_OPEN = 192, 1024, 10_000  # of a front where nothing else is told
USUAL_IDLE_S = 15.0  # likewise, after which nodes close idle connections
OWN_MEMORY_MB, OWN_SOCKETS = 20, 24  # what the program takes beside its connections
RING_BYTES = 16 * 1024  # of each direction of a connection: a head of 8 KiB twice
LINK_BYTES = 2 * RING_BYTES + 64 * 1024  # the most that a connection holds: rings and a body

KINDS = {
    "read_like": Kind.INQUIRY_LIKE,
    "idempotency_key": Kind.REFERENCED,
    "non_idempotent": Kind.ONCE_ONLY,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CIRCLE}
GATES = {"single": Gate.SINGLE, "majority": Gate.MAJORITY, "clocked": Gate.CLOCKED}
STYLES = {"rolling": True, "side_by_side": False}
STATES = {"up": True, "draining": False, "removed": None}
PHASES = {
    "trial": Phase.TRIAL, "rolling_back": Phase.GOING_BACK, "released": Phase.RELEASED,
    "withdrawn": Phase.WITHDRAWN,
}  # fmt: skip
LISTS = {"on_request": True, "pushed": False}


class FaultyKeyError(ValueError):
    """A key of the configuration is missing or wrong; the text names it."""


def address(text: str) -> tuple[str, int]:
    """`host:port`, the host a numeric address."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"must be host:port, not {text!r}")
    return host.strip("[]"), int(port)


class Sheet:
    """An object of the configuration that knows its own name; null counts as absent."""

    def __init__(self, data: object, name: str) -> None:
        if not isinstance(data, dict):
            raise FaultyKeyError(f"{name or 'the whole'}: must be an object")
        self.data, self.name = data, name

    def path(self, key: str) -> str:
        return f"{self.name}.{key}" if self.name else key

    def plain(self, key: str, usual: Any = NEEDED) -> Any:
        value = self.data.get(key)
        if value is None and usual is NEEDED:
            raise FaultyKeyError(f"{self.path(key)}: missing")
        return usual if value is None else value

    def number(self, key: str, usual: float = NEEDED, least: float = 0.0, most: float = inf) -> float:
        value = self.plain(key, usual)
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            raise FaultyKeyError(f"{self.path(key)}: must be a number, not {value!r}")
        if not least <= value <= most:
            raise FaultyKeyError(f"{self.path(key)}: must be from {least:g} to {most:g}, not {value!r}")
        return value

    def count(self, key: str, usual: int = NEEDED, least: int = 0) -> int:
        value = self.number(key, usual, least)
        if value != int(value):
            raise FaultyKeyError(f"{self.path(key)}: must be a whole number, not {value!r}")
        return int(value)

    def text(self, key: str, usual: str = NEEDED) -> str:
        value = self.plain(key, usual)
        if not isinstance(value, str) or not value:
            raise FaultyKeyError(f"{self.path(key)}: must be a text, not {value!r}")
        return value

    def one_of(self, key: str, words: Mapping[str, T], usual: str = NEEDED) -> T:
        value = self.plain(key, usual)
        if not isinstance(value, str) or value not in words:
            raise FaultyKeyError(f"{self.path(key)}: must be one of {', '.join(words)}, not {value!r}")
        return words[value]

    def flag(self, key: str, usual: bool = False) -> bool:
        value = self.plain(key, usual)
        if not isinstance(value, bool):
            raise FaultyKeyError(f"{self.path(key)}: must be true or false, not {value!r}")
        return value

    def address(self, key: str, usual: str = NEEDED) -> tuple[str, int]:
        """`host:port`, the host a numeric address."""
        text = self.text(key, usual)
        try:
            return address(text)
        except ValueError as fault:
            raise FaultyKeyError(f"{self.path(key)}: {fault}") from None

    def within(self, key: str, usual: Any = NEEDED) -> Sheet:
        return Sheet(self.plain(key, usual), self.path(key))

    def each(self, key: str, usual: Any = NEEDED) -> list[Sheet]:
        items = self.plain(key, usual)
        if not isinstance(items, list):
            raise FaultyKeyError(f"{self.path(key)}: must be a list")
        return [Sheet(item, f"{self.path(key)}[{i}]") for i, item in enumerate(items)]

    def numbers(self, key: str) -> list[float]:
        items = self.plain(key)
        if not isinstance(items, list) or not items:
            raise FaultyKeyError(f"{self.path(key)}: must be a list of numbers")
        names = [f"{key}[{i}]" for i in range(len(items))]
        inner = Sheet(dict(zip(names, items, strict=True)), self.name)
        return [inner.number(name) for name in names]


def product(lane: Sheet) -> Product:
    return Product(
        sla_s=lane.number("aimS"),
        expiry_s=lane.number("giveUpS"),
        revenue=lane.number("credit"),
        late_share=lane.number("lateShare", 0.0),
        kind=lane.one_of("effect", KINDS),
        group=lane.one_of("group", GROUPS, "all"),
        memory_s=lane.number("memorySpanS", 0.0),
        streaming=lane.flag("streaming"),
    )


def decode_terms(facts: Sheet) -> Terms:
    """What a front is told at its start, in the words of the interface; unknown keys are passed over."""
    extra, limits, rules = facts.within("extra"), facts.within("limits"), facts.within("safety")
    return Terms(
        fronts=facts.count("fleetSize", least=1),
        number=facts.count("slotNo"),
        zone=facts.count("myZone", 0),
        products=[product(lane) for lane in facts.each("lanes")],
        customers=[Customer(c.number("fraction"), c.number("quotaRps")) for c in facts.each("projects", [])],
        over_share_worth=facts.number("overShareWorth", 0.0),
        must_ask=facts.one_of("discovery", LISTS),
        ask_within_s=rules.number("askWithinS"),
        answer_slack_s=rules.number("answerSlackS"),
        cold_from=rules.number("coldFrom"),
        cold_s=rules.number("coldS"),
        drain_grace_s=rules.number("drainGraceS"),
        fall_multiple=rules.number("tipMultiple"),
        fall_s=rules.number("overloadForS"),
        max_submissions=limits.count("maxAttempts", least=1),
        most_open=limits.count("openCap", USUAL_OPEN, least=1),
        node_idle_s=limits.number("connIdleS", USUAL_IDLE_S),
        may_recall=limits.flag("cancelling"),
        may_copy=limits.flag("secondCopies"),
        may_probe=limits.flag("probing"),
        may_tell=limits.flag("peerMessages"),
        may_defer=limits.flag("retryAfter"),
        max_defer_s=limits.number("maxRetryAfterS", 0.0),
        gate=extra.one_of("gateMode", GATES),
        in_place=extra.one_of("style", STYLES),
        stage_caps=extra.numbers("stageCap"),
        stage_shares=extra.numbers("waves"),
        cap_by_product=extra.one_of("capScope", {"all": False, "per_lane": True}),
        cap_free=extra.number("uncounted"),
        cap_window_s=extra.number("spanS"),
        guarded_stages=extra.count("closedStages", 0),
        keys_stay=extra.flag("keysStay"),
        warm_keys=extra.flag("warmKeys"),
        on_votes=extra.count("onVotes"),
        back_votes=extra.count("toAbort"),
        hold_votes=extra.count("toPause", 0),
        vote_life_s=extra.number("ballotTtlS"),
        vote_answer_s=extra.number("voteWaitS"),
        votes_per_s=extra.number("votesPerS"),
        soak_s=extra.number("soakS", 0.0),
        counts_every_s=extra.number("metricsPeriodS", 0.0),
        count_sample=extra.number("tallySample", 0.0),
        wrong_share=extra.number("flagShare", 0.0),
        behind_price=extra.number("lagFee", 0.0),
        harm_price=extra.number("harmPrice", 0.0),
        batch_s=facts.number("granularityS"),
    )


@dataclass
class Branch:
    """What one real front is told at its start, beside its Terms, and how much it may hold."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    platform: tuple[str, int]
    news: Release | None
    known: Told
    seed: int
    terms: Terms
    products: dict[str, Product]
    customers: dict[str, Customer]
    zones: list[str]
    connect_s: float
    links_most: int  # to clients
    idle_most: int  # of these, idle after a txn
    lines_most: int  # to nodes, one for each open submission
    ring_bytes: int = RING_BYTES


def seed(sheet: Sheet) -> int:
    text = sheet.text("seed")
    try:
        return int(text, 16)
    except ValueError:
        raise FaultyKeyError(f"{sheet.path('seed')}: must be hex digits, not {text!r}") from None


class Entry(NamedTuple):
    """What discovery says of one node; of one that is gone it may say no more than its name."""

    name: str
    state: bool | None  # ready, draining, or None: gone
    where: tuple[str, int] | None
    zone: str
    circle: int
    units: float
    started: float
    release: int | None


class Told(NamedTuple):
    """An answer of discovery: all nodes, or those that have changed."""

    rev: int
    whole: bool
    entries: list[Entry]


def entry(node: Sheet) -> Entry:
    state = node.one_of("state", STATES)
    gone = state is None
    return Entry(
        name=node.text("uid"),
        state=state,
        where=None if gone else node.address("endpoint"),
        zone=node.text("az", "-"),
        circle=node.count("pod_group", 0),
        units=node.number("capacity_hint", 1.0),
        started=node.number("boot_ms", 0) / 1000,
        release=None if gone else node.count("release"),
    )


def decode_list(news: Sheet) -> Told:
    return Told(news.count("rev"), news.flag("all", NEEDED), [entry(node) for node in news.each("targets")])


def decode_release(news: Sheet, stages: int) -> Release:
    """The newest release, as the configuration and the platform tell it."""
    stage = news.count("stage")
    if stage >= stages:
        raise FaultyKeyError(f"{news.path('stage')}: must be below {stages}, not {stage}")
    return Release(
        news.count("build"), news.one_of("phase", PHASES), stage,
        news.number("cap", most=1.0), news.number("age_ms") / 1000,
    )  # fmt: skip


def names(facts: Sheet, key: str) -> list[str]:
    return [item.text("name") for item in facts.each(key, [])]


def decode_branch(told: Sheet, env: Mapping[str, str]) -> Branch:
    facts, limits = told.within("settings"), told.within("limits", {})
    terms = decode_terms(facts)
    terms.must_ask = True  # on sockets the list always has to be asked for
    node, platform = facts.within("limits"), told.within("platform")
    memory_mb = limits.number("memory_mb", USUAL_MEMORY_MB, least=OWN_MEMORY_MB + 1)
    sockets = limits.count("sockets", USUAL_SOCKETS, least=OWN_SOCKETS + 12)
    links = int(min(sockets - OWN_SOCKETS, (memory_mb - OWN_MEMORY_MB) * 2**20 / LINK_BYTES))
    links_most, stages = int(CLIENTS_OF * links), len(terms.stage_caps)
    terms.most_open = min(terms.most_open, links - links_most)
    return Branch(
        name=told.text("name", env.get("ROUTER_NAME", NEEDED)),
        listen=told.address("listen", env.get("ROUTER_LISTEN", NEEDED)),
        discovery=told.address("discovery", env.get("ROUTER_DISCOVERY", NEEDED)),
        platform=platform.address("address"),
        news=decode_release(platform.within("news"), stages) if platform.plain("news", None) else None,
        known=decode_list(told.within("known", {"rev": 0, "all": True, "targets": []})),
        seed=seed(told),
        terms=terms,
        products=dict(zip(names(facts, "lanes"), terms.products, strict=True)),
        customers=dict(zip(names(facts, "projects"), terms.customers, strict=True)),
        zones=facts.plain("zones", []),
        connect_s=node.number("connectTimeoutS"),
        links_most=links_most,
        idle_most=int(IDLE_OF * links_most),
        lines_most=links - links_most,
    )


def read_branch(env: Mapping[str, str] = os.environ) -> Branch:
    """The configuration in the file that ROUTER_CONFIG names."""
    path = env.get("ROUTER_CONFIG")
    if not path:
        raise FaultyKeyError("ROUTER_CONFIG: missing from the environment")
    try:
        data = orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as fault:
        raise FaultyKeyError(f"ROUTER_CONFIG: {path} cannot be read: {fault}") from None
    return decode_branch(Sheet(data, ""), env)
