"""Writes drawn days as files that the users' bench plays."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Any

from standin.day_draw import draw, leaving, paired, planned
from standin.day_series import series


def word(value: Any) -> str:
    """A value as TOML has it: text, numbers, true or false, lists and inline tables of these."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{name} = {word(one)}" for name, one in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(word(one) for one in value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return repr(value)


def spell(day: dict[str, Any]) -> str:
    """A day as a file that the bench's `run` takes, a trouble on each line."""
    lines = []
    for name, value in day.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines += [f"{name} = [", *(f"  {word(row)}," for row in value), "]"]
        else:
            lines.append(f"{name} = {word(value)}")
    return "\n".join(lines) + "\n"


class Sort(Enum):
    """What a drawn day is made of."""

    ALL = "all"
    PAIRS = "pairs"
    WORK = "work"
    LEAVING = "leaving"
    SERIES = "series"


def write(
    site: dict[str, Any], seeds: range, into: Path, sort: Sort = Sort.ALL, times: int = 1
) -> list[Path]:  # fmt: skip
    """Writes a day a seed into a folder; returns the files. Days of pairs have one length."""
    into.mkdir(parents=True, exist_ok=True)
    makers = {Sort.ALL: draw, Sort.WORK: planned, Sort.LEAVING: leaving, Sort.SERIES: series}
    files = []
    for seed in seeds:
        day = paired(site, seed) if sort is Sort.PAIRS else makers[sort](site, seed, times)
        files.append(into / f"{site['name']}-{day['name']}.toml")
        files[-1].write_text(spell(day))
    return files
