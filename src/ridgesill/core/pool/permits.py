"""Shares the weight store's rate among the owners of pools."""

import heapq
import itertools

import attrs

from ridgesill.core.pool.messages import AskPermit, GrantPermit

PERMIT_LIFETIME_SECONDS = 15.0


@attrs.define
class PermitAllocator:
    """A token bucket with a bound on loads at once.

    Attributes:
        rate: loads a second.
        concurrency: loads at once.
        now: when it begins; it begins empty, since its predecessor may have
            spent the store's rate just before.
    """

    rate: float
    concurrency: int
    refilled_at: float
    _tokens: float = 0.0
    _granted_at: dict[str, float] = attrs.Factory(dict)
    _queue: list[tuple[int, int, AskPermit]] = attrs.Factory(list)
    _sequence: itertools.count = attrs.Factory(itertools.count)

    def enqueue(self, ask: AskPermit) -> None:
        """Queues a request for a permit; the most urgent goes first."""
        heapq.heappush(self._queue, (-ask.urgency, next(self._sequence), ask))

    def release(self, permit: str) -> None:
        """Takes a permit back, held or still asked for."""
        if self._granted_at.pop(permit, None) is None:
            self._queue = [a for a in self._queue if a[2].permit != permit]
            heapq.heapify(self._queue)

    def grant(self, now: float) -> list[GrantPermit]:
        """Returns the permits that are free at a time."""
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
        # The bucket holds no more than the loads that may run at once.
        self._tokens = min(self._tokens + gained, float(self.concurrency))
        self.refilled_at = now

    def _expire(self, now: float) -> None:
        # An owner that was lost never gives its permits back.
        expired = [
            permit
            for permit, granted_time in self._granted_at.items()
            if now - granted_time > PERMIT_LIFETIME_SECONDS
        ]
        for permit in expired:
            del self._granted_at[permit]
