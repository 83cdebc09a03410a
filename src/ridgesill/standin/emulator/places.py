"""An engine's places for adapters: loads from the store and orders."""

import asyncio
import collections

import attrs

from ridgesill.core.fleet.orders import (
    Action,
    EngineReport,
    FleetOrder,
    OrderVerdict,
)

# Loads under way to one engine at once (the platform's protocol).
_INCOMING_MOST = 4
# How old a report is, in seconds (the platform's protocol: some hundred ms).
_REPORT_LAG = 0.1


@attrs.define
class Store:
    """The store that all engines load adapters from.

    Attributes:
        seconds: of a load from it.
        fast: loads at once up to which each takes no longer.
        again_seconds: of a load of an adapter that the engine had lately.
        loads: from the store, so far.
        reloads: of what an engine had lately, so far.
    """

    seconds: float = 0.25
    fast: int = 8
    again_seconds: float = 0.025
    under_way: int = 0
    loads: int = 0
    reloads: int = 0


class Places:
    """What an engine holds, and the orders that change it.

    Args:
        model: the base model, which is there from the start.
        count: places for adapters.
        kept: adapters given up lately that load without the store.
        store: where others come from.
    """

    def __init__(self, model: str, count: int, kept: int, store: Store) -> None:
        self.held: dict[str, int] = {model: 1}
        self.overfull = False
        self._model = model
        self._count = count
        self._kept = kept
        self._lately: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._store = store
        self._incoming: dict[str, int] = {}
        self._taken = 0
        self._waits_for = ""
        self._reports: list[tuple[float, EngineReport]] = []
        self._loop = asyncio.get_running_loop()

    def order(
        self, order: FleetOrder, using: set[str], newest: int
    ) -> OrderVerdict:
        """Carries out an order."""
        if self._waits_for and self._waits_for not in using:
            self._drop(self._waits_for)
            self._waits_for = ""
        artifact = order.artifact
        is_load = order.action is Action.LOAD
        if is_load and artifact in self._incoming:
            return OrderVerdict.TAKEN
        version = order.version or newest
        if is_load and self.held.get(artifact, 0) >= version:
            return OrderVerdict.HOLDS
        if not is_load and artifact not in self.held:
            return OrderVerdict.HOLDS
        if self._waits_for or order.revision not in (None, self._taken):
            return OrderVerdict.REFUSED
        if is_load:
            return self._load(artifact, version)
        return self._unload(artifact, using)

    def _load(self, artifact: str, version: int) -> OrderVerdict:
        if len(self._incoming) >= _INCOMING_MOST:
            return OrderVerdict.REFUSED
        self._taken += 1
        self._incoming[artifact] = version
        adapters = {*self.held, *self._incoming} - {self._model}
        self.overfull |= len(adapters) > self._count
        store = self._store
        if artifact in self._lately:
            store.reloads += 1
            self._loop.call_later(store.again_seconds, self._arrive, artifact)
            return OrderVerdict.TAKEN
        store.loads += 1
        store.under_way += 1
        seconds = store.seconds * max(store.under_way / store.fast, 1.0)
        self._loop.call_later(seconds, self._arrive_from_store, artifact)
        return OrderVerdict.TAKEN

    def _arrive_from_store(self, artifact: str) -> None:
        self._store.under_way -= 1
        self._arrive(artifact)

    def _arrive(self, artifact: str) -> None:
        version = self._incoming.pop(artifact, 0)
        if version:
            self.held[artifact] = version
            self._remember(artifact)

    def _remember(self, artifact: str) -> None:
        self._lately[artifact] = None
        self._lately.move_to_end(artifact)
        if len(self._lately) > self._kept:
            self._lately.popitem(last=False)

    def _unload(self, artifact: str, using: set[str]) -> OrderVerdict:
        self._taken += 1
        if artifact in using:
            self._waits_for = artifact
            return OrderVerdict.TAKEN
        self._drop(artifact)
        return OrderVerdict.HOLDS

    def _drop(self, artifact: str) -> None:
        if self.held.pop(artifact, None) is not None:
            self._remember(artifact)

    def report(self) -> EngineReport:
        """Returns what the engine says of itself, a little old."""
        now = self._loop.time()
        said = EngineReport(
            self._taken,
            bool(self._waits_for),
            dict(self.held),
            dict(self._incoming),
        )
        self._reports.append((now, said))
        old = [r for at, r in self._reports if at <= now - _REPORT_LAG]
        self._reports = self._reports[-20:]
        return old[-1] if old else said
