"""Words between instances over TCP, one connection a direction, with TLS both ways where keys are told.

The first frame of a connection says the version, the installation, who speaks, to whom, and from which disk;
the answer is `welcome` or why not. What cannot be sent in time is dropped: the core says it again.
"""

from __future__ import annotations

import contextlib
import socket
import ssl
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Any

from pinward.config import address
from pinward.lead.tls import Keys, Wrapped
from pinward.lead.words import Frames, MalformedWordError, frame
from pinward.net.ring import Link, connect, listen
from pinward.net.scheduler import READ, Scheduler, Task

VERSION = 1  # of the words; a peer of another one is refused
RING_BYTES = 128 * 1024  # a direction of a connection
QUEUE_MOST = 256  # words to a peer that wait; beyond, the oldest go: later ones say more
INBOUND_MOST = 256  # connections at a time, so that strangers cannot take all descriptors
GREETING_S = 2.0  # s for the handshake and the first frames
SEND_S = 5.0  # s within which a peer must take what is sent, or its connection ends
RETRY_S = (0.05, 1.0)  # s between tries to connect, doubled from the first to the second
CHECK_S = 10.0  # s without a word after which an inbound connection is taken for dead
ALIVE_S = 3.0  # s after which one that has nothing to say says so: three may be lost
ALIVE = frame(["alive"])


class Sender:
    """The outbound connection to one peer, and what waits for it."""

    def __init__(self, peers: Peers, name: str, where: tuple[str, int]) -> None:
        self.peers, self.name, self.where = peers, name, where
        self.queue: deque[bytes] = deque(maxlen=QUEUE_MOST)
        self.dropped = 0
        self.ended, self.up = False, False
        self.why = "not tried yet"
        self.task: Task = peers.tasks.spawn(self.run)

    def send(self, data: bytes) -> None:
        self.dropped += len(self.queue) == QUEUE_MOST
        self.queue.append(data)
        self.peers.tasks.wake(self.task)

    def stop(self) -> None:
        self.ended = True
        self.peers.tasks.wake(self.task)

    def run(self) -> None:
        tasks, pause = self.peers.tasks, RETRY_S[0]
        while not self.ended:
            link = None
            try:
                link = self.open()
                self.up, self.why, pause = True, "", RETRY_S[0]
                self.peers.note("peer-up", peer=self.name)
                self.feed(link)
            except (OSError, MalformedWordError) as fault:
                self.lost(f"{type(fault).__name__}: {fault}")
            finally:
                self.up = False
                if link is not None:
                    link.close()
            if not self.ended:
                until = tasks.now() + pause
                while tasks.now() < until and not self.ended:
                    tasks.wait(until)
                self.queue.clear()  # what waited all that time is stale
                pause = min(2 * pause, RETRY_S[1])

    def lost(self, why: str) -> None:
        if why != self.why:
            self.why = why
            self.peers.note("peer-down", peer=self.name, why=why)

    def open(self) -> Link:
        tasks, until = self.peers.tasks, self.peers.tasks.now() + GREETING_S
        link = connect(tasks, self.where, RING_BYTES, until, self.peers.source)
        try:
            if self.peers.keys is not None:
                link = Wrapped(tasks, link.sock, RING_BYTES, self.peers.keys.side(False), server=False)
                link.shake(until)
                if self.name not in link.names():
                    raise ConnectionError(f"its certificate is for {', '.join(link.names()) or 'nobody'}")
            link.send(frame(self.peers.hello(self.name)), until)
            frames = Frames()
            answer = receive(tasks, link, frames, until)
            if answer != ["welcome"]:
                raise ConnectionError(f"refused: {answer[1] if answer else 'it ended'}")
        except BaseException:
            link.close()
            raise
        return link

    def feed(self, link: Link) -> None:
        tasks = self.peers.tasks
        while not self.ended:
            if self.queue:
                link.send(self.queue.popleft(), tasks.now() + SEND_S)
                continue
            until = tasks.now() + ALIVE_S
            tasks.wait(until, link.reads)
            if not self.queue and not self.ended:
                link.fill()
                if link.ended or link.inbox.used:
                    raise ConnectionError("the peer ended the connection")
                if tasks.now() >= until:
                    self.queue.append(ALIVE)


def receive(tasks: Scheduler, link: Link, frames: Frames, until: float) -> Any | None:
    """The next framed thing on a link; None at its end. Raises TimeoutError, MalformedWordError, OSError."""
    while True:
        if (thing := frames.next()) is not None:
            return thing
        link.fill()
        if link.inbox.used:
            frames.add(link.inbox.take(link.inbox.used))
            continue
        if link.ended:
            return None
        if tasks.now() >= until:
            raise TimeoutError("nothing comes")
        tasks.wait(until, (link.sock.fileno(), READ))


def accepted(tasks: Scheduler, listener: socket.socket) -> socket.socket:
    """The next connection that a listener takes."""
    while True:
        tasks.wait(inf, (listener.fileno(), READ))
        try:
            return listener.accept()[0]
        except OSError:
            tasks.wait(tasks.now() + 0.01)  # gone again, or no descriptor left


def end(link: Link) -> None:
    """Ends a connection that a task reads from: the task sees the end and closes it, so no descriptor is
    closed under a task that waits for it."""
    with contextlib.suppress(OSError):
        link.sock.shutdown(socket.SHUT_RDWR)


class Peers:
    """All connections of an instance to others."""

    def __init__(
        self, tasks: Scheduler, installation: str, name: str, birth: str, founding: Any,
        where: tuple[str, int], keys: Keys | None,
        heard: Callable[[str, Any], None], meet: Callable[[str, str], bool],
        note: Callable[..., None], source: str | None = None,
    ) -> None:  # fmt: skip
        self.tasks, self.installation, self.name, self.birth = tasks, installation, name, birth
        self.founding, self.keys, self.source = founding, keys, source
        self.heard, self.meet, self.note = heard, meet, note
        self.senders: dict[str, Sender] = {}
        self.inbound: dict[Link, str] = {}
        self.refusals = 0
        self.listener = listen(where)
        self.ended = False
        tasks.spawn(self.accept)

    def members(self, where: dict[str, str]) -> None:
        """Speak with these, by name and address, and with nobody else."""
        for name, sender in list(self.senders.items()):
            if name not in where or sender.where != address(where[name]):
                sender.stop()
                del self.senders[name]
        for name, place in sorted(where.items()):
            if name not in self.senders and name != self.name:
                self.senders[name] = Sender(self, name, address(place))

    def send(self, name: str, thing: Any) -> None:
        if sender := self.senders.get(name):
            sender.send(frame(thing))

    def hello(self, to: str) -> list[Any]:
        return ["pinward", VERSION, self.installation, self.name, to, self.birth, self.founding]

    def accept(self) -> None:
        while not self.ended:
            sock = accepted(self.tasks, self.listener)
            if len(self.inbound) >= INBOUND_MOST:
                sock.close()
                continue
            if self.keys is None:
                link: Link = Link(self.tasks, sock, RING_BYTES)
            else:
                link = Wrapped(self.tasks, sock, RING_BYTES, self.keys.side(True), server=True)
            self.inbound[link] = ""
            self.tasks.spawn(self.listen_to, link)

    def listen_to(self, link: Link) -> None:
        """One inbound connection, word after word."""
        name = ""
        try:
            name = self.greeted(link)
            if not name:
                return
            for other in [other for other, who in self.inbound.items() if who == name]:
                end(other)  # a newer connection of the same peer takes its place
            self.inbound[link] = name
            frames = Frames()
            while not self.ended and not link.ended:
                thing = receive(self.tasks, link, frames, self.tasks.now() + CHECK_S)
                if thing is None:
                    return
                if thing != ["alive"]:
                    self.heard(name, thing)
        except (OSError, MalformedWordError, ValueError) as fault:
            if not link.closed or not name:
                self.note("peer-broke", peer=name or "unknown", why=f"{type(fault).__name__}: {fault}")
        finally:
            del self.inbound[link]
            link.close()

    def greeted(self, link: Link) -> str:
        """The name of who connects; empty, and logged, where it is refused."""
        until = self.tasks.now() + GREETING_S
        names = None
        if isinstance(link, Wrapped):
            try:
                link.shake(until)
            except ssl.SSLError as fault:
                self.refusals += 1
                self.note("refused", why=f"TLS: {fault.reason or fault}")
                return ""
            names = link.names()
        hello = receive(self.tasks, link, Frames(most=64 * 1024), until)
        why = self.objection(hello, names)
        if why or hello is None:
            self.refusals += 1
            name = hello[3] if isinstance(hello, list) and len(hello) > 3 else None
            self.note("refused", peer=str(name)[:64], why=why)
            link.send(frame(["refused", why]), until)
            return ""
        link.send(frame(["welcome"]), until)
        return hello[3]

    def objection(self, hello: Any, names: set[str] | None) -> str | None:
        """Why a hello is refused; None where it is not."""
        if not isinstance(hello, list) or len(hello) != 7 or hello[0] != "pinward":
            return "no hello of an instance"
        _, version, installation, name, to, birth, founding = hello
        if version != VERSION:
            return f"words of version {version}, not {VERSION}"
        if installation != self.installation or to != self.name:
            return f"meant for {to} of {installation}"
        if not isinstance(name, str) or name not in self.senders:
            return f"{name} is no member"
        if names is not None and name not in names:
            return f"the certificate is for {', '.join(sorted(names)) or 'nobody'}"
        if None not in (founding, self.founding) and founding != self.founding:
            return "the installation began with other members"
        if not isinstance(birth, str) or not self.meet(name, birth):
            return "another disk than before: take it out of the members and join it anew"
        return None

    def close(self) -> None:
        self.ended = True
        self.listener.close()
        for sender in self.senders.values():
            sender.stop()
        for link in list(self.inbound):
            end(link)
