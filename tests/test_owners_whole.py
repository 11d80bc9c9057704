"""Owners as real processes on loopback: each hard case is caused, and what targets wrote down is checked."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
import unittest
from pathlib import Path

from standin.installation import rows
from standin.owners_trial import HOLD_S, START_S, TAKEOVER_S, Trial, check

SLOTS = iter(range(60, 100))  # nets of their own


class Owners(unittest.IsolatedAsyncioTestCase):
    async def begin(self, side: str = "sound") -> Trial:
        folder = Path(tempfile.mkdtemp(prefix="pinward-owners-"))
        self.addCleanup(shutil.rmtree, folder, True)
        play = Trial(1, 1.0, folder, next(SLOTS), side)
        self.addAsyncCleanup(play.close)
        await play.set_up()
        self.assertTrue(await play.until(play.all_owned, 25.0), "all is owned")
        return play

    def records(self, play: Trial) -> dict[str, list[dict]]:
        return {target: rows(play.record(target)) for target in play.targets}

    def sound(self, play: Trial) -> None:
        self.assertEqual([], check(self.records(play))[:3])

    def stale(self, play: Trial) -> int:
        return sum(row["what"] == "stale" for some in self.records(play).values() for row in some)

    async def owner_of(self, play: Trial, part: str) -> tuple[str, int]:
        parts = (await play.shown_by_leader()).get("parts", {})
        return tuple(parts.get(part, ["", 0])[:2])

    async def followed(self, play: Trial, part: str, before: str, seconds: float = TAKEOVER_S + 4.0) -> float:
        """Waits until another owns a part; how long that took."""
        began = time.monotonic()

        async def other() -> bool:
            return (await self.owner_of(play, part))[0] not in ("", before)

        self.assertTrue(await play.until(other, seconds), f"{part} is followed")
        return time.monotonic() - began

    async def test_paused_between_check_and_effect(self) -> None:
        """Stopped after it asked its clock, for longer than its lease: what it says then is refused."""
        play = await self.begin()
        name, token = await self.owner_of(play, "watch")
        play.processes[name].pause()
        await asyncio.sleep(0.05)
        play.processes[name].go_on()
        self.assertTrue(await play.stop_at(name, "checked"))
        await self.followed(play, "watch", name)
        await asyncio.sleep(0.5)  # the next has acted
        before = self.stale(play)
        play.processes[name].go_on()
        self.assertTrue(await play.until(lambda: self.stale(play) > before, 3.0), "refused as stale")
        await asyncio.sleep(0.5)
        self.sound(play)

    async def test_the_same_without_a_fence(self) -> None:
        """Targets that compare nothing let it in: the checker finds it."""
        play = await self.begin("unfenced")
        name, _ = await self.owner_of(play, "watch")
        self.assertTrue(await play.stop_at(name, "checked"))
        await self.followed(play, "watch", name)
        await asyncio.sleep(0.5)
        play.processes[name].go_on()
        await asyncio.sleep(1.0)
        self.assertIn("stale_effects", [rule for rule, _ in check(self.records(play))])

    async def test_late_effects_and_points(self) -> None:
        """Effects under way while the next acts; an owner stopped as it asks, and as it is answered."""
        play = await self.begin()
        name, _ = await self.owner_of(play, "watch")
        await play.late_effect(name, 0.5)
        for point in ("asked", "answered"):
            name, _ = await self.owner_of(play, "watch")
            self.assertTrue(await play.stop_at(name, point))
            await self.followed(play, "watch", name)
            play.processes[name].go_on()
            await asyncio.sleep(0.3)
        self.assertTrue(await play.until(play.all_owned, 10.0))
        self.assertGreater(self.stale(play), 0)
        self.sound(play)

    async def test_cuts(self) -> None:
        """One-way cuts both ways, an owner that hears the leader and not its targets, and the reverse."""
        play = await self.begin()
        for ways in ("in", "out"):
            name, _ = await self.owner_of(play, "watch")
            cut = asyncio.ensure_future(play.cut(name, play.names, 3 * HOLD_S, ways))
            await self.followed(play, "watch", name)
            await cut
        name, _ = await self.owner_of(play, "watch")
        leader = await play.who_acts()
        assert leader is not None  # where it is to stay, whatever balance says
        await play.ask(leader, do="owners", what="move", part="watch", to=name)
        await asyncio.sleep(HOLD_S)
        name, token = await self.owner_of(play, "watch")
        await play.cut(name, play.targets, 2 * HOLD_S)  # it keeps its lease: nobody else acts meanwhile
        self.assertEqual((name, token), await self.owner_of(play, "watch"))
        self.sound(play)

    async def test_leader_and_owner_die(self) -> None:
        """Killed in the same instant: followed within the told time. Then all are killed, and come back."""
        play = await self.begin()
        name, _ = await self.owner_of(play, "watch")
        leader = await play.who_acts()
        assert leader is not None
        for victim in (name, leader):
            play.processes[victim].kill()
        self.assertLess(await self.followed(play, "watch", name), TAKEOVER_S)
        for victim in (name, leader):
            play.processes[victim].start()
        await play.kill([*play.names, *play.members], 0.3)
        self.assertTrue(await play.until(play.all_owned, 20.0))
        self.sound(play)

    async def test_hand_over(self) -> None:
        """By will, at once; and with the leader yielding in the midst of it."""
        play = await self.begin()
        name, token = await self.owner_of(play, "watch")
        other = next(m for m in play.members if m != name)

        async def heard() -> bool:
            told = (await play.shown_by_leader()).get("members", {}).get(other, {"stand": "lost"})
            return told["stand"] not in ("waiting", "lost")

        self.assertTrue(await play.until(heard, 10.0))  # all may be owned by one member before it
        leader = await play.who_acts()
        assert leader is not None
        answer = await play.ask(leader, do="owners", what="move", part="watch", to=other)
        self.assertEqual({"ok": True}, answer)
        self.assertLess(await self.followed(play, "watch", name, 3.0), HOLD_S)
        self.assertEqual(other, (await self.owner_of(play, "watch"))[0])
        await play.ask(leader, do="owners", what="move", part="watch", to=name)
        await play.ask(leader, do="yield")
        self.assertTrue(await play.until(play.all_owned, 10.0))
        await asyncio.sleep(2 * HOLD_S)
        self.sound(play)

    async def test_disks(self) -> None:
        """An older disk and an emptied one are told apart, as new starts; a copied machine is refused."""
        play = await self.begin()
        name, _ = await self.owner_of(play, "watch")
        kept = play.copy_disk(name)
        await play.kill([name], 0.1)
        self.assertTrue(await play.until(lambda: play.ask(name, do="status"), START_S))
        await asyncio.sleep(3 * HOLD_S)  # until the new start is in the log
        for disk in (kept, None):
            play.processes[name].kill()
            play.put_back(name, disk)
            play.processes[name].start()
            self.assertTrue(await play.until(lambda: play.ask(name, do="status"), START_S))
            await asyncio.sleep(3 * HOLD_S)
        said = await self.history(play)
        self.assertIn("an older copy of its disk", said)
        self.assertIn("another disk than before", said)
        twin = next(m for m in play.members if m != name)
        self.assertTrue(await play.twice(twin))
        logs = "".join((play.folder / f"{n}.log").read_text() for n in play.names)
        self.assertIn("same-name-twice", logs)
        self.sound(play)

    async def history(self, play: Trial) -> str:
        leader = await play.who_acts()
        assert leader is not None
        answer = await play.ask(leader, do="owners", what="history", most=500)
        return " ".join(row[5] for row in (answer or {}).get("history", []))

    async def test_clocks_beyond_skew(self) -> None:
        """Clocks half as fast and half as slow again: tokens alone keep effects in order."""
        play = await self.begin("beyond")
        for _ in range(2):
            name, _ = await self.owner_of(play, "watch")
            await play.late_effect(name or "m1", 0.5)
            await play.pause(name or "m1", 2 * HOLD_S)
        self.assertTrue(await play.until(play.all_owned, 15.0))
        self.sound(play)

    async def test_one_off_work(self) -> None:
        """Its owner is killed again and again: the next goes on where the record stands, no step twice."""
        play = await self.begin()
        once = asyncio.ensure_future(play.once())
        for _ in range(3):
            name, _ = await self.owner_of(play, "once-0")
            if name:
                await play.kill([name], 0.2)
            await asyncio.sleep(0.5)
        done, _ = await asyncio.wait([once], timeout=25.0)
        play.over = True
        self.assertTrue(done)
        self.assertEqual({"once-0", "once-1", "once-2"}, play.ended)
        self.sound(play)
        effects = [row for row in rows(play.record("t1")) if row["what"] == "effect"]
        for part in play.ended:  # ended only once its last step had its effect
            self.assertGreaterEqual(max(row["step"] for row in effects if row["part"] == part), 20)
