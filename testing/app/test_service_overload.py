"""Tests of a front's overload control at the wire, over loopback."""

import asyncio

import pytest
from eliot import add_destinations, remove_destination

from ridgesill.core.fleet.messages import ServiceNews
from ridgesill.core.serving.customers import Customer, Quota
from ridgesill.core.serving.load_reports import RequestClass, UpstreamCalls
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.core.serving.rates import RateState, RateUse
from testing.app.front_world import Call, FrontWorld, Script
from testing.app.test_forwarding import require_keys

CLASS = RequestClass("plain")


async def answer(call: Call) -> None:
    await call.answer(200)


async def reject(call: Call) -> None:
    await call.answer(503, b"", "Not-Run: 1")


async def reject_as_leaving(call: Call) -> None:
    await call.answer(503, b"", "Not-Run: 1", "Server-Leaving: 1")


async def fail(call: Call) -> None:
    await call.answer(500)


async def reset(call: Call) -> None:
    call.reset()


async def stay_silent(call: Call) -> None:
    await asyncio.sleep(3.0)


def restrict(world: FrontWorld, share: float, *classes: RequestClass) -> None:
    """Applies news that restrict the service `plain`, or classes of it."""
    shares = {c.key: RateState(share, 0.0) for c in classes}
    view = world.fleet.view
    view.services = {"plain": ServiceNews(350.0, shares, 0.35, 0.25)}
    view.updated_at = asyncio.get_running_loop().time()
    world.front.service_admission.apply_news(view)


def collect_calls(world: FrontWorld) -> dict[str, UpstreamCalls]:
    now = asyncio.get_running_loop().time()
    return world.front.collect_sent(now).calls


def limit_to_one(world: FrontWorld) -> None:
    """Applies news by which the front may have one request in progress."""
    view = world.fleet.view
    view.services = {"plain": ServiceNews(350.0, limit=1.0)}
    slots = sum(u.slots for u in view.upstreams.values())
    view.fronts = slots
    view.busy = dict.fromkeys(view.upstreams, 2 * slots)
    view.updated_at = asyncio.get_running_loop().time()
    world.front.service_admission.apply_news(view)


class TestConcurrencyLimit:
    async def test_a_request_beyond_the_limit_is_refused_at_once(
        self, world: FrontWorld
    ) -> None:
        """Guards against queues that fill up before the owner's shares."""
        upstream = await world.add("u1", stay_silent)
        limit_to_one(world)
        first = asyncio.create_task((await world.open()).ask("/safe/x"))
        while not upstream.calls:
            await asyncio.sleep(0.01)
        limit_to_one(world)
        refused = await (await world.open()).ask("/safe/x")
        first.cancel()
        assert (refused.status, len(upstream.calls)) == (503, 1)

    @pytest.mark.parametrize("script", [answer, fail, reset, reject])
    async def test_requests_that_have_ended_are_not_in_progress(
        self, world: FrontWorld, script: Script
    ) -> None:
        """Guards against a front that refuses more with each failure."""
        upstream = await world.add("u1", script)
        for expected in range(1, 6):
            limit_to_one(world)
            await (await world.open()).ask("/unsafe/x", b"b")
            world.front.chooser.outcomes = Outcomes()
            assert len(upstream.calls) == expected


class TestRefusals:
    async def test_a_request_is_refused_before_an_upstream_is_tried(
        self, world: FrontWorld
    ) -> None:
        upstream = await world.add("u1", answer)
        restrict(world, 0.0, CLASS)
        messages: list[dict[str, object]] = []
        add_destinations(messages.append)
        try:
            refused = await (await world.open()).ask("/unsafe/x", b"b")
        finally:
            remove_destination(messages.append)
        assert (refused.status, upstream.calls) == (503, [])
        assert 0.25 <= float(refused.headers["retry-after"]) <= 0.6
        by_type = {m["message_type"]: m for m in messages}
        assert by_type["request:overload"]["share"] == 0.0
        assert by_type["request:end"]["reason"] == "overload"
        sent = world.front.collect_sent(0.0)
        assert sent.offers == {CLASS.key: RateUse(0, 1)}

    async def test_a_returning_caller_is_of_another_class(
        self, world: FrontWorld
    ) -> None:
        upstream = await world.add("u1", answer)
        restrict(world, 0.0, CLASS)
        client = await world.open()
        assert (await client.ask("/safe/x")).status == 503
        returned = await client.ask("/safe/x", request_deadline="1700")
        assert (returned.status, len(upstream.calls)) == (200, 1)

    async def test_a_caller_without_the_time_for_an_answer_is_refused(
        self, world: FrontWorld
    ) -> None:
        upstream = await world.add("u1", answer)
        restrict(world, 1.0)
        now = asyncio.get_running_loop().time()
        for _ in range(9):
            world.front.service_admission.record_answer("plain", "u1", 0.3, now)
        client = await world.open()
        refused = await client.ask("/safe/x", request_deadline="200")
        assert (refused.status, upstream.calls) == (503, [])
        assert float(refused.headers["retry-after"]) <= 0.2 / 3

    async def test_a_refused_request_is_not_charged_to_the_quota(
        self, world: FrontWorld
    ) -> None:
        quota = Quota(1000.0, 1000.0, True, 200)
        require_keys(world, k1=Customer("alice", 3, quota))
        upstream = await world.add("u1", answer)
        # The customer's priority takes precedence over its route's.
        restrict(world, 0.0, RequestClass("plain", 3, "alice"))
        client = await world.open()
        refused = await client.ask("/safe/x", credential="k1")
        assert (refused.status, upstream.calls) == (503, [])
        assert world.front.quotas.collect_uses() == {"alice": RateUse()}

    async def test_a_request_that_was_sent_is_not_refused_on_its_retry(
        self, world: FrontWorld
    ) -> None:
        async def restrict_and_reset(call: Call) -> None:
            restrict(world, 0.0, CLASS)
            call.reset()

        await world.add("u1", restrict_and_reset)
        await world.add("u2", restrict_and_reset)
        client = await world.open()
        assert (await client.ask("/safe/x")).status == 502
        assert sum(c.failed for c in collect_calls(world).values()) == 2


class TestRetryDelays:
    async def test_callers_that_all_upstreams_reject_get_delays_of_the_window(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", reject)
        restrict(world, 1.0)
        client = await world.open()
        delays = set()
        for _ in range(8):
            restrict(world, 1.0)
            refused = await client.ask("/unsafe/x", b"b")
            delays.add(float(refused.headers["retry-after"]))
        assert len(delays) > 1
        assert all(0.25 <= delay <= 2.0 / 3 for delay in delays)

    async def test_the_delay_is_as_before_without_overload_control(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", reject)
        refused = await (await world.open()).ask("/unsafe/x", b"b")
        assert refused.headers["retry-after"] == "0.50"


class TestOutcomes:
    @pytest.mark.parametrize(
        ("script", "calls"),
        [
            (reject, UpstreamCalls(rejected=1)),
            (reject_as_leaving, None),
            (fail, UpstreamCalls(failed=1)),
            (reset, UpstreamCalls(failed=1)),
        ],
    )
    async def test_failures_are_counted(
        self, world: FrontWorld, script: Script, calls: UpstreamCalls | None
    ) -> None:
        await world.add("u1", script)
        await (await world.open()).ask("/unsafe/x", b"b")
        assert collect_calls(world).get("u1") == calls

    async def test_an_answer_counts_with_its_time(
        self, world: FrontWorld
    ) -> None:
        async def answer_slowly(call: Call) -> None:
            await asyncio.sleep(0.1)
            await call.answer(404)

        await world.add("u1", answer_slowly)
        await (await world.open()).ask("/unsafe/x", b"b")
        calls = collect_calls(world)["u1"]
        assert calls.answered == 1
        assert 0.1 <= calls.seconds < 1.0

    @pytest.mark.parametrize(("deadline", "failed"), [("300", 0), ("1300", 1)])
    async def test_a_deadline_is_a_failure_only_after_a_long_silence(
        self, world: FrontWorld, deadline: str, failed: int
    ) -> None:
        # A returning caller has little time: its deadline says nothing of the
        # upstream, and would eject one that is only full.
        await world.add("u1", stay_silent)
        client = await world.open()
        await client.ask("/unsafe/x", b"b", request_deadline=deadline)
        assert sum(c.failed for c in collect_calls(world).values()) == failed

    async def test_a_deadline_after_the_head_of_an_answer_is_no_failure(
        self, world: FrontWorld
    ) -> None:
        async def answer_in_part(call: Call) -> None:
            await call.send_raw_answer(
                "HTTP/1.1 200 X\r\nContent-Length: 9\r\n", b"x"
            )
            await stay_silent(call)

        await world.add("u1", answer_in_part)
        client = await world.open()
        await client.ask("/unsafe/x", b"b", request_deadline="1300")
        assert collect_calls(world) == {}

    async def test_calls_to_engines_are_not_counted(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", fail, "engine", base=1)
        client = await world.open()
        await client.ask("/stream/x", model="base", token_counts="10,70")
        assert not world.front.collect_sent(0.0)


class TestReports:
    async def test_calls_without_offers_have_a_time(
        self, world: FrontWorld
    ) -> None:
        # An infinite time would end the front in the slicing of reports.
        world.front.collect_sent(7.0)
        calls = UpstreamCalls(answered=1, seconds=0.1)
        world.front.service_admission.record_calls("u1", calls)
        sent = world.front.collect_sent(8.0)
        world.fleet.pending_reports.add(sent)
        (report,) = world.fleet.pending_reports.make_reports("owner", 8.0)
        assert (report.calls, report.span) == ({"u1": calls}, 1.0)
