"""Tests of the request order at engines and of the prefill estimate."""

import pytest

from ridgesill.core.serving.prefill_rate import PrefillRate
from ridgesill.core.serving.rank import rank_request


class TestRank:
    @pytest.mark.parametrize("left", [0.8, -1.0])
    def test_short_prompts_go_first(self, left: float) -> None:
        assert rank_request(0.03, left) < rank_request(0.3, left)

    def test_long_prompts_are_not_ranked_by_length(self) -> None:
        assert rank_request(0.3, 0.8) == rank_request(0.7, 0.8)

    def test_requests_that_can_be_in_time_go_before_others(self) -> None:
        assert rank_request(0.7, 0.8) < rank_request(0.03, 0.02)
        assert rank_request(0.7, 0.8) < rank_request(0.9, 0.8)

    @pytest.mark.parametrize("seconds", [0.001, 0.3, 5.0])
    @pytest.mark.parametrize("left", [-3.0, 0.0, 0.5, 20.0])
    def test_ranks_are_from_0_to_9(self, seconds: float, left: float) -> None:
        assert 0 <= rank_request(seconds, left) <= 9


class TestPrefillRate:
    def test_the_estimate_follows_engines_of_another_speed(self) -> None:
        rate = PrefillRate()
        for number in range(600):
            # Every third prompt waits behind another one.
            wait = 0.5 if number % 3 == 0 else 0.0
            rate.record(8000, 8000 / 8000 + wait)
        assert rate.estimate_seconds(8000) == pytest.approx(1.0, rel=0.15)

    def test_cached_prompt_parts_hardly_raise_the_estimate(self) -> None:
        rate = PrefillRate()
        previous = rate.estimate_seconds(9000)
        rate.record(9000, 0.03)
        assert rate.estimate_seconds(9000) > 0.85 * previous

    def test_short_prompts_are_ignored(self) -> None:
        rate = PrefillRate()
        previous = rate.estimate_seconds(9000)
        rate.record(300, 2.0)
        assert rate.estimate_seconds(9000) == previous
