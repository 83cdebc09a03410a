"""Admission control: refuses part of the new requests during overload.

Engines serve requests in order of arrival. When they receive more than they can
start within the goals, every answer is late, and each further request delays
the ones behind it. Refusing a part at once, with a time to retry, keeps the
others in time. The time to the first event is measured, not calculated: some
engines are short of batch slots, others of time to read prompts.
"""

# Weight of the newest sample in the moving mean of the time to the first event.
# A front sees 5 to 30 samples a second when engines are loaded.
_SMOOTHING = 0.1
# The mean is ignored after this many seconds without a first event.
_EXPIRY_SECONDS = 1.5
# Requests in progress per slot, over all engines, below which nothing is
# refused: refusing while slots are free helps no other request.
_MIN_LOAD = 0.75
# Shares of the goal that the mean may reach before requests are refused, and
# from which the largest part is refused. While the mean is at 0.6 of the goal,
# 9 in 10 first events are in time.
_REFUSE_FROM_SHARE = 0.6
_REFUSE_MOST_FROM_SHARE = 1.0
_MAX_REFUSED_SHARE = 0.5


class AdmissionControl:
    """Tracks how long the engines of a service take to the first event."""

    def __init__(self) -> None:
        self._mean_seconds = 0.0
        self._updated_at = float("-inf")

    def record_first_event(self, seconds: float, now: float) -> None:
        """Records the seconds that an engine took to the first event."""
        previous = (
            self._mean_seconds
            if now - self._updated_at < _EXPIRY_SECONDS
            else 0.0
        )
        self._mean_seconds = previous + _SMOOTHING * (seconds - previous)
        self._updated_at = now

    def refused_share(self, load: float, goal: float, now: float) -> float:
        """Returns the share of new requests to refuse, from 0 to 1.

        Args:
            load: requests in progress per slot, over all engines.
            goal: seconds within which the first event is in time.
            now: the current time, in seconds.
        """
        if load < _MIN_LOAD or now - self._updated_at >= _EXPIRY_SECONDS:
            return 0.0
        goal_share = self._mean_seconds / goal if goal > 0 else 0.0
        excess = (goal_share - _REFUSE_FROM_SHARE) / (
            _REFUSE_MOST_FROM_SHARE - _REFUSE_FROM_SHARE
        )
        return min(max(excess, 0.0), 1.0) * _MAX_REFUSED_SHARE
