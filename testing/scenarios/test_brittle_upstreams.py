"""Upstreams that fall over if all fronts together send them too much.

Each front counted its own requests and what the owner last told of the others,
so that six fronts took the same free slot at 0.7 of what fits: 36 falls in
30 s, and 2 of 48 requests a second were served.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from testing.brittle_world import (
    DOWN_SECONDS,
    SLOTS,
    TIGHT_AFTER_SECONDS,
    BrittleWorld,
)
from testing.service_world import Sent, running

pytestmark = pytest.mark.process

_BOUND = 3.0
_SECONDS = 12.0
_USED_SHARE = 0.8
_REFUSED_SECONDS = 0.3


async def play(
    world: BrittleWorld, share: float, bound: float = _BOUND
) -> float:
    """Plays load on upstreams that become brittle.

    Args:
        world: already started.
        share: of the requests that fit.
        bound: rejections per second that each upstream bears.

    Returns:
        Loop time from which upstreams let nobody wait.
    """
    loop = asyncio.get_running_loop()
    tight_at = loop.time() + 1.0 + TIGHT_AFTER_SECONDS
    loop.call_later(1.0, world.become_brittle, bound)
    await world.load(share * world.capacity, _SECONDS)
    return tight_at


def check_falls(world: BrittleWorld) -> None:
    """Checks that upstreams fell over no more often than they may."""
    assert len(world.ledger.falls) <= 2 + 0.1 * len(world.upstreams)


def list_slow_refusals(world: BrittleWorld, since: float) -> list[Sent]:
    """Returns the refusals since a loop time that took long."""
    return [
        sent
        for sent in world.sent
        if sent.began > since
        and sent.status == 503
        and sent.seconds > _REFUSED_SECONDS
    ]


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[BrittleWorld]:
    """Returns six fronts before four upstreams."""
    async with running(BrittleWorld(tmp_path, 6)) as made:
        yield made


class TestBrittleUpstreams:
    @pytest.mark.parametrize(
        ("fronts", "share"), [(6, 0.7), (6, 1.3), (24, 0.6)]
    )
    async def test_fronts_together_do_not_overrun_their_slots(
        self, tmp_path: Path, fronts: int, share: float
    ) -> None:
        async with running(BrittleWorld(tmp_path, fronts)) as world:
            tight_at = await play(world, share)
            check_falls(world)
            fits = min(1.0, 1.0 / share)
            assert world.served_between(tight_at) >= _USED_SHARE * fits
            assert list_slow_refusals(world, tight_at) == []

    async def test_a_lost_owner_neither_fells_them_nor_stops_service(
        self, world: BrittleWorld
    ) -> None:
        loop = asyncio.get_running_loop()
        killed_at = loop.time() + 5.0
        loop.call_at(killed_at, world.kill_owner)
        await play(world, 0.7)
        check_falls(world)
        # An election takes two seconds, and the reports of fronts one.
        assert world.served_between(killed_at + 4.0) >= _USED_SHARE
        assert list_slow_refusals(world, killed_at) == []

    async def test_upstreams_with_fewer_slots_than_they_say_stay_up(
        self, world: BrittleWorld
    ) -> None:
        for upstream in world.brittle_upstreams:
            upstream.slots = SLOTS + 3
        await asyncio.sleep(1.0)
        await play(world, 1.3)
        check_falls(world)

    async def test_starts_that_are_back_together_do_not_fall_again(
        self, world: BrittleWorld
    ) -> None:
        loop = asyncio.get_running_loop()
        back_at = loop.time() + 5.0 + DOWN_SECONDS
        for upstream in world.brittle_upstreams:
            loop.call_at(back_at - DOWN_SECONDS, upstream.fall_over)
        await play(world, 1.3)
        assert world.ledger.falls == []
        # Their limits grow from one request each.
        served = world.served_between(back_at + 2.0)
        assert served >= _USED_SHARE / 1.3
