"""Which of the engines that hold an adapter gets a request.

Load pattern: engines that read at most of their rate, and fronts that each see
a sixth or less of what is sent there. By news a tenth of a second old several
fronts send long prompts to the same engine, and one prompt ahead makes the next
one late. The owner knows of every prompt on its way at once.
"""

from collections.abc import Iterable, Mapping

from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.serving.rank import rank_request

# What it costs that a request goes to another data centre, in seconds of wait:
# the way there and back and the bytes between them, which are priced.
_ELSEWHERE_SECONDS = 0.02
# A near holder that gives the first event within this share of the goal gets
# the request whatever others would do: some tens of milliseconds are nothing to
# the caller, while bytes between data centres cost a twentieth of its worth.
# Beyond that, where engines have much to read, a preference for near ones took
# 0.02 of the worth (emulated, three seeds).
_COMFORT_SHARE = 0.2
# What it costs that all places of an engine's batch are taken, in seconds of
# wait: the request waits for one of them to end.
_FULL_SECONDS = 0.3


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


def predict_first_event(
    want: WantArtifact, engine: Engine, backlogs: Backlogs, now: float
) -> float:
    """Returns seconds until an engine would give the first event."""
    rank = rank_want(want, engine, backlogs)
    wait = backlogs.wait_seconds(engine.name, rank, now)
    return wait + backlogs.read_seconds(engine.name, want.tokens)


def choose_holder(
    want: WantArtifact,
    engines: Iterable[Engine],
    backlogs: Backlogs,
    now: float,
    busy: Mapping[str, int] | None = None,
) -> Engine | None:
    """Returns a near holder that is in time with ease, or the soonest.

    Args:
        want: of the request.
        engines: those that may be chosen.
        backlogs: what engines have yet to read.
        now: the clock, in seconds.
        busy: requests in progress by engine, as far as is known.
    """
    taken = busy or {}

    def cost(engine: Engine) -> tuple[bool, float]:
        seconds = predict_first_event(want, engine, backlogs, now)
        if taken.get(engine.name, 0) >= engine.spec.slots:
            seconds += _FULL_SECONDS
        is_near = engine.data_centre == want.data_centre
        is_easy = is_near and seconds <= _COMFORT_SHARE * want.goal
        if not is_near:
            seconds += _ELSEWHERE_SECONDS
        return not is_easy, seconds

    return min(find_holders(want, engines), key=cost, default=None)
