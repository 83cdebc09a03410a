"""Upstreams that become brittle at times during a run, and their callers."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from testing.app.front_world import Client
from testing.brittle_world import (
    RUN_SECONDS,
    SLOTS,
    TIGHT_AFTER_SECONDS,
    BrittleLedger,
    BrittleUpstream,
)
from testing.platform_world import ROUTE_HOST

if TYPE_CHECKING:
    from testing.soak.world import SoakWorld

BRITTLE = "brittle"
UPSTREAMS = 2
_BOUNDS = (1.0, 3.0, 5.0)
_LOAD_SHARE = 0.8
_TIMEOUT_SECONDS = 3.0


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


class BrittleLoad:
    """Calls the service, and has its upstreams become brittle at times.

    Args:
        world: The deployment.
        choose_key: Returns the key of the next request.
    """

    def __init__(
        self, world: "SoakWorld", choose_key: Callable[[], str]
    ) -> None:
        self._world = world
        self._choose_key = choose_key
        self._rng = random.Random(f"brittle {world.seed}")
        self._ids = itertools.count(1)
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Runs until cancelled."""
        changes = asyncio.create_task(self._change())
        rate = _LOAD_SHARE * UPSTREAMS * SLOTS / RUN_SECONDS
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(rate))
                call = asyncio.create_task(self._call())
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
        finally:
            changes.cancel()
            for call in self._calls:
                call.cancel()

    async def _change(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))
            began = loop.time()
            for upstream in self._world.brittle_upstreams:
                upstream.become_brittle(self._rng.choice(_BOUNDS))
            self._world.brittle.times.append((began, float("inf")))
            seconds = TIGHT_AFTER_SECONDS + self._rng.uniform(2.0, 5.0)
            await asyncio.sleep(seconds)
            for upstream in self._world.brittle_upstreams:
                upstream.recover()
            self._world.brittle.times[-1] = (began, loop.time())

    async def _call(self) -> None:
        vm = self._rng.choice(self._world.fronts)
        host, _, port = self._world.client_address(vm).rpartition(":")
        client: Client | None = None
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                client = Client(*await asyncio.open_connection(host, int(port)))
                await client.ask(
                    f"/{BRITTLE}/x",
                    request_id=f"brittle-{next(self._ids)}",
                    host=ROUTE_HOST,
                    request_deadline="2000",
                    credential=self._choose_key(),
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if client is not None:
                client.close()


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
