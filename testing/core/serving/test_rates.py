"""Tests of a front's part in keeping customers within their limits."""

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


def make(**states: RateState) -> FrontRates:
    """Returns the part of a front that has just had news."""
    made = FrontRates(random.Random(1))
    made.apply_news(states, FRONTS, 0.0)
    return made


def count_passed(part: FrontRates, times: int, now: float) -> int:
    return sum(part.admit("c", QUOTA, 100, now) for _ in range(times))


class TestNews:
    def test_a_customer_that_is_not_named_passes(self) -> None:
        assert count_passed(make(), 50, 0.1) == 50

    def test_the_named_share_of_requests_passes(self) -> None:
        part = make(c=RateState(0.25, 0.0))
        assert 200 < count_passed(part, 1000, 0.1) < 300

    def test_one_beyond_its_limit_gets_nothing(self) -> None:
        assert count_passed(make(c=RateState(0.0, -500.0)), 50, 0.1) == 0


class TestUrgency:
    def test_the_urgent_pass_more_often_and_all_as_the_share_says(
        self,
    ) -> None:
        part = make(c=RateState(0.2, 0.0))
        passed = {0: 0, 1: 0}
        for number in range(8000):
            priority = number % 2
            weight = weigh_priority(priority)
            passed[priority] += part.admit("c", QUOTA, 100, 0.1, weight)
        assert 2.5 < passed[0] / passed[1] < 3.5
        assert 0.18 * 8000 < sum(passed.values()) < 0.22 * 8000

    def test_one_kind_alone_passes_as_the_share_says(self) -> None:
        part = make(c=RateState(0.2, 0.0))
        weight = weigh_priority(2)
        passed = sum(
            part.admit("c", QUOTA, 100, 0.1, weight) for _ in range(4000)
        )
        assert 0.18 * 4000 < passed < 0.22 * 4000


class TestReports:
    def test_what_passed_and_what_came_are_told_apart(self) -> None:
        part = make(c=RateState(0.0, -1.0))
        part.admit("c", QUOTA, 300, 0.1)
        assert part.collect_uses() == {"c": RateUse(0, 300)}

    def test_a_request_without_tokens_counts_as_the_limit_says(self) -> None:
        assert QUOTA.cost(0) == 200

    def test_one_that_reached_no_upstream_is_taken_back(self) -> None:
        part = make()
        part.admit("c", QUOTA, 300, 0.1)
        part.refund("c", RateUse(300, 300), 0.2)
        assert part.collect_uses() == {"c": RateUse(0, 0)}

    def test_a_report_tells_since_when_it_counts(self) -> None:
        part = make()
        part.admit("c", QUOTA, 300, 0.1)
        part.admit("c", QUOTA, 300, 0.4)
        assert part.used_since == 0.1
        part.collect_uses()
        assert part.used_since == float("inf")


class TestWithoutNews:
    def test_it_spends_its_own_part_of_the_limit(self) -> None:
        part = make()
        passed = sum(
            count_passed(part, 10, 2.0 + tenth / 10) for tenth in range(80)
        )
        # Its part is 100 tokens a second, beside a burst of 150.
        assert 9 <= passed <= 12

    def test_one_that_was_beyond_its_limit_starts_with_nothing(self) -> None:
        part = make(c=RateState(0.3, 0.0))
        assert count_passed(part, 10, 2.0) == 0

    def test_news_end_it(self) -> None:
        part = make()
        count_passed(part, 50, 2.0)
        part.apply_news({}, FRONTS, 3.0)
        assert count_passed(part, 50, 3.1) == 50
