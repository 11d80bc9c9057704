"""Which version runs without an order: recorded once, changed by an order or when its machines are gone."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace

import logbook
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is

from pinward.directory.entry import Entry, Standing
from pinward.directory.sanctioned import sanctioned
from pinward.exchange.base_versions import ABSENT_S, LOOK_S, WRITES_MOST, BaseVersions
from pinward.trial.order import Order, Stage, record_of
from standin import losses
from standin.exchange_day import Day, small
from standin.losses import Loss
from standin.virtual import played
from standin.works import Machine
from tests.test_gateway_departures_durable import play

KNOWN_S = 7.0  # s after which the control servers know all machines, and which version they run


def machines(**counts: int) -> list[Entry]:
    return [
        Entry(f"{build}-{n}", "s", ("10.0.0.1", 80 + n), "z", build, 6, Standing.UP, 1)
        for build, count in counts.items()
        for n in range(count)
    ]


async def outnumber(day: Day, service: str = "reads") -> None:
    """A machine of the earlier version leaves; as many and one of a new one come. Nobody orders anything."""
    old = day.of(service)
    await day.leave(old[0])
    for machine in old:
        day.machine(machine.kind, machine.zone, "v2", warm=True)


def builds_run(day: Day, service: str) -> set[str]:
    return set(Counter(run.build for run in day.works.runs if run.service == service))


class Records(TestCase):
    def due(self, versions: BaseVersions, now: float, some: list[Entry], last: Order | None) -> list[str]:
        return [record.target for record in versions.due(now, ("s",), some, lambda _: last)]

    def test_what_is_recorded_is_the_senior_version_whatever_the_numbers_are(self) -> None:
        """Guards against review/5's class: a record that says what a count said at its moment."""
        old = [replace(machine, calls=40) for machine in machines(v1=1)]
        for count in range(1, 9):
            some = [*machines(v2=count, v3=count), *old]
            self.assertThat(self.due(BaseVersions(), 1.0, some, None), Equals(["v1"]))
            self.assertThat(BaseVersions.first(machines(v2=1)[0], some).target, Equals("v1"))
        self.assertThat(BaseVersions.first(machines(v2=1)[0], []).target, Equals("v2"))
        self.assertThat(self.due(BaseVersions(), 1.0, machines(v2=3, v10=9), None), Equals(["v2"]))

    def test_a_version_is_recorded_once_and_kept_whatever_comes_beside_it(self) -> None:
        versions, record = BaseVersions(), record_of("s", "v1", None)
        self.assertThat(self.due(versions, 1.0, machines(v1=2), None), Equals(["v1"]))
        for turn in range(60):
            found = self.due(versions, 2.0 + turn * LOOK_S, machines(v1=1, v2=9), record)
            self.assertThat(found, Equals([]))

    def test_one_without_machines_for_long_gives_way_to_another(self) -> None:
        versions, record = BaseVersions(), record_of("s", "v1", None)
        found = [self.due(versions, float(now), machines(v2=3), record) for now in range(1, 20)]
        self.assertThat(found.index(["v2"]), Equals(int(ABSENT_S) + 1))
        self.assertThat(record_of("s", "v2", record).supersedes(record), Is(True))
        self.assertThat(self.due(versions, 40.0, [], record), Equals([]))

    def test_one_that_was_ordered_is_never_recorded_over(self) -> None:
        for stage in Stage:
            order = Order("s", "v1", 1, "v0", 9.0, stage)
            versions = BaseVersions()
            found = [self.due(versions, float(now), machines(v2=3), order) for now in range(1, 40)]
            self.assertThat(found, Equals([[]] * 39))

    def test_a_look_writes_few_and_only_services_of_the_configuration(self) -> None:
        some = [Entry(f"i{n}", f"s{n}", ("10.0.0.1", 80), "z", "v1", 6, Standing.UP, 1) for n in range(30)]
        named = [f"s{n}" for n in range(20)]
        found = BaseVersions().due(1.0, named, some, lambda _: None)
        self.assertThat(len(found), Equals(WRITES_MOST))
        self.assertThat({record.service for record in found} <= set(named), Is(True))

    def test_kept_and_read_again_a_record_is_no_order(self) -> None:
        record = Order.of(record_of("s", "v1", None).kept())
        self.assertThat((record.given, record.known()), Equals((False, ())))
        self.assertThat(sanctioned(machines(v1=1, v2=5), record), Equals(("v1", None)))
        former = Order.of(["s", "v2", 3, "v1", 9.0, "done", []])  # of a build that wrote no records
        self.assertThat(former.given, Is(True))


class Days(TestCase):
    def test_no_version_runs_that_nobody_ordered_though_most_machines_are_of_it(self) -> None:
        """Guards against review/3: the version with most machines took all requests."""

        async def troubles(day: Day) -> None:
            await asyncio.sleep(KNOWN_S)
            await outnumber(day)

        day = play(troubles, length_s=KNOWN_S + 6.0)
        self.assertThat(builds_run(day, "reads"), Equals({"v1"}))
        self.assertThat(len(day.works.runs), GreaterThan(100))

    def test_nor_once_all_servers_and_proxies_were_started_again(self) -> None:
        async def troubles(day: Day) -> None:
            await asyncio.sleep(KNOWN_S)
            await outnumber(day)
            for ip in (*day.core_ips, *day.front_ips):
                day.kill(ip, 0.2, power=True)
            await asyncio.sleep(4.0)

        day = play(troubles, length_s=KNOWN_S + 10.0)
        self.assertThat(builds_run(day, "reads"), Equals({"v1"}))
        self.assertThat(max(run.at for run in day.works.runs), GreaterThan(KNOWN_S + 6.0))

    def test_an_order_to_the_version_that_all_run_is_done_and_bars_no_other(self) -> None:
        """Guards against an order that was acknowledged, left no version to serve, and never ended."""
        for wait_s in (0.5, KNOWN_S):  # before and after the version is recorded
            seen: list[tuple[int, str]] = []

            async def troubles(day: Day, wait_s: float = wait_s, seen: list[tuple[int, str]] = seen) -> None:
                await asyncio.sleep(wait_s)
                seen.append(((await day.order("GET", "/rolls/reads"))[0], ""))
                await day.order("POST", "/rolls", {"Svc": "reads", "Target": "v1", "Over": "6s"})
                status, text = await day.order("GET", "/rolls/reads")
                seen.append((status, json.loads(text)["Phase"]))
                await asyncio.sleep(2.0)
                seen.append(((await day.order("POST", "/rolls", {"Svc": "reads", "Target": "v2"}))[0], ""))

            day = play(troubles, length_s=wait_s + 4.0)
            self.assertThat(seen, Equals([(404, ""), (200, "done"), (200, "")]), f"{wait_s}")
            late = [run for run in day.works.runs if run.at > wait_s + 1.0 and run.service == "reads"]
            self.assertThat(len(late), GreaterThan(20), f"{wait_s}")


LOSSES = (
    losses.kill_all, losses.lose_power, losses.restart_primary, losses.lose_disk_of_primary,
    losses.lose_disk_and_all_power, losses.lose_disk_of_copy_and_all_power,
)  # fmt: skip


class NewServices(TestCase):
    """A service that has just come, a trouble at once, and more machines of another version alongside."""

    def versions(self, begin: Callable[[Day], Awaitable[None]], kill: Loss, apart_s: float) -> set[str]:
        """Which versions control servers record and proxies send requests to, at the end."""

        async def whole() -> Day:
            day = Day(small(0.0), 1)
            for ip in (*day.core_ips, *day.front_ips):
                day.start(ip)
            await begin(day)
            await kill(day)
            await asyncio.sleep(apart_s)
            kind = next(k for k in day.shape.kinds if k.name == "reads")
            for n in range(5):
                day.machine(kind, f"z{n % 3}", "v2", warm=True)
            await asyncio.sleep(15.0)
            return day

        with logbook.NullHandler().applicationbound():
            day: Day = played(whole())
        found = set()
        for ip in day.core_ips:
            found.add(Order.of(day.hosts[ip][1].keeper.public["roll:reads"][2]).target)
        for ip in day.front_ips:
            found |= {machine.entry.build for machine in day.hosts[ip][1].lines.services["reads"].base}
        return found

    async def machines_then_configuration(self, day: Day) -> None:
        """The machines have beaten for long as a configuration adds their service."""
        without = day.plan(1)
        without["Hosts"][0]["Vroutes"] = [r for r in without["Hosts"][0]["Vroutes"] if r["Svc"] != "reads"]
        without["Svcs"] = [s for s in without["Svcs"] if s["Name"] != "reads"]
        await self.old_machines(day)
        self.assertThat((await day.order("PUT", "/cfg", without))[0], Equals(200))
        await asyncio.sleep(10.0)
        self.assertThat((await day.order("PUT", "/cfg", day.plan(2)))[0], Equals(200))

    async def configuration_then_machines(self, day: Day) -> None:
        """The first machine's first beat is acknowledged a moment ago."""
        self.assertThat((await day.order("PUT", "/cfg", day.plan(1)))[0], Equals(200))
        await asyncio.sleep(8.0)
        machine = (await self.old_machines(day))[0]
        while not (await day.call("PUT", f"/machines/{machine.iid}", day.beat(machine)))[0]:
            await asyncio.sleep(0.05)

    async def old_machines(self, day: Day) -> list[Machine]:
        kind = next(k for k in day.shape.kinds if k.name == "reads")
        return [day.machine(kind, f"z{n}", "v1", warm=True) for n in range(3)]

    def test_a_restart_beside_a_new_service_lets_no_version_in_that_nobody_ordered(self) -> None:
        """Guards against review/5: after it a count chose the version, and recorded it for good."""
        for begin in (self.machines_then_configuration, self.configuration_then_machines):
            for kill in LOSSES:
                for apart_s in (0.1, 2.0):
                    found = self.versions(begin, kill, apart_s)
                    self.assertThat(found, Equals({"v1"}), f"{begin.__name__} {kill.__name__} {apart_s}")
