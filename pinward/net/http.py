"""HTTP/1.1 as both ends need it: messages read from a ring step by step, and written as bytes."""

from __future__ import annotations

import re
from typing import NamedTuple

from pinward.net.ring import Ring

HEAD_MOST = 8 * 1024  # bytes of a message's head; it must fit into a ring whole
BODY_MOST = 64 * 1024  # bytes of a body, by the protocol
CHUNK_LINE_MOST = 64  # bytes of a chunk's size line
FIELDS_MOST = 64  # header fields of a message
TOKEN, TEXT = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+", rb"[\t\x20-\x7e\x80-\xff]*"
ASKS = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e]+) (HTTP/1\.[01])\r\n")
ANSWERS = re.compile(rb"(HTTP/1\.[01]) ([1-5][0-9][0-9])(?: (" + TEXT + rb"))?\r\n")
FIELD = re.compile(rb"(" + TOKEN + rb"):[ \t]*(" + TEXT + rb"?)[ \t]*\r\n")
FIELDS = re.compile(rb"(?:" + TOKEN + rb":" + TEXT + rb"\r\n)*")
ONCE = (b"content-length", b"transfer-encoding", b"host")  # fields that may not stand twice
DIGITS = re.compile(rb"[0-9]{1,9}")
HEX = re.compile(rb"[0-9A-Fa-f]{1,8}")

REASONS = {
    200: b"OK", 400: b"Bad Request", 413: b"Content Too Large", 431: b"Request Header Fields Too Large",
    404: b"Not Found", 408: b"Request Timeout", 502: b"Bad Gateway", 503: b"Service Unavailable",
}  # fmt: skip

NOT_BEGUN = (b"", b"", b"")


class MalformedError(Exception):
    """What a peer sent is not HTTP; `status` is what a client is told."""

    def __init__(self, what: str, status: int = 400) -> None:
        super().__init__(what)
        self.status = status


class CutShortError(MalformedError):
    """The connection ended inside a message."""


class Message(NamedTuple):
    """A whole request or answer."""

    start: tuple[bytes, bytes, bytes]  # its first line's three parts
    fields: dict[bytes, bytes]  # by name in lower case
    body: bytes

    def has(self, name: bytes, word: bytes) -> bool:
        return word in [part.strip().lower() for part in self.fields.get(name, b"").split(b",")]

    @property
    def status(self) -> int:
        return int(self.start[1])

    @property
    def stays(self) -> bool:
        """True where the connection stays open after this message."""
        if b"HTTP/1.0" in self.start:
            return False
        return b"connection" not in self.fields or not self.has(b"connection", b"close")


class Reader:
    """Reads one message after another from a ring; `step` returns None while the message is not whole."""

    def __init__(self, answers: bool = False) -> None:
        self.answers, self.body_most = answers, BODY_MOST
        self.reset()

    def reset(self) -> None:
        self.start: tuple[bytes, bytes, bytes] = NOT_BEGUN
        self.fields: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.left: int | None = 0  # bytes still to come of the body or chunk; None: up to the end
        self.chunked = self.in_chunk = self.trailing = False

    @property
    def begun(self) -> bool:
        return bool(self.start[0])

    @property
    def wants_word(self) -> bool:
        """True where the peer waits for a 100 before it sends its body."""
        return self.begun and self.fields.get(b"expect", b"").lower() == b"100-continue" and not self.body

    def step(self, ring: Ring, ended: bool) -> Message | None:
        while True:
            if not self.begun and not self.head(ring):
                if ended and ring.used:
                    raise CutShortError("ends inside a head")
                return None
            if not self.fill(ring, ended):
                if ended:
                    raise CutShortError("ends inside a body")
                return None
            message = Message(self.start, self.fields, bytes(self.body))
            self.reset()
            if not (self.answers and message.start[1].startswith(b"1")):  # not yet the final answer
                return message

    def head(self, ring: Ring) -> bool:
        while ring.used and ring.peek(2) == b"\r\n" and not self.answers:  # a stray line is passed over
            ring.skip(2)
        data = ring.peek(HEAD_MOST)
        end = data.find(b"\r\n\r\n") + 2
        if end < 2:
            if len(data) >= HEAD_MOST:
                raise MalformedError("its head is too long", 431)
            return False
        first = (ANSWERS if self.answers else ASKS).match(data, 0, end)
        if first is None or not FIELDS.fullmatch(data, first.end(), end):
            raise MalformedError("its head cannot be read")
        pairs = FIELD.findall(data, first.end(), end)
        if len(pairs) > FIELDS_MOST:
            raise MalformedError("too many header fields", 431)
        self.start = (first.group(1), first.group(2), first.group(3) or b"")
        self.fields = {name.lower(): value for name, value in pairs}
        if len(self.fields) < len(pairs):
            self.join(pairs)
        ring.skip(end + 2)
        self.framing()
        return True

    def join(self, pairs: list[tuple[bytes, bytes]]) -> None:
        """What stands more than once counts as one list."""
        self.fields = {}
        for name, value in ((name.lower(), value) for name, value in pairs):
            if name in self.fields and name in ONCE:
                raise MalformedError("a header field stands twice")
            self.fields[name] = self.fields[name] + b", " + value if name in self.fields else value

    def framing(self) -> None:
        length, coding = self.fields.get(b"content-length"), self.fields.get(b"transfer-encoding")
        if self.answers and (self.start[1] in (b"204", b"304") or self.start[1][:1] == b"1"):
            return  # it has no body, whatever it says
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                raise MalformedError("its length is told in two ways or in an unknown one")
            self.chunked, self.left = True, 0
        elif length is not None:
            if not DIGITS.fullmatch(length):
                raise MalformedError("its length is no number", 413 if length.isdigit() else 400)
            self.left = int(length)
        elif self.answers:  # up to the end, which must be announced, or it may be cut off unseen
            if Message(self.start, self.fields, b"").stays:
                raise MalformedError("its length is not told")
            self.left = None
        self.bound(self.left or 0)

    def bound(self, more: int) -> None:
        if len(self.body) + more > self.body_most:
            raise MalformedError("its body is too long", 413)

    def fill(self, ring: Ring, ended: bool) -> bool:
        """Takes what has come of the body; True once it is whole."""
        if self.left == 0 and not self.chunked:
            return True
        while True:
            part = ring.take(ring.used if self.left is None else min(self.left, ring.used))
            if self.left is None:
                self.bound(len(part))
            self.body += part
            if self.left is None:
                return ended and not ring.used
            self.left -= len(part)
            if self.left:
                return False
            if not self.chunked:
                return True
            if self.in_chunk:
                if self.body[-2:] != b"\r\n":
                    raise MalformedError("a chunk does not end where it should")
                del self.body[-2:]
                self.in_chunk = False
            line = self.line(ring)
            if line is None:
                return False
            if self.trailing:
                if not line:
                    return True
                continue
            size = line.partition(b";")[0].strip(b" \t")
            if not HEX.fullmatch(size):
                raise MalformedError("a chunk's size cannot be read")
            self.bound(int(size, 16))
            self.trailing = int(size, 16) == 0
            self.in_chunk = not self.trailing
            self.left = int(size, 16) + 2 * self.in_chunk

    def line(self, ring: Ring) -> bytes | None:
        data = ring.peek(CHUNK_LINE_MOST + 2)
        end = data.find(b"\r\n")
        if end < 0:
            if len(data) >= CHUNK_LINE_MOST + 2:
                raise MalformedError("a chunk's line is too long")
            return None
        ring.skip(end + 2)
        return data[:end]


def request(method: bytes, target: bytes, fields: bytes, body: bytes = b"") -> bytes:
    """`fields` are whole lines; the length is added where there is a body or one is due."""
    if body or method not in (b"GET", b"HEAD"):
        fields += b"Content-Length: %d\r\n" % len(body)
    return b"%s %s HTTP/1.1\r\n%s\r\n%s" % (method, target, fields, body)


def answer(status: int, body: bytes, stays: bool, fields: bytes = b"") -> bytes:
    """`fields` are whole lines."""
    last = b"\r\n" if stays else b"Connection: close\r\n\r\n"
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s%s" % (
        status, REASONS[status], len(body), fields, last, body,
    )  # fmt: skip
