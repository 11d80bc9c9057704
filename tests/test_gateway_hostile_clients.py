"""Clients that send what no client should, at each listener: the process keeps to its settings and serves on.

Nothing here depends on the machine's speed: memory, descriptors and log are bounded, no times are.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals

from standin.hostile_clients import KINDS
from standin.hostile_drill import HostileDrill

PURE_PYTHON = {"AIOHTTP_NO_EXTENSIONS": "1"}  # has aiohttp parse by its Python code


class Crowds:
    """One gateway, whose listener meets a crowd in each test: one of each kind, added below."""

    listener: str
    env: dict[str, str] = {}

    @classmethod
    def setUpClass(cls) -> None:
        stack = AsyncExitStack()
        folder = tempfile.TemporaryDirectory()
        stack.callback(folder.cleanup)
        cls.runner, cls.stack = asyncio.Runner(), stack
        cls.drill = HostileDrill(cls.listener, Path(folder.name), cls.env)
        cls.runner.run(stack.enter_async_context(cls.drill.running()))

    @classmethod
    def tearDownClass(cls) -> None:
        cls.runner.run(cls.stack.aclose())
        cls.runner.close()


def test_of(kind: str) -> Callable[[Any], None]:
    def test(self: Any) -> None:
        held = self.runner.run(self.drill.play(kind))
        self.assertThat(held.faults, Equals([]))

    return test


for kind in KINDS:
    setattr(Crowds, "test_" + kind.replace("'", "").replace(" ", "_"), test_of(kind))


class Edge(Crowds, TestCase):
    listener = "Edge"


class EdgeInPython(Crowds, TestCase):
    listener, env = "Edge", PURE_PYTHON


class Up(Crowds, TestCase):
    listener = "Up"


class Ctl(Crowds, TestCase):
    listener = "Ctl"
