"""The owner's side of the limits that upstreams name."""

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

# Over which what an upstream gets is judged, in seconds; none of what is borne
# beyond its limit is used.
_WINDOW_SECONDS = 4.0


@attrs.frozen
class LimitUse:
    """What an operator is told of an upstream's limit.

    Attributes:
        rate: requests a second that it named last.
        allowed: that it may get a second now; more than that after its last
            word, until it has its share again.
        heard_by: the front that heard it last.
        since: seconds since it first named one.
        said: seconds since it last named this one.
        is_over: whether it has answered without one since.
        offers: requests a second that could go there.
        share: of them that may pass; negative while fronts go by their parts.
        level: what may be sent at once; negative once beyond.
        refused: requests that went elsewhere or nowhere, since this owner
            began.
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
    """Keeps what fronts send upstreams within the limits that these name."""

    def __init__(self) -> None:
        self._known = UpstreamLimits()
        self._ledger = self._make_ledger()

    @staticmethod
    def _make_ledger() -> RateLedger:
        tolerance = Tolerance(_WINDOW_SECONDS, 0.0, 0.0)
        return RateLedger(tolerance, learns_offers=True)

    def restore(self, view: FleetView, now: float) -> None:
        """Goes on from what an earlier owner told."""
        self._ledger = self._make_ledger()
        self._known = UpstreamLimits()
        self._known.merge(view.limits, view.updated_at)
        self._set_quotas(now)
        self._ledger.restore(view.sends, view.updated_at, now)

    def apply_limits(self, told: Mapping[str, NamedLimit], now: float) -> bool:
        """Takes what fronts have heard; returns whether that is news."""
        if not told or not self._known.merge(told, now):
            return False
        for upstream, limit in told.items():
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
        """Takes what fronts report; returns the upstreams of absurd sums."""
        return self._ledger.record_uses(sends, now, span)

    def update(
        self, fronts: int, upstreams: Collection[str], now: float
    ) -> None:
        """Forgets limits that are over; called a few times a second."""
        self._ledger.record_fronts(fronts, now)
        if self._known:
            self._known.discard_except(upstreams, now)
            self._set_quotas(now)

    def _set_quotas(self, now: float) -> None:
        rates = self._known.rates(now)
        self._ledger.set_quotas({u: make_quota(r) for u, r in rates.items()})

    def has_any(self) -> bool:
        """Whether any upstream is limited."""
        return bool(self._known)

    def is_limited(self, upstream: str, now: float) -> bool:
        """Whether an upstream takes only so many requests now."""
        return self._known.rate(upstream, now) is not None

    def current_limits(self, now: float) -> dict[str, NamedLimit]:
        """Returns the limits, to be told fronts."""
        return self._known.report(now)

    def states(self, now: float) -> dict[str, RateState]:
        """Returns what may be sent of them, to be told fronts."""
        return self._ledger.states(now)

    def overview(self, now: float) -> list[LimitUse]:
        """Returns all limits, for operators."""
        uses = {use.name: use for use in self._ledger.overview(now)}
        return [
            LimitUse(
                upstream,
                limit.rate,
                round(self._known.rate(upstream, now) or limit.rate, 2),
                limit.heard_by,
                round(limit.since_ago, 1),
                round(limit.said_ago, 1),
                limit.lifted_ago >= 0,
                uses[upstream].offers,
                uses[upstream].share,
                uses[upstream].level,
                uses[upstream].refused,
            )
            for upstream, limit in self._known.report(now).items()
            if upstream in uses
        ]
