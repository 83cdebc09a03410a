"""Tests of how often base models are loaded."""

from ridgesill.core.fleet.model_rate import ModelLoadRate


class TestModelRate:
    def test_no_window_gets_more_than_the_store_allows(self) -> None:
        rate = ModelLoadRate()
        taken = [at / 10 for at in range(200) if rate.acquire(4.0, at / 10)]
        for begin in taken:
            window = [at for at in taken if begin <= at < begin + 5.0]
            assert len(window) <= 4.0 * 5.0

    def test_a_slow_store_still_gives_one_at_a_time(self) -> None:
        rate = ModelLoadRate()
        assert rate.acquire(0.01, 0.0)
        assert not rate.acquire(0.01, 4.9)
        assert rate.acquire(0.01, 5.0)
