"""Tests of the control plane on a simulated network with a paused clock."""

import asyncio
import random
from typing import Any

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
from ridgesill.core.following import Propose, ProposeReply
from ridgesill.core.voter_changes import VoterPolicy
from testing.app.control_world import LEASE_SECONDS, VOTERS, ControlWorld

_NODES_WITHOUT_DISK = ("x", "y")
_CATCH_UP_SECONDS = 4.0
# From the loss of a node to the start of its successor, as on the platform.
_SUCCESSOR_DELAY_SECONDS = 1.0
_SEED_COUNT = 40
_LONG_SEED_COUNT = 1000

pytestmark = pytest.mark.looptime(noop_cycles=2)


def make_configure(version: int, base: int) -> Configure:
    """Returns a command that applies a configuration version."""
    table = make_table(
        [DataCentre("east", "coast")], [Team("t")], [Service("assist")]
    )
    change = diff(Table(), table)
    return Configure(f"o{version}", base, version, f"d{version}", change)


async def start_world(seed: int = 1, loss: float = 0.0) -> ControlWorld:
    """Returns a world in which all nodes have applied version 1."""
    world = ControlWorld(_NODES_WITHOUT_DISK, seed, loss)
    world.start()
    await asyncio.sleep(6.0)
    control = world.members["a"].control
    await control.propose(make_configure(1, 0), 20.0)
    await asyncio.sleep(2.0)
    return world


async def keep_announcing(world: ControlWorld) -> None:
    """Has the runner announce itself to all nodes every 0.5 s."""
    sequence = 0
    while True:
        sequence += 1
        for name in list(world.members):
            # A node may be stopped during the announcement to another one.
            if name in world.members:
                await world.announce(name, sequence)
        await asyncio.sleep(0.5)


class TestPropose:
    async def test_an_answer_that_cannot_be_read_is_asked_for_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an error that ends the task of the proposer."""
        world = await start_world()
        handle_message = world.handle_message
        unreadable = [ProposeReply(b"junk", "", appended=True)]

        async def damage_first(sender: str, name: str, message: Any) -> Any:
            if isinstance(message, Propose) and unreadable:
                return unreadable.pop()
            return await handle_message(sender, name, message)

        monkeypatch.setattr(world, "handle_message", damage_first)
        control = world.members["x"].control
        await control.propose(make_configure(2, 1), 5.0)
        assert not unreadable
        world.stop()


async def start_world_with_successor() -> ControlWorld:
    """Returns a world of three voters and a caught-up learner, `d`."""
    world = ControlWorld((), 1, 0.0, VoterPolicy(3, _CATCH_UP_SECONDS))
    world.start()
    await asyncio.sleep(6.0)
    world.start_successor("d")
    await asyncio.sleep(_CATCH_UP_SECONDS)
    assert world.voter_names() == set(VOTERS)
    return world


class TestHandOverVote:
    @pytest.mark.parametrize("leads", [False, True])
    async def test_a_planned_replacement_leaves_no_voter_missing(
        self, leads: bool
    ) -> None:
        """Guards against a successor that votes only after a silence."""
        world = await start_world_with_successor()
        followers = [n for n in VOTERS if n != world.leader()]
        name = world.leader() if leads else followers[0]
        loop = asyncio.get_running_loop()
        stopped_at = loop.time()
        await world.members[name].control.hand_over_vote(4.0)
        assert loop.time() - stopped_at < 1.0
        world.stop_node(name)
        await asyncio.sleep(3.0)
        assert world.voter_names() == {*VOTERS, "d"} - {name}
        world.stop()

    async def test_a_stop_without_a_successor_waits_for_nothing(self) -> None:
        """Guards against a stop that waits for a leader that is gone too."""
        world = await start_world()
        leader = world.leader()
        name = next(name for name in VOTERS if name != leader)
        world.stop_node(leader)
        loop = asyncio.get_running_loop()
        stopped_at = loop.time()
        await world.members[name].control.hand_over_vote(4.0)
        assert loop.time() - stopped_at < 0.1
        world.stop()


class TestReplacedVoters:
    async def test_a_lost_leaders_successor_votes_within_the_catch_up_time(
        self,
    ) -> None:
        """Guards against replaced voters that count until the last is lost."""
        world = ControlWorld((), 1, 0.0, VoterPolicy(3, _CATCH_UP_SECONDS))
        world.start()
        await asyncio.sleep(6.0)
        for successor in ("d", "e", "f"):
            lost = world.leader()
            world.stop_node(lost)
            await asyncio.sleep(_SUCCESSOR_DELAY_SECONDS)
            world.start_successor(successor)
            await asyncio.sleep(_CATCH_UP_SECONDS)
            assert successor in world.voter_names()
            assert lost not in world.voter_names()
        world.stop()

    async def test_a_voter_that_was_off_votes_again_when_it_is_needed(
        self,
    ) -> None:
        """Guards against a node that returns to a log that dropped it."""
        world = await start_world_with_successor()
        off, old = [n for n in VOTERS if n != world.leader()]
        world.stop_node(off)
        await asyncio.sleep(7.0)
        assert world.voter_names() == {*VOTERS, "d"} - {off}
        world.start_node(off)
        await asyncio.sleep(_CATCH_UP_SECONDS)
        await world.members[old].control.hand_over_vote(4.0)
        world.stop_node(old)
        await asyncio.sleep(1.0)
        assert world.voter_names() == {*VOTERS, "d"} - {old}
        world.stop()


class TestFollow:
    async def test_all_nodes_apply_a_change_within_a_second(self) -> None:
        world = await start_world()
        await world.members["x"].control.propose(make_configure(2, 1), 5.0)
        await asyncio.sleep(1.0)
        versions = {
            name: m.control.state.version for name, m in world.members.items()
        }
        assert set(versions.values()) == {2}
        world.stop()

    async def test_a_node_far_behind_receives_a_snapshot(self) -> None:
        world = await start_world()
        world.isolate("x", inbound=True, outbound=True)
        for version in range(2, 60):
            control = world.members["a"].control
            await control.propose(make_configure(version, version - 1), 5.0)
        world.cut_links.clear()
        await asyncio.sleep(5.0)
        assert world.members["x"].control.state.version == 59
        world.stop()

    async def test_a_restarted_voter_keeps_acknowledged_entries(self) -> None:
        world = await start_world()
        world.stop_node("b")
        await world.members["a"].control.propose(make_configure(2, 1), 20.0)
        world.start_node("b")
        await asyncio.sleep(5.0)
        assert world.members["b"].control.state.version == 2
        world.stop()


class TestIsFresh:
    @pytest.mark.parametrize("name", ["leader", "a", "x"])
    async def test_an_isolated_node_is_stale_after_its_lease(
        self, name: str
    ) -> None:
        world = await start_world()
        if name == "leader":
            name = world.leader()
        world.isolate(name, inbound=True, outbound=True)
        await asyncio.sleep(LEASE_SECONDS + 0.5)
        assert not world.members[name].control.is_fresh()
        world.stop()

    @pytest.mark.parametrize("name", ["a", "x"])
    async def test_a_node_that_can_not_send_becomes_stale(
        self, name: str
    ) -> None:
        world = await start_world()
        world.isolate(name, inbound=False, outbound=True)
        await asyncio.sleep(LEASE_SECONDS + 3.0)
        assert not world.members[name].control.is_fresh()
        world.stop()

    async def test_slow_replies_add_to_the_age_of_the_state(self) -> None:
        world = await start_world()
        world.reply_delay["x"] = 0.4
        await asyncio.sleep(5.0)
        control = world.members["x"].control
        loop = asyncio.get_running_loop()
        for _ in range(100):
            await asyncio.sleep(0.05)
            assert control.is_fresh()
            assert control.freshness.age(loop.time()) >= 0.4
        world.stop()

    async def test_no_node_is_fresh_without_a_quorum(self) -> None:
        world = await start_world()
        for name in VOTERS[:2]:
            world.stop_node(name)
        await asyncio.sleep(2 * LEASE_SECONDS)
        fresh = [n for n, m in world.members.items() if m.control.is_fresh()]
        assert fresh == []
        world.stop()

    async def test_an_outdated_version_is_not_used_beyond_the_lease(
        self,
    ) -> None:
        world = await start_world()
        world.isolate("x", inbound=True, outbound=True)
        await world.members["a"].control.propose(make_configure(2, 1), 20.0)
        accepted_at = asyncio.get_running_loop().time()
        control = world.members["x"].control
        while control.is_fresh():
            await asyncio.sleep(0.05)
        assert control.state.version == 1
        assert asyncio.get_running_loop().time() - accepted_at <= LEASE_SECONDS
        world.stop()


class TestOwners:
    async def test_a_lost_owner_is_replaced_after_its_lease(self) -> None:
        world = await start_world()
        world.spawn(keep_announcing(world))
        await asyncio.sleep(5.0)
        (first,) = world.nodes_allowed_to_order()
        world.isolate(first, inbound=True, outbound=True)
        await asyncio.sleep(4 * LEASE_SECONDS)
        owners = world.nodes_allowed_to_order()
        assert len(owners) == 1
        assert owners != [first]
        world.stop()

    @pytest.mark.timeout(300)
    async def test_one_owner_at_most_and_versions_only_grow(self) -> None:
        for seed in range(_SEED_COUNT):
            await _check_schedule(seed)

    @pytest.mark.long
    @pytest.mark.timeout(0)
    async def test_one_owner_at_most_over_many_more_seeds(self) -> None:
        for seed in range(_SEED_COUNT, _SEED_COUNT + _LONG_SEED_COUNT):
            await _check_schedule(seed)


async def _check_schedule(seed: int) -> None:
    """Injects random faults and changes while checking the invariants."""
    world = await start_world(seed, loss=0.02)
    world.spawn(keep_announcing(world))
    rng = random.Random(seed)
    invariants_task = asyncio.ensure_future(_check_invariants(world, seed))
    version = 1
    for _ in range(12):
        await _inject_fault(world, rng)
        version += 1
        control = world.members[rng.choice(list(world.members))].control
        command = make_configure(version, version - 1)
        proposal = asyncio.ensure_future(control.propose(command, 30.0))
        world.spawn(asyncio.wait([proposal]))
        await asyncio.sleep(rng.uniform(0.5, 6.0))
    # All faults end here, including losses, because a lost message could let a
    # lease expire just when the final state is checked.
    world.cut_links.clear()
    world.loss = 0.0
    for name in (*VOTERS, *_NODES_WITHOUT_DISK):
        if name not in world.members:
            world.start_node(name)
    await asyncio.sleep(40.0)
    invariants_task.cancel()
    if invariants_task.done() and not invariants_task.cancelled():
        invariants_task.result()
    versions = {m.control.state.version for m in world.members.values()}
    assert len(versions) == 1, f"seed {seed}: {versions}"
    assert len(world.nodes_allowed_to_order()) == 1, (
        f"seed {seed}: {world.nodes_allowed_to_order()}"
    )
    world.stop()
    await asyncio.sleep(0)


async def _inject_fault(world: ControlWorld, rng: random.Random) -> None:
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
        for other in (*VOTERS, *_NODES_WITHOUT_DISK):
            if other not in world.members:
                world.start_node(other)
                return


async def _check_invariants(world: ControlWorld, seed: int) -> None:
    seen: dict[str, int] = {}
    while True:
        await asyncio.sleep(0.05)
        owners = world.nodes_allowed_to_order()
        assert len(owners) <= 1, f"seed {seed}: {owners} all own the pool"
        for member in world.members.values():
            node = member.control.node.incarnation
            version = member.control.state.version
            assert version >= seen.get(node, 0), (
                f"seed {seed}: {node} went back"
            )
            seen[node] = version
