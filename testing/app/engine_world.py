"""Simulated engines on the paused clock; some of their answers get lost."""

import asyncio
import collections
import random
from typing import Any

import attrs
import msgspec

from ridgesill.app.engine_loads import OwnerCallbacks
from ridgesill.app.engine_orders import Authority, EngineOrders
from ridgesill.app.fleet_loads import FleetLoads
from ridgesill.app.order_holder import deliver_order
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.health import EngineHealth
from ridgesill.core.fleet.orders import FleetOrder, OrderAnswer
from ridgesill.core.fleet.placement import Placement
from ridgesill.core.serving.routes import (
    EngineSpec,
    Model,
    RouteTable,
    Service,
)
from ridgesill.platform.upstreams import PlatformEngines
from ridgesill.ports.http import HttpRequest, ResponseHead

MODEL = "base"
_LOAD_SECONDS = 0.25
_MAX_CONCURRENT_LOADS = 4
_REPORT_LAG_SECONDS = 0.4


@attrs.define
class SimulatedEngine:
    """Simulates how an engine handles orders and reports its state.

    Attributes:
        name: the engine's name.
        places: how many adapters it can hold.
        taken: how many orders it has accepted.
        is_overfull: whether an order made it hold more adapters than it has
            places.
        held: the versions of the adapters that it holds.
        incoming: when each load in progress ends, in seconds.
        adapters_in_use: adapters whose unload waits for running requests.
        waits_for: the adapter whose unload it waits for; empty for none.
        reports: past reports and their times, in seconds.
    """

    name: str
    places: int
    taken: int = 0
    is_overfull: bool = False
    held: dict[str, int] = attrs.Factory(dict)
    incoming: dict[str, float] = attrs.Factory(dict)
    adapters_in_use: set[str] = attrs.Factory(set)
    blocking_artifact: str = ""
    reports: list[tuple[float, dict[str, Any]]] = attrs.Factory(list)

    def complete_due(self, now: float) -> None:
        """Completes loads and unloads that are due."""
        for adapter, ready_at in list(self.incoming.items()):
            if now >= ready_at:
                del self.incoming[adapter]
                self.held[adapter] = 1
        if (
            self.blocking_artifact
            and self.blocking_artifact not in self.adapters_in_use
        ):
            self.held.pop(self.blocking_artifact, None)
            self.blocking_artifact = ""

    def handle_order(self, body: dict[str, Any], now: float) -> int:
        """Executes an order; returns the HTTP status of the answer."""
        self.complete_due(now)
        adapter = body["adapter"]
        is_load = body["operation"] == "load"
        if body.get("expected_revision") not in (None, self.taken):
            return 409
        if is_load and adapter in self.incoming:
            return 202
        if (
            is_load
            and adapter in self.held
            and adapter != self.blocking_artifact
        ):
            return 200
        if not is_load and adapter not in self.held:
            return 200
        if self.blocking_artifact:
            return 409
        return self._load(adapter, now) if is_load else self._unload(adapter)

    def _load(self, adapter: str, now: float) -> int:
        if len(self.incoming) >= _MAX_CONCURRENT_LOADS:
            return 409
        self.taken += 1
        self.incoming[adapter] = now + _LOAD_SECONDS
        if len(self.held) + len(self.incoming) > self.places:
            self.is_overfull = True
        return 202

    def _unload(self, adapter: str) -> int:
        self.taken += 1
        if adapter in self.adapters_in_use:
            self.blocking_artifact = adapter
            return 202
        del self.held[adapter]
        return 200

    def describe(self) -> dict[str, Any]:
        """Returns its current state in the form of a report."""
        return {
            "sequence": self.taken,
            "busy_slots": bool(self.blocking_artifact),
            "models": [
                {
                    "name": MODEL,
                    "version": 1,
                    "adapters": [f"{a}@1" for a in self.held],
                }
            ],
            "incoming": [f"{MODEL}/{a}@1" for a in self.incoming],
        }

    def list_models(self) -> list[dict[str, Any]]:
        """Returns the models that it holds in the form of a heartbeat."""
        return [{"name": MODEL, "adapters": sorted(self.held)}]

    def artifacts(self) -> set[str]:
        """Returns the names of all artifacts that it holds."""
        return {MODEL, *map(self.artifact, self.held)}

    def artifact(self, adapter: str) -> str:
        """Returns the artifact name of one of its adapters."""
        return f"{MODEL}/{adapter}"

    def report(self, now: float) -> dict[str, Any]:
        """Returns its last report that is at least 0.4 s old."""
        self.complete_due(now)
        state = self.describe()
        self.reports.append((now, state))
        visible_reports = [
            r for at, r in self.reports if at <= now - _REPORT_LAG_SECONDS
        ]
        return visible_reports[-1] if visible_reports else self.reports[0][1]


class SimulatedExchange:
    """Exchange with a simulated engine.

    Args:
        status: HTTP status of the answer; 0 if the answer gets lost.
        body: body of the answer.
    """

    def __init__(self, status: int, body: bytes) -> None:
        self._status = status
        self._body = body

    async def read_head(self) -> ResponseHead:
        """Returns the head; waits forever if the answer is lost."""
        if not self._status:
            await asyncio.Event().wait()
        return ResponseHead(self._status, ())

    async def read_rest(self, max_bytes: int) -> bytes:
        """Returns the body of the answer."""
        assert len(self._body) <= max_bytes
        return self._body

    def cancel(self) -> None:
        """Does nothing; there is no connection to close."""


class SimulatedChannels:
    """Carries orders to simulated engines.

    Args:
        engines: the engines by address.
        rng: decides which answers are lost.
        lost: share of the orders that get no answer.

    Attributes:
        orders: the bodies of all orders that were sent.
        unanswered_delays: for each of the next orders, after how many seconds
            it is executed; none of these is answered.
    """

    def __init__(
        self,
        engines: dict[str, SimulatedEngine],
        rng: random.Random,
        lost: float,
    ) -> None:
        self._engines = engines
        self._rng = rng
        self.lost = lost
        self.orders: list[dict[str, Any]] = []
        self.unanswered_delays: collections.deque[float] = collections.deque()
        self._loop = asyncio.get_running_loop()

    async def send(
        self, address: str, request: HttpRequest
    ) -> SimulatedExchange:
        """Sends a call; orders without an answer may be executed late."""
        engine = self._engines[address]
        await asyncio.sleep(0.001)
        now = self._loop.time()
        if request.method == b"GET":
            state = engine.report(now)
            return SimulatedExchange(200, msgspec.json.encode(state))
        body = msgspec.json.decode(request.body)
        engine.report(now)
        self.orders.append(body)
        if self.unanswered_delays:
            delay = self.unanswered_delays.popleft()
        elif self._rng.random() >= self.lost:
            return SimulatedExchange(engine.handle_order(body, now), b"{}")
        else:
            delay = self._rng.choice((0.0, self._rng.uniform(2.0, 12.0)))
        self._loop.call_later(
            delay, lambda: engine.handle_order(body, self._loop.time())
        )
        return SimulatedExchange(0, b"")


def _make_spec(places: int) -> EngineSpec:
    model = Model(MODEL, 1000.0, 1.0, 99, 1.0)
    return EngineSpec(8, 1e6, places, 4.0, (model,), 4.0)


def make_table(service: str, places: int) -> RouteTable:
    """Returns a configuration with one service of simulated engines."""
    return RouteTable(1, [], [Service(service, "/", 0, _make_spec(places))])


class EngineWorld:
    """The loads of a fleet owner on simulated engines.

    Args:
        count: number of engines.
        places: places for adapters on each engine.
        seed: decides which answers are lost.
        lost: share of the orders that get no answer.
    """

    def __init__(
        self, count: int, places: int, seed: int = 1, lost: float = 0.0
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.simulated = [
            SimulatedEngine(f"u{n}", places) for n in range(count)
        ]
        by_address = {f"10.0.0.{n}:80": e for n, e in enumerate(self.simulated)}
        self.channels = SimulatedChannels(by_address, random.Random(seed), lost)
        spec = _make_spec(places)
        self.placement = Placement()
        for address, simulated in by_address.items():
            engine = Engine(simulated.name, address, "a", spec)
            engine.apply_resident({MODEL: 1})
            self.placement.engines[simulated.name] = engine
        self.authority: Authority | None = Authority("vm", 7)
        self.versions: dict[str, int] = {}
        self.busy: dict[str, int] = {}
        self.health = EngineHealth()
        self.orders = EngineOrders(
            self.channels,  # type: ignore[arg-type]
            PlatformEngines(),
            lambda _engine: self.authority,
            self._deliver,
        )
        self.loads = FleetLoads(
            self.placement,
            self.orders,
            OwnerCallbacks(
                lambda _service: list(self.placement.engines.values()),
                lambda: self.busy,
                self._artifacts_in_use,
                lambda _at: False,
                lambda artifact: self.versions.get(artifact, 0),
                lambda _engine: None,
                lambda: 0.0,
                lambda: 195,
            ),
            health=self.health,
        )

    def report_failure(self, engine: str, front: str) -> None:
        """Reports that a front could not connect to an engine."""
        now = self.loop.time()
        self.health.record_failed(engine, front, now, unreachable=True)

    async def _deliver(
        self, order: FleetOrder, _authority: Authority
    ) -> OrderAnswer:
        return await deliver_order(
            self.channels,  # type: ignore[arg-type]
            PlatformEngines(),
            order,
        )

    def _artifacts_in_use(self, name: str) -> set[str]:
        engine = next(e for e in self.simulated if e.name == name)
        return {f"{MODEL}/{adapter}" for adapter in engine.adapters_in_use}

    async def run_upkeep(self) -> None:
        """Runs the owner's periodic upkeep every 0.1 s."""
        while True:
            self.loads.start_upkeep("s", (MODEL,))
            await asyncio.sleep(0.1)
