"""`pinward owners`: who owns which work for the fleet; runs a member, moves work, and plays trials."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Any

import click

from pinward import logs
from pinward.command.shown import FILE, INTO, JSON, NotHeldError, ask, keep, rig, show
from pinward.lead.office import LeadFile
from pinward.lead.store import StoreError
from pinward.owners.file import MemberFile
from pinward.settings import read
from pinward.signals import told_of

MEMBER = click.argument("member_file", metavar="MEMBER", type=click.Path())


def at_instance(file: str, **asked: object) -> dict[str, Any]:
    """What the instance of a settings file answers."""
    office = read(file, LeadFile)
    return ask(office.state, f"instance {office.name}", do="owners", **asked)


@click.group()
def owners() -> None:
    """One owner at a time for work on behalf of the fleet."""


@owners.command("show")
@FILE
@JSON
def show_(file: str, as_json: bool) -> None:
    """Who owns what by an instance's log; at the leader also which members are heard."""
    answer = at_instance(file, what="show")
    if as_json or "error" in answer:
        show(answer, as_json)
        return
    from rich.console import Console
    from rich.table import Table

    parts = Table("part", "owner", "token", "step", title="parts")
    for part, (owner, token, step, ended) in answer["parts"].items():
        parts.add_row(part, owner or "nobody", str(token), "ended" if ended else str(step))
    for part in answer["unowned"]:
        if part not in answer["parts"]:
            parts.add_row(part, "nobody yet", "-", "-")
    Console().print(parts)
    if answer["leads"]:
        members = Table("member", "stand", "zone", "capacity", "owns", "heard s ago", title="members")
        for name, m in answer["members"].items():
            facts = m["stand"], m["zone"] or "-", m["capacity"], m["owns"], m["heard_s_ago"]
            members.add_row(name, *map(str, facts))
        Console().print(members)


@owners.command()
@FILE
@JSON
def check(file: str, as_json: bool) -> None:
    """Checks an instance's file, and prints the times that its settings come to."""
    office = read(file, LeadFile)
    if office.owners is None:
        raise NotHeldError(f"{file}: the settings have no owners")
    bounds = office.owners.bounds(office.wait, office.beat, office.skew)
    facts: dict[str, Any] = {name: round(value, 3) for name, value in bounds.items()}
    facts["told_takeover_s"] = office.owners.takeover
    facts["parts"] = {duty.name: len(duty.names()) for duty in office.owners.duties}
    show(facts, as_json, title=f"owners of {office.installation}")


@owners.command()
@FILE
@click.argument("part")
@click.option("--to", required=True, help="the member that is to own it")
@JSON
def move(file: str, part: str, to: str, as_json: bool) -> None:
    """Hands a part over to a member, at the leader: the owner stops, then the next begins.

    \b
    Example: pinward owners move i1.conf probe/3 --to f2
    """
    show(at_instance(file, what="move", part=part, to=to), as_json)


@owners.command("open")
@FILE
@click.argument("part")
@click.option("--note", default="", help="the checkpoint to begin from")
@JSON
def open_(file: str, part: str, note: str, as_json: bool) -> None:
    """Begins a piece of one-off work, at the leader: whoever comes to own it goes on from its record."""
    show(at_instance(file, what="open", part=part, note=note), as_json)


@owners.command()
@FILE
@click.option("--most", type=click.IntRange(1, 1000), default=50, show_default=True)
@JSON
def history(file: str, most: int, as_json: bool) -> None:
    """The last changes of ownership that an instance took in: epoch, what, part, member, token, why."""
    answer = at_instance(file, what="history", most=most)
    if as_json or "error" in answer:
        show(answer, as_json)
        return
    for epoch, what, part, member, token, why in answer["history"]:
        click.echo(f"epoch {epoch}  {what:8}  {part or '-':20}  {member or '-':12}  token {token}  {why}")


@owners.command()
@MEMBER
@click.argument("part")
@JSON
def release(member_file: str, part: str, as_json: bool) -> None:
    """Has a member give up a part that it owns, once its last effect is answered."""
    told = read(member_file, MemberFile)
    show(ask(told.state, f"member {told.name}", do="release", part=part), as_json)


@owners.command()
@MEMBER
@JSON
def status(member_file: str, as_json: bool) -> None:
    """What a member owns, and until when."""
    told = read(member_file, MemberFile)
    show(ask(told.state, f"member {told.name}", do="status"), as_json)


@owners.command()
@MEMBER
def run(member_file: str) -> int:
    """Runs a member in the foreground that probes nodes where its file tells so; SIGTERM hands over.

    \b
    Example: pinward owners run m1.conf
    """
    from pinward.owners.process import Process
    from pinward.owners.watchers import register

    told = told_of(signal.SIGTERM, signal.SIGINT)
    file = read(member_file, MemberFile)
    log = logs.logger(member=file.name)
    try:
        return Process(file, log, lambda tasks, member: register(tasks, member, file, log)).run(told)
    except (StoreError, OSError) as fault:
        raise NotHeldError(str(fault)) from None


@owners.command()
@click.option("--steps", type=click.IntRange(1), default=60_000, show_default=True, help="states at most")
@click.option(
    "--plant", type=click.Choice(["none", "fence", "lease", "grant", "incarnation"]), default="none"
)
@JSON
def model(steps: int, plant: str, as_json: bool) -> int:
    """Explores core, owners, target and words exhaustively within bounds that it prints; exit 1 if broken."""
    from pinward.owners.model import explore

    found = explore(steps, plant)
    show(found, as_json)
    return 1 if found["broken"] else 0


@owners.command()
@click.option("--seeds", type=click.IntRange(1), default=4, show_default=True)
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="the first seed")
@click.option("--seconds", type=click.FloatRange(1.0), default=30.0, show_default=True, help="of faults")
@INTO
def trial(seeds: int, first: int, seconds: float, into: Path | None) -> int:
    """Runs control instances, members and targets on loopback under faults, and checks what targets saw."""
    figures = rig("owners_trial").play_all(range(first, first + seeds), seconds, sys.stderr)
    keep(figures, into)
    show({name: value for name, value in figures.items() if name != "runs"}, as_json=False)
    return 1 if any(figures["broken"].values()) or figures["never_struck"] else 0


@owners.command()
@click.option("--sizes", default="10x100,100x1000,500x10000", show_default=True, help="members x parts")
@INTO
def scale(sizes: str, into: Path | None) -> None:
    """Measures takeover, moves, words and processor time at several sizes, in simulated time."""
    try:
        wanted = [tuple(map(int, size.split("x"))) for size in sizes.split(",")]
    except ValueError:
        raise click.UsageError(f"sizes are as 10x100 with commas, not {sizes!r}") from None
    keep(rig("owners_scale").measure(wanted, sys.stdout), into)
