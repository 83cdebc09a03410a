"""What an upstream says in its answers: that it rests, and that it leaves.

Upstreams that were full turned fronts away and asked for 3 s without requests.
A front took that for one failure among others: it sent three, paused for 1.5 s
of its own, sent three more, and paused for 3 s (at 6.12, 6.48, 6.53, 8.18,
8.34, 8.49 and 8.60 s). What one had turned away went to the other one that
rested, and its caller was refused after both.
"""

import asyncio

import attrs
import pytest

from ridgesill.app.order_holder import deliver_order
from ridgesill.core.fleet.messages import (
    DRAINING,
    ArtifactReady,
    FleetNews,
    HeardLeave,
    UpstreamChange,
    WantArtifact,
)
from ridgesill.core.fleet.orders import Action, FleetOrder
from ridgesill.platform.upstreams import PlatformEngines
from testing.app.front_world import Call, FrontWorld, Script

ADAPTER = "base/a1"
STREAM = {"model": ADAPTER, "token_counts": "10,70"}
RESTS = "Retry-After: 0.6"
LEAVES = "Server-Leaving: 1"
_NOT_RUN = "Not-Run: 1"


async def answer_ok(call: Call) -> None:
    await call.answer(200, b"fine", "Server-Stamp: s1")


async def leave(call: Call) -> None:
    await call.answer(200, b"x", "Server-Stamp: s1", LEAVES)


async def ask_for_rest(call: Call) -> None:
    await call.answer(503, b"", _NOT_RUN, RESTS)


def once(first: Script, then: Script) -> Script:
    """Returns a script that begins differently from how it goes on."""

    async def run(call: Call) -> None:
        await (first if call.number == 0 else then)(call)

    return run


class TestRest:
    async def test_an_upstream_gets_nothing_until_its_rest_is_over(
        self, world: FrontWorld
    ) -> None:
        resting = await world.add("u1", once(ask_for_rest, answer_ok))
        client = await world.open()
        refused = await client.ask("/safe/x")
        assert refused.status == 503
        for _ in range(3):
            await asyncio.sleep(0.1)
            assert (await client.ask("/safe/x")).status == 503
        assert len(resting.calls) == 1
        await asyncio.sleep(0.4)
        assert (await client.ask("/safe/x")).status == 200

    async def test_one_that_has_rested_is_not_out_of_use_beside_that(
        self, world: FrontWorld
    ) -> None:
        async def rest_thrice(call: Call) -> None:
            if call.number < 3:
                await call.answer(503, b"", _NOT_RUN, "Retry-After: 0.1")
            else:
                await answer_ok(call)

        await world.add("u1", rest_thrice)
        client = await world.open()
        for _ in range(3):
            await client.ask("/safe/x")
            await asyncio.sleep(0.15)
        assert not world.front.chooser.list_unusable(
            "plain", asyncio.get_running_loop().time()
        )

    async def test_a_client_is_told_when_the_first_one_is_back(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", ask_for_rest)
        client = await world.open()
        await client.ask("/safe/x")
        refused = await client.ask("/safe/x")
        assert refused.status == 503
        assert 0.4 <= float(refused.headers["retry-after"]) <= 0.6

    async def test_others_serve_meanwhile(self, world: FrontWorld) -> None:
        resting = await world.add("u1", ask_for_rest)
        await world.add("u2", answer_ok)
        client = await world.open()
        for _ in range(12):
            assert (await client.ask("/safe/x")).status == 200
        assert len(resting.calls) <= 1

    async def test_the_owner_s_choice_is_looked_at_too(
        self, world: FrontWorld
    ) -> None:
        resting = await world.add("u1", ask_for_rest, "engine", base__a1=1)
        await world.add("u2", answer_ok, "engine", base__a1=1)
        world.fleet.assigned = ArtifactReady("u1", 1)
        client = await world.open()
        for _ in range(4):
            assert (await client.ask("/stream/x", **STREAM)).status == 200
        assert len(resting.calls) == 1

    async def test_an_upstream_that_asks_while_a_load_is_awaited(
        self, world: FrontWorld
    ) -> None:
        resting = await world.add("u1", ask_for_rest, "engine")
        other = await world.add("u2", answer_ok, "engine")
        wants: list[WantArtifact] = []

        async def want(asked: WantArtifact) -> ArtifactReady:
            wants.append(asked)
            name = "u1" if len(wants) <= 2 else "u2"
            await asyncio.sleep(0.2)
            return ArtifactReady(name, 1)

        world.fleet.request_artifact = want  # type: ignore[method-assign]
        client, second = await world.open(), await world.open()
        await client.send("/stream/x", **STREAM)
        await asyncio.sleep(0.1)
        # The first one is turned away while this one waits for its load.
        await second.send("/stream/x", **STREAM)
        assert (await client.read()).status == 200
        assert (await second.read()).status == 200
        assert len(resting.calls) == 1
        assert len(other.calls) == 2
        assert "u1" in wants[-1].avoid

    @pytest.mark.parametrize("asked", ["-3", "soon", "9" * 30, "1e9", ""])
    async def test_what_can_not_be_granted_takes_nobody_out_for_long(
        self, world: FrontWorld, asked: str
    ) -> None:
        async def ask(call: Call) -> None:
            await call.answer(503, b"", _NOT_RUN, f"Retry-After: {asked}")

        await world.add("u1", once(ask, answer_ok))
        client = await world.open()
        await client.ask("/safe/x")
        assert (await client.ask("/safe/x")).status == 200

    async def test_a_long_rest_is_cut_to_a_minute(
        self, world: FrontWorld
    ) -> None:
        async def ask(call: Call) -> None:
            await call.answer(503, b"", _NOT_RUN, "Retry-After: 3600")

        await world.add("u1", ask)
        client = await world.open()
        await client.ask("/safe/x")
        refused = await client.ask("/safe/x")
        assert 55 <= float(refused.headers["retry-after"]) <= 60


class TestLeaving:
    @pytest.mark.parametrize("status", [200, 500, 503])
    async def test_one_that_leaves_gets_nothing_more(
        self, world: FrontWorld, status: int
    ) -> None:
        async def leave(call: Call) -> None:
            lines = (LEAVES, _NOT_RUN) if status == 503 else (LEAVES,)
            await call.answer(status, b"x", "Server-Stamp: s1", *lines)

        leaving = await world.add("u1", leave)
        client = await world.open()
        await client.ask("/unsafe/x", b"b")
        assert (await client.ask("/unsafe/x", b"b")).status == 503
        assert len(leaving.calls) == 1

    async def test_news_that_still_call_it_ready_change_nothing(
        self, world: FrontWorld
    ) -> None:
        leaving = await world.add("u1", leave)
        client = await world.open()
        assert (await client.ask("/unsafe/x", b"b")).status == 200
        view = world.fleet.view
        record = attrs.evolve(view.upstreams["u1"])
        change = UpstreamChange("u1", record)
        view.apply_news(FleetNews(2, view.number + 1, True, (change,)), 0.0)
        assert (await client.ask("/unsafe/x", b"b")).status == 503
        assert len(leaving.calls) == 1

    async def test_the_owner_is_told_once(self, world: FrontWorld) -> None:
        async def leave(call: Call) -> None:
            await asyncio.sleep(0.05)
            await call.answer(200, b"x", "Server-Stamp: s1", LEAVES)

        await world.add("u1", leave)
        first, second = await world.open(), await world.open()
        await first.send("/unsafe/x", b"b")
        await second.send("/unsafe/x", b"b")
        assert (await first.read()).status == 200
        assert (await second.read()).status == 200
        assert world.fleet.leaves == [HeardLeave("u1")]

    async def test_an_owner_that_calls_it_ready_is_told_again(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", leave)
        client = await world.open()
        await client.ask("/unsafe/x", b"b")
        view = world.fleet.view
        world.front.upstream_words.resend_leaves(view.upstreams.values())
        await asyncio.sleep(0.01)
        assert world.fleet.leaves == 2 * [HeardLeave("u1")]
        leaving = attrs.evolve(view.upstreams["u1"], state=DRAINING)
        world.front.upstream_words.resend_leaves([leaving])
        await asyncio.sleep(0.01)
        assert len(world.fleet.leaves) == 2

    async def test_it_is_remembered_while_news_do_not_name_it(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", leave)
        client = await world.open()
        await client.ask("/unsafe/x", b"b")
        now = asyncio.get_running_loop().time()
        unavailable = world.front.chooser.unavailable
        unavailable.discard_except((), now + 60.0)
        assert unavailable.is_leaving("u1")
        unavailable.discard_except((), now + 200.0)
        assert not unavailable.is_leaving("u1")

    async def test_the_start_that_follows_is_used(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", leave)
        client = await world.open()
        await client.ask("/unsafe/x", b"b")
        await world.add("u1-again", answer_ok)
        assert (await client.ask("/unsafe/x", b"b")).status == 200


class TestReplaced:
    async def test_an_address_that_another_one_has_gets_no_more_requests(
        self, world: FrontWorld
    ) -> None:
        async def misdirect(call: Call) -> None:
            await call.answer(421, b"", "Instance-Id: u9")

        replaced = await world.add("u1", misdirect)
        client = await world.open()
        for _ in range(3):
            assert (await client.ask("/safe/x")).status == 503
        assert len(replaced.calls) == 1

    async def test_one_that_lacks_what_is_asked_for_is_still_there(
        self, world: FrontWorld
    ) -> None:
        async def lack(call: Call) -> None:
            await call.answer(421, b"", "Instance-Id: u1")

        await world.add("u1", once(lack, answer_ok))
        client = await world.open()
        await client.ask("/safe/x")
        assert (await client.ask("/safe/x")).status == 200


class TestOrders:
    @pytest.mark.parametrize("status", [202, 409])
    async def test_an_answer_to_an_order_says_it_as_well(
        self, world: FrontWorld, status: int
    ) -> None:
        async def leave(call: Call) -> None:
            await call.answer(status, b"{}", LEAVES)

        engine = await world.add("e1", leave, "engine")
        order = FleetOrder(
            Action.LOAD, "e1", engine.address, ADAPTER, 1, "vm", 7, 0
        )
        answer = await deliver_order(
            world.front.channels, PlatformEngines(), order
        )
        assert answer.leaves
        assert answer.status == status
