"""What members do for the fleet where their file tells so: probing nodes, in a front or as a process alone.

In a front (`PINWARD_OWNERS`) the nodes are those of its list, and one that an owner's probe finds unwell is
set aside there as one that this front could not reach. Alone (`pinward owners run`) the nodes stand in the
member's file. Without the setting a front loads none of this.
"""

from __future__ import annotations

from typing import Any

from pinward.lead.store import StoreError
from pinward.net.scheduler import Scheduler
from pinward.owners.file import MemberFile
from pinward.owners.member import Member
from pinward.owners.probing import Probing
from pinward.settings import read


def register(tasks: Scheduler, member: Member, told: MemberFile, log: Any) -> Probing | None:
    """The work of a member that is a process of its own."""
    if told.probe is None:
        return None

    def changed(node: str, well: bool) -> None:
        log.info("node", node=node, well=well)

    p = told.probe
    nodes = {node.name: node.address for node in p.node}
    return Probing(tasks, member, p.name, p.parts, p.period, p.path, lambda: nodes, changed)


class FrontLog:
    """The front's own log, which never waits for its reader, as members use one."""

    def __init__(self, front: Any) -> None:
        self.front = front

    def info(self, event: str, **facts: Any) -> None:
        self.front.log.say(event, **facts)

    error = info


class FrontDuties:
    """A front as a member: what it owns for others, and what it hears of nodes."""

    def __init__(self, told: MemberFile) -> None:
        self.told = told
        self.member: Member | None = None
        self.probing: Probing | None = None

    def join(self, front: Any) -> None:
        """Begins to renew on the front's scheduler, once it has its list."""
        try:
            self.member = Member(front.tasks, self.told, FrontLog(front))
        except StoreError as fault:  # its own txns go on all the same
            front.log.say("owners-off", why=str(fault))
            return
        if self.told.probe is not None:
            p = self.told.probe
            self.probing = Probing(
                front.tasks, self.member, p.name, p.parts, p.period, p.path, front.known_nodes, front.probed
            )
        front.tasks.spawn(self.member.run)

    def leave(self) -> None:
        if self.member is not None:
            self.member.leave()


def open_duties(path: str) -> FrontDuties:
    """The duties that a member's file tells a front of; raises FaultyFileError."""
    return FrontDuties(read(path, MemberFile))
