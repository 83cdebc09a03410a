"""What a front may send upstreams that have named a limit."""

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

# What each request counts for.
_ONE = 1


class FrontLimits:
    """The limits that a front knows, and its part in keeping them.

    Args:
        rng: draws which requests may go to a limited upstream.
        front: the front's name, for operators.
    """

    def __init__(self, rng: random.Random, front: str = "") -> None:
        self.known = UpstreamLimits()
        self.rates = FrontRates(rng, local_by_default=True)
        self._front = front

    def record_limit(
        self, upstream: str, rate: float, sent_at: float, now: float
    ) -> bool:
        """Takes a limit that an upstream names; returns whether it is news."""
        before = self.allowed_rate(upstream, now)
        self.known.record_limit(upstream, rate, sent_at, now, self._front)
        return self.allowed_rate(upstream, now) != before

    def apply_news(self, view: FleetView) -> None:
        """Takes what the owner says."""
        self.known.merge(view.limits, view.updated_at)
        self.rates.apply_news(view.sends, view.fronts, view.updated_at)

    def list_unreported(
        self, view: FleetView, now: float
    ) -> dict[str, NamedLimit]:
        """Returns the limits of which the owner knows less."""
        return {
            upstream: limit
            for upstream, limit in self.known.report(now).items()
            if upstream not in view.limits
            or self.known.has_newer(
                upstream, view.limits[upstream], view.updated_at
            )
        }

    def allowed_rate(self, upstream: str, now: float) -> float | None:
        """Returns what an upstream may get a second; None for any number."""
        return self.known.rate(upstream, now) if self.known else None

    def count(self) -> int:
        """Returns how many upstreams are limited."""
        return len(self.known)

    def discard_except(self, upstreams: Collection[str], now: float) -> None:
        """Forgets upstreams that are gone, and limits that are over."""
        self.known.discard_except(upstreams, now)


class LimitDraws:
    """Which limited upstreams one request may go to.

    Each is drawn for once, when the request could first go there. So a request
    that it may not have goes elsewhere, and doesn't try its luck again.

    Args:
        limits: of the front.
    """

    def __init__(self, limits: FrontLimits) -> None:
        # Of the request, as `weigh_priority` returns it.
        self.weight = 1.0
        self._limits = limits
        self._drawn: dict[str, bool] = {}
        self._sent: set[str] = set()

    def is_allowed(self, upstream: str, now: float) -> bool:
        """Whether the request may go to an upstream."""
        if not self._limits.known:
            return True
        drawn = self._drawn.get(upstream)
        if drawn is not None:
            return drawn
        allowed = self._limits.allowed_rate(upstream, now)
        if allowed is None:
            return True
        quota = make_quota(allowed)
        drawn = self._limits.rates.draw(upstream, quota, _ONE, now, self.weight)
        self._drawn[upstream] = drawn
        return drawn

    def list_denied(self) -> list[str]:
        """Returns the upstreams that the request may not go to."""
        return [name for name, is_open in self._drawn.items() if not is_open]

    def is_granted(self, upstream: str) -> bool:
        """Whether the request is one of those that a limit allows."""
        return self._drawn.get(upstream, False)

    def filter_allowed(
        self, upstreams: list[Upstream], now: float, *, prefers_limited: bool
    ) -> list[Upstream]:
        """Returns the upstreams that the request may go to.

        Args:
            upstreams: that could serve it.
            now: the clock, in seconds.
            prefers_limited: whether those that a limit allows it are chosen
                before others: what isn't sent there is lost to them.
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
        """Whether all of some upstreams are limited, and none is open.

        None is drawn for while one of them has no limit.
        """
        if not self._limits.known:
            return False
        names = [upstream.name for upstream in upstreams]
        if any(self._limits.allowed_rate(n, now) is None for n in names):
            return False
        drawn = [self.is_allowed(name, now) for name in names]
        return bool(names) and not any(drawn)

    def record_sent(self, upstream: str, now: float) -> None:
        """Counts the request as sent to an upstream."""
        if self._limits.allowed_rate(upstream, now) is not None:
            self._sent.add(upstream)
            self._limits.rates.spend(upstream, _ONE, now)

    def revert_sent(self, upstream: str, now: float) -> None:
        """Takes that back: nothing of it has reached the upstream."""
        if upstream in self._sent:
            self._sent.discard(upstream)
            self._limits.rates.refund(upstream, RateUse(_ONE, 0), now)

    def release(self) -> None:
        """Gives back what was drawn and not used."""
        for upstream, is_open in self._drawn.items():
            if is_open and upstream not in self._sent:
                self._limits.rates.refund_draw(upstream, _ONE)
