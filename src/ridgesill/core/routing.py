"""The entry node's choice of a pool and its retry budget."""

from collections.abc import Iterable, Mapping

import attrs

from ridgesill.core.pool.hints import PoolHints
from ridgesill.core.rendezvous import rank


def rank_pools(
    adapter: str, pools: Iterable[str], hints: Mapping[str, PoolHints]
) -> list[str]:
    """Returns the pools to ask for a runner, the best first.

    Pools that hold the adapter and have spare capacity come first, so that
    load on popular adapters spreads over pools as they get copies. Next are
    other pools with spare capacity, then full ones. Ties are broken by
    rendezvous hashing, which is the same on all entry nodes, so that two entry
    nodes rarely load an adapter in two pools.

    Args:
        adapter: `name@version`, or the request's id for a plain service.
        pools: the pools in the allowed data centres.
        hints: the latest known state of the pools, by name; it may be
            outdated. A pool without hints counts as full.
    """
    homes = rank(adapter, pools)
    order = {pool: position for position, pool in enumerate(homes)}

    def preference(pool: str) -> tuple[bool, bool, int]:
        known = hints.get(pool)
        if known is None:
            return (True, True, order[pool])
        holds = adapter in known.resident
        has_room = known.spare > known.waiting
        return (not has_room, not holds, order[pool])

    return sorted(homes, key=preference)


@attrs.define
class RetryBudget:
    """Limits retries to a share of the requests.

    Attributes:
        share: retries earned by each request.
        burst: the largest number of retries that can be saved up.
    """

    share: float = 0.2
    burst: float = 20.0
    _saved: float = 20.0

    def record_request(self) -> None:
        """Records a request, which earns `share` of a retry."""
        self._saved = min(self._saved + self.share, self.burst)

    def acquire(self) -> bool:
        """Spends a retry and returns whether one was left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
