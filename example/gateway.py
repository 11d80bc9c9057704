"""Runs a small gateway on loopback until Ctrl-C: exchanges, switchboards, machines and an operator.

It says what to ask for. Kill one of the exchanges (the processes are told) and go on asking.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import aiohttp

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from standin.gateway_rig import CTL, EDGE, Machine, Rig, plan  # noqa: E402


def begin(rig: Rig, ip: str) -> subprocess.Popen[bytes]:
    program = "pinward.exchange" if ip in rig.cores else "pinward.switchboard"
    env = {**os.environ, "PINWARD_BOOT": str(rig.settings(ip))}
    return subprocess.Popen([sys.executable, "-m", program], cwd=ROOT, env=env)


async def main() -> int:
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder))
        machines = [Machine(number) for number in range(1, 5)]
        for machine in machines:
            await machine.start()
        processes = {ip: begin(rig, ip) for ip in (*rig.cores, *rig.fronts)}
        async with aiohttp.ClientSession() as http:
            beats = asyncio.ensure_future(rig.beats(http, machines))
            while not stop.is_set() and (await rig.call(http, "PUT", "/cfg", plan(1)))[0] != 200:
                await asyncio.sleep(0.1)
            for ip, process in processes.items():
                print(f"{'exchange' if ip in rig.cores else 'switchboard'} {ip}: process {process.pid}")
            print("\nA call, put through to one of four machines:")
            print(f"  curl -i -H 'Host: toy.example' -H 'X-Try-Id: 1' http://{rig.fronts[0]}:{EDGE}/toy/hello")
            print("The configuration in force, from any exchange:")
            print(f"  curl http://{rig.cores[1]}:{CTL}/cfg")
            print("Ctrl-C ends all.", flush=True)
            await stop.wait()
            beats.cancel()
        for process in processes.values():
            process.terminate()
        for process in processes.values():
            process.wait(10)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
