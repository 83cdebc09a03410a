"""Tests of what an experiment's file may say."""

from pathlib import Path

import pytest

from ridgesill.core.fleet import copies
from ridgesill.standin.experiment.constants import with_constants
from ridgesill.standin.experiment.plan import PlanError, read_plan

GIVEN = Path(__file__).parents[3] / "bench/experiments/long-prompts.toml"
SCENARIO = '[[scenario]]\nname = "x"\n'


def write(folder: Path, text: str) -> str:
    """Returns the path of a file with a text."""
    path = folder / "plan.toml"
    path.write_text(text)
    return str(path)


class TestReadPlan:
    def test_the_one_that_comes_with_the_project(self) -> None:
        plan = read_plan(str(GIVEN))
        assert [s.name for s in plan.scenarios] == ["calm", "load", "losses"]
        assert plan.scenarios[1].kinds[0].shared[1].variants == 24
        assert len(plan.variants) > 1

    @pytest.mark.parametrize(
        ("text", "line", "said"),
        [
            ("seeds = ", 1, "not TOML"),
            ("seeds = 2\n", 1, "at least one"),
            (SCENARIO + "engnes = 3\n", 3, "engnes"),
            (SCENARIO + "bursts = [{ at = 1.0 }]\n", 3, "Burst"),
            (SCENARIO + "popularity = 3\n", 3, "expected a table"),
            (
                SCENARIO + "[[variant]]\n"
                'constants = { "core.fleet.copies._NONE" = 1 }\n',
                4,
                "_NONE",
            ),
            (
                SCENARIO + "[[variant]]\n"
                'constants = { "core.nowhere._X" = 1 }\n',
                4,
                "core.nowhere",
            ),
        ],
    )
    def test_what_is_wrong_is_named_with_its_line(
        self, tmp_path: Path, text: str, line: int, said: str
    ) -> None:
        with pytest.raises(PlanError) as caught:
            read_plan(write(tmp_path, text))
        assert caught.value.line == line
        assert said in str(caught.value)


class TestConstants:
    def test_they_hold_for_a_while_only(self) -> None:
        before = copies._SHARE
        with with_constants({"core.fleet.copies._SHARE": 2.0}):
            assert copies._SHARE == 2.0
        assert before == copies._SHARE
