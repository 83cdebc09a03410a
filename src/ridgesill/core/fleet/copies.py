"""Which adapters get another copy, and on which engine.

Load pattern: a few adapters receive a large part of the requests. One engine
then reads prompts for them without a pause while other engines are idle. Every
copy takes a slot that another adapter could use. A copy is loaded if prompts
wait to be read, but not because many requests are in progress: long answers
alone cause that.
"""

from collections.abc import Iterator

from ridgesill.core.fleet.engine_capacity import is_adapter
from ridgesill.core.fleet.placement import LoadTarget, PlacementSnapshot
from ridgesill.core.pool.popularity import Popularity

# Least share of all requests for which an adapter may get another copy.
_SHARE = 0.015
# An adapter gets another copy if all engines that hold it have at least this
# backlog, in seconds, which is about half of a goal; or if at least this share
# of their batch slots is in use, beyond which requests wait for each other.
_BACKLOG_SECONDS = 0.3
_FULL_BATCH_SHARE = 0.5
# Greatest backlog and greatest use of batch slots on the engine that gets the
# copy, as shares of the least among the engines that hold the adapter. Where
# all engines are about as busy, a copy does not help.
_IDLE_BACKLOG_SHARE = 0.4
_IDLE_BUSY_SHARE = 0.7
# Least share of all requests for which an adapter gets a copy in every data
# centre, where slots are spare. Within seconds the copy saves traffic between
# data centres that is worth more than the load.
_PER_DATA_CENTRE_SHARE = 0.035
# Greatest number of loads in progress on an engine that may load a copy. The
# remaining loads are reserved for requests whose adapter is missing.
_MAX_LOADING = 2
# Number of most requested adapters that are considered.
_MAX_ADAPTERS = 12
# Decayed request count from which shares are meaningful.
_MIN_REQUESTS = 60.0
# An adapter that is unloaded for a copy must be worth less than this share of
# the adapter that gets the copy.
_VICTIM_SHARE = 1 / 6


def choose_copies(
    popularity: Popularity, placement_snapshot: PlacementSnapshot
) -> Iterator[tuple[str, LoadTarget]]:
    """Yields the adapters that get another copy, and where to load it.

    The caller must order each load before it asks for the next one, as each
    choice depends on the loads in progress.

    Args:
        popularity: the decayed request counts by adapter.
        placement_snapshot: the engines that may be chosen.
    """
    now = placement_snapshot.now
    total = popularity.total(now)
    if total < _MIN_REQUESTS:
        return
    for artifact, value in popularity.top(_MAX_ADAPTERS, now):
        if value < _SHARE * total:
            return
        if not is_adapter(artifact):
            continue
        target = _choose_drain_target(placement_snapshot, artifact)
        if target is None and value >= _PER_DATA_CENTRE_SHARE * total:
            target = _choose_in_other_data_centre(placement_snapshot, artifact)
        if target is None:
            target = _choose_idle_engine(placement_snapshot, artifact)
        if target is None:
            continue
        victim_value = (
            placement_snapshot.copy_value(target.victim)
            if target.victim
            else 0.0
        )
        if victim_value < value * _VICTIM_SHARE:
            yield artifact, target


def _choose_drain_target(
    placement_snapshot: PlacementSnapshot, artifact: str
) -> LoadTarget | None:
    """Returns where to load an adapter that only draining engines hold.

    Without the copy the next request for it would wait for a load.
    """
    holders = [e for e in placement_snapshot.engines if artifact in e.held]
    is_loading = any(artifact in e.loading for e in placement_snapshot.engines)
    if is_loading or not holders or not all(e.draining for e in holders):
        return None
    return placement_snapshot.choose(artifact, max_loading=_MAX_LOADING)


def _choose_in_other_data_centre(
    placement_snapshot: PlacementSnapshot, artifact: str
) -> LoadTarget | None:
    """Returns an engine in a data centre that lacks the adapter."""
    covered_data_centres = {
        engine.data_centre
        for engine in placement_snapshot.engines
        if artifact in engine.held or artifact in engine.loading
    }
    covered = {
        e.name
        for e in placement_snapshot.engines
        if e.data_centre in covered_data_centres
    }
    avoid = covered | placement_snapshot.crowded_engines()
    return placement_snapshot.choose(
        artifact, avoid=avoid, max_loading=_MAX_LOADING
    )


def _choose_idle_engine(
    placement_snapshot: PlacementSnapshot, artifact: str
) -> LoadTarget | None:
    """Returns an engine with much less to do than all holders of an adapter.

    No further copy is chosen while as many copies are being loaded as there are
    holders.
    """
    holders = [e for e in placement_snapshot.engines if artifact in e.held]
    loading_copies = sum(
        artifact in e.loading for e in placement_snapshot.engines
    )
    if not holders or loading_copies >= len(holders):
        return None
    backlog = min(map(placement_snapshot.backlog, holders))
    share = min(map(placement_snapshot.busy_share, holders))
    has_backlog = backlog >= _BACKLOG_SECONDS
    is_full = share >= _FULL_BATCH_SHARE
    if not has_backlog and not is_full:
        return None
    busier = {
        engine.name
        for engine in placement_snapshot.engines
        if (
            has_backlog
            and placement_snapshot.backlog(engine)
            > _IDLE_BACKLOG_SHARE * backlog
        )
        or (
            is_full
            and placement_snapshot.busy_share(engine) > _IDLE_BUSY_SHARE * share
        )
    }
    return placement_snapshot.choose(
        artifact, avoid=busier, max_loading=_MAX_LOADING
    )
