"""What engines should hold without being asked: models, copies, versions."""

import asyncio
from collections.abc import Callable

from ridgesill.app.engine_loads import EngineLoads, OwnerCallbacks
from ridgesill.app.engine_orders import EngineOrders
from ridgesill.core.fleet.copies import choose_copies
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.model_rate import ModelLoadRate
from ridgesill.core.fleet.placement import (
    LoadTarget,
    Placement,
    PlacementSnapshot,
)

# How often copies are thought of, in seconds: all counts are looked at, and
# fronts report what they use a few times a second.
_SPREAD_SECONDS = 0.3
# How long before its first order an owner asks engines what they hold, in
# seconds: a report takes some milliseconds, and is asked for once.
_PREPARE_SECONDS = 0.3
# How often an engine is asked for the same report, in seconds: one that takes
# an order each tenth of a second seldom has one from after the last.
_ASK_SECONDS = 0.4
# How long replacements wait for requests on the old version to end, in seconds:
# an engine that waits for them takes no other order. No new ones go there, and
# the longest time-outs are 12 s. After 2.5 s one engine of six was blocked for
# two to five seconds on most played days.
_REPLACE_PATIENCE = 12.0


class FleetUpkeep:
    """Tends engines a few times a second.

    Args:
        placement: which adapters deserve copies.
        orders: asks engines what they hold.
        loads: has engines load and unload.
        view: what it needs to know of the owner.
        placement_snapshot: returns the engines of a service as they are now.
    """

    def __init__(
        self,
        placement: Placement,
        orders: EngineOrders,
        loads: EngineLoads,
        view: OwnerCallbacks,
        placement_snapshot: Callable[[str], PlacementSnapshot],
    ) -> None:
        self._placement = placement
        self._orders = orders
        self._loads = loads
        self._view = view
        self._placement_snapshot = placement_snapshot
        self._loop = asyncio.get_running_loop()
        self._rate = ModelLoadRate()
        self._spread_at: dict[str, float] = {}
        self._replace_since: dict[tuple[str, str], float] = {}

    def maintain(self, service: str, models: tuple[str, ...]) -> None:
        """Asks engines what they hold, and mends what they lack."""
        now = self._loop.time()
        orders_in = self._view.orders_allowed_from() - now
        if orders_in > _PREPARE_SECONDS:
            return
        for engine in self._view.list_engines(service):
            if not engine.accepts_orders(now) or engine.is_busy():
                continue
            if self._is_known(engine, now) and orders_in <= 0:
                self._mend(service, engine, models, now)
        if orders_in <= 0:
            self._spread(service, now)

    def _is_known(self, engine: Engine, now: float) -> bool:
        """Whether it is known what an engine holds; else has it asked."""
        if (
            engine.needs_report(now)
            and now >= engine.report_requested_at + _ASK_SECONDS
        ):
            self._loads.spawn(self._orders.refresh_report(engine))
        return engine.revision is not None or bool(engine.loading)

    def _mend(
        self, service: str, engine: Engine, models: tuple[str, ...], now: float
    ) -> None:
        """Does the most urgent thing that an engine needs."""
        if engine.free_adapter_slots() < 0:
            self._make_room(service, engine)
        elif not any(engine.has_model(model) for model in models):
            self._begin_model(engine, models, now)
        else:
            self._renew_old(service, engine, now)

    def _spread(self, service: str, now: float) -> None:
        """Loads copies of much wanted adapters."""
        if now < self._spread_at.get(service, now):
            return
        self._spread_at[service] = now + _SPREAD_SECONDS
        placement_snapshot = self._placement_snapshot(service)
        for artifact, choice in choose_copies(
            self._placement.popularity, placement_snapshot
        ):
            self._loads.reserve(choice, artifact)
            placement_snapshot.invalidate_engine(choice.engine)
            version = self._view.min_version(artifact)
            self._loads.spawn(self._loads.load(choice, artifact, version))

    def _make_room(self, service: str, engine: Engine) -> None:
        """Unloads from an engine that is believed to hold too much."""
        if engine.loading or engine.unloading:
            return
        victim = self._placement_snapshot(service).victim(engine)
        if victim is not None:
            self._let_go(engine, victim)

    def _let_go(self, engine: Engine, artifact: str) -> None:
        self._loads.mark_for_unload(engine, artifact)
        self._loads.spawn(self._loads.unload(engine, artifact))

    def _begin_model(
        self, engine: Engine, models: tuple[str, ...], now: float
    ) -> None:
        for model in models:
            if engine.loading or not engine.fits_model(model):
                return
            if not self._rate.acquire(engine.spec.loads_per_second, now):
                return
            choice = LoadTarget(engine)
            self._loads.reserve(choice, model)
            self._loads.spawn(self._loads.load(choice, model, 0))

    # -- new versions --------------------------------------------------

    def _renew_old(self, service: str, engine: Engine, now: float) -> None:
        """Replaces or unloads one adapter of which a newer version is named."""
        for artifact, held in list(engine.held.items()):
            version = self._view.min_version(artifact)
            if held.version >= version or artifact in engine.loading:
                continue
            if self._may_renew(engine, artifact, now):
                self._renew(service, engine, artifact, version)
                return

    def _may_renew(self, engine: Engine, artifact: str, now: float) -> bool:
        """Whether requests on the old version have ended, or had the time."""
        key = (engine.name, artifact)
        since = self._replace_since.setdefault(key, now)
        in_use = artifact in self._view.artifacts_in_use(engine.name)
        if in_use and now - since < _REPLACE_PATIENCE:
            return False
        del self._replace_since[key]
        return True

    def _renew(
        self, service: str, engine: Engine, artifact: str, version: int
    ) -> None:
        newer = any(
            other.held[artifact].version >= version
            for other in self._view.list_engines(service)
            if artifact in other.held
        )
        if newer:
            # A request has had it loaded elsewhere; a copy comes when needed.
            self._let_go(engine, artifact)
            return
        self._loads.reserve(LoadTarget(engine), artifact)
        self._loads.spawn(self._loads.replace(engine, artifact, version))
