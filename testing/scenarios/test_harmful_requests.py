"""A request that ends its upstreams, on real processes.

A caller sent one request again and again, under a new id each time and to any
front. Whatever upstream began it ended, and the others that it was serving
broke off with it. No front kept what it had seen, so that each repetition
went to another upstream: in one record three ended within 2.2 s (at 9.229,
9.704 and 11.377 s), and after that eighteen more within 68 s. All channels to
an upstream that ends close within 1.3 ms, and new ones to its address are
refused until it is back.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from testing.soak.checks import count_late_arrivals
from testing.soak.clients import STREAM, UNSAFE
from testing.soak.upstreams import HARMFUL
from testing.soak.world import SoakWorld

pytestmark = pytest.mark.process

_SECONDS = 14.0
# By all fronts together, for good.
_SENDS_AFTER_THIRD_END = 3


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[SoakWorld]:
    """Returns a deployment under load that nothing disturbs."""
    made = SoakWorld(tmp_path, seed=5)
    try:
        await made.start()
        yield made
    finally:
        await made.end_traffic()
        made.stop()


class TestHarmfulRequest:
    @pytest.mark.parametrize("kind", [UNSAFE, STREAM])
    async def test_it_reaches_few_upstreams_after_its_third_end(
        self, world: SoakWorld, kind: str
    ) -> None:
        body = HARMFUL + b" one"
        world.repeat("harmful", kind, body)
        await asyncio.sleep(_SECONDS)
        arrivals = world.ledger.harmful[body]
        assert sum(arrival.crashed for arrival in arrivals) >= 3
        assert count_late_arrivals(arrivals) <= _SENDS_AFTER_THIRD_END

    async def test_the_same_harmless_request_is_served_beside_it(
        self, world: SoakWorld
    ) -> None:
        world.repeat("harmful", UNSAFE, HARMFUL + b" one")
        world.repeat("harmless", UNSAFE, b"the same again")
        await asyncio.sleep(_SECONDS)
        # The last one may still be in progress.
        told = [
            t
            for t in world.outcomes
            if t.request.startswith("harmless") and t.ended
        ]
        late = [t for t in told if t.began > told[-1].began - 4.0]
        assert late
        assert [t for t in late if t.status != 200] == []
