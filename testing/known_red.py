"""Runs pytest and tolerates failures only of tests listed in KNOWN-RED.txt.

A line names what is red up to its first comma. A line whose second field is
`intermittent` names a test that may fail or pass; any other listed test has to
fail, so that the list stays up to date.
"""

import re
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs
import pytest

_LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
_TESTS_FOLDER = "testing/"
_INTERMITTENT = "intermittent"
_ISSUE = re.compile(r"\bissue \d+\b")
_FAILED = 1
_NO_TESTS_RAN = 5


@attrs.frozen
class Entry:
    """One line of the list.

    Attributes:
        name: A test's id, or the path of something that isn't a test.
        is_intermittent: Whether the test may also pass.
        line: The whole line.
    """

    name: str
    is_intermittent: bool
    line: str

    @classmethod
    def parse(cls, line: str) -> "Entry":
        """Returns the entry that a line stands for."""
        fields = [field.strip() for field in line.split(",")]
        return cls(fields[0], fields[1:2] == [_INTERMITTENT], line.strip())

    @property
    def is_test(self) -> bool:
        """Whether pytest is to collect what the line names."""
        return self.name.startswith(_TESTS_FOLDER)

    @property
    def lacks_issue(self) -> bool:
        """Whether the line has to name an issue and doesn't."""
        rest = self.line.partition(",")[2]
        return self.is_intermittent and not _ISSUE.search(rest)


@attrs.frozen
class Verdict:
    """What a run comes to.

    Attributes:
        exit_code: 0 if only listed tests failed, and each as its line says.
        lines: The verdict for a person.
    """

    exit_code: int
    lines: list[str]


class Outcomes:
    """Collects which tests pytest chose, which ran and which failed."""

    def __init__(
        self,
        collected: Iterable[str] = (),
        ran: Iterable[str] = (),
        failed: Iterable[str] = (),
    ) -> None:
        self.collected = set(collected)
        self.ran = set(ran)
        self.failed = set(failed)

    def pytest_collectreport(self, report: Any) -> None:
        """Records a file that couldn't be collected."""
        if report.failed:
            self.failed.add(report.nodeid)

    def pytest_collection_finish(self, session: Any) -> None:
        """Records the tests that are to run."""
        self.collected.update(item.nodeid for item in session.items)

    def pytest_runtest_logreport(self, report: Any) -> None:
        """Records the outcome of one phase of a test."""
        if report.when == "call":
            self.ran.add(report.nodeid)
        if report.failed:
            self.failed.add(report.nodeid)


def read_list(path: Path) -> list[Entry]:
    """Returns the entries of a list, none if there is no such file."""
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [Entry.parse(line) for line in lines if line.strip()]


def _describe(entry: Entry, outcomes: Outcomes, is_complete: bool) -> str:
    """Says how the test of an entry ended."""
    if not entry.is_test:
        return "not a test"
    if entry.name in outcomes.failed:
        return "failed"
    if entry.name in outcomes.ran:
        return "passed (intermittent)" if entry.is_intermittent else "passed"
    if is_complete and entry.name not in outcomes.collected:
        return "not collected"
    return "not run"


def _list_reasons(entry: Entry, word: str) -> list[str]:
    """Returns why a line makes the run red."""
    reasons = []
    if word == "passed":
        reasons.append(f"{entry.name} passes now: remove its line")
    if word == "not collected":
        reasons.append(f"{entry.name} isn't among the tests")
    if entry.lacks_issue:
        reasons.append(f"the line of {entry.name} names no `issue N`")
    return reasons


def judge(
    entries: list[Entry],
    outcomes: Outcomes,
    exit_code: int,
    is_whole: bool,
) -> Verdict:
    """Returns the verdict of a run.

    Args:
        entries: What is listed.
        outcomes: What pytest reported.
        exit_code: What pytest ended with.
        is_whole: Whether pytest was to run all tests.
    """
    # A run that ended early says nothing of tests that it didn't come to.
    has_ended = exit_code in (0, _FAILED)
    lines, reasons = [], []
    for entry in entries:
        word = _describe(entry, outcomes, is_whole and has_ended)
        lines.append(f"known red: {word}: {entry.line}")
        reasons += _list_reasons(entry, word)
    listed = {entry.name for entry in entries if entry.is_test}
    unlisted = sorted(outcomes.failed - listed)
    lines += [f"failed and not listed: {name}" for name in unlisted]
    lines += [f"{_LIST_PATH.name}: {reason}" for reason in reasons]
    if not has_ended:
        return Verdict(exit_code, lines)
    if exit_code == _FAILED and not outcomes.failed:
        lines.append("pytest ended with 1, and no test failed")
        return Verdict(_FAILED, lines)
    if unlisted or reasons:
        return Verdict(_FAILED, lines)
    if not outcomes.ran | outcomes.failed:
        return Verdict(_NO_TESTS_RAN, lines)
    return Verdict(0, lines)


def main() -> int:
    """Runs pytest; returns an exit code that ignores listed failures."""
    entries = read_list(_LIST_PATH)
    outcomes = Outcomes()
    # pytest adds to the arguments that it's given: each gets its own.
    exit_code = int(pytest.main(sys.argv[1:], plugins=[outcomes]))
    verdict = judge(entries, outcomes, exit_code, not sys.argv[1:])
    for line in verdict.lines:
        print(line)
    return verdict.exit_code


if __name__ == "__main__":
    sys.exit(main())
