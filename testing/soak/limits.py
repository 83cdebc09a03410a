"""Checks that upstreams get no more requests than their limits allow."""

import bisect
import math
from collections.abc import Callable

import attrs

from testing.soak.upstreams import InstanceRecord

# In any window of 4 s, an upstream may get at most 1.5 times its limit plus 5
# requests from the fronts that it notified at least 0.5 s before.
WINDOW_SECONDS = 4.0
_NOTICE_SECONDS = 0.5
_EXCESS_FACTOR = 1.5
_SLACK_REQUESTS = 5


def allowed(limit: float) -> float:
    """Returns how many requests a limit per second allows in a window."""
    return _EXCESS_FACTOR * limit * WINDOW_SECONDS + _SLACK_REQUESTS


def count_busiest(times: list[float], since: float) -> int:
    """Returns the largest number of arrivals in any window.

    Args:
        times: Times of the arrivals, in seconds.
        since: Arrivals before this time are ignored.
    """
    ordered = sorted(at for at in times if at >= since)
    return max(
        (
            bisect.bisect_right(ordered, at + WINDOW_SECONDS) - first
            for first, at in enumerate(ordered)
        ),
        default=0,
    )


@attrs.frozen
class Excess:
    """A window in which an upstream got more requests than its limit allows.

    Attributes:
        begin: Loop time in seconds at which the window begins.
        count: Number of requests that arrived in it.
        most: Number of requests that were allowed.
    """

    begin: float
    count: int
    most: float


def find_excess(
    record: InstanceRecord, front_of: Callable[[str], str]
) -> Excess | None:
    """Returns the first window with more requests than the limits allow.

    While an upstream changes its limit without withdrawing it, the highest of
    these limits applies to the whole time.

    Args:
        record: What one incarnation of an upstream received and announced.
        front_of: Returns the name of the front that a request went through, by
            the request's id; empty if the request doesn't count.
    """
    end_times = [*(at for at, _ in record.limits[1:]), math.inf]
    spans = zip(record.limits, end_times, strict=False)
    # Limits that directly follow each other are merged into their highest.
    merged: list[tuple[float, float, float]] = []
    for (begin, limit), end in spans:
        if not limit:
            continue
        if merged and merged[-1][1] == begin:
            since, _, most = merged.pop()
            merged.append((since, end, max(most, limit)))
        else:
            merged.append((begin, end, limit))
    for begin, end, limit in merged:
        excess = _find_in_span(record, front_of, begin, end, limit)
        if excess is not None:
            return excess
    return None


def _find_in_span(
    record: InstanceRecord,
    front_of: Callable[[str], str],
    begin: float,
    end: float,
    limit: float,
) -> Excess | None:
    """Returns the first window with too many requests within a time span.

    Only requests through fronts that were notified of the limit long enough
    before count.
    """
    notified_at: dict[str, float] = {}
    for announcement in record.announcements:
        if announcement.limit and begin <= announcement.at <= end:
            notified_at.setdefault(
                front_of(announcement.request), announcement.at
            )
    notified_at.pop("", None)
    times = sorted(
        at
        for request, at in record.arrivals
        if begin <= at <= end
        and at >= notified_at.get(front_of(request), math.inf) + _NOTICE_SECONDS
    )
    for first, at in enumerate(times):
        count = bisect.bisect_right(times, at + WINDOW_SECONDS) - first
        if count > allowed(limit):
            return Excess(at, count, allowed(limit))
    return None
