"""Tests of reading plans and of overriding constants."""

from pathlib import Path

import pytest

from ridgesill.core.fleet import copies
from ridgesill.standin.experiment.constants import override_constants
from ridgesill.standin.experiment.plan import PlanError, read_plan

PLAN_PATH = Path(__file__).parents[3] / "bench/experiments/long-prompts.toml"
SCENARIO = '[[scenario]]\nname = "x"\n'


def write(folder: Path, text: str) -> str:
    """Writes a plan with a text and returns its path."""
    path = folder / "plan.toml"
    path.write_text(text)
    return str(path)


class TestReadPlan:
    def test_the_bundled_plan_is_valid(self) -> None:
        plan = read_plan(str(PLAN_PATH))
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
    def test_errors_name_the_line_and_the_wrong_name(
        self, tmp_path: Path, text: str, line: int, said: str
    ) -> None:
        with pytest.raises(PlanError) as caught:
            read_plan(write(tmp_path, text))
        assert caught.value.line == line
        assert said in str(caught.value)


class TestConstants:
    def test_overrides_end_with_the_block(self) -> None:
        before = copies._SHARE
        with override_constants({"core.fleet.copies._SHARE": 2.0}):
            assert copies._SHARE == 2.0
        assert before == copies._SHARE
