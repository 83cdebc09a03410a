"""How likely those who wait for an adapter are late on each engine.

Load pattern: long prompts that miss. The load takes a third of their goal and
the reading another third, so that one more prompt ahead on the engine that is
chosen makes them late, however idle the other engines are.
"""

import math

from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.wants import (
    LOAD_SECONDS,
    RELOAD_SECONDS,
    ArtifactWaiters,
    Waiter,
)
from ridgesill.core.serving.rank import rank_request

# Spread of what becomes of a prediction, in seconds: emulated, the first event
# comes 0.07 to 0.14 beside it, more where the prompt is long.
_SPREAD_SECONDS = 0.07
# Beyond so many spreads there is no doubt.
_SURE = 20.0


def make_waiter(want: WantArtifact, backlogs: Backlogs, now: float) -> Waiter:
    """Returns a request as one that waits from now on."""
    return Waiter(
        now + want.goal,
        backlogs.mean_read_seconds(want.tokens),
        want.request,
        want.tokens,
    )


def load_seconds(engine: Engine, artifact: str) -> float:
    """Returns how long an engine takes to have an adapter."""
    return (
        RELOAD_SECONDS if engine.is_cached_locally(artifact) else LOAD_SECONDS
    )


def late_probability(slack: float) -> float:
    """Returns how likely a request is late.

    Args:
        slack: seconds between the predicted first event and the goal.
    """
    spreads = min(max(slack / _SPREAD_SECONDS, -_SURE), _SURE)
    return 1.0 / (1.0 + math.exp(spreads))


def expected_late_count(
    waiting: ArtifactWaiters, engine: Engine, backlogs: Backlogs, now: float
) -> float:
    """Returns how many of those who wait would be late on an engine."""
    arrives_in = load_seconds(engine, waiting.want.artifact)
    late = 0.0
    before = 0.0
    for waiter in waiting.waiters:
        reading = backlogs.read_seconds(engine.name, waiter.tokens)
        left = waiter.goal_at - now - arrives_in
        rank = rank_request(reading, left)
        wait = backlogs.wait_seconds(engine.name, rank, now, arrives_in)
        before += reading
        late += late_probability(left - wait - before)
    return late
