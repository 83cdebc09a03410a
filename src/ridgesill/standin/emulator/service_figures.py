"""Figures of an emulated service: shares of its calls in a period."""

import math
from collections.abc import Callable, Sequence

import attrs

from ridgesill.standin.emulator.service_plan import Call, ServicePlan

# Length of the slices in which offered calls are compared with the capacity, in
# seconds.
_SLICE_SECONDS = 0.5
# A refusal is told quickly within this share of the goal.
_QUICK_SHARE = 1 / 8


@attrs.frozen
class ServiceFigures:
    """What became of the calls that were first sent in a period.

    Attributes:
        calls: number of calls.
        in_time: share answered at once and within their goal.
        late: share answered at once, but later.
        refused: share refused at least once.
        refused_twice: share refused twice.
        failed: share neither answered nor refused twice.
        worth: mean worth of a call.
        fitting: attempts answered within the goal after they were sent, as a
            multiple of the calls that upstreams could serve. Returning callers
            count, since the capacity that they use isn't left for others.
        told_quickly: share of the refused that were told within an eighth of
            the goal.
        returns: number of callers that returned when they were told to and to
            whom a time with room had been told.
        returns_served: share of these that were answered.
        all_returns_served: share answered of all who returned as told.
    """

    calls: int
    in_time: float
    late: float
    refused: float
    refused_twice: float
    failed: float
    worth: float
    fitting: float
    told_quickly: float
    returns: int
    returns_served: float
    all_returns_served: float


def compute_figures(
    calls: Sequence[Call],
    plan: ServicePlan,
    since: float = 0.0,
    until: float = float("inf"),
    customers: Sequence[int] | None = None,
) -> ServiceFigures:
    """Returns the figures of the calls first sent in a period.

    Args:
        calls: all calls.
        plan: what was emulated.
        since: start of the period, in seconds.
        until: end of the period, in seconds.
        customers: numbers of the customers whose calls count; None for all.
    """
    counted = [
        c
        for c in calls
        if since <= c.at < until
        and (customers is None or c.customer in customers)
    ]
    answered = [c for c in counted if c.answered_at is not None]
    refused = [c for c in counted if c.refusals]
    at_once = [c for c in answered if not c.has_returned]
    returning = [c for c in refused if not c.ignores_delay]
    with_room = [c for c in returning if c.had_room]
    fitting = sum(c.is_in_time for c in answered)
    return ServiceFigures(
        len(counted),
        _share(at_once, counted, lambda c: c.is_in_time),
        _share(at_once, counted, lambda c: not c.is_in_time),
        _share(refused, counted),
        _share(refused, counted, lambda c: c.refusals > 1),
        _share(counted, counted, lambda c: c.refusals < 2 and not c.worth),
        sum(c.worth for c in counted) / max(len(counted), 1),
        fitting / max(_count_fitting(counted, plan), 1.0),
        _share(refused, refused, _is_told_quickly),
        len(with_room),
        _share(with_room, with_room, lambda c: c.answered_at is not None),
        _share(returning, returning, lambda c: c.answered_at is not None),
    )


def _share(
    some: Sequence[Call],
    of: Sequence[Call],
    condition: Callable[[Call], bool] = lambda call: True,
) -> float:
    return sum(condition(call) for call in some) / len(of) if of else 1.0


def _is_told_quickly(call: Call) -> bool:
    return call.refusal_seconds <= call.route.goal * _QUICK_SHARE


def _count_fitting(calls: Sequence[Call], plan: ServicePlan) -> float:
    """Returns how many calls upstreams could have served as they came."""
    counts: dict[int, int] = {}
    for call in calls:
        number = math.floor(call.at / _SLICE_SECONDS)
        counts[number] = counts.get(number, 0) + 1
    return sum(
        min(
            count,
            _SLICE_SECONDS
            * plan.find_capacity((number + 0.5) * _SLICE_SECONDS),
        )
        for number, count in counts.items()
    )
