"""What a front asks for each txn where customers are confined to cells: whose nodes it may use, and if now.

Told in a settings file of ours that PINWARD_CELLS names; the map is a file of its own, read anew on SIGHUP.
Without PINWARD_CELLS a front loads none of this.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import orjson
from pydantic import Field

from pinward.cells.atlas import Atlas, Chart, MapError
from pinward.cells.limits import MOST_AWAY_S, Allowance, Limits
from pinward.settings import Block, Share, read
from pinward.terms import Kind, Node

NOBODY = ""  # the customer of txns that name none: one customer like any other
MAP_MOST = 64 * 2**20  # bytes of a map: 100,000 customers named take some MiB


class AllowanceBlock(Block):
    """What a cell or a customer may have."""

    name: str
    open: Annotated[int, Field(ge=0)] | None = None
    rate: Annotated[float, Field(gt=0.0)] | None = None
    burst: Annotated[float, Field(ge=1.0)] = 1.0

    @property
    def allowance(self) -> Allowance:
        return Allowance(self.open, self.rate, self.burst)


class CellsFile(Block):
    """The directives of a front's cells; docs/operate/cells.md tells them."""

    map: Path
    room: Annotated[int, Field(ge=1, le=1_000_000)]
    kept: Share = 0.25
    usual: AllowanceBlock | None = None
    customer: list[AllowanceBlock] = []
    cell: list[AllowanceBlock] = []


def read_map(path: Path) -> Chart:
    """A map from its file; raises MapError in one line that names the file."""
    try:
        with path.open("rb") as file:
            data = file.read(MAP_MOST + 1)
        if len(data) > MAP_MOST:
            raise MapError(f"larger than {MAP_MOST} bytes")
        return Chart.of(orjson.loads(data))
    except OSError as fault:
        raise MapError(f"{path}: cannot be read: {fault.strerror}") from None
    except ValueError as fault:  # no JSON, or a MapError
        raise MapError(f"{path}: {fault}") from None


class Door:
    """The cells of one front."""

    def __init__(self, told: CellsFile, chart: Chart, now: float) -> None:
        self.told, self.atlas = told, Atlas(chart)
        self.limits = Limits(
            told.room, chart.cells, now, told.kept,
            {block.name: block.allowance for block in told.cell},
            {block.name: block.allowance for block in told.customer},
            told.usual.allowance if told.usual else None,
        )  # fmt: skip

    def renew(self) -> int:
        """Reads the map anew; its version. Raises MapError and stays with the one in force."""
        chart = read_map(self.told.map)
        if chart != self.atlas.chart:
            self.atlas.take(chart)
            self.limits.deal(chart.cells)
        return chart.version

    def settle(self, node: Node) -> None:
        """Puts a node into its cell."""
        node.cell = self.atlas.cell_of(node.name)

    def admit(
        self, now: float, customer: str, kind: Kind, key: str | None, drawn: float, repeat: bool
    ) -> tuple[tuple[str, ...], str, float]:
        """The cells that a txn may use, the one whose room it takes, and 0.0; or none, and for how long its
        client should stay away. One that is admitted must be told of by `ended`."""
        cells = self.atlas.homes(customer, kind, key, drawn, repeat)
        if not cells:
            return (), "", MOST_AWAY_S
        cell = cells[int(drawn * len(cells)) % len(cells)]
        away = self.limits.admit(now, customer, cell)
        if away:
            return (), "", away
        return cells, cell, 0.0

    def ended(self, now: float, customer: str, cell: str) -> None:
        self.limits.ended(now, customer, cell)

    @property
    def moving(self) -> int:
        return len(self.atlas.chart.moves) + (self.atlas.chart.shift is not None)


def open_door(path: str, now: float) -> Door:
    """The door that a settings file tells of; raises FaultyFileError or MapError."""
    told = read(path, CellsFile)
    return Door(told, read_map(told.map), now)
