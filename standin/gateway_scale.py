"""What the gateway's programs cost by the number of fronts and machines: real exchanges and switchboards on
loopback beside hollow fronts and machines (`gateway_hollow`), which share a few processes.

Processor time and memory are read from outside, by process; bytes from the sockets (`ss`) and from the
hollow ones' counters. What is wall time is named so; the load of the machine stands beside.
"""

from __future__ import annotations

import http.client
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import asdict, dataclass
from math import log
from pathlib import Path
from random import Random
from statistics import linear_regression
from typing import Any

from standin.gateway_hollow import SERVED, START_S
from standin.gateway_rig import CTL, EDGE, FRONTS, INNER, UP, Rig
from standin.processes import ROOT, Process

HOLLOW_MOST = 4  # processes for all hollow fronts, and as many for all machines
FRONTS_EACH, MACHINES_EACH = 200, 2500  # hollow ones in one process
MEMORY_MOST_MIB = 16 * 1024  # MiB of all processes together, beyond which a run ends
LOOK_S = 0.1  # s between two looks
REQUEST_CONNECTIONS = 32  # that requests to one switchboard come over
CALL_S = 1.0  # s that the operator waits for an answer
SETTLE_S = 6.0  # s after the start until the settled window begins
FACTORS = 4  # that a fit tells apart
SETTLED = 0.99  # of the beats that are answered, from which on a window counts as at rest
STILL_S = 10.0  # s without one more front that tells of something until no more are waited for
GIVEN_UP_S = 60.0  # s after which something counts as never come about
PID = re.compile(r"pid=(\d+)")
BYTES = re.compile(r"\bbytes_(sent|received):(\d+)")


class OverError(Exception):
    """The run went past its time or its memory."""


@dataclass
class Size:
    fronts: int = 30  # hollow
    machines: int = 100  # hollow
    services: int = 10
    routes: int = 100
    cores: int = 3
    boards: int = 2  # real switchboards
    beat_s: float = 1.5
    ramp_s: float = START_S  # s over which hollow ones begin
    window_s: float = 15.0
    most_s: float = 240.0  # s of the whole run
    requests: float = 0.0  # a second, to one real switchboard; machines then serve, 250 at most
    profile: bool = False  # exchanges run under cProfile: their figures count for shares alone
    faults: bool = True  # kills exchanges at the end


def plan(version: int, size: Size) -> dict[str, Any]:
    """A configuration with the size's services and routes; each version alters every time-out."""
    routes: dict[str, list[dict[str, Any]]] = defaultdict(list)
    chance = Random(1)  # names as the users have them: hard to compress
    for n in range(size.routes):
        name = f"r-{chance.getrandbits(36):09x}"
        prefix = f"/path{chance.getrandbits(24):06x}{n}/" if n else "/path00000/"
        routes[f"host-{n % 100:03d}.example"].append({
            "Name": name, "Pfx": prefix, "Type": ("idem", "once")[n % 2],
            "Tmo": f"{2000 + version}ms", "Goal": "500ms", "Prio": n % 4, "Tries": 2,
            "Svc": f"svc-{n % size.services:03d}",
        })  # fmt: skip
    services = [
        {"Name": f"svc-{n:03d}", "Hcheck": "/hc", "Maxconn": 100, "Proto": "h1", "Tls": False}
        for n in range(size.services)
    ]
    caps = {"HdrBytes": 16384, "BodyMaxBytes": 1 << 20, "Hdr": "3000ms", "Idle": "15000ms"}
    hosts = [{"Vhost": host, "Vroutes": some} for host, some in routes.items()]
    return {"Ver": f"{version:08x}", "Svcs": services, "Caps": caps, "Hosts": hosts}


def shares(count: int, each: int, most: int) -> list[tuple[int, int]]:
    """First and last of each process's part of `count`, alike in size."""
    parts = min(most, max(1, -(-count // each)))
    marks = [count * n // parts for n in range(parts + 1)]
    return [(a, b) for a, b in zip(marks, marks[1:], strict=False) if b > a]


def sockets(text: str, pids: dict[int, str]) -> dict[tuple[str, str, str], dict[str, int]]:
    """Bytes of each connection at the exchanges' inner ports, from `ss -tinpH`: by kind, exchange and ends.

    `pids` names the exchanges' processes. A link is a connection between two of them, told by who dialled.
    """
    ends: list[tuple[str, str, str]] = []  # exchange or "", own end, peer's end
    bytes_of: list[dict[str, int]] = []
    for line in text.splitlines():
        if line and not line[0].isspace():
            own, peer = line.split()[3:5] if line.startswith("ESTAB") else line.split()[2:4]
            owner = PID.search(line)
            ends.append((pids.get(int(owner[1]), "") if owner else "", own, peer))
            bytes_of.append({})
        elif ends:
            bytes_of[-1].update((way, int(count)) for way, count in BYTES.findall(line))
    dialled = {own for core, own, peer in ends if core and peer.endswith(f":{INNER}")}
    found = {}
    for (core, own, peer), moved in zip(ends, bytes_of, strict=True):
        if core and peer.endswith(f":{INNER}"):
            found["link", core, f"{own} {peer}"] = moved
        elif core and own.endswith(f":{INNER}"):
            found["link" if peer in dialled else "desk", core, f"{own} {peer}"] = moved
    return found


def grown(before: dict[Any, dict[str, int]], after: dict[Any, dict[str, int]]) -> dict[str, dict[str, float]]:
    """Bytes by exchange and kind that went over connections which stood all the while."""
    sums: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for key, now in after.items():
        kind, name, _ = key
        core = sums[name]
        core[f"{kind}s"] += 1
        for way, count in now.items():
            core[f"{kind}_{way}"] += count - before.get(key, {}).get(way, count)
    return {core: dict(found) for core, found in sums.items()}


def parts(values: list[float], began: float, whole: int) -> dict[str, float | None]:
    """Seconds until 50, 99 and 100 in 100 of `whole` had come; None for what never did."""
    some = sorted(values)

    def at(share: float) -> float | None:
        place = max(1, -(-int(whole * share * 100) // 100)) - 1
        return round(some[place] - began, 3) if place < len(some) else None

    return {"first": at(0.0), "p50": at(0.5), "p99": at(0.99), "all": at(1.0)}


def slope(points: list[tuple[float, float]]) -> dict[str, float]:
    """A line through the points by least squares, and the power by which they grow."""
    line = linear_regression(*zip(*points, strict=True))
    logs = [(log(x), log(y)) for x, y in points if x > 0 and y > 0]
    power = linear_regression(*zip(*logs, strict=True)).slope if len({x for x, _ in logs}) > 1 else 0.0
    return {"each": line.slope, "base": line.intercept, "power": round(power, 2)}


def least(rows: list[list[float]], values: list[float]) -> list[float]:
    """Factors whose sums over each row come nearest to the values, by relative error.

    Raises ZeroDivisionError where the rows don't tell the factors apart.
    """
    some = [[x / y for x in row] + [1.0] for row, y in zip(rows, values, strict=True)]
    width = len(rows[0])
    table = [[sum(r[i] * r[j] for r in some) for j in range(width + 1)] for i in range(width)]
    for i in range(width):
        best = max(range(i, width), key=lambda k: abs(table[k][i]))
        table[i], table[best] = table[best], table[i]
        table[i] = [x / table[i][i] for x in table[i]]
        for k in range(width):
            if k != i:
                table[k] = [x - table[k][i] * y for x, y in zip(table[k], table[i], strict=True)]
    return [row[width] for row in table]


def fitted(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """What the exchanges' processor time at rest is made of, over runs of several sizes: milliseconds a call,
    a pull, and a pull and machine; for each run the measured and the fitted share of a core, all together.

    A run in which one beat in a hundred went unanswered is not at rest and is left out.
    Raises ValueError where too few are left.
    """
    rows, values, sizes = [], [], []
    for run in runs:
        rest = run.get("rest")
        if rest is None or rest["machines"].get("taken", 0.0) < SETTLED * rest["machines"].get("calls", 0.0):
            continue
        cores = [told for ip, told in rest["processes"].items() if "desks" in told or "links" in told]
        calls, pulls = rest["machines"].get("calls", 0.0), rest["fronts"].get("pulls", 0.0)
        rows.append([1.0, calls, pulls, pulls * run["size"]["machines"]])
        values.append(sum(told["cpu"] for told in cores))
        sizes.append(f"{run['size']['fronts']} fronts, {run['size']['machines']} machines")
    if len(rows) <= FACTORS:
        raise ValueError(f"{len(rows)} runs at rest are too few to tell four factors apart")
    base, call, pull, look = least(rows, values)
    each = {
        "base_cores": base,
        "call_ms": 1000 * call,
        "pull_ms": 1000 * pull,
        "pull_machine_ms": 1000 * look,
    }
    sums = [sum(x * f for x, f in zip(row, (base, call, pull, look), strict=True)) for row in rows]
    return {
        **{name: float(f"{value:.3g}") for name, value in each.items()},
        "runs": [
            {"size": size, "cores": round(value, 3), "fitted": round(told, 3)}
            for size, value, told in zip(sizes, values, sums, strict=True)
        ],
    }  # fmt: skip


class Child:
    """One process of hollow ones, asked in lines of JSON."""

    def __init__(self, told: dict[str, Any], folder: Path, name: str) -> None:
        path = folder / f"{name}.told"
        path.write_text(json.dumps(told))
        words = [sys.executable, "-B", "-m", "standin.gateway_hollow", str(path)]
        with (folder / f"{name}.log").open("ab") as errors:
            self.child = subprocess.Popen(
                words, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors
            )

    def say(self, **asked: Any) -> None:
        assert self.child.stdin is not None
        self.child.stdin.write(json.dumps(asked).encode() + b"\n")
        self.child.stdin.flush()

    def hear(self) -> Any:
        assert self.child.stdout is not None
        line = self.child.stdout.readline()
        if not line:
            raise OverError("a process of hollow ones ended")
        return json.loads(line)


class Scale:
    def __init__(self, size: Size, folder: Path) -> None:
        self.size, self.folder = size, folder
        self.rig = Rig(folder, size.cores, size.boards, size.beat_s)
        self.version = 0
        self.cores, self.boards = {}, {}
        for ip in self.rig.cores:
            profile = ["cProfile", "-o", str(folder / f"{ip}.profile"), "-m"] if size.profile else []
            self.cores[ip] = self.process(ip, [*profile, "pinward.exchange"])
        for ip in self.rig.fronts:
            self.boards[ip] = self.process(ip, ["pinward.switchboard"])
        self.fronts: list[Child] = []
        self.machines: list[Child] = []
        self.others: list[Child] = []

    def process(self, ip: str, words: list[str]) -> Process:
        env = {"PINWARD_BOOT": str(self.rig.settings(ip))}
        return Process(ip, words, self.folder / f"{ip}.log", env)

    @property
    def processes(self) -> list[Process]:
        return [*self.cores.values(), *self.boards.values()]

    # Hollow ones.

    def hollow(self) -> None:
        for n, part in enumerate(shares(self.size.fronts, FRONTS_EACH, HOLLOW_MOST)):
            self.fronts.append(Child(self.told(part, (0, 0)), self.folder, f"fronts-{n}"))
        for n, part in enumerate(shares(self.size.machines, MACHINES_EACH, HOLLOW_MOST)):
            self.machines.append(Child(self.told((0, 0), part), self.folder, f"machines-{n}"))
        self.every(do="ready")

    def told(self, fronts: tuple[int, int], machines: tuple[int, int]) -> dict[str, Any]:
        """What a process of hollow ones is told: its part, and where the exchanges are."""
        size, boot = self.size, json.loads(self.rig.settings(FRONTS.format(250)).read_text())
        return {
            "boot": boot, "cores": self.rig.cores, "port": CTL, "seed": 1, "beat_s": size.beat_s,
            "services": size.services, "all_machines": size.machines, "most_s": size.most_s + 30.0,
            "ramp_s": size.ramp_s, "serve": size.requests > 0, "fronts": fronts, "machines": machines,
        }  # fmt: skip

    def every(self, some: list[Child] | None = None, **asked: Any) -> list[Any]:
        some = [*self.fronts, *self.machines] if some is None else some
        for child in some:
            child.say(**asked)
        return [child.hear() for child in some]

    def times(self, what: str) -> list[float]:
        return [at for some in self.every(self.fronts, do="times", of=what) for at in some]

    def until_all(self, what: str, whole: int, began: float, most_s: float = GIVEN_UP_S) -> list[float]:
        """Waits until the fronts have told `what` so often; all moments told by then."""
        found: list[float] = []
        grew = time.monotonic()
        while len(found) < whole and time.monotonic() < min(began + most_s, grew + STILL_S):
            time.sleep(LOOK_S)
            if len(some := self.times(what)) > len(found):
                found, grew = some, time.monotonic()
        return found

    # What is measured.

    def memory(self) -> float:
        """MiB of all processes; raises OverError beyond the bound."""
        own = sum(process.memory_kib() for process in self.processes)
        for child in (*self.fronts, *self.machines):
            status = Path(f"/proc/{child.child.pid}/status").read_text()
            own += next((int(r.split()[1]) for r in status.splitlines() if r.startswith("VmRSS")), 0)
        if own / 1024 > MEMORY_MOST_MIB:
            raise OverError(f"{own // 1024} MiB")
        return own / 1024

    def look(self) -> dict[str, Any]:
        """Everything that is counted, at one moment."""
        told = subprocess.run(["ss", "-tinpH", "state", "established"], capture_output=True, text=True)
        return {
            "at": time.monotonic(), "cpu": {p.name: p.cpu_s() for p in self.processes},
            "ends": sockets(told.stdout, {p.child.pid: ip for ip, p in self.cores.items() if p.child}),
            "fronts": self.every(self.fronts, do="counts"),
            "machines": self.every(self.machines, do="counts"),
        }  # fmt: skip

    def window(self, seconds: float) -> dict[str, Any]:
        """What went on in a span of time, a second of it."""
        before = self.look()
        time.sleep(seconds)
        after = self.look()
        took = after["at"] - before["at"]
        moved = grown(before["ends"], after["ends"])
        counts = {}
        for who in ("fronts", "machines"):
            names = {name for some in after[who] for name in some} - {"at"}
            counts[who] = {
                name: round(
                    sum(
                        (a.get(name, 0) - b.get(name, 0)) / (a["at"] - b["at"])
                        for a, b in zip(after[who], before[who], strict=True)
                    ), 1,
                )
                for name in sorted(names)
            }  # fmt: skip
        rows = {}
        for process in self.processes:
            rows[process.name] = {
                "cpu": round((after["cpu"][process.name] - before["cpu"][process.name]) / took, 4),
                "memory_mib": round(process.memory_kib() / 1024, 1),
                **{
                    name: round(value / (took if "_" in name else 1))
                    for name, value in moved.get(process.name, {}).items()
                },
            }
        return {
            "seconds": round(took, 2), "load": os.getloadavg()[0], "processes": rows, **counts,
            "memory_mib": round(self.memory()),
        }  # fmt: skip

    # What happens.

    def put(self, most_s: float = GIVEN_UP_S) -> float:
        """A new configuration, sent until it is acknowledged; seconds that it took."""
        self.version += 1
        body, began, n = json.dumps(plan(self.version, self.size)), time.monotonic(), 0
        while time.monotonic() < began + most_s:
            core = self.rig.cores[n % len(self.rig.cores)]
            n += 1
            call = http.client.HTTPConnection(core, CTL, timeout=CALL_S + 0.003 * self.size.routes)
            try:
                call.request("PUT", "/cfg", body, {"Content-Type": "application/json"})
                if call.getresponse().status == 200:
                    return time.monotonic() - began
            except (OSError, http.client.HTTPException):
                pass
            finally:
                call.close()
            time.sleep(LOOK_S / 2)
        return GIVEN_UP_S

    def ready(self, began: float) -> float | None:
        """Seconds until all real switchboards say that they are ready."""
        waits = set(self.boards)
        while waits and time.monotonic() < began + GIVEN_UP_S:
            for ip in list(waits):
                call = http.client.HTTPConnection(ip, UP, timeout=CALL_S)
                try:
                    call.request("GET", "/up")
                    if call.getresponse().status == 200:
                        waits.discard(ip)
                except (OSError, http.client.HTTPException):
                    pass
                finally:
                    call.close()
            time.sleep(LOOK_S)
        return None if waits else round(time.monotonic() - began, 2)

    def primary(self) -> str:
        """The exchange that was last chosen, by the logs."""
        chosen = {}
        for ip, process in self.cores.items():
            if process.alive:
                lines = [r for r in process.output.read_text().splitlines() if " 200 view chosen" in r]
                chosen[ip] = lines[-1] if lines else ""
        return max(chosen, key=lambda ip: chosen[ip])

    def starts(self) -> dict[str, Any]:
        """Everything begins at once."""
        self.hollow()
        began, fronts = time.monotonic(), self.size.fronts
        for process in self.processes:
            process.start()
        self.every(do="begin")
        acked = self.put()
        time.sleep(max(0.0, began + self.size.ramp_s - time.monotonic()))
        plans = self.until_all(f"plan {self.version}", fronts, began, self.size.ramp_s + GIVEN_UP_S)
        machines = self.until_all("all machines", fronts, began, self.size.ramp_s + GIVEN_UP_S)
        return {
            "acknowledged_s": round(acked, 2), "plan": parts(plans, began, fronts),
            "machines": parts(machines, began, fronts), "switchboards_s": self.ready(began),
            "short": self.short(),
        }  # fmt: skip

    def short(self) -> dict[str, int]:
        """Fronts that were never told of all machines, and how many the worst of them lacks."""
        lack = [n for some in self.every(self.fronts, do="lack") for n in some]
        return {"fronts": sum(n > 0 for n in lack), "machines": max(lack, default=0)}

    def configures(self) -> dict[str, Any]:
        began = time.monotonic()
        cpu = {p.name: p.cpu_s() for p in self.processes}
        news = sum(c.get("news_bytes", 0) for c in self.every(self.fronts, do="counts"))
        acked = self.put()
        times = self.until_all(f"plan {self.version}", self.size.fronts, began)
        time.sleep(1.0)
        told = sum(c.get("news_bytes", 0) for c in self.every(self.fronts, do="counts")) - news
        return {
            "bytes": len(json.dumps(plan(self.version, self.size))), "acknowledged_s": round(acked, 3),
            "in_force": parts(times, began, self.size.fronts),
            "bytes_a_front": round(told / max(1, self.size.fronts)),
            "cpu_s": {p.name: round(p.cpu_s() - cpu[p.name], 2) for p in self.processes},
            "load": os.getloadavg()[0],
        }  # fmt: skip

    def drains(self) -> dict[str, Any]:
        child, began = self.machines[0], time.monotonic()
        child.say(do="drain", number=0)
        iid = child.hear()
        known = self.until_all(f"DRAIN {iid}", self.size.fronts, began, GIVEN_UP_S / 3)
        acked: list[float] = []
        while not acked and time.monotonic() < began + GIVEN_UP_S / 3:
            acked = self.every([child], do="times", of=f"acknowledged {iid}")[0]
            time.sleep(LOOK_S)
        return {
            "acknowledged_s": round(acked[0] - began, 3) if acked else None,
            "known": parts(known, began, self.size.fronts),
        }

    def churns(self, per_s: float) -> dict[str, Any]:
        """Machines that restart in order, `per_s` of them."""
        self.every(self.machines[:1], do="churn", per_s=per_s, for_s=self.size.window_s)
        return {"restarts_a_second": per_s, **self.window(self.size.window_s)}

    def carries(self) -> dict[str, Any]:
        """Requests through a switchboard, and the same straight to a machine: processor time of each, and
        what is added to the time that 50 and 99 in 100 take."""
        board, size = next(iter(self.boards.values())), self.size
        child = Child(self.told((0, 0), (0, 0)), self.folder, "asker")
        self.others.append(child)
        found: dict[str, Any] = {}
        for name, where in (("direct", (SERVED[0].format(1), SERVED[1])), ("through", (board.name, EDGE))):
            cpu, load = board.cpu_s(), os.getloadavg()[0]
            how = (size.requests, size.window_s, REQUEST_CONNECTIONS)
            self.every([child], do="ask", where=where, how=how)
            time.sleep(size.window_s)
            while not self.every([child], do="times", of="asked")[0]:
                time.sleep(LOOK_S)
            took = sorted(self.every([child], do="times", of="took")[0])
            failed = len(self.every([child], do="times", of="failed")[0])
            spent = board.cpu_s() - cpu
            found[name] = {
                "answered": len(took), "failed": failed, "load": load,
                "p50_ms": round(1000 * took[len(took) // 2], 2),
                "p99_ms": round(1000 * took[len(took) * 99 // 100], 2),
                "switchboard_cpu_s": round(spent, 2), "cpu_ms_each": round(1000 * spent / len(took), 3),
            }  # fmt: skip
        return found

    def loses(self, some: list[str]) -> dict[str, Any]:
        """Kills exchanges; those are started again once a write was taken, or at once where all went."""
        self.every(self.fronts, do="mark")
        began = time.monotonic()
        for ip in some:
            self.cores[ip].kill()
        if len(some) == len(self.cores):
            for ip in some:
                self.cores[ip].start()
        self.every(self.fronts, do="mark")
        took = self.put()
        back = self.until_all("back", self.size.fronts, began)
        for ip in some:
            if not self.cores[ip].alive:
                self.cores[ip].start()
        return {"write_s": round(took, 2), "sessions": parts(back, began, self.size.fronts)}

    def run(self) -> dict[str, Any]:
        found: dict[str, Any] = {"size": asdict(self.size), "load_before": os.getloadavg()[0]}

        def step(name: str, what: Callable[[], Any]) -> None:
            if name not in found:
                found[name] = what()

        def over(*_: Any) -> None:
            raise OverError(f"told to end, or {self.size.most_s} s are over")

        for number in (signal.SIGALRM, signal.SIGTERM):
            signal.signal(number, over)
        signal.setitimer(signal.ITIMER_REAL, self.size.most_s)
        try:
            step("start", self.starts)
            time.sleep(SETTLE_S)
            step("primary", self.primary)
            step("short", self.short)
            step("rest", lambda: self.window(self.size.window_s))
            step("configuration", self.configures)
            time.sleep(1.0)
            step("drain", self.drains)
            time.sleep(SETTLE_S)
            step("churn", lambda: self.churns(2.0))
            if self.size.requests:
                step("requests", self.carries)
            if self.size.faults:
                time.sleep(SETTLE_S)
                step("primary_killed", lambda: self.loses([self.primary()]))
                time.sleep(SETTLE_S)
                step("all_killed", lambda: self.loses(list(self.cores)))
        except OverError as why:
            found["ended"] = str(why)
        finally:
            signal.setitimer(signal.ITIMER_REAL, 0.0)
            self.close()
        return found

    def close(self) -> None:
        for child in (*self.fronts, *self.machines, *self.others):
            child.child.kill()
            child.child.wait()
            for pipe in (child.child.stdin, child.child.stdout):
                if pipe is not None:
                    pipe.close()
        for process in self.processes:
            process.signal(signal.SIGTERM)
        for process in self.processes:
            process.end()


def rows(run: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """A window's processes as rows: processor as a share of a core, bytes a second, connections."""
    columns = ("links", "link_sent", "link_received", "desks", "desk_sent", "desk_received")
    return [
        {
            "process": process,
            "role": "primary" if process == run["primary"] else "",
            "cpu": told["cpu"],
            "memory_mib": told["memory_mib"],
            **{column: told.get(column, 0) for column in columns},
        }
        for process, told in run[name]["processes"].items()
    ]


def measure(size: Size, keep: Path | None = None) -> dict[str, Any]:
    """One run; its profiles and logs go to `keep` where told, else nowhere."""
    with tempfile.TemporaryDirectory(prefix="pinward-scale-") as folder:
        where = keep or Path(folder)
        if keep is not None:
            shutil.rmtree(keep, ignore_errors=True)
        where.mkdir(parents=True, exist_ok=True)
        return Scale(size, where).run()
