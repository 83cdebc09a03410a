"""Limits that upstreams name in their answers, on real processes.

No front read them: each sent its full share, so that an upstream that took
1.8 requests a second got 26 in four seconds, and one that took 3 got 35.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from ridgesill.core.serving.limits import _BURST_LEAST
from testing.soak.clients import RequestOutcome
from testing.soak.limits import WINDOW_SECONDS, allowed, count_busiest
from testing.soak.upstreams import SoakUpstream
from testing.soak.world import SoakWorld

pytestmark = pytest.mark.process

_FRONTS = 6
# How long the limits are named, in seconds; several windows.
_SECONDS = 15.0
# Until all fronts know of a limit, in seconds.
_KNOWN_SECONDS = 1.0
# Share of its limit that an upstream gets at the least.
_USED_SHARE = 0.9
# Within which a request that can't be served is refused, in seconds, beside
# other processes of the machine.
_REFUSED_SECONDS = 0.3
_RETURN_SECONDS = 8.0


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[SoakWorld]:
    """Returns a deployment under load that nothing disturbs."""
    made = SoakWorld(tmp_path, seed=5, fronts=_FRONTS)
    try:
        await made.start()
        yield made
    finally:
        await made.end_traffic()
        made.stop()


async def name_limits(limit: float, *upstreams: SoakUpstream) -> float:
    """Has upstreams name a limit for some seconds; returns since when."""
    since = asyncio.get_running_loop().time()
    for upstream in upstreams:
        upstream.name_limit(limit)
    await asyncio.sleep(_SECONDS)
    return since


def times_of(upstream: SoakUpstream) -> list[float]:
    """Returns when its requests came."""
    return [at for _, at in upstream.record.arrivals]


def check_kept(upstream: SoakUpstream, limit: float, since: float) -> None:
    """Checks that an upstream got what it named, and not much less."""
    times = times_of(upstream)
    known_at = since + _KNOWN_SECONDS
    assert count_busiest(times, known_at) <= allowed(limit)
    used = sum(known_at <= at < since + _SECONDS for at in times)
    owed = limit * (_SECONDS - _KNOWN_SECONDS) - _BURST_LEAST
    assert used >= _USED_SHARE * owed


def count_refused(world: SoakWorld, reason: str) -> int:
    """Returns the requests that fronts have refused for a reason."""
    return sum(
        vm.settings_file.with_suffix(".log")
        .read_text()
        .count(f'"reason":"{reason}"')
        for vm in world.fronts
    )


def sent_since(world: SoakWorld, since: float) -> list[RequestOutcome]:
    """Returns the requests that have had their answer since a time."""
    return [t for t in world.outcomes if t.began >= since and t.ended]


class TestNamedLimit:
    async def test_all_fronts_together_keep_to_the_limit_of_one(
        self, world: SoakWorld
    ) -> None:
        limited = world.upstreams[0]
        since = await name_limits(1.8, limited)
        check_kept(limited, 1.8, since)
        # Others are refused by their keys, or by a front that is out of touch.
        assert count_refused(world, "limited") == 0

    async def test_an_engine_gets_no_more_than_it_names(
        self, world: SoakWorld
    ) -> None:
        limited = world.upstreams[2]
        since = await name_limits(3.0, limited)
        times = times_of(limited)
        busiest = count_busiest(times, since + _KNOWN_SECONDS)
        assert busiest <= allowed(3.0)

    async def test_what_no_upstream_takes_is_refused_at_once(
        self, world: SoakWorld
    ) -> None:
        plain = world.upstreams[:2]
        since = await name_limits(3.0, *plain)
        for upstream in plain:
            check_kept(upstream, 3.0, since)
        told = sent_since(world, since + _KNOWN_SECONDS)
        refused = [t for t in told if t.kind != "stream" and t.status == 503]
        assert refused
        assert count_refused(world, "limited") >= 0.9 * len(refused)
        assert all(t.retry_after > 0 for t in refused)
        slow = [t for t in refused if t.ended - t.began > _REFUSED_SECONDS]
        assert slow == []

    async def test_its_share_comes_back_after_its_last_word(
        self, world: SoakWorld
    ) -> None:
        limited, other = world.upstreams[:2]
        await name_limits(2.0, limited)
        limited.name_limit(0.0)
        await asyncio.sleep(_RETURN_SECONDS)
        since = asyncio.get_running_loop().time()
        await asyncio.sleep(WINDOW_SECONDS)
        got = [sum(at > since for at in times_of(u)) for u in (limited, other)]
        assert got[0] > 0.5 * got[1]
