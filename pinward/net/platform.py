"""The platform that stages releases: its news on one watched connection, and the votes in lines of text."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from pinward.config import Sheet, decode_release
from pinward.net.ring import Link, connect
from pinward.net.scheduler import WRITE, Scheduler
from pinward.terms import Count, Product, Release, Reply, Verdict

LINE_MOST = 8 * 1024  # bytes; a longer line ends the connection at the other end too
CALLS_MOST = 8  # votes that wait for an answer; a front has one vote at a time
SIGN_S = 1.0  # s between signs of life
SIGNS_MISSED = 3  # signs of life in a row, after which a connection is taken for dead

NUMBER = re.compile(r"[0-9]+(?:\.[0-9]+)?")
KIND = re.compile(r"[A-Z]+")
VERDICTS = {
    Verdict.NONE: "abstain", Verdict.ON: "promote", Verdict.HOLD: "pause", Verdict.BACK: "abort",
}  # fmt: skip
REPLIES = {"BUSY": Reply.FULL, "STALE": Reply.MOOT, "FAILED": Reply.REFUSED, "SYNTAX": Reply.REFUSED}


class Call(NamedTuple):
    """A line that was written, and until when its answer counts."""

    until: float
    votes: bool


class Platform:
    def __init__(
        self, tasks: Scheduler, where: tuple[str, int], size: int, products: dict[str, Product],
        stages: int, connect_s: float, answer_s: float,
        news: Callable[[Release | None, Reply | None], None], counted: Callable[[Count], None],
        lost: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.tasks, self.where, self.size, self.products = tasks, where, size, products
        self.stages, self.connect_s, self.answer_s = stages, connect_s, answer_s
        self.news, self.counted, self.lost = news, counted, lost
        self.votes: deque[str] = deque()
        self.calls: deque[Call] = deque()
        self.link: Link | None = None
        self.moved = False
        self.task = tasks.spawn(self.run)

    def vote(self, number: int, stage: int, verdict: Verdict) -> None:
        self.votes.append(f"VOTE {number} {stage} {VERDICTS[verdict]}\r\n")
        self.tasks.wake(self.task)

    def move(self, where: tuple[str, int]) -> None:
        """Listen and vote at another address from now on."""
        self.where, self.moved = where, True
        self.tasks.wake(self.task)

    def run(self) -> None:
        while True:
            began, self.moved = self.tasks.now(), False
            try:
                self.link = connect(self.tasks, self.where, self.size, began + self.connect_s)
                self.link.send(b"WATCH\r\n", began + self.answer_s)
                self.calls.append(Call(began + self.answer_s, votes=False))
                self.follow(self.link)
            except (OSError, ValueError, KeyError) as fault:
                self.lost(f"{type(fault).__name__}: {fault}")
            if self.link is not None:
                self.link.close()
                self.link = None
            unknown = sum(call.votes for call in self.calls)
            self.calls.clear()
            for _ in range(unknown):
                self.news(None, Reply.UNKNOWN)
            while not self.moved and (self.tasks.now() < began + self.connect_s or self.votes):
                self.refuse()
                self.tasks.wait(began + self.connect_s)

    def refuse(self) -> None:
        """Votes that no connection can take now were not carried out."""
        for _ in range(len(self.votes)):
            self.votes.popleft()
            self.news(None, Reply.REFUSED)

    def follow(self, link: Link) -> None:
        """Writes votes and reads lines until the connection ends or says nothing for long."""
        quiet_at = self.tasks.now() + SIGN_S * SIGNS_MISSED + self.answer_s
        while not self.moved:
            while self.votes and len(self.calls) < CALLS_MOST:
                link.outbox.put(self.votes.popleft().encode())
                self.calls.append(Call(self.tasks.now() + self.answer_s, votes=True))
            link.flush()
            until = min([quiet_at, *(call.until for call in self.calls)])
            self.tasks.wait(until, (link.sock.fileno(), link.reads[1] | (WRITE if link.outbox.used else 0)))
            if min((call.until for call in self.calls), default=inf) <= self.tasks.now():
                raise TimeoutError("a vote gets no answer")
            before = link.inbox.used
            link.fill()
            if link.inbox.used > before:
                quiet_at = self.tasks.now() + SIGN_S * SIGNS_MISSED
            while (end := link.inbox.peek(LINE_MOST).find(b"\r\n")) >= 0:
                self.line(link.inbox.take(end + 2)[:-2].decode("ascii"))
            if link.inbox.used >= LINE_MOST:
                raise ValueError("a line is too long")
            if link.ended:
                raise ConnectionError("the platform ended the connection")
            if self.tasks.now() >= quiet_at:
                raise TimeoutError("the platform says nothing")

    def line(self, text: str) -> None:
        """Takes in one line; what cannot be read as one raises, and ends the connection."""
        words = text.split(" ")
        if words[0] == "*":
            if words[1:2] == ["ROLLOUT"]:
                self.news(self.release(words[2:]), None)
            elif words[1:2] == ["SAMPLE"]:
                self.sample(words[2:])
            elif words[1:] and not KIND.fullmatch(words[1]):
                raise ValueError(f"the platform says {text!r}")
            return
        votes = bool(self.calls) and self.calls[0].votes
        if words[0] == "OK" and votes:
            news, reply = self.release(words[1:]), Reply.COUNTED
        elif words[0] == "ERR" and votes and len(words) == 2:
            news, reply = None, REPLIES[words[1]]
        elif words != ["OK"] or not self.calls:
            raise ValueError(f"the platform answered {text!r}")
        self.calls.popleft()
        if votes:
            self.news(news, reply)

    def release(self, words: list[str]) -> Release:
        number, stage, phase, cap, age_ms = words
        told = {"build": figure(number), "stage": figure(stage), "cap": figure(cap), "age_ms": figure(age_ms)}
        return decode_release(Sheet({**told, "phase": phase}, "platform"), self.stages)

    def sample(self, words: list[str]) -> None:
        number, name, total, faults, mean_ms, age_ms = words
        ended, product = self.tasks.now() - figure(age_ms) / 1000, self.products[name]
        count = int(figure(number)), product, int(figure(total)), int(figure(faults))
        self.counted(Count(*count, figure(mean_ms) / 1000, ended))


def figure(word: str) -> float:
    if not NUMBER.fullmatch(word):
        raise ValueError(f"no number: {word!r}")
    return float(word)
