"""Tests of the rate limit for loads of base models."""

from ridgesill.core.fleet.model_rate import ModelLoadRate


class TestModelLoadRate:
    def test_no_window_exceeds_the_limit_of_the_store(self) -> None:
        rate = ModelLoadRate()
        loaded_at = [at / 10 for at in range(200) if rate.acquire(4.0, at / 10)]
        for start in loaded_at:
            window = [at for at in loaded_at if start <= at < start + 5.0]
            assert len(window) <= 4.0 * 5.0

    def test_a_slow_store_still_allows_one_load_at_a_time(self) -> None:
        rate = ModelLoadRate()
        assert rate.acquire(0.01, 0.0)
        assert not rate.acquire(0.01, 4.9)
        assert rate.acquire(0.01, 5.0)
