"""Three control instances, three members that share probing, and four toy nodes, until Ctrl-C.

In a second terminal, see who probes what, kill one that owns something, and see the others take over:

    .venv-test/bin/python -m pinward owners show example/owners/i1.conf
    pkill -KILL -f owners/f2.conf
"""

from __future__ import annotations

import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from three import instances, run

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
    members = [["owners", "run", f"example/owners/{name}.conf"] for name in ("f1", "f2", "f3")]
    return run([*instances("owners"), *members])


if __name__ == "__main__":
    sys.exit(main())
