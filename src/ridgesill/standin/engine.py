"""A model of an engine: slots, loads, and continuous batching.

It runs on the event loop's clock, so tests can pause and advance it. A step
of the batch takes a fixed time, a share for each sequence and a share for
each distinct adapter, and yields one token for each sequence.
"""

import asyncio
import random
import secrets
from collections import OrderedDict
from collections.abc import Callable

import attrs


@attrs.frozen
class EngineModel:
    """What an engine costs; times in seconds.

    Attributes:
        slots: adapters held at once.
        batch: sequences in a step.
        load: how long an adapter's load takes.
        step: fixed part of a step.
        per_sequence: a step's share for each sequence.
        per_adapter: a step's share for each distinct adapter.
        prefill: the first token's extra time, without a cached prefix.
        prefixes: prompts whose prefill is cached.
        failing_loads: the share of loads that fail.
        fenced: whether orders under an old epoch are refused.
    """

    slots: int = 8
    batch: int = 16
    load: float = 0.4
    step: float = 0.004
    per_sequence: float = 0.0005
    per_adapter: float = 0.001
    prefill: float = 0.02
    prefixes: int = 64
    failing_loads: float = 0.0
    fenced: bool = False


@attrs.define
class Sequence:
    """A request on the engine.

    Attributes:
        tokens: how many are to come.
        on_token: gets each token's number.
        on_end: gets None at the end, or an exception if it is cut.
    """

    request: str
    adapter: str
    tokens: int
    prefix: str
    on_token: Callable[[int], None]
    on_end: Callable[[Exception | None], None]
    done: int = 0


class AbsentError(Exception):
    """The engine does not hold the adapter; nothing was started."""


class BusyError(Exception):
    """The engine takes no more requests; nothing was started."""


class FencedError(Exception):
    """An order under an old epoch."""


class OrderError(Exception):
    """An order that could not be carried out, and had no effect."""


class EngineCutError(Exception):
    """A sequence that ended early."""


@attrs.define
class Counts:
    """Totals since the engine started, to measure policies by."""

    steps: int = 0
    tokens: int = 0
    adapters_in_steps: int = 0
    busy_seconds: float = 0.0
    loads: int = 0
    unloads_in_use: int = 0


class Engine:
    """An engine.

    Args:
        model: what it costs.
        rng: decides which loads fail.
        journal: takes an event and its fields.
    """

    def __init__(
        self,
        model: EngineModel,
        rng: random.Random,
        journal: Callable[..., None] = lambda *_a, **_k: None,
    ) -> None:
        self.model = model
        self.incarnation = secrets.token_hex(4)
        self.resident: set[str] = set()
        self.counts = Counts()
        self.unloading = False
        self._rng = rng
        self._journal = journal
        self._loading: set[str] = set()
        self._epoch = 0
        self._running: dict[str, Sequence] = {}
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._work = asyncio.Event()

    # -- orders --------------------------------------------------------

    async def load(self, adapter: str, epoch: int) -> None:
        """Loads an adapter; raises `FencedError` or `OrderError`."""
        self._check_epoch(epoch)
        if adapter in self.resident:
            return
        if len(self.resident) + len(self._loading) >= self.model.slots:
            raise OrderError("no free slot")
        self._loading.add(adapter)
        try:
            await asyncio.sleep(self.model.load)
            if self._rng.random() < self.model.failing_loads:
                raise OrderError("the load failed")
        finally:
            self._loading.discard(adapter)
        self.resident.add(adapter)
        self.counts.loads += 1
        self._journal("load", adapter=adapter, epoch=epoch)

    def unload(self, adapter: str, epoch: int) -> None:
        """Unloads an adapter; cuts the sequences that use it."""
        self._check_epoch(epoch)
        using = [s for s in self._running.values() if s.adapter == adapter]
        if using:
            self.counts.unloads_in_use += 1
            self._journal("unload-in-use", adapter=adapter, epoch=epoch)
        for sequence in using:
            self._cut(sequence, "its adapter was unloaded")
        self.resident.discard(adapter)
        self._journal("unload", adapter=adapter, epoch=epoch)

    def fence(self, epoch: int) -> None:
        """Refuses orders under earlier epochs from now on."""
        self._check_epoch(epoch)

    def _check_epoch(self, epoch: int) -> None:
        if self.model.fenced and epoch < self._epoch:
            raise FencedError(f"epoch {epoch} is older than {self._epoch}")
        self._epoch = max(self._epoch, epoch)

    # -- requests ------------------------------------------------------

    @property
    def active(self) -> dict[str, int]:
        """Sequences by adapter."""
        counts: dict[str, int] = {}
        for sequence in self._running.values():
            counts[sequence.adapter] = counts.get(sequence.adapter, 0) + 1
        return counts

    def submit(self, sequence: Sequence) -> None:
        """Starts a request.

        Raises:
            AbsentError: its adapter is not held; nothing was started.
            BusyError: the engine is leaving; nothing was started.
        """
        if sequence.adapter not in self.resident:
            raise AbsentError(sequence.adapter)
        if self.unloading:
            raise BusyError("leaving")
        self._running[sequence.request] = sequence
        self._journal(
            "begin", request=sequence.request, adapter=sequence.adapter
        )
        self._work.set()

    def cancel(self, request: str) -> None:
        """Ends a request that its caller gave up."""
        sequence = self._running.pop(request, None)
        if sequence is not None:
            self._journal("cancel", request=request, done=sequence.done)

    def _cut(self, sequence: Sequence, reason: str) -> None:
        self._running.pop(sequence.request, None)
        self._journal("cut", request=sequence.request, done=sequence.done)
        sequence.on_end(EngineCutError(reason))

    # -- steps ---------------------------------------------------------

    async def run(self) -> None:
        """Steps the batch until cancelled."""
        while True:
            if not self._running:
                self._work.clear()
                await self._work.wait()
            batch = list(self._running.values())[: self.model.batch]
            seconds = self._step_seconds(batch)
            await asyncio.sleep(seconds)
            self._finish_step(batch, seconds)

    def _step_seconds(self, batch: list[Sequence]) -> float:
        model = self.model
        adapters = len({sequence.adapter for sequence in batch})
        seconds = model.step + model.per_sequence * len(batch)
        seconds += model.per_adapter * adapters
        for sequence in batch:
            if not sequence.done and not self._has_prefix(sequence.prefix):
                seconds += model.prefill
        self.counts.adapters_in_steps += adapters
        return seconds

    def _has_prefix(self, prefix: str) -> bool:
        known = bool(prefix) and prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self.model.prefixes:
            self._prefixes.popitem(last=False)
        return known

    def _finish_step(self, batch: list[Sequence], seconds: float) -> None:
        self.counts.steps += 1
        self.counts.busy_seconds += seconds
        for sequence in batch:
            if sequence.request not in self._running:
                continue
            sequence.on_token(sequence.done)
            sequence.done += 1
            self.counts.tokens += 1
            if sequence.done >= sequence.tokens:
                del self._running[sequence.request]
                self._journal("end", request=sequence.request)
                sequence.on_end(None)
