"""A day told by a readable file: what the deployment has, its traffic, and troubles at their times.

`read` checks a TOML file by one schema and names file, field and reason; `play` returns the day played,
`spans` its figures, `judged` what broke. `example/day.toml` has the fields.
"""

from __future__ import annotations

import asyncio
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import logbook
from marshmallow import Schema, ValidationError, fields, validate
from result import Err, Ok, Result

from pinward.plan.units import spell
from standin.day_records import broken, worth
from standin.exchange_day import Class, Day, Shape
from standin.operators import Operators
from standin.virtual import played
from standin.works import PREFIX, Bad, Kind

SPAN_S = 2.0  # s of one row of the report
WHOLE_DAY = ("away_kb", "connections")  # figures that are not kept by time
POSITIVE = validate.Range(min=0.0, min_inclusive=False)
SHARE = validate.Range(min=0.0, max=1.0)
NAME = validate.Regexp(r"^[a-z0-9-]{1,40}$", error="must be 1 to 40 of a-z, 0-9 and -")


class ServiceSheet(Schema):
    name = fields.String(required=True, validate=NAME)
    machines = fields.Integer(required=True, validate=validate.Range(1, 2000))
    slots = fields.Integer(load_default=6, validate=validate.Range(1, 1000))
    queue = fields.Integer(load_default=24, validate=validate.Range(0, 10_000))
    connections = fields.Integer(load_default=130, validate=validate.Range(1, 100_000))
    work_s = fields.Float(required=True, validate=POSITIVE)
    spread = fields.Float(load_default=0.5, validate=validate.Range(0.0, 5.0))
    speeds = fields.List(
        fields.Float(validate=POSITIVE), load_default=lambda: [1.0], validate=validate.Length(1)
    )  # fmt: skip
    cold_s = fields.Float(load_default=3.0, validate=validate.Range(0.0, 60.0))
    errors = fields.Float(load_default=0.001, validate=SHARE)


class TrafficSheet(Schema):
    name = fields.String(required=True, validate=NAME)
    service = fields.String(required=True)
    per_s = fields.Float(required=True, validate=POSITIVE)
    aim_s = fields.Float(required=True, validate=POSITIVE)
    deadline_s = fields.Float(required=True, validate=POSITIVE)
    repeatable = fields.Boolean(load_default=True)
    tries = fields.Integer(load_default=2, validate=validate.Range(1, 10))
    rank = fields.Integer(load_default=1, validate=validate.Range(0, 10))


class TroubleSheet(Schema):
    at = fields.Float(required=True, validate=validate.Range(0.0, 3600.0))
    kind = fields.String(required=True, validate=lambda kind: kind in TROUBLES or fault(kind))
    service = fields.String(load_default="")
    count = fields.Integer(load_default=1, validate=validate.Range(1, 1000))
    for_s = fields.Float(load_default=2.0, validate=POSITIVE)
    share = fields.Float(load_default=0.0, validate=SHARE)
    times = fields.Float(load_default=1.0, validate=validate.Range(0.1, 100.0))
    after_s = fields.Float(load_default=0.0, validate=validate.Range(0.0, 3600.0))
    traffic = fields.String(load_default="")


class DaySheet(Schema):
    seed = fields.Integer(load_default=1)
    length_s = fields.Float(required=True, validate=validate.Range(1.0, 3600.0))
    zones = fields.Integer(load_default=3, validate=validate.Range(1, 50))
    fronts = fields.Integer(load_default=6, validate=validate.Range(1, 1000))
    cores = fields.Integer(load_default=3, validate=validate.OneOf((3, 5)))
    terms = fields.Dict(load_default=dict)
    service = fields.List(fields.Nested(ServiceSheet), required=True, validate=validate.Length(1))
    traffic = fields.List(fields.Nested(TrafficSheet), required=True, validate=validate.Length(1))
    trouble = fields.List(fields.Nested(TroubleSheet), load_default=list)


def fault(kind: str) -> bool:
    raise ValidationError(f"must be one of {', '.join(sorted(TROUBLES))}, not {kind}")


# Troubles: what each does to a day that runs.


async def crash(day: Day, told: dict[str, Any]) -> None:
    for machine in day.of(told["service"])[: told["count"]]:
        day.crash(machine, told["for_s"], silent=True)


async def faulty(day: Day, told: dict[str, Any], fault: str, much: float, sound: float) -> None:
    """Some machines of a service have a fault for a time."""
    some = day.of(told["service"])[: told["count"]]
    for machine in some:
        setattr(machine, fault, much)
    await asyncio.sleep(told["for_s"])
    for machine in some:
        setattr(machine, fault, sound)


async def slow(day: Day, told: dict[str, Any]) -> None:
    await faulty(day, told, "slower", told["times"], 1.0)


async def lossy(day: Day, told: dict[str, Any]) -> None:
    await faulty(day, told, "lost", told["share"], 0.0)


async def drain(day: Day, told: dict[str, Any]) -> None:
    await asyncio.gather(*(day.leave(m) for m in day.of(told["service"])[: told["count"]]))


async def front_kill(day: Day, told: dict[str, Any]) -> None:
    for ip in day.front_ips[: told["count"]]:
        day.kill(ip, told["for_s"], power=True)


async def takeover(day: Day, told: dict[str, Any]) -> None:
    lead = day.primary()
    if lead is not None:
        day.kill(lead, told["for_s"])


async def core_power(day: Day, told: dict[str, Any]) -> None:
    for ip in day.core_ips:
        day.kill(ip, told["for_s"], power=True)


async def core_cut(day: Day, told: dict[str, Any]) -> None:
    lead = day.primary()
    if lead is not None:
        ways = day.net.cut({lead}, {*day.core_ips, *day.front_ips} - {lead})
        await asyncio.sleep(told["for_s"])
        day.net.join(ways)


async def config(day: Day, told: dict[str, Any]) -> None:
    day.saw("changes", count=told["count"])
    version = 2 + sum(what == "changes" for _, what, _ in day.events)
    await day.order("PUT", "/cfg", day.plan(version, extra=told["count"]))
    await day.order("GET", "/cfg")


async def freeze(day: Day, told: dict[str, Any]) -> None:
    lead = day.primary()
    if lead is not None:
        day.freeze(lead, told["for_s"])


async def operators(day: Day, told: dict[str, Any]) -> None:
    """Operators that race with changes of configuration; `share` of their answers is lost."""
    crowd = Operators(day, told["share"], ())
    await crowd.crowd(told["count"], day.now() + told["for_s"])


async def roll(day: Day, told: dict[str, Any]) -> None:
    bad = None
    if told["share"] or told["times"] != 1.0:
        path = PREFIX.format(told["traffic"]) if told["traffic"] else ""
        bad = Bad(told["share"], told["times"], told["after_s"], path=path)
    await day.roll(told["service"], told["for_s"], bad)


TROUBLES: dict[str, Callable[[Day, dict[str, Any]], Awaitable[None]]] = {
    "crash": crash, "slow": slow, "lossy": lossy, "drain": drain, "front-kill": front_kill,
    "freeze": freeze, "operators": operators, "takeover": takeover,
    "core-power": core_power, "core-cut": core_cut, "config": config, "roll": roll,
}  # fmt: skip


def read(path: Path) -> Result[dict[str, Any], str]:
    """The day in a file; an error is one line with file, field and reason."""
    try:
        told: dict[str, Any] = DaySheet().load(tomllib.loads(path.read_text()))
    except OSError as why:
        return Err(f"{path}: cannot be read: {why}")
    except tomllib.TOMLDecodeError as why:
        return Err(f"{path}: the whole: {why}")
    except ValidationError as why:
        return Err(f"{path}: {spell(why.messages)}")
    names = {service["name"] for service in told["service"]}
    used = [t["service"] for t in told["traffic"]] + [t["service"] for t in told["trouble"] if t["service"]]
    unknown = [name for name in used if name not in names]
    if unknown:
        return Err(f"{path}: service: {unknown[0]!r} is not among the services")
    return Ok(told)


def play(told: dict[str, Any], seed: int | None = None) -> Day:
    """Plays a day as `read` gave it."""
    kinds = tuple(Kind(**{**s, "speeds": tuple(s["speeds"])}) for s in told["service"])
    classes = tuple(Class(**t) for t in told["traffic"])
    shape = Shape(
        kinds, classes, told["zones"], told["fronts"], told["cores"], told["cores"] // 2, terms=told["terms"]
    )  # fmt: skip

    async def one(day: Day, trouble: dict[str, Any]) -> None:
        await asyncio.sleep(trouble["at"])
        day.saw("trouble", kind=trouble["kind"])
        await TROUBLES[trouble["kind"]](day, trouble)

    async def troubles(day: Day) -> None:
        await asyncio.gather(*(one(day, trouble) for trouble in told["trouble"]))

    async def whole() -> Day:
        day = Day(shape, told["seed"] if seed is None else seed)
        await day.play(told["length_s"], troubles)
        return day

    with logbook.NullHandler().applicationbound():
        day: Day = played(whole())
    return day


def spans(day: Day) -> list[dict[str, Any]]:
    """Rows by span of time."""
    first = min((asked.begun for asked in day.asked), default=0.0)
    last = max((asked.begun for asked in day.asked), default=0.0)
    rows, at = [], first
    while at + SPAN_S / 2 <= last:
        figures = worth(day, at, at + SPAN_S)
        told = {name: round(value, 4) for name, value in figures.items() if name not in WHOLE_DAY}
        begun = [(when, f["kind"]) for when, what, f in day.events if what == "trouble"]
        here = " ".join(kind for when, kind in begun if at <= when < at + SPAN_S)
        rows.append({"from_s": round(at - first, 1), **told, "troubles": here or "-"})
        at += SPAN_S
    return rows


def judged(day: Day) -> list[str]:
    """What broke, by outsiders' records."""
    return broken(day)
