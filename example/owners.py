"""Three control instances, three members that share probing, and four toy nodes, until Ctrl-C.

In a second terminal, see who probes what, kill one that owns something, and see the others take over:

    .venv-test/bin/python -m pinward owners show example/owners/i1.conf
    pkill -KILL -f owners/f2.conf
"""

from __future__ import annotations

import subprocess
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).parent.parent
NODE_PORTS = (7741, 7742, 7743, 7744)


class Node(BaseHTTPRequestHandler):
    """A node that is well."""

    def do_GET(self) -> None:  # noqa: N802
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_: object) -> None:
        pass


def main() -> int:
    for port in NODE_PORTS:
        server = ThreadingHTTPServer(("127.0.0.1", port), Node)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    children = []
    for name in ("i1", "i2", "i3"):
        made = any((ROOT / "build/owners" / name).glob("state.*"))
        words = ["lead", "run", *([] if made else ["--new"]), f"example/owners/{name}.conf"]
        children.append(subprocess.Popen([sys.executable, "-B", "-m", "pinward", *words], cwd=ROOT))
    for name in ("f1", "f2", "f3"):
        words = ["owners", "run", f"example/owners/{name}.conf"]
        children.append(subprocess.Popen([sys.executable, "-B", "-m", "pinward", *words], cwd=ROOT))
    try:
        return max(child.wait() for child in children)
    except KeyboardInterrupt:  # it reached them too: each hands over and ends
        return max(child.wait() for child in children)


if __name__ == "__main__":
    sys.exit(main())
