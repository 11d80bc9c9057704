"""Runs all tests. The failures that KNOWN-RED.txt lists are passed over and printed; all others count.

A line of that file is `test id: cause; issue N`, one for each fault. A listed test that passes fails the run,
so that it is taken off the list with its mend.
"""

from __future__ import annotations

import re
import sys
import unittest
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
LIST = ROOT / "KNOWN-RED.txt"
ISSUE = re.compile(r"\S issue \d+$")  # who looks after the fault ends the line


def read_list(text: str) -> dict[str, str]:
    """Causes by test id. Raises ValueError for a line without a cause or an issue, or a test listed twice."""
    known = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        test, _, cause = line.partition(": ")
        if not ISSUE.search(cause):
            raise ValueError(f"{LIST.name}: a line is `test id: cause; issue N`, not {line!r}")
        if test in known:
            raise ValueError(f"{LIST.name}: {test} is listed twice")
        known[test] = cause
    return known


class Result(unittest.TextTestResult):
    """Takes the failure of a listed test as expected."""

    known: dict[str, str] = {}

    def addSuccess(self, test: Any) -> None:  # noqa: N802
        if test.id() in self.known:
            self.addUnexpectedSuccess(test)
        else:
            super().addSuccess(test)

    def addFailure(self, test: Any, err: Any) -> None:  # noqa: N802
        self.fell(test, err, super().addFailure)

    def addError(self, test: Any, err: Any) -> None:  # noqa: N802
        self.fell(test, err, super().addError)

    def fell(self, test: Any, err: Any, count: Any) -> None:
        if test.id() in self.known:
            self.addExpectedFailure(test, err)
        else:
            count(test, err)


def main() -> int:
    known = read_list(LIST.read_text() if LIST.exists() else "")
    Result.known = known
    for test, cause in known.items():
        print(f"known red, passed over: {test}: {cause}")
    found = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    run = unittest.TextTestRunner(resultclass=Result).run(found)
    return 0 if run.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
