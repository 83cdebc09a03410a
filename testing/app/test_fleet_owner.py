"""Tests of who owns the fleet, and when it may order."""

import asyncio
import random
from typing import Any

import pytest

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.app.control import Control, ControlSettings
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.fleet_owner import FLEET, FleetOwner, last_owner
from ridgesill.app.log_driver import LogDriver
from ridgesill.core.commands import GrantPool, Node
from ridgesill.core.fleet.messages import Heartbeat, WantArtifact, WatchFleet
from ridgesill.core.log.replica import found_snapshot
from ridgesill.platform.upstreams import PlatformEngines
from testing.app.control_world import MemoryStorage, _run_inline

pytestmark = pytest.mark.looptime

_NAME = "10.0.0.1:70"
_LEASE = 3.0


class NoPeers:
    """Nobody else is there."""

    def send(self, address: str, message: Any) -> None:
        """Loses a message."""

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Never called by a node that leads alone."""
        raise AssertionError(f"{type(message).__name__} to {address}")


class Owning:
    """A node that leads alone and owns the fleet."""

    def __init__(self, storage: MemoryStorage) -> None:
        node = Node(_NAME, "1", _NAME, "a", storage.identity)
        settings = ControlSettings({_NAME: _NAME}, names_are_addresses=True)
        self.control = Control(node, settings, NoPeers(), lambda: ())
        self.driver = LogDriver(
            storage,
            lambda _to, _message: None,
            self.control.note_applied,
            run_blocking=_run_inline,
            rng=random.Random(1),
        )
        self.control.driver = self.driver
        follower = FleetClient(NoPeers(), lambda: _NAME, _NAME)
        self.owner = FleetOwner(
            self.control,
            follower,
            UpstreamChannels(0.5),
            PlatformEngines(),
            _LEASE,
            1.2,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Runs until the fleet is owned."""
        self._tasks = [
            asyncio.create_task(self.driver.run()),
            asyncio.create_task(self.owner.run()),
        ]
        while not self.owner.is_owner():
            await asyncio.sleep(0.05)

    def stop(self) -> None:
        """Ends its tasks."""
        for task in self._tasks:
            task.cancel()


def storage_of(owner: str) -> MemoryStorage:
    """Returns the disk of a node whose log grants the fleet to a node."""
    storage = MemoryStorage(f"{_NAME}.a", found_snapshot((f"{_NAME}.a",), b""))
    if owner:
        from ridgesill.core import codec
        from ridgesill.core.log.messages import Entry, HardState

        command = codec.encode(GrantPool(FLEET, owner, "0"))
        storage.append(HardState(1, ""), [Entry(1, 1, command)])
    return storage


def heartbeat(sequence: int, **fields: Any) -> Heartbeat:
    """Returns a heartbeat of a plain upstream."""
    given = {"draining": False, **fields}
    return Heartbeat(
        "u1", "s", "10.0.1.1:80", "a", 4, sequence=sequence, **given
    )


class TestOwnership:
    @pytest.mark.parametrize(
        ("before", "waits"), [("", 0.0), (_NAME, 0.0), ("10.0.0.2:70", _LEASE)]
    )
    async def test_only_another_vm_s_lease_is_waited_out(
        self, before: str, waits: float
    ) -> None:
        owning = Owning(storage_of(before))
        await owning.start()
        left = owning.owner._orders_from - owning.control._loop.time()
        if waits:
            assert waits - 0.1 < left < waits + 0.3
        else:
            assert left <= 0
        owning.stop()

    async def test_the_log_says_who_owned_it_last(self) -> None:
        owning = Owning(storage_of("10.0.0.2:70"))
        assert last_owner(owning.driver) == "10.0.0.2:70"
        owning.stop()


class TestNews:
    async def test_a_departure_is_told_to_those_who_ask(self) -> None:
        owning = Owning(storage_of(""))
        await owning.start()
        owner = owning.owner
        await owner.hear(heartbeat(1))
        first = await owner.handle_watch("f1", WatchFleet(0, 0, 0.5))
        assert first.whole
        question = WatchFleet(first.epoch, first.number, 0.5)
        asking = asyncio.create_task(owner.handle_watch("f1", question))
        await asyncio.sleep(0.2)
        await owner.hear(heartbeat(2, draining=True))
        news = await asyncio.wait_for(asking, 0.3)
        assert [c.record.state for c in news.changes] == ["draining"]
        owning.stop()

    async def test_a_node_that_does_not_own_says_so(self) -> None:
        owning = Owning(storage_of(""))
        news = await owning.owner.handle_watch("f1", WatchFleet(3, 1, 0.1))
        assert news.epoch == 0
        answer = await owning.owner.handle_want(WantArtifact("s", "m/a1", 0))
        assert (answer.upstream, answer.reason) == ("", "not_owner")
