"""A process that may own: it renews with the leader, and lends its work the tokens to act under.

`Member` runs on a scheduler of its host, a front or `pinward owners run`. Work registers with `serve` and is
called with each part while it is owned; it puts `begin` and `done` of the holder around every effect, by way
of `acting`. What owners tell all members comes to `hears`, once the token in it is kept on the disk.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import time
from collections.abc import Callable, Iterator
from io import FileIO
from pathlib import Path
from random import Random
from typing import Any, BinaryIO

import msgpack
import orjson

from pinward import points
from pinward.lead.fence import Answer, Fence, Fences
from pinward.lead.store import StoreError, packed, unpacked, write_whole
from pinward.lead.teller import read_line
from pinward.net.ring import Link, connect
from pinward.net.scheduler import Scheduler, Task
from pinward.owners.file import MemberFile
from pinward.owners.holder import Holder
from pinward.owners.terms import Incarnation, duty_of

RING_BYTES = 1 << 20  # a direction of the connection to the leader: a list of parts, or of nodes
ANSWER_S = 2.0  # s within which an instance answers
STEP_S = 4.0  # s within which it answers what goes into its log
TELL_BYTES = 6 * 1024  # of a notice: a desk takes lines of 8 KiB
TELLS_MOST = 10_000  # notices that wait for the leader; one of the same key takes the other's place
FOLD_AT = 4 * 2**20  # bytes of the file of tokens at which it is written anew
LAGS = 0.8  # of a beat, the least rest between two tries to reach a leader


class Tokens:
    """The highest tokens seen, on the disk before an effect is let in: a record each, folded now and then."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "tokens"
        self.fences = Fences(self.keep)
        self.file: FileIO | None = None
        self.size = 0

    def open(self) -> None:
        """Reads the file; a last record that was cut short was never answered, and is cut off."""
        try:
            data = self.path.read_bytes() if self.path.exists() else b""
            records, end = unpacked(self.path, data)
            for part, token in records:
                self.fences.parts.setdefault(str(part), Fence()).greet(int(token))
            self.file = self.path.open("ab", buffering=0)
            if end < len(data):
                self.file.truncate(end)
                os.fsync(self.file.fileno())
            self.size = end
        except (OSError, ValueError, TypeError) as fault:
            raise StoreError(f"{self.path}: cannot be used: {fault}") from None

    def keep(self, part: str, token: int) -> None:
        """Called by the fence; when this returns the token is on the disk. Raises StoreError."""
        assert self.file is not None
        data = packed([part, token])
        try:
            if self.size > FOLD_AT:
                self.fold()
            if self.file.write(data) != len(data):
                raise OSError(errno.ENOSPC, "no room for a whole record")
            os.fdatasync(self.file.fileno())
        except OSError as fault:
            with contextlib.suppress(OSError):
                self.file.truncate(self.size)  # else half a record stays in the middle of the file
            raise StoreError(f"{self.path}: cannot be written: {fault.strerror}") from None
        self.size += len(data)

    def fold(self) -> None:
        data = b"".join(packed([part, fence.epoch]) for part, fence in self.fences.parts.items())
        write_whole(self.path, data)
        assert self.file is not None
        self.file.close()
        self.file, self.size = self.path.open("ab", buffering=0), len(data)

    def close(self) -> None:
        if self.file is not None:
            self.file.close()
            self.file = None


def begin_start(folder: Path) -> tuple[Incarnation, BinaryIO]:
    """Notes one more start on this disk before anything is said; its incarnation, and the folder's lock.

    Raises StoreError where another process runs on the folder, or it cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True, mode=0o700)
    lock = (folder / "lock").open("ab")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        raise StoreError(f"{folder}: another process runs on this state") from None
    path, nonce = folder / "start", f"{time.time_ns():x}-{os.getpid():x}"
    try:
        birth, starts = msgpack.unpackb(path.read_bytes()) if path.exists() else (nonce, 0)
        write_whole(path, msgpack.packb([birth, starts + 1]))
    except (OSError, ValueError, TypeError) as fault:
        lock.close()
        raise StoreError(f"{path}: cannot be used: {fault}") from None
    return Incarnation(birth, starts + 1, nonce), lock


class RefusedError(Exception):
    """The leader does not take what was asked; the text says why."""


class Member:
    def __init__(self, tasks: Scheduler, told: MemberFile, log: Any) -> None:
        self.tasks, self.told, self.log = tasks, told, log
        self.chance = Random(f"{told.seed} {told.name}")
        self.incarnation, self.lock = begin_start(told.state)
        self.tokens = Tokens(told.state)
        self.tokens.open()
        self.holder = Holder(told.name, self.incarnation, told.pace)
        self.works: dict[str, Callable[[str, int], None]] = {}
        self.hearers: dict[str, Callable[[str, str, int, Any], None]] = {}
        self.running: dict[tuple[str, int], Task] = {}  # work on parts, by part and token
        self.tells: dict[tuple[str, str], tuple[int, Any]] = {}
        self.told_last: dict[tuple[str, str], tuple[int, Any]] = {}  # for a leader that follows
        self.noticed = [0, 0]  # of which leadership, up to which notice
        self.desks = [(desk.name, desk.address) for desk in told.desk]
        self.link: Link | None = None
        self.leader = ""
        self.leaving = self.busy = False
        self.leave_by = 0.0
        self.task: Task | None = None
        self.refused_why = ""
        self.stale = self.renewals = 0

    # Work.

    def serve(self, duty: str, work: Callable[[str, int], None]) -> None:
        """`work(part, token)` is run in a task of its own for each part of a duty that comes to be owned; it
        ends once the part is no longer this member's under that token (`owns`)."""
        self.works[duty] = work

    def hears(self, duty: str, hearer: Callable[[str, str, int, Any], None]) -> None:
        """`hearer(part, key, token, what)` is called for each notice of a duty that is not an old owner's."""
        self.hearers[duty] = hearer

    def owns(self, part: str, token: int) -> bool:
        """True while a part may be acted on under a token, asked of the clock at this moment."""
        return not self.leaving and self.holder.may(self.tasks.now(), part) == token

    @contextlib.contextmanager
    def acting(self, part: str, token: int) -> Iterator[float | None]:
        """Around one effect: for how long from now it counts, or None where it must not be."""
        begun = self.holder.begin(self.tasks.now(), part) if self.owns(part, token) else None
        if begun is None:
            yield None
            return
        points.reach("checked")
        try:
            yield begun[1]
        finally:
            self.holder.done(part, token)
            self.say()

    def refused(self, part: str, token: int, why: str) -> None:
        """A target knows a later token."""
        self.stale += 1
        self.holder.stale(part, token, why)
        self.say()

    def tell(self, part: str, token: int, key: str, what: Any) -> None:
        """Tells all members something of a part; the latest of a key takes an earlier one's place.

        Raises ValueError where it is larger than a notice may be.
        """
        if len(orjson.dumps([key, what])) > TELL_BYTES:
            raise ValueError(f"a notice of more than {TELL_BYTES} bytes")
        if len(self.tells) < TELLS_MOST or (part, key) in self.tells:
            self.tells[part, key] = (token, what)
            self.wake()

    def step(self, part: str, token: int, step: int, note: str) -> None:
        """Puts a step into the leader's log; it is there when this returns. Raises RefusedError, OSError."""
        asked = {"do": "step", "part": part, "token": token, "step": step, "note": note}
        self.ask_once(asked)
        held = self.holder.parts.get(part)
        if held is not None and held.token == token:
            held.step, held.note = max(held.step, step), note

    def finish(self, part: str, token: int) -> None:
        """Ends a one-off. Raises RefusedError, OSError."""
        self.ask_once({"do": "end", "part": part, "token": token})

    def ask_once(self, asked: dict[str, Any]) -> dict[str, Any]:
        """Asks the leader on a connection of its own, since the answer may take the log's time."""
        where = next((address for name, address in self.desks if name == self.leader), None)
        if where is None:
            raise RefusedError("no leader is known")
        until = self.tasks.now() + STEP_S
        link = connect(self.tasks, where, RING_BYTES, until, self.told.speak_from)
        try:
            answer = self.converse(link, asked, until)
        finally:
            link.close()
        if not answer.get("ok"):
            raise RefusedError(str(answer.get("no")))
        return answer

    # Renewing.

    def run(self) -> None:
        """Renews until told to leave. Never ends before that."""
        self.task = self.tasks.current()
        pace, at = self.told.pace, 0
        self.log.info("member", name=self.told.name, starts=self.incarnation.starts)
        while not self.leaving or self.holder.waits or self.holder.parts:
            began = self.tasks.now()
            try:
                again = self.renew(at)
            except (OSError, ValueError, KeyError, TypeError) as fault:
                self.hang_up()
                self.note_refusal(f"{type(fault).__name__}: {fault}")
                again = False
            if not again:
                at = self.next_desk(at)
            self.look()
            if self.leaving and began > self.leave_by:
                break
            quick = bool(self.tells) or any(h.state.name == "GIVEN" for h in self.holder.parts.values())
            rest = pace.beat_s * (LAGS + (1 - LAGS) * self.chance.random())
            self.busy = False
            self.tasks.wait(began + (rest / 8 if quick and again else rest))
        self.hang_up()

    def renew(self, at: int) -> bool:
        """One renewal at a desk; True where it was answered by a leader."""
        if self.link is None:
            until = self.tasks.now() + min(ANSWER_S, self.told.pace.hold_s / 2)
            self.link = connect(self.tasks, self.desks[at][1], RING_BYTES, until, self.told.speak_from)
        asked = self.holder.ask(self.tasks.now())
        told, pace = self.told, self.told.pace
        asked |= {
            "zone": told.zone, "capacity": told.capacity, "noticed": self.noticed,
            "times": [pace.hold_s, pace.beat_s, pace.flight_s, pace.skew],
        }
        points.reach("asked")
        answer = self.converse(self.link, asked, self.tasks.now() + ANSWER_S)
        points.reach("answered")
        self.renewals += 1
        epoch = self.holder.epoch
        renewed = self.holder.heard(self.tasks.now(), answer["number"], answer)
        if "leader" in answer or answer.get("no") == "not the leader":
            self.leader = str(answer.get("leader") or "")
            self.hang_up()
            return False
        self.leader = self.desks[at][0]
        if not renewed:
            self.note_refusal(self.holder.why)
            return True
        self.refused_why = ""
        if self.holder.epoch != epoch:
            for key, (token, what) in self.told_last.items():
                self.tells.setdefault(key, (token, what))
        self.take_notices(answer.get("notices", []))
        self.send_tells()
        return True

    def converse(self, link: Link, asked: dict[str, Any], until: float) -> dict[str, Any]:
        link.send(b"DUTY %s\r\n" % orjson.dumps(asked), until)
        text = read_line(self.tasks, link, until, RING_BYTES)
        if text is None or not text.startswith("DUTY "):
            raise ConnectionError(f"no answer of a desk: {text!r:.80}")
        answer = orjson.loads(text[5:])
        if not isinstance(answer, dict):
            raise ValueError(f"no answer of a desk: {text!r:.80}")
        return answer

    def next_desk(self, at: int) -> int:
        """The leader's desk where one is named, else the next in turn."""
        self.hang_up()
        named = [n for n, (name, _) in enumerate(self.desks) if name == self.leader]
        self.leader = ""
        return named[0] if named and named[0] != at else (at + 1) % len(self.desks)

    def hang_up(self) -> None:
        if self.link is not None:
            self.link.close()
            self.link = None

    def note_refusal(self, why: str) -> None:
        if why != self.refused_why:
            self.refused_why = why
            self.log.info("not-renewed", why=why)

    def wake(self) -> None:
        if self.task is not None and not self.busy:
            self.busy = True
            self.tasks.wake(self.task)

    # Notices.

    def take_notices(self, notices: list[list[Any]]) -> None:
        """Each is let in by its token, which is on the disk before it has an effect."""
        if self.noticed[0] != self.holder.epoch:
            self.noticed = [self.holder.epoch, 0]
        for number, part, key, token, what in notices:
            hearer = self.hearers.get(duty_of(part))
            try:
                admitted = hearer is not None and self.admit(part, token)
            except StoreError as fault:
                self.log.error("disk-failed", why=str(fault))
                return  # told again with the next renewal
            if admitted and hearer is not None:
                hearer(part, key, token, what)
            self.noticed = [self.holder.epoch, number]

    def admit(self, part: str, token: int) -> bool:
        answer = self.tokens.fences.admit(part, token)
        if answer in (Answer.APPLY, Answer.KNOWN):
            return True
        self.log.info("stale-refused", part=part, fence=token, later=self.tokens.fences.token(part))
        return False

    def send_tells(self) -> None:
        link = self.link
        while self.tells and link is not None:
            (part, key), (token, what) = next(iter(self.tells.items()))
            if not self.owns(part, token):
                del self.tells[part, key]
                continue
            asked = {"do": "tell", "part": part, "token": token, "key": key, "what": what}
            points.reach("telling")
            answer = self.converse(link, asked, self.tasks.now() + ANSWER_S)
            if self.tells.get((part, key)) == (token, what):
                del self.tells[part, key]
            if answer.get("ok"):
                self.told_last[part, key] = (token, what)
                while len(self.told_last) > TELLS_MOST:
                    del self.told_last[next(iter(self.told_last))]
            elif answer.get("no") == "stale":
                self.refused(part, token, "the log knows a later token")

    # Owning.

    def look(self) -> None:
        """Begins the work on parts that came, and forgets what ended."""
        self.running = {key: task for key, task in self.running.items() if not task.flow.dead}
        if not self.leaving:
            for part, held in self.holder.parts.items():
                work, key = self.works.get(duty_of(part)) or self.works.get("*"), (part, held.token)
                if work is not None and key not in self.running and self.owns(*key):
                    self.running[key] = self.tasks.spawn(self.one, work, *key)
        self.say()

    def one(self, work: Callable[[str, int], None], part: str, token: int) -> None:
        try:
            work(part, token)
        except (OSError, StoreError, RefusedError) as fault:
            self.log.info("work-broke", part=part, fence=token, why=f"{type(fault).__name__}: {fault}")
        if self.holder.may(self.tasks.now(), part) == token:
            self.holder.give(part, "its work ended")
            self.say()

    def say(self) -> None:
        notes, self.holder.notes = self.holder.notes, []
        for event, facts in notes:
            self.log.info(event, **facts)
            if event in ("given", "ending"):
                self.wake()

    def leave(self) -> None:
        """Gives up all parts by will, and ends once that is said, or soon after."""
        self.leaving, self.leave_by = True, self.tasks.now() + self.told.pace.hold_s
        self.holder.give_all("leaving")
        self.say()
        self.wake()

    def close(self) -> None:
        self.tokens.close()
        self.lock.close()

    def shown(self) -> dict[str, Any]:
        now, holder = self.tasks.now(), self.holder
        return {
            "name": self.told.name, "incarnation": self.incarnation.plain(), "leader": self.leader,
            "lease_s": round(max(0.0, holder.lease_until - now), 3), "why": holder.why or self.refused_why,
            "epoch": holder.epoch, "renewals": self.renewals, "stale": self.stale,
            "parts": {p: [h.token, h.state.name.lower(), h.step] for p, h in sorted(holder.parts.items())},
        }  # fmt: skip
