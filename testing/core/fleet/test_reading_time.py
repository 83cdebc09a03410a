"""Tests of the prediction of reading times."""

import pytest

from ridgesill.core.fleet.reading_time import ReadingTimes

# Lengths of prompts in tokens, and a model with attention: seconds for each
# token and for each pair of tokens.
_SIZES = (3000, 7000, 9000, 12_000, 20_000, 33_000)
_SECONDS_PER_TOKEN = 3.2e-5
_SECONDS_PER_TOKEN_PAIR = 3.3e-10


def record_readings(
    times: ReadingTimes, paces: dict[str, float], rounds: int
) -> None:
    """Records prompts of all lengths for each engine.

    Args:
        times: records the prompts.
        paces: the pace of each engine.
        rounds: how often each length is recorded.
    """
    for _ in range(rounds):
        for engine, pace in paces.items():
            for tokens in _SIZES:
                times.record(engine, tokens, reference_seconds(tokens) * pace)


def reference_seconds(tokens: int) -> float:
    """Returns how long an engine of pace 1 takes, in seconds."""
    return _SECONDS_PER_TOKEN * tokens + _SECONDS_PER_TOKEN_PAIR * tokens**2


class TestReadingTimes:
    def test_long_prompts_take_more_than_a_constant_rate_predicts(self) -> None:
        times = ReadingTimes()
        record_readings(times, {"e1": 1.0, "e2": 1.0}, 10)
        for tokens in (600, 9000, 33_000):
            found = times.seconds("e1", tokens)
            assert found == pytest.approx(reference_seconds(tokens), rel=0.1)

    def test_each_engine_has_its_pace(self) -> None:
        times = ReadingTimes()
        record_readings(times, {"e1": 1.0, "e2": 1.5}, 20)
        ratio = times.seconds("e2", 9000) / times.seconds("e1", 9000)
        assert ratio == pytest.approx(1.5, rel=0.05)

    def test_a_cached_prompt_distorts_the_prediction_little(self) -> None:
        times = ReadingTimes()
        record_readings(times, {"e1": 1.0}, 10)
        times.record("e1", 20_000, 0.001)
        assert times.seconds("e1", 20_000) == pytest.approx(
            reference_seconds(20_000), rel=0.15
        )

    @pytest.mark.parametrize("seconds", [0.0, -1.0])
    def test_observations_without_duration_are_ignored(
        self, seconds: float
    ) -> None:
        times = ReadingTimes()
        before = times.seconds("e1", 9000)
        times.record("e1", 9000, seconds)
        assert times.seconds("e1", 9000) == before
