"""Tests of rendezvous ranking, pool choice and the retry budget."""

from ridgesill.core.pool.hints import PoolHints
from ridgesill.core.rendezvous import rank
from ridgesill.core.routing import RetryBudget, rank_pools

_POOLS = ("a/s", "b/s", "c/s")


def make_hints(*resident: str, spare: int = 8) -> PoolHints:
    """Returns the hints of a pool."""
    return PoolHints(1, 1, set(resident), spare)


class TestRankPools:
    def test_a_pool_that_holds_the_adapter_goes_first(self) -> None:
        last = rank("x@1", _POOLS)[-1]
        hints = {pool: make_hints() for pool in _POOLS}
        hints[last] = make_hints("x@1")
        assert rank_pools("x@1", _POOLS, hints)[0] == last

    def test_an_absent_adapter_follows_the_rendezvous_order(self) -> None:
        hints = {pool: make_hints() for pool in _POOLS}
        assert rank_pools("x@1", _POOLS, hints) == rank("x@1", _POOLS)

    def test_a_full_pool_goes_last(self) -> None:
        home = rank("x@1", _POOLS)[0]
        hints = {pool: make_hints() for pool in _POOLS}
        hints[home] = make_hints(spare=0)
        assert rank_pools("x@1", _POOLS, hints)[-1] == home

    def test_without_hints_all_entry_nodes_agree(self) -> None:
        assert rank_pools("x@1", _POOLS, {}) == rank_pools(
            "x@1", reversed(_POOLS), {}
        )


class TestRank:
    def test_a_removed_candidate_moves_only_its_own_keys(self) -> None:
        keys = [f"k{n}" for n in range(200)]
        moved = [
            key
            for key in keys
            if rank(key, _POOLS)[0] != rank(key, _POOLS[:2])[0]
        ]
        assert all(rank(key, _POOLS)[0] == "c/s" for key in moved)
        assert 0 < len(moved) < 120


class TestRetryBudget:
    def test_retries_are_a_share_of_the_requests(self) -> None:
        budget = RetryBudget(share=0.2, burst=5.0)
        granted = 0
        for _ in range(1000):
            budget.record_request()
            granted += budget.acquire()
        assert 200 <= granted <= 220

    def test_saved_retries_are_bounded(self) -> None:
        budget = RetryBudget(share=0.2, burst=5.0)
        for _ in range(1000):
            budget.record_request()
        assert sum(budget.acquire() for _ in range(100)) == 5
