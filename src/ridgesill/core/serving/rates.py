"""Distributed rate limiting: a front's part in limits over all fronts.

Load patterns: 74 fronts, each with 0.4 requests per second of an average
customer, of 200 to 40,000 tokens, while one customer sends eight times its
usual load; and an upstream that accepts two requests per second from hundreds
of fronts. A rate split evenly among fronts refuses requests within the limit,
since a single request can exceed the part of one front. So the owner of the
fleet counts what all fronts admit, and sends them the share of requests to
admit.
"""

import random
from collections.abc import Mapping

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.sums import add_by_name

# A front without an update from the owner for this time falls back to its local
# bucket of each rate. Owners send an update at least every 0.5 s.
_NEWS_TIMEOUT_SECONDS = 1.0
# Burst of a local bucket, as a multiple of the front's part of the whole burst:
# requests reach fronts unevenly.
_LOCAL_BURST_FACTOR = 1.5
# Largest share of local buckets that start above zero: if a burst begins when
# the updates end, the first requests of hundreds of fronts alone could exceed
# twice the rate.
_MAX_START_SHARE = 0.8
# When a refused caller may retry, and the random spread that keeps callers that
# were refused together from retrying together.
_RETRY_AFTER_SECONDS = 1.0
_RETRY_SPREAD_SECONDS = 1.0
# Number of fronts that a front assumes until the owner reports it. With a lower
# number, many fronts that start together would send many times a rate.
_ASSUMED_FRONTS = 100
# How many times as often requests are admitted as those one priority below; the
# priority from which all are treated alike; and the weight of a request in the
# moving mean of priority weights.
_PRIORITY_FACTOR = 3.0
_MAX_PRIORITY = 2
_WEIGHT_SMOOTHING = 0.02
# Value of a share that makes fronts use their local buckets. An owner sends it
# until it knows how much load is offered.
DECIDE_LOCALLY = -1.0


@register
@attrs.frozen
class RateUse:
    """The use of a rate since the last report, in tokens or requests.

    Attributes:
        spent: cost of the admitted requests.
        offered: cost of all requests.
    """

    spent: int = 0
    offered: int = 0

    def plus(self, other: "RateUse") -> "RateUse":
        """Returns the sum of two uses."""
        return RateUse(self.spent + other.spent, self.offered + other.offered)


@register
@attrs.frozen
class RateState:
    """The state of a rate that is nearly used up, as the owner reports it.

    Attributes:
        share: share of the requests to admit, or `DECIDE_LOCALLY`.
        level: what may still be sent at once, in tokens or requests; negative
            once the limit is exceeded.
    """

    share: float
    level: float

    @property
    def is_limiting(self) -> bool:
        """Whether some requests are refused."""
        return self.share < 1


Uses = Mapping[str, RateUse]


def add_uses(one: Uses, other: Uses) -> dict[str, RateUse]:
    """Returns the sum of two reports, by name of the rate."""
    return add_by_name(one, other)


@attrs.define
class LocalBucket:
    """Token bucket for a front's part of a rate, without the owner.

    Attributes:
        level: tokens or requests left; negative once overdrawn.
        refilled_at: when the bucket was last refilled, in seconds.
    """

    level: float
    refilled_at: float

    def acquire(
        self, cost: int, rate: float, capacity: float, now: float
    ) -> bool:
        """Takes the cost of a request unless the bucket is empty.

        A cost beyond the level overdraws the bucket, so that requests larger
        than its capacity can pass.

        Args:
            cost: cost of the request.
            rate: refill per second.
            capacity: highest level.
            now: the current time, in seconds.

        Returns:
            Whether the cost was taken.
        """
        self.level = min(self.level + rate * (now - self.refilled_at), capacity)
        self.refilled_at = now
        if self.level <= 0:
            return False
        self.level -= cost
        return True


@attrs.define
class _MeanWeight:
    """Moving mean of the priority weights of the requests under a rate.

    Attributes:
        weight: the mean.
    """

    weight: float

    def record(self, weight: float) -> None:
        """Adds the weight of a request to the mean."""
        self.weight += _WEIGHT_SMOOTHING * (weight - self.weight)

    def share(self, share: float, weight: float) -> float:
        """Returns the share of requests with a weight to admit.

        Urgent requests are admitted more often than others, others aren't shut
        out, and the share over all requests stays as given.

        Args:
            share: share of all requests to admit.
            weight: priority weight of the requests in question.
        """
        return min(share * weight / self.weight, 1.0)


def weigh_priority(priority: int) -> float:
    """Returns the weight of a priority; 1 for priority 0, less for others."""
    return _PRIORITY_FACTOR ** -min(priority, _MAX_PRIORITY)


class FrontRates:
    """Decides which requests under a rate a front admits.

    Args:
        rng: decides which requests are admitted, and spreads retries.
        local_by_default: whether rates that the owner doesn't mention use local
            buckets instead of being unlimited. These buckets start below zero,
            each at another random level: many small buckets that started full
            would admit many times the rate at once.
        starts_by_share: whether local buckets start above zero only as often
            as the owner let requests pass, so that all fronts together go on
            admitting what they did with its updates.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        local_by_default: bool = False,
        starts_by_share: bool = False,
    ) -> None:
        self._rng = rng
        self._local_by_default = local_by_default
        self._starts_by_share = starts_by_share
        self._states: Mapping[str, RateState] = {}
        self._fronts = _ASSUMED_FRONTS if local_by_default else 1
        self._news_at = float("-inf")
        self._uses: dict[str, RateUse] = {}
        self._used_since = float("inf")
        self._buckets: dict[str, LocalBucket] = {}
        self._mean_weights: dict[str, _MeanWeight] = {}

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, sent_at: float
    ) -> None:
        """Applies an update from the owner.

        Args:
            states: states of the rates that are nearly used up.
            fronts: number of fronts.
            sent_at: when the owner sent the update, in seconds on this front's
                clock.
        """
        self._states = states
        self._fronts = max(fronts, 1)
        self._news_at = sent_at
        for name in self._mean_weights.keys() - states.keys():
            del self._mean_weights[name]
        for name in list(self._buckets):
            if not self._decides_locally(name, sent_at):
                del self._buckets[name]

    def update_front_count(self, fronts: int) -> None:
        """Applies the number of fronts from an owner without rate states."""
        self._fronts = max(fronts, 1)

    def admit(
        self,
        name: str,
        quota: Quota | None,
        cost: int,
        now: float,
        weight: float = 1.0,
        bucket: str = "",
    ) -> bool:
        """Decides whether to admit a request; counts it as sent if so."""
        is_admitted = self.draw(name, quota, cost, now, weight, bucket)
        if is_admitted:
            self.spend(name, cost, now)
        return is_admitted

    def draw(
        self,
        name: str,
        quota: Quota | None,
        cost: int,
        now: float,
        weight: float = 1.0,
        bucket: str = "",
    ) -> bool:
        """Decides whether to admit a request without counting it as sent.

        Args:
            name: name of the rate.
            quota: rate and burst over all fronts; None to admit everything
                while the owner sends no updates.
            cost: cost of the request, in tokens or requests.
            now: the current time, in seconds.
            weight: weight of its priority, from `weigh_priority`.
            bucket: name of the local bucket, which several rates may share;
                the rate's name if omitted.
        """
        self._add_use(name, RateUse(0, cost), now)
        state = self._states.get(name)
        if not self._decides_locally(name, now):
            if state is None:
                return True
            mean_weight = self._mean_weights.setdefault(
                name, _MeanWeight(weight)
            )
            mean_weight.record(weight)
            return self._rng.random() < mean_weight.share(state.share, weight)
        if quota is None:
            return True
        burst_factor = 1.0 if self._local_by_default else _LOCAL_BURST_FACTOR
        capacity = burst_factor * quota.burst / self._fronts
        local = self._buckets.get(bucket or name)
        if local is None:
            local = self._open_bucket(state, capacity, now)
            self._buckets[bucket or name] = local
        return local.acquire(cost, quota.rate / self._fronts, capacity, now)

    def _decides_locally(self, name: str, now: float) -> bool:
        """Whether this front uses its local bucket for a rate."""
        if now - self._news_at >= _NEWS_TIMEOUT_SECONDS:
            return True
        state = self._states.get(name)
        if state is None:
            return self._local_by_default
        return state.share == DECIDE_LOCALLY

    def _open_bucket(
        self, state: RateState | None, capacity: float, now: float
    ) -> LocalBucket:
        """Returns a new local bucket.

        Args:
            state: state of the rate that is decided first.
            capacity: highest level of the bucket.
            now: the current time, in seconds.
        """
        if not self._starts_by_share:
            return LocalBucket(self._initial_level(state, capacity), now)
        share = 1.0 if state is None else max(state.share, 0.0)
        level = self._rng.random() - 1.0 + min(share, _MAX_START_SHARE)
        # The bucket fills from the end of the updates on, also if the first
        # request comes later.
        ended_at = min(self._news_at + _NEWS_TIMEOUT_SECONDS, now)
        return LocalBucket(level, ended_at)

    def _initial_level(self, state: RateState | None, capacity: float) -> float:
        if self._local_by_default:
            return -self._rng.random()
        return 0.0 if state is not None and state.is_limiting else capacity

    def spend(self, name: str, cost: int, now: float) -> None:
        """Counts the cost of a request that is sent."""
        self._add_use(name, RateUse(cost, 0), now)

    def refund(self, name: str, use: RateUse, now: float) -> None:
        """Reverts what was counted for a request that wasn't sent."""
        self._add_use(name, RateUse(-use.spent, -use.offered), now)

    def refund_draw(self, name: str, cost: int) -> None:
        """Returns to the local bucket what an unsent request took from it."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.level += cost

    def _add_use(self, name: str, use: RateUse, now: float) -> None:
        previous = self._uses.get(name)
        self._uses[name] = use if previous is None else previous.plus(use)
        self._used_since = min(self._used_since, now)

    def describe_decision(self, name: str, now: float) -> dict[str, object]:
        """Returns the basis of the decisions for a rate, for the log."""
        state = self._states.get(name)
        age = now - self._news_at
        is_local = self._decides_locally(name, now)
        return {
            "decided_by": "own_part" if is_local else "owner",
            "share": state.share if state is not None else 1.0,
            "news_age": round(min(age, 1e9), 3),
        }

    def retry_after_seconds(self) -> float:
        """Returns the seconds after which a refused caller may retry."""
        return _RETRY_AFTER_SECONDS + self._rng.random() * _RETRY_SPREAD_SECONDS

    def collect_uses(self) -> dict[str, RateUse]:
        """Returns the uses by rate since the last call, and resets them."""
        uses, self._uses = self._uses, {}
        self._used_since = float("inf")
        return uses

    @property
    def used_since(self) -> float:
        """When the first use that `collect_uses` returns was counted."""
        return self._used_since
