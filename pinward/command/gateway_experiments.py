"""Experiments of `pinward gateway`: stand-ins on loopback or in simulated time, measured and judged."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from pinward.command.shown import rig
from pinward.exchange.model import PLANTS, explore

ONCE = ("start", "short", "configuration", "drain", "requests", "primary_killed", "all_killed", "ended")
DRAWN = Path("found") / "days"  # where drawn days and the lines of their results go


def table(rows: list[dict[str, Any]], as_json: bool) -> None:
    """Prints rows that have the same fields, aligned or as JSON."""
    if as_json:
        print(json.dumps(rows))
        return
    names = list(rows[0])
    cells = [names, *([told(row[name]) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        print("  ".join(f"{cell:{width}}" for cell, width in zip(line, widths, strict=True)).rstrip())


def told(value: Any) -> str:
    return "/".join(f"{v:g}" for v in value.values()) if isinstance(value, dict) else str(value)


def lines(rows: list[dict[str, Any]], as_json: bool) -> None:
    """Prints rows that may have different fields, each with its fields' names, or as JSON."""
    if as_json:
        print(json.dumps(rows))
        return
    for row in rows:
        print("  ".join(f"{name} {value}" for name, value in row.items()))


def drill(*, seeds: int = 100, first: int = 0, machines: int = 3, as_json: bool = False) -> int:
    """Loses core machines in simulated time: how long nobody leads, and until there are copies enough.

    Times are median/99th of a hundred/worst. Exit 1 where a bound was passed or something acknowledged lost.

    :param seeds: losses of each sort
    :param first: the first seed
    :param machines: core machines, 3 or 5
    :param as_json: prints JSON
    """
    found = rig("exchange_drill")
    rows = found.losses(seeds, first, machines)
    table(rows, as_json)
    if not as_json:
        took = told(found.writes(seeds, first, machines))
        print(f"bound without a primary {found.BOUND_S:.2f} s; a write, and a sync at most: {took} s")
    return int(any(row["over"] or row["broken"] for row in rows))


def operators(*, seeds: int = 20, first: int = 0, plant: str = "none", as_json: bool = False) -> int:
    """Plays operators that race, lose answers and repeat, in simulated time, and judges all that they saw.

    Exit 0 where nothing broke, or a planted error was found; else 1.

    :param seeds: days of each sort of trouble
    :param first: the first seed
    :param plant: an error to plant: by-number, refused, again, late or unconfirmed
    :param as_json: prints JSON
    """
    found = rig("operators")
    if plant not in ("none", *found.PLANTS):
        print(f"pinward: plant: must be one of none, {', '.join(found.PLANTS)}, not {plant}", file=sys.stderr)
        return 2
    rows = found.drill(seeds, first, plant)
    table(rows, as_json)
    return int(any(row["broken"] for row in rows) != (plant != "none"))


def news(*, fronts: int = 12, machines: int = 40, routes: int = 350, as_json: bool = False) -> int:
    """Counts the bytes that exchanges tell a front: at rest, for a drain, for a configuration.

    :param fronts: how many fronts have sessions
    :param machines: how many machines beat
    :param routes: routes that the new configuration adds
    :param as_json: prints JSON
    """
    found = rig("exchange_drill")
    row = found.news(fronts, machines, routes)
    table([row], as_json)
    return int(row["fronts_without_plan"] > 0)


def trials(
    *, seeds: int = 20, first: int = 0, jobs: int = 4, alone: bool = False, as_json: bool = False
) -> int:  # fmt: skip
    """Rolls out sound and bad builds in simulated time, beside a fixed share and votes alone.

    Exit 1 where the gateway itself brought on a bad build, or sent to one beyond its bounds.

    :param seeds: orders of each sort beside each trouble
    :param first: the first seed
    :param jobs: processors to use
    :param alone: leaves the baselines out
    :param as_json: prints JSON
    """
    found = rig("trial_drill")
    rows = found.measure(seeds, first, found.SIDES[:1] if alone else found.SIDES, jobs)
    table(rows, as_json)
    own = [row for row in rows if row["side"] == found.SIDES[0]]
    return int(any(row["over"] or row["broken"] or (row["wrong"] and row["build"] != "good") for row in own))


def load(*, seeds: int = 2, first: int = 0, jobs: int = 4, as_json: bool = False) -> int:
    """Compares the choice of machine with plain baselines at up to three times what the machines can do.

    :param seeds: days a row
    :param first: the first seed
    :param jobs: processors to use
    :param as_json: prints JSON
    """
    found = rig("load_drill")
    rows = found.measure(seeds, first, jobs)
    table(rows, as_json)
    return int(any(row["broken"] for row in rows if row["side"] == found.SIDES[0]))


def day(file: Path, *, seed: int | None = None, as_json: bool = False) -> int:
    """Plays a day told by a file on a whole gateway in simulated time, and judges it.

    Exit 1 where something broke; 2 where the file is faulty.

    :param file: what the deployment has, its traffic and troubles, as example/day.toml
    :param seed: another seed than the file's
    :param as_json: prints JSON
    """
    found = rig("day_file")
    told_day = found.read(file)
    if told_day.is_err():
        print(told_day.unwrap_err(), file=sys.stderr)
        return 2
    played = found.play(told_day.unwrap(), seed)
    faults = found.judged(played)
    if as_json:
        print(json.dumps({"spans": found.spans(played), "broken": faults}))
    else:
        table(found.spans(played), False)
        for when, what, facts in played.events:
            if what in ("rolled", "unanswered"):
                print(f"{when:.2f} {what} " + " ".join(f"{k}={v}" for k, v in facts.items() if k != "body"))
        print("\n".join(faults) or "nothing broken")
    return int(bool(faults))


def draw(
    site: Path, *, seed: int = 0, days: int = 10, into: Path = DRAWN, pairs: bool = False, times: int = 1,
    work: bool = False, leaving: bool = False, series: bool = False,
) -> int:  # fmt: skip
    """Writes days for the users' bench: troubles of all kinds by chance, one seed a day.

    Exit 2 where the site's file is faulty or has a kind of trouble that is not known here.

    :param site: the site's file, which has places, services, traffic and floors
    :param seed: the first seed; days with an even one replace core machines
    :param days: how many
    :param into: the folder they go to
    :param pairs: puts two of the five hard points together each day, at the worst moment
    :param times: makes days so many times as long, with so many times the troubles; not with --pairs
    :param work: days of planned work alone: changes, reloads, restarts in turn, machines that leave; not with
        --pairs
    :param leaving: clients leave early all day, beside all kinds; not with --pairs or --work
    :param series: proxies are restarted in series that overlap, beside storms of changes; with an odd seed
        clients leave all day and machines are slow; not with --pairs, --work or --leaving
    """
    wanted = {"pairs": pairs, "work": work, "leaving": leaving, "series": series}
    if sum(wanted.values()) > 1:
        print(f"pinward: {', '.join(wanted)}: one at most", file=sys.stderr)
        return 2
    if not 1 <= times <= 10 or (times > 1 and pairs):
        print("pinward: times: must be 1 to 10, and 1 with --pairs", file=sys.stderr)
        return 2
    found, written = rig("day_draw"), rig("day_write")
    told_site = found.read(site)
    if told_site.is_err():
        print(f"pinward: {told_site.unwrap_err()}", file=sys.stderr)
        return 2
    sort = written.Sort(next((name for name, told in wanted.items() if told), "all"))
    for file in written.write(told_site.unwrap(), range(seed, seed + days), into, sort, times):
        print(file)
    return 0


def hunt(
    bench: Path, *, site: list[Path], day: list[Path], jobs: int = 3, for_s: float = 1800.0,
    results: Path = DRAWN / "results.txt",
) -> int:  # fmt: skip
    """Plays drawn days on the users' bench, and keeps a line of each with its score, gate and broken rules.

    Exit 1 where a day failed the gate or was not played.

    :param bench: the bench's program
    :param site: files of the sites that days were drawn from
    :param day: files of days
    :param jobs: days beside one another; one takes about two processors
    :param for_s: s after which no day is begun
    :param results: where lines are added
    """
    found, drawn = rig("day_hunt"), rig("day_draw")
    sites = {}
    for path in site:
        told_site = drawn.read(path)
        if told_site.is_err():
            print(f"pinward: {told_site.unwrap_err()}", file=sys.stderr)
            return 2
        sites[told_site.unwrap()["name"]] = path.resolve()
    strange = [file for file in day if not any(file.name.startswith(f"{name}-") for name in sites)]
    if strange:
        print(f"pinward: {strange[0]}: the name of no site told begins its name", file=sys.stderr)
        return 2
    played = found.hunt(bench, sites, day, jobs, for_s, results)
    fell = [line for line in played if line.gate != "passed"]
    print(f"{len(played)} of {len(day)} days played, {len(fell)} not passed")
    return int(bool(fell))


def connections(
    *, seeds: int = 3, first: int = 0, requests: int = 10_000, processes: bool = False, as_json: bool = False
) -> int:  # fmt: skip
    """Plays clients of every habit on loopback around a proxy that is changed, reloaded and restarted.

    Exit 1 where a whole request had neither answer nor refusal. Takes some seconds a thousand requests.

    :param seeds: how many runs
    :param first: the first seed
    :param requests: recorded a run
    :param processes: plays with real processes of a proxy and three control servers, under signals
    :param as_json: prints JSON
    """
    found = rig("connections_processes" if processes else "connections_drill")
    runs = [found.played(seed, requests) for seed in range(first, first + seeds)]
    lines([{"seed": first + at, **run.figures()} for at, run in enumerate(runs)], as_json)
    return int(any(run.faults for run in runs))


def departures(*, seeds: int = 3, first: int = 0, seconds: float = 8.0, as_json: bool = False) -> int:
    """Lets clients leave a gateway of real processes on loopback that are killed, paused, cut off.

    Exit 1 where a machine worked on for a client that had left, or another fault was found. Prints faults.

    :param seeds: how many runs, one after another
    :param first: the first seed
    :param seconds: load of each run
    :param as_json: prints JSON
    """
    found = rig("departures_soak")
    return soaked([found.played(seed, seconds) for seed in range(first, first + seeds)], as_json)


def restarts(
    *, seeds: int = 3, first: int = 0, seconds: float = 10.0, proxies: int = 3, crowds: int = 0,
    as_json: bool = False,
) -> int:  # fmt: skip
    """Restarts a gateway of real processes on loopback in series that overlap, beside reloads and changes.

    Clients use each connection until it ends. Exit 1 where a request was neither served nor safely refused,
    or taken and given up, or another fault was found. Prints faults.

    :param seeds: how many runs, one after another
    :param first: the first seed
    :param seconds: load of each run
    :param proxies: proxies of each run, 25 MB of memory each
    :param crowds: crowds of hostile clients at a time, of every kind, at every listener
    :param as_json: prints JSON
    """
    found = rig("restarts_soak")
    runs = [found.played(seed, seconds, proxies, crowds) for seed in range(first, first + seeds)]
    return soaked(runs, as_json)


def acknowledged(*, seeds: int = 3, first: int = 1, rounds: int = 4, as_json: bool = False) -> int:
    """Kills all control servers right behind what they answered 200, real processes on loopback.

    Some rounds lose all power (what was not synced is gone), some a disk. Then every control server and proxy
    is asked. Exit 1 where something acknowledged is not treated so. About 12 s a round.

    :param seeds: how many runs, one after another
    :param first: the first seed
    :param rounds: kills of each run
    :param as_json: prints JSON
    """
    found = rig("acknowledged_soak")
    return soaked([found.played(seed, rounds) for seed in range(first, first + seeds)], as_json)


def soaked(runs: list[Any], as_json: bool) -> int:
    """Prints a row a run, and the faults; 1 where there are some."""
    lines([run.figures() for run in runs], as_json)
    faults = [f"seed {run.seed}: {fault}" for run in runs for fault in run.faults]
    print("\n".join(faults), end="\n" if faults else "", file=sys.stderr)
    return int(bool(faults))


def converge(*, seeds: int = 10, first: int = 0, jobs: int = 3, as_json: bool = False) -> int:
    """Plays troubles that overlap in simulated time, then asks all servers and proxies what is in force.

    Even seeds draw from all kinds, many at the same time; odd ones a few moments at which one item may be
    missed. Exit 1 where one of them differs from what was acknowledged. Prints faults.

    :param seeds: how many runs
    :param first: the first seed
    :param jobs: processes that play
    :param as_json: prints JSON
    """
    found = rig("convergence")
    runs = found.plays(range(first, first + seeds), jobs)
    lines([run.figures() for run in runs], as_json)
    faults = [fault for run in runs for fault in run.faults]
    print("\n".join(faults), end="\n" if faults else "", file=sys.stderr)
    return int(bool(faults))


def changes(
    *, seeds: int = 3, first: int = 0, count: int = 1000, jobs: int = 3, returns: bool = False,
    as_json: bool = False,
) -> int:  # fmt: skip
    """Plays changes with restarts, lost disks and cuts in simulated time: what is held, on disk and sent.

    Exit 1 where a copy differed from what is, or held what has been.

    :param seeds: how many days
    :param first: the first seed
    :param count: changes a day; a row is shown at a tenth of them and at all
    :param jobs: processors to use
    :param returns: shows instead how soon fronts that are behind or start know all, on 2 Mbit/s each
    :param as_json: prints JSON
    """
    found = rig("changes")
    rows = found.returns() if returns else found.measure(seeds, first, count, jobs)
    table(rows, as_json)
    return int(any(row.get("faults") for row in rows))


def model(*, states: int = 20_000, plant: str = "none", as_json: bool = False) -> int:
    """Explores the control state: every order of words, ticks, restarts and lost disks, within bounds.

    Exit 0 where the sound machine breaks nothing, or a planted error is found; else 1.

    :param states: the most to visit in each of its hunts
    :param plant: an error to plant; `newest` is review/1's: items judged by the newest alone
    :param as_json: prints JSON
    """
    if plant not in PLANTS:
        print(f"pinward: plant: must be one of {', '.join(PLANTS)}, not {plant}", file=sys.stderr)
        return 2
    found = explore(states, plant)
    if as_json:
        print(json.dumps(found))
    else:
        names = ("hunt", "states", "depth", "all_within_bounds", "broken", "seconds")
        table([{name: run[name] for name in names} for run in found["runs"]], False)
    return int((found["broken"] is None) != (plant == "none"))


def scale(
    *, fronts: int = 30, machines: int = 100, services: int = 10, routes: int = 100, cores: int = 3,
    requests: float = 0.0, ramp_s: float = 0.3, window_s: float = 15.0, most_s: float = 240.0,
    profile: Path | None = None, pieces: bool = False, fit: Path | None = None, as_json: bool = False,
) -> int:  # fmt: skip
    """Measures real exchanges and switchboards on loopback beside hollow fronts and machines.

    Prints each process's load in a settled window, while machines restart, and how long changes and losses
    take. Exit 1 where the run ended early or a front was never told of all machines.

    :param fronts: hollow fronts
    :param machines: hollow machines
    :param services: their services
    :param routes: routes of the configuration
    :param cores: exchanges
    :param requests: requests a second to one real switchboard; machines, 250 at most, then answer them
    :param ramp_s: seconds over which hollow fronts and machines begin; all at once by default
    :param window_s: seconds that are measured at a time
    :param most_s: seconds that the run may take
    :param profile: runs the exchanges under cProfile and leaves profiles and logs in this folder
    :param fit: runs nothing, but fits slopes to the runs in this folder, as --as-json printed them
    :param pieces: runs nothing, but measures the pieces of work at that size, one by one
    :param as_json: prints JSON
    """
    found, apart = rig("gateway_scale"), rig("gateway_pieces") if pieces else None
    if fit is not None:
        try:
            slopes = found.fitted([json.loads(file.read_text()) for file in sorted(fit.glob("*.json"))])
        except (ValueError, ZeroDivisionError, KeyError) as why:
            print(f"pinward: {fit}: {why}", file=sys.stderr)
            return 1
        print(json.dumps(slopes, indent=None if as_json else 1))
        return 0
    size = found.Size(
        fronts=fronts, machines=machines, services=services, routes=routes, cores=cores,
        requests=requests, ramp_s=ramp_s, window_s=window_s, most_s=most_s, profile=profile is not None,
    )  # fmt: skip
    if apart is not None:
        told = apart.measure(size)
        print(json.dumps(told) if as_json else "\n".join(f"{v:12.4f}  {k}" for k, v in told.items()))
        return 0
    run = found.measure(size, profile)
    if as_json:
        print(json.dumps(run))
    else:
        for name in ("rest", "churn"):
            if name in run:
                print(f"{name}, load {run[name]['load']:.1f}:")
                table(found.rows(run, name), False)
        for name in ONCE:
            if name in run:
                print(f"{name}: {json.dumps(run[name])}")
    return int("ended" in run or bool(run["short"]["fronts"]))


EXPERIMENTS = (
    drill, operators, news, trials, load, model, day, draw, hunt, changes, converge, acknowledged,
    connections, departures, restarts, scale,
)  # fmt: skip
