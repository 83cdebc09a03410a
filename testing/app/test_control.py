"""Tests of the control plane on a paused clock."""

import asyncio
import random

import pytest

from ridgesill.core.commands import Configure
from ridgesill.core.configuration import (
    DataCentre,
    Service,
    Table,
    Team,
    diff,
    make_table,
)
from testing.app.control_world import LEASE, VOTERS, ControlWorld

_OTHERS = ("x", "y")
_SEEDS = 40
_LONG_SEEDS = 1000

pytestmark = pytest.mark.looptime(noop_cycles=2)


def configure(version: int, base: int) -> Configure:
    """Returns a command that puts a version in force."""
    table = make_table(
        [DataCentre("east", "coast")], [Team("t")], [Service("assist")]
    )
    change = diff(Table(), table)
    return Configure(f"o{version}", base, version, f"d{version}", change)


async def started(seed: int = 1, loss: float = 0.0) -> ControlWorld:
    """Returns a world in which version 1 is in force everywhere."""
    world = ControlWorld(_OTHERS, seed, loss)
    world.start()
    await asyncio.sleep(6.0)
    control = world.members["a"].control
    await control.propose(configure(1, 0), 20.0)
    await asyncio.sleep(2.0)
    return world


async def keep_announcing(world: ControlWorld) -> None:
    """Has the runner announce itself to every node, again and again."""
    sequence = 0
    while True:
        sequence += 1
        for name in list(world.members):
            # A node may be stopped while another is told.
            if name in world.members:
                await world.announce(name, sequence)
        await asyncio.sleep(0.5)


class TestFollow:
    async def test_a_change_is_in_force_everywhere_soon(self) -> None:
        world = await started()
        await world.members["x"].control.propose(configure(2, 1), 5.0)
        await asyncio.sleep(1.0)
        versions = {
            name: m.control.state.version for name, m in world.members.items()
        }
        assert set(versions.values()) == {2}
        world.stop()

    async def test_a_node_far_behind_gets_a_snapshot(self) -> None:
        world = await started()
        world.isolate("x", inbound=True, outbound=True)
        for version in range(2, 60):
            control = world.members["a"].control
            await control.propose(configure(version, version - 1), 5.0)
        world.cut_links.clear()
        await asyncio.sleep(5.0)
        assert world.members["x"].control.state.version == 59
        world.stop()

    async def test_a_restarted_voter_has_what_it_acknowledged(self) -> None:
        world = await started()
        world.stop_node("b")
        await world.members["a"].control.propose(configure(2, 1), 20.0)
        world.start_node("b")
        await asyncio.sleep(5.0)
        assert world.members["b"].control.state.version == 2
        world.stop()


class TestIsFresh:
    @pytest.mark.parametrize("name", ["leader", "a", "x"])
    async def test_a_node_cut_off_stops_within_its_lease(
        self, name: str
    ) -> None:
        world = await started()
        if name == "leader":
            name = world.leader()
        world.isolate(name, inbound=True, outbound=True)
        await asyncio.sleep(LEASE + 0.5)
        assert not world.members[name].control.is_fresh()
        world.stop()

    @pytest.mark.parametrize("name", ["a", "x"])
    async def test_a_node_that_hears_but_is_not_heard_stops_too(
        self, name: str
    ) -> None:
        world = await started()
        world.isolate(name, inbound=False, outbound=True)
        await asyncio.sleep(LEASE + 3.0)
        assert not world.members[name].control.is_fresh()
        world.stop()

    async def test_a_slow_answer_only_makes_it_more_cautious(self) -> None:
        world = await started()
        world.reply_delay["x"] = 0.4
        await asyncio.sleep(5.0)
        control = world.members["x"].control
        loop = asyncio.get_running_loop()
        for _ in range(100):
            await asyncio.sleep(0.05)
            assert control.is_fresh()
            assert control.freshness.age(loop.time()) >= 0.4
        world.stop()

    async def test_without_a_quorum_nobody_is_fresh(self) -> None:
        world = await started()
        for name in VOTERS[:2]:
            world.stop_node(name)
        await asyncio.sleep(2 * LEASE)
        fresh = [n for n, m in world.members.items() if m.control.is_fresh()]
        assert fresh == []
        world.stop()

    async def test_a_withdrawn_place_is_not_used_past_the_lease(
        self,
    ) -> None:
        world = await started()
        world.isolate("x", inbound=True, outbound=True)
        await world.members["a"].control.propose(configure(2, 1), 20.0)
        accepted_at = asyncio.get_running_loop().time()
        control = world.members["x"].control
        while control.is_fresh():
            await asyncio.sleep(0.05)
        assert control.state.version == 1
        assert asyncio.get_running_loop().time() - accepted_at <= LEASE
        world.stop()


class TestOwners:
    async def test_a_lost_owner_is_replaced_after_its_lease(self) -> None:
        world = await started()
        world.spawn(keep_announcing(world))
        await asyncio.sleep(5.0)
        (first,) = world.may_order()
        world.isolate(first, inbound=True, outbound=True)
        await asyncio.sleep(4 * LEASE)
        owners = world.may_order()
        assert len(owners) == 1
        assert owners != [first]
        world.stop()

    @pytest.mark.timeout(300)
    async def test_never_two_owners_and_never_back(self) -> None:
        for seed in range(_SEEDS):
            await _check_schedule(seed)

    @pytest.mark.long
    @pytest.mark.timeout(0)
    async def test_never_two_owners_over_many_more(self) -> None:
        for seed in range(_SEEDS, _SEEDS + _LONG_SEEDS):
            await _check_schedule(seed)


async def _check_schedule(seed: int) -> None:
    """Cuts, restarts and changes at random; checks all the while."""
    world = await started(seed, loss=0.02)
    world.spawn(keep_announcing(world))
    rng = random.Random(seed)
    checker = asyncio.ensure_future(_check(world, seed))
    version = 1
    for _ in range(12):
        await _disturb(world, rng)
        version += 1
        control = world.members[rng.choice(list(world.members))].control
        command = configure(version, version - 1)
        proposal = asyncio.ensure_future(control.propose(command, 30.0))
        world.spawn(asyncio.wait([proposal]))
        await asyncio.sleep(rng.uniform(0.5, 6.0))
    # All faults end here, losses too: with them, a lease may run out at the
    # very moment at which the end is looked at.
    world.cut_links.clear()
    world.loss = 0.0
    for name in (*VOTERS, *_OTHERS):
        if name not in world.members:
            world.start_node(name)
    await asyncio.sleep(40.0)
    checker.cancel()
    if checker.done() and not checker.cancelled():
        checker.result()
    versions = {m.control.state.version for m in world.members.values()}
    assert len(versions) == 1, f"seed {seed}: {versions}"
    assert len(world.may_order()) == 1, f"seed {seed}: {world.may_order()}"
    world.stop()
    await asyncio.sleep(0)


async def _disturb(world: ControlWorld, rng: random.Random) -> None:
    name = rng.choice(list(world.members))
    action = rng.randrange(4)
    if action == 0:
        direction = rng.randrange(3)
        world.isolate(name, inbound=direction != 1, outbound=direction != 0)
    elif action == 1 and len(world.members) > 3:
        world.stop_node(name)
    elif action == 2:
        world.cut_links.clear()
    else:
        for other in (*VOTERS, *_OTHERS):
            if other not in world.members:
                world.start_node(other)
                return


async def _check(world: ControlWorld, seed: int) -> None:
    seen: dict[str, int] = {}
    while True:
        await asyncio.sleep(0.05)
        owners = world.may_order()
        assert len(owners) <= 1, f"seed {seed}: {owners} own the pool"
        for member in world.members.values():
            node = member.control.node.incarnation
            version = member.control.state.version
            assert version >= seen.get(node, 0), f"seed {seed}: {node} back"
            seen[node] = version
