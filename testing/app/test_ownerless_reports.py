"""Tests of reports between control nodes while there is no fleet owner.

They guard against nodes that accept each other's reports and pass them on.
1,000 tokens then became millions within a second, and six fronts counted as ten
thousand: the next owner refused customers within their limits and considered
nearly all fronts silent.
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
# Time after which another node counts as the leader, in seconds.
_LEADER_CHANGE_SECONDS = 0.1


class OwnerlessCluster:
    """Control nodes and fronts with a presumed leader that keeps changing."""

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
        return f"c{int(now / _LEADER_CHANGE_SECONDS) % _CONTROLS}"

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()


class Peers:
    """A node's connection to the others."""

    def __init__(self, world: OwnerlessCluster, name: str) -> None:
        self._world = world
        self._name = name

    def send(self, address: str, message: Any) -> None:
        """Drops the message: the test needs no one-way messages."""

    async def call(
        self, address: str, message: WatchFleet, timeout: float
    ) -> Any:
        """Returns a node's answer."""
        await asyncio.sleep(0.001)
        relay = self._world.relays[address]
        return await relay.handle_watch(self._name, message)


class TestWithoutOwner:
    async def test_sent_amount_is_kept_once(self) -> None:
        world = OwnerlessCluster()
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

    async def test_no_node_reports_more_fronts_than_exist(self) -> None:
        world = OwnerlessCluster()
        for _ in range(30):
            await asyncio.sleep(0.1)
            fronts = [
                r.make_usage_report().fronts for r in world.relays.values()
            ]
            assert max(fronts) <= _FRONTS
        world.stop()
