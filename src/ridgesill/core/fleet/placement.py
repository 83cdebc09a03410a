"""Which engine loads a missing artifact, and which adapter it unloads first."""

import collections
from collections.abc import Callable, Collection, Sequence

import attrs

from ridgesill.core.fleet.engine_capacity import is_adapter, model_of
from ridgesill.core.fleet.engines import MAX_CONCURRENT_LOADS, Engine
from ridgesill.core.fleet.load_shares import SlotClaim
from ridgesill.core.pool.popularity import Popularity

# Half-life of the request counts from which an adapter's value is computed, in
# seconds; it covers about a thousand requests. With a longer half-life,
# adapters that are requested in short bursts keep their slots after the demand
# has ended. With a shorter one, the many adapters of medium demand are
# forgotten.
HALF_LIFE_SECONDS = 60.0
# Costs that are added to the value of the unloaded adapter when engines are
# compared, in requests: for a full batch, and for each second of backlog. A
# request that waits for a second of backlog is late.
_BUSY_COST = 2.0
_BACKLOG_COST = 4.0
# Cost of each waiting request that would be late on the engine, in requests.
_LATENESS_COST = 8.0
# Cost of each load already in progress on the engine, in requests.
_LOADING_COST = 0.3
# Cost of sending a request to another data centre, in requests. It transfers
# about 3 KB in both directions, which costs a tenth of a load from the store.
_REMOTE_COST = 0.3
# Share of an engine's adapter slots that is reserved for requests that can meet
# their goal. Loads for late requests, and loads that only save traffic, may not
# use the last third. An answer of 300 tokens occupies a slot for seconds, and
# makes other requests late. The reserve raises the share of request value that
# is earned from 0.591 to 0.597 where slots are scarce, and from 0.633 to 0.646
# while engines and owners are being lost.
_SPARE_SHARE = 1 / 3
# Bonus of an engine that has the adapter in its local cache, in requests: the
# load is ten times as fast and puts no load on the store.
_CACHED_BONUS = 3.0
# Several copies share an adapter's requests. Each is worth less than its part
# of them, because the last remaining copy is worth more.
_COPY_SHARE = 0.5
# Greatest number of requests for one adapter that are counted from one report,
# so that a report after a long silence is counted quickly.
_MAX_COUNTED_REQUESTS = 200


@attrs.frozen
class LoadTarget:
    """An engine to load an artifact on, and what it unloads first.

    Attributes:
        engine: the engine that loads the artifact.
        victim: the adapter that is unloaded first; empty if a slot is free.
    """

    engine: Engine
    victim: str = ""


@attrs.frozen
class Demand:
    """The current use of the engines.

    Attributes:
        busy: the number of requests in progress by engine.
        in_use: returns the artifacts that requests in progress use on an
            engine.
        is_use_reported: returns whether a request that was assigned at a given
            time, in seconds, is already counted in the two above.
        backlog: returns the time that an engine needs for the prompts that it
            has yet to read, in seconds.
    """

    busy: dict[str, int]
    in_use: Callable[[str], set[str]]
    is_use_reported: Callable[[float], bool]
    backlog: Callable[[str], float] = lambda _engine: 0.0


class Placement:
    """Ranks adapters by decayed request counts, and chooses engines for loads.

    Args:
        half_life: the half-life of the request counts, in seconds.
    """

    def __init__(self, half_life: float = HALF_LIFE_SECONDS) -> None:
        self.popularity = Popularity(half_life)
        self.engines: dict[str, Engine] = {}

    def record_requests(self, used: dict[str, int], now: float) -> None:
        """Counts requests by artifact."""
        for artifact, count in used.items():
            for _ in range(min(count, _MAX_COUNTED_REQUESTS)):
                self.popularity.record(artifact, now)

    def take_snapshot(
        self, engines: Sequence[Engine], demand: Demand, now: float
    ) -> "PlacementSnapshot":
        """Returns a snapshot from which several loads can be placed at once."""
        return PlacementSnapshot(self.popularity, engines, demand, now)

    def choose_for_model(
        self,
        model: str,
        engines: Sequence[Engine],
        busy: dict[str, int],
        now: float,
    ) -> LoadTarget | None:
        """Returns the least busy engine that has memory for a base model.

        Returns None if no engine can load the model now.

        Args:
            model: the base model.
            engines: the engines that may be chosen.
            busy: the number of requests in progress by engine.
            now: the owner's clock, in seconds.
        """
        candidates = [
            engine
            for engine in engines
            if engine.accepts_orders(now)
            and not engine.is_busy()
            and not engine.loading
            and engine.fits_model(model)
        ]
        best = min(candidates, key=lambda e: busy.get(e.name, 0), default=None)
        return LoadTarget(best) if best else None


class PlacementSnapshot:
    """The state of a set of engines at one time, for choosing where to load.

    The adapter that each engine would unload is computed once and reused for
    all choices.

    Args:
        popularity: the decayed request counts by adapter.
        engines: the engines that may be chosen.
        demand: the current use of these engines.
        now: the owner's clock, in seconds.
    """

    def __init__(
        self,
        popularity: Popularity,
        engines: Sequence[Engine],
        demand: Demand,
        now: float,
    ) -> None:
        self.now = now
        self._popularity = popularity
        self.engines = engines
        self._demand = demand
        self._copies = collections.Counter(
            artifact for engine in engines for artifact in engine.held
        )
        # By engine, and by the customer of a claim; None without one.
        self._victims: dict[str, dict[str | None, str | None]] = {}

    def copy_value(self, artifact: str) -> float:
        """Returns the value of one copy of an adapter, in requests."""
        copies = self._copies[artifact]
        value = self._popularity.value(artifact, self.now)
        return value if copies <= 1 else value * _COPY_SHARE / copies

    def busy_share(self, engine: Engine) -> float:
        """Returns the requests in progress per slot of the engine's batch."""
        return self._demand.busy.get(engine.name, 0) / engine.spec.slots

    def backlog(self, engine: Engine) -> float:
        """Returns the time for the prompts yet to be read, in seconds."""
        return self._demand.backlog(engine.name)

    def choose(
        self,
        artifact: str,
        data_centre: str = "",
        avoid: Collection[str] = (),
        max_loading: int = MAX_CONCURRENT_LOADS - 1,
        lateness: Callable[[Engine], float] = lambda _engine: 0.0,
        claim: SlotClaim | None = None,
    ) -> LoadTarget | None:
        """Returns where to load an adapter, or None if no engine can take it.

        Args:
            artifact: the adapter.
            data_centre: the data centre from which it is requested; empty if it
                does not matter.
            avoid: the names of engines that must not be chosen.
            max_loading: the greatest number of loads in progress on an engine
                that may be chosen.
            lateness: returns how many of the waiting requests would be late on
                an engine.
            claim: what may be unloaded for a customer above its fair share;
                None if any idle adapter may.
        """
        best: tuple[tuple[bool, float], LoadTarget] | None = None
        for engine in self.engines:
            if engine.name in avoid or len(engine.loading) > max_loading:
                continue
            scored = self._score(artifact, engine, claim)
            if scored is None:
                continue
            cost, target = scored
            cost += _LATENESS_COST * lateness(engine)
            if data_centre and engine.data_centre != data_centre:
                cost += _REMOTE_COST
            takes_from_others = bool(
                claim and target.victim and not claim.is_own(target.victim)
            )
            key = (takes_from_others, cost)
            if best is None or key < best[0]:
                best = (key, target)
        return best[1] if best else None

    def _score(
        self, artifact: str, engine: Engine, claim: SlotClaim | None
    ) -> tuple[float, LoadTarget] | None:
        """Returns the cost and target of a load; None if it is impossible."""
        if not self._is_loadable(artifact, engine):
            return None
        cost = _LOADING_COST * len(engine.loading)
        cost += _BUSY_COST * self.busy_share(engine)
        cost += _BACKLOG_COST * self.backlog(engine)
        if engine.is_cached_locally(artifact):
            cost -= _CACHED_BONUS
        if engine.fits_adapter(artifact):
            return cost, LoadTarget(engine)
        victim = self.victim(engine, claim)
        if victim is None or not engine.fits_adapter(artifact, victim):
            return None
        return cost + self.copy_value(victim), LoadTarget(engine, victim)

    def _is_loadable(self, artifact: str, engine: Engine) -> bool:
        """Returns whether an engine would accept an order to load."""
        return (
            engine.accepts_orders(self.now)
            and not engine.is_busy()
            and engine.has_model(model_of(artifact))
            and artifact not in engine.held
            and artifact not in engine.loading
            and artifact not in engine.unloading
        )

    def crowded_engines(self) -> set[str]:
        """Returns the names of the engines without spare adapter slots."""
        return {e.name for e in self.engines if not self._has_spare_slots(e)}

    def _has_spare_slots(self, engine: Engine) -> bool:
        """Returns whether more slots are free than are held in reserve."""
        used_artifacts = self._demand.in_use(engine.name)
        in_use_count = sum(
            artifact in used_artifacts for artifact in engine.held
        )
        used_slots = in_use_count + len(engine.loading)
        slots = engine.spec.adapter_slots
        return slots - used_slots > _SPARE_SHARE * slots

    def victim(
        self, engine: Engine, claim: SlotClaim | None = None
    ) -> str | None:
        """Returns the adapter of least value that may be unloaded, if any.

        With a claim, one of the customer's own goes first.
        """
        victims = self._victims.setdefault(engine.name, {})
        key = claim.customer if claim else None
        if key not in victims:
            victims[key] = self._find_victim(engine, claim)
        return victims[key]

    def _find_victim(
        self, engine: Engine, claim: SlotClaim | None
    ) -> str | None:
        """Returns the adapter of least value that no request uses, if any."""
        used_artifacts = self._demand.in_use(engine.name)
        idle = [
            artifact
            for artifact, held in engine.held.items()
            if is_adapter(artifact)
            and artifact not in used_artifacts
            and artifact not in engine.loading
            and self._demand.is_use_reported(
                max(held.assigned_at, held.loaded_at)
            )
        ]
        if claim is not None:
            own = [artifact for artifact in idle if claim.is_own(artifact)]
            idle = own or [a for a in idle if not claim.is_needed(a)]
        return min(idle, key=lambda a: (self.copy_value(a), a), default=None)

    def describe(self) -> dict[str, int]:
        """Returns counts that explain why an adapter cannot be loaded."""
        used_artifacts = [
            self._demand.in_use(e.name) & e.held.keys() for e in self.engines
        ]
        return {
            "engines": len(self.engines),
            "suspended": sum(
                not e.accepts_orders(self.now) for e in self.engines
            ),
            "waiting_for_runs": sum(
                bool(e.blocking_artifact) for e in self.engines
            ),
            "unknown_revision": sum(e.revision is None for e in self.engines),
            "held": sum(len(e.held) for e in self.engines),
            "in_use": sum(map(len, used_artifacts)),
            "loading": sum(len(e.loading) for e in self.engines),
            "leaving": sum(len(e.unloading) for e in self.engines),
            "unanswered": sum(len(e.unanswered) for e in self.engines),
            "requests": sum(self._demand.busy.values()),
        }

    def invalidate_engine(self, engine: Engine) -> None:
        """Discards what was computed for an engine, after a load was placed."""
        self._victims.pop(engine.name, None)
