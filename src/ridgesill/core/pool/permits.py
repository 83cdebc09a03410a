"""Limits the loads from the weight store over all pools by permits."""

import heapq
import itertools

import attrs

from ridgesill.core.pool.messages import AskPermit, GrantPermit

# A permit that isn't returned expires after this time.
PERMIT_LIFETIME_SECONDS = 15.0


@attrs.define
class PermitAllocator:
    """Token bucket that also limits the number of concurrent loads.

    Attributes:
        rate: loads per second.
        concurrency: highest number of loads at once, and of stored tokens.
        refilled_at: when the bucket was last refilled, in seconds. It starts
            empty, since the previous allocator may have used up the rate.
    """

    rate: float
    concurrency: int
    refilled_at: float
    _tokens: float = 0.0
    _granted_at: dict[str, float] = attrs.Factory(dict)
    _queue: list[tuple[int, int, AskPermit]] = attrs.Factory(list)
    _sequence: itertools.count = attrs.Factory(itertools.count)

    def enqueue(self, ask: AskPermit) -> None:
        """Queues a request for a permit; the most urgent one goes first."""
        heapq.heappush(self._queue, (-ask.urgency, next(self._sequence), ask))

    def release(self, permit: str) -> None:
        """Releases a granted permit, or removes its request from the queue."""
        if self._granted_at.pop(permit, None) is None:
            self._queue = [a for a in self._queue if a[2].permit != permit]
            heapq.heapify(self._queue)

    def grant(self, now: float) -> list[GrantPermit]:
        """Returns the permits that can be granted at a time, in seconds."""
        self._refill(now)
        self._expire(now)
        grants = []
        while self._queue and self._can_grant():
            ask = heapq.heappop(self._queue)[2]
            self._tokens -= 1.0
            self._granted_at[ask.permit] = now
            grants.append(GrantPermit(ask.permit, ask.pool))
        return grants

    def _can_grant(self) -> bool:
        return self._tokens >= 1.0 and len(self._granted_at) < self.concurrency

    def _refill(self, now: float) -> None:
        gained = (now - self.refilled_at) * self.rate
        # The bucket holds at most one token per concurrent load.
        self._tokens = min(self._tokens + gained, float(self.concurrency))
        self.refilled_at = now

    def _expire(self, now: float) -> None:
        # An owner that crashed never returns its permits.
        expired = [
            permit
            for permit, granted_time in self._granted_at.items()
            if now - granted_time > PERMIT_LIFETIME_SECONDS
        ]
        for permit in expired:
            del self._granted_at[permit]
