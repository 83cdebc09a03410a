"""An emulated deployment: fronts and the owner of the fleet, as they are."""

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
from ridgesill.core.serving.choice import Chooser
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
from ridgesill.standin.emulator.callers import Caller
from ridgesill.standin.emulator.control import EmulatedControl
from ridgesill.standin.emulator.demand import Arrival, Demand
from ridgesill.standin.emulator.engines import (
    EmulatedChannels,
    EmulatedEngine,
)
from ridgesill.standin.emulator.messages import EmulatedCalls, EmulatedDialect
from ridgesill.standin.emulator.network import EmulatedPeers
from ridgesill.standin.emulator.places import Places, Store
from ridgesill.standin.emulator.scenario import Crash, Scenario
from ridgesill.standin.emulator.worth import Outcome

SERVICE = "engines"
MODEL = "base"
_MODEL_MB = 42_700.0
_ADAPTER_MB = 66.0
# The platform's lease, heartbeats and first requests, in seconds.
_LEASE = 3.0
_HEARTBEAT = 1.2
_LEAD = 3.0
# From the loss of an owner until the next one leads, in seconds: elections
# begin after 1.2 to 1.9.
_ELECTION = 1.6
# Nodes that may own the fleet, by turns.
_OWNERS = tuple(f"10.0.0.{number}:70" for number in range(1, 6))


@attrs.define
class Day:
    """What was seen of a played day."""

    outcomes: list[Outcome]
    loads: int = 0
    reloads: int = 0
    tokens_read: int = 0
    tokens_found: int = 0
    overfull: bool = False


class World:
    """Plays one scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._state = State()
        self._nodes: dict[str, Callable[..., Any]] = {}
        self._leader = ""
        self._term = 0
        self._store = Store(scenario.load_seconds, scenario.fast_loads)
        self._engines: dict[str, EmulatedEngine] = {}
        self._all_engines: list[EmulatedEngine] = []
        self._incarnations = itertools.count()
        self._arrivals = self._draw()
        self._plans = {a.name: a.plan for a in self._arrivals}
        self._table = self._make_table()
        self._controls: dict[str, EmulatedControl] = {}
        self._owners: dict[str, FleetOwner] = {}
        self._tasks: list[asyncio.Task[Any]] = []

    def _draw(self) -> list[Arrival]:
        scenario = self._scenario
        kinds = tuple(
            attrs.evolve(kind, rate=kind.rate * scenario.rate_factor)
            for kind in scenario.kinds
        )
        demand = Demand(
            kinds, scenario.popularity, scenario.bursts, MODEL, self._rng
        )
        return demand.draw(scenario.seconds)

    def _make_table(self) -> RouteTable:
        scenario = self._scenario
        spec = EngineSpec(
            scenario.shapes[0].slots,
            _MODEL_MB + _ADAPTER_MB * (scenario.places + 1),
            scenario.places,
            1.0,
            (Model(MODEL, _MODEL_MB, 1.3, 10**6, _ADAPTER_MB),),
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
                (Target(SERVICE),),
                kind.attempts,
                True,
                kind.resumable,
                kind.pause_goal,
            )
            for kind in scenario.kinds
        ]
        return RouteTable(1, routes, [Service(SERVICE, "/", 0, spec)])

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
            Places(MODEL, scenario.places, scenario.kept, self._store),
            self._plans,
            self._state.artifact_versions,
        )
        self._engines[address] = engine
        self._all_engines.append(engine)
        return engine

    def _start_owner(self, name: str) -> None:
        peers = EmulatedPeers(self._nodes, name, self._scenario.near)
        control = EmulatedControl(
            name, self._state, peers, lambda: self._leader
        )
        follower = FleetClient(peers, lambda: self._leader, name)
        owner = FleetOwner(
            control,  # type: ignore[arg-type]
            follower,
            EmulatedChannels(  # type: ignore[arg-type]
                self._engines, self._scenario.near
            ),
            EmulatedCalls(),
            _LEASE,
            _HEARTBEAT,
        )
        owner.apply_table(self._table)
        self._controls[name] = control
        self._owners[name] = owner
        self._nodes[name] = lambda sender, message: _take(
            owner, sender, message
        )
        self._spawn(owner.run())
        self._spawn(owner.holder.run())
        self._spawn(follower.run())

    def _lead(self, name: str, predecessor_until: float) -> None:
        """Has a node lead the log."""
        self._term += 1
        self._controls[name].lead(self._term, predecessor_until)
        self._leader = name

    def _make_front(self, number: int) -> Front:
        name = f"f{number}"
        peers = EmulatedPeers(self._nodes, name, self._scenario.near)
        fronts: list[Front] = []
        fleet = FleetClient(
            peers, lambda: self._leader, name, lambda: _usage(fronts[0])
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
        )
        front.rng = random.Random(self._rng.random())
        front.table = self._table
        fronts.append(front)
        self._spawn(fleet.run())
        return front

    def _spawn(self, work: Any) -> None:
        self._tasks.append(self._loop.create_task(work))

    # -- playing -------------------------------------------------------

    async def play(self) -> Day:
        """Plays the day."""
        scenario = self._scenario
        for name in _OWNERS:
            self._start_owner(name)
        self._lead(_OWNERS[0], float("-inf"))
        for number in range(scenario.engines):
            self._spawn(self._beat(self._start_engine(number)))
        fronts = [self._make_front(n) for n in range(scenario.fronts)]
        await asyncio.sleep(_LEAD)
        self._spawn_troubles()
        outcomes = await self._play_requests(fronts)
        for task in self._tasks:
            task.cancel()
        return Day(
            outcomes,
            self._store.loads,
            self._store.reloads,
            sum(e.batch.tokens_read for e in self._all_engines),
            sum(e.batch.tokens_found for e in self._all_engines),
            any(e.places.overfull for e in self._all_engines),
        )

    async def _play_requests(self, fronts: list[Front]) -> list[Outcome]:
        began = self._loop.time()
        tasks = []
        for arrival in self._arrivals:
            await asyncio.sleep(began + arrival.at - self._loop.time())
            caller = Caller(
                arrival, fronts, self._rng, self._scenario.caller_delay
            )
            tasks.append(self._loop.create_task(caller.run()))
        return list(await asyncio.gather(*tasks))

    async def _beat(self, engine: EmulatedEngine) -> None:
        while engine.is_up:
            owner = self._owners[self._leader] if self._leader else None
            if owner is not None and owner.is_owner():
                owner.handle_heartbeat(engine.heartbeat(SERVICE))
                await asyncio.sleep(_HEARTBEAT)
            else:
                await asyncio.sleep(0.1)

    def _spawn_troubles(self) -> None:
        for crash in self._scenario.crashes:
            self._spawn(self._crash(crash))
        for at in self._scenario.owner_losses:
            self._spawn(self._lose_owner(at))

    async def _crash(self, crash: Crash) -> None:
        await asyncio.sleep(crash.at)
        engine = self._engines[f"10.1.0.{crash.engine}:80"]
        engine.crash()
        await asyncio.sleep(crash.seconds)
        self._spawn(self._beat(self._start_engine(crash.engine)))

    async def _lose_owner(self, at: float) -> None:
        await asyncio.sleep(at)
        before = self._leader
        self._controls[before].follow()
        handle = self._nodes.pop(before)
        self._leader = ""
        lost_at = self._loop.time()
        await asyncio.sleep(_ELECTION)
        turn = (_OWNERS.index(before) + 1) % len(_OWNERS)
        self._lead(_OWNERS[turn], lost_at)
        self._nodes[before] = handle


def _usage(front: Front) -> UsageReport:
    return UsageReport(
        front.collect_request_counts(), front.chooser.report_busy()
    )


async def _take(owner: FleetOwner, sender: str, message: Any) -> Any:
    """Has the owner take a message, as a control node does."""
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
    raise PeerError(type(message).__name__, sender, "unknown message")
