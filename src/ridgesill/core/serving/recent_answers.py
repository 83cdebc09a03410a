"""Requests that were answered a moment ago.

One that many send, word for word, is aboard of every upstream that ends, and
causes none of it: it is answered all the time.
"""

# How long an answer speaks for a request, in seconds: longer than upstreams
# that end take to come back, and short enough that what ends upstreams of a new
# version isn't taken for harmless.
_RETENTION_SECONDS = 10.0
# How many are kept; who sends fewer a second is known for the whole time.
_MAX_KEYS = 1024


class RecentAnswers:
    """The requests that a front has had answered lately."""

    def __init__(self) -> None:
        # The oldest first.
        self._answered_at: dict[int, float] = {}

    def record(self, key: int, now: float) -> None:
        """Notes a whole answer to a request, by the hash of what it says.

        This process's own hash will do, and costs less than one that others
        could compare.
        """
        self._answered_at.pop(key, None)
        self._answered_at[key] = now
        if len(self._answered_at) > _MAX_KEYS:
            del self._answered_at[next(iter(self._answered_at))]

    def is_answered(self, key: int, now: float) -> bool:
        """Whether a request was answered a moment ago."""
        at = self._answered_at.get(key)
        return at is not None and now - at <= _RETENTION_SECONDS
