"""Tests of counting upstream ends per request."""

import attrs
import pytest

from ridgesill.core import suspects
from ridgesill.core.serving.fingerprints import Fingerprint
from ridgesill.core.suspects import Suspects

HARMFUL = Fingerprint("t1", "w1", "w1-a")
HARMLESS = Fingerprint("t1", "w2", "w2-a")


def quarantined_fingerprints(tracker: Suspects) -> list[Fingerprint]:
    """Returns the fingerprints of the quarantined requests."""
    return [suspect.fingerprint for suspect in tracker.quarantined()]


class TestEnds:
    def test_three_ends_put_a_request_in_quarantine(self) -> None:
        tracker = Suspects()
        for upstream in ("i-1", "i-2"):
            tracker.record_end(upstream, [HARMFUL])
        assert not quarantined_fingerprints(tracker)
        tracker.record_end("i-3", [HARMFUL])
        assert quarantined_fingerprints(tracker) == [HARMFUL]

    def test_an_end_reported_by_many_fronts_counts_once(self) -> None:
        tracker = Suspects()
        for _ in range(5):
            tracker.record_end("i-1", [HARMFUL])
        assert tracker.ended_upstreams(HARMFUL) == ("i-1",)

    def test_a_whole_answer_clears_the_ends(self) -> None:
        tracker = Suspects()
        for upstream in ("i-1", "i-2"):
            tracker.record_end(upstream, [HARMFUL, HARMLESS])
        tracker.clear([HARMLESS])
        tracker.record_end("i-3", [HARMFUL, HARMLESS])
        assert quarantined_fingerprints(tracker) == [HARMFUL]
        assert tracker.ended_upstreams(HARMLESS) == ("i-3",)

    def test_ends_of_one_content_count_together_for_all_callers(self) -> None:
        tracker = Suspects()
        for number in range(3):
            elsewhere = attrs.evolve(HARMFUL, caller=f"w1-{number}")
            tracker.record_end(f"i-{number}", [elsewhere])
        assert len(tracker.ended_upstreams(HARMFUL)) == 3

    def test_an_answer_to_another_caller_does_not_clear_the_first_caller(
        self,
    ) -> None:
        tracker = Suspects()
        other = attrs.evolve(HARMFUL, caller="w1-b")
        for upstream in ("i-1", "i-2", "i-3"):
            tracker.record_end(upstream, [HARMFUL])
            tracker.clear([other])
        assert len(tracker.ended_upstreams(HARMFUL)) == 3
        assert not tracker.ended_upstreams(other)

    def test_lifting_clears_the_ends_for_all_callers(self) -> None:
        tracker = Suspects()
        for upstream in ("i-1", "i-2", "i-3"):
            tracker.record_end(upstream, [HARMFUL])
        tracker.lift(HARMFUL.content)
        assert not tracker.ended_upstreams(HARMFUL)

    def test_a_target_is_known_until_its_last_suspect_is_cleared(self) -> None:
        tracker = Suspects()
        tracker.record_end("i-1", [HARMFUL, HARMLESS])
        tracker.clear([HARMFUL])
        assert tracker.has_target("t1")
        tracker.clear([HARMLESS, HARMLESS])
        assert not tracker.has_target("t1")


class TestBounds:
    def test_the_oldest_suspects_are_dropped_first(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(suspects, "_SUSPECTS_MOST", 4)
        tracker = Suspects()
        for upstream in ("i-1", "i-2", "i-3"):
            tracker.record_end(upstream, [HARMFUL])
        many = [
            Fingerprint("t", f"m{number}", f"m{number}-a")
            for number in range(9)
        ]
        tracker.record_end("i-4", many)
        assert quarantined_fingerprints(tracker) == [HARMFUL]
        left = {suspect.fingerprint for suspect in tracker}
        assert left == {HARMFUL, *many[-2:]}

    def test_the_number_of_quarantined_requests_is_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(suspects, "_QUARANTINED_MOST", 4)
        tracker = Suspects()
        many = [
            Fingerprint("t", f"m{number}", f"m{number}-a")
            for number in range(4)
        ]
        for upstream in ("i-1", "i-2", "i-3"):
            tracker.record_end(upstream, many)
        assert quarantined_fingerprints(tracker) == many[-2:]


class TestAmbiguity:
    def test_requests_that_were_aboard_of_the_same_ends_are_ambiguous(
        self,
    ) -> None:
        tracker = Suspects()
        for upstream in ("i-1", "i-2", "i-3"):
            tracker.record_end(upstream, [HARMFUL, HARMLESS])
        assert tracker.is_ambiguous(HARMLESS.content)
        assert tracker.is_ambiguous(HARMFUL.content)
        tracker.record_end("i-4", [HARMFUL])
        assert tracker.is_ambiguous(HARMLESS.content)
        assert not tracker.is_ambiguous(HARMFUL.content)

    def test_two_harmful_requests_stay_in_quarantine(self) -> None:
        tracker = Suspects()
        for upstream in ("i-1", "i-2", "i-3"):
            tracker.record_end(upstream, [HARMFUL])
        for upstream in ("i-4", "i-5", "i-6"):
            tracker.record_end(upstream, [HARMLESS])
        assert len(quarantined_fingerprints(tracker)) == 2

    def test_each_trial_is_granted_once(self) -> None:
        tracker = Suspects()
        for upstream in ("i-1", "i-2", "i-3"):
            tracker.record_end(upstream, [HARMFUL])
        granted = [
            tracker.begin_trial(HARMFUL.content, number)
            for number in (1, 1, 2, 3)
        ]
        assert granted == [True, False, True, False]
        assert not tracker.begin_trial(HARMLESS.content, 1)
