"""The calls of machines and operators, declared in one table, and the shapes of their bodies.

A handler gets the checked body (or the words of the path) and returns (status, body); `exchange/host.py` has
them. Calls marked `primary` are answered by the machine that leads, wherever they come in.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate
from result import Err, Ok, Result

from pinward.directory.entry import Entry, Standing
from pinward.plan.units import Address, Span, spell

PHASES = {"up": Standing.UP, "drain": Standing.DRAIN}


class Said(Schema):
    class Meta:
        unknown = EXCLUDE


class DescSheet(Said):
    service = fields.String(data_key="Svc", required=True, validate=validate.Length(1, 200))
    build = fields.String(data_key="Ver", load_default="", validate=validate.Length(0, 200))
    zone = fields.String(data_key="Az", load_default="", validate=validate.Length(0, 200))
    slots = fields.Integer(data_key="Cap", load_default=1)


class StatSheet(Said):
    phase = fields.String(data_key="Phase", load_default="up", validate=validate.OneOf(tuple(PHASES)))
    calls = fields.Integer(data_key="Calls", required=True)
    cold_s = Span(data_key="Warmup", load_default=0.0)


class BeatSheet(Said):
    where = Address(data_key="Sock", required=True)
    desc = fields.Nested(DescSheet, data_key="Desc", required=True)
    stat = fields.Nested(StatSheet, data_key="Stat", required=True)


class OrderSheet(Said):
    service = fields.String(data_key="Svc", required=True, validate=validate.Length(1, 200))
    target = fields.String(data_key="Target", required=True, validate=validate.Length(1, 200))
    term_s = Span(data_key="Over", load_default=30.0)


@dataclass(frozen=True)
class Call:
    """One call: its path's word, where it has one, comes to the handler first."""

    verb: str
    path: str
    word: bool  # one more word ends the path
    handler: str
    primary: bool
    sheet: Schema | None
    body_most: int  # bytes


CALLS = (
    Call("PUT", "/machines", True, "beat_call", False, BeatSheet(), 64 * 1024),
    Call("DELETE", "/machines", True, "leave", False, None, 4 * 1024),
    Call("PUT", "/cfg", False, "put_plan", True, None, 8 * 2**20),
    Call("GET", "/cfg", False, "get_plan", True, None, 4 * 1024),
    Call("POST", "/rolls", False, "start_roll", True, OrderSheet(), 64 * 1024),
    Call("GET", "/rolls", True, "get_roll", True, None, 4 * 1024),
)


def find(verb: str, path: str) -> tuple[Call, str] | int:
    """The call that a request makes and its path's word, or the status that it gets instead."""
    path = path.partition("?")[0].rstrip("/")
    start, _, last = path.rpartition("/")
    known = [
        (c, last if c.word else "")
        for c in CALLS
        if (start if c.word else path) == c.path and (last or not c.word)
    ]
    if not known:
        return 404
    return next(((call, word) for call, word in known if call.verb == verb), 405)


def checked(call: Call, body: bytes) -> Result[Any, str]:
    """The body of a call as its sheet loads it; an error is `field: reason`."""
    if call.sheet is None:
        return Ok(body)
    try:
        return Ok(call.sheet.load(json.loads(body)))
    except ValidationError as fault:
        return Err(spell(fault.messages))
    except (ValueError, RecursionError) as fault:
        return Err(f"the whole: cannot be read: {fault}")


def signed(body: str) -> tuple[int, str]:
    """The version of a valid configuration and a digest of what it says: the order of names and the spaces
    between them do not count."""
    told = json.loads(body)
    plain = json.dumps(told, sort_keys=True, separators=(",", ":"))
    return int(told["Ver"], 16), blake2b(plain.encode(), digest_size=16).hexdigest()


def entry_of(iid: str, said: dict[str, Any]) -> Entry:
    """A machine's life from its beat."""
    desc, stat = said["desc"], said["stat"]
    return Entry(
        iid, desc["service"], said["where"], desc["zone"], desc["build"], max(1, desc["slots"]),
        PHASES[stat["phase"]], stat["calls"], stat["cold_s"],
    )  # fmt: skip
