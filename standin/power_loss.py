"""Runs a control server whose synced files are copied aside, so that a loss of power can be played.

`python -m standin.power_loss` is `pinward.exchange` with `os.fsync` watched: a file that was synced is copied
as it is then, and a folder's list of files as it is when the folder is synced. After the process was killed,
`lose_power` puts the folder back to that: what was not synced is gone.
"""

from __future__ import annotations

import os
import shutil
import sys
from collections.abc import Callable
from pathlib import Path

LISTED = "listed"  # the names of the folder's last sync, a line each
SUFFIX = ".synced"  # the folder beside a process's own that holds what was synced


def synced_folder(folder: Path) -> Path:
    """Where copies of a folder's synced files are."""
    return folder.with_name(folder.name + SUFFIX)


def put_whole(path: Path, body: bytes) -> None:
    """Writes a file so that a kill leaves the old one or the new one."""
    partial = path.with_name(path.name + ".partial")
    partial.write_bytes(body)
    partial.replace(path)


def watched(fsync: Callable[[int], None]) -> Callable[[int], None]:
    """`os.fsync` that copies aside what it makes last."""

    def watching(descriptor: int) -> None:
        fsync(descriptor)
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.is_dir():
            kept = synced_folder(path)
            kept.mkdir(exist_ok=True)
            put_whole(kept / LISTED, "\n".join(os.listdir(path)).encode())
        elif path.exists():
            kept = synced_folder(path.parent)
            kept.mkdir(exist_ok=True)
            put_whole(kept / path.name, path.read_bytes())

    return watching


def lose_power(folder: Path) -> None:
    """Puts a folder back to what its last syncs cover; its process has ended."""
    kept = synced_folder(folder)
    listed = (kept / LISTED).read_text().splitlines() if (kept / LISTED).exists() else []
    shutil.rmtree(folder)
    folder.mkdir()
    for name in listed:
        if (kept / name).exists():
            shutil.copy(kept / name, folder / name)


def lose_disk(folder: Path) -> None:
    """Leaves nothing of a folder, nor of what was synced there."""
    for path in (folder, synced_folder(folder)):
        shutil.rmtree(path, ignore_errors=True)
    folder.mkdir()


if __name__ == "__main__":
    os.fsync = watched(os.fsync)  # type: ignore[assignment]
    from pinward.exchange.__main__ import main

    sys.exit(main())
