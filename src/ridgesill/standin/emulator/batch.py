"""How an engine reads prompts and makes tokens: one batch, step by step.

Each step makes one token of every running sequence and reads a piece of the
prompts that wait, one after the other: the first that was let in goes on until
it is read. Those that wait are let in by priority, then in order of arrival.
"""

import asyncio
import collections
import heapq
import itertools
from collections.abc import Callable

import attrs


@attrs.frozen
class EngineShape:
    """What an engine can do. Times in seconds.

    Attributes:
        slots: sequences at once.
        memory: tokens.
        step: fixed part of a step.
        per_sequence: a step's share for each running sequence.
        per_context: for each token of context of those.
        read_rate: prompt tokens a second.
        per_pair: attention of a piece being read, for each pair of tokens.
        piece: most prompt tokens read in a step.
        event_tokens: tokens in one event of a stream.
        pace: factor on all times; above 1 is slower.
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
    """A request on an engine.

    Attributes:
        parts: of the prompt in order: id and tokens; the last is its own.
        events: of the answer, beyond those that were made elsewhere.
        priority: 0 goes first.
        on_event: called with each event's number, from 1.
        on_end: called at the end; with a reason when it is cut.
    """

    request: str
    artifact: str
    parts: tuple[tuple[str, int], ...]
    events: int
    priority: int
    on_event: Callable[[int], None]
    on_end: Callable[[str], None]
    unread: int = 0
    context: int = 0
    tokens_made: int = 0


class PartCache:
    """Prompt parts that are kept, by all that came before them."""

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[tuple[str, ...], int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def find(self, sequence: Sequence) -> int:
        """Returns how many tokens of a prompt need not be read."""
        found = 0
        for key, tokens in _prefixes(sequence):
            if key not in self._kept:
                break
            self._kept.move_to_end(key)
            found += tokens
        return found

    def keep(self, sequence: Sequence) -> None:
        """Keeps the parts of a prompt that has been read."""
        for key, tokens in _prefixes(sequence):
            if key not in self._kept:
                self._kept[key] = tokens
                self.tokens += tokens
            self._kept.move_to_end(key)

    def shrink(self, room: int) -> None:
        """Lets the least recently used parts give way."""
        while self.tokens > max(room, 0) and self._kept:
            _, tokens = self._kept.popitem(last=False)
            self.tokens -= tokens

    def drop(self, artifact: str) -> None:
        """Drops what was kept for an adapter."""
        for key in [key for key in self._kept if key[0] == artifact]:
            self.tokens -= self._kept.pop(key)


def _prefixes(
    sequence: Sequence,
) -> list[tuple[tuple[str, ...], int]]:
    """Returns each part with the names of all before it."""
    key: tuple[str, ...] = (sequence.artifact,)
    prefixes = []
    for name, tokens in sequence.parts:
        key = (*key, name)
        prefixes.append((key, tokens))
    return prefixes


class Batch:
    """The sequences of an engine and its steps.

    Args:
        shape: what the engine can do.
    """

    def __init__(self, shape: EngineShape) -> None:
        self.shape = shape
        self.running: list[Sequence] = []
        self.reading: list[Sequence] = []
        self.cache = PartCache()
        self.tokens_read = 0
        self.tokens_found = 0
        self.put_back = 0
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._order = itertools.count()
        self._loop = asyncio.get_running_loop()
        self._step: asyncio.TimerHandle | None = None
        self._read_now: list[tuple[Sequence, int]] = []

    def artifacts(self) -> set[str]:
        """Returns the adapters that sequences use."""
        return {s.artifact for s in self._all()}

    def _all(self) -> list[Sequence]:
        return [*self.running, *self.reading, *(w[2] for w in self._waiting)]

    @property
    def size(self) -> int:
        """How many sequences are there."""
        return len(self.running) + len(self.reading) + len(self._waiting)

    def add(self, sequence: Sequence) -> None:
        """Takes a sequence."""
        self._wait(sequence)
        if self._step is None:
            self._begin_step()

    def _wait(self, sequence: Sequence) -> None:
        entry = (sequence.priority, next(self._order), sequence)
        heapq.heappush(self._waiting, entry)

    def cancel(self, request: str) -> None:
        """Drops a sequence."""
        self.running = [s for s in self.running if s.request != request]
        self.reading = [s for s in self.reading if s.request != request]
        self._waiting = [w for w in self._waiting if w[2].request != request]
        heapq.heapify(self._waiting)

    def end_all(self, reason: str) -> None:
        """Cuts every sequence: the engine is gone."""
        cut = self._all()
        self.running, self.reading, self._waiting = [], [], []
        if self._step is not None:
            self._step.cancel()
            self._step = None
        for sequence in cut:
            sequence.on_end(reason)

    # -- steps ---------------------------------------------------------

    def _begin_step(self) -> None:
        budget = self.shape.piece
        self._read_now = []
        for sequence in self.reading:
            budget = self._read(sequence, budget)
        while budget > 0 and self._waiting and self._has_room():
            _, _, sequence = heapq.heappop(self._waiting)
            self._let_in(sequence)
            budget = self._read(sequence, budget)
        if not self._read_now and not self.running:
            self._step = None
            return
        self._step = self._loop.call_later(self._seconds(), self._end_step)

    def _has_room(self) -> bool:
        inside = len(self.running) + len(self.reading)
        tokens = sum(p[1] for p in self._waiting[0][2].parts)
        return (
            inside < self.shape.slots
            and self._in_use() + tokens <= self.shape.memory
        )

    def _in_use(self) -> int:
        running = sum(s.context for s in self.running)
        return running + sum(s.context + s.unread for s in self.reading)

    def _let_in(self, sequence: Sequence) -> None:
        total = sum(tokens for _, tokens in sequence.parts)
        total += sequence.tokens_made
        found = min(self.cache.find(sequence), total - 1)
        self.tokens_found += found
        sequence.context = found
        sequence.unread = total - found
        self.reading.append(sequence)

    def _read(self, sequence: Sequence, budget: int) -> int:
        piece = min(budget, sequence.unread)
        if piece > 0:
            self._read_now.append((sequence, piece))
        return budget - piece

    def _seconds(self) -> float:
        shape = self.shape
        context = sum(s.context for s in self.running)
        seconds = shape.step + shape.per_sequence * len(self.running)
        seconds += shape.per_context * context
        for sequence, piece in self._read_now:
            seconds += piece / shape.read_rate
            pairs = piece * (sequence.context + piece / 2)
            seconds += shape.per_pair * pairs
        return seconds * shape.pace

    def _end_step(self) -> None:
        decoding = self.running
        self.running = []
        inside = set(map(id, self.reading))
        for sequence, piece in self._read_now:
            if id(sequence) not in inside:
                continue
            sequence.unread -= piece
            sequence.context += piece
            self.tokens_read += piece
            if sequence.unread <= 0:
                self.reading.remove(sequence)
                self.cache.keep(sequence)
                self._make_token(sequence)
        for sequence in decoding:
            self._make_token(sequence)
        self._keep_within_memory()
        self._begin_step()

    def _make_token(self, sequence: Sequence) -> None:
        stride = self.shape.event_tokens
        sequence.tokens_made += 1
        sequence.context += 1
        # The first event comes with the first token.
        if (sequence.tokens_made - 1) % stride == 0:
            sequence.on_event(1 + (sequence.tokens_made - 1) // stride)
        if sequence.tokens_made > (sequence.events - 1) * stride:
            sequence.on_end("")
        else:
            self.running.append(sequence)

    def _keep_within_memory(self) -> None:
        shape = self.shape
        while self._in_use() > shape.memory and len(self.running) > 1:
            newest = max(
                range(len(self.running)),
                key=lambda n: (self.running[n].priority, n),
            )
            self._wait(self.running.pop(newest))
            self.put_back += 1
        self.cache.shrink(shape.memory - self._in_use())
