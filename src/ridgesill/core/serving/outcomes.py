"""What real requests say of an upstream's health.

Health probes are priced and lie in both directions, so upstreams are judged by
the outcomes of the requests that they got.
"""

import attrs

# Weight of the newest outcome in an upstream's failure rate.
_SMOOTHING = 0.25
# Failure rate from which an upstream gets no new requests for a while.
_EJECT_ABOVE = 0.5
# Outcomes after which the rate says something.
_ENOUGH = 3
# Seconds of the first ejection and of the longest.
_EJECT_SECONDS = 1.5
_EJECT_MOST_SECONDS = 12.0
# Failures to reach an upstream count for more: the next one fails too.
_UNREACHABLE_WEIGHT = 0.6
# After this many seconds without an outcome a failure rate has halved.
_FADE_SECONDS = 8.0
# After this long without a byte of any answer, while requests wait for one, an
# upstream counts as silent, in seconds; the longest prompts take a quarter of a
# second to read, and others go on meanwhile.
_SILENT_SECONDS = 1.0


@attrs.define
class Health:
    """An upstream's outcomes.

    Attributes:
        failure_rate: a moving mean, from 0 to 1.
        ejected_until: until when it gets no new requests.
        waiting: requests that were sent and have not ended.
        heard_at: when a byte of an answer came, or the first of those began.
    """

    failure_rate: float = 0.0
    outcome_count: int = 0
    updated_at: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    in_progress: int = 0
    last_byte_at: float = 0.0


class Outcomes:
    """The health of the upstreams that this front sends to."""

    def __init__(self) -> None:
        self._health: dict[str, Health] = {}

    def record_sent(self, upstream: str, now: float) -> None:
        """Notes a request that goes to an upstream."""
        health = self._health.setdefault(upstream, Health(updated_at=now))
        if not health.in_progress:
            health.last_byte_at = now
        health.in_progress += 1

    def record_byte(self, upstream: str, now: float) -> None:
        """Notes a part of an answer."""
        health = self._health.get(upstream)
        if health is not None:
            health.last_byte_at = now

    def record_end(self, upstream: str) -> None:
        """Notes that a request that was sent has ended, however it did."""
        health = self._health.get(upstream)
        if health is not None:
            health.in_progress = max(health.in_progress - 1, 0)

    def record_success(self, upstream: str, now: float) -> None:
        """Notes an answer that was served."""
        health = self._health.get(upstream)
        if health is None:
            return
        self._mix(health, 0.0, _SMOOTHING, now)
        if health.failure_rate < _EJECT_ABOVE / 2:
            health.ejections = 0

    def record_failure(
        self, upstream: str, now: float, *, unreachable: bool = False
    ) -> bool:
        """Notes a failure; returns whether it ejects the upstream."""
        health = self._health.setdefault(upstream, Health(updated_at=now))
        weight = _UNREACHABLE_WEIGHT if unreachable else _SMOOTHING
        self._mix(health, 1.0, weight, now)
        enough = unreachable or health.outcome_count >= _ENOUGH
        if health.failure_rate < _EJECT_ABOVE or not enough:
            return False
        if now < health.ejected_until:
            return False
        seconds = _EJECT_SECONDS * 2**health.ejections
        health.ejected_until = now + min(seconds, _EJECT_MOST_SECONDS)
        health.ejections += 1
        return True

    def _mix(
        self, health: Health, value: float, weight: float, now: float
    ) -> None:
        rate = self._faded(health, now)
        health.failure_rate = rate + weight * (value - rate)
        health.outcome_count += 1
        health.updated_at = now

    def _faded(self, health: Health, now: float) -> float:
        halvings = (now - health.updated_at) / _FADE_SECONDS
        return health.failure_rate * 0.5**halvings

    def failure_rate(self, upstream: str, now: float) -> float:
        """Returns the share of requests that an upstream fails lately."""
        health = self._health.get(upstream)
        return self._faded(health, now) if health else 0.0

    def is_ejected(self, upstream: str, now: float) -> bool:
        """Whether an upstream should get no new requests now."""
        health = self._health.get(upstream)
        if health is None:
            return False
        silent = (
            health.in_progress and now - health.last_byte_at > _SILENT_SECONDS
        )
        return bool(silent) or now < health.ejected_until

    def discard_except(self, upstreams: set[str]) -> None:
        """Forgets upstreams that are gone."""
        for name in list(self._health):
            if name not in upstreams:
                del self._health[name]
