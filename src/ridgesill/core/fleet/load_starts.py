"""When an adapter that waits for a slot can be expected to be loaded.

Load pattern: a customer requests more rare adapters than can be loaded. With a
constant `Retry-After`, its refused callers return together, before slots are
free or after their time is over.
"""

import math

from ridgesill.core.fleet.load_shares import LEAST_LOAD_SECONDS

# Time constant of the rate of loads, in seconds: slots are held for 1 to 8 s,
# and callers can be told to wait for up to 1.4 s.
_MEAN_SECONDS = 1.0
# Least rate with which the wait is predicted, in loads a second: running
# requests hold slots for 1 to 8 s, and the first of them should end within
# 1.5 s.
_LEAST_RATE = 1 / 1.5
# Least retry time, in seconds: time for a slot to become free at all.
_LEAST_RETRY_SECONDS = 0.1


class LoadStarts:
    """The moving mean of started loads that had to wait, per second."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._recorded_at = 0.0

    def record(self, now: float) -> None:
        """Counts a load that starts now, after a wait."""
        self._rate = self.rate(now) + 1 / _MEAN_SECONDS
        self._recorded_at = now

    def rate(self, now: float) -> float:
        """Returns the loads started per second."""
        return self._rate * math.exp((self._recorded_at - now) / _MEAN_SECONDS)

    def retry_after(self, ahead: int, now: float) -> float:
        """Returns when a slot should be free for one more adapter, in seconds.

        Args:
            ahead: adapters that get a slot before.
            now: the owner's clock, in seconds.
        """
        seconds = (ahead + 1) / max(self.rate(now), _LEAST_RATE)
        return max(seconds, _LEAST_RETRY_SECONDS)


def is_hopeless(
    ahead: int,
    loads_per_second: float,
    patience: float,
    *,
    is_cached: bool,
) -> bool:
    """Returns whether a load certainly ends too late for a request.

    That is if it ends too late although the store loads adapters at its full
    rate from now on.

    Args:
        ahead: adapters that are loaded before.
        loads_per_second: the rate of the store; 0 if unknown.
        patience: seconds that the request can wait for the load.
        is_cached: whether an engine can load the adapter without the store.
    """
    wait = ahead / loads_per_second if loads_per_second > 0 else 0.0
    return wait + (0.0 if is_cached else LEAST_LOAD_SECONDS) > patience
