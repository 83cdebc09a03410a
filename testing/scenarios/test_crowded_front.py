"""One front that gets most new connections of a data centre, on real processes.

Clients open connections more often meanwhile. A front that reads more requests
than it can serve in time loses them, and its callers' first attempts.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from testing.crowded_world import CrowdedWorld
from testing.service_world import running

pytestmark = pytest.mark.process

# New connections a second, before and while most go to one front.
_CALM_RATE = 200.0
_CROWDED_RATE = 600.0
_CROWDED_SHARE = 0.9
_CALM_SECONDS = 4.0
_CROWDED_SECONDS = 9.0
# From here on callers are served nearly as often as before.
_CONTACT_SECONDS = 3.0
_LEAST_SHARE = 0.75
# A front refuses nothing in its first seconds.
_START_SECONDS = 2.5


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[CrowdedWorld]:
    """Yields fronts that have a part of a core each."""
    async with running(CrowdedWorld(tmp_path)) as made:
        made.throttle()
        await asyncio.sleep(_START_SECONDS)
        yield made


class TestCrowdedFront:
    async def test_first_attempts_that_it_reads_are_served(
        self, world: CrowdedWorld
    ) -> None:
        loop = asyncio.get_running_loop()
        calm_at = loop.time()
        await world.visit(_CALM_RATE, _CALM_SECONDS)
        crowded_at = loop.time()
        world.crowded_share = _CROWDED_SHARE
        await world.visit(_CROWDED_RATE, _CROWDED_SECONDS)
        before = world.first_served(calm_at, crowded_at)
        began = crowded_at + _CONTACT_SECONDS
        after = world.first_served(began, crowded_at + _CROWDED_SECONDS)
        assert after >= _LEAST_SHARE * before
