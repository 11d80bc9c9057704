"""Fields that the pages write in a form of their own, for marshmallow."""

from __future__ import annotations

import re
from typing import Any

from marshmallow import ValidationError, fields

from pinward.plan.routes import seconds

VERSION = re.compile(r"[0-9A-Fa-f]{1,8}")


class Span(fields.Field[float]):
    """A time with its unit, `1500ms` or `2.5s`, as float seconds."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> float:
        try:
            return seconds(value)
        except ValueError as fault:
            raise ValidationError(str(fault)) from None


class Version(fields.Field[int]):
    """A configuration's version, hexadecimal digits, as a whole number."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> int:
        if not isinstance(value, str) or not VERSION.fullmatch(value):
            raise ValidationError(f"must be hexadecimal digits, not {value!r}")
        return int(value, 16)


class Address(fields.Field[tuple[str, int]]):
    """`host:port`, the host an IP number."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> tuple[str, int]:
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValidationError(f"must be host:port, not {value!r}")
        return host, int(port)


def spell(faults: Any, path: str = "") -> str:
    """The first of marshmallow's messages, as `field: reason`."""
    while isinstance(faults, dict) and faults:
        key, faults = next(iter(faults.items()))
        path = path if key == "_schema" else f"{path}.{key}" if path else str(key)
    while isinstance(faults, list) and faults:
        faults = faults[0]
    if isinstance(faults, dict):
        return spell(faults, path)
    return f"{path or 'the whole'}: {faults}"
