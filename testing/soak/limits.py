"""Checks that upstreams get no more than the limits that they name."""

import bisect
import math
from collections.abc import Callable

import attrs

from testing.soak.upstreams import InstanceRecord

# The platform's rule: requests over any four seconds, from the fronts that were
# told half a second before or earlier, in seconds and as a factor and a slack.
WINDOW_SECONDS = 4.0
_NOTICE_SECONDS = 0.5
_EXCESS_FACTOR = 1.5
_SLACK_REQUESTS = 5


def allowed(limit: float) -> float:
    """Returns the requests that a limit allows in a window."""
    return _EXCESS_FACTOR * limit * WINDOW_SECONDS + _SLACK_REQUESTS


def count_busiest(times: list[float], since: float) -> int:
    """Returns the most arrivals in a window that begins at or after a time."""
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
    """A window in which an upstream got more than it named.

    Attributes:
        begin: of the window.
        count: of the requests that came.
        most: that were allowed.
    """

    begin: float
    count: int
    most: float


def find_excess(
    record: InstanceRecord, front_of: Callable[[str], str]
) -> Excess | None:
    """Returns the first window with more than the limits in force allow.

    Args:
        record: what one start of an upstream got and said.
        front_of: returns the front that a request went through; empty for one
            that doesn't count.
    """
    ends = [*(at for at, _ in record.limits[1:]), math.inf]
    spans = zip(record.limits, ends, strict=False)
    # Limits that follow each other without a break are in force as one.
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
