"""Which customers' adapters get loads and slots when both are scarce.

Load pattern: one of 16 customers sends 4 to 7.5 times its usual load for 5 s,
with adapters that are requested only once. Each needs a load and a slot, and
would evict an adapter that other customers request again a second later.

`core/fleet/fair_share.py` divides a known rate between measured loads. Loads
are decided one by one as slots become free, so customers are compared here by
the loads that they had.
"""

import math
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from ridgesill.core.serving.customers import Quota

# Half-life of a customer's count of loads, in seconds: a burst of one customer
# lasts 3 to 6 s, and weighs little once it is over for as long.
_LOADS_HALF_LIFE_SECONDS = 5.0
# Rate above which a customer takes part in the division of the loads, in loads
# a second. It is reached by one load in the last 15 s.
_LEAST_LOAD_RATE = 0.02
# Multiple of all loads that is divided where the rate of the store is unknown.
# With 1, half of the customers would be above their parts by chance; a count of
# 20 loads exceeds its mean by half once in 60 times.
_UNKNOWN_RATE_FACTOR = 1.5
# Least fair part of a customer there, in loads a second: three loads at once.
# With few loads in all, a single one would exceed every part for seconds.
_MIN_FAIR_LOAD_RATE = 3 * math.log(2) / _LOADS_HALF_LIFE_SECONDS
# How long after its last use an adapter isn't evicted by a customer above its
# fair share, in seconds. Loads at the full rate of the store replace all slots
# within 10 to 15 s, so adapters unused for longer would be evicted anyway.
_RECENT_USE_SECONDS = 10.0
# How long after its use an adapter belongs to a customer, in seconds; as long
# as the half-life of the adapter's value.
_BELONGS_SECONDS = 60.0
# Time that a load takes if the store isn't slowed by others, in seconds.
LEAST_LOAD_SECONDS = 0.25
# Loads in progress above the product of the store's rate and `LOAD_SECONDS`
# make each load slower; the margin covers loads that take up to 0.3 s.
_LANE_SECONDS = 0.3


@attrs.frozen
class SlotClaim:
    """Which adapters a customer above its fair share may evict.

    Attributes:
        customer: the customer.
        is_own: returns whether an adapter belongs to this customer alone.
        is_needed: returns whether other customers have used an adapter
            recently.
    """

    customer: str
    is_own: Callable[[str], bool]
    is_needed: Callable[[str], bool]


def find_weights(quotas: Mapping[str, Quota]) -> dict[str, float]:
    """Returns the weights of customers by their quotas; the mean is 1.

    Quotas in tokens and quotas in requests are compared only among themselves.
    """
    weights = {}
    for counts_tokens in (False, True):
        rates = {
            name: quota.rate
            for name, quota in quotas.items()
            if quota.counts_tokens == counts_tokens and quota.rate > 0
        }
        total = sum(rates.values())
        for name, rate in rates.items():
            weights[name] = rate * len(rates) / total
    return weights


class LoadShares:
    """Counts the loads of customers, and who uses which adapter.

    Requests of fronts that name no customer count as one customer, "".

    Args:
        weights: the weights of customers; 1 for those that are missing.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        self.weights = weights
        self._loads: dict[str, tuple[float, float]] = {}
        self._used_at: dict[str, dict[str, float]] = {}
        self._pruned_at = float("-inf")

    # -- loads ---------------------------------------------------------

    def record_load(self, customers: Collection[str], now: float) -> None:
        """Counts a load, in equal parts for the customers that wait for it."""
        for customer in customers:
            count = self._count(customer, now) + 1 / len(customers)
            self._loads[customer] = (count, now)

    def _count(self, customer: str, now: float) -> float:
        count, counted_at = self._loads.get(customer, (0.0, now))
        return count * 0.5 ** ((now - counted_at) / _LOADS_HALF_LIFE_SECONDS)

    def load_rate(self, customer: str, now: float) -> float:
        """Returns a customer's recent loads a second."""
        return (
            self._count(customer, now)
            * math.log(2)
            / (_LOADS_HALF_LIFE_SECONDS)
        )

    def _weight(self, customer: str) -> float:
        return self.weights.get(customer, 1.0)

    def load_step(self, customer: str) -> float:
        """Returns by how much one load raises a customer's weighted rate."""
        return math.log(2) / _LOADS_HALF_LIFE_SECONDS / self._weight(customer)

    def weighted_rate(self, customer: str, now: float) -> float:
        """Returns a customer's recent loads a second by its weight."""
        return self._count(customer, now) * self.load_step(customer)

    def fair_rates(
        self, waiting: Iterable[str], loads_per_second: float, now: float
    ) -> dict[str, float]:
        """Returns the fair part of the store's rate by active customer.

        Where the rate of the store is unknown, half as much again as the loads
        of all customers is divided in its place. A single customer may have
        all loads.

        Args:
            waiting: the customers whose adapters wait for a load.
            loads_per_second: the rate of the store; 0 if unknown.
            now: the owner's clock, in seconds.
        """
        rates = {name: self.load_rate(name, now) for name in self._loads}
        active = {n for n, rate in rates.items() if rate >= _LEAST_LOAD_RATE}
        active.update(waiting)
        if len(active) <= 1:
            return {}
        total_weight = sum(map(self._weight, active))
        rate = loads_per_second or max(
            _UNKNOWN_RATE_FACTOR * sum(rates.values()),
            _MIN_FAIR_LOAD_RATE * len(active),
        )
        return {n: rate * self._weight(n) / total_weight for n in active}

    # -- adapters ------------------------------------------------------

    def record_use(self, artifact: str, customer: str, now: float) -> None:
        """Records that a customer has requested an adapter."""
        self._used_at.setdefault(artifact, {})[customer] = now
        if now - self._pruned_at > _BELONGS_SECONDS:
            self._pruned_at = now
            self._prune(now - _BELONGS_SECONDS)

    def _prune(self, before: float) -> None:
        for artifact, uses in list(self._used_at.items()):
            if max(uses.values()) < before:
                del self._used_at[artifact]

    def make_claim(self, customer: str, now: float) -> SlotClaim:
        """Returns what a customer above its fair share may evict."""

        def is_own(artifact: str) -> bool:
            uses = self._used_at.get(artifact, {})
            since = now - _BELONGS_SECONDS
            return {n for n, at in uses.items() if at >= since} == {customer}

        def is_needed(artifact: str) -> bool:
            uses = self._used_at.get(artifact, {})
            since = now - _RECENT_USE_SECONDS
            return any(n != customer and at >= since for n, at in uses.items())

        return SlotClaim(customer, is_own, is_needed)


class LoadRound:
    """One pass over the adapters that wait: who may start a load.

    A customer above its fair share starts a load only if the store isn't slowed
    by it: otherwise its adapters would queue in the store, ahead of adapters
    that other customers request afterwards.

    Args:
        shares: the recent loads of customers.
        waiting: the customers whose adapters wait.
        loads_per_second: the rate of the store; 0 if unknown.
        in_progress: the number of loads in progress.
        now: the owner's clock, in seconds.
    """

    def __init__(
        self,
        shares: LoadShares,
        waiting: Iterable[str],
        loads_per_second: float,
        in_progress: int,
        now: float,
    ) -> None:
        self._shares = shares
        self._waiting = frozenset(waiting)
        self._fair_rates = shares.fair_rates(
            self._waiting, loads_per_second, now
        )
        self._lanes = float("inf")
        if loads_per_second > 0:
            self._lanes = max(loads_per_second * _LANE_SECONDS, 1.0)
        self._in_progress = in_progress
        self._now = now
        self._without_slot: set[str] = set()

    def find_claim(self, customers: Collection[str]) -> SlotClaim | None:
        """Returns the claim of a load; None if it may evict any adapter.

        That is if one of its customers is within its share, or nobody else
        waits where the rate of the store is unknown: slots that nobody needs
        would stay unused otherwise.

        Args:
            customers: the customers that wait for the adapter.
        """
        if self._lanes == math.inf and self._waiting <= set(customers):
            return None
        if not all(map(self._is_above_share, customers)):
            return None
        return self._shares.make_claim(min(customers), self._now)

    def _is_above_share(self, customer: str) -> bool:
        fair_rate = self._fair_rates.get(customer, float("inf"))
        return self._shares.load_rate(customer, self._now) > fair_rate

    def may_start(self, claim: SlotClaim) -> bool:
        """Returns whether a customer above its share may start a load now."""
        if claim.customer in self._without_slot:
            return False
        return self._in_progress < self._lanes

    def record_started(self, customers: Collection[str]) -> None:
        """Counts a load that starts."""
        self._in_progress += 1
        self._shares.record_load(customers, self._now)

    def record_without_slot(self, claim: SlotClaim) -> None:
        """Records that no slot is left that the customer may take."""
        self._without_slot.add(claim.customer)
