"""Whether a request should wait for a copy rather than for a holder.

Load pattern: a few adapters get long prompts faster than the engine that holds
them reads. Five in a row then wait 1 to 2 s for it, while other engines read
nothing, and copies by popularity come only after many requests.
"""

from collections.abc import Callable

from ridgesill.core.fleet.assignment import predict_first_event
from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.lateness import (
    expected_late_count,
    late_probability,
    make_waiter,
)
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.placement import PlacementSnapshot
from ridgesill.core.fleet.wants import ArtifactWaiters

# How much less likely a request must be late with a copy loaded for it than at
# the best holder. A load costs a third of a request's worth. Emulated, five
# seeds: 0.002 to 0.004 of the worth better than 0.5.
_COPY_GAIN = 0.3


def is_copy_sooner(
    want: WantArtifact,
    holder: Engine,
    backlogs: Backlogs,
    now: float,
    make_placement_snapshot: Callable[[], PlacementSnapshot],
) -> bool:
    """Whether all holders are likely late and a load elsewhere isn't.

    Args:
        want: of the request.
        holder: the best of them.
        backlogs: what engines have yet to read.
        now: the clock, in seconds.
        make_placement_snapshot: returns the snapshot from which an engine is
            chosen. It scans all that engines hold, so it is called only when
            the holders are likely to be late.
    """
    first = predict_first_event(want, holder, backlogs, now)
    late_there = late_probability(want.goal - first)
    if late_there < _COPY_GAIN:
        return False
    waiting = ArtifactWaiters(want, now, [make_waiter(want, backlogs, now)])

    def lateness(engine: Engine) -> float:
        return expected_late_count(waiting, engine, backlogs, now)

    placement_snapshot = make_placement_snapshot()
    # A copy takes only places to spare.
    avoid = placement_snapshot.crowded_engines() | set(want.avoid)
    choice = placement_snapshot.choose(
        want.artifact, want.data_centre, avoid, lateness=lateness
    )
    if choice is None:
        return False
    return late_there - lateness(choice.engine) > _COPY_GAIN
