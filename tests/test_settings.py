"""The settings' grammar and checks: every fault at once, each with its file and line."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Annotated, Literal

from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import Field

from pinward.settings import Address, Block, FaultyFileError, Seconds, Size, read
from pinward.settings.grammar import INCLUDES_MOST, parse


class Peer(Block):
    name: str
    address: Address
    voter: bool = True


class Whole(Block):
    name: str
    wait: Annotated[Seconds, Field(gt=0, le=60)] = 1.0
    room: Size = 1024
    kind: Literal["a", "b"] = "a"
    drain: list[str] = []
    peer: list[Peer] = []
    tls: Peer | None = None


class Reading(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, text: str, name: str = "a.conf") -> Path:
        path = self.folder / name
        path.write_text(text)
        return path

    def faults(self, text: str) -> list[str]:
        with self.assertRaises(FaultyFileError) as caught:
            read(self.write(text), Whole)
        return [f"{Path(fault.file).name}:{fault.line}: {fault.what}" for fault in caught.exception.faults]

    def test_all_forms(self) -> None:
        self.write("drain 'n 2'\n", "more.conf")
        made = read(self.write(
            "# all forms\nname i1   # the name\nwait 250ms\nroom 64KiB\nkind b\ndrain n1\ninclude more.conf\n"
            "peer i2 {\n address [::1]:70\n voter no\n}\npeer i3 { \n address 127.0.0.1:71\n}\n"
        ), Whole)  # fmt: skip
        self.assertEqual((made.wait, made.room, made.kind, made.drain), (0.25, 65536, "b", ["n1", "n 2"]))
        self.assertEqual([(p.name, p.address, p.voter) for p in made.peer],
                         [("i2", ("::1", 70), False), ("i3", ("127.0.0.1", 71), True)])  # fmt: skip

    def test_every_fault_is_told_with_its_line(self) -> None:
        found = self.faults(
            "wait 90s\nroom 3\nkind c\nwiat 1s\nroom 1KiB\npeer i2 {\n voter maybe\n}\ndrain a b\npeer {\n"
        )
        self.assertEqual([fault.split(": ")[0] for fault in found], [
            "a.conf:0", "a.conf:1", "a.conf:2", "a.conf:3", "a.conf:4", "a.conf:5", "a.conf:6", "a.conf:7",
            "a.conf:9", "a.conf:10", "a.conf:10",
        ])  # fmt: skip
        told = "\n".join(found)
        for word in (
            "name: missing", "less than or equal to 60", "must be a number with a unit", "no such directive",
            "told twice", "address: missing", "takes one word", "wants one name", "not closed",
        ):  # fmt: skip
            self.assertIn(word, told)

    def test_faults_of_form(self) -> None:
        self.assertIn("no closing quotation", "\n".join(self.faults("name 'i1\n")))
        self.assertIn("a block without a name", "\n".join(self.faults("{\n}\n")))
        self.assertIn("closes a block that was not opened", "\n".join(self.faults("name i1\n}\n")))
        self.assertIn("wants a block", "\n".join(self.faults("name i1\npeer i2\n")))
        self.assertIn("takes no block", "\n".join(self.faults("name {\n}\n")))
        self.assertIn("cannot be read", "\n".join(self.faults("include none.conf\n")))

    def test_a_file_that_includes_itself_ends(self) -> None:
        self.assertIn(f"more than {INCLUDES_MOST} files", "\n".join(self.faults("include a.conf\n")))

    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(st.text(max_size=200))
    def test_any_text_is_read_or_told(self, text: str) -> None:
        found, faults = parse(Path("x"), lambda _: text.replace("include", "exclude"))
        self.assertTrue(all(fault.line > 0 for fault in faults))
        self.assertTrue(all(d.name for d in found))
