"""`pinward gateway`: checks, shows and tells what operators ask of the gateway. On defopt.

Exit 0: done; 1: what was asked did not hold or nobody answered; 2: wrong words or a faulty file.
"""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import defopt

from pinward.annunciator import EVENTS
from pinward.command.gateway_experiments import EXPERIMENTS
from pinward.command.shown import NotHeldError
from pinward.plan.boot import read_boot
from pinward.plan.schema import plan_of

PAGE = Path(__file__).parents[2] / "docs" / "operate" / "events.md"
ANSWER_S = 3.0  # s for an exchange to answer


def catalogue() -> str:
    """The page of events, as the table in the program has them."""
    lines = [
        "# Events of the gateway",
        "",
        "Made by `pinward gateway events --page` from `pinward/annunciator.py`. A line of the log is the",
        "time, the machine, the level, then number and name of the event and its facts.",
        "",
        "| number | level | event | what it means | what to do |",
        "| --- | --- | --- | --- | --- |",
    ]
    for number, event in sorted(EVENTS.items()):
        cells = (str(number), event.level.lower(), event.name, event.meaning, event.action)
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def events(number: int | None = None, *, page: bool = False, as_json: bool = False) -> int:
    """Tells what an event's number means, or all of them.

    :param number: the event; all where none is named
    :param page: prints the page docs/operate/events.md
    :param as_json: prints JSON
    """
    if page:
        print(catalogue(), end="")
        return 0
    if number is not None and number not in EVENTS:
        print(f"pinward: no event has the number {number}", file=sys.stderr)
        return 2
    some = {number: EVENTS[number]} if number is not None else EVENTS
    if as_json:
        print(json.dumps({n: event._asdict() for n, event in some.items()}))
        return 0
    for n, event in sorted(some.items()):
        print(f"{n}  {event.name}: {event.meaning} What to do: {event.action}")
    return 0


def check(file: Path, *, settings: bool = False) -> int:
    """Checks a configuration, and starts and sends nothing.

    :param file: the configuration, as an operator would put it
    :param settings: the file is a process's settings file instead
    """
    if settings:
        boot = read_boot({"PINWARD_BOOT": str(file)})
        if boot.is_err():
            print(boot.unwrap_err(), file=sys.stderr)
            return 2
        told = boot.unwrap()
        print(f"{file}: right; {told.name} at {told.ip}, {len(told.peers)} peers")
        return 0
    try:
        plan = plan_of(file.read_bytes()).map_err(lambda fault: f"{file}: {fault}")
    except OSError as why:
        print(f"{file}: cannot be read: {why}", file=sys.stderr)
        return 2
    if plan.is_err():
        print(plan.unwrap_err(), file=sys.stderr)
        return 2
    taken = plan.unwrap()
    print(f"{file}: right; version {taken.version:08x}, {len(taken.services)} services, {taken.size} routes")
    return 0


def asked(exchange: str, path: str) -> Any:
    """The answer of an exchange; None where it is none, which is told."""
    status, told = ask(exchange, path)
    if status == 200:
        return told
    print(f"pinward: {exchange}: {status or 'no answer'}: {told}", file=sys.stderr)
    return None


def ask(exchange: str, path: str) -> tuple[int, Any]:
    try:
        with urllib.request.urlopen(f"http://{exchange}{path}", timeout=ANSWER_S) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as fault:
        return fault.code, fault.read().decode("utf-8", "replace")
    except (OSError, ValueError) as fault:
        return 0, str(fault)


def show(exchange: str, *, as_json: bool = False) -> int:
    """Shows the configuration in force, as an exchange answers it.

    :param exchange: where it serves operators, host:port
    :param as_json: prints it whole, as it was put
    """
    told = asked(exchange, "/cfg")
    if told is None:
        return 1
    if as_json:
        print(json.dumps(told))
        return 0
    print(f"version {told['Ver']}")
    for host in told["Hosts"]:
        for route in host["Vroutes"]:
            to = route.get("Svc") or ", ".join(f"{s['Svc']} {s['Wt']}" for s in route["Split"])
            print(f"  {host['Vhost']}{route['Pfx']}  {route['Type']}  {route['Tmo']}  to {to}")
    return 0


def rolls(exchange: str, service: str, *, as_json: bool = False) -> int:
    """Shows where the roll-out of a service stands.

    :param exchange: where it serves operators, host:port
    :param service: the service's name in the configuration
    :param as_json: prints JSON
    """
    told = asked(exchange, f"/rolls/{service}")
    if told is None:
        return 1
    print(json.dumps(told) if as_json else f"{service}: {told['Phase']}, to {told['Target']}")
    return 0


def run(words: list[str]) -> int:
    """Runs the words after `pinward gateway`; the exit status."""
    calls = (check, show, rolls, events, *EXPERIMENTS)
    names = {word.__name__.replace("_", "-"): word for word in calls}
    try:
        done: Any = defopt.run(names, argv=words, short={}, argparse_kwargs={"prog": "pinward gateway"})
    except NotHeldError as why:
        print(f"pinward: {why}", file=sys.stderr)
        return 1
    return int(done)
