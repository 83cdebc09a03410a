"""Tests of the judgement which parts of prompts end upstreams.

Sound requests share their other parts with the harmful ones, and are aboard of
the same ends.
"""

import pytest

from ridgesill.core.harmful_parts import (
    MAX_TRIALS,
    HarmfulParts,
    PartSighting,
    SuspectPart,
)


@pytest.fixture
def parts() -> HarmfulParts:
    """Returns a judgement without suspects."""
    return HarmfulParts()


def record(parts: HarmfulParts, upstream: str, *aboard: str) -> None:
    """Records an end with parts aboard, each of a request of its own."""
    sightings = [PartSighting(part, f"{upstream}-{part}") for part in aboard]
    parts.record_end(upstream, sightings)


def quarantined(parts: HarmfulParts) -> set[str]:
    return {suspect.part for suspect in parts.quarantined()}


class TestBlame:
    def test_a_part_with_three_ends_is_quarantined(
        self, parts: HarmfulParts
    ) -> None:
        for upstream in ("u1", "u2"):
            record(parts, upstream, "bad")
        assert quarantined(parts) == set()
        record(parts, "u3", "bad")
        assert quarantined(parts) == {"bad"}

    def test_one_end_that_several_fronts_report_counts_once(
        self, parts: HarmfulParts
    ) -> None:
        for request in ("r1", "r2", "r3"):
            parts.record_end("u1", [PartSighting("bad", request)])
        assert quarantined(parts) == set()

    def test_a_request_repeated_word_for_word_blames_none_of_its_parts(
        self, parts: HarmfulParts
    ) -> None:
        for upstream in ("u1", "u2", "u3", "u4"):
            parts.record_end(upstream, [PartSighting("part", "same")])
        assert quarantined(parts) == set()

    def test_ends_with_another_known_cause_count_against_no_part(
        self, parts: HarmfulParts
    ) -> None:
        for upstream in ("u1", "u2"):
            record(parts, upstream, "part")
        parts.discard_explained(("u1", "u2", "u3", "u4"))
        assert len(parts) == 0

    def test_two_harmful_parts_at_once_are_both_found(
        self, parts: HarmfulParts
    ) -> None:
        for upstream in ("u1", "u2", "u3"):
            record(parts, upstream, "one")
        for upstream in ("u4", "u5", "u6"):
            record(parts, upstream, "two")
        assert quarantined(parts) == {"one", "two"}


class TestInnocence:
    def test_a_part_that_is_answered_on_is_cleared(
        self, parts: HarmfulParts
    ) -> None:
        record(parts, "u1", "bad", "shared")
        record(parts, "u2", "bad", "shared")
        parts.clear(["shared"])
        record(parts, "u3", "bad", "shared")
        assert quarantined(parts) == {"bad"}

    def test_an_answer_clears_a_part_in_quarantine(
        self, parts: HarmfulParts
    ) -> None:
        for upstream in ("u1", "u2", "u3"):
            record(parts, upstream, "shared")
        parts.clear(["shared"])
        assert quarantined(parts) == set()

    def test_ends_under_a_part_in_quarantine_blame_no_other(
        self, parts: HarmfulParts
    ) -> None:
        for upstream in ("u1", "u2", "u3"):
            record(parts, upstream, "bad")
        for upstream in ("u4", "u5", "u6"):
            record(parts, upstream, "bad", "rare")
        assert quarantined(parts) == {"bad"}

    def test_an_end_that_is_reported_again_blames_no_other(
        self, parts: HarmfulParts
    ) -> None:
        for upstream in ("u1", "u2", "u3"):
            record(parts, upstream, "bad")
        for upstream in ("u1", "u2", "u3"):
            record(parts, upstream, "rare")
        assert quarantined(parts) == {"bad"}

    def test_a_part_that_was_aboard_by_chance_does_not_hide_the_cause(
        self, parts: HarmfulParts
    ) -> None:
        record(parts, "u0", "rare")
        for upstream in ("u1", "u2"):
            record(parts, upstream, "bad", "rare")
        assert quarantined(parts) == {"rare"}
        record(parts, "u3", "bad")
        assert quarantined(parts) == {"rare", "bad"}

    def test_a_part_that_was_aboard_by_chance_is_freed_by_further_ends(
        self, parts: HarmfulParts
    ) -> None:
        for upstream in ("u1", "u2", "u3"):
            record(parts, upstream, "bad", "rare")
        assert quarantined(parts) == {"bad", "rare"}
        record(parts, "u4", "bad")
        record(parts, "u5", "bad")
        assert quarantined(parts) == {"bad"}
        assert parts.find("rare") is None


class TestTrials:
    def test_each_trial_is_granted_once(self, parts: HarmfulParts) -> None:
        for upstream in ("u1", "u2", "u3"):
            record(parts, upstream, "bad")
        granted = [
            parts.begin_trial("bad", number)
            for number in (1, 1, 2, 2, MAX_TRIALS + 1)
        ]
        assert granted == [True, False, True, False, False]

    def test_a_trial_under_which_an_upstream_ends_is_not_forgotten(
        self, parts: HarmfulParts
    ) -> None:
        for upstream in ("u1", "u2", "u3"):
            record(parts, upstream, "bad")
        parts.begin_trial("bad", 1)
        record(parts, "u4", "bad")
        known = parts.find("bad")
        assert known is not None
        assert known.trials == 1
        assert known.is_quarantined

    def test_a_part_that_is_not_in_quarantine_has_no_trial(
        self, parts: HarmfulParts
    ) -> None:
        record(parts, "u1", "bad")
        assert not parts.begin_trial("bad", 1)
        assert not parts.begin_trial("unknown", 1)


class TestBounds:
    def test_no_caller_can_fill_it(self, parts: HarmfulParts) -> None:
        for number in range(3000):
            record(parts, f"u{number}", f"part-{number}")
        assert len(parts) == 2000

    def test_it_is_the_same_after_a_restart(self, parts: HarmfulParts) -> None:
        for upstream in ("u1", "u2", "u3"):
            record(parts, upstream, "bad")
        restored = HarmfulParts(list(parts))
        assert list(restored) == list(parts)
        assert isinstance(restored.find("bad"), SuspectPart)
