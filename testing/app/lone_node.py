"""A single control node that leads and owns the fleet, for tests."""

import asyncio
import random
from typing import Any

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.app.control import Control, ControlSettings
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.fleet_owner import FLEET, FleetOwner
from ridgesill.app.log_driver import LogDriver
from ridgesill.core import codec
from ridgesill.core.commands import GrantPool, Node
from ridgesill.core.log.messages import Entry, HardState
from ridgesill.core.log.replica import make_initial_snapshot
from ridgesill.platform.upstreams import PlatformEngines
from testing.app.control_world import MemoryStorage, _run_inline

NAME = "10.0.0.1:70"
ENGINE = "10.0.2.1:80"
LEASE_SECONDS = 3.0


class NoPeers:
    """Peers of a node that has none; messages to them are lost."""

    def send(self, address: str, message: Any) -> None:
        """Discards the message."""

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Raises, since a single node must not call any peer."""
        raise AssertionError(
            f"{type(message).__name__} sent to the unexpected peer {address}"
        )


class LoneNode:
    """A control node without peers: leader, voter and fleet owner.

    Args:
        storage: the node's disk, from `make_voter_storage`.
    """

    def __init__(self, storage: MemoryStorage) -> None:
        node = Node(NAME, "1", NAME, "a", storage.identity)
        settings = ControlSettings({NAME: NAME}, names_are_addresses=True)
        self.control = Control(node, settings, NoPeers(), lambda: ())
        self.driver = LogDriver(
            storage,
            lambda _to, _message: None,
            self.control.notify_applied,
            run_blocking=_run_inline,
            rng=random.Random(1),
        )
        self.control.driver = self.driver
        follower = FleetClient(NoPeers(), lambda: NAME, NAME)
        self.owner = FleetOwner(
            self.control,
            follower,
            UpstreamChannels(0.5),
            PlatformEngines(),
            LEASE_SECONDS,
            1.2,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts the tasks and waits until the node owns the fleet."""
        self._tasks = [
            asyncio.create_task(self.driver.run()),
            asyncio.create_task(self.owner.run()),
            asyncio.create_task(self.owner.holder.run()),
        ]
        while not self.owner.is_owner():
            await asyncio.sleep(0.05)

    def stop(self) -> None:
        """Cancels the node's tasks."""
        for task in self._tasks:
            task.cancel()


def make_voter_storage(owner: str) -> MemoryStorage:
    """Returns the disk of a log's only voter.

    Args:
        owner: node that the log grants the fleet and the orders of `ENGINE`;
            nothing is granted if empty.
    """
    storage = MemoryStorage(
        f"{NAME}.a", make_initial_snapshot((f"{NAME}.a",), b"")
    )
    if owner:
        command = codec.encode(GrantPool(FLEET, owner, "0"))
        lease = codec.encode(GrantPool(f"orders/{ENGINE}", owner, ""))
        entries = [Entry(1, 1, command), Entry(2, 1, lease)]
        storage.append(HardState(1, ""), entries)
    return storage
