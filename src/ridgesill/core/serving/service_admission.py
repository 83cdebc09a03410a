"""A front's part in the overload control of services that all fronts share.

Load pattern: a plain service with a capacity of 350 calls a second, 175 after
the loss of two upstreams, is offered 203 to 507 calls a second through 6 to 330
fronts. With a queue at each upstream that is always full, nearly all calls are
late. So the owner of the fleet tells fronts which share of each class of
requests to admit, and fronts refuse the others at once, with the time at which
there will be room for them.
"""

import math
import random
from collections.abc import Mapping

import attrs

from ridgesill.core.fleet.messages import ServiceNews
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.concurrency_limit import ConcurrencyLimit
from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.load_reports import RequestClass, UpstreamCalls
from ridgesill.core.serving.rates import DECIDE_LOCALLY, FrontRates, RateState

# Cost of a request against the capacity of its service.
_REQUEST_COST = 1
# Age of the owner's news from which they no longer apply, in seconds; the same
# as in `FrontRates`.
_NEWS_TIMEOUT_SECONDS = 1.0
# Burst that fronts admit by themselves without news, in seconds of the
# capacity.
_LOCAL_BURST_SECONDS = 0.3
# Rate that fronts admit by themselves without news, as a multiple of the
# capacity, where the limit on requests in progress bounds the queues: a
# capacity that was told in a burst is up to a quarter too low.
_LOCAL_RATE_FACTOR = 1.2
# How long the last capacity is kept after the owner has stopped telling it, in
# seconds: a new owner knows none at first, and may be lost again.
_CAPACITY_KEPT_SECONDS = 10.0
# Shortest retry delay, in seconds. A caller that returns sooner couldn't be
# told from one that retries at once.
_MIN_RETRY_SECONDS = 0.25
# Largest retry delay as a share of the caller's remaining time; clients don't
# wait for longer ones.
_MAX_RETRY_SHARE = 1 / 3
# Shortest time over which callers are told to return, in seconds, and the time
# while the owner sends no news. Callers that were refused together would
# otherwise return together.
_MIN_RETURNS_OVER_SECONDS = 0.25
_UNKNOWN_RETURNS_OVER_SECONDS = 1.0
# Lowest weight of the newest answer in the mean time of an answer, and the
# number of answers from which the mean is meaningful.
_ANSWER_SMOOTHING = 0.1
_MIN_ANSWERS = 5
# The mean is ignored after this many seconds without an answer. Otherwise one
# above the time of all callers would never be corrected, since no request would
# be sent. Of 330 fronts, each has five answers in this time.
_ANSWER_EXPIRY_SECONDS = 10.0


@attrs.define
class _Capacity:
    """Capacity of a service that the owner has told.

    Attributes:
        rate: requests per second over all fronts.
        told_at: when the owner last told it, in seconds.
        limit: requests in progress over all fronts; 0 if unknown.
    """

    rate: float
    told_at: float
    limit: float


@attrs.define
class _MeanAnswer:
    """Moving mean of the times from sending to the ends of answers.

    Attributes:
        seconds: the mean.
        updated_at: when the last answer ended, in seconds.
        answers: number of answers.
    """

    seconds: float
    updated_at: float
    answers: int = 0

    def record(self, seconds: float, now: float) -> None:
        """Adds the time of an answer to the mean."""
        self.answers += 1
        weight = max(1 / self.answers, _ANSWER_SMOOTHING)
        self.seconds += weight * (seconds - self.seconds)
        self.updated_at = now

    def is_expired(self, now: float) -> bool:
        """Whether the last answer is too long ago."""
        return now - self.updated_at >= _ANSWER_EXPIRY_SECONDS


class ServiceAdmission:
    """Decides which requests to services a front admits, and counts them.

    Args:
        rng: decides which requests are admitted, and spreads retries.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rates = FrontRates(rng, starts_by_share=True)
        self._limit = ConcurrencyLimit(rng)
        self._is_refused_by_limit = False
        self._services: Mapping[str, ServiceNews] = {}
        self._states: dict[str, RateState] = {}
        self._news_at = float("-inf")
        self._capacities: dict[str, _Capacity] = {}
        self._mean_answers: dict[str, _MeanAnswer] = {}
        self._calls: dict[str, UpstreamCalls] = {}

    # -- news ----------------------------------------------------------

    def apply_news(self, view: FleetView) -> None:
        """Applies the load of services that the owner has told."""
        self._services = view.services
        self._news_at = view.updated_at
        # An owner that doesn't know the load of a class yet restricts nothing.
        self._states = {
            key: state
            for news in view.services.values()
            for key, state in news.shares.items()
            if state.share != DECIDE_LOCALLY
        }
        self._rates.apply_news(self._states, view.fronts, view.updated_at)
        for service, news in view.services.items():
            if news.capacity > 0:
                self._capacities[service] = _Capacity(
                    news.capacity, view.updated_at, news.limit
                )
        for service, capacity in list(self._capacities.items()):
            if view.updated_at - capacity.told_at > _CAPACITY_KEPT_SECONDS:
                del self._capacities[service]
        limits = {n: c.limit for n, c in self._capacities.items() if c.limit}
        rates = {n: c.rate for n, c in self._capacities.items()}
        self._limit.apply_news(view, limits, rates)

    def is_controlled(self, service: str) -> bool:
        """Whether the owner controls the load of a service."""
        return service in self._services or service in self._capacities

    # -- decisions -----------------------------------------------------

    def admit(self, request_class: RequestClass, now: float) -> bool:
        """Decides whether to admit a new request; counts it as offered.

        Beyond a front's part of the limit on requests in progress it is refused
        as `ConcurrencyLimit` decides. Without news for 1 s the front admits its
        own part of the last capacity, whatever the class. A front that knows no
        capacity admits everything: the upstreams' queues bound the rest.
        """
        # Classes have shares of their own, so a class has no further weight.
        is_drawn = self._rates.draw(
            request_class.key,
            self._find_quota(request_class.service),
            _REQUEST_COST,
            now,
            weight=1.0,
            bucket=request_class.service,
        )
        age = now - self._news_at
        has_room = self._limit.admits(request_class, now, age)
        self._is_refused_by_limit = is_drawn and not has_room
        if self._is_refused_by_limit:
            self._rates.refund_draw(request_class.service, _REQUEST_COST)
        if not is_drawn or not has_room:
            return False
        self._rates.spend(request_class.key, _REQUEST_COST, now)
        self._limit.record_start(request_class)
        return True

    def record_end(self, request_class: RequestClass) -> None:
        """Records that an admitted request is no longer in progress."""
        self._limit.record_end(request_class)

    def _find_quota(self, service: str) -> Quota | None:
        capacity = self._capacities.get(service)
        if capacity is None:
            return None
        rate = capacity.rate * (_LOCAL_RATE_FACTOR if capacity.limit else 1.0)
        return Quota(rate, capacity.rate * _LOCAL_BURST_SECONDS)

    def has_time(self, service: str, seconds_left: float, now: float) -> bool:
        """Whether a service answers within a caller's remaining time.

        Args:
            service: name of the service.
            seconds_left: the caller's remaining time; infinite if unknown.
            now: the current time, in seconds.
        """
        self._is_refused_by_limit = False
        mean = self._mean_answers.get(service)
        if mean is None or not self.is_controlled(service):
            return True
        if mean.answers < _MIN_ANSWERS or mean.is_expired(now):
            return True
        return seconds_left >= mean.seconds

    def retry_after(
        self, request_class: RequestClass, seconds_left: float, now: float
    ) -> float:
        """Returns the seconds after which a refused caller should return.

        Args:
            request_class: class of the refused request.
            seconds_left: the caller's remaining time; infinite if unknown.
            now: the current time, in seconds.

        Returns:
            Seconds in whole hundredths, as they are sent; at least 0.25, but
            never more than a third of the remaining time.
        """
        latest = max(seconds_left, 0.0) * _MAX_RETRY_SHARE
        begin, end = self._find_window(request_class.service, now)
        begin = max(begin, _MIN_RETRY_SECONDS)
        end = min(max(end, begin + _MIN_RETURNS_OVER_SECONDS), latest)
        seconds = self._rng.uniform(begin, end) if begin < end else latest
        return math.floor(seconds * 100) / 100

    def _find_window(self, service: str, now: float) -> tuple[float, float]:
        """Returns the seconds until the window to return begins and ends."""
        age = now - self._news_at
        news = self._services.get(service)
        if news is None or age >= _NEWS_TIMEOUT_SECONDS:
            return 0.0, _UNKNOWN_RETURNS_OVER_SECONDS
        begin = news.returns_in - age
        return begin, begin + news.returns_over

    # -- reports -------------------------------------------------------

    def record_answer(
        self, service: str, upstream: str, seconds: float, now: float
    ) -> None:
        """Records a complete answer and the time from sending to its end."""
        self.record_calls(upstream, UpstreamCalls(answered=1, seconds=seconds))
        mean = self._mean_answers.get(service)
        if mean is None or mean.is_expired(now):
            mean = self._mean_answers[service] = _MeanAnswer(0.0, now)
        mean.record(seconds, now)

    def record_calls(self, upstream: str, calls: UpstreamCalls) -> None:
        """Adds what the answers of an upstream have shown."""
        previous = self._calls.get(upstream)
        self._calls[upstream] = (
            calls if previous is None else previous.plus(calls)
        )

    def collect(self) -> Sent:
        """Returns offers and calls since the last call, and resets them.

        Returns:
            Amounts since the first offer; since infinity if there are only
            calls, which have no time.
        """
        since = self._rates.used_since
        calls, self._calls = self._calls, {}
        return Sent(since=since, offers=self._rates.collect_uses(), calls=calls)

    # -- for operators -------------------------------------------------

    def describe_decision(
        self, request_class: RequestClass, now: float
    ) -> dict[str, object]:
        """Returns the basis of the decisions on a class, for the log."""
        basis = self._rates.describe_decision(request_class.key, now)
        if self._is_refused_by_limit:
            basis["decided_by"] = "in_progress"
        return basis

    def capacity(self) -> float:
        """Returns the capacity of all services that the owner controls."""
        return sum(capacity.rate for capacity in self._capacities.values())

    def lowest_share(self) -> float:
        """Returns the lowest share that the owner lets pass of any class."""
        return min((s.share for s in self._states.values()), default=1.0)
