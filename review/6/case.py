"""All of the core is killed; then an operator orders a version again that was rolled back before."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit2 import TROUBLE, CannotRunError, Gateway, Machine, Record, call, main, plan, request  # noqa: E402

ROUTES = [{"Pfx": "/read/", "Type": "idem", "Svc": "toy"}]
OVER_S, ACK_S, LIVE_S, HEAL_S = 4.0, 5.0, 3.0, 15.0
PER_S, CLIENTS = 25, 12  # requests a second of a client, and clients
ALIKE = json.dumps({"Svc": "toy", "Target": "v2", "Over": f"{OVER_S:.0f}s"}).encode()
BACK = json.dumps({"Svc": "toy", "Target": "v1", "Over": f"{OVER_S:.0f}s"}).encode()


class World:
    def __init__(self, gateway: Gateway, record: Record) -> None:
        self.gateway, self.record, self.number, self.sent = gateway, record, 0, 0

    async def machines(self, build: str) -> list[Machine]:
        some = []
        for _ in range(3):
            self.number += 1
            some.append(Machine(self.gateway, self.number, "toy", build, work_s=0.005))
            await some[-1].start()
        return some

    async def client(self, name: str) -> None:
        """Calm traffic: one request each 1/PER_S."""
        gateway, number = self.gateway, 0
        while True:
            number += 1
            headers = {"X-Try-Id": f"{name}-{number}", "X-Deadline-Ms": 2000, "Connection": "close"}
            front = gateway.fronts[number % len(gateway.fronts)]
            try:
                await call(
                    front, gateway.port["edge"], request("GET", "/read/x", "toy.example", headers), 3.0
                )
                self.sent += 1
            except (OSError, TimeoutError, EOFError, ValueError):
                pass
            await asyncio.sleep(1 / PER_S)

    async def order(self, body: bytes) -> float:
        """Sends an order until it has a clear answer, for `Ack` at most; when it was acknowledged."""
        until = time.monotonic() + ACK_S
        while time.monotonic() < until:
            status, _, told = await self.gateway.ctl("POST", "/rolls", body)
            self.record("operator POST /rolls", body.decode(), status, told[:80])
            if status == 200:
                return time.monotonic()
            await asyncio.sleep(0.2)
        raise CannotRunError("the order was not acknowledged")

    async def state(self) -> tuple[str, str]:
        status, _, body = await self.gateway.ctl("GET", "/rolls/toy")
        if status != 200:
            return "", f"{status}"
        told = json.loads(body)
        return told["Phase"], told["Target"]

    async def seen(self, target: str, phases: tuple[str, ...], within_s: float) -> bool:
        """True once a read tells the target in one of the phases."""
        until, last = time.monotonic() + within_s, ("", "")
        while time.monotonic() < until:
            state = await self.state()
            if state != last:
                self.record("operator GET /rolls/toy", *state)
                last = state
            if state[1] == target and state[0] in phases:
                return True
            await asyncio.sleep(0.1)
        return False

    def restart_core(self) -> None:
        """All processes of the core at once, back within a second."""
        for core in self.gateway.cores:
            self.gateway.signal(core, signal.SIGKILL)
        for core in self.gateway.cores:
            self.gateway.children[core].wait()
        time.sleep(0.3)
        for core in self.gateway.cores:
            self.gateway.start(core)


async def case(gateway: Gateway, record: Record) -> bool:
    world = World(gateway, record)
    for ip in (*gateway.cores, *gateway.fronts):
        gateway.start(ip)
    old = await world.machines("v1")
    await gateway.put(plan(1, ROUTES, ["toy"]))
    await gateway.ready(gateway.fronts)
    clients = [asyncio.ensure_future(world.client(f"c{n}")) for n in range(CLIENTS)]
    await asyncio.sleep(3.0)
    first_at = 0.0
    for body, build in ((ALIKE, "v2"), (BACK, "v1")):
        new = await world.machines(build)
        await asyncio.sleep(0.8)
        acked_at = await world.order(body)
        first_at = first_at or acked_at
        if not await world.seen(build, ("done",), 2.5 * OVER_S):
            raise CannotRunError(f"{build} was not done")
        for machine in old:
            await machine.stop()
        old = new
    await asyncio.sleep(max(1.0, first_at + 3 * ACK_S - time.monotonic()))
    if TROUBLE:
        world.restart_core()
    await world.machines("v2")
    await asyncio.sleep(LIVE_S)
    record(
        f"{time.monotonic() - first_at:.1f} s after the first order to v2 was acknowledged, it is given anew"
    )
    await world.order(ALIKE)
    taken = await world.seen("v2", ("serving", "done"), 2 * OVER_S)
    world.restart_core()  # the closing fault
    await asyncio.sleep(1.0)
    survived = await world.seen("v2", ("serving", "done"), HEAL_S)
    for client in clients:
        client.cancel()
    record("requests served:", world.sent, "the order was seen:", taken, "after the closing fault:", survived)
    return not survived


if __name__ == "__main__":
    sys.exit(main(HERE, case, cores=3, fronts=2))
