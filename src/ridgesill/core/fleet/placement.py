"""Which engine gets a missing artifact, and what gives way for it."""

import collections
from collections.abc import Callable, Collection, Sequence

import attrs

from ridgesill.core.fleet.engine_capacity import is_adapter, model_of
from ridgesill.core.fleet.engines import MAX_CONCURRENT_LOADS, Engine
from ridgesill.core.pool.popularity import Popularity

# Half-life of requests counted for an adapter's worth, in seconds: some
# thousand requests, since a few at a time lose their demand and keep a place
# too long, but a shorter memory forgets the many of middling demand.
HALF_LIFE_SECONDS = 60.0
# What a full batch costs beside the worth of what gives way, in requests, and
# each second of reading ahead: a request that waits so long is late.
_BUSY_COST = 2.0
_BACKLOG_COST = 4.0
# What it costs that a request is late, in the same measure.
_LATENESS_COST = 8.0
# What each load on its way to the same engine costs, in the same measure.
_LOADING_COST = 0.3
# What it costs that the request has to go to another data centre: some 3 KB
# there and back, a tenth of what a load from the store is priced.
_ELSEWHERE_COST = 0.3
# Share of an engine's places that stay for requests that can be in time: what
# is late, or only saves bytes, may take none of the last third. An answer of
# 300 tokens holds one for seconds, and others then come late for it (emulated,
# six seeds: 0.591 to 0.597 of the worth where places are scarce, 0.633 to 0.646
# with engines and owners lost).
_SPARE_SHARE = 1 / 3
# What it is worth, in the same measure, that an engine had an adapter lately:
# it loads ten times as fast, and costs the store nothing.
_LATELY_BONUS = 3.0
# Copies divide an adapter's requests; the last copy is worth more than that.
_COPY_SHARE = 0.5
# Requests for one adapter counted from one question, so that a report after a
# long silence doesn't take long to count.
_MOST_COUNTED = 200


@attrs.frozen
class LoadTarget:
    """Where to load, and what is unloaded first.

    Attributes:
        victim: empty when a place is free.
    """

    engine: Engine
    victim: str = ""


@attrs.frozen
class Demand:
    """What is asked of the engines now.

    Attributes:
        busy: requests in progress by engine.
        using: returns the artifacts in use on an engine.
        is_settled: whether what was handed out at a moment shows in those.
        backlog: returns seconds of reading ahead at an engine.
    """

    busy: dict[str, int]
    in_use: Callable[[str], set[str]]
    is_settled: Callable[[float], bool]
    backlog: Callable[[str], float] = lambda _engine: 0.0


class Placement:
    """Ranks engines and what they hold, by decayed frequency."""

    def __init__(self, half_life: float = HALF_LIFE_SECONDS) -> None:
        self.popularity = Popularity(half_life)
        self.engines: dict[str, Engine] = {}

    def record_requests(self, used: dict[str, int], now: float) -> None:
        """Counts requests by artifact."""
        for artifact, count in used.items():
            for _ in range(min(count, _MOST_COUNTED)):
                self.popularity.record(artifact, now)

    def take_snapshot(
        self, engines: Sequence[Engine], demand: Demand, now: float
    ) -> "PlacementSnapshot":
        """Returns a basis for choices that are made at the same moment."""
        return PlacementSnapshot(self.popularity, engines, demand, now)

    def choose_for_model(
        self,
        model: str,
        engines: Sequence[Engine],
        busy: dict[str, int],
        now: float,
    ) -> LoadTarget | None:
        """Returns where to load a base model, if one has room for it."""
        roomy = [
            engine
            for engine in engines
            if engine.accepts_orders(now)
            and not engine.is_busy()
            and not engine.loading
            and engine.fits_model(model)
        ]
        best = min(roomy, key=lambda e: busy.get(e.name, 0), default=None)
        return LoadTarget(best) if best else None


class PlacementSnapshot:
    """Engines and what each could give up, looked at once for many choices.

    Args:
        popularity: what each adapter is asked for.
        engines: those that may be chosen.
        demand: what is asked of them now.
        now: the clock, in seconds.
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
        self._victims: dict[str, str | None] = {}

    def worth(self, artifact: str) -> float:
        """Returns what a copy of an adapter is worth, in requests."""
        copies = self._copies[artifact]
        value = self._popularity.value(artifact, self.now)
        return value if copies <= 1 else value * _COPY_SHARE / copies

    def busy_share(self, engine: Engine) -> float:
        """Returns requests in progress for each place of the batch."""
        return self._demand.busy.get(engine.name, 0) / engine.spec.slots

    def backlog(self, engine: Engine) -> float:
        """Returns seconds of reading ahead at an engine."""
        return self._demand.backlog(engine.name)

    def choose(
        self,
        artifact: str,
        data_centre: str = "",
        avoid: Collection[str] = (),
        max_loading: int = MAX_CONCURRENT_LOADS - 1,
        lateness: Callable[[Engine], float] = lambda _engine: 0.0,
    ) -> LoadTarget | None:
        """Returns where to load an adapter, or None if nothing can give way.

        Args:
            artifact: the adapter.
            data_centre: where it is wanted; empty for no matter.
            avoid: engines that are not to be chosen.
            max_loading: loads under way on an engine that gets another one.
            lateness: returns how many of those who wait would be late there.
        """
        best: tuple[float, LoadTarget] | None = None
        for engine in self.engines:
            if engine.name in avoid or len(engine.loading) > max_loading:
                continue
            ranked = self._rank(artifact, engine)
            if ranked is None:
                continue
            cost, choice = ranked
            cost += _LATENESS_COST * lateness(engine)
            if data_centre and engine.data_centre != data_centre:
                cost += _ELSEWHERE_COST
            if best is None or cost < best[0]:
                best = (cost, choice)
        return best[1] if best else None

    def _rank(
        self, artifact: str, engine: Engine
    ) -> tuple[float, LoadTarget] | None:
        if not self._may_load(artifact, engine):
            return None
        cost = _LOADING_COST * len(engine.loading)
        cost += _BUSY_COST * self.busy_share(engine)
        cost += _BACKLOG_COST * self.backlog(engine)
        if engine.is_cached_locally(artifact):
            cost -= _LATELY_BONUS
        if engine.fits_adapter(artifact):
            return cost, LoadTarget(engine)
        victim = self.victim(engine)
        if victim is None or not engine.fits_adapter(artifact, victim):
            return None
        return cost + self.worth(victim), LoadTarget(engine, victim)

    def _may_load(self, artifact: str, engine: Engine) -> bool:
        return (
            engine.accepts_orders(self.now)
            and not engine.is_busy()
            and engine.has_model(model_of(artifact))
            and artifact not in engine.held
            and artifact not in engine.loading
            and artifact not in engine.unloading
        )

    def crowded_engines(self) -> set[str]:
        """Returns the engines without places to spare."""
        return {e.name for e in self.engines if not self._has_spare(e)}

    def _has_spare(self, engine: Engine) -> bool:
        using = self._demand.in_use(engine.name)
        in_use = sum(artifact in using for artifact in engine.held)
        taken = in_use + len(engine.loading)
        places = engine.spec.adapter_slots
        return places - taken > _SPARE_SHARE * places

    def victim(self, engine: Engine) -> str | None:
        """Returns the adapter of least worth that may give way."""
        if engine.name not in self._victims:
            self._victims[engine.name] = self._find_victim(engine)
        return self._victims[engine.name]

    def _find_victim(self, engine: Engine) -> str | None:
        using = self._demand.in_use(engine.name)
        idle = [
            artifact
            for artifact, held in engine.held.items()
            if is_adapter(artifact)
            and artifact not in using
            and artifact not in engine.loading
            and self._demand.is_settled(max(held.assigned_at, held.loaded_at))
        ]
        return min(idle, key=lambda a: (self.worth(a), a), default=None)

    def describe(self) -> dict[str, int]:
        """Returns counts that say why an adapter finds no place."""
        using = [
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
            "in_use": sum(map(len, using)),
            "loading": sum(len(e.loading) for e in self.engines),
            "leaving": sum(len(e.unloading) for e in self.engines),
            "unanswered": sum(len(e.unanswered) for e in self.engines),
            "requests": sum(self._demand.busy.values()),
        }

    def invalidate_engine(self, engine: Engine) -> None:
        """Looks at an engine anew: something was chosen for it."""
        self._victims.pop(engine.name, None)
