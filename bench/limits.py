"""Compares strategies that enforce an upstream's limit across all fronts.

`make bench-limits`. Prints for each limit, fleet size and strategy: the
requests in the busiest window beside the number that the upstream tolerates,
the share of the limit that was used, the messages per second, and the processor
time of the whole emulation in milliseconds per emulated second.
"""

import random
import statistics
import time
from collections.abc import Callable, Mapping

from bench.quotas import ReportingFront
from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.rates import FrontRates, LocalBucket, RateState
from ridgesill.standin.emulator.quotas import (
    FrontLimiter,
    QuotaEmulation,
    make_limit_plan,
)

_FLEET_SIZES = (6, 74, 195, 330)
_LIMITS_AND_OFFERS = ((1.8, 10.0), (3.0, 40.0), (10.0, 40.0))
_SEEDS = (1, 2, 3)
_WINDOW_SECONDS = 4.0


def _tolerated_in_window(limit: float) -> float:
    return 1.5 * limit * _WINDOW_SECONDS + 5


class FixedFronts(ReportingFront):
    """Divides the limit among the first fronts; the others send nothing.

    Args:
        index: the index of this front.
    """

    def __init__(self, index: int) -> None:
        super().__init__()
        self._index = index
        self._share_bucket = LocalBucket(0.0, 0.0)

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
    ) -> None:
        """Does nothing: the fronts that send are fixed."""

    def admit(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        """Returns whether this front may send and its share allows it."""
        sending_fronts = max(int(quota.rate), 1)
        passed = self._index < sending_fronts and self._share_bucket.acquire(
            cost, quota.rate / sending_fronts, 1.0, now
        )
        return self.record_request(name, cost, passed, now)


class OwnerPermits(ReportingFront):
    """Asks the owner for a permit for each request to the upstream.

    Args:
        bucket: the owner's token bucket, shared by all fronts.
    """

    def __init__(self, bucket: LocalBucket) -> None:
        super().__init__()
        self._bucket = bucket
        self.permit_requests = 0

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
    ) -> None:
        """Does nothing: the owner decides on each request."""

    def admit(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        """Returns whether the owner's bucket allows a request."""
        self.permit_requests += 1
        passed = self._bucket.acquire(cost, quota.rate, quota.burst, now)
        return self.record_request(name, cost, passed, now)


def _make_strategies() -> dict[str, Callable[[random.Random], FrontLimiter]]:
    indices = iter(range(10_000))
    bucket = LocalBucket(0.0, 0.0)
    return {
        "share of offers": lambda rng: FrontRates(rng, local_by_default=True),
        "few fronts": lambda _rng: FixedFronts(next(indices)),
        "permits": lambda _rng: OwnerPermits(bucket),
    }


def _print_row(
    limit: float, offered: float, fronts: int, strategy: str
) -> None:
    plan = make_limit_plan(fronts, limit, offered)
    began = time.process_time()
    plays = [
        QuotaEmulation(plan, _make_strategies()[strategy], seed).run()
        for seed in _SEEDS
    ]
    seconds = (time.process_time() - began) / len(_SEEDS) / plan.seconds
    busiest = max(play.peak_window_tokens for play in plays)
    used = (
        statistics.mean(p.second_half_tokens_per_second for p in plays) / limit
    )
    messages = plays[0].reports / plan.seconds
    if strategy == "permits":
        # A request to the owner and its answer, besides the reports.
        messages += 2 * offered
    if strategy == "few fronts":
        messages = 0.0
    print(
        f"{limit:>5} {offered:>7} {fronts:>5} {strategy:<16} "
        f"{busiest:>4.0f} of {_tolerated_in_window(limit):>4.0f} "
        f"{used:>6.2f} {messages:>8.0f} {1000 * seconds:>9.2f}"
    )


def main() -> None:
    """Prints a row for each limit, fleet size and strategy."""
    print(
        f"{'limit':>5} {'offered':>7} {'VMs':>5} {'way':<16} {'busiest':>12} "
        f"{'used':>6} {'msgs/s':>8} {'ms/s, all':>9}"
    )
    for limit, offered in _LIMITS_AND_OFFERS:
        for fronts in _FLEET_SIZES:
            for strategy in _make_strategies():
                _print_row(limit, offered, fronts, strategy)


if __name__ == "__main__":
    main()
