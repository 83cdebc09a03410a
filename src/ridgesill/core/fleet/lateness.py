"""Predicted lateness of the requests that wait for an adapter, by engine.

Load pattern: long prompts whose adapter no engine holds. Loading the adapter
takes a third of the time until their goal and reading the prompt (prefill)
another third, so one more prompt ahead on the chosen engine makes them late,
however idle the other engines are.
"""

import math

from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.pauses import PauseCosts
from ridgesill.core.fleet.wants import (
    LOAD_SECONDS,
    RELOAD_SECONDS,
    ArtifactWaiters,
    Waiter,
)
from ridgesill.core.serving.rank import rank_request

# Spread of the actual first event around the prediction, in seconds: the error
# is 0.07 to 0.14 s, larger for long prompts.
_SPREAD_SECONDS = 0.07
# Bound on the distance from the goal, in spreads; beyond it the probability is
# 0 or 1.
_MAX_SPREADS = 20.0


def make_waiter(want: WantArtifact, backlogs: Backlogs, now: float) -> Waiter:
    """Returns the entry of a request that begins to wait for an artifact."""
    return Waiter(
        now + want.goal,
        backlogs.mean_read_seconds(want.tokens),
        want.request,
        want.tokens,
        now + want.patience,
        want.priority,
        want.customer,
    )


def load_seconds(engine: Engine, artifact: str) -> float:
    """Returns how long an engine takes to load an adapter, in seconds.

    An adapter that the engine unloaded recently loads faster.
    """
    return (
        RELOAD_SECONDS if engine.is_cached_locally(artifact) else LOAD_SECONDS
    )


def late_probability(slack: float) -> float:
    """Returns the probability that a request is late.

    Args:
        slack: seconds from the predicted first event until the goal; negative
            if the prediction is late.
    """
    spreads = min(max(slack / _SPREAD_SECONDS, -_MAX_SPREADS), _MAX_SPREADS)
    return 1.0 / (1.0 + math.exp(spreads))


def expected_late_count(
    waiting: ArtifactWaiters,
    engine: Engine,
    backlogs: Backlogs,
    now: float,
    pauses: PauseCosts | None = None,
) -> float:
    """Returns how many requests would be late if these waited for an engine.

    It is the sum of the probabilities of the waiting requests, if they are read
    there one after the other, behind the engine's backlog, and the number of
    streams there that the longest of their prompts makes late by a pause.

    Args:
        waiting: the requests that wait for an artifact.
        engine: the engine that would load it.
        backlogs: the prompts that engines have yet to read.
        now: the owner's clock, in seconds.
        pauses: the streams that prompts would make late, if known.
    """
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
    if pauses is None:
        return late
    tokens = max((waiter.tokens for waiter in waiting.waiters), default=0)
    return late + pauses.late_streams(engine.name, tokens)
