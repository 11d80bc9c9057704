"""What one instance is told at its start: its settings file, checked, as the few figures that are used."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, ValidationInfo, field_validator, model_validator

from pinward.lead.gates import GateTerms, Way
from pinward.lead.terms import Members, Pace
from pinward.owners.file import OwnersBlock
from pinward.settings import Address, Block, Name, Seconds, Share


class MemberBlock(Block):
    name: Name
    address: Address


class ApplierBlock(Block):
    name: Name
    address: Address


class KeysBlock(Block):
    authority: Path
    certificate: Path
    key: Path


class LeadFile(Block):
    """The directives of an instance's file; docs/operate/leadership.md tells them."""

    installation: Name
    name: Name
    state: Path
    listen: Address
    desk: Address | None = None
    speak_from: str | None = None  # the own address of outbound connections
    member: list[MemberBlock] = []
    applier: list[ApplierBlock] = []
    keys: KeysBlock | None = None
    plain_text: bool = False
    seed: Annotated[int, Field(ge=0)] = 0
    wait: Annotated[Seconds, Field(ge=0.05, le=60.0)] = 1.0
    beat: Annotated[Seconds, Field(ge=0.01, le=10.0)] = 0.2
    skew: Share = 0.1
    gate: Literal["one", "shares", "majority", "clock"] = "majority"
    fronts: Annotated[int, Field(ge=1, le=100_000)] = 1
    on_share: Share = 0.5
    back_share: Share = 0.0
    soak: Seconds = 0.0
    stage_time: Seconds = 0.0
    vote_life: Annotated[Seconds, Field(gt=0.0)] = 10.0
    stage: Annotated[list[Share], Field(min_length=1, max_length=100)] = [1.0]
    fold_after: Annotated[int, Field(ge=10, le=1_000_000)] = 2000
    owners: OwnersBlock | None = None

    @field_validator("owners")
    @classmethod
    def keeps_its_word(cls, owners: OwnersBlock | None, info: ValidationInfo) -> OwnersBlock | None:
        told = info.data
        if owners is not None and {"wait", "beat", "skew"} <= set(told):
            why = owners.objection(told["wait"], told["beat"], told["skew"])
            if why:
                raise ValueError(why)
        return owners

    @model_validator(mode="after")
    def agrees(self) -> LeadFile:
        """What one directive alone cannot tell."""
        names = [member.name for member in self.member]
        if len(names) != len(set(names)):
            raise ValueError("member: each name stands once")
        if not names:
            raise ValueError("member: missing; there must be at least one")
        if self.beat * 3 > self.wait:
            raise ValueError("beat: must be at most a third of wait, or one lost word costs a leadership")
        if not self.skew < 0.5:
            raise ValueError("skew: must be below 50%")
        if self.keys is None and not self.plain_text:
            raise ValueError("keys: missing; for a trial without keys say `plain-text yes`")
        if self.stage != sorted(self.stage):
            raise ValueError("stage: caps must not fall")
        if self.gate == "clock" and not self.stage_time:
            raise ValueError("stage-time: missing, the gate is the clock")
        return self

    @property
    def pace(self) -> Pace:
        return Pace(self.wait, self.beat, self.skew)

    @property
    def gates(self) -> GateTerms:
        return GateTerms(
            Way(self.gate), self.fronts, self.on_share, self.back_share, self.soak, self.stage_time,
            self.vote_life,
        )  # fmt: skip

    def founding(self, joins: bool) -> Members:
        """The members as the file tells them; one that joins is not among them."""
        where = {m.name: f"{m.address[0]}:{m.address[1]}" for m in self.member}
        if joins:
            where.pop(self.name, None)
        return Members(frozenset(where), frozenset(), tuple(sorted(where.items())))
