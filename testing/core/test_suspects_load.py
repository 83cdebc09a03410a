"""Tests that only a harmful request is quarantined when many engines crash.

Load pattern: each of a third of the engines crashes every 1.5 s on average,
independent of its requests, and one request crashes every engine that runs it.
Callers send the same thirty requests repeatedly, and retry harmless ones at
once when an engine crashes.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs
import pytest

from ridgesill.core.serving.fingerprints import Fingerprint
from ridgesill.core.suspects import MIN_ENDS_FOR_QUARANTINE, Suspects

_ENGINES = 12
_CRASHING_ENGINES = _ENGINES // 3
_HARMLESS_REQUESTS = 30
_DURATION_SECONDS = 60.0
_MEAN_SECONDS_TO_CRASH = 1.5
_RESTART_SECONDS_RANGE = (2.5, 3.5)
_RUN_SECONDS_RANGE = (0.05, 0.8)
# The time from the crash of an engine until all fronts know the requests that
# it was running.
_REPORT_DELAY_SECONDS = 0.3
_HARMFUL = "harmful"


@attrs.define(eq=False)
class _SimulatedEngine:
    starts: int = 0
    is_up: bool = True
    in_flight: dict[int, str] = attrs.Factory(dict)


class _Simulation:
    """Simulated engines and callers, and the suspects counted for them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.suspects = Suspects()
        self.now = 0.0
        self.harmful_runs = 0
        self.refused: list[str] = []
        self._count = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._engines = [_SimulatedEngine() for _ in range(_ENGINES)]

    def run(self) -> None:
        """Runs the simulation to its end."""
        for engine in self._engines[:_CRASHING_ENGINES]:
            self._schedule_crash(engine)
        for number in range(_HARMLESS_REQUESTS):
            self._schedule(self.rng.random(), self._sender(f"r{number}"))
        self._schedule(1.0, self._sender(_HARMFUL))
        while self._events and self._events[0][0] < _DURATION_SECONDS:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def _schedule(self, seconds: float, event: Callable[[], None]) -> None:
        at = self.now + seconds
        heapq.heappush(self._events, (at, next(self._count), event))

    def _sender(self, request: str) -> Callable[[], None]:
        return lambda: self._send(request)

    def _send(self, request: str) -> None:
        if (
            len(self.suspects.ended_upstreams(_fingerprint(request)))
            >= MIN_ENDS_FOR_QUARANTINE
        ):
            self.refused.append(request)
            return
        engine = self.rng.choice([e for e in self._engines if e.is_up])
        number = next(self._count)
        engine.in_flight[number] = request
        if request == _HARMFUL:
            self.harmful_runs += 1
            self._schedule(0.03, lambda: self._end(engine))
        else:
            seconds = self.rng.uniform(*_RUN_SECONDS_RANGE)
            self._schedule(seconds, lambda: self._answer(engine, number))

    def _answer(self, engine: _SimulatedEngine, number: int) -> None:
        request = engine.in_flight.pop(number, None)
        if request is None:
            return
        fingerprint = _fingerprint(request)
        if self.suspects.ended_upstreams(fingerprint):
            self.suspects.clear([fingerprint])
        self._schedule(self.rng.uniform(0.0, 1.0), self._sender(request))

    def _schedule_crash(self, engine: _SimulatedEngine) -> None:
        seconds = self.rng.expovariate(1 / _MEAN_SECONDS_TO_CRASH)
        self._schedule(seconds, lambda: self._crash(engine))

    def _crash(self, engine: _SimulatedEngine) -> None:
        self._end(engine)
        self._schedule_crash(engine)

    def _end(self, engine: _SimulatedEngine) -> None:
        if not engine.is_up:
            return
        engine.is_up = False
        cut_requests, engine.in_flight = list(engine.in_flight.values()), {}
        engine.starts += 1
        name = f"{self._engines.index(engine)}#{engine.starts}"
        cut_fingerprints = [_fingerprint(request) for request in cut_requests]
        self._schedule(
            _REPORT_DELAY_SECONDS,
            lambda: self.suspects.record_end(name, cut_fingerprints),
        )
        for request in cut_requests:
            pause = self.rng.uniform(2.0, 4.0) if request == _HARMFUL else 0.0
            self._schedule(pause, self._sender(request))
        self._schedule(
            self.rng.uniform(*_RESTART_SECONDS_RANGE),
            lambda: self._restart(engine),
        )

    def _restart(self, engine: _SimulatedEngine) -> None:
        engine.is_up = True


def _fingerprint(request: str) -> Fingerprint:
    return Fingerprint(request, request, f"{request} of its caller")


class TestQuarantineUnderLoad:
    @pytest.mark.parametrize("seed", range(50))
    def test_only_the_harmful_request_is_quarantined(self, seed: int) -> None:
        world = _Simulation(seed)
        world.run()
        assert set(world.refused) == {_HARMFUL}
        assert world.harmful_runs <= MIN_ENDS_FOR_QUARANTINE
