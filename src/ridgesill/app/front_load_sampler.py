"""Samples how loaded a front is, from the runtime and the kernel."""

import asyncio
import os
import time

from eliot import log_message

from ridgesill.adapters.http1.server import HttpListener
from ridgesill.core.serving.front_load import FrontLoad, LoadSample

# Time between two samples, in seconds. A front is full once four in a row show
# too long a lag.
_INTERVAL_SECONDS = 0.1
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
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class FrontLoadSampler:
    """Samples the load of this process ten times a second.

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
        while True:
            due = self._loop.time() + _INTERVAL_SECONDS
            await asyncio.sleep(_INTERVAL_SECONDS)
            now = self._loop.time()
            self._record(now, max(now - due, 0.0))

    def _record(self, now: float, lag_seconds: float) -> None:
        """Takes a sample and logs when the front becomes full or has room.

        Args:
            now: the loop's clock, in seconds.
            lag_seconds: how late the loop ran the timer for this sample.
        """
        was_full = self._load.is_full
        sample = LoadSample(
            now,
            lag_seconds,
            time.process_time(),
            self._measure_memory(now),
            self._count_descriptors(now),
            self._measure_link_backlog(now),
        )
        self._load.record(sample)
        self._listener.is_crowded = self._load.lacks_descriptors
        if self._load.is_full != was_full:
            self._log(sample)

    def _log(self, sample: LoadSample) -> None:
        log_message(
            "front:full" if self._load.is_full else "front:has_room",
            refused_share=round(self._load.refused_share, 3),
            lag=round(sample.lag_seconds, 4),
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
