"""Tests of the simulated engine, on a controlled clock."""

import asyncio
import random

import pytest

from ridgesill.standin.engine import (
    AbsentError,
    Engine,
    EngineModel,
    FencedError,
    OrderError,
    Sequence,
)

pytestmark = pytest.mark.looptime


def make(**fields: object) -> Engine:
    """Returns an engine whose steps run in a background task."""
    engine = Engine(EngineModel(**fields), random.Random(1))  # type: ignore[arg-type]
    engine.task = asyncio.ensure_future(engine.run())  # type: ignore[attr-defined]
    return engine


async def generate(engine: Engine, name: str, tokens: int) -> float:
    """Runs a request for adapter `a@1` and returns its duration in seconds."""
    loop = asyncio.get_running_loop()
    ended = loop.create_future()
    began = loop.time()
    engine.submit(
        Sequence(name, "a@1", tokens, "", lambda _: None, ended.set_result)
    )
    assert await ended is None
    return loop.time() - began


class TestOrders:
    async def test_a_load_takes_load_seconds(self) -> None:
        engine = make(load_seconds=0.4)
        began = asyncio.get_running_loop().time()
        await engine.load("a@1", 1)
        assert asyncio.get_running_loop().time() - began == pytest.approx(0.4)
        assert engine.resident == {"a@1"}

    async def test_without_a_free_slot_a_load_fails(self) -> None:
        engine = make(slots=1)
        await engine.load("a@1", 1)
        with pytest.raises(OrderError):
            await engine.load("b@1", 1)

    async def test_a_fenced_engine_refuses_an_old_epoch(self) -> None:
        engine = make(checks_epochs=True)
        engine.fence(5)
        with pytest.raises(FencedError):
            await engine.load("a@1", 4)

    async def test_an_engine_that_does_not_check_epochs_ignores_them(
        self,
    ) -> None:
        engine = make(checks_epochs=False)
        engine.fence(5)
        await engine.load("a@1", 4)
        assert engine.resident == {"a@1"}


class TestSubmit:
    async def test_an_absent_adapter_starts_nothing(self) -> None:
        engine = make()
        with pytest.raises(AbsentError):
            await generate(engine, "q", 1)
        assert engine.active == {}

    async def test_requests_in_a_batch_share_step_time(self) -> None:
        engine = make(prefill_seconds=0.0)
        await engine.load("a@1", 1)
        alone = await generate(engine, "q", 50)
        began = asyncio.get_running_loop().time()
        await asyncio.gather(*(generate(engine, f"q{n}", 50) for n in range(4)))
        together = asyncio.get_running_loop().time() - began
        assert alone < together < 2 * alone

    async def test_an_unload_in_use_is_counted(self) -> None:
        engine = make()
        await engine.load("a@1", 1)
        task = asyncio.ensure_future(generate(engine, "q", 50))
        await asyncio.sleep(0.05)
        engine.unload("a@1", 1)
        with pytest.raises(AssertionError):
            await task
        assert engine.counts.unloads_in_use == 1
