"""A front's share of the retries that all fronts may make together."""

import collections

import attrs

# Of the whole bound, how much the fronts use: their counts are of requests
# that arrived here, the bound is judged over windows that slide.
_SHARE_USED = 0.6
_BUCKET_SECONDS = 0.5


@attrs.frozen
class RetryBounds:
    """How many sends beyond the first of each request a service may get.

    Attributes:
        share: of the requests in a window.
        slack: more, over all fronts, in a window.
        window: seconds.
    """

    share: float = 0.2
    slack: float = 50.0
    window: float = 10.0


@attrs.define
class _Bucket:
    at: float
    requests: int = 0
    retries: int = 0


class ServiceRetries:
    """Counts a service's requests and retries over a sliding window."""

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def record_request(self, now: float) -> None:
        """Counts a request of a client."""
        self._bucket(now).requests += 1

    def acquire(self, now: float, fronts: int) -> bool:
        """Spends a retry; False when this front's share is spent."""
        if self.remaining(now, fronts) < 1.0:
            return False
        self._bucket(now).retries += 1
        return True

    def remaining(self, now: float, fronts: int) -> float:
        """Returns how many retries this front may still make now."""
        self._forget(now)
        requests = sum(bucket.requests for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        bounds = self._bounds
        allowed = bounds.share * requests + bounds.slack / max(fronts, 1)
        return allowed * _SHARE_USED - retries

    def _bucket(self, now: float) -> _Bucket:
        self._forget(now)
        if not self._buckets or now - self._buckets[-1].at >= _BUCKET_SECONDS:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]

    def _forget(self, now: float) -> None:
        oldest = now - self._bounds.window - _BUCKET_SECONDS
        while self._buckets and self._buckets[0].at < oldest:
            self._buckets.popleft()
