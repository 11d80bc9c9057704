"""Checks a settings file against a model of what it may hold, and tells all its faults at once.

A field of a `Block` is a directive. A field that is a list may stand on many lines; one that is a `Block`, or
a list of them, is written with braces, and the word before the brace is its `name`. Dashes stand for `_`.
"""

from __future__ import annotations

import types
from pathlib import Path
from typing import Any, TypeVar, Union, get_args, get_origin

from pydantic import BaseModel, ConfigDict, ValidationError

from pinward.settings.grammar import Directive, Fault, FaultyFileError, parse

Place = tuple[str | int, ...]  # in the data, as pydantic names it
TRUTHS = {"yes": True, "no": False, "on": True, "off": False}


class Block(BaseModel):
    """What a file, or a block of it, may hold; subclasses declare the directives as fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


S = TypeVar("S", bound=Block)


def inner(kind: Any) -> tuple[Any, bool]:
    """The type of one line of a field, and whether it may have many."""
    if get_origin(kind) in (Union, types.UnionType):
        kind = next(k for k in get_args(kind) if k is not type(None))
    if get_origin(kind) is list:
        return get_args(kind)[0], True
    return kind, False


class Reader:
    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.lines: dict[Place, Directive] = {}

    def gather(self, model: type[Block], found: list[Directive], where: Place) -> dict[str, Any]:
        """The plain data of a block, for the model to check; notes which line each piece is from."""
        data: dict[str, Any] = {}
        for directive in found:
            name = directive.name.replace("-", "_")
            field = model.model_fields.get(name)
            if field is None or (name == "name" and where):
                known = ", ".join(sorted(n.replace("_", "-") for n in model.model_fields if n != "name"))
                self.faults.append(directive.fault(f"no such directive here; there are {known}"))
                continue
            kind, many = inner(field.annotation)
            here = (*where, name, len(data.get(name, ()))) if many else (*where, name)
            if name in data and not many:
                first = self.lines[here]
                self.faults.append(directive.fault(f"told twice, first at {first.file}:{first.line}"))
                continue
            self.lines[here] = directive
            value = self.value(kind, directive, here)
            if many:
                data.setdefault(name, []).append(value)
            else:
                data[name] = value
        return data

    def value(self, kind: Any, directive: Directive, here: Place) -> Any:
        block = isinstance(kind, type) and issubclass(kind, Block)
        words = directive.words
        if block != (directive.block is not None):
            self.faults.append(directive.fault("wants a block" if block else "takes no block"))
            return None
        if block:
            data = self.gather(kind, directive.block or [], here)
            if "name" in kind.model_fields:
                if len(words) != 1:
                    self.faults.append(directive.fault("wants one name before its block"))
                data["name"] = words[0] if words else ""
            elif words:
                self.faults.append(directive.fault("takes no words before its block"))
            return data
        if get_origin(kind) is tuple and len(get_args(kind)) != 2:
            return words
        if len(words) != 1:
            self.faults.append(directive.fault(f"takes one word, not {len(words)}"))
            return None
        return TRUTHS.get(words[0], words[0]) if kind is bool else words[0]

    def line_of(self, where: Place) -> Directive | None:
        """The line that a place in the data is from, or that of the block around it."""
        while where and where not in self.lines:
            where = where[:-1]
        return self.lines.get(where)


def read(path: str | Path, model: type[S]) -> S:
    """A settings file as its model.

    Raises:
        FaultyFileError: with every fault of the file, each with its file and line.
    """
    path, reader = Path(path), Reader()
    found, reader.faults = parse(path)
    data = reader.gather(model, found, ())
    told = {(fault.file, fault.line) for fault in reader.faults}
    try:
        made = model.model_validate(data)
    except ValidationError as wrong:
        for error in wrong.errors():
            where = error["loc"]
            line = reader.line_of(where)
            if line and (line.file, line.line) in told:
                continue  # said already, better
            what = error["msg"].removeprefix("Value error, ").replace("Input should", "should")
            if error["type"] == "missing":
                what = f"{str(where[-1]).replace('_', '-')}: missing"
            reader.faults.append(line.fault(what) if line else Fault(str(path), 0, what))
    if reader.faults:
        raise FaultyFileError(sorted(reader.faults, key=lambda fault: (fault.file, fault.line)))
    return made
