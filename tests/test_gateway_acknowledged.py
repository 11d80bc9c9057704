"""What was answered 200 outlives a kill of all control servers, with real processes and files."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from pinward.exchange.vault import Vault
from standin import acknowledged_soak
from standin.power_loss import lose_disk, lose_power, watched

SEED, ROUNDS = 1, 4  # in which the code before review/2's mend has three faults


class RealProcesses(TestCase):
    """The short form of `pinward gateway acknowledged`."""

    def test_what_was_answered_200_is_there_after_a_kill_of_all_right_behind_it(self) -> None:
        """Guards against review/2 on real processes and disks: 200 for what memory alone held."""
        soak = acknowledged_soak.played(SEED, ROUNDS)
        self.assertThat(soak.faults, Equals([]))
        left = sum(soak.counts[act] for act in ("drain", "delete", "delete_before_the_first_beat"))
        self.assertThat(left, GreaterThan(2))
        self.assertThat(soak.counts["power lost"], GreaterThan(0))


class PowerLoss(TestCase):
    """A folder as its last syncs cover it."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "disk"
        self.folder.mkdir()
        patch = mock.patch.object(os, "fsync", watched(os.fsync))
        patch.start()
        self.addCleanup(patch.stop)

    def synced(self, path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY)
        os.fsync(descriptor)
        os.close(descriptor)

    def test_what_was_not_synced_is_gone(self) -> None:
        for name in ("whole", "later", "unlisted"):
            (self.folder / name).write_text("as synced")
        self.synced(self.folder / "whole")
        self.synced(self.folder / "later")
        (self.folder / "unlisted").rename(self.folder / "elsewhere")
        self.synced(self.folder)
        (self.folder / "later").write_text("not synced")
        (self.folder / "new").write_text("as synced")
        self.synced(self.folder / "new")
        lose_power(self.folder)
        held = {path.name: path.read_text() for path in self.folder.iterdir()}
        self.assertThat(held, Equals({"whole": "as synced", "later": "as synced"}))

    def test_a_generation_that_was_written_is_read_after_it(self) -> None:
        vault = Vault(self.folder)
        for number in range(4):
            vault.write(b'{"number":%d}' % number)
            lose_power(self.folder)
            self.assertThat(Vault(self.folder).read(), Equals({"number": number}))
        lose_disk(self.folder)
        self.assertThat(Vault(self.folder).read(), Equals(None))
