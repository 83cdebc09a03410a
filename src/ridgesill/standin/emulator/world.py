"""An emulated deployment that runs the real fronts and fleet owners."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs

from ridgesill.app.fleet_client import FleetClient, UsageReport
from ridgesill.app.fleet_owner import FleetOwner
from ridgesill.app.front import Front
from ridgesill.core.fleet.messages import (
    ReadingEnded,
    WantArtifact,
    WatchFleet,
)
from ridgesill.core.fleet.orders import DeliverOrder, HolderAlive
from ridgesill.core.freshness import Freshness
from ridgesill.core.serving.choice import Chooser
from ridgesill.core.serving.customers import (
    Customer,
    Customers,
    digest_key,
)
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.core.serving.retries import RetryBounds
from ridgesill.core.serving.routes import (
    STREAM,
    EngineSpec,
    Model,
    Route,
    RouteTable,
    Service,
    Target,
)
from ridgesill.core.state import State
from ridgesill.ports.peers import PeerError
from ridgesill.standin.emulator.adapter_slots import AdapterSlots, AdapterStore
from ridgesill.standin.emulator.callers import Caller
from ridgesill.standin.emulator.control import EmulatedControl
from ridgesill.standin.emulator.demand import Arrival, Demand
from ridgesill.standin.emulator.engines import (
    EmulatedChannels,
    EmulatedEngine,
)
from ridgesill.standin.emulator.messages import EmulatedCalls, EmulatedDialect
from ridgesill.standin.emulator.network import EmulatedPeers
from ridgesill.standin.emulator.scenario import Crash, Scenario
from ridgesill.standin.emulator.worth import Outcome

ENGINE_SERVICE = "engines"
BASE_MODEL = "base"
_MODEL_MB = 42_700.0
_ADAPTER_MB = 66.0
# Lease and heartbeat interval as deployed, and the time from the start of the
# deployment to the first request.
_LEASE_SECONDS = 3.0
_HEARTBEAT_SECONDS = 1.2
_WARM_UP_SECONDS = 3.0
# From the loss of an owner until the next one leads; election timeouts are
# 1.2 to 1.9 s.
_ELECTION_SECONDS = 1.6
# Nodes that own the fleet in turn, each after the loss of the one before.
_OWNER_ADDRESSES = tuple(f"10.0.0.{number}:70" for number in range(1, 6))


@attrs.define
class EmulationResult:
    """The outcomes and totals of an emulated run.

    Attributes:
        outcomes: one outcome per request, in order of their start.
        loads: loads from the store.
        reloads: loads from engines' own caches.
        tokens_read: prompt tokens prefilled.
        tokens_cached: prompt tokens found in prefix caches.
        overfilled: whether any engine was ordered beyond its adapter slots.
    """

    outcomes: list[Outcome]
    loads: int = 0
    reloads: int = 0
    tokens_read: int = 0
    tokens_cached: int = 0
    overfilled: bool = False


class EmulatedDeployment:
    """Runs one scenario with one seed; for a single run.

    Args:
        scenario: deployment, load and faults.
        seed: seed of all random draws.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._seed = seed
        self._rng = random.Random(seed)
        self._warm_adapters: list[list[str]] = []
        self._loop = asyncio.get_running_loop()
        self._state = State()
        self._nodes: dict[str, Callable[..., Any]] = {}
        self._leader_address = ""
        self._current_term = 0
        self._store = AdapterStore(scenario.load_seconds, scenario.fast_loads)
        self._engines: dict[str, EmulatedEngine] = {}
        self._all_engines: list[EmulatedEngine] = []
        self._incarnations = itertools.count()
        self._arrivals = self._draw_arrivals()
        self._plans = {a.name: a.plan for a in self._arrivals}
        self._table = self._make_table()
        self._controls: dict[str, EmulatedControl] = {}
        self._owners: dict[str, FleetOwner] = {}
        self._tasks: list[asyncio.Task[Any]] = []

    def _draw_arrivals(self) -> list[Arrival]:
        scenario = self._scenario
        kinds = tuple(
            attrs.evolve(kind, rate=kind.rate * scenario.rate_factor)
            for kind in scenario.kinds
        )
        demand = Demand(
            kinds,
            scenario.popularity,
            scenario.bursts,
            BASE_MODEL,
            self._rng,
            scenario.customers,
        )
        if scenario.is_warm:
            self._warm_adapters = demand.popular_adapters(
                scenario.engines, scenario.places
            )
        arrivals = demand.draw(scenario.seconds)
        if scenario.customer_burst is not None:
            rng = random.Random(f"{self._seed} burst")
            arrivals += demand.draw_customer_burst(scenario.customer_burst, rng)
        return sorted(arrivals, key=lambda arrival: arrival.at)

    def _make_table(self) -> RouteTable:
        scenario = self._scenario
        spec = EngineSpec(
            scenario.shapes[0].slots,
            _MODEL_MB + _ADAPTER_MB * (scenario.places + 1),
            scenario.places,
            scenario.loads_per_second,
            (Model(BASE_MODEL, _MODEL_MB, 1.3, 10**6, _ADAPTER_MB),),
            scenario.loads_per_second,
        )
        routes = [
            Route(
                kind.name,
                "",
                f"/{kind.name}/",
                STREAM,
                kind.patience,
                kind.goal,
                kind.priority,
                (Target(ENGINE_SERVICE),),
                kind.attempts,
                True,
                kind.resumable,
                kind.pause_goal,
            )
            for kind in scenario.kinds
        ]
        services = [Service(ENGINE_SERVICE, "/", 0, spec)]
        return RouteTable(1, routes, services, None, self._make_customers())

    def _make_customers(self) -> Customers | None:
        names = [f"c{number}" for number in range(self._scenario.customers)]
        if not names:
            return None
        customers = {digest_key(n.encode()): Customer(n) for n in names}
        return Customers(tuple(customers.values()), customers)

    # -- nodes ---------------------------------------------------------

    def _data_centre(self, number: int) -> str:
        return f"dc{number % self._scenario.data_centres}"

    def _start_engine(self, number: int) -> EmulatedEngine:
        scenario = self._scenario
        address = f"10.1.0.{number}:80"
        engine = EmulatedEngine(
            f"e{number}.{next(self._incarnations)}",
            address,
            self._data_centre(number),
            scenario.shapes[number % len(scenario.shapes)],
            AdapterSlots(
                BASE_MODEL, scenario.places, scenario.kept, self._store
            ),
            self._plans,
            self._state.artifact_versions,
        )
        if self._warm_adapters:
            for adapter in self._warm_adapters[number]:
                engine.adapter_slots.held[f"{BASE_MODEL}/{adapter}"] = 1
        self._engines[address] = engine
        self._all_engines.append(engine)
        return engine

    def _start_owner(self, name: str) -> None:
        peers = EmulatedPeers(self._nodes, name, self._scenario.near)
        control = EmulatedControl(
            name, self._state, peers, lambda: self._leader_address
        )
        follower = FleetClient(peers, lambda: self._leader_address, name)
        owner = FleetOwner(
            control,  # type: ignore[arg-type]
            follower,
            EmulatedChannels(  # type: ignore[arg-type]
                self._engines, self._scenario.near
            ),
            EmulatedCalls(),
            _LEASE_SECONDS,
            _HEARTBEAT_SECONDS,
        )
        owner.apply_table(self._table)
        self._controls[name] = control
        self._owners[name] = owner
        self._nodes[name] = lambda sender, message: _dispatch(
            owner, sender, message
        )
        self._start_task(owner.run())
        self._start_task(owner.holder.run())
        self._start_task(follower.run())

    def _make_leader(self, name: str, predecessor_until: float) -> None:
        """Makes a node the leader of the log, in a new term.

        Args:
            name: address of the node.
            predecessor_until: when a quorum last followed the previous
                leader.
        """
        self._current_term += 1
        self._controls[name].become_leader(
            self._current_term, predecessor_until
        )
        self._leader_address = name

    def _make_front(self, number: int) -> Front:
        name = f"f{number}"
        peers = EmulatedPeers(self._nodes, name, self._scenario.near)
        fronts: list[Front] = []
        fleet = FleetClient(
            peers,
            lambda: self._leader_address,
            name,
            lambda: _make_usage_report(fronts[0]),
        )
        front = Front(
            Chooser(
                self._data_centre(number),
                fleet.view,
                Outcomes(),
                random.Random(self._rng.random()),
            ),
            fleet,
            EmulatedChannels(  # type: ignore[arg-type]
                self._engines, self._scenario.near
            ),
            EmulatedDialect({n: p.facts for n, p in self._plans.items()}),
            RetryBounds(),
            # The configuration never changes, so it counts as confirmed.
            freshness=Freshness(float("inf"), as_of=0.0),
        )
        front.rng = random.Random(self._rng.random())
        front.table = self._table
        fronts.append(front)
        self._start_task(fleet.run())
        return front

    def _start_task(self, coroutine: Any) -> None:
        self._tasks.append(self._loop.create_task(coroutine))

    # -- load and faults -----------------------------------------------

    async def run(self) -> EmulationResult:
        """Runs the scenario to the end of its last request."""
        scenario = self._scenario
        for name in _OWNER_ADDRESSES:
            self._start_owner(name)
        self._make_leader(_OWNER_ADDRESSES[0], float("-inf"))
        for number in range(scenario.engines):
            self._start_task(self._send_heartbeats(self._start_engine(number)))
        fronts = [self._make_front(n) for n in range(scenario.fronts)]
        await asyncio.sleep(_WARM_UP_SECONDS)
        self._spawn_faults()
        outcomes = await self._send_requests(fronts)
        for task in self._tasks:
            task.cancel()
        return EmulationResult(
            outcomes,
            self._store.loads,
            self._store.reloads,
            sum(e.batch.tokens_read for e in self._all_engines),
            sum(e.batch.tokens_cached for e in self._all_engines),
            any(e.adapter_slots.overfilled for e in self._all_engines),
        )

    async def _send_requests(self, fronts: list[Front]) -> list[Outcome]:
        began = self._loop.time()
        tasks = []
        for arrival in self._arrivals:
            await asyncio.sleep(began + arrival.at - self._loop.time())
            caller = Caller(
                arrival,
                fronts,
                self._caller_rng(arrival),
                self._scenario.caller_delay,
            )
            tasks.append(self._loop.create_task(caller.run()))
        return list(await asyncio.gather(*tasks))

    def _caller_rng(self, arrival: Arrival) -> random.Random:
        """Returns what a caller draws from.

        With customers each has its own, so that a burst of one customer changes
        no draw of the others.
        """
        if not self._scenario.customers:
            return self._rng
        return random.Random(f"{self._seed} {arrival.name}")

    async def _send_heartbeats(self, engine: EmulatedEngine) -> None:
        while engine.is_up:
            owner = (
                self._owners[self._leader_address]
                if self._leader_address
                else None
            )
            if owner is not None and owner.is_owner():
                owner.handle_heartbeat(engine.heartbeat(ENGINE_SERVICE))
                await asyncio.sleep(_HEARTBEAT_SECONDS)
            else:
                await asyncio.sleep(0.1)

    def _spawn_faults(self) -> None:
        for crash in self._scenario.crashes:
            self._start_task(self._crash(crash))
        for at in self._scenario.owner_losses:
            self._start_task(self._lose_owner(at))

    async def _crash(self, crash: Crash) -> None:
        await asyncio.sleep(crash.at)
        engine = self._engines[f"10.1.0.{crash.engine}:80"]
        engine.crash()
        await asyncio.sleep(crash.seconds)
        self._start_task(
            self._send_heartbeats(self._start_engine(crash.engine))
        )

    async def _lose_owner(self, at: float) -> None:
        await asyncio.sleep(at)
        lost_owner = self._leader_address
        self._controls[lost_owner].step_down()
        handle = self._nodes.pop(lost_owner)
        self._leader_address = ""
        lost_at = self._loop.time()
        await asyncio.sleep(_ELECTION_SECONDS)
        successor = (_OWNER_ADDRESSES.index(lost_owner) + 1) % len(
            _OWNER_ADDRESSES
        )
        self._make_leader(_OWNER_ADDRESSES[successor], lost_at)
        self._nodes[lost_owner] = handle


def _make_usage_report(front: Front) -> UsageReport:
    return UsageReport(
        front.collect_request_counts(), front.chooser.report_busy()
    )


async def _dispatch(owner: FleetOwner, sender: str, message: Any) -> Any:
    """Passes a message to an owner's handler, as a control node does.

    Raises:
        PeerError: no handler exists for this type of message.
    """
    if isinstance(message, WatchFleet):
        return await owner.handle_watch(sender, message)
    if isinstance(message, WantArtifact):
        return await owner.handle_want(message)
    if isinstance(message, HolderAlive):
        return owner.handle_holder_alive(message)
    if isinstance(message, DeliverOrder):
        return await owner.holder.handle_order(message)
    if isinstance(message, ReadingEnded):
        return await owner.handle_reading_ended(sender, message)
    raise PeerError(
        type(message).__name__,
        sender,
        "the emulated owner has no handler for this message; add one here",
    )
