"""Which adapters deserve another copy, and where it should go.

Load pattern: a few adapters that get much of what is asked for. One engine then
reads for them without end while others are idle. A copy takes a place that
somebody else's adapter would have, so that requests in progress, which are many
wherever answers are long, are no reason for one: prompts that wait are.
"""

from collections.abc import Iterator

from ridgesill.core.fleet.engine_capacity import is_adapter
from ridgesill.core.fleet.placement import LoadTarget, PlacementSnapshot
from ridgesill.core.pool.popularity import Popularity

# Share of the requests from which an adapter may get another copy.
_SHARE = 0.015
# Seconds of reading ahead at all its holders from which it gets one, about half
# of a goal; or the share of their places in the batch, beyond which requests
# wait for each other there.
_BACKLOG_SECONDS = 0.3
_FULL = 0.5
# What an engine that gets a copy may have of each, as a share of the least at a
# holder; where all are as busy, a copy helps nobody.
_IDLER_BACKLOG = 0.4
_IDLER_BUSY = 0.7
# Share of the requests from which an adapter gets a copy in every data centre:
# what it saves in bytes between them then pays for the load within seconds,
# where places are to spare.
_LOCAL_SHARE = 0.035
# Loads on their way to an engine that may get a copy; the rest is for misses.
_LOADING_MOST = 2
# How many adapters are looked at.
_MOST = 12
# Requests counted before shares mean something.
_AFTER = 60.0
# What gives way must be worth less than this share of what gets a copy.
_VICTIM_SHARE = 1 / 6


def choose_copies(
    popularity: Popularity, placement_snapshot: PlacementSnapshot
) -> Iterator[tuple[str, LoadTarget]]:
    """Yields adapters that deserve a copy, and where it should go.

    The caller has each under way before it asks for the next one.
    """
    now = placement_snapshot.now
    total = popularity.total(now)
    if total < _AFTER:
        return
    for artifact, value in popularity.top(_MOST, now):
        if value < _SHARE * total:
            return
        if not is_adapter(artifact):
            continue
        choice = _choose_successor(placement_snapshot, artifact)
        if choice is None and value >= _LOCAL_SHARE * total:
            choice = _choose_elsewhere(placement_snapshot, artifact)
        if choice is None:
            choice = _choose_idler(placement_snapshot, artifact)
        if choice is None:
            continue
        victim_worth = (
            placement_snapshot.worth(choice.victim) if choice.victim else 0.0
        )
        if victim_worth < value * _VICTIM_SHARE:
            yield artifact, choice


def _choose_successor(
    placement_snapshot: PlacementSnapshot, artifact: str
) -> LoadTarget | None:
    """Returns an engine for what only engines hold that leave.

    The next request for it would wait for the load.
    """
    holders = [e for e in placement_snapshot.engines if artifact in e.held]
    is_coming = any(artifact in e.loading for e in placement_snapshot.engines)
    if is_coming or not holders or not all(e.draining for e in holders):
        return None
    return placement_snapshot.choose(artifact, max_loading=_LOADING_MOST)


def _choose_elsewhere(
    placement_snapshot: PlacementSnapshot, artifact: str
) -> LoadTarget | None:
    """Returns an engine in a data centre without the adapter."""
    served = {
        engine.data_centre
        for engine in placement_snapshot.engines
        if artifact in engine.held or artifact in engine.loading
    }
    near = {
        e.name for e in placement_snapshot.engines if e.data_centre in served
    }
    avoid = near | placement_snapshot.crowded_engines()
    return placement_snapshot.choose(
        artifact, avoid=avoid, max_loading=_LOADING_MOST
    )


def _choose_idler(
    placement_snapshot: PlacementSnapshot, artifact: str
) -> LoadTarget | None:
    """Returns an engine with much less to do than all holders of an adapter.

    Copies on their way are waited for once there are as many as holders.
    """
    holders = [e for e in placement_snapshot.engines if artifact in e.held]
    coming = sum(artifact in e.loading for e in placement_snapshot.engines)
    if not holders or coming >= len(holders):
        return None
    backlog = min(map(placement_snapshot.backlog, holders))
    share = min(map(placement_snapshot.busy_share, holders))
    is_behind = backlog >= _BACKLOG_SECONDS
    is_full = share >= _FULL
    if not is_behind and not is_full:
        return None
    busier = {
        engine.name
        for engine in placement_snapshot.engines
        if (
            is_behind
            and placement_snapshot.backlog(engine) > _IDLER_BACKLOG * backlog
        )
        or (
            is_full
            and placement_snapshot.busy_share(engine) > _IDLER_BUSY * share
        )
    }
    return placement_snapshot.choose(
        artifact, avoid=busier, max_loading=_LOADING_MOST
    )
