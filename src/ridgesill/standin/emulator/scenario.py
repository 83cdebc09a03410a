"""What an emulated day is made of."""

import attrs

from ridgesill.standin.emulator.batch import EngineShape
from ridgesill.standin.emulator.demand import Burst, Popularity, RequestKind


@attrs.frozen
class Crash:
    """An engine that is gone for a while, and comes back empty."""

    at: float
    seconds: float
    engine: int = 0


@attrs.frozen
class Scenario:
    """A deployment and its day. Times in seconds.

    Attributes:
        shapes: of the engines, in turn.
        places: for adapters, on each engine.
        kept: adapters given up lately that an engine loads without the store.
        near: one way within a data centre or to another one.
        caller_delay: one way to a front.
        owner_losses: when the owner of the fleet is lost.
        versions: when a new version of the adapter of some rank is named.
    """

    name: str
    seconds: float = 34.0
    fronts: int = 6
    engines: int = 6
    data_centres: int = 3
    shapes: tuple[EngineShape, ...] = (EngineShape(),)
    places: int = 9
    kept: int = 54
    load_seconds: float = 0.25
    fast_loads: int = 8
    near: float = 0.0012
    caller_delay: float = 0.003
    rate_factor: float = 1.0
    kinds: tuple[RequestKind, ...] = ()
    popularity: Popularity = Popularity()
    bursts: tuple[Burst, ...] = ()
    crashes: tuple[Crash, ...] = ()
    owner_losses: tuple[float, ...] = ()
