"""Tests of loads and of orders whose answers are lost."""

import asyncio
import random

import attrs
import pytest

from ridgesill.core.fleet.messages import (
    COPY_IS_SOONER,
    ArtifactReady,
    WantArtifact,
)
from testing.app.engine_world import EngineWorld

pytestmark = pytest.mark.looptime


def want(adapter: str, patience: float = 2.0) -> WantArtifact:
    """Returns a want for an adapter."""
    return WantArtifact("s", f"base/{adapter}", 0, (), patience)


class TestWants:
    async def test_a_load_is_answered_when_it_is_there(self) -> None:
        world = EngineWorld(2, 4)
        began = world.loop.time()
        answer = await world.loads.provide_artifact(want("a1"))
        assert answer.upstream in ("u0", "u1")
        assert 0.25 <= world.loop.time() - began < 0.35

    async def test_many_who_want_the_same_share_one_load(self) -> None:
        world = EngineWorld(2, 4)
        answers = await asyncio.gather(
            *(world.loads.provide_artifact(want("a1")) for _ in range(20))
        )
        assert len({answer.upstream for answer in answers}) == 1
        assert sum(engine.taken for engine in world.simulated) == 1

    async def test_the_least_wanted_gives_way(self) -> None:
        world = EngineWorld(1, 2)
        now = world.loop.time()
        world.placement.record_requests({"base/a1": 9, "base/a2": 2}, now)
        for adapter in ("a1", "a2"):
            await world.loads.provide_artifact(want(adapter))
        await asyncio.sleep(1.0)
        await world.loads.provide_artifact(want("a3"))
        assert set(world.simulated[0].held) == {"a1", "a3"}

    async def test_one_in_use_does_not_give_way(self) -> None:
        world = EngineWorld(1, 1)
        await world.loads.provide_artifact(want("a1"))
        world.simulated[0].adapters_in_use.add("a1")
        answer = await world.loads.provide_artifact(want("a2", patience=1.0))
        assert (answer.upstream, answer.reason) == ("", "no_place")
        world.simulated[0].adapters_in_use.clear()
        assert (await world.loads.provide_artifact(want("a2"))).upstream == "u0"

    async def test_one_that_is_late_is_refused_soon_and_comes_back_later(
        self,
    ) -> None:
        # All places are held by answers that go on for seconds.
        world = EngineWorld(1, 2)
        for adapter in ("a1", "a2"):
            await world.loads.provide_artifact(want(adapter))
            world.simulated[0].adapters_in_use.add(adapter)
        began = world.loop.time()
        hasty = attrs.evolve(want("a3", patience=1.8), goal=0.6)
        answer = await world.loads.provide_artifact(hasty)
        assert answer.reason == "no_place"
        assert answer.after >= 1.0
        assert world.loop.time() - began < 0.6

    async def test_the_last_places_are_for_what_can_be_in_time(self) -> None:
        world = EngineWorld(1, 6)
        for number in range(4):
            await world.loads.provide_artifact(want(f"a{number}"))
            world.simulated[0].adapters_in_use.add(f"a{number}")
        late = attrs.evolve(want("late", patience=0.5), goal=-1.0)
        assert (await world.loads.provide_artifact(late)).reason == "no_place"
        assert (
            await world.loads.provide_artifact(want("fresh"))
        ).upstream == "u0"

    async def test_without_authority_nothing_is_ordered(self) -> None:
        world = EngineWorld(1, 2)
        world.authority = None
        answer = await world.loads.provide_artifact(want("a1", patience=0.5))
        assert answer.upstream == ""
        assert world.simulated[0].taken == 0

    async def test_an_unload_that_waits_does_not_block_others_for_ever(
        self,
    ) -> None:
        world = EngineWorld(1, 2)
        for adapter in ("a1", "a2"):
            await world.loads.provide_artifact(want(adapter))
        engine = world.placement.engines["u0"]
        world.simulated[0].adapters_in_use.add("a1")
        world.loads.engine_loads.mark_for_unload(engine, "base/a1")
        await world.loads.engine_loads.unload(engine, "base/a1")
        assert engine.blocking_artifact == "base/a1"
        await asyncio.sleep(1.0)
        world.simulated[0].adapters_in_use.clear()
        assert (await world.loads.provide_artifact(want("a3"))).upstream == "u0"


class TestComingBack:
    async def test_while_nobody_can_say_when_it_is_a_few_seconds(self) -> None:
        # Callers of a service whose engines were all gone were told to come
        # back after `inf` seconds, which no client understands.
        world = EngineWorld(0, 4)
        loads = world.loads
        loads._view = attrs.evolve(
            loads._view, orders_allowed_from=lambda: float("inf")
        )
        answer = await loads.provide_artifact(want("a1"))
        assert not answer.upstream
        assert 0.0 < answer.after <= 5.0


class TestDarkEngines:
    """Load pattern: an engine goes dark under many fronts.

    Each of them sees 1.7 requests a second, and meets it once in 20 s.
    """

    async def lose(self, world: EngineWorld, adapters: list[str]) -> int:
        """Plays 4.5 s with a dark engine; returns the requests it got."""
        dark = "u0"
        lost = 0
        for number in range(int(4.5 * 12)):
            adapter = adapters[number % len(adapters)]
            asked = attrs.evolve(
                want(adapter), is_held=True, request=f"r{number}"
            )
            answer = await world.loads.provide_artifact(asked)
            if answer.reason == COPY_IS_SOONER:
                loading = attrs.evolve(asked, is_held=False)
                answer = await world.loads.provide_artifact(loading)
            now = world.loop.time()
            if answer.upstream == dark:
                lost += 1
                front = f"f{number}"
                world.loop.call_later(0.4, world.report_failure, dark, front)
            else:
                world.health.record_served(answer.upstream, now)
            await asyncio.sleep(1 / 12)
        return lost

    async def test_what_others_hold_goes_there(self) -> None:
        world = EngineWorld(4, 6)
        for engine in world.placement.engines.values():
            engine.apply_resident({"base/a1": 1})
        # Those sent until the first two fronts have given up their channels,
        # and one at a time from then on.
        assert await self.lose(world, ["a1"]) <= 0.6 * 12 + 3

    async def test_what_it_alone_holds_is_loaded_elsewhere(self) -> None:
        world = EngineWorld(4, 6)
        world.placement.engines["u0"].apply_resident(
            {"base/a1": 1, "base/a2": 1}
        )
        assert await self.lose(world, ["a1", "a2"]) <= 0.6 * 12 + 3

    async def test_nothing_is_loaded_there(self) -> None:
        world = EngineWorld(4, 6)
        for number in range(3):
            world.report_failure("u0", f"f{number}")
        # For as long as it is out of use.
        for number in range(4):
            answer = await world.loads.provide_artifact(want(f"a{number}"))
            assert answer.upstream != "u0"


class TestUnloads:
    async def test_a_refused_one_leaves_the_version_that_was_held(self) -> None:
        # It was taken for the newest one, which nobody had loaded.
        world = EngineWorld(1, 2)
        await world.loads.provide_artifact(want("a1"))
        world.versions["base/a1"] = 2
        engine = world.placement.engines["u0"]
        world.simulated[0].adapters_in_use.add("other")
        world.simulated[0].blocking_artifact = "other"
        world.loads.engine_loads.mark_for_unload(engine, "base/a1")
        assert not await world.loads.engine_loads.unload(engine, "base/a1")
        assert engine.held["base/a1"].version == 1


class TestLostAnswers:
    # Seed 9: an order without an answer was forgotten after 13 s although it
    # had been carried out. Seed 129: a question without an answer, repeated,
    # was counted as another order, and came true when the count fitted.
    @pytest.mark.parametrize("seed", [*range(12), 129])
    async def test_no_engine_is_ordered_over_its_places(
        self, seed: int
    ) -> None:
        world = EngineWorld(3, 4, seed, lost=0.35)
        rng = random.Random(seed)
        tending = asyncio.create_task(world.run_upkeep())
        served = 0
        for number in range(150):
            if number == 100:
                world.channels.lost = 0.0
            adapter = f"a{int(rng.paretovariate(0.8)) % 40}"
            world.placement.record_requests(
                {f"base/{adapter}": 1}, world.loop.time()
            )
            answer = await world.loads.provide_artifact(want(adapter))
            served += bool(answer.upstream)
            await asyncio.sleep(rng.uniform(0.0, 0.2))
        tending.cancel()
        assert not any(engine.is_overfull for engine in world.simulated)
        assert served > 120

    async def test_an_answer_that_says_ready_is_true(self) -> None:
        world = EngineWorld(3, 4, 5, lost=0.35)
        for number in range(60):
            answer: ArtifactReady = await world.loads.provide_artifact(
                want(f"a{number}")
            )
            if answer.upstream:
                engine = next(
                    e for e in world.simulated if e.name == answer.upstream
                )
                engine.complete_due(world.loop.time())
                assert f"a{number}" in engine.held
