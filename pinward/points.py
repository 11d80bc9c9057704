"""Named points of the program where a rig may stop the process, as another program's load would.

Off unless the process was started with PINWARD_POINTS: then `reach` looks into the folder that it names, and
where a file of the point's name is there, removes it and stops the process until someone continues it. Taken
at the start, so that a process which was not started for a trial never looks.
"""

from __future__ import annotations

import os
import signal
from pathlib import Path

FOLDER = Path(told) if (told := os.environ.get("PINWARD_POINTS")) else None
NAMES = ("asked", "answered", "checked", "telling", "admitted", "saying")


def reach(point: str) -> None:
    """The program is at a point: where a rig waits for that, stops here."""
    if FOLDER is None:
        return
    mark = FOLDER / point
    if mark.exists():
        mark.unlink(missing_ok=True)
        os.kill(os.getpid(), signal.SIGSTOP)
