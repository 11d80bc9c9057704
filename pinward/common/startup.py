"""Imported before all else by a program that heeds SIGHUP: the signal ends no process that only just starts.

A settings file that changes meanwhile is read by the start itself, or at the next look at it.
"""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
