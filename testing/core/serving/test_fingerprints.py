"""Tests of the fingerprints that identify repeated requests."""

import attrs
import pytest

from ridgesill.core.serving.fingerprints import Fingerprinter, Identity

IDENTITY = Identity(b"POST", "a.example", b"/ask/x?y=1", "10.0.0.1", b"body")


class TestFingerprints:
    def test_a_repeated_request_has_the_same_fingerprint(self) -> None:
        first = Fingerprinter(b"key").compute(IDENTITY)
        assert Fingerprinter(b"key").compute(attrs.evolve(IDENTITY)) == first

    @pytest.mark.parametrize(
        "other",
        [
            {"method": b"PUT"},
            {"host": "b.example"},
            {"target": b"/ask/x?y=2"},
            {"caller": "10.0.0.2"},
            {"body": b"Body"},
            {"host": "a.exampl", "target": b"e/ask/x?y=1"},
        ],
    )
    def test_a_change_of_any_part_changes_the_fingerprint(
        self, other: dict[str, object]
    ) -> None:
        fingerprinter = Fingerprinter(b"key")
        changed = attrs.evolve(IDENTITY, **other)
        assert fingerprinter.compute(changed) != fingerprinter.compute(IDENTITY)

    def test_it_contains_the_target_hash(self) -> None:
        fingerprinter = Fingerprinter(b"key")
        fingerprint = fingerprinter.compute(IDENTITY)
        assert fingerprint.target == fingerprinter.hash_target(IDENTITY.target)

    def test_another_key_gives_another_fingerprint(self) -> None:
        fingerprint = Fingerprinter(b"key").compute(IDENTITY)
        assert (
            Fingerprinter(b"other").compute(IDENTITY).content
            != fingerprint.content
        )
