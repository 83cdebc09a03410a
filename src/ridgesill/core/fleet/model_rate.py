"""Limits how often base models are loaded from the weight store."""

import collections

# Window over which the store's rate limit applies, in seconds.
_WINDOW_SECONDS = 5.0
# Share of the limit that one owner uses. It does not know the loads that an
# earlier owner ordered in the same window, nor those that engines make from
# their own disks.
_USABLE_SHARE = 0.5


class ModelLoadRate:
    """Limits loads of base models over a sliding window."""

    def __init__(self) -> None:
        self._loaded_at: collections.deque[float] = collections.deque()

    def acquire(self, loads_per_second: float, now: float) -> bool:
        """Counts a load, and returns False if it has to wait.

        Args:
            loads_per_second: the rate limit of the store.
            now: the owner's clock, in seconds.
        """
        while self._loaded_at and now - self._loaded_at[0] >= _WINDOW_SECONDS:
            self._loaded_at.popleft()
        limit = loads_per_second * _WINDOW_SECONDS * _USABLE_SHARE
        if len(self._loaded_at) >= max(limit, 1.0):
            return False
        self._loaded_at.append(now)
        return True
