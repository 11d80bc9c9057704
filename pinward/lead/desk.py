"""The desk of an instance: fronts that watch and vote in the platform's lines, and listeners that apply."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson

from pinward.lead.peers import accepted
from pinward.lead.teller import Teller, read_line
from pinward.net.ring import Link
from pinward.net.scheduler import READ, Scheduler
from pinward.terms import Phase, Verdict

if TYPE_CHECKING:
    from pinward.lead.instance import Instance

ANSWER_S = 2.0  # s that one who asks may wait for the leader
DESK_MOST = 4096  # connections of fronts and listeners
DESK_RING_BYTES = 8 * 1024  # a direction of one of these: a line of the platform's, twice
IDLE_S = 60.0  # s after which a connection that says nothing ends, unless it watches
SIGN_S = 1.0  # s between signs of life to those that watch
LINE_MOST = 64 * 1024  # bytes of a line
VERDICTS = {"abstain": Verdict.NONE, "promote": Verdict.ON, "pause": Verdict.HOLD, "abort": Verdict.BACK}
PHASES = {
    Phase.TRIAL: "trial", Phase.GOING_BACK: "rolling_back", Phase.RELEASED: "released",
    Phase.WITHDRAWN: "withdrawn",
}  # fmt: skip


def serve_all(
    tasks: Scheduler, listener: socket.socket, serve: Callable[[Link], None], most: int, ring_bytes: int,
    note: Callable[..., None],
) -> None:  # fmt: skip
    """Serves each connection of a listener in a task of its own, so many at a time. Never returns."""
    links: set[Link] = set()

    def one(link: Link) -> None:
        try:
            serve(link)
        except OSError:
            pass  # the peer broke the connection
        except ValueError as fault:
            note("malformed", why=str(fault))
        finally:
            links.discard(link)
            link.close()

    while True:
        sock = accepted(tasks, listener)
        if len(links) >= most:
            sock.close()
            continue
        link = Link(tasks, sock, ring_bytes)
        links.add(link)
        tasks.spawn(one, link)


class Desk:
    def __init__(self, host: Instance) -> None:
        self.host = host
        self.watchers: dict[Link, Any] = {}
        self.voted: set[Link] = set()  # of fronts without a name

    def wake(self) -> None:
        """There is something new to tell those that watch."""
        for task in self.watchers.values():
            self.host.tasks.wake(task)

    def news(self) -> str:
        """Where the release stands, in the platform's words."""
        here, caps = self.host.ledger.standing, self.host.office.stage
        cap = min(caps[min(here.stage, len(caps) - 1)], here.share)
        cap = {Phase.TRIAL: cap, Phase.RELEASED: 1.0}.get(here.phase, 0.0)
        age_ms = int(1000 * (self.host.tasks.now() - self.host.standing_since))
        return f"{here.release} {here.stage} {PHASES[here.phase]} {cap:g} {age_ms}"

    def serve_front(self, link: Link) -> None:
        """One front's connection; without a name it is known by that, and its vote ends with it."""
        host, port = link.sock.getpeername()[:2]
        peer = f"{host}:{port}"
        try:
            self.converse(link, peer)
        finally:
            self.watchers.pop(link, None)
            here = self.host.ledger.standing
            if link in self.voted:
                self.voted.discard(link)
                self.host.tasks.spawn(self.take_back, peer, here.release, here.stage)

    def take_back(self, front: str, release: int, stage: int) -> None:
        self.host.pass_on(front, release, stage, "abstain")

    def converse(self, link: Link, peer: str) -> None:
        front, told = peer, -1
        while True:
            words = self.front_says(link, told)
            if words is None:
                return
            if words == ["FOLLOW"]:
                self.follow(link, peer)
                return
            if words == ["WATCH"]:
                self.watchers[link] = self.host.tasks.current()
                link.send(b"OK\r\n", self.host.tasks.now() + ANSWER_S)
            elif words[:1] == ["NAME"] and len(words) == 2:
                front = words[1][:200]
                link.send(b"OK\r\n", self.host.tasks.now() + ANSWER_S)
            elif words[:1] == ["DUTY"]:
                link.send(self.duty_line(words), self.host.tasks.now() + ANSWER_S)
            elif words[:1] == ["VOTE"]:
                if front == peer:
                    self.voted.add(link)
                link.send(self.vote_line(front, words), self.host.tasks.now() + ANSWER_S)
            elif words:
                link.send(b"ERR SYNTAX\r\n", self.host.tasks.now() + ANSWER_S)
            if link in self.watchers and told != self.host.ledger.place:
                told = self.host.ledger.place
                link.send(f"* ROLLOUT {self.news()}\r\n".encode(), self.host.tasks.now() + ANSWER_S)

    def front_says(self, link: Link, told: int) -> list[str] | None:
        """The next line of a front, as words; none where only something is to be told; None at the end."""
        began = self.host.tasks.now()
        while True:
            if link.inbox.peek(LINE_MOST).find(b"\n") >= 0:
                return (read_line(self.host.tasks, link, began, LINE_MOST) or "").split(" ")
            if link.ended:
                return None
            if link.inbox.room == 0:
                raise ValueError("a line is too long")
            watches = link in self.watchers
            if watches and told != self.host.ledger.place:
                return []
            until = self.host.tasks.now() + SIGN_S if watches else began + IDLE_S
            self.host.tasks.wait(until, (link.sock.fileno(), READ))
            link.fill()
            if self.host.tasks.now() >= until:
                if not watches:
                    return None
                link.send(b"*\r\n", self.host.tasks.now() + ANSWER_S)

    def duty_line(self, words: list[str]) -> bytes:
        """A member of the owners renews, or tells of its work: JSON each way."""
        if self.host.duties is None:
            return b"ERR SYNTAX\r\n"
        try:
            answer = self.host.duties.asked(orjson.loads(" ".join(words[1:])))
        except (ValueError, KeyError, TypeError) as fault:
            raise ValueError(f"no word of a member: {fault!r:.200}") from None
        return b"DUTY %s\r\n" % orjson.dumps(answer)

    def vote_line(self, front: str, words: list[str]) -> bytes:
        if len(words) != 4 or not (words[1].isdecimal() and words[2].isdecimal()) or words[3] not in VERDICTS:
            return b"ERR SYNTAX\r\n"
        answer = self.host.pass_on(front, int(words[1]), int(words[2]), words[3])
        return f"OK {self.news()}\r\n".encode() if answer == "OK" else f"ERR {answer}\r\n".encode()

    def follow(self, link: Link, name: str) -> None:
        """One that applies has come by itself: it is told on this connection while this instance leads."""
        if not self.host.core.may_act(self.host.tasks.now()):
            said = f"ERR NOLEAD {self.host.core.leader or '-'}\r\n"
            link.send(said.encode(), self.host.tasks.now() + ANSWER_S)
            return
        teller = Teller(self.host.lead, name, trusted=False)
        self.host.tellers.append(teller)
        try:
            teller.tell(link)
        finally:
            self.host.tellers.remove(teller)
