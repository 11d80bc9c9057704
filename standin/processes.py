"""Processes of a rig: started, paused, continued and ended by their own id, and never left behind."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
END_S = 10.0  # s that a process may take to end on SIGTERM


class Process:
    """One command of pinward or of a stand-in, with its output in a file."""

    def __init__(
        self, name: str, words: list[str], output: Path, env: dict[str, str] | None = None
    ) -> None:
        self.name, self.words, self.output, self.env = name, words, output, env or {}
        self.child: subprocess.Popen[bytes] | None = None
        self.paused = False

    @property
    def alive(self) -> bool:
        return self.child is not None and self.child.poll() is None

    def start(self) -> None:
        with self.output.open("ab") as output:
            env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **self.env}
            words = [sys.executable, "-B", "-m", *self.words]
            self.child = subprocess.Popen(words, cwd=ROOT, env=env, stdout=output, stderr=output)
        self.paused = False

    def signal(self, number: signal.Signals) -> None:
        if self.child is not None and self.alive:
            self.child.send_signal(number)

    def pause(self) -> None:
        self.signal(signal.SIGSTOP)
        self.paused = True

    def go_on(self) -> None:
        self.signal(signal.SIGCONT)
        self.paused = False

    def stopped(self) -> bool:
        """True while the process is stopped by a signal, whoever sent it."""
        return self.state() == "T"

    def state(self) -> str:
        """Its state as the kernel has it, empty where it is gone."""
        try:
            told = Path(f"/proc/{self.child.pid if self.child else 0}/stat").read_text()
        except OSError:
            return ""
        return told.rpartition(")")[2].split()[0]

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()
        self.paused = False

    def end(self) -> int | None:
        """SIGTERM, then SIGKILL; the exit status."""
        if self.child is None:
            return None
        self.go_on()
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(END_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def cpu_s(self) -> float:
        """Seconds of processor time taken so far, 0.0 where the process is gone."""
        try:
            told = Path(f"/proc/{self.child.pid if self.child else 0}/stat").read_text()
        except OSError:
            return 0.0
        fields = told.rpartition(")")[2].split()  # from the third on
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_kib(self) -> int:
        """Resident memory, 0 where the process is gone."""
        try:
            status = Path(f"/proc/{self.child.pid if self.child else 0}/status").read_text()
        except OSError:
            return 0
        return next((int(row.split()[1]) for row in status.splitlines() if row.startswith("VmRSS")), 0)


def until(fact: object, seconds: float, every_s: float = 0.02) -> bool:
    """Waits until `fact()` holds; False where it does not in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if fact():  # type: ignore[operator]
            return True
        time.sleep(every_s)
    return False
