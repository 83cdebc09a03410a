"""Loads and unloads that no request asks for: models, copies, new versions."""

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

# Interval between decisions on further copies, in seconds: each one reads all
# usage counts, and fronts report their usage a few times a second.
_COPIES_INTERVAL_SECONDS = 0.3
# How long before an owner may send its first order it asks engines for their
# reports, in seconds; a report takes a few milliseconds.
_ASK_AHEAD_SECONDS = 0.3
# Minimum time between two requests for an engine's report, in seconds. An
# engine that gets an order every 0.1 s seldom has a report newer than the last
# order, so it would be asked all the time.
_ASK_INTERVAL_SECONDS = 0.4
# How long a replacement waits for requests on the old version to end, in
# seconds: an engine that waits for them itself accepts no other order. No new
# requests use the old version, and the longest time-outs are 12 s. With 2.5 s,
# one engine of six was often blocked for two to five seconds.
_REPLACE_PATIENCE_SECONDS = 12.0


class FleetUpkeep:
    """Keeps engines supplied with models, copies and current versions.

    Args:
        placement: knows how often each adapter is used.
        orders: asks engines for their reports.
        loads: sends load and unload orders to engines.
        view: the owner's state of engines, versions and usage.
        placement_snapshot: returns the state of a service's engines on which
            choices among them are based.
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
        self._load_rate = ModelLoadRate()
        self._copies_at: dict[str, float] = {}
        self._replace_since: dict[tuple[str, str], float] = {}

    def maintain(self, service: str, models: tuple[str, ...]) -> None:
        """Asks engines for reports and sends the orders that are due.

        Called a few times a second.

        Args:
            service: service of the engines.
            models: models of the service; an engine without any loads them.
        """
        now = self._loop.time()
        orders_in = self._view.orders_allowed_from() - now
        if orders_in > _ASK_AHEAD_SECONDS:
            return
        for engine in self._view.list_engines(service):
            if not engine.accepts_orders(now) or engine.is_busy():
                continue
            if self._is_known(engine, now) and orders_in <= 0:
                self._start_most_urgent(service, engine, models, now)
        if orders_in <= 0:
            self._load_copies(service, now)

    def _is_known(self, engine: Engine, now: float) -> bool:
        """Whether an engine's artifacts are known; requests a due report."""
        if (
            engine.needs_report(now)
            and now >= engine.report_requested_at + _ASK_INTERVAL_SECONDS
        ):
            self._loads.spawn(self._orders.refresh_report(engine))
        return engine.revision is not None or bool(engine.loading)

    def _start_most_urgent(
        self, service: str, engine: Engine, models: tuple[str, ...], now: float
    ) -> None:
        """Starts the most urgent order for an engine, if it needs any.

        In this order: unload if it holds too much, load a model if it has
        none, replace an adapter of an old version.
        """
        if engine.free_adapter_slots() < 0:
            self._unload_excess(service, engine)
        elif not any(engine.has_model(model) for model in models):
            self._begin_model_loads(engine, models, now)
        else:
            self._renew_outdated(service, engine, now)

    def _load_copies(self, service: str, now: float) -> None:
        """Loads further copies of adapters in high demand."""
        if now < self._copies_at.get(service, now):
            return
        self._copies_at[service] = now + _COPIES_INTERVAL_SECONDS
        placement_snapshot = self._placement_snapshot(service)
        for artifact, choice in choose_copies(
            self._placement.popularity, placement_snapshot
        ):
            self._loads.reserve(choice, artifact)
            placement_snapshot.invalidate_engine(choice.engine)
            version = self._view.min_version(artifact)
            self._loads.spawn(self._loads.load(choice, artifact, version))

    def _unload_excess(self, service: str, engine: Engine) -> None:
        """Unloads an artifact from an engine that holds too many."""
        if engine.loading or engine.unloading:
            return
        victim = self._placement_snapshot(service).victim(engine)
        if victim is not None:
            self._begin_unload(engine, victim)

    def _begin_unload(self, engine: Engine, artifact: str) -> None:
        self._loads.mark_for_unload(engine, artifact)
        self._loads.spawn(self._loads.unload(engine, artifact))

    def _begin_model_loads(
        self, engine: Engine, models: tuple[str, ...], now: float
    ) -> None:
        for model in models:
            if engine.loading or not engine.fits_model(model):
                return
            if not self._load_rate.acquire(engine.spec.loads_per_second, now):
                return
            choice = LoadTarget(engine)
            self._loads.reserve(choice, model)
            self._loads.spawn(self._loads.load(choice, model, 0))

    # -- new versions --------------------------------------------------

    def _renew_outdated(self, service: str, engine: Engine, now: float) -> None:
        """Replaces or unloads one adapter for which a newer version exists."""
        for artifact, held in list(engine.held.items()):
            version = self._view.min_version(artifact)
            if held.version >= version or artifact in engine.loading:
                continue
            if self._can_renew(engine, artifact, now):
                self._renew(service, engine, artifact, version)
                return

    def _can_renew(self, engine: Engine, artifact: str, now: float) -> bool:
        """Whether no request uses the old version, or the patience is over."""
        key = (engine.name, artifact)
        since = self._replace_since.setdefault(key, now)
        in_use = artifact in self._view.artifacts_in_use(engine.name)
        if in_use and now - since < _REPLACE_PATIENCE_SECONDS:
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
            # Another engine has the new version already; a copy is loaded here
            # when it is needed.
            self._begin_unload(engine, artifact)
            return
        self._loads.reserve(LoadTarget(engine), artifact)
        self._loads.spawn(self._loads.replace(engine, artifact, version))
