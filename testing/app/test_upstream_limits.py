"""Tests of a front under rate limits that upstreams name in answers."""

import asyncio
import time

import eliot.testing
import pytest

from ridgesill.core.fleet.messages import ArtifactReady
from ridgesill.core.serving.rates import RateState
from testing.app.front_world import Call, FrontWorld
from testing.soak.limits import allowed, count_busiest

ADAPTER = "base/a1"
STREAM = {"model": ADAPTER, "token_counts": "10,70"}
_NOT_RUN = "Not-Run: 1"


class LimitingUpstream:
    """Upstream that names its limit in each answer, if it has one."""

    def __init__(self, limit: str, status: int = 200) -> None:
        self.limit = limit
        self.status = status
        self.times: list[float] = []

    async def __call__(self, call: Call) -> None:
        self.times.append(asyncio.get_running_loop().time())
        said = [f"Server-Limit: {self.limit}"] if self.limit else []
        if self.status != 200:
            said.append(_NOT_RUN)
        await call.answer(self.status, b"x", "Server-Stamp: s", *said)


async def send_requests(
    world: FrontWorld, seconds: float, path: str
) -> list[int]:
    """Sends 20 requests a second; returns the statuses of the answers."""
    client = await world.open()
    statuses = []
    headers = STREAM if "stream" in path else {}
    for _ in range(int(20 * seconds)):
        statuses.append((await client.ask(path, **headers)).status)
        await asyncio.sleep(0.05)
    return statuses


def set_share(world: FrontWorld, share: float) -> None:
    """Applies news with the share of requests that may go to `u1`."""
    now = asyncio.get_running_loop().time()
    world.front.limits.rates.apply_news({"u1": RateState(share, 0.0)}, 1, now)


class TestLimit:
    async def test_upstream_gets_no_more_than_its_limit(
        self, world: FrontWorld
    ) -> None:
        limited, other = LimitingUpstream("3"), LimitingUpstream("")
        await world.add("u1", limited)
        await world.add("u2", other)
        statuses = await send_requests(world, 4.5, "/safe/x")
        assert set(statuses) == {200}
        assert count_busiest(limited.times, 0.0) <= allowed(3.0)
        assert len(limited.times) >= 9

    async def test_limit_applies_to_the_owner_s_choice(
        self, world: FrontWorld
    ) -> None:
        limited = LimitingUpstream("3")
        await world.add("u1", limited, "engine", base__a1=1)
        await world.add("u2", LimitingUpstream(""), "engine", base__a1=1)
        world.fleet.assigned = ArtifactReady("u1", 1)
        statuses = await send_requests(world, 3.0, "/stream/x")
        assert set(statuses) == {200}
        assert count_busiest(limited.times, 0.0) <= allowed(3.0)

    async def test_adapter_held_only_by_a_limited_upstream_is_wanted_elsewhere(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", LimitingUpstream("0.5"), "engine", base__a1=1)
        await world.add("u2", LimitingUpstream(""), "engine")
        world.fleet.answer = ArtifactReady("u2", 1)
        statuses = await send_requests(world, 1.0, "/stream/x")
        assert set(statuses) == {200}
        assert all("u1" in want.avoid for want in world.fleet.wants)
        assert world.fleet.wants

    async def test_limit_named_while_a_request_waits_applies_to_it(
        self, world: FrontWorld
    ) -> None:
        limited = LimitingUpstream("0.5")
        await world.add("u1", limited, "engine", base__a1=1)
        await world.add("u2", LimitingUpstream(""), "engine")
        world.fleet.answer = ArtifactReady("u2", 1)
        first, second = await world.open(), await world.open()
        await first.ask("/stream/x", **STREAM)
        world.fleet.assigned = ArtifactReady("u1", 1)
        await second.ask("/stream/x", **STREAM)
        assert len(limited.times) == 1

    async def test_refusals_with_a_limit_are_no_failures(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", LimitingUpstream("20", 503))
        await send_requests(world, 1.0, "/safe/x")
        now = asyncio.get_running_loop().time()
        assert not world.front.chooser.outcomes.is_ejected("u1", now)
        assert world.front.chooser.outcomes.failure_rate("u1", now) == 0


class TestPlainChoice:
    async def test_choosing_another_upstream_logs_no_refusal(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", LimitingUpstream("0.5"))
        await world.add("u2", LimitingUpstream(""))
        logger = eliot.MemoryLogger()
        before = eliot.testing.swap_logger(logger)
        try:
            statuses = await send_requests(world, 1.0, "/safe/x")
        finally:
            eliot.testing.swap_logger(before)
        assert set(statuses) == {200}
        types = {message.get("message_type") for message in logger.messages}
        assert "request:limited" not in types


class TestAllLimited:
    async def test_request_is_refused_at_once_with_retry_after(
        self, world: FrontWorld
    ) -> None:
        limited = LimitingUpstream("3")
        await world.add("u1", limited)
        client = await world.open()
        await client.ask("/safe/x")
        set_share(world, 0.0)
        began = time.monotonic()
        answers = [await client.ask("/safe/x") for _ in range(10)]
        assert time.monotonic() - began < 0.3
        assert {answer.status for answer in answers} == {503}
        assert len({answer.headers["retry-after"] for answer in answers}) > 3
        assert len(limited.times) == 1

    async def test_the_share_that_may_pass_is_served(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", LimitingUpstream("3"))
        client = await world.open()
        await client.ask("/safe/x")
        set_share(world, 1.0)
        assert (await client.ask("/safe/x")).status == 200


class TestLiftedLimit:
    async def test_upstream_gets_its_share_again(
        self, world: FrontWorld
    ) -> None:
        limited = LimitingUpstream("2")
        await world.add("u1", limited)
        await send_requests(world, 1.0, "/safe/x")
        limited.limit = ""
        await send_requests(world, 6.0, "/safe/x")
        statuses = await send_requests(world, 1.0, "/safe/x")
        assert set(statuses) == {200}


class TestParsing:
    @pytest.mark.parametrize(
        "said", ["", "-3", "many", "1e3", "1" * 40, "NaN", "3 4"]
    )
    async def test_invalid_limit_is_ignored(
        self, world: FrontWorld, said: str
    ) -> None:
        await world.add("u1", LimitingUpstream(said))
        statuses = await send_requests(world, 0.5, "/safe/x")
        assert set(statuses) == {200}
        assert not world.front.limits.known

    @pytest.mark.parametrize(
        ("said", "kept"),
        [
            ("0", 0.5),
            ("0.01", 0.5),
            ("1.8", 1.8),
            ("99999999", 99999999.0),
            ("5\r\nServer-Limit: 3", 3.0),
            ("5\r\nServer-Limit: none", 5.0),
        ],
    )
    async def test_stored_limit_is_never_zero(
        self, world: FrontWorld, said: str, kept: float
    ) -> None:
        await world.add("u1", LimitingUpstream(said))
        await (await world.open()).ask("/safe/x")
        now = asyncio.get_running_loop().time()
        assert world.front.limits.allowed_rate("u1", now) == kept
