"""Runs a module with a clock that runs fast or slow: `python -m standin.skewed RATE MODULE WORD...`.

A rate of 1.1 shows a tenth more than has passed. Waits are as long as that clock makes them.
"""

from __future__ import annotations

import runpy
import sys

from pinward.net import scheduler


def skew(rate: float) -> None:
    """All schedulers of this process see time pass at another rate from now on."""
    true = scheduler.time.monotonic
    began = true()

    class Clock:
        time = staticmethod(scheduler.time.time)

        @staticmethod
        def monotonic() -> float:
            return began + (true() - began) * rate

    scheduler.time = Clock  # type: ignore[assignment]


if __name__ == "__main__":
    rate, module = float(sys.argv[1]), sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    skew(rate)
    runpy.run_module(module, run_name="__main__", alter_sys=True)
