"""Which version a service runs while nobody has ordered one: that of its first machine, recorded durably.

Counted anew at each look, the version would change without an order as machines come and go, and a count for
good would depend on its moment (rule ROUTE). So the first beat of a service's first machine is acknowledged
once its version is recorded (`first`). `due` names records that are lacking all the same, and those whose
version has no machine left; both go by seniority, never by number. No I/O here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from pinward.directory.entry import Entry, Standing
from pinward.directory.sanctioned import senior_version
from pinward.trial.order import Order, record_of

ABSENT_S = 10.0  # s without any machine of a remembered version until another version is remembered
LOOK_S = 1.0  # s between looks at all machines
RECORDS_MOST = 2048  # keys of the control state beyond which first machines bring no further records
WRITES_MOST = 8  # records a look: hundreds of services that start at once are spread


class BaseVersions:
    def __init__(self) -> None:
        self.look_at = 0.0
        self.absent_since: dict[str, float] = {}  # by service

    def look_is_due(self, now: float) -> bool:
        """True once every `LOOK_S`: whoever asks looks then."""
        if now < self.look_at:
            return False
        self.look_at = now + LOOK_S
        return True

    def due(
        self,
        now: float,
        services: Iterable[str],
        entries: Iterable[Entry],
        order_of: Callable[[str], Order | None],
    ) -> list[Order]:
        """Records to write for these services, by the machines that there are and each one's last order."""
        machines: dict[str, list[Entry]] = {service: [] for service in services}
        for entry in entries:
            if entry.standing is not Standing.GONE and entry.service in machines:
                machines[entry.service].append(entry)
        found = []
        for service, some in machines.items():
            last = order_of(service)
            if last is None or (not last.given and self.is_absent(now, last, some)):
                record = record_of(service, senior_version(some), last)
                if record.target:
                    found.append(record)
        self.absent_since = {name: at for name, at in self.absent_since.items() if name in machines}
        return found[:WRITES_MOST]

    @staticmethod
    def first(entry: Entry, known: Iterable[Entry]) -> Order:
        """The record to write as a machine of a service without order or record beats."""
        others = [one for one in known if one.service == entry.service]
        return record_of(entry.service, senior_version([*others, entry]), None)

    def is_absent(self, now: float, record: Order, machines: list[Entry]) -> bool:
        """True where the version has had no machine for long, and another has some."""
        builds = Counter(entry.build for entry in machines)
        if builds[record.target] or not builds:
            self.absent_since.pop(record.service, None)
            return False
        return now - self.absent_since.setdefault(record.service, now) > ABSENT_S

