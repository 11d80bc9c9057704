"""Numbered log events of the gateway: one table, from which docs/operate/events.md is made.

A line is `NUMBER name key=value ...`, written by logbook to standard error. Values are short texts or
numbers; bodies, headers of clients and configurations never come here.
"""

from __future__ import annotations

import sys
from collections import Counter
from time import monotonic
from typing import NamedTuple

import logbook

TEXT_MOST = 160  # characters of a value: a line stays one write


class Event(NamedTuple):
    """One kind of event: its level, what it means and what to do."""

    level: str
    name: str
    meaning: str
    action: str


EVENTS: dict[int, Event] = {
    100: Event("INFO", "started", "A process is up; the addresses it serves.", "Nothing."),
    101: Event("INFO", "stopping", "SIGTERM came; what was read is finished first.", "Nothing."),
    102: Event("INFO", "ended", "A process has ended in order.", "Nothing."),
    103: Event("INFO", "settings read", "The settings file was read anew.", "Nothing."),
    104: Event("ERROR", "settings faulty", "The settings file is wrong; what was in force stays.",
               "Mend it."),
    105: Event("WARNING", "no metrics", "The port of the process's figures cannot be had; all else goes on.",
               "Look at what listens there."),
    110: Event("ERROR", "fault in a handler", "A request or word met a fault in the program.", "Report it."),
    200: Event("INFO", "view chosen", "A majority accepted a view; this machine leads it.", "Nothing."),
    201: Event("WARNING", "standing", "No primary was heard; this machine stands for one.",
               "Look at the primary's machine where it lasts."),
    202: Event("WARNING", "stepped down", "The primary lost its majority or its disk hung.",
               "Look at links among core machines, then at the disk."),
    203: Event("WARNING", "disk empty", "The disk is empty; this machine votes once it was readmitted.",
               "Nothing within the catch-up time; then look for a primary."),
    204: Event("INFO", "readmitted", "A machine with an empty disk counts again, or stands by.", "Nothing."),
    205: Event("ERROR", "disk failed", "A write was refused or a generation is damaged.",
               "Replace the disk."),
    206: Event("INFO", "voters changed", "Majorities of old and new voters accepted who joins and leaves.",
               "Nothing."),
    207: Event("INFO", "forgotten", "A control front that is no voter is gone; it is dialled no more.",
               "Nothing; one that comes back makes itself known."),
    208: Event("INFO", "handed over", "Told to end, it gave up its seat and copy, or waited its time.",
               "Where released is False: look whether its copies are held elsewhere."),
    209: Event("WARNING", "state differs",
               "For 2 s this control server has not held what the primary holds; proxies go elsewhere.",
               "Look at the links between the two; report it where it lasts."),
    210: Event("INFO", "plan taken", "A configuration is durable and in force.", "Nothing."),
    211: Event("WARNING", "plan refused", "An invalid configuration was refused.",
               "Tell its owner the reason."),
    212: Event("WARNING", "plan under a taken number",
               "Another configuration is in force under its number; it was refused (409).",
               "Tell its owner to read what is in force and to send under a higher number."),
    213: Event("INFO", "state sent",
               "Another control server lacked committed items (`keys`), and was sent them.", "Nothing."),
    214: Event("INFO", "state agrees", "This control server holds what the primary holds again.", "Nothing."),
    215: Event("ERROR", "losses not borne",
               "The control servers at hand do not bear what `Survive` names; orders are refused with 503.",
               "Start control servers where the line says they lack, or mend `Survive` in the settings."),
    216: Event("INFO", "losses borne", "The control servers bear what `Survive` names; orders are taken.",
               "Nothing."),
    220: Event("INFO", "roll-out moved", "A roll-out changed its phase.", "Read the evidence in the line."),
    221: Event("WARNING", "roll-out refused", "Another roll-out of the service is under way (409).",
               "Send it again once that one has ended."),
    222: Event("INFO", "roll-out repeated", "A repeat of an order that was taken; nothing was started.",
               "Nothing."),
    223: Event("INFO", "version remembered",
               "Which version a service without an order runs; others of its versions get no request.",
               "`POST /rolls` for another version."),
    224: Event("INFO", "order unclear",
               "Whether an order is a repeat of an ended one is not known yet: 503, nothing is done.",
               "Send it again once the seconds of `left` are over."),
    225: Event("WARNING", "call dropped",
               "A call came to the primary too late or under another epoch; nothing was done.",
               "Look at links among core machines where it repeats."),
    230: Event("INFO", "machine told", "A machine is new, drains, is gone or silent.", "Nothing."),
    231: Event("ERROR", "too many machines",
               "As many machines are known as can be held; a further one was refused (503).",
               "Look which service starts machines without end."),
    300: Event("INFO", "session up", "A front stands with a control front.", "Nothing."),
    301: Event("WARNING", "session down", "The session ended; another control front is sought.",
               "Look at the control front where it repeats."),
    302: Event("INFO", "plan in force", "A front puts calls through by this version.", "Nothing."),
    303: Event("INFO", "ready", "A front tells the platform that it is ready, or no longer.", "Nothing."),
    310: Event("WARNING", "spoilt answer", "A machine's answer was no answer to its request.",
               "Look at the machine where it repeats."),
    311: Event("INFO", "line left out", "A machine is left out after failures.", "Look at the machine."),
    312: Event("INFO", "surplus answers",
               "Figures since the start: answers of machines that no request was due, by place; of these the "
               "refusals; ids that came twice on a connection; on what promises that nothing ran rest.",
               "Look at the machine named where idle, misplaced or behind rise."),
    313: Event("INFO", "clients refused",
               "Figures since the start: requests that were malformed, had too long a head or found no room; "
               "connections refused, ended for newcomers, or ended as their clients read nothing.",
               "Nothing; look for who connects where they rise."),
    320: Event("INFO", "trial vote", "A front votes on a build, with its evidence.", "Nothing."),
    330: Event("INFO", "clients left", "Figures of clients that left before their answers, since the start.",
               "Nothing."),
    331: Event("ERROR", "work outlived its client",
               "Sends went on half a second after their client had left, or began then (counts since start).",
               "Report it, with the lines before it and the figures under /metrics."),
    332: Event("WARNING", "requests given up",
               "The grace is over with requests at work; seconds are after SIGTERM.",
               "A longer grace, where routes have a longer `Tmo`."),
}  # fmt: skip

LOG = logbook.Logger("pinward")


def start(name: str) -> None:
    """Sets up the log of this process on standard error."""
    form = "{record.time:%H:%M:%S.%f} " + name + " {record.level_name} {record.message}"
    logbook.StreamHandler(sys.stderr, level="INFO", format_string=form).push_application()


class LineLimit:
    """Bounds the lines of events that anybody who connects can bring about: `most` of each in `window_s`."""

    most, window_s = 20, 5.0
    events = frozenset((110, 211, 212, 221, 222, 225, 310, 311))

    def __init__(self) -> None:
        self.began: dict[int, float] = {}  # when an event's window began
        self.lines: Counter[int] = Counter()  # of the window
        self.left_out: Counter[int] = Counter()  # since the last line

    def admits(self, number: int, now: float) -> bool:
        """True where the event gets a line at the time `now`."""
        if number not in self.events:
            return True
        if now - self.began.get(number, -self.window_s) >= self.window_s:
            self.began[number], self.lines[number] = now, 0
        self.lines[number] += 1
        admitted = self.lines[number] <= self.most
        self.left_out[number] += not admitted
        return admitted


LIMIT = LineLimit()


def ring(number: int, /, **facts: object) -> None:
    """Writes event `number` of the table, and how many of its lines were left out before."""
    if not LIMIT.admits(number, monotonic()):
        return
    event, left_out = EVENTS[number], LIMIT.left_out.pop(number, 0)
    if left_out:
        facts["left_out"] = left_out
    told = " ".join(f"{key}={str(value)[:TEXT_MOST]}" for key, value in facts.items())
    LOG.log(event.level, "{} {} {}", number, event.name, told)
