"""Which of the engines that hold an adapter gets a request.

Load pattern: engines that read at most of their rate, and fronts that each see
a sixth or less of what is sent there. By news a tenth of a second old several
fronts send long prompts to the same engine, and one prompt ahead makes the next
one late. The owner knows of every prompt on its way at once.
"""

from collections.abc import Iterable

from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.serving.rank import rank_request

# What it costs that a request goes to another data centre, in seconds of wait:
# the way there and back and the bytes between them, which are priced.
_ELSEWHERE_SECONDS = 0.02


def find_holders(want: WantArtifact, engines: Iterable[Engine]) -> list[Engine]:
    """Returns the engines that could serve a request now."""
    return [
        engine
        for engine in engines
        if engine.name not in want.avoid
        and not engine.draining
        and want.artifact in engine.held
        and engine.held[want.artifact].version >= want.version
    ]


def rank_want(want: WantArtifact, engine: Engine, backlogs: Backlogs) -> int:
    """Returns the rank that a request has at an engine."""
    seconds = backlogs.read_seconds(engine.name, want.tokens)
    return rank_request(seconds, want.goal)


def predict_first(
    want: WantArtifact, engine: Engine, backlogs: Backlogs, now: float
) -> float:
    """Returns seconds until an engine would give the first event."""
    rank = rank_want(want, engine, backlogs)
    wait = backlogs.wait(engine.name, rank, now)
    return wait + backlogs.read_seconds(engine.name, want.tokens)


def choose_holder(
    want: WantArtifact,
    engines: Iterable[Engine],
    backlogs: Backlogs,
    now: float,
) -> Engine | None:
    """Returns the holder with the least predicted time to the first event."""

    def cost(engine: Engine) -> float:
        seconds = predict_first(want, engine, backlogs, now)
        if engine.data_centre != want.data_centre:
            seconds += _ELSEWHERE_SECONDS
        return seconds

    return min(find_holders(want, engines), key=cost, default=None)
