"""A configuration as operators send it, checked whole by marshmallow; what is wrong is told by field and
reason.

The list of what makes one invalid is the users' (PROTOCOL, "The operator"); nothing else is refused.
"""

from __future__ import annotations

import json
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate, validates_schema
from result import Err, Ok, Result

from pinward.plan.routes import Plan, compiled
from pinward.plan.units import Span, Version, spell

GOAL_OVER_S = 60.0  # s; a goal so far above its route's time-out is a mistake, by PROTOCOL
KINDS = ("idem", "once")


class Part(Schema):
    class Meta:
        unknown = EXCLUDE


class Share(Part):
    service = fields.String(data_key="Svc", required=True)
    weight = fields.Float(data_key="Wt", required=True, validate=validate.Range(min=0.0))


class RouteSheet(Part):
    name = fields.String(data_key="Name", load_default="")
    prefix = fields.String(data_key="Pfx", required=True)
    kind = fields.String(data_key="Type", required=True, validate=validate.OneOf(KINDS))
    timeout_s = Span(data_key="Tmo", required=True)
    goal_s = Span(data_key="Goal", load_default=0.0)
    rank = fields.Integer(data_key="Prio", load_default=0)
    service = fields.String(data_key="Svc", load_default=None, allow_none=True)
    split = fields.List(fields.Nested(Share), data_key="Split", load_default=None, allow_none=True)
    tries = fields.Integer(data_key="Tries", load_default=1)

    @validates_schema
    def fits(self, data: dict[str, Any], **_: Any) -> None:
        if data["timeout_s"] == 0:
            raise ValidationError("must not be 0", "Tmo")
        if data["goal_s"] >= data["timeout_s"] + GOAL_OVER_S:
            raise ValidationError("exceeds Tmo by a minute or more", "Goal")
        if data["split"] is None and not data["service"]:
            raise ValidationError("a route needs Svc or Split", "Svc")
        if data["split"] is not None and sum(share["weight"] for share in data["split"]) == 0:
            raise ValidationError("the weights sum to 0", "Split")


class HostSheet(Part):
    host = fields.String(data_key="Vhost", required=True, validate=validate.Length(min=1, error="is empty"))
    routes = fields.List(fields.Nested(RouteSheet), data_key="Vroutes", required=True)


class ServiceSheet(Part):
    name = fields.String(data_key="Name", required=True)
    health = fields.String(data_key="Hcheck", load_default="")
    connections = fields.Integer(data_key="Maxconn", load_default=0)


class CapsSheet(Part):
    head_bytes = fields.Integer(data_key="HdrBytes", load_default=16384)
    body_bytes = fields.Integer(data_key="BodyMaxBytes", load_default=67108864)
    head_s = Span(data_key="Hdr", load_default=3.0)
    idle_s = Span(data_key="Idle", load_default=15.0)


class PlanSheet(Part):
    version = Version(data_key="Ver", required=True)
    services = fields.List(fields.Nested(ServiceSheet), data_key="Svcs", required=True)
    caps = fields.Nested(CapsSheet, data_key="Caps", load_default=lambda: CapsSheet().load({}))
    hosts = fields.List(fields.Nested(HostSheet), data_key="Hosts", required=True)

    @validates_schema
    def known(self, data: dict[str, Any], **_: Any) -> None:
        names = {service["name"] for service in data["services"]}
        for host in data["hosts"]:
            for route in host["routes"]:
                for service in [s["service"] for s in route["split"] or ()] or [route["service"]]:
                    if service not in names:
                        raise ValidationError(f"route {route['name']!r} names unknown {service!r}", "Svc")


PLAN = PlanSheet()  # made once: making one costs more than a small configuration's check


def plan_of(body: bytes | str) -> Result[Plan, str]:
    """A configuration, checked and ready to be looked up; an error is `field: reason`."""
    try:
        told = json.loads(body)
    except (ValueError, RecursionError) as fault:
        return Err(f"the whole: cannot be read: {fault}")
    try:
        PLAN.load(told)
    except ValidationError as fault:
        return Err(spell(fault.messages))
    return Ok(compiled(told))
