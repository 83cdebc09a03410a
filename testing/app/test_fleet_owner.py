"""Tests of who owns the fleet, and when it may order."""

import asyncio
from typing import Any

import pytest

from ridgesill.app.fleet_owner import last_owner
from ridgesill.core.fleet.messages import Heartbeat, WantArtifact, WatchFleet
from testing.app.lone_node import LEASE, NAME, LoneNode, storage_of

pytestmark = pytest.mark.looptime


def heartbeat(sequence: int, **fields: Any) -> Heartbeat:
    """Returns a heartbeat of a plain upstream."""
    given = {"draining": False, **fields}
    return Heartbeat(
        "u1", "s", "10.0.1.1:80", "a", 4, sequence=sequence, **given
    )


class TestOwnership:
    @pytest.mark.parametrize("before", ["", NAME])
    async def test_its_own_lease_is_not_waited_out(self, before: str) -> None:
        owning = LoneNode(storage_of(before))
        await owning.start()
        assert owning.owner._orders_from <= owning.control._loop.time()
        owning.stop()

    async def test_another_vm_s_lease_is_waited_out(self) -> None:
        owning = LoneNode(storage_of("10.0.0.2:70"))
        began = owning.control._loop.time()
        await owning.start()
        # It voted for itself, and can't say whom it followed before it
        # started. An owner gives orders for 0.6 s after it last heard a
        # quorum; 0.15 s are for an order on its way.
        expected = began + 0.6 + LEASE + 0.15
        assert owning.owner._orders_from == pytest.approx(expected, abs=0.01)
        owning.stop()

    async def test_the_log_says_who_owned_it_last(self) -> None:
        owning = LoneNode(storage_of("10.0.0.2:70"))
        assert last_owner(owning.driver) == "10.0.0.2:70"
        owning.stop()


class TestNews:
    async def test_a_departure_is_told_to_those_who_ask(self) -> None:
        owning = LoneNode(storage_of(""))
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
        owning = LoneNode(storage_of(""))
        news = await owning.owner.handle_watch("f1", WatchFleet(3, 1, 0.1))
        assert news.epoch == 0
        answer = await owning.owner.handle_want(WantArtifact("s", "m/a1", 0))
        assert (answer.upstream, answer.reason) == ("", "not_owner")
