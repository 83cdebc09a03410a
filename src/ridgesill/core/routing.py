"""The entry node's choice of a pool, and its budget of retries."""

from collections.abc import Iterable, Mapping

import attrs

from ridgesill.core.pool.hints import PoolHints
from ridgesill.core.rendezvous import rank


def rank_pools(
    adapter: str, pools: Iterable[str], hints: Mapping[str, PoolHints]
) -> list[str]:
    """Returns the pools to ask for a runner, the best first.

    A pool that holds the adapter and has room goes first, so that popular
    adapters spread over pools as they are copied. Otherwise the adapter's
    home, the same for all entry nodes, is asked, unless it queues and another
    pool has room; two entry nodes then rarely load it in two places.

    Args:
        adapter: `name@version`, or the request's id for a plain service.
        pools: the pools in allowed places.
        hints: what is known of them; hints that may be old.
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
    """Bounds retries to a share of the requests.

    Attributes:
        share: retries allowed per request.
        burst: retries that may be saved up.
    """

    share: float = 0.2
    burst: float = 20.0
    _saved: float = 20.0

    def record_request(self) -> None:
        """Earns a share of a retry."""
        self._saved = min(self._saved + self.share, self.burst)

    def acquire(self) -> bool:
        """Spends a retry; false when there is none left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
