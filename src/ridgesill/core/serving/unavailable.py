"""Upstreams that state in their answers that they accept no requests.

A full upstream asks the front that it answers to pause for some seconds. An
upstream that is shutting down accepts no requests from any front. Both end with
a restart, since a restarted upstream has another name.
"""

from collections.abc import Collection

# How long a shutdown is remembered while the owner's updates don't list the
# upstream: an owner that has just started may list it again, and some upstreams
# keep serving for many seconds.
_LEAVING_RETENTION_SECONDS = 120.0


class Unavailable:
    """Tracks which upstreams accept no requests from this front."""

    def __init__(self) -> None:
        self._rests_until: dict[str, float] = {}
        # When each upstream first stated that it is shutting down.
        self._leaving: dict[str, float] = {}

    def record_rest(self, upstream: str, until: float) -> None:
        """Records the time until which an upstream accepts no requests."""
        current = self._rests_until.get(upstream, float("-inf"))
        self._rests_until[upstream] = max(current, until)

    def record_leaving(self, upstream: str, now: float) -> bool:
        """Records that an upstream is shutting down; returns if that is new."""
        is_new = upstream not in self._leaving
        self._leaving.setdefault(upstream, now)
        return is_new

    def is_leaving(self, upstream: str) -> bool:
        """Whether an upstream has stated that it is shutting down."""
        return upstream in self._leaving

    def accepts_requests(self, upstream: str, now: float) -> bool:
        """Whether an upstream accepts requests from this front now."""
        if not self._leaving and not self._rests_until:
            return True
        return upstream not in self._leaving and not self.rest_seconds(
            upstream, now
        )

    def rest_seconds(self, upstream: str, now: float) -> float:
        """Returns the seconds for which an upstream accepts no requests."""
        until = self._rests_until.get(upstream)
        return max(until - now, 0.0) if until is not None else 0.0

    def seconds_until_available(
        self, upstreams: Collection[str], now: float
    ) -> float:
        """Returns the seconds until one of the upstreams accepts requests.

        Returns:
            Seconds; 0 if one accepts requests now, or all are shutting down.
        """
        staying = [name for name in upstreams if name not in self._leaving]
        return min(
            (self.rest_seconds(name, now) for name in staying), default=0.0
        )

    def list_resting(self, now: float) -> list[str]:
        """Returns the upstreams that have asked this front to pause."""
        return [u for u, until in self._rests_until.items() if until > now]

    def discard_except(self, upstreams: Collection[str], now: float) -> None:
        """Discards pauses that have ended and shutdowns of other upstreams.

        Args:
            upstreams: the upstreams that the owner lists.
            now: the current time, in seconds.
        """
        for name, recorded_at in list(self._leaving.items()):
            is_old = now - recorded_at > _LEAVING_RETENTION_SECONDS
            if is_old and name not in upstreams:
                del self._leaving[name]
        for name, until in list(self._rests_until.items()):
            if until <= now:
                del self._rests_until[name]
