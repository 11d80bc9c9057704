"""The new build against the earlier one, as votes compare them: of all fronts."""

from pinward.figures import Sample, relative, surely, together

SLOWER, SLOW_LEAST = 2.2, 12  # times the earlier build's: "considerably slower"; outcomes it takes to tell
FAULTIER = 2.0  # times the earlier build's share


def slower(new: list[Sample], old: list[Sample], start: float, least: int) -> bool:
    """True where the new build is considerably slower in the same seconds since `start`."""
    paces = relative(*together(new, old, start), SLOW_LEAST)
    return len(paces) >= least and surely(paces) > SLOWER
