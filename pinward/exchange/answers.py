"""Answers to the calls of machines and operators; what only the primary may answer is passed on to it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from pinward.annunciator import ring
from pinward.directory.entry import Standing
from pinward.directory.sanctioned import earlier
from pinward.exchange.calls import Call, checked, entry_of, find
from pinward.exchange.parts import PLAN, ROLL, TICK_S, Parts
from pinward.plan.schema import plan_of
from pinward.trial.order import Order, Stage

CALL_S = 0.9  # s for an answer to an operator, who goes elsewhere after one
TOLD_S = 0.6  # s for another control front to hold that a machine leaves; it calls elsewhere after one
ALONE_S = 1.2  # s without a primary until beats are sent elsewhere: what is told here reaches nobody
SOON_S = 0.01  # s between looks at a write that is under way

Answer = tuple[int, str]


def fault(reason: str) -> str:
    return json.dumps({"Err": reason})


class Answers:
    def __init__(self, parts: Parts) -> None:
        self.parts = parts
        self.writes: dict[int, asyncio.Future[bool]] = {}
        self.calls: dict[str, asyncio.Future[Answer]] = {}
        self.called = 0

    def written(self, number: int, held: bool) -> None:
        """A write that began here is over."""
        future = self.writes.pop(number, None)
        if future is not None and not future.done():
            future.set_result(held)

    def replied(self, word: dict[str, Any]) -> None:
        """The primary answered a call that was passed on."""
        future = self.calls.pop(word["id"], None)
        if future is not None and not future.done():
            future.set_result((word["status"], word["body"]))

    async def on_call(self, request: BaseRequest) -> Response:
        found = find(request.method, request.path)
        if isinstance(found, int):
            return Response(status=found, text=fault("no such call"), content_type="application/json")
        call, word = found
        if (request.content_length or 0) > call.body_most:
            return Response(status=413, text=fault("the body is too large"), content_type="application/json")
        body = await request.read()
        if len(body) > call.body_most:
            return Response(status=413, text=fault("the body is too large"), content_type="application/json")
        try:
            status, text = await self.answer(call, word, body)
        except Exception as why:  # a fault of the program answers this call alone
            ring(110, call=call.handler, why=repr(why))
            status, text = 500, fault("a fault in the program")
        return Response(status=status, text=text, content_type="application/json")

    async def answer(self, call: Call, word: str, body: bytes) -> Answer:
        said = checked(call, body)
        if said.is_err():
            return 400, fault(said.unwrap_err())
        if call.handler == "put_plan":
            plan = plan_of(body)
            if plan.is_err():
                ring(211, why=plan.unwrap_err())
                return 400, fault(plan.unwrap_err())
        if not call.primary:
            return await getattr(self, call.handler)(word, said.unwrap())
        if self.parts.now() - self.parts.fresh_at > ALONE_S:
            return 503, fault("this control front hears no primary")  # at once: the operator goes elsewhere
        until = self.parts.now() + CALL_S
        while (left := until - self.parts.now()) > 0:
            if self.parts.keeper.leads(self.parts.now()):
                with contextlib.suppress(TimeoutError):
                    return await asyncio.wait_for(
                        getattr(self, call.handler)(word, said.unwrap(), body), left
                    )
                break
            primary = self.parts.keeper.primary
            if primary in self.parts.links and self.parts.links[primary].stands and primary != self.parts.own:
                answer = await self.pass_on(primary, call, word, body, left)
                if answer is not None:
                    return answer
            await asyncio.sleep(TICK_S)
        return 503, fault("no primary answers")

    async def pass_on(self, primary: str, call: Call, word: str, body: bytes, left: float) -> Answer | None:
        self.called += 1
        number = f"{self.parts.life}.{self.called}"
        future = self.calls[number] = asyncio.get_running_loop().create_future()
        words = {
            "t": "call",
            "id": number,
            "verb": call.verb,
            "path": f"{call.path}/{word}" if word else call.path,
        }
        self.parts.send(primary, {**words, "body": body.decode("utf-8", "replace")})
        try:
            return await asyncio.wait_for(future, left)
        except TimeoutError:
            return None
        finally:
            self.calls.pop(number, None)

    async def answer_call(self, peer: str, word: dict[str, Any]) -> None:
        """A call that another control front passes on to the primary."""
        found = find(word["verb"], word["path"])
        if isinstance(found, int) or not self.parts.keeper.leads(self.parts.now()):
            return
        call, last = found
        body = word["body"].encode()
        said = checked(call, body)
        if said.is_ok():
            status, text = await getattr(self, call.handler)(last, said.unwrap(), body)
            if status != 503:
                self.parts.send(peer, {"t": "reply", "id": word["id"], "status": status, "body": text})

    async def write(self, key: str, value: Any) -> bool:
        number = self.parts.keeper.propose(self.parts.now(), key, value)
        if number is None:
            return False
        future = self.writes[number] = asyncio.get_running_loop().create_future()
        self.parts.carry()
        return await future

    async def beat_call(self, iid: str, said: dict[str, Any]) -> Answer:
        if self.parts.now() - self.parts.fresh_at > ALONE_S:
            return 503, fault("this control front hears no primary")
        entry = entry_of(iid, said)
        number = self.parts.book.beat(self.parts.now(), entry)
        if number is not None:
            ring(230, iid=iid, service=entry.service, build=entry.build, standing=entry.standing.name)
            self.parts.spread()
        if entry.standing is Standing.DRAIN and not await self.known(iid):
            return 503, fault("no other control front holds it")
        return 200, "{}"

    async def leave(self, iid: str, said: Any) -> Answer:
        if self.parts.book.leave(self.parts.now(), iid) is not None:
            ring(230, iid=iid, standing=Standing.GONE.name)
            self.parts.spread()
        return (200, "{}") if await self.known(iid) else (503, fault("no other control front holds it"))

    async def known(self, iid: str) -> bool:
        """True once another control front holds what is held here of a machine that leaves."""
        until = self.parts.now() + TOLD_S
        while True:
            held, at = self.parts.held, self.parts.book.number_of(iid)
            if at is None or len(self.parts.keeper.view.voters) < 2:
                return True
            source, number = at
            life = self.parts.book.lines[iid].life
            if any(
                h.get(source, ["", 0])[0] == life and h[source][1] >= number for h in self.parts.have.values()
            ):
                return True
            if source != self.parts.own and source in self.parts.have:
                return True  # it came from there
            left = until - self.parts.now()
            if left <= 0:
                return False
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(held.wait(), left)

    async def put_plan(self, _: str, said: Any, body: bytes) -> Answer:
        version = int(json.loads(body)["Ver"], 16)
        while self.parts.keeper.leads(self.parts.now()):
            public = self.parts.keeper.public.get(PLAN)
            if public is not None and version <= public[2]["version"]:
                return 200, "{}"
            held = self.parts.keeper.kept.items.get(PLAN)
            if held is None or version > held[2]["version"]:
                done = await self.write(PLAN, {"version": version, "body": body.decode()})
                return (200, "{}") if done else (503, fault("the primary changed"))
            await asyncio.sleep(SOON_S)  # one no lower is on its way
        return 503, fault("the primary changed")

    async def get_plan(self, _: str, said: Any, body: bytes) -> Answer:
        plan = self.parts.keeper.public.get(PLAN)
        return (200, plan[2]["body"]) if plan is not None else (404, fault("no configuration yet"))

    async def start_roll(self, _: str, said: dict[str, Any], body: bytes) -> Answer:
        service, target = said["service"], said["target"]
        key = ROLL + service
        while self.parts.keeper.leads(self.parts.now()):
            held, public = self.parts.keeper.kept.items.get(key), self.parts.keeper.public.get(key)
            if held is not None and (public is None or public[2] != held[2]):
                await asyncio.sleep(SOON_S)  # a change of it is on its way
                continue
            order = Order.of(held[2]) if held is not None else None
            if order is not None and order.target == target:
                return 200, "{}"
            if order is not None and order.stage is Stage.SERVING:
                return 409, fault(f"{order.target} is under way")
            entries = [line.entry for line in self.parts.book.lines.values() if line.entry.service == service]
            base = earlier(entries, order, target)
            fresh = Order(service, target, order.number + 1 if order else 1, base, said["term_s"])
            done = await self.write(key, fresh.plain())
            return (200, "{}") if done else (503, fault("the primary changed"))
        return 503, fault("the primary changed")

    async def get_roll(self, service: str, said: Any, body: bytes) -> Answer:
        item = self.parts.keeper.public.get(ROLL + service)
        if item is None:
            return 404, fault("no roll-out of that service")
        order = Order.of(item[2])
        return 200, json.dumps({"Phase": order.stage.value, "Target": order.target})
