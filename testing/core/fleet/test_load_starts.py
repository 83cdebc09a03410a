"""Tests of when an adapter that waits for a slot is expected to be loaded."""

import pytest

from ridgesill.core.fleet.load_starts import LoadStarts, is_hopeless


class TestRetryAfter:
    def test_is_the_time_in_which_those_ahead_get_their_slots(self) -> None:
        starts = LoadStarts()
        for number in range(100):
            starts.record(number / 10)
        assert starts.retry_after(19, 9.9) == pytest.approx(2.0, rel=0.1)
        assert starts.retry_after(4, 9.9) == pytest.approx(0.5, rel=0.1)

    def test_is_finite_while_no_slot_became_free(self) -> None:
        assert LoadStarts().retry_after(0, 5.0) == pytest.approx(1.5)


class TestIsHopeless:
    @pytest.mark.parametrize(
        ("ahead", "rate", "patience", "is_cached", "expected"),
        [
            (0, 24.0, 0.3, False, False),
            (0, 24.0, 0.2, False, True),
            (0, 24.0, 0.2, True, False),
            (36, 24.0, 1.8, False, False),
            (38, 24.0, 1.8, False, True),
            (500, 0.0, 1.8, False, False),
        ],
    )
    def test_only_what_the_full_rate_of_the_store_excludes(
        self,
        ahead: int,
        rate: float,
        patience: float,
        *,
        is_cached: bool,
        expected: bool,
    ) -> None:
        assert (
            is_hopeless(ahead, rate, patience, is_cached=is_cached) == expected
        )
