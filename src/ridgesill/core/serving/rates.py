"""A front's part in keeping rates that hold over all fronts.

Load patterns: 74 fronts with 0.4 requests a second of an average customer each,
of 200 to 40,000 tokens, while one customer sends eight times its usual; and an
upstream that takes two requests a second from hundreds of fronts. A rate split
among fronts refuses what is owed, since a single request can exceed a front's
part. So the fleet's owner counts what all fronts let through, and tells each of
them which share may pass.
"""

import random
from collections.abc import Mapping

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.customers import Quota

# Without news for this long a front goes by its own part of each rate, in
# seconds; owners answer at least each 0.5 s.
_NEWS_SECONDS = 1.0
# How much of its part of a burst a front without news may let through at once:
# requests reach fronts unevenly.
_UNEVENNESS = 1.5
# When a refused caller may come back, in seconds, and how far apart callers
# that were refused together do.
_AFTER_SECONDS = 1.0
_SPREAD_SECONDS = 1.0
# How many fronts one assumes that hasn't been told: fewer would have many that
# start together send many times a rate.
_FRONTS_UNTOLD = 100
# How many times as often requests pass as those one priority below, down to
# which priority, and the weight of one request in the mean of all.
_PRIORITY_FACTOR = 3.0
_PRIORITY_MOST = 2
_MIX_SHARE = 0.02
# A share by which an owner that doesn't know yet how much is offered has fronts
# go by their own parts.
DECIDE_LOCALLY = -1.0


@register
@attrs.frozen
class RateUse:
    """What was sent under a rate since the last report.

    Attributes:
        spent: by requests that were let through.
        offered: by all requests.
    """

    spent: int = 0
    offered: int = 0

    def plus(self, other: "RateUse") -> "RateUse":
        """Returns the sum of two."""
        return RateUse(self.spent + other.spent, self.offered + other.offered)


@register
@attrs.frozen
class RateState:
    """What the owner says of a rate that is nearly used up.

    Attributes:
        share: of the requests that may pass, or `BY_OWN_PART`.
        level: what may still be sent at once; negative once beyond.
    """

    share: float
    level: float

    @property
    def is_limiting(self) -> bool:
        """Whether not everything may pass."""
        return self.share < 1


Uses = Mapping[str, RateUse]


def add_uses(one: Uses, other: Uses) -> dict[str, RateUse]:
    """Returns the sums of two reports, by name."""
    sums = dict(one)
    for name, use in other.items():
        before = sums.get(name)
        sums[name] = use if before is None else before.plus(use)
    return sums


@attrs.define
class LocalBucket:
    """A front's part of a rate while it has no news."""

    level: float
    refilled_at: float

    def acquire(self, cost: int, rate: float, most: float, now: float) -> bool:
        """Spends a request's cost unless earlier ones have spent it all."""
        self.level = min(self.level + rate * (now - self.refilled_at), most)
        self.refilled_at = now
        if self.level <= 0:
            return False
        self.level -= cost
        return True


@attrs.define
class _Mix:
    """How urgent the requests under a rate are, in the mean.

    Attributes:
        weight: the mean of their weights.
    """

    weight: float

    def note(self, weight: float) -> None:
        """Takes a request's weight into the mean."""
        self.weight += _MIX_SHARE * (weight - self.weight)

    def share(self, share: float, weight: float) -> float:
        """Returns the share of such requests that may pass of a share of all.

        The urgent pass more often than others, which are not shut out, and all
        together as the share says.
        """
        return min(share * weight / self.weight, 1.0)


def weigh_priority(priority: int) -> float:
    """Returns by how much rather a request passes than those of priority 0."""
    return _PRIORITY_FACTOR ** -min(priority, _PRIORITY_MOST)


class FrontRates:
    """Which requests under rates a front lets through.

    Args:
        rng: draws which of them.
        by_parts: whether a rate of which the owner says nothing is kept by own
            parts, which begin with nothing to spend, each by another amount
            below that: many small parts that began full would let many times
            the rate through at once.
    """

    def __init__(
        self, rng: random.Random, *, local_by_default: bool = False
    ) -> None:
        self._rng = rng
        self._by_parts = local_by_default
        self._states: Mapping[str, RateState] = {}
        self._fronts = _FRONTS_UNTOLD if local_by_default else 1
        self._told_at = float("-inf")
        self._uses: dict[str, RateUse] = {}
        self._used_since = float("inf")
        self._parts: dict[str, LocalBucket] = {}
        self._mixes: dict[str, _Mix] = {}

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
    ) -> None:
        """Takes what the owner says.

        Args:
            states: of the rates that are nearly used up.
            fronts: how many there are.
            told_at: when it said so, on the runtime's clock.
        """
        self._states = states
        self._fronts = max(fronts, 1)
        self._told_at = told_at
        for name in self._mixes.keys() - states.keys():
            del self._mixes[name]
        for name in list(self._parts):
            if not self._goes_by_part(name, told_at):
                del self._parts[name]

    def update_front_count(self, fronts: int) -> None:
        """Takes how many fronts there are from an owner that knows no more."""
        self._fronts = max(fronts, 1)

    def admit(
        self,
        name: str,
        quota: Quota,
        cost: int,
        now: float,
        weight: float = 1.0,
    ) -> bool:
        """Returns whether a request may pass; counts it as sent if so."""
        is_admitted = self.draw(name, quota, cost, now, weight)
        if is_admitted:
            self.spend(name, cost, now)
        return is_admitted

    def draw(
        self,
        name: str,
        quota: Quota,
        cost: int,
        now: float,
        weight: float = 1.0,
    ) -> bool:
        """Returns whether a request may pass, which need not be sent.

        Args:
            name: of the rate.
            quota: the rate.
            cost: of the request.
            now: the clock, in seconds.
            weight: by how much rather it passes than others.
        """
        self._add(name, RateUse(0, cost), now)
        state = self._states.get(name)
        if not self._goes_by_part(name, now):
            if state is None:
                return True
            mix = self._mixes.setdefault(name, _Mix(weight))
            mix.note(weight)
            return self._rng.random() < mix.share(state.share, weight)
        unevenness = 1.0 if self._by_parts else _UNEVENNESS
        most = unevenness * quota.burst / self._fronts
        part = self._parts.get(name)
        if part is None:
            level = self._first_level(state, most)
            part = self._parts[name] = LocalBucket(level, now)
        return part.acquire(cost, quota.rate / self._fronts, most, now)

    def _goes_by_part(self, name: str, now: float) -> bool:
        """Whether this front keeps to its own part of a rate."""
        if now - self._told_at >= _NEWS_SECONDS:
            return True
        state = self._states.get(name)
        if state is None:
            return self._by_parts
        return state.share == DECIDE_LOCALLY

    def _first_level(self, state: RateState | None, most: float) -> float:
        if self._by_parts:
            return -self._rng.random()
        return 0.0 if state is not None and state.is_limiting else most

    def spend(self, name: str, cost: int, now: float) -> None:
        """Counts a request that is sent."""
        self._add(name, RateUse(cost, 0), now)

    def refund(self, name: str, use: RateUse, now: float) -> None:
        """Takes back what was counted of a request that wasn't sent."""
        self._add(name, RateUse(-use.spent, -use.offered), now)

    def refund_draw(self, name: str, cost: int) -> None:
        """Takes back what a request that may pass, but isn't sent, drew."""
        part = self._parts.get(name)
        if part is not None:
            part.level += cost

    def _add(self, name: str, use: RateUse, now: float) -> None:
        before = self._uses.get(name)
        self._uses[name] = use if before is None else before.plus(use)
        self._used_since = min(self._used_since, now)

    def describe_decision(self, name: str, now: float) -> dict[str, object]:
        """Returns by whose word a request is let through, for the log."""
        state = self._states.get(name)
        age = now - self._told_at
        is_own = self._goes_by_part(name, now)
        return {
            "decided_by": "own_part" if is_own else "owner",
            "share": state.share if state is not None else 1.0,
            "news_age": round(min(age, 1e9), 3),
        }

    def retry_after_seconds(self) -> float:
        """Returns the seconds after which a refused caller may come back."""
        return _AFTER_SECONDS + self._rng.random() * _SPREAD_SECONDS

    def collect_uses(self) -> dict[str, RateUse]:
        """Returns what was sent since the last call."""
        uses, self._uses = self._uses, {}
        self._used_since = float("inf")
        return uses

    @property
    def used_since(self) -> float:
        """When the first of what `take_uses` returns was sent."""
        return self._used_since
