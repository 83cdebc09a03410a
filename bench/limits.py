"""Compares ways of keeping an upstream's limit over all fronts.

`make bench-limits`. Prints, for each way, limit and size of fleet, the requests
in the busiest window beside what is borne, the share of the limit that was
used, the messages a second and the processor time of the whole emulation.
"""

import random
import statistics
import time
from collections.abc import Callable, Mapping

from bench.quotas import Reporting
from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.rates import FrontRates, LocalBucket, RateState
from ridgesill.standin.emulator.quotas import (
    FrontLimiter,
    QuotaEmulation,
    make_limit_plan,
)

_SIZES = (6, 74, 195, 330)
_LOADS = ((1.8, 10.0), (3.0, 40.0), (10.0, 40.0))
_SEEDS = (1, 2, 3)
_WINDOW_SECONDS = 4.0


def _borne(limit: float) -> float:
    return 1.5 * limit * _WINDOW_SECONDS + 5


class FewFronts(Reporting):
    """The first fronts share the limit; the others send nothing."""

    def __init__(self, number: int) -> None:
        super().__init__()
        self._number = number
        self._part = LocalBucket(0.0, 0.0)

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
    ) -> None:
        """Takes nothing: who is first is known."""

    def admit(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        """Returns whether this front is among the few and has some left."""
        few = max(int(quota.rate), 1)
        passed = self._number < few and self._part.acquire(
            cost, quota.rate / few, 1.0, now
        )
        return self.note(name, cost, passed, now)


class Permits(Reporting):
    """The owner is asked for each request that could go there."""

    def __init__(self, bucket: LocalBucket) -> None:
        super().__init__()
        self._bucket = bucket
        self.asked = 0

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
    ) -> None:
        """Takes nothing: the owner answers each question."""

    def admit(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        """Returns what the owner answers."""
        self.asked += 1
        passed = self._bucket.acquire(cost, quota.rate, quota.burst, now)
        return self.note(name, cost, passed, now)


def _make_ways() -> dict[str, Callable[[random.Random], FrontLimiter]]:
    numbers = iter(range(10_000))
    bucket = LocalBucket(0.0, 0.0)
    return {
        "share of offers": lambda rng: FrontRates(rng, local_by_default=True),
        "few fronts": lambda _rng: FewFronts(next(numbers)),
        "permits": lambda _rng: Permits(bucket),
    }


def _print(limit: float, offered: float, fronts: int, way: str) -> None:
    plan = make_limit_plan(fronts, limit, offered)
    began = time.process_time()
    plays = [
        QuotaEmulation(plan, _make_ways()[way], seed).run() for seed in _SEEDS
    ]
    seconds = (time.process_time() - began) / len(_SEEDS) / plan.seconds
    busiest = max(play.peak_window_tokens for play in plays)
    used = (
        statistics.mean(p.second_half_tokens_per_second for p in plays) / limit
    )
    messages = plays[0].reports / plan.seconds
    if way == "permits":
        # There and back, beside the reports.
        messages += 2 * offered
    if way == "few fronts":
        messages = 0.0
    print(
        f"{limit:>5} {offered:>7} {fronts:>5} {way:<16} {busiest:>4.0f} of "
        f"{_borne(limit):>4.0f} {used:>6.2f} {messages:>8.0f} "
        f"{1000 * seconds:>9.2f}"
    )


def main() -> None:
    """Prints the table."""
    print(
        f"{'limit':>5} {'offered':>7} {'VMs':>5} {'way':<16} {'busiest':>12} "
        f"{'used':>6} {'msgs/s':>8} {'ms/s, all':>9}"
    )
    for limit, offered in _LOADS:
        for fronts in _SIZES:
            for way in _make_ways():
                _print(limit, offered, fronts, way)


if __name__ == "__main__":
    main()
