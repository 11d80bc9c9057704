"""The settings of owners: the block `owners` in an instance's file, and the file of a member."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from pinward.owners.steward import Terms
from pinward.owners.terms import PARTS_MOST, Duty, Kind, Pace
from pinward.settings import Address, Block, Name, Seconds

STAND_SPREAD = 2.0  # times `wait`: an instance that hears no leader stands after so long at the latest
VOTE_BEATS = 2  # beats of the leadership that an election takes where the first that stands is voted for


class DutyBlock(Block):
    name: Name
    kind: Literal["single", "split", "periodic"] = "single"
    parts: Annotated[int, Field(ge=1, le=PARTS_MOST)] = 1
    by_zone: bool = False
    period: Seconds = 0.0
    fenced: bool = True

    @model_validator(mode="after")
    def agrees(self) -> DutyBlock:
        if self.kind != "split" and (self.parts > 1 or self.by_zone):
            raise ValueError(f"kind: only split work has parts, not {self.kind}")
        if self.by_zone and self.parts > 1:
            raise ValueError("parts: by-zone has one a zone, so parts is not told")
        if self.kind == "periodic" and not self.period:
            raise ValueError("period: missing, the work is periodic")
        return self


class OwnersBlock(Block):
    """The directives of `owners { }`; docs/operate/owners.md tells them."""

    hold: Annotated[Seconds, Field(ge=0.2, le=600.0)] = 4.0
    member_beat: Annotated[Seconds, Field(ge=0.02, le=60.0)] = 0.5
    flight: Annotated[Seconds, Field(ge=0.0, le=60.0)] = 0.5
    takeover: Annotated[Seconds, Field(gt=0.0)] = 10.0
    moves_per_second: Annotated[float, Field(gt=0.0, le=10_000.0)] = 10.0
    warm: Annotated[Seconds, Field(ge=0.0, le=86_400.0)] = 30.0
    zone: list[Name] = []
    duty: list[DutyBlock] = []

    @model_validator(mode="after")
    def agrees(self) -> OwnersBlock:
        names = [duty.name for duty in self.duty]
        twice = next((name for name in names if names.count(name) > 1), None)
        if twice:
            raise ValueError(f"duty: {twice} stands twice")
        if self.member_beat * 4 > self.hold:
            raise ValueError("member-beat: must be at most a quarter of hold, or lost words cost ownership")
        for duty in self.duty:
            if duty.by_zone and not self.zone:
                raise ValueError(f"duty: {duty.name} is by zone and no zone is told, so no member may own it")
            if duty.kind == "periodic" and duty.period < self.member_beat:
                raise ValueError(f"duty: the period of {duty.name} is shorter than a beat")
        if sum(len(duty.names()) for duty in self.duties) > PARTS_MOST:
            raise ValueError(f"duty: more than {PARTS_MOST} parts in all")
        return self

    @property
    def duties(self) -> tuple[Duty, ...]:
        zones = tuple(self.zone)
        return tuple(
            Duty(d.name, Kind(d.kind), d.parts, zones if d.by_zone else (), d.period, d.fenced)
            for d in self.duty
        )

    def pace(self, skew: float) -> Pace:
        return Pace(self.hold, self.member_beat, self.flight, skew)

    def terms(self, skew: float) -> Terms:
        return Terms(self.duties, self.pace(skew), self.moves_per_second, self.warm)

    def bounds(self, wait: float, beat: float, skew: float) -> dict[str, float]:
        """The times until the next owner may act, in true seconds: where the owner dies, and where the leader
        dies with it."""
        pace, slow = self.pace(skew), 1 - skew
        leaderless = (STAND_SPREAD * wait + VOTE_BEATS * beat) / slow
        fenced = all(duty.fenced for duty in self.duty)
        return {
            "lease_s": pace.lease_s,
            "takeover_s": pace.takeover_s(0.0, fenced),
            "takeover_with_leader_s": pace.takeover_s(leaderless, fenced),
        }

    def objection(self, wait: float, beat: float, skew: float) -> str | None:
        """Why the told takeover cannot be kept; None where it can."""
        most = self.bounds(wait, beat, skew)["takeover_with_leader_s"]
        if most <= self.takeover:
            return None
        return f"takeover: {self.takeover:g} s cannot be kept, these times come to {most:.2f} s"


class DeskBlock(Block):
    """An instance where members may ask, by its name."""

    name: Name
    address: Address


class NodeBlock(Block):
    """A node to probe, where no front's list tells them."""

    name: Name
    address: Address


class ProbeBlock(Block):
    """The duty of probing, as the instances' files name it with its parts."""

    name: Name
    parts: Annotated[int, Field(ge=1, le=10_000)]
    period: Annotated[Seconds, Field(ge=0.05, le=3600.0)] = 1.0
    path: Annotated[str, Field(pattern="^/[!-~]*$")] = "/health/ready"
    node: list[NodeBlock] = []


class MemberFile(Block):
    """The directives of a member's file; docs/operate/owners.md tells them."""

    name: Name
    state: Path
    desk: Annotated[list[DeskBlock], Field(min_length=1)]
    zone: str = ""
    capacity: Annotated[float, Field(gt=0.0, le=1e6)] = 1.0
    hold: Annotated[Seconds, Field(ge=0.2, le=600.0)] = 4.0
    member_beat: Annotated[Seconds, Field(ge=0.02, le=60.0)] = 0.5
    flight: Annotated[Seconds, Field(ge=0.0, le=60.0)] = 0.5
    skew: Annotated[float, Field(ge=0.0, lt=0.5)] = 0.1
    speak_from: str | None = None  # the own address of outbound connections
    seed: Annotated[int, Field(ge=0)] = 0
    probe: ProbeBlock | None = None

    @property
    def pace(self) -> Pace:
        return Pace(self.hold, self.member_beat, self.flight, self.skew)
