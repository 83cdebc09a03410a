"""Ejection of plain upstreams that fail more requests than others.

Load pattern: 59 fronts send 200 calls a second to four upstreams, and one of
them resets every call. Fronts that find this out by themselves, and try again
every 1.5 s, lose 40 calls a second to it. The owner sees the outcomes of all
fronts; it ejects the upstream for all of them after a few tenths of a second,
and fronts then send it only about two probes a second.
"""

from collections.abc import Collection

import attrs

from ridgesill.core.fleet.messages import READY, Upstream

# Failure rate above the mean of the other upstreams at which one is ejected, as
# in `core/fleet/health.py`.
_EJECT_ABOVE_RATE = 0.35
# Outcomes in the moving failure rate. At 60 calls a second a reset upstream is
# ejected after 0.15 s; one that fails a fifth of its calls rarely is.
_MEMORY_OUTCOMES = 16.0
# Least number of outcomes, and of failures among them, for an ejection.
_MIN_OUTCOMES = 3.0
_MIN_FAILURES = 2.0
# Time without an outcome after which earlier ones are forgotten, in seconds.
_FORGET_SECONDS = 10.0
# Time after an ejection in which outcomes aren't those of probes, in seconds:
# requests sent before it are answered, and reports of them arrive.
_LATE_OUTCOME_SECONDS = 0.6
# Highest number of successful probes in a row that a readmission needs. The
# first one needs one, and each ejection in a row doubles the number.
_MAX_PROBES = 4
# Time without any probe after which an upstream is readmitted, in seconds, as
# long as the longest ejection of an engine. Services without repeatable
# requests send no probes.
_MAX_UNPROBED_SECONDS = 6.0
# Time after a readmission from which on a further ejection counts as the first
# again, in seconds.
_RECOVERED_SECONDS = 10.0


@attrs.define
class _Record:
    """Failure rate and ejections of one upstream.

    Times are clock times, in seconds.

    Attributes:
        outcomes: number of recent outcomes, at most `_MEMORY_OUTCOMES`.
        failures: number of failures among them.
        heard_at: time of the latest outcome, or of the ejection if later.
        ejected_at: time of the ejection; None while it isn't ejected.
        readmitted_at: time of the latest readmission.
        ejections_in_a_row: number of ejections since it last recovered.
        probes: number of probes that have succeeded since one last failed.
    """

    outcomes: float = 0.0
    failures: float = 0.0
    heard_at: float = float("-inf")
    ejected_at: float | None = None
    readmitted_at: float = float("-inf")
    ejections_in_a_row: int = 0
    probes: int = 0

    @property
    def rate(self) -> float:
        """The failure rate; 0 without outcomes."""
        return self.failures / self.outcomes if self.outcomes else 0.0

    @property
    def needed_probes(self) -> int:
        """Number of successful probes that a readmission needs."""
        doublings = max(self.ejections_in_a_row - 1, 0)
        return min(1 << min(doublings, _MAX_PROBES), _MAX_PROBES)

    def add_outcomes(self, succeeded: int, failed: int, now: float) -> None:
        """Adds outcomes of requests that fronts sent without restriction."""
        added = succeeded + failed
        if now - self.heard_at > _FORGET_SECONDS:
            self.outcomes = self.failures = 0.0
        if added > _MEMORY_OUTCOMES:
            self.outcomes = _MEMORY_OUTCOMES
            self.failures = _MEMORY_OUTCOMES * failed / added
        else:
            room = _MEMORY_OUTCOMES - added
            kept = min(room / self.outcomes, 1.0) if self.outcomes else 0.0
            self.outcomes = self.outcomes * kept + added
            self.failures = self.failures * kept + failed
        self.heard_at = now

    def add_probes(self, succeeded: int, failed: int, now: float) -> None:
        """Adds outcomes of probes."""
        self.probes = 0 if failed else self.probes + succeeded
        self.heard_at = now

    def eject(self, now: float) -> None:
        """Begins an ejection."""
        if now - self.readmitted_at > _RECOVERED_SECONDS:
            self.ejections_in_a_row = 0
        self.ejections_in_a_row += 1
        self.ejected_at = now
        self.heard_at = now
        self.probes = 0

    def readmit(self, now: float) -> None:
        """Ends an ejection and forgets the failures that led to it."""
        self.ejected_at = None
        self.readmitted_at = now
        self.outcomes = self.failures = 0.0

    def is_recovered(self, now: float) -> bool:
        """Whether an ejected upstream has answered its probes, or got none."""
        if self.probes >= self.needed_probes:
            return True
        return now - self.heard_at > _MAX_UNPROBED_SECONDS


class Ejections:
    """Failure rates of the upstreams of one service, and which are ejected."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    @property
    def ejected(self) -> set[str]:
        """Names of the upstreams that should get no requests but probes."""
        return {n for n, r in self._records.items() if r.ejected_at is not None}

    def failure_rate(self, upstream: str) -> float:
        """Returns the share of recent requests that an upstream failed."""
        record = self._records.get(upstream)
        return record.rate if record else 0.0

    def record(
        self, upstream: str, succeeded: int, failed: int, now: float
    ) -> None:
        """Records outcomes of requests over all fronts.

        Args:
            upstream: name of the upstream.
            succeeded: number of complete answers.
            failed: number of failures. Requests that a full upstream has
                rejected count as neither.
            now: clock time, in seconds.
        """
        record = self._records.get(upstream)
        if record is None or not (succeeded or failed):
            return
        if record.ejected_at is None:
            record.add_outcomes(succeeded, failed, now)
        elif now - record.ejected_at >= _LATE_OUTCOME_SECONDS:
            record.add_probes(succeeded, failed, now)

    def update(
        self, upstreams: Collection[Upstream], silent: set[str], now: float
    ) -> None:
        """Readmits and ejects upstreams.

        Ejections that the records of upstreams state are adopted from an
        earlier owner.

        Args:
            upstreams: the upstreams of the service.
            silent: those that answer nothing; they don't count as usable.
            now: clock time, in seconds.
        """
        self._match_records(upstreams, now)
        ready = [u.name for u in upstreams if u.state == READY]
        for record in self._records.values():
            if record.ejected_at is not None and record.is_recovered(now):
                record.readmit(now)
        self._readmit_excess(ready, now)
        self._eject_outliers(ready, silent, now)

    def _match_records(
        self, upstreams: Collection[Upstream], now: float
    ) -> None:
        names = {upstream.name for upstream in upstreams}
        for name in self._records.keys() - names:
            del self._records[name]
        for upstream in upstreams:
            if upstream.name not in self._records:
                record = self._records[upstream.name] = _Record()
                if upstream.is_ejected:
                    record.eject(now)

    def _readmit_excess(self, ready: list[str], now: float) -> None:
        """Readmits upstreams, the best first, if over half are ejected."""
        ejected = [n for n in ready if n in self.ejected]
        excess = len(ejected) - len(ready) // 2
        for name in sorted(ejected, key=self.failure_rate)[: max(excess, 0)]:
            self._records[name].readmit(now)

    def _eject_outliers(
        self, ready: list[str], silent: set[str], now: float
    ) -> None:
        for name in sorted(ready, key=self.failure_rate, reverse=True):
            ejected = self.ejected.intersection(ready)
            usable = set(ready) - ejected - silent - {name}
            if len(ejected) >= len(ready) // 2 or not usable:
                return
            if name not in ejected and self._is_outlier(name, ready):
                self._records[name].eject(now)

    def _is_outlier(self, name: str, ready: list[str]) -> bool:
        record = self._records[name]
        if record.outcomes < _MIN_OUTCOMES or record.failures < _MIN_FAILURES:
            return False
        others = [self._records[n].rate for n in ready if n != name]
        mean = sum(others) / len(others) if others else 0.0
        return record.rate > mean + _EJECT_ABOVE_RATE
