"""Tests of how a front enforces the rate limits of upstreams."""

import random

from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.front_limits import FrontLimits, LimitDraws
from ridgesill.core.serving.rates import DECIDE_LOCALLY, RateState, RateUse

LIMITED = Upstream("u", "s", "10.0.0.1:80", "a", 4)
UNLIMITED = Upstream("v", "s", "10.0.0.2:80", "a", 4)


def make_limits(
    share: float | None, fronts: int = 7, rate: float = 3.0
) -> FrontLimits:
    """Returns a front's limits after an update with this share, if any."""
    limits = FrontLimits(random.Random(1), "front-1")
    limits.record_limit("u", rate, 0.0, 0.0)
    states = {} if share is None else {"u": RateState(share, 0.0)}
    limits.apply_news(FleetView(fronts=fronts, updated_at=0.0, sends=states))
    return limits


def count_allowed(limits: FrontLimits, times: list[float]) -> int:
    return sum(LimitDraws(limits).is_allowed("u", at) for at in times)


def make_times(start: float, seconds: float) -> list[float]:
    return [start + n / 10 for n in range(int(10 * seconds))]


class TestShares:
    def test_upstreams_without_a_limit_are_allowed(self) -> None:
        draws = LimitDraws(make_limits(0.0))
        assert draws.is_allowed("v", 0.1)
        assert not draws.is_allowed("u", 0.1)

    def test_the_reported_share_of_requests_is_allowed(self) -> None:
        assert 200 < count_allowed(make_limits(0.25), [0.1] * 1000) < 300

    def test_a_request_is_drawn_for_only_once(self) -> None:
        draws = LimitDraws(make_limits(0.5))
        assert len({draws.is_allowed("u", 0.1) for _ in range(50)}) == 1

    def test_offered_and_sent_requests_are_counted_separately(self) -> None:
        limits = make_limits(1.0)
        first, second = LimitDraws(limits), LimitDraws(limits)
        first.is_allowed("u", 0.1)
        second.is_allowed("u", 0.1)
        second.record_sent("u", 0.1)
        assert limits.rates.collect_uses() == {"u": RateUse(1, 2)}

    def test_a_request_that_reached_no_upstream_is_reverted(self) -> None:
        limits = make_limits(1.0)
        draws = LimitDraws(limits)
        draws.is_allowed("u", 0.1)
        draws.record_sent("u", 0.1)
        draws.revert_sent("u", 0.2)
        assert limits.rates.collect_uses() == {"u": RateUse(0, 1)}


class TestLocalBuckets:
    def test_many_fronts_without_updates_keep_to_the_limit_together(
        self,
    ) -> None:
        for fronts in (6, 74, 330):
            fronts_limits = [
                FrontLimits(random.Random(seed), "f") for seed in range(fronts)
            ]
            for front in fronts_limits:
                front.record_limit("u", 3.0, 0.0, 0.0)
                front.rates.apply_news({}, fronts, -5.0)
            passed = sum(
                count_allowed(p, make_times(0.1, 20.0)) for p in fronts_limits
            )
            assert 0.7 * 60 <= passed <= 1.2 * 60

    def test_a_limit_unknown_to_the_owner_uses_local_buckets(
        self,
    ) -> None:
        assert count_allowed(make_limits(None), make_times(0.0, 0.9)) <= 1

    def test_fronts_that_start_together_do_not_each_use_the_whole_limit(
        self,
    ) -> None:
        passed = 0
        for seed in range(330):
            front = FrontLimits(random.Random(seed), "f")
            front.record_limit("u", 3.0, 0.0, 0.0)
            passed += count_allowed(front, make_times(0.0, 0.5))
        assert passed <= 12

    def test_the_owner_can_request_local_buckets(self) -> None:
        assert (
            count_allowed(make_limits(DECIDE_LOCALLY), make_times(0.0, 0.9))
            <= 1
        )

    def test_a_suspended_front_does_not_accumulate_capacity(self) -> None:
        limits = make_limits(DECIDE_LOCALLY, fronts=1)
        count_allowed(limits, make_times(0.0, 0.9))
        assert count_allowed(limits, [60.0] * 50) <= 5

    def test_unused_draws_return_their_capacity(self) -> None:
        limits = make_limits(DECIDE_LOCALLY, fronts=1, rate=5.0)
        passed = 0
        for at in make_times(0.0, 0.9):
            draws = LimitDraws(limits)
            passed += draws.is_allowed("u", at)
            draws.release()
        assert passed > 5


class TestChoice:
    def test_an_allowed_limited_upstream_is_preferred(self) -> None:
        draws = LimitDraws(make_limits(1.0))
        assert draws.filter_allowed(
            [LIMITED, UNLIMITED], 0.1, prefers_limited=True
        ) == [LIMITED]

    def test_a_retry_prefers_unlimited_upstreams(self) -> None:
        draws = LimitDraws(make_limits(1.0))
        assert draws.filter_allowed(
            [LIMITED, UNLIMITED], 0.1, prefers_limited=False
        ) == [UNLIMITED]
        assert draws.filter_allowed([LIMITED], 0.1, prefers_limited=False) == [
            LIMITED
        ]

    def test_a_denied_upstream_is_left_out(self) -> None:
        draws = LimitDraws(make_limits(0.0))
        assert draws.filter_allowed(
            [LIMITED, UNLIMITED], 0.1, prefers_limited=True
        ) == [UNLIMITED]

    def test_no_draw_is_made_while_an_upstream_has_no_limit(self) -> None:
        limits = make_limits(0.0)
        assert not LimitDraws(limits).are_all_denied([LIMITED, UNLIMITED], 0.1)
        assert limits.rates.collect_uses() == {}
        assert LimitDraws(limits).are_all_denied([LIMITED], 0.1)


class TestReports:
    def test_the_owner_is_sent_limits_that_it_lacks(self) -> None:
        limits = make_limits(None)
        view = FleetView(updated_at=0.1)
        assert list(limits.list_unreported(view, 0.2)) == ["u"]
        view.limits = limits.known.report(0.1)
        assert limits.list_unreported(view, 0.2) == {}
