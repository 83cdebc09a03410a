"""Tests of what is held against requests when upstreams end."""

import attrs
import pytest

from ridgesill.core import suspects
from ridgesill.core.serving.fingerprints import Fingerprint
from ridgesill.core.suspects import Suspects

HARMFUL = Fingerprint("t1", "w1", "w1-a")
HARMLESS = Fingerprint("t1", "w2", "w2-a")


def quarantined(known: Suspects) -> list[Fingerprint]:
    """Returns the requests that get no upstream."""
    return [suspect.fingerprint for suspect in known.quarantined()]


class TestEnds:
    def test_three_ends_put_a_request_in_quarantine(self) -> None:
        known = Suspects()
        for upstream in ("i-1", "i-2"):
            known.record_end(upstream, [HARMFUL])
        assert not quarantined(known)
        known.record_end("i-3", [HARMFUL])
        assert quarantined(known) == [HARMFUL]

    def test_one_end_told_by_many_fronts_counts_once(self) -> None:
        known = Suspects()
        for _ in range(5):
            known.record_end("i-1", [HARMFUL])
        assert known.ended_upstreams(HARMFUL) == ("i-1",)

    def test_a_whole_answer_takes_all_back(self) -> None:
        known = Suspects()
        for upstream in ("i-1", "i-2"):
            known.record_end(upstream, [HARMFUL, HARMLESS])
        known.clear([HARMLESS])
        known.record_end("i-3", [HARMFUL, HARMLESS])
        assert quarantined(known) == [HARMFUL]
        assert known.ended_upstreams(HARMLESS) == ("i-3",)

    def test_a_caller_s_addresses_count_together(self) -> None:
        known = Suspects()
        for number in range(3):
            elsewhere = attrs.evolve(HARMFUL, caller=f"w1-{number}")
            known.record_end(f"i-{number}", [elsewhere])
        assert len(known.ended_upstreams(HARMFUL)) == 3

    def test_an_answer_to_another_caller_clears_one_caller_s_no_more(
        self,
    ) -> None:
        known = Suspects()
        other = attrs.evolve(HARMFUL, caller="w1-b")
        for upstream in ("i-1", "i-2", "i-3"):
            known.record_end(upstream, [HARMFUL])
            known.clear([other])
        assert len(known.ended_upstreams(HARMFUL)) == 3
        assert not known.ended_upstreams(other)

    def test_a_lifted_one_counts_anew_for_all_callers(self) -> None:
        known = Suspects()
        for upstream in ("i-1", "i-2", "i-3"):
            known.record_end(upstream, [HARMFUL])
        known.lift(HARMFUL.content)
        assert not known.ended_upstreams(HARMFUL)

    def test_the_target_is_known_until_all_with_it_are_gone(self) -> None:
        known = Suspects()
        known.record_end("i-1", [HARMFUL, HARMLESS])
        known.clear([HARMFUL])
        assert known.has_target("t1")
        known.clear([HARMLESS, HARMLESS])
        assert not known.has_target("t1")


class TestBounds:
    def test_the_oldest_suspects_are_forgotten_first(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(suspects, "_SUSPECTS_MOST", 4)
        known = Suspects()
        for upstream in ("i-1", "i-2", "i-3"):
            known.record_end(upstream, [HARMFUL])
        many = [
            Fingerprint("t", f"m{number}", f"m{number}-a")
            for number in range(9)
        ]
        known.record_end("i-4", many)
        assert quarantined(known) == [HARMFUL]
        left = {suspect.fingerprint for suspect in known}
        assert left == {HARMFUL, *many[-2:]}

    def test_quarantines_are_bounded_too(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(suspects, "_QUARANTINED_MOST", 4)
        known = Suspects()
        many = [
            Fingerprint("t", f"m{number}", f"m{number}-a")
            for number in range(4)
        ]
        for upstream in ("i-1", "i-2", "i-3"):
            known.record_end(upstream, many)
        assert quarantined(known) == many[-2:]
