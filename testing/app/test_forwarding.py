"""Tests of forwarding requests through a front, over loopback."""

import asyncio
import random
import socket

import attrs
import pytest
from eliot import add_destinations, remove_destination

from ridgesill.core.fleet.messages import (
    DRAINING,
    ArtifactReady,
    ReadingEnded,
    WantArtifact,
)
from ridgesill.core.freshness import Freshness
from ridgesill.core.serving.customers import (
    Customer,
    Customers,
    Quota,
    digest_key,
)
from ridgesill.core.serving.rates import RateState, RateUse
from ridgesill.core.serving.routes import RouteTable
from ridgesill.ports.telemetry import BufferedTelemetry, RequestEnd
from testing.app.front_world import (
    Call,
    FrontWorld,
    ScriptedUpstream,
    make_table,
)

ADAPTER = "base/a1"
STREAM = {"model": ADAPTER, "token_counts": "10,70"}


class LowestRandom(random.Random):
    """Always returns 0, the lowest random number."""

    def random(self) -> float:
        return 0.0


async def answer_ok(call: Call) -> None:
    await call.answer(200, b"fine", "Server-Stamp: s1")


async def answer_slowly(call: Call) -> None:
    await asyncio.sleep(0.2)
    await answer_ok(call)


async def refuse(call: Call) -> None:
    await call.answer(503, b"", "Not-Run: 1")


async def reset(call: Call) -> None:
    call.reset()


async def fail(call: Call) -> None:
    await call.answer(500, b"broken", "Server-Stamp: s2")


async def wait_forever(want: WantArtifact) -> ArtifactReady:
    await asyncio.Event().wait()
    raise AssertionError(want)


async def stream_three(call: Call) -> None:
    await call.begin_stream()
    for number in (1, 2, 3):
        await call.send_event(number)
    await call.end_stream()


class TestRoutes:
    async def test_an_answer_passes_unchanged(self, world: FrontWorld) -> None:
        upstream = await world.add("u1", answer_ok)
        client = await world.open()
        answer = await client.ask("/unsafe/x?y=1", b"body", x_own="kept")
        assert (answer.status, answer.body) == (200, b"fine")
        assert answer.headers["server-stamp"] == "s1"
        call = upstream.calls[0]
        assert call.head.startswith("POST /unsafe/x?y=1 HTTP/1.1")
        assert call.body == b"body"
        assert call.header("x-own") == "kept"
        assert call.header("request-id") == "r1"
        assert call.header("expect-instance") == "u1"
        assert 0 < int(call.header("request-deadline")) <= 2000

    async def test_an_answer_to_head_keeps_its_length(
        self, world: FrontWorld
    ) -> None:
        async def answer_head(call: Call) -> None:
            await call.send_raw_answer(
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n"
            )

        await world.add("u1", answer_head)
        client = await world.open()
        client.writer.write(b"HEAD /safe/x HTTP/1.1\r\nHost: a.example\r\n\r\n")
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert b"content-length: 99" in head.lower()

    async def test_an_answer_without_content_gets_no_length(
        self, world: FrontWorld
    ) -> None:
        async def answer_empty(call: Call) -> None:
            await call.send_raw_answer("HTTP/1.1 204 No Content\r\n")

        await world.add("u1", answer_empty)
        client = await world.open()
        await client.send("/safe/x")
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 204")
        assert b"content-length" not in head.lower()

    async def test_an_unknown_route_is_not_found(
        self, world: FrontWorld
    ) -> None:
        client = await world.open()
        assert (await client.ask("/nowhere/x")).status == 404

    async def test_without_a_configuration_a_request_is_refused_for_now(
        self, world: FrontWorld
    ) -> None:
        world.front.table = type(world.front.table)()
        client = await world.open()
        answer = await client.ask("/safe/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0

    async def test_a_channel_serves_many_requests(
        self, world: FrontWorld
    ) -> None:
        upstream = await world.add("u1", answer_ok)
        client = await world.open()
        for _ in range(5):
            assert (await client.ask("/unsafe/x", b"b")).status == 200
        assert len(upstream.calls) == 5


class TestRetries:
    async def test_a_failure_answer_is_delivered_if_no_upstream_is_left(
        self, world: FrontWorld
    ) -> None:
        # The front replaced the upstream's 500 by a 502 of its own after two of
        # three upstreams had left.
        await world.add("u1", fail)
        client = await world.open()
        answer = await client.ask("/safe/x")
        assert (answer.status, answer.body) == (500, b"broken")
        assert answer.headers["server-stamp"] == "s2"

    async def test_a_request_that_was_not_run_goes_elsewhere(
        self, world: FrontWorld
    ) -> None:
        first = await world.add("u1", refuse)
        second = await world.add("u2", answer_ok)
        client = await world.open()
        for _ in range(6):
            answer = await client.ask("/twice/x", b"b")
            assert answer.status == 200
        assert first.calls
        assert len(second.calls) == 6

    async def test_an_unsafe_request_that_may_have_run_is_not_sent_again(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", reset)
        second = await world.add("u2", reset)
        client = await world.open()
        answer = await client.ask("/twice/x", b"b")
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        assert len(second.calls) <= 1
        assert sum(len(u.calls) for u in world._upstreams) == 1

    async def test_a_safe_request_that_may_have_run_is_sent_again(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", reset)
        await world.add("u2", answer_ok)
        client = await world.open()
        for _ in range(4):
            assert (await client.ask("/safe/x")).status == 200

    async def test_attempts_are_limited_by_the_route(
        self, world: FrontWorld
    ) -> None:
        for name in ("u1", "u2", "u3"):
            await world.add(name, fail)
        client = await world.open()
        answer = await client.ask("/safe/x")
        assert (answer.status, answer.body) == (500, b"broken")
        assert answer.headers["server-stamp"] == "s2"
        assert sum(len(u.calls) for u in world._upstreams) == 2

    async def test_a_request_that_all_upstreams_refuse_is_answered_as_not_run(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", refuse)
        client = await world.open()
        answer = await client.ask("/unsafe/x", b"b")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0

    async def test_a_not_run_status_after_a_possible_run_is_replaced(
        self, world: FrontWorld
    ) -> None:
        async def overloaded(call: Call) -> None:
            await call.answer(503, b"", "Server-Stamp: s3")

        await world.add("u1", overloaded)
        client = await world.open()
        answer = await client.ask("/unsafe/x", b"b")
        assert answer.status == 502
        assert "server-stamp" not in answer.headers


class TestTime:
    async def test_the_route_s_timeout_ends_a_request(
        self, world: FrontWorld
    ) -> None:
        async def hang(call: Call) -> None:
            await call.wait_closed()

        world.front.table = make_table(timeout=0.4)
        upstream = await world.add("u1", hang)
        client = await world.open()
        began = asyncio.get_running_loop().time()
        answer = await client.ask("/safe/x")
        took = asyncio.get_running_loop().time() - began
        assert answer.status == 504
        assert 0.3 < took < 0.6
        assert int(upstream.calls[0].header("request-deadline")) <= 400

    @pytest.mark.parametrize(
        ("body_bytes", "header_bytes"), [(1, 1), (5_000, 1), (1, 5_000)]
    )
    async def test_a_client_that_leaves_ends_the_upstream_s_work(
        self, world: FrontWorld, body_bytes: int, header_bytes: int
    ) -> None:
        async def hang(call: Call) -> None:
            await call.wait_closed()

        upstream = await world.add("u1", hang)
        client = await world.open()
        await client.send(
            "/unsafe/x", b"b" * body_bytes, padding="y" * header_bytes
        )
        await asyncio.sleep(0.1)
        left_at = asyncio.get_running_loop().time()
        client.close()
        await asyncio.sleep(0.4)
        assert 0 < upstream.calls[0].closed_at - left_at < 0.4
        assert world.front.in_progress == 0


class TestStart:
    """A front that has just started knows neither routes nor upstreams."""

    async def test_a_request_waits_for_the_routes(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", answer_ok)
        client = await world.open()
        table, world.front.table = world.front.table, RouteTable()
        asking = asyncio.create_task(client.ask("/safe/x"))
        await asyncio.sleep(0.1)
        world.front.table = table
        world.front.discovery_signal.notify()
        assert (await asking).status == 200

    async def test_a_request_waits_for_an_upstream(
        self, world: FrontWorld
    ) -> None:
        client = await world.open()
        asking = asyncio.create_task(client.ask("/safe/x"))
        await asyncio.sleep(0.1)
        await world.add("u1", answer_ok)
        world.front.discovery_signal.notify()
        assert (await asking).status == 200

    async def test_without_an_upstream_it_is_refused_early_enough_for_a_retry(
        self, world: FrontWorld
    ) -> None:
        client = await world.open()
        began = asyncio.get_running_loop().time()
        answer = await client.ask("/safe/x", request_deadline="1000")
        took = asyncio.get_running_loop().time() - began
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert 0.2 < took < 0.5


class TestStop:
    """A stopping front whose notice is over; it ends in 1.5 s."""

    @pytest.fixture
    async def stopping(self, world: FrontWorld) -> FrontWorld:
        now = asyncio.get_running_loop().time()
        world.front.refuses_from = now
        world.front.stops_at = now + 1.5
        return world

    async def test_a_request_that_may_outlast_the_front_is_refused_at_once(
        self, stopping: FrontWorld
    ) -> None:
        upstream = await stopping.add("u1", answer_ok)
        client = await stopping.open()
        answer = await client.ask("/unsafe/x", b"b", request_deadline="2000")
        assert answer.status == 503
        assert 0 < float(answer.headers["retry-after"]) < 0.1
        assert upstream.calls == []

    async def test_a_request_that_ends_before_the_stop_is_served(
        self, stopping: FrontWorld
    ) -> None:
        await stopping.add("u1", answer_slowly)
        client = await stopping.open()
        answer = await client.ask("/unsafe/x", b"b", request_deadline="1000")
        assert answer.status == 200

    async def test_a_waiting_request_is_answered_before_the_stop(
        self, stopping: FrontWorld
    ) -> None:
        stopping.front.refuses_from = float("inf")
        stopping.front.stops_at = asyncio.get_running_loop().time() + 0.3
        client = await stopping.open()
        answer = await client.ask("/unsafe/x", b"b", request_deadline="2000")
        assert answer.status == 503

    async def test_a_request_from_before_the_stop_is_answered_at_its_end(
        self, world: FrontWorld
    ) -> None:
        """Guards against a request that is cut when the process ends."""
        reached = asyncio.Event()

        async def answer_never(call: Call) -> None:
            reached.set()
            await call.wait_closed()

        await world.add("u1", answer_never)
        client = await world.open()
        asking = asyncio.create_task(client.ask("/unsafe/x", b"b"))
        await reached.wait()
        now = asyncio.get_running_loop().time()
        world.front.begin_stop(now, now + 0.3)
        answer = await asyncio.wait_for(asking, 0.8)
        assert answer.status == 504

    async def test_a_request_that_waited_into_the_stop_is_not_sent(
        self, world: FrontWorld
    ) -> None:
        """Guards against a request that is sent late and then cut."""
        client = await world.open()
        asking = asyncio.create_task(
            client.ask("/unsafe/x", b"b", request_deadline="5000")
        )
        await asyncio.sleep(0.1)
        now = asyncio.get_running_loop().time()
        world.front.begin_stop(now, now + 0.5)
        upstream = await world.add("u1", answer_ok)
        answer = await asyncio.wait_for(asking, 1.0)
        assert answer.status == 503
        assert upstream.calls == []


class TestOverload:
    @pytest.mark.parametrize(("busy", "status"), [(99, 503), (0, 200)])
    async def test_a_share_is_refused_at_once_while_engines_are_full(
        self, world: FrontWorld, busy: int, status: int
    ) -> None:
        upstream = await world.add("u1", stream_three, "engine", base__a1=1)
        world.front.fleet.view.busy = {"u1": busy}
        world.front.rng = LowestRandom()
        now = asyncio.get_running_loop().time()
        for _ in range(50):
            world.front.admission_control("engine").record_first_event(5.0, now)
        client = await world.open()
        answer = await client.ask("/stream/x", **STREAM)
        assert answer.status == status
        assert ("retry-after" in answer.headers) == (status == 503)
        assert len(upstream.calls) == (status == 200)


class TestPriority:
    async def test_a_request_that_will_be_late_gets_a_lower_priority(
        self, world: FrontWorld
    ) -> None:
        upstream = await world.add(
            "u1", stream_three, "engine", base=1, base__a1=1
        )
        client = await world.open()
        await client.ask("/stream/x", **STREAM)
        long = {**STREAM, "token_counts": "9000,70"}
        await client.ask("/stream/x", **long)
        world.front.table = make_table(goal=0.0)
        await client.ask("/stream/x", **STREAM)
        priorities = [
            call.header("request-priority") for call in upstream.calls
        ]
        assert priorities == ["2", "3", "8"]

    async def test_a_plain_service_gets_no_priority(
        self, world: FrontWorld
    ) -> None:
        upstream = await world.add("u1", answer_ok)
        client = await world.open()
        await client.ask("/unsafe/x")
        assert upstream.calls[0].header("request-priority") == ""


class TestStreams:
    async def test_events_are_relayed_as_they_arrive(
        self, world: FrontWorld
    ) -> None:
        released = asyncio.Event()

        async def slow(call: Call) -> None:
            await call.begin_stream()
            await call.send_event(1)
            await released.wait()
            await call.send_event(2)
            await call.end_stream()

        await world.add("u1", slow, "engine", base__a1=1)
        client = await world.open()
        await client.send("/stream/x", b"b", **STREAM)
        seen = await asyncio.wait_for(client.reader.readuntil(b"id: 1"), 1.0)
        assert seen.startswith(b"HTTP/1.1 200")
        released.set()
        rest = await asyncio.wait_for(client.reader.readuntil(b"0\r\n\r\n"), 1)
        assert b"id: 2" in rest

    async def test_a_broken_stream_does_not_look_complete(
        self, world: FrontWorld
    ) -> None:
        async def cut(call: Call) -> None:
            await call.begin_stream()
            await call.send_event(1)
            call.reset()

        await world.add("u1", cut, "engine", base__a1=1)
        client = await world.open()
        answer = await client.ask("/stream/x", b"b", **STREAM)
        assert not answer.complete

    async def test_a_resumable_stream_continues_at_another_upstream(
        self, world: FrontWorld
    ) -> None:
        async def cut_or_go_on(call: Call) -> None:
            await call.begin_stream()
            if call.header("last-event-id"):
                await call.send_event(int(call.header("last-event-id")) + 1)
                await call.end_stream()
                return
            await call.send_event(1)
            await call.send_event(2)
            await call.send(b"8\r\nid: 3\nda\r\n")
            call.reset()

        for name in ("u1", "u2"):
            await world.add(name, cut_or_go_on, "engine", base__a1=1)
        client = await world.open()
        answer = await client.ask("/resume/x", b"b", **STREAM)
        assert answer.complete
        events = answer.body.decode().split("\n\n")
        assert [e.split("\n")[0] for e in events[:-1]] == [
            "id: 1",
            "id: 2",
            "id: 3",
        ]

    async def test_a_refusal_on_resuming_is_not_appended_to_the_stream(
        self, world: FrontWorld
    ) -> None:
        async def cut_or_refuse(call: Call) -> None:
            if call.header("last-event-id"):
                await call.answer(404, b"what stream?")
                return
            await call.begin_stream()
            await call.send_event(1)
            call.reset()

        for name in ("u1", "u2"):
            await world.add(name, cut_or_refuse, "engine", base__a1=1)
        client = await world.open()
        answer = await client.ask("/resume/x", b"b", **STREAM)
        assert not answer.complete
        assert b"what" not in answer.body


class TestAdapters:
    async def test_an_upstream_that_left_during_the_wait_gets_no_request(
        self, world: FrontWorld
    ) -> None:
        upstream = await world.add("u1", stream_three, "engine", base=1)
        view = world.fleet.view
        leaving = attrs.evolve(view.upstreams["u1"], state=DRAINING)
        view.upstreams["u1"] = leaving
        world.fleet.answer = ArtifactReady("u1", 1)
        client = await world.open()
        answer = await client.ask("/stream/x", b"b", **STREAM)
        assert answer.status == 503
        assert not upstream.calls

    async def test_a_missing_adapter_is_requested_from_the_owner(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", stream_three, "engine", base=1)
        world.fleet.answer = ArtifactReady("u1", 1)
        client = await world.open()
        answer = await client.ask("/stream/x", b"b", **STREAM)
        assert answer.complete
        assert [w.artifact for w in world.fleet.wants] == [ADAPTER]

    async def test_an_unloadable_adapter_is_refused_with_a_retry_delay(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", stream_three, "engine", base=1)
        client = await world.open()
        answer = await client.ask("/stream/x", b"b", **STREAM)
        assert answer.status == 503
        assert answer.headers["retry-after"] == "0.70"

    async def test_a_want_names_customer_and_priority(
        self, world: FrontWorld
    ) -> None:
        # The client is told to return within a third of its 3 s.
        require_keys(world, "/stream/x", k1=Customer("alice", 2))
        await world.add("u1", stream_three, "engine", base=1)
        world.fleet.answer = ArtifactReady("", reason="no_place", after=9.0)
        client = await world.open()
        answer = await client.ask("/stream/x", b"b", credential="k1", **STREAM)
        assert answer.status == 503
        assert 0.5 < float(answer.headers["retry-after"]) <= 1.0
        (want,) = world.fleet.wants
        assert (want.customer, want.priority) == ("alice", 2)

    async def test_a_named_version_is_required(self, world: FrontWorld) -> None:
        old = await world.add("u1", stream_three, "engine", base__a1=1)
        new = await world.add("u2", stream_three, "engine", base__a1=2)
        world.front.versions = {ADAPTER: 2}
        client = await world.open()
        for _ in range(3):
            await client.ask("/stream/x", b"b", **STREAM)
        assert not old.calls
        assert new.calls[0].header("expect-version") == "2"


class TestAssignment:
    """Two engines hold the adapter; the owner assigns one of them."""

    @pytest.fixture
    async def holders(self, world: FrontWorld) -> list[ScriptedUpstream]:
        held = {"base": 1, "base__a1": 1}
        return [
            await world.add(name, stream_three, "engine", **held)
            for name in ("u1", "u2")
        ]

    @pytest.mark.parametrize("chosen", [0, 1])
    async def test_the_owner_s_choice_is_followed(
        self, world: FrontWorld, holders: list[ScriptedUpstream], chosen: int
    ) -> None:
        name = holders[chosen].name
        world.fleet.assigned = ArtifactReady(name, 1, read_seconds=0.3)
        client = await world.open()
        for _ in range(4):
            assert (await client.ask("/stream/x", **STREAM)).status == 200
        assert len(holders[chosen].calls) == 4
        priorities = holders[chosen].calls[0].header("request-priority")
        assert priorities == "3"

    async def test_without_an_assignment_the_front_chooses(
        self, world: FrontWorld, holders: list[ScriptedUpstream]
    ) -> None:
        client = await world.open()
        assert (await client.ask("/stream/x", **STREAM)).status == 200
        assert sum(len(holder.calls) for holder in holders) == 1
        assert world.fleet.ended == []

    async def test_an_assignment_to_an_upstream_that_left_is_not_followed(
        self, world: FrontWorld, holders: list[ScriptedUpstream]
    ) -> None:
        world.fleet.assigned = ArtifactReady("gone", 1)
        client = await world.open()
        assert (await client.ask("/stream/x", **STREAM)).status == 200

    async def test_the_owner_is_told_once_that_a_prompt_was_read(
        self, world: FrontWorld, holders: list[ScriptedUpstream]
    ) -> None:
        world.fleet.assigned = ArtifactReady("u1", 1)
        client = await world.open()
        await client.ask("/stream/x", **STREAM)
        assert world.fleet.ended == [ReadingEnded("r1", "u1", True)]

    async def test_the_owner_is_told_that_a_prompt_was_not_read(
        self, world: FrontWorld, holders: list[ScriptedUpstream]
    ) -> None:
        holders[0].script = refuse
        world.fleet.assigned = ArtifactReady("u1", 1)
        client = await world.open()
        await client.ask("/stream/x", **STREAM)
        assert world.fleet.ended[0] == ReadingEnded("r1", "u1", False)

    async def test_the_owner_is_told_of_a_client_that_leaves_while_it_is_asked(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", stream_three, "engine", base=1)
        client = await world.open()
        world.fleet.request_artifact = wait_forever  # type: ignore[method-assign]
        await client.send("/stream/x", **STREAM)
        await asyncio.sleep(0.1)
        client.close()
        await asyncio.sleep(0.1)
        assert world.fleet.ended == [ReadingEnded("r1", "", False)]


class TestKeepAlive:
    async def test_the_kernel_ends_a_channel_that_went_silent(
        self, world: FrontWorld
    ) -> None:
        # While the front waits for an answer, it sends nothing, so no missing
        # acknowledgement shows that the peer is gone. Keep-alive probes must.
        await world.add("u1", answer_ok)
        client = await world.open()
        await client.ask("/safe/x")
        (idle,) = world.front.channels._idle.values()
        sock = idle[0]._transport.get_extra_info("socket")

        def option(level: int, name: int) -> int:
            return sock.getsockopt(level, name)

        assert option(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        assert option(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 1
        assert option(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) == 1
        assert option(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) < 1000

    async def test_a_request_that_may_run_once_outlasts_a_silence_of_a_second(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", answer_ok)
        client = await world.open()
        timeouts = []
        for path in ("/unsafe/x", "/safe/x", "/unsafe/x"):
            await client.ask(path)
            (idle,) = world.front.channels._idle.values()
            sock = idle[0]._transport.get_extra_info("socket")
            timeouts.append(
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            )
        assert 1500 <= timeouts[0] == timeouts[2] <= 2000
        assert timeouts[1] < 1000


class TestChannels:
    async def test_a_front_keeps_within_its_share_of_channels(
        self, world: FrontWorld
    ) -> None:
        upstream = await world.add("u1", answer_slowly)
        # Five fronts share ten channels.
        world.front.fleet.view.fronts = 5
        clients = [await world.open() for _ in range(3)]
        answers = await asyncio.gather(
            *(client.ask("/unsafe/x") for client in clients)
        )
        assert sorted(answer.status for answer in answers) == [200, 200, 503]
        assert len(upstream.calls) == 2

    async def test_a_surplus_answer_is_not_taken_for_the_next_one(
        self, world: FrontWorld
    ) -> None:
        async def answer_late(call: Call) -> None:
            if call.number == 1:
                # The front expects the answer to the second request here.
                await call.send(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                    b"Request-Id: other\r\n\r\nwrong"
                )
            await call.answer(200, b"right")

        await world.add("u1", answer_late)
        client = await world.open()
        for number in range(3):
            answer = await client.ask(
                "/unsafe/x", b"b", request_id=f"q{number}"
            )
            assert answer.body == b"right"

    @pytest.mark.parametrize(
        ("path", "status", "calls"),
        [("/safe/x", 200, 2), ("/unsafe/x", 502, 1), ("/stream/x", 502, 1)],
    )
    async def test_a_success_without_a_stamp_is_not_passed_on(
        self, world: FrontWorld, path: str, status: int, calls: int
    ) -> None:
        """Guards against a client that gets what is no answer to it as one."""
        reached: list[str] = []

        async def answer_without_stamp(call: Call) -> None:
            reached.append(call.head)
            if len(reached) > 1:
                await answer_ok(call)
                return
            await call.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                b"Request-Id: r1\r\n\r\nwrong"
            )

        service = "engine" if path == "/stream/x" else "plain"
        for name in ("u1", "u2"):
            await world.add(
                name, answer_without_stamp, service, base=1, base__a1=1
            )
        headers = STREAM if service == "engine" else {}
        answer = await (await world.open()).ask(path, b"b", **headers)
        assert (answer.status, len(reached)) == (status, calls)
        assert answer.body != b"wrong"

    async def test_bytes_that_are_no_answer_are_not_passed_on(
        self, world: FrontWorld
    ) -> None:
        async def garble(call: Call) -> None:
            await call.send(b"\x00\x01nonsense\r\n\r\n")
            call.writer.close()

        await world.add("u1", garble)
        client = await world.open()
        answer = await client.ask("/unsafe/x", b"b")
        assert (answer.status, answer.body) == (502, b"")

    async def test_an_answer_without_a_length_ends_with_its_channel(
        self, world: FrontWorld
    ) -> None:
        async def unframed(call: Call) -> None:
            await call.send_raw_answer("HTTP/1.1 200 OK\r\n", b"all of it")
            call.writer.close()

        await world.add("u1", unframed)
        client = await world.open()
        answer = await client.ask("/unsafe/x", b"b")
        assert (answer.status, answer.body) == (200, b"all of it")

    async def test_an_answer_that_ends_with_a_reset_is_not_complete(
        self, world: FrontWorld
    ) -> None:
        async def cut(call: Call) -> None:
            await call.send_raw_answer("HTTP/1.1 200 OK\r\n", b"half")
            await asyncio.sleep(0.05)
            call.reset()

        await world.add("u1", cut)
        client = await world.open()
        assert (await client.ask("/unsafe/x", b"b")).status == 502


LIMITED = Customer("alice", None, Quota(1000.0, 1000.0, True, 200))


def require_keys(
    world: FrontWorld, path: str = "/safe/x", **keys: Customer
) -> None:
    """Has the front require keys, by a configuration confirmed just now."""
    table = world.front.table
    known = {digest_key(key.encode()): c for key, c in keys.items()}
    world.front.table = RouteTable(
        table.version + 1,
        [make_table().find("a.example", path)],  # type: ignore[list-item]
        table.services.values(),
        customers=Customers(tuple(keys.values()), known),
    )
    set_configuration_age(world, 0.0)


def set_configuration_age(world: FrontWorld, age: float) -> None:
    """Sets the age of the front's configuration, in seconds."""
    freshness = Freshness(1.2, asyncio.get_running_loop().time() - age)
    world.front._freshness = freshness
    world.front._revocation = 4.5


class TestCallers:
    async def test_the_upstream_learns_the_customer_and_not_the_key(
        self, world: FrontWorld
    ) -> None:
        require_keys(world, k1=LIMITED)
        upstream = await world.add("u1", answer_ok)
        client = await world.open()
        answer = await client.ask("/safe/x", credential="k1", tenant="bob")
        assert answer.status == 200
        assert upstream.calls[0].header("tenant") == "alice"
        assert "k1" not in upstream.calls[0].head

    async def test_an_unknown_key_is_refused(self, world: FrontWorld) -> None:
        require_keys(world, k1=LIMITED)
        upstream = await world.add("u1", answer_ok)
        answer = await (await world.open()).ask("/safe/x", credential="k2")
        assert (answer.status, upstream.calls) == (401, [])

    async def test_a_key_that_has_just_been_added_is_waited_for(
        self, world: FrontWorld
    ) -> None:
        require_keys(world, k1=LIMITED)
        await world.add("u1", answer_ok)
        client = await world.open()
        asked = asyncio.create_task(client.ask("/safe/x", credential="k2"))
        await asyncio.sleep(0.05)
        require_keys(world, k1=LIMITED, k2=Customer("bob"))
        world.front.discovery_signal.notify()
        assert (await asked).status == 200

    async def test_no_key_is_served_once_it_may_have_been_revoked(
        self, world: FrontWorld
    ) -> None:
        require_keys(world, k1=LIMITED)
        upstream = await world.add("u1", answer_ok)
        set_configuration_age(world, 4.6)
        answer = await (await world.open()).ask("/safe/x", credential="k1")
        assert (answer.status, upstream.calls) == (503, [])
        assert float(answer.headers["retry-after"]) > 0

    async def test_a_key_is_in_no_log_line(
        self, world: FrontWorld, capfd: pytest.CaptureFixture[str]
    ) -> None:
        messages: list[object] = []
        add_destinations(messages.append)
        try:
            require_keys(world, s3cret=LIMITED)
            await world.add("u1", reset)
            client = await world.open()
            await client.ask("/safe/x", credential="s3cret")
            await (await world.open()).ask("/safe/x", credential="0ther")
        finally:
            remove_destination(messages.append)
        written = repr(messages) + "".join(capfd.readouterr())
        assert messages
        assert "s3cret" not in written
        assert "0ther" not in written


class TestQuotas:
    async def test_a_front_that_has_just_started_waits_for_news(
        self, world: FrontWorld
    ) -> None:
        # When seven tenths of the fronts are killed while a customer is far
        # beyond its quota, each restarted front would admit twice its own share
        # at once if it didn't wait for news.
        require_keys(world, k1=LIMITED)
        client = await world.open()
        asked = asyncio.create_task(client.ask("/safe/x", credential="k1"))
        await asyncio.sleep(0.05)
        assert world.front.quotas.collect_uses() == {}
        await world.add("u1", answer_ok)
        now = asyncio.get_running_loop().time()
        world.front.quotas.apply_news({"alice": RateState(0.0, 9.0)}, 1, now)
        world.front.discovery_signal.notify()
        assert (await asked).status == 429

    async def test_a_request_beyond_the_quota_is_refused_at_once(
        self, world: FrontWorld
    ) -> None:
        require_keys(world, k1=LIMITED)
        upstream = await world.add("u1", answer_ok)
        now = asyncio.get_running_loop().time()
        states = {"alice": RateState(0.0, -9.0)}
        world.front.quotas.apply_news(states, 1, now)
        answer = await (await world.open()).ask("/safe/x", credential="k1")
        assert (answer.status, upstream.calls) == (429, [])
        assert float(answer.headers["retry-after"]) >= 1.0

    async def test_a_customer_without_a_limit_is_not_counted(
        self, world: FrontWorld
    ) -> None:
        require_keys(world, k1=Customer("free"))
        await world.add("u1", answer_ok)
        client = await world.open()
        assert (await client.ask("/safe/x", credential="k1")).status == 200
        assert not world.front.quotas.collect_uses()

    async def test_a_retry_by_the_front_is_counted_once(
        self, world: FrontWorld
    ) -> None:
        require_keys(world, k1=LIMITED)
        await world.add("u1", refuse)
        await world.add("u2", answer_ok)
        for _ in range(3):
            client = await world.open()
            assert (await client.ask("/safe/x", credential="k1")).status == 200
        assert world.front.quotas.collect_uses() == {"alice": RateUse(600, 600)}

    async def test_a_request_that_has_not_run_is_not_counted(
        self, world: FrontWorld
    ) -> None:
        require_keys(world, k1=LIMITED)
        await world.add("u1", refuse)
        client = await world.open()
        assert (await client.ask("/safe/x", credential="k1")).status == 503
        assert world.front.quotas.collect_uses() == {"alice": RateUse()}


class EndTelemetry(BufferedTelemetry):
    """Telemetry that records the ends of requests."""

    def __init__(self) -> None:
        super().__init__()
        self.ends: list[RequestEnd] = []

    def record_request_end(self, end: RequestEnd) -> None:
        self.ends.append(end)


class TestMetrics:
    async def test_a_refusal_never_counts_as_in_time(
        self, world: FrontWorld
    ) -> None:
        require_keys(world, k1=LIMITED)
        await world.add("u1", answer_ok)
        world.front.telemetry = ends = EndTelemetry()
        client = await world.open()
        await client.ask("/safe/x", credential="k1")
        states = {"alice": RateState(0.0, -9.0)}
        now = asyncio.get_running_loop().time()
        world.front.quotas.apply_news(states, 1, now)
        await client.ask("/safe/x", credential="k1")
        recorded = [
            (end.customer, end.outcome, end.in_time) for end in ends.ends
        ]
        assert recorded == [
            ("alice", "served", True),
            ("alice", "refused", False),
        ]


class TestStreamGaps:
    @pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
    async def test_the_gaps_of_a_stream_are_reported_once(
        self, world: FrontWorld, path: str
    ) -> None:
        async def pause_once(call: Call) -> None:
            await call.begin_stream()
            for number in range(6):
                await asyncio.sleep(0.3 if number == 3 else 0.03)
                await call.send_event(number)
            await call.end_stream()

        await world.add("u1", pause_once, "engine", base__a1=1)
        client = await world.open()
        await client.ask(path, **STREAM)
        sent = world.front.collect_sent(asyncio.get_running_loop().time())
        assert sent.calls["u1"].paced == 1
        assert 0.02 < sent.calls["u1"].typical_gaps < 0.1
        assert 0.28 < sent.calls["u1"].longest_gaps < 0.5
        # Guards against reports without a time, which can't be sent.
        now = asyncio.get_running_loop().time()
        assert 0 <= now - sent.since < 1.0
        assert not world.front.collect_sent(asyncio.get_running_loop().time())

    async def test_a_client_that_reads_slowly_makes_no_gap(
        self, world: FrontWorld
    ) -> None:
        # Guards against an engine that seems slow because of its clients.
        async def send_much(call: Call) -> None:
            await call.begin_stream()
            data = b"data: %s\n\n" % (b"x" * 500_000)
            for number in range(14):
                await call.send(b"%x\r\n%s\r\n" % (len(data), data))
                await asyncio.sleep(0.03 if number < 6 else 0.0)
            await call.end_stream()

        await world.add("u1", send_much, "engine", base__a1=1)
        client = await world.open()
        await client.send("/stream/x", **STREAM)
        await asyncio.sleep(1.0)
        assert len((await client.read()).body) > 14 * 500_000
        calls = world.front.collect_sent(
            asyncio.get_running_loop().time()
        ).calls.get("u1")
        assert calls is None or calls.longest_gaps < 0.5
