"""A toy fleet for a front to stand before: two nodes, their list, and a platform, all on loopback addresses.

`make try` runs it with a front before it; then ask for something:

    curl -i -H 'Request-Id: 1' -H 'Request-Class: quote' -H 'Request-Timeout-Ms: 2000' http://127.0.0.1:9000/api

`GET /api?do=fault` has the node answer 500, `do=unfit` 400, `do=full` turn the txn away, `do=silent` say
nothing for 3 s, `do=nonsense` write no HTTP, `do=break` break the connection after reading,
`do=stall` begin an answer and not end it, `do=early` answer 103 first and say more than belongs to it.
"""

from __future__ import annotations

import contextlib
import json
import os
import socketserver
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

NODES = {"s-one": ("127.0.0.1", 9101), "s-two": ("127.0.0.1", 9102)}
DISCOVERY, PLATFORM = ("127.0.0.1", 9100), ("127.0.0.1", 9103)


class Quiet(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_: object) -> None:
        pass

    def answer(self, status: int, body: bytes, **fields: str) -> None:
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Node(Quiet):
    def do_GET(self) -> None:  # noqa: N802
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        what = self.path.partition("do=")[2]
        if what == "fault":
            self.answer(500, b"")
        elif what == "unfit":
            self.answer(400, b"")
        elif what == "full":
            self.answer(503, b"", Not_Started="1")
        elif what == "nonsense":
            self.wfile.write(b"hello\r\n\r\n")
            self.close_connection = True
        elif what == "break":
            self.close_connection = True
        elif what == "stall":
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
            time.sleep(3.0)
        elif what == "early":
            early = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\nServer-Load: =\r\n\r\n"
            self.wfile.write(early + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + early)
        else:
            time.sleep(3.0 if what == "silent" else 0.0)
            said = b"%s %s" % (self.headers["Request-Id"].encode(), body)
            self.answer(200, said, Content_Type="text/plain")

    do_POST = do_GET  # noqa: N815


class Registry(Quiet):
    def do_GET(self) -> None:  # noqa: N802
        if "hold_ms" in self.path:
            time.sleep(float(self.path.partition("hold_ms=")[2]) / 1000)
        targets = [
            {"uid": name, "endpoint": f"{host}:{port}", "az": "a", "pod_group": 0, "state": "up",
             "capacity_hint": 1.0, "boot_ms": 0, "release": 41}
            for name, (host, port) in NODES.items()
        ]  # fmt: skip
        self.answer(200, json.dumps({"rev": 1, "all": True, "targets": targets}).encode())


class Desk(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        for line in self.rfile:
            watch = line.split() == [b"WATCH"]
            news = b"OK\r\n* ROLLOUT %d 2 released 1 99000\r\n" % self.server.release
            self.wfile.write(news if watch else b"ERR STALE\r\n")
            if watch:
                threading.Thread(target=self.live, daemon=True).start()

    def live(self) -> None:
        """A sign of life every second, until the front leaves."""
        with contextlib.suppress(OSError, ValueError):
            while True:
                time.sleep(1.0)
                self.wfile.write(b"*\r\n")


def start() -> list[socketserver.TCPServer]:
    """Starts the whole fleet in threads of its own."""
    servers: list[socketserver.TCPServer] = [ThreadingHTTPServer(where, Node) for where in NODES.values()]
    return run(servers) + lead(DISCOVERY, PLATFORM)


def lead(
    discovery: tuple[str, int], platform: tuple[str, int], release: int = 41
) -> list[socketserver.TCPServer]:
    """Starts the list and the platform alone; `release` is the newest one."""
    socketserver.ThreadingTCPServer.allow_reuse_address = True
    socketserver.ThreadingTCPServer.daemon_threads = True
    desk = socketserver.ThreadingTCPServer(platform, Desk)
    desk.release = release
    return run([ThreadingHTTPServer(discovery, Registry), desk])


def run(servers: list[socketserver.TCPServer]) -> list[socketserver.TCPServer]:
    for server in servers:
        server.handle_error = lambda *_: None  # clients may leave
        threading.Thread(target=server.serve_forever, daemon=True).start()
    return servers


def front() -> int:
    """Runs the built front before this fleet until Ctrl-C; its exit status."""
    root = Path(__file__).parent.parent
    env = {**os.environ, "ROUTER_CONFIG": str(root / "example/config.json")}
    with subprocess.Popen([sys.executable, "-B", "-m", "pinward"], cwd=root / "build/lib", env=env) as child:
        try:
            return child.wait()
        except KeyboardInterrupt:
            child.terminate()
            return child.wait()


if __name__ == "__main__":
    start()
    print("two nodes, their list and a platform are up; end with Ctrl-C", flush=True)
    if sys.argv[1:] == ["--front"]:
        sys.exit(front())
    threading.Event().wait()
