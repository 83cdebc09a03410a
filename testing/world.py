"""Runs the `Entry` and `Pools` of several nodes over fake ports.

Messages between nodes take a fixed time, the control plane's state is given,
and runners are engine models. All run in one event loop on a simulated clock.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs

from ridgesill.app.entry import Entry, StateView
from ridgesill.app.pools import Pools, store_pool_name
from ridgesill.core.commands import Node
from ridgesill.core.membership import pool_name
from ridgesill.core.pool.context import PoolLimits
from ridgesill.core.pool.messages import Digest
from ridgesill.core.rendezvous import rank
from ridgesill.core.runners import LOAD, UNLOAD, Announcement, Order
from ridgesill.core.state import Owner, State
from ridgesill.ports.peers import PeerError
from ridgesill.standin.engine import (
    Engine,
    EngineModel,
    FencedError,
    OrderError,
)

_LATENCY_SECONDS = 0.0005
_ANNOUNCE_INTERVAL_SECONDS = 1.0


class FakePeers:
    """Delivers messages between the nodes of a `World`."""

    def __init__(self, world: "World", address: str) -> None:
        self._world = world
        self._address = address

    def send(self, address: str, message: Any) -> None:
        """Delivers a message after the fixed latency."""
        loop = asyncio.get_running_loop()
        loop.call_later(_LATENCY_SECONDS, self._world.deliver, address, message)

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Sends a message and returns the answer.

        Raises:
            PeerError: if there is no answer within `timeout` seconds.
        """
        await asyncio.sleep(_LATENCY_SECONDS)
        handler = self._world.make_handler(address)
        try:
            answer = await asyncio.wait_for(handler(message), timeout)
        except TimeoutError as error:
            step = type(message).__name__
            raise PeerError(step, address, "no answer in time") from error
        await asyncio.sleep(_LATENCY_SECONDS)
        return answer


class FakeOrders:
    """Delivers orders to engines in the same event loop."""

    def __init__(self, engines: dict[str, Engine]) -> None:
        self._engines = engines

    async def send(self, order: Order) -> str:
        """Executes an order; returns "done" or "failed"."""
        engine = self._engines[order.runner]
        await asyncio.sleep(_LATENCY_SECONDS)
        try:
            if order.action == LOAD:
                await engine.load(order.adapter, order.epoch)
            elif order.action == UNLOAD:
                engine.unload(order.adapter, order.epoch)
            else:
                engine.fence(order.epoch)
        except (OrderError, FencedError):
            return "failed"
        return "done"


@attrs.define
class FakeNode:
    """A node with its real `Entry` and `Pools`."""

    node: Node
    entry: Entry
    pools: Pools


@attrs.frozen
class RunnerSpec:
    """Describes a runner.

    Attributes:
        capacity: how many requests the owner may assign to it at once.
    """

    name: str
    service: str
    data_centre: str
    model: EngineModel
    capacity: int


class World:
    """Nodes and runners in one event loop.

    Args:
        nodes: the data centre of each node.
        runners: the runners.
        state: the configuration in force; nodes and owners are added to it.
        limits: limits of all pools.
        rng: decides which loads fail.
    """

    def __init__(
        self,
        nodes: list[str],
        runners: list[RunnerSpec],
        state: State,
        limits: PoolLimits,
        rng: random.Random,
    ) -> None:
        self.state = state
        self.engines: dict[str, Engine] = {}
        self.runner_specs = {spec.name: spec for spec in runners}
        self.nodes: dict[str, FakeNode] = {}
        self.tasks: list[asyncio.Task[None]] = []
        for spec in runners:
            self.engines[spec.name] = Engine(spec.model, rng)
        for number, data_centre in enumerate(nodes):
            self._add_node(f"n{number}", data_centre, limits)
        self._grant_pools()
        for fake in self.nodes.values():
            fake.pools.sync()

    def _add_node(
        self, name: str, data_centre: str, limits: PoolLimits
    ) -> None:
        node = Node(name, "x", name, data_centre)
        self.state.nodes[name] = node
        view = StateView(lambda: self.state, lambda: True, lambda: False)
        peers = FakePeers(self, name)
        identity = f"{name}#x"
        pools = Pools(
            identity, view, peers, FakeOrders(self.engines), 4.0, limits
        )
        entry = Entry(identity, view, peers)
        self.nodes[name] = FakeNode(node, entry, pools)

    def _grant_pools(self) -> None:
        for spec in self.runner_specs.values():
            pool = pool_name(spec.data_centre, spec.service)
            local = [
                name
                for name, fake in self.nodes.items()
                if fake.node.data_centre == spec.data_centre
            ]
            self._grant(pool, local)
            self._grant(store_pool_name(spec.service), list(self.nodes))

    def _grant(self, pool: str, candidates: list[str]) -> None:
        if pool not in self.state.owners:
            name = rank(pool, candidates)[0]
            epoch = len(self.state.owners) + 1
            self.state.owners[pool] = Owner(name, "x", epoch, released=True)

    # -- messages ---------------------------------------------------------

    def make_handler(self, address: str) -> Callable[[Any], Any]:
        """Returns the function that handles messages to a node."""
        fake = self.nodes[address]

        async def handle(message: Any) -> Any:
            if isinstance(message, Digest):
                fake.entry.apply_digest(message)
                return None
            return await fake.pools.handle(message)

        return handle

    def deliver(self, address: str, message: Any) -> None:
        """Starts the handling of a message by a node."""
        task = asyncio.ensure_future(self.make_handler(address)(message))
        self.tasks.append(task)
        if len(self.tasks) > 5000:
            self.tasks = [task for task in self.tasks if not task.done()]

    # -- running ------------------------------------------------------------

    def start(self) -> None:
        """Starts engines, announcements and the nodes' background tasks."""
        coroutines = [engine.run() for engine in self.engines.values()]
        coroutines += [
            self._announce(spec) for spec in self.runner_specs.values()
        ]
        for fake in self.nodes.values():
            coroutines += [fake.pools.run(), fake.entry.report_holdings()]
        self.tasks += [
            asyncio.ensure_future(coroutine) for coroutine in coroutines
        ]

    async def _announce(self, spec: RunnerSpec) -> None:
        sequence = 0
        local = [
            fake
            for fake in self.nodes.values()
            if fake.node.data_centre == spec.data_centre
        ]
        while True:
            sequence += 1
            announcement = self.make_announcement(spec, sequence)
            # An announcement arrives a while after the state that it describes.
            await asyncio.sleep(0.2)
            await local[0].pools.handle_announcement(announcement)
            await asyncio.sleep(_ANNOUNCE_INTERVAL_SECONDS)

    def make_announcement(
        self, spec: RunnerSpec, sequence: int
    ) -> Announcement:
        """Returns an announcement of a runner's current state."""
        engine = self.engines[spec.name]
        return Announcement(
            spec.name,
            engine.incarnation,
            spec.service,
            spec.data_centre,
            spec.name,
            spec.model.slots,
            spec.capacity,
            tuple(sorted(engine.resident)),
            engine.active,
            engine.is_draining,
            sequence,
        )

    def stop(self) -> None:
        """Cancels all tasks."""
        for task in self.tasks:
            task.cancel()
