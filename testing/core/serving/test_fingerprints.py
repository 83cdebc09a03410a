"""Tests of what tells a repeated request."""

import attrs
import pytest

from ridgesill.core.serving.fingerprints import Fingerprinter, Identity

IDENTITY = Identity(b"POST", "a.example", b"/ask/x?y=1", "10.0.0.1", b"body")


class TestFingerprints:
    def test_a_repeated_request_has_the_same(self) -> None:
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
    def test_any_difference_shows(self, other: dict[str, object]) -> None:
        fingerprints = Fingerprinter(b"key")
        changed = attrs.evolve(IDENTITY, **other)
        assert fingerprints.compute(changed) != fingerprints.compute(IDENTITY)

    def test_it_begins_with_the_hash_of_the_target(self) -> None:
        fingerprints = Fingerprinter(b"key")
        taken = fingerprints.compute(IDENTITY)
        assert taken.target == fingerprints.hash_target(IDENTITY.target)

    def test_another_key_makes_another(self) -> None:
        taken = Fingerprinter(b"key").compute(IDENTITY)
        assert (
            Fingerprinter(b"other").compute(IDENTITY).content != taken.content
        )
