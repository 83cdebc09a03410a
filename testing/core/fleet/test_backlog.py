"""Tests of the prompts that engines have yet to read."""

import pytest

from ridgesill.core.fleet.backlog import Backlogs


class TestWait:
    def test_an_idle_engine_begins_at_once(self) -> None:
        assert Backlogs().wait_seconds("e1", 5, 0.0) == 0.0

    def test_wait_depends_on_tokens_rather_than_requests(self) -> None:
        backlogs = Backlogs()
        for number in range(5):
            backlogs.record_sent("short", f"s{number}", 600, 2, 0.0)
        backlogs.record_sent("long", "l1", 9000, 2, 0.0)
        assert backlogs.wait_seconds("short", 5, 0.0) < backlogs.wait_seconds(
            "long", 5, 0.0
        )

    def test_prompt_of_higher_rank_counts_only_while_it_is_read(self) -> None:
        backlogs = Backlogs()
        for number in range(4):
            backlogs.record_sent("e1", f"l{number}", 9000, 8, 0.0)
        assert backlogs.wait_seconds("e1", 2, 0.0) == pytest.approx(0.3)
        assert backlogs.wait_seconds("e1", 2, 0.2) == pytest.approx(0.1)
        assert backlogs.wait_seconds("e1", 8, 0.0) == pytest.approx(1.2)

    def test_wait_shrinks_as_the_engine_reads(self) -> None:
        backlogs = Backlogs()
        backlogs.record_sent("e1", "l1", 9000, 4, 0.0)
        later = backlogs.wait_seconds("e1", 4, 0.2)
        assert later == pytest.approx(backlogs.wait_seconds("e1", 4, 0.0) - 0.2)
        backlogs.record_ended("e1", "l1", 0.3, was_read=True)
        assert backlogs.wait_seconds("e1", 4, 0.3) == 0.0

    def test_prompts_of_a_lost_front_are_pruned(self) -> None:
        backlogs = Backlogs()
        backlogs.record_sent("e1", "l1", 9000, 4, 0.0)
        backlogs.prune_lost(3.0)
        assert backlogs.backlog_seconds("e1", 3.0) >= 0.0
        backlogs.prune_lost(10.0)
        assert backlogs.backlog_seconds("e1", 10.0) == 0.0

    def test_repeated_or_unknown_end_is_ignored(self) -> None:
        backlogs = Backlogs()
        backlogs.record_ended("e1", "unknown", 0.0, was_read=True)
        backlogs.record_sent("e1", "l1", 9000, 4, 0.0)
        backlogs.record_ended("e1", "l1", 0.3, was_read=True)
        backlogs.record_ended("e1", "l1", 0.4, was_read=True)
        assert backlogs.backlog_seconds("e1", 0.4) == 0.0

    def test_end_without_an_engine_removes_the_prompt(self) -> None:
        backlogs = Backlogs()
        backlogs.record_sent("e1", "l1", 9000, 4, 0.0)
        backlogs.record_ended("", "l1", 0.1, was_read=False)
        assert backlogs.backlog_seconds("e1", 0.1) == 0.0

    def test_prompt_of_the_lowest_rank_is_read_next(self) -> None:
        backlogs = Backlogs()
        backlogs.record_sent("e1", "first", 3000, 3, 0.0)
        backlogs.record_sent("e1", "late", 30_000, 9, 0.0)
        backlogs.record_sent("e1", "short", 600, 2, 0.0)
        backlogs.record_ended("e1", "first", 0.1, was_read=True)
        # The engine reads the short prompt now; the late one is read last.
        assert backlogs.wait_seconds("e1", 2, 0.1) == pytest.approx(0.02)

    def test_prompt_that_ends_unread_frees_the_engine(self) -> None:
        backlogs = Backlogs()
        backlogs.record_sent("e1", "l1", 30_000, 3, 0.0)
        backlogs.record_ended("e1", "l1", 0.1, was_read=False)
        assert backlogs.wait_seconds("e1", 3, 0.1) == 0.0


class TestOverduePrompts:
    """A prompt that is read longer than predicted, as in a slow period."""

    def test_it_takes_as_long_again_as_it_is_overdue(self) -> None:
        # Guards against an engine that seems idle because it is slow.
        backlogs = Backlogs()
        backlogs.record_sent("e1", "l1", 9000, 4, 0.0)
        assert backlogs.wait_seconds("e1", 4, 0.3) == pytest.approx(0.0)
        assert backlogs.wait_seconds("e1", 4, 0.8) == pytest.approx(
            0.5, abs=0.06
        )

    def test_a_late_report_of_its_end_makes_it_no_longer(self) -> None:
        backlogs = Backlogs()
        backlogs.record_sent("e1", "l1", 9000, 4, 0.0)
        assert backlogs.wait_seconds("e1", 4, 0.34) == 0.0


class TestReservations:
    def test_reserved_prompt_sent_before_is_ahead(self) -> None:
        backlogs = Backlogs()
        backlogs.reserve("e1", "l1", 9000, 3, 0.3)
        assert backlogs.wait_seconds("e1", 3, 0.0, 0.3) > 0.0
        assert backlogs.wait_seconds("e1", 3, 0.0) == 0.0

    def test_sent_prompt_replaces_its_reservation(self) -> None:
        backlogs = Backlogs()
        backlogs.reserve("e1", "l1", 9000, 3, 0.3)
        backlogs.record_sent("e1", "l1", 9000, 3, 0.3)
        assert backlogs.wait_seconds("e1", 3, 0.3) == pytest.approx(0.3)

    def test_released_prompt_no_longer_counts(self) -> None:
        backlogs = Backlogs()
        backlogs.reserve("e1", "l1", 9000, 3, 0.3)
        backlogs.release("l1")
        assert backlogs.wait_seconds("e1", 3, 0.3) == 0.0


class TestReadingTimes:
    @pytest.mark.parametrize("rate", [12_000, 60_000])
    def test_predictions_follow_each_engine(self, rate: int) -> None:
        backlogs = Backlogs()
        now = 0.0
        for number in range(60):
            for engine, speed in (("e1", rate), ("e2", 30_000)):
                request = f"{engine}.{number}"
                backlogs.record_sent(engine, request, 9000, 4, now)
                now += 9000 / speed + 0.02
                backlogs.record_ended(engine, request, now, was_read=True)
                now += 0.1
        taken = backlogs.read_seconds("e1", 9000)
        assert taken == pytest.approx(9000 / rate + 0.02, rel=0.1)
        assert backlogs.read_seconds("e2", 9000) == pytest.approx(0.32, rel=0.1)

    def test_new_engine_is_predicted_by_the_others(self) -> None:
        backlogs = Backlogs()
        now = 0.0
        for number in range(60):
            backlogs.record_sent("e1", f"l{number}", 9000, 4, now)
            now += 9000 / 12_000 + 0.02
            backlogs.record_ended("e1", f"l{number}", now, was_read=True)
        known = backlogs.read_seconds("e1", 9000)
        assert backlogs.read_seconds("e2", 9000) == pytest.approx(known)
