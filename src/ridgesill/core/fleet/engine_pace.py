"""How fast each engine is, from the gaps between events of streams.

Load pattern: one engine in four runs at half the speed of the others, and some
have slow periods of half a second. Prompts over 2,000 tokens are too rare to
tell: 0.4 a second for each engine. Every stream of a few events shows the pace,
and fronts report some ten of them a second for each engine.

The pace of an engine is its typical gap divided by the mean of its service's
engines. It follows what nearly all of the last short time slices agree on: a
slow period of one or two of them doesn't change it, and neither does one wrong
report. Streams on an engine that mostly reads prompts aren't counted: their
gaps tell its load rather than its speed.
"""

import bisect
import collections
import math
import statistics
from collections.abc import Collection, Mapping
from typing import Any

import attrs

from ridgesill.core.serving.load_reports import UpstreamCalls

# Length of the time slices, in seconds, and number of the latest ones with
# answers that count. A slice counts with its shortest gap, so a slow period of
# half a second changes two slices at most. A lasting change is seen after four.
_SLICE_SECONDS = 0.4
_SLICES = 5
# Number of slices that may disagree with the others, on either side.
_MAX_OUTLIERS = 1
# Least number of slices from which a pace is computed. Until then, a new engine
# keeps its first one.
_MIN_SLICES = 4
# Greatest share of its time that an engine may spend reading prompts for its
# streams to count, and the time over which that share is averaged, in seconds.
# Beyond 0.6, most events of a stream are delayed by a prompt. Without this
# bound, equal engines that read for 0.7 of their time got paces of 0.4 to 2.5,
# and 121 instead of 49 of 10,389 requests were late.
_MAX_READING_SHARE = 0.5
_READING_SHARE_SECONDS = 1.0
# Bounds of a pace, against errors of the measurement.
_MIN_PACE = 0.3
_MAX_PACE = 4.0
# Steps to which paces are rounded, and the least difference of the slices from
# a pace that changes it: every change is sent to all fronts.
_PACE_DIGITS = 1
_MIN_CHANGE = 0.08
# Greatest factor between a plausible typical gap and that of the service. A
# slow engine in a slow period takes 4.2 times as long as the mean.
_MAX_PLAUSIBLE_FACTOR = 8.0
# The same bounds while the gap of the service is unknown, in seconds.
_MIN_PLAUSIBLE_GAP = 0.0002
_MAX_PLAUSIBLE_GAP = 5.0
# Multiple of the typical gap from which the longest gap of a stream is taken to
# be caused by a long prompt. Short prompts and slow periods alone cause up to
# 2.5 times the typical gap.
_LONG_GAP_FACTOR = 2.5
# The latest such gaps that are kept, and the least number of them.
_KEPT_LONG_GAPS = 256
_MIN_LONG_GAPS = 10
# Weight of the newest prompt in a pace that is learned from reading times.
_READING_WEIGHT = 0.1


@attrs.define
class _EngineRecord:
    """What is known of one engine.

    Attributes:
        service: name of its service; empty until a stream was reported.
        pace: its pace, rounded.
        gaps: shortest typical gap in each of the latest time slices, in
            seconds.
        shortest: the same of the current slice; infinite if it is empty.
        slice_began_at: clock time at which the current slice began.
    """

    service: str = ""
    pace: float = 1.0
    gaps: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=_SLICES)
    )
    shortest: float = math.inf
    slice_began_at: float = 0.0

    @property
    def is_measured(self) -> bool:
        """Whether there are enough slices to tell the pace."""
        return len(self.gaps) >= _MIN_SLICES

    def record(self, gap: float, now: float) -> None:
        """Adds the typical gap of streams, in seconds."""
        self.close_slice(now)
        if math.isinf(self.shortest):
            self.slice_began_at = now
        self.shortest = min(self.shortest, gap)

    def close_slice(self, now: float) -> None:
        """Ends the current slice if it has streams and is over."""
        is_over = now >= self.slice_began_at + _SLICE_SECONDS
        if is_over and not math.isinf(self.shortest):
            self.gaps.append(self.shortest)
            self.shortest = math.inf

    def update_pace(self, service_gap: float) -> None:
        """Changes the pace if nearly all slices disagree with it.

        Args:
            service_gap: typical gap at pace 1, in seconds.
        """
        paces = sorted(gap / service_gap for gap in self.gaps)
        low, high = paces[_MAX_OUTLIERS], paces[-1 - _MAX_OUTLIERS]
        if low - _MIN_CHANGE <= self.pace <= high + _MIN_CHANGE:
            return
        pace = min(max(statistics.median(paces), _MIN_PACE), _MAX_PACE)
        self.pace = round(pace, _PACE_DIGITS)


@attrs.define
class _ReadingShare:
    """The share of its time in which an engine has read prompts lately.

    Attributes:
        share: the share, from 0 to about 1.
        updated_at: clock time of the last prompt that was read.
    """

    share: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """Returns the share at a time."""
        age = max(now - self.updated_at, 0.0)
        return self.share * math.exp(-age / _READING_SHARE_SECONDS)

    def record(self, seconds: float, now: float) -> None:
        """Adds a prompt that took some seconds to read."""
        self.share = self.at(now) + seconds / _READING_SHARE_SECONDS
        self.updated_at = now


@attrs.define
class _ServiceRecord:
    """What is known of the engines of one service together.

    Attributes:
        gap: typical gap at pace 1, in seconds; 0 if unknown.
        long_ratios: longest gaps beside long prompts, as multiples of the
            typical gap of the same streams.
        sorted_ratios: these in ascending order, as of the last update; empty
            while there are too few.
    """

    gap: float = 0.0
    long_ratios: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=_KEPT_LONG_GAPS)
    )
    sorted_ratios: list[float] = attrs.Factory(list)

    def update_ratios(self) -> None:
        """Sorts the longest gaps beside long prompts."""
        if len(self.long_ratios) >= _MIN_LONG_GAPS:
            self.sorted_ratios = sorted(self.long_ratios)

    def share_above(self, gap: float, pace: float) -> float:
        """Returns the share of longest gaps that exceed a gap at a pace."""
        count = len(self.sorted_ratios)
        if not count or not self.gap:
            return 0.0
        ratio = gap / (self.gap * pace)
        return 1 - bisect.bisect_right(self.sorted_ratios, ratio) / count


class EnginePaces:
    """The paces of all engines, and the pauses that long prompts cause.

    An engine's pace is the time that it takes for the same work, as a multiple
    of the mean of its service. For engines without reported streams it is
    learned from the reading times of their prompts instead.
    """

    def __init__(self) -> None:
        self._engines: dict[str, _EngineRecord] = {}
        self._services: dict[str, _ServiceRecord] = {}
        self._reading_shares: dict[str, _ReadingShare] = {}
        # Paces of engines without reported streams, by their reading times.
        self._reading_paces: dict[str, float] = {}

    # -- observations --------------------------------------------------

    def record_calls(
        self,
        service: str,
        engine: str,
        calls: UpstreamCalls,
        max_streams: float,
        now: float,
    ) -> bool:
        """Records what fronts report on the streams of an engine.

        Args:
            service: the engine's service.
            engine: name of the engine.
            calls: the report.
            max_streams: the largest number of streams that the engine can have
                ended in the time of the report.
            now: clock time, in seconds.

        Returns:
            Whether the figures were plausible. Others are bounded; figures
            that contradict each other aren't counted.
        """
        if _is_empty(calls):
            return True
        if not _is_consistent(calls):
            return False
        together = self._services.setdefault(service, _ServiceRecord())
        gap = calls.typical_gaps / calls.paced
        shortest, longest = _plausible_gaps(together.gap)
        bounded = min(max(gap, shortest), longest)
        if not self._mostly_reads(engine, now):
            record = self._find_record(engine)
            record.service = service
            record.record(bounded, now)
            ratio = calls.longest_gaps / calls.typical_gaps
            if ratio >= _LONG_GAP_FACTOR:
                together.long_ratios.append(ratio)
        return bounded == gap and calls.paced <= max_streams

    def _mostly_reads(self, engine: str, now: float) -> bool:
        reading = self._reading_shares.get(engine)
        return reading is not None and reading.at(now) > _MAX_READING_SHARE

    def record_read(self, engine: str, seconds: float, now: float) -> None:
        """Records that an engine has read a prompt.

        Args:
            engine: name of the engine.
            seconds: predicted time that it took for it.
            now: clock time, in seconds.
        """
        reading = self._reading_shares.setdefault(engine, _ReadingShare())
        reading.record(seconds, now)

    def record_reading(self, engine: str, ratio: float) -> None:
        """Records how long an engine took to read a prompt.

        This changes only the pace of an engine without reported streams.

        Args:
            engine: name of the engine.
            ratio: the time that it took divided by the one expected.
        """
        if self._is_known_by_streams(engine):
            return
        factor = 1 + _READING_WEIGHT * (ratio - 1)
        self._reading_paces[engine] = self.pace(engine) * factor

    def adopt(self, engine: str, pace: float) -> None:
        """Takes over a pace that an earlier owner has found."""
        if math.isfinite(pace) and pace != 1.0:
            pace = min(max(pace, _MIN_PACE), _MAX_PACE)
            self._find_record(engine).pace = pace

    def _find_record(self, engine: str) -> _EngineRecord:
        return self._engines.setdefault(engine, _EngineRecord())

    def _is_known_by_streams(self, engine: str) -> bool:
        record = self._engines.get(engine)
        if record is None:
            return False
        return record.is_measured or record.pace != 1.0

    # -- paces ---------------------------------------------------------

    def update(
        self, services: Mapping[str, Collection[str]], now: float
    ) -> None:
        """Updates the paces of all engines.

        Args:
            services: names of the engines by service; others are discarded.
            now: clock time, in seconds.
        """
        self.discard_except({e for names in services.values() for e in names})
        for service, engines in services.items():
            self._update_service(service, engines, now)
        for service in self._services.keys() - services.keys():
            del self._services[service]

    def _update_service(
        self, service: str, engines: Collection[str], now: float
    ) -> None:
        together = self._services.get(service)
        if together is None:
            return
        gaps: dict[str, float] = {}
        other_paces = 0.0
        for engine in engines:
            record = self._find_record(engine)
            record.close_slice(now)
            if record.is_measured:
                gaps[engine] = statistics.median(record.gaps)
            else:
                other_paces += record.pace
        if not gaps:
            return
        # The mean over all engines, those that aren't measured with the paces
        # that they have. Otherwise a new owner that has measured a few engines
        # would take these for the mean.
        parts = max(len(engines) - other_paces, _MIN_PACE * len(gaps))
        together.gap = sum(gaps.values()) / parts
        for engine in gaps:
            self._find_record(engine).update_pace(together.gap)
        together.update_ratios()

    def pace(self, engine: str) -> float:
        """Returns an engine's pace; 1 while nothing is known of it."""
        if self._is_known_by_streams(engine):
            return self._engines[engine].pace
        known = self._reading_paces.get(engine)
        if known is not None:
            return known
        return self.mean_pace()

    def published_pace(self, engine: str) -> float:
        """Returns the pace by streams alone, for the fronts."""
        record = self._engines.get(engine)
        return 1.0 if record is None else record.pace

    def mean_pace(self) -> float:
        """Returns the pace of an average engine.

        It is 1 by definition, unless all paces come from reading times.
        """
        is_measured = any(s.gap for s in self._services.values())
        if is_measured or not self._reading_paces:
            return 1.0
        return statistics.fmean(self._reading_paces.values())

    def late_pause_share(self, engine: str, pause_goal: float) -> float:
        """Returns how many streams beside a long prompt pause too long.

        Prompts of other requests are read at the same time, so that the longest
        gap varies: on an engine where it is 0.28 s on average, two in five
        streams pause for over 0.3 s.

        Args:
            engine: name of the engine.
            pause_goal: the longest pause of a stream in time, in seconds.

        Returns:
            Their share of the engine's streams, from 0 to 1; 0 if unknown.
        """
        record = self._engines.get(engine)
        if record is None:
            return 0.0
        together = self._services.get(record.service)
        if together is None:
            return 0.0
        return together.share_above(pause_goal, record.pace)

    def discard_except(self, engines: Collection[str]) -> None:
        """Discards all engines but the given ones."""
        _keep_only(self._engines, engines)
        _keep_only(self._reading_shares, engines)
        _keep_only(self._reading_paces, engines)

    def clear(self) -> None:
        """Discards everything."""
        self._engines.clear()
        self._services.clear()
        self._reading_shares.clear()
        self._reading_paces.clear()


def _is_empty(calls: UpstreamCalls) -> bool:
    return not (calls.paced or calls.typical_gaps or calls.longest_gaps)


def _is_consistent(calls: UpstreamCalls) -> bool:
    """Whether the sums of a report can come from any streams at all."""
    if calls.paced < 1 or not math.isfinite(calls.longest_gaps):
        return False
    return 0 < calls.typical_gaps <= calls.longest_gaps


def _plausible_gaps(service_gap: float) -> tuple[float, float]:
    """Returns the least and the greatest plausible typical gap, in seconds.

    Args:
        service_gap: the typical gap of the service; 0 if unknown.
    """
    if not service_gap:
        return _MIN_PLAUSIBLE_GAP, _MAX_PLAUSIBLE_GAP
    return (
        service_gap / _MAX_PLAUSIBLE_FACTOR,
        service_gap * _MAX_PLAUSIBLE_FACTOR,
    )


def _keep_only(entries: dict[str, Any], names: Collection[str]) -> None:
    for name in entries.keys() - set(names):
        del entries[name]
