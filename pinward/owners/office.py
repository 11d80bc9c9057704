"""The steward in a control instance: words of members in, changes into the log, notices passed on.

A notice is what an owner tells all members: under its token, by a key of its part, the latest alone. The
leader lets in those of the part's present owner, and members compare tokens again (`lead/fence.py`). They
live in the leader's memory; owners tell them anew to a leader that follows.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

import orjson

from pinward.lead.terms import Sort
from pinward.owners.book import Effect
from pinward.owners.file import OwnersBlock
from pinward.owners.steward import Steward
from pinward.owners.terms import NOTE_MOST, Incarnation

if TYPE_CHECKING:
    from pinward.lead.instance import Instance
    from pinward.owners.book import Book

ANSWER_S = 2.0  # s that a step may wait for the log
NOTICES_MOST = 20_000  # kept at a time; beyond, the oldest goes
NOTICE_BYTES = 512 * 1024  # of one: a list of some thousand nodes
TOLD_BYTES = 256 * 1024  # of notices in one answer; the rest comes with the next
HISTORY_MOST = 1000  # changes that `owners history` can show


class Notices:
    """The latest of what owners have told, numbered in the order of their coming."""

    def __init__(self) -> None:
        self.number = 0
        self.kept: dict[tuple[str, str], tuple[int, int, int, Any]] = {}  # number, token, bytes, what

    def put(self, part: str, key: str, token: int, what: Any) -> bool:
        """Keeps a notice; False where it is too large, or an older token's."""
        before, size = self.kept.get((part, key)), len(orjson.dumps(what))
        if size > NOTICE_BYTES or (before is not None and token < before[1]):
            return False
        if before is not None:
            del self.kept[part, key]  # so that the order is that of coming
        self.number += 1
        self.kept[part, key] = (self.number, token, size, what)
        while len(self.kept) > NOTICES_MOST:
            del self.kept[next(iter(self.kept))]
        return True

    def after(self, number: int) -> list[list[Any]]:
        """Notices that came after a number, as plain data, as many as one answer holds."""
        found: list[list[Any]] = []
        total = 0
        for (part, key), (at, token, _, what) in reversed(self.kept.items()):
            if at <= number:
                break
            found.append([at, part, key, token, what])
        found.reverse()
        for count, notice in enumerate(found):
            total += self.kept[notice[1], notice[2]][2]
            if total > TOLD_BYTES and count:
                return found[:count]
        return found


class Duties:
    def __init__(self, host: Instance, told: OwnersBlock) -> None:
        self.host, self.told = host, told
        self.pace = told.pace(host.office.skew)
        self.steward = Steward(told.terms(host.office.skew), host.book)
        self.notices = Notices()
        self.history: deque[list[Any]] = deque(maxlen=HISTORY_MOST)
        self.waiting: dict[tuple[str, int, int], list[Any]] = {}  # tasks that wait for a step

    def begin_anew(self, book: Book) -> None:
        self.steward.begin_anew(book)

    # Leading.

    def leads(self) -> bool:
        """True while this instance may act; the steward is told when that begins, and when it ends."""
        core, steward = self.host.core, self.steward
        now = self.host.tasks.now()
        if not core.may_act(now):
            if steward.leads and core.epoch != steward.epoch:
                steward.follow()
            return False
        if not steward.leads or steward.epoch != core.epoch:
            steward.lead(now, core.epoch)
            self.notices = Notices()
            self.host.note("stewards", parts=len(self.host.book.parts), hold_s=self.pace.hold_s)
        return True

    def tick(self) -> None:
        if self.leads():
            changes = self.steward.due(self.host.tasks.now())
            while changes and self.put(changes):
                changes = self.steward.due(self.host.tasks.now())
        self.say()

    def put(self, changes: list[list[Any]]) -> bool:
        """Changes into the log; the steward hears of those for which there is no room."""
        if self.host.tell(self.host.core.propose, Sort.DUTIES, changes) is None:
            self.steward.refused(changes)
            return False
        return True

    def committed(self, changes: list[list[Any]], effects: list[Effect]) -> None:
        now = self.host.tasks.now()
        if self.steward.leads:
            self.steward.took(now, changes, effects)
        for effect in effects:
            self.history.append([self.host.core.epoch, *effect])
            if effect.what != "stepped":
                what, part, member, token, why = effect
                self.host.note(what, part=part, member=member, fence=token, why=why)
        for change in changes:
            if change[0] == "step" and (waiter := self.waiting.get((change[1], change[2], change[3]))):
                waiter[1] = any(e.what == "stepped" and e.part == change[1] for e in effects)
                self.host.tasks.wake(waiter[0])

    def say(self) -> None:
        notes, self.steward.notes = self.steward.notes, []
        for event, facts in notes:
            self.host.note(event, **facts)

    # Members.

    def asked(self, asked: dict[str, Any]) -> dict[str, Any]:
        """What a member is answered. Raises ValueError, KeyError or TypeError where it makes no sense."""
        acts = {"renew": self.renew, "step": self.step, "tell": self.tell, "end": self.end}
        answer = acts[asked["do"]](asked)
        self.say()
        return {"number": asked.get("number", 0), **answer}

    def away(self) -> dict[str, Any]:
        return {"no": "not the leader", "leader": self.host.core.leader}

    def renew(self, asked: dict[str, Any]) -> dict[str, Any]:
        name, zone, capacity, released = asked["name"], asked["zone"], asked["capacity"], asked["released"]
        view, incarnation = asked["view"], Incarnation.of(asked["incarnation"])
        texts = isinstance(name, str) and 0 < len(name) <= 63 and isinstance(zone, str) and len(zone) <= 63
        if not texts or not isinstance(released, dict) or not 0.0 < float(capacity) <= 1e6:
            raise ValueError(f"a renewal with {asked!r:.80}")
        times = [self.pace.hold_s, self.pace.beat_s, self.pace.flight_s, self.pace.skew]
        if asked["times"] != times:
            return {"no": f"its times are {asked['times']}, here they are {times}"}
        if not self.leads():
            return self.away()
        now = self.host.tasks.now()
        answer = self.steward.renew(now, name, incarnation, zone, float(capacity), released, view)
        if released:
            self.host.tasks.wake(self.host.ticker)  # what was given up goes on at once
        if answer.get("ok"):
            epoch, number = asked["noticed"]
            notices = self.notices.after(number if epoch == self.steward.epoch else 0)
            if notices:
                answer["notices"] = notices
        return answer

    def step(self, asked: dict[str, Any]) -> dict[str, Any]:
        """A step goes into the log, and only then is it answered: what follows may lean on it."""
        part, token, step, note = asked["part"], asked["token"], asked["step"], asked["note"]
        if not isinstance(note, str) or len(note.encode()) > NOTE_MOST or type(step) is not int:
            raise ValueError(f"a step with {asked!r:.80}")
        if not self.leads():
            return self.away()
        why = self.steward.may_step(self.host.tasks.now(), part, token, step)
        if why is not None:
            return {"ok": True} if why == "known" else {"no": why}
        return self.through(["step", part, token, step, note], (part, token, step))

    def through(self, change: list[Any], key: tuple[str, int, int]) -> dict[str, Any]:
        """Puts one change into the log and waits for what it comes to."""
        if key in self.waiting:
            return {"no": "asked already"}
        tasks = self.host.tasks
        waiter: list[Any] = [tasks.current(), None]
        self.waiting[key] = waiter
        try:
            if not self.put([change]):
                return {"no": "too many entries are open"}
            until = tasks.now() + ANSWER_S
            while waiter[1] is None and tasks.now() < until:
                tasks.wait(until)
        finally:
            del self.waiting[key]
        if waiter[1] is None:
            return {"no": "not committed yet; ask again"}
        return {"ok": True} if waiter[1] else {"no": "stale"}

    def end(self, asked: dict[str, Any]) -> dict[str, Any]:
        """A one-off is done: nobody owns it any more."""
        if not self.leads():
            return self.away()
        held = self.host.book.parts.get(asked["part"])
        if held is None or held.token != asked["token"]:
            return {"no": "stale"}
        done = held.ended or self.put([["end", asked["part"], asked["token"]]])
        return {"ok": True} if done else {"no": "too many entries are open"}

    def tell(self, asked: dict[str, Any]) -> dict[str, Any]:
        """An owner tells all members something: only under the token that the log has now."""
        if not self.leads():
            return self.away()
        part, key, token = asked["part"], asked["key"], asked["token"]
        held = self.host.book.parts.get(part)
        if held is None or held.token != token or part in self.steward.going:
            self.host.note("stale-notice", part=part, fence=token)
            return {"no": "stale"}
        fits = isinstance(key, str) and len(key) <= 200 and self.notices.put(part, key, token, asked["what"])
        return {"ok": True} if fits else {"no": "too large"}

    # Commands.

    def shown(self) -> dict[str, Any]:
        """Who owns what, and which members are heard."""
        steward, book, now = self.steward, self.host.book, self.host.tasks.now()
        parts = {
            name: [held.owner, held.token, held.step, held.ended] for name, held in sorted(book.parts.items())
        }
        members = {
            name: {
                "stand": m.stand.name.lower(), "zone": m.zone, "capacity": m.capacity, "losses": m.losses,
                "heard_s_ago": round(now - m.heard, 3), "owns": len(book.owned.get(name, ())),
            }
            for name, m in sorted(steward.members.items())
        } if steward.leads else {}  # fmt: skip
        unowned = [part for part in steward.wants() if not (held := book.parts.get(part)) or not held.owner]
        return {"leads": steward.leads, "parts": parts, "members": members, "unowned": unowned}

    def command(self, asked: dict[str, Any]) -> dict[str, Any]:
        what = asked.get("what")
        if what == "show":
            return self.shown()
        if what == "history":
            return {"history": list(self.history)[-int(asked.get("most", 50)):]}
        if not self.leads():
            return {"error": "this instance does not lead", "leader": self.host.core.leader}
        part = str(asked["part"])
        if what == "move":
            why = self.steward.wish(part, str(asked.get("to")))
            return {"error": why} if why else {"ok": True}
        if what == "open":
            if part in self.host.book.parts:
                return {"error": f"{part} is there already"}
            put = self.put([["open", part, str(asked.get("note", ""))]])
            return {"ok": True} if put else {"error": "too many entries are open"}
        return {"error": f"no such word: {what!r}"}
