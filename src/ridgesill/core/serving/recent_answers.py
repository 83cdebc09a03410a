"""Requests that were answered recently, which are unlikely to crash upstreams.

A request that many callers send with identical content is in progress at every
upstream that crashes without being the cause. Its recent answers show that.
"""

# How long an answer counts as evidence that a request is harmless. This is
# longer than a crashed upstream takes to return, and short enough that a
# request that crashes a newly deployed version isn't considered harmless.
_RETENTION_SECONDS = 10.0
# How many requests are kept. Fronts that answer fewer than this many distinct
# requests within the retention time keep each of them for all of it.
_MAX_KEYS = 1024


class RecentAnswers:
    """Remembers the requests that received a complete answer recently."""

    def __init__(self) -> None:
        # Ordered by age, the oldest first.
        self._answered_at: dict[int, float] = {}

    def record(self, key: int, now: float) -> None:
        """Records a complete answer to a request.

        Args:
            key: hash of the request's content; a hash that is only valid in
                this process is enough, and cheaper than a portable one.
            now: the current time, in seconds.
        """
        self._answered_at.pop(key, None)
        self._answered_at[key] = now
        if len(self._answered_at) > _MAX_KEYS:
            del self._answered_at[next(iter(self._answered_at))]

    def is_answered(self, key: int, now: float) -> bool:
        """Whether a request was answered within the retention time."""
        answered_at = self._answered_at.get(key)
        return (
            answered_at is not None and now - answered_at <= _RETENTION_SECONDS
        )
