"""The grammar: one directive a line, `#` comments, quotes, `{` ... `}` blocks, `include`.

Nothing here knows what a directive means. The page for people is docs/operate/settings.md.
"""

from __future__ import annotations

import shlex
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

INCLUDES_MOST = 8  # files within files: a file that includes itself ends here at the latest
LINES_MOST = 100_000  # lines of a file with all that it includes: more is taken for a wrong file
BYTES_MOST = 16 * 2**20  # of one file, read whole


class Fault(NamedTuple):
    """What is wrong with a line; line 0 means the file as a whole."""

    file: str
    line: int
    what: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.what}" if self.line else f"{self.file}: {self.what}"


class FaultyFileError(ValueError):
    """All that is wrong with a settings file, a line each."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


@dataclass
class Directive:
    """One line: its name, the words after it, and the lines of its block where it has one."""

    name: str
    words: list[str]
    file: str
    line: int
    block: list[Directive] | None = None

    def fault(self, what: str) -> Fault:
        return Fault(self.file, self.line, f"{self.name}: {what}")


@dataclass
class Parser:
    load: Callable[[Path], str]
    faults: list[Fault] = field(default_factory=list)
    lines: int = 0

    def file(self, path: Path, depth: int, into: list[Directive]) -> None:
        try:
            text = self.load(path)
        except (OSError, UnicodeDecodeError, ValueError) as fault:
            why = fault.strerror if isinstance(fault, OSError) and fault.strerror else str(fault)
            self.faults.append(Fault(str(path), 0, f"cannot be read: {why}"))
            return
        blocks = [into]
        opened: list[Directive] = []
        for number, line in enumerate(text.splitlines(), 1):
            self.lines += 1
            if self.lines > LINES_MOST:
                self.faults.append(Fault(str(path), number, f"more than {LINES_MOST} lines"))
                return
            self.line(path, number, line, depth, blocks, opened)
        self.faults.extend(d.fault("its block is not closed") for d in opened)

    def line(
        self, path: Path, number: int, line: str, depth: int,
        blocks: list[list[Directive]], opened: list[Directive],
    ) -> None:  # fmt: skip
        try:
            words = shlex.split(line, comments=True)
        except ValueError as fault:
            self.faults.append(Fault(str(path), number, str(fault).lower()))
            return
        if not words:
            return
        if words == ["}"]:
            if opened:
                opened.pop()
                blocks.pop()
            else:
                self.faults.append(Fault(str(path), number, "closes a block that was not opened"))
            return
        opens = words[-1] == "{"
        directive = Directive(words[0], words[1 : -1 if opens else None], str(path), number)
        if words[0] == "include":
            self.include(directive, depth, blocks[-1])
        elif opens and len(words) == 1:
            self.faults.append(Fault(str(path), number, "a block without a name"))
            blocks.append([])
            opened.append(Directive("{", [], str(path), number))
        else:
            blocks[-1].append(directive)
            if opens:
                directive.block = []
                blocks.append(directive.block)
                opened.append(directive)

    def include(self, directive: Directive, depth: int, into: list[Directive]) -> None:
        if len(directive.words) != 1:
            self.faults.append(directive.fault("takes one file"))
        elif depth + 1 >= INCLUDES_MOST:
            self.faults.append(directive.fault(f"more than {INCLUDES_MOST} files within files"))
        else:
            self.file(Path(directive.file).parent / directive.words[0], depth + 1, into)


def whole(path: Path) -> str:
    """A file's text.

    Raises:
        OSError, UnicodeDecodeError: it cannot be read, or is no UTF-8.
        ValueError: it is larger than BYTES_MOST.
    """
    with path.open("rb") as file:
        data = file.read(BYTES_MOST + 1)
    if len(data) > BYTES_MOST:
        raise ValueError(f"larger than {BYTES_MOST} bytes")
    return data.decode()


def parse(path: Path, load: Callable[[Path], str] = whole) -> tuple[list[Directive], list[Fault]]:
    """The directives of a file, with those it includes, and what is wrong with its form."""
    parser, found = Parser(load), list[Directive]()
    parser.file(path, 0, found)
    return found, parser.faults
