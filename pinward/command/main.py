"""The command's groups, and how its faults are told."""

from __future__ import annotations

import sys
import tomllib
from importlib import metadata
from pathlib import Path
from typing import Any

import click

from pinward import logs
from pinward.command.cells import cells
from pinward.command.keys import keys
from pinward.command.lead import lead
from pinward.command.owners import owners
from pinward.command.shown import NotHeldError
from pinward.settings import FaultyFileError

EXAMPLES = """
\b
Examples:
  pinward front                          the front, as bare `python -m pinward`
  pinward check /etc/pinward/i1.conf     is the file right?
  pinward lead run /etc/pinward/i1.conf  one control instance
  pinward lead status --json i1.conf
"""


def version() -> str:
    """As pyproject.toml tells it: of the installed package, or of the tree this runs in."""
    try:
        return metadata.version("pinward")
    except metadata.PackageNotFoundError:
        project = Path(__file__).parents[2] / "pyproject.toml"
        return tomllib.loads(project.read_text())["project"]["version"] if project.exists() else "unknown"


@click.group(epilog=EXAMPLES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(version(), prog_name="pinward")
def pinward() -> None:
    """Routes txns while a fleet's software is replaced, and decides on staged releases."""


@pinward.command()
def front() -> None:
    """Runs a front, told its place by ROUTER_CONFIG."""
    from pinward.__main__ import main

    sys.exit(main())


@pinward.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Checks a settings file and starts nothing."""
    from pinward.lead.office import LeadFile
    from pinward.settings import read

    office = read(file, LeadFile)
    members = len(office.member)
    click.echo(f"{file}: right; instance {office.name} of {office.installation}, {members} members")


@pinward.command(
    context_settings={"ignore_unknown_options": True, "help_option_names": []}, add_help_option=False
)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def gateway(words: tuple[str, ...]) -> None:
    """Checks and shows what the gateway is told: `pinward gateway --help`."""
    try:
        from pinward.command.gateway import run
    except ImportError:
        raise click.ClickException("the gateway's words need the extras gateway and operators") from None
    sys.exit(run(list(words)))


for group in (lead, keys, cells, owners):
    pinward.add_command(group)


def run(words: list[str] | None = None) -> int:
    """Runs the command with these words, or those of the process; the exit status."""
    logs.start()
    try:
        done: Any = pinward.main(args=words, prog_name="pinward", standalone_mode=False)
    except click.exceptions.Exit as end:
        return end.exit_code
    except click.Abort:
        return 1
    except click.ClickException as fault:
        fault.show()
        return 2
    except FaultyFileError as fault:
        click.echo(str(fault), err=True)
        return 2
    except NotHeldError as fault:
        click.echo(f"pinward: {fault}", err=True)
        return 1
    return done if isinstance(done, int) else 0
