"""Tests of a front's part in the overload control of services."""

import itertools
import random
import time

import pytest

from ridgesill.core.codec import encode
from ridgesill.core.fleet.messages import FleetNews, ServiceNews
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.fleet.use_reports import UseReport
from ridgesill.core.serving.load_reports import RequestClass, UpstreamCalls
from ridgesill.core.serving.rates import DECIDE_LOCALLY, RateState, RateUse
from ridgesill.core.serving.service_admission import ServiceAdmission

URGENT = RequestClass("s", 0, "alice")
OTHER = RequestClass("s", 2, "bob")
PATIENCE = 4.184


def apply_news(
    admission: ServiceAdmission,
    now: float,
    news: ServiceNews | None = None,
    fronts: int = 59,
) -> None:
    """Applies the owner's news on service `s`; None if it isn't listed."""
    view = FleetView()
    services = {} if news is None else {"s": news}
    view.apply_news(FleetNews(1, 1, fronts=fronts, services=services), now)
    admission.apply_news(view)


def make_admission(
    news: ServiceNews | None, fronts: int = 59, seed: int = 1
) -> ServiceAdmission:
    """Returns the admission of a front that has had news at time 0."""
    admission = ServiceAdmission(random.Random(seed))
    apply_news(admission, 0.0, news, fronts)
    return admission


def make_news(share: float = 0.4, **fields: float) -> ServiceNews:
    """Returns news of a service that restricts `OTHER` to a share."""
    return ServiceNews(350.0, {OTHER.key: RateState(share, 0.0)}, **fields)


def count_admitted(
    admission: ServiceAdmission, request_class: RequestClass, now: float
) -> int:
    return sum(admission.admit(request_class, now) for _ in range(1000))


class TestShares:
    def test_the_share_of_a_class_is_admitted(self) -> None:
        # Guards against a further restriction by the weight of a priority: a
        # class has a share of its own.
        admission = make_admission(make_news())
        count_admitted(admission, URGENT, 0.1)
        assert 350 < count_admitted(admission, OTHER, 0.1) < 450

    def test_a_class_that_is_not_listed_is_not_restricted(self) -> None:
        admission = make_admission(make_news(0.0))
        assert count_admitted(admission, URGENT, 0.1) == 1000
        assert count_admitted(admission, OTHER, 0.1) == 0

    def test_a_class_whose_load_is_not_known_is_not_restricted(self) -> None:
        admission = make_admission(make_news(DECIDE_LOCALLY))
        assert count_admitted(admission, OTHER, 0.1) == 1000
        assert admission.lowest_share() == 1.0

    def test_the_end_of_an_overload_ends_the_restriction(self) -> None:
        admission = make_admission(make_news(0.0))
        apply_news(admission, 0.5, ServiceNews(350.0))
        assert count_admitted(admission, OTHER, 0.6) == 1000


class TestWithoutNews:
    # Load pattern: 3 times the capacity, evenly over all fronts, while the
    # owner is lost for 4 s. Either the overload has been known, or it begins
    # as the owner is lost.

    @pytest.mark.parametrize("fronts", [6, 74, 330])
    @pytest.mark.parametrize("capacity", [85.0, 350.0])
    @pytest.mark.parametrize("share", [0.33, 1.0])
    def test_all_fronts_together_admit_about_the_capacity(
        self, fronts: int, capacity: float, share: float
    ) -> None:
        shares = {c.key: RateState(share, 0.0) for c in (URGENT, OTHER)}
        news = ServiceNews(capacity, shares if share < 1 else {})
        all_fronts = [make_admission(news, fronts, n) for n in range(fronts)]
        rng = random.Random(2)
        admitted = [0] * 4
        now = 1.0
        while (now := now + rng.expovariate(3 * capacity)) < 5.0:
            front = rng.choice(all_fronts)
            request_class = rng.choice((URGENT, OTHER))
            admitted[int(now) - 1] += front.admit(request_class, now)
        assert max(admitted) <= 2 * capacity
        assert min(admitted) > 0
        assert sum(admitted) >= 0.5 * capacity * len(admitted)

    def test_priorities_do_not_count(self) -> None:
        admission = make_admission(make_news(0.0), fronts=1)
        times = [1.0 + n / 1000 for n in range(4000)]
        admitted = {
            c.key: sum(admission.admit(c, now) for now in times)
            for c in (OTHER, URGENT)
        }
        assert admitted[OTHER.key] > 0.9 * 350 * 3

    def test_news_after_a_gap_apply_at_once(self) -> None:
        admission = make_admission(make_news())
        count_admitted(admission, URGENT, 3.0)
        apply_news(admission, 4.0, make_news())
        assert count_admitted(admission, URGENT, 4.1) == 1000

    def test_a_new_owner_without_a_capacity_restricts_nothing(self) -> None:
        admission = make_admission(make_news())
        apply_news(admission, 2.0)
        assert count_admitted(admission, OTHER, 2.1) == 1000
        # It is lost again before it has learned the capacity.
        assert count_admitted(admission, OTHER, 3.1) < 100

    def test_a_capacity_that_is_told_no_more_is_forgotten(self) -> None:
        admission = make_admission(make_news())
        apply_news(admission, 11.0)
        assert count_admitted(admission, OTHER, 13.0) == 1000
        assert not admission.is_controlled("s")


class TestRestartedFronts:
    def test_all_is_admitted_until_the_first_news(self) -> None:
        # All fronts restarted at once: refusing without knowing the load would
        # leave the service idle.
        admission = ServiceAdmission(random.Random(1))
        assert count_admitted(admission, OTHER, 50.0) == 1000
        apply_news(admission, 50.0, make_news())
        assert 350 < count_admitted(admission, OTHER, 50.1) < 450


class TestTimeLeft:
    def test_a_request_that_cannot_be_answered_in_time_is_refused(self) -> None:
        admission = make_admission(make_news())
        for n in range(20):
            admission.record_answer("s", "u1", 0.3, n / 10)
        assert not admission.has_time("s", 0.2, 2.0)
        assert admission.has_time("s", 0.4, 2.0)
        # Without answers the mean says nothing any more; else a mean above all
        # callers' times would have everything refused for ever.
        assert admission.has_time("s", 0.2, 30.0)

    def test_one_slow_answer_proves_nothing(self) -> None:
        admission = make_admission(make_news())
        admission.record_answer("s", "u1", 3.0, 0.0)
        assert admission.has_time("s", 0.2, 0.1)

    def test_a_service_that_the_owner_does_not_control_is_left_alone(
        self,
    ) -> None:
        admission = make_admission(None)
        for n in range(20):
            admission.record_answer("s", "u1", 0.3, n / 10)
        assert admission.has_time("s", 0.2, 2.0)


class TestRetryDelays:
    def draw(
        self, seconds_left: float, now: float = 0.0, **window: float
    ) -> list[float]:
        admission = make_admission(make_news(**window))
        return [
            admission.retry_after(OTHER, seconds_left, now) for _ in range(500)
        ]

    def test_callers_are_spread_over_the_window(self) -> None:
        delays = self.draw(PATIENCE, returns_in=0.4, returns_over=0.8)
        assert min(delays) < 0.45
        assert max(delays) > 1.15
        assert all(0.4 <= delay <= 1.2 for delay in delays)

    def test_the_age_of_the_news_is_subtracted(self) -> None:
        delays = self.draw(PATIENCE, 0.3, returns_in=0.7, returns_over=0.8)
        assert all(0.4 <= delay <= 1.2 for delay in delays)

    def test_no_delay_exceeds_a_third_of_the_remaining_time(self) -> None:
        delays = self.draw(3.0, returns_in=0.5, returns_over=9.0)
        assert all(0.5 <= delay <= 1.0 for delay in delays)
        assert set(self.draw(3.0, returns_in=2.0, returns_over=1.0)) == {1.0}
        assert set(self.draw(0.3)) == {0.1}
        assert set(self.draw(-1.0)) == {0.0}

    @pytest.mark.parametrize("now", [0.0, 2.0])
    def test_callers_are_spread_without_a_window(self, now: float) -> None:
        # Callers that an upstream has rejected as full while the owner
        # restricts nothing, or is lost.
        delays = self.draw(float("inf"), now)
        assert min(delays) >= 0.25
        assert max(delays) - min(delays) > 0.2


class TestReports:
    def test_offers_and_calls_are_collected_once(self) -> None:
        admission = make_admission(make_news(0.0))
        admission.admit(URGENT, 0.3)
        admission.admit(OTHER, 0.2)
        admission.admit(OTHER, 1.5)
        admission.record_answer("s", "u1", 0.5, 0.6)
        admission.record_calls("u1", UpstreamCalls(rejected=1))
        sent = admission.collect()
        assert sent.offers[URGENT.key] == RateUse(1, 1)
        assert sent.offers[OTHER.key].offered == 2
        assert sent.calls == {"u1": UpstreamCalls(1, 0.5, 1)}
        assert sent.since == 0.2
        assert not admission.collect()

    def test_reports_of_a_busy_front_take_less_than_2_kb_a_second(self) -> None:
        # Load pattern: 507 requests a second at 59 fronts, of 16 customers and
        # two kinds of callers, with four upstreams; ten reports a second.
        admission = make_admission(make_news())
        rng = random.Random(1)
        size = 0
        for n in range(10):
            for _ in range(1 if n % 7 else 2):
                customer = f"customer-{rng.randrange(16)}"
                admission.admit(RequestClass("calls", 1, customer), n / 10)
                upstream = f"i-{rng.randrange(4):010x}#1776259298000"
                admission.record_answer("calls", upstream, rng.random(), n / 10)
            sent = admission.collect()
            report = UseReport(n, offers=sent.offers, calls=sent.calls)
            size += len(encode(report)) - len(encode(UseReport(n)))
        assert size < 2000


class TestCost:
    def test_a_decision_takes_less_than_20_microseconds(self) -> None:
        classes = [
            RequestClass("s", priority, f"c{customer}")
            for priority, customer in itertools.product(range(3), range(16))
        ]
        shares = {c.key: RateState(0.5, 0.0) for c in classes}
        admission = make_admission(ServiceNews(350.0, shares))
        seconds = []
        for _ in range(5):
            began = time.process_time()
            for n in range(2000):
                request_class = classes[n % len(classes)]
                admission.has_time("s", PATIENCE, 0.1)
                if not admission.admit(request_class, 0.1):
                    admission.retry_after(request_class, PATIENCE, 0.1)
            seconds.append((time.process_time() - began) / 2000)
        assert min(seconds) < 20e-6
