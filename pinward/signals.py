"""Signals as bytes on a socket, for processes that wait on descriptors."""

from __future__ import annotations

import signal
import socket


def told_of(*numbers: signal.Signals) -> socket.socket:
    """Where each of these signals comes as a byte, its number, instead of what it would do."""
    told, teller = socket.socketpair()
    teller.setblocking(False)
    teller_fd = teller.detach()  # it lives as long as the process
    signal.set_wakeup_fd(teller_fd, warn_on_full_buffer=False)
    for number in numbers:
        signal.signal(number, lambda *_: None)
    return told
