"""Loads and unloads on one engine: orders, and what they change there."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from eliot import log_message

from ridgesill.app.engine_orders import EngineOrders
from ridgesill.core.fleet.engines import (
    Engine,
    HeldArtifact,
    PendingLoad,
    PendingUnload,
)
from ridgesill.core.fleet.orders import Action, OrderVerdict
from ridgesill.core.fleet.placement import LoadTarget

# What an adapter takes from the store while few are on their way (the users'
# second letter), and where it was lately (their protocol: ten times faster).
_LOAD_SECONDS = 0.25
_RELOAD_SECONDS = 0.025
# How often an engine is asked whether a load is done.
_POLL_SECONDS = 0.02
# An engine that waits for the runs of one artifact answers no other questions;
# a load there counts as done after this long.
_SURELY_LOADED_SECONDS = 0.4
_LOAD_MOST_SECONDS = 3.0
# How often a wait for the runs of an artifact is looked at, and how long it
# may last; the longest time-outs are 12 s.
_UNLOAD_POLL_SECONDS = 0.1
_UNLOAD_MOST_SECONDS = 15.0
# Answers, or none, after which a load is given up: the engine is gone, cut off
# or follows another owner.
_FAILED = frozenset(
    (OrderVerdict.MISDIRECTED, OrderVerdict.FENCED, OrderVerdict.UNKNOWN)
)


@attrs.frozen
class OwnerCallbacks:
    """What loading needs to know of its owner.

    Attributes:
        engines: returns the engines of a service that may be ordered.
        busy: returns requests in progress by upstream.
        using: returns artifacts in use by upstream.
        heard_since: whether every front has reported after a moment.
        version: returns the oldest version of an artifact that may serve.
        tell: called with an engine whose holdings have changed.
        orders_from: returns from when orders are allowed.
        fronts: returns how many fronts there are.
        rests: whether an engine wants no requests from most fronts.
        limited: whether an engine takes only so many requests.
    """

    list_engines: Callable[[str], list[Engine]]
    requests_in_progress: Callable[[], dict[str, int]]
    artifacts_in_use: Callable[[str], set[str]]
    have_fronts_reported_since: Callable[[float], bool]
    min_version: Callable[[str], int]
    publish_resident: Callable[[Engine], None]
    orders_allowed_from: Callable[[], float]
    count_fronts: Callable[[], int] = lambda: 1
    is_resting: Callable[[str], bool] = lambda _engine: False
    is_limited: Callable[[str], bool] = lambda _engine: False


class EngineLoads:
    """Has engines load and unload, and keeps the books on them.

    Args:
        orders: gives orders to engines.
        view: what it needs to know of the owner.
    """

    def __init__(self, orders: EngineOrders, view: OwnerCallbacks) -> None:
        self._orders = orders
        self._view = view
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Any) -> None:
        """Runs work on its own, and keeps it until it is done."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reserve(self, choice: LoadTarget, artifact: str) -> None:
        """Takes a place, so that no other choice counts on it."""
        engine = choice.engine
        engine.loading[artifact] = PendingLoad(choice.victim)
        if choice.victim:
            self.mark_for_unload(engine, choice.victim)

    def mark_for_unload(self, engine: Engine, artifact: str) -> None:
        """Has fronts send no more requests for what is to be unloaded."""
        held = engine.held.pop(artifact)
        engine.unloading[artifact] = PendingUnload(
            self._loop.time(), held.version
        )
        self._view.publish_resident(engine)

    async def load(
        self, choice: LoadTarget, artifact: str, version: int
    ) -> bool:
        """Unloads what gives way, loads, and waits until it is there."""
        engine = choice.engine
        try:
            if choice.victim and not await self.unload(engine, choice.victim):
                return False
            return await self._order_load(engine, artifact, version)
        finally:
            engine.loading.pop(artifact, None)

    async def unload(self, engine: Engine, artifact: str) -> bool:
        """Returns whether the place of an adapter let go is free now."""
        verdict = await self._orders.send_order(Action.UNLOAD, engine, artifact)
        if verdict is OrderVerdict.HOLDS:
            self._note_unloaded(engine, artifact)
            return True
        if verdict is OrderVerdict.TAKEN:
            engine.blocking_artifact = artifact
            self.spawn(self._await_unload(engine, artifact))
        elif verdict is OrderVerdict.REFUSED:
            # Certainly not done: it is still there.
            self._take_back(engine, artifact)
        return False

    def _take_back(self, engine: Engine, artifact: str) -> None:
        leaving = engine.unloading.pop(artifact, None)
        if leaving is not None:
            now = self._loop.time()
            engine.held[artifact] = HeldArtifact(leaving.version, now, now)
            self._view.publish_resident(engine)

    def _note_unloaded(self, engine: Engine, artifact: str) -> None:
        engine.unloading.pop(artifact, None)
        engine.record_unloaded(artifact, self._loop.time())

    async def _await_unload(self, engine: Engine, artifact: str) -> None:
        """Waits for the runs of an adapter that is to leave."""
        began = self._loop.time()
        while self._loop.time() - began < _UNLOAD_MOST_SECONDS:
            await asyncio.sleep(_UNLOAD_POLL_SECONDS)
            verdict = await self._orders.send_order(
                Action.UNLOAD, engine, artifact, again=True
            )
            if verdict is OrderVerdict.HOLDS:
                self._note_unloaded(engine, artifact)
                break
            if verdict is OrderVerdict.MISDIRECTED:
                break
        if engine.blocking_artifact == artifact:
            engine.blocking_artifact = ""

    async def _order_load(
        self, engine: Engine, artifact: str, version: int
    ) -> bool:
        began = self._loop.time()
        verdict = await self._orders.send_order(
            Action.LOAD, engine, artifact, version
        )
        if verdict is OrderVerdict.HOLDS:
            self._note_loaded(engine, artifact, version, began)
            return True
        if verdict is not OrderVerdict.TAKEN:
            return False
        pending = engine.loading.get(artifact)
        if pending is not None:
            pending.accepted = True
        soon = engine.is_cached_locally(artifact) or artifact in engine.held
        await asyncio.sleep(_RELOAD_SECONDS if soon else _LOAD_SECONDS)
        while self._loop.time() - began < _LOAD_MOST_SECONDS:
            verdict = await self._orders.send_order(
                Action.LOAD, engine, artifact, version, again=True
            )
            took = self._loop.time() - began
            blocked = engine.blocking_artifact not in ("", artifact)
            surely = blocked and took > _SURELY_LOADED_SECONDS
            if verdict is OrderVerdict.HOLDS or surely:
                self._note_loaded(engine, artifact, version, began)
                return True
            if verdict in _FAILED:
                break
            await asyncio.sleep(_POLL_SECONDS)
        engine.record_load_in_progress(artifact, self._loop.time())
        return False

    def _note_loaded(
        self, engine: Engine, artifact: str, version: int, began: float
    ) -> None:
        now = self._loop.time()
        newest = max(self._view.min_version(artifact), version, 1)
        engine.held[artifact] = HeldArtifact(newest, now, now)
        engine.unanswered.pop(artifact, None)
        self._view.publish_resident(engine)
        self._orders.telemetry.record_load_seconds(now - began)
        log_message(
            "fleet:loaded",
            upstream=engine.name,
            artifact=artifact,
            version=newest,
            places=engine.used_adapter_slots(),
            seconds=round(now - began, 4),
        )

    async def replace(
        self, engine: Engine, artifact: str, version: int
    ) -> None:
        """Brings a newer version of an adapter, which waits for its runs."""
        engine.blocking_artifact = artifact
        try:
            await self._order_load(engine, artifact, version)
        finally:
            engine.loading.pop(artifact, None)
            if engine.blocking_artifact == artifact:
                engine.blocking_artifact = ""
