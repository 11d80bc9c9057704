"""Three control instances on this machine, until Ctrl-C; in a second terminal, ask one what it knows:

    .venv-test/bin/python -m pinward lead status example/three/i1.conf
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def instances(folder: str) -> list[list[str]]:
    """The words that run the three instances of a folder of examples; new ones where they have no state."""
    words = []
    for name in ("i1", "i2", "i3"):
        made = any((ROOT / "build" / folder / name).glob("state.*"))
        words.append(["lead", "run", *([] if made else ["--new"]), f"example/{folder}/{name}.conf"])
    return words


def run(commands: list[list[str]]) -> int:
    """Runs commands of pinward until Ctrl-C; the greatest exit status."""
    start = [sys.executable, "-B", "-m", "pinward"]
    children = [subprocess.Popen([*start, *words], cwd=ROOT) for words in commands]
    try:
        return max(child.wait() for child in children)
    except KeyboardInterrupt:  # it reached them too: each hands over and ends
        return max(child.wait() for child in children)


if __name__ == "__main__":
    sys.exit(run(instances("three")))
