"""Routes by host and path prefix, and the services behind them."""

import functools
from collections.abc import Iterable

import attrs

from ridgesill.core.serving.customers import Customers

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"


@attrs.frozen
class Target:
    """A service behind a route, and its weight in splitting the requests."""

    service: str
    weight: int = 1


@attrs.frozen
class Route:
    """Maps a host and a path prefix to services.

    Attributes:
        name: unique name of the route.
        host: host name, compared without case.
        prefix: path prefix, which ends at a slash.
        kind: `safe` requests may be repeated, `unsafe` ones may not, and
            `stream` ones only if `resumable`.
        timeout: seconds within which a request gets its final answer.
        goal: seconds within which an answer is in time.
        priority: 0 is the most urgent.
        targets: the services, with their weights.
        attempts: highest number of upstreams that a request is sent to.
        affinity: whether requests name the parts of their prompt.
        resumable: whether an interrupted stream can be resumed.
        pause_goal: seconds; the longest pause between two events in time.
        is_public: whether requests need no API key.
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
        """Whether a request may be executed more than once."""
        return self.kind == SAFE or self.is_resumable_stream

    @property
    def is_resumable_stream(self) -> bool:
        """Whether a broken stream may be taken up at another upstream."""
        return self.kind == STREAM and self.resumable

    def choose_target(self, draw: float) -> str:
        """Returns the service for a random number from 0 to below 1."""
        total = sum(target.weight for target in self.targets)
        remaining = draw * total
        for target in self.targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        return self.targets[-1].service


@attrs.frozen
class Model:
    """A base model that engines of a service may hold.

    Attributes:
        name: name of the model.
        weights_mb: size of its weights, in MB.
        load_seconds: seconds that loading it takes.
        adapters: number of its adapters.
        adapter_mb: size of an adapter, in MB.
    """

    name: str
    weights_mb: float
    load_seconds: float
    adapters: int
    adapter_mb: float


@attrs.frozen
class EngineSpec:
    """Capacities of the model engines of a service.

    Attributes:
        slots: requests that an engine runs at once.
        weights_mb: memory for weights and adapters, in MB.
        adapter_slots: adapters that an engine may hold.
        loads_per_second: model loads from the weight store, over all engines.
        models: the base models of the service.
        adapter_loads_per_second: the same for adapters; 0 if their rate isn't
            stated.
    """

    slots: int
    weights_mb: float
    adapter_slots: int
    loads_per_second: float
    models: tuple[Model, ...]
    adapter_loads_per_second: float = 0.0

    def model(self, name: str) -> Model | None:
        """Returns a model by name; None if it is unknown."""
        return next((m for m in self.models if m.name == name), None)


@attrs.frozen
class Service:
    """A service that runs on upstreams.

    Attributes:
        name: unique name of the service.
        health_path: path of the health check.
        connections: connections that an upstream accepts from all callers.
        engine: capacities of its engines; None for a plain service.
    """

    name: str
    health_path: str
    connections: int
    engine: EngineSpec | None = None


@attrs.frozen
class ClientLimits:
    """Limits on the size and the timing of client requests.

    Attributes:
        header_bytes: size of the request line and all headers.
        body_bytes: size of the body.
        header_seconds: time from the first byte of a head to its end.
        idle_seconds: time that a connection may be idle between requests.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 2**20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


# For interfaces whose requests have no body.
BODILESS_LIMITS = ClientLimits(body_bytes=4096)


class RouteTable:
    """The routes in force.

    Args:
        version: version of the configuration.
        routes: all routes.
        services: all services.
        limits: limits for clients; None if the configuration names none.
        customers: all customers; None if callers need no API keys.

    Attributes:
        shortest_goal: the shortest goal of all routes, in seconds; infinite if
            there is none.
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
        self.shortest_goal = float("inf")
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route
            if route.goal > 0:
                self.shortest_goal = min(self.shortest_goal, route.goal)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, None if none."""
        by_prefix = self._by_host.get(_strip_port(host))
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    @functools.cached_property
    def _shortest_pause_goals(self) -> dict[str, float]:
        # Kept, since the owner asks for each request of an engine, and there
        # may be over a thousand routes.
        goals: dict[str, float] = {}
        for by_prefix in self._by_host.values():
            for route in by_prefix.values():
                for target in route.targets:
                    if route.pause_goal > 0:
                        known = goals.get(target.service, route.pause_goal)
                        goals[target.service] = min(known, route.pause_goal)
        return goals

    def longest_stream_timeouts(self) -> dict[str, float]:
        """Returns the longest time-out of streams that may be resumed.

        Returns:
            Seconds, by service.
        """
        timeouts: dict[str, float] = {}
        for by_prefix in self._by_host.values():
            for route in by_prefix.values():
                if not route.is_resumable_stream:
                    continue
                for target in route.targets:
                    known = timeouts.get(target.service, 0.0)
                    timeouts[target.service] = max(known, route.timeout)
        return timeouts

    def shortest_plain_goals(self) -> dict[str, float]:
        """Returns the shortest goal of each plain service, in seconds.

        Services without a route that has a goal aren't included.
        """
        goals: dict[str, float] = {}
        for by_prefix in self._by_host.values():
            for route in by_prefix.values():
                for target in route.targets:
                    service = self.services.get(target.service)
                    is_plain = service is not None and service.engine is None
                    if is_plain and route.goal > 0:
                        known = goals.get(target.service, route.goal)
                        goals[target.service] = min(known, route.goal)
        return goals

    def shortest_pause_goal(self, service: str) -> float:
        """Returns the shortest pause goal of a service's routes, in seconds.

        Returns:
            0 if no route to the service has a pause goal.
        """
        return self._shortest_pause_goals.get(service, 0.0)


def _strip_port(host: str) -> str:
    """Returns the host name of a Host header, without port, in lower case."""
    name, separator, port = host.rpartition(":")
    if separator and port.isdigit():
        host = name
    return host.lower()
