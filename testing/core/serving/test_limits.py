"""Tests of recording and merging the limits that upstreams state."""

import pytest

from ridgesill.core.serving.limits import UpstreamLimits

BY = "front-1"


def make_limits(rate: float = 3.0, at: float = 10.0) -> UpstreamLimits:
    """Returns the limits after upstream `u` has stated one."""
    limits = UpstreamLimits()
    limits.record_limit("u", rate, at - 0.2, at, BY)
    return limits


class TestStatedLimits:
    def test_a_limit_holds_once_it_is_stated(self) -> None:
        assert make_limits().rate("u", 10.0) == 3.0
        assert make_limits().rate("u", 9_999.0) == 3.0

    def test_a_lower_limit_holds_at_once(self) -> None:
        limits = make_limits()
        limits.record_limit("u", 1.0, 9.0, 10.1, BY)
        assert limits.rate("u", 10.1) == 1.0

    def test_a_higher_limit_in_an_answer_to_an_earlier_request_is_ignored(
        self,
    ) -> None:
        limits = make_limits()
        limits.record_limit("u", 8.0, 9.9, 10.3, BY)
        assert limits.rate("u", 10.3) == 3.0

    def test_a_higher_limit_in_an_answer_to_a_later_request_holds(self) -> None:
        limits = make_limits()
        limits.record_limit("u", 8.0, 10.1, 10.3, BY)
        assert limits.rate("u", 10.3) == 8.0

    def test_a_limit_is_raised_although_requests_always_overlap(self) -> None:
        limits = make_limits()
        for tenth in range(5):
            at = 10.0 + tenth / 10
            limits.record_limit("u", 8.0, at - 0.3, at, BY)
        assert limits.rate("u", 10.5) == 8.0

    def test_a_restarted_upstream_has_no_limit(self) -> None:
        assert make_limits().rate("u#2", 10.0) is None


class TestLiftedLimits:
    def test_an_answer_to_an_earlier_request_does_not_lift_a_limit(
        self,
    ) -> None:
        limits = make_limits()
        limits.record_unlimited("u", 9.9)
        assert limits.rate("u", 10.1) == 3.0

    def test_the_rate_doubles_every_second_after_a_limit_is_lifted(
        self,
    ) -> None:
        limits = make_limits()
        limits.record_unlimited("u", 10.1)
        rates = [limits.rate("u", 10.1 + second) for second in range(5)]
        assert rates == [3.0, 6.0, 12.0, 24.0, 48.0]

    def test_a_lifted_limit_ends_within_some_seconds(self) -> None:
        limits = make_limits()
        limits.record_unlimited("u", 10.1)
        assert limits.rate("u", 15.2) is None

    def test_a_lifted_limit_can_be_stated_again(self) -> None:
        limits = make_limits()
        limits.record_unlimited("u", 10.1)
        limits.record_limit("u", 2.0, 10.4, 10.5, BY)
        assert limits.rate("u", 14.0) == 2.0

    def test_limits_of_removed_upstreams_are_discarded(self) -> None:
        limits = make_limits()
        limits.discard_except({"v"}, 10.0)
        assert not limits


class TestMerge:
    def test_a_later_statement_replaces_an_earlier_one(self) -> None:
        known, other = make_limits(3.0, 10.0), make_limits(1.0, 12.0)
        assert known.merge(other.report(12.5), 12.5)
        assert known.rate("u", 12.5) == 1.0

    def test_an_earlier_statement_is_ignored(self) -> None:
        known, other = make_limits(3.0, 12.0), make_limits(1.0, 10.0)
        assert not known.merge(other.report(12.5), 12.5)
        assert known.rate("u", 12.5) == 3.0

    def test_a_lifted_limit_is_passed_on(self) -> None:
        known, other = make_limits(), make_limits()
        other.record_unlimited("u", 11.0)
        assert known.merge(other.report(11.5), 11.5)
        assert known.rate("u", 12.0) == 6.0

    def test_a_limit_sent_back_and_forth_does_not_get_newer(self) -> None:
        # Each message takes 3 ms, which the reported ages don't include.
        one, other = make_limits(), make_limits()
        for _ in range(100):
            other.merge(one.report(11.0), 11.003)
            one.merge(other.report(11.0), 11.003)
        assert one.report(11.0)["u"].said_ago == pytest.approx(1.0)

    def test_only_nodes_with_older_limits_need_an_update(self) -> None:
        known = make_limits(3.0, 12.0)
        reported = make_limits(5.0, 10.0).report(12.0)["u"]
        assert known.has_newer("u", reported, 12.0)
        assert not known.has_newer("u", known.report(12.0)["u"], 12.0)
