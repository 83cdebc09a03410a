"""Emulated upstreams of a plain service: slots, a bounded queue, faults."""

import collections
import math
import random
from collections.abc import Callable

import attrs

# Log-normal service times, with some that take several times as long.
_SPREAD = 0.5
_LONG_SHARE = 0.01
_LONG_FACTOR = 5.0

LOST = "lost"
RESETS = "resets"
SLOW = "slow"

ANSWERED = "answered"
REJECTED = "rejected"
FAILED = "failed"

Schedule = Callable[[float, Callable[[float], None]], None]
"""Schedules a callback for a time, which it is called with."""
Respond = Callable[[str, float], None]
"""Called with the outcome of a request and the time."""


@attrs.frozen
class UpstreamFault:
    """A fault of one upstream.

    Attributes:
        upstream: number of the upstream, from 0.
        at: start, in seconds.
        seconds: duration.
        kind: `LOST` (the process ends), `RESETS` (every request fails at once)
            or `SLOW`.
        factor: multiple of the service time of a slow upstream.
    """

    upstream: int
    at: float
    seconds: float = float("inf")
    kind: str = LOST
    factor: float = 2.5

    def is_active(self, now: float) -> bool:
        """Whether the fault lasts now."""
        return self.at <= now < self.at + self.seconds


class PlainUpstream:
    """A process that serves some requests at once and queues some more.

    Args:
        name: unique name.
        slots: requests served at once.
        queue: longest queue; beyond it requests are rejected.
        service_seconds: mean service time.
        faults: its faults.
        rng: draws service times.
        schedule: schedules the ends of requests.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        queue: int,
        service_seconds: float,
        faults: tuple[UpstreamFault, ...],
        rng: random.Random,
        schedule: Schedule,
    ) -> None:
        self.name = name
        self.slots = slots
        self.faults = faults
        self._queue = queue
        self._service_seconds = service_seconds
        self._rng = rng
        self._schedule = schedule
        # In order of their start: that of a set changes from run to run.
        self._running: dict[Respond, None] = {}
        self._waiting: collections.deque[Respond] = collections.deque()

    def has_fault(self, kind: str, now: float) -> bool:
        """Whether a fault of a kind lasts now."""
        return any(f.kind == kind and f.is_active(now) for f in self.faults)

    def handle(self, respond: Respond, now: float) -> None:
        """Takes a request; responds now or once it is served."""
        if self.has_fault(LOST, now) or self.has_fault(RESETS, now):
            respond(FAILED, now)
        elif len(self._running) < self.slots:
            self._start(respond, now)
        elif len(self._waiting) < self._queue:
            self._waiting.append(respond)
        else:
            respond(REJECTED, now)

    def fail_all(self, now: float) -> None:
        """Fails the requests that run and wait."""
        failed = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for respond in failed:
            respond(FAILED, now)

    def _start(self, respond: Respond, now: float) -> None:
        self._running[respond] = None
        self._schedule(
            now + self._draw_seconds(now), lambda at: self._end(respond, at)
        )

    def _end(self, respond: Respond, now: float) -> None:
        if respond not in self._running:
            # It has failed in the meantime.
            return
        del self._running[respond]
        if self._waiting:
            self._start(self._waiting.popleft(), now)
        respond(ANSWERED, now)

    def _draw_seconds(self, now: float) -> float:
        mean_factor = math.exp(_SPREAD**2 / 2)
        mean_factor *= 1 + _LONG_SHARE * (_LONG_FACTOR - 1)
        seconds = self._rng.lognormvariate(0.0, _SPREAD) / mean_factor
        if self._rng.random() < _LONG_SHARE:
            seconds *= _LONG_FACTOR
        for fault in self.faults:
            if fault.kind == SLOW and fault.is_active(now):
                seconds *= fault.factor
        return seconds * self._service_seconds
