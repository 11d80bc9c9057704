"""What an instance has promised, on its disk before it is said: a file a generation, records with checksums.

A record is a head of three 32-bit numbers (length, checksum of the body, checksum of the head) and a msgpack
body. Folding the log writes a new generation beside the old one and renames it. A last record that was cut
short is cut off at the start; damage elsewhere stops the instance, since what is lost cannot be guessed.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
import time
from pathlib import Path
from typing import Any, BinaryIO
from zlib import crc32

import msgpack

from pinward.disk import sync
from pinward.lead.terms import Base, Entry, Kept, Members, Save, Sort

HEAD = struct.Struct("<III")
RECORD_MOST = 64 * 2**20  # bytes; a longer one is damage
VERSION = 1
PREFIX = "state."


class StoreError(Exception):
    """The store cannot be used; the text is one line that names the file."""


def packed(record: Any) -> bytes:
    body = msgpack.packb(record)
    start = struct.pack("<II", len(body), crc32(body))
    return start + struct.pack("<I", crc32(start)) + body


def unpacked(path: Path, data: bytes) -> tuple[list[Any], int]:
    """The bodies of all whole records, and where they end. Raises StoreError where what is damaged is not the
    end of the file: what is lost then cannot be guessed."""
    records, at = [], 0
    while at < len(data):
        head = data[at : at + HEAD.size]
        if len(head) < HEAD.size:
            break
        length, check, head_check = HEAD.unpack(head)
        if crc32(head[:8]) != head_check or length > RECORD_MOST:
            if any(data[at:]):
                raise StoreError(f"{path}: damaged at byte {at}: the head of a record is wrong")
            break  # the file had grown, and its last write never came
        body = data[at + HEAD.size : at + HEAD.size + length]
        end = at + HEAD.size + length
        if len(body) < length or (crc32(body) != check and end == len(data)):
            break
        if crc32(body) != check:
            raise StoreError(f"{path}: damaged at byte {at}: the checksum of a record is wrong")
        try:
            records.append(msgpack.unpackb(body, strict_map_key=False))
        except (ValueError, TypeError) as fault:
            raise StoreError(f"{path}: damaged at byte {at}: {fault}") from None
        at = end
    return records, at


def plain_entry(entry: Entry) -> list[Any]:
    return [entry.epoch, entry.index, int(entry.sort), entry.body]


def entry_of(plain: Any) -> Entry:
    epoch, index, sort, body = plain
    return Entry(epoch, index, Sort(sort), body)


def plain_base(base: Base) -> list[Any]:
    return [base.index, base.epoch, base.members.plain(), base.state]


def base_of(plain: Any) -> Base:
    index, epoch, members, state = plain
    return Base(index, epoch, Members.of(members), state)


def write_whole(path: Path, data: bytes) -> None:
    """Puts a file in place of another, so that after a crash one of the two is there whole."""
    fresh = path.with_suffix(path.suffix + ".new")
    with fresh.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    fresh.rename(path)
    sync(path.parent)


class Store:
    """The store in a folder, held by one process at a time."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.kept: Kept | None = None
        self.birth = ""  # tells this disk from any other under the same name
        self.founding: Any = None  # the first list of members; None where it joined later
        self.generation = 0
        self.file: BinaryIO | None = None
        self.size = 0
        self.cut = 0  # bytes cut off a record that was never whole
        self.saves = 0
        self.lock: BinaryIO | None = None

    # Opening.

    def hold(self) -> None:
        """Makes the folder, and keeps other processes out of it."""
        self.folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        self.lock = (self.folder / "lock").open("ab")
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise StoreError(f"{self.folder}: another process runs on this state") from None

    def generations(self) -> list[int]:
        names = (path.name.removeprefix(PREFIX) for path in self.folder.glob(f"{PREFIX}*"))
        return sorted(int(name) for name in names if name.isdecimal())

    def create(self, members: Members, founds: bool, state: dict[str, Any] | None = None) -> None:
        """Makes an empty state, or one that goes on from a snapshot; raises StoreError where there is one."""
        self.hold()
        if self.generations():
            raise StoreError(f"{self.folder}: holds a state already; start without --new and --join")
        self.birth = f"{time.time_ns():x}-{os.getpid():x}"
        self.founding = {**members.plain(), "place": state["place"] if state else 0} if founds else None
        began = 1 if state else 0  # a snapshot stands for the log's first entry
        self.kept = Kept(began, None, Base(began, began, members, state))
        self.rewrite()

    def open(self) -> Kept:
        """Reads the state; raises StoreError where there is none or it is damaged."""
        try:
            return self.read()
        except StoreError:
            self.close()
            raise

    def read(self) -> Kept:
        self.hold()
        found = self.generations()
        if not found:
            raise StoreError(
                f"{self.folder}: no state here; --new begins an installation, --join joins one. If this"
                " instance had a state, take it out of the members and join it anew"
            )
        self.generation = found[-1]
        path = self.path
        try:
            data = path.read_bytes()
        except OSError as fault:
            raise StoreError(f"{path}: cannot be read: {fault.strerror}") from None
        end = self.replay(path, data)
        self.cut = len(data) - end
        try:
            self.file = path.open("r+b")
            if self.cut:
                self.file.truncate(end)
                os.fsync(self.file.fileno())
            self.file.seek(end)
        except OSError as fault:
            raise StoreError(f"{path}: cannot be written: {fault.strerror}") from None
        self.size = end
        for old in found[:-1]:
            (self.folder / f"{PREFIX}{old}").unlink(missing_ok=True)
        for rest in self.folder.glob("*.new"):
            rest.unlink(missing_ok=True)
        assert self.kept is not None
        return self.kept

    @property
    def path(self) -> Path:
        return self.folder / f"{PREFIX}{self.generation}"

    def replay(self, path: Path, data: bytes) -> int:
        """Takes in all whole records; returns where they end."""
        records, end = unpacked(path, data)
        for number, record in enumerate(records):
            try:
                self.take(record)
            except (ValueError, TypeError, IndexError) as fault:
                raise StoreError(f"{path}: damaged: record {number}: {fault}") from None
        if self.kept is None:
            raise StoreError(f"{path}: damaged: it does not begin with a state")
        return end

    def take(self, record: Any) -> None:
        """Takes in one record; raises ValueError where it does not follow from those before."""
        kind, *things = record
        if kind == "state":
            version, self.birth, self.founding, base, epoch, vote = things
            if version != VERSION:
                raise ValueError(f"written by another version, {version}")
            self.kept = Kept(epoch, vote, base_of(base))
            return
        if self.kept is None:
            raise ValueError("it does not begin with a state")
        promise, entries = things
        self.kept.take(Save(0, promise and tuple(promise), tuple(map(entry_of, entries)), None))

    # Saving.

    def save(self, save: Save) -> None:
        """Puts a save on the disk; it is there when this returns. Raises StoreError where it may not be."""
        kept = self.kept
        assert kept is not None
        self.saves += 1
        kept.take(save)
        if save.base is not None:
            self.rewrite()
        else:
            self.append(packed(["save", save.promise, [plain_entry(entry) for entry in save.entries]]))

    def append(self, data: bytes) -> None:
        assert self.file is not None
        try:
            self.file.write(data)
            self.file.flush()
            os.fdatasync(self.file.fileno())
        except OSError as fault:
            raise StoreError(f"{self.path}: cannot be written: {fault.strerror}") from None
        self.size += len(data)

    def rewrite(self) -> None:
        """Begins a new generation that holds the state as it is now."""
        kept = self.kept
        assert kept is not None
        state = ["state", VERSION, self.birth, self.founding, plain_base(kept.base), kept.epoch, kept.vote]
        data = packed(state)
        if kept.entries:
            data += packed(["save", None, [plain_entry(entry) for entry in kept.entries]])
        old = self.path
        try:
            write_whole(self.folder / f"{PREFIX}{self.generation + 1}", data)
            self.generation += 1
            if self.file is not None:
                self.file.close()
            self.file = self.path.open("r+b")
            self.file.seek(0, os.SEEK_END)
        except OSError as fault:
            raise StoreError(f"{self.folder}: cannot be written: {fault.strerror}") from None
        self.size = len(data)
        with contextlib.suppress(OSError):
            old.unlink(missing_ok=True)

    def close(self) -> None:
        for file in (self.file, self.lock):
            if file is not None:
                file.close()
        self.file = self.lock = None


class Acquaintances:
    """The disks that peers were met with, by name: an instance under an old name with another disk has
    forgotten what it promised, and is not spoken with until it was taken out of the members."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "known"
        self.births: dict[str, str] = {}
        try:
            self.births = dict(msgpack.unpackb(self.path.read_bytes()))
        except FileNotFoundError:
            pass
        except (OSError, ValueError, TypeError) as fault:
            raise StoreError(f"{self.path}: cannot be read: {fault}") from None

    def meet(self, name: str, birth: str) -> bool:
        """True where a peer's disk is the one known, or the first met, which is kept before this returns."""
        if name not in self.births:
            self.births[name] = birth
            self.keep()
        return self.births[name] == birth

    def forget(self, names: set[str]) -> None:
        if names & set(self.births):
            self.births = {name: birth for name, birth in self.births.items() if name not in names}
            self.keep()

    def keep(self) -> None:
        try:
            write_whole(self.path, msgpack.packb(self.births))
        except OSError as fault:
            raise StoreError(f"{self.path}: cannot be written: {fault.strerror}") from None
