"""Tests of the run that tolerates listed failures."""

import sys
from pathlib import Path

import pytest

from testing import known_red
from testing.known_red import Entry, Outcomes, Verdict, judge, read_list

pytest_plugins = ["pytester"]

_A = "testing/test_a.py::test_a"
_B = "testing/test_a.py::test_b"
_STRICT = f"{_A}, make test, 0.3 where 0.5 is wanted, issue 9"
_LOOSE = f"{_A}, intermittent, make test, failed in 1 of 3 runs, issue 9"


def _judge(
    lines: list[str],
    ran: set[str],
    failed: set[str],
    is_whole: bool = True,
) -> Verdict:
    """Judges a run that collected what ran or failed."""
    outcomes = Outcomes(ran | failed, ran, failed)
    entries = [Entry.parse(line) for line in lines]
    return judge(entries, outcomes, 1 if failed else 0, is_whole)


class TestStrictLine:
    def test_a_failure_is_tolerated(self) -> None:
        verdict = _judge([_STRICT], {_A, _B}, {_A})
        assert verdict == Verdict(0, [f"known red: failed: {_STRICT}"])

    def test_a_pass_is_red_and_names_the_line(self) -> None:
        verdict = _judge([_STRICT], {_A, _B}, set())
        assert verdict.exit_code == 1
        assert f"known red: passed: {_STRICT}" in verdict.lines
        assert verdict.lines[-1].endswith(f"{_A} passes now: remove its line")

    def test_the_word_counts_as_the_second_field_only(self) -> None:
        line = f"{_A}, make test, intermittent, issue 9"
        assert _judge([line], {_A}, set()).exit_code == 1

    def test_it_stays_strict_beside_an_intermittent_line(self) -> None:
        assert _judge([_STRICT, _LOOSE], {_A}, set()).exit_code == 1
        assert _judge([_LOOSE, _STRICT], {_A}, set()).exit_code == 1


class TestIntermittentLine:
    def test_a_failure_is_tolerated(self) -> None:
        verdict = _judge([_LOOSE], {_A}, {_A})
        assert verdict == Verdict(0, [f"known red: failed: {_LOOSE}"])

    def test_a_pass_is_tolerated(self) -> None:
        verdict = _judge([_LOOSE], {_A}, set())
        line = f"known red: passed (intermittent): {_LOOSE}"
        assert verdict == Verdict(0, [line])

    @pytest.mark.parametrize("failed", [{_A}, set()])
    def test_without_an_issue_it_is_red(self, failed: set[str]) -> None:
        line = f"{_A}, intermittent, make test, failed in 1 of 3 runs, issue"
        verdict = _judge([line], {_A}, failed)
        assert verdict.exit_code == 1
        reason = f"the line of {_A} names no `issue N`"
        assert verdict.lines[-1].endswith(reason)

    def test_a_strict_line_needs_no_issue(self) -> None:
        assert _judge([f"{_A}, make test"], {_A}, {_A}).exit_code == 0


class TestUnlistedFailure:
    def test_it_is_red_beside_listed_ones(self) -> None:
        verdict = _judge([_STRICT], {_A, _B}, {_A, _B})
        assert verdict == Verdict(
            1,
            [
                f"known red: failed: {_STRICT}",
                f"failed and not listed: {_B}",
            ],
        )

    def test_the_name_of_something_else_covers_no_test(self) -> None:
        name = "bench/test_c.py::test_c"
        assert _judge([f"{name}, by hand"], {name}, {name}).exit_code == 1

    def test_one_case_covers_no_other(self) -> None:
        line = f"{_A}[one], make test, issue 9"
        both = {f"{_A}[one]", f"{_A}[two]"}
        verdict = _judge([line], both, both)
        assert verdict.exit_code == 1
        assert verdict.lines[-1] == f"failed and not listed: {_A}[two]"


class TestCollection:
    @pytest.mark.parametrize("line", [_STRICT, _LOOSE])
    def test_a_test_that_is_missing_from_a_whole_run_is_red(
        self, line: str
    ) -> None:
        verdict = _judge([line], {_B}, set())
        assert verdict.exit_code == 1
        assert verdict.lines[0] == f"known red: not collected: {line}"
        assert verdict.lines[1].endswith(f"{_A} isn't among the tests")

    def test_a_listed_test_without_its_case_is_missing(self) -> None:
        assert _judge([_LOOSE], {f"{_A}[one]"}, set()).exit_code == 1

    @pytest.mark.parametrize("line", [_STRICT, _LOOSE])
    def test_a_part_of_the_tests_may_lack_it(self, line: str) -> None:
        verdict = _judge([line], {_B}, set(), is_whole=False)
        assert verdict == Verdict(0, [f"known red: not run: {line}"])

    def test_something_else_is_printed_and_not_looked_for(self) -> None:
        line = "review/1/run.sh, CONFIG, failed in 5 of 5 runs, issue 9"
        verdict = _judge([line], {_B}, set())
        assert verdict == Verdict(0, [f"known red: not a test: {line}"])


class TestList:
    def test_five_lines_may_stand(self, tmp_path: Path) -> None:
        names = {f"testing/test_a.py::test_{number}" for number in range(5)}
        path = tmp_path / "list.txt"
        lines = [f"{name}, make test, issue 9" for name in sorted(names)]
        path.write_text("\n\n".join(lines) + "\n")
        entries = read_list(path)
        assert [entry.line for entry in entries] == lines
        outcomes = Outcomes(names, names, names)
        assert judge(entries, outcomes, 1, is_whole=True).exit_code == 0

    def test_an_empty_file_lists_nothing(self, tmp_path: Path) -> None:
        path = tmp_path / "list.txt"
        path.write_text("\n")
        assert read_list(path) == []

    def test_no_file_lists_nothing(self, tmp_path: Path) -> None:
        assert read_list(tmp_path / "list.txt") == []

    def test_nothing_listed_tolerates_nothing(self) -> None:
        assert _judge([], {_A}, set()) == Verdict(0, [])
        assert _judge([], {_A}, {_A}).exit_code == 1


class TestExitCode:
    @pytest.mark.parametrize("exit_code", [2, 3, 4, 5])
    def test_that_of_a_run_that_broke_off_is_handed_on(
        self, exit_code: int
    ) -> None:
        entries = [Entry.parse(_STRICT)]
        verdict = judge(entries, Outcomes(), exit_code, is_whole=True)
        line = f"known red: not run: {_STRICT}"
        assert verdict == Verdict(exit_code, [line])

    def test_a_run_without_tests_is_red(self) -> None:
        verdict = judge([], Outcomes(), 0, is_whole=True)
        assert verdict.exit_code == 5

    def test_a_failure_without_a_test_is_red(self) -> None:
        outcomes = Outcomes({_A}, {_A})
        assert judge([], outcomes, 1, is_whole=True).exit_code == 1


class TestRun:
    """The program in a tree of its own."""

    @pytest.fixture
    def tree(self, pytester: pytest.Pytester) -> pytest.Pytester:
        """Has one file with a test that passes, one that fails, one more."""
        pytester.makeini("[pytest]\ntestpaths = testing\naddopts = -q")
        folder = pytester.mkpydir("testing")
        program = Path(known_red.__file__).read_text()
        (folder / "known_red.py").write_text(program)
        (folder / "test_a.py").write_text(
            "import pytest\n"
            "@pytest.fixture\n"
            "def broken():\n"
            "    raise ValueError\n"
            "def test_a(): assert False\n"
            "def test_b(): pass\n"
            "def test_c(broken): pass\n"
        )
        return pytester

    @staticmethod
    def _run(
        tree: pytest.Pytester, lines: list[str], *arguments: str
    ) -> tuple[int, list[str]]:
        """Returns how the program ended, and what it printed."""
        (tree.path / "KNOWN-RED.txt").write_text("\n".join(lines))
        result = tree.run(sys.executable, "-m", "testing.known_red", *arguments)
        return int(result.ret), result.outlines

    def test_listed_tests_may_fail_in_setup_too(
        self, tree: pytest.Pytester
    ) -> None:
        in_setup = "testing/test_a.py::test_c, make test, issue 9"
        exit_code, printed = self._run(tree, [_STRICT, in_setup])
        assert exit_code == 0
        # What pytest closes with stays before the verdict.
        assert printed[-3].startswith("1 failed, 1 passed, 1 error in ")
        assert printed[-2:] == [
            f"known red: failed: {_STRICT}",
            f"known red: failed: {in_setup}",
        ]

    def test_an_unlisted_error_in_setup_is_red(
        self, tree: pytest.Pytester
    ) -> None:
        exit_code, printed = self._run(tree, [_STRICT])
        assert exit_code == 1
        unlisted = "testing/test_a.py::test_c"
        assert printed[-1] == f"failed and not listed: {unlisted}"

    def test_an_error_in_setup_alone_is_a_listed_failure(
        self, tree: pytest.Pytester
    ) -> None:
        name = "testing/test_a.py::test_c"
        exit_code, _ = self._run(tree, [f"{name}, issue 9"], name)
        assert exit_code == 0

    def test_a_whole_run_needs_each_listed_test(
        self, tree: pytest.Pytester
    ) -> None:
        missing = "testing/test_a.py::test_d, intermittent, 1 of 2, issue 9"
        exit_code, printed = self._run(tree, [missing], _B)
        assert exit_code == 0
        assert printed[-1] == f"known red: not run: {missing}"
        exit_code, printed = self._run(tree, [missing])
        assert exit_code == 1
        assert f"known red: not collected: {missing}" in printed

    def test_a_file_that_does_not_import_is_handed_on(
        self, tree: pytest.Pytester
    ) -> None:
        (tree.path / "testing" / "test_e.py").write_text("import nothing\n")
        exit_code, printed = self._run(tree, [_STRICT])
        assert exit_code == 2
        assert printed[-1] == "failed and not listed: testing/test_e.py"

    def test_a_wrong_argument_is_handed_on(self, tree: pytest.Pytester) -> None:
        assert self._run(tree, [_STRICT], "testing/test_z.py")[0] == 4

    def test_an_empty_choice_is_handed_on(self, tree: pytest.Pytester) -> None:
        assert self._run(tree, [_STRICT], "-k", "nothing")[0] == 5
