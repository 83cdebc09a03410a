"""Which engines fail requests, from what all fronts tell their owner.

Load pattern: 195 fronts before 37 engines, 1.7 requests a second each. A front
meets the same engine once in twenty seconds, so that by its own failures it
learns nothing of one that went dark or fails a part of what it gets: each front
loses a request to it before it sends the next one elsewhere.
"""

from collections.abc import Collection, Sequence

import attrs

# From this many fronts on engines are judged by all of them. Each of six sees
# enough by itself, and an engine that is full resets channels: out of use, it
# would leave its requests to others that are full as well.
_FRONTS_LEAST = 20
# Weight of the newest outcome in an engine's failure rate: three failures in a
# row take it out of use, or two channels that don't come up. One alone never
# does, since a lost packet or a front that is cut off looks the same.
_FAILED_WEIGHT = 0.15
_UNREACHABLE_WEIGHT = 0.3
# Failure rate, beyond the mean of the other engines, above which one gets no
# requests for a while: a load elsewhere costs callers a quarter of a second and
# a twentieth of a request. What fails at all engines, or at most of them, is
# served no better elsewhere: with 18 of 37 out, loads for what they held made
# 250 requests late in ten seconds, and 50 found no place (one played day).
_OUT_ABOVE = 0.35
# Seconds of the first time out of use and of the longest; twice as long after
# each time in a row.
_OUT_SECONDS = 1.5
_OUT_MOST_SECONDS = 6.0
# An engine that comes back into use gets one request at a time, until its rate
# has fallen: idle as it is, a dark one would get all that it could serve. How
# long the word of one is waited for, in seconds: a channel to a dark engine is
# given up after 0.4 s.
_PROBE_SECONDS = 0.5
# After this many seconds without an outcome a failure rate has halved.
_FADE_SECONDS = 8.0


@attrs.define
class _Record:
    """What is known of one engine.

    Attributes:
        rate: of failures, a moving mean from 0 to 1.
        failed_by: the front that told the latest outcome, if a failure.
    """

    rate: float = 0.0
    noted_at: float = 0.0
    failed_by: str = ""
    out_until: float = float("-inf")
    times_out: int = 0
    probed_at: float = float("-inf")

    def faded(self, now: float) -> float:
        """Returns the failure rate, less than it was if that was long ago."""
        return self.rate * 0.5 ** ((now - self.noted_at) / _FADE_SECONDS)

    def mix(self, value: float, weight: float, now: float) -> None:
        """Takes an outcome."""
        rate = self.faded(now)
        self.rate = rate + weight * (value - rate)
        self.noted_at = now


class EngineHealth:
    """Judges engines by the outcomes of all fronts' requests."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._engines = 1

    def record_assigned(self, engine: str, now: float) -> None:
        """Notes a request that is sent to an engine."""
        record = self._records.get(engine)
        if record is not None:
            record.probed_at = now

    def record_served(self, engine: str, now: float) -> None:
        """Notes a first event."""
        record = self._records.get(engine)
        if record is None:
            return
        record.mix(0.0, _FAILED_WEIGHT, now)
        record.failed_by = ""
        record.probed_at = float("-inf")
        if record.rate < _OUT_ABOVE / 2:
            record.times_out = 0

    def record_failed(
        self, engine: str, front: str, now: float, *, unreachable: bool
    ) -> None:
        """Notes a request that an engine failed.

        Args:
            engine: its name.
            front: whose request it was; what it tells twice in a row counts
                once, since it may be the one that is cut off.
            now: the clock, in seconds.
            unreachable: whether no channel to the engine came up.
        """
        record = self._records.setdefault(engine, _Record(noted_at=now))
        if record.failed_by == front:
            return
        record.failed_by = front
        weight = _UNREACHABLE_WEIGHT if unreachable else _FAILED_WEIGHT
        record.mix(1.0, weight, now)
        is_worse = record.rate > _OUT_ABOVE + self._mean_of_others(engine, now)
        if is_worse and now >= record.out_until:
            seconds = _OUT_SECONDS * 2**record.times_out
            record.out_until = now + min(seconds, _OUT_MOST_SECONDS)
            record.times_out += 1

    def _mean_of_others(self, engine: str, now: float) -> float:
        records = self._records
        rates = [records[name].faded(now) for name in records if name != engine]
        return sum(rates) / max(self._engines - 1, len(rates), 1)

    def failure_rate(self, engine: str, now: float) -> float:
        """Returns the share of requests that an engine fails lately."""
        record = self._records.get(engine)
        return record.faded(now) if record else 0.0

    def is_ejected(self, engine: str, now: float) -> bool:
        """Whether an engine should get no request now."""
        record = self._records.get(engine)
        if record is None:
            return False
        if now < record.out_until:
            return True
        is_probed = now - record.probed_at < _PROBE_SECONDS
        is_doubted = record.times_out > 0 and record.faded(now) > _OUT_ABOVE
        return is_probed and is_doubted

    def find_ejected(
        self, engines: Sequence[str], fronts: int, now: float
    ) -> Collection[str]:
        """Returns the engines that should get no request now.

        Never over half of them.

        Args:
            engines: names of a service's engines.
            fronts: how many there are.
            now: the clock, in seconds.
        """
        if fronts < _FRONTS_LEAST:
            return ()
        out = [engine for engine in engines if self.is_ejected(engine, now)]
        out.sort(key=lambda e: self.failure_rate(e, now), reverse=True)
        return set(out[: len(engines) // 2])

    def discard_except(self, engines: Collection[str]) -> None:
        """Takes which engines there are; forgets those that are gone."""
        self._engines = len(engines)
        for name in list(self._records):
            if name not in engines:
                del self._records[name]
