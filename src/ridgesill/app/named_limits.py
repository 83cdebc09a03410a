"""The owner's enforcement of the rate limits that upstreams name."""

from collections.abc import Collection, Mapping

import attrs
from eliot import log_message

from ridgesill.core.fleet.rate_ledger import RateLedger, Tolerance
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.limits import (
    NamedLimit,
    UpstreamLimits,
    make_quota,
)
from ridgesill.core.serving.rates import RateState, Uses

# Window over which the requests to an upstream are counted, in seconds. No
# excess over the limit is tolerated.
_WINDOW_SECONDS = 4.0


@attrs.frozen
class LimitUse:
    """State of an upstream's rate limit as shown to operators.

    Attributes:
        upstream: name of the upstream.
        rate: limit that the upstream named last, in requests a second.
        allowed: requests a second that it may get now; rises above `rate` step
            by step once the upstream no longer names a limit.
        heard_by: front that received the limit last.
        since: seconds since the upstream first named a limit.
        said: seconds since it last named this limit.
        is_over: whether it has answered without a limit since.
        offers: requests a second that could go there.
        share: share of these that may pass; negative while each front keeps to
            its own part of the limit.
        level: number of requests that may be sent at once; negative beyond the
            limit.
        refused: number of requests that weren't sent there because of the
            limit since this owner took over.
    """

    upstream: str
    rate: float
    allowed: float
    heard_by: str
    since: float
    said: float
    is_over: bool
    offers: float
    share: float
    level: float
    refused: int


class NamedLimits:
    """Rate limits that upstreams have named, enforced over all fronts."""

    def __init__(self) -> None:
        self._limits = UpstreamLimits()
        self._ledger = self._make_ledger()

    @staticmethod
    def _make_ledger() -> RateLedger:
        tolerance = Tolerance(_WINDOW_SECONDS, 0.0, 0.0)
        return RateLedger(tolerance, learns_offers=True)

    def restore(self, view: FleetView, now: float) -> None:
        """Restores limits and rate states from an earlier owner's news.

        Args:
            view: view to which this news was applied.
            now: clock time, in seconds.
        """
        self._ledger = self._make_ledger()
        self._limits = UpstreamLimits()
        self._limits.merge(view.limits, view.updated_at)
        self._set_quotas(now)
        self._ledger.restore(view.sends, view.updated_at, now)

    def apply_limits(
        self, reported: Mapping[str, NamedLimit], now: float
    ) -> bool:
        """Applies the limits that fronts report; returns whether any changed.

        Args:
            reported: limits by upstream.
            now: clock time, in seconds.
        """
        if not reported or not self._limits.merge(reported, now):
            return False
        for upstream, limit in reported.items():
            log_message(
                "fleet:limit",
                upstream=upstream,
                rate=limit.rate,
                heard_by=limit.heard_by,
                is_over=limit.lifted_ago >= 0,
            )
        self._set_quotas(now)
        return True

    def record_sends(self, sends: Uses, now: float, span: float) -> list[str]:
        """Counts the requests that fronts report as sent.

        Args:
            sends: uses by upstream.
            now: clock time, in seconds.
            span: seconds since the first of these requests was sent.

        Returns:
            The upstreams whose counts are implausibly large.
        """
        return self._ledger.record_uses(sends, now, span)

    def update(
        self, fronts: int, upstreams: Collection[str], now: float
    ) -> None:
        """Updates the limits in force; called a few times a second.

        Args:
            fronts: number of fronts that report.
            upstreams: names of the upstreams that exist; limits of others are
                dropped.
            now: clock time, in seconds.
        """
        self._ledger.record_fronts(fronts, now)
        if self._limits:
            self._limits.discard_except(upstreams, now)
            self._set_quotas(now)

    def _set_quotas(self, now: float) -> None:
        rates = self._limits.rates(now)
        self._ledger.set_quotas({u: make_quota(r) for u, r in rates.items()})

    def has_any(self) -> bool:
        """Whether any limit is known."""
        return bool(self._limits)

    def is_limited(self, upstream: str, now: float) -> bool:
        """Whether requests to an upstream are limited now."""
        return self._limits.rate(upstream, now) is not None

    def current_limits(self, now: float) -> dict[str, NamedLimit]:
        """Returns the known limits by upstream, for news to fronts."""
        return self._limits.report(now)

    def states(self, now: float) -> dict[str, RateState]:
        """Returns the rate states by upstream, for news to fronts."""
        return self._ledger.states(now)

    def overview(self, now: float) -> list[LimitUse]:
        """Returns all limits in force, for operators."""
        uses = {use.name: use for use in self._ledger.overview(now)}
        return [
            LimitUse(
                upstream,
                limit.rate,
                round(self._limits.rate(upstream, now) or limit.rate, 2),
                limit.heard_by,
                round(limit.since_ago, 1),
                round(limit.said_ago, 1),
                limit.lifted_ago >= 0,
                uses[upstream].offers,
                uses[upstream].share,
                uses[upstream].level,
                uses[upstream].refused,
            )
            for upstream, limit in self._limits.report(now).items()
            if upstream in uses
        ]
