"""Samples how loaded a front is, from the runtime and the kernel."""

import asyncio
import os
import time

from eliot import log_message

from ridgesill.adapters.http1.server import HttpListener
from ridgesill.core.serving.front_load import FrontLoad, LoadSample

# Time between two samples, in seconds. A front is full once four in a row show
# too long a turn of the loop. After a late sample the next one may come sooner,
# so that a short front is noticed within half a second.
_INTERVAL_SECONDS = 0.1
_MIN_INTERVAL_SECONDS = 0.05
# Time between two samples while the loop is hardly ever late, and the lateness
# up to which it is so, in seconds. Ten samples a second cost a calm front 5% of
# the processor time that its requests take.
_CALM_INTERVAL_SECONDS = 0.2
_CALM_LAG_SECONDS = 0.01
# Times between two measurements of resident memory and of descriptors, in
# seconds. Listing 4,000 descriptors takes over a millisecond, so that changes
# between two measurements are taken from the number of client connections.
_MEMORY_INTERVAL_SECONDS = 0.5
_DESCRIPTORS_INTERVAL_SECONDS = 5.0
# Shortest and longest time between two scans of the clients' connections, in
# seconds, and the least multiple of a scan's own time. A scan of 1,000
# connections with answers takes 10 ms, of idle ones less than 1 ms; scans may
# take 2% of a core.
_SCAN_INTERVAL_SECONDS = 0.05
_MAX_SCAN_INTERVAL_SECONDS = 0.5
_SCAN_INTERVAL_FACTOR = 50
# Time until a front without limits checks for them again, in seconds.
_IDLE_INTERVAL_SECONDS = 1.0
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class FrontLoadSampler:
    """Samples the load of this process five to ten times a second.

    A turn of the event loop that takes longer than the interval is noticed when
    it ends.

    Args:
        load: receives the samples.
        listener: accepts the clients' connections.
    """

    def __init__(self, load: FrontLoad, listener: HttpListener) -> None:
        self._load = load
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._memory_bytes = 0.0
        self._memory_due = 0.0
        # Descriptors other than those of clients' connections.
        self._other_descriptors = 0
        self._descriptors_due = 0.0
        self._connections_due = 0.0

    async def run(self) -> None:
        """Samples until cancelled."""
        due = self._loop.time() + _INTERVAL_SECONDS
        while True:
            turn_seconds = await self._measure_turn()
            seconds_left = due - self._loop.time()
            if seconds_left > 0:
                await asyncio.sleep(seconds_left)
            now = self._loop.time()
            if self._is_needed():
                lag_seconds = max(now - due, 0.0)
                self._record(now, lag_seconds, turn_seconds)
                interval = self._choose_interval(lag_seconds, turn_seconds)
                due = max(due + interval, now + _MIN_INTERVAL_SECONDS)
            else:
                due = now + _IDLE_INTERVAL_SECONDS

    def _choose_interval(
        self, lag_seconds: float, turn_seconds: float
    ) -> float:
        """Returns the time until the next sample, in seconds."""
        is_late = max(lag_seconds, turn_seconds) > _CALM_LAG_SECONDS
        readers = self._listener.slow_readers
        # A narrow link has to show in two scans within half a second.
        has_backlog = readers is not None and readers.last_backlog > 0
        if is_late or has_backlog or self._load.is_full:
            return _INTERVAL_SECONDS
        return _CALM_INTERVAL_SECONDS

    def _is_needed(self) -> bool:
        """Whether anything acts on the samples."""
        return (
            self._load.is_enabled
            or self._load.is_full
            or self._listener.is_crowded
            or self._listener.slow_readers is not None
        )

    async def _measure_turn(self) -> float:
        """Returns the time that one turn of the event loop takes, in seconds.

        Unlike a timer's lag, it has no part of the time for which the process
        was stopped while it waited for events.
        """
        began = self._loop.time()
        await asyncio.sleep(0)
        return self._loop.time() - began

    def _record(
        self, now: float, lag_seconds: float, turn_seconds: float
    ) -> None:
        """Takes a sample and logs what has changed with it.

        Args:
            now: the loop's clock, in seconds.
            lag_seconds: how late the loop ran the timer for this sample.
            turn_seconds: time that a turn of the loop took before it.
        """
        was_full = self._load.is_full
        was_clock_usable = self._load.is_clock_usable
        sample = LoadSample(
            now,
            lag_seconds,
            time.process_time(),
            self._measure_memory(now),
            self._count_descriptors(now),
            self._measure_link_backlog(now),
            turn_seconds,
        )
        self._load.record(sample)
        self._listener.is_crowded = self._load.lacks_descriptors
        if was_clock_usable and not self._load.is_clock_usable:
            self._log_clock()
        if self._load.is_full != was_full:
            self._log(sample)

    def _log_clock(self) -> None:
        log_message(
            "front:processor_clock",
            use=round(self._load.processor_use, 3),
            limit=self._load.processor_limit,
        )

    def _log(self, sample: LoadSample) -> None:
        log_message(
            "front:full" if self._load.is_full else "front:has_room",
            refused_share=round(self._load.refused_share, 3),
            lag=round(sample.lag_seconds, 4),
            turn=round(sample.delay_seconds, 4),
            processor=round(self._load.processor_use, 3),
            memory=sample.memory_bytes,
            descriptors=sample.descriptors,
            waiting=sample.waiting_bytes,
        )

    def _measure_memory(self, now: float) -> float:
        """Returns the resident memory, in bytes."""
        if now >= self._memory_due:
            self._memory_due = now + _MEMORY_INTERVAL_SECONDS
            with open("/proc/self/statm", "rb") as statm:
                resident_pages = int(statm.read().split()[1])
            self._memory_bytes = float(resident_pages * _PAGE_BYTES)
        return self._memory_bytes

    def _count_descriptors(self, now: float) -> int:
        """Returns the number of open file descriptors."""
        connections = len(self._listener.connections)
        if now >= self._descriptors_due:
            self._descriptors_due = now + _DESCRIPTORS_INTERVAL_SECONDS
            opened = len(os.listdir("/proc/self/fd"))
            self._other_descriptors = opened - connections
        return self._other_descriptors + connections

    def _measure_link_backlog(self, now: float) -> float:
        """Bounds what slow readers hold; returns the bytes at the link."""
        readers = self._listener.slow_readers
        if readers is None:
            return 0.0
        if now >= self._connections_due:
            began = time.process_time()
            readers.scan(self._listener.connections, now)
            interval = _SCAN_INTERVAL_FACTOR * (time.process_time() - began)
            self._connections_due = now + min(
                max(interval, _SCAN_INTERVAL_SECONDS),
                _MAX_SCAN_INTERVAL_SECONDS,
            )
        return readers.link_backlog
