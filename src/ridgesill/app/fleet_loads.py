"""Brings artifacts to engines for the requests that wait for them."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from eliot import log_message, write_traceback

from ridgesill.app.engine_orders import EngineOrders
from ridgesill.core.fleet.engines import (
    Engine,
    Held,
    Pending,
    is_adapter,
)
from ridgesill.core.fleet.messages import ArtifactReady, WantArtifact
from ridgesill.core.fleet.orders import Action, OrderVerdict
from ridgesill.core.fleet.placement import Choice, Placement

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
# How often a want that finds no place looks again.
_RETRY_SECONDS = 0.03
# Engines that one want tries.
_TRIES = 3
# Copies wait while more wants than this are under way.
_SPREAD_WANTS_MOST = 10
# How often copies are thought of, in seconds: all counts are looked at.
_SPREAD_SECONDS = 0.3
# Replacements wait this long for requests on the old version to end, so that
# the engine isn't blocked by them.
_REPLACE_PATIENCE = 2.5


@attrs.define
class _Loading:
    """A load that requests wait for."""

    answer: asyncio.Future[ArtifactReady]


@attrs.frozen
class LoadsView:
    """What loading needs to know of its owner.

    Attributes:
        engines: returns the engines of a service that may be ordered.
        busy: returns requests in progress by upstream.
        using: returns artifacts in use by upstream.
        version: returns the oldest version of an artifact that may serve.
        tell: called with an engine whose holdings have changed.
        orders_from: returns from when orders are allowed.
    """

    engines: Callable[[str], list[Engine]]
    busy: Callable[[], dict[str, int]]
    using: Callable[[str], set[str]]
    version: Callable[[str], int]
    tell: Callable[[Engine], None]
    orders_from: Callable[[], float]


class FleetLoads:
    """Answers wants by loads, one for all who want the same.

    Args:
        placement: which engine loads and what gives way.
        orders: gives orders to engines.
        view: what it needs to know of the owner.
    """

    def __init__(
        self, placement: Placement, orders: EngineOrders, view: LoadsView
    ) -> None:
        self._placement = placement
        self._orders = orders
        self._view = view
        self._loop = asyncio.get_running_loop()
        self._loadings: dict[tuple[str, str], _Loading] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._copying = False
        self._spread_at = float("-inf")
        self._replace_since: dict[tuple[str, str], float] = {}

    def end(self) -> None:
        """Ends all wants: this node owns the fleet no more."""
        for loading in self._loadings.values():
            if not loading.answer.done():
                refused = ArtifactReady("", after=0.1, reason="owner_changed")
                loading.answer.set_result(refused)
        self._loadings.clear()

    # -- wants ---------------------------------------------------------

    async def want(self, want: WantArtifact) -> ArtifactReady:
        """Returns once an engine holds what is wanted, or none will."""
        deadline = self._loop.time() + want.patience
        answer = ArtifactReady("", reason="no_time", after=0.5)
        while True:
            ready = self._find_ready(want)
            if ready is not None:
                return ready
            left = deadline - self._loop.time()
            if left <= 0:
                return answer
            wait = self._view.orders_from() - self._loop.time()
            if wait > left:
                return ArtifactReady("", after=wait, reason="earlier_owner")
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            answer = await self._await_load(want, left)
            if answer.upstream or answer.reason == "owner_changed":
                return answer
            await asyncio.sleep(_RETRY_SECONDS)

    def _find_ready(self, want: WantArtifact) -> ArtifactReady | None:
        for engine in self._view.engines(want.service):
            held = engine.held.get(want.artifact)
            if held is None or held.version < want.version:
                continue
            if engine.name not in want.avoid and not engine.draining:
                return ArtifactReady(engine.name, held.version)
        return None

    async def _await_load(
        self, want: WantArtifact, seconds: float
    ) -> ArtifactReady:
        key = (want.service, want.artifact)
        loading = self._loadings.get(key)
        if loading is None:
            loading = _Loading(self._loop.create_future())
            self._loadings[key] = loading
            self._spawn(self._bring(want, loading))
        try:
            return await asyncio.wait_for(
                asyncio.shield(loading.answer), seconds
            )
        except TimeoutError:
            return ArtifactReady("", after=0.5, reason="load_too_slow")

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _bring(self, want: WantArtifact, loading: _Loading) -> None:
        answer = ArtifactReady("", after=0.5, reason="load_failed")
        try:
            answer = await self._bring_somewhere(want)
        except Exception:  # noqa: BLE001 - those who wait must get an answer
            write_traceback()
        finally:
            key = (want.service, want.artifact)
            if self._loadings.get(key) is loading:
                del self._loadings[key]
            if not loading.answer.done():
                loading.answer.set_result(answer)

    async def _bring_somewhere(self, want: WantArtifact) -> ArtifactReady:
        avoid = set(want.avoid)
        for _ in range(_TRIES):
            choice = self._choose(want, avoid)
            if choice is None:
                return ArtifactReady("", after=0.3, reason="no_place")
            engine = choice.engine
            if await self._load(choice, want.artifact, want.version):
                held = engine.held.get(want.artifact)
                return ArtifactReady(engine.name, held.version if held else 0)
            avoid.add(engine.name)
        return ArtifactReady("", after=0.5, reason="loads_failed")

    def _choose(self, want: WantArtifact, avoid: set[str]) -> Choice | None:
        engines = [
            engine
            for engine in self._view.engines(want.service)
            if engine.name not in avoid
        ]
        now = self._loop.time()
        busy = self._view.busy()
        if not is_adapter(want.artifact):
            return self._placement.choose_for_model(
                want.artifact, engines, busy, now
            )
        return self._placement.choose(
            want.artifact,
            engines,
            busy,
            self._view.using,
            now,
            want.data_centre,
        )

    # -- loads ---------------------------------------------------------

    async def _load(self, choice: Choice, artifact: str, version: int) -> bool:
        """Unloads what gives way, loads, and waits until it is there."""
        engine = choice.engine
        engine.loading[artifact] = Pending()
        try:
            if choice.victim and not await self._unload(engine, choice.victim):
                return False
            return await self._order_load(engine, artifact, version)
        finally:
            engine.loading.pop(artifact, None)

    async def _unload(self, engine: Engine, artifact: str) -> bool:
        """Returns whether an adapter's place is free now."""
        held = engine.held.pop(artifact, None)
        if held is None:
            return True
        engine.leaving[artifact] = self._loop.time()
        self._view.tell(engine)
        verdict = await self._orders.give(Action.UNLOAD, engine, artifact)
        if verdict is OrderVerdict.HOLDS:
            engine.leaving.pop(artifact, None)
            engine.note_left(artifact, self._loop.time())
            return True
        if verdict is OrderVerdict.TAKEN:
            engine.waits_for = artifact
            self._spawn(self._await_unload(engine, artifact))
        elif verdict is OrderVerdict.REFUSED:
            # Certainly not done: it is still there.
            engine.leaving.pop(artifact, None)
            engine.held[artifact] = held
            self._view.tell(engine)
        return False

    async def _await_unload(self, engine: Engine, artifact: str) -> None:
        """Waits for the runs of an adapter that is to leave."""
        began = self._loop.time()
        while self._loop.time() - began < _UNLOAD_MOST_SECONDS:
            await asyncio.sleep(_UNLOAD_POLL_SECONDS)
            verdict = await self._orders.give(
                Action.UNLOAD, engine, artifact, again=True
            )
            if verdict is OrderVerdict.HOLDS:
                engine.leaving.pop(artifact, None)
                engine.note_left(artifact, self._loop.time())
                break
            if verdict is OrderVerdict.MISDIRECTED:
                break
        if engine.waits_for == artifact:
            engine.waits_for = ""

    async def _order_load(
        self, engine: Engine, artifact: str, version: int
    ) -> bool:
        began = self._loop.time()
        verdict = await self._orders.give(
            Action.LOAD, engine, artifact, version
        )
        if verdict is OrderVerdict.HOLDS:
            self._note_loaded(engine, artifact, version, began)
            return True
        if verdict is not OrderVerdict.TAKEN:
            return False
        pending = engine.loading.get(artifact)
        if pending is not None:
            pending.taken = True
        soon = engine.had_lately(artifact) or artifact in engine.held
        await asyncio.sleep(_RELOAD_SECONDS if soon else _LOAD_SECONDS)
        while self._loop.time() - began < _LOAD_MOST_SECONDS:
            verdict = await self._orders.give(
                Action.LOAD, engine, artifact, version, again=True
            )
            took = self._loop.time() - began
            blocked = engine.waits_for not in ("", artifact)
            surely = blocked and took > _SURELY_LOADED_SECONDS
            if verdict is OrderVerdict.HOLDS or surely:
                self._note_loaded(engine, artifact, version, began)
                return True
            if verdict in (OrderVerdict.MISDIRECTED, OrderVerdict.FENCED):
                return False
            await asyncio.sleep(_POLL_SECONDS)
        return False

    def _note_loaded(
        self, engine: Engine, artifact: str, version: int, began: float
    ) -> None:
        now = self._loop.time()
        newest = max(self._view.version(artifact), version, 1)
        engine.held[artifact] = Held(newest, now, now)
        engine.ghosts.pop(artifact, None)
        self._view.tell(engine)
        self._orders.telemetry.note_load(now - began)
        log_message(
            "fleet:loaded",
            upstream=engine.name,
            artifact=artifact,
            version=newest,
            places=engine.places_taken(),
            seconds=round(now - began, 4),
        )

    # -- base models and new versions ----------------------------------

    def tend(self, service: str, models: tuple[str, ...]) -> None:
        """Brings base models back to engines, and new versions in force."""
        now = self._loop.time()
        if now < self._view.orders_from():
            return
        for engine in self._view.engines(service):
            if not engine.can_order(now) or engine.is_busy():
                continue
            if engine.has_old_ghosts(now):
                engine.revision = None
            if engine.revision is None and not engine.loading:
                self._spawn(self._orders.prepare(engine))
                continue
            if engine.free_places() < 0:
                self._make_room(engine, now)
                continue
            if not any(engine.has_model(model) for model in models):
                self._begin_model(engine, models)
                continue
            self._replace_old(engine, now)
        self._spread(service, now)

    def _spread(self, service: str, now: float) -> None:
        """Loads a copy of a much wanted adapter, one at a time."""
        if self._copying or len(self._loadings) > _SPREAD_WANTS_MOST:
            return
        if now < self._spread_at:
            return
        self._spread_at = now + _SPREAD_SECONDS
        chosen = self._placement.choose_copy(
            self._view.engines(service),
            self._view.busy(),
            self._view.using,
            now,
        )
        if chosen is not None:
            artifact, choice = chosen
            self._copying = True
            self._spawn(self._copy(artifact, choice))

    async def _copy(self, artifact: str, choice: Choice) -> None:
        try:
            version = self._view.version(artifact)
            await self._load(choice, artifact, version)
        finally:
            self._copying = False

    def _make_room(self, engine: Engine, now: float) -> None:
        """Unloads from an engine that is believed to hold too much."""
        if engine.loading or engine.leaving:
            return
        using = self._view.using(engine.name)
        victim = self._placement.choose_victim(engine, using, now)
        if victim is not None:
            self._spawn(self._unload(engine, victim))

    def _begin_model(self, engine: Engine, models: tuple[str, ...]) -> None:
        for model in models:
            if engine.loading or not engine.has_room(model):
                return
            engine.loading[model] = Pending()
            self._spawn(self._load(Choice(engine), model, 0))

    def _replace_old(self, engine: Engine, now: float) -> None:
        for artifact, held in list(engine.held.items()):
            version = self._view.version(artifact)
            if held.version >= version or artifact in engine.loading:
                continue
            key = (engine.name, artifact)
            since = self._replace_since.setdefault(key, now)
            in_use = artifact in self._view.using(engine.name)
            if in_use and now - since < _REPLACE_PATIENCE:
                continue
            del self._replace_since[key]
            engine.loading[artifact] = Pending()
            self._spawn(self._replace(engine, artifact, version))
            return

    async def _replace(
        self, engine: Engine, artifact: str, version: int
    ) -> None:
        engine.waits_for = artifact
        try:
            await self._order_load(engine, artifact, version)
        finally:
            engine.loading.pop(artifact, None)
            if engine.waits_for == artifact:
                engine.waits_for = ""
