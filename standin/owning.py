"""A member whose work is effects on targets that write them down: `python -m standin.owning FILE TARGET...`.

FILE is a member's settings file. Of each part that it owns it sends an effect to every target, again and
again; steps of one-off and periodic work go into the leader's log first, then to the targets. --unleased acts
while it believes that it owns, whatever its clock says.
"""

from __future__ import annotations

import argparse
import signal
import sys

from pinward import logs
from pinward.net.ring import Link, connect
from pinward.net.scheduler import Scheduler
from pinward.owners.file import MemberFile
from pinward.owners.member import Member, RefusedError
from pinward.owners.process import Process
from pinward.owners.terms import duty_of
from pinward.lead.teller import read_line
from pinward.settings import read
from pinward.signals import told_of

PERIOD_S = 0.02  # s between effects on a part
ANSWER_S = 1.0  # s that a target may take
SHARED = 64 * 1024  # bytes of a connection's rings


class Work:
    def __init__(
        self, tasks: Scheduler, member: Member, targets: list[tuple[str, int]], leased: bool
    ) -> None:
        self.tasks, self.member, self.targets, self.leased = tasks, member, targets, leased
        self.links: dict[tuple[str, tuple[str, int]], Link] = {}
        member.serve("*", self.work)

    def work(self, part: str, token: int) -> None:
        stepping = duty_of(part).startswith(("periodic", "once"))
        while self.owns(part, token):
            held = self.member.holder.parts.get(part)
            step = held.step if held else 0
            if stepping:
                try:
                    self.member.step(part, token, step + 1, f"step {step + 1}")
                    step += 1
                except (RefusedError, OSError) as fault:
                    if str(fault) == "stale":
                        return
                    self.tasks.wait(self.tasks.now() + 5 * PERIOD_S)
                    continue
            done = [self.act(part, token, step, target) for target in self.targets]
            if stepping and duty_of(part).startswith("once") and step >= 20 and all(done):
                self.member.finish(part, token)
                return
            self.tasks.wait(self.tasks.now() + PERIOD_S)

    def owns(self, part: str, token: int) -> bool:
        if self.leased:
            return self.member.owns(part, token)
        held = self.member.holder.parts.get(part)  # planted: what it believes, whatever its clock says
        return held is not None and held.token == token and not self.member.leaving

    def act(self, part: str, token: int, step: int, target: tuple[str, int]) -> bool:
        """One effect: the clock is asked, then the line goes out; True where it was let in."""
        if not self.leased:
            return self.send(part, token, step, target)
        with self.member.acting(part, token) as for_s:
            return for_s is not None and self.send(part, token, step, target)

    def send(self, part: str, token: int, step: int, target: tuple[str, int]) -> bool:
        tasks, until = self.tasks, self.tasks.now() + ANSWER_S
        key = (part, target)
        try:
            link = self.links.get(key)
            if link is None:
                link = self.links[key] = connect(tasks, target, SHARED, until, self.member.told.speak_from)
            link.send(f"EFFECT {part} {token} {step} {self.member.told.name}\r\n".encode(), until)
            answer = read_line(tasks, link, until, SHARED)
            if answer is None:
                raise ConnectionError("the target ended the connection")
            if answer.startswith("STALE"):
                self.member.refused(part, token, f"a target says {answer}")
            return answer == "OK"
        except OSError:
            if (link := self.links.pop(key, None)) is not None:
                link.close()
            return False


def place(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def main(words: argparse.Namespace) -> int:
    told = told_of(signal.SIGTERM, signal.SIGINT)
    logs.start()
    targets = [place(target) for target in words.targets]
    file = read(words.file, MemberFile)
    log = logs.logger(member=file.name)
    return Process(file, log, lambda t, m: Work(t, m, targets, not words.unleased)).run(told)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("file")
    parser.add_argument("targets", nargs="+")
    parser.add_argument("--unleased", action="store_true")
    sys.exit(main(parser.parse_args()))
