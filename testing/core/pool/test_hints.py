"""Tests of what entry nodes know of a pool."""

from ridgesill.core.pool.hints import DigestBuilder, PoolHints

_NODES = frozenset({"a", "b"})


def names(text: str) -> frozenset[str]:
    """Returns adapters of one letter each."""
    return frozenset(text)


class TestPoolHints:
    def test_they_follow_an_owner(self) -> None:
        maker = DigestBuilder("east/s", 1)
        hints = PoolHints()
        for now, resident in enumerate(("ab", "bc", "bc", "", "d")):
            digest = maker.build(names(resident), 3, 0, _NODES, float(now))
            assert digest is not None
            hints.apply_digest(digest)
            assert hints.resident == set(resident)

    def test_only_changes_are_sent(self) -> None:
        maker = DigestBuilder("east/s", 1)
        maker.build(names("ab"), 3, 0, _NODES, 0.0)
        digest = maker.build(names("bc"), 3, 0, _NODES, 0.5)
        assert not digest.is_whole
        assert (digest.added, digest.removed) == (("c",), ("a",))

    def test_load_alone_is_told_once_a_second(self) -> None:
        maker = DigestBuilder("east/s", 1)
        maker.build(names("ab"), 3, 0, _NODES, 0.0)
        assert maker.build(names("ab"), 2, 0, _NODES, 0.5) is None
        assert maker.build(names("ab"), 2, 0, _NODES, 1.0) is not None

    def test_after_a_gap_they_wait_for_a_whole_digest(self) -> None:
        maker = DigestBuilder("east/s", 1)
        hints = PoolHints()
        hints.apply_digest(maker.build(names("a"), 3, 0, _NODES, 0.0))
        maker.build(names("ab"), 3, 0, _NODES, 1.0)
        hints.apply_digest(maker.build(names("abc"), 2, 1, _NODES, 2.0))
        assert hints.resident == {"a"}
        assert (hints.spare, hints.waiting) == (2, 1)
        hints.apply_digest(maker.build(names("abc"), 2, 1, _NODES, 40.0))
        assert hints.resident == {"a", "b", "c"}

    def test_a_new_receiver_gets_a_whole_digest(self) -> None:
        maker = DigestBuilder("east/s", 1)
        maker.build(names("a"), 3, 0, _NODES, 0.0)
        digest = maker.build(names("a"), 3, 0, _NODES | {"c"}, 0.5)
        assert digest.is_whole
        assert digest.added == ("a",)

    def test_an_earlier_owners_digest_is_passed_over(self) -> None:
        hints = PoolHints()
        hints.apply_digest(
            DigestBuilder("p", 2).build(names("a"), 3, 0, _NODES, 0.0)
        )
        hints.apply_digest(
            DigestBuilder("p", 1).build(names("z"), 9, 0, _NODES, 1.0)
        )
        assert hints.resident == {"a"}
        assert hints.spare == 3

    def test_a_new_owner_replaces_what_is_known(self) -> None:
        hints = PoolHints()
        hints.apply_digest(
            DigestBuilder("p", 1).build(names("a"), 3, 0, _NODES, 0.0)
        )
        hints.apply_digest(
            DigestBuilder("p", 2).build(names("z"), 9, 0, _NODES, 1.0)
        )
        assert hints.resident == {"z"}
