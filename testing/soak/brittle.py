"""Upstreams that become brittle at times during a run, and their callers."""

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from testing.brittle_world import (
    RUN_SECONDS,
    SLOTS,
    TIGHT_AFTER_SECONDS,
    BrittleLedger,
    BrittleUpstream,
)
from testing.soak.random_load import RandomLoad

if TYPE_CHECKING:
    from testing.soak.world import SoakWorld

BRITTLE = "brittle"
UPSTREAMS = 2
_BOUNDS = (1.0, 3.0, 5.0)
_LOAD_SHARE = 0.8
_DEADLINE_MS = 2000


def make_upstreams(controls: list[str], seed: int) -> list[BrittleUpstream]:
    """Returns the upstreams of the service."""
    ledger = BrittleLedger()
    return [
        BrittleUpstream(
            BRITTLE, ledger, controls, random.Random(f"{n} brittle {seed}")
        )
        for n in range(UPSTREAMS)
    ]


@attrs.define
class BrittleRecord:
    """The times in which the upstreams were brittle.

    Attributes:
        times: Loop times of the beginning and the end of each.
    """

    times: list[tuple[float, float]] = attrs.Factory(list)


class BrittleLoad(RandomLoad):
    """Calls the service, and has its upstreams become brittle at times.

    Args:
        world: The deployment.
    """

    def __init__(self, world: "SoakWorld") -> None:
        rate = _LOAD_SHARE * UPSTREAMS * SLOTS / RUN_SECONDS
        super().__init__(world, rate, random.Random(f"brittle {world.seed}"))

    async def run(self) -> None:
        """Runs until cancelled."""
        changes = asyncio.create_task(self._change())
        try:
            await super().run()
        finally:
            changes.cancel()

    async def call(self) -> None:
        """Sends one request."""
        await self.send(f"/{BRITTLE}/x", BRITTLE, _DEADLINE_MS)

    async def _change(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            began = loop.time()
            for upstream in self.world.brittle_upstreams:
                upstream.become_brittle(self.rng.choice(_BOUNDS))
            self.world.brittle.times.append((began, float("inf")))
            seconds = TIGHT_AFTER_SECONDS + self.rng.uniform(2.0, 5.0)
            await asyncio.sleep(seconds)
            for upstream in self.world.brittle_upstreams:
                upstream.recover()
            self.world.brittle.times[-1] = (began, loop.time())


def list_falls(world: "SoakWorld") -> list[str]:
    """Returns the times in which upstreams fell over too often."""
    allowed = 2 + 0.1 * UPSTREAMS
    found = []
    for began, ended in world.brittle.times:
        falls = [
            at
            for upstream in world.brittle_upstreams[:1]
            for at, _ in upstream.brittle_ledger.falls
            if began <= at <= ended
        ]
        if len(falls) > allowed:
            found.append(f"{len(falls)} falls from {began:.2f} s on")
    return found
