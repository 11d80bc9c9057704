"""`pinward keys`: a small authority and certificates for a trial."""

from __future__ import annotations

from pathlib import Path

import click

from pinward.settings import values


class Life(click.ParamType):
    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> float:
        try:
            return values.seconds(value)
        except ValueError as fault:
            self.fail(str(fault), param, ctx)


@click.group()
def keys() -> None:
    """Makes an authority and certificates for a trial; an installation brings its own."""


@keys.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("names", nargs=-1, required=True)
@click.option("--life", type=Life(), default="30d", show_default=True, help="how long certificates count")
def make(folder: Path, names: tuple[str, ...], life: float) -> None:
    """Makes keys for NAMES in FOLDER, with the authority there, or a new one.

    \b
    Example: pinward keys make keys i1 i2 i3
    """
    from pinward.lead.keys import make_authority, make_keys, open_authority

    if (folder / "authority.key").exists():
        try:
            authority = open_authority(folder)
        except (OSError, ValueError) as fault:
            raise click.ClickException(f"{folder}: {fault}") from None
    else:
        authority = make_authority(folder, life)
    for name in names:
        make_keys(folder, authority, name, life)
    click.echo(f"{folder}: authority.pem, and a certificate and a key for each of {', '.join(names)}")
