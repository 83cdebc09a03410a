"""Upstreams that fall over if they have to turn too many requests away.

They say so in all their answers, with the number of requests a second that they
can turn away for want of room, over all fronts. An upstream turns requests away
when its queue is full, and a brittle one may let fewer wait. So it gets no more
requests than it processes at once. A front that it turns away pauses for its
part of the time in which the upstream can bear another one.
"""

import attrs

# Longest pause after a request was turned away, in seconds. A brittle upstream
# that has room again would otherwise stay unused in a large fleet.
_MAX_PAUSE_SECONDS = 5.0


@attrs.frozen
class _Statement:
    """What an upstream last said.

    Attributes:
        bound: requests that it can turn away, per second.
        sent_at: when the request that it answered was sent, in seconds.
    """

    bound: float
    sent_at: float


class BrittleUpstreams:
    """Tracks which upstreams say that they are brittle."""

    def __init__(self) -> None:
        self._statements: dict[str, _Statement] = {}

    def __bool__(self) -> bool:
        """Whether any upstream is brittle."""
        return bool(self._statements)

    def record(
        self, upstream: str, bound: float | None, sent_at: float
    ) -> bool:
        """Records what an answer says; returns whether that is new.

        Args:
            upstream: that answered.
            bound: requests that it can turn away, per second; None if the
                answer doesn't say that it is brittle.
            sent_at: when the request was sent, in seconds. An answer to a
                request that was sent before the latest one is ignored.
        """
        known = self._statements.get(upstream)
        if known is not None and sent_at < known.sent_at:
            return False
        if bound is None:
            return self._statements.pop(upstream, None) is not None
        self._statements[upstream] = _Statement(bound, sent_at)
        return known is None or known.bound != bound

    def is_brittle(self, upstream: str) -> bool:
        """Whether an upstream has said that it is brittle."""
        return upstream in self._statements

    def has_room(self, upstream: str, busy: int, slots: int) -> bool:
        """Whether an upstream has room for one more request.

        Args:
            upstream: its name.
            busy: its requests in progress, over all fronts.
            slots: requests that it processes at once.
        """
        return upstream not in self._statements or busy < slots

    def pause_seconds(self, upstream: str, fronts: int) -> float:
        """Returns how long to pause after a request was turned away.

        Args:
            upstream: its name.
            fronts: number of fronts, which together stay within its bound.
        """
        known = self._statements.get(upstream)
        if known is None:
            return 0.0
        if known.bound <= 0:
            return _MAX_PAUSE_SECONDS
        return min(fronts / known.bound, _MAX_PAUSE_SECONDS)

    def discard_except(self, upstreams: set[str]) -> None:
        """Discards what is known of all upstreams but the given ones."""
        for name in list(self._statements):
            if name not in upstreams:
                del self._statements[name]
