"""Upstreams that end when they begin to write on a part of a prompt."""

import random
from typing import TYPE_CHECKING

from testing.parts_world import (
    HARMFUL_PART,
    SHARED_PART,
    EndsAt,
    PartsLedger,
    PartsUpstream,
)
from testing.soak.random_load import RandomLoad

if TYPE_CHECKING:
    from testing.soak.world import SoakWorld

PARTS = "parts"
_UPSTREAMS = 5
_SOUND_RATE = 20.0
_HARMFUL_RATE = 2.0
_DEADLINE_MS = 2500
_SOUND_PROMPT = f"{SHARED_PART}:800,91bd3f06:410,{{id}}e:50"
_HARMFUL_PROMPT = f"{SHARED_PART}:800,{HARMFUL_PART}:90,{{id}}f:50"
# Ids of sound requests begin with this.
SOUND = "sound-part"


def make_upstreams(controls: list[str], seed: int) -> list[PartsUpstream]:
    """Returns the upstreams of the service."""
    ledger = PartsLedger()
    return [
        PartsUpstream(
            PARTS,
            ledger,
            controls,
            random.Random(f"{n} parts {seed}"),
            EndsAt.HEAD if seed % 2 else EndsAt.NOTHING,
        )
        for n in range(_UPSTREAMS)
    ]


class PartsLoad(RandomLoad):
    """Sends sound requests, and different ones with a harmful part.

    Args:
        world: The deployment.
    """

    def __init__(self, world: "SoakWorld") -> None:
        rate = _SOUND_RATE + _HARMFUL_RATE
        super().__init__(world, rate, random.Random(f"parts {world.seed}"))

    async def call(self) -> None:
        """Sends one request."""
        share = _HARMFUL_RATE / (_SOUND_RATE + _HARMFUL_RATE)
        is_harmful = self.rng.random() < share
        name = "harmful-part" if is_harmful else SOUND
        prompt = _HARMFUL_PROMPT if is_harmful else _SOUND_PROMPT
        await self.send(f"/{PARTS}/x", name, _DEADLINE_MS, prompt)
