"""Tests of what is learned of slots that stay taken.

The count of permits covered requests alone, so that upstreams rejected what it
allowed, for as long as the load lasted.
"""

import pytest

from ridgesill.core.fleet.slot_overheads import (
    SETTLE_SECONDS,
    SlotOverheads,
)


@pytest.fixture
def overheads() -> SlotOverheads:
    """Returns times of which nothing has been learned yet."""
    return SlotOverheads()


class TestSettling:
    def test_it_grows_to_the_age_of_a_connection_beside_a_rejection(
        self, overheads: SlotOverheads
    ) -> None:
        overheads.record_connection("plain", "u1", 10.0)
        overheads.record_rejected("plain", "u1", 10.035)
        assert overheads.settle_seconds("plain", 10.035) == pytest.approx(0.035)
        assert overheads.settle_seconds("other", 10.035) == SETTLE_SECONDS

    def test_it_reaches_a_long_time_in_a_few_rejections(
        self, overheads: SlotOverheads
    ) -> None:
        for step in range(4):
            now = 10.0 + step
            overheads.record_connection("plain", "u1", now)
            settle = overheads.settle_seconds("plain", now)
            overheads.record_rejected("plain", "u1", now + 1.8 * settle)
        assert overheads.settle_seconds("plain", 14.0) > 0.15

    def test_an_old_connection_or_one_elsewhere_explains_nothing(
        self, overheads: SlotOverheads
    ) -> None:
        overheads.record_connection("plain", "u1", 10.0)
        overheads.record_rejected("plain", "u1", 10.2)
        overheads.record_rejected("plain", "u2", 10.03)
        assert overheads.settle_seconds("plain", 10.2) == SETTLE_SECONDS

    def test_rejections_at_the_same_time_raise_it_once(
        self, overheads: SlotOverheads
    ) -> None:
        overheads.record_connection("plain", "u1", 10.0)
        overheads.record_rejected("plain", "u1", 10.03)
        overheads.record_rejected("plain", "u1", 10.05)
        assert overheads.settle_seconds("plain", 10.05) < 0.031

    def test_it_shrinks_without_rejections(
        self, overheads: SlotOverheads
    ) -> None:
        overheads.record_connection("plain", "u1", 10.0)
        overheads.record_rejected("plain", "u1", 10.04)
        assert overheads.settle_seconds("plain", 300.0) < 0.021

    def test_connections_that_do_no_harm_to_a_full_upstream_shorten_it(
        self, overheads: SlotOverheads
    ) -> None:
        for step in range(200):
            now = 10.0 + step
            overheads.record_connection("plain", "u1", now, fills=True)
        assert overheads.settle_seconds("plain", 210.0) < 0.003

    def test_connections_to_an_upstream_with_free_slots_show_nothing(
        self, overheads: SlotOverheads
    ) -> None:
        for step in range(200):
            overheads.record_connection("plain", "u1", 10.0 + step)
        assert overheads.settle_seconds("plain", 210.0) == SETTLE_SECONDS

    def test_it_stays_bounded(self, overheads: SlotOverheads) -> None:
        for step in range(30):
            now = 10.0 + step
            overheads.record_connection("plain", "u1", now)
            overheads.record_rejected("plain", "u1", now + 0.02)
        assert overheads.settle_seconds("plain", 40.0) <= 0.25

    def test_connections_no_longer_shorten_it_once_it_was_too_short(
        self, overheads: SlotOverheads
    ) -> None:
        overheads.record_connection("plain", "u1", 10.0)
        overheads.record_rejected("plain", "u1", 10.04)
        for step in range(200):
            now = 11.0 + step
            overheads.record_connection("plain", "u1", now, fills=True)
        assert overheads.settle_seconds("plain", 211.0) >= 0.02


class TestLinger:
    def test_it_grows_by_the_time_since_the_last_release(
        self, overheads: SlotOverheads
    ) -> None:
        assert overheads.linger_seconds("plain", 10.0) == 0.0
        overheads.record_released("u1", 10.0)
        overheads.record_rejected("plain", "u1", 10.15)
        overheads.record_released("u1", 11.0)
        overheads.record_rejected("plain", "u1", 11.1)
        assert overheads.linger_seconds("plain", 11.1) == pytest.approx(
            0.25, abs=0.01
        )

    def test_a_request_that_ended_long_ago_explains_nothing(
        self, overheads: SlotOverheads
    ) -> None:
        overheads.record_released("u1", 10.0)
        overheads.record_rejected("plain", "u1", 13.0)
        assert overheads.linger_seconds("plain", 13.0) == 0.0

    def test_it_stays_bounded(self, overheads: SlotOverheads) -> None:
        for step in range(30):
            now = 10.0 + 3 * step
            overheads.record_released("u1", now)
            overheads.record_rejected("plain", "u1", now + 1.9)
        assert overheads.linger_seconds("plain", 100.0) <= 2.0
