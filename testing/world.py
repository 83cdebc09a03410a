"""The real decisions of several nodes over fake ports, on a paused clock.

Nodes' `Entry` and `Pools` are the real ones. Messages between them take a
fixed time, the control plane's state is given, and runners are the engine
model in the same loop.
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

_LATENCY = 0.0005
_ANNOUNCE_EVERY = 1.0


class FakePeers:
    """Delivers messages between the nodes of a world."""

    def __init__(self, world: "World", address: str) -> None:
        self._world = world
        self._address = address

    def send(self, address: str, message: Any) -> None:
        """Delivers a message after a while."""
        loop = asyncio.get_running_loop()
        loop.call_later(_LATENCY, self._world.deliver, address, message)

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Returns the answer, or raises `PeerError`."""
        await asyncio.sleep(_LATENCY)
        handler = self._world.handler(address)
        try:
            answer = await asyncio.wait_for(handler(message), timeout)
        except TimeoutError as error:
            step = type(message).__name__
            raise PeerError(step, address, "no answer in time") from error
        await asyncio.sleep(_LATENCY)
        return answer


class FakeOrders:
    """Gives orders to engines of the same loop."""

    def __init__(self, engines: dict[str, Engine]) -> None:
        self._engines = engines

    async def send(self, order: Order) -> str:
        """Returns what became of an order."""
        engine = self._engines[order.runner]
        await asyncio.sleep(_LATENCY)
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
    """A node of the world."""

    node: Node
    entry: Entry
    pools: Pools


@attrs.frozen
class RunnerPlace:
    """Where a runner of the world stands.

    Attributes:
        capacity: requests that the owner may give it at once.
    """

    name: str
    service: str
    data_centre: str
    model: EngineModel
    capacity: int


class World:
    """Nodes and runners.

    Args:
        nodes: data centres of the nodes, one for each.
        runners: the runners.
        state: the configuration in force; nodes and owners are added to it.
        limits: limits of all pools.
        rng: decides which loads fail.
    """

    def __init__(
        self,
        nodes: list[str],
        runners: list[RunnerPlace],
        state: State,
        limits: PoolLimits,
        rng: random.Random,
    ) -> None:
        self.state = state
        self.engines: dict[str, Engine] = {}
        self.places = {place.name: place for place in runners}
        self.nodes: dict[str, FakeNode] = {}
        self.tasks: list[asyncio.Task[None]] = []
        for place in runners:
            self.engines[place.name] = Engine(place.model, rng)
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
        for place in self.places.values():
            pool = pool_name(place.data_centre, place.service)
            local = [
                name
                for name, fake in self.nodes.items()
                if fake.node.data_centre == place.data_centre
            ]
            self._grant(pool, local)
            self._grant(store_pool_name(place.service), list(self.nodes))

    def _grant(self, pool: str, candidates: list[str]) -> None:
        if pool not in self.state.owners:
            name = rank(pool, candidates)[0]
            epoch = len(self.state.owners) + 1
            self.state.owners[pool] = Owner(name, "x", epoch, released=True)

    # -- messages ---------------------------------------------------------

    def handler(self, address: str) -> Callable[[Any], Any]:
        """Returns what takes a node's messages."""
        fake = self.nodes[address]

        async def handle(message: Any) -> Any:
            if isinstance(message, Digest):
                fake.entry.apply_digest(message)
                return None
            return await fake.pools.handle(message)

        return handle

    def deliver(self, address: str, message: Any) -> None:
        """Hands a message to a node."""
        task = asyncio.ensure_future(self.handler(address)(message))
        self.tasks.append(task)
        if len(self.tasks) > 5000:
            self.tasks = [task for task in self.tasks if not task.done()]

    # -- running ------------------------------------------------------------

    def start(self) -> None:
        """Starts engines, announcements and the nodes' own tasks."""
        works = [engine.run() for engine in self.engines.values()]
        works += [self._announce(place) for place in self.places.values()]
        for fake in self.nodes.values():
            works += [fake.pools.run(), fake.entry.report_holdings()]
        self.tasks += [asyncio.ensure_future(work) for work in works]

    async def _announce(self, place: RunnerPlace) -> None:
        sequence = 0
        local = [
            fake
            for fake in self.nodes.values()
            if fake.node.data_centre == place.data_centre
        ]
        while True:
            sequence += 1
            said = self.announcement(place, sequence)
            # Reports lag: what is said now is heard a while later.
            await asyncio.sleep(0.2)
            await local[0].pools.handle_announcement(said)
            await asyncio.sleep(_ANNOUNCE_EVERY)

    def announcement(self, place: RunnerPlace, sequence: int) -> Announcement:
        """Returns what a runner says of itself now."""
        engine = self.engines[place.name]
        return Announcement(
            place.name,
            engine.incarnation,
            place.service,
            place.data_centre,
            place.name,
            place.model.slots,
            place.capacity,
            tuple(sorted(engine.resident)),
            engine.active,
            engine.is_draining,
            sequence,
        )

    def stop(self) -> None:
        """Ends all tasks."""
        for task in self.tasks:
            task.cancel()
