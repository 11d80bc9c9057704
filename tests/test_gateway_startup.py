"""Signals to a process that has only just started."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

ROOT = Path(__file__).parent.parent
HANGS_UP = "import pinward.common.startup, os, signal; os.kill(os.getpid(), signal.SIGHUP); print('goes on')"


class Reloads(TestCase):
    """Symptom: SIGHUP in the first half second of a process ended it (22 of 30)."""

    def test_sighup_before_it_is_heeded_ends_nothing(self) -> None:
        run = subprocess.run([sys.executable, "-B", "-c", HANGS_UP], cwd=ROOT, capture_output=True, text=True)
        self.assertThat(run.stdout.strip(), Equals("goes on"))

    def test_both_programs_ignore_it_before_they_load_anything_else(self) -> None:
        for program in ("switchboard", "exchange"):
            tree = ast.parse((ROOT / "pinward" / program / "__main__.py").read_text())
            imports = [node for node in tree.body if isinstance(node, ast.ImportFrom)]
            first = next(node for node in imports if node.module != "__future__")
            self.assertThat((first.module, first.names[0].name), Equals(("pinward.common", "startup")))
