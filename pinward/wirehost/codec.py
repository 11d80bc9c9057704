"""JSON to calls on a Judge, and the orders that it returns to JSON. No decision is taken here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from pinward.config import FaultyKeyError, Sheet, decode_terms
from pinward.rules import Judge
from pinward.terms import Count, Listing, Node, Phase, Release, Reply, Result, Submission, Txn, Verb, Verdict

Body = dict[str, Any]

RESULTS = {
    "GOOD": Result.SETTLED,
    "BAD": Result.FAULT,
    "FULL": Result.TURNED_AWAY,
    "LATE": Result.SILENT,
    "NOCONN": Result.UNREACHABLE,
    "RST": Result.BROKEN,
    "CXL": Result.RECALLED,
    "NOP": Result.NEVER_SENT,
}
REPLIES = {
    "GOOD": Reply.COUNTED,
    "NOP": Reply.MOOT,
    "FULL": Reply.FULL,
    "BAD": Reply.REFUSED,
    "LATE": Reply.UNKNOWN,
}
PHASES = [Phase.TRIAL, Phase.GOING_BACK, Phase.RELEASED, Phase.WITHDRAWN]
VERDICTS = {Verdict.NONE: 0, Verdict.ON: 1, Verdict.HOLD: 2, Verdict.BACK: 3}
UNUSED = ("pong", "mail")  # never sent to a front that neither probes nor writes to its peers


class MalformedError(Exception):
    """A message that cannot be read; its text says which and why."""


class Door:
    """One life of one front: its Judge, and the ids that stand for the Judge's objects."""

    def __init__(self, who: str, body: Body, now: float, life: int) -> None:
        self.who = who
        self.terms = decode_terms(Sheet(body["facts"], "facts"))
        self.judge = Judge(self.terms, body["seed"], now)
        self.nodes: dict[str, Node] = {}
        self.txns: dict[str, Txn] = {}
        self.tokens = life << 32
        self.token = -1
        self.armed = float("inf")

    def call(self, name: str, body: Body, now: float) -> list[Body]:
        """One event: the call that it stands for, and the actions for what came back."""
        CALLS[name](self, now, body)
        return self.carry_out()

    def discovery(self, now: float, body: Body, sheets: dict[int, list[Body]]) -> list[Body]:
        if body["scope"] == "error":
            self.judge.list_failed(now)
        else:
            lines = [self.listing(line) for line in sheets[body["slot"]]]
            self.judge.fleet(now, lines, whole=body["scope"] != "diff", old=body["scope"] == "disk")
        return self.carry_out()

    def carry_out(self) -> list[Body]:
        """The actions for what the Judge has ordered since it was last asked."""
        orders, self.judge.orders = self.judge.orders, []
        actions = [self.encode(order) for order in orders]
        for _, *things in orders:
            if things and isinstance(things[0], Txn):
                self.forget(things[0])
        return actions

    def listing(self, line: Body) -> Listing:
        name = line["machine"]
        node = self.nodes.get(name)
        if node is None:
            node = self.nodes[name] = Node(name)
        return Listing(
            node,
            release=int(line["release"]),
            zone=line.get("failureDomain") or 0,
            circle=line.get("pack") or 0,
            units=1.0 if line.get("units") is None else line["units"],
            started=line.get("lastStartS") or 0.0,
            ready=line["lifecycle"] == "Ready",
        )

    def demand(self, now: float, body: Body) -> None:
        customers = self.terms.customers
        account = body.get("account") or 0
        txn = Txn(
            product=self.terms.products[body["category"]],
            customer=customers[account] if customers else None,
            expiry=body["notAfterS"],
            key=body.get("pathKey"),
            cost_hint=body.get("hintS"),
            taken=now,
            tag=body["msgId"],
        )
        self.txns[body["msgId"]] = txn
        self.judge.take(now, txn)

    def submission(self, body: Body) -> Submission | None:
        txn = self.txns.get(body["msgId"])
        return None if txn is None else txn.submissions[body["shot"]]

    def completed(self, now: float, body: Body) -> None:
        sub, result = self.submission(body), RESULTS[body["rc"]]
        if sub is None:
            return
        self.judge.ended(now, sub, result, body["tookS"], body["final"])
        self.forget(sub.txn)

    def opened(self, now: float, body: Body) -> None:
        sub = self.submission(body)
        if sub is not None and sub.result is None:
            self.judge.opened(now, sub)

    def gone(self, now: float, body: Body) -> None:
        txn = self.txns.get(body["msgId"])
        if txn is None:
            return
        self.judge.left(now, txn)
        self.forget(txn)

    def reminder(self, now: float, body: Body) -> None:
        if body["token"] != self.token:
            return
        self.armed = float("inf")
        self.judge.wake(now)

    def stage(self, now: float, body: Body) -> None:
        reply = REPLIES[body["rc"]]
        news = None
        if reply is Reply.COUNTED:
            phase = PHASES[body["whereAt"]]
            news = Release(body["ver"], phase, body["step"], body["exposure"], body["behindS"])
        self.judge.news(now, news, reply if body["code"] == 1 else None)

    def digest(self, now: float, body: Body) -> None:
        product = self.terms.products[body["category"]]
        ended = now - body["behindS"]
        mean_s = body.get("tookS") or 0.0
        self.judge.counted(
            now, Count(body["ver"], product, body["samples"], body["failed"], mean_s, ended)
        )

    def bad_answer(self, now: float, body: Body) -> None:
        node = self.nodes.get(body["machine"])
        if node is None:
            return
        self.judge.wrong(now, node, self.terms.products[body["category"]], body["behindS"])

    def forget(self, txn: Txn) -> None:
        if txn.over:
            self.txns.pop(txn.tag, None)

    def encode(self, order: tuple) -> Body:
        verb, *things = order
        if verb is Verb.SUBMIT:
            sub: Submission = things[0]
            sent = {"msgId": sub.txn.tag, "machine": sub.node.name, "allowForS": round(sub.allow_s, 6)}
            return {"dispatch": {"who": self.who, **sent}}
        if verb is Verb.RECALL:
            return {"undoSend": {"who": self.who, "msgId": things[0].txn.tag, "shot": things[0].number}}
        if verb in (Verb.DECLINE, Verb.VOID):
            txn: Txn = things[0]
            if verb is Verb.VOID:
                return {"error": {"who": self.who, "msgId": txn.tag}}
            return {"shed": {"who": self.who, "msgId": txn.tag, "holdOffS": round(things[1], 6)}}
        if verb is Verb.VOTE:
            number, stage, verdict = things
            return {"saySo": {"who": self.who, "ver": number, "step": stage, "code": VERDICTS[verdict]}}
        if verb is Verb.WATCH:
            return {"listen": {"who": self.who, "active": True}}
        return {"print": {"who": self.who, "line": things[0]}}

    def alarm(self, now: float) -> Body | None:
        """The wake-up that the Judge wants, where an earlier one does not stand already."""
        wanted = self.judge.wake_at
        if wanted >= self.armed:
            return None
        self.armed = wanted
        self.tokens += 1
        self.token = self.tokens
        wait = max(0.0, wanted - now)
        return {"sleep": {"who": self.who, "inS": round(wait, 6), "token": self.token}}


CALLS: dict[str, Callable[..., None]] = {
    "demand": Door.demand,
    "completed": Door.completed,
    "opened": Door.opened,
    "gone": Door.gone,
    "reminder": Door.reminder,
    "stage": Door.stage,
    "digest": Door.digest,
    "badAnswer": Door.bad_answer,
}


class Host:
    """Every front of this process, by its id; they share nothing but the pipes and the lists' numbers."""

    def __init__(self) -> None:
        self.doors: dict[str, Door] = {}
        self.sheets: dict[int, list[Body]] = {}
        self.lives = 0
        self.now = 0.0

    def event(self, name: str, body: Body, touched: dict[str, Door]) -> list[Body]:
        if name == "sheet":
            self.sheets[body["slot"]] = body["hosts"]
            return []
        who = body["who"]
        if name == "create":
            self.lives += 1
            self.doors[who] = touched[who] = Door(who, body, self.now, self.lives)
            return []
        door = self.doors.get(who)
        if name == "crashNow":
            self.doors.pop(who, None)
            touched.pop(who, None)
            return []
        if name in UNUSED:
            return []
        if name != "discovery" and name not in CALLS:
            raise MalformedError(f"unknown event {name!r}")
        if door is None:
            return []
        touched[who] = door
        if name == "discovery":
            return door.discovery(self.now, body, self.sheets)
        return door.call(name, body, self.now)

    def batch(self, events: list[tuple[str, Body]]) -> list[Body]:
        touched: dict[str, Door] = {}
        actions: list[Body] = []
        for name, body in events:
            try:
                actions += self.event(name, body, touched)
            except Exception as fault:
                if from_rules(fault):
                    text = f"{type(fault).__name__}: {fault}"
                    actions.append({"crash": {"who": body["who"], "line": text}})
                    return actions
                raise MalformedError(f"{name}: {describe(fault)}") from fault
        for door in touched.values():
            alarm = door.alarm(self.now)
            if alarm is not None:
                actions.append(alarm)
        return actions


def from_rules(fault: BaseException) -> bool:
    """True when the fault arose inside the decisions rather than in reading a message."""
    trace = fault.__traceback__
    while trace is not None:
        if trace.tb_frame.f_globals.get("__name__") == "pinward.rules":
            return True
        trace = trace.tb_next
    return False


def describe(fault: BaseException) -> str:
    if isinstance(fault, FaultyKeyError):
        return str(fault)
    if isinstance(fault, KeyError):
        return f"missing or unknown: {fault}"
    return f"{type(fault).__name__}: {fault}"


def encoded(reply: Body) -> bytes:
    return orjson.dumps(reply, option=orjson.OPT_APPEND_NEWLINE)


def parse(line: str | bytes) -> tuple[str, Body]:
    try:
        message = orjson.loads(line)
    except ValueError as fault:
        raise MalformedError(f"not JSON: {fault}") from fault
    if not isinstance(message, dict) or len(message) != 1:
        raise MalformedError("a message is an object with a single key")
    name, body = next(iter(message.items()))
    if not isinstance(body, dict):
        raise MalformedError(f"{name}: its fields must be an object")
    return name, body


class Reader:
    """Lines in, replies out: gathers a batch and answers it when it is complete."""

    def __init__(self) -> None:
        self.host = Host()
        self.events: list[tuple[str, Body]] | None = None
        self.number = 0

    def line(self, text: str | bytes) -> bytes | None:
        """The reply that this line completes, if it completes one."""
        self.number += 1
        if not text.strip():
            return None
        try:
            return self.message(*parse(text))
        except MalformedError as fault:
            raise MalformedError(f"line {self.number}: {fault}") from fault

    def message(self, name: str, body: Body) -> bytes | None:
        if name == "beginBatch":
            if self.events is not None:
                raise MalformedError("beginBatch inside a batch")
            if not isinstance(body.get("simTimeS"), int | float):
                raise MalformedError("beginBatch: missing or unknown: 'simTimeS'")
            self.host.now, self.events = body["simTimeS"], []
        elif self.events is None:
            raise MalformedError(f"{name} outside a batch")
        elif name == "flush":
            events, self.events = self.events, None
            return b"".join(map(encoded, [*self.host.batch(events), {"next": {}}]))
        else:
            self.events.append((name, body))
        return None
