"""The parameters of an emulated run."""

import attrs

from ridgesill.standin.emulator.batch import EngineShape
from ridgesill.standin.emulator.demand import (
    Burst,
    CustomerBurst,
    Popularity,
    RequestKind,
)


@attrs.frozen
class Crash:
    """An engine's crash, after which it restarts without adapters.

    Attributes:
        at: when it crashes, in seconds from the first request.
        seconds: time until a new incarnation starts.
        engine: number of the engine, from 0.
    """

    at: float
    seconds: float
    engine: int = 0


@attrs.frozen
class Scenario:
    """A deployment, its load and its faults. Times are in seconds.

    Attributes:
        name: name in reports.
        seconds: duration of the load.
        fronts: number of fronts.
        engines: number of engines.
        data_centres: number of data centres; nodes are assigned in turn.
        shapes: capacity and speed of the engines, assigned in turn.
        places: adapter slots of each engine.
        kept: recently held adapters that an engine can load without the
            store.
        load_seconds: duration of a load from the store.
        fast_loads: concurrent loads up to which the store isn't slower.
        near: one-way delay between nodes, also across data centres.
        caller_delay: one-way delay from a caller to a front.
        rate_factor: factor applied to the request rates of all kinds.
        kinds: kinds of requests.
        popularity: popularity of adapters.
        bursts: periods with higher request rates.
        crashes: crashes of engines.
        owner_losses: when the fleet owner of that time stops.
        customers: number of customers; 0 if callers need no keys.
        customer_burst: a burst of rare adapters from one customer, if any.
        loads_per_second: rate of the store that the configuration states.
        is_warm: whether engines hold the most popular adapters at the start.
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
    customers: int = 0
    customer_burst: CustomerBurst | None = None
    loads_per_second: float = 1.0
    is_warm: bool = False
