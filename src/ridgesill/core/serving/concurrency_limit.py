"""A front's part of the limit on the requests in progress at a service.

Load pattern: 74 fronts have 2.7 calls a second each, 203 in all, for upstreams
with 18 slots, as the load rises to 2.5 times as much. The owner's shares reach
fronts 0.3 to 0.4 s later; until then 90 calls are admitted beyond what is
served, which fill all queues. The owner may also be lost as the load rises.

A front knows its own requests in progress at once, and those of all fronts
from the owner's latest news. It always admits one request. More of them are
admitted while slots are free, and fewer the closer the requests in progress
over all fronts have come to the limit. Without news it admits more of them as
long as its own offered load is within its part of the capacity.
"""

import math
import random
from collections.abc import Mapping

import attrs

from ridgesill.core.fleet.messages import READY
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.load_reports import RequestClass

# Time constant of the usual shares of customers, in seconds: long compared
# with bursts, which last 3 to 6 s.
_USUAL_SECONDS = 30.0
# Least time between two updates of the decayed counts, in seconds, and the
# lowest count that is kept.
_DECAY_STEP_SECONDS = 1.0
_MIN_COUNT = 0.01
# Factor on its usual share from which on a customer exceeds it. Single requests
# of a small customer always do, so it needs another request in progress, too.
_EXCESS_FACTOR = 3.0
# Requests in progress, as a multiple of the slots, from which on those of
# customers that exceed their usual share are refused, and from which on all of
# these. From 0.6 on, 0.3% more of a calm day's calls were refused.
_EXCESS_FROM_SHARE = 0.8
_EXCESS_UNTIL_SHARE = 1.2
# Age of the owner's news from which they no longer apply, in seconds; the same
# as in `FrontRates`.
_NEWS_TIMEOUT_SECONDS = 1.0
# Age of the owner's news at which their requests in progress say nothing any
# more, in seconds: a full queue of 0.34 s has been served, and the owner's
# shares have been restricted for it.
_DRAIN_SECONDS = 0.8
# Time constant of a front's offered load, in seconds, and its largest multiple
# of the front's part of the capacity at which further requests are admitted
# without news. A front with three requests a second tells 0.6 of the capacity
# from twice the capacity within two seconds. Otherwise every request that meets
# another one at its front would be refused, a fifth of a calm load.
_OFFERED_SECONDS = 2.0
_MAX_OFFERED_FACTOR = 1.2
# Priority from which on all are treated alike, as in `core/serving/rates.py`.
_MAX_PRIORITY = 2


@attrs.frozen
class _Told:
    """What the owner has told of a service.

    Attributes:
        limit: requests in progress over all fronts that are served in time.
        rate: requests per second that its upstreams can answer.
        slots: requests that its usable upstreams process at once.
        busy: requests in progress on them, over all fronts.
    """

    limit: float
    rate: float
    slots: int
    busy: int


@attrs.define
class _Own:
    """This front's requests to a service.

    Attributes:
        in_progress: number of requests in progress.
        by_customer: the same by customer.
        usual: decayed number of requests by customer.
        total: their sum.
        decayed_at: time to which both apply, in seconds.
        seen_at: time of the latest request by priority, in seconds.
        offered: decayed number of recent requests.
        offered_at: time to which it applies, in seconds.
    """

    in_progress: int = 0
    by_customer: dict[str, int] = attrs.Factory(dict)
    usual: dict[str, float] = attrs.Factory(dict)
    total: float = 0.0
    decayed_at: float = float("-inf")
    seen_at: dict[int, float] = attrs.Factory(dict)
    offered: float = 0.0
    offered_at: float = float("-inf")

    def record_offer(self, request_class: RequestClass, now: float) -> None:
        """Counts a request towards the usual shares."""
        if now - self.decayed_at >= _DECAY_STEP_SECONDS:
            self._decay(now)
        kept = math.exp((self.offered_at - now) / _OFFERED_SECONDS)
        self.offered = self.offered * kept + 1.0
        self.offered_at = now
        name = request_class.customer
        self.usual[name] = self.usual.get(name, 0.0) + 1.0
        self.total += 1.0
        self.seen_at[request_class.priority] = now

    def _decay(self, now: float) -> None:
        kept = math.exp((self.decayed_at - now) / _USUAL_SECONDS)
        self.decayed_at = now
        self.usual = {
            name: count * kept
            for name, count in self.usual.items()
            if count * kept >= _MIN_COUNT
        }
        self.total = sum(self.usual.values())

    def exceeds_usual_share(self, request_class: RequestClass) -> bool:
        """Whether a customer has far more than usual in progress here."""
        customer = request_class.customer
        own = self.by_customer.get(customer, 0)
        if not own:
            return False
        # One more request of each customer: of few requests one says little.
        count = self.usual.get(customer, 0.0) + 1.0
        usual = count / (self.total + len(self.usual))
        return (own + 1) / (self.in_progress + 1) > _EXCESS_FACTOR * usual

    def is_least_urgent(self, priority: int, now: float) -> bool:
        """Whether no less urgent requests have been seen recently."""
        oldest = now - _USUAL_SECONDS
        return all(
            other <= priority or at < oldest
            for other, at in self.seen_at.items()
        )


class ConcurrencyLimit:
    """Limits a front's requests in progress at the services under control.

    Args:
        rng: decides which requests are admitted.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._fronts = 1
        self._told: dict[str, _Told] = {}
        self._own: dict[str, _Own] = {}

    def apply_news(
        self,
        view: FleetView,
        limits: Mapping[str, float],
        rates: Mapping[str, float],
    ) -> None:
        """Applies the owner's news.

        Args:
            view: upstreams, and requests in progress over all fronts.
            limits: limit on the requests in progress by service, as told last.
            rates: capacity of these services, in requests per second.
        """
        self._fronts = view.fronts
        told = dict.fromkeys(limits, (0, 0))
        for upstream in view.upstreams.values():
            known = told.get(upstream.service)
            if known is None or upstream.is_ejected or upstream.state != READY:
                continue
            slots, busy = known
            busy += view.busy.get(upstream.name, 0)
            told[upstream.service] = slots + upstream.slots, busy
        self._told = {
            name: _Told(limits[name], rates[name], slots, busy)
            for name, (slots, busy) in told.items()
        }

    def admits(
        self, request_class: RequestClass, now: float, age: float
    ) -> bool:
        """Decides whether there is room for one more request.

        Args:
            request_class: class of the request.
            now: the current time, in seconds.
            age: age of the owner's news, in seconds; infinite without news.
        """
        own = self._own.setdefault(request_class.service, _Own())
        own.record_offer(request_class, now)
        told = self._told.get(request_class.service)
        if told is None or not told.slots:
            return True
        part = max(told.limit, told.slots) / self._fronts
        beyond = own.in_progress + 1 - max(part, 1.0)
        if beyond <= 0:
            return True
        if age >= _NEWS_TIMEOUT_SECONDS:
            return self._has_capacity(own, told)
        if request_class.is_return:
            # The owner has kept room for it.
            return True
        pressure = _find_pressure(own, told, request_class, now)
        pressure *= max(1 - age / _DRAIN_SECONDS, 0.0)
        return self._rng.random() >= pressure * min(beyond, 1.0)

    def _has_capacity(self, own: _Own, told: _Told) -> bool:
        """Whether the front's offered load is within its part."""
        part = told.rate / self._fronts * _OFFERED_SECONDS
        # The request itself doesn't count.
        return own.offered - 1.0 <= _MAX_OFFERED_FACTOR * part

    def record_start(self, request_class: RequestClass) -> None:
        """Counts an admitted request as in progress."""
        own = self._own.setdefault(request_class.service, _Own())
        own.in_progress += 1
        name = request_class.customer
        own.by_customer[name] = own.by_customer.get(name, 0) + 1

    def record_end(self, request_class: RequestClass) -> None:
        """Counts an admitted request as ended."""
        own = self._own[request_class.service]
        own.in_progress -= 1
        left = own.by_customer[request_class.customer] - 1
        if left:
            own.by_customer[request_class.customer] = left
        else:
            del own.by_customer[request_class.customer]


def _find_pressure(
    own: _Own, told: _Told, request_class: RequestClass, now: float
) -> float:
    """Returns the share of requests beyond a front's part to refuse.

    It grows from 0 at the limit to 1 at twice the limit for the most urgent
    requests, and at two thirds and a third of the way for less urgent ones.
    Of one priority, customers that exceed their usual share are refused first;
    those of the least urgent priority already as the slots fill up.

    Args:
        own: this front's requests.
        told: the load over all fronts.
        request_class: class of the request.
        now: the current time, in seconds.
    """
    begin = queue = max(told.limit, told.slots)
    priority = min(request_class.priority, _MAX_PRIORITY)
    end = begin + queue * (1 - priority / (_MAX_PRIORITY + 1))
    if own.exceeds_usual_share(request_class):
        if own.is_least_urgent(request_class.priority, now):
            begin = _EXCESS_FROM_SHARE * told.slots
            end = _EXCESS_UNTIL_SHARE * told.slots
        else:
            end -= queue / (2 * (_MAX_PRIORITY + 1))
    return min(max((told.busy - begin) / (end - begin), 0.0), 1.0)
