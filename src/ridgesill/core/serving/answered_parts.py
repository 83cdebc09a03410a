"""Parts of prompts that upstreams have answered on recently.

A part that many requests share is aboard of every upstream that ends without
being the cause. Its answers show that, at whichever front they passed.
"""

from collections.abc import Collection, Iterable

# How long an answer counts as evidence that a part is harmless, in seconds.
# This is longer than upstreams take to return that one part has ended together.
_RETENTION_SECONDS = 20.0
# How many parts are kept; the oldest are dropped.
_MAX_PARTS = 4096


class AnsweredParts:
    """Remembers the ids of parts that were answered on recently."""

    def __init__(self) -> None:
        # Ordered by age, the oldest first.
        self._answered_at: dict[str, float] = {}

    def record(self, parts: Iterable[str], now: float) -> None:
        """Records that an upstream has begun to answer on parts.

        Args:
            parts: ids of the parts.
            now: clock time, in seconds.
        """
        for part in parts:
            self._answered_at.pop(part, None)
            self._answered_at[part] = now
        while len(self._answered_at) > _MAX_PARTS:
            del self._answered_at[next(iter(self._answered_at))]

    def list_unanswered(self, parts: Collection[str], now: float) -> list[str]:
        """Returns the parts that weren't answered on recently."""
        return [part for part in parts if not self._is_recent(part, now)]

    def list_recent(self, now: float) -> list[str]:
        """Returns all parts that were answered on recently."""
        return [
            part for part in self._answered_at if self._is_recent(part, now)
        ]

    def _is_recent(self, part: str, now: float) -> bool:
        answered_at = self._answered_at.get(part)
        return (
            answered_at is not None and now - answered_at <= _RETENTION_SECONDS
        )
