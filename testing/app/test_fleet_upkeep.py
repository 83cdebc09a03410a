"""Tests of loads and unloads that no request asks for."""

import asyncio

import pytest

from ridgesill.core.fleet.engines import HeldArtifact
from ridgesill.core.fleet.messages import WantArtifact
from testing.app.engine_world import EngineWorld

pytestmark = pytest.mark.looptime


async def load(world: EngineWorld, adapter: str) -> str:
    """Has an adapter loaded; returns the name of the engine that holds it."""
    answer = await world.loads.provide_artifact(
        WantArtifact("s", f"base/{adapter}", 0, (), 2.0)
    )
    return answer.upstream


class TestVersions:
    async def test_old_version_is_replaced_in_place(self) -> None:
        world = EngineWorld(1, 2)
        name = await load(world, "a1")
        world.versions["base/a1"] = 2
        upkeep = asyncio.create_task(world.run_upkeep())
        await asyncio.sleep(1.0)
        upkeep.cancel()
        held = world.placement.engines[name].held["base/a1"]
        assert held.version == 2

    async def test_old_copy_is_unloaded_once_another_engine_has_the_new_one(
        self,
    ) -> None:
        world = EngineWorld(2, 2)
        name = await load(world, "a1")
        other = next(n for n in world.placement.engines if n != name)
        world.placement.engines[other].held["base/a1"] = HeldArtifact(
            2, 0.0, 0.0
        )
        world.versions["base/a1"] = 2
        upkeep = asyncio.create_task(world.run_upkeep())
        await asyncio.sleep(1.0)
        upkeep.cancel()
        assert "base/a1" not in world.placement.engines[name].held

    async def test_old_version_in_use_does_not_block_its_engine(self) -> None:
        world = EngineWorld(2, 2)
        name = await load(world, "a1")
        engine = world.placement.engines[name]
        simulated = next(e for e in world.simulated if e.name == name)
        simulated.adapters_in_use.add("a1")
        other = next(n for n in world.placement.engines if n != name)
        world.placement.engines[other].held["base/a1"] = HeldArtifact(
            2, 0.0, 0.0
        )
        world.versions["base/a1"] = 2
        upkeep = asyncio.create_task(world.run_upkeep())
        # An answer of 300 tokens takes up to eight seconds.
        await asyncio.sleep(8.0)
        assert not engine.blocking_artifact
        simulated.adapters_in_use.clear()
        await asyncio.sleep(1.0)
        upkeep.cancel()
        assert "base/a1" not in engine.held


class TestCopies:
    async def test_adapter_in_high_demand_gets_copies_on_idle_engines(
        self,
    ) -> None:
        world = EngineWorld(4, 2)
        name = await load(world, "a1")
        now = world.loop.time()
        world.placement.record_requests({"base/a1": 100}, now)
        world.busy[name] = 8
        upkeep = asyncio.create_task(world.run_upkeep())
        await asyncio.sleep(0.7)
        upkeep.cancel()
        holders = [
            engine.name
            for engine in world.placement.engines.values()
            if "base/a1" in engine.held
        ]
        assert len(holders) >= 2

    async def test_no_copy_is_loaded_while_all_engines_are_equally_busy(
        self,
    ) -> None:
        world = EngineWorld(2, 2)
        await load(world, "a1")
        now = world.loop.time()
        world.placement.record_requests({"base/a1": 100}, now)
        world.busy.update({"u0": 8, "u1": 8})
        upkeep = asyncio.create_task(world.run_upkeep())
        await asyncio.sleep(1.0)
        upkeep.cancel()
        held = [
            engine
            for engine in world.placement.engines.values()
            if "base/a1" in engine.held
        ]
        assert len(held) == 1
