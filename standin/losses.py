"""Losses in a simulated day: kills, power, disks, freezes of control servers; and all of these at once."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from standin.exchange_day import Day

DOWN_S = 0.05  # s until a killed process begins to start: it is back within half a second
AWAY_S = 4.0  # s for which a primary that is killed stays away
FROZEN_S = 2.0  # s for which one that is frozen stands still

Loss = Callable[[Day], Awaitable[None]]


def primary_of(day: Day) -> str:
    """The primary's address, or some control server's where none leads."""
    return day.primary() or day.core_ips[0]


async def nothing(day: Day) -> None:
    """No loss."""


async def kill_all(day: Day) -> None:
    for ip in day.core_ips:
        day.kill(ip, DOWN_S)


async def lose_power(day: Day) -> None:
    for ip in day.core_ips:
        day.kill(ip, DOWN_S, power=True)


async def kill_primary(day: Day) -> None:
    day.kill(primary_of(day), AWAY_S)


async def restart_primary(day: Day) -> None:
    day.kill(primary_of(day), DOWN_S)


async def lose_disk_of_primary(day: Day) -> None:
    """The other control servers are killed, and keep their disks."""
    lead = primary_of(day)
    for ip in day.core_ips:
        day.kill(ip, DOWN_S, wipe=ip == lead)


async def lose_all_power(day: Day) -> None:
    """Control servers and proxies: whatever memory alone held is gone."""
    for ip in (*day.core_ips, *day.front_ips):
        day.kill(ip, DOWN_S, power=True)


async def lose_disk_and_all_power(day: Day) -> None:
    """The primary's disk is lost as everything else loses power, the proxies too."""
    lead = primary_of(day)
    for ip in (*day.core_ips, *day.front_ips):
        day.kill(ip, DOWN_S, power=True, wipe=ip == lead)


async def lose_disk_of_copy_and_all_power(day: Day) -> None:
    """The same, with the disk of a control server that does not lead."""
    lead = primary_of(day)
    lost = next(ip for ip in day.core_ips if ip != lead)
    for ip in (*day.core_ips, *day.front_ips):
        day.kill(ip, DOWN_S, power=True, wipe=ip == lost)


async def freeze_primary(day: Day) -> None:
    day.freeze(primary_of(day), FROZEN_S)


ALL: tuple[Loss, ...] = (
    nothing, kill_all, lose_power, kill_primary, restart_primary, lose_disk_of_primary,
    lose_all_power, lose_disk_and_all_power, lose_disk_of_copy_and_all_power, freeze_primary,
)  # fmt: skip
OF_A_DISK = frozenset((lose_disk_of_primary, lose_disk_and_all_power, lose_disk_of_copy_and_all_power))
