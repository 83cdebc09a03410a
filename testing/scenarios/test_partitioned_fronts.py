"""Fronts that are cut off from all upstreams, on real processes."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from testing.soak.clients import RequestOutcome
from testing.soak.world import SoakWorld
from testing.upstream_links import Cut

pytestmark = pytest.mark.process

_FRONTS = 6
_CUT_FRONTS = 3
# Seconds from the cut until its callers must be served as others are, and for
# how long that is watched.
_CONTACT_SECONDS = 3.0
_WATCHED_SECONDS = 5.0
# How much less often first tries at cut fronts may be served.
_SHARE_SLACK = 0.02
_LOGGED_CHARACTERS = 400
# What fails is told within this time, in seconds.
_TOLD_SECONDS = 0.5


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[SoakWorld]:
    """Returns a deployment under load that nothing disturbs."""
    made = SoakWorld(tmp_path, seed=7, fronts=_FRONTS, linked=_CUT_FRONTS)
    try:
        await made.start()
        yield made
    finally:
        await made.end_traffic()
        made.stop()


# Statuses of refusals for an unknown key, or beyond a customer's limit.
_CUSTOMER_STATUSES = (401, 429)


def is_served(outcome: RequestOutcome) -> bool:
    """Whether a request was served, or refused because of its customer."""
    if outcome.status in _CUSTOMER_STATUSES:
        return True
    return outcome.status == 200 and outcome.complete


def served_share(outcomes: list[RequestOutcome]) -> float:
    """Returns the share that was served."""
    return sum(map(is_served, outcomes)) / len(outcomes)


def read_log(world: SoakWorld, outcomes: list[RequestOutcome]) -> str:
    """Returns what the fronts logged of these requests."""
    requests = [outcome.request for outcome in outcomes]
    lines = [
        f"{vm.name}: {line[:_LOGGED_CHARACTERS]}"
        for vm in world.fronts
        for line in vm.settings_file.with_suffix(".log")
        .read_text(errors="replace")
        .splitlines()
        if any(request in line for request in requests)
    ]
    return "\n".join(lines)


class TestPartitionedFronts:
    @pytest.mark.parametrize("how", list(Cut))
    async def test_callers_of_cut_fronts_are_served_as_others_are(
        self, world: SoakWorld, how: Cut
    ) -> None:
        loop = asyncio.get_running_loop()
        for links in world.links.values():
            await links.cut(how)
        await asyncio.sleep(_CONTACT_SECONDS)
        since = loop.time()
        await asyncio.sleep(_WATCHED_SECONDS)
        watched = [
            o
            for o in world.outcomes
            if o.began >= since
            and o.ended
            and o.request not in world.ledger.broken_off
        ]
        at_cut = [o for o in watched if o.front in world.links]
        others = [o for o in watched if o.front not in world.links]
        assert len(at_cut) > 50
        assert served_share(at_cut) >= served_share(others) - _SHARE_SLACK
        held = [
            o
            for o in at_cut
            if not is_served(o) and o.ended - o.began > _TOLD_SECONDS
        ]
        assert held == [], read_log(world, held)
