"""Requests of simulated clients, machines and operators, as far as the hosts use aiohttp's."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from multidict import CIMultiDict


class Body:
    """A request's body as the hosts read it."""

    def __init__(self, data: bytes) -> None:
        self.data = data

    async def readany(self) -> bytes:
        """What has come and was not read; empty at the end."""
        data, self.data = self.data, b""
        return data


class Request(SimpleNamespace):
    """None of them was begun before its turn."""

    def __contains__(self, key: str) -> bool:
        return False

    def get(self, key: str) -> None:
        return None


class Transport:
    """The connection that a request came on."""

    def __init__(self, closing: bool) -> None:
        self.closing = closing

    def is_closing(self) -> bool:
        return self.closing


def request(
    method: str, path: str, headers: dict[str, str], data: bytes = b"", transport: Any = None
) -> Any:  # fmt: skip
    """What the hosts use of aiohttp's request."""

    return Request(
        method=method, path=path, raw_path=path, headers=CIMultiDict(headers), body_exists=bool(data),
        content_length=len(data), content=Body(data), transport=transport or SimpleNamespace(),
        protocol=None,
    )  # fmt: skip
