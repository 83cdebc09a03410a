"""Tests of what tells a repeated request."""

import attrs
import pytest

from ridgesill.core.serving.fingerprints import Fingerprints, Identity

IDENTITY = Identity(b"POST", "a.example", b"/ask/x?y=1", "10.0.0.1", b"body")


class TestFingerprints:
    def test_a_repeated_request_has_the_same(self) -> None:
        first = Fingerprints(b"key").take(IDENTITY)
        assert Fingerprints(b"key").take(attrs.evolve(IDENTITY)) == first

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
        fingerprints = Fingerprints(b"key")
        changed = attrs.evolve(IDENTITY, **other)
        assert fingerprints.take(changed) != fingerprints.take(IDENTITY)

    def test_it_begins_with_the_hash_of_the_target(self) -> None:
        fingerprints = Fingerprints(b"key")
        taken = fingerprints.take(IDENTITY)
        assert taken.target == fingerprints.take_target(IDENTITY.target)

    def test_another_key_makes_another(self) -> None:
        taken = Fingerprints(b"key").take(IDENTITY)
        assert Fingerprints(b"other").take(IDENTITY).content != taken.content
