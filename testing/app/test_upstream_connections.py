"""Tests of connections to brittle upstreams.

A request and the connection that it had opened took two slots, and tests of
connections took slots that nobody had counted.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from ridgesill.adapters.http1.client import Connectivity
from ridgesill.app.slot_client import Slot
from ridgesill.app.upstream_connections import acquire_channel, list_connected
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.slot_permits import SlotAnswer
from testing.app.front_world import Call, FrontWorld

_SETTLE_SECONDS = 0.15


@pytest.fixture
async def world() -> AsyncIterator[FrontWorld]:
    """Returns a front before one upstream that says it is brittle."""
    made = FrontWorld()
    await made.start()
    await made.add("u1", _answer)
    made.front.chooser.brittle.record(_upstream(made), 3.0, 0.0)
    yield made
    await made.stop()


async def _answer(call: Call) -> None:
    await call.answer(200, b"ok", "Server-Brittle: 3")


def _upstream(world: FrontWorld) -> Upstream:
    return world.fleet.view.upstreams["u1"]


def grant(world: FrontWorld, upstream: str) -> None:
    """Has the owner answer all questions for slots with an upstream."""

    async def request_slot(_: object) -> SlotAnswer:
        return SlotAnswer(upstream, settle_seconds=_SETTLE_SECONDS)

    world.fleet.request_slot = request_slot  # type: ignore[method-assign]


async def acquire_slot(world: FrontWorld) -> Slot | None:
    return await world.front.slots.acquire([_upstream(world)], 0, 0.1)


class TestNewConnections:
    async def test_a_request_waits_until_its_connection_takes_no_slot(
        self, world: FrontWorld
    ) -> None:
        grant(world, "u1")
        await acquire_slot(world)
        loop = asyncio.get_running_loop()
        began = loop.time()
        channel = await acquire_channel(
            world.front, _upstream(world), "q1", is_repeatable=True
        )
        assert loop.time() - began >= _SETTLE_SECONDS
        world.front.channels.release_unused(channel)
        began = loop.time()
        await acquire_channel(
            world.front, _upstream(world), "q2", is_repeatable=True
        )
        assert loop.time() - began < _SETTLE_SECONDS

    async def test_a_request_that_is_cancelled_meanwhile_leaves_it_idle(
        self, world: FrontWorld
    ) -> None:
        grant(world, "u1")
        await acquire_slot(world)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(_SETTLE_SECONDS / 3):
                await acquire_channel(
                    world.front, _upstream(world), "q1", is_repeatable=True
                )
        upstreams = [_upstream(world)]
        assert list_connected(world.front, upstreams, is_repeatable=False) == [
            "u1"
        ]

    async def test_an_upstream_without_an_idle_channel_is_not_connected(
        self, world: FrontWorld
    ) -> None:
        upstreams = [_upstream(world)]
        assert not list_connected(world.front, upstreams, is_repeatable=True)


class TestTestConnections:
    async def test_none_is_opened_while_the_upstream_is_full(
        self, world: FrontWorld
    ) -> None:
        grant(world, "")
        connected = []
        scripted = world.find_upstream("u1")
        scripted.connected = lambda: connected.append(1)
        tests = world.front.reachability_tests
        assert not await tests.has_ended(scripted.address)
        assert await tests.is_there(scripted.address)
        await asyncio.sleep(0.05)
        assert connected == []

    async def test_one_keeps_its_slot_until_its_connection_takes_none(
        self, world: FrontWorld
    ) -> None:
        grant(world, "u1")
        tests = world.front.reachability_tests
        assert await tests.is_there(_upstream(world).address)
        slots = world.front.slots
        assert list(slots._make_report().held.values()) == ["u1"]
        await asyncio.sleep(_SETTLE_SECONDS + 0.1)
        assert slots._make_report().held == {}

    async def test_an_upstream_that_has_ended_is_still_recognized(
        self, world: FrontWorld
    ) -> None:
        await world.add("u2", _answer)
        grant(world, "u1")
        address = _upstream(world).address
        world.find_upstream("u1").stop()
        channels = world.front.channels
        assert await channels.test(address) is Connectivity.REFUSED

        async def request_slot(request: object) -> SlotAnswer:
            return SlotAnswer(request.upstreams[0])  # type: ignore[attr-defined]

        world.fleet.request_slot = request_slot  # type: ignore[method-assign]
        assert await world.front.reachability_tests.has_ended(address)
