"""Tests of the owner's side of permits for slots.

After all control nodes had started again, the new owner took upstreams for
sound that the fronts knew to be brittle, and granted any number of slots.
"""

import asyncio

from ridgesill.app.slot_desk import SlotDesk
from ridgesill.core.fleet.brittle_bounds import HeardBrittle
from ridgesill.core.fleet.messages import Heartbeat
from ridgesill.core.fleet.registry import Registry
from ridgesill.core.fleet.slot_permits import (
    HeldSlots,
    RequestSlot,
    SlotAnswer,
)
from ridgesill.standin.emulator.clock import run_on_virtual_clock

_SLOTS = 2


async def ask(seconds: float, *, is_told: bool) -> list[SlotAnswer]:
    """Asks a new owner, whose fronts have reported, for three slots.

    Args:
        seconds: since it has owned the fleet.
        is_told: whether a front has told it that the upstream is brittle.
    """
    loop = asyncio.get_running_loop()
    registry = Registry(1, 1e9)
    desk = SlotDesk(lambda: registry, lambda: 1, lambda: None)
    desk.begin([])
    beat = Heartbeat("u1", "plain", "h:1", "a", _SLOTS, False, 1)
    registry.handle_heartbeat(beat, loop.time())
    desk.handle_held("f1", HeldSlots(1, {}))
    if is_told:
        desk.handle_heard(HeardBrittle("u1", 1.0, 0.0))
    await asyncio.sleep(seconds)
    return [
        await desk.provide("f1", RequestSlot(number, ("u1",), 0.0))
        for number in range(1, 4)
    ]


class TestNewOwner:
    def test_it_grants_nothing_at_upstreams_that_it_takes_for_sound(
        self,
    ) -> None:
        answers = run_on_virtual_clock(ask(0.1, is_told=False))
        assert [answer.is_certain for answer in answers] == [False] * 3

    def test_it_grants_the_slots_of_those_that_it_knows_to_be_brittle(
        self,
    ) -> None:
        answers = run_on_virtual_clock(ask(0.1, is_told=True))
        assert [answer.upstream for answer in answers] == ["u1", "u1", ""]

    def test_an_older_one_knows_better_than_a_front_that_asks(self) -> None:
        answers = run_on_virtual_clock(ask(1.1, is_told=False))
        assert [answer.upstream for answer in answers] == ["u1"] * 3
