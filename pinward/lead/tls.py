"""TLS both ways over a `Link`, through the standard library's `ssl`: names are checked, keys are renewed."""

from __future__ import annotations

import contextlib
import socket
import ssl
from pathlib import Path
from typing import Any

from pinward.net.ring import Link
from pinward.net.scheduler import READ, WRITE, Scheduler

CHUNK = 16 * 1024  # bytes read or written at a time: a TLS record


class Keys:
    """An authority's certificate, and the own certificate and key, read anew when a file changes."""

    def __init__(self, authority: Path, certificate: Path, key: Path) -> None:
        self.files = (authority, certificate, key)
        self.stamp: tuple[float, ...] = ()
        self.sides: dict[bool, ssl.SSLContext] = {}
        self.renew()

    def renew(self) -> bool:
        """Reads the files where one has changed; raises OSError (ssl.SSLError) where they are unusable."""
        stamp = tuple(path.stat().st_mtime for path in self.files)
        if stamp == self.stamp:
            return False
        authority, certificate, key = self.files
        sides = {}
        for server in (True, False):
            side = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
            side.minimum_version = ssl.TLSVersion.TLSv1_3
            side.check_hostname = False  # names are the members', checked by `Wrapped.names`
            side.verify_mode = ssl.CERT_REQUIRED
            side.load_verify_locations(authority)
            side.load_cert_chain(certificate, key)
            sides[server] = side
        self.sides, self.stamp = sides, stamp
        return True

    def side(self, server: bool) -> ssl.SSLContext:
        """What a new connection uses; files that are unusable just now leave the last good ones in force."""
        with contextlib.suppress(OSError):
            self.renew()
        return self.sides[server]


class Wrapped(Link):
    """A link whose bytes are TLS records; the rings hold what is inside them."""

    def __init__(
        self, tasks: Scheduler, sock: socket.socket, size: int, side: ssl.SSLContext, server: bool
    ) -> None:
        super().__init__(tasks, sock, size)
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = side.wrap_bio(self.incoming, self.outgoing, server_side=server)
        self.unsent = b""

    def shake(self, until: float) -> None:
        """The handshake; raises ssl.SSLError where a certificate does not do, or TimeoutError."""
        while True:
            try:
                self.tls.do_handshake()
                while not self.push():
                    self.tasks.wait(until, (self.sock.fileno(), WRITE))
                    self.in_time(until)
                return
            except ssl.SSLWantReadError:
                pass
            except ssl.SSLError:
                self.push()  # the alert that says why
                raise
            if not self.push():
                self.tasks.wait(until, (self.sock.fileno(), WRITE))
            else:
                self.tasks.wait(until, (self.sock.fileno(), READ))
                if not self.pull():
                    raise ConnectionError("the peer left during the handshake")
            self.in_time(until)

    def in_time(self, until: float) -> None:
        if self.tasks.now() >= until:
            raise TimeoutError("the handshake takes too long")

    def names(self) -> set[str]:
        """The names that the peer's certificate is for."""
        told: Any = self.tls.getpeercert() or {}
        return {name for kind, name in told.get("subjectAltName", ()) if kind == "DNS"}

    def pull(self) -> bool:
        """Reads once from the socket; False at its end."""
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return True
        if not data:
            self.incoming.write_eof()
            return False
        self.incoming.write(data)
        return True

    def push(self) -> bool:
        """Writes what the socket takes; False where something is left."""
        while self.unsent or self.outgoing.pending:
            if not self.unsent:
                self.unsent = self.outgoing.read(CHUNK)
            try:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
            except BlockingIOError:
                return False
        return True

    def fill(self) -> None:
        if self.ended:
            return
        open_ = self.pull() if self.incoming.pending < CHUNK else True
        while self.inbox.room:
            try:
                data = self.tls.read(min(self.inbox.room, CHUNK))
            except ssl.SSLWantReadError:
                self.ended = not open_
                return
            except ssl.SSLZeroReturnError:
                self.ended = True
                return
            if not data:
                self.ended = True
                return
            self.inbox.put(data)

    def flush(self) -> bool:
        while True:
            if not self.push():
                return False
            if not self.outbox.used:
                return True
            data = self.outbox.peek(CHUNK)
            self.outbox.skip(self.tls.write(data))
