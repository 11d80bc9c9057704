"""What many fronts do together, in simulated time: `standin/crowd.py` has the fleet."""

from __future__ import annotations

import unittest

from standin.crowd import Build, Crowd
from tests.trace import compare


class Together(unittest.TestCase):
    def day(self, build: Build, seconds: float, **more: float) -> Crowd:
        """A build offered at 4 s to 24 places behind 24 fronts; every place fails a txn now and then."""
        crowd = Crowd(3, 24, 24, 0.5, [build], **more)
        for machine in crowd.homes:
            crowd.weak[machine.place] = (1.0, 0.007)
            machine.faults = 0.007
        crowd.run(seconds)
        return crowd

    def test_builds(self) -> None:
        """Amid stray faults a sound build is released and a faulty one goes back before the last stage."""
        lines = []
        for build in (Build(4.0), Build(4.0, faults=0.3)):
            self.day(build, 24.0)
            lines.append(f"faults {build.faults}: {build.fate} at {build.at:.0f} s")
        compare(self, "crowd-builds", lines)

    def test_votes_counted(self) -> None:
        """Where three votes a second are counted, fronts take turns, and the stages move all the same."""
        build = Build(4.0)
        crowd = self.day(build, 36.0, votes_per_s=3.0)
        said = f"{crowd.voted} votes, {crowd.full} refused; {build.fate} at {build.at:.0f} s"
        compare(self, "crowd-votes", [said])
