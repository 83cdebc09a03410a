"""Tests of who owns the fleet, and when it may order."""

import asyncio
from typing import Any

import attrs
import pytest

from ridgesill.app.fleet_owner import last_owner
from ridgesill.core.commands import Node
from ridgesill.core.fleet.messages import (
    Heartbeat,
    Upstream,
    WantArtifact,
    WatchFleet,
)
from ridgesill.core.following import Beat
from ridgesill.core.serving.routes import (
    EngineSpec,
    Model,
    RouteTable,
    Service,
)
from testing.app.lone_node import (
    ENGINE,
    LEASE_SECONDS,
    NAME,
    LoneNode,
    make_voter_storage,
)

pytestmark = pytest.mark.looptime


def heartbeat(sequence: int, **fields: Any) -> Heartbeat:
    """Returns a heartbeat of a plain upstream."""
    given = {"draining": False, **fields}
    return Heartbeat(
        "u1", "s", "10.0.1.1:80", "a", 4, sequence=sequence, **given
    )


def engine_table() -> RouteTable:
    """Returns a configuration with one service of engines."""
    spec = EngineSpec(4, 9.0, 4, 1.0, (Model("m", 1.0, 1.0, 9, 1.0),))
    return RouteTable(1, [], [Service("s", "/", 0, spec)])


def engine_heartbeat() -> Heartbeat:
    """Returns a heartbeat of an engine."""
    return Heartbeat("e1", "s", ENGINE, "a", 4, False, 1, {"m": 1})


class TestOwnership:
    @pytest.mark.parametrize("before", ["", NAME])
    async def test_its_own_lease_is_not_waited_out(self, before: str) -> None:
        owning = LoneNode(make_voter_storage(before))
        loop = asyncio.get_running_loop()
        began = loop.time()
        owning.owner.apply_table(engine_table())
        await owning.start()
        owning.owner.handle_heartbeat(engine_heartbeat())
        while owning.owner._usable_from() > loop.time():
            await asyncio.sleep(0.05)
        # What nobody holds is granted once all holders could be heard.
        assert loop.time() - began < 3.0
        owning.stop()

    async def test_another_vm_s_lease_is_waited_out(self) -> None:
        owning = LoneNode(make_voter_storage("10.0.0.2:70"))
        loop = asyncio.get_running_loop()
        began = loop.time()
        owning.owner.apply_table(engine_table())
        await owning.start()
        owning.owner.handle_heartbeat(engine_heartbeat())
        # It voted for itself, and can't say whom it followed before it
        # started. An owner has orders delivered for 0.6 s after it last heard
        # a quorum, the holder delivers for 0.5 s after its last stamp, and
        # 0.15 s are for an order on its way.
        expected = began + 0.6 + 0.5 + LEASE_SECONDS + 0.15
        engine = owning.owner._placement.engines["e1"]
        while owning.owner._authority(engine) is None:
            await asyncio.sleep(0.05)
        assert expected <= loop.time() < expected + 0.5
        owning.stop()

    async def test_the_log_says_who_owned_it_last(self) -> None:
        owning = LoneNode(make_voter_storage("10.0.0.2:70"))
        assert last_owner(owning.driver) == "10.0.0.2:70"
        owning.stop()


class TestUses:
    async def test_an_owner_without_memory_says_so_until_it_has_heard_fronts(
        self,
    ) -> None:
        # Four owners in five seconds, each without the last one's word, told
        # that no customer is near its limit: one that was far beyond it got 71
        # requests through in eight seconds of 69 that are borne.
        owning = LoneNode(make_voter_storage(""))
        await owning.start()
        question = WatchFleet(0, 0, 0.0)
        first = await owning.owner.handle_watch("f1", question)
        assert not first.knows_uses
        await asyncio.sleep(0.7)
        later = await owning.owner.handle_watch("f1", question)
        assert later.knows_uses
        owning.stop()


class TestTakeOver:
    async def test_what_was_leaving_still_is(self) -> None:
        owning = LoneNode(make_voter_storage(""))
        leaving = Upstream("e1", "s", ENGINE, "a", 4, "draining", {"m": 1})
        owning.owner._follower.view.upstreams["e1"] = leaving
        owning.owner.apply_table(engine_table())
        await owning.start()
        assert owning.owner._placement.engines["e1"].draining
        owning.stop()

    async def test_nothing_counts_as_unused_before_fronts_have_told(
        self,
    ) -> None:
        owning = LoneNode(make_voter_storage(""))
        owner = owning.owner
        owner._follower.view.fronts = 2
        await owning.start()
        taken_at = asyncio.get_running_loop().time()
        await owner.handle_watch("f1", WatchFleet(0, 0, 0.0))
        assert not owner._have_fronts_told(taken_at - 1.0)
        await owner.handle_watch("f2", WatchFleet(0, 0, 0.0))
        assert owner._have_fronts_told(taken_at - 1.0)
        owning.stop()

    async def test_fronts_that_are_gone_are_not_waited_for_long(self) -> None:
        owning = LoneNode(make_voter_storage(""))
        owning.owner._follower.view.fronts = 2
        await owning.start()
        taken_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.6)
        assert owning.owner._have_fronts_told(taken_at)
        owning.stop()


class TestStarts:
    async def wait_of(self, owner_before: str, began_ago: float) -> float:
        """Returns for how long an engine gets no orders once it is met.

        Counted from the last order that an earlier owner may have given.
        """
        owning = LoneNode(make_voter_storage(owner_before))
        loop = asyncio.get_running_loop()
        owning.owner._engines._time_of_day = lambda: 1_000.0 + loop.time()
        owning.owner.apply_table(engine_table())
        await owning.start()
        start = int((1_000.0 + loop.time() - began_ago) * 1000)
        said = attrs.evolve(engine_heartbeat(), instance="e1", start=start)
        owning.owner.handle_heartbeat(said)
        engine = owning.owner._placement.engines["e1"]
        ordered_until = owning.owner._leases.delivered_until()
        owning.stop()
        return max(engine.suspended_until - ordered_until, 0.0)

    async def test_a_successor_that_knew_nobody_waits_for_a_new_one(
        self,
    ) -> None:
        assert await self.wait_of(NAME, began_ago=3.0) == pytest.approx(13.0)

    async def test_it_does_not_wait_for_one_that_began_long_ago(self) -> None:
        assert await self.wait_of(NAME, began_ago=60.0) == 0.0

    async def test_the_first_owner_waits_for_nobody(self) -> None:
        assert await self.wait_of("", began_ago=3.0) == 0.0


class TestNews:
    async def test_a_departure_is_told_to_those_who_ask(self) -> None:
        owning = LoneNode(make_voter_storage(""))
        await owning.start()
        owner = owning.owner
        await owner.submit_heartbeat(heartbeat(1))
        first = await owner.handle_watch("f1", WatchFleet(0, 0, 0.5))
        assert first.whole
        question = WatchFleet(first.epoch, first.number, 0.5)
        asking = asyncio.create_task(owner.handle_watch("f1", question))
        await asyncio.sleep(0.2)
        await owner.submit_heartbeat(heartbeat(2, draining=True))
        news = await asyncio.wait_for(asking, 0.3)
        assert [c.record.state for c in news.changes] == ["draining"]
        owning.stop()

    async def test_a_node_that_does_not_own_says_so(self) -> None:
        owning = LoneNode(make_voter_storage(""))
        news = await owning.owner.handle_watch("f1", WatchFleet(3, 1, 0.1))
        assert news.epoch == 0
        answer = await owning.owner.handle_want(WantArtifact("s", "m/a1", 0))
        assert (answer.upstream, answer.reason) == ("", "not_owner")


class TestLeaving:
    async def test_heartbeats_that_say_ready_bring_no_engine_back(
        self,
    ) -> None:
        owning = LoneNode(make_voter_storage(""))
        owner = owning.owner
        owner.apply_table(engine_table())
        await owning.start()
        owner.handle_heartbeat(engine_heartbeat())
        engine = owner._placement.engines["e1"]
        owner._hear_leaving(engine)
        assert engine.draining
        owner.handle_heartbeat(attrs.evolve(engine_heartbeat(), sequence=2))
        assert engine.draining
        news = await owner.handle_watch("f1", WatchFleet(0, 0, 0.0))
        records = [c.record for c in news.changes if c.record is not None]
        assert [record.state for record in records] == ["draining"]
        owning.stop()


class TestSuspension:
    """The boot clock goes on while a VM is suspended, the steady one stands.

    All timers of the loop are then due at once, and everybody seems to have
    been silent for as long, before a word that waits in a socket is read.
    """

    async def _suspend(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        clock = loop.time
        loop.time = lambda: clock() + seconds  # type: ignore[method-assign]
        await asyncio.sleep(0.25)

    async def test_nobody_was_silent_while_this_vm_was_suspended(self) -> None:
        owning = LoneNode(make_voter_storage(""))
        owning.owner.apply_table(engine_table())
        await owning.start()
        owning.owner.handle_heartbeat(engine_heartbeat())
        await self._suspend(6.0)
        registry = owning.owner._registry
        assert registry is not None
        assert "e1" in registry.upstreams
        # Whoever is gone still is, a few heartbeats later.
        await asyncio.sleep(6.0)
        assert "e1" not in registry.upstreams
        owning.stop()

    async def test_no_node_is_removed_for_it(self) -> None:
        owning = LoneNode(make_voter_storage(""))
        control = owning.control
        leading = asyncio.create_task(control.lead())
        await owning.start()
        front = Node("10.0.0.9:70", "1", "10.0.0.9:70", "a")
        beat = Beat(front, 0, 0, False, ())
        for _ in range(6):
            control._membership.record_beat(
                beat, asyncio.get_running_loop().time()
            )
            await asyncio.sleep(1.0)
        assert front.name in control.state.nodes
        await self._suspend(6.0)
        assert front.name in control.state.nodes
        leading.cancel()
        owning.stop()
