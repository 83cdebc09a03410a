"""Whether a new request should be refused at once, so that others are in time.

Engines work through what they have in order of arrival. When they get more than
they can begin within the goals, every answer is late, and serving the next one
makes the one after it later. A part refused at once, with when to come back,
keeps the rest in time. How long engines take for the first event is measured
rather than worked out: some lack places in their batch, others the time to
read prompts.
"""

# Weight of the newest first event in the moving mean; a front sees five to
# thirty a second when engines are loaded.
_SMOOTHING = 0.1
# After this many seconds without a first event the mean says nothing more.
_FADE_SECONDS = 1.5
# Requests in progress for each place, over all engines, below which nothing is
# refused: a refusal while places are free helps nobody.
_LOADED = 0.75
# Share of the goal that the mean may take, and from which half is refused: the
# first events of nine in ten are in time while the mean is at six tenths.
_CALM_SHARE = 0.6
_FULL_SHARE = 1.0
_REFUSED_MOST = 0.5


class AdmissionControl:
    """A front's measure of how long engines of a service take to begin."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._noted_at = float("-inf")

    def record_first_event(self, seconds: float, now: float) -> None:
        """Notes how long an engine took for a first event."""
        before = self._mean if now - self._noted_at < _FADE_SECONDS else 0.0
        self._mean = before + _SMOOTHING * (seconds - before)
        self._noted_at = now

    def refused_share(self, load: float, goal: float, now: float) -> float:
        """Returns which share of new requests should be refused.

        Args:
            load: requests in progress for each place, over all engines.
            goal: seconds within which the first event is in time.
            now: the clock, in seconds.
        """
        if load < _LOADED or now - self._noted_at >= _FADE_SECONDS:
            return 0.0
        taken = self._mean / goal if goal > 0 else 0.0
        excess = (taken - _CALM_SHARE) / (_FULL_SHARE - _CALM_SHARE)
        return min(max(excess, 0.0), 1.0) * _REFUSED_MOST
