"""Tests of how a front enforces the rate limits of customers."""

import random

from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.rates import (
    FrontRates,
    RateState,
    RateUse,
    weigh_priority,
)

QUOTA = Quota(1000.0, 1000.0, True, 200)
FRONTS = 10


def make_rates(**states: RateState) -> FrontRates:
    """Returns the rates of a front that has just had an update."""
    rates = FrontRates(random.Random(1))
    rates.apply_news(states, FRONTS, 0.0)
    return rates


def count_admitted(rates: FrontRates, times: int, now: float) -> int:
    return sum(rates.admit("c", QUOTA, 100, now) for _ in range(times))


class TestUpdates:
    def test_a_customer_without_a_state_is_admitted(self) -> None:
        assert count_admitted(make_rates(), 50, 0.1) == 50

    def test_the_reported_share_of_requests_is_admitted(self) -> None:
        rates = make_rates(c=RateState(0.25, 0.0))
        assert 200 < count_admitted(rates, 1000, 0.1) < 300

    def test_a_customer_beyond_its_limit_is_refused(self) -> None:
        assert (
            count_admitted(make_rates(c=RateState(0.0, -500.0)), 50, 0.1) == 0
        )


class TestPriorities:
    def test_urgent_requests_pass_more_often_and_the_share_is_kept(
        self,
    ) -> None:
        rates = make_rates(c=RateState(0.2, 0.0))
        admitted = {0: 0, 1: 0}
        for number in range(8000):
            priority = number % 2
            weight = weigh_priority(priority)
            admitted[priority] += rates.admit("c", QUOTA, 100, 0.1, weight)
        assert 2.5 < admitted[0] / admitted[1] < 3.5
        assert 0.18 * 8000 < sum(admitted.values()) < 0.22 * 8000

    def test_a_single_priority_gets_the_whole_share(self) -> None:
        rates = make_rates(c=RateState(0.2, 0.0))
        weight = weigh_priority(2)
        admitted = sum(
            rates.admit("c", QUOTA, 100, 0.1, weight) for _ in range(4000)
        )
        assert 0.18 * 4000 < admitted < 0.22 * 4000


class TestReports:
    def test_admitted_and_offered_costs_are_counted_separately(self) -> None:
        rates = make_rates(c=RateState(0.0, -1.0))
        rates.admit("c", QUOTA, 300, 0.1)
        assert rates.collect_uses() == {"c": RateUse(0, 300)}

    def test_a_request_without_tokens_costs_the_default_of_the_quota(
        self,
    ) -> None:
        assert QUOTA.cost(0) == 200

    def test_a_request_that_reached_no_upstream_is_refunded(self) -> None:
        rates = make_rates()
        rates.admit("c", QUOTA, 300, 0.1)
        rates.refund("c", RateUse(300, 300), 0.2)
        assert rates.collect_uses() == {"c": RateUse(0, 0)}

    def test_the_time_of_the_first_use_is_kept_until_collected(self) -> None:
        rates = make_rates()
        rates.admit("c", QUOTA, 300, 0.1)
        rates.admit("c", QUOTA, 300, 0.4)
        assert rates.used_since == 0.1
        rates.collect_uses()
        assert rates.used_since == float("inf")


class TestWithoutUpdates:
    def test_a_front_uses_its_own_part_of_the_limit(self) -> None:
        rates = make_rates()
        admitted = sum(
            count_admitted(rates, 10, 2.0 + tenth / 10) for tenth in range(80)
        )
        # Its part is 100 tokens per second and a burst of 150.
        assert 9 <= admitted <= 12

    def test_the_bucket_of_a_limited_customer_starts_empty(self) -> None:
        rates = make_rates(c=RateState(0.3, 0.0))
        assert count_admitted(rates, 10, 2.0) == 0

    def test_an_update_ends_the_use_of_local_buckets(self) -> None:
        rates = make_rates()
        count_admitted(rates, 50, 2.0)
        rates.apply_news({}, FRONTS, 3.0)
        assert count_admitted(rates, 50, 3.1) == 50
