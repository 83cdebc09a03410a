"""Tests of how many upstreams may be full.

Seven upstreams learned by seven rejections each what the first one had shown.
"""

import pytest

from ridgesill.core.fleet.last_slots import LastSlots

_SLOTS = 6


@pytest.fixture
def last_slots() -> LastSlots:
    """Returns the state of a service of which no upstream has been full."""
    return LastSlots()


def fill(last_slots: LastSlots, count: int, now: float) -> dict[str, int]:
    """Fills as many upstreams as may be full; returns what they hold."""
    held: dict[str, int] = {}
    for number in range(count):
        if last_slots.may_fill(_SLOTS, held, now):
            held[f"u{number}"] = _SLOTS
            last_slots.record_filled(f"u{number}", _SLOTS, now)
    return held


class TestLastSlots:
    def test_one_upstream_may_be_full_at_first(
        self, last_slots: LastSlots
    ) -> None:
        assert list(fill(last_slots, 7, 10.0)) == ["u0"]

    def test_another_may_be_once_it_is_no_longer(
        self, last_slots: LastSlots
    ) -> None:
        fill(last_slots, 1, 10.0)
        assert last_slots.may_fill(_SLOTS, {"u0": _SLOTS - 1}, 10.1)

    def test_the_number_doubles_while_full_ones_answer(
        self, last_slots: LastSlots
    ) -> None:
        counts = []
        for now in (10.0, 11.0, 12.0, 13.0):
            held = fill(last_slots, 7, now)
            counts.append(len(held))
            for name in held:
                last_slots.record_answer(name, held, now + 0.99)
                last_slots.record_answer(name, held, now + 1.0)
        assert counts == [1, 2, 4, 7]

    def test_none_may_be_for_a_moment_after_a_rejection(
        self, last_slots: LastSlots
    ) -> None:
        last_slots.record_rejected(10.0)
        assert fill(last_slots, 7, 10.2) == {}
        assert len(fill(last_slots, 7, 10.4)) == 1

    def test_upstreams_with_few_slots_may_always_be(
        self, last_slots: LastSlots
    ) -> None:
        last_slots.record_rejected(10.0)
        assert last_slots.may_fill(3, {}, 10.0)
