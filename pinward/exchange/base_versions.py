"""Which version a service runs while nobody has ordered one: recorded durably once its machines are known.

Counted anew at each look, the version would change without an order as machines come and go (rule ROUTE). No
I/O here: `due` names the records that the primary is to write.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from pinward.directory.entry import Entry, Standing
from pinward.directory.sanctioned import base_of
from pinward.trial.order import Order, record_of

ABSENT_S = 10.0  # s without any machine of a remembered version until another version is remembered
LOOK_S = 1.0  # s between looks at all machines
WRITES_MOST = 8  # records a look: hundreds of services that start at once are spread


class BaseVersions:
    def __init__(self) -> None:
        self.look_at = 0.0
        self.absent_since: dict[str, float] = {}  # by service

    def due(
        self,
        now: float,
        services: Iterable[str],
        entries: Iterable[Entry],
        order_of: Callable[[str], Order | None],
    ) -> list[Order]:
        """Records to write for these services, by the machines that there are and each one's last order."""
        if now < self.look_at:
            return []
        self.look_at = now + LOOK_S
        machines: dict[str, list[Entry]] = {service: [] for service in services}
        for entry in entries:
            if entry.standing is not Standing.GONE and entry.service in machines:
                machines[entry.service].append(entry)
        found = []
        for service, some in machines.items():
            last = order_of(service)
            if last is None or (not last.given and self.is_absent(now, last, some)):
                record = record_of(service, base_of(some), last)
                if record.target:
                    found.append(record)
        self.absent_since = {name: at for name, at in self.absent_since.items() if name in machines}
        return found[:WRITES_MOST]

    def is_absent(self, now: float, record: Order, machines: list[Entry]) -> bool:
        """True where the version has had no machine for long, and another has some."""
        builds = Counter(entry.build for entry in machines)
        if builds[record.target] or not builds:
            self.absent_since.pop(record.service, None)
            return False
        return now - self.absent_since.setdefault(record.service, now) > ABSENT_S

