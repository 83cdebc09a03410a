"""Reports of control nodes that ask each other while nobody owns the fleet.

Each kept what the others told it, and told that on. So 1,000 tokens became
millions within a second, and six fronts ten thousand: the next owner refused
customers within their limits, and took nearly all fronts for silent.
"""

import asyncio
from typing import Any

import pytest

from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.news_relay import NewsRelay
from ridgesill.core.fleet.messages import WatchFleet
from ridgesill.core.fleet.usage import UsageReport
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.rates import RateUse

pytestmark = pytest.mark.looptime

_CONTROLS = 5
_FRONTS = 74
# How often another node is taken for the leader, in seconds.
_LEADER_SECONDS = 0.1


class Ownerless:
    """Control nodes and fronts, and a leader's name that moves on."""

    def __init__(self) -> None:
        self.relays: dict[str, NewsRelay] = {}
        self.clients: dict[str, FleetClient] = {}
        for number in range(_CONTROLS):
            name = f"c{number}"
            client = self._make(
                name, lambda n=name: self.relays[n].make_usage_report()
            )
            self.relays[name] = NewsRelay(client)
        for number in range(_FRONTS):
            self._make(f"f{number}", UsageReport)
        self._tasks = [
            asyncio.create_task(client.run())
            for client in self.clients.values()
        ]

    def _make(self, name: str, report: Any) -> FleetClient:
        client = FleetClient(
            Peers(self, name),  # type: ignore[arg-type]
            self._leader,
            name,
            report,
            others=[f"c{n}" for n in range(3)],
        )
        self.clients[name] = client
        return client

    def _leader(self) -> str:
        now = asyncio.get_running_loop().time()
        return f"c{int(now / _LEADER_SECONDS) % _CONTROLS}"

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()


class Peers:
    """A node's way to the others."""

    def __init__(self, world: Ownerless, name: str) -> None:
        self._world = world
        self._name = name

    def send(self, address: str, message: Any) -> None:
        """Hands on nothing: there are no answers to take back."""

    async def call(
        self, address: str, message: WatchFleet, timeout: float
    ) -> Any:
        """Returns a node's answer."""
        await asyncio.sleep(0.001)
        relay = self._world.relays[address]
        return await relay.handle_watch(self._name, message)


class TestWithoutOwner:
    async def test_what_was_sent_is_kept_once(self) -> None:
        world = Ownerless()
        since = asyncio.get_running_loop().time()
        sent = Sent({"alice": RateUse(1000, 1000)}, {}, since)
        world.clients["f3"].pending_reports.add(sent)
        for _ in range(30):
            await asyncio.sleep(0.1)
            kept = [
                c.pending_reports.total_spent("alice")
                for c in world.clients.values()
            ]
            assert sum(kept) == 1000
        world.stop()

    async def test_no_node_speaks_for_more_fronts_than_there_are(self) -> None:
        world = Ownerless()
        for _ in range(30):
            await asyncio.sleep(0.1)
            fronts = [
                r.make_usage_report().fronts for r in world.relays.values()
            ]
            assert max(fronts) <= _FRONTS
        world.stop()
