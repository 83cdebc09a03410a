"""Probes: the few requests that are sent to ejected upstreams.

Load pattern: 6 to 330 fronts, each with 0.3 to 20 repeatable requests a second
to a service that has one upstream ejected for all fronts. If each front probed
at a rate of its own, the number of requests lost to the upstream would grow
with the number of fronts.
"""

import math

import attrs

# Probes of an ejected upstream per second, over all fronts. They show within a
# second or two that it has recovered, at the cost of as many retries.
_PROBES_PER_SECOND = 2.0
# Time constant of a front's rate of repeatable requests, in seconds. Of 330
# fronts, one with 0.15 requests a second counts three in this time.
_RATE_SECONDS = 20.0
# Largest share of the repeatable requests that are probes, of all ejected
# upstreams together: where there are few requests, most must still be served.
_MAX_PROBE_SHARE = 0.5


@attrs.define
class _DecayingCount:
    """Count of requests in which each one decays exponentially.

    Attributes:
        count: the count at `updated_at`.
        updated_at: when the last request was counted, in seconds.
        since: when the first request was counted, in seconds.
    """

    count: float
    updated_at: float
    since: float

    def add(self, now: float) -> None:
        """Counts a request."""
        decay = math.exp((self.updated_at - now) / _RATE_SECONDS)
        self.count = self.count * decay + 1.0
        self.updated_at = now

    def rate(self) -> float:
        """Returns the requests per second at the last request."""
        age = self.updated_at - self.since
        # A front that has just started has counted for a shorter time.
        seconds = _RATE_SECONDS * (1.0 - math.exp(-age / _RATE_SECONDS))
        # The last request is always there when the rate is asked for. Counted
        # in full, it would make fronts with few requests probe too rarely.
        return (self.count - 0.5) / max(seconds, 1.0)


class Probes:
    """Draws which requests of a front probe an ejected upstream."""

    def __init__(self) -> None:
        self._counts: dict[str, _DecayingCount] = {}

    def record_request(self, service: str, now: float) -> None:
        """Counts a repeatable request to a service."""
        count = self._counts.get(service)
        if count is None:
            self._counts[service] = _DecayingCount(1.0, now, now)
        else:
            count.add(now)

    def draw(
        self, service: str, ejected: int, fronts: int, draw: float
    ) -> int | None:
        """Decides whether a repeatable request is a probe.

        Args:
            service: service that the request goes to.
            ejected: number of ejected upstreams, at least 1.
            fronts: number of fronts.
            draw: random number from 0 to below 1.

        Returns:
            The index of the ejected upstream to probe; None for no probe.
        """
        count = self._counts.get(service)
        if count is None:
            return None
        share = _PROBES_PER_SECOND / (max(fronts, 1) * count.rate())
        share = min(share, _MAX_PROBE_SHARE / ejected)
        index = int(draw / share)
        return index if index < ejected else None
