"""What was answered recently, which is unlikely to crash upstreams.

A request that many callers send with identical content, or a part that many
prompts share, is in progress at every upstream that crashes without being the
cause. Its recent answers show that, at whichever front they passed.
"""

from typing import Generic, TypeVar

import attrs

K = TypeVar("K")


@attrs.define
class RecentAnswers(Generic[K]):
    """Remembers what received an answer recently.

    Attributes:
        retention: seconds for which an answer counts as evidence.
        max_keys: how many keys are kept; the oldest are dropped. A front that
            answers fewer distinct ones within the retention time keeps each of
            them for all of it.
    """

    retention: float
    max_keys: int
    # Ordered by age, the oldest first.
    _answered_at: dict[K, float] = attrs.field(factory=dict, init=False)

    def record(self, key: K, now: float) -> None:
        """Records an answer.

        Args:
            key: what was answered. A hash that is only valid in this process is
                enough, and cheaper than a portable one.
            now: the current time, in seconds.
        """
        self._answered_at.pop(key, None)
        self._answered_at[key] = now
        if len(self._answered_at) > self.max_keys:
            del self._answered_at[next(iter(self._answered_at))]

    def is_answered(self, key: K, now: float) -> bool:
        """Whether there was an answer within the retention time."""
        answered_at = self._answered_at.get(key)
        return answered_at is not None and now - answered_at <= self.retention

    def list_answered(self, now: float) -> list[K]:
        """Returns all keys with an answer within the retention time."""
        return [key for key in self._answered_at if self.is_answered(key, now)]
