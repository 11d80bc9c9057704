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
from testtools.matchers import Equals, GreaterThan

from standin import restarts_soak
from standin.hostile_clients import KINDS
from standin.hostile_drill import CrowdDrill, HostileDrill, SidecarDrill

SOAK_SEED, SOAK_S, SOAK_CROWDS = 700, 6.0, 6
PURE_PYTHON = {"AIOHTTP_NO_EXTENSIONS": "1"}  # has aiohttp parse by its Python code


class Crowds:
    """One gateway, whose listener meets a crowd in each test: one of each kind, added below."""

    listener: str
    env: dict[str, str] = {}

    @classmethod
    def made(cls, folder: Path) -> CrowdDrill:
        return HostileDrill(cls.listener, folder, cls.env)

    @classmethod
    def setUpClass(cls) -> None:
        stack = AsyncExitStack()
        folder = tempfile.TemporaryDirectory()
        stack.callback(folder.cleanup)
        cls.runner, cls.stack = asyncio.Runner(), stack
        cls.drill = cls.made(Path(folder.name))
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


class CtlInPython(Crowds, TestCase):
    listener, env = "Ctl", PURE_PYTHON


class Sidecar(Crowds, TestCase):
    @classmethod
    def made(cls, folder: Path) -> CrowdDrill:
        return SidecarDrill(folder)


class Soak(TestCase):
    """The short form of `pinward gateway restarts --crowds`."""

    def test_restarts_reloads_and_changes_beside_hostile_clients(self) -> None:
        soak = restarts_soak.played(SOAK_SEED, SOAK_S, crowds=SOAK_CROWDS)
        self.assertThat(soak.faults, Equals([]))
        self.assertThat(soak.hostile.played, GreaterThan(0))
