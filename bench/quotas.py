"""Compares strategies that enforce a customer's limit across all fronts.

`make bench-quotas`. Prints for each fleet size and strategy: the tokens beyond
the limit in the busiest window, the share of tokens refused while the customer
was below its limit, the share of the limit that it used while it was above it,
and the messages per second.
"""

import random
from collections.abc import Mapping

from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.rates import (
    FrontRates,
    LocalBucket,
    RateState,
    RateUse,
    add_uses,
)
from ridgesill.standin.emulator.quotas import (
    FrontOutage,
    QuotaEmulation,
    QuotaFigures,
    QuotaPlan,
)

_FLEET_SIZES = (6, 74, 330)
_LARGE_QUOTA = Quota(145_000, 145_000, counts_tokens=True)
_SMALL_QUOTA = Quota(29_000, 29_000, counts_tokens=True)
_SEEDS = (1, 2, 3)


class ReportingFront:
    """Records the requests of a front for its reports to the owner."""

    def __init__(self) -> None:
        self.uses: dict[str, RateUse] = {}
        self.used_since = float("inf")
        self.states: Mapping[str, RateState] = {}
        self.fronts = 1

    def collect_uses(self) -> dict[str, RateUse]:
        """Returns the uses recorded since the last call and clears them."""
        uses, self.uses = self.uses, {}
        self.used_since = float("inf")
        return uses

    def record_request(
        self, name: str, cost: int, passed: bool, now: float
    ) -> bool:
        """Records a request and returns `passed`.

        Args:
            name: the limit that the request counts against.
            cost: the cost of the request, in tokens for a token limit.
            passed: whether the request was admitted.
            now: the current time in seconds.
        """
        self.used_since = min(self.used_since, now)
        use = RateUse(cost if passed else 0, cost)
        self.uses = add_uses(self.uses, {name: use})
        return passed


class EqualShares(ReportingFront):
    """Gives each front an equal share of the limit, whatever its demand."""

    def __init__(self, _rng: random.Random) -> None:
        super().__init__()
        self._share_bucket = LocalBucket(float("inf"), 0.0)

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
    ) -> None:
        """Stores the number of fronts."""
        self.fronts = fronts

    def admit(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        """Returns whether this front's share allows a request."""
        rate, burst = quota.rate / self.fronts, quota.burst / self.fronts
        passed = self._share_bucket.acquire(cost, rate, burst, now)
        return self.record_request(name, cost, passed, now)


class SharedLevel(ReportingFront):
    """Compares the level that the owner reports with this front's own use.

    What other fronts have used since the report is not known.
    """

    def __init__(self, _rng: random.Random) -> None:
        super().__init__()
        self._used_since_news = 0

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
    ) -> None:
        """Stores the reported levels and resets the own use."""
        self.states = states
        self._used_since_news = 0

    def admit(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        """Returns whether the reported level exceeds the use since then."""
        state = self.states.get(name)
        passed = state is None or state.level > self._used_since_news
        self._used_since_news += cost if passed else 0
        return self.record_request(name, cost, passed, now)


_STRATEGIES = {
    "equal parts": EqualShares,
    "common level": SharedLevel,
    "share of offers": FrontRates,
}


def _play(plan: QuotaPlan, strategy: str) -> list[QuotaFigures]:
    return [
        QuotaEmulation(plan, _STRATEGIES[strategy], seed).run()
        for seed in _SEEDS
    ]


def _print_rows(name: str, plan: QuotaPlan) -> None:
    for strategy in _STRATEGIES:
        plays = _play(plan, strategy)
        excess = max(p.excess_tokens for p in plays)
        refused = max(p.refused_share_before_hot for p in plays)
        used = min(p.hot_passed_share for p in plays)
        reports = plays[0].reports / plan.seconds
        print(
            f"{name:<28} {plan.fronts:>4} {strategy:<16} {excess:>10,.0f} "
            f"{refused:>8.3f} {used:>8.3f} {reports:>8.0f}"
        )


def main() -> None:
    """Prints a row for each load, fleet size and strategy."""
    print(
        f"{'load':<28} {'VMs':>4} {'way':<16} {'excess':>10} {'refused':>8} "
        f"{'used':>8} {'msgs/s':>8}"
    )
    for fronts in _FLEET_SIZES:
        _print_rows("largest hot", QuotaPlan(fronts, _LARGE_QUOTA))
        _print_rows("smallest hot", QuotaPlan(fronts, _SMALL_QUOTA))
    silence = FrontOutage(9.0, 4.5, 0.4)
    _print_rows(
        "two fifths cut off", QuotaPlan(74, _LARGE_QUOTA, outages=(silence,))
    )
    killed = tuple(
        FrontOutage(at, 1.0, 0.7, loses_state=True) for at in (11.0, 15.0)
    )
    _print_rows(
        "seven tenths killed twice", QuotaPlan(74, _LARGE_QUOTA, outages=killed)
    )
    lost = QuotaPlan(74, _LARGE_QUOTA, owner_lost_at=9.5, ownerless_seconds=3.5)
    _print_rows("owner lost as it turns hot", lost)
    _print_rows(
        "limit lowered",
        QuotaPlan(74, _LARGE_QUOTA, lowered_at=13.0, hot_until=28.0),
    )


if __name__ == "__main__":
    main()
