"""Tests of serving requests through another front, over loopback."""

import asyncio
from collections.abc import AsyncIterator

import attrs
import pytest

from ridgesill.core.commands import Node
from ridgesill.core.freshness import Freshness
from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.routes import RouteTable
from testing.app.front_world import (
    Answer,
    Call,
    Client,
    FrontWorld,
    ScriptedUpstream,
    make_table,
)
from testing.app.test_forwarding import LIMITED, require_keys
from testing.processes import free_address

STREAM = {"model": "base/a1", "token_counts": "10,70"}


@attrs.define
class Fronts:
    """Fronts of one data centre, of which all but the last are cut off."""

    worlds: list[FrontWorld]

    @property
    def cut(self) -> FrontWorld:
        """A front that reaches no upstream."""
        return self.worlds[0]

    @property
    def whole(self) -> FrontWorld:
        """The front that reaches them all."""
        return self.worlds[-1]

    def share_upstreams(self) -> None:
        """Tells the cut fronts of the upstreams, at an address that refuses."""
        for world in self.worlds[:-1]:
            world.share_upstreams(self.whole, free_address())
            for name in world.fleet.view.upstreams:
                world.front.chooser.reachability.record_unreachable(name)

    def add_helper(self) -> FrontWorld:
        """Lets the cut front ask another one that reaches `u1` as well."""
        helper = self.worlds[1]
        helper.share_upstreams(self.whole)
        now = asyncio.get_running_loop().time()
        helper.front.chooser.reachability.record_reached("u1", now)
        self.cut.link_to(helper, self.whole)
        return helper

    async def ask(self, path: str, **headers: str) -> Answer:
        """Sends a request to a cut front."""
        client = await self.cut.open()
        return await client.ask(path, b"b", **headers)


@pytest.fixture
async def fronts() -> AsyncIterator[Fronts]:
    """Yields three running fronts that know each other."""
    worlds = [FrontWorld() for _ in range(3)]
    for world in worlds:
        await world.start()
        world.link_to(*(other for other in worlds if other is not world))
    yield Fronts(worlds)
    for world in worlds:
        await world.stop()


async def answer_ok(call: Call) -> None:
    await call.answer(200, b"fine", "Server-Stamp: s1")


class TestRequest:
    async def test_a_request_arrives_unchanged(self, fronts: Fronts) -> None:
        upstream = await fronts.whole.add("u1", answer_ok)
        fronts.share_upstreams()
        answer = await fronts.ask("/unsafe/x", request_id="r7", extra="kept")
        assert (answer.status, answer.body) == (200, b"fine")
        assert answer.headers["server-stamp"] == "s1"
        (call,) = upstream.calls
        assert (call.header("request-id"), call.body) == ("r7", b"b")
        assert call.header("extra") == "kept"
        assert call.header("ridgesill-client") == ""
        assert int(call.header("request-deadline")) <= 2000

    async def test_the_first_failed_connection_is_enough_to_go_on(
        self, fronts: Fronts
    ) -> None:
        await fronts.whole.add("u1", answer_ok)
        fronts.cut.share_upstreams(fronts.whole, free_address())
        fronts.worlds[1].share_upstreams(fronts.whole)
        assert (await fronts.ask("/unsafe/x")).status == 200

    async def test_a_key_is_checked_by_both_and_charged_once(
        self, fronts: Fronts
    ) -> None:
        quota = Quota(1.0, 4.0, True, 200)
        customer = attrs.evolve(LIMITED, quota=quota)
        for world in fronts.worlds:
            require_keys(world, "/unsafe/x", key=customer)
        await fronts.whole.add("u1", answer_ok)
        fronts.share_upstreams()
        answer = await fronts.ask("/unsafe/x", credential="key")
        assert answer.status == 200
        used = [w.front.quotas.collect_uses() for w in fronts.worlds]
        assert [bool(uses) for uses in used] == [False, False, True]

    async def test_another_front_s_refusal_is_passed_on(
        self, fronts: Fronts
    ) -> None:
        async def rest(call: Call) -> None:
            await call.answer(503, b"", "Not-Run: 1", "Retry-After: 2.5")

        await fronts.whole.add("u1", rest)
        fronts.share_upstreams()
        answer = await fronts.ask("/unsafe/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 2.0


class TestLimits:
    async def test_nobody_left_is_refused_at_once(self, fronts: Fronts) -> None:
        upstream = await fronts.whole.add("u1", answer_ok)
        fronts.share_upstreams()
        fronts.whole.front.chooser.reachability.record_unreachable("u1")
        upstream.stop()
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await fronts.ask("/unsafe/x")
        assert (answer.status, upstream.calls) == (503, [])
        assert float(answer.headers["retry-after"]) > 0
        assert loop.time() - began < 0.3

    async def test_a_request_that_may_have_run_is_not_sent_on_again(
        self, fronts: Fronts
    ) -> None:
        async def cut(call: Call) -> None:
            call.reset()

        upstream = await fronts.whole.add("u1", cut)
        fronts.share_upstreams()
        answer = await fronts.ask("/unsafe/x")
        assert (answer.status, len(upstream.calls)) == (502, 1)

    async def test_another_front_s_refusal_does_not_hide_an_earlier_run(
        self, fronts: Fronts
    ) -> None:
        async def run_and_cut(call: Call) -> None:
            near.stop()
            await asyncio.sleep(0.05)
            call.reset()

        async def refuse(call: Call) -> None:
            await call.answer(503, b"", "Not-Run: 1")

        near = await fronts.cut.add("u1", run_and_cut)
        await fronts.whole.add("u1", refuse)
        fronts.worlds[1].share_upstreams(fronts.whole)
        client = await fronts.cut.open()
        assert (await client.ask("/safe/x")).status == 502

    async def test_a_request_that_another_front_holds_may_have_run(
        self, fronts: Fronts
    ) -> None:
        async def hang(call: Call) -> None:
            await call.wait_closed()

        silent = ScriptedUpstream("silent", hang)
        await silent.start()
        await fronts.whole.add("u1", answer_ok)
        fronts.share_upstreams()
        node = Node("silent", "1", silent.address, "a")
        fronts.cut.front.links.fronts.set_nodes([node])
        answer = await fronts.ask("/unsafe/x", request_deadline="300")
        silent.stop()
        assert answer.status == 504

    async def test_a_safe_request_goes_on_if_another_front_breaks_off(
        self, fronts: Fronts
    ) -> None:
        async def break_off(call: Call) -> None:
            await call.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha")
            call.reset()

        broken = ScriptedUpstream("broken", break_off)
        await broken.start()
        await fronts.whole.add("u1", answer_ok)
        fronts.share_upstreams()
        others = [
            Node("broken", "1", broken.address, "a"),
            Node("whole", "1", fronts.whole.front_address, "a"),
        ]
        fronts.cut.front.links.fronts.set_nodes(others)
        for _ in range(6):
            answer = await fronts.ask("/safe/x")
            assert (answer.status, answer.body) == (200, b"fine")
        assert broken.calls
        broken.stop()

    async def test_a_front_that_is_gone_is_passed_over(
        self, fronts: Fronts
    ) -> None:
        await fronts.whole.add("u1", answer_ok)
        fronts.share_upstreams()
        await fronts.worlds[1].stop()
        for _ in range(5):
            assert (await fronts.ask("/unsafe/x")).status == 200

    async def test_a_stopping_front_is_passed_over(
        self, fronts: Fronts
    ) -> None:
        await fronts.whole.add("u1", answer_ok)
        fronts.share_upstreams()
        stopping = fronts.worlds[1].front
        stopping.refuses_from = stopping.stops_at = 0.0
        assert (await fronts.ask("/unsafe/x")).status == 200


class TestStreams:
    async def test_events_are_passed_on_as_they_come(
        self, fronts: Fronts
    ) -> None:
        released = asyncio.Event()

        async def slow(call: Call) -> None:
            await call.begin_stream()
            await call.send_event(1)
            await released.wait()
            await call.send_event(2)
            await call.end_stream()

        await fronts.whole.add("u1", slow, "engine", base__a1=1)
        fronts.share_upstreams()
        client = await fronts.cut.open()
        await client.send("/stream/x", b"b", **STREAM)
        await asyncio.wait_for(client.reader.readuntil(b"id: 1"), 1.0)
        released.set()
        rest = await asyncio.wait_for(client.reader.readuntil(b"0\r\n\r\n"), 1)
        assert b"id: 2" in rest

    async def test_a_broken_stream_does_not_look_complete(
        self, fronts: Fronts
    ) -> None:
        async def cut(call: Call) -> None:
            await call.begin_stream()
            await call.send_event(1)
            call.reset()

        await fronts.whole.add("u1", cut, "engine", base__a1=1)
        fronts.share_upstreams()
        answer = await fronts.ask("/stream/x", **STREAM)
        assert (answer.status, answer.complete) == (200, False)

    async def test_an_unverified_stream_stays_unframed(
        self, fronts: Fronts
    ) -> None:
        async def unframed(call: Call) -> None:
            await call.begin_unframed("text/event-stream")
            await call.send(b"id: 1\ndata: x\n\n")
            call.writer.close()

        await fronts.whole.add("u1", unframed, "engine", base__a1=1)
        fronts.share_upstreams()
        answer = await fronts.ask("/stream/x", **STREAM)
        assert (answer.framed, answer.complete) == (False, True)

    async def test_a_stream_that_another_front_cuts_does_not_look_complete(
        self, fronts: Fronts
    ) -> None:
        """Guards against a front that ends a stream by closing in order."""

        async def cut(call: Call) -> None:
            await call.begin_unframed("text/event-stream")
            await call.send(b"id: 1\ndata: x\n\nid: 2\nda")
            call.writer.close()

        other = ScriptedUpstream("other", cut)
        await other.start()
        await fronts.whole.add("u1", answer_ok, "engine", base__a1=1)
        fronts.share_upstreams()
        node = Node("other", "1", other.address, "a")
        fronts.cut.front.links.fronts.set_nodes([node])
        answer = await fronts.ask("/stream/x", **STREAM)
        other.stop()
        assert (answer.framed, answer.complete) == (False, False)

    async def test_a_killed_front_of_the_previous_release_completes_nothing(
        self, fronts: Fronts
    ) -> None:
        """It closes its connections in order, and accepts no others."""

        async def end(call: Call) -> None:
            await call.begin_unframed("text/event-stream")
            await call.send(b"id: 1\ndata: x\n\n")
            other.stop()
            call.writer.close()

        other = ScriptedUpstream("other", end)
        await other.start()
        await fronts.whole.add("u1", answer_ok, "engine", base__a1=1)
        fronts.share_upstreams()
        node = Node("other", "1", other.address, "a")
        fronts.cut.front.links.fronts.set_nodes([node])
        answer = await fronts.ask("/stream/x", **STREAM)
        assert (answer.framed, answer.complete) == (False, False)

    async def test_a_client_that_leaves_ends_the_work(
        self, fronts: Fronts
    ) -> None:
        async def wait(call: Call) -> None:
            await call.begin_stream()
            await call.send_event(1)
            await call.wait_closed()

        upstream = await fronts.whole.add("u1", wait, "engine", base__a1=1)
        fronts.share_upstreams()
        client = await fronts.cut.open()
        await client.send("/stream/x", b"b", **STREAM)
        await asyncio.wait_for(client.reader.readuntil(b"id: 1"), 1.0)
        client.close()
        await asyncio.sleep(0.4)
        assert upstream.calls[0].closed_at

    async def test_a_resumable_stream_goes_on_through_another_front(
        self, fronts: Fronts
    ) -> None:
        async def go_on(call: Call) -> None:
            await call.begin_stream()
            for number in range(int(call.header("last-event-id")) + 1, 4):
                await call.send_event(number)
            await call.end_stream()

        async def cut(call: Call) -> None:
            await call.begin_stream()
            await call.send_event(1)
            near.stop()
            await asyncio.sleep(0.05)
            call.reset()

        # Until it is cut, the first front reaches this upstream.
        near = await fronts.cut.add("u1", cut, "engine", base__a1=1)
        await fronts.whole.add("u1", go_on, "engine", base__a1=1)
        fronts.worlds[1].share_upstreams(fronts.whole)
        answer = await fronts.ask("/resume/x", **STREAM)
        assert answer.complete
        assert answer.body.count(b"id:") == 3


class TestEnds:
    async def test_a_cut_front_does_not_take_its_upstreams_for_ended(
        self, fronts: Fronts
    ) -> None:
        first = await fronts.cut.add("u1", answer_ok)
        second = await fronts.cut.add("u2", answer_ok)
        tests = fronts.cut.front.reachability_tests
        first.stop()
        await asyncio.sleep(0)
        assert await tests.has_ended(first.address)
        second.stop()
        await asyncio.sleep(0)
        assert not await tests.has_ended(first.address)


class TestReturn:
    async def test_requests_go_straight_again_once_an_upstream_is_reached(
        self, fronts: Fronts
    ) -> None:
        upstream = await fronts.cut.add("u1", answer_ok)
        reachability = fronts.cut.front.chooser.reachability
        reachability.record_unreachable("u1")
        await asyncio.sleep(0.6)
        assert not reachability.is_unreachable("u1")
        assert (await fronts.ask("/unsafe/x")).status == 200
        assert len(upstream.calls) == 1


class TestSilence:
    @pytest.fixture
    async def silent(self, fronts: Fronts) -> Fronts:
        """Returns fronts of which only the last is answered."""
        now = asyncio.get_running_loop().time()
        for world in fronts.worlds[:-1]:
            outcomes = world.front.chooser.outcomes
            for name in ("u1", "u2"):
                outcomes.record_sent(name, now - 2.0)
                outcomes.record_forwarded(name, now - 2.0)
                outcomes.record_end(name)
            world.front.chooser.silence.update(now)
        return fronts

    async def test_requests_go_past_fronts_that_are_answered_as_little(
        self, silent: Fronts
    ) -> None:
        for name in ("u1", "u2"):
            await silent.whole.add(name, answer_ok)
        for world in silent.worlds[:-1]:
            world.share_upstreams(silent.whole)
        answers = [await silent.ask("/unsafe/x") for _ in range(6)]
        assert [answer.status for answer in answers] == [200] * 6
        assert silent.worlds[1].front.chooser.outcomes.answered_at(
            ["u1", "u2"]
        ) == float("-inf")

    async def test_a_front_that_nobody_helps_asks_the_upstreams(
        self, silent: Fronts
    ) -> None:
        for name in ("u1", "u2"):
            await silent.whole.add(name, answer_ok)
        silent.cut.share_upstreams(silent.whole)
        silent.cut.link_to_address(free_address())
        answer = await silent.ask("/unsafe/x")
        assert answer.status == 200


WITHOUT = make_table(version=1, without="/unsafe/")
WITH = make_table(version=2)


class TestConfigurations:
    """Two fronts that serve a request have to decide by one configuration."""

    @pytest.fixture
    async def upstream(self, fronts: Fronts) -> ScriptedUpstream:
        """Returns an upstream that only the last front reaches."""
        added = await fronts.whole.add("u1", answer_ok)
        fronts.share_upstreams()
        fronts.cut.link_to(fronts.whole)
        return added

    async def test_a_front_that_is_behind_does_not_decide(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        """Guards against a 404 for a route that the asking front has."""
        fronts.cut.set_table(WITH)
        fronts.whole.set_table(WITHOUT)
        answer = await fronts.ask("/unsafe/x")
        assert (answer.status, upstream.calls) == (503, [])
        assert float(answer.headers["retry-after"]) > 0

    async def test_a_front_that_is_behind_does_not_run_it(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        fronts.cut.set_table(make_table(version=2))
        fronts.whole.set_table(make_table(version=1))
        answer = await fronts.ask("/unsafe/x")
        assert (answer.status, upstream.calls) == (503, [])

    async def test_a_front_that_catches_up_decides(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        fronts.cut.set_table(WITH)
        fronts.whole.set_table(WITHOUT)
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, fronts.whole.set_table, WITH)
        answer = await fronts.ask("/unsafe/x")
        assert (answer.status, len(upstream.calls)) == (200, 1)

    async def test_another_front_is_asked_beside_one_that_is_behind(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        behind = fronts.add_helper()
        for world in (fronts.cut, fronts.whole):
            world.set_table(WITH)
        behind.set_table(WITHOUT)
        statuses = [(await fronts.ask("/unsafe/x")).status for _ in range(4)]
        assert statuses == [200] * 4

    async def test_a_front_that_is_ahead_does_not_decide(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        """Guards against an effect that the asking front then takes back."""
        fronts.cut.set_table(make_table(version=1))
        fronts.whole.set_table(make_table(version=2))
        answer = await fronts.ask("/unsafe/x")
        assert (answer.status, upstream.calls) == (503, [])

    async def test_a_front_catches_up_with_one_that_is_ahead(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        ahead = make_table(version=2, without="/unsafe/")
        fronts.cut.set_table(make_table(version=1))
        fronts.whole.set_table(ahead)
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, fronts.cut.set_table, ahead)
        answer = await fronts.ask("/unsafe/x")
        assert (answer.status, upstream.calls) == (404, [])

    async def test_a_front_out_of_touch_that_is_behind_in_the_log_does_not_run(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        """Guards against old adapter versions and lifted quarantines."""
        fronts.cut.set_table(make_table(), index=8)
        fronts.whole.set_table(make_table(), index=7)
        now = asyncio.get_running_loop().time()
        fronts.cut.front._freshness = Freshness(1.2, now)
        answer = await fronts.ask("/unsafe/x")
        assert (answer.status, upstream.calls) == (503, [])

    async def test_fronts_of_one_version_help_each_other_without_a_leader(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        """Guards against places in the log that differ until there is one."""
        fronts.cut.set_table(make_table(), index=8)
        fronts.whole.set_table(make_table(), index=7)
        answer = await fronts.ask("/unsafe/x")
        assert (answer.status, len(upstream.calls)) == (200, 1)

    async def test_a_front_that_claims_to_be_ahead_is_asked_once(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        """Guards against a request that is sent again and again."""

        async def refuse(call: Call) -> None:
            applied = "Ridgesill-Applied: 1;index=0"
            await call.answer(503, b"", "Ridgesill-Refusal: ahead", applied)

        other = ScriptedUpstream("other", refuse)
        await other.start()
        fronts.cut.link_to_address(other.address)
        answer = await fronts.ask("/unsafe/x")
        other.stop()
        assert (answer.status, len(other.calls)) == (503, 1)

    async def test_others_are_asked_beside_one_that_is_ahead(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        ahead = fronts.add_helper()
        for world in (fronts.cut, fronts.whole):
            world.set_table(make_table(version=1))
        ahead.set_table(make_table(version=2))
        statuses = [(await fronts.ask("/unsafe/x")).status for _ in range(12)]
        assert statuses == [200] * 12

    async def test_a_front_in_touch_may_be_behind_in_the_log(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        fronts.cut.set_table(make_table(), index=8)
        fronts.whole.set_table(make_table(), index=7)
        now = asyncio.get_running_loop().time()
        fronts.whole.front._freshness = Freshness(1.2, now)
        answer = await fronts.ask("/unsafe/x")
        assert (answer.status, len(upstream.calls)) == (200, 1)

    async def test_a_front_of_the_previous_release_is_served(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        """It names no version, so that it is served as by that release."""
        fronts.whole.set_table(make_table(version=2))
        host, _, port = fronts.whole.front_address.rpartition(":")
        client = Client(*await asyncio.open_connection(host, int(port)))
        answer = await client.ask("/unsafe/x", b"b", ridgesill_client="c:1")
        client.close()
        assert (answer.status, len(upstream.calls)) == (200, 1)
        assert "ridgesill-applied" not in answer.headers

    async def test_a_request_runs_once_if_the_newer_version_says_so(
        self, fronts: Fronts, upstream: ScriptedUpstream
    ) -> None:
        """Guards against repeats by the kind that a route had before."""
        before = make_table(version=1)
        route = before.find("a.example", "/safe/x")
        unsafe = attrs.evolve(route, kind="unsafe")
        services = before.services.values()
        calls: list[Call] = []

        async def refuse_then_break_off(call: Call) -> None:
            calls.append(call)
            if len(calls) > 1:
                call.reset()
                return
            applied = "Ridgesill-Applied: 2;index=0"
            await call.answer(503, b"", "Ridgesill-Refusal: ahead", applied)
            fronts.cut.set_table(RouteTable(2, [unsafe], services))

        fronts.cut.set_table(before)
        others = [
            ScriptedUpstream(f"f{n}", refuse_then_break_off) for n in "12"
        ]
        for other in others:
            await other.start()
        fronts.cut.link_to_address(*(other.address for other in others))
        answer = await fronts.ask("/safe/x")
        for other in others:
            other.stop()
        assert (answer.status, len(calls)) == (502, 2)
