"""The right caller, once: what each ending of a send proves, by a machine that misbehaves on a script."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from multidict import CIMultiDict
from testtools import TestCase
from testtools.matchers import Equals, Is

from pinward.switchboard.verdict import Ending, Verdict
from pinward.switchboard.wire import Wire
from standin.faulty_machine import Act, FaultyMachine, answered, turned_away

WAIT_S = 5.0  # s that a test may take: none ends by it where all is well


def played(work: Callable[[], Awaitable[Any]]) -> Any:
    async def whole() -> Any:
        return await asyncio.wait_for(work(), WAIT_S)

    return asyncio.run(whole())


def sent(*acts: Act | bytes, ids: tuple[str | None, ...] = ("7",), method: str = "GET", body: Any = b"",
         wire: type[Wire] = Wire, allow_s: float = 0.2) -> tuple[list[Ending], FaultyMachine]:  # fmt: skip
    """The endings of sends with these ids, one after another, to a machine that acts so."""
    machine = FaultyMachine.of(acts)

    async def work() -> list[Ending]:
        port, sends, endings = await machine.start(), wire(), []
        for id_ in ids:
            headers = CIMultiDict({"Host": "h"} if id_ is None else {"Host": "h", "X-Try-Id": id_})
            url = f"http://127.0.0.1:{port}/a"
            endings.append(await sends.send(method, url, headers, body, allow_s, id_ is None))
            for _ in range(12):  # what the machine writes on an idle connection is read
                await asyncio.sleep(0)
        await sends.close()
        return endings

    return played(work), machine


class Proof(TestCase):
    """An answer proves something by its id alone."""

    def test_a_surplus_answer_is_no_proof_that_the_next_request_did_not_run(self) -> None:
        for surplus in (turned_away("6"), turned_away(None), turned_away("6", 421), turned_away("6", 429)):
            once = Act(parts=(surplus,))  # it stands in the place of the answer to a POST that had arrived
            endings, machine = sent(answered("6"), once, ids=("6", "7"), method="POST", body=b"x")
            self.assertThat(endings[0].verdict, Is(Verdict.RAN))
            self.assertThat(endings[1].verdict, Is(Verdict.MAY_HAVE_RUN), repr(surplus))
            self.assertThat(machine.bodies, Equals([b"x", b"x"]))
