"""Whether a request should wait for another copy of its adapter.

Load pattern: a few adapters receive long prompts faster than the engine that
holds them can read. Five prompts in a row then wait 1 to 2 seconds while other
engines are idle, because copies by popularity are loaded only after many
requests. Besides, a copy on a fast engine spares the streams on a slow holder a
pause while it reads the prompt.
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
from ridgesill.core.fleet.pauses import PauseCosts
from ridgesill.core.fleet.placement import PlacementSnapshot
from ridgesill.core.fleet.wants import ArtifactWaiters

# Least reduction of the probability of being late for which a copy is loaded. A
# load costs a third of a request's value. With 0.3 the share of request value
# that is earned was 0.002 to 0.004 higher than with 0.5.
_COPY_GAIN = 0.3
# Greatest probability of being late at which a copy is loaded only to avoid
# pauses of other streams.
_MAX_LATE_TO_SPARE = 0.5


def is_copy_sooner(
    want: WantArtifact,
    holder: Engine,
    backlogs: Backlogs,
    now: float,
    make_placement_snapshot: Callable[[], PlacementSnapshot],
    pauses: PauseCosts | None = None,
) -> bool:
    """Returns whether a new copy is likely in time while no holder is.

    A copy that is in time is also loaded if it spares streams on the holder a
    pause that would make them late.

    Args:
        want: the message that asks for the artifact.
        holder: the best engine that holds the adapter.
        backlogs: the prompts that engines have yet to read.
        now: the owner's clock, in seconds.
        make_placement_snapshot: returns the snapshot from which an engine is
            chosen. It scans all that engines hold, so it is called only when
            the holders are likely to be late, or streams would pause.
        pauses: the streams that the prompt would make late, if known.
    """
    seconds = predict_first_event(want, holder, backlogs, now)
    late_share_at_holder = late_probability(want.goal - seconds)
    late_streams = 0
    if pauses is not None:
        late_streams = pauses.late_streams(holder.name, want.tokens)
    if late_share_at_holder < _COPY_GAIN and not late_streams:
        return False
    waiting = ArtifactWaiters(want, now, [make_waiter(want, backlogs, now)])

    def lateness(engine: Engine) -> float:
        return expected_late_count(waiting, engine, backlogs, now, pauses)

    placement_snapshot = make_placement_snapshot()
    # A copy uses only spare adapter slots.
    avoid = placement_snapshot.crowded_engines() | set(want.avoid)
    avoid |= {
        engine.name
        for engine in placement_snapshot.engines
        if not want.accepts_software(engine.software)
    }
    target = placement_snapshot.choose(
        want.artifact, want.data_centre, avoid, lateness=lateness
    )
    if target is None:
        return False
    late_at_copy = lateness(target.engine)
    if late_streams and late_at_copy < _MAX_LATE_TO_SPARE:
        return True
    return late_share_at_holder - late_at_copy > _COPY_GAIN
