"""Overload control: which share of each class of requests fronts admit.

Load pattern: 59 fronts get 507 calls a second for four upstreams that serve 350
and queue 24 each. Without control every queue is full: each call that isn't
rejected waits 0.27 s before it runs, and most answers are late. The owner
limits the requests in progress so that the queue takes half of the goal, and
divides the rate that keeps them there between the classes of requests.

News from the owner is 0.1 to 0.3 s old when a front acts on it. So the owner
sends the share of the offered load to admit, which changes only when demand or
capacity does.
"""

import math
from collections.abc import Collection, Iterable, Mapping

import attrs

from ridgesill.core.fleet.fair_share import divide
from ridgesill.core.fleet.messages import ServiceNews, Upstream
from ridgesill.core.fleet.rate_ledger import RateLedger, Tolerance
from ridgesill.core.fleet.return_calendar import ReturnCalendar
from ridgesill.core.fleet.service_capacity import LoadState, ServiceCapacity
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.load_reports import RequestClass, parse_class_key
from ridgesill.core.serving.rates import RateState, RateUse, add_uses

# Lowest number of fronts at which services are controlled. With fewer each
# front sees enough by itself; see `core/fleet/health.py`.
_MIN_FRONTS = 20
# Share of the shortest goal that requests in progress may take to be served.
_QUEUE_SHARE_OF_GOAL = 0.5
# Time in which the requests in progress are to reach their limit, in seconds.
# It exceeds the age of news, or else they would swing around the limit.
_CORRECTION_SECONDS = 0.5
# Least allowed rate as a share of the capacity. Queues beyond the limit are
# reduced by the fronts' limits on requests in progress: a lower rate would also
# refuse customers that are within their fair share, and for a second if the
# owner is lost in that time.
_MIN_RATE_SHARE = 0.75
# How long a new owner restricts nothing, in seconds; the moving means of
# offered loads have a time constant of 0.6 s.
_LEARN_SECONDS = 1.0
# Least rate for returning callers as a share of the allowed rate.
_MIN_RETURNS_SHARE = 0.1
# Window of the ledger, in seconds: reports cover 0.3 s at most. A longer one
# would make up twice for an excess that the requests in progress show, too.
_WINDOW_SECONDS = 0.3
# Depth of a class's bucket, in seconds of its rate: twice the time between two
# updates, since what was sent in it is subtracted at once. With half of that a
# quarter too few requests were in progress.
_BURST_SECONDS = 0.2
# Share of its offered load from which on a class isn't restricted.
_UNRESTRICTED_SHARE = 0.999
# Offered load below which a class is dropped, in requests a second.
_MIN_OFFERS = 0.02
# Largest number of classes; further ones aren't restricted.
_MAX_CLASSES = 4096
# A quota that restricts nothing, as a multiple of the offered load; the least
# one, in requests a second; and between which multiples of it one is kept.
_OPEN_FACTOR = 2.0
_MIN_OPEN_RATE = 1.0
_KEPT_OPEN_FACTORS = (0.75, 2.0)
# Bounds for a plausible number of requests of a class in one report: a multiple
# of what the service serves in the report's time, or in the time constant of
# the ledger's moving mean, and the least capacity that is assumed for it.
_MAX_PLAUSIBLE_FACTOR = 10.0
_MIN_REPORT_SECONDS = 0.6
_MIN_PLAUSIBLE_CAPACITY = 100.0
# A rise of the offered load beyond this many standard deviations of a Poisson
# distribution isn't chance.
_CERTAIN_DEVIATIONS = 3.0
# Decimal places of shares, as sent to fronts.
_SHARE_DIGITS = 3
# Time between two updates, in seconds.
_UPDATE_SECONDS = 0.1


@attrs.frozen
class ServiceState:
    """State of a service, for logs and metrics.

    Attributes:
        service: name of the service.
        capacity: requests a second that its upstreams serve; 0 if unknown.
        allowed: requests a second that fronts should admit.
        offered: requests a second that fronts are offered.
        in_progress: number of requests in progress.
        restricted: number of classes that are restricted.
        expected_returns: number of refused callers that should return.
    """

    service: str
    capacity: float = 0.0
    allowed: float = 0.0
    offered: float = 0.0
    in_progress: int = 0
    restricted: int = 0
    expected_returns: float = 0.0

    @property
    def share(self) -> float:
        """Share of the offered load that is admitted."""
        if not self.restricted or not self.offered:
            return 1.0
        return min(self.allowed / self.offered, 1.0)


# Key, class and offered requests a second of each class of a service.
_Offers = list[tuple[str, RequestClass, float]]


class _Service:
    """One service under control.

    Attributes:
        name: name of the service.
        goal: shortest goal of its routes, in seconds.
        capacity: what its upstreams serve.
        calendar: when its refused callers return.
        state: state after the last update.
        restricted: allowed rates of the restricted classes, by key.
        refused: number of callers refused since the last update, without those
            that were refused before.
        returned: number of callers that returned since the last update.
    """

    def __init__(self, name: str, goal: float) -> None:
        self.name = name
        self.goal = goal
        self.capacity = ServiceCapacity()
        self.calendar = ReturnCalendar()
        self.state = ServiceState(name)
        self.restricted: dict[str, float] = {}
        self.refused = 0
        self.returned = 0

    def max_plausible(self, span: float) -> int:
        """Returns the largest plausible count of a class in a report."""
        capacity = max(self.capacity.capacity, _MIN_PLAUSIBLE_CAPACITY)
        seconds = max(span, _MIN_REPORT_SECONDS)
        return int(_MAX_PLAUSIBLE_FACTOR * capacity * seconds)

    def record_offers(self, request_class: RequestClass, use: RateUse) -> None:
        """Counts the callers that were refused and those that returned."""
        if request_class.is_return:
            # Callers retry once, so those refused again don't return.
            self.returned += use.offered
        else:
            self.refused += use.offered - use.spent

    def update(
        self,
        offered: _Offers,
        weights: Mapping[str, float],
        now: float,
        *,
        is_learned: bool,
    ) -> None:
        """Computes the allowed rates from the capacity and the offers.

        Args:
            offered: requests a second of each class.
            weights: weights of customers.
            now: clock time, in seconds.
            is_learned: whether the owner knows enough to restrict anything.
        """
        allowed = self._allowed_rate()
        total = sum(load for _, _, load in offered)
        is_overloaded = is_learned and self._is_overloaded(total, allowed)
        self.restricted = (
            _find_restricted(allowed, offered, weights) if is_overloaded else {}
        )
        self._update_calendar(allowed, offered, now)
        self.state = ServiceState(
            self.name,
            self.capacity.capacity,
            allowed,
            total,
            self.capacity.in_progress,
            len(self.restricted),
            self.calendar.expected,
        )

    @property
    def limit(self) -> float:
        """Requests in progress that are served in time; 0 if unknown."""
        capacity = self.capacity.capacity
        queue = capacity * _QUEUE_SHARE_OF_GOAL * self.goal
        return max(queue, self.capacity.slots) if capacity else 0.0

    def _allowed_rate(self) -> float:
        capacity = self.capacity.capacity
        excess = self.capacity.in_progress - self.limit
        rate = capacity - excess / _CORRECTION_SECONDS
        return max(rate, _MIN_RATE_SHARE * capacity)

    def _is_overloaded(self, offered: float, allowed: float) -> bool:
        if not self.capacity.capacity:
            return False
        # A restriction that has begun leaves some slots free at times. Lifted
        # for that, it would let the queues fill up within one update.
        needed = 0.25 if self.restricted else 1.0
        is_busy = self.capacity.in_progress >= needed * self.capacity.slots
        return offered > allowed and is_busy

    def _update_calendar(
        self,
        allowed: float,
        offered: _Offers,
        now: float,
    ) -> None:
        self.calendar.record_refused(max(self.refused, 0), now)
        self.calendar.record_returned(max(self.returned, 0), now)
        self.refused = self.returned = 0
        new = [(key, load) for key, c, load in offered if not c.is_return]
        free_rate = allowed - sum(load for _, load in new)
        refusals = sum(
            load - self.restricted[key]
            for key, load in new
            if key in self.restricted
        )
        self.calendar.update(
            max(free_rate, _MIN_RETURNS_SHARE * allowed), now, refusals
        )

    def find_states(self, rates: Mapping[str, float]) -> dict[str, RateState]:
        """Returns the states of the restricted classes, by key.

        The levels of the ledger's buckets don't count: the requests in progress
        show the same excess, and it would be made up for twice.

        Args:
            rates: offered requests a second by key.
        """
        return {
            key: RateState(round(allowed / rates[key], _SHARE_DIGITS), 0.0)
            for key, allowed in self.restricted.items()
            if rates.get(key, 0.0) > allowed
        }

    def make_news(
        self, states: Mapping[str, RateState], now: float
    ) -> ServiceNews:
        """Returns what fronts are told.

        Args:
            states: states of the restricted classes, by key.
            now: clock time, in seconds.
        """
        capacity = round(self.capacity.capacity, 1)
        limit = round(self.limit, 1)
        shares = {key: states[key] for key in self.restricted if key in states}
        if not shares:
            return ServiceNews(capacity, limit=limit)
        window = self.calendar.find_window(now)
        return ServiceNews(
            capacity,
            shares,
            round(window.starts_in, 2),
            round(window.lasts, 2),
            limit,
        )


class OverloadControl:
    """Overload control of all plain services whose routes have goals.

    Args:
        started_at: clock time at which this owner took over, in seconds.
    """

    def __init__(self, started_at: float = float("-inf")) -> None:
        self._learned_at = started_at + _LEARN_SECONDS
        self._services: dict[str, _Service] = {}
        self._weights: Mapping[str, float] = {}
        self._classes: dict[str, RequestClass] = {}
        self._service_names: dict[str, str] = {}
        self._ledger = RateLedger(Tolerance(_WINDOW_SECONDS, 0.0, 0.0))
        self._quotas: dict[str, Quota] = {}
        # Uses since the last update; the ledger's cost is for each call.
        self._pending: dict[str, RateUse] = {}
        self._news: dict[str, ServiceNews] = {}
        self._is_enabled = False
        self._updated_at = float("-inf")

    def set_services(
        self, goals: Mapping[str, float], weights: Mapping[str, float]
    ) -> None:
        """Sets which services are controlled.

        Args:
            goals: shortest goal by service, in seconds.
            weights: weights of customers in fair shares.
        """
        self._weights = weights
        for name in self._services.keys() - goals.keys():
            del self._services[name]
            self._news.pop(name, None)
        for name, goal in goals.items():
            service = self._services.setdefault(name, _Service(name, goal))
            service.goal = goal

    # -- reports -------------------------------------------------------

    def record(self, sent: Sent, span: float, now: float) -> list[str]:
        """Counts what a report says about services and their upstreams.

        Args:
            sent: content of the report.
            span: seconds that it covers.
            now: clock time, in seconds.

        Returns:
            The upstreams and class keys whose figures are implausible; they
            were bounded or ignored.
        """
        implausible = []
        for upstream, calls in sent.calls.items():
            service = self._services.get(self._service_names.get(upstream, ""))
            if service is None:
                continue
            if not service.capacity.record(upstream, calls, span):
                implausible.append(upstream)
        return implausible + self._record_offers(sent, span, now)

    def _record_offers(self, sent: Sent, span: float, now: float) -> list[str]:
        """Counts offers; returns the keys whose figures are implausible."""
        implausible = []
        uses: dict[str, RateUse] = {}
        bounded_uses: dict[str, RateUse] = {}
        for key, use in sent.offers.items():
            known = self._find_class(key)
            if known is None:
                implausible.append(key)
                continue
            service = self._services.get(known.service)
            if service is None:
                continue
            bounded = _bound(use, service.max_plausible(span))
            service.record_offers(known, bounded)
            if bounded is use:
                uses[key] = use
            else:
                implausible.append(key)
                bounded_uses[key] = bounded
        if bounded_uses:
            # Added to the moving mean, but no evidence of a rise.
            self._count(bounded_uses, span, now)
        if span <= _WINDOW_SECONDS:
            self._pending = add_uses(self._pending, uses)
        elif uses:
            self._count(uses, span, now)
        return implausible

    def _count(
        self, uses: Mapping[str, RateUse], span: float, now: float
    ) -> None:
        self._add_quotas(uses)
        self._ledger.record_uses(uses, now, span)

    def _find_class(self, key: str) -> RequestClass | None:
        return self._classes.get(key) or parse_class_key(key)

    def _add_quotas(self, keys: Iterable[str]) -> None:
        """Adds quotas that restrict nothing for new classes."""
        added = [key for key in keys if key not in self._classes]
        if not added:
            return
        quotas = dict(self._quotas)
        for key in added[: _MAX_CLASSES - len(self._classes)]:
            request_class = parse_class_key(key)
            if request_class is not None:
                self._classes[key] = request_class
                quotas[key] = _make_open_quota(0.0)
        self._quotas = quotas
        self._ledger.set_quotas(quotas)

    # -- decisions -----------------------------------------------------

    def update(
        self,
        upstreams: Collection[Upstream],
        busy: Mapping[str, int],
        fronts: int,
        now: float,
    ) -> None:
        """Updates capacities and shares; called ten times a second.

        Args:
            upstreams: all upstreams of the fleet.
            busy: requests in progress by upstream, over all fronts.
            fronts: number of fronts that report.
            now: clock time, in seconds.
        """
        self._is_enabled = fronts >= _MIN_FRONTS
        groups: dict[str, list[Upstream]] = {n: [] for n in self._services}
        for upstream in upstreams:
            if upstream.service in groups:
                groups[upstream.service].append(upstream)
        self._service_names = {
            u.name: name for name, group in groups.items() for u in group
        }
        pending, self._pending = self._pending, {}
        usual = self._ledger.offers_rates(now)
        self._count(pending, 0.0, now)
        self._raise_offers(pending, usual, now)
        # The middle of the time until the next update: right after the latest
        # reports were added, the moving means are 8% above their average.
        middle = now + _UPDATE_SECONDS / 2
        offered = self._find_offers(middle)
        for name, service in self._services.items():
            service.capacity.update(groups[name], busy, now)
            service.update(
                offered[name],
                self._weights,
                now,
                is_learned=self._is_enabled and now >= self._learned_at,
            )
        self._set_quotas(offered)
        self._update_news(now, middle)

    def _raise_offers(
        self,
        uses: Mapping[str, RateUse],
        usual: Mapping[str, float],
        now: float,
    ) -> None:
        """Raises the offered loads that have risen by more than chance.

        Args:
            uses: uses since the last update.
            usual: moving means of the offered loads before them.
            now: clock time, in seconds.
        """
        seconds = now - self._updated_at
        self._updated_at = now
        if not 0.5 * _UPDATE_SECONDS < seconds < 2 * _UPDATE_SECONDS:
            return
        counts: dict[str, int] = {}
        for key, use in uses.items():
            known = self._classes.get(key)
            if known is not None:
                name = known.service
                counts[name] = counts.get(name, 0) + use.offered
            risen = _find_risen_rate(use.offered, usual.get(key, 0.0), seconds)
            self._ledger.raise_offers(key, risen, now)
        rates = self._ledger.offers_rates(now)
        for name, count in counts.items():
            keys = [k for k, c in self._classes.items() if c.service == name]
            before = sum(usual.get(key, 0.0) for key in keys)
            total = sum(rates.get(key, 0.0) for key in keys)
            risen = _find_risen_rate(count, before, seconds)
            if total and risen > total:
                for key in keys:
                    raised = rates.get(key, 0.0) * risen / total
                    self._ledger.raise_offers(key, raised, now)

    def _find_offers(self, now: float) -> dict[str, _Offers]:
        """Returns the offered loads by service; drops classes without any."""
        offered: dict[str, _Offers] = {name: [] for name in self._services}
        rates = self._ledger.offers_rates(now)
        for key, request_class in list(self._classes.items()):
            loads = offered.get(request_class.service)
            load = rates.get(key, 0.0)
            if loads is None or load < _MIN_OFFERS:
                del self._classes[key]
            else:
                loads.append((key, request_class, load))
        return offered

    def _set_quotas(self, offered: Mapping[str, _Offers]) -> None:
        quotas = {}
        for name, loads in offered.items():
            restricted = self._services[name].restricted
            for key, _, load in loads:
                rate = restricted.get(key)
                quotas[key] = (
                    self._open_quota(key, load)
                    if rate is None
                    else Quota(rate, rate * _BURST_SECONDS)
                )
        self._quotas = quotas
        self._ledger.set_quotas(quotas)

    def _open_quota(self, key: str, load: float) -> Quota:
        """Returns a quota that restricts nothing; keeps one that still fits."""
        quota = self._quotas.get(key)
        new = _make_open_quota(load)
        lowest, highest = (f * new.rate for f in _KEPT_OPEN_FACTORS)
        if quota is not None and lowest <= quota.rate <= highest:
            return quota
        return new

    def _update_news(self, now: float, middle: float) -> None:
        if not self._is_enabled:
            self._news = {}
            return
        limiting: dict[str, RateState] = {}
        if any(service.restricted for service in self._services.values()):
            rates = self._ledger.offers_rates(middle)
            for service in self._services.values():
                limiting |= service.find_states(rates)
        self._news = {
            name: service.make_news(limiting, now)
            for name, service in self._services.items()
            if service.capacity.capacity
        }

    def make_news(self, now: float) -> dict[str, ServiceNews]:
        """Returns the news of all services, as of the last update.

        Hundreds of fronts ask several times a second, and get the same.

        Args:
            now: clock time, in seconds.
        """
        del now
        return self._news

    @property
    def is_restricting(self) -> bool:
        """Whether any class is restricted."""
        return any(news.shares for news in self._news.values())

    def load_states(self) -> dict[str, LoadState]:
        """Returns pace and ejection by upstream of the controlled services."""
        states: dict[str, LoadState] = {}
        if self._is_enabled:
            for service in self._services.values():
                states |= service.capacity.load_states()
        return states

    def failure_rate(self, upstream: str) -> float:
        """Returns the share of recent requests that an upstream failed."""
        service = self._services.get(self._service_names.get(upstream, ""))
        if service is None:
            return 0.0
        return service.capacity.ejections.failure_rate(upstream)

    def states(self) -> list[ServiceState]:
        """Returns the states of all services, for logs and metrics."""
        if not self._is_enabled:
            return [ServiceState(name) for name in self._services]
        return [service.state for service in self._services.values()]


def _find_restricted(
    rate: float, offered: _Offers, weights: Mapping[str, float]
) -> dict[str, float]:
    """Returns the allowed rates of the classes that get less than they offer.

    Args:
        rate: requests a second for all classes.
        offered: requests a second of each class.
        weights: weights of customers.
    """
    parts = divide(rate, {c: load for _, c, load in offered}, weights)
    restricted = {}
    for key, request_class, load in offered:
        allowed = parts[request_class]
        if allowed < _UNRESTRICTED_SHARE * load:
            restricted[key] = allowed
    return restricted


def _find_risen_rate(count: int, usual: float, seconds: float) -> float:
    """Returns the rate of offers if it has risen by more than chance, else 0.

    Args:
        count: number of requests.
        usual: usual number of requests a second.
        seconds: time over which they were offered.
    """
    expected = usual * seconds
    margin = _CERTAIN_DEVIATIONS * math.sqrt(max(expected, 1.0))
    return count / seconds if count > expected + margin else 0.0


def _bound(use: RateUse, most: int) -> RateUse:
    """Returns a use within the bounds of what is plausible."""
    if 0 <= use.spent <= most and 0 <= use.offered <= most:
        return use
    return RateUse(min(max(use.spent, 0), most), min(max(use.offered, 0), most))


def _make_open_quota(load: float) -> Quota:
    """Returns a quota that restricts nothing, for a class with some load."""
    rate = _OPEN_FACTOR * load + _MIN_OPEN_RATE
    return Quota(rate, rate)
