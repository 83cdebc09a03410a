"""Tests of nodes without a disk whose links are slow."""

import asyncio
import random

import pytest

from ridgesill.core import codec
from ridgesill.core.commands import Node, PutArtifactVersion, PutRoutes
from ridgesill.core.following import Beat, Follow
from testing.app.control_world import LEASE_SECONDS, VOTERS, ControlWorld

pytestmark = pytest.mark.looptime(noop_cycles=2)

# 5 Mbit/s, in bytes per second.
_RATE = 625_000.0
_DOCUMENT_BYTES = 19_000
# Within this time after its link is back, a node counts as in touch.
_CONTACT_SECONDS = 4.0


def make_routes(version: int, size: int = _DOCUMENT_BYTES) -> PutRoutes:
    """Returns a routing document that can't be compressed further."""
    return PutRoutes(version, random.Random(version).randbytes(size))


async def start_world(rate: float, compact_entries: int = 1000) -> ControlWorld:
    """Returns a world in which the node x has a slow link.

    Args:
        rate: of that link, in bytes per second.
        compact_entries: applied entries after which voters make a snapshot.
    """
    world = ControlWorld(("x", "y"), 1, 0.0, compact_entries=compact_entries)
    world.link_rates["x"] = rate
    world.start()
    await asyncio.sleep(6.0)
    return world


async def put_routes(
    world: ControlWorld, versions: range, seconds: float, size: int
) -> None:
    """Puts versions of the routes in force, one after another."""
    control = world.members["a"].control
    for version in versions:
        await control.propose(make_routes(version, size), 5.0)
        await asyncio.sleep(seconds)


async def wait_for_routes(world: ControlWorld, version: int) -> float:
    """Returns after how many seconds x has a version; waits 20 s at most."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while world.members["x"].control.state.routes_version < version:
        if loop.time() > began_at + 20.0:
            return float("inf")
        await asyncio.sleep(0.01)
    return loop.time() - began_at


class TestCatchingUp:
    """Guards against a node that never again gets what it has missed."""

    @pytest.mark.parametrize("compact_entries", [1000, 20])
    async def test_after_many_changes_of_a_large_configuration(
        self, compact_entries: int
    ) -> None:
        world = await start_world(_RATE, compact_entries)
        world.isolate("x", inbound=True, outbound=True)
        await put_routes(world, range(1, 41), 0.06, _DOCUMENT_BYTES)
        world.cut_links.clear()
        assert await wait_for_routes(world, 40) < _CONTACT_SECONDS
        world.stop()

    async def test_while_changes_go_on(self) -> None:
        world = await start_world(_RATE)
        await put_routes(world, range(1, 61), 0.06, 5 * _DOCUMENT_BYTES)
        assert await wait_for_routes(world, 60) < 1.0
        world.stop()

    async def test_of_one_document_larger_than_a_reply(self) -> None:
        world = await start_world(_RATE)
        await put_routes(world, range(1, 2), 0.0, 700_000)
        assert await wait_for_routes(world, 1) < _CONTACT_SECONDS
        world.stop()

    async def test_on_a_link_that_is_squeezed(self) -> None:
        world = await start_world(_RATE / 10)
        await put_routes(world, range(1, 6), 0.06, 3 * _DOCUMENT_BYTES)
        assert await wait_for_routes(world, 5) < 2 * _CONTACT_SECONDS
        world.stop()

    async def test_that_takes_longer_than_its_content_is_fresh(self) -> None:
        """Guards against changing the voter, and beginning again, each time."""
        world = await start_world(_RATE / 40)
        size = 160_000
        await put_routes(world, range(1, 2), 0.0, size)
        seconds = size / (_RATE / 40)
        assert seconds > 2 * LEASE_SECONDS
        assert await wait_for_routes(world, 1) < 1.8 * seconds
        world.stop()

    async def test_a_node_of_the_previous_release_gets_whole_replies(
        self,
    ) -> None:
        world = await start_world(_RATE)
        await put_routes(world, range(1, 4), 0.0, 200_000)
        beat = Beat(Node("old", "1", "old", "east"), 0, 0)
        control = world.members["a"].control
        reply = await control.handle_follow(Follow(beat, 0.0))
        assert reply.part is None
        kinds = [type(codec.decode(e.command)) for e in reply.entries]
        assert kinds.count(PutRoutes) == 1
        world.stop()


class TestStartingNodes:
    async def test_a_fleet_of_many_adapters_is_known(self) -> None:
        """Guards against fronts that never come up in a large deployment."""
        world = await start_world(_RATE, compact_entries=20)
        names = random.Random(1)
        versions = {f"m/{names.randbytes(8).hex()}": 1 for _ in range(76_000)}
        for name in VOTERS:
            driver = world.members[name].control.driver
            assert driver is not None
            driver.state.artifact_versions.update(versions)
        world.stop_node("x")
        for version in range(1, 30):
            command = PutArtifactVersion("m/a1", 10 + version)
            await world.members["a"].control.propose(command, 5.0)
        world.start_node("x")
        await asyncio.sleep(_CONTACT_SECONDS)
        known = world.members["x"].control.state.artifact_versions
        assert known == versions | {"m/a1": 39}
        world.stop()

    async def test_a_reply_that_is_lost_costs_one_part(self) -> None:
        """Guards against a link that is filled with the same bytes again."""
        world = await start_world(_RATE)
        size = 1_000_000
        before = world.link_bytes["x"]
        putting = asyncio.create_task(put_routes(world, range(1, 2), 0.0, size))
        await asyncio.sleep(0.4)
        world.isolate("x", inbound=True, outbound=True)
        await asyncio.sleep(1.0)
        world.cut_links.clear()
        assert await wait_for_routes(world, 1) < _CONTACT_SECONDS
        await putting
        assert world.link_bytes["x"] - before < 2 * size
        world.stop()


class TestKnownToBeBehind:
    async def test_a_node_that_others_are_ahead_of_says_so(self) -> None:
        """Guards against callers that are sent to an outdated front."""
        world = await start_world(_RATE / 40)
        control = world.members["x"].control
        await put_routes(world, range(1, 2), 0.0, 200_000)
        await asyncio.sleep(4.0)
        assert control.state.routes_version == 0
        assert control.seconds_behind() > 2.0
        world.link_rates.clear()
        await asyncio.sleep(4.0)
        assert control.state.routes_version == 1
        assert control.seconds_behind() == 0.0
        world.stop()

    async def test_a_node_that_reaches_no_voter_is_not_behind(self) -> None:
        """Guards against leaving out each front when no voter is there."""
        world = await start_world(_RATE)
        control = world.members["x"].control
        world.isolate("x", inbound=True, outbound=True)
        await put_routes(world, range(1, 2), 0.0, _DOCUMENT_BYTES)
        await asyncio.sleep(5.0)
        assert control.seconds_behind() == 0.0
        world.stop()
