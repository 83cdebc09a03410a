"""Brittle upstreams whose slots are taken by more than permitted requests.

The owner counted one slot for each request. A connection that the request
opened took another one, and so did work that went on after an answer had
broken off: seven upstreams rejected requests all the time, and at one rejection
a second they fell over ten times in 32 s.
"""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from testing.brittle_world import BrittleWorld
from testing.scenarios.test_brittle_upstreams import (
    check_falls,
    list_slow_refusals,
    play,
)
from testing.service_world import running

pytestmark = pytest.mark.process

_FRONTS = 12
_UPSTREAMS = 7
_RUN_SECONDS = (0.12, 0.36)
_USED_SHARE = 0.8


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[BrittleWorld]:
    """Returns twelve fronts before seven upstreams of short requests."""
    made = BrittleWorld(tmp_path, _FRONTS, _UPSTREAMS)
    for upstream in made.brittle_upstreams:
        upstream.run_seconds = _RUN_SECONDS
    async with running(made):
        yield made


async def check_service(
    world: BrittleWorld, share: float, bound: float
) -> None:
    """Checks that upstreams stay up and serve what fits."""
    tight_at = await play(world, share, bound)
    check_falls(world)
    assert world.served_between(tight_at) >= _USED_SHARE
    assert list_slow_refusals(world, tight_at) == []


class TestNewConnections:
    @pytest.mark.parametrize(
        ("connection_seconds", "share", "bound"),
        [(0.001, 0.6, 3.0), (0.001, 0.63, 1.0), (0.03, 0.6, 3.0)],
    )
    async def test_they_take_no_slot_from_permitted_requests(
        self,
        world: BrittleWorld,
        connection_seconds: float,
        share: float,
        bound: float,
    ) -> None:
        for upstream in world.brittle_upstreams:
            upstream.connection_seconds = connection_seconds
        await check_service(world, share, bound)


class TestBrokenAnswers:
    async def test_work_that_goes_on_takes_no_slot_from_other_requests(
        self, world: BrittleWorld
    ) -> None:
        for upstream in world.brittle_upstreams:
            upstream.break_share = 0.05
            upstream.linger_seconds = 0.5
        await check_service(world, 0.6, 3.0)
