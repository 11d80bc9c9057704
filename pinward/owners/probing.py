"""Probing split among members: each node is probed within the period by one owner, and all are told.

A slice is a part of the duty; a node's slice is told by its name's hash, so each node has one. What an owner
saw of a node goes to all members as a notice under its token. A node's health page cannot compare tokens: a
probe of an owner that was followed does no harm but one more call, and its report changes nothing. While
nobody owns a slice, its nodes are not probed, and what was said of them lapses after `lapse_periods`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Any

import xxhash

from pinward.net.ring import connect
from pinward.net.scheduler import Scheduler
from pinward.owners.member import Member

RING_BYTES = 4096  # a direction of a probe's connection
STATUS_MOST = 1024  # bytes until a status line must have come
LAPSE_PERIODS = 4  # periods after which what was told of a node counts no more
AGAIN_PERIODS = 2  # periods after which an unchanged state is told once more
LOOK_S = 0.05  # s between looks at what is due, at the least


def slice_of(node: str, slices: int) -> int:
    return xxhash.xxh64_intdigest(node.encode()) % slices


@dataclass
class Rounds:
    """Which nodes of one slice are due, each once a period: the first time spread over a period by chance, so
    that a new owner neither calls all at once nor waits longer than a period. No I/O, no clock."""

    period_s: float
    chance: Random
    due_at: dict[str, float] = field(default_factory=dict)

    def nodes(self, now: float, here: list[str]) -> None:
        """The nodes of the slice as the list has them now."""
        here_set = set(here)
        self.due_at = {node: at for node, at in self.due_at.items() if node in here_set}
        for node in here:
            if node not in self.due_at:
                self.due_at[node] = now + self.period_s * self.chance.random()

    def take(self, now: float) -> str | None:
        """A node that is due now, which is due again a period after it was; None where none is."""
        node = min(self.due_at, key=self.due_at.__getitem__, default=None)
        if node is None or self.due_at[node] > now:
            return None
        # Not sooner than a period from now: who was paused does not make up for what it missed.
        self.due_at[node] = now + self.period_s
        return node

    def next_at(self) -> float:
        return min(self.due_at.values(), default=inf)


@dataclass
class Seen:
    """What all members were told of a node."""

    well: bool
    token: int
    heard: float
    ms: float


@dataclass
class Views:
    """What this member holds of all nodes; what is old counts no more. No I/O, no clock."""

    period_s: float
    seen: dict[str, Seen] = field(default_factory=dict)

    def hear(self, now: float, part: str, node: str, token: int, what: Any) -> bool | None:
        """Takes in a report let in by its token; the node's state where that has changed, else None."""
        well, ms = what
        before = self.seen.get(node)
        if before is not None and token < before.token and self.counts(now, before):
            return None
        self.seen[node] = Seen(bool(well), token, now, float(ms))
        changed = before is None or before.well != well or not self.counts(now, before)
        return bool(well) if changed else None

    def counts(self, now: float, seen: Seen) -> bool:
        return now < seen.heard + LAPSE_PERIODS * self.period_s

    def well(self, now: float, node: str) -> bool | None:
        """True or False as last told; None where nothing was, or too long ago."""
        seen = self.seen.get(node)
        return seen.well if seen is not None and self.counts(now, seen) else None

    def keep(self, here: set[str]) -> None:
        self.seen = {node: seen for node, seen in self.seen.items() if node in here}


class Probing:
    """The work of one member on slices of nodes, and what it hears from others."""

    def __init__(
        self, tasks: Scheduler, member: Member, duty: str, slices: int, period_s: float, path: str,
        nodes: Callable[[], dict[str, tuple[str, int]]], changed: Callable[[str, bool], None],
    ) -> None:  # fmt: skip
        self.tasks, self.member, self.duty, self.slices = tasks, member, duty, slices
        self.period_s, self.path, self.nodes, self.changed = period_s, path, nodes, changed
        self.views = Views(period_s)
        self.told: dict[str, tuple[bool, float, int]] = {}  # as this member last told: well, when, token
        self.probes = 0
        member.serve(duty, self.work)
        member.hears(duty, self.hear)

    def work(self, part: str, token: int) -> None:
        """Probes the nodes of a slice while it is owned."""
        number = int(part.partition("/")[2] or 0)
        rounds = Rounds(self.period_s, self.member.chance)
        while self.member.owns(part, token):
            now, all_nodes = self.tasks.now(), self.nodes()
            rounds.nodes(now, [node for node in all_nodes if slice_of(node, self.slices) == number])
            node = rounds.take(now)
            if node is None:
                self.tasks.wait(min(max(rounds.next_at(), now + LOOK_S), now + self.period_s / 4))
                continue
            with self.member.acting(part, token) as for_s:
                if for_s is None:
                    return
                well, ms = self.probe(all_nodes[node], min(for_s, self.period_s / 2))
            self.report(part, token, node, well, ms)

    def probe(self, where: tuple[str, int], within_s: float) -> tuple[bool, float]:
        """True where a node's health page answers 200 in time; and how long that took, in ms."""
        began = self.tasks.now()
        until, link = began + within_s, None
        self.probes += 1
        try:
            link = connect(self.tasks, where, RING_BYTES, until, self.member.told.speak_from)
            link.send(f"GET {self.path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n".encode(), until)
            while link.inbox.peek(STATUS_MOST).find(b"\r\n") < 0:
                if link.ended or link.inbox.used >= STATUS_MOST:
                    return False, 0.0
                if self.tasks.now() >= until:
                    return False, 0.0
                self.tasks.wait(until, link.reads)
                link.fill()
            words = link.inbox.peek(STATUS_MOST).split(b" ", 2)
            return len(words) > 1 and words[1] == b"200", 1000 * (self.tasks.now() - began)
        except OSError:
            return False, 0.0
        finally:
            if link is not None:
                link.close()

    def report(self, part: str, token: int, node: str, well: bool, ms: float) -> None:
        """Tells all members what has changed, and now and then what has not."""
        now, last = self.tasks.now(), self.told.get(node)
        due = last is None or last[0] != well or last[2] != token
        if due or (last is not None and now >= last[1] + AGAIN_PERIODS * self.period_s):
            self.told[node] = (well, now, token)
            self.member.tell(part, token, node, [well, round(ms, 1)])

    def hear(self, part: str, node: str, token: int, what: Any) -> None:
        state = self.views.hear(self.tasks.now(), part, node, token, what)
        if state is not None:
            self.changed(node, state)
