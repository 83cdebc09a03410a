"""Retry budget: a front's share of the retries allowed over all fronts."""

import collections

import attrs

# Share of the budget that fronts use. The margin is needed because a front only
# counts the requests that arrive at it, while the bound holds for every window.
_USED_SHARE = 0.6
_BUCKET_SECONDS = 0.5


@attrs.frozen
class RetryBounds:
    """Bounds on the retries that a service may get in a sliding window.

    Attributes:
        share: retries as a share of the requests in the window.
        slack: further retries in the window, over all fronts.
        window: length of the window, in seconds.
    """

    share: float = 0.2
    slack: float = 50.0
    window: float = 10.0


@attrs.define
class _Bucket:
    started_at: float
    requests: int = 0
    retries: int = 0


class ServiceRetries:
    """Counts the requests and retries of a service in a sliding window."""

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def record_request(self, now: float) -> None:
        """Counts a client request, without its retries."""
        self._current_bucket(now).requests += 1

    def acquire(self, now: float, fronts: int) -> bool:
        """Takes a retry from the budget; returns False if none is left."""
        if self.remaining(now, fronts) < 1.0:
            return False
        self._current_bucket(now).retries += 1
        return True

    def remaining(self, now: float, fronts: int) -> float:
        """Returns the number of retries that this front may still make."""
        self._prune(now)
        requests = sum(bucket.requests for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        bounds = self._bounds
        allowed = bounds.share * requests + bounds.slack / max(fronts, 1)
        return allowed * _USED_SHARE - retries

    def _current_bucket(self, now: float) -> _Bucket:
        self._prune(now)
        if (
            not self._buckets
            or now - self._buckets[-1].started_at >= _BUCKET_SECONDS
        ):
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]

    def _prune(self, now: float) -> None:
        oldest = now - self._bounds.window - _BUCKET_SECONDS
        while self._buckets and self._buckets[0].started_at < oldest:
            self._buckets.popleft()
