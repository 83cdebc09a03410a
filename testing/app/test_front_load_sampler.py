"""Tests of the samples that a front takes of its own load."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
from eliot import add_destinations, remove_destination

from ridgesill.adapters.http1.server import HttpListener
from ridgesill.app.front_load_sampler import FrontLoadSampler
from ridgesill.core.serving.front_load import FrontLoad, VmLimits
from ridgesill.ports.http import HttpRequest, Responder
from testing.app.front_world import FrontWorld
from testing.app.test_forwarding import answer_ok


async def ignore(_request: HttpRequest, _responder: Responder) -> None:
    """Leaves a request without an answer."""


class TestSampler:
    @pytest.fixture
    async def load(self) -> AsyncIterator[FrontLoad]:
        """Yields the load of a front that is sampled."""
        load = FrontLoad(VmLimits(1.0, 1e12, 10**6))
        listener = HttpListener("127.0.0.1:0", ignore)
        running = asyncio.create_task(FrontLoadSampler(load, listener).run())
        yield load
        running.cancel()

    async def test_figures_of_this_process_are_plausible(
        self, load: FrontLoad
    ) -> None:
        await asyncio.sleep(0.25)
        assert load.last is not None
        assert 1e6 < load.last.memory_bytes < 1e10
        assert 3 < load.last.descriptors < 10**5
        assert load.last.processor_seconds > 0

    async def test_a_callback_that_blocks_the_loop_shows_as_lag(
        self, load: FrontLoad
    ) -> None:
        await asyncio.sleep(0.25)
        time.sleep(0.4)  # noqa: ASYNC251 - blocks the loop on purpose
        await asyncio.sleep(0.03)
        assert load.last is not None
        assert load.last.lag_seconds >= 0.25

    async def test_callbacks_that_keep_the_loop_busy_show_as_long_turns(
        self, load: FrontLoad
    ) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + 0.5

        def work() -> None:
            time.sleep(0.03)
            if loop.time() < until:
                loop.call_soon(work)

        loop.call_soon(work)
        await asyncio.sleep(0.45)
        assert load.last is not None
        assert load.last.turn_seconds is not None
        assert load.last.turn_seconds >= 0.03

    async def test_a_front_without_limits_takes_no_samples(
        self, load: FrontLoad
    ) -> None:
        # Where VMs are of one size, nothing acts on samples.
        load.set_limits(VmLimits(), float("inf"))
        await asyncio.sleep(0.25)
        assert load.last is None

    async def test_a_clock_that_cannot_be_true_is_logged_once(
        self, load: FrontLoad
    ) -> None:
        messages: list[dict[str, Any]] = []
        load.set_limits(VmLimits(1e-6), 0.2)
        add_destinations(messages.append)
        await asyncio.sleep(2.0)
        remove_destination(messages.append)
        (logged,) = (
            message
            for message in messages
            if message.get("message_type") == "front:processor_clock"
        )
        assert logged["use"] > logged["limit"] == 1e-6


class TestRefusal:
    async def test_a_full_front_refuses_before_anything_is_sent(self) -> None:
        world = FrontWorld()
        await world.start()
        upstream = await world.add("u1", answer_ok)
        load = world.front.load = FrontLoad(VmLimits(1.0))
        client = await world.open()
        assert (await client.ask("/unsafe/x")).status == 200
        load.refused_share = 1.0
        refused = await client.ask("/unsafe/x")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) == 0.1
        assert len(upstream.calls) == 1
        client.close()
        await world.stop()
