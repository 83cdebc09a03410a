"""Tests of the owner of the fleet and of when it may send orders."""

import asyncio
from typing import Any

import attrs
import pytest

from ridgesill.app.fleet_owner import find_last_owner
from ridgesill.core.commands import Node
from ridgesill.core.fleet.messages import (
    FrontRoom,
    Heartbeat,
    Upstream,
    WantArtifact,
    WatchFleet,
)
from ridgesill.core.fleet.use_reports import UseReport
from ridgesill.core.following import Beat
from ridgesill.core.serving.load_reports import RequestClass, UpstreamCalls
from ridgesill.core.serving.rates import RateUse
from ridgesill.core.serving.routes import (
    EngineSpec,
    Model,
    Route,
    RouteTable,
    Service,
    Target,
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
    """Returns a heartbeat of an upstream that is not an engine."""
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


def plain_table() -> RouteTable:
    """Returns a configuration with one plain service and its route."""
    target = (Target("s"),)
    route = Route("r", "a.example", "/", "safe", 1.0, 0.2, 0, target)
    return RouteTable(1, [route], [Service("s", "/", 0)])


class TestServiceLoad:
    async def test_fronts_hear_of_overload_until_it_ends(self) -> None:
        # One upstream of four slots and 0.1 s a call gets 100 calls a second.
        node = LoneNode(make_voter_storage(""))
        node.owner.apply_table(plain_table())
        await node.start()
        node.owner.handle_heartbeat(heartbeat(1))
        key = RequestClass("s").key
        for number in range(20):
            report = UseReport(
                number,
                span=0.1,
                offers={key: RateUse(4, 10)},
                calls={"u1": UpstreamCalls(4, 2.0)},
            )
            busy = {"u1": {"": 20}}
            watch = WatchFleet(
                0, 0, 0.0, busy=busy, fronts=30, reports=(report,)
            )
            news = await node.owner.handle_watch("relay", watch)
        known = WatchFleet(news.epoch, news.number, 0.5, busy=busy, fronts=30)
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        news = await node.owner.handle_watch("relay", known)
        # Shares are sent as soon as the pace of news allows.
        assert loop.time() - asked_at < 0.2
        service = news.services["s"]
        assert service.capacity == pytest.approx(40, rel=0.1)
        assert service.shares[key].share < 0.6
        idle = WatchFleet(news.epoch, news.number, 0.5, fronts=30)
        await node.owner.handle_watch("relay", idle)
        news = await node.owner.handle_watch("relay", idle)
        assert not news.services["s"].shares
        node.stop()

    async def test_a_new_owner_keeps_paces_and_ejections(self) -> None:
        # Guards against losing requests to an ejected upstream again after
        # each election.
        node = LoneNode(make_voter_storage(""))
        view = node.owner._follower.view
        view.fronts = 30
        for name in ("u1", "u2"):
            view.upstreams[name] = Upstream(
                name,
                "s",
                f"{name}:80",
                "a",
                4,
                pace=1.5,
                is_ejected=name == "u1",
            )
        node.owner.apply_table(plain_table())
        await node.start()
        watch = WatchFleet(0, 0, 0.0, fronts=30)
        for _ in range(10):
            news = await node.owner.handle_watch("relay", watch)
        records = {c.name: c.record for c in news.changes}
        assert records["u1"].is_ejected and not records["u2"].is_ejected
        assert records["u1"].pace == 1.5
        node.stop()


class TestOwnership:
    @pytest.mark.parametrize("before", ["", NAME])
    async def test_does_not_wait_for_its_own_lease(self, before: str) -> None:
        node = LoneNode(make_voter_storage(before))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        node.owner.apply_table(engine_table())
        await node.start()
        node.owner.handle_heartbeat(engine_heartbeat())
        while node.owner._orders_allowed_from() > loop.time():
            await asyncio.sleep(0.05)
        # Leases that nobody holds are granted once every possible holder has
        # had the time to report.
        assert loop.time() - started_at < 3.0
        node.stop()

    async def test_waits_for_the_lease_of_another_vm(self) -> None:
        node = LoneNode(make_voter_storage("10.0.0.2:70"))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        node.owner.apply_table(engine_table())
        await node.start()
        node.owner.handle_heartbeat(engine_heartbeat())
        # The node voted for itself and doesn't know which leader it followed
        # before it started. The previous owner has orders delivered for 0.6 s
        # after it last had a quorum, the holder delivers for 0.5 s after its
        # last stamp, and an order may take 0.15 s to arrive.
        expected = started_at + 0.6 + 0.5 + LEASE_SECONDS + 0.15
        engine = node.owner._placement.engines["e1"]
        while node.owner._find_authority(engine) is None:
            await asyncio.sleep(0.05)
        assert expected <= loop.time() < expected + 0.5
        node.stop()

    async def test_the_log_names_the_last_owner(self) -> None:
        node = LoneNode(make_voter_storage("10.0.0.2:70"))
        assert find_last_owner(node.driver) == "10.0.0.2:70"
        node.stop()


class TestKnowsUses:
    async def test_is_false_until_a_new_owner_has_reports_of_the_fronts(
        self,
    ) -> None:
        # Guards against a new owner that reports no use before it has collected
        # any. With four owners in five seconds, each without its predecessor's
        # news, a customer far above its limit got 71 requests through in eight
        # seconds where 69 are tolerated.
        node = LoneNode(make_voter_storage(""))
        await node.start()
        watch = WatchFleet(0, 0, 0.0)
        first = await node.owner.handle_watch("f1", watch)
        assert not first.knows_uses
        await asyncio.sleep(0.7)
        later = await node.owner.handle_watch("f1", watch)
        assert later.knows_uses
        node.stop()


class TestTakeOver:
    async def test_a_leaving_engine_stays_leaving(self) -> None:
        node = LoneNode(make_voter_storage(""))
        leaving = Upstream("e1", "s", ENGINE, "a", 4, "draining", {"m": 1})
        node.owner._follower.view.upstreams["e1"] = leaving
        node.owner.apply_table(engine_table())
        await node.start()
        assert node.owner._placement.engines["e1"].draining
        node.stop()

    async def test_nothing_counts_as_unused_before_all_fronts_report(
        self,
    ) -> None:
        node = LoneNode(make_voter_storage(""))
        owner = node.owner
        owner._follower.view.fronts = 2
        await node.start()
        started_at = asyncio.get_running_loop().time()
        await owner.handle_watch("f1", WatchFleet(0, 0, 0.0))
        assert not owner._have_fronts_reported_since(started_at - 1.0)
        await owner.handle_watch("f2", WatchFleet(0, 0, 0.0))
        assert owner._have_fronts_reported_since(started_at - 1.0)
        node.stop()

    async def test_does_not_wait_long_for_fronts_that_are_gone(self) -> None:
        node = LoneNode(make_voter_storage(""))
        node.owner._follower.view.fronts = 2
        await node.start()
        started_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.6)
        assert node.owner._have_fronts_reported_since(started_at)
        node.stop()


class TestSuspensionOfNewStarts:
    async def measure_suspension(
        self, previous_owner: str, started_ago: float
    ) -> float:
        """Returns how long an engine gets no orders after a takeover.

        Args:
            previous_owner: address of the previous owner; empty for none.
            started_ago: seconds since the engine started.

        Returns:
            Seconds after the last order that the previous owner may have sent.
        """
        node = LoneNode(make_voter_storage(previous_owner))
        loop = asyncio.get_running_loop()
        node.owner._engines._time_of_day = lambda: 1_000.0 + loop.time()
        node.owner.apply_table(engine_table())
        await node.start()
        start = int((1_000.0 + loop.time() - started_ago) * 1000)
        start_heartbeat = attrs.evolve(
            engine_heartbeat(), instance="e1", start=start
        )
        node.owner.handle_heartbeat(start_heartbeat)
        engine = node.owner._placement.engines["e1"]
        ordered_until = node.owner._leases.delivered_until()
        node.stop()
        return max(engine.suspended_until - ordered_until, 0.0)

    async def test_recent_start_is_suspended_by_an_owner_without_registry(
        self,
    ) -> None:
        assert await self.measure_suspension(
            NAME, started_ago=3.0
        ) == pytest.approx(13.0)

    async def test_old_start_is_not_suspended(self) -> None:
        assert await self.measure_suspension(NAME, started_ago=60.0) == 0.0

    async def test_the_first_owner_suspends_no_start(self) -> None:
        assert await self.measure_suspension("", started_ago=3.0) == 0.0


class TestNews:
    async def test_a_leaving_upstream_is_news_for_watchers(self) -> None:
        node = LoneNode(make_voter_storage(""))
        await node.start()
        owner = node.owner
        await owner.submit_heartbeat(heartbeat(1))
        first = await owner.handle_watch("f1", WatchFleet(0, 0, 0.5))
        assert first.whole
        watch = WatchFleet(first.epoch, first.number, 0.5)
        watch_task = asyncio.create_task(owner.handle_watch("f1", watch))
        await asyncio.sleep(0.2)
        await owner.submit_heartbeat(heartbeat(2, draining=True))
        news = await asyncio.wait_for(watch_task, 0.3)
        assert [c.record.state for c in news.changes] == ["draining"]
        node.stop()

    async def test_a_node_that_is_not_the_owner_refuses(self) -> None:
        node = LoneNode(make_voter_storage(""))
        news = await node.owner.handle_watch("f1", WatchFleet(3, 1, 0.1))
        assert news.epoch == 0
        answer = await node.owner.handle_want(WantArtifact("s", "m/a1", 0))
        assert (answer.upstream, answer.reason) == ("", "not_owner")

    async def test_a_new_owner_tells_of_rooms_once_all_fronts_have_reported(
        self,
    ) -> None:
        # Guards against a full front that takes the first few reports for
        # those of all fronts, and reports itself as not ready.
        node = LoneNode(make_voter_storage(""))
        node.owner._follower.view.fronts = 2
        await node.start()
        rooms = {"a": FrontRoom(3, 2)}
        watch = WatchFleet(0, 0, 0.0, rooms=rooms)
        news = await node.owner.handle_watch("f1", watch)
        assert not news.rooms
        news = await node.owner.handle_watch("f2", WatchFleet(0, 0, 0.0))
        assert news.rooms == rooms
        node.stop()


class TestLeaving:
    async def test_ready_heartbeats_do_not_undo_an_announced_leave(
        self,
    ) -> None:
        node = LoneNode(make_voter_storage(""))
        owner = node.owner
        owner.apply_table(engine_table())
        await node.start()
        owner.handle_heartbeat(engine_heartbeat())
        engine = owner._placement.engines["e1"]
        owner._handle_leaving(engine)
        assert engine.draining
        owner.handle_heartbeat(attrs.evolve(engine_heartbeat(), sequence=2))
        assert engine.draining
        news = await owner.handle_watch("f1", WatchFleet(0, 0, 0.0))
        records = [c.record for c in news.changes if c.record is not None]
        assert [record.state for record in records] == ["draining"]
        node.stop()


class TestSuspension:
    """A suspension of this VM must not count as silence of its peers.

    The loop uses the boot clock, which goes on while the VM is suspended; the
    monotonic clock doesn't. After the VM resumes, all timers are due at once,
    and every peer seems to have been silent until the messages that wait in the
    sockets are read.
    """

    async def _suspend(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        clock = loop.time
        loop.time = lambda: clock() + seconds  # type: ignore[method-assign]
        await asyncio.sleep(0.25)

    async def test_upstreams_are_kept_after_a_suspension(self) -> None:
        node = LoneNode(make_voter_storage(""))
        node.owner.apply_table(engine_table())
        await node.start()
        node.owner.handle_heartbeat(engine_heartbeat())
        await self._suspend(6.0)
        registry = node.owner._registry
        assert registry is not None
        assert "e1" in registry.upstreams
        # An upstream that is really gone is removed a few heartbeats later.
        await asyncio.sleep(6.0)
        assert "e1" not in registry.upstreams
        node.stop()

    async def test_nodes_are_kept_after_a_suspension(self) -> None:
        node = LoneNode(make_voter_storage(""))
        control = node.control
        lead_task = asyncio.create_task(control.lead())
        await node.start()
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
        lead_task.cancel()
        node.stop()
