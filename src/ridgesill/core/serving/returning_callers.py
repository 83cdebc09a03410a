"""Recognizes callers that were refused before and return.

A retry has a request id of its own, but less time left than the first attempt.
Load pattern: callers of a route that wait 4.2 s, of which those that are
refused return once, 0.25 to 1.4 s later, at another of 6 to 330 fronts. Some
retry at once instead: their time has hardly changed, so that they aren't taken
for callers that return when they were told to.
"""

import attrs

# A caller that returns has at least this much less time than a new one, in
# seconds: the shortest retry delay that fronts tell.
_SHORTER_BY_SECONDS = 0.25
# Callers for whom there is no room are told to return after a third of their
# time, as late as clients wait. A caller from whose time more than this share
# is missing is one of them, or has waited longer than it was told to.
_MAX_MISSING_SHARE = 0.32
# How long the longest time of a route is kept at least, in seconds; at most
# twice as long. A continuous decay would be an error of the comparison: of 330
# fronts, some have no new caller of a route for 15 s.
_KEPT_SECONDS = 30.0


@attrs.define
class _LongestTime:
    """Longest time that callers of a route have stated, in seconds.

    Attributes:
        current: since `begun_at`.
        previous: in the period before.
        begun_at: when the current period began.
    """

    current: float
    previous: float
    begun_at: float

    def advance(self, now: float) -> None:
        """Begins a new period if the current one is over."""
        passed = now - self.begun_at
        if passed < _KEPT_SECONDS:
            return
        self.previous = self.current if passed < 2 * _KEPT_SECONDS else 0.0
        self.current = 0.0
        self.begun_at = now


class ReturningCallers:
    """The longest remaining times that callers have stated, by route."""

    def __init__(self) -> None:
        self._longest: dict[str, _LongestTime] = {}

    def record(self, route: str, seconds_left: float, now: float) -> bool:
        """Records a caller's time; returns whether it returns when told to.

        Args:
            route: name of the route.
            seconds_left: time that the caller states; 0 if it states none.
            now: the current time, in seconds.
        """
        if seconds_left <= 0:
            return False
        longest = self._longest.get(route)
        if longest is None:
            longest = self._longest[route] = _LongestTime(0.0, 0.0, now)
        longest.advance(now)
        longest.current = max(longest.current, seconds_left)
        most = max(longest.current, longest.previous)
        # Callers state whole milliseconds.
        missing = round(most - seconds_left, 3)
        return _SHORTER_BY_SECONDS <= missing <= _MAX_MISSING_SHARE * most
