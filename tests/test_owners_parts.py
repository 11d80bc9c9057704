"""Owners' parts: settings, tokens on a disk, starts, notices, probing's core, and probing members alone."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import unittest
from pathlib import Path
from random import Random

from pinward.lead.fence import Answer
from pinward.lead.office import LeadFile
from pinward.lead.store import StoreError
from pinward.owners.file import MemberFile
from pinward.owners.member import Tokens, begin_start
from pinward.owners.office import Notices
from pinward.owners.probing import LAPSE_PERIODS, Rounds, Views, slice_of
from pinward.settings import FaultyFileError, read
from standin.installation import DESK_PORT, Installation, rows

HEAD = """
installation x
name i1
state /nowhere
listen 127.0.0.1:7001
plain-text yes
member i1 {
  address 127.0.0.1:7001
}
"""


class InFolder(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="pinward-owners-"))
        self.addCleanup(shutil.rmtree, self.folder, True)


class TestSettings(InFolder):
    def faults(self, *lines: str) -> list[str]:
        path = self.folder / "i1.conf"
        path.write_text(HEAD + "\n".join(["owners {", *lines, "}"]) + "\n")
        try:
            read(path, LeadFile)
        except FaultyFileError as fault:
            return [str(each).removeprefix(str(self.folder)) for each in fault.faults]
        return []

    def test_right(self) -> None:
        self.assertEqual([], self.faults("duty probe {", "kind split", "parts 64", "fenced no", "}"))

    def test_faulty(self) -> None:
        """Each is refused with the file, the line and what is wrong."""
        wrong = {
            "stands twice": ("duty a {", "}", "duty a {", "}"),
            "shorter than a beat": ("duty a {", "kind periodic", "period 100ms", "}"),
            "period: missing": ("duty a {", "kind periodic", "}"),
            "no member may own it": ("duty a {", "kind split", "by-zone yes", "}"),
            "only split work has parts": ("duty a {", "parts 4", "}"),
            "cannot be kept": ("takeover 5s",),
            "at most a quarter of hold": ("hold 1s", "member-beat 500ms"),
            "kind": ("duty a {", "kind sometimes", "}"),
        }
        for what, lines in wrong.items():
            faults = self.faults(*lines)
            self.assertTrue(any(what in fault for fault in faults), (what, faults))
            self.assertRegex(faults[0], r"^/i1\.conf:\d+: ")

    def test_bounds(self) -> None:
        """The told takeover holds with the settings as they come."""
        path = self.folder / "i1.conf"
        path.write_text(HEAD + "owners {\n}\n")
        office = read(path, LeadFile)
        assert office.owners is not None
        bounds = office.owners.bounds(office.wait, office.beat, office.skew)
        self.assertLess(bounds["takeover_s"], bounds["takeover_with_leader_s"])
        self.assertLessEqual(bounds["takeover_with_leader_s"], office.owners.takeover)


class TestTokens(InFolder):
    def opened(self) -> Tokens:
        tokens = Tokens(self.folder)
        tokens.open()
        self.addCleanup(tokens.close)
        return tokens

    def test_kept(self) -> None:
        """What was let in is known after a start, and a record cut short is not."""
        tokens = self.opened()
        for part, token in (("a", 3), ("b", 4), ("a", 7)):
            self.assertIs(Answer.APPLY, tokens.fences.admit(part, token))
        tokens.close()
        whole = tokens.path.read_bytes()
        tokens.path.write_bytes(whole[:-3])
        again = self.opened()
        self.assertEqual((3, 4), (again.fences.token("a"), again.fences.token("b")))
        self.assertIs(Answer.STALE, again.fences.admit("a", 2))
        self.assertIs(Answer.APPLY, again.fences.admit("a", 7))
        again.close()
        self.assertEqual(7, self.opened().fences.token("a"))

    def test_damaged(self) -> None:
        """Damage before the end is no torn write: it is refused, with the file."""
        tokens = self.opened()
        for token in range(1, 20):
            tokens.fences.admit("a", token)
        tokens.close()
        data = bytearray(tokens.path.read_bytes())
        data[len(data) // 2] ^= 1
        tokens.path.write_bytes(data)
        with self.assertRaisesRegex(StoreError, "tokens: damaged at byte"):
            Tokens(self.folder).open()

    def test_disk_full(self) -> None:
        """Where the token cannot be kept nothing is let in, and the file stays whole."""
        tokens = self.opened()
        tokens.fences.admit("a", 3)
        real, tokens.file = tokens.file, Path("/dev/full").open("ab", buffering=0)  # noqa: SIM115
        with self.assertRaises(StoreError):
            tokens.fences.admit("a", 9)
        tokens.file.close()
        tokens.file = real
        self.assertEqual(3, tokens.fences.token("a"))
        self.assertIs(Answer.APPLY, tokens.fences.admit("a", 5))


class TestStart(InFolder):
    def test_starts(self) -> None:
        """Each start on a disk is a new one; two on one folder at a time are refused."""
        first, lock = begin_start(self.folder)
        with self.assertRaisesRegex(StoreError, "another process"):
            begin_start(self.folder)
        lock.close()
        second, lock = begin_start(self.folder)
        lock.close()
        self.assertEqual((first.birth, 1, 2), (second.birth, first.starts, second.starts))
        self.assertNotEqual(first.nonce, second.nonce)
        (self.folder / "start").write_bytes(b"\xc1")
        with self.assertRaises(StoreError):
            begin_start(self.folder)


class TestNotices(unittest.TestCase):
    def test_latest(self) -> None:
        """The latest of a key alone, in order; an older token's does not take a later one's place."""
        notices = Notices()
        self.assertTrue(notices.put("p/0", "n1", 5, [True, 1]))
        self.assertTrue(notices.put("p/0", "n2", 5, [True, 1]))
        self.assertTrue(notices.put("p/0", "n1", 6, [False, 0]))
        self.assertFalse(notices.put("p/0", "n1", 5, [True, 1]))
        self.assertEqual([[2, "p/0", "n2", 5, [True, 1]], [3, "p/0", "n1", 6, [False, 0]]], notices.after(0))
        self.assertEqual([], notices.after(3))
        self.assertFalse(notices.put("p/0", "n3", 6, "x" * 600_000))

    def test_answers_are_bounded(self) -> None:
        notices = Notices()
        for number in range(6):
            notices.put("p/0", f"n{number}", 5, "x" * 100_000)
        told, at = [], 0
        while some := notices.after(at):
            told.append(len(some))
            at = some[-1][0]
        self.assertEqual([2, 2, 2], told)


class TestProbingCore(unittest.TestCase):
    def test_rounds(self) -> None:
        """Each node once a period; the first spread over a period; no making up after a pause."""
        rounds, now, seen = Rounds(1.0, Random(3)), 0.0, []
        nodes = [f"n{n}" for n in range(20)]
        while now < 4.0:
            rounds.nodes(now, nodes)
            while (node := rounds.take(now)) is not None:
                seen.append((now, node))
            now += 0.01
        times = {node: [at for at, n in seen if n == node] for node in nodes}
        self.assertTrue(all(3 <= len(at) <= 4 and at[0] <= 1.01 for at in times.values()))
        self.assertGreater(len({round(at[0], 1) for at in times.values()}), 5)
        now += 30.0
        rounds.nodes(now, nodes)
        burst = sum(rounds.take(now) is not None for _ in range(100))
        self.assertEqual(20, burst)

    def test_slices(self) -> None:
        slices = [slice_of(f"node-{n}", 8) for n in range(800)]
        self.assertEqual(set(range(8)), set(slices))
        self.assertLess(max(map(slices.count, range(8))), 150)

    def test_views(self) -> None:
        """An old owner's report does not go over a later one's while that counts; all lapse."""
        views = Views(1.0)
        self.assertIs(False, views.hear(0.0, "p/0", "n", 5, [False, 0]))
        self.assertIsNone(views.hear(0.1, "p/0", "n", 4, [True, 1]))
        self.assertIs(False, views.well(0.2, "n"))
        self.assertIsNone(views.hear(0.3, "p/0", "n", 5, [False, 0]))
        self.assertIsNone(views.well(0.3 + LAPSE_PERIODS, "n"))


class Probed:
    """Nodes that note each probe, and answer 200 while they are well."""

    def __init__(self) -> None:
        self.well = True
        self.probes: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.probes.append(asyncio.get_running_loop().time())
        writer.write(b"HTTP/1.1 %s x\r\nContent-Length: 0\r\n\r\n" % (b"200" if self.well else b"503"))
        writer.close()


class TestProbing(unittest.IsolatedAsyncioTestCase):
    NODES, PERIOD_S = 6, 0.3
    OWNERS = (
        "owners {", "  hold 1s", "  member-beat 100ms", "  flight 100ms", "  takeover 6s", "  warm 200ms",
        "  duty probe {", "    kind split", "    parts 6", "    fenced no", "  }", "}",
    )  # fmt: skip

    async def test_shared(self) -> None:
        """Three members share the nodes: each probed within the period, none twice as often, all told; when
        one is killed the others go on within the told time."""
        folder = Path(tempfile.mkdtemp(prefix="pinward-probing-"))
        self.addCleanup(shutil.rmtree, folder, True)
        play = Installation(1, 3, folder, 59)
        self.addAsyncCleanup(play.close)
        nodes, lines = [Probed() for _ in range(self.NODES)], []
        for number, node in enumerate(nodes):
            server = await asyncio.start_server(node.serve, "127.0.0.1", 0)
            self.addCleanup(server.close)
            port = server.sockets[0].getsockname()[1]
            lines += [f"  node n{number} {{", f"    address 127.0.0.1:{port}", "  }"]
        await play.add_instances(list(self.OWNERS))
        for name in ("m1", "m2", "m3"):
            told = [
                f"name {name}", f"state {folder / name}", "hold 1s", "member-beat 100ms", "flight 100ms",
                *(f"desk {n} {{\n  address {play.shown(n)}:{DESK_PORT}\n}}" for n in play.names),
                "probe probe {", "  parts 6", "  period 300ms", *lines, "}",
            ]  # fmt: skip
            path = folder / f"{name}.conf"
            path.write_text("\n".join(told) + "\n")
            self.assertEqual(6, len(read(path, MemberFile).probe.node))
            play.add(name, ["pinward", "owners", "run", str(path)])
        play.start_all()
        self.assertTrue(await play.until(lambda: all(node.probes for node in nodes), 20.0))
        await asyncio.sleep(2.5)
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(6 * self.PERIOD_S)
        for node in nodes:
            count = sum(at >= began for at in node.probes)
            self.assertTrue(4 <= count < 12, count)
        nodes[2].well = False
        logs = [folder / f"{name}.log" for name in ("m1", "m2", "m3")]

        def told() -> bool:
            rows_ = [[row for row in rows(log) if row.get("event") == "node"] for log in logs]
            return all(any(r["node"] == "n2" and r["well"] is False for r in some) for some in rows_)

        self.assertTrue(await play.until(told, 4.0), "all members hear that a node is unwell")
        play.processes["m1"].kill()
        killed = asyncio.get_running_loop().time()
        await asyncio.sleep(6.0 + 2 * self.PERIOD_S)
        for node in nodes:
            gaps = [b - a for a, b in zip(node.probes, node.probes[1:], strict=False) if b > killed]
            self.assertLess(max(gaps), 6.0 + self.PERIOD_S)
