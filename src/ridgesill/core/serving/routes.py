"""Routes by host and prefix, and the services that they lead to."""

from collections.abc import Iterable

import attrs

from ridgesill.core.serving.customers import Customers

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"


@attrs.frozen
class Target:
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: int = 1


@attrs.frozen
class Route:
    """One route.

    Attributes:
        kind: `safe` requests may run again, `unsafe` ones may not; `stream`
            ones only where `resumable`.
        timeout: seconds within which a request gets its final answer.
        goal: seconds within which an answer is in time.
        priority: 0 is the most urgent.
        attempts: upstreams that one request may go to at most.
        affinity: whether requests name the parts of their prompt.
        pause_goal: seconds; the longest pause between events in time.
        is_public: whether its requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout: float
    goal: float
    priority: int
    targets: tuple[Target, ...]
    attempts: int = 1
    affinity: bool = False
    resumable: bool = False
    pause_goal: float = 0.0
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)

    def choose_target(self, draw: float) -> str:
        """Returns the service for a draw between 0 and 1."""
        total = sum(target.weight for target in self.targets)
        rest = draw * total
        for target in self.targets:
            rest -= target.weight
            if rest < 0:
                return target.service
        return self.targets[-1].service


@attrs.frozen
class Model:
    """A base model that engines of a service may hold."""

    name: str
    weights_mb: float
    load_seconds: float
    adapters: int
    adapter_mb: float


@attrs.frozen
class EngineSpec:
    """What the model engines of a service can do.

    Attributes:
        slots: requests that run at once.
        weights_mb: room for weights and adapters together.
        adapter_slots: places for adapters.
        loads_per_second: model loads from the weight store, over all engines.
    """

    slots: int
    weights_mb: float
    adapter_slots: int
    loads_per_second: float
    models: tuple[Model, ...]

    def model(self, name: str) -> Model | None:
        """Returns a model by name."""
        return next((m for m in self.models if m.name == name), None)


@attrs.frozen
class Service:
    """A service; `engine` is None for a plain one.

    Attributes:
        connections: channels that an upstream takes from all callers.
    """

    name: str
    health_path: str
    connections: int
    engine: EngineSpec | None = None


@attrs.frozen
class ClientLimits:
    """What a client may send, and for how long it may keep quiet.

    Attributes:
        header_bytes: of the request line and all headers.
        body_bytes: of a request's body.
        header_seconds: from the first byte of a head to its end.
        idle_seconds: that a channel may rest between requests.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 2**20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RouteTable:
    """The routes in force.

    Args:
        version: of the configuration.
        routes: all routes.
        services: all services.
        limits: for clients; None where the configuration names none.
        customers: None where callers need no keys.
    """

    def __init__(
        self,
        version: int = 0,
        routes: Iterable[Route] = (),
        services: Iterable[Service] = (),
        limits: ClientLimits | None = None,
        customers: Customers | None = None,
    ) -> None:
        self.version = version
        self.limits = limits
        self.customers = customers
        self.services = {service.name: service for service in services}
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of the longest prefix that begins a path."""
        by_prefix = self._by_host.get(_bare_host(host))
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _bare_host(host: str) -> str:
    """Returns a Host header's name without its port."""
    name, separator, port = host.rpartition(":")
    if separator and port.isdigit():
        host = name
    return host.lower()
