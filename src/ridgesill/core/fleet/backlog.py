"""Prompts that engines have yet to read, and the wait for the next one.

Load pattern: a few long prompts among many short ones. An engine reads one
prompt (prefill) at a time, so its number of requests in progress says little
about the wait: requests that generate tokens are batched, while one long prompt
ahead makes the next one late. The owner therefore counts the prompts that it
has sent to an engine and that haven't had their first event, and those that it
will send there once the adapter that they wait for is loaded.
"""

import attrs

from ridgesill.core.fleet.engine_pace import EnginePaces
from ridgesill.core.fleet.reading_time import ReadingTimes

# Time that a request takes in addition to reading its prompt, in seconds: one
# step of the batch.
_STEP_SECONDS = 0.02
# Time after which the end of a prompt is known here, in seconds: one step of
# the batch, and the way to the front and from there. A prompt isn't overdue
# before.
_REPORT_SECONDS = 0.05
# Bound for how long an overdue prompt is expected to take, as a multiple of its
# predicted time: in a slow period it takes 2.5 times as long. Without a bound,
# the prompt of a front that was lost keeps requests and loads from its engine
# until it is dropped.
_MAX_OVERDUE_FACTOR = 1.5
# A prompt whose end isn't reported is dropped after this multiple of the time
# to read the engine's backlog, plus this many seconds: its front is gone.
_LOST_AFTER_FACTOR = 3.0
_LOST_AFTER_SECONDS = 3.0


@attrs.frozen
class PendingPrompt:
    """A prompt that an engine has yet to read.

    Attributes:
        tokens: number of tokens in the prompt.
        seconds: predicted time to read it.
        rank: order among the prompts that wait there; the lowest goes first.
        sent_at: clock time when it was sent, or will be sent once its adapter
            is loaded.
    """

    tokens: int
    seconds: float
    rank: int
    sent_at: float


@attrs.define
class _Queue:
    """Prompts that one engine has yet to read.

    Attributes:
        sent: prompts sent to the engine by request id, in order of arrival.
        reserved: prompts that wait for an adapter to be loaded, by request id.
        current: id of the request whose prompt is presumably being read; empty
            if there is none.
        began_at: earliest clock time at which the engine could begin it.
    """

    sent: dict[str, PendingPrompt] = attrs.Factory(dict)
    reserved: dict[str, PendingPrompt] = attrs.Factory(dict)
    current: str = ""
    began_at: float = 0.0

    def advance(self, now: float) -> None:
        """Makes the next prompt current: by rank, then by order of arrival."""
        # min() keeps the first of equal ranks.
        self.current = min(
            self.sent, key=lambda name: self.sent[name].rank, default=""
        )
        self.began_at = now

    def reserved_until(self, moment: float) -> list[PendingPrompt]:
        """Returns the reserved prompts to be sent by a time, earliest first."""
        soon = [r for r in self.reserved.values() if r.sent_at <= moment]
        return sorted(soon, key=lambda prompt: prompt.sent_at)

    def seconds_left_of_current(self, now: float) -> float:
        """Returns the seconds until the current prompt has been read.

        A prompt that is overdue is expected to take as long again as it is
        overdue: the engine is in a slow period, whose end isn't known.
        """
        prompt = self.sent.get(self.current)
        if prompt is None:
            return 0.0
        left = prompt.seconds - max(now - self.began_at, 0.0)
        if left >= 0:
            return left
        overdue = max(-left - _REPORT_SECONDS, 0.0)
        return min(overdue, _MAX_OVERDUE_FACTOR * prompt.seconds)


class Backlogs:
    """Prompts that each engine has yet to read.

    Args:
        paces: the paces of the engines; by default no streams are reported, and
            paces are learned from reading times only.
    """

    def __init__(self, paces: EnginePaces | None = None) -> None:
        self.paces = paces or EnginePaces()
        self._queues: dict[str, _Queue] = {}
        self._times = ReadingTimes(self.paces)

    def _queue_of(self, engine: str) -> _Queue:
        return self._queues.setdefault(engine, _Queue())

    def read_seconds(self, engine: str, tokens: int) -> float:
        """Returns the predicted time until a prompt's first event.

        This is the time in seconds on an engine without a backlog.
        """
        return self._times.seconds(engine, tokens) + _STEP_SECONDS

    def mean_read_seconds(self, tokens: int) -> float:
        """Returns `read_seconds` averaged over the engines."""
        return self._times.mean_seconds(tokens) + _STEP_SECONDS

    def wait_seconds(
        self, engine: str, rank: int, now: float, arrives_in: float = 0.0
    ) -> float:
        """Returns how long a new prompt would wait to be read, in seconds.

        Args:
            engine: name of the engine.
            rank: rank of the new prompt. Prompts of a higher rank are read
                after it, except for the one that is being read.
            now: clock time, in seconds.
            arrives_in: seconds until the new prompt is sent. Reserved prompts
                that are sent before then are ahead of it.

        Returns:
            The seconds from when the prompt is sent until the engine begins to
            read it.
        """
        queue = self._queues.get(engine)
        if queue is None:
            return 0.0
        free_at = now + queue.seconds_left_of_current(now)
        for name, prompt in queue.sent.items():
            if name != queue.current and prompt.rank <= rank:
                free_at += prompt.seconds
        arrives_at = now + arrives_in
        for prompt in queue.reserved_until(arrives_at):
            if prompt.rank <= rank:
                free_at = max(free_at, prompt.sent_at) + prompt.seconds
        return max(free_at - arrives_at, 0.0)

    def backlog_seconds(self, engine: str, now: float) -> float:
        """Returns the seconds until an engine has read all prompts sent."""
        return self.wait_seconds(engine, 9, now)

    def record_sent(
        self, engine: str, request: str, tokens: int, rank: int, now: float
    ) -> None:
        """Records that a prompt is sent to an engine; drops its reservation."""
        queue = self._queue_of(engine)
        self.release(request)
        queue.sent[request] = self._make_prompt(engine, tokens, rank, now)
        if not queue.current:
            queue.advance(now)

    def _make_prompt(
        self, engine: str, tokens: int, rank: int, sent_at: float
    ) -> PendingPrompt:
        seconds = self._times.seconds(engine, tokens)
        return PendingPrompt(tokens, seconds, rank, sent_at)

    def reserve(
        self, engine: str, request: str, tokens: int, rank: int, sent_at: float
    ) -> None:
        """Reserves time for a prompt that waits for its adapter to be loaded.

        Otherwise two long prompts that miss their adapters within the time of
        one load are both assigned to the same idle engine, and the second is
        late.

        Args:
            engine: name of the engine that loads the adapter.
            request: id of the request.
            tokens: number of tokens in the prompt.
            rank: order among the prompts on the engine; the lowest goes first.
            sent_at: clock time when the load is expected to end, in seconds.
        """
        prompt = self._make_prompt(engine, tokens, rank, sent_at)
        self._queue_of(engine).reserved[request] = prompt

    def release(self, request: str) -> None:
        """Drops the reservation of a request on every engine."""
        for queue in self._queues.values():
            queue.reserved.pop(request, None)

    def record_ended(
        self, engine: str, request: str, now: float, *, was_read: bool
    ) -> None:
        """Records that a request's first event has come, or never will.

        Args:
            engine: name of the engine; empty if the reporter doesn't know it.
            request: id of the request.
            now: clock time, in seconds.
            was_read: whether the engine has read the prompt.
        """
        if not engine:
            for name in self._queues:
                self._record_ended(name, request, now, was_read=False)
            return
        self._record_ended(engine, request, now, was_read=was_read)

    def _record_ended(
        self, engine: str, request: str, now: float, *, was_read: bool
    ) -> None:
        queue = self._queue_of(engine)
        prompt = queue.sent.pop(request, None)
        if prompt is None:
            return
        if was_read:
            self.paces.record_read(engine, prompt.seconds, now)
            began_at = max(queue.began_at, prompt.sent_at)
            seconds = now - began_at - _STEP_SECONDS
            self._times.record(engine, prompt.tokens, seconds)
        if was_read or request == queue.current:
            queue.advance(now)

    def prune_lost(self, now: float) -> None:
        """Drops prompts whose end is overdue: their fronts are gone."""
        for engine, queue in self._queues.items():
            total = sum(prompt.seconds for prompt in queue.sent.values())
            patience = _LOST_AFTER_FACTOR * total + _LOST_AFTER_SECONDS
            for request, prompt in list(queue.sent.items()):
                if now - prompt.sent_at > patience:
                    self._record_ended(engine, request, now, was_read=False)

    def discard_except(self, engines: set[str]) -> None:
        """Drops all engines but these."""
        for name in list(self._queues):
            if name not in engines:
                del self._queues[name]
        self.paces.discard_except(engines)
