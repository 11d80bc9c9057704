"""Whole control instances: processes on loopback with TLS, a platform's stand-in, and fronts that vote."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pinward.lead import keys
from pinward.lead.peers import CHECK_S
from pinward.net.platform import Platform
from pinward.net.scheduler import Scheduler
from pinward.terms import Kind, Phase, Product, Release, Reply, Verdict
from standin.installation import rows
from standin.lead_trial import Player, check_records
from standin.processes import ROOT, Process, until

PORT, DESK, APPLIER = 7701, 7702, 7703


def command(*words: str) -> subprocess.CompletedProcess[str]:
    whole = [sys.executable, "-B", "-m", "pinward", *words]
    return subprocess.run(whole, cwd=ROOT, capture_output=True, text=True)


class Whole(unittest.TestCase):
    NET = "127.90"

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.authority = keys.make_authority(self.folder / "keys", 3600.0)
        self.processes: dict[str, Process] = {}
        self.record = self.folder / "platform.record"
        self.platform = self.process(
            "platform", ["standin.applier", f"{self.NET}.9.1:{APPLIER}", str(self.record)]
        )
        self.platform.start()

    def process(self, name: str, words: list[str]) -> Process:
        made = Process(name, words, self.folder / f"{name}.log")
        self.processes[name] = made
        self.addCleanup(made.end)
        return made

    def where(self, name: str) -> str:
        return f"{self.NET}.{name[1:]}.1"

    def write_file(self, name: str, members: list[str], *more: str) -> Path:
        lines = [
            "installation test", f"name {name}", f"state {self.folder / name}",
            "wait 400ms", "beat 80ms",
            f"listen {self.where(name)}:{PORT}", f"desk {self.where(name)}:{DESK}", "gate shares", "fronts 3",
            "on-share 60%", "stage 10%", "stage 50%", "stage 100%", "vote-life 3s",
            "applier platform {", f"  address {self.NET}.9.1:{APPLIER}", "}",
            "keys {", f"  authority {self.folder}/keys/authority.pem",
            f"  certificate {self.folder}/keys/{name}.pem", f"  key {self.folder}/keys/{name}.key", "}",
            *more,
        ]  # fmt: skip
        for member in members:
            lines += [f"member {member} {{", f"  address {self.where(member)}:{PORT}", "}"]
        path = self.folder / f"{name}.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    def instance(self, name: str, members: list[str], how: str = "--new") -> Process:
        if not (self.folder / "keys" / f"{name}.pem").exists():
            keys.make_keys(self.folder / "keys", self.authority, name, 3600.0)
        path = self.write_file(name, members)
        made = self.process(name, ["pinward", "lead", "run", how, str(path)])
        made.start()
        made.words.remove(how)
        return made

    def three(self) -> list[str]:
        names = ["i1", "i2", "i3"]
        for name in names:
            self.instance(name, names)
        self.assertIsNotNone(self.leader())
        return names

    def ask(self, name: str, **asked: Any) -> dict[str, Any]:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(5.0)
            try:
                sock.connect(str(self.folder / name / "control"))
                sock.sendall(json.dumps(asked).encode() + b"\n")
                with sock.makefile("rb") as file:
                    return json.loads(file.readline() or b"{}")
            except OSError:
                return {}

    def leader(self, seconds: float = 10.0) -> str | None:
        found: list[str] = []

        def led() -> bool:
            alive = [n for n, p in self.processes.items() if n != "platform" and p.alive and not p.paused]
            found[:] = [name for name in alive if self.ask(name, do="status").get("acts")]
            return bool(found)

        return found[0] if until(led, seconds) else None

    def decide(self, **facts: Any) -> dict[str, Any]:
        """Has a decision committed by whoever leads, asking again with the same identity."""
        answer: dict[str, Any] = {}

        def done() -> bool:
            name = self.leader()
            answer.update(self.ask(name, do="decide", **facts) if name else {})
            return "place" in answer or "withdrawn" in answer

        self.assertTrue(until(done, 15.0), answer)
        return answer

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def applied(self) -> list[dict[str, Any]]:
        return [row for row in rows(self.record) if row["what"] == "apply"]

    def await_applied(self, place: int) -> None:
        self.assertTrue(until(lambda: len(self.applied()) >= place, 15.0), self.applied())

    def test_votes_bring_a_release_from_offer_to_released_with_leaders_killed_between(self) -> None:
        names = self.three()
        self.decide(id="offer-7", act="offer", release=7)
        tasks = Scheduler()
        news: list[Release] = []
        fronts = [
            Platform(
                tasks, (self.where(name), DESK), 16384, {"x": Product(1.0, 1.0, 1.0, 0.0, Kind.INQUIRY_LIKE)},
                3, 0.5, 3.0, self.voter(n, news), lambda _: None, lambda _: None,
            )
            for n, name in enumerate(names)
        ]  # fmt: skip
        self.fronts = fronts
        for stage in range(3):
            here = (stage, Phase.TRIAL)
            self.drive(tasks, lambda here=here: any((r.stage, r.phase) == here for r in news))
            leader = self.leader()
            assert leader is not None
            self.processes[leader].kill()
            self.assertIsNotNone(self.leader())
            there = (stage + 1, Phase.TRIAL) if stage < 2 else (2, Phase.RELEASED)
            self.processes[leader].start()
            self.drive(tasks, lambda there=there: any((r.stage, r.phase) == there for r in news), vote=stage)
        self.await_applied(4)
        acts = [(row["act"], row["stage"]) for row in self.applied()]
        self.assertEqual(acts, [("offer", 0), ("promote", 1), ("promote", 2), ("promote", 3)])
        self.assertEqual(check_records({0: rows(self.record)}, {"offer-7": 1}), [])

    def voter(self, n: int, news: list[Release]) -> Callable[[Release | None, Reply | None], None]:
        def told(said: Release | None, reply: Reply | None) -> None:
            if said is not None:
                news.append(said)

        return told

    def drive(self, tasks: Scheduler, goal: Callable[[], bool], vote: int | None = None) -> None:
        """Runs the fronts until `goal` holds, each voting a stage on every second."""
        from greenlet import getcurrent

        tasks.hub = getcurrent()
        end, vote_at = time.monotonic() + 20.0, 0.0
        tasks.spawn(self.tick_along, tasks)
        while not goal():
            self.assertLess(time.monotonic(), end, "the fronts see no such news")
            if vote is not None and time.monotonic() >= vote_at:
                vote_at = time.monotonic() + 1.0
                for front in self.fronts:
                    front.vote(7, vote, Verdict.ON)
            tasks.turn()

    def tick_along(self, tasks: Scheduler) -> None:
        for _ in range(2000):
            tasks.wait(tasks.now() + 0.02)

    def test_a_paused_leader_that_wakes_is_deposed(self) -> None:
        self.three()
        self.decide(id="d1", act="drain", node="n1")
        leader = self.leader()
        assert leader is not None
        self.processes[leader].pause()
        self.decide(id="d2", act="drain", node="n2")
        self.processes[leader].go_on()
        self.assertTrue(until(lambda: self.ask(leader, do="status").get("role") == "following", 5.0))
        answer = self.ask(leader, do="decide", id="d3", act="drain", node="n3")
        self.assertEqual(answer["error"], "this instance does not lead")
        self.await_applied(2)
        self.assertEqual([row["id"] for row in self.applied()], ["d1", "d2"])

    def test_an_instance_is_replaced_and_an_emptied_one_refused(self) -> None:
        names = self.three()
        self.decide(id="d1", act="drain", node="n1")
        leader = self.leader()
        assert leader is not None
        victim = next(name for name in names if name != leader)
        self.processes[victim].kill()
        (self.folder / victim).rename(self.folder / "old")
        self.assertEqual(command("lead", "run", str(self.folder / f"{victim}.conf")).returncode, 1)
        emptied = self.instance(victim, names)
        self.assertTrue(until(lambda: "another disk than before" in self.log(victim), 5.0))
        emptied.kill()
        self.assertEqual(self.ask(leader, do="members", remove=victim), {"ok": True})
        self.instance("i4", [*(n for n in names if n != victim), "i4"], "--join")
        place = f"{self.where('i4')}:{PORT}"
        self.assertTrue(until(lambda: self.ask(leader, do="members", add=["i4", place]) == {"ok": True}, 5.0))
        voters = sorted([*(n for n in names if n != victim), "i4"])
        self.assertTrue(until(lambda: self.ask(leader, do="members").get("voters") == voters, 10.0))
        self.decide(id="d2", act="drain", node="n2")
        self.assertTrue(until(lambda: self.ask("i4", do="status").get("place") == 2, 5.0))

    def test_an_installation_that_lost_its_majority_goes_on_from_a_snapshot(self) -> None:
        names = self.three()
        for n in range(3):
            self.decide(id=f"d{n}", act="drain", node=f"n{n}")
        self.await_applied(3)
        for _ in range(3):
            leader = self.leader() or ""
            self.assertIn("heir", self.ask(leader, do="yield"))
        self.assertTrue(until(lambda: self.ask("i1", do="status")["place"] == 3, 5.0))
        self.assertTrue(until(lambda: rows(self.record)[-1]["epoch"] > 2, 5.0))
        for name in names[1:]:
            self.processes[name].kill()
        self.assertTrue(until(lambda: not self.ask("i1", do="status")["acts"], 5.0))
        told = command("lead", "snapshot", "--json", str(self.folder / "i1.conf"))
        (self.folder / "snapshot.json").write_text(told.stdout)
        self.processes["i1"].end()
        keys.make_keys(self.folder / "keys", self.authority, "i5", 3600.0)
        path = self.write_file("i5", ["i5"])
        snapshot = str(self.folder / "snapshot.json")
        self.process("i5", ["pinward", "lead", "run", "--new", "--from", snapshot, str(path)]).start()
        self.decide(id="after", act="drain", node="n9")
        self.await_applied(4)
        self.assertEqual([row["id"] for row in self.applied()], ["d0", "d1", "d2", "after"])
        self.assertEqual([row["place"] for row in self.applied()], [1, 2, 3, 4])
        self.assertIn('"event":"stale"', self.log("i5"))  # those that apply had met later leaderships

    def test_a_full_disk_ends_the_instance_and_the_others_go_on(self) -> None:
        names = ["i1", "i2", "i3"]
        for name in names[:2]:
            self.instance(name, names)
        keys.make_keys(self.folder / "keys", self.authority, "i3", 3600.0)
        path = self.write_file("i3", names)
        full = self.process("i3", ["tests.crowded", "16384", "lead", "run", "--new", str(path)])
        full.start()
        for n in range(200):
            self.decide(id=f"d{n}", act="drain", node=f"node-{n}" + "x" * 100)
        self.assertTrue(until(lambda: not full.alive, 10.0))
        self.assertEqual(full.child.returncode if full.child else None, 1)
        self.assertIn('"event":"disk-failed"', self.log("i3"))
        self.decide(id="after", act="drain", node="n")
        self.await_applied(201)

    def test_idle_connections_stay_up(self) -> None:
        names = self.three()
        self.assertTrue(until(lambda: all(self.log(name).count('"peer-up"') >= 2 for name in names), 5.0))
        before = [self.log(name).count('"peer-up"') for name in names]
        time.sleep(CHECK_S + 1.0)
        for name in names:
            self.assertNotIn("nothing comes", self.log(name))
        self.assertEqual([self.log(name).count('"peer-up"') for name in names], before)

    def test_strangers_and_expired_certificates_are_refused(self) -> None:
        names = self.three()
        stranger = keys.make_authority(self.folder / "other", 3600.0)
        keys.make_keys(self.folder / "keys", stranger, "i3", 3600.0)
        self.processes["i3"].kill()
        self.processes["i3"].start()
        self.assertTrue(until(lambda: "VERIFY_FAILED" in self.log("i1") + self.log("i3"), 5.0))
        keys.make_keys(self.folder / "keys", self.authority, "i3", -200.0)
        self.processes["i3"].kill()
        self.processes["i3"].start()
        self.assertTrue(until(lambda: "expired" in self.log("i1") + self.log("i3"), 5.0))
        keys.make_keys(self.folder / "keys", self.authority, "i3", 3600.0)  # renewed without a restart
        self.decide(id="d1", act="drain", node="n1")
        self.assertTrue(until(lambda: self.ask("i3", do="status").get("place") == 1, 10.0))
        self.assertEqual(len(names), 3)

    def test_listeners_follow_and_a_yield_is_told(self) -> None:
        names = self.three()
        desks = ",".join(f"{self.where(name)}:{DESK}" for name in names)
        record = self.folder / "listener.record"
        self.process("listener", ["standin.applier", "-", str(record), "--follow", desks]).start()
        self.decide(id="d1", act="drain", node="n1")
        leader = self.leader() or ""
        done = command("lead", "yield", "--json", str(self.folder / f"{leader}.conf"))
        self.assertEqual(done.returncode, 0, done.stderr)
        heir = json.loads(done.stdout)["heir"]
        self.assertTrue(until(lambda: self.ask(heir, do="status").get("acts"), 3.0))
        self.decide(id="d2", act="drain", node="n2")
        self.assertTrue(until(lambda: [r.get("id") for r in rows(record)][-1:] == ["d2"], 8.0))
        self.assertEqual([r["id"] for r in rows(record) if r["what"] == "apply"], ["d1", "d2"])
        self.processes[heir].signal(signal.SIGINT)  # as Ctrl-C
        self.assertTrue(until(lambda: not self.processes[heir].alive, 5.0))
        self.assertIn('"event":"leaving"', self.log(heir))
        self.assertIsNotNone(self.leader())


class Trial(unittest.TestCase):
    def test_a_seed_of_the_trial(self) -> None:
        figures = Player(3, 5.0)(7, 91)
        self.assertEqual(figures["broken"], {})
        self.assertGreater(figures["applied"], 20)


class Commands(unittest.TestCase):
    def test_wrong_words_and_faulty_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "i1.conf"
            path.write_text("installation x\nname i1\nstate s\nlisten 1.2.3.4\nwaits 1s\n")
            done = command("check", str(path))
            self.assertEqual(done.returncode, 2)
            told = done.stderr.splitlines()
            self.assertEqual(told[0], f"{path}:4: listen: must be host:port, not '1.2.3.4'")
            self.assertTrue(told[1].startswith(f"{path}:5: waits: no such directive"))
            path.write_text(
                "installation x\nname i1\nstate s\nlisten 1.2.3.4:1\nplain-text yes\n"
                "member i1 {\n address 1.2.3.4:1\n}\n"
            )
            self.assertEqual(command("check", str(path)).returncode, 0)
            self.assertEqual(command("lead", "status", str(path)).returncode, 1)
        self.assertEqual(command("lead", "nonsense").returncode, 2)
        self.assertIn("Examples", command("--help").stdout)

    def test_the_bare_front_loads_nothing_of_the_command(self) -> None:
        code = (
            "import runpy, sys, os\nos.environ.pop('ROUTER_CONFIG', None)\nsys.argv = ['pinward']\n"
            "try: runpy.run_module('pinward', run_name='__main__')\nexcept SystemExit as e: print(e.code)\n"
            "print(sorted(m.split('.')[0] for m in sys.modules if m.split('.')[0] in "
            "('click', 'structlog', 'pydantic', 'msgpack', 'rich', 'cryptography', 'hdrh', 'ssl', 'aiohttp', "
            "'asyncio', 'logbook', 'marshmallow', 'pyrsistent', 'result', 'defopt')))\n"
            "print([m for m in sys.modules if m.startswith('pinward.') and m.split('.')[1] not in "
            "('config', 'rules', 'policy', 'terms', 'figures', 'net')])"
        )
        done = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(done.stdout.splitlines(), ["2", "[]", "[]"], done.stderr)


if __name__ == "__main__":
    unittest.main()
