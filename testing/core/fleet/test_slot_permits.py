"""Tests of the permits for slots of brittle upstreams.

Each front counted for itself, so that several took the same free slot.
"""

import attrs
import pytest

from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.slot_permits import HeldSlots, SlotPermits

U1 = Upstream("u1", "plain", "h:1", "a", 3, brittle=4.0)
U2 = attrs.evolve(U1, name="u2")
BOTH = {"u1": U1, "u2": U2}
WIDE = attrs.evolve(U1, name="wide", slots=6, brittle=3.0)


@pytest.fixture
def permits() -> SlotPermits:
    """Returns permits for two upstreams that were serving before."""
    made = SlotPermits()
    made.start_full(BOTH.values())
    return made


def report(
    permits: SlotPermits, holder: str, held: HeldSlots, now: float = 1.0
) -> None:
    permits.report(holder, held, BOTH, now)


def fill(permits: SlotPermits, upstream: Upstream, now: float = 0.0) -> int:
    """Returns how many permits are granted until there is no room."""
    count = 0
    while permits.grant("filler", 1000 + count, [upstream], now):
        count += 1
    return count


class TestGrants:
    def test_fronts_together_get_no_more_than_the_slots(
        self, permits: SlotPermits
    ) -> None:
        granted = [
            permits.grant(f"f{number}", 1, [U1], 0.0) for number in range(5)
        ]
        assert granted == ["u1"] * 3 + [""] * 2

    def test_the_upstream_with_the_largest_free_share_is_chosen(
        self, permits: SlotPermits
    ) -> None:
        granted = [permits.grant("f1", n, [U1, U2], 0.0) for n in range(4)]
        assert granted == ["u1", "u2", "u1", "u2"]

    def test_a_request_that_is_sent_twice_gets_one_permit(
        self, permits: SlotPermits
    ) -> None:
        permits.grant("f1", 1, [U1], 0.0)
        permits.grant("f1", 1, [U1], 0.0)
        assert permits.count_held("u1") == 1

    def test_an_upstream_with_a_connection_goes_before_an_emptier_one(
        self, permits: SlotPermits
    ) -> None:
        granted = [
            permits.grant("f1", number, [U1, U2], 0.0, connected=("u2",))
            for number in range(4)
        ]
        assert granted == ["u2"] * 3 + ["u1"]


class TestReports:
    def test_a_permit_that_is_not_listed_is_free_again(
        self, permits: SlotPermits
    ) -> None:
        permits.grant("f1", 1, [U1], 0.0)
        report(permits, "f1", HeldSlots(1, {}, last_number=1))
        assert permits.count_held("u1") == 0

    def test_a_permit_that_is_on_its_way_stays(
        self, permits: SlotPermits
    ) -> None:
        permits.grant("f1", 1, [U1], 0.0)
        permits.grant("f1", 2, [U1], 0.0)
        report(permits, "f1", HeldSlots(1, {}, asked=(1,), last_number=1))
        assert permits.count_held("u1") == 2

    def test_a_late_report_changes_nothing(self, permits: SlotPermits) -> None:
        permits.grant("f1", 1, [U1], 0.0)
        report(permits, "f1", HeldSlots(2, {1: "u1"}, last_number=1))
        report(permits, "f1", HeldSlots(1, {}, last_number=1))
        assert permits.count_held("u1") == 1

    def test_requests_without_a_permit_take_slots(
        self, permits: SlotPermits
    ) -> None:
        report(permits, "f1", HeldSlots(1, {}, unpermitted={"u1": 2}))
        assert fill(permits, U1) == 1

    def test_a_new_owner_learns_what_is_held(self) -> None:
        permits = SlotPermits()
        permits.start_full(BOTH.values())
        report(permits, "f1", HeldSlots(7, {4: "u1", 5: "u1"}, last_number=5))
        assert permits.count_reporters() == 1
        assert fill(permits, U1) == 1

    def test_what_a_killed_front_held_is_free_after_a_while(
        self, permits: SlotPermits
    ) -> None:
        permits.grant("f1", 1, [U1], 0.0)
        permits.prune(BOTH, 1.9)
        assert permits.count_held("u1") == 1
        permits.prune(BOTH, 2.1)
        assert permits.count_held("u1") == 0

    def test_a_permit_of_a_front_that_seldom_asks_stays(
        self, permits: SlotPermits
    ) -> None:
        report(permits, "f1", HeldSlots(1, {}), 0.0)
        permits.grant("f1", 1, [U1], 3.0)
        permits.prune(BOTH, 3.1)
        assert permits.count_held("u1") == 1


def reject(
    permits: SlotPermits, sequence: int, now: float, upstream: Upstream = WIDE
) -> None:
    """Reports a rejection; what the front holds stays as it is."""
    held = {1000 + n: upstream.name for n in range(6)}
    report = HeldSlots(
        sequence, held, last_number=2000, rejected={upstream.name: 1}
    )
    permits.report("filler", report, {upstream.name: upstream}, now)


def answer(
    permits: SlotPermits, sequence: int, now: float, upstream: Upstream = WIDE
) -> None:
    """Reports 30 answers, and that the front holds nothing."""
    held = HeldSlots(
        sequence, {}, last_number=2000, answered={upstream.name: 30}
    )
    permits.report("filler", held, {upstream.name: upstream}, now)


class TestRejections:
    @pytest.fixture
    def full(self) -> SlotPermits:
        """Returns permits of which all six of an upstream are held."""
        made = SlotPermits()
        made.start_full([WIDE])
        assert fill(made, WIDE) == 6
        return made

    def test_one_rejection_leaves_the_other_slots_in_use(
        self, full: SlotPermits
    ) -> None:
        reject(full, 1, 1.0)
        answer(full, 2, 1.1)
        assert fill(full, WIDE, 1.1) == 5

    def test_a_second_one_within_the_bound_leaves_half_of_them(
        self, full: SlotPermits
    ) -> None:
        reject(full, 1, 1.0)
        reject(full, 2, 1.2)
        answer(full, 3, 1.3)
        assert fill(full, WIDE, 1.3) == 2

    def test_one_leaves_half_where_a_second_could_exceed_the_bound(
        self,
    ) -> None:
        frail = attrs.evolve(WIDE, brittle=1.0)
        permits = SlotPermits()
        permits.start_full([frail])
        fill(permits, frail)
        reject(permits, 1, 1.0, frail)
        answer(permits, 2, 1.1, frail)
        assert fill(permits, frail, 1.1) == 2

    def test_what_fitted_before_is_used_again_and_only_later_more(
        self, full: SlotPermits
    ) -> None:
        reject(full, 1, 1.0)
        answer(full, 2, 2.0)
        assert fill(full, WIDE, 2.0) == 5
        answer(full, 3, 6.1)
        assert fill(full, WIDE, 6.1) == 6


class TestLimit:
    def test_a_start_that_is_back_gets_one_request_at_first(self) -> None:
        permits = SlotPermits()
        assert fill(permits, U1) == 1
        held = HeldSlots(1, {}, last_number=1000, answered={"u1": 1})
        report(permits, "filler", held)
        assert fill(permits, U1) == 2

    def test_an_upstream_with_less_room_than_it_says_gets_less(
        self, permits: SlotPermits
    ) -> None:
        fill(permits, U1)
        held = HeldSlots(
            1, {1000: "u1", 1001: "u1"}, last_number=1002, rejected={"u1": 1}
        )
        report(permits, "filler", held)
        assert not permits.has_room(U1, 10.0)
        done = HeldSlots(2, {}, last_number=1002)
        report(permits, "filler", done)
        assert fill(permits, U1, 10.0) == 2

    def test_rejections_stay_within_half_of_the_bound(
        self, permits: SlotPermits
    ) -> None:
        # An upstream that rejects everything; each front hears it at once.
        rejected = 0
        for step in range(1000):
            now = step / 100
            if permits.grant("f1", step, [U1], now):
                rejected += 1
                held = HeldSlots(
                    step + 1, {}, last_number=step, rejected={"u1": 1}
                )
                report(permits, "f1", held, now)
        assert rejected <= 10 * U1.brittle / 2 + 1

    def test_an_upstream_that_bears_no_rejection_rests_longest(
        self, permits: SlotPermits
    ) -> None:
        none = attrs.evolve(U1, brittle=0.0)
        permits.grant("f1", 1, [none], 0.0)
        held = HeldSlots(1, {}, last_number=1, rejected={"u1": 1})
        permits.report("f1", held, {"u1": none}, 1.0)
        assert not permits.has_room(none, 5.9)
        assert permits.has_room(none, 6.1)
