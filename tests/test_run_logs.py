"""Logs of a run of real processes outlive it where it found a fault."""

from __future__ import annotations

import tempfile
from pathlib import Path
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals

from standin import run_logs


class RunLogs(TestCase):
    def test_they_are_kept_where_a_fault_was_found_or_the_run_broke_off(self) -> None:
        """Symptom: a process that did not end in time could not be traced, its log was gone."""
        with tempfile.TemporaryDirectory() as kept, mock.patch.object(run_logs, "KEPT", Path(kept)):
            for name, keeps in (("sound", False), ("faulty", True), ("faulty", True)):
                with run_logs.run_folder(name) as folder:
                    (folder.path / "core.log").write_text(name)
                    folder.keeps = keeps
            try:
                with run_logs.run_folder("broken") as folder:
                    raise TimeoutError
            except TimeoutError:
                pass
            self.assertThat(sorted(path.name for path in Path(kept).iterdir()), Equals(["broken", "faulty"]))
            self.assertThat((Path(kept) / "faulty" / "core.log").read_text(), Equals("faulty"))
