"""How many brittle upstreams of a service may be full at the same time.

Whatever takes a slot unnoticed does harm only at an upstream that is full. At
first one upstream of a service may be, so that one rejection shows what would
have been rejected at all of them; the number doubles while that goes well. None
may be for a moment after a rejection, so that what was learned takes effect.
"""

from collections.abc import Mapping

import attrs

# Least time between two changes for the better, in seconds.
_STEP_SECONDS = 1.0
# Time after a rejection in which no upstream may become full, in seconds.
_PAUSE_SECONDS = 0.3
# Upstreams with fewer slots may always be full: a free one would be too large a
# share of them.
_MIN_SLOTS = 4


@attrs.define
class LastSlots:
    """The full upstreams of one service.

    Attributes:
        allowed: upstreams that may be full.
        changed_at: clock time of the last change of `allowed`, in seconds.
        rejected_at: clock time of the last rejection, in seconds.
    """

    allowed: int = 1
    changed_at: float = float("-inf")
    rejected_at: float = float("-inf")
    # Slots of the upstreams whose last slot was granted, by name.
    _filled: dict[str, int] = attrs.Factory(dict)

    def may_fill(self, slots: int, held: Mapping[str, int], now: float) -> bool:
        """Whether the last slot of one more upstream may be granted.

        Args:
            slots: that it has.
            held: requests in progress, by upstream.
            now: clock time, in seconds.
        """
        if slots < _MIN_SLOTS:
            return True
        if now < self.rejected_at + _PAUSE_SECONDS:
            return False
        for name in list(self._filled):
            if held.get(name, 0) < self._filled[name]:
                del self._filled[name]
        return len(self._filled) < self.allowed

    def record_filled(self, upstream: str, slots: int, now: float) -> None:
        """Records that the last slot of an upstream was granted."""
        if self.changed_at == float("-inf"):
            self.changed_at = now
        self._filled[upstream] = slots

    def record_answer(
        self, upstream: str, held: Mapping[str, int], now: float
    ) -> None:
        """Records an answer of an upstream that may have been full."""
        slots = self._filled.get(upstream)
        if slots is None or held.get(upstream, 0) < slots:
            return
        is_used = 2 * len(self._filled) >= self.allowed
        if is_used and now >= self.changed_at + _STEP_SECONDS:
            self.allowed *= 2
            self.changed_at = now

    def record_rejected(self, now: float) -> None:
        """Records a rejection that the count of permits didn't expect."""
        self.allowed = max(self.allowed // 2, 1)
        self.changed_at = self.rejected_at = now
