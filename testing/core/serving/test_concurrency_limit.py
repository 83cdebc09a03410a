"""Tests of a front's part of the limit on requests in progress."""

import random

import pytest

from ridgesill.core.fleet.messages import FleetNews, Upstream, UpstreamChange
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.concurrency_limit import ConcurrencyLimit
from ridgesill.core.serving.load_reports import RequestClass

_SLOTS = 24
_ONE = RequestClass("s", 0, "one")
_OTHERS = [RequestClass("s", 0, f"c{n}") for n in range(15)]


def make_limit(
    busy: int, limit: float = 59.0, fronts: int = 59, rate: float = 350.0
) -> ConcurrencyLimit:
    """Returns a front's limit with news of a number of busy requests."""
    upstream = Upstream("u", "s", "h", "a", _SLOTS)
    changes = (UpstreamChange("u", upstream),)
    view = FleetView()
    news = FleetNews(1, 1, True, changes, fronts, busy={"u": busy})
    view.apply_news(news, 0.0)
    made = ConcurrencyLimit(random.Random(1))
    made.apply_news(view, {"s": limit}, {"s": rate})
    return made


def count_admitted(
    limit: ConcurrencyLimit, request_class: RequestClass, age: float = 0.0
) -> int:
    return sum(limit.admits(request_class, age, age) for _ in range(100))


class TestLimit:
    @pytest.mark.parametrize("busy", [0, 14, 24, 59])
    def test_a_calm_service_is_not_restricted(self, busy: int) -> None:
        # Guards against refusals at a front that gets more of a calm load than
        # others do, while slots are free or little waits.
        limit = make_limit(busy)
        for _ in range(5):
            limit.record_start(_ONE)
        assert count_admitted(limit, _ONE) == 100

    @pytest.mark.parametrize("fronts", [20, 74, 330])
    def test_fronts_stay_within_their_part_of_full_queues(
        self, fronts: int
    ) -> None:
        # Guards against queues that grow until the next news.
        limit = make_limit(2 * 60, 60.0, fronts)
        admitted = 0
        while limit.admits(_ONE, 0.0, 0.0) and admitted < 100:
            limit.record_start(_ONE)
            admitted += 1
        assert admitted == max(60 // fronts, 1)

    def test_a_limit_that_is_too_low_leaves_no_slot_free(self) -> None:
        # Guards against a capacity of half of what upstreams serve.
        limit = make_limit(2 * 60, limit=12.0, fronts=1)
        for _ in range(_SLOTS - 1):
            limit.record_start(_ONE)
        assert count_admitted(limit, _ONE) == 100

    def test_an_ended_request_makes_room(self) -> None:
        limit = make_limit(2 * 60)
        limit.record_start(_ONE)
        assert not count_admitted(limit, _ONE)
        limit.record_end(_ONE)
        assert count_admitted(limit, _ONE) == 100


class TestNews:
    def test_old_news_restrict_less(self) -> None:
        # Guards against full queues that are told once and counted for 1 s.
        limit = make_limit(2 * 60)
        limit.record_start(_ONE)
        assert 30 < count_admitted(limit, _ONE, 0.4) < 70
        assert count_admitted(limit, _ONE, 0.9) == 100

    def test_without_news_a_burst_is_limited_to_one_request(self) -> None:
        # Guards against queues that fill up while there is no owner: 507 calls
        # a second for 262 that are served, over 59 fronts.
        limit = make_limit(2 * 60, rate=262.0)
        limit.record_start(_ONE)
        rng = random.Random(1)
        now = admitted = count = 0
        while (now := now + rng.expovariate(507 / 59)) < 200.0:
            if now > 2.0:
                count += 1
                admitted += limit.admits(_ONE, now, 1.0)
        assert admitted < 0.15 * count

    @pytest.mark.parametrize("fronts", [20, 59, 330])
    def test_without_news_a_calm_load_passes(self, fronts: int) -> None:
        # Guards against refusals while slots are free: 203 calls a second of
        # 0.07 s for 24 slots that serve 350.
        limit = make_limit(14, 60.0, fronts)
        rng = random.Random(2)
        ends: list[float] = []
        now = refused = count = 0
        while (now := now + rng.expovariate(203 / fronts)) < 600.0:
            while ends and ends[0] <= now:
                ends.pop(0)
                limit.record_end(_ONE)
            count += 1
            if limit.admits(_ONE, now, 1.0):
                limit.record_start(_ONE)
                ends.append(now + 0.07)
            else:
                refused += 1
        assert refused < 0.02 * count

    def test_a_service_without_a_limit_is_not_restricted(self) -> None:
        # An owner of the previous release tells none.
        limit = make_limit(2 * 60)
        other = RequestClass("other")
        limit.record_start(other)
        assert count_admitted(limit, other, 5.0) == 100


class TestOrder:
    def test_callers_that_return_as_told_go_first(self) -> None:
        limit = make_limit(2 * 60)
        limit.record_start(_ONE)
        returning = RequestClass("s", 0, "one", True)
        assert count_admitted(limit, returning) == 100

    def test_a_customer_beyond_its_usual_share_is_refused_first(self) -> None:
        # Guards against a burst of one customer that fills queues until the
        # owner's shares arrive.
        limit = make_limit(30)
        for request_class in _OTHERS * 3:
            limit.admits(request_class, 0.0, 0.0)
        limit.record_start(_ONE)
        assert not limit.admits(_ONE, 0.0, 0.0)
        assert count_admitted(limit, _OTHERS[0]) == 100

    def test_priority_takes_precedence_over_customers(self) -> None:
        limit = make_limit(85)
        for request_class in _OTHERS * 3:
            limit.admits(request_class, 0.0, 0.0)
        limit.record_start(_ONE)
        later = RequestClass("s", 2, "later")
        urgent, less_urgent = (count_admitted(limit, c) for c in (_ONE, later))
        assert less_urgent < urgent
