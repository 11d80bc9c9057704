"""The list of nodes: asked for whole, then watched by calls that wait for news."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

import orjson

from pinward.config import Sheet, Told, decode_list
from pinward.net import http
from pinward.net.ring import Link, connect
from pinward.net.scheduler import Scheduler
from pinward.policy.state import STALL_S

LIST_MOST = 4 * 1024 * 1024  # bytes of a list: some ten thousand nodes
PATH = b"/registry/instances"


class MovedError(Exception):
    """Another address is to be asked from now on."""


class Discovery:
    """Calls back with each list and with each failure; after a failure it waits until told to go on."""

    def __init__(
        self, tasks: Scheduler, where: tuple[str, int], size: int, hold_s: float, answer_s: float,
        heard: Callable[[Told], None], lost: Callable[[str], None], rev: int | None = None,
    ) -> None:  # fmt: skip
        self.tasks, self.where, self.size = tasks, where, size
        self.hold_s, self.answer_s, self.heard, self.lost = hold_s, answer_s, heard, lost
        self.rev = rev  # known already: whole lists for all fronts at once are more than a registry can send
        self.first = True
        self.asked = self.moved = False
        self.link: Link | None = None
        self.task = tasks.spawn(self.run)

    def watch(self) -> None:
        """Follow the list from now on."""
        self.asked = True
        self.tasks.wake(self.task)

    def move(self, where: tuple[str, int]) -> None:
        """Ask at another address from now on, and for the whole list first."""
        self.where, self.moved = where, True
        self.watch()

    def run(self) -> None:
        while True:
            if self.moved:
                self.moved, self.rev = False, None
                self.hang_up()
            while not self.asked:
                self.tasks.wait(inf)
            try:
                while not self.moved:
                    self.heard(self.call())
            except MovedError:
                continue
            except (OSError, http.MalformedError, ValueError) as fault:
                self.hang_up()
                self.asked = self.moved
                self.lost(f"{type(fault).__name__}: {fault}")

    def hang_up(self) -> None:
        if self.link is not None:
            self.link.close()
            self.link = None

    def call(self) -> Told:
        """One call, which waits at the agent for something newer than what is known."""
        hold_s = 0.0 if self.rev is None or self.first else self.hold_s  # nobody is served before the first
        until = self.tasks.now() + hold_s + self.answer_s
        if self.link is None:
            self.link = connect(self.tasks, self.where, self.size, until)
        query = b"" if self.rev is None else b"?from=%d&hold_ms=%d" % (self.rev, hold_s * 1000)
        self.link.send(http.request(b"GET", PATH + query, b"Host: discovery\r\n"), until)
        reader = http.Reader(answers=True)
        reader.body_most = LIST_MOST
        message: http.Message | None = None
        while message is None:
            if self.tasks.now() >= until:
                raise TimeoutError("discovery says nothing")
            self.tasks.wait(until, self.link.reads)
            if self.moved:
                raise MovedError
            self.link.fill()
            message = reader.step(self.link.inbox, self.link.ended)
            if message is None and self.link.ended:
                raise ConnectionError("discovery ended the connection")
            if reader.begun or self.link.inbox.used:  # it answers in one go
                until = min(until, self.tasks.now() + STALL_S)
        if not message.stays or self.link.inbox.used:
            self.hang_up()
        if message.status != 200:
            raise ConnectionError(f"discovery answered {message.status}")
        told = decode_list(Sheet(orjson.loads(message.body), ""))
        self.rev, self.first = told.rev, False
        return told
