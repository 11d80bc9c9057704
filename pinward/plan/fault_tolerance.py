"""Which control servers may be lost at once, and which voters and copies bear it: the setting `Survive`.

`Survive` names machines, zones or regions (DEPLOY.md, "What a process is told"): as many of any one of the
three may be lost at a time, with their disks. Voters bear it where a majority of them is outside whatever is
lost; copies of the state bear it where one of them is. A server whose locality is not known counts as lost
with each zone and region. No I/O here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple


class Locality(NamedTuple):
    """Where a control server stands."""

    zone: str
    region: str


Localities = Mapping[str, Locality]  # by server


class Shortfall(NamedTuple):
    """How many copies, zones and regions with a copy are lacking until a loss is borne."""

    machines: int
    zones: int
    regions: int

    @property
    def total(self) -> int:
        return self.machines + self.zones + self.regions


@dataclass(frozen=True)
class FaultTolerance:
    """How many machines, zones or regions may be lost at once."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    # Copies.

    def copies_lacking(self, copies: Iterable[str], localities: Localities) -> Shortfall:
        """What must be added until some copy outlasts every loss."""
        names = set(copies)
        known = [localities[name] for name in names if name in localities]
        zones, regions = {place.zone for place in known}, {place.region for place in known}
        return Shortfall(
            max(0, self.machines + 1 - len(names)),
            max(0, self.zones + 1 - len(zones)) if self.zones else 0,
            max(0, self.regions + 1 - len(regions)) if self.regions else 0,
        )

    def keeps_a_copy(self, copies: Iterable[str], localities: Localities) -> bool:
        """True where some copy outlasts every loss."""
        names = set(copies)
        return bool(names) and not self.copies_lacking(names, localities).total

    def as_many_as_can(self, copies: Iterable[str], able: Iterable[str], localities: Localities) -> bool:
        """True where no further server that is able would bring the copies nearer to what is needed."""
        names = set(copies)
        lacking = self.copies_lacking(names, localities).total
        whole = self.copies_lacking({*names, *able}, localities).total
        return bool(names) and lacking <= whole

    def choose_copies(self, order: Iterable[str], localities: Localities) -> list[str]:
        """The fewest copies that outlast every loss, or as many as help; of equals the first in the order."""
        rest = list(dict.fromkeys(order))
        chosen = rest[:1]
        rest = rest[1:]
        while rest:
            lacking = self.copies_lacking(chosen, localities).total
            gains = [lacking - self.copies_lacking([*chosen, name], localities).total for name in rest]
            best = max(gains)
            if best <= 0:
                break
            chosen.append(rest.pop(gains.index(best)))
        return chosen

    # Voters.

    def lost_most(self, voters: Iterable[str], localities: Localities) -> int:
        """How many of these voters the worst loss takes."""
        names = set(voters)
        unknown = sum(name not in localities for name in names)
        zones = Counter(localities[name].zone for name in names if name in localities)
        regions = Counter(localities[name].region for name in names if name in localities)
        in_zones = _largest(zones, self.zones) + unknown if self.zones else 0
        in_regions = _largest(regions, self.regions) + unknown if self.regions else 0
        return max(self.machines, in_zones, in_regions)

    def voters_lacking(self, voters: Iterable[str], localities: Localities) -> int:
        """How many voters, outside all losses, are lacking until a majority outlasts every loss."""
        names = set(voters)
        return max(0, 2 * self.lost_most(names, localities) + 1 - len(names))

    def keeps_a_majority(self, voters: Iterable[str], localities: Localities) -> bool:
        return not self.voters_lacking(voters, localities)

    def choose_voters(
        self, servers: Iterable[str], localities: Localities, rank: Callable[[str], object]
    ) -> list[str] | None:
        """The fewest voters of which a majority outlasts every loss; None where these servers have none such.

        They are spread over zones or regions where those may be lost; among servers alike in that, the one
        that ranks lowest comes first.
        """
        rest, chosen = set(servers), list[str]()
        placed = bool(self.zones or self.regions)  # one that nobody has placed is then chosen last
        loads: Counter[tuple[str, str]] = Counter()

        def load(name: str) -> tuple[int, int]:
            place = localities.get(name, Locality("", ""))
            return (
                loads["region", place.region] if self.regions else 0,
                loads["zone", place.zone] if self.zones else 0,
            )

        while rest:
            name = min(rest, key=lambda one: (placed and one not in localities, *load(one), rank(one)))
            rest.discard(name)
            chosen.append(name)
            place = localities.get(name, Locality("", ""))
            loads["region", place.region] += 1
            loads["zone", place.zone] += 1
            if self.keeps_a_majority(chosen, localities):
                return chosen
        return None

    def impossible(self, zones: int, regions: int) -> tuple[str, str] | None:
        """The key of `Survive` that no control servers in so many zones and regions can keep, and why."""
        for key, lost, there, what in (
            ("Azs", self.zones, zones, "zones"),
            ("RegsLost", self.regions, regions, "regions"),
        ):
            if lost and there < 2 * lost + 1:
                return key, (
                    f"the loss of {lost} leaves no majority of control servers in {there} {what}: "
                    f"{2 * lost + 1} are needed"
                )
        return None

    def explain(self, voters: Iterable[str], copies: Iterable[str], localities: Localities) -> str:
        """Why these voters and copies do not bear what may be lost; empty where they do."""
        voters = sorted(voters)
        if self.keeps_a_majority(voters, localities) and self.keeps_a_copy(copies, localities):
            return ""
        places = [localities.get(name, Locality("?", "?")) for name in voters]
        return (
            f"Survive (Nodes {self.machines}, Azs {self.zones}, RegsLost {self.regions}) is not kept by "
            f"{len(voters)} control servers in {len({p.zone for p in places})} zones "
            f"and {len({p.region for p in places})} regions, with {len(set(copies))} copies"
        )


def _largest(counts: Counter[str], groups: int) -> int:
    """The members of the largest so many groups."""
    return sum(count for _, count in counts.most_common(groups))
