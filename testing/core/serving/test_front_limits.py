"""Tests of what a front sends upstreams that have named a limit."""

import random

from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.front_limits import FrontLimits, LimitDraws
from ridgesill.core.serving.rates import DECIDE_LOCALLY, RateState, RateUse

U = Upstream("u", "s", "10.0.0.1:80", "a", 4)
V = Upstream("v", "s", "10.0.0.2:80", "a", 4)


def make(
    share: float | None, fronts: int = 7, rate: float = 3.0
) -> FrontLimits:
    """Returns a front's part, after news with a share or without any."""
    made = FrontLimits(random.Random(1), "front-1")
    made.record_limit("u", rate, 0.0, 0.0)
    states = {} if share is None else {"u": RateState(share, 0.0)}
    made.apply_news(FleetView(fronts=fronts, updated_at=0.0, sends=states))
    return made


def count_open(limits: FrontLimits, times: list[float]) -> int:
    return sum(LimitDraws(limits).is_allowed("u", at) for at in times)


def tenths(begin: float, seconds: float) -> list[float]:
    return [begin + n / 10 for n in range(int(10 * seconds))]


class TestShares:
    def test_upstreams_without_a_limit_are_open(self) -> None:
        draws = LimitDraws(make(0.0))
        assert draws.is_allowed("v", 0.1)
        assert not draws.is_allowed("u", 0.1)

    def test_the_named_share_may_go_there(self) -> None:
        assert 200 < count_open(make(0.25), [0.1] * 1000) < 300

    def test_a_request_tries_its_luck_once(self) -> None:
        draws = LimitDraws(make(0.5))
        assert len({draws.is_allowed("u", 0.1) for _ in range(50)}) == 1

    def test_what_was_offered_and_sent_is_told_apart(self) -> None:
        limits = make(1.0)
        first, second = LimitDraws(limits), LimitDraws(limits)
        first.is_allowed("u", 0.1)
        second.is_allowed("u", 0.1)
        second.record_sent("u", 0.1)
        assert limits.rates.collect_uses() == {"u": RateUse(1, 2)}

    def test_what_reached_nobody_is_taken_back(self) -> None:
        limits = make(1.0)
        draws = LimitDraws(limits)
        draws.is_allowed("u", 0.1)
        draws.record_sent("u", 0.1)
        draws.revert_sent("u", 0.2)
        assert limits.rates.collect_uses() == {"u": RateUse(0, 1)}


class TestOwnParts:
    def test_many_fronts_without_news_keep_to_the_limit_together(self) -> None:
        for fronts in (6, 74, 330):
            parts = [
                FrontLimits(random.Random(seed), "f") for seed in range(fronts)
            ]
            for part in parts:
                part.record_limit("u", 3.0, 0.0, 0.0)
                part.rates.apply_news({}, fronts, -5.0)
            passed = sum(count_open(p, tenths(0.1, 20.0)) for p in parts)
            assert 0.7 * 60 <= passed <= 1.2 * 60

    def test_a_limit_that_the_owner_has_not_heard_is_kept_by_parts(
        self,
    ) -> None:
        assert count_open(make(None), tenths(0.0, 0.9)) <= 1

    def test_fronts_that_start_together_do_not_each_take_all(self) -> None:
        passed = 0
        for seed in range(330):
            part = FrontLimits(random.Random(seed), "f")
            part.record_limit("u", 3.0, 0.0, 0.0)
            passed += count_open(part, tenths(0.0, 0.5))
        assert passed <= 12

    def test_the_owner_may_ask_for_it(self) -> None:
        assert count_open(make(DECIDE_LOCALLY), tenths(0.0, 0.9)) <= 1

    def test_nothing_is_saved_up_while_suspended(self) -> None:
        limits = make(DECIDE_LOCALLY, fronts=1)
        count_open(limits, tenths(0.0, 0.9))
        assert count_open(limits, [60.0] * 50) <= 5

    def test_what_was_drawn_and_not_sent_is_left(self) -> None:
        limits = make(DECIDE_LOCALLY, fronts=1, rate=5.0)
        passed = 0
        for at in tenths(0.0, 0.9):
            draws = LimitDraws(limits)
            passed += draws.is_allowed("u", at)
            draws.release()
        assert passed > 5


class TestChoice:
    def test_an_open_limited_one_goes_first(self) -> None:
        draws = LimitDraws(make(1.0))
        assert draws.filter_allowed([U, V], 0.1, prefers_limited=True) == [U]

    def test_a_retry_goes_elsewhere_first(self) -> None:
        draws = LimitDraws(make(1.0))
        assert draws.filter_allowed([U, V], 0.1, prefers_limited=False) == [V]
        assert draws.filter_allowed([U], 0.1, prefers_limited=False) == [U]

    def test_a_closed_one_is_left_out(self) -> None:
        draws = LimitDraws(make(0.0))
        assert draws.filter_allowed([U, V], 0.1, prefers_limited=True) == [V]

    def test_none_is_drawn_for_while_another_has_no_limit(self) -> None:
        limits = make(0.0)
        assert not LimitDraws(limits).are_all_denied([U, V], 0.1)
        assert limits.rates.collect_uses() == {}
        assert LimitDraws(limits).are_all_denied([U], 0.1)


class TestTold:
    def test_the_owner_is_told_what_it_does_not_know(self) -> None:
        limits = make(None)
        view = FleetView(updated_at=0.1)
        assert list(limits.list_unreported(view, 0.2)) == ["u"]
        view.limits = limits.known.report(0.1)
        assert limits.list_unreported(view, 0.2) == {}
