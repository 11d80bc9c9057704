"""When a proxy that was told to end does what, and which requests it still sends to machines.

The invariant: after SIGTERM a request is sent to a machine only early in the grace, or where all of its
time is over before the proxy gives up what is left. What may not be sent any more is refused with 503: it has
not run, and its client goes to another proxy. All other moments follow from that one. No clock, no socket.
"""

from __future__ import annotations

from dataclasses import dataclass

HEARD_S = 2.2  # s after which the platform, which asks each second, has surely heard that a proxy leaves
SENDS_S = 2.4  # s after SIGTERM in which every request is sent on, at most
SENDS_PART = 0.4  # of the grace, likewise: more than half of it is left for what was sent
LAST_S = 2.4  # s before the grace ends: no client is taken any more
GIVE_UP_S = 0.5  # s before the grace ends: what is not answered yet gets an answer of our own
EXIT_S = 0.2  # s before the grace ends: the process itself takes some time to end


@dataclass(frozen=True)
class LeaveSchedule:
    """The moments of a proxy's end, in seconds of the loop's clock."""

    signalled_at: float
    grace_s: float

    @property
    def ends_at(self) -> float:
        """The end of the grace."""
        return self.signalled_at + self.grace_s

    @property
    def sends_until(self) -> float:
        """Until then every request is sent on; what was read by then is the last that connections carry."""
        return self.signalled_at + min(SENDS_S, SENDS_PART * self.grace_s)

    @property
    def accepts_until(self) -> float:
        """The latest end of the listener."""
        return self.ends_at - LAST_S

    @property
    def heard_at(self) -> float:
        """From then on the platform sends no client but where it has no better proxy."""
        return min(self.signalled_at + HEARD_S, self.accepts_until)

    @property
    def gives_up_at(self) -> float:
        """What is left then is answered by what is known of it."""
        return self.ends_at - GIVE_UP_S

    @property
    def exits_at(self) -> float:
        """What is left then ends with the process."""
        return self.ends_at - EXIT_S

    def may_send(self, now: float, request_until: float) -> bool:
        """True where a request whose time is over at `request_until` may be sent to a machine now."""
        return now < self.sends_until or request_until <= self.gives_up_at
