"""Three control instances on this machine, until Ctrl-C; in a second terminal, ask one what it knows:

    .venv-test/bin/python -m pinward lead status example/three/i1.conf
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def main() -> int:
    children = []
    for name in ("i1", "i2", "i3"):
        made = any((ROOT / "build/three" / name).glob("state.*"))
        words = [sys.executable, "-B", "-m", "pinward", "lead", "run", *([] if made else ["--new"])]
        children.append(subprocess.Popen([*words, f"example/three/{name}.conf"], cwd=ROOT))
    try:
        return max(child.wait() for child in children)
    except KeyboardInterrupt:  # it reached them too: each hands over and ends
        return max(child.wait() for child in children)


if __name__ == "__main__":
    sys.exit(main())
