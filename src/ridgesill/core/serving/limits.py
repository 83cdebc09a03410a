"""Limits that upstreams name: requests a second from all fronts together.

Answers overtake each other. So an answer without a limit, or with a higher one,
counts only if its request was sent after the limit had last been named.
"""

from collections.abc import Collection, Mapping

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.customers import Quota

# For how long what an upstream gets is raised step by step after its last word,
# in seconds, and by which factor a second: all of its share at once may bring
# the need back.
_RETURN_SECONDS = 5.0
_RETURN_FACTOR = 2.0
# By how much later a word must be than a known one to count as another, in
# seconds: ages are told without the way of the message that tells them.
_CLOCK_MARGIN = 0.05
# What an upstream may get at once beside its rate, in requests and in seconds
# of the rate: few requests come at uneven times.
_BURST_LEAST = 2.0
_BURST_SECONDS = 0.5


@register
@attrs.frozen
class NamedLimit:
    """A limit as nodes tell each other.

    Attributes:
        rate: requests a second.
        heard_by: the front that heard it last.
        since_ago: seconds since the upstream first named one.
        said_ago: seconds since it last named this one.
        lifted_ago: seconds since a request was sent whose answer named none;
            negative while it holds.
    """

    rate: float
    heard_by: str
    since_ago: float
    said_ago: float
    lifted_ago: float = -1.0


@attrs.frozen
class _Known:
    rate: float
    heard_by: str
    since: float
    said_at: float
    lifted_at: float | None = None

    @property
    def told_at(self) -> float:
        """When the upstream's last word on it was."""
        if self.lifted_at is None:
            return self.said_at
        return max(self.said_at, self.lifted_at)


def make_quota(rate: float) -> Quota:
    """Returns the rate and burst that keep to a limit."""
    return Quota(rate, _BURST_LEAST + _BURST_SECONDS * rate)


class UpstreamLimits:
    """What is known of the limits in force."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def __len__(self) -> int:
        """Returns how many limits are known."""
        return len(self._known)

    def record_limit(
        self, upstream: str, rate: float, sent_at: float, now: float, by: str
    ) -> None:
        """Takes a limit that an upstream names.

        Args:
            upstream: name of its start.
            rate: requests a second.
            sent_at: when the request left that this answers.
            now: the clock, in seconds.
            by: the front that heard it.
        """
        known = self._known.get(upstream)
        if known is not None and known.lifted_at is None:
            is_later = sent_at > known.said_at
            if rate > known.rate and not is_later:
                return
        is_new = known is None or known.lifted_at is not None
        since = now if known is None or is_new else known.since
        self._known[upstream] = _Known(rate, by, since, now)

    def record_unlimited(self, upstream: str, sent_at: float) -> None:
        """Takes a success in which an upstream names no limit."""
        known = self._known.get(upstream)
        if known is None or known.lifted_at is not None:
            return
        if sent_at > known.said_at:
            self._known[upstream] = attrs.evolve(known, lifted_at=sent_at)

    def merge(self, told: Mapping[str, NamedLimit], at: float) -> bool:
        """Takes what another node knows; returns whether that is news.

        Args:
            told: by upstream.
            at: when it said so, on this node's clock.
        """
        is_changed = False
        for upstream, limit in told.items():
            lifted = None if limit.lifted_ago < 0 else at - limit.lifted_ago
            other = _Known(
                limit.rate,
                limit.heard_by,
                at - limit.since_ago,
                at - limit.said_ago,
                lifted,
            )
            known = self._known.get(upstream)
            if known is None or _is_later(other, known):
                is_changed |= known is None or _differ(known, other)
                self._known[upstream] = other
        return is_changed

    def report(self, now: float) -> dict[str, NamedLimit]:
        """Returns what is known, to be told another node."""
        return {
            upstream: NamedLimit(
                known.rate,
                known.heard_by,
                now - known.since,
                now - known.said_at,
                -1.0 if known.lifted_at is None else now - known.lifted_at,
            )
            for upstream, known in self._known.items()
        }

    def rate(self, upstream: str, now: float) -> float | None:
        """Returns what an upstream may get a second; None for any number."""
        known = self._known.get(upstream)
        if known is None or known.lifted_at is None:
            return None if known is None else known.rate
        since = now - known.lifted_at
        if since >= _RETURN_SECONDS:
            return None
        return known.rate * _RETURN_FACTOR**since

    def rates(self, now: float) -> dict[str, float]:
        """Returns what limited upstreams may get a second."""
        rates = {}
        for upstream in self._known:
            rate = self.rate(upstream, now)
            if rate is not None:
                rates[upstream] = rate
        return rates

    def has_newer(self, upstream: str, told: NamedLimit, at: float) -> bool:
        """Whether a node that told a limit should hear what is known here."""
        known = self._known[upstream]
        said_at = at - told.said_ago
        is_lifted = told.lifted_ago >= 0
        if is_lifted != (known.lifted_at is not None):
            return True
        return known.rate != told.rate and known.said_at > said_at

    def discard_except(self, upstreams: Collection[str], now: float) -> None:
        """Forgets upstreams that are gone, and limits that are over."""
        for upstream in list(self._known):
            is_over = self.rate(upstream, now) is None
            if is_over or upstream not in upstreams:
                del self._known[upstream]


def _is_later(one: _Known, other: _Known) -> bool:
    return one.told_at > other.told_at + _CLOCK_MARGIN


def _differ(one: _Known, other: _Known) -> bool:
    is_lifted = one.lifted_at is not None
    return one.rate != other.rate or is_lifted != (other.lifted_at is not None)
