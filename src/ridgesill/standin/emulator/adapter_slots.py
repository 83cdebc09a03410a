"""The adapter slots of an emulated engine, its loads and unloads."""

import asyncio
import collections

import attrs

from ridgesill.core.fleet.orders import (
    Action,
    EngineReport,
    FleetOrder,
    OrderVerdict,
)

# Loads that an engine runs at once; it refuses further load orders.
_MAX_LOADS_IN_PROGRESS = 4
# Age of the state that an engine reports; real engines lag some 100 ms.
_REPORT_LAG_SECONDS = 0.1


@attrs.define
class AdapterStore:
    """The store that all engines load adapters from.

    Attributes:
        load_seconds: duration of a load.
        unslowed_loads: concurrent loads up to which a load keeps that
            duration; beyond, it grows in proportion.
        reload_seconds: duration of a load from the engine's own cache.
        loads_in_progress: loads from the store running now.
        loads: loads from the store so far.
        reloads: loads from engines' own caches so far.
    """

    load_seconds: float = 0.25
    unslowed_loads: int = 8
    reload_seconds: float = 0.025
    loads_in_progress: int = 0
    loads: int = 0
    reloads: int = 0


class AdapterSlots:
    """The artifacts that an engine holds, and the orders that change them.

    Args:
        model: base model, which is always held.
        slots: maximum number of adapters.
        cache_size: recently held adapters that the engine can load without
            the store.
        store: store to load other adapters from.

    Attributes:
        held: version of each artifact that is held.
        overfilled: whether an order ever exceeded the slots.
    """

    def __init__(
        self, model: str, slots: int, cache_size: int, store: AdapterStore
    ) -> None:
        self.held: dict[str, int] = {model: 1}
        self.overfilled = False
        self._model = model
        self._slots = slots
        self._cache_size = cache_size
        self._recent: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._store = store
        self._loading: dict[str, int] = {}
        self._revision = 0
        self._pending_unload = ""
        self._reports: list[tuple[float, EngineReport]] = []
        self._loop = asyncio.get_running_loop()

    def handle_order(
        self, order: FleetOrder, using: set[str], newest: int
    ) -> OrderVerdict:
        """Executes a load or unload order.

        Args:
            order: the order; version 0 stands for the newest one.
            using: artifacts in use, whose unload waits until they are free.
            newest: newest version of the order's artifact.

        Returns:
            HOLDS if the order's result is already in place, TAKEN if the
            order is in progress, REFUSED if the order is based on an outdated
            revision, an unload is pending or too many loads are in progress.
        """
        if self._pending_unload and self._pending_unload not in using:
            self._remove(self._pending_unload)
            self._pending_unload = ""
        artifact = order.artifact
        is_load = order.action is Action.LOAD
        if is_load and artifact in self._loading:
            return OrderVerdict.TAKEN
        version = order.version or newest
        if is_load and self.held.get(artifact, 0) >= version:
            return OrderVerdict.HOLDS
        if not is_load and artifact not in self.held:
            return OrderVerdict.HOLDS
        if self._pending_unload or order.revision not in (
            None,
            self._revision,
        ):
            return OrderVerdict.REFUSED
        if is_load:
            return self._load(artifact, version)
        return self._unload(artifact, using)

    def _load(self, artifact: str, version: int) -> OrderVerdict:
        if len(self._loading) >= _MAX_LOADS_IN_PROGRESS:
            return OrderVerdict.REFUSED
        self._revision += 1
        self._loading[artifact] = version
        adapters = {*self.held, *self._loading} - {self._model}
        self.overfilled |= len(adapters) > self._slots
        store = self._store
        if artifact in self._recent:
            store.reloads += 1
            self._loop.call_later(
                store.reload_seconds, self._finish_load, artifact
            )
            return OrderVerdict.TAKEN
        store.loads += 1
        store.loads_in_progress += 1
        seconds = store.load_seconds * max(
            store.loads_in_progress / store.unslowed_loads, 1.0
        )
        self._loop.call_later(seconds, self._finish_store_load, artifact)
        return OrderVerdict.TAKEN

    def _finish_store_load(self, artifact: str) -> None:
        self._store.loads_in_progress -= 1
        self._finish_load(artifact)

    def _finish_load(self, artifact: str) -> None:
        version = self._loading.pop(artifact, 0)
        if version:
            self.held[artifact] = version
            self._add_recent(artifact)

    def _add_recent(self, artifact: str) -> None:
        self._recent[artifact] = None
        self._recent.move_to_end(artifact)
        if len(self._recent) > self._cache_size:
            self._recent.popitem(last=False)

    def _unload(self, artifact: str, using: set[str]) -> OrderVerdict:
        self._revision += 1
        if artifact in using:
            self._pending_unload = artifact
            return OrderVerdict.TAKEN
        self._remove(artifact)
        return OrderVerdict.HOLDS

    def _remove(self, artifact: str) -> None:
        if self.held.pop(artifact, None) is not None:
            self._add_recent(artifact)

    def make_report(self) -> EngineReport:
        """Returns the engine's state as of `_REPORT_LAG_SECONDS` ago.

        Without an earlier report that old, returns the current state.
        """
        now = self._loop.time()
        current = EngineReport(
            self._revision,
            bool(self._pending_unload),
            dict(self.held),
            dict(self._loading),
        )
        self._reports.append((now, current))
        old = [r for at, r in self._reports if at <= now - _REPORT_LAG_SECONDS]
        self._reports = self._reports[-20:]
        return old[-1] if old else current
