"""Continuous batching with chunked prefill, as an emulated engine does it.

Each step generates one token for every running sequence and prefills a chunk
of the admitted prompts, one prompt after the other: the first one admitted is
read to its end before the next. Waiting sequences are admitted by priority,
then in order of arrival.
"""

import asyncio
import collections
import heapq
import itertools
from collections.abc import Callable

import attrs


@attrs.frozen
class EngineShape:
    """The capacity and speed of an engine. Times are in seconds.

    Attributes:
        slots: maximum number of admitted sequences.
        memory: capacity of the key-value cache, in tokens.
        step: fixed time of a step.
        per_sequence: time that each running sequence adds to a step.
        per_context: time that each context token of the running sequences
            adds to a step.
        read_rate: prompt tokens prefilled per second, without attention.
        per_pair: attention time for each pair of a prefilled token and a
            token before it.
        piece: maximum number of prompt tokens prefilled in a step.
        event_tokens: tokens in one event of a stream.
        pace: factor applied to all times; values above 1 are slower.
    """

    slots: int = 64
    memory: int = 250_000
    step: float = 0.00523
    per_sequence: float = 3.7e-6
    per_context: float = 8.5e-9
    read_rate: float = 38_400.0
    per_pair: float = 6.5e-10
    piece: int = 1024
    event_tokens: int = 4
    pace: float = 1.0


@attrs.define(eq=False)
class Sequence:
    """A request in an engine's batch.

    Attributes:
        request: id of the request.
        artifact: adapter or base model that the request uses.
        parts: prompt parts in order, as (id, tokens); only the last part is
            unique to the request.
        events: events to generate; excludes events that another engine
            generated before the request was resumed here.
        priority: 0 is admitted first, higher values later.
        on_event: called with the number of each event, from 1.
        on_end: called once with "" when the answer is complete, or with a
            reason when it is aborted.
        unread_tokens: prompt tokens that are not prefilled yet.
        context_tokens: tokens in the key-value cache.
        tokens_made: tokens generated so far.
    """

    request: str
    artifact: str
    parts: tuple[tuple[str, int], ...]
    events: int
    priority: int
    on_event: Callable[[int], None]
    on_end: Callable[[str], None]
    unread_tokens: int = 0
    context_tokens: int = 0
    tokens_made: int = 0


class PrefixCache:
    """Caches prompt parts, keyed by the adapter and all parts before them."""

    def __init__(self) -> None:
        self._cached: collections.OrderedDict[tuple[str, ...], int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def match(self, sequence: Sequence) -> int:
        """Returns the cached prefix length in tokens; marks it as used."""
        cached = 0
        for key, tokens in _prefixes(sequence):
            if key not in self._cached:
                break
            self._cached.move_to_end(key)
            cached += tokens
        return cached

    def insert(self, sequence: Sequence) -> None:
        """Caches all parts of a prompt that has been prefilled."""
        for key, tokens in _prefixes(sequence):
            if key not in self._cached:
                self._cached[key] = tokens
                self.tokens += tokens
            self._cached.move_to_end(key)

    def evict_to(self, token_limit: int) -> None:
        """Evicts least recently used parts down to a number of tokens."""
        while self.tokens > max(token_limit, 0) and self._cached:
            _, tokens = self._cached.popitem(last=False)
            self.tokens -= tokens

    def discard_artifact(self, artifact: str) -> None:
        """Removes all parts that were cached for an adapter."""
        for key in [key for key in self._cached if key[0] == artifact]:
            self.tokens -= self._cached.pop(key)


def _prefixes(
    sequence: Sequence,
) -> list[tuple[tuple[str, ...], int]]:
    """Returns a (key, tokens) pair for each part of a prompt, in order.

    A key holds the artifact and the ids of all parts up to this one.
    """
    key: tuple[str, ...] = (sequence.artifact,)
    prefixes = []
    for name, tokens in sequence.parts:
        key = (*key, name)
        prefixes.append((key, tokens))
    return prefixes


class Batch:
    """Schedules the sequences of an engine in steps.

    Args:
        shape: capacity and speed of the engine.

    Attributes:
        running: sequences that generate tokens.
        reading: admitted sequences whose prompts are being prefilled.
        tokens_read: prompt tokens prefilled so far.
        tokens_cached: prompt tokens found in the prefix cache so far.
        preemptions: sequences returned to the queue for lack of memory.
    """

    def __init__(self, shape: EngineShape) -> None:
        self.shape = shape
        self.running: list[Sequence] = []
        self.reading: list[Sequence] = []
        self.cache = PrefixCache()
        self.tokens_read = 0
        self.tokens_cached = 0
        self.preemptions = 0
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._arrival_numbers = itertools.count()
        self._loop = asyncio.get_running_loop()
        self._step_timer: asyncio.TimerHandle | None = None
        self._scheduled_pieces: list[tuple[Sequence, int]] = []

    def artifacts(self) -> set[str]:
        """Returns the artifacts that unfinished sequences use."""
        return {s.artifact for s in self._all_sequences()}

    def _all_sequences(self) -> list[Sequence]:
        return [*self.running, *self.reading, *(w[2] for w in self._waiting)]

    @property
    def size(self) -> int:
        """The number of unfinished sequences, including waiting ones."""
        return len(self.running) + len(self.reading) + len(self._waiting)

    def add(self, sequence: Sequence) -> None:
        """Enqueues a sequence and starts stepping if the batch is idle."""
        self._enqueue(sequence)
        if self._step_timer is None:
            self._begin_step()

    def _enqueue(self, sequence: Sequence) -> None:
        entry = (sequence.priority, next(self._arrival_numbers), sequence)
        heapq.heappush(self._waiting, entry)

    def cancel(self, request: str) -> None:
        """Removes the sequences of a request without calling `on_end`."""
        self.running = [s for s in self.running if s.request != request]
        self.reading = [s for s in self.reading if s.request != request]
        self._waiting = [w for w in self._waiting if w[2].request != request]
        heapq.heapify(self._waiting)

    def abort_all(self, reason: str) -> None:
        """Ends all sequences with a reason and stops stepping."""
        aborted = self._all_sequences()
        self.running, self.reading, self._waiting = [], [], []
        if self._step_timer is not None:
            self._step_timer.cancel()
            self._step_timer = None
        for sequence in aborted:
            sequence.on_end(reason)

    # -- steps ---------------------------------------------------------

    def _begin_step(self) -> None:
        budget = self.shape.piece
        self._scheduled_pieces = []
        for sequence in self.reading:
            budget = self._schedule_reading(sequence, budget)
        while budget > 0 and self._waiting and self._can_admit():
            _, _, sequence = heapq.heappop(self._waiting)
            self._admit(sequence)
            budget = self._schedule_reading(sequence, budget)
        if not self._scheduled_pieces and not self.running:
            self._step_timer = None
            return
        self._step_timer = self._loop.call_later(
            self._step_seconds(), self._end_step
        )

    def _can_admit(self) -> bool:
        admitted = len(self.running) + len(self.reading)
        tokens = sum(p[1] for p in self._waiting[0][2].parts)
        return (
            admitted < self.shape.slots
            and self._tokens_in_use() + tokens <= self.shape.memory
        )

    def _tokens_in_use(self) -> int:
        running = sum(s.context_tokens for s in self.running)
        return running + sum(
            s.context_tokens + s.unread_tokens for s in self.reading
        )

    def _admit(self, sequence: Sequence) -> None:
        total = sum(tokens for _, tokens in sequence.parts)
        total += sequence.tokens_made
        cached = min(self.cache.match(sequence), total - 1)
        self.tokens_cached += cached
        sequence.context_tokens = cached
        sequence.unread_tokens = total - cached
        self.reading.append(sequence)

    def _schedule_reading(self, sequence: Sequence, budget: int) -> int:
        piece = min(budget, sequence.unread_tokens)
        if piece > 0:
            self._scheduled_pieces.append((sequence, piece))
        return budget - piece

    def _step_seconds(self) -> float:
        shape = self.shape
        context_tokens = sum(s.context_tokens for s in self.running)
        seconds = shape.step + shape.per_sequence * len(self.running)
        seconds += shape.per_context * context_tokens
        for sequence, piece in self._scheduled_pieces:
            seconds += piece / shape.read_rate
            pairs = piece * (sequence.context_tokens + piece / 2)
            seconds += shape.per_pair * pairs
        return seconds * shape.pace

    def _end_step(self) -> None:
        decoding = self.running
        self.running = []
        admitted = set(map(id, self.reading))
        for sequence, piece in self._scheduled_pieces:
            if id(sequence) not in admitted:
                continue
            sequence.unread_tokens -= piece
            sequence.context_tokens += piece
            self.tokens_read += piece
            if sequence.unread_tokens <= 0:
                self.reading.remove(sequence)
                self.cache.insert(sequence)
                self._make_token(sequence)
        for sequence in decoding:
            self._make_token(sequence)
        self._free_memory()
        self._begin_step()

    def _make_token(self, sequence: Sequence) -> None:
        stride = self.shape.event_tokens
        sequence.tokens_made += 1
        sequence.context_tokens += 1
        # The first event is sent with the first token, and each later one
        # `event_tokens` tokens after the one before.
        if (sequence.tokens_made - 1) % stride == 0:
            sequence.on_event(1 + (sequence.tokens_made - 1) // stride)
        if sequence.tokens_made > (sequence.events - 1) * stride:
            sequence.on_end("")
        else:
            self.running.append(sequence)

    def _free_memory(self) -> None:
        shape = self.shape
        while self._tokens_in_use() > shape.memory and len(self.running) > 1:
            newest = max(
                range(len(self.running)),
                key=lambda n: (self.running[n].priority, n),
            )
            self._enqueue(self.running.pop(newest))
            self.preemptions += 1
        self.cache.evict_to(shape.memory - self._tokens_in_use())
