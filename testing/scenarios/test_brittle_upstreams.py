"""Upstreams that fall over if all fronts together send them too much.

Each front counted its own requests and what the owner last told of the others,
so that six fronts took the same free slot at 0.7 of what fits: 36 falls in
30 s, and 2 of 48 requests a second were served.
"""

import asyncio
from pathlib import Path

import pytest

from testing.brittle_world import TIGHT_AFTER_SECONDS, BrittleWorld

pytestmark = pytest.mark.process

_BOUND = 3.0
_SECONDS = 12.0
_USED_SHARE = 0.8
_REFUSED_SECONDS = 0.3


async def play(world: BrittleWorld, share: float) -> float:
    """Plays load on upstreams that become brittle.

    Args:
        world: already started.
        share: of the requests that fit.

    Returns:
        Loop time from which upstreams let nobody wait.
    """
    loop = asyncio.get_running_loop()
    tight_at = loop.time() + 1.0 + TIGHT_AFTER_SECONDS
    loop.call_later(1.0, world.become_brittle, _BOUND)
    await world.load(share * world.capacity, _SECONDS)
    return tight_at


class TestBrittleUpstreams:
    @pytest.mark.parametrize(
        ("fronts", "share"), [(6, 0.7), (6, 1.3), (24, 0.6)]
    )
    async def test_fronts_together_do_not_overrun_their_slots(
        self, tmp_path: Path, fronts: int, share: float
    ) -> None:
        world = BrittleWorld(tmp_path, fronts)
        try:
            await world.start()
            tight_at = await play(world, share)
            assert len(world.ledger.falls) <= 2 + 0.1 * len(world.upstreams)
            fits = min(1.0, 1.0 / share)
            assert world.served_since(tight_at) >= _USED_SHARE * fits
            slow = [
                sent
                for sent in world.sent
                if sent.began > tight_at
                and sent.status == 503
                and sent.seconds > _REFUSED_SECONDS
            ]
            assert slow == []
        finally:
            world.stop()
