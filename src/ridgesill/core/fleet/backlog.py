"""What engines still have to read, and when they would begin something more.

Load pattern: a few long prompts among many short ones. An engine reads one
prompt at a time, so that its requests in progress say little of the wait: a
batch that makes tokens takes more at once, while one long prompt ahead makes
the next one late. The owner counts prompt tokens that it has sent there and of
which no first event has been heard.
"""

import attrs

# Tokens a second until an engine has shown how fast it reads; between the
# fastest and the slowest engines that the users have described.
_USUAL_RATE = 30_000.0
# Weight of the newest reading in an engine's rate.
_SMOOTHING = 0.1
# A reading shows the rate only when it is long enough for a step of the batch,
# some 30 ms, to matter little.
_TELLING_TOKENS = 2000
# Parts that were kept are not read, and make a reading look fast; a wait that
# nobody here knows of makes it look slow. Beyond this factor it is one of both.
_PLAUSIBLE = 2.0
# What a request takes beside its reading: a step of the batch, in seconds.
_STEP_SECONDS = 0.02
# A reading of which nothing is heard is forgotten after this many times what
# it should take, and so many seconds: its front is gone.
_LOST_FACTOR = 3.0
_LOST_SECONDS = 3.0


@attrs.define
class Reading:
    """A prompt that an engine has yet to read.

    Attributes:
        rank: the order among those that wait there; 0 goes first.
        sent_at: when it was sent, in seconds.
    """

    tokens: int
    rank: int
    sent_at: float


@attrs.define
class _EngineReadings:
    """One engine's readings, and how fast it reads."""

    rate: float = _USUAL_RATE
    readings: dict[str, Reading] = attrs.Factory(dict)
    # When the engine could begin the one that it reads now.
    free_at: float = 0.0


class Backlogs:
    """The readings of all engines."""

    def __init__(self) -> None:
        self._engines: dict[str, _EngineReadings] = {}

    def _of(self, engine: str) -> _EngineReadings:
        return self._engines.setdefault(engine, _EngineReadings())

    def read_seconds(self, engine: str, tokens: int) -> float:
        """Returns how long an engine takes to read a prompt."""
        return tokens / self._of(engine).rate + _STEP_SECONDS

    def rate(self) -> float:
        """Returns the mean rate of the engines, in tokens a second."""
        rates = [readings.rate for readings in self._engines.values()]
        return sum(rates) / len(rates) if rates else _USUAL_RATE

    def wait(self, engine: str, rank: int, now: float) -> float:
        """Returns seconds until an engine would begin to read something new.

        Args:
            engine: its name.
            rank: of what is new; those of a higher one wait for it, but for
                the one that is being read.
            now: the clock, in seconds.
        """
        known = self._of(engine)
        ahead = 0.0
        longest = 0.0
        for reading in known.readings.values():
            seconds = reading.tokens / known.rate
            if reading.rank <= rank:
                ahead += seconds
            else:
                longest = max(longest, seconds)
        if not known.readings:
            return 0.0
        # Half of one that is behind is still to be read, on average.
        ahead += longest / 2
        return max(ahead - max(now - known.free_at, 0.0), 0.0)

    def backlog(self, engine: str, now: float) -> float:
        """Returns seconds until an engine has read all that it was sent."""
        return self.wait(engine, 9, now)

    def begin(
        self, engine: str, request: str, tokens: int, rank: int, now: float
    ) -> None:
        """Notes a prompt that is sent to an engine."""
        known = self._of(engine)
        if not known.readings:
            known.free_at = now
        known.readings[request] = Reading(tokens, rank, now)

    def end(
        self, engine: str, request: str, now: float, *, was_read: bool
    ) -> None:
        """Notes a first event, or that none will come.

        Args:
            engine: its name; empty when the asker doesn't know it.
            request: the request's id.
            now: the clock, in seconds.
            was_read: whether its prompt was read.
        """
        if not engine:
            for known in self._engines.values():
                known.readings.pop(request, None)
            return
        known = self._of(engine)
        reading = known.readings.pop(request, None)
        if reading is None:
            return
        if was_read:
            self._learn(known, reading, now)
            known.free_at = now

    def _learn(
        self, known: _EngineReadings, reading: Reading, now: float
    ) -> None:
        seconds = now - max(known.free_at, reading.sent_at) - _STEP_SECONDS
        if reading.tokens < _TELLING_TOKENS or seconds <= 0:
            return
        rate = reading.tokens / seconds
        rate = min(max(rate, known.rate / _PLAUSIBLE), known.rate * _PLAUSIBLE)
        known.rate += _SMOOTHING * (rate - known.rate)

    def forget_lost(self, now: float) -> None:
        """Forgets readings of which nothing will be heard."""
        for known in self._engines.values():
            total = sum(r.tokens for r in known.readings.values()) / known.rate
            patience = _LOST_FACTOR * total + _LOST_SECONDS
            for request, reading in list(known.readings.items()):
                if now - reading.sent_at > patience:
                    del known.readings[request]

    def keep_only(self, engines: set[str]) -> None:
        """Forgets engines that are gone."""
        for name in list(self._engines):
            if name not in engines:
                del self._engines[name]
