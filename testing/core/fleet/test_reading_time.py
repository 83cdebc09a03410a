"""Tests of how long engines are expected to read."""

import pytest

from ridgesill.core.fleet.reading_time import ReadingTimes

# Tokens, and a law with attention: seconds for each and for each pair.
_SIZES = (3000, 7000, 9000, 12_000, 20_000, 33_000)
_TOKEN = 3.2e-5
_PAIR = 3.3e-10


def teach(times: ReadingTimes, paces: dict[str, float], rounds: int) -> None:
    """Has engines read prompts of all sizes."""
    for _ in range(rounds):
        for engine, pace in paces.items():
            for tokens in _SIZES:
                times.record(engine, tokens, law(tokens) * pace)


def law(tokens: int) -> float:
    """Returns what an engine of pace 1 takes, in seconds."""
    return _TOKEN * tokens + _PAIR * tokens**2


class TestReadingTimes:
    def test_the_longest_take_more_than_their_share(self) -> None:
        times = ReadingTimes()
        teach(times, {"e1": 1.0, "e2": 1.0}, 10)
        for tokens in (600, 9000, 33_000):
            found = times.seconds("e1", tokens)
            assert found == pytest.approx(law(tokens), rel=0.1)

    def test_each_engine_has_its_pace(self) -> None:
        times = ReadingTimes()
        teach(times, {"e1": 1.0, "e2": 1.5}, 20)
        ratio = times.seconds("e2", 9000) / times.seconds("e1", 9000)
        assert ratio == pytest.approx(1.5, rel=0.05)

    def test_parts_that_were_kept_spoil_little(self) -> None:
        times = ReadingTimes()
        teach(times, {"e1": 1.0}, 10)
        times.record("e1", 20_000, 0.001)
        assert times.seconds("e1", 20_000) == pytest.approx(
            law(20_000), rel=0.15
        )

    @pytest.mark.parametrize("seconds", [0.0, -1.0])
    def test_what_took_no_time_says_nothing(self, seconds: float) -> None:
        times = ReadingTimes()
        before = times.seconds("e1", 9000)
        times.record("e1", 9000, seconds)
        assert times.seconds("e1", 9000) == before
