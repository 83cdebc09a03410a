"""Which engine gets a missing artifact, and what gives way for it."""

from collections.abc import Callable

import attrs

from ridgesill.core.fleet.engines import (
    LOADS_AT_ONCE,
    Engine,
    is_adapter,
    model_of,
)
from ridgesill.core.pool.popularity import Popularity

# Half-life of requests counted for an adapter's worth, in seconds: some
# thousand requests, since a few at a time lose their demand and keep a place
# too long, but a shorter memory forgets the many of middling demand.
HALF_LIFE = 60.0
# An adapter used or loaded less than this many seconds ago doesn't give way:
# fronts tell five to ten times a second what they use. With 1.5 s the places
# of an overloaded day were all taken by adapters that nobody used any more.
_SETTLE_SECONDS = 0.4
# What a full batch costs beside the worth of what gives way, in requests.
_BUSY_COST = 2.0
# What each load on its way to the same engine costs, in the same measure.
_LOADING_COST = 0.3
# What it costs that the request has to go to another data centre: some 3 KB
# there and back, a tenth of what a load from the store is priced.
_ELSEWHERE_COST = 0.3
# What it is worth, in the same measure, that an engine had an adapter lately:
# it loads ten times as fast, and costs the store nothing.
_LATELY_BONUS = 1.0
# Copies divide an adapter's requests; the last copy is worth more than that.
_COPY_SHARE = 0.5
# Share of the requests from which an adapter may get another copy, and how many
# requests all its holders must have in progress, or which share of their places
# if that is less. An engine reads one prompt at a time, so some ten in progress
# already wait for each other. On calm days copies cost more than they save.
_SPREAD_SHARE = 0.015
_SPREAD_BUSY = 10
_SPREAD_FULL = 0.5
# Loads on their way to an engine that may get a copy; the rest is for misses.
_SPREAD_LOADING = 2
# How many adapters are looked at for copies.
_SPREAD_MOST = 12
# Requests counted before shares mean something.
_SPREAD_AFTER = 60.0
# Requests for one adapter counted from one question, so that a report after a
# long silence doesn't take long to count.
_MOST_COUNTED = 200


@attrs.frozen
class Choice:
    """Where to load, and what is unloaded first.

    Attributes:
        victim: empty when a place is free.
    """

    engine: Engine
    victim: str = ""


class Placement:
    """Ranks engines and what they hold, by decayed frequency."""

    def __init__(self, half_life: float = HALF_LIFE) -> None:
        self.popularity = Popularity(half_life)
        self.engines: dict[str, Engine] = {}

    def note_used(self, used: dict[str, int], now: float) -> None:
        """Counts requests by artifact."""
        for artifact, count in used.items():
            for _ in range(min(count, _MOST_COUNTED)):
                self.popularity.note(artifact, now)
        for engine in self.engines.values():
            for artifact in used.keys() & engine.held.keys():
                engine.held[artifact].used_at = now

    def choose_copy(
        self,
        engines: list[Engine],
        busy: dict[str, int],
        using: Callable[[str], set[str]],
        now: float,
    ) -> tuple[str, Choice] | None:
        """Returns an adapter that deserves a copy, and where it should go."""
        total = self.popularity.total(now)
        if total < _SPREAD_AFTER:
            return None
        for artifact, value in self.popularity.top(_SPREAD_MOST, now):
            if value < _SPREAD_SHARE * total:
                return None
            if not is_adapter(artifact) or not _are_full(
                [e for e in engines if artifact in e.held], busy
            ):
                continue
            idle = [e for e in engines if len(e.loading) <= _SPREAD_LOADING]
            choice = self.choose(artifact, idle, busy, using, now)
            if choice is not None and self._is_better(artifact, choice, now):
                return artifact, choice
        return None

    def _is_better(self, artifact: str, choice: Choice, now: float) -> bool:
        """Whether a copy is worth more than what gives way for it."""
        if not choice.victim:
            return True
        value = self.popularity.value(artifact, now)
        return self.worth(choice.victim, now) < value * _COPY_SHARE / 3

    def holders(self, artifact: str, version: int) -> list[Engine]:
        """Returns the engines that hold at least a version."""
        return [
            engine
            for engine in self.engines.values()
            if artifact in engine.held
            and engine.held[artifact].version >= version
        ]

    def choose(
        self,
        artifact: str,
        engines: list[Engine],
        busy: dict[str, int],
        using: Callable[[str], set[str]],
        now: float,
        data_centre: str = "",
    ) -> Choice | None:
        """Returns where to load an adapter, or None if nothing can give way.

        Args:
            artifact: the adapter.
            engines: those that may take it.
            busy: requests in progress by engine.
            using: returns the artifacts in use on an engine.
            now: the clock, in seconds.
            data_centre: where it is wanted; empty for no matter.
        """
        best: tuple[float, Choice] | None = None
        for engine in engines:
            ranked = self._rank(artifact, engine, busy, using, now)
            if ranked is None:
                continue
            cost, choice = ranked
            if data_centre and engine.data_centre != data_centre:
                cost += _ELSEWHERE_COST
            if best is None or cost < best[0]:
                best = (cost, choice)
        return best[1] if best else None

    def choose_for_model(
        self,
        model: str,
        engines: list[Engine],
        busy: dict[str, int],
        now: float,
    ) -> Choice | None:
        """Returns where to load a base model, if one has room for it."""
        roomy = [
            engine
            for engine in engines
            if engine.can_order(now)
            and not engine.is_busy()
            and not engine.loading
            and engine.has_room(model)
        ]
        best = min(roomy, key=lambda e: busy.get(e.name, 0), default=None)
        return Choice(best) if best else None

    def _rank(
        self,
        artifact: str,
        engine: Engine,
        busy: dict[str, int],
        using: Callable[[str], set[str]],
        now: float,
    ) -> tuple[float, Choice] | None:
        if not self._may_load(artifact, engine, now):
            return None
        cost = _LOADING_COST * len(engine.loading)
        share = busy.get(engine.name, 0) / max(engine.spec.slots, 1)
        cost += _BUSY_COST * share
        if engine.had_lately(artifact):
            cost -= _LATELY_BONUS
        if engine.free_places() > 0:
            return cost, Choice(engine)
        if engine.free_places() < 0:
            return None
        victim = self.choose_victim(engine, using(engine.name), now)
        if victim is None:
            return None
        return cost + self.worth(victim, now), Choice(engine, victim)

    def _may_load(self, artifact: str, engine: Engine, now: float) -> bool:
        return (
            engine.can_order(now)
            and not engine.is_busy()
            and engine.has_model(model_of(artifact))
            and artifact not in engine.held
            and artifact not in engine.loading
            and artifact not in engine.leaving
            and len(engine.loading) < LOADS_AT_ONCE
        )

    def choose_victim(
        self, engine: Engine, using: set[str], now: float
    ) -> str | None:
        """Returns the adapter of least worth that may give way."""
        settled = [
            artifact
            for artifact, held in engine.held.items()
            if is_adapter(artifact)
            and artifact not in using
            and now - held.used_at > _SETTLE_SECONDS
            and now - held.since > _SETTLE_SECONDS
        ]
        return min(settled, key=lambda a: (self.worth(a, now), a), default=None)

    def worth(self, artifact: str, now: float) -> float:
        """Returns what a copy of an adapter is worth, in requests."""
        copies = sum(artifact in e.held for e in self.engines.values())
        value = self.popularity.value(artifact, now)
        if copies <= 1:
            return value
        return value * _COPY_SHARE / copies


def _are_full(holders: list[Engine], busy: dict[str, int]) -> bool:
    """Whether every holder of an adapter has enough to do."""
    return bool(holders) and all(
        busy.get(engine.name, 0)
        >= min(_SPREAD_BUSY, _SPREAD_FULL * engine.spec.slots)
        for engine in holders
    )
