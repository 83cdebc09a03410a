"""Loads and unloads artifacts on one engine and tracks the results."""

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

# Time to load an adapter from the store while few loads are in progress, and
# time to load one that the engine held recently, which is ten times faster.
# Both in seconds.
_LOAD_SECONDS = 0.25
_RELOAD_SECONDS = 0.025
# How often an engine is asked whether a load is done, in seconds.
_LOAD_POLL_SECONDS = 0.02
# An engine that waits until one artifact is no longer in use doesn't answer
# whether other loads are done. A load on such an engine counts as done after
# this time, in seconds.
_ASSUME_LOADED_SECONDS = 0.4
# How long a load may take before it counts as failed, in seconds.
_MAX_LOAD_SECONDS = 3.0
# How often an engine is asked whether an unload that waits for running requests
# is done, and how long that may take, in seconds. The longest request timeouts
# are 12 s.
_UNLOAD_POLL_SECONDS = 0.1
_MAX_UNLOAD_SECONDS = 15.0
# Verdicts after which a load has failed: the engine is gone, unreachable or
# follows another owner.
_FAILED_VERDICTS = frozenset(
    (OrderVerdict.MISDIRECTED, OrderVerdict.FENCED, OrderVerdict.UNKNOWN)
)


@attrs.frozen
class OwnerCallbacks:
    """Functions of the fleet's owner that loading needs.

    Attributes:
        list_engines: returns the engines of a service.
        requests_in_progress: returns the requests in progress by upstream.
        artifacts_in_use: returns the artifacts in use on an upstream.
        have_fronts_reported_since: whether every front has reported after a
            time, in seconds of the loop's clock.
        min_version: returns the oldest version of an artifact that may serve.
        publish_resident: called with an engine whose resident artifacts have
            changed.
        orders_allowed_from: returns the time from which orders are allowed, in
            seconds of the loop's clock.
        count_fronts: returns how many fronts there are.
        is_resting: whether an engine accepts no requests from most fronts.
        is_limited: whether an engine accepts only a limited request rate.
        pause_goal: returns the shortest pause goal of a service's routes, in
            seconds; 0 if they have none.
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
    pause_goal: Callable[[str], float] = lambda _service: 0.0


class EngineLoads:
    """Has engines load and unload artifacts, and tracks their state.

    Args:
        orders: sends orders to engines.
        owner: functions of the fleet's owner that loading needs.
    """

    def __init__(self, orders: EngineOrders, owner: OwnerCallbacks) -> None:
        self._orders = orders
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Any) -> None:
        """Runs a coroutine as a task and keeps a reference until it ends."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reserve(self, choice: LoadTarget, artifact: str) -> None:
        """Reserves a place, so that no other load is planned there.

        Also marks the artifact to be replaced for unloading.
        """
        engine = choice.engine
        engine.loading[artifact] = PendingLoad(choice.victim)
        if choice.victim:
            self.mark_for_unload(engine, choice.victim)

    def mark_for_unload(self, engine: Engine, artifact: str) -> None:
        """Marks an artifact for unloading; fronts stop sending requests."""
        held = engine.held.pop(artifact)
        engine.unloading[artifact] = PendingUnload(
            self._loop.time(), held.version
        )
        self._owner.publish_resident(engine)

    async def load(
        self, choice: LoadTarget, artifact: str, version: int
    ) -> bool:
        """Unloads the artifact to be replaced, then loads a new one.

        Returns:
            Whether the engine holds the new artifact.
        """
        engine = choice.engine
        try:
            if choice.victim and not await self.unload(engine, choice.victim):
                return False
            return await self._order_load(engine, artifact, version)
        finally:
            engine.loading.pop(artifact, None)

    async def unload(self, engine: Engine, artifact: str) -> bool:
        """Orders the unload of a marked artifact.

        Returns:
            Whether its place is free already. An unload that waits for running
            requests is followed up in the background.
        """
        verdict = await self._orders.send_order(Action.UNLOAD, engine, artifact)
        if verdict is OrderVerdict.HOLDS:
            self._record_unloaded(engine, artifact)
            return True
        if verdict is OrderVerdict.TAKEN:
            engine.blocking_artifact = artifact
            self.spawn(self._await_unload(engine, artifact))
        elif verdict is OrderVerdict.REFUSED:
            # The engine has refused the order, so it still holds the artifact.
            self._revert_unload(engine, artifact)
        return False

    def _revert_unload(self, engine: Engine, artifact: str) -> None:
        leaving = engine.unloading.pop(artifact, None)
        if leaving is not None:
            now = self._loop.time()
            engine.held[artifact] = HeldArtifact(leaving.version, now, now)
            self._owner.publish_resident(engine)

    def _record_unloaded(self, engine: Engine, artifact: str) -> None:
        engine.unloading.pop(artifact, None)
        engine.record_unloaded(artifact, self._loop.time())

    async def _await_unload(self, engine: Engine, artifact: str) -> None:
        """Waits until running requests have ended and the unload is done."""
        started_at = self._loop.time()
        while self._loop.time() - started_at < _MAX_UNLOAD_SECONDS:
            await asyncio.sleep(_UNLOAD_POLL_SECONDS)
            verdict = await self._orders.send_order(
                Action.UNLOAD, engine, artifact, again=True
            )
            if verdict is OrderVerdict.HOLDS:
                self._record_unloaded(engine, artifact)
                break
            if verdict is OrderVerdict.MISDIRECTED:
                break
        if engine.blocking_artifact == artifact:
            engine.blocking_artifact = ""

    async def _order_load(
        self, engine: Engine, artifact: str, version: int
    ) -> bool:
        started_at = self._loop.time()
        verdict = await self._orders.send_order(
            Action.LOAD, engine, artifact, version
        )
        if verdict is OrderVerdict.HOLDS:
            self._record_loaded(engine, artifact, version, started_at)
            return True
        if verdict is not OrderVerdict.TAKEN:
            return False
        pending = engine.loading.get(artifact)
        if pending is not None:
            pending.accepted = True
        is_cached = (
            engine.is_cached_locally(artifact) or artifact in engine.held
        )
        await asyncio.sleep(_RELOAD_SECONDS if is_cached else _LOAD_SECONDS)
        while self._loop.time() - started_at < _MAX_LOAD_SECONDS:
            verdict = await self._orders.send_order(
                Action.LOAD, engine, artifact, version, again=True
            )
            elapsed = self._loop.time() - started_at
            is_blocked = engine.blocking_artifact not in ("", artifact)
            is_assumed_loaded = is_blocked and elapsed > _ASSUME_LOADED_SECONDS
            if verdict is OrderVerdict.HOLDS or is_assumed_loaded:
                self._record_loaded(engine, artifact, version, started_at)
                return True
            if verdict in _FAILED_VERDICTS:
                break
            await asyncio.sleep(_LOAD_POLL_SECONDS)
        engine.record_load_in_progress(artifact, self._loop.time())
        return False

    def _record_loaded(
        self, engine: Engine, artifact: str, version: int, started_at: float
    ) -> None:
        now = self._loop.time()
        newest = max(self._owner.min_version(artifact), version, 1)
        engine.held[artifact] = HeldArtifact(newest, now, now)
        engine.unanswered.pop(artifact, None)
        self._owner.publish_resident(engine)
        self._orders.telemetry.record_load_seconds(now - started_at)
        log_message(
            "fleet:loaded",
            upstream=engine.name,
            artifact=artifact,
            version=newest,
            places=engine.used_adapter_slots(),
            seconds=round(now - started_at, 4),
        )

    async def replace(
        self, engine: Engine, artifact: str, version: int
    ) -> None:
        """Loads a newer version of an adapter in place.

        The engine waits until no request uses the old version.
        """
        engine.blocking_artifact = artifact
        try:
            await self._order_load(engine, artifact, version)
        finally:
            engine.loading.pop(artifact, None)
            if engine.blocking_artifact == artifact:
                engine.blocking_artifact = ""
