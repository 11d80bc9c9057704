"""What the words of a settings file stand for: names, times and sizes with units, addresses."""

from __future__ import annotations

import re
from typing import Annotated

from pydantic import BeforeValidator, Field

from pinward import config

TIMES = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}  # seconds
SIZES = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}  # bytes
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NUMBER = re.compile(r"(\d+(?:\.\d+)?)([A-Za-z]+)")


def scaled(text: object, units: dict[str, float] | dict[str, int], example: str) -> float:
    if isinstance(text, int | float):  # a default
        return text
    found = NUMBER.fullmatch(str(text))
    if not found or found[2] not in units:
        raise ValueError(f"must be a number with a unit of {', '.join(units)}, as {example}, not {text!r}")
    return float(found[1]) * units[found[2]]


def seconds(text: object) -> float:
    """`250ms`, `10s`, `5m` as seconds."""
    return scaled(text, TIMES, "250ms")


def size(text: object) -> int:
    """`64KiB`, `1MiB` as bytes."""
    return int(scaled(text, SIZES, "64KiB"))


def share(text: object) -> float:
    """`8%` as 0.08."""
    if isinstance(text, float):
        return text
    number = re.fullmatch(r"(\d+(?:\.\d+)?)%", str(text))
    if not number:
        raise ValueError(f"must be a share, as 8%, not {text!r}")
    return float(number[1]) / 100


def address(text: object) -> tuple[str, int]:
    """`host:port`, the host numeric, IPv6 in brackets."""
    if isinstance(text, tuple):
        return text
    where = config.address(str(text))
    if not where[1]:
        raise ValueError(f"must be host:port, not {text!r}")
    return where


def name(text: object) -> str:
    """What stands for a process or a piece of work in files and words."""
    if not isinstance(text, str) or not NAME.fullmatch(text):
        raise ValueError(f"must be a name of letters, digits, dots and dashes, not {text!r}")
    return text


Name = Annotated[str, BeforeValidator(name)]
Seconds = Annotated[float, BeforeValidator(seconds)]
Size = Annotated[int, BeforeValidator(size)]
Share = Annotated[float, BeforeValidator(share), Field(ge=0.0, le=1.0)]
Address = Annotated[tuple[str, int], BeforeValidator(address)]
