"""What the upstreams of a plain service serve a second, from all reports.

Load pattern: four upstreams with six slots each serve 350 calls a second, and
get 507. Their queues fill up, and every call waits. With `N` requests in
progress and a mean time `R` of answers an upstream serves `max(slots, N) / R` a
second (Little's law): while slots are free `R` is the service time, and beyond
that it grows with the queue. One front sees too few of the answers; the owner
adds up the reports of all fronts.

A request's time depends on the queue that it met when it was sent. While a
queue grows, recent answers have met a shorter one: `N` of now would give up to
five times the capacity. So `N` is that of the time when they were sent.
"""

import collections
import math
from collections.abc import Collection, Mapping

import attrs

from ridgesill.core.fleet.ejection import Ejections
from ridgesill.core.fleet.messages import READY, Upstream
from ridgesill.core.serving.load_reports import UpstreamCalls

# Time constant of the moving means, in seconds: a slow period of 0.6 s has to
# show within 0.5 s, 0.3 s of which are the age of reports and the answers' own
# time.
_MEAN_SECONDS = 0.2
# Number of answers that a moving mean keeps however old they are. At 10 calls a
# second the window holds two, of which the mean would be noise. With eight, a
# slow period at 200 calls a second showed after up to 0.55 s.
_MIN_ANSWERS = 5.0
# Mean time from the end of an answer to the report of it, in seconds; fronts
# report ten times a second.
_REPORT_AGE_SECONDS = 0.1
# Age of the counts of requests in progress at an update, in seconds. They come
# with the reports, every 0.1 s. Taken as current, they are too low while a
# queue grows, and so is the capacity; with 0.05 s the capacity is too high.
_COUNT_AGE_SECONDS = 0.03
# Number of past counts of requests in progress that are kept, ten a second.
_KEPT_COUNTS = 64
# Number of service times for which an upstream may have requests in progress
# without an answer before it counts as silent, and the least such time, in
# seconds.
_SILENT_FACTOR = 4.0
_MIN_SILENT_SECONDS = 0.4
# Time without an answer from any upstream of a service after which nothing is
# inferred, in seconds: then reports are missing, not answers.
_NO_REPORTS_SECONDS = 0.25
# Time after which the answers in a report count in part, in seconds.
_REPORT_WINDOW_SECONDS = 0.5
# Bounds for a mean time in a report, in seconds, and for its factor to the
# known mean of the upstream; reports beyond the former are implausible.
_SHORTEST_SECONDS = 1e-4
_LONGEST_SECONDS = 120.0
_MAX_CHANGE_FACTOR = 4.0
# Number of answers in a report beyond which it is implausible, as a multiple of
# the upstream's capacity in the report's time; the least such number, and that
# number while the capacity is unknown.
_MAX_ANSWERS_FACTOR = 4.0
_MIN_IMPLAUSIBLE_ANSWERS = 50
_MAX_FIRST_ANSWERS = 10_000
# Step and bounds of paces, the difference from which on a pace changes, and the
# weight of the newest service time in the mean for it. Each change is sent to
# all fronts: without this mean service times that vary by 0.6 of themselves
# caused nine changes a second.
_PACE_DIGITS = 1
_MIN_PACE = 0.2
_MAX_PACE = 5.0
_MIN_PACE_CHANGE = 0.15
_PACE_SMOOTHING = 0.25


@attrs.frozen
class LoadState:
    """What fronts are told about an upstream.

    Attributes:
        pace: see `Upstream.pace`.
        is_ejected: see `Upstream.is_ejected`.
    """

    pace: float = 1.0
    is_ejected: bool = False


@attrs.define
class _Sums:
    """Sums over answers.

    Attributes:
        answered: number of answers.
        seconds: their total time.
        failed: number of failures.
    """

    answered: float = 0.0
    seconds: float = 0.0
    failed: int = 0


@attrs.define
class _Record:
    """Moving means and requests in progress of one upstream.

    Times are clock times, in seconds.

    Attributes:
        slots: number of requests that it processes at once.
        pace: pace that fronts have been told.
        answered: number of recent answers, decayed.
        seconds: their total time.
        work: sum over them of the slots in use when they were sent, or of the
            requests in progress if there were more.
        updated_at: time of the latest answers.
        pace_seconds: mean service time for the pace, in seconds; 0 if unknown.
        idle_at: latest time without requests in progress.
        counts: requests in progress by time.
        is_silent: whether it has requests in progress and answers none.
    """

    slots: int
    pace: float
    answered: float = 0.0
    seconds: float = 0.0
    work: float = 0.0
    updated_at: float = float("-inf")
    pace_seconds: float = 0.0
    idle_at: float = float("-inf")
    counts: collections.deque[tuple[float, int]] = attrs.Factory(
        lambda: collections.deque(maxlen=_KEPT_COUNTS)
    )
    is_silent: bool = False

    @property
    def capacity(self) -> float:
        """Answers a second that it can give; 0 if unknown."""
        return self.work / self.seconds if self.seconds else 0.0

    @property
    def service_seconds(self) -> float:
        """Time of an answer without waiting, in seconds; 0 if unknown."""
        return self.slots / self.capacity if self.work else 0.0

    @property
    def mean_seconds(self) -> float:
        """Mean time of recent answers, in seconds; 0 if unknown."""
        return self.seconds / self.answered if self.answered else 0.0

    def bound_seconds(self, seconds: float) -> float:
        """Bounds a mean time by the known one."""
        known = self.mean_seconds
        if self.answered < _MIN_ANSWERS:
            return seconds
        lowest, highest = known / _MAX_CHANGE_FACTOR, known * _MAX_CHANGE_FACTOR
        return min(max(seconds, lowest), highest)

    def record_count(self, in_progress: int, now: float) -> None:
        """Records the number of requests in progress now."""
        self.counts.append((now - _COUNT_AGE_SECONDS, in_progress))
        if not in_progress or self.idle_at == float("-inf"):
            self.idle_at = now

    def count_at(self, time: float) -> float:
        """Returns the number of requests in progress at an earlier time."""
        later = None
        for at, count in reversed(self.counts):
            if at <= time:
                if later is None:
                    return count
                part = (time - at) / (later[0] - at)
                return count + part * (later[1] - count)
            later = at, count
        return later[1] if later else 0

    def add_answers(self, answered: float, seconds: float, now: float) -> None:
        """Adds answers to the moving means.

        Args:
            answered: number of answers.
            seconds: their mean time.
            now: clock time, in seconds.
        """
        seconds = self.bound_seconds(seconds)
        if self.is_silent:
            # Requests that got no answer don't show how many others ran.
            self.counts.clear()
        met = self.count_at(now - _REPORT_AGE_SECONDS - seconds)
        kept = math.exp((self.updated_at - now) / _MEAN_SECONDS)
        if self.answered:
            kept = max(kept, min(_MIN_ANSWERS / self.answered, 1.0))
        self.answered = self.answered * kept + answered
        self.seconds = self.seconds * kept + answered * seconds
        self.work = self.work * kept + answered * max(self.slots, met)
        self.updated_at = now

    def update_silence(self, others_answered_at: float, now: float) -> None:
        """Updates whether the upstream is silent.

        Args:
            others_answered_at: time of the latest answer of another upstream.
            now: clock time, in seconds.
        """
        if not self.counts or not self.counts[-1][1]:
            self.is_silent = False
            return
        if now - others_answered_at > _NO_REPORTS_SECONDS:
            return
        expected = _SILENT_FACTOR * self.service_seconds
        patience = max(expected, _MIN_SILENT_SECONDS)
        self.is_silent = now - max(self.updated_at, self.idle_at) > patience

    def smooth_service_seconds(self) -> None:
        """Updates the mean service time for the pace."""
        if self.answered >= _MIN_ANSWERS:
            known = self.pace_seconds or self.service_seconds
            change = self.service_seconds - known
            self.pace_seconds = known + _PACE_SMOOTHING * change

    def update_pace(self, mean_seconds: float) -> None:
        """Updates the pace if it differs enough from the one told.

        Args:
            mean_seconds: mean service time over the service's upstreams.
        """
        pace = self.pace_seconds / mean_seconds
        pace = min(max(pace, _MIN_PACE), _MAX_PACE)
        if abs(pace - self.pace) >= _MIN_PACE_CHANGE:
            self.pace = round(pace, _PACE_DIGITS)


class ServiceCapacity:
    """Capacity, pace and ejection of the upstreams of one plain service.

    Attributes:
        capacity: answers a second that the usable upstreams can give; 0 if
            unknown.
        in_progress: number of requests in progress on them.
        slots: number of requests that they process at once.
    """

    def __init__(self) -> None:
        self.capacity = 0.0
        self.in_progress = 0
        self.slots = 0
        self.ejections = Ejections()
        self._records: dict[str, _Record] = {}
        self._pending: dict[str, _Sums] = {}

    def record(self, upstream: str, calls: UpstreamCalls, span: float) -> bool:
        """Records what a report says about an upstream.

        Args:
            upstream: name of the upstream.
            calls: outcomes of its requests.
            span: seconds that the report covers. The part older than the
                window isn't counted.

        Returns:
            Whether the report is plausible. Of an implausible one only what
            the upstream could have done is counted.
        """
        pending = self._pending.setdefault(upstream, _Sums())
        answered, seconds = calls.answered, calls.seconds
        most = self._max_answers(upstream, span)
        is_plausible = 0 <= answered <= most and calls.failed >= 0
        answered = min(max(answered, 0), most)
        pending.failed += min(max(calls.failed, 0), most)
        if answered:
            mean = seconds / calls.answered
            if not _SHORTEST_SECONDS <= mean <= _LONGEST_SECONDS:
                # Also true if it isn't a number.
                return False
            window = _REPORT_WINDOW_SECONDS
            counted = answered * (min(window / span, 1.0) if span else 1.0)
            pending.answered += counted
            pending.seconds += counted * mean
        return is_plausible

    def _max_answers(self, upstream: str, span: float) -> int:
        record = self._records.get(upstream)
        if record is None or not record.capacity:
            return _MAX_FIRST_ANSWERS
        most = _MAX_ANSWERS_FACTOR * record.capacity * span
        return max(int(most), _MIN_IMPLAUSIBLE_ANSWERS)

    def update(
        self,
        upstreams: Collection[Upstream],
        busy: Mapping[str, int],
        now: float,
    ) -> None:
        """Updates all estimates; called ten times a second.

        Args:
            upstreams: the upstreams of the service.
            busy: requests in progress by upstream, over all fronts.
            now: clock time, in seconds.
        """
        self._match_records(upstreams)
        for name, record in self._records.items():
            record.record_count(busy.get(name, 0), now)
        self._count_pending(now)
        self._update_silence(now)
        silent = {n for n, r in self._records.items() if r.is_silent}
        self.ejections.update(upstreams, silent, now)
        unusable = silent | self.ejections.ejected
        usable = [
            u.name
            for u in upstreams
            if u.state == READY and u.name not in unusable
        ]
        self._sum_up(usable, busy)
        self._update_paces(usable)

    def _match_records(self, upstreams: Collection[Upstream]) -> None:
        names = {upstream.name for upstream in upstreams}
        for name in self._records.keys() - names:
            del self._records[name]
        for upstream in upstreams:
            slots = max(upstream.slots, 1)
            record = self._records.get(upstream.name)
            if record is None:
                record = _Record(slots, upstream.pace)
                self._records[upstream.name] = record
            record.slots = slots

    def _count_pending(self, now: float) -> None:
        pending, self._pending = self._pending, {}
        for name, sums in pending.items():
            record = self._records.get(name)
            if record is None:
                continue
            if sums.answered:
                mean = sums.seconds / sums.answered
                record.add_answers(sums.answered, mean, now)
            succeeded = math.ceil(sums.answered)
            self.ejections.record(name, succeeded, sums.failed, now)

    def _update_silence(self, now: float) -> None:
        times = [record.updated_at for record in self._records.values()]
        latest = max(times, default=float("-inf"))
        for record in self._records.values():
            record.update_silence(latest, now)

    def _sum_up(self, usable: list[str], busy: Mapping[str, int]) -> None:
        """Sums up the usable upstreams.

        An upstream that hasn't answered yet counts as a mean one.
        """
        records = [self._records[name] for name in usable]
        known = [r.service_seconds for r in records if r.work]
        mean_seconds = sum(known) / len(known) if known else 0.0
        self.capacity = sum(
            r.capacity or r.slots / mean_seconds for r in records if known
        )
        self.slots = sum(record.slots for record in records)
        self.in_progress = sum(busy.get(name, 0) for name in usable)

    def _update_paces(self, usable: list[str]) -> None:
        records = [self._records[name] for name in usable]
        for record in records:
            record.smooth_service_seconds()
        known = [record for record in records if record.pace_seconds]
        if known:
            mean = sum(r.pace_seconds for r in known) / len(known)
            for record in known:
                record.update_pace(mean)

    def load_states(self) -> dict[str, LoadState]:
        """Returns what fronts should be told, by upstream."""
        ejected = self.ejections.ejected
        return {
            name: LoadState(record.pace, name in ejected)
            for name, record in self._records.items()
        }
