"""What is known of the limits that upstreams name, as answers come and go."""

import pytest

from ridgesill.core.serving.limits import UpstreamLimits

BY = "front-1"


def named(rate: float = 3.0, at: float = 10.0) -> UpstreamLimits:
    """Returns what is known once an upstream has named a limit."""
    made = UpstreamLimits()
    made.record_limit("u", rate, at - 0.2, at, BY)
    return made


class TestWords:
    def test_a_limit_holds_from_the_first_word_on(self) -> None:
        assert named().rate("u", 10.0) == 3.0
        assert named().rate("u", 9_999.0) == 3.0

    def test_a_lower_one_holds_at_once(self) -> None:
        limits = named()
        limits.record_limit("u", 1.0, 9.0, 10.1, BY)
        assert limits.rate("u", 10.1) == 1.0

    def test_a_higher_one_in_an_answer_to_an_earlier_request_does_not(
        self,
    ) -> None:
        limits = named()
        limits.record_limit("u", 8.0, 9.9, 10.3, BY)
        assert limits.rate("u", 10.3) == 3.0

    def test_a_higher_one_in_an_answer_to_a_later_request_does(self) -> None:
        limits = named()
        limits.record_limit("u", 8.0, 10.1, 10.3, BY)
        assert limits.rate("u", 10.3) == 8.0

    def test_it_is_raised_though_requests_overlap_all_the_time(self) -> None:
        limits = named()
        for tenth in range(5):
            at = 10.0 + tenth / 10
            limits.record_limit("u", 8.0, at - 0.3, at, BY)
        assert limits.rate("u", 10.5) == 8.0

    def test_another_start_has_none(self) -> None:
        assert named().rate("u#2", 10.0) is None


class TestEnd:
    def test_an_answer_to_an_earlier_request_says_nothing(self) -> None:
        limits = named()
        limits.record_unlimited("u", 9.9)
        assert limits.rate("u", 10.1) == 3.0

    def test_after_the_last_word_it_rises_step_by_step(self) -> None:
        limits = named()
        limits.record_unlimited("u", 10.1)
        rates = [limits.rate("u", 10.1 + second) for second in range(5)]
        assert rates == [3.0, 6.0, 12.0, 24.0, 48.0]

    def test_it_is_over_within_some_seconds(self) -> None:
        limits = named()
        limits.record_unlimited("u", 10.1)
        assert limits.rate("u", 15.2) is None

    def test_another_word_brings_it_back(self) -> None:
        limits = named()
        limits.record_unlimited("u", 10.1)
        limits.record_limit("u", 2.0, 10.4, 10.5, BY)
        assert limits.rate("u", 14.0) == 2.0

    def test_upstreams_that_are_gone_are_forgotten(self) -> None:
        limits = named()
        limits.discard_except({"v"}, 10.0)
        assert not limits


class TestMerge:
    def test_the_later_word_counts(self) -> None:
        known, other = named(3.0, 10.0), named(1.0, 12.0)
        assert known.merge(other.report(12.5), 12.5)
        assert known.rate("u", 12.5) == 1.0

    def test_the_earlier_one_does_not(self) -> None:
        known, other = named(3.0, 12.0), named(1.0, 10.0)
        assert not known.merge(other.report(12.5), 12.5)
        assert known.rate("u", 12.5) == 3.0

    def test_an_end_is_passed_on(self) -> None:
        known, other = named(), named()
        other.record_unlimited("u", 11.0)
        assert known.merge(other.report(11.5), 11.5)
        assert known.rate("u", 12.0) == 6.0

    def test_a_word_that_goes_round_gets_no_younger(self) -> None:
        # Each way takes some milliseconds, which ages don't count.
        one, other = named(), named()
        for _ in range(100):
            other.merge(one.report(11.0), 11.003)
            one.merge(other.report(11.0), 11.003)
        assert one.report(11.0)["u"].said_ago == pytest.approx(1.0)

    def test_who_knows_less_is_told(self) -> None:
        known = named(3.0, 12.0)
        told = named(5.0, 10.0).report(12.0)["u"]
        assert known.has_newer("u", told, 12.0)
        assert not known.has_newer("u", known.report(12.0)["u"], 12.0)
