"""Runs exactly the tests that docs/PROOFS.md names.

Each table row has a statement in its first column and the tests that prove it
in the third, as `path::Class::test` or `path::test` in backquotes. A row whose
third column says "not proved" is counted separately.
"""

import re
import sys
from pathlib import Path
from typing import Any

import attrs
import pytest

_PROOFS_FILE = Path(__file__).parent.parent / "docs" / "PROOFS.md"
_TEST_ID = re.compile(r"`(testing/[\w/]+\.py::[\w:]+)`")
_MIN_COLUMNS = 4


@attrs.frozen
class Claim:
    """A statement and the tests that prove it.

    Attributes:
        statement: the text of the statement.
        tests: the ids of the tests.
        is_unproved: whether the row says "not proved".
    """

    statement: str
    tests: tuple[str, ...]
    is_unproved: bool


class _Outcomes:
    """Collects the ids of passed and failed tests, without parameters."""

    def __init__(self) -> None:
        self.passed: set[str] = set()
        self.failed: set[str] = set()

    def pytest_runtest_logreport(self, report: Any) -> None:
        """Records the outcome of one phase of a test."""
        name = report.nodeid.partition("[")[0]
        if report.failed:
            self.failed.add(name)
        elif report.when == "call" and report.passed:
            self.passed.add(name)


def parse_claims(text: str) -> list[Claim]:
    """Returns the statements in the tables of a Markdown text."""
    claims = []
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if not line.startswith("|") or len(cells) < _MIN_COLUMNS:
            continue
        if cells[0] in ("Statement", "") or set(cells[0]) <= {"-", ":"}:
            continue
        tests = tuple(_TEST_ID.findall(cells[2]))
        claims.append(Claim(cells[0], tests, "not proved" in cells[2]))
    return claims


def main() -> int:
    """Runs the tests; returns 0 if all passed and no proof lacks a test."""
    claims = parse_claims(_PROOFS_FILE.read_text())
    tests = sorted({test for claim in claims for test in claim.tests})
    outcomes = _Outcomes()
    pytest.main([*tests, "-q"], plugins=[outcomes])
    proved = failed = 0
    for claim in claims:
        not_passed = [t for t in claim.tests if t not in outcomes.passed]
        failing = [t for t in claim.tests if t in outcomes.failed]
        if not_passed or failing:
            failed += 1
            print(f"not passed: {claim.statement}: {not_passed or failing}")
        elif not claim.is_unproved:
            if claim.tests:
                proved += 1
            else:
                failed += 1
                print(f"names no test: {claim.statement}")
    unproved = sum(1 for claim in claims if claim.is_unproved)
    print(
        f"proofs: points={len(claims)} proved={proved} failed={failed} "
        f"not_proved={unproved}"
    )
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main())
