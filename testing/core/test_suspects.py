"""Tests of what is held against requests when upstreams end."""

import pytest

from ridgesill.core import suspects
from ridgesill.core.serving.fingerprints import Fingerprint
from ridgesill.core.suspects import Suspects

HARMFUL = Fingerprint("t1", "w1")
HARMLESS = Fingerprint("t1", "w2")


def quarantined(known: Suspects) -> list[Fingerprint]:
    """Returns the requests that get no upstream."""
    return [suspect.fingerprint for suspect in known.quarantined()]


class TestEnds:
    def test_three_ends_put_a_request_in_quarantine(self) -> None:
        known = Suspects()
        for upstream in ("i-1", "i-2"):
            known.note_end(upstream, [HARMFUL])
        assert not quarantined(known)
        known.note_end("i-3", [HARMFUL])
        assert quarantined(known) == [HARMFUL]

    def test_one_end_told_by_many_fronts_counts_once(self) -> None:
        known = Suspects()
        for _ in range(5):
            known.note_end("i-1", [HARMFUL])
        assert known.ends(HARMFUL) == ("i-1",)

    def test_a_whole_answer_takes_all_back(self) -> None:
        known = Suspects()
        for upstream in ("i-1", "i-2"):
            known.note_end(upstream, [HARMFUL, HARMLESS])
        known.forget([HARMLESS.whole])
        known.note_end("i-3", [HARMFUL, HARMLESS])
        assert quarantined(known) == [HARMFUL]
        assert known.ends(HARMLESS) == ("i-3",)

    def test_the_target_is_known_until_all_with_it_are_gone(self) -> None:
        known = Suspects()
        known.note_end("i-1", [HARMFUL, HARMLESS])
        known.forget([HARMFUL.whole])
        assert known.has_target("t1")
        known.forget([HARMLESS.whole, HARMLESS.whole])
        assert not known.has_target("t1")


class TestBounds:
    def test_the_oldest_suspects_are_forgotten_first(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(suspects, "_SUSPECTS_MOST", 3)
        known = Suspects()
        for upstream in ("i-1", "i-2", "i-3"):
            known.note_end(upstream, [HARMFUL])
        many = [Fingerprint("t", f"m{number}") for number in range(9)]
        known.note_end("i-4", many)
        assert quarantined(known) == [HARMFUL]
        left = [suspect.fingerprint for suspect in known]
        assert left == [HARMFUL, *many[-3:]]

    def test_quarantines_are_bounded_too(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(suspects, "_QUARANTINED_MOST", 2)
        known = Suspects()
        many = [Fingerprint("t", f"m{number}") for number in range(4)]
        for upstream in ("i-1", "i-2", "i-3"):
            known.note_end(upstream, many)
        assert quarantined(known) == many[-2:]
