"""Compares ways to control the overload of a plain service that fronts share.

`make bench-overload`. One of four upstreams is lost, and for 5 s 2.5 times the
usual load comes: 507 calls a second, of which 262 can be served. Prints for
each fleet size and way, of the calls first sent in that time: the shares
answered at once in time and late, refused, and refused twice; the mean worth of
a call (in time 1, late 0.3, answered after a return 0.65); the processor time
of a decision at a front, in microseconds, and the share of a core that the
owner's updates and its counting of reports take.
"""

import math
import random

from ridgesill.core.fleet.overload import OverloadControl
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.load_reports import RequestClass, UpstreamCalls
from ridgesill.core.serving.service_admission import ServiceAdmission
from ridgesill.standin.emulator.plain_upstreams import UpstreamFault
from ridgesill.standin.emulator.service_figures import compute_figures
from ridgesill.standin.emulator.service_load import SERVICE, ServiceEmulation
from ridgesill.standin.emulator.service_plan import Burst, ServicePlan

_FLEET_SIZES = (6, 74, 85, 195, 330)
_SEEDS = (1, 2)
_BURST = Burst(4.0, 5.0, 2.5)
_RETRY_SECONDS = 0.5
# Parameters of the concurrency limit: bounds for its change by one answer, the
# weight of a change, the tolerated multiple of the floor, and the time in which
# the floor is forgotten, in answers.
_LOWEST_GRADIENT = 0.5
_SMOOTHING = 0.2
_TOLERATED = 1.5
_FLOOR_RISE = 1.002


class NoControl:
    """Admits everything; clients are told a constant delay."""

    def __init__(self, _rng: random.Random) -> None:
        self._calls: dict[str, UpstreamCalls] = {}

    def apply_news(self, view: FleetView) -> None:
        """Ignores the owner's news."""

    def has_time(self, service: str, seconds_left: float, now: float) -> bool:
        """Returns whether there is time for an answer: always."""
        return True

    def admit(self, request_class: RequestClass, now: float) -> bool:
        """Returns whether to admit a request: always."""
        return True

    def retry_after(
        self, request_class: RequestClass, seconds_left: float, now: float
    ) -> float:
        """Returns a constant delay, in seconds."""
        return _RETRY_SECONDS

    def record_answer(
        self, service: str, upstream: str, seconds: float, now: float
    ) -> None:
        """Ignores an answer."""

    def record_calls(self, upstream: str, calls: UpstreamCalls) -> None:
        """Ignores rejections and failures."""

    def record_end(self, request_class: RequestClass) -> None:
        """Ignores the end of a request."""

    def collect(self) -> Sent:
        """Returns nothing to report."""
        return Sent()


class GradientLimit(NoControl):
    """Limits the requests in progress of a front by their measured time.

    The limit shrinks while answers take longer than their floor, and grows by
    its square root otherwise.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._limit = 10.0
        self._floor = float("inf")
        self._in_progress = 0
        self._is_refusing = False

    def admit(self, request_class: RequestClass, now: float) -> bool:
        """Returns whether the limit has room for a request."""
        is_admitted = self._in_progress < max(self._limit, 1.0)
        self._in_progress += is_admitted
        self._is_refusing = not is_admitted
        return is_admitted

    def retry_after(
        self, request_class: RequestClass, seconds_left: float, now: float
    ) -> float:
        """Returns a constant delay; ends a request that upstreams rejected."""
        if not self._is_refusing:
            self._in_progress -= 1
            self._limit = max(self._limit * _LOWEST_GRADIENT, 1.0)
        self._is_refusing = False
        return _RETRY_SECONDS

    def record_answer(
        self, service: str, upstream: str, seconds: float, now: float
    ) -> None:
        """Adapts the limit to the time of an answer."""
        self._in_progress -= 1
        self._floor = min(self._floor * _FLOOR_RISE, seconds)
        gradient = _TOLERATED * self._floor / seconds
        gradient = min(max(gradient, _LOWEST_GRADIENT), 1.0)
        target = self._limit * gradient + math.sqrt(self._limit)
        change = _SMOOTHING * (target - self._limit)
        self._limit = min(max(self._limit + change, 1.0), 100.0)


def _make_owner(now: float) -> OverloadControl:
    made = OverloadControl(now)
    made.set_services({SERVICE: ServicePlan().shortest_goal}, {})
    return made


_WAYS = {
    "no control": (NoControl, None),
    "gradient": (GradientLimit, None),
    "Little's law": (ServiceAdmission, _make_owner),
}


def _print_row(fronts: int, way: str) -> None:
    make_control, make_owner = _WAYS[way]
    plan = ServicePlan(
        fronts, faults=(UpstreamFault(3, -1.0),), bursts=(_BURST,)
    )
    emulations = [
        ServiceEmulation(plan, make_control, make_owner, seed).run()
        for seed in _SEEDS
    ]
    until = _BURST.at + _BURST.seconds
    plays = [
        compute_figures(e.calls, plan, _BURST.at, until) for e in emulations
    ]
    shares = [
        sum(getattr(figures, name) for figures in plays) / len(plays)
        for name in ("in_time", "late", "refused", "refused_twice", "worth")
    ]
    decision = sum(e.admission_seconds for e in emulations)
    decision /= sum(e.admissions for e in emulations)
    owner = sum(e.owner_seconds / plan.seconds for e in emulations)
    columns = " ".join(f"{share:>8.3f}" for share in shares)
    print(
        f"{fronts:>6} {way:<14} {columns} {decision * 1e6:>8.1f} "
        f"{owner / len(emulations):>8.4f}",
        flush=True,
    )


def main() -> None:
    """Prints a row for each fleet size and way."""
    print(
        f"{'fronts':>6} {'way':<14} {'in time':>8} {'late':>8} {'refused':>8} "
        f"{'twice':>8} {'worth':>8} {'us':>8} {'owner':>8}"
    )
    for fronts in _FLEET_SIZES:
        for way in _WAYS:
            _print_row(fronts, way)


if __name__ == "__main__":
    main()
