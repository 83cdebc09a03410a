"""A front's choice of the upstream that gets a request."""

import math
import random
from collections.abc import Collection

import attrs

from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.front_limits import LimitDraws
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.core.serving.unavailable import Unavailable

# Places that count at the most: an engine of 64 reads one prompt at a time, and
# some ten requests in progress already wait for each other there.
_SLOTS_MOST = 16
# What a request across data centres costs beside the load of an upstream: as
# a share of its places. Bytes between data centres are priced at some four
# hundredths of a request's worth, while an upstream that is half full answers
# hardly later than an idle one.
_ELSEWHERE = 0.35
# Above this share of its places in use, each more costs so much in addition: a
# queue is then likely.
_CROWDED_FROM = 0.6
_CROWDED = 2.0
# Requests to a plain service last some 50 ms, and what is known of others' is
# 0.1 to 0.3 s old. So their mean over this time counts, in seconds, and for
# this much of it: by their number many fronts fill one upstream after another.
_MEAN_SECONDS = 0.5
_SHORT_LIVED = 0.3
# Share of their places that plain upstreams of the own data centre have in use,
# in the mean, up to which they get all of its requests, and from which they are
# chosen like any other. In between a part goes elsewhere: many fronts with the
# same view that changed over at once would fill one upstream after the other.
_NEAR_FREE = 0.2
_NEAR_FULL = 0.6
# What a failure rate of 1 costs, in the same measure, and the rate up to which
# it costs nothing: one failure among many successes, which healthy upstreams
# have too.
_FAILING = 3.0
_FAILING_FROM = 0.25
# Differences below this many requests for each front are left to chance, up to
# so many fronts: what others have sent since the last news isn't known, and
# many fronts with the same view would all pick the same upstream.
_JITTER_A_FRONT = 0.5
_JITTER_FRONTS = 8


@attrs.frozen
class Requirements:
    """What a request needs.

    Attributes:
        artifact: what the upstream must hold; empty for a plain service.
        version: of it, at the least; 0 for any.
    """

    service: str
    artifact: str = ""
    version: int = 0


class Chooser:
    """Chooses among the upstreams that this front knows.

    Args:
        data_centre: the front's own.
        view: what is known of the upstreams.
        outcomes: what requests say of them.
        rng: the source of chance.
    """

    def __init__(
        self,
        data_centre: str,
        view: FleetView,
        outcomes: Outcomes,
        rng: random.Random | None = None,
    ) -> None:
        self.view = view
        self.outcomes = outcomes
        self.unavailable = Unavailable()
        self.data_centre = data_centre
        self._rng = rng or random.Random()
        self._own: dict[str, dict[str, int]] = {}
        self._told: dict[str, int] = {}
        self._means: dict[str, float] = {}
        self._means_at = float("-inf")

    # -- requests in progress ------------------------------------------

    def record_start(self, upstream: str, artifact: str) -> None:
        """Counts a request that goes to an upstream."""
        using = self._own.setdefault(upstream, {})
        using[artifact] = using.get(artifact, 0) + 1

    def record_end(self, upstream: str, artifact: str) -> None:
        """Counts a request that has ended there."""
        using = self._own.get(upstream, {})
        left = using.get(artifact, 0) - 1
        if left > 0:
            using[artifact] = left
            return
        using.pop(artifact, None)
        if not using:
            self._own.pop(upstream, None)

    def report_busy(self) -> dict[str, dict[str, int]]:
        """Returns this front's requests in progress, to be told the owner."""
        self._told = {name: sum(u.values()) for name, u in self._own.items()}
        return {name: dict(using) for name, using in self._own.items()}

    def count_busy(self, upstream: str) -> int:
        """Returns the requests in progress at an upstream, as far as known."""
        return self._busy_of_others(upstream) + self._busy_here(upstream)

    def _busy_of_others(self, upstream: str) -> int:
        told = self._told.get(upstream, 0)
        return max(self.view.busy.get(upstream, 0) - told, 0)

    def update_means(self, now: float) -> None:
        """Takes counts that others have told into their means."""
        share = 1.0 - math.exp((self._means_at - now) / _MEAN_SECONDS)
        self._means_at = now
        means = self._means
        self._means = {
            name: means.get(name, 0.0)
            + share * (self._busy_of_others(name) - means.get(name, 0.0))
            for name in self.view.busy.keys() | means.keys()
            if name in self.view.upstreams
        }

    def _mean_of_others(self, upstream: str) -> float:
        mean = self._means.get(upstream)
        return self._busy_of_others(upstream) if mean is None else mean

    def _busy_here(self, upstream: str) -> int:
        return sum(self._own.get(upstream, {}).values())

    def load(self, service: str) -> float:
        """Returns requests in progress for each place of a service."""
        upstreams = self.view.ready_upstreams(service)
        slots = sum(upstream.slots for upstream in upstreams)
        busy = sum(self.count_busy(upstream.name) for upstream in upstreams)
        return busy / slots if slots else 0.0

    # -- choice --------------------------------------------------------

    def candidates(self, wanted: Requirements) -> list[Upstream]:
        """Returns the upstreams that could serve a request now."""
        if wanted.artifact:
            return self.view.holders(
                wanted.service, wanted.artifact, wanted.version
            )
        return self.view.ready_upstreams(wanted.service)

    def choose(
        self,
        wanted: Requirements,
        avoid: Collection[str],
        now: float,
        draws: LimitDraws | None = None,
    ) -> Upstream | None:
        """Returns the best upstream, or None if there is none.

        Args:
            wanted: what the request needs.
            avoid: upstreams that it must not go to; those that it has tried.
            now: the clock, in seconds.
            draws: which limited upstreams it may go to.
        """
        candidates = [
            upstream
            for upstream in self.candidates(wanted)
            if upstream.name not in avoid
            and self.unavailable.accepts_requests(upstream.name, now)
        ]
        allowed = self._without_ejected(wanted, candidates, now)
        if draws is not None:
            allowed = draws.filter_allowed(
                allowed, now, prefers_limited=not avoid
            )
        if not wanted.artifact:
            allowed = self._near_with_room(allowed)
        return min(
            allowed,
            key=lambda upstream: self._cost(wanted, upstream, now),
            default=None,
        )

    def _near_with_room(self, candidates: list[Upstream]) -> list[Upstream]:
        """Leaves out other data centres while this one has room."""
        near = [u for u in candidates if u.data_centre == self.data_centre]
        slots = sum(min(upstream.slots, _SLOTS_MOST) for upstream in near)
        if not slots:
            return candidates
        busy = sum(
            self._mean_of_others(u.name) + self._busy_here(u.name) for u in near
        )
        room = (_NEAR_FULL - busy / slots) / (_NEAR_FULL - _NEAR_FREE)
        return near if self._rng.random() < room else candidates

    def _without_ejected(
        self, wanted: Requirements, candidates: list[Upstream], now: float
    ) -> list[Upstream]:
        """Leaves out ejected upstreams, but never over half of a service."""
        everyone = self.view.ready_upstreams(wanted.service)
        ejected = [u for u in everyone if self.outcomes.is_ejected(u.name, now)]
        if not ejected:
            return candidates
        ejected.sort(
            key=lambda u: self.outcomes.failure_rate(u.name, now), reverse=True
        )
        out = {u.name for u in ejected[: len(everyone) // 2]}
        return [u for u in candidates if u.name not in out]

    def _cost(
        self, wanted: Requirements, upstream: Upstream, now: float
    ) -> float:
        """Ranks upstreams; the lowest is the best."""
        if wanted.artifact:
            others = float(self._busy_of_others(upstream.name))
        else:
            others = _SHORT_LIVED * self._mean_of_others(upstream.name)
        fronts = min(self.view.fronts, _JITTER_FRONTS)
        unknown = self._rng.random() * _JITTER_A_FRONT * fronts
        busy = others + self._busy_here(upstream.name) + unknown
        share = busy / min(max(upstream.slots, 1), _SLOTS_MOST)
        cost = share + _CROWDED * max(share - _CROWDED_FROM, 0.0)
        if wanted.artifact and upstream.data_centre != self.data_centre:
            cost += _ELSEWHERE
        failing = self.outcomes.failure_rate(upstream.name, now) - _FAILING_FROM
        cost += _FAILING * max(failing, 0.0)
        return cost

    def list_unusable(self, service: str, now: float) -> list[str]:
        """Returns the upstreams of a service that get no new requests now."""
        return [
            upstream.name
            for upstream in self.view.ready_upstreams(service)
            if self.outcomes.is_ejected(upstream.name, now)
            or not self.unavailable.accepts_requests(upstream.name, now)
        ]

    def accepts_requests(self, upstream: str, now: float) -> bool:
        """Whether an upstream wants requests from here, by its own word."""
        return self.unavailable.accepts_requests(upstream, now)

    def seconds_until_available(self, service: str, now: float) -> float:
        """Returns the seconds until the first upstream that rests is back.

        Returns:
            0 when one of the service takes requests now, or none rests.
        """
        names = [
            upstream.name for upstream in self.view.ready_upstreams(service)
        ]
        return self.unavailable.seconds_until_available(names, now)
