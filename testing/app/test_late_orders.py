"""Tests of orders that are carried out, or answered, seconds after."""

import asyncio

import attrs
import pytest

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.app.engine_loads import EngineLoads
from ridgesill.app.order_holder import deliver_order
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.orders import (
    Action,
    Delivery,
    FleetOrder,
    OrderVerdict,
)
from ridgesill.platform.upstreams import PlatformEngines
from testing.app.engine_world import EngineWorld
from testing.app.front_world import Call, ScriptedUpstream


def make_want(adapter: str, patience: float = 2.0) -> WantArtifact:
    """Returns a request for an adapter."""
    return WantArtifact("s", f"base/{adapter}", 0, (), patience)


async def unload_adapter(
    loads: EngineLoads, world: EngineWorld, adapter: str
) -> None:
    """Unloads an adapter from the only engine."""
    engine = world.placement.engines["u0"]
    loads.mark_for_unload(engine, f"base/{adapter}")
    assert await loads.unload(engine, f"base/{adapter}")


@pytest.mark.looptime
class TestLateOrders:
    async def test_all_copies_of_an_order_name_the_same_count(
        self,
    ) -> None:
        # An engine with 16 adapter slots was ordered to load a 17th adapter and
        # crashed. A load had no answer and was sent again. Between the two
        # copies the upkeep marked the order count as unknown, so that the
        # second copy named none. That copy was accepted and carried out
        # whenever it arrived, after its slot had been given to another adapter.
        world = EngineWorld(1, 3)
        engine = world.placement.engines["u0"]
        await world.loads.provide_artifact(make_want("a1"))
        maintenance = asyncio.create_task(world.run_upkeep())
        # Another load becomes overdue while copies of the load of a2 are sent.
        # Four of these copies get no answer and are carried out after 2 s or
        # more.
        engine.record_load_in_progress("base/other", world.loop.time() - 0.95)
        world.channels.unanswered_delays.extend([2.0, 3.0, 10.0, 11.0])
        await world.loads.provide_artifact(make_want("a2"))
        await asyncio.sleep(3.0)
        await unload_adapter(world.loads.engine_loads, world, "a2")
        for adapter in ("a3", "a4"):
            assert (
                await world.loads.provide_artifact(make_want(adapter))
            ).upstream == "u0"
        await asyncio.sleep(9.0)
        maintenance.cancel()
        sent = world.channels.orders
        assert all("expected_revision" in order for order in sent)
        assert not world.simulated[0].is_overfull

    async def test_an_order_that_was_not_sent_is_not_a_refusal(self) -> None:
        # For a moment an engine had no holder of its order lease. The order
        # that could not be sent was treated as refused by the engine, which
        # then got no orders for 0.8 s.
        world = EngineWorld(1, 3)
        await world.loads.provide_artifact(make_want("a1"))
        engine = world.placement.engines["u0"]
        authority, world.authority = world.authority, None
        verdict = await world.orders.send_order(Action.LOAD, engine, "base/a2")
        assert verdict is OrderVerdict.REFUSED
        world.authority = authority
        assert engine.revision == 1
        assert engine.accepts_orders(world.loop.time())


class TestLateAnswers:
    async def test_a_second_answer_is_not_taken_for_that_of_the_next_order(
        self,
    ) -> None:
        """Guards against an adapter that counts as loaded and isn't there."""
        sent_on: dict[asyncio.StreamWriter, int] = {}

        async def answer(call: Call) -> None:
            number = sent_on[call.writer] = sent_on.get(call.writer, 0) + 1
            if number > 1:
                await call.answer(202, b"the first order again")
            await call.answer(202 if call.number == 0 else 409, b"")

        engine = ScriptedUpstream("u0", answer)
        await engine.start()
        channels = UpstreamChannels(0.5)
        order = FleetOrder(
            Action.LOAD, "u0", engine.address, "base/a1", 0, "vm", 7, 0
        )
        statuses = []
        for revision in range(2):
            sent = attrs.evolve(order, revision=revision)
            said = await deliver_order(channels, PlatformEngines(), sent)
            assert said.delivery is Delivery.ANSWERED
            statuses.append(said.status)
        engine.stop()
        channels.close()
        assert statuses == [202, 409]
