"""What lasts on disk: files and folders synced."""

from __future__ import annotations

import os
from pathlib import Path


def sync(path: Path) -> None:
    """Returns once a file, or what a folder lists, is on disk. Raises OSError."""
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
