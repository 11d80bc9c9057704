"""What a process is told: the settings file that PINWARD_BOOT names, read and checked once, into the few
figures used.

Unknown fields are skipped. A fault is told as one line that names the file and the field.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate
from result import Err, Ok, Result

from pinward.annunciator import ring
from pinward.plan.fault_tolerance import FaultTolerance, Locality
from pinward.plan.units import Address, Span, spell

Where = tuple[str, int]


class Table(Schema):
    """A table that passes over what it doesn't know."""

    class Meta:
        unknown = EXCLUDE


class Limits(Table):
    cpu = fields.Float(data_key="Cpu", load_default=1.0)
    memory_mb = fields.Float(data_key="MemMb", load_default=256.0)
    descriptors = fields.Integer(data_key="Nofile", load_default=1024)


class Own(Table):
    name = fields.String(data_key="HostName", required=True)
    tiers = fields.List(fields.String(), data_key="Tiers", load_default=list)
    ip = fields.String(data_key="Ipaddr", required=True)
    zone = fields.String(data_key="Az", load_default="")
    region = fields.String(data_key="Reg", load_default="")
    counted = fields.Boolean(data_key="Quorum", load_default=False)
    first = fields.Boolean(data_key="Init", load_default=False)
    folder = fields.String(data_key="VarDir", load_default=None, allow_none=True)
    limits = fields.Nested(Limits, data_key="Caps", load_default=lambda: Limits().load({}))


class Net(Table):
    bind = fields.Dict(fields.String(), Address(), data_key="Bind", load_default=dict)
    ports = fields.List(
        fields.Integer(), data_key="PortsIn", required=True, validate=validate.Length(equal=2)
    )
    peers = fields.List(Address(), data_key="Peers", load_default=list)
    zones = fields.Dict(fields.String(), fields.String(), data_key="Azs", load_default=dict)


class Platform(Table):
    beat_s = Span(data_key="Hb", load_default=1.5)


class Survive(Table):
    machines = fields.Integer(data_key="Nodes", load_default=1, validate=validate.Range(min=0))
    zones = fields.Integer(data_key="Azs", load_default=0, validate=validate.Range(min=0))
    regions = fields.Integer(data_key="RegsLost", load_default=0, validate=validate.Range(min=0))


class Bounds(Table):
    live_s = Span(data_key="Live", load_default=3.0)
    ack_s = Span(data_key="Ack", load_default=5.0)
    catch_up_s = Span(data_key="Sync", load_default=4.0)
    drain_s = Span(data_key="Drain", load_default=2.0)
    grace_s = Span(data_key="Grace", load_default=6.0)
    apply_s = Span(data_key="Apply", load_default=2.0)
    undo_s = Span(data_key="Undo", load_default=5.0)
    reuse_s = Span(data_key="Reuse", load_default=2.0)
    retry_ratio = fields.Float(data_key="RetryRatio", load_default=0.2)
    retry_window_s = Span(data_key="RetryWin", load_default=10.0)
    retry_extra = fields.Float(data_key="RetryExtra", load_default=10.0)
    trial_cap = fields.Float(data_key="CanaryFrac", load_default=0.1)
    trial_free = fields.Float(data_key="CanaryExtra", load_default=20.0)


class Terms(Table):
    survive = fields.Nested(Survive, data_key="Survive", load_default=lambda: Survive().load({}))
    bounds = fields.Nested(Bounds, data_key="Bnds", load_default=lambda: Bounds().load({}))


class Whole(Table):
    own = fields.Nested(Own, data_key="Self", required=True)
    net = fields.Nested(Net, data_key="Net", required=True)
    platform = fields.Nested(Platform, data_key="Plat", load_default=lambda: Platform().load({}))
    terms = fields.Nested(Terms, data_key="Terms", load_default=lambda: Terms().load({}))


@dataclass(frozen=True)
class Bound:
    """The figures of the rules in force; seconds, shares and numbers of requests."""

    live_s: float
    ack_s: float
    catch_up_s: float
    drain_s: float
    grace_s: float
    apply_s: float
    undo_s: float
    reuse_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    trial_cap: float
    trial_free: float


@dataclass(frozen=True)
class Boot:
    """The settings of one process."""

    name: str
    ip: str
    zone: str
    first: bool
    counted: bool
    folder: str | None
    memory_mb: float
    descriptors: int
    bind: Mapping[str, Where]
    inner: int  # the port on which parts of the system speak to each other
    peers: tuple[Where, ...]  # where some control fronts serve machines and operators
    beat_s: float
    tolerance: FaultTolerance  # what may be lost at a time
    region: str
    bounds: Bound

    @property
    def locality(self) -> Locality:
        return Locality(self.zone, self.region)


def read_boot(env: Mapping[str, str] = os.environ) -> Result[Boot, str]:
    """The settings file that PINWARD_BOOT names; an error is one line with file, field and reason."""
    path = env.get("PINWARD_BOOT")
    if not path:
        return Err("PINWARD_BOOT: missing from the environment")
    try:
        told = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as fault:
        return Err(f"{path}: cannot be read: {fault}")
    return boot_of(told).map_err(lambda fault: f"{path}: {fault}")


def boot_of(told: Any) -> Result[Boot, str]:
    """The settings in a decoded JSON object; an error is `field: reason`."""
    try:
        whole: dict[str, Any] = Whole().load(told)
    except ValidationError as fault:
        return Err(spell(fault.messages))
    own, net, terms = whole["own"], whole["net"], whole["terms"]
    tolerance = FaultTolerance(**terms["survive"])
    region = net["zones"].get(own["zone"], own["region"])
    if "Ctl" in net["bind"]:
        zones = {own["zone"]: region, **net["zones"]}
        refused = tolerance.impossible(len(zones), len(set(zones.values())))
        if refused is not None:
            return Err(f"Terms.Survive.{refused[0]}: {refused[1]}")
    return Ok(
        Boot(
            name=own["name"],
            ip=own["ip"],
            zone=own["zone"],
            first=own["first"],
            counted=own["counted"],
            folder=own["folder"],
            memory_mb=own["limits"]["memory_mb"],
            descriptors=own["limits"]["descriptors"],
            bind=net["bind"],
            inner=net["ports"][0],
            peers=tuple(net["peers"]),
            beat_s=whole["platform"]["beat_s"],
            tolerance=tolerance,
            region=region,
            bounds=Bound(**terms["bounds"]),
        )  # fmt: skip
    )


class Watched:
    """The settings file as it changes, with a signal or without."""

    def __init__(self, env: Mapping[str, str] = os.environ) -> None:
        self.env = env
        self.stamp = self.look()

    def look(self) -> tuple[int, int] | None:
        try:
            told = os.stat(self.env.get("PINWARD_BOOT", ""))
        except OSError:
            return None
        return told.st_mtime_ns, told.st_size

    def taken(self, anyway: bool = False) -> Boot | None:
        """What the file says now, where it changed or is to be read anyway. A faulty one is told, no more."""
        stamp = self.look()
        if stamp is None or (stamp == self.stamp and not anyway):
            return None
        self.stamp = stamp
        told = read_boot(self.env)
        if told.is_err():
            ring(104, why=told.unwrap_err())
            return None
        ring(103, peers=len(told.unwrap().peers))
        return told.unwrap()
