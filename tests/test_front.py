"""A whole front against the toy fleet of `example/`, over real sockets; and the parsers by themselves."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from example import toy
from pinward.config import FaultyKeyError, Sheet, decode_branch, decode_list
from pinward.net import http
from pinward.net.discovery import Discovery
from pinward.net.front import Front
from pinward.net.log import Log
from pinward.net.platform import Call, Platform
from pinward.net.pool import Pool
from pinward.net.ring import Ring
from pinward.net.scheduler import Scheduler
from pinward.terms import Node
from tests.trace import compare

ROOT = Path(__file__).parent.parent
FRONT = ("127.0.0.1", 9000)


def look(product: str, what: str = "settle") -> str:
    """A whole txn that a client asks for."""
    fields = f"Request-Id: 1\r\nRequest-Class: {product}\r\nRequest-Timeout-Ms: 1000\r\n"
    return f"GET /api?do={what} HTTP/1.1\r\n{fields}Idempotency-Key: k\r\n\r\n"


def ask(text: str) -> str:
    """What a front answers to raw text: its status, its body, and `closed` where it ends the connection."""
    with socket.create_connection(FRONT, timeout=5) as sock:
        sock.sendall(text.encode())
        data = b""
        while b"\r\n\r\n" not in data:
            part = sock.recv(65536)
            if not part:
                return "nothing"
            data += part
        head, _, body = data.decode().partition("\r\n\r\n")
        closed = " closed" if "Connection: close" in head else ""
        return f"{head.split()[1]} {body}{closed}".strip()


class Whole(unittest.TestCase):
    def start(self, **told: object) -> subprocess.Popen[str]:
        """The toy fleet, and a front before it whose configuration holds what is told here."""
        self.told = {**json.loads((ROOT / "example/config.json").read_text()), **told}
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "config.json"
        self.path.write_text(json.dumps(self.told))
        for server in toy.start():
            self.addCleanup(server.server_close)
            self.addCleanup(server.shutdown)
        front = subprocess.Popen(
            [sys.executable, "-B", "-m", "pinward"], cwd=ROOT, stdout=subprocess.PIPE, text=True,
            env={**os.environ, "ROUTER_CONFIG": str(self.path)},
        )  # fmt: skip
        self.addCleanup(front.wait)
        self.addCleanup(front.kill)
        self.ready()
        return front

    def end(self, front: subprocess.Popen[str], *keys: str) -> list[str]:
        """Ends a front; what it logged, sorted and as far as `keys` go, and its exit status."""
        front.send_signal(signal.SIGTERM)
        said = [json.loads(line) for line in front.communicate(timeout=10)[0].splitlines()]
        lines = [" ".join(f"{key} {line[key]}" for key in keys if key in line) for line in said]
        return [*sorted(filter(None, lines)), f"exit {front.returncode}"]

    def test_a_front(self) -> None:
        """Settled, faulty, full, broken and nonsensical nodes; malformed clients; SIGTERM while one waits."""
        front = self.start()
        lines = []
        for what in ("settle", "fault", "unfit", "full", "break", "nonsense", "early"):
            for product in ("quote", "charge"):
                lines.append(f"{what}, {product}: {ask(look(product, what))}")
        began = time.monotonic()
        lines.append(f"stall, charge: {ask(look('charge', 'stall'))}, early {time.monotonic() - began < 0.8}")
        long = "x" * 9000
        for name, text in {
            "no id": "GET /api HTTP/1.1\r\nRequest-Class: quote\r\n\r\n",
            "no HTTP": "hello\r\n\r\n",
            "two lengths": "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "long body": "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
            "long head": f"GET / HTTP/1.1\r\nA: {long}\r\n\r\n",
        }.items():
            lines.append(f"{name}: {ask(text)}")
        with socket.create_connection(FRONT, timeout=5) as sock:
            sock.sendall(look("quote").encode()[:-2])
            time.sleep(0.1)
            front.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            sock.sendall(b"\r\n")
            last = sock.recv(65536)
        lines.append(f"SIGTERM: {last.split()[1].decode()} closed {b'Connection: close' in last}")
        compare(self, "front", [*lines, *self.end(front, "broken")])

    def test_bad_clients(self) -> None:
        """More silent clients than there is room for keep nobody out and are sent off; ids are not shared."""
        front, lines = self.start(limits={"memory_mb": 64, "sockets": 60}), []
        began, silent = time.monotonic(), []
        for _ in range(50):
            silent.append(socket.create_connection(FRONT, timeout=3))
            self.addCleanup(silent[-1].close)
        silent[0].sendall(look("quote").encode()[:40])
        lines.append(f"beside 50 silent ones: {ask(look('quote'))}")
        for sock in silent:
            sock.recv(100)
        lines.append(f"all are sent away within 3 s: {time.monotonic() - began < 3.0}")
        with socket.create_connection(FRONT, timeout=5) as sock:
            sock.sendall(look("quote", "silent").encode())
            time.sleep(0.1)
            lines.append(f"the id of an open txn: {ask(look('quote'))}")
        compare(self, "bad-clients", [*lines, *self.end(front, "broken")])

    def test_clients_that_stay(self) -> None:
        """Clients that ask once and keep their connections are sent away, the longest idle first."""
        front, lines, stay = self.start(limits={"memory_mb": 64, "sockets": 60}), [], []
        for number in range(12):
            stay.append(socket.create_connection(FRONT, timeout=3))
            self.addCleanup(stay[-1].close)
            stay[-1].sendall(look("quote").replace("Id: 1", f"Id: {number}").encode())
            stay[-1].recv(4096)
        time.sleep(0.3)
        for sock in stay:
            sock.setblocking(False)
            try:
                lines.append(f"connection {len(lines)}: {'ended' if not sock.recv(1) else 'speaks'}")
            except BlockingIOError:
                lines.append(f"connection {len(lines)}: stays")
        began = time.monotonic()
        stay[-1].setblocking(True)
        lines.append(f"the last: {stay[-1].recv(1)!r} after some 2 s: {1.0 < time.monotonic() - began < 2.5}")
        compare(self, "clients-that-stay", [*lines, *self.end(front, "broken")])

    def test_new_configuration(self) -> None:
        """On SIGHUP a faulty file changes nothing; a whole one moves list and platform to its addresses."""
        news = {"build": 40, "stage": 1, "phase": "trial", "cap": 0.6, "age_ms": 10}
        front = self.start(platform={"address": "127.0.0.1:9103", "news": news})
        self.told["discovery"], self.told["platform"] = "127.0.0.1:9104", {"address": "127.0.0.1:9105"}
        self.path.write_text(json.dumps({**self.told, "settings": {}}))
        front.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        lines = [ask(look("quote"))]
        for server in toy.lead(("127.0.0.1", 9104), ("127.0.0.1", 9105), 42):
            self.addCleanup(server.server_close)
            self.addCleanup(server.shutdown)
        self.path.write_text(json.dumps(self.told))
        front.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        lines.append(ask(look("quote")))
        keys = ("faulty", "discovery", "platform", "whole", "number", "broken")
        compare(self, "new-configuration", [*lines, *self.end(front, *keys)])

    def ready(self) -> None:
        for _ in range(100):
            try:
                if ask("GET /health/ready HTTP/1.1\r\n\r\n").startswith("200"):
                    return
            except OSError:
                pass
            time.sleep(0.05)
        self.fail("the front does not get ready")


class Parts(unittest.TestCase):
    def test_reader_by_bytes(self) -> None:
        """A message is read alike whole and byte by byte, chunked or not, around the end of the ring."""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
        plain = b"HTTP/1.1 503 No\r\nContent-Length: 2\r\nNot-Started: 1\r\n\r\nno"
        for step in (1, 7, 1000):
            ring, reader, got = Ring(128), http.Reader(answers=True), []
            data = (chunked + plain) * 3
            while data or ring.used:
                taken = ring.put(data[:step])
                data = data[taken:]
                message = reader.step(ring, ended=False)
                if message:
                    got.append((message.status, message.body))
            self.assertEqual([(200, b"abcde"), (503, b"no")] * 3, got)

    def test_answers_that_cannot_be_read(self) -> None:
        both, huge = b"Transfer-Encoding: chunked\r\nContent-Length: 2", b"Content-Length: 3000000000"
        twice = b"Content-Length: 1\r\nContent-Length: 2"
        for head in (twice, both, huge, b"Content-Length: -1", b"X: 1", b"no colon", b"X:\0"):
            ring = Ring(512)
            ring.put(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\nok")
            with self.assertRaises(http.MalformedError, msg=head):
                http.Reader(answers=True).step(ring, ended=True)

    def test_pool(self) -> None:
        """No connection to a node rests longer than it may, or outlives its node's start or move."""
        tasks, node, said = Scheduler(), Node("a"), []
        pool = Pool(tasks, 1, 1024, 1.0)

        def work() -> None:
            until = tasks.now() + 5.0
            pool.locate(node, where, anew=False)
            first = pool.take(node, until, 0.1)
            said.append(f"no more may stand: {pool.take(node, until, 0.1)}")
            pool.give(node, first)
            said.append(f"taken again: {pool.take(node, until, 0.1) is first}")
            pool.give(node, first)
            tasks.wait(tasks.now() + 0.2)
            second = pool.take(node, until, 0.1)
            said.append(f"rested for long, taken again: {second is first}")
            pool.locate(node, where, anew=True)
            pool.give(node, second)
            said.append(f"started again, kept: {not second.closed}, {pool.count} stand")
            tasks.stop()

        with socket.create_server(("127.0.0.1", 0)) as listener:
            where = listener.getsockname()
            tasks.spawn(work)
            tasks.run()
        compare(self, "pool", said)

    def test_ever_new_nodes(self) -> None:
        """Nodes that are gone, by a change of the list or by a whole new one, are forgotten."""
        told = json.loads((ROOT / "example/config.json").read_text())
        front, said = Front(decode_branch(Sheet(told, ""), {}), Log("n")), []
        at = {"endpoint": "127.0.0.1:9", "release": 41, "state": "up"}
        for turn in range(40):
            new = [{**at, "uid": f"s-{2 * turn}"}, {**at, "uid": f"s-{2 * turn + 1}"}]
            gone = [{"uid": f"s-{2 * turn - 2}", "state": "removed"}]
            whole = turn % 10 == 9
            listed = {"rev": turn, "all": whole, "targets": new if whole or not turn else new + gone}
            front.listed(decode_list(Sheet(listed, "")))
            if whole:
                held = front.nodes, front.pool.places, front.judge.seats
                said.append(f"after {turn + 1} lists: {' '.join(str(len(kept)) for kept in held)}")
        compare(self, "ever-new-nodes", said)

    def test_reload_fault(self) -> None:
        """A fault in reading the new configuration that nothing foresaw is logged."""
        told = json.loads((ROOT / "example/config.json").read_text())
        front = Front(decode_branch(Sheet(told, ""), {}), Log("n"))
        front.reload(lambda: 1 // 0)
        self.assertIn(b'"event":"reload","faulty":"ZeroDivisionError', front.log.lines[-1])

    def test_platform_lines(self) -> None:
        """What can be read whole is taken; all else raises, which ends the connection, and is no answer."""
        said: list[str] = []
        tell = lambda *news: said.append(str(news))  # noqa: E731
        desk = Platform(Scheduler(), FRONT, 64, {"quote": None}, 3, 1.0, 1.0, tell, tell, tell)
        desk.calls.extend([Call(9e9, False), Call(9e9, True), Call(9e9, True)])
        for text in (
            "OK 4", "OK", "*", "* LATER 1", "* ROLLOUT 42 1 trial 0.28 310", "* ROLLOUT 42 1 trial 0.2",
            "* ROLLOUT 42 3 trial 0.28 310", "* SAMPLE 42 quote 57 2 18.5 9e1", "* SAMPLE 42 x 57 2 18.5 900",
            "OK 42 1 tri*", "ERR \x93", "OK 42 1 trial nan 310", "OK 42 1 trial 0.28 310*", "ERR BUSY", "OK",
            "OK 42 1 trial 0.28 310", "OK 42 1 trial 0.28 310",
        ):  # fmt: skip
            try:
                desk.line(text)
                said.append(f"{text}: taken, {len(desk.calls)} calls wait")
            except (ValueError, KeyError):
                said.append(f"{text!r}: no")
        compare(self, "platform-lines", said)

    def test_watch_from_known(self) -> None:
        """A front that holds a list asks for what is newer, at once at first; then its calls wait."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            tasks, asked = Scheduler(), []
            told = lambda news: asked.append(news.rev)  # noqa: E731
            heard = Discovery(tasks, server.getsockname(), 4096, 5.0, 2.0, told, asked.append, 41)
            heard.watch()

            def registry() -> None:
                with server.accept()[0] as sock:
                    for rev in (42, 43):
                        asked.append(sock.recv(4096).split(b" ")[1].decode())
                        body = b'{"rev":%d,"all":false,"targets":[]}' % rev
                        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    asked.append(sock.recv(4096).split(b" ")[1].decode())

            thread = threading.Thread(target=registry, daemon=True)
            thread.start()
            until = time.monotonic() + 10.0
            while thread.is_alive() and time.monotonic() < until:
                tasks.turn()
            thread.join(1.0)
        compare(self, "watch-from-known", [str(line) for line in asked[:5]])

    def test_lists(self) -> None:
        node = {"uid": "s", "endpoint": "127.0.0.1:9", "state": "up", "release": 4, "boot_ms": None}
        said = [str(decode_list(Sheet({"rev": 3, "all": False, "targets": [node]}, "")))]
        gone = {"uid": "s", "state": "removed"}
        said.append(str(decode_list(Sheet({"rev": 3, "all": True, "targets": [gone]}, ""))))
        wrong = [{**node, key: value} for key, value in (("endpoint", 7), ("state", "u"), ("release", "4"))]
        whole = [{"rev": 3, "all": True, "targets": [one]} for one in wrong]
        for told in ([], {}, {"rev": 3, "all": 1, "targets": []}, *whole):
            with self.assertRaises(ValueError) as caught:
                decode_list(Sheet(told, ""))
            said.append(str(caught.exception))
        compare(self, "lists", said)

    def test_faulty_keys(self) -> None:
        lines = []
        for told in ({}, {"settings": {"extra": 1}}, {"settings": {"extra": {}, "limits": {}, "safety": {}}}):
            with self.assertRaises(FaultyKeyError) as caught:
                decode_branch(Sheet(told, ""), {})
            lines.append(str(caught.exception))
        compare(self, "faulty-keys", lines)


if __name__ == "__main__":
    unittest.main()
