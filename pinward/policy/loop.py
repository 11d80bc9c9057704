"""The design's PID loop on own outcomes at the new build, and the clamp that no send passes."""

PERIOD_S = 0.2  # s; the loop's period, as the design starts it
GAIN_P, GAIN_I, GAIN_D = 4.0, 0.2, 1.0  # gains of the source's map-search run
AIM_LATENCY, AIM_FAULTS = 0.6, 0.1  # of the SLA time, room for the tail; share, two in twenty outcomes
RATE_MOST = 2.0  # 1/s, lest one outcome shut the trial


class Loop:
    def __init__(self) -> None:
        self.share, self.integral = 0.0, 0.0
        self.error: float | None = None  # the last

    def begin(self, share: float) -> None:
        self.share, self.integral, self.error = share, 0.0, None

    def step(self, error: float, clamp: float) -> float:
        """One period: sets the share within the clamp and returns what the loop asked for."""
        rate = 0.0 if self.error is None else max(-RATE_MOST, min(RATE_MOST, (error - self.error) / PERIOD_S))
        out = GAIN_P * error + GAIN_I * self.integral + GAIN_D * rate
        if 0.0 < out < clamp:  # the integral stands still while the output is clamped
            self.integral += error * PERIOD_S
        self.error, self.share = error, max(0.0, min(clamp, out))
        return out


def within(sent: float, taken: float, cap: float, free: float) -> bool:
    """True where one more send to the new build keeps all of them within the cap. Cap 0 sends nothing."""
    return cap > 0.0 and sent + 1 <= free + cap * taken
