"""Runs exactly the tests that docs/PROOFS.md names.

A row proves its statement with the tests in its third column, as
`path::Class::test` or `path::test` in backquotes. A row that says "not
proved" is counted as such.
"""

import re
import sys
from pathlib import Path
from typing import Any

import attrs
import pytest

_PAGE = Path(__file__).parent.parent / "docs" / "PROOFS.md"
_TEST = re.compile(r"`(testing/[\w/]+\.py::[\w:]+)`")
_COLUMNS = 4


@attrs.frozen
class Point:
    """A row of the page."""

    statement: str
    tests: tuple[str, ...]
    is_open: bool


class _Outcomes:
    """Collects the outcomes of tests by id without parameters."""

    def __init__(self) -> None:
        self.passed: set[str] = set()
        self.failed: set[str] = set()

    def pytest_runtest_logreport(self, report: Any) -> None:
        """Notes a phase of a test."""
        name = report.nodeid.partition("[")[0]
        if report.failed:
            self.failed.add(name)
        elif report.when == "call" and report.passed:
            self.passed.add(name)


def read_points(text: str) -> list[Point]:
    """Returns the rows of the page's tables."""
    points = []
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if not line.startswith("|") or len(cells) < _COLUMNS:
            continue
        if cells[0] in ("Statement", "") or set(cells[0]) <= {"-", ":"}:
            continue
        tests = tuple(_TEST.findall(cells[2]))
        points.append(Point(cells[0], tests, "not proved" in cells[2]))
    return points


def main() -> int:
    """Runs the tests; fails unless each named one ran and passed."""
    points = read_points(_PAGE.read_text())
    tests = sorted({test for point in points for test in point.tests})
    outcomes = _Outcomes()
    pytest.main([*tests, "-q"], plugins=[outcomes])
    proved = failed = 0
    for point in points:
        missing = [t for t in point.tests if t not in outcomes.passed]
        broken = [t for t in point.tests if t in outcomes.failed]
        if missing or broken:
            failed += 1
            print(f"not passed: {point.statement}: {missing or broken}")
        elif not point.is_open:
            if point.tests:
                proved += 1
            else:
                failed += 1
                print(f"names no test: {point.statement}")
    unproved = sum(1 for point in points if point.is_open)
    print(
        f"proofs: points={len(points)} proved={proved} failed={failed} "
        f"not_proved={unproved}"
    )
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main())
