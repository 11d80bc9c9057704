"""`pinward lead`: runs an instance, and speaks with one that runs through its control socket."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Any

import click
import orjson

from pinward import logs
from pinward.command.shown import FILE, INTO, JSON, NotHeldError, ask, keep, rig, show
from pinward.lead.ledger import Act, Ledger
from pinward.lead.office import LeadFile
from pinward.lead.store import Store, StoreError
from pinward.owners.book import Book
from pinward.settings import read
from pinward.signals import told_of

def asked_of(file: str, **asked: object) -> dict[str, Any]:
    """What the instance of a settings file answers; raises NotHeldError where it does not run."""
    office = read(file, LeadFile)
    return ask(office.state, f"instance {office.name}", **asked)


def state_of(path: Path, stages: int) -> dict[str, Any]:
    """The state that `snapshot --json` printed into a file."""
    try:
        state = orjson.loads(path.read_bytes())["state"]
        return {**Ledger.of(stages, state).plain(), "duties": Book.of(state.get("duties")).plain()}
    except (OSError, ValueError, KeyError, TypeError) as fault:
        raise click.UsageError(f"{path}: holds no snapshot: {fault!r}") from None


@click.group()
def lead() -> None:
    """Several control instances that reach one decision."""


@lead.command()
@FILE
@click.option("--new", is_flag=True, help="begin an installation with the members of FILE")
@click.option("--join", is_flag=True, help="join one that runs; then `members --add` at its leader")
@click.option("--from", "snapshot", type=click.Path(exists=True, path_type=Path),
              help="with --new: go on from what `snapshot --json` printed")  # fmt: skip
def run(file: str, new: bool, join: bool, snapshot: Path | None) -> int:
    """Runs an instance in the foreground; SIGTERM hands over and ends it.

    \b
    Example: pinward lead run --new i1.conf
    """
    from pinward.lead.instance import Instance

    if new and join:
        raise click.UsageError("--new and --join do not go together")
    if snapshot and not new:
        raise click.UsageError("--from goes with --new")
    office = read(file, LeadFile)
    state = state_of(snapshot, len(office.stage)) if snapshot else None
    told = told_of(signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
    log = logs.logger(instance=office.name)
    store = Store(office.state)
    try:
        if new or join:
            store.create(office.founding(joins=join), founds=new, state=state)
        else:
            store.open()
        return Instance(office, store, log).run(told)
    except (StoreError, OSError) as fault:
        raise NotHeldError(str(fault)) from None


@lead.command()
@FILE
@JSON
def status(file: str, as_json: bool) -> None:
    """What an instance knows of itself, its peers and those that apply."""
    show(asked_of(file, do="status"), as_json)


@lead.command("yield")
@FILE
@JSON
def yield_(file: str, as_json: bool) -> None:
    """Has the leader hand over to the most caught-up instance."""
    show(asked_of(file, do="yield"), as_json)


@lead.command()
@FILE
@click.option("--add", nargs=2, metavar="NAME HOST:PORT", help="as one that learns; it votes once caught up")
@click.option("--remove", metavar="NAME")
@JSON
def members(file: str, add: tuple[str, str] | None, remove: str | None, as_json: bool) -> None:
    """Shows the members, or changes one at a time, at the leader.

    \b
    Example: pinward lead members --add i4 10.0.0.4:7001 i1.conf
    """
    from pinward.settings.values import address

    if add and remove:
        raise click.UsageError("one change at a time")
    if add:
        try:
            address(add[1])
        except ValueError as fault:
            raise click.UsageError(str(fault)) from None
    asked = {"add": add} if add else {"remove": remove} if remove else {}
    show(asked_of(file, do="members", **asked), as_json)


@lead.command()
@FILE
@click.option("--since", type=int, help="show entries after this index")
@JSON
def log(file: str, since: int | None, as_json: bool) -> None:
    """Shows the end of an instance's log."""
    show(asked_of(file, do="log", **({} if since is None else {"since": since})), as_json)


@lead.command()
@FILE
@JSON
def snapshot(file: str, as_json: bool) -> None:
    """Folds an instance's log now, and prints the state it comes to."""
    show(asked_of(file, do="snapshot"), as_json)


@lead.command()
@FILE
@click.argument("act", type=click.Choice([act.value for act in Act]))
@click.option("--id", "name", required=True, help="identity: the same one again decides nothing new")
@click.option("--release", type=click.IntRange(0), default=0)
@click.option("--stage", type=click.IntRange(0), default=0)
@click.option("--share", type=click.FloatRange(0.0, 1.0), default=1.0)
@click.option("--node", default="")
@JSON
def decide(
    file: str, act: str, name: str, release: int, stage: int, share: float, node: str, as_json: bool
) -> None:
    """Puts a decision into the log, at the leader, and waits until it is committed.

    \b
    Example: pinward lead decide --id offer-42 --release 42 i1.conf offer
    """
    facts = {"id": name, "act": act, "release": release, "stage": stage, "share": share, "node": node}
    show(asked_of(file, do="decide", **facts), as_json)


@lead.command()
@click.option("--instances", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--steps", type=click.IntRange(1), default=60_000, show_default=True, help="states at most")
@click.option("--plant", type=click.Choice(["none", "fence", "lease", "vote"]), default="none")
@JSON
def model(instances: int, steps: int, plant: str, as_json: bool) -> int:
    """Explores the core exhaustively within bounds that it prints; exit 1 where something breaks."""
    from pinward.lead.model import explore

    found = explore(instances, steps, plant)
    show(found, as_json)
    return 1 if found["broken"] else 0


@lead.command()
@click.option("--seeds", type=click.IntRange(1), default=4, show_default=True)
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="the first seed")
@click.option("--instances", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0), default=20.0, show_default=True, help="of faults")
@INTO
def trial(seeds: int, first: int, instances: int, seconds: float, into: Path | None) -> int:
    """Runs real instances on loopback under pauses, cuts, kills and restarts, and checks what was applied."""
    figures = rig("lead_trial").play_all(range(first, first + seeds), instances, seconds, sys.stderr)
    keep(figures, into)
    show({name: value for name, value in figures.items() if name != "runs"}, as_json=False)
    return 1 if any(figures["broken"].values()) or figures["never_struck"] else 0


@lead.command()
@click.option("--sizes", default="3,5,7,9", show_default=True, help="instances, in simulated time")
@click.option("--listeners", type=click.IntRange(0, 4000), default=1000, help="on loopback")
@INTO
def scale(sizes: str, listeners: int, into: Path | None) -> None:
    """Measures gaps and words at several sizes, and how late decisions reach many listeners."""
    try:
        wanted = [int(size) for size in sizes.split(",")]
    except ValueError:
        raise click.UsageError(f"sizes are whole numbers with commas, not {sizes!r}") from None
    keep(rig("lead_scale").measure(wanted, listeners, sys.stdout), into)
