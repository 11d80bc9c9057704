"""Answers of machines that no request was due: what they prove, and what is told of them."""

from __future__ import annotations

import asyncio
from random import Random

from multidict import CIMultiDict
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from pinward.common.metrics import Metrics
from pinward.switchboard.answer_watch import AnswerWatch
from pinward.switchboard.asked_ids import IDS_MOST, AskedIds
from pinward.switchboard.verdict import Ending
from pinward.switchboard.wire import Wire
from standin.faulty_machine import Act, FaultyMachine, answered, turned_away
from tests.test_gateway_verdicts import played


def sends(
    *acts: Act | bytes, ids: tuple[str, ...], method: str = "POST", allow_s: float = 0.5
) -> tuple[list[Ending], FaultyMachine, AnswerWatch]:
    """The endings of sends with these ids, one after another, to a machine that acts so."""
    watch = AnswerWatch(Metrics())

    async def work() -> tuple[list[Ending], FaultyMachine]:
        machine = FaultyMachine.of(acts)
        port, wire, endings = await machine.start(), Wire(watch), []
        for id_ in ids:
            headers = CIMultiDict({"Host": "h", "X-Try-Id": id_})
            url = f"http://127.0.0.1:{port}/a"
            endings.append(await wire.send(method, url, headers, b"x", allow_s, False))
            for _ in range(12):  # what the machine writes on an idle connection is read
                await asyncio.sleep(0)
        await wire.close()
        return endings, machine

    endings, machine = played(work)
    return endings, machine, watch


class AskedIdsTable(TestCase):
    def test_every_id_carried_is_held_and_few_others(self) -> None:
        chance, ids = Random(7), AskedIds()
        carried = [f"{chance.getrandbits(64):x}" for _ in range(IDS_MOST)]
        self.assertThat((ids.may_hold(carried[0]), ids.full), Equals((False, False)))
        for id_ in carried:
            ids.add(id_)
        self.assertThat(([id_ for id_ in carried if not ids.may_hold(id_)], ids.full), Equals(([], True)))
        others = sum(ids.may_hold(f"{chance.getrandbits(64):x}") for _ in range(20_000))
        self.assertThat(others, LessThan(200))


class Figures(TestCase):
    """What a proxy tells of surplus answers."""

    def test_each_place_is_told_and_whether_it_was_a_refusal(self) -> None:
        seven, eight, refusal = answered("7"), answered("8"), turned_away("7")
        for acts, ids, place, refusals in (
            ((seven, eight), "78", "", 0),
            ((Act(parts=(seven, seven)), eight), "78", "idle", 0),
            ((Act(parts=(turned_away("7"), refusal)), eight), "78", "idle", 1),
            ((seven, refusal + eight), "78", "misplaced", 1),
            ((turned_away("7"), refusal + eight), "78", "misplaced", 1),
            ((seven + refusal, eight), "78", "behind", 1),
            ((seven, eight, seven), "787", "", 0),
        ):
            watch = sends(*acts, ids=tuple(ids))[2]
            told = {name for name in ("idle", "misplaced", "behind") if watch.figures[name]}
            self.assertThat((told, watch.figures["refusals"]), Equals(({place} - {""}, refusals)), repr(acts))
            self.assertThat(watch.figures["repeated_ids"], Equals(int(ids == "787")))
            self.assertThat(watch.figures["last_machine"] != "", Equals(bool(place)))
