"""Enforces the rate limits of upstreams at one front."""

import random
from collections.abc import Collection, Iterable

from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.limits import (
    NamedLimit,
    UpstreamLimits,
    make_quota,
)
from ridgesill.core.serving.rates import FrontRates, RateUse

# Cost of a request against the limit of an upstream.
_REQUEST_COST = 1


class FrontLimits:
    """The upstream limits that a front knows, and its share in keeping them.

    Args:
        rng: decides which requests may go to a limited upstream.
        front: name of the front, reported with the limits that it hears.
    """

    def __init__(self, rng: random.Random, front: str = "") -> None:
        self.known = UpstreamLimits()
        self.rates = FrontRates(rng, local_by_default=True)
        self._front = front

    def record_limit(
        self, upstream: str, rate: float, sent_at: float, now: float
    ) -> bool:
        """Records a limit that an upstream states; returns if it is new."""
        before = self.allowed_rate(upstream, now)
        self.known.record_limit(upstream, rate, sent_at, now, self._front)
        return self.allowed_rate(upstream, now) != before

    def record_unlimited(self, upstream: str, sent_at: float) -> None:
        """Records that an upstream states no limit, if any did."""
        if self.known:
            self.known.record_unlimited(upstream, sent_at)

    def apply_news(self, view: FleetView) -> None:
        """Applies the limits and shares that the owner has sent."""
        self.known.merge(view.limits, view.updated_at)
        self.rates.apply_news(view.sends, view.fronts, view.updated_at)

    def list_unreported(
        self, view: FleetView, now: float
    ) -> dict[str, NamedLimit]:
        """Returns the limits that the owner lacks or has an older state of."""
        return {
            upstream: limit
            for upstream, limit in self.known.report(now).items()
            if upstream not in view.limits
            or self.known.has_newer(
                upstream, view.limits[upstream], view.updated_at
            )
        }

    def allowed_rate(self, upstream: str, now: float) -> float | None:
        """Returns the allowed requests per second; None if unlimited."""
        return self.known.rate(upstream, now) if self.known else None

    def count(self) -> int:
        """Returns the number of limited upstreams."""
        return len(self.known)

    def discard_except(self, upstreams: Collection[str], now: float) -> None:
        """Discards limits that have ended and those of other upstreams."""
        self.known.discard_except(upstreams, now)


class LimitDraws:
    """Decides which limited upstreams one request may go to.

    There is one random draw per upstream, made when the request could first go
    there. A request that loses goes elsewhere, and retries don't raise its
    chance.

    Args:
        limits: the limits that the front knows.
    """

    def __init__(self, limits: FrontLimits) -> None:
        # Weight of the request's priority, as returned by `weigh_priority`.
        self.weight = 1.0
        self._limits = limits
        self._decisions: dict[str, bool] = {}
        self._sent: set[str] = set()

    def is_allowed(self, upstream: str, now: float) -> bool:
        """Whether the request may go to an upstream; draws only once."""
        if not self._limits.known:
            return True
        decision = self._decisions.get(upstream)
        if decision is not None:
            return decision
        allowed = self._limits.allowed_rate(upstream, now)
        if allowed is None:
            return True
        quota = make_quota(allowed)
        decision = self._limits.rates.draw(
            upstream, quota, _REQUEST_COST, now, self.weight
        )
        self._decisions[upstream] = decision
        return decision

    def list_denied(self) -> list[str]:
        """Returns the limited upstreams that the request may not go to."""
        return [
            name
            for name, allowed_here in self._decisions.items()
            if not allowed_here
        ]

    def is_granted(self, upstream: str) -> bool:
        """Whether the upstream is limited and the request won its draw."""
        return self._decisions.get(upstream, False)

    def filter_allowed(
        self, upstreams: list[Upstream], now: float, *, prefers_limited: bool
    ) -> list[Upstream]:
        """Returns the upstreams that the request may go to.

        Args:
            upstreams: the upstreams that could serve it.
            now: the current time, in seconds.
            prefers_limited: whether to return only the limited upstreams that
                it may go to, if any: capacity that is granted and not used is
                lost to them. Otherwise unlimited upstreams go first.
        """
        if not self._limits.known:
            return upstreams
        allowed = [u for u in upstreams if self.is_allowed(u.name, now)]
        limited = [u for u in allowed if self.is_granted(u.name)]
        others = [u for u in allowed if not self.is_granted(u.name)]
        if prefers_limited:
            return limited or others
        return others or limited

    def are_all_denied(self, upstreams: Iterable[Upstream], now: float) -> bool:
        """Whether all given upstreams are limited and deny the request.

        Makes no draw while one of them has no limit.
        """
        if not self._limits.known:
            return False
        names = [upstream.name for upstream in upstreams]
        if any(self._limits.allowed_rate(n, now) is None for n in names):
            return False
        decision = [self.is_allowed(name, now) for name in names]
        return bool(names) and not any(decision)

    def record_sent(self, upstream: str, now: float) -> None:
        """Counts the request against the limit of an upstream."""
        if self._limits.allowed_rate(upstream, now) is not None:
            self._sent.add(upstream)
            self._limits.rates.spend(upstream, _REQUEST_COST, now)

    def revert_sent(self, upstream: str, now: float) -> None:
        """Reverts `record_sent`: no byte has reached the upstream."""
        if upstream in self._sent:
            self._sent.discard(upstream)
            self._limits.rates.refund(upstream, RateUse(_REQUEST_COST, 0), now)

    def release(self) -> None:
        """Returns the capacity of draws that were won but not used."""
        for upstream, allowed_here in self._decisions.items():
            if allowed_here and upstream not in self._sent:
                self._limits.rates.refund_draw(upstream, _REQUEST_COST)
