"""What a client sends, cut into parts that are bounded before they are parsed; without I/O.

A head goes to the parser once it is whole, so that one under way costs no more than its bytes, and one
that is too long is never parsed. A body is cut where it may end, so that what follows is again a head.
"""

from __future__ import annotations

HEAD_END = b"\r\n\r\n"
LINE_ENDS = b"\r\n"
CHUNKED_PART = 1024  # bytes of a chunked body parsed at a time: trailers cost many times their bytes


class HeadTooLongError(Exception):
    """A request's head, or the blank lines before it, are longer than is allowed."""


class Intake:
    """The bytes of one connection that were not parsed yet."""

    def __init__(self) -> None:
        self.buffer, self.at = b"", 0  # what came, and how much of it was taken
        self.blank = 0  # bytes of blank lines before the head under way
        self.seam = b""  # the end of the body's last part: an empty line may lie across two
        self.in_body = False
        self.body_left: int | None = None  # bytes of the body still to come; None: it comes in chunks

    def add(self, data: bytes) -> None:
        self.buffer, self.at = self.buffer[self.at :] + data, 0

    def begin_body(self, length: int | None) -> None:
        """A body of so many bytes follows the head just taken; None: it comes in chunks."""
        self.in_body, self.body_left, self.seam = True, length, b""

    def end_body(self) -> None:
        """The body was whole with the part just taken."""
        self.in_body = False

    def clear(self) -> None:
        """Drops what was not taken."""
        self.buffer, self.at = b"", 0

    def next_part(self, head_most: int) -> bytes:
        """What may be parsed next; empty where more must come first. Raises HeadTooLongError."""
        if self.in_body:
            return self.body_part()
        self.skip_blank(head_most)
        found = self.buffer.find(HEAD_END, self.at)
        end = found + len(HEAD_END) if found >= 0 else len(self.buffer)
        if end - self.at > head_most:
            raise HeadTooLongError
        if found < 0:
            return b""
        self.blank = 0
        return self.cut(end)

    def skip_blank(self, most: int) -> None:
        """Passes over blank lines before a request. Raises HeadTooLongError where they do not end."""
        while self.at < len(self.buffer) and self.buffer[self.at] in LINE_ENDS:
            self.at += 1
            self.blank += 1
        if self.blank > most:
            raise HeadTooLongError

    def body_part(self) -> bytes:
        if self.body_left is not None:
            part = self.cut(min(len(self.buffer), self.at + self.body_left))
            self.body_left -= len(part)
            return part
        end = self.end_of_section()
        most = min(len(self.buffer), self.at + CHUNKED_PART)
        part = self.cut(end if 0 <= end < most else most)
        self.seam = (self.seam + part)[1 - len(HEAD_END) :]
        return part

    def end_of_section(self) -> int:
        """Where the body's next empty line ends, with which it may end; -1 where there is none."""
        across = self.seam + self.buffer[self.at : self.at + len(HEAD_END) - 1]
        found = across.find(HEAD_END)
        if found >= 0:
            return self.at + found + len(HEAD_END) - len(self.seam)
        found = self.buffer.find(HEAD_END, self.at, self.at + CHUNKED_PART)
        return found + len(HEAD_END) if found >= 0 else -1

    def cut(self, end: int) -> bytes:
        part, self.at = self.buffer[self.at : end], end
        return part
