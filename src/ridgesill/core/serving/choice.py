"""Load balancing: chooses the upstream for a request."""

import math
import random
from collections.abc import Collection

import attrs

from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.brittle import BrittleUpstreams
from ridgesill.core.serving.front_limits import LimitDraws
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.core.serving.probes import Probes
from ridgesill.core.serving.reachability import Reachability
from ridgesill.core.serving.silence import ALL_SERVICES, Silence
from ridgesill.core.serving.unavailable import Unavailable

# Slots of an upstream that count at most. An engine with 64 slots reads one
# prompt at a time, so about ten requests in progress already delay each other.
_MAX_COUNTED_SLOTS = 16
# Cost of sending a request to another data centre, as a share of an upstream's
# slots. The traffic costs about 0.04 of a request's value, while an upstream
# that is half full answers hardly later than an idle one.
_OTHER_DATA_CENTRE_COST = 0.35
# Share of slots in use above which requests are likely to queue, and how many
# times the excess is added to the cost.
_CROWDED_FROM_SHARE = 0.6
_CROWDED_COST = 2.0
# Requests to a plain service last about 50 ms, while the counts of other fronts
# are 0.1 to 0.3 s old. So the mean of those counts over this time is used, with
# this weight. With the latest counts, many fronts would fill one upstream after
# another.
_MEAN_SECONDS = 0.5
_MEAN_WEIGHT = 0.3
# The same for services whose load the owner controls. Near their capacity a
# small difference between old counts moves all fronts to the same upstream:
# with 74 fronts and 254 calls a second for upstreams that serve 262, 0.85 of
# what fits was in time with 0.3, and all of it with 0.1.
_CONTROLLED_MEAN_WEIGHT = 0.1
# Age of the counts of other fronts from which they aren't used for services
# whose load the owner controls, in seconds. All fronts would prefer the same
# upstream for as long as there is no owner, and leave slots of others free.
_MAX_COUNTS_AGE = 1.0
# Mean shares of slots in use at the local plain upstreams: below the first they
# get all requests, from the second on upstreams of all data centres are treated
# alike. In between, a growing part of the requests considers all of them: if
# many fronts with the same view switched at once, they would fill one upstream
# after another.
_LOCAL_ONLY_BELOW_SHARE = 0.2
_LOCAL_FULL_SHARE = 0.6
# Cost of a failure rate of 1, as a share of slots, and the rate up to which
# failures cost nothing: healthy upstreams also have single failures among many
# successes.
_FAILURE_COST = 3.0
_FAILURE_COST_FROM_RATE = 0.25
# Random jitter on the load of an upstream, in requests per front, and the
# number of fronts up to which it grows. What other fronts have sent since the
# last update isn't known, and without jitter all fronts with the same view
# would choose the same upstream.
_JITTER_PER_FRONT = 0.5
_MAX_JITTER_FRONTS = 8


@attrs.frozen
class Requirements:
    """What a request requires of an upstream.

    Attributes:
        service: the service that the upstream must belong to.
        artifact: the artifact that it must hold; empty for a plain service.
        version: the lowest acceptable version of the artifact; 0 for any.
        software: version of the software that it must run; None for any.
    """

    service: str
    artifact: str = ""
    version: int = 0
    software: str | None = None

    def filter(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Returns the upstreams that run the required software."""
        if self.software is None:
            return upstreams
        return [u for u in upstreams if u.software == self.software]


class Chooser:
    """Chooses among the upstreams that this front knows.

    Args:
        data_centre: the data centre of the front.
        view: the upstreams, and the requests in progress that others report.
        outcomes: the health of upstreams, from the requests sent to them.
        rng: source of random numbers; a new one if omitted.
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
        self.reachability = Reachability()
        self.brittle = BrittleUpstreams(rng or random.Random())
        self.silence = Silence(outcomes)
        self._probes = Probes()
        self.data_centre = data_centre
        self._rng = rng or random.Random()
        self._in_progress: dict[str, dict[str, int]] = {}
        self._reported: dict[str, int] = {}
        self._means: dict[str, float] = {}
        self._means_updated_at = float("-inf")

    # -- requests in progress ------------------------------------------

    def record_start(self, upstream: str, artifact: str) -> None:
        """Counts a request as in progress at an upstream."""
        by_artifact = self._in_progress.setdefault(upstream, {})
        by_artifact[artifact] = by_artifact.get(artifact, 0) + 1

    def record_end(self, upstream: str, artifact: str) -> None:
        """Counts a request at an upstream as ended."""
        by_artifact = self._in_progress.get(upstream, {})
        left = by_artifact.get(artifact, 0) - 1
        if left > 0:
            by_artifact[artifact] = left
            return
        by_artifact.pop(artifact, None)
        if not by_artifact:
            self._in_progress.pop(upstream, None)

    def report_busy(self) -> dict[str, dict[str, int]]:
        """Returns this front's requests in progress, to report to the owner.

        Returns:
            The number of requests by upstream and artifact.
        """
        self._reported = {
            name: sum(u.values()) for name, u in self._in_progress.items()
        }
        return {
            name: dict(by_artifact)
            for name, by_artifact in self._in_progress.items()
        }

    def count_busy(self, upstream: str) -> int:
        """Returns the known requests in progress at an upstream."""
        return self._count_busy_of_others(upstream) + self.count_own_requests(
            upstream
        )

    def _count_busy_of_others(self, upstream: str) -> int:
        reported = self._reported.get(upstream, 0)
        return max(self.view.busy.get(upstream, 0) - reported, 0)

    def update_means(self, now: float) -> None:
        """Updates the mean load from other fronts with the latest counts."""
        share = 1.0 - math.exp((self._means_updated_at - now) / _MEAN_SECONDS)
        self._means_updated_at = now
        means = self._means
        self._means = {
            name: means.get(name, 0.0)
            + share * (self._count_busy_of_others(name) - means.get(name, 0.0))
            for name in self.view.busy.keys() | means.keys()
            if name in self.view.upstreams
        }

    def _mean_busy_of_others(self, upstream: str) -> float:
        mean = self._means.get(upstream)
        return self._count_busy_of_others(upstream) if mean is None else mean

    def count_own_requests(self, upstream: str) -> int:
        """Returns this front's requests in progress at an upstream."""
        return sum(self._in_progress.get(upstream, {}).values())

    def load(self, service: str) -> float:
        """Returns the requests in progress per slot of a service."""
        upstreams = self.view.ready_upstreams(service)
        slots = sum(upstream.slots for upstream in upstreams)
        busy = sum(self.count_busy(upstream.name) for upstream in upstreams)
        return busy / slots if slots else 0.0

    # -- choice --------------------------------------------------------

    def candidates(self, requirements: Requirements) -> list[Upstream]:
        """Returns the upstreams that meet the requirements of a request."""
        if not requirements.artifact:
            return self.ready_upstreams(requirements)
        holders = self.view.holders(
            requirements.service,
            requirements.artifact,
            requirements.version,
        )
        return requirements.filter(holders)

    def ready_upstreams(self, requirements: Requirements) -> list[Upstream]:
        """Returns those that could serve a request, whatever they hold."""
        return requirements.filter(
            self.view.ready_upstreams(requirements.service)
        )

    def choose(
        self,
        requirements: Requirements,
        avoid: Collection[str],
        now: float,
        draws: LimitDraws | None = None,
        *,
        is_repeatable: bool = False,
    ) -> Upstream | None:
        """Returns the upstream with the lowest cost, or None if there is none.

        Load pattern: 59 fronts and a plain service of four upstreams, one of
        which resets all requests for 7 s. Each front noticed that by itself and
        tried the upstream again each 1.5 s, which lost 40 to 134 requests a
        second. So fronts send no requests but a few probes to upstreams that
        the owner has ejected.

        Args:
            requirements: what the request requires.
            avoid: upstreams to exclude, such as those already tried.
            now: the current time, in seconds.
            draws: decides which rate-limited upstreams it may go to.
            is_repeatable: whether the request may run twice; only then may it
                be a probe.
        """
        if is_repeatable and not avoid and not requirements.artifact:
            self._probes.record_request(requirements.service, now)
        known = self.candidates(requirements)
        candidates = [
            upstream
            for upstream in known
            if upstream.name not in avoid
            and self.unavailable.accepts_requests(upstream.name, now)
            and not self.reachability.is_unreachable(upstream.name)
        ]
        service_upstreams = (
            self.ready_upstreams(requirements)
            if requirements.artifact
            else known
        )
        allowed = self._exclude_ejected(service_upstreams, candidates, now)
        if any(upstream.is_ejected for upstream in candidates):
            if is_repeatable and not avoid and not requirements.artifact:
                probed = self._choose_probed(requirements, candidates)
                if probed and (
                    draws is None or draws.is_allowed(probed.name, now)
                ):
                    return probed
            allowed = self._exclude_ejected_by_owner(known, allowed, now)
        if draws is not None:
            allowed = draws.filter_allowed(
                allowed, now, prefers_limited=not avoid
            )
        if not requirements.artifact:
            allowed = self._prefer_local(allowed)
        return min(
            allowed,
            key=lambda upstream: self._cost(requirements, upstream, now),
            default=None,
        )

    def _prefer_local(self, candidates: list[Upstream]) -> list[Upstream]:
        """Excludes other data centres while the local one has free slots."""
        local = [u for u in candidates if u.data_centre == self.data_centre]
        slots = sum(
            min(upstream.slots, _MAX_COUNTED_SLOTS) for upstream in local
        )
        if not slots:
            return candidates
        busy = sum(
            self._mean_busy_of_others(u.name) + self.count_own_requests(u.name)
            for u in local
        )
        local_share = (_LOCAL_FULL_SHARE - busy / slots) / (
            _LOCAL_FULL_SHARE - _LOCAL_ONLY_BELOW_SHARE
        )
        return local if self._rng.random() < local_share else candidates

    def _exclude_ejected(
        self,
        service_upstreams: list[Upstream],
        candidates: list[Upstream],
        now: float,
    ) -> list[Upstream]:
        """Excludes ejected upstreams, but at most half of a service."""
        ejected = [
            u
            for u in service_upstreams
            if self.outcomes.is_ejected(u.name, now)
        ]
        if not ejected:
            return candidates
        ejected.sort(
            key=lambda u: self.outcomes.failure_rate(u.name, now), reverse=True
        )
        excluded = {u.name for u in ejected[: len(service_upstreams) // 2]}
        return [u for u in candidates if u.name not in excluded]

    def _choose_probed(
        self, requirements: Requirements, candidates: list[Upstream]
    ) -> Upstream | None:
        """Returns the ejected upstream that a request probes; None for none.

        The front's own ejections don't prevent probes: an upstream that the
        owner has ejected mostly is ejected here as well.
        """
        ejected = [upstream for upstream in candidates if upstream.is_ejected]
        index = self._probes.draw(
            requirements.service,
            len(ejected),
            self.view.fronts,
            self._rng.random(),
        )
        return None if index is None else ejected[index]

    def _exclude_ejected_by_owner(
        self, known: list[Upstream], candidates: list[Upstream], now: float
    ) -> list[Upstream]:
        """Excludes upstreams that the owner has ejected for all fronts.

        They are used only if no other upstream is usable. One that the request
        was sent to before, and that was full, still is: its rejection is
        better than a request that is lost at an ejected upstream.
        """
        is_other_usable = any(
            not upstream.is_ejected
            and self.unavailable.accepts_requests(upstream.name, now)
            and not self.outcomes.is_ejected(upstream.name, now)
            for upstream in known
        )
        if not is_other_usable:
            return candidates
        return [u for u in candidates if not u.is_ejected]

    def _cost(
        self, requirements: Requirements, upstream: Upstream, now: float
    ) -> float:
        """Returns the cost of an upstream for a request; the lowest is best."""
        if requirements.artifact:
            others = float(self._count_busy_of_others(upstream.name))
        else:
            is_controlled = upstream.service in self.view.services
            weight = _CONTROLLED_MEAN_WEIGHT if is_controlled else _MEAN_WEIGHT
            others = weight * self._mean_busy_of_others(upstream.name)
            if is_controlled and now - self.view.updated_at >= _MAX_COUNTS_AGE:
                others = 0.0
        fronts = min(self.view.fronts, _MAX_JITTER_FRONTS)
        unknown = self._rng.random() * _JITTER_PER_FRONT * fronts
        busy = others + self.count_own_requests(upstream.name) + unknown
        slots = min(max(upstream.slots, 1), _MAX_COUNTED_SLOTS)
        # Requests in progress at a slow upstream take longer to end.
        share = busy / slots * upstream.pace
        cost = share + _CROWDED_COST * max(share - _CROWDED_FROM_SHARE, 0.0)
        if requirements.artifact and upstream.data_centre != self.data_centre:
            cost += _OTHER_DATA_CENTRE_COST
        failure_rate_excess = (
            self.outcomes.failure_rate(upstream.name, now)
            - _FAILURE_COST_FROM_RATE
        )
        cost += _FAILURE_COST * max(failure_rate_excess, 0.0)
        return cost

    def list_unusable(self, service: str, now: float) -> list[str]:
        """Returns the upstreams of a service that get no new requests."""
        return [
            upstream.name
            for upstream in self.view.ready_upstreams(service)
            if self.outcomes.is_ejected(upstream.name, now)
            or not self.unavailable.accepts_requests(upstream.name, now)
            or self.reachability.is_unreachable(upstream.name)
        ]

    def is_cut_off(self, requirements: Requirements) -> bool:
        """Whether upstreams could serve a request and none can be reached."""
        reachability = self.reachability
        return (
            reachability.has_unreachable
            and reachability.are_all_unreachable(
                upstream.name for upstream in self.ready_upstreams(requirements)
            )
        )

    def find_silence(
        self, requirements: Requirements, now: float
    ) -> str | None:
        """Returns whose upstreams can be reached and answer nothing from here.

        Returns:
            The service, `ALL_SERVICES`, or None if there are answers.
        """
        ready = self.ready_upstreams(requirements)
        scopes = {
            requirements.service: [upstream.name for upstream in ready],
            ALL_SERVICES: list(self.view.upstreams),
        }
        for scope, names in scopes.items():
            reachable = [
                name
                for name in names
                if not self.reachability.is_unreachable(name)
            ]
            if self.silence.is_silent(scope, reachable, now):
                return scope
        return None

    def is_cut_off_entirely(self) -> bool:
        """Whether no upstream of any service can be reached from here."""
        return self.reachability.are_all_unreachable(self.view.upstreams)

    def accepts_requests(self, upstream: str, now: float) -> bool:
        """Whether an upstream accepts requests from here, by its answers."""
        return self.unavailable.accepts_requests(upstream, now)

    def seconds_until_available(
        self, requirements: Requirements, now: float
    ) -> float:
        """Returns the seconds until an upstream accepts requests again.

        Returns:
            Seconds; 0 if one accepts requests now, or none has asked for a
            pause.
        """
        names = [
            upstream.name for upstream in self.ready_upstreams(requirements)
        ]
        return self.unavailable.seconds_until_available(names, now)
