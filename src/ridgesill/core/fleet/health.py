"""Ejection of failing engines, by the outcomes that all fronts report.

Load pattern: 195 fronts send 1.7 requests a second each to 37 engines. A front
uses the same engine once in twenty seconds, so its own failures don't tell it
in time that the engine doesn't respond or fails a share of its requests: each
front would lose a request to that engine before it avoids it. The owner sees
the outcomes of all fronts.
"""

from collections.abc import Collection, Sequence

import attrs

# Lowest number of fronts at which engines are ejected for all of them. Each of
# six fronts sees enough outcomes by itself. Besides, an engine at its capacity
# resets channels: if it were ejected, its requests would go to other engines
# that are at capacity too.
_MIN_FRONTS = 20
# Weight of the newest outcome in an engine's failure rate: three failures in a
# row eject it, or two failures to open a channel. One failure alone never does,
# since a lost packet or a partitioned front looks the same.
_FAILURE_WEIGHT = 0.15
_UNREACHABLE_WEIGHT = 0.3
# Failure rate above the mean of the other engines at which an engine is
# ejected: loading its artifacts elsewhere costs callers 0.25 s and a twentieth
# of a request. Failures at all or most engines aren't avoided elsewhere: with
# 18 of 37 ejected, the loads of what they had held made 250 requests late in
# ten seconds, and 50 requests found no engine.
_EJECT_ABOVE_RATE = 0.35
# Durations of the first and the longest ejection, in seconds; each ejection in
# a row lasts twice as long as the one before.
_FIRST_EJECTION_SECONDS = 1.5
_MAX_EJECTION_SECONDS = 6.0
# How long the outcome of a probe is awaited, in seconds; opening a channel to
# an engine that doesn't respond times out after 0.4 s. After its ejection an
# engine gets one request at a time as a probe until its failure rate has
# fallen: being idle, it would otherwise get as many requests as it has capacity
# for.
_PROBE_TIMEOUT_SECONDS = 0.5
# Time without an outcome in which a failure rate halves, in seconds.
_RATE_HALF_LIFE_SECONDS = 8.0


@attrs.define
class _EngineRecord:
    """Failure rate and ejections of one engine.

    Times are clock times, in seconds.

    Attributes:
        rate: moving mean of the outcomes, 1 for a failure and 0 for a success.
        updated_at: time of the latest outcome.
        failed_by: front that reported the latest outcome if it was a failure;
            empty otherwise.
        ejected_until: end of the latest ejection.
        ejections_in_a_row: number of ejections since the rate was last low.
        probed_at: time of the latest request sent; minus infinity once one has
            succeeded.
    """

    rate: float = 0.0
    updated_at: float = 0.0
    failed_by: str = ""
    ejected_until: float = float("-inf")
    ejections_in_a_row: int = 0
    probed_at: float = float("-inf")

    def decayed_rate(self, now: float) -> float:
        """Returns the failure rate, decayed since the latest outcome."""
        return self.rate * 0.5 ** (
            (now - self.updated_at) / _RATE_HALF_LIFE_SECONDS
        )

    def add_outcome(self, value: float, weight: float, now: float) -> None:
        """Adds an outcome to the moving mean.

        Args:
            value: 1 for a failure, 0 for a success.
            weight: share of the new outcome in the mean.
            now: clock time, in seconds.
        """
        rate = self.decayed_rate(now)
        self.rate = rate + weight * (value - rate)
        self.updated_at = now


class EngineHealth:
    """Failure rates of engines over all fronts, and which are ejected."""

    def __init__(self) -> None:
        self._records: dict[str, _EngineRecord] = {}
        self._engine_count = 1

    def record_assigned(self, engine: str, now: float) -> None:
        """Records that a request is sent to an engine."""
        record = self._records.get(engine)
        if record is not None:
            record.probed_at = now

    def record_served(self, engine: str, now: float) -> None:
        """Records a success: the first event of an answer has arrived."""
        record = self._records.get(engine)
        if record is None:
            return
        record.add_outcome(0.0, _FAILURE_WEIGHT, now)
        record.failed_by = ""
        record.probed_at = float("-inf")
        if record.rate < _EJECT_ABOVE_RATE / 2:
            record.ejections_in_a_row = 0

    def record_failed(
        self, engine: str, front: str, now: float, *, unreachable: bool
    ) -> None:
        """Records a request that an engine failed; may eject the engine.

        Args:
            engine: name of the engine.
            front: front that reports the failure. Its reports in a row count
                once, since the front itself may be partitioned.
            now: clock time, in seconds.
            unreachable: whether no channel to the engine could be opened.
        """
        record = self._records.setdefault(engine, _EngineRecord(updated_at=now))
        if record.failed_by == front:
            return
        record.failed_by = front
        weight = _UNREACHABLE_WEIGHT if unreachable else _FAILURE_WEIGHT
        record.add_outcome(1.0, weight, now)
        is_worse = record.rate > _EJECT_ABOVE_RATE + self._mean_rate_of_others(
            engine, now
        )
        if is_worse and now >= record.ejected_until:
            seconds = _FIRST_EJECTION_SECONDS * 2**record.ejections_in_a_row
            record.ejected_until = now + min(seconds, _MAX_EJECTION_SECONDS)
            record.ejections_in_a_row += 1

    def _mean_rate_of_others(self, engine: str, now: float) -> float:
        records = self._records
        rates = [
            records[name].decayed_rate(now)
            for name in records
            if name != engine
        ]
        return sum(rates) / max(self._engine_count - 1, len(rates), 1)

    def failure_rate(self, engine: str, now: float) -> float:
        """Returns the share of recent requests that an engine has failed."""
        record = self._records.get(engine)
        return record.decayed_rate(now) if record else 0.0

    def is_ejected(self, engine: str, now: float) -> bool:
        """Whether an engine is ejected or waits for the outcome of a probe."""
        record = self._records.get(engine)
        if record is None:
            return False
        if now < record.ejected_until:
            return True
        is_probed = now - record.probed_at < _PROBE_TIMEOUT_SECONDS
        is_suspect = (
            record.ejections_in_a_row > 0
            and record.decayed_rate(now) > _EJECT_ABOVE_RATE
        )
        return is_probed and is_suspect

    def find_ejected(
        self, engines: Sequence[str], fronts: int, now: float
    ) -> Collection[str]:
        """Returns the engines that should get no requests now.

        These are at most half of the engines, those with the highest failure
        rates.

        Args:
            engines: names of a service's engines.
            fronts: number of fronts that report.
            now: clock time, in seconds.
        """
        if fronts < _MIN_FRONTS:
            return ()
        ejected = [engine for engine in engines if self.is_ejected(engine, now)]
        ejected.sort(key=lambda e: self.failure_rate(e, now), reverse=True)
        return set(ejected[: len(engines) // 2])

    def discard_except(self, engines: Collection[str]) -> None:
        """Sets the engines that exist and discards the records of others."""
        self._engine_count = len(engines)
        for name in list(self._records):
            if name not in engines:
                del self._records[name]
