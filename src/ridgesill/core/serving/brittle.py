"""Upstreams that fall over if they have to turn too many requests away.

They say so in all their answers, with the number of requests a second that they
can turn away for want of room, over all fronts. So a request to one needs a
permit of the owner, which counts over all fronts
(`core/fleet/slot_permits.py`). Without an answer of the owner a front keeps to
a part of what such an upstream has and bears, so that all fronts together stay
within it.
"""

import random

import attrs

from ridgesill.core.fleet.messages import NOT_BRITTLE, Upstream
from ridgesill.core.fleet.registry import FleetView

# Longest pause after a request was turned away, in seconds.
_MAX_PAUSE_SECONDS = 5.0
# Share of the bound on rejections that all fronts together may spend on sends
# for which nobody has counted.
_UNCOUNTED_SHARE = 0.25
# How long a random occasion for such a send stays open, in seconds.
_OCCASION_SECONDS = 0.3
# Age of the owner's news from which no front holds permits any more, so that
# each may use its part of the slots, in seconds.
_OWNER_SILENCE_SECONDS = 2.5


@attrs.frozen
class _Statement:
    """What an upstream last said.

    Attributes:
        service: service of the upstream.
        bound: requests that it can turn away, per second.
        sent_at: when the request that it answered was sent, in seconds.
    """

    service: str
    bound: float
    sent_at: float


class BrittleUpstreams:
    """Tracks which upstreams are brittle, by answers and the owner's news.

    Args:
        rng: source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._statements: dict[str, _Statement] = {}
        self._services: set[str] = set()
        self._told: dict[str, Upstream] = {}
        # What identifies the news that were applied last.
        self._applied = (0, 0, 0)
        self._paused_until: dict[str, float] = {}
        # When the next occasion begins to send without a permit, by upstream.
        self._occasions: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Whether any upstream is brittle."""
        return bool(self._statements or self._services)

    def apply_view(self, view: FleetView) -> None:
        """Takes over what the owner tells of upstreams.

        A service of which no upstream is listed stays as it was: a start that
        is back is as brittle as the one before.
        """
        applied = (view.epoch, view.number, view.records)
        if view.number and applied == self._applied:
            return
        self._applied = applied
        listed = {upstream.service for upstream in view.upstreams.values()}
        self._told = {
            upstream.name: upstream
            for upstream in view.upstreams.values()
            if upstream.brittle != NOT_BRITTLE
        }
        told = {upstream.service for upstream in self._told.values()}
        self._services = told | (self._services - listed)

    def record(
        self, upstream: Upstream, bound: float | None, sent_at: float
    ) -> bool:
        """Records what an answer says; returns whether that is new.

        Args:
            upstream: that answered.
            bound: requests that it can turn away, per second; None if the
                answer doesn't say that it is brittle.
            sent_at: when the request was sent, in seconds. An answer to a
                request that was sent before the latest one is ignored.
        """
        known = self._statements.get(upstream.name)
        if known is not None and sent_at < known.sent_at:
            return False
        if bound is None:
            return self._statements.pop(upstream.name, None) is not None
        self._statements[upstream.name] = _Statement(
            upstream.service, bound, sent_at
        )
        return known is None or known.bound != bound

    def is_brittle(self, upstream: str) -> bool:
        """Whether an upstream says, or the owner tells, that it is brittle."""
        return upstream in self._statements or upstream in self._told

    def is_service_brittle(self, service: str) -> bool:
        """Whether any upstream of a service is brittle."""
        return service in self._services or any(
            statement.service == service
            for statement in self._statements.values()
        )

    def list_upstreams(self) -> set[str]:
        """Returns the names of the brittle upstreams."""
        return self._statements.keys() | self._told.keys()

    def _find_bound(self, upstream: Upstream) -> float:
        """Returns the rejections per second that an upstream bears."""
        known = self._statements.get(upstream.name)
        if known is not None:
            return known.bound
        return max(upstream.brittle, 0.0)

    def record_rejected(
        self, upstream: Upstream, fronts: int, now: float
    ) -> None:
        """Pauses sends without a permit after a request was turned away."""
        pause = _MAX_PAUSE_SECONDS
        bound = self._find_bound(upstream)
        if bound > 0:
            pause = min(fronts / bound, _MAX_PAUSE_SECONDS)
        self._paused_until[upstream.name] = now + pause

    def may_use_alone(
        self,
        upstream: Upstream,
        own: int,
        fronts: int,
        silence: float,
        now: float,
    ) -> bool:
        """Whether a request may go to an upstream without a permit.

        Args:
            upstream: the upstream.
            own: this front's requests in progress there.
            fronts: number of fronts.
            silence: seconds since the owner's last news.
            now: clock time, in seconds.
        """
        if now < self._paused_until.get(upstream.name, float("-inf")):
            return False
        if fronts == 1 or silence >= _OWNER_SILENCE_SECONDS:
            part = upstream.slots // fronts
            if part:
                return own < part
        return own == 0 and self._takes_occasion(upstream, fronts, now)

    def _takes_occasion(
        self, upstream: Upstream, fronts: int, now: float
    ) -> bool:
        """Whether now is an occasion to send without a count.

        Occasions come at random, so that fronts don't take them together.
        """
        rate = _UNCOUNTED_SHARE * self._find_bound(upstream) / fronts
        if rate <= 0:
            return False
        occasion = self._occasions.get(upstream.name)
        if occasion is None or now >= occasion + _OCCASION_SECONDS:
            occasion = now + self._rng.expovariate(rate)
            self._occasions[upstream.name] = occasion
        if now < occasion:
            return False
        self._occasions[upstream.name] = now + self._rng.expovariate(rate)
        return True

    def discard_except(self, upstreams: set[str]) -> None:
        """Discards what is known of all upstreams but the given ones."""
        for kept in (self._statements, self._paused_until, self._occasions):
            for name in list(kept):
                if name not in upstreams:
                    del kept[name]  # type: ignore[attr-defined]
