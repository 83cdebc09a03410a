"""Upstreams that want no requests, by their own word in answers.

One that is full asks for some seconds without requests from the front that it
answers; one that leaves wants none from anybody. Both are of one start: the one
that follows has another name.
"""

from collections.abc import Collection

# How long a departure is remembered though the owner's news don't name the
# upstream, in seconds: an owner that has just started may name it again, and
# some serve on for many seconds.
_LEAVING_SECONDS = 120.0


class Unavailable:
    """What upstreams have told this front in their answers."""

    def __init__(self) -> None:
        self._rests_until: dict[str, float] = {}
        # When it was first heard.
        self._leaving: dict[str, float] = {}

    def record_rest(self, upstream: str, until: float) -> None:
        """Notes until when an upstream wants nothing from here."""
        known = self._rests_until.get(upstream, float("-inf"))
        self._rests_until[upstream] = max(known, until)

    def record_leaving(self, upstream: str, now: float) -> bool:
        """Notes that an upstream leaves; returns whether that is new."""
        is_new = upstream not in self._leaving
        self._leaving.setdefault(upstream, now)
        return is_new

    def is_leaving(self, upstream: str) -> bool:
        """Whether an upstream has said that it leaves."""
        return upstream in self._leaving

    def accepts_requests(self, upstream: str, now: float) -> bool:
        """Whether an upstream wants requests from here now."""
        if not self._leaving and not self._rests_until:
            return True
        return upstream not in self._leaving and not self.rest_seconds(
            upstream, now
        )

    def rest_seconds(self, upstream: str, now: float) -> float:
        """Returns the seconds for which an upstream wants nothing."""
        until = self._rests_until.get(upstream)
        return max(until - now, 0.0) if until is not None else 0.0

    def seconds_until_available(
        self, upstreams: Collection[str], now: float
    ) -> float:
        """Returns when the first of some upstreams takes requests again.

        Returns:
            Seconds; 0 when one takes them now, or none of them rests.
        """
        staying = [name for name in upstreams if name not in self._leaving]
        return min(
            (self.rest_seconds(name, now) for name in staying), default=0.0
        )

    def list_resting(self, now: float) -> list[str]:
        """Returns the upstreams that want nothing from here now."""
        return [u for u, until in self._rests_until.items() if until > now]

    def discard_except(self, upstreams: Collection[str], now: float) -> None:
        """Forgets rests that are over, and upstreams that are gone."""
        for name, noted_at in list(self._leaving.items()):
            is_old = now - noted_at > _LEAVING_SECONDS
            if is_old and name not in upstreams:
                del self._leaving[name]
        for name, until in list(self._rests_until.items()):
            if until <= now:
                del self._rests_until[name]
