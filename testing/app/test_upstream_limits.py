"""A front and the limits that upstreams name in answers."""

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


class Naming:
    """Answers, and names a limit while it has one."""

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


async def ask_often(world: FrontWorld, seconds: float, path: str) -> list[int]:
    """Returns the statuses of 20 requests a second."""
    client = await world.open()
    statuses = []
    headers = STREAM if "stream" in path else {}
    for _ in range(int(20 * seconds)):
        statuses.append((await client.ask(path, **headers)).status)
        await asyncio.sleep(0.05)
    return statuses


def tell_share(world: FrontWorld, share: float) -> None:
    """Has the owner say which share of requests may go to an upstream."""
    now = asyncio.get_running_loop().time()
    world.front.limits.rates.apply_news({"u1": RateState(share, 0.0)}, 1, now)


class TestLimit:
    async def test_an_upstream_gets_what_it_names(
        self, world: FrontWorld
    ) -> None:
        limited, other = Naming("3"), Naming("")
        await world.add("u1", limited)
        await world.add("u2", other)
        statuses = await ask_often(world, 4.5, "/safe/x")
        assert set(statuses) == {200}
        assert count_busiest(limited.times, 0.0) <= allowed(3.0)
        assert len(limited.times) >= 9

    async def test_the_owner_s_choice_is_looked_at_too(
        self, world: FrontWorld
    ) -> None:
        limited = Naming("3")
        await world.add("u1", limited, "engine", base__a1=1)
        await world.add("u2", Naming(""), "engine", base__a1=1)
        world.fleet.assigned = ArtifactReady("u1", 1)
        statuses = await ask_often(world, 3.0, "/stream/x")
        assert set(statuses) == {200}
        assert count_busiest(limited.times, 0.0) <= allowed(3.0)

    async def test_what_only_it_holds_is_wanted_elsewhere(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", Naming("0.5"), "engine", base__a1=1)
        await world.add("u2", Naming(""), "engine")
        world.fleet.answer = ArtifactReady("u2", 1)
        statuses = await ask_often(world, 1.0, "/stream/x")
        assert set(statuses) == {200}
        assert all("u1" in want.avoid for want in world.fleet.wants)
        assert world.fleet.wants

    async def test_one_that_names_it_while_a_request_waits(
        self, world: FrontWorld
    ) -> None:
        limited = Naming("0.5")
        await world.add("u1", limited, "engine", base__a1=1)
        await world.add("u2", Naming(""), "engine")
        world.fleet.answer = ArtifactReady("u2", 1)
        first, second = await world.open(), await world.open()
        await first.ask("/stream/x", **STREAM)
        world.fleet.assigned = ArtifactReady("u1", 1)
        await second.ask("/stream/x", **STREAM)
        assert len(limited.times) == 1

    async def test_one_that_turns_requests_away_is_not_failing(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", Naming("20", 503))
        await ask_often(world, 1.0, "/safe/x")
        now = asyncio.get_running_loop().time()
        assert not world.front.chooser.outcomes.is_ejected("u1", now)
        assert world.front.chooser.outcomes.failure_rate("u1", now) == 0


class TestPlainChoice:
    async def test_no_line_tells_of_a_refusal_that_was_none(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", Naming("0.5"))
        await world.add("u2", Naming(""))
        logger = eliot.MemoryLogger()
        before = eliot.testing.swap_logger(logger)
        try:
            statuses = await ask_often(world, 1.0, "/safe/x")
        finally:
            eliot.testing.swap_logger(before)
        assert set(statuses) == {200}
        types = {message.get("message_type") for message in logger.messages}
        assert "request:limited" not in types


class TestAllLimited:
    async def test_a_request_is_refused_at_once_with_when_to_come_back(
        self, world: FrontWorld
    ) -> None:
        limited = Naming("3")
        await world.add("u1", limited)
        client = await world.open()
        await client.ask("/safe/x")
        tell_share(world, 0.0)
        began = time.monotonic()
        answers = [await client.ask("/safe/x") for _ in range(10)]
        assert time.monotonic() - began < 0.3
        assert {answer.status for answer in answers} == {503}
        assert len({answer.headers["retry-after"] for answer in answers}) > 3
        assert len(limited.times) == 1

    async def test_the_share_that_may_pass_is_served(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", Naming("3"))
        client = await world.open()
        await client.ask("/safe/x")
        tell_share(world, 1.0)
        assert (await client.ask("/safe/x")).status == 200


class TestEnd:
    async def test_its_share_comes_back(self, world: FrontWorld) -> None:
        limited = Naming("2")
        await world.add("u1", limited)
        await ask_often(world, 1.0, "/safe/x")
        limited.limit = ""
        await ask_often(world, 6.0, "/safe/x")
        statuses = await ask_often(world, 1.0, "/safe/x")
        assert set(statuses) == {200}


class TestReadings:
    @pytest.mark.parametrize(
        "said", ["", "-3", "many", "1e3", "1" * 40, "NaN", "3 4"]
    )
    async def test_what_is_no_number_is_no_limit(
        self, world: FrontWorld, said: str
    ) -> None:
        await world.add("u1", Naming(said))
        statuses = await ask_often(world, 0.5, "/safe/x")
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
    async def test_what_is_kept_is_never_nothing(
        self, world: FrontWorld, said: str, kept: float
    ) -> None:
        await world.add("u1", Naming(said))
        await (await world.open()).ask("/safe/x")
        now = asyncio.get_running_loop().time()
        assert world.front.limits.allowed_rate("u1", now) == kept
