"""Clients that read a byte a second, beside others, at one front process."""

import statistics
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from testing.readers_world import MEMORY_MB, ReadersWorld

pytestmark = pytest.mark.process

_CLIENTS = 100
# Rounds of measurements whose medians are compared. One round on a machine that
# also runs other tests was more than a tenth slower than another.
_ROUNDS = 3


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[ReadersWorld]:
    """Yields a front that serves."""
    made = ReadersWorld(tmp_path)
    try:
        await made.start()
        yield made
    finally:
        made.stop()


async def test_slow_readers_cost_the_others_and_their_engine_nothing(
    world: ReadersWorld,
) -> None:
    alone = [await world.measure_fast(_CLIENTS) for _ in range(_ROUNDS)]
    served = world.upstream.served_requests
    await world.add_slow(_CLIENTS)
    beside = [await world.measure_fast(_CLIENTS) for _ in range(_ROUNDS)]
    assert statistics.median(beside) <= 1.1 * statistics.median(alone)
    # The engine got rid of all answers, as if everybody had read them.
    assert world.upstream.served_requests >= served + (1 + _ROUNDS) * _CLIENTS
    assert world.count_disconnected() == 0
    assert world.peak_memory_bytes() < 0.85 * MEMORY_MB * 1e6
