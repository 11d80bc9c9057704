"""What the command's groups share: how faults are told, figures kept, answers shown, and rigs found."""

from __future__ import annotations

import socket
from importlib import import_module
from pathlib import Path
from types import ModuleType
from typing import Any

import click
import orjson

ANSWER_S = 5.0  # s that a process may take to answer a command
FILE = click.argument("file", type=click.Path())
JSON = click.option("--json", "as_json", is_flag=True, help="print JSON, for a program")
INTO = click.option(
    "--json", "into", type=click.Path(path_type=Path), help="write the figures to this file"
)


class NotHeldError(Exception):
    """What was asked for did not hold: exit 1."""


def rig(name: str) -> ModuleType:
    """A module of the stand-ins; raises NotHeldError where this runs without the repository."""
    try:
        return import_module(f"standin.{name}")
    except ImportError:
        raise NotHeldError("its stand-ins are in the repository only; run it there") from None


def keep(figures: object, into: Path | None) -> None:
    """Writes figures to the file that --json names, if any."""
    if into is not None:
        into.write_bytes(orjson.dumps(figures, option=orjson.OPT_INDENT_2))


def ask(folder: Path, name: str, **asked: object) -> dict[str, Any]:
    """What the process with its state in `folder` answers; raises NotHeldError where it does not run."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(ANSWER_S)
        try:
            sock.connect(str(folder / "control"))
            sock.sendall(orjson.dumps(asked) + b"\n")
            data = b""
            while not data.endswith(b"\n"):
                part = sock.recv(65536)
                if not part:
                    break
                data += part
        except OSError as fault:
            raise NotHeldError(f"{name} does not answer: {fault}") from None
    if not data:
        raise NotHeldError(f"{name} ended the connection")
    return orjson.loads(data)


def show(answer: dict[str, Any], as_json: bool, title: str = "") -> None:
    """Prints an answer, as JSON or as a table; raises NotHeldError where it is a fault."""
    if as_json:
        click.echo(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
    if "error" in answer:
        raise NotHeldError(answer["error"])
    if as_json:
        return
    from rich.console import Console
    from rich.table import Table

    table = Table(title=title or None, show_header=False)
    for name, value in answer.items():
        text = value if isinstance(value, str) else orjson.dumps(value).decode()
        table.add_row(name.replace("_", " "), text)
    Console().print(table)
