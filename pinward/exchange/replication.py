"""Writes: on the primary's disk and every copy's before they are answered; then told to all as committed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pinward.exchange.core import Core
from pinward.exchange.view import (
    ASK_ITEMS_S,
    DIFFERS_S,
    ITEMS_MOST,
    LEASE_S,
    Kept,
    Role,
    Stamp,
    Word,
)
from pinward.plan.fault_tolerance import FaultTolerance


@dataclass
class Write:
    """A write under way at the primary."""

    ticket: int  # of its own disk
    key: str
    item: list[Any]
    lacking: set[str]  # copies that have yet to keep it
    since: float


class Replication(Core):
    def __init__(
        self, own: str, kept: Kept, tolerance: FaultTolerance, seed: int | str, now: float
    ) -> None:
        super().__init__(own, kept, tolerance, seed, now)
        self.open: dict[int, Write] = {}

    def leads(self, now: float) -> bool:
        """True where this machine may answer operators now."""
        return self.role is Role.PRIMARY and now - self.confirmed(now) < LEASE_S

    def propose(self, now: float, key: str, value: Any) -> int | None:
        """Begins a write; its number, told by a `done` later, or None where this machine may not."""
        full = key not in self.kept.items and len(self.kept.items) >= ITEMS_MOST
        if full or not self.leads(now) or self.intolerance():
            return None
        self.number += 1
        self.kept.items[key] = [self.epoch, self.number, value]
        ticket = self.save(now)
        others = {copy for copy in self.view.copies if copy != self.own}
        self.open[self.number] = Write(ticket, key, self.kept.items[key], others, now)
        for copy in sorted(others):
            self.send(copy, t="put", n=self.epoch, seq=self.number, key=key, value=value)
        return self.number

    def intolerance(self) -> str:
        """Why what would be acknowledged now might not outlast what may be lost; empty where it does."""
        return self.tolerance.explain(self.view.voters, self.view.copies, self.kept.localities)

    def end_open(self, held: bool) -> None:
        """Ends all writes under way: what the next copies took is held, what another may lead on is not."""
        for number in self.open:
            self.out.append(("done", number, held))
        self.open.clear()

    def settle(self, now: float) -> None:
        """Ends the writes that all disks of the view hold."""
        if self.role is not Role.PRIMARY:
            return
        for number, write in list(self.open.items()):
            if write.ticket <= self.on_disk and not write.lacking:
                del self.open[number]
                self.publish(write.key, write.item)  # what came after it may not be held by all yet
                self.out.append(("done", number, True))

    def publish(self, key: str, item: list[Any]) -> None:
        if self.take(key, item):
            for peer in sorted(self.peers):
                self.send(peer, t="commit", n=self.epoch, items={key: item})

    def take(self, key: str, item: list[Any]) -> bool:
        """Takes in what was committed; False where it is not new."""
        if not self.committed.take(key, item):
            return False
        self.out.append(("took", key, item[2]))
        return True

    def compare(self, now: float, primary: str, digest: str | None) -> None:
        """Compares what is held here with what a primary held as it sent a beat.

        Its commits before that beat came before it, on the same connection: what differs was lost, or was
        told while this machine was down. A primary of a build that tells no digest is taken at its word.
        """
        if digest is None or digest == self.committed.digest:
            if self.differs_told:
                self.event(214, primary=primary, keys=len(self.public))
            self.differs_since, self.differs_told = None, False
            return
        self.differs_since = now if self.differs_since is None else self.differs_since
        if now - self.differs_since > DIFFERS_S and not self.differs_told:
            self.differs_told = True
            self.event(209, primary=primary, keys=len(self.public), digest=self.committed.digest)

    def stamps_due(self, now: float) -> dict[str, Stamp] | None:
        """The stamps of all that is held here, where the primary is to send what differs."""
        if self.differs_since is None or now < self.ask_items_at:
            return None
        self.ask_items_at = now + ASK_ITEMS_S
        return self.committed.stamps()

    def catch_up(self, peer: str, word: Word) -> None:
        """Sends a peer the items that it lacks, as its answer to a beat tells."""
        if word.get("stamps") is not None:
            items = self.committed.lacking(word["stamps"])
        elif "digest" not in word and tuple(word["pub"]) < self.committed.newest:
            items = self.public  # a build that compares nothing
        else:
            return
        self.event(213, peer=peer, keys=len(items))
        self.send(peer, t="commit", n=self.epoch, items=items)

    def on_put(self, now: float, peer: str, word: Word) -> None:
        if self.kept.blank or word["n"] != self.kept.promised or self.view.epoch != word["n"]:
            return
        held = self.kept.items.get(word["key"])
        if held is None or (held[0], held[1]) < (word["n"], word["seq"]):  # else a later one came before it
            self.kept.items[word["key"]] = [word["n"], word["seq"], word["value"]]
        self.send_durable(self.save(now), peer, t="kept", n=word["n"], seq=word["seq"])

    def on_kept(self, now: float, peer: str, word: Word) -> None:
        if self.role is Role.PRIMARY and word["n"] == self.epoch and word["seq"] in self.open:
            self.open[word["seq"]].lacking.discard(peer)
            self.settle(now)

    def on_commit(self, now: float, peer: str, word: Word) -> None:
        for key, item in word["items"].items():
            self.take(key, item)
