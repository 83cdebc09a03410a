"""What engines still have to read, and when they would begin something more.

Load pattern: a few long prompts among many short ones. An engine reads one
prompt at a time, so that its requests in progress say little of the wait: a
batch that makes tokens takes more at once, while one long prompt ahead makes
the next one late. The owner counts prompts that it has sent there and of
which no first event has been heard, and those that will go there once the
adapter that they wait for is loaded.
"""

import attrs

from ridgesill.core.fleet.reading_time import ReadingTimes

# What a request takes beside its reading: a step of the batch, in seconds.
_STEP_SECONDS = 0.02
# A reading of which nothing is heard is forgotten after this many times what
# it should take, and so many seconds: its front is gone.
_LOST_FACTOR = 3.0
_LOST_SECONDS = 3.0


@attrs.frozen
class Reading:
    """A prompt that an engine has yet to read.

    Attributes:
        tokens: of the prompt.
        seconds: that the engine should take for it.
        rank: the order among those that wait there; 0 goes first.
        sent_at: when it was sent, or will be once its adapter is there.
    """

    tokens: int
    seconds: float
    rank: int
    sent_at: float


@attrs.define
class _Queue:
    """What one engine has to read.

    Attributes:
        sent: by request, in order of arrival.
        promised: by request; these wait for a load.
        current: the request whose prompt is being read, as far as is known.
        began_at: when the engine could begin it.
    """

    sent: dict[str, Reading] = attrs.Factory(dict)
    promised: dict[str, Reading] = attrs.Factory(dict)
    current: str = ""
    began_at: float = 0.0

    def advance(self, now: float) -> None:
        """Has the engine begin the next one: by rank, then by arrival."""
        # min() keeps the first of equal ranks.
        self.current = min(
            self.sent, key=lambda name: self.sent[name].rank, default=""
        )
        self.began_at = now

    def promised_until(self, moment: float) -> list[Reading]:
        """Returns what will have been sent by a moment, in order of time."""
        soon = [r for r in self.promised.values() if r.sent_at <= moment]
        return sorted(soon, key=lambda reading: reading.sent_at)

    def left_of_current(self, now: float) -> float:
        """Returns seconds until what is being read is read."""
        reading = self.sent.get(self.current)
        if reading is None:
            return 0.0
        return max(reading.seconds - max(now - self.began_at, 0.0), 0.0)


class Backlogs:
    """The readings of all engines."""

    def __init__(self) -> None:
        self._queues: dict[str, _Queue] = {}
        self._times = ReadingTimes()

    def _of(self, engine: str) -> _Queue:
        return self._queues.setdefault(engine, _Queue())

    def read_seconds(self, engine: str, tokens: int) -> float:
        """Returns how long an engine takes to read a prompt."""
        return self._times.seconds(engine, tokens) + _STEP_SECONDS

    def mean_read_seconds(self, tokens: int) -> float:
        """Returns how long the engines take to read a prompt on average."""
        return self._times.mean_seconds(tokens) + _STEP_SECONDS

    def wait_seconds(
        self, engine: str, rank: int, now: float, arrives_in: float = 0.0
    ) -> float:
        """Returns seconds until an engine would begin to read something new.

        Args:
            engine: its name.
            rank: of what is new; those of a higher one wait for it, but for
                the one that is being read.
            now: the clock, in seconds.
            arrives_in: seconds until it is sent there; what is promised to
                come before that is ahead of it.

        Returns:
            Seconds from when it is sent.
        """
        queue = self._queues.get(engine)
        if queue is None:
            return 0.0
        free_at = now + queue.left_of_current(now)
        for name, reading in queue.sent.items():
            if name != queue.current and reading.rank <= rank:
                free_at += reading.seconds
        arrives_at = now + arrives_in
        for reading in queue.promised_until(arrives_at):
            if reading.rank <= rank:
                free_at = max(free_at, reading.sent_at) + reading.seconds
        return max(free_at - arrives_at, 0.0)

    def backlog_seconds(self, engine: str, now: float) -> float:
        """Returns seconds until an engine has read all that it was sent."""
        return self.wait_seconds(engine, 9, now)

    def record_sent(
        self, engine: str, request: str, tokens: int, rank: int, now: float
    ) -> None:
        """Notes a prompt that is sent to an engine."""
        queue = self._of(engine)
        self.release(request)
        queue.sent[request] = self._make(engine, tokens, rank, now)
        if not queue.current:
            queue.advance(now)

    def _make(
        self, engine: str, tokens: int, rank: int, sent_at: float
    ) -> Reading:
        seconds = self._times.seconds(engine, tokens)
        return Reading(tokens, seconds, rank, sent_at)

    def reserve(
        self, engine: str, request: str, tokens: int, rank: int, sent_at: float
    ) -> None:
        """Notes a prompt that will go to an engine once its adapter is there.

        Without it two long prompts that miss within one load's time are both
        given the same idle engine, and the second is late.
        """
        reading = self._make(engine, tokens, rank, sent_at)
        self._of(engine).promised[request] = reading

    def release(self, request: str) -> None:
        """Forgets what was promised."""
        for queue in self._queues.values():
            queue.promised.pop(request, None)

    def record_ended(
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
            for name in self._queues:
                self._end(name, request, now, was_read=False)
            return
        self._end(engine, request, now, was_read=was_read)

    def _end(
        self, engine: str, request: str, now: float, *, was_read: bool
    ) -> None:
        queue = self._of(engine)
        reading = queue.sent.pop(request, None)
        if reading is None:
            return
        if was_read:
            began_at = max(queue.began_at, reading.sent_at)
            seconds = now - began_at - _STEP_SECONDS
            self._times.record(engine, reading.tokens, seconds)
        if was_read or request == queue.current:
            queue.advance(now)

    def prune_lost(self, now: float) -> None:
        """Forgets readings of which nothing will be heard."""
        for engine, queue in self._queues.items():
            total = sum(reading.seconds for reading in queue.sent.values())
            patience = _LOST_FACTOR * total + _LOST_SECONDS
            for request, reading in list(queue.sent.items()):
                if now - reading.sent_at > patience:
                    self._end(engine, request, now, was_read=False)

    def discard_except(self, engines: set[str]) -> None:
        """Forgets engines that are gone."""
        for name in list(self._queues):
            if name not in engines:
                del self._queues[name]
        self._times.discard_except(engines)
