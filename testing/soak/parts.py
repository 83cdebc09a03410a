"""Upstreams that end when they begin to write on a part of a prompt."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from testing.app.front_world import Client
from testing.parts_world import (
    HARMFUL_PART,
    SHARED_PART,
    EndsAt,
    PartsLedger,
    PartsUpstream,
)
from testing.platform_world import ROUTE_HOST

if TYPE_CHECKING:
    from testing.soak.world import SoakWorld

PARTS = "parts"
_UPSTREAMS = 5
_SOUND_RATE = 20.0
_HARMFUL_RATE = 2.0
_TIMEOUT_SECONDS = 3.0
_SOUND_PROMPT = f"{SHARED_PART}:800,91bd3f06:410,{{id}}e:50"
_HARMFUL_PROMPT = f"{SHARED_PART}:800,{HARMFUL_PART}:90,{{id}}f:50"
# Ids of sound requests begin with this.
SOUND = "sound-part"
# Ends after which a part is known to be harmful, the time in seconds within
# which all fronts learn of it, and the sends that are allowed after that.
_FIFTH = 4
_KNOWN_SECONDS = 3.0
_SENDS_ONCE_KNOWN = 3


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


class PartsLoad:
    """Sends sound requests, and different ones with a harmful part.

    Args:
        world: The deployment.
        choose_key: Returns the key of the next request.
    """

    def __init__(
        self, world: "SoakWorld", choose_key: Callable[[], str]
    ) -> None:
        self._world = world
        self._choose_key = choose_key
        self._rng = random.Random(f"parts {world.seed}")
        self._ids = itertools.count(1)
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Runs until cancelled."""
        share = _HARMFUL_RATE / (_SOUND_RATE + _HARMFUL_RATE)
        try:
            while True:
                rate = _SOUND_RATE + _HARMFUL_RATE
                await asyncio.sleep(self._rng.expovariate(rate))
                is_harmful = self._rng.random() < share
                call = asyncio.create_task(self._call(is_harmful=is_harmful))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
        finally:
            for call in self._calls:
                call.cancel()

    async def _call(self, *, is_harmful: bool) -> None:
        vm = self._rng.choice(self._world.fronts)
        host, _, port = self._world.client_address(vm).rpartition(":")
        number = next(self._ids)
        name = "harmful-part" if is_harmful else SOUND
        prompt = _HARMFUL_PROMPT if is_harmful else _SOUND_PROMPT
        client: Client | None = None
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                client = Client(*await asyncio.open_connection(host, int(port)))
                await client.ask(
                    f"/{PARTS}/x",
                    b"%d" % number,
                    request_id=f"{name}-{number}",
                    host=ROUTE_HOST,
                    request_deadline="2500",
                    credential=self._choose_key(),
                    prompt_prefix=prompt.format(id=number),
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if client is not None:
                client.close()


def list_late_sends(world: "SoakWorld") -> list[str]:
    """Returns the harmful sends after the part was known, if too many.

    Sends of a front that a fault has hit since the first end don't count.
    """
    if not world.parts_upstreams:
        return []
    ledger = world.parts_upstreams[0].parts_ledger
    if len(ledger.ends) <= _FIFTH:
        return []
    known_at = ledger.ends[_FIFTH] + _KNOWN_SECONDS
    fronts = {vm.ip: vm.name for vm in world.fronts}
    fronts |= {links.source: name for name, links in world.links.items()}
    late = [
        f"{at:.2f} s from {fronts.get(sender, sender)}"
        for at, sender in ledger.harmful_sends
        if at > known_at
        and not _was_disturbed(
            world, fronts.get(sender, ""), ledger.ends[0], at
        )
    ]
    return late if len(late) > _SENDS_ONCE_KNOWN else []


def _was_disturbed(
    world: "SoakWorld", vm: str, since: float, until: float
) -> bool:
    return any(since <= at <= until for at in world.disturbed.get(vm, []))
