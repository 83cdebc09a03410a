"""Tests of the digests of a pool and the hints that nodes build from them."""

from ridgesill.core.pool.hints import DigestBuilder, PoolHints

_NODES = frozenset({"a", "b"})


def make_names(text: str) -> frozenset[str]:
    """Returns adapter names, one for each letter of a text."""
    return frozenset(text)


class TestPoolHints:
    def test_hints_follow_the_digests_of_an_owner(self) -> None:
        builder = DigestBuilder("east/s", 1)
        hints = PoolHints()
        for now, resident in enumerate(("ab", "bc", "bc", "", "d")):
            digest = builder.build(
                make_names(resident), 3, 0, _NODES, float(now)
            )
            assert digest is not None
            hints.apply_digest(digest)
            assert hints.resident == set(resident)

    def test_only_changes_are_sent(self) -> None:
        builder = DigestBuilder("east/s", 1)
        builder.build(make_names("ab"), 3, 0, _NODES, 0.0)
        digest = builder.build(make_names("bc"), 3, 0, _NODES, 0.5)
        assert not digest.is_whole
        assert (digest.added, digest.removed) == (("c",), ("a",))

    def test_a_change_in_load_alone_is_sent_once_a_second(self) -> None:
        builder = DigestBuilder("east/s", 1)
        builder.build(make_names("ab"), 3, 0, _NODES, 0.0)
        assert builder.build(make_names("ab"), 2, 0, _NODES, 0.5) is None
        assert builder.build(make_names("ab"), 2, 0, _NODES, 1.0) is not None

    def test_hints_wait_for_a_whole_digest_after_a_gap(self) -> None:
        builder = DigestBuilder("east/s", 1)
        hints = PoolHints()
        hints.apply_digest(builder.build(make_names("a"), 3, 0, _NODES, 0.0))
        builder.build(make_names("ab"), 3, 0, _NODES, 1.0)
        hints.apply_digest(builder.build(make_names("abc"), 2, 1, _NODES, 2.0))
        assert hints.resident == {"a"}
        assert (hints.spare, hints.waiting) == (2, 1)
        hints.apply_digest(builder.build(make_names("abc"), 2, 1, _NODES, 40.0))
        assert hints.resident == {"a", "b", "c"}

    def test_a_new_receiver_gets_a_whole_digest(self) -> None:
        builder = DigestBuilder("east/s", 1)
        builder.build(make_names("a"), 3, 0, _NODES, 0.0)
        digest = builder.build(make_names("a"), 3, 0, _NODES | {"c"}, 0.5)
        assert digest.is_whole
        assert digest.added == ("a",)

    def test_a_digest_of_an_earlier_owner_is_ignored(self) -> None:
        hints = PoolHints()
        hints.apply_digest(
            DigestBuilder("p", 2).build(make_names("a"), 3, 0, _NODES, 0.0)
        )
        hints.apply_digest(
            DigestBuilder("p", 1).build(make_names("z"), 9, 0, _NODES, 1.0)
        )
        assert hints.resident == {"a"}
        assert hints.spare == 3

    def test_a_digest_of_a_new_owner_replaces_the_hints(self) -> None:
        hints = PoolHints()
        hints.apply_digest(
            DigestBuilder("p", 1).build(make_names("a"), 3, 0, _NODES, 0.0)
        )
        hints.apply_digest(
            DigestBuilder("p", 2).build(make_names("z"), 9, 0, _NODES, 1.0)
        )
        assert hints.resident == {"z"}
