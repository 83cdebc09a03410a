"""Tests of the bounded set of recent keys."""

from ridgesill.core.recent_keys import RecentKeys


class TestRecentKeys:
    def test_a_key_is_new_once(self) -> None:
        keys = RecentKeys(10)
        assert [keys.add(key) for key in ("a", "b", "a")] == [True, True, False]

    def test_the_oldest_key_is_evicted(self) -> None:
        keys = RecentKeys(2)
        for key in ("a", "b", "c"):
            keys.add(key)
        assert not keys.add("c")
        assert keys.add("a")
