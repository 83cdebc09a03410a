"""How often base models may be loaded from the weight store."""

import collections

# Over which the store's rate is judged, in seconds (the platform's bounds).
_WINDOW_SECONDS = 5.0
# Share of the rate that is used: an earlier owner's loads in the same window
# aren't known, and neither is what engines bring from their own disks.
_SHARE_USED = 0.5


class ModelLoadRate:
    """Counts loads of base models over a sliding window."""

    def __init__(self) -> None:
        self._taken: collections.deque[float] = collections.deque()

    def acquire(self, loads_per_second: float, now: float) -> bool:
        """Counts a load; False when it has to wait."""
        while self._taken and now - self._taken[0] >= _WINDOW_SECONDS:
            self._taken.popleft()
        most = loads_per_second * _WINDOW_SECONDS * _SHARE_USED
        if len(self._taken) >= max(most, 1.0):
            return False
        self._taken.append(now)
        return True
