"""Who is suspected when many engines end, some by a request and some not.

Load pattern: a third of the engines end by themselves every 1.5 s in the mean,
with all that they serve; one request ends whatever begins it. Callers send
thirty requests again and again, word for word, and come back at once when they
are cut.
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
_CRASHING = _ENGINES // 3
_HARMLESS = 30
_SECONDS = 60.0
_ENDS_EVERY = 1.5
_AWAY = (2.5, 3.5)
_RUN = (0.05, 0.8)
# From the end of an engine until all fronts know whom it cut.
_TOLD_AFTER = 0.3
_HARMFUL = "harmful"


@attrs.define(eq=False)
class _Engine:
    starts: int = 0
    is_up: bool = True
    aboard: dict[int, str] = attrs.Factory(dict)


class _World:
    """Engines, callers and what is held against their requests."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.suspects = Suspects()
        self.now = 0.0
        self.ends_of_harmful = 0
        self.refused: list[str] = []
        self._count = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._engines = [_Engine() for _ in range(_ENGINES)]

    def play(self) -> None:
        """Plays the whole time."""
        for engine in self._engines[:_CRASHING]:
            self._crash_later(engine)
        for number in range(_HARMLESS):
            self._after(self.rng.random(), self._sender(f"r{number}"))
        self._after(1.0, self._sender(_HARMFUL))
        while self._events and self._events[0][0] < _SECONDS:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def _after(self, seconds: float, event: Callable[[], None]) -> None:
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
        engine.aboard[number] = request
        if request == _HARMFUL:
            self.ends_of_harmful += 1
            self._after(0.03, lambda: self._end(engine))
        else:
            seconds = self.rng.uniform(*_RUN)
            self._after(seconds, lambda: self._answer(engine, number))

    def _answer(self, engine: _Engine, number: int) -> None:
        request = engine.aboard.pop(number, None)
        if request is None:
            return
        fingerprint = _fingerprint(request)
        if self.suspects.ended_upstreams(fingerprint):
            self.suspects.clear([fingerprint])
        self._after(self.rng.uniform(0.0, 1.0), self._sender(request))

    def _crash_later(self, engine: _Engine) -> None:
        seconds = self.rng.expovariate(1 / _ENDS_EVERY)
        self._after(seconds, lambda: self._crash(engine))

    def _crash(self, engine: _Engine) -> None:
        self._end(engine)
        self._crash_later(engine)

    def _end(self, engine: _Engine) -> None:
        if not engine.is_up:
            return
        engine.is_up = False
        cut, engine.aboard = list(engine.aboard.values()), {}
        engine.starts += 1
        name = f"{self._engines.index(engine)}#{engine.starts}"
        told = [_fingerprint(request) for request in cut]
        self._after(_TOLD_AFTER, lambda: self.suspects.record_end(name, told))
        for request in cut:
            pause = self.rng.uniform(2.0, 4.0) if request == _HARMFUL else 0.0
            self._after(pause, self._sender(request))
        self._after(self.rng.uniform(*_AWAY), lambda: self._return(engine))

    def _return(self, engine: _Engine) -> None:
        engine.is_up = True


def _fingerprint(request: str) -> Fingerprint:
    return Fingerprint(request, request, f"{request} of its caller")


class TestLoad:
    @pytest.mark.parametrize("seed", range(50))
    def test_only_the_harmful_request_is_held_back(self, seed: int) -> None:
        world = _World(seed)
        world.play()
        assert set(world.refused) == {_HARMFUL}
        assert world.ends_of_harmful <= MIN_ENDS_FOR_QUARANTINE
