"""Compares ways of keeping a customer's limit over all fronts.

`make bench-quotas`. Prints, for each way and size of fleet, the tokens beyond
the limit in the busiest window, what was refused below it, and how much of the
limit a hot customer could use.
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

_SIZES = (6, 74, 330)
_LARGE = Quota(145_000, 145_000, counts_tokens=True)
_SMALL = Quota(29_000, 29_000, counts_tokens=True)
_SEEDS = (1, 2, 3)


class Reporting:
    """What all ways do alike."""

    def __init__(self) -> None:
        self.uses: dict[str, RateUse] = {}
        self.used_since = float("inf")
        self.states: Mapping[str, RateState] = {}
        self.fronts = 1

    def collect_uses(self) -> dict[str, RateUse]:
        """Returns what there is to report."""
        uses, self.uses = self.uses, {}
        self.used_since = float("inf")
        return uses

    def note(self, name: str, cost: int, passed: bool, now: float) -> bool:
        """Counts a request."""
        self.used_since = min(self.used_since, now)
        use = RateUse(cost if passed else 0, cost)
        self.uses = add_uses(self.uses, {name: use})
        return passed


class EvenParts(Reporting):
    """Each front keeps its equal part of the limit, whatever others do."""

    def __init__(self, _rng: random.Random) -> None:
        super().__init__()
        self._part = LocalBucket(float("inf"), 0.0)

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
    ) -> None:
        """Takes how many fronts there are."""
        self.fronts = fronts

    def admit(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        """Returns whether its own part lasts for a request."""
        rate, most = quota.rate / self.fronts, quota.burst / self.fronts
        passed = self._part.acquire(cost, rate, most, now)
        return self.note(name, cost, passed, now)


class CommonLevel(Reporting):
    """The owner tells what is left; each front adds what it has spent since."""

    def __init__(self, _rng: random.Random) -> None:
        super().__init__()
        self._since = 0

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
    ) -> None:
        """Takes what is left."""
        self.states = states
        self._since = 0

    def admit(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        """Returns whether something is left."""
        state = self.states.get(name)
        passed = state is None or state.level > self._since
        self._since += cost if passed else 0
        return self.note(name, cost, passed, now)


_WAYS = {
    "equal parts": EvenParts,
    "common level": CommonLevel,
    "share of offers": FrontRates,
}


def _play(plan: QuotaPlan, way: str) -> list[QuotaFigures]:
    return [QuotaEmulation(plan, _WAYS[way], seed).run() for seed in _SEEDS]


def _print(name: str, plan: QuotaPlan) -> None:
    for way in _WAYS:
        plays = _play(plan, way)
        excess = max(p.excess_tokens for p in plays)
        calm = max(p.refused_share_before_hot for p in plays)
        hot = min(p.hot_passed_share for p in plays)
        reports = plays[0].reports / plan.seconds
        print(
            f"{name:<28} {plan.fronts:>4} {way:<16} {excess:>10,.0f} "
            f"{calm:>8.3f} {hot:>8.3f} {reports:>8.0f}"
        )


def main() -> None:
    """Prints the table."""
    print(
        f"{'load':<28} {'VMs':>4} {'way':<16} {'excess':>10} {'refused':>8} "
        f"{'used':>8} {'msgs/s':>8}"
    )
    for fronts in _SIZES:
        _print("largest hot", QuotaPlan(fronts, _LARGE))
        _print("smallest hot", QuotaPlan(fronts, _SMALL))
    cut = FrontOutage(9.0, 4.5, 0.4)
    _print("two fifths cut off", QuotaPlan(74, _LARGE, outages=(cut,)))
    killed = tuple(
        FrontOutage(at, 1.0, 0.7, loses_state=True) for at in (11.0, 15.0)
    )
    _print("seven tenths killed twice", QuotaPlan(74, _LARGE, outages=killed))
    lost = QuotaPlan(74, _LARGE, owner_lost_at=9.5, ownerless_seconds=3.5)
    _print("owner lost as it turns hot", lost)
    _print(
        "limit lowered", QuotaPlan(74, _LARGE, lowered_at=13.0, hot_until=28.0)
    )


if __name__ == "__main__":
    main()
