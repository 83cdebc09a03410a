"""A simulated engine with adapter slots, loads and continuous batching.

The simulation uses the event loop's clock, which tests can control. A step of
the batch takes a fixed time, plus a time for each sequence and for each
distinct adapter, and generates one token for each sequence.
"""

import asyncio
import random
import secrets
from collections import OrderedDict
from collections.abc import Callable

import attrs


@attrs.frozen
class EngineModel:
    """The capacity and speed of an engine.

    Attributes:
        slots: maximum number of adapters held.
        batch: maximum number of sequences in a step.
        load_seconds: duration of an adapter's load.
        step_seconds: fixed time of a step.
        sequence_seconds: time that each sequence adds to a step.
        adapter_seconds: time that each distinct adapter adds to a step.
        prefill_seconds: time that a first token adds to a step when its
            prompt prefix isn't cached.
        cached_prefixes: maximum number of cached prompt prefixes.
        load_failure_share: share of loads that fail, from 0 to 1.
        checks_epochs: whether orders under an old epoch are refused.
    """

    slots: int = 8
    batch: int = 16
    load_seconds: float = 0.4
    step_seconds: float = 0.004
    sequence_seconds: float = 0.0005
    adapter_seconds: float = 0.001
    prefill_seconds: float = 0.02
    cached_prefixes: int = 64
    load_failure_share: float = 0.0
    checks_epochs: bool = False


@attrs.define
class Sequence:
    """A request on the engine.

    Attributes:
        request: id of the sequence, unique on the engine.
        adapter: adapter that the request uses.
        tokens: number of tokens to generate.
        prefix: start of the prompt; equal prefixes share a cached prefill.
        on_token: called with the number of each token, from 0.
        on_end: called once with None at the regular end, or with an exception
            if the sequence is aborted.
        tokens_done: number of tokens generated so far.
    """

    request: str
    adapter: str
    tokens: int
    prefix: str
    on_token: Callable[[int], None]
    on_end: Callable[[Exception | None], None]
    tokens_done: int = 0


class AbsentError(Exception):
    """The engine doesn't hold the adapter; nothing was started."""


class BusyError(Exception):
    """The engine accepts no more requests; nothing was started."""


class FencedError(Exception):
    """An order was refused because its epoch is older than the engine's."""


class OrderError(Exception):
    """An order failed and had no effect."""


class SequenceAbortedError(Exception):
    """The engine aborted a sequence before its regular end."""


@attrs.define
class Counts:
    """Totals since the engine started, by which policies are compared.

    Attributes:
        steps: steps of the batch.
        tokens: generated tokens.
        adapters_in_steps: sum over all steps of their distinct adapters.
        busy_seconds: total duration of the steps.
        loads: successful loads.
        unloads_in_use: unloads that aborted running sequences.
    """

    steps: int = 0
    tokens: int = 0
    adapters_in_steps: int = 0
    busy_seconds: float = 0.0
    loads: int = 0
    unloads_in_use: int = 0


class Engine:
    """A simulated engine; `run` must run for sequences to progress.

    Args:
        model: capacity and speed.
        rng: decides which loads fail.
        journal: called with the name and the fields of each event.

    Attributes:
        incarnation: random id of this start of the engine.
        resident: adapters that are held.
        is_draining: whether new requests are refused before a shutdown.
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
        self.is_draining = False
        self._rng = rng
        self._journal = journal
        self._loading: set[str] = set()
        self._epoch = 0
        self._running: dict[str, Sequence] = {}
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._has_work = asyncio.Event()

    # -- orders --------------------------------------------------------

    async def load(self, adapter: str, epoch: int) -> None:
        """Loads an adapter, unless it is held already.

        Raises:
            FencedError: the epoch is older than the engine's.
            OrderError: no slot is free, or the load failed by chance.
        """
        self._check_epoch(epoch)
        if adapter in self.resident:
            return
        if len(self.resident) + len(self._loading) >= self.model.slots:
            raise OrderError("no free slot")
        self._loading.add(adapter)
        try:
            await asyncio.sleep(self.model.load_seconds)
            if self._rng.random() < self.model.load_failure_share:
                raise OrderError("the load failed")
        finally:
            self._loading.discard(adapter)
        self.resident.add(adapter)
        self.counts.loads += 1
        self._journal("load", adapter=adapter, epoch=epoch)

    def unload(self, adapter: str, epoch: int) -> None:
        """Unloads an adapter and aborts the sequences that use it.

        Raises:
            FencedError: the epoch is older than the engine's.
        """
        self._check_epoch(epoch)
        using = [s for s in self._running.values() if s.adapter == adapter]
        if using:
            self.counts.unloads_in_use += 1
            self._journal("unload-in-use", adapter=adapter, epoch=epoch)
        for sequence in using:
            self._abort(sequence, "its adapter was unloaded")
        self.resident.discard(adapter)
        self._journal("unload", adapter=adapter, epoch=epoch)

    def fence(self, epoch: int) -> None:
        """Refuses orders under earlier epochs from now on.

        Raises:
            FencedError: the epoch is older than the engine's.
        """
        self._check_epoch(epoch)

    def _check_epoch(self, epoch: int) -> None:
        if self.model.checks_epochs and epoch < self._epoch:
            raise FencedError(f"epoch {epoch} is older than {self._epoch}")
        self._epoch = max(self._epoch, epoch)

    # -- requests ------------------------------------------------------

    @property
    def active(self) -> dict[str, int]:
        """The number of running sequences by adapter."""
        counts: dict[str, int] = {}
        for sequence in self._running.values():
            counts[sequence.adapter] = counts.get(sequence.adapter, 0) + 1
        return counts

    def submit(self, sequence: Sequence) -> None:
        """Adds a request to the batch.

        Raises:
            AbsentError: its adapter isn't held.
            BusyError: the engine is draining.
        """
        if sequence.adapter not in self.resident:
            raise AbsentError(sequence.adapter)
        if self.is_draining:
            raise BusyError("leaving")
        self._running[sequence.request] = sequence
        self._journal(
            "begin", request=sequence.request, adapter=sequence.adapter
        )
        self._has_work.set()

    def cancel(self, request: str) -> None:
        """Removes an abandoned request without calling `on_end`."""
        sequence = self._running.pop(request, None)
        if sequence is not None:
            self._journal("cancel", request=request, done=sequence.tokens_done)

    def _abort(self, sequence: Sequence, reason: str) -> None:
        self._running.pop(sequence.request, None)
        self._journal(
            "cut", request=sequence.request, done=sequence.tokens_done
        )
        sequence.on_end(SequenceAbortedError(reason))

    # -- steps ---------------------------------------------------------

    async def run(self) -> None:
        """Runs the steps of the batch until cancelled."""
        while True:
            if not self._running:
                self._has_work.clear()
                await self._has_work.wait()
            batch = list(self._running.values())[: self.model.batch]
            seconds = self._step_seconds(batch)
            await asyncio.sleep(seconds)
            self._finish_step(batch, seconds)

    def _step_seconds(self, batch: list[Sequence]) -> float:
        model = self.model
        adapters = len({sequence.adapter for sequence in batch})
        seconds = model.step_seconds + model.sequence_seconds * len(batch)
        seconds += model.adapter_seconds * adapters
        for sequence in batch:
            if not sequence.tokens_done and not self._has_prefix(
                sequence.prefix
            ):
                seconds += model.prefill_seconds
        self.counts.adapters_in_steps += adapters
        return seconds

    def _has_prefix(self, prefix: str) -> bool:
        known = bool(prefix) and prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self.model.cached_prefixes:
            self._prefixes.popitem(last=False)
        return known

    def _finish_step(self, batch: list[Sequence], seconds: float) -> None:
        self.counts.steps += 1
        self.counts.busy_seconds += seconds
        for sequence in batch:
            if sequence.request not in self._running:
                continue
            sequence.on_token(sequence.tokens_done)
            sequence.tokens_done += 1
            self.counts.tokens += 1
            if sequence.tokens_done >= sequence.tokens:
                del self._running[sequence.request]
                self._journal("end", request=sequence.request)
                sequence.on_end(None)
