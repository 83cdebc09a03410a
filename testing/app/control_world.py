"""Control planes of several nodes on a faulty network with a paused clock."""

import asyncio
import random
from collections.abc import Callable, Container, Iterable
from typing import Any

import attrs

from ridgesill.app.control import Control, ControlSettings
from ridgesill.app.entry import StateView
from ridgesill.app.log_driver import LogDriver, ReplicaMessage
from ridgesill.app.platform_node import LOG_TIMING
from ridgesill.app.pools import Pools
from ridgesill.core.commands import Node
from ridgesill.core.following import Follow, Propose
from ridgesill.core.log.memory import append_truncating
from ridgesill.core.log.messages import (
    Entry,
    HardState,
    Snapshot,
    StoredLog,
    Voters,
)
from ridgesill.core.log.replica import make_initial_snapshot
from ridgesill.core.pool.messages import Digest
from ridgesill.core.runners import Announcement, Order
from ridgesill.core.voter_changes import VoterPolicy, node_name_of
from testing.app.faulty_network import FaultyNetwork, FaultyPeers

VOTERS = ("a", "b", "c")
LEASE_SECONDS = 4.0
# Far below the lease, so that the leader often counts a live node as gone and
# only the leases keep the old and the new owner of a pool apart.
SILENCE_TIMEOUT_SECONDS = 1.5


@attrs.define
class MemoryStorage:
    """Implements `ports.storage.Storage` in memory."""

    identity: str
    snapshot: Snapshot
    hard_state: HardState = HardState()
    entries: list[Entry] = attrs.Factory(list)

    def load(self) -> StoredLog:
        """Returns the stored log and snapshot."""
        return StoredLog(self.hard_state, tuple(self.entries), self.snapshot)

    def append(
        self, hard_state: HardState | None, entries: list[Entry]
    ) -> None:
        """Stores the hard state and new entries."""
        self.hard_state = hard_state or self.hard_state
        for entry in entries:
            append_truncating(self.entries, entry)

    def replace(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[Entry, ...],
    ) -> None:
        """Replaces everything that is stored."""
        self.snapshot = snapshot
        self.hard_state = hard_state
        self.entries = list(entries)


class RecordedOrders:
    """Records each order with its time and sender."""

    def __init__(self, world: "ControlWorld", name: str) -> None:
        self._world = world
        self._name = name

    async def send(self, order: Order) -> str:
        """Records an order; returns `done`."""
        loop = asyncio.get_running_loop()
        self._world.sent_orders.append((loop.time(), self._name, order))
        return "done"


async def _run_inline(call: Callable[[], None]) -> None:
    call()


@attrs.define
class Member:
    """A running node and its tasks."""

    control: Control
    pools: Pools
    tasks: list[asyncio.Task[None]]


class ControlWorld(FaultyNetwork):
    """Three voters and some nodes without a disk.

    Args:
        nodes_without_disk: names of the nodes without a disk.
        seed: decides losses and delays.
        loss: share of messages that are lost.
        voter_policy: how many voters there should be.
        compact_entries: applied entries after which voters make a snapshot.

    Attributes:
        sent_orders: time in seconds, sender and content of each order.
    """

    def __init__(
        self,
        nodes_without_disk: tuple[str, ...],
        seed: int,
        loss: float = 0.02,
        voter_policy: VoterPolicy | None = None,
        compact_entries: int = 20,
    ) -> None:
        super().__init__(seed, loss, (0.001, 0.02))
        self._compact_entries = compact_entries
        self.members: dict[str, Member] = {}
        self.sent_orders: list[tuple[float, str, Order]] = []
        self._storages = {
            name: MemoryStorage(
                f"{name}.0",
                make_initial_snapshot(tuple(f"{v}.0" for v in VOTERS), b""),
            )
            for name in VOTERS
        }
        self._nodes_without_disk = nodes_without_disk
        self._voter_policy = voter_policy or VoterPolicy()
        self._incarnation = 0

    # -- nodes ------------------------------------------------------------

    def start(self) -> None:
        """Starts all nodes."""
        for name in (*VOTERS, *self._nodes_without_disk):
            self.start_node(name)

    def start_node(self, name: str) -> None:
        """Starts a node; a voter starts from what it has stored."""
        self._incarnation += 1
        storage = self._storages.get(name)
        node = Node(
            name,
            f"i{self._incarnation}",
            name,
            "east",
            storage.identity if storage else "",
        )
        peers = FaultyPeers(self, name)
        # The platform lists nodes that run at present to a new node.
        running = tuple(n for n in self._storages if n in self.members)
        seeds = VOTERS if name in VOTERS else running or VOTERS
        settings = ControlSettings(
            {seed: seed for seed in seeds},
            LEASE_SECONDS,
            SILENCE_TIMEOUT_SECONDS,
            0.5,
            self._voter_policy,
        )
        created_pools: list[Pools] = []

        def heard_pools() -> tuple[str, ...]:
            return created_pools[0].announced_pools()

        control = Control(node, settings, peers, heard_pools)
        if storage is not None:
            control.driver = LogDriver(
                storage,
                control.send_to_replica,
                control.notify_applied,
                LOG_TIMING,
                compact_entries=self._compact_entries,
                run_blocking=_run_inline,
                rng=random.Random(self.rng.random()),
            )
        view = StateView(lambda: control.state, control.is_fresh, lambda: False)
        identity = f"{name}#{node.incarnation}"
        orders = RecordedOrders(self, identity)
        pools = Pools(identity, view, peers, orders, LEASE_SECONDS)
        created_pools.append(pools)
        control.add_listener(pools.sync)
        coroutines = [control.follow(), control.lead(), pools.run()]
        if control.driver is not None:
            coroutines.append(control.driver.run())
        tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
        self.members[name] = Member(control, pools, tasks)

    def start_successor(self, name: str) -> None:
        """Starts a new node with an empty disk."""
        empty = Snapshot(0, 0, Voters(()), b"")
        self._storages[name] = MemoryStorage(f"{name}.0", empty)
        self.start_node(name)

    def stop_node(self, name: str) -> None:
        """Stops a node at once."""
        for task in self.members.pop(name).tasks:
            task.cancel()

    def stop(self) -> None:
        """Stops all nodes and background tasks."""
        for name in list(self.members):
            self.stop_node(name)
        self.stop_spawned()

    # -- network ------------------------------------------------------------

    def names(self) -> Iterable[str]:
        """Returns the names of all nodes."""
        return (*self._storages, *self._nodes_without_disk)

    def running(self) -> Container[str]:
        """Returns the nodes that receive messages."""
        return self.members

    async def handle_message(self, sender: str, name: str, message: Any) -> Any:
        """Has a node handle a message; returns its answer."""
        member = self.members[name]
        if isinstance(message, ReplicaMessage):
            if member.control.driver is not None:
                member.control.driver.receive(message)
            return None
        if isinstance(message, Follow):
            return await member.control.handle_follow(message)
        if isinstance(message, Propose):
            return await member.control.handle_propose(message)
        if isinstance(message, Digest):
            return None
        return await member.pools.handle(message)

    # -- runners ------------------------------------------------------------

    async def announce(self, name: str, sequence: int) -> None:
        """Has a runner announce itself to a node."""
        announcement = Announcement(
            "r1", "x", "assist", "east", "r1", 4, 8, sequence=sequence
        )
        await self.members[name].pools.handle_announcement(announcement)

    def leader(self) -> str:
        """Returns the name of the leader."""
        return next(
            name for name, m in self.members.items() if m.control.is_leader
        )

    def voter_names(self) -> set[str]:
        """Returns the names of the nodes that vote, as the leader knows."""
        driver = self.members[self.leader()].control.driver
        assert driver is not None
        return {node_name_of(v) for v in driver.replica.voters.voters}

    def nodes_allowed_to_order(self) -> list[str]:
        """Returns the nodes that may send orders to the runner now."""
        now = asyncio.get_running_loop().time()
        return [
            name
            for name, member in self.members.items()
            if member.control.is_fresh()
            and any(
                owner.pool == "east/assist" and now >= owner.starts_at
                for owner in member.pools.owners
            )
        ]
