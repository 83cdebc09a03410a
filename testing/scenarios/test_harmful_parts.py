"""A part of prompts that ends its upstreams, on real processes.

Ends were counted by whole requests only. Requests with the part are all
different, so that none was ever quarantined: in one record 15 and 18 upstreams
ended, and 8 and 11 requests with the part were sent after the fifth end.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from testing.parts_world import (
    HARMFUL_PART,
    SHARED_PART,
    EndsAt,
    PartsWorld,
)
from testing.service_world import running

pytestmark = pytest.mark.process

SOUND = "sound"
HARMFUL = "harmful"
_SOUND_RATE = 25.0
_HARMFUL_RATE = 2.5
_CALM_SECONDS = 3.0
_HARMFUL_SECONDS = 18.0
# By all fronts together, this long after the fifth end.
_SENDS_ONCE_KNOWN = 3
_KNOWN_SECONDS = 3.0
_FIFTH = 4
# From twice that time on, sound requests begin at least this much as often as
# before.
_LEAST_SHARE = 0.5
# Ends by other causes, and the time between them in seconds.
_OTHER_ENDS = 12
_OTHER_ENDS_SECONDS = 1.2

# Prompts with the harmful part at several places.
PROMPTS = {
    "in the middle": f"{SHARED_PART}:800,{HARMFUL_PART}:90,{{id}}f:50",
    "first": f"{HARMFUL_PART}:90,{SHARED_PART}:800,{{id}}f:50",
}
SOUND_PROMPT = f"{SHARED_PART}:800,91bd3f06:410,{{id}}e:50"


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[PartsWorld]:
    """Returns six fronts whose upstreams send a head before they end."""
    async with running(PartsWorld(tmp_path)) as made:
        yield made


async def play(world: PartsWorld, prompt: str) -> None:
    """Sends sound requests all the time, and harmful ones after a while."""
    sound = asyncio.create_task(
        world.load(
            _SOUND_RATE,
            _CALM_SECONDS + _HARMFUL_SECONDS,
            SOUND,
            {"prompt_prefix": SOUND_PROMPT},
        )
    )
    await asyncio.sleep(_CALM_SECONDS)
    await world.load(
        _HARMFUL_RATE, _HARMFUL_SECONDS, HARMFUL, {"prompt_prefix": prompt}
    )
    await sound


def count_late_sends(world: PartsWorld) -> int:
    """Returns the harmful sends after all fronts must know of the part."""
    ends = world.ledger.ends
    if len(ends) <= _FIFTH:
        return 0
    known_at = ends[_FIFTH] + _KNOWN_SECONDS
    return sum(at > known_at for at, _ in world.ledger.harmful_sends)


def check_sound_requests(world: PartsWorld) -> None:
    """Checks that sound requests are served nearly as often as before."""
    began = world.sent[0].began
    before = world.served_between(began, began + _CALM_SECONDS, SOUND)
    ends = world.ledger.ends
    last = ends[_FIFTH] if len(ends) > _FIFTH else ends[-1]
    after = world.served_between(last + 2 * _KNOWN_SECONDS, label=SOUND)
    assert after >= _LEAST_SHARE * before


class TestHarmfulPart:
    @pytest.mark.parametrize("prompt", PROMPTS)
    @pytest.mark.parametrize("ends_at", EndsAt)
    async def test_it_reaches_few_upstreams_after_the_fifth_end(
        self,
        tmp_path: Path,
        prompt: str,
        ends_at: EndsAt,
    ) -> None:
        async with running(PartsWorld(tmp_path, ends_at=ends_at)) as world:
            await play(world, PROMPTS[prompt])
            assert world.ledger.ends
            assert count_late_sends(world) <= _SENDS_ONCE_KNOWN
            check_sound_requests(world)

    async def test_upstreams_that_end_by_other_causes_blame_no_sound_part(
        self, world: PartsWorld
    ) -> None:
        rng = random.Random(3)
        for number in range(_OTHER_ENDS):
            asyncio.get_running_loop().call_later(
                _CALM_SECONDS + number * _OTHER_ENDS_SECONDS,
                lambda: rng.choice(world.parts_upstreams).end(),
            )
        await play(world, PROMPTS["in the middle"])
        assert count_late_sends(world) <= _SENDS_ONCE_KNOWN
        check_sound_requests(world)

    async def test_all_nodes_that_start_again_remember_it(
        self, world: PartsWorld
    ) -> None:
        asyncio.get_running_loop().call_later(
            _CALM_SECONDS + _HARMFUL_SECONDS / 2, world.restart_all
        )
        await play(world, PROMPTS["in the middle"])
        assert len(world.ledger.ends) <= _FIFTH + 1
