"""Tests of orders that are carried out seconds after they were sent."""

import asyncio

import pytest

from ridgesill.app.engine_loads import EngineLoads
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.orders import Action, OrderVerdict
from testing.app.engine_world import EngineWorld

pytestmark = pytest.mark.looptime


def want(adapter: str, patience: float = 2.0) -> WantArtifact:
    """Returns a want for an adapter."""
    return WantArtifact("s", f"base/{adapter}", 0, (), patience)


async def replace(loads: EngineLoads, world: EngineWorld, adapter: str) -> None:
    """Unloads one adapter of the only engine."""
    engine = world.placement.engines["u0"]
    loads.mark_for_unload(engine, f"base/{adapter}")
    assert await loads.unload(engine, f"base/{adapter}")


class TestOrdersCarriedOutLate:
    async def test_a_copy_of_an_order_names_the_count_that_the_first_named(
        self,
    ) -> None:
        # An engine of 16 places was made to load a 17th adapter and fell. An
        # order without an answer was sent again, and between the two the
        # upkeep had forgotten how many orders the engine had taken, so that
        # the copy named no count and was carried out whenever it arrived:
        #
        #     8.998  load a901 rev 54 no answer in time
        #     9.023  fleet:revision_forgotten revision=54 reason=overdue
        #     9.102  load a901 rev None no answer in time
        #     9.107  load a901 rev None taken 202
        #    13.301  unload a901 rev 76 holds 200
        #    14.326  the engine falls
        world = EngineWorld(1, 3)
        engine = world.placement.engines["u0"]
        await world.loads.provide_artifact(want("a1"))
        tending = asyncio.create_task(world.run_upkeep())
        # Somebody else's load is due to be asked about while copies of a2's
        # are sent: four of them unheard, and carried out after 2 s and more.
        engine.record_load_in_progress("base/other", world.loop.time() - 0.95)
        world.channels.unanswered_delays.extend([2.0, 3.0, 10.0, 11.0])
        await world.loads.provide_artifact(want("a2"))
        await asyncio.sleep(3.0)
        await replace(world.loads.engine_loads, world, "a2")
        for adapter in ("a3", "a4"):
            assert (
                await world.loads.provide_artifact(want(adapter))
            ).upstream == "u0"
        await asyncio.sleep(9.0)
        tending.cancel()
        sent = world.channels.orders
        assert all("expected_revision" in order for order in sent)
        assert not world.simulated[0].is_overfull

    async def test_one_that_was_not_sent_was_not_refused(self) -> None:
        # Without a holder of its lease for a moment, an engine was taken for
        # one that had refused an order, and got none for 0.8 s.
        world = EngineWorld(1, 3)
        await world.loads.provide_artifact(want("a1"))
        engine = world.placement.engines["u0"]
        authority, world.authority = world.authority, None
        verdict = await world.orders.send_order(Action.LOAD, engine, "base/a2")
        assert verdict is OrderVerdict.REFUSED
        world.authority = authority
        assert engine.revision == 1
        assert engine.accepts_orders(world.loop.time())
