"""Tests of a front's link to the owner of the fleet."""

import asyncio
from typing import Any

import pytest

from ridgesill.app.fleet_client import FleetClient
from ridgesill.core.fleet.messages import ArtifactReady, WantArtifact
from ridgesill.ports.peers import PeerError

pytestmark = pytest.mark.looptime

WANT = WantArtifact("s", "base/a1", 0, is_held=True)


class SlowOwner:
    """An owner that answers after a while, or not in time."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.asked = 0

    def send(self, address: str, message: Any) -> None:
        """Loses a message."""

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Answers once it is time."""
        self.asked += 1
        if self.seconds > timeout:
            await asyncio.sleep(timeout)
            raise PeerError("WantArtifact", address, "no answer in time")
        await asyncio.sleep(self.seconds)
        return ArtifactReady("u1", 1)


class TestAssign:
    async def test_the_owner_s_answer(self) -> None:
        owner = SlowOwner(0.005)
        client = FleetClient(owner, lambda: "o:1", "f:1")
        answer = await client.request_holder(WANT)
        assert answer is not None
        assert answer.upstream == "u1"

    async def test_one_that_is_slow_costs_few_requests_little(self) -> None:
        owner = SlowOwner(9.0)
        client = FleetClient(owner, lambda: "o:1", "f:1")
        began = asyncio.get_running_loop().time()
        for _ in range(50):
            assert await client.request_holder(WANT) is None
        assert asyncio.get_running_loop().time() - began < 0.1
        assert owner.asked == 1

    async def test_it_is_asked_again_after_a_while(self) -> None:
        owner = SlowOwner(9.0)
        client = FleetClient(owner, lambda: "o:1", "f:1")
        await client.request_holder(WANT)
        owner.seconds = 0.005
        await asyncio.sleep(1.0)
        assert await client.request_holder(WANT) is not None

    async def test_without_an_owner_nobody_is_asked(self) -> None:
        owner = SlowOwner(0.0)
        client = FleetClient(owner, lambda: "", "f:1")
        assert await client.request_holder(WANT) is None
        assert owner.asked == 0
