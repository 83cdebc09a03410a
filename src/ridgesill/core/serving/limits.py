"""Rate limits that upstreams state: requests per second over all fronts.

Answers may arrive out of order. An answer without a limit, or with a higher
one, therefore counts only if its request was sent after the limit was last
stated.
"""

from collections.abc import Collection, Mapping

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.customers import Quota

# After a limit is lifted, the allowed rate grows by the factor per second for
# this many seconds. The full load at once could overload the upstream again.
_RAMP_SECONDS = 5.0
_RAMP_FACTOR = 2.0
# A statement counts as newer than the known one only beyond this difference:
# nodes exchange ages, which don't include the transit time of the message.
_CLOCK_MARGIN_SECONDS = 0.05
# Burst beyond the rate, in requests and in seconds of the rate: at low rates
# requests arrive unevenly.
_BURST_LEAST = 2.0
_BURST_SECONDS = 0.5


@register
@attrs.frozen
class NamedLimit:
    """A limit as nodes report it to each other.

    Attributes:
        rate: requests per second.
        heard_by: the front that last received it from the upstream.
        since_ago: seconds since the upstream first stated a limit.
        said_ago: seconds since it last stated this limit.
        lifted_ago: seconds since a request was sent whose answer stated no
            limit; negative while the limit is in force.
    """

    rate: float
    heard_by: str
    since_ago: float
    said_ago: float
    lifted_ago: float = -1.0


@attrs.frozen
class _KnownLimit:
    rate: float
    heard_by: str
    first_named_at: float
    named_at: float
    lifted_at: float | None = None

    @property
    def last_statement_at(self) -> float:
        """When the upstream last stated or lifted the limit."""
        if self.lifted_at is None:
            return self.named_at
        return max(self.named_at, self.lifted_at)


def make_quota(rate: float) -> Quota:
    """Returns the quota that keeps to a limit in requests per second."""
    return Quota(rate, _BURST_LEAST + _BURST_SECONDS * rate)


class UpstreamLimits:
    """The known limits, by upstream."""

    def __init__(self) -> None:
        self._known: dict[str, _KnownLimit] = {}

    def __len__(self) -> int:
        """Returns the number of known limits."""
        return len(self._known)

    def record_limit(
        self, upstream: str, rate: float, sent_at: float, now: float, by: str
    ) -> None:
        """Records a limit that an upstream states in an answer.

        Args:
            upstream: name of the upstream; a restarted one has another name.
            rate: requests per second.
            sent_at: when the answered request was sent, in seconds.
            now: the current time, in seconds.
            by: the front that received the answer.
        """
        known = self._known.get(upstream)
        if known is not None and known.lifted_at is None:
            is_later = sent_at > known.named_at
            if rate > known.rate and not is_later:
                return
        is_new = known is None or known.lifted_at is not None
        since = now if known is None or is_new else known.first_named_at
        self._known[upstream] = _KnownLimit(rate, by, since, now)

    def record_unlimited(self, upstream: str, sent_at: float) -> None:
        """Records a successful answer that states no limit."""
        known = self._known.get(upstream)
        if known is None or known.lifted_at is not None:
            return
        if sent_at > known.named_at:
            self._known[upstream] = attrs.evolve(known, lifted_at=sent_at)

    def merge(self, reported: Mapping[str, NamedLimit], at: float) -> bool:
        """Merges the limits that another node knows.

        Args:
            reported: limits by upstream.
            at: when they were reported, in seconds on this node's clock.

        Returns:
            Whether a limit in force has changed.
        """
        is_changed = False
        for upstream, limit in reported.items():
            lifted = None if limit.lifted_ago < 0 else at - limit.lifted_ago
            other = _KnownLimit(
                limit.rate,
                limit.heard_by,
                at - limit.since_ago,
                at - limit.said_ago,
                lifted,
            )
            known = self._known.get(upstream)
            if known is None or _is_later(other, known):
                is_changed |= known is None or _is_different(known, other)
                self._known[upstream] = other
        return is_changed

    def report(self, now: float) -> dict[str, NamedLimit]:
        """Returns the known limits, to send to another node."""
        return {
            upstream: NamedLimit(
                known.rate,
                known.heard_by,
                now - known.first_named_at,
                now - known.named_at,
                -1.0 if known.lifted_at is None else now - known.lifted_at,
            )
            for upstream, known in self._known.items()
        }

    def rate(self, upstream: str, now: float) -> float | None:
        """Returns the allowed requests per second; None if unlimited."""
        known = self._known.get(upstream)
        if known is None or known.lifted_at is None:
            return None if known is None else known.rate
        since = now - known.lifted_at
        if since >= _RAMP_SECONDS:
            return None
        return known.rate * _RAMP_FACTOR**since

    def rates(self, now: float) -> dict[str, float]:
        """Returns the requests per second that limited upstreams may get."""
        rates = {}
        for upstream in self._known:
            rate = self.rate(upstream, now)
            if rate is not None:
                rates[upstream] = rate
        return rates

    def has_newer(self, upstream: str, reported: NamedLimit, at: float) -> bool:
        """Whether a node that reported a limit lacks what is known here."""
        known = self._known[upstream]
        named_at = at - reported.said_ago
        is_lifted = reported.lifted_ago >= 0
        if is_lifted != (known.lifted_at is not None):
            return True
        return known.rate != reported.rate and known.named_at > named_at

    def discard_except(self, upstreams: Collection[str], now: float) -> None:
        """Discards limits that have ended and those of other upstreams."""
        for upstream in list(self._known):
            is_over = self.rate(upstream, now) is None
            if is_over or upstream not in upstreams:
                del self._known[upstream]


def _is_later(one: _KnownLimit, other: _KnownLimit) -> bool:
    return (
        one.last_statement_at > other.last_statement_at + _CLOCK_MARGIN_SECONDS
    )


def _is_different(one: _KnownLimit, other: _KnownLimit) -> bool:
    is_lifted = one.lifted_at is not None
    return one.rate != other.rate or is_lifted != (other.lifted_at is not None)
