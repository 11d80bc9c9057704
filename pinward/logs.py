"""Structured logs of all but the front: structlog, one JSON line an event, key-value lines on a terminal.

The front keeps `pinward.net.log`, which never waits for its reader and loads nothing.
"""

from __future__ import annotations

import sys
from typing import Any, TextIO

import orjson
import structlog

SECRETS = ("key", "secret", "password", "token")  # endings of a field's name whose value is never written


def veil(_: Any, __: str, event: dict[str, Any]) -> dict[str, Any]:
    """Hides what must not be logged, whoever hands it in."""
    return {name: "(hidden)" if name.endswith(SECRETS) else value for name, value in event.items()}


def start(stream: TextIO = sys.stderr) -> None:
    """Sets up the logs of this process."""
    shared: list[Any] = [
        structlog.processors.TimeStamper(fmt=None, key="at"), structlog.processors.add_log_level, veil,
    ]  # fmt: skip
    if stream.isatty():
        last: list[Any] = [structlog.dev.ConsoleRenderer(colors=False)]
        factory: Any = structlog.PrintLoggerFactory(stream)
    else:
        last = [structlog.processors.format_exc_info, structlog.processors.JSONRenderer(serializer=dump)]
        factory = structlog.BytesLoggerFactory(stream.buffer)
    structlog.configure(processors=shared + last, logger_factory=factory, cache_logger_on_first_use=True)


def dump(event: Any, **_: Any) -> bytes:
    return orjson.dumps(event, default=str)


def logger(**facts: object) -> Any:
    """A logger whose lines all carry `facts`."""
    return structlog.get_logger(**facts)
