"""A ring buffer, and a socket that has one a direction."""

from __future__ import annotations

import errno
import socket

from pinward.net.log import hold
from pinward.net.scheduler import HANGUP, READ, WRITE, Scheduler

QUEUED = 128  # connections that the kernel may hold for `accept`


class Ring:
    """A bounded queue of bytes in one block that is never moved."""

    def __init__(self, size: int) -> None:
        self.size, self.start, self.used = size, 0, 0
        self.block = memoryview(bytearray(size))

    @property
    def room(self) -> int:
        return self.size - self.used

    def spans(self, start: int, length: int) -> list[memoryview]:
        """The one or two pieces of the block that begin `start` bytes after its beginning."""
        start %= self.size
        first = self.block[start : start + length]
        rest = length - len(first)
        return [first, self.block[:rest]] if rest else [first]

    def peek(self, length: int) -> bytes:
        length = min(length, self.used)
        if self.start + length <= self.size:
            return bytes(self.block[self.start : self.start + length])
        return b"".join(self.spans(self.start, length))

    def take(self, length: int) -> bytes:
        data = self.peek(length)
        self.skip(len(data))
        return data

    def skip(self, length: int) -> None:
        hold(0 <= length <= self.used, "a ring gives no more than it holds")
        self.used -= length
        self.start = (self.start + length) % self.size if self.used else 0

    def put(self, data: bytes | memoryview) -> int:
        """Takes in as much of `data` as there is room for; returns how much that was."""
        length, done = len(data), 0
        if not self.used and length <= self.size:  # the usual case
            self.block[:length] = data
            self.used = length
            return length
        length = min(length, self.room)
        for span in self.spans(self.start + self.used, length):
            span[:] = data[done : done + len(span)]
            done += len(span)
        self.used += length
        return length

    def fill(self, sock: socket.socket) -> int:
        """Reads once from a socket; 0 at its end."""
        hold(self.used < self.size, "a ring is read into only with room left")
        if not self.used:  # the usual case
            self.used = sock.recv_into(self.block)
            return self.used
        got = sock.recvmsg_into(self.spans(self.start + self.used, self.room))[0]
        self.used += got
        return got

    def drain(self, sock: socket.socket) -> None:
        """Writes once to a socket."""
        if self.start + self.used <= self.size:
            self.skip(sock.send(self.block[self.start : self.start + self.used]))
        else:
            self.skip(sock.sendmsg(self.spans(self.start, self.used)))


class Link:
    """A connection: a socket that never blocks, with one ring a direction."""

    def __init__(self, tasks: Scheduler, sock: socket.socket, size: int) -> None:
        self.tasks, self.sock = tasks, sock
        self.inbox, self.outbox = Ring(size), Ring(size)
        self.ended = self.closed = self.known = False
        self.idle_since = tasks.now()
        self.reads, self.hangs_up = (sock.fileno(), READ), (sock.fileno(), HANGUP)
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def fill(self) -> None:
        """Reads once, where the inbox has room; `ended` once the peer will send nothing more."""
        if self.inbox.used < self.inbox.size and not self.ended:
            try:
                self.ended = self.inbox.fill(self.sock) == 0
            except BlockingIOError:
                return

    def stale(self) -> bool:
        """True where an idle connection has ended or says something that nobody asked for."""
        return bool(self.inbox.used) or self.pending()

    def pending(self) -> bool:
        """True where something is there to be read, or the end."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def flush(self) -> bool:
        """Writes what the socket takes of the outbox; False where it takes nothing now."""
        try:
            if self.outbox.used:
                self.outbox.drain(self.sock)
        except BlockingIOError:
            return False
        return True

    def send(self, data: bytes, until: float) -> None:
        """Writes all of `data`; raises TimeoutError when the time is up, and other OSErrors as they come."""
        rest: bytes | memoryview = data
        while rest or self.outbox.used:
            taken = self.outbox.put(rest)
            rest = memoryview(rest)[taken:] if taken < len(rest) else b""
            if not self.flush():
                if self.tasks.now() >= until:
                    raise TimeoutError("the peer takes nothing")
                self.tasks.wait(until, (self.sock.fileno(), WRITE))

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.sock.close()


def connect(
    tasks: Scheduler, where: tuple[str, int], size: int, until: float, source: str | None = None
) -> Link:
    """A new connection, from the address `source` where told, or an OSError: TimeoutError where it does not
    come up in time."""
    family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if source is not None:
            sock.bind((source, 0))
        code = sock.connect_ex(where)
        if code == errno.EINPROGRESS:
            if not tasks.wait(until, (sock.fileno(), WRITE)):
                raise TimeoutError("the connection does not come up")
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect"))
        return Link(tasks, sock, size)
    except BaseException:
        sock.close()
        raise


def listen(where: tuple[str, int]) -> socket.socket:
    family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(where)
    sock.listen(QUEUED)
    sock.setblocking(False)
    return sock
