"""Each key of `Survive` is kept, or refused with a reason: machines, zones and regions of control servers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from itertools import combinations, product

import logbook
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, Is

from pinward.plan.boot import boot_of
from pinward.plan.fault_tolerance import FaultTolerance, Localities, Locality
from standin.exchange_day import Day, small
from standin.virtual import played

TOLERANCES = [FaultTolerance(*keys) for keys in product((0, 1, 2), (0, 1), (0, 1)) if any(keys)]
SYNC_S = 4.0  # s, the users' bound, as the settings have it by default
DOWN_S = 1.5  # s that what is lost is away
READ_S = 12.0  # s in which a read must be answered
GROWN_S = 8.0  # s for the founders to become the voters that are wanted


def losses(tolerance: FaultTolerance, localities: Localities) -> list[set[str]]:
    """What may be lost at once, worked out set by set."""
    found = [set(some) for some in combinations(localities, min(tolerance.machines, len(localities)))]
    for part, most in (("zone", tolerance.zones), ("region", tolerance.regions)):
        groups = sorted({getattr(place, part) for place in localities.values()})
        for some in combinations(groups, min(most, len(groups))):
            found.append({n for n, place in localities.items() if getattr(place, part) in some})
    return found


def bears(voters: set[str], copies: set[str], lost: list[set[str]]) -> bool:
    """True where a majority of the voters and a copy outlast each loss."""
    return all(2 * len(voters - some) > len(voters) and copies - some for some in lost)


def placements(most: int) -> list[Localities]:
    """Up to so many servers over four zones in three regions, by how many stand in each zone."""
    zones = [Locality("a", "r"), Locality("b", "r"), Locality("c", "s"), Locality("d", "t")]
    found = []
    for counts in product(range(4), repeat=len(zones)):
        if 0 < sum(counts) <= most:
            places = [zone for zone, count in zip(zones, counts, strict=True) for _ in range(count)]
            found.append({f"c{n}": place for n, place in enumerate(places)})
    return found


class Policy(TestCase):
    """All placements of up to seven servers, each kind of loss alone and beside the others."""

    def test_voters_are_found_wherever_there_are_some_that_bear_every_loss(self) -> None:
        """Guards against review/4's class: zones and regions of one, two or unequal numbers of servers."""
        kept = 0
        for localities in placements(7):
            for tolerance in TOLERANCES:
                lost = losses(tolerance, localities)
                chosen = tolerance.choose_voters(localities, localities, lambda name: name)
                if chosen is None:
                    some = (set(s) for n in range(1, 8) for s in combinations(localities, n))
                    found = any(bears(v, v, lost) for v in some)
                    self.assertThat(found, Is(False), f"{tolerance} {localities}")
                    self.assertThat(tolerance.explain(localities, localities, localities), Contains("Azs"))
                    continue
                copies = tolerance.choose_copies(chosen, localities)
                self.assertThat(bears(set(chosen), set(copies), lost), Is(True), f"{tolerance} {localities}")
                self.assertThat(tolerance.explain(chosen, copies, localities), Equals(""))
                kept += 1
        self.assertThat(kept, GreaterThan(400))

    def test_what_is_said_of_voters_and_copies_is_so_of_every_subset(self) -> None:
        for localities in placements(5):
            for tolerance in TOLERANCES:
                lost = losses(tolerance, localities)
                for some in (set(s) for n in range(1, 6) for s in combinations(localities, n)):
                    majority = all(2 * len(some - gone) > len(some) for gone in lost)
                    enough = len(some) > 2 * tolerance.machines  # any machines, also where there are fewer
                    said = tolerance.keeps_a_majority(some, localities)
                    self.assertThat(said, Equals(majority and enough), f"{tolerance} {some}")
                    copy = len(some) > tolerance.machines and all(some - gone for gone in lost)
                    said = tolerance.keeps_a_copy(some, localities)
                    self.assertThat(said, Equals(copy), f"{tolerance} {some}")

    def test_one_that_nobody_has_placed_counts_as_lost_with_any_zone(self) -> None:
        places = {"c0": Locality("a", "r"), "c1": Locality("b", "r")}
        for tolerance in (FaultTolerance(0, 1), FaultTolerance(0, 0, 1)):
            self.assertThat(tolerance.keeps_a_copy(("c0", "c2"), places), Is(False))
            self.assertThat(tolerance.keeps_a_majority(("c0", "c1", "c2"), places), Is(False))
        self.assertThat(FaultTolerance(1).keeps_a_majority(("c0", "c1", "c2"), {}), Is(True))


class Settings(TestCase):
    def boot(self, survive: dict[str, int], zones: dict[str, str]) -> str:
        own = {"HostName": "c", "Ipaddr": "10.0.0.1", "Az": next(iter(zones)), "Quorum": True, "Init": True}
        net = {"Bind": {"Ctl": "10.0.0.1:80"}, "PortsIn": [1, 2], "Peers": ["10.0.0.1:80"], "Azs": zones}
        told = boot_of({"Self": own, "Net": net, "Terms": {"Survive": survive}})
        return "" if told.is_ok() else told.unwrap_err()

    def test_what_no_control_servers_can_keep_is_refused_with_the_key_and_a_reason(self) -> None:
        two, three = {"a": "r", "b": "s"}, {"a": "r", "b": "s", "c": "t"}
        self.assertThat(self.boot({"Azs": 1}, two), Contains("Survive.Azs: the loss of 1 leaves no majority"))
        self.assertThat(self.boot({"RegsLost": 1}, {**three, "c": "s"}), Contains("Survive.RegsLost: "))
        self.assertThat(self.boot({"Azs": 2}, three), Contains("5 are needed"))
        self.assertThat(self.boot({"Nodes": -1}, three), Contains("Survive.Nodes"))
        for survive in ({"Azs": 1}, {"RegsLost": 1}, {"Nodes": 2, "Azs": 1, "RegsLost": 1}, {"Nodes": 0}):
            self.assertThat(self.boot(survive, three), Equals(""))


Troubles = Callable[[Day], Awaitable[None]]


def play(troubles: Troubles, **shape: object) -> Day:
    """A day without traffic; what its troubles raise is raised here."""

    async def whole() -> Day:
        day = Day(small(0.0, **shape), 1)
        for ip in (*day.core_ips, *day.front_ips):
            day.start(ip)
        await troubles(day)
        return day

    with logbook.NullHandler().applicationbound():
        day: Day = played(whole())
    return day


async def read_version(day: Day) -> int:
    """The version that reads answer; 0 where none is answered in time."""
    until = day.now() + READ_S
    while day.now() < until:
        for ip in day.core_ips:
            sent = await day.send(ip, "GET", "/cfg")
            if sent.status == 200:
                return int(sent.text.split('"Ver": "')[1][:8], 16)
        await asyncio.sleep(0.2)
    return 0


async def lose_each_group_in_turn(day: Day, group_of: Callable[[str], str]) -> list[int]:
    """Loses each zone or region with its disks, right behind an acknowledgement; the versions read back."""
    read = []
    await asyncio.sleep(GROWN_S)
    for version, group in enumerate(sorted({group_of(ip) for ip in day.core_ips}), 1):
        status, text = await day.order("PUT", "/cfg", day.plan(version))
        assert status == 200, f"version {version}: {status} {text}"
        for ip in day.core_ips:
            if group_of(ip) == group:
                day.kill(ip, DOWN_S, power=True, wipe=True)
        read.append(await read_version(day))
        await asyncio.sleep(DOWN_S + SYNC_S + 2.0)
    return read


class Losses(TestCase):
    """Whole control servers in simulated time; a whole zone or region loses its disks at once."""

    def test_a_zones_loss_that_survive_allows_takes_nothing_acknowledged(self) -> None:
        """Guards against review/4: `Azs` was not read, the copies shrank to one, its zone's loss took all."""
        for zones in ("abc", "aabbcc", "aabc", "aaabbc", "aabbc"):
            for nodes in (0, 1):
                read: list[int] = []

                async def troubles(day: Day, read: list[int] = read) -> None:
                    read += await lose_each_group_in_turn(day, lambda ip: day.zone_of[ip])

                play(troubles, cores=len(zones), core_zones=tuple(zones), survive={"Nodes": nodes, "Azs": 1})
                self.assertThat(read, Equals([1, 2, 3]), f"{zones}, Nodes {nodes}")

    def test_a_regions_loss_that_survive_allows_takes_nothing_acknowledged(self) -> None:
        regions = {"a": "r", "b": "r", "c": "s", "d": "t"}
        for zones in ("acd", "aabcd", "abccd", "aaabcd"):
            read: list[int] = []

            async def troubles(day: Day, read: list[int] = read) -> None:
                read += await lose_each_group_in_turn(day, lambda ip: regions[day.zone_of[ip]])

            shape = {"cores": len(zones), "core_zones": tuple(zones), "regions": regions}
            play(troubles, survive={"Nodes": 0, "RegsLost": 1}, **shape)
            self.assertThat(read, Equals([1, 2, 3]), zones)

    def test_what_the_control_servers_at_hand_cannot_keep_is_refused_with_a_reason(self) -> None:
        for zones, survive in (
            ("aab", {"Nodes": 0, "Azs": 1}), ("aaa", {"Nodes": 1, "Azs": 1}), ("abc", {"Nodes": 2}),
            ("ab", {"Nodes": 1}), ("aabb", {"Nodes": 1, "RegsLost": 1}),
        ):  # fmt: skip
            seen: list[tuple[int, str]] = []

            async def troubles(day: Day, seen: list[tuple[int, str]] = seen) -> None:
                await asyncio.sleep(GROWN_S)
                for ip in day.core_ips:
                    sent = await day.send(ip, "PUT", "/cfg", day.plan(1))
                    seen.append((sent.status, sent.text))

            regions = {"a": "r", "b": "s", "z": "t"}
            play(troubles, cores=len(zones), core_zones=tuple(zones), survive=survive, regions=regions)
            for status, text in seen:
                self.assertThat(status, Equals(503), f"{zones} {survive}")
                self.assertThat(text, Contains("nothing was done: Survive"))

    def test_a_server_that_comes_makes_good_what_was_lacking(self) -> None:
        """Two servers of one zone, one of another: taken once one of a third zone is there."""
        statuses: list[int] = []

        async def troubles(day: Day) -> None:
            late = day.core_ips[3]
            day.kill(late, 10.0, wipe=True)
            await asyncio.sleep(GROWN_S)
            statuses.append((await day.send(day.core_ips[0], "PUT", "/cfg", day.plan(1))).status)
            await asyncio.sleep(GROWN_S)
            statuses.append((await day.order("PUT", "/cfg", day.plan(1)))[0])

        play(troubles, cores=4, core_zones=("a", "a", "b", "c"), survive={"Nodes": 1, "Azs": 1})
        self.assertThat(statuses, Equals([503, 200]))
