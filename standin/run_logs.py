"""Folders of runs of real processes: gone with the run, kept where the run found a fault or broke off."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

KEPT = Path(__file__).parent.parent / "found"  # not under version control


@dataclass
class RunFolder:
    """Settings and logs of one run's processes."""

    path: Path
    keeps: bool = False  # its logs are of use


@contextmanager
def run_folder(name: str) -> Iterator[RunFolder]:
    """A folder for a run. Its logs go to `found/NAME` where `keeps` is set or the run raises."""
    with tempfile.TemporaryDirectory() as path:
        folder = RunFolder(Path(path))
        try:
            yield folder
        except BaseException:
            folder.keeps = True
            raise
        finally:
            if folder.keeps:
                shutil.rmtree(KEPT / name, ignore_errors=True)
                shutil.copytree(path, KEPT / name, ignore=shutil.ignore_patterns("*.partial"))
