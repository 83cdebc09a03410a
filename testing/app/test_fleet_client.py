"""Tests of the client of the fleet's owner."""

import asyncio
from typing import Any

import pytest

from ridgesill.app.fleet_client import FleetClient
from ridgesill.core.fleet.messages import ArtifactReady, WantArtifact
from ridgesill.ports.peers import PeerError

pytestmark = pytest.mark.looptime

WANT = WantArtifact("s", "base/a1", 0, is_held=True)


class SlowOwner:
    """Peers whose owner answers after a delay, or times out.

    Args:
        answer_seconds: how long each answer takes.
    """

    def __init__(self, answer_seconds: float) -> None:
        self.answer_seconds = answer_seconds
        self.call_count = 0

    def send(self, address: str, message: Any) -> None:
        """Drops the message."""

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Answers after the delay, or raises `PeerError` at the timeout."""
        self.call_count += 1
        if self.answer_seconds > timeout:
            await asyncio.sleep(timeout)
            raise PeerError("WantArtifact", address, "no answer in time")
        await asyncio.sleep(self.answer_seconds)
        return ArtifactReady("u1", 1)


class TestRequestHolder:
    async def test_returns_the_answer_of_the_owner(self) -> None:
        owner = SlowOwner(0.005)
        client = FleetClient(owner, lambda: "o:1", "f:1")
        answer = await client.request_holder(WANT)
        assert answer is not None
        assert answer.upstream == "u1"

    async def test_a_slow_owner_delays_only_one_of_many_requests(self) -> None:
        owner = SlowOwner(9.0)
        client = FleetClient(owner, lambda: "o:1", "f:1")
        started_at = asyncio.get_running_loop().time()
        for _ in range(50):
            assert await client.request_holder(WANT) is None
        assert asyncio.get_running_loop().time() - started_at < 0.1
        assert owner.call_count == 1

    async def test_a_slow_owner_is_asked_again_after_a_pause(self) -> None:
        owner = SlowOwner(9.0)
        client = FleetClient(owner, lambda: "o:1", "f:1")
        await client.request_holder(WANT)
        owner.answer_seconds = 0.005
        await asyncio.sleep(1.0)
        assert await client.request_holder(WANT) is not None

    async def test_sends_no_message_without_a_known_owner(self) -> None:
        owner = SlowOwner(0.0)
        client = FleetClient(owner, lambda: "", "f:1")
        assert await client.request_holder(WANT) is None
        assert owner.call_count == 0
