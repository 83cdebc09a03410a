"""Tests of the freshness lease."""

from ridgesill.core.freshness import Freshness


class TestFreshness:
    def test_it_is_not_valid_before_the_first_answer(self) -> None:
        assert not Freshness(4.0).is_valid(0.0)

    def test_age_counts_from_when_the_request_was_sent(self) -> None:
        freshness = Freshness(4.0)
        freshness.confirm(asked_at=10.0, age=1.0)
        assert freshness.is_valid(12.9)
        assert not freshness.is_valid(13.0)

    def test_an_answer_to_an_earlier_request_does_not_shorten_it(self) -> None:
        freshness = Freshness(4.0)
        freshness.confirm(asked_at=10.0, age=0.0)
        freshness.confirm(asked_at=5.0, age=0.0)
        assert freshness.as_of == 10.0
