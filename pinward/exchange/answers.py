"""Answers to the calls of machines and operators; what only the primary may answer is passed on to it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from pinward.annunciator import ring
from pinward.common.capacity import FREE
from pinward.common.client_room import ClientRoom
from pinward.common.reading import HELD
from pinward.directory.entry import Entry, Standing
from pinward.directory.sanctioned import base_of, earlier
from pinward.exchange.base_versions import RECORDS_MOST
from pinward.exchange.call_body import CallRefusedError, read_call
from pinward.exchange.calls import Call, checked, entry_of, find, signed
from pinward.exchange.forward import Fate, Incoming, Outgoing
from pinward.exchange.order_ages import OrderAges, Sent
from pinward.exchange.parts import PLAN, ROLL, TICK_S, Parts
from pinward.plan.schema import plan_of
from pinward.trial.order import Earlier, Order, Stage, record_of

CALL_S = 0.9  # s for an answer to an operator, who goes elsewhere after one
TOLD_S = 0.6  # s for enough disks to hold that a machine leaves; it calls elsewhere after one
ASK_S = 0.2  # s until the primary is asked again to record a version
ALONE_S = 1.2  # s without a primary until beats are sent elsewhere: what is told here reaches nobody
WAIT_S = 0.6  # s without a primary in which a call waits for the next: 1.5 s after its last beat in all
SOON_S = 0.01  # s between looks at a write that is under way
PAST_MOST = 16  # orders of a service remembered: each must end before the next, so few fit into `Ack`

REASON_MOST = 2000  # characters of a reason that a caller is told
COPIES = 2  # of an answer: its text, and the bytes that are written

UNDONE = "nothing was done: no primary answers"
UNCLEAR = "whether it was done is not known: send it again unchanged"

Answer = tuple[int, str]


def fault(reason: str) -> str:
    return json.dumps({"Err": reason[:REASON_MOST]})


class Answers:
    """A handler's answer is None where nothing was done, so that the call may be tried again.

    `room`: the room for callers of the process.
    """

    room = ClientRoom()

    def __init__(self, parts: Parts, record_first: Callable[[Entry], None], ages: OrderAges) -> None:
        """`record_first` has the version of a service's first machine recorded."""
        self.parts, self.record_first, self.ages = parts, record_first, ages
        self.unrecorded: dict[str, asyncio.Event] = {}  # services whose version is being recorded
        self.writes: dict[int, asyncio.Future[bool]] = {}
        self.calls: dict[str, asyncio.Future[Answer | None]] = {}
        self.outgoing, self.incoming = Outgoing(parts.life), Incoming()
        self.closes_at = inf  # from then on nothing is waited for: the process is about to end

    def until(self, most_s: float) -> float:
        """The end of a wait of so many seconds, while the process is there to answer."""
        return min(self.parts.now() + most_s, self.closes_at)

    def written(self, number: int, held: bool) -> None:
        """A write that began here is over."""
        future = self.writes.pop(number, None)
        if future is not None and not future.done():
            future.set_result(held)

    def version_known(self, service: str) -> None:
        """It is recorded which version a service runs."""
        recorded = self.unrecorded.pop(service, None)
        if recorded is not None:
            recorded.set()

    def beat_heard(self, now: float, primary: str, epoch: int, at: float) -> None:
        """The primary's beat. A call passed on to another machine has no answer any more."""
        for id_ in self.outgoing.heard(now, primary, epoch, at):
            self.settle(id_, (503, fault(UNCLEAR)))

    def settle(self, id_: str, answer: Answer | None) -> None:
        future = self.calls.pop(id_, None)
        if future is not None and not future.done():
            future.set_result(answer)

    def replied(self, peer: str, word: dict[str, Any]) -> None:
        """The primary answered a call that was passed on; status 0: it did nothing."""
        if self.outgoing.answered(peer, word):
            self.settle(word["id"], (word["status"], word["body"]) if word["status"] else None)

    async def on_call(self, request: BaseRequest) -> Response:
        found = find(request.method, request.path)
        if isinstance(found, int):
            return Response(status=found, text=fault("no such call"), content_type="application/json")
        call, word = found
        try:
            body = await read_call(request, call.body_most, self.room)
        except CallRefusedError as why:
            return self.refused(why)
        if call.primary and call.verb != "GET" and await self.hung_up(request):
            return Response(status=503, text=fault(UNDONE), content_type="application/json")
        try:
            status, text = await self.answer(call, word, body)
        except Exception as why:  # a fault of the program answers this call alone
            ring(110, call=call.handler, why=repr(why))
            status, text = 500, fault("a fault in the program")
        held = self.room.reservation(FREE)
        if not held.grow(COPIES * len(text)):
            # What was done is not taken back: its caller is told as where the answer is lost.
            return Response(status=503 if call.verb == "GET" else 500)
        response = Response(status=status, text=text, content_type="application/json")
        response[HELD] = held
        return response

    @staticmethod
    def refused(why: CallRefusedError) -> Response:
        """The answer to a call whose body is not read: nothing of it was done."""
        response = Response(status=why.status, text=fault(why.reason), content_type="application/json")
        response.force_close()
        return response

    @staticmethod
    async def hung_up(request: BaseRequest) -> bool:
        """True where the caller has ended its connection: it gave up, and the order had waited on its way.

        Harm: a roll-out starts again long after it ended. The end is read after the order, one turn of the
        loop later.
        """
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return request.transport is None or request.transport.is_closing()

    async def answer(self, call: Call, word: str, data: bytes) -> Answer:
        try:
            body = data.decode()
        except UnicodeDecodeError as why:
            return 400, fault(f"the whole: cannot be read: {why}")
        said = checked(call, data)
        if said.is_err():
            return 400, fault(said.unwrap_err())
        if call.handler == "put_plan":
            plan = plan_of(body)
            if plan.is_err():
                ring(211, why=plan.unwrap_err())
                return 400, fault(plan.unwrap_err())
        if not call.primary:
            return await getattr(self, call.handler)(word, said.unwrap())
        until = self.until(CALL_S)
        while (left := until - self.parts.now()) > 0:
            answer = None
            primary = self.parts.keeper.primary
            if self.parts.keeper.leads(self.parts.now()):
                answer = await self.carry_out(call, word, said.unwrap(), body, left)
            elif self.parts.now() - self.parts.in_touch_at > WAIT_S:
                break  # the operator goes elsewhere; a takeover is over sooner
            elif primary in self.parts.links and self.parts.links[primary].stands:
                answer = await self.pass_on(primary, call, word, body, left)
            if answer is not None:
                return answer
            await asyncio.sleep(TICK_S)
        return 503, fault(UNDONE)

    async def carry_out(self, call: Call, word: str, said: Any, body: str, left: float) -> Answer | None:
        """The primary's answer, shown only where it leads as it is sent; None where nothing was done."""
        reads = call.verb == "GET"
        try:
            handler = getattr(self, call.handler)
            async with asyncio.timeout(left):
                answer: Answer | None = await handler(word, said, body)
        except TimeoutError:
            return None if reads else (503, fault(UNCLEAR))
        if answer is not None and answer[0] < 500 and not self.parts.keeper.leads(self.parts.now()):
            return None if reads else (503, fault(UNCLEAR))
        return answer

    async def pass_on(self, primary: str, call: Call, word: str, body: str, left: float) -> Answer | None:
        """The primary's answer to a call; None where it did nothing or only reads: it may be sent anew."""
        words = self.outgoing.begin(self.parts.now(), primary, left)
        if words is None:
            return None
        id_ = words["id"]
        future = self.calls[id_] = asyncio.get_running_loop().create_future()
        path = f"{call.path}/{word}" if word else call.path
        self.parts.send(primary, {**words, "verb": call.verb, "path": path, "body": body})
        answer: Answer | None = (503, fault(UNCLEAR))
        try:
            async with asyncio.timeout(left):
                answer = await future
        except TimeoutError:
            pass
        finally:
            self.calls.pop(id_, None)
            self.outgoing.end(id_)
        return None if answer is not None and answer[0] == 503 and call.verb == "GET" else answer

    async def answer_call(self, peer: str, word: dict[str, Any]) -> None:
        """A call that another control front passes on to the primary."""
        found, now, keeper = find(word["verb"], word["path"]), self.parts.now(), self.parts.keeper
        if isinstance(found, int):
            return
        call, last = found
        fate, left = self.incoming.judge(now, keeper.epoch if keeper.leads(now) else None, word)
        none = {"t": "reply", "id": word["id"], "life": word["life"], "status": 0, "body": ""}
        reply: dict[str, Any] | None = none
        if fate in (Fate.OVER, Fate.ELSEWHERE):
            ring(225, front=peer, path=word["path"], epoch=word["epoch"], left=round(left, 3))
        if fate is Fate.OVER:
            return
        if fate is Fate.AGAIN:
            reply = self.incoming.reply(word["id"])
        elif fate is Fate.NEW:
            said = checked(call, word["body"].encode())
            answer = None
            if said.is_ok():
                answer = await self.carry_out(call, last, said.unwrap(), word["body"], left)
            if answer is not None:
                reply = {**none, "status": answer[0], "body": answer[1]}
            self.incoming.replied(word["id"], reply or none)
        if reply is not None:
            self.parts.send(peer, reply)

    async def write(self, key: str, value: Any) -> Answer | None:
        intolerance = self.parts.keeper.intolerance()
        if intolerance:
            return 503, fault(f"nothing was done: {intolerance}")
        number = self.parts.keeper.propose(self.parts.now(), key, value)
        if number is None:
            return None
        future = self.writes[number] = asyncio.get_running_loop().create_future()
        self.parts.carry()
        return (200, "{}") if await future else (503, fault(UNCLEAR))

    async def beat_call(self, iid: str, said: dict[str, Any]) -> Answer:
        if self.parts.now() - self.parts.in_touch_at > ALONE_S:
            return 503, fault("this control front hears no primary")
        entry = entry_of(iid, said)
        number = self.parts.book.beat(self.parts.now(), entry)
        if number is not None:
            ring(230, iid=iid, service=entry.service, build=entry.build, standing=entry.standing.name)
            self.parts.spread()
        if iid not in self.parts.book.lines:
            ring(231, iid=iid, service=entry.service)
            return 503, fault("nothing was done: no further machine can be held")
        if entry.standing is Standing.DRAIN and not await self.durable(iid):
            return 503, fault("too few disks hold it yet")
        if entry.standing is Standing.UP and not await self.version_recorded(entry):
            return 503, fault("which version the service runs is not recorded yet")
        return 200, "{}"

    def has_version(self, entry: Entry) -> bool:
        """True where it is recorded which version a machine's service runs, or needs no record."""
        public = self.parts.keeper.public
        return ROLL + entry.service in public or not entry.build or len(public) >= RECORDS_MOST

    async def version_recorded(self, entry: Entry) -> bool:
        """True once it is recorded which version the service runs: a restart does not choose it anew."""
        until = self.until(TOLD_S)
        while not self.has_version(entry):
            left = until - self.parts.now()
            if left <= 0:
                return False
            self.record_first(entry)
            self.parts.carry()
            recorded = self.unrecorded.setdefault(entry.service, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left, ASK_S)):
                    await recorded.wait()
            self.unrecorded.pop(entry.service, None)
        return True

    async def leave(self, iid: str, said: Any) -> Answer:
        # Symptom: acknowledged by one that had just started and did not know the machine, this reached
        # nobody, and requests went on to it until it was silent for long enough.
        if not await self.learned(iid):
            return 503, fault("this control front does not know all machines yet")
        if self.parts.book.leave(self.parts.now(), iid) is not None:
            ring(230, iid=iid, standing=Standing.GONE.name)
            self.parts.spread()
        return (200, "{}") if await self.durable(iid) else (503, fault("too few disks hold it yet"))

    async def learned(self, iid: str) -> bool:
        """True once a machine is known here, or this book tells of all machines that there are."""
        until = self.until(TOLD_S)
        while self.parts.book.number_of(iid) is None and self.parts.now() < self.parts.whole_at:
            left = until - self.parts.now()
            if left <= 0:
                return False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.parts.turned.wait()
        return True

    async def durable(self, iid: str) -> bool:
        """True once some disk that holds that a machine leaves outlasts what may be lost."""
        until = self.until(TOLD_S)
        while True:
            held, line = self.parts.held, self.parts.book.lines.get(iid)
            if line is not None and self.parts.outlasts_losses(line):
                return True
            left = until - self.parts.now()
            if left <= 0:
                return False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await held.wait()

    async def put_plan(self, _: str, said: Any, body: str) -> Answer | None:
        """One body a number: the one in force is acknowledged again, another under its number refused."""
        version, digest = signed(body)
        while self.parts.keeper.leads(self.parts.now()):
            public = self.parts.keeper.public.get(PLAN)
            if public is not None and version < public[2]["version"]:
                return 200, "{}"  # what the page says of a lower one
            if public is not None and version == public[2]["version"]:
                if digest == (public[2].get("digest") or signed(public[2]["body"])[1]):
                    return 200, "{}"
                ring(212, version=f"{version:08x}", digest=digest)
                return 409, fault("another configuration is in force under this number")
            held = self.parts.keeper.kept.items.get(PLAN)
            if held is None or version > held[2]["version"]:
                return await self.write(PLAN, {"version": version, "digest": digest, "body": body})
            await asyncio.sleep(SOON_S)  # one no lower is on its way
        return None

    async def get_plan(self, _: str, said: Any, body: str) -> Answer | None:
        plan = self.parts.keeper.public.get(PLAN)
        return (200, plan[2]["body"]) if plan is not None else (404, fault("no configuration yet"))

    async def start_roll(self, _: str, said: dict[str, Any], body: str) -> Answer | None:
        service, key = said["service"], ROLL + said["service"]
        while self.parts.keeper.leads(self.parts.now()):
            held, public = self.parts.keeper.kept.items.get(key), self.parts.keeper.public.get(key)
            if held is not None and (public is None or public[:2] != held[:2]):
                await asyncio.sleep(SOON_S)  # a change of it is on its way
                continue
            asked = (said["target"], said["term_s"])
            return await self.judge_roll(key, service, asked, self.parts.held_order(service))
        return None

    async def judge_roll(
        self, key: str, service: str, asked: tuple[str, float], last: Order | None
    ) -> Answer | None:
        """An order beside the last one of its service, of which no change is on its way."""
        target, term_s = asked
        last = last or self.unwritten_record(service, target)
        if last is None:
            return await self.write_order(key, self.fresh_order(service, asked, None, ()))
        now = self.parts.now()
        alike = [one for one in last.known() if (one.target, one.term_s) == asked]
        sent = {one: self.ages.judge(now, service, one) for one in alike}
        if repeat := next((one for one in alike if sent[one] is Sent.REPEAT), None):
            if self.ages.repeated(now, service, repeat):
                return await self.write(key, self.ages.aged(now, last).kept())
            return 200, "{}"
        serving = last.stage is Stage.SERVING
        in_force = last.stage is Stage.DONE and last.target == target
        if in_force or (serving and (last.target, last.term_s) == asked):
            return await self.acknowledge_again(key, asked, last)
        unclear = [one for one, what in sent.items() if what is Sent.UNCLEAR]
        if unclear:
            left = max(self.ages.clear_in(now, service, one) for one in unclear)
            ring(224, service=service, target=target, left=round(left, 2))
            return 503, fault(f"nothing was done: whether it is a repeat is known in {left:.1f} s")
        if serving:
            ring(221, service=service, target=target, under_way=last.target)
            return 409, fault(f"{last.target} is under way")
        past = self.repeatable(last)
        if len(past) >= PAST_MOST:
            return 503, fault(f"nothing was done: {len(past)} orders in {self.ages.repeat_s:.0f} s")
        return await self.write_order(key, self.fresh_order(service, asked, last, past))

    async def acknowledge_again(self, key: str, asked: tuple[str, float], last: Order) -> Answer | None:
        """Acknowledges an order that what is in force meets. Its own repeats may come, to another primary."""
        target, term_s = asked
        ring(222, service=last.service, target=target, number=last.number)
        past = self.repeatable(last)
        others = tuple(e for e in past if (e.target, e.term_s) != asked and e.number != last.number)
        again = Earlier(target, term_s, last.next_number())
        return await self.write_order(key, replace(last, past=(again, *others[:PAST_MOST]), given=True))

    def repeatable(self, last: Order) -> tuple[Earlier, ...]:
        """The orders up to the last one whose repeats may still come."""
        now, service = self.parts.now(), last.service
        return tuple(e for e in last.known() if self.ages.judge(now, service, e) is not Sent.NEW)

    async def write_order(self, key: str, order: Order) -> Answer | None:
        """Writes an order as it is given."""
        self.ages.propose(self.parts.now(), order)
        return await self.write(key, self.ages.aged(self.parts.now(), order).kept())

    def entries_of(self, service: str) -> list[Entry]:
        lines = self.parts.book.lines.values()
        return [line.entry for line in lines if line.entry.service == service]

    def unwritten_record(self, service: str, target: str) -> Order | None:
        """The record of a service without order or record, all of whose machines run the target already.

        Without it such an order would leave no version that serves meanwhile, and never end.
        """
        entries = self.entries_of(service)
        runs_it = base_of(entries) == target and not base_of(entries, target)
        return record_of(service, target, None) if runs_it else None

    def fresh_order(
        self, service: str, asked: tuple[str, float], last: Order | None, past: tuple[Earlier, ...]
    ) -> Order:
        number = last.next_number() if last is not None else 1
        base = earlier(self.entries_of(service), last, asked[0])
        return Order(service, asked[0], number, base, asked[1], past=past)

    async def get_roll(self, service: str, said: Any, body: str) -> Answer | None:
        item = self.parts.keeper.public.get(ROLL + service)
        order = Order.of(item[2]) if item is not None else None
        if order is None or not order.given:
            return 404, fault("no roll-out of that service")
        return 200, json.dumps({"Phase": order.stage.value, "Target": order.target})
