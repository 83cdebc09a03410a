"""Control nodes that own a fleet over a faulty network, on a paused clock."""

import asyncio
import random
from collections.abc import Container, Iterable
from typing import Any

import attrs
import msgspec

from ridgesill.app.control import Control, ControlSettings
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.fleet_owner import FleetOwner
from ridgesill.app.log_driver import LogDriver, ReplicaMessage
from ridgesill.core.commands import Node
from ridgesill.core.fleet.messages import Heartbeat, WantArtifact, WatchFleet
from ridgesill.core.fleet.orders import DeliverOrder, HolderAlive
from ridgesill.core.following import Follow
from ridgesill.core.log.messages import Timing
from ridgesill.core.log.replica import make_initial_snapshot
from ridgesill.platform.upstreams import PlatformEngines
from ridgesill.ports.http import HttpRequest
from ridgesill.ports.peers import PeerError
from testing.app.control_world import MemoryStorage, _run_inline
from testing.app.engine_world import (
    MODEL,
    SimulatedChannels,
    SimulatedEngine,
    SimulatedExchange,
    make_table,
)
from testing.app.faulty_network import FaultyNetwork, FaultyPeers

VOTERS = tuple(f"10.0.0.{number}:70" for number in range(1, 6))
LEASE = 3.0
_HEARTBEAT = 0.6
_SERVICE = "s"
_PLACES = 3
_ADAPTERS = 30
_TIMING = Timing(heartbeat=0.15, election_min=1.2, election_max=1.9)


@attrs.frozen
class SeenOrder:
    """An order as its engine saw it arrive."""

    at: float
    engine: str
    holder: str
    sender: str
    token: int


class RecordedChannels:
    """A node's channels to engines, which notes what it orders."""

    def __init__(self, world: "OrderWorld", name: str) -> None:
        self._world = world
        self._name = name

    async def send(
        self, address: str, request: HttpRequest
    ) -> SimulatedExchange:
        """Carries a call."""
        if request.method == b"POST":
            body = msgspec.json.decode(request.body)
            seen = SeenOrder(
                asyncio.get_running_loop().time(),
                address,
                body["holder"],
                self._name,
                body["fencing_token"],
            )
            self._world.orders.append(seen)
        return await self._world.channels.send(address, request)

    def sweep(self) -> None:
        """Closes nothing."""


@attrs.define
class Member:
    """A node and its tasks."""

    control: Control
    owner: FleetOwner
    tasks: list[asyncio.Task[None]]


class OrderWorld(FaultyNetwork):
    """Five voters and some engines that are asked for adapters all the time.

    Args:
        seed: of the faults.
        loss: share of the messages between nodes that are lost.
        lost_orders: share of the orders that get no answer.
    """

    def __init__(
        self, seed: int, loss: float = 0.02, lost_orders: float = 0.1
    ) -> None:
        super().__init__(seed, loss, (0.0005, 0.01))
        self.members: dict[str, Member] = {}
        self.orders: list[SeenOrder] = []
        self.engines = [SimulatedEngine(f"u{n}", _PLACES) for n in range(4)]
        self.channels = SimulatedChannels(
            {f"10.0.1.{n}:80": e for n, e in enumerate(self.engines)},
            self.rng,
            lost_orders,
        )
        self._loop = asyncio.get_running_loop()
        self._storages = {
            name: MemoryStorage(
                f"{name}.0",
                make_initial_snapshot(tuple(f"{v}.0" for v in VOTERS), b""),
            )
            for name in VOTERS
        }
        self._incarnation = 0

    # -- nodes ---------------------------------------------------------

    async def start(self) -> None:
        """Starts all nodes and what asks them."""
        for name in VOTERS:
            self.start_node(name)
        self.spawn(self._beat())
        self.spawn(self._want())
        self.spawn(self._sample_reports())

    def start_node(self, name: str) -> None:
        """Starts a node from its disk."""
        self._incarnation += 1
        storage = self._storages[name]
        node = Node(name, f"i{self._incarnation}", name, "a", storage.identity)
        peers = FaultyPeers(self, name)
        control = Control(
            node,
            ControlSettings({v: v for v in VOTERS}, names_are_addresses=True),
            peers,
            lambda: (),
        )
        control.driver = LogDriver(
            storage,
            control.send_to_replica,
            control.notify_applied,
            _TIMING,
            run_blocking=_run_inline,
            rng=random.Random(self.rng.random()),
        )
        follower = FleetClient(peers, control.leader_address, name)
        owner = FleetOwner(
            control,
            follower,
            RecordedChannels(self, name),  # type: ignore[arg-type]
            PlatformEngines(),
            LEASE,
            _HEARTBEAT,
        )
        owner.apply_table(make_table(_SERVICE, _PLACES))
        works = [
            control.driver.run(),
            control.follow(),
            control.lead(),
            owner.run(),
            owner.holder.run(),
            follower.run(),
        ]
        tasks = [asyncio.ensure_future(work) for work in works]
        self.members[name] = Member(control, owner, tasks)

    def stop_node(self, name: str) -> None:
        """Ends a node at once."""
        for task in self.members.pop(name).tasks:
            task.cancel()

    def stop(self) -> None:
        """Ends all."""
        for name in list(self.members):
            self.stop_node(name)
        self.stop_spawned()

    def leader(self) -> str:
        """Returns the node that surely owns the fleet; empty if none."""
        owners = (n for n, m in self.members.items() if m.owner.is_owner())
        return next(owners, "")

    def holder_of(self, address: str) -> str:
        """Returns who holds an engine's order lease, as the leader says."""
        state = self.members[self.leader()].control.state
        owner = state.owners.get(f"orders/{address}")
        return owner.node if owner else ""

    # -- network -------------------------------------------------------

    def names(self) -> Iterable[str]:
        """Returns all nodes."""
        return VOTERS

    def running(self) -> Container[str]:
        """Returns the nodes that take messages."""
        return self.members

    async def handle_message(self, sender: str, name: str, message: Any) -> Any:
        """Has a node take a message; returns its answer."""
        member = self.members[name]
        if isinstance(message, ReplicaMessage):
            if member.control.driver is not None:
                member.control.driver.receive(message)
            return None
        if isinstance(message, Follow):
            return await member.control.handle_follow(message)
        if isinstance(message, WatchFleet):
            return await member.owner.handle_watch(sender, message)
        if isinstance(message, HolderAlive):
            return member.owner.handle_holder_alive(message)
        if isinstance(message, DeliverOrder):
            return await member.owner.holder.handle_order(message)
        raise PeerError(type(message).__name__, sender, "unknown message")

    # -- engines and callers -------------------------------------------

    async def _beat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            for number, engine in enumerate(self.engines):
                engine.complete_due(self._loop.time())
                resident = {f"{MODEL}/{a}": 1 for a in engine.held}
                heartbeat = Heartbeat(
                    engine.name,
                    _SERVICE,
                    f"10.0.1.{number}:80",
                    "a",
                    8,
                    False,
                    sequence,
                    {MODEL: 1, **resident},
                )
                leader = self.leader()
                if leader:
                    self.members[leader].owner.handle_heartbeat(heartbeat)
            await asyncio.sleep(_HEARTBEAT)

    async def _sample_reports(self) -> None:
        """Has engines note what they would report, however seldom asked."""
        while True:
            for engine in self.engines:
                engine.report(self._loop.time())
            await asyncio.sleep(0.05)

    async def _want(self) -> None:
        while True:
            leader = self.leader()
            if leader:
                adapter = self.rng.randrange(_ADAPTERS)
                want = WantArtifact(_SERVICE, f"{MODEL}/a{adapter}", 0)
                self.spawn(self.members[leader].owner.handle_want(want))
            await asyncio.sleep(0.05)


def find_violations(orders: list[SeenOrder]) -> list[str]:
    """Returns what breaks the promises of order leases, in words."""
    found = []
    last: dict[str, SeenOrder] = {}
    for order in orders:
        before = last.get(order.engine)
        last[order.engine] = order
        if order.holder != order.sender:
            found.append(f"{order} is sent by another than its holder")
        if before is None:
            continue
        if order.token < before.token:
            found.append(f"{order}: the token falls after {before}")
        if order.holder == before.holder:
            continue
        if order.token == before.token:
            found.append(f"{order}: shares a token with {before}")
        if order.at - before.at < LEASE:
            found.append(f"{order}: within the lease of {before}")
    return found
