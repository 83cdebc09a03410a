"""Passive health checks: judges upstreams by the outcomes of real requests.

Active health probes aren't free, and they both miss failures and report some
that aren't there.
"""

from collections.abc import Collection

import attrs

# Weight of the newest outcome in the failure rate of an upstream.
_SMOOTHING = 0.25
# Failure rate from which an upstream is ejected: it gets no new requests.
_EJECT_FROM_RATE = 0.5
# Number of outcomes from which the failure rate is meaningful.
_MIN_OUTCOMES = 3
# Durations of the first and of the longest ejection; each one doubles.
_FIRST_EJECTION_SECONDS = 1.5
_MAX_EJECTION_SECONDS = 12.0
# A failure to connect weighs more, since the next attempt fails too.
_UNREACHABLE_WEIGHT = 0.6
# Without outcomes a failure rate halves in this time.
_HALF_LIFE_SECONDS = 8.0
# An upstream with requests in progress counts as silent after this time without
# a byte of any answer. The longest prompts take 0.25 s to read, and other
# requests make progress meanwhile.
_SILENT_SECONDS = 1.0


@attrs.define
class Health:
    """The health of one upstream; all times are in seconds.

    Attributes:
        failure_rate: moving mean of failures, from 0 to 1.
        outcome_count: number of recorded outcomes.
        updated_at: when the failure rate was last updated.
        ejected_until: when the current or last ejection ends.
        ejections: ejections in a row, which double its duration.
        in_progress: requests that were sent and have not ended.
        last_byte_at: when the last byte of an answer arrived, or the first of
            the requests in progress was sent, whichever is later.
        answered_at: when the last byte of an answer arrived.
        unanswered_since: when the first request since then was sent; infinite
            if none was.
    """

    failure_rate: float = 0.0
    outcome_count: int = 0
    updated_at: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    in_progress: int = 0
    last_byte_at: float = 0.0
    answered_at: float = float("-inf")
    unanswered_since: float = float("inf")


class Outcomes:
    """Tracks the health of the upstreams that this front sends to."""

    def __init__(self) -> None:
        self._health: dict[str, Health] = {}
        # Upstreams that were sent requests since their last byte.
        self._unanswered: set[str] = set()

    def record_sent(self, upstream: str, now: float) -> None:
        """Records that a request is sent to an upstream."""
        health = self._health.setdefault(upstream, Health(updated_at=now))
        if not health.in_progress:
            health.last_byte_at = now
        health.in_progress += 1

    def record_forwarded(self, upstream: str, now: float) -> None:
        """Records that a channel carries a request to an upstream."""
        health = self._health.get(upstream)
        if health is not None and now < health.unanswered_since:
            health.unanswered_since = now
            self._unanswered.add(upstream)

    def record_byte(self, upstream: str, now: float) -> None:
        """Records that a part of an answer has arrived."""
        health = self._health.get(upstream)
        if health is not None:
            health.last_byte_at = health.answered_at = now
            if health.unanswered_since < now:
                health.unanswered_since = float("inf")
                self._unanswered.discard(upstream)

    def record_end(self, upstream: str) -> None:
        """Records that a sent request has ended, with any outcome."""
        health = self._health.get(upstream)
        if health is not None:
            health.in_progress = max(health.in_progress - 1, 0)

    def record_success(self, upstream: str, now: float) -> None:
        """Records a successful answer."""
        health = self._health.get(upstream)
        if health is None:
            return
        self._update_rate(health, 0.0, _SMOOTHING, now)
        if health.failure_rate < _EJECT_FROM_RATE / 2:
            health.ejections = 0

    def record_failure(
        self, upstream: str, now: float, *, unreachable: bool = False
    ) -> bool:
        """Records a failure; returns whether it ejects the upstream."""
        health = self._health.setdefault(upstream, Health(updated_at=now))
        weight = _UNREACHABLE_WEIGHT if unreachable else _SMOOTHING
        self._update_rate(health, 1.0, weight, now)
        has_enough = unreachable or health.outcome_count >= _MIN_OUTCOMES
        if health.failure_rate < _EJECT_FROM_RATE or not has_enough:
            return False
        if now < health.ejected_until:
            return False
        seconds = _FIRST_EJECTION_SECONDS * 2**health.ejections
        health.ejected_until = now + min(seconds, _MAX_EJECTION_SECONDS)
        health.ejections += 1
        return True

    def _update_rate(
        self, health: Health, value: float, weight: float, now: float
    ) -> None:
        rate = self._decayed_rate(health, now)
        health.failure_rate = rate + weight * (value - rate)
        health.outcome_count += 1
        health.updated_at = now

    def _decayed_rate(self, health: Health, now: float) -> float:
        half_lives = (now - health.updated_at) / _HALF_LIFE_SECONDS
        return health.failure_rate * 0.5**half_lives

    def failure_rate(self, upstream: str, now: float) -> float:
        """Returns the recent failure rate of an upstream, from 0 to 1."""
        health = self._health.get(upstream)
        return self._decayed_rate(health, now) if health else 0.0

    def is_ejected(self, upstream: str, now: float) -> bool:
        """Whether an upstream is ejected or silent: it gets no new requests."""
        health = self._health.get(upstream)
        if health is None:
            return False
        is_silent = (
            health.in_progress and now - health.last_byte_at > _SILENT_SECONDS
        )
        return bool(is_silent) or now < health.ejected_until

    def list_silent(self, now: float, seconds: float) -> list[str]:
        """Returns the upstreams that owe answers and have been silent.

        Args:
            now: the current time, in seconds.
            seconds: how long they have sent nothing, at least.
        """
        return [
            name
            for name, health in self._health.items()
            if health.in_progress and now - health.last_byte_at > seconds
        ]

    def has_unanswered(self, now: float, seconds: float) -> bool:
        """Whether any upstream has left requests unanswered for this long."""
        return any(
            now - self._health[name].unanswered_since > seconds
            for name in self._unanswered
        )

    def count_unanswered(
        self, upstreams: Collection[str], now: float, seconds: float
    ) -> int:
        """Returns how many upstreams have answered nothing for this long.

        Args:
            upstreams: names of the upstreams that count.
            now: the current time, in seconds.
            seconds: time since a request was sent to them.
        """
        return sum(
            now - self._health[name].unanswered_since > seconds
            for name in self._unanswered.intersection(upstreams)
        )

    def answered_at(self, upstreams: Collection[str]) -> float:
        """Returns when one of some upstreams last sent a byte, in seconds."""
        return max(
            (
                self._health[name].answered_at
                for name in upstreams
                if name in self._health
            ),
            default=float("-inf"),
        )

    def readmit(self, upstream: str) -> None:
        """Ends an ejection: the upstream can be reached again."""
        health = self._health.get(upstream)
        if health is not None:
            health.ejected_until = 0.0
            health.failure_rate = 0.0
            health.ejections = 0

    def discard_except(self, upstreams: set[str]) -> None:
        """Discards the health of all upstreams but the given ones."""
        for name in list(self._health):
            if name not in upstreams:
                del self._health[name]
        self._unanswered &= upstreams
