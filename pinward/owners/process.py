"""A member as a process of its own: its control socket, its signals, its end."""

from __future__ import annotations

import contextlib
import signal
import socket
from collections.abc import Callable
from math import inf
from typing import Any

import orjson

from pinward.lead.commands import COMMAND_MOST, CONTROL_MOST, control_socket
from pinward.lead.desk import serve_all
from pinward.lead.teller import RING_BYTES, read_line
from pinward.net.ring import Link
from pinward.net.scheduler import READ, Scheduler
from pinward.owners.file import MemberFile
from pinward.owners.member import Member

ANSWER_S = 2.0  # s for a command's line and its answer


class Process:
    def __init__(self, told: MemberFile, log: Any, takes: Callable[[Scheduler, Member], Any]) -> None:
        """`takes(tasks, member)` registers the work that this process does where it owns."""
        self.tasks, self.log = Scheduler(), log
        self.tasks.failed = lambda fault: log.error("fault", exc_info=fault)
        self.member = Member(self.tasks, told, log)
        self.work = takes(self.tasks, self.member)

    def run(self, signals: socket.socket | None = None) -> int:
        """Runs until SIGTERM's or SIGINT's number comes on `signals`; the exit status."""
        path = self.member.told.state / "control"
        serve, note = self.serve_command, self.log.info
        listener = control_socket(path)
        self.tasks.spawn(serve_all, self.tasks, listener, serve, CONTROL_MOST, RING_BYTES, note)
        self.tasks.spawn(self.renewing)
        if signals is not None:
            self.tasks.spawn(self.heed, signals)
        self.tasks.run()
        self.log.info("stop", renewals=self.member.renewals)
        self.member.close()
        with contextlib.suppress(OSError):
            path.unlink()
        return 0

    def renewing(self) -> None:
        self.member.run()
        self.tasks.stop()

    def heed(self, signals: socket.socket) -> None:
        while True:
            self.tasks.wait(inf, (signals.fileno(), READ))
            numbers = signals.recv(4096)
            if signal.SIGTERM in numbers or signal.SIGINT in numbers or not numbers:
                self.log.info("leaving")
                self.member.leave()

    def serve_command(self, link: Link) -> None:
        text = read_line(self.tasks, link, self.tasks.now() + ANSWER_S, COMMAND_MOST)
        if text is None:
            return
        asked = orjson.loads(text)
        answer: dict[str, Any] = {"error": "no such word"}
        if isinstance(asked, dict) and asked.get("do") == "status":
            answer = self.member.shown()
        elif isinstance(asked, dict) and asked.get("do") == "release":
            self.member.holder.give(str(asked.get("part")), "released by hand")
            self.member.say()
            answer = {"ok": True}
        link.send(orjson.dumps(answer) + b"\n", self.tasks.now() + ANSWER_S)
