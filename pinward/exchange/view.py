"""What control fronts agree on: views, what the disk holds, what is a majority, and the protocol's times.

A view names an epoch, its primary, the copies and the voters. Where it changes the voters it names the former
ones too, until it is known to be chosen: it is chosen once a majority of each set has accepted it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from pinward.plan.fault_tolerance import Locality

BEAT_S = 0.15  # s between a primary's beats: six fit into a voter's patience
ALIVE_S = 0.8  # s after a beat in which a voter helps nobody else to lead: a read's lease rests on it
LEASE_S = 0.6  # s after a beat was sent in which a majority's answer to it lets the primary act
PATIENCE_S = 0.9  # s without a beat until a copy stands
SPREAD_S = 0.35  # s, drawn on top: two copies rarely stand at once
ROUND_S = 0.6  # s until an attempt to lead is given up, and until a copy's answer is missed
BACK_S = 0.1  # s after its start until a former primary stands: links come up meanwhile
FREE_S = 0.1  # s, drawn, until a copy stands whose primary gave up
TIE_S = 0.3  # s, drawn, until one that lost an epoch to a tie stands again: two rarely draw alike
PRE_VOTE_S = 0.3  # s for a majority to say that it would help: only then an epoch is used up
GATHER_S = 0.12  # s more, once a majority promised, for enough copies to answer
PAUSE_S = 0.5  # s between two changes of view by a primary that lasts
DISK_S = 0.7  # s that the primary's own disk may take until another leads
SILENT_S = 2.5  # s without an answer until a voter's seat goes to a standby: a process is back in one
LEAVING_S = 0.6  # s that a machine's word that it must end counts: it is said anew each beat
GOING_S = 1.0  # s in which a machine that may end counts as gone, though it still answers
LATER_S = 0.4  # s more until one that must end stands: one that stays comes first
TELL_S = 1.0  # s between two words to one that the primary does not know
FORGET_S = 60.0  # s unheard until one that is no voter is dialled no longer
ASK_ITEMS_S = 0.3  # s between two words to the primary on all that is held here: its answer is on its way
DIFFERS_S = 2.0  # s that a machine may hold other items than the primary until an event says so
ITEMS_MOST = 4096  # keys of the control state
PEERS_MOST = 64  # control fronts that one word may name

Stamp = tuple[int, int]  # epoch and number of a write
Word = dict[str, Any]


class Role(Enum):
    FOLLOWING = auto()
    PREPARING = auto()
    TRANSFERRING = auto()
    ACCEPTING = auto()
    PRIMARY = auto()


MOVES = {
    Role.FOLLOWING: (Role.PREPARING,),
    Role.PREPARING: (Role.TRANSFERRING, Role.ACCEPTING, Role.FOLLOWING),
    Role.TRANSFERRING: (Role.ACCEPTING, Role.FOLLOWING),
    Role.ACCEPTING: (Role.PRIMARY, Role.FOLLOWING),
    Role.PRIMARY: (Role.PREPARING, Role.FOLLOWING),
}


def majority(some: Iterable[str], voters: tuple[str, ...]) -> bool:
    """True where `some` are more than half of the voters."""
    return 2 * len(set(some) & set(voters)) > len(voters)


@dataclass(frozen=True)
class View:
    """Who holds the state in an epoch, and who votes on the next."""

    epoch: int
    primary: str
    copies: tuple[str, ...]
    voters: tuple[str, ...]
    former: tuple[str, ...] = ()  # the voters before, until the view is known to be chosen

    def plain(self) -> list[Any]:
        return [self.epoch, self.primary, list(self.copies), list(self.voters), list(self.former)]

    @classmethod
    def of(cls, plain: list[Any]) -> View:
        """A view as it was written, also before views named former voters."""
        return cls(plain[0], plain[1], *(tuple(names) for names in plain[2:5]))

    def quorum(self, some: Iterable[str]) -> bool:
        """True where `some` hold a majority of the voters, and of the former ones."""
        some = set(some)
        return majority(some, self.voters) and (not self.former or majority(some, self.former))

    def members(self) -> set[str]:
        return {*self.voters, *self.former, *self.copies}

    def settled(self) -> View:
        """The same view, known to be chosen."""
        return View(self.epoch, self.primary, self.copies, self.voters)

    def newer(self, other: View) -> bool:
        """True where this says more than the other: a later epoch, or the same known to be chosen."""
        return (self.epoch, not self.former) > (other.epoch, not other.former)


@dataclass
class Kept:
    """What the disk holds."""

    promised: int
    view: View
    blank: bool
    items: dict[str, list[Any]] = field(default_factory=dict)  # key: epoch, number, value
    localities: dict[str, Locality] = field(default_factory=dict)  # of control servers, as they told them

    def plain(self) -> dict[str, Any]:
        return {
            "promised": self.promised,
            "view": self.view.plain(),
            "blank": self.blank,
            "items": self.items,
            "localities": self.localities,
        }

    @classmethod
    def of(cls, plain: dict[str, Any]) -> Kept:
        """What was kept, also by a build that knew no localities."""
        places = localities_of(plain.get("localities", {}))
        return cls(plain["promised"], View.of(plain["view"]), plain["blank"], plain["items"], places)


def localities_of(plain: Any) -> dict[str, Locality]:
    """Localities by server, as JSON has them; what is none is left out."""
    found = {}
    for name, place in plain.items() if isinstance(plain, dict) else ():
        match place:
            case [str(zone), str(region)]:
                found[name] = Locality(zone, region)
    return found


def newest(items: dict[str, list[Any]]) -> Stamp:
    return max(((item[0], item[1]) for item in items.values()), default=(0, 0))
