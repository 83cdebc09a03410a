"""Control nodes that own a fleet over a faulty network, in simulated time."""

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
from ridgesill.app.platform_node import LOG_TIMING
from ridgesill.core.commands import Node
from ridgesill.core.fleet.messages import Heartbeat, WantArtifact, WatchFleet
from ridgesill.core.fleet.orders import DeliverOrder, HolderAlive
from ridgesill.core.following import Follow
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
_HEARTBEAT_SECONDS = 0.6
_SERVICE = "s"
_ADAPTER_SLOTS = 3
_ADAPTER_COUNT = 30


@attrs.frozen
class ReceivedOrder:
    """An order as it arrived at its engine.

    Attributes:
        at: when it arrived, in seconds.
        engine: the address of the engine.
        holder: the holder that the order names.
        sender: the node that sent it.
        token: the fencing token that the order names.
    """

    at: float
    engine: str
    holder: str
    sender: str
    token: int


class RecordingChannels:
    """A node's connections to engines, which record the orders sent.

    Args:
        world: records the orders and has the engines.
        name: the name of the node.
    """

    def __init__(self, world: "OrderWorld", name: str) -> None:
        self._world = world
        self._name = name

    async def send(
        self, address: str, request: HttpRequest
    ) -> SimulatedExchange:
        """Records a request that is an order, and forwards it to the engine."""
        if request.method == b"POST":
            body = msgspec.json.decode(request.body)
            received = ReceivedOrder(
                asyncio.get_running_loop().time(),
                address,
                body["holder"],
                self._name,
                body["fencing_token"],
            )
            self._world.orders.append(received)
        return await self._world.channels.send(address, request)

    def prune(self) -> None:
        """Does nothing, as there are no idle connections."""


@attrs.define
class Member:
    """A running node and its tasks."""

    control: Control
    owner: FleetOwner
    tasks: list[asyncio.Task[None]]


class OrderWorld(FaultyNetwork):
    """Five voters and four engines, with constant requests for adapters.

    Args:
        seed: the seed of the faults.
        loss: the share of messages between nodes that are lost.
        lost_orders: the share of orders that get no answer.
    """

    def __init__(
        self, seed: int, loss: float = 0.02, lost_orders: float = 0.1
    ) -> None:
        super().__init__(seed, loss, (0.0005, 0.01))
        self.members: dict[str, Member] = {}
        self.orders: list[ReceivedOrder] = []
        self.engines = [
            SimulatedEngine(f"u{n}", _ADAPTER_SLOTS) for n in range(4)
        ]
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
        """Starts all nodes, the heartbeats and the requests."""
        for name in VOTERS:
            self.start_node(name)
        self.spawn(self._send_heartbeats())
        self.spawn(self._request_adapters())
        self.spawn(self._sample_reports())

    def start_node(self, name: str) -> None:
        """Starts a node from its stored log."""
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
            LOG_TIMING,
            run_blocking=_run_inline,
            rng=random.Random(self.rng.random()),
        )
        follower = FleetClient(peers, control.leader_address, name)
        owner = FleetOwner(
            control,
            follower,
            RecordingChannels(self, name),  # type: ignore[arg-type]
            PlatformEngines(),
            LEASE,
            _HEARTBEAT_SECONDS,
        )
        owner.apply_table(make_table(_SERVICE, _ADAPTER_SLOTS))
        coroutines = [
            control.driver.run(),
            control.follow(),
            control.lead(),
            owner.run(),
            owner.holder.run(),
            follower.run(),
        ]
        tasks = [asyncio.ensure_future(work) for work in coroutines]
        self.members[name] = Member(control, owner, tasks)

    def stop_node(self, name: str) -> None:
        """Stops a node at once."""
        for task in self.members.pop(name).tasks:
            task.cancel()

    def stop(self) -> None:
        """Stops all nodes and tasks."""
        for name in list(self.members):
            self.stop_node(name)
        self.stop_spawned()

    def leader(self) -> str:
        """Returns the node that certainly owns the fleet; empty if none."""
        owners = (n for n, m in self.members.items() if m.owner.is_owner())
        return next(owners, "")

    def holder_of(self, address: str) -> str:
        """Returns the holder of an engine's order lease per the leader."""
        state = self.members[self.leader()].control.state
        owner = state.owners.get(f"orders/{address}")
        return owner.node if owner else ""

    # -- network -------------------------------------------------------

    def names(self) -> Iterable[str]:
        """Returns the names of all nodes."""
        return VOTERS

    def running(self) -> Container[str]:
        """Returns the nodes that receive messages."""
        return self.members

    async def handle_message(self, sender: str, name: str, message: Any) -> Any:
        """Passes a message to a node, and returns its answer."""
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

    async def _send_heartbeats(self) -> None:
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
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _sample_reports(self) -> None:
        """Has engines record reports at fixed intervals, as real ones do.

        A report that is requested is answered with an older sample.
        """
        while True:
            for engine in self.engines:
                engine.report(self._loop.time())
            await asyncio.sleep(0.05)

    async def _request_adapters(self) -> None:
        while True:
            leader = self.leader()
            if leader:
                adapter = self.rng.randrange(_ADAPTER_COUNT)
                want = WantArtifact(_SERVICE, f"{MODEL}/a{adapter}", 0)
                self.spawn(self.members[leader].owner.handle_want(want))
            await asyncio.sleep(0.05)


def find_violations(orders: list[ReceivedOrder]) -> list[str]:
    """Returns a description of each violation of an order lease."""
    found = []
    last: dict[str, ReceivedOrder] = {}
    for order in orders:
        before = last.get(order.engine)
        last[order.engine] = order
        if order.holder != order.sender:
            found.append(f"{order} was not sent by its holder")
        if before is None:
            continue
        if order.token < before.token:
            found.append(f"{order}: lower token than {before}")
        if order.holder == before.holder:
            continue
        if order.token == before.token:
            found.append(f"{order}: same token as {before}")
        if order.at - before.at < LEASE:
            found.append(f"{order}: sent within the lease of {before}")
    return found
