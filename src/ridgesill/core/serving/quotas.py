"""A front's part in keeping customers within their limits.

Load pattern: 74 fronts with 0.4 requests a second of an average customer each,
of 200 to 40,000 tokens, while one customer sends eight times its usual. A limit
split among fronts refuses what is owed, since a single request can exceed a
front's part. So the fleet's owner counts what all fronts let through, and tells
each of them which share of a customer's requests may pass.
"""

import random
from collections.abc import Mapping

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.customers import Customer, Quota

# Without news for this long a front goes by its own part of each limit, in
# seconds; owners answer at least each 0.5 s.
_NEWS_SECONDS = 1.0
# How much of its part of a burst a front without news may let through at once:
# requests reach fronts unevenly.
_UNEVENNESS = 1.5
# When a refused caller may come back, in seconds, and how far apart callers
# that were refused together do.
_AFTER_SECONDS = 1.0
_SPREAD_SECONDS = 1.0


@register
@attrs.frozen
class CustomerUse:
    """What a customer has sent since the last report.

    Attributes:
        spent: by requests that were let through.
        offered: by all requests.
    """

    spent: int = 0
    offered: int = 0

    def plus(self, other: "CustomerUse") -> "CustomerUse":
        """Returns the sum of two."""
        return CustomerUse(
            self.spent + other.spent, self.offered + other.offered
        )


@register
@attrs.frozen
class QuotaState:
    """What the owner says of a customer near its limit.

    Attributes:
        share: of its requests that may pass.
        level: what it may still send at once; negative once beyond.
    """

    share: float
    level: float


Uses = Mapping[str, CustomerUse]


def add_uses(one: Uses, other: Uses) -> dict[str, CustomerUse]:
    """Returns the sums of two reports, by customer."""
    sums = dict(one)
    for name, use in other.items():
        before = sums.get(name)
        sums[name] = use if before is None else before.plus(use)
    return sums


def only_spent(uses: Uses) -> dict[str, CustomerUse]:
    """Returns what is still to be told of a report that was lost.

    What was offered says how much comes now; told seconds later, all at once,
    it would be taken for far more.
    """
    return {name: CustomerUse(use.spent, 0) for name, use in uses.items()}


@attrs.define
class OwnPart:
    """A front's part of a limit while it has no news."""

    level: float
    at: float

    def take(self, cost: int, rate: float, most: float, now: float) -> bool:
        """Spends a request's cost unless earlier ones have spent it all."""
        self.level = min(self.level + rate * (now - self.at), most)
        self.at = now
        if self.level <= 0:
            return False
        self.level -= cost
        return True


class FrontQuotas:
    """Which requests of limited customers a front lets through.

    Args:
        rng: draws which of them.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._states: Mapping[str, QuotaState] = {}
        self._fronts = 1
        self._told_at = float("-inf")
        self._uses: dict[str, CustomerUse] = {}
        self._parts: dict[str, OwnPart] = {}

    def take_news(
        self, states: Mapping[str, QuotaState], fronts: int, told_at: float
    ) -> None:
        """Takes what the owner says.

        Args:
            states: of the customers near their limits.
            fronts: how many there are.
            told_at: when it said so, on the runtime's clock.
        """
        self._states = states
        self._fronts = max(fronts, 1)
        self._told_at = told_at
        self._parts.clear()

    def admit(self, customer: Customer, tokens: int, now: float) -> bool:
        """Returns whether a request lies within its customer's limit."""
        quota = customer.quota
        if quota is None:
            return True
        cost = quota.cost(tokens)
        is_admitted = self._decide(customer.name, quota, cost, now)
        spent = cost if is_admitted else 0
        self._add(customer.name, CustomerUse(spent, cost))
        return is_admitted

    def _decide(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        state = self._states.get(name)
        if now - self._told_at < _NEWS_SECONDS:
            return state is None or self._rng.random() < state.share
        most = _UNEVENNESS * quota.burst / self._fronts
        part = self._parts.get(name)
        if part is None:
            level = most if state is None or state.share >= 1 else 0.0
            part = self._parts[name] = OwnPart(level, now)
        return part.take(cost, quota.rate / self._fronts, most, now)

    def give_back(self, customer: Customer, tokens: int) -> None:
        """Takes a request back that was let through and reached no upstream."""
        if customer.quota is not None:
            cost = customer.quota.cost(tokens)
            self._add(customer.name, CustomerUse(-cost, -cost))

    def _add(self, name: str, use: CustomerUse) -> None:
        before = self._uses.get(name)
        self._uses[name] = use if before is None else before.plus(use)

    def comes_back_after(self) -> float:
        """Returns the seconds after which a refused caller may come back."""
        return _AFTER_SECONDS + self._rng.random() * _SPREAD_SECONDS

    def take_uses(self) -> dict[str, CustomerUse]:
        """Returns what customers have sent since the last call."""
        uses, self._uses = self._uses, {}
        return uses

    def put_back(self, uses: Uses) -> None:
        """Keeps for the next report what nobody has heard."""
        self._uses = add_uses(only_spent(uses), self._uses)
