"""Which of the engines that hold an adapter serves a request.

Load pattern: engines read prompts at nearly their full rate, and each front
sees at most a sixth of the requests sent to an engine. With state that is a
tenth of a second old, several fronts send long prompts to the same engine, and
one prompt ahead makes the next one late. The owner assigns the requests, as it
knows at once of every prompt on its way.
"""

from collections.abc import Iterable, Mapping

from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.pauses import PauseCosts
from ridgesill.core.serving.rank import rank_request

# Cost of sending a request to another data centre, as seconds of waiting: the
# round trip and the cost of the traffic.
_REMOTE_SECONDS = 0.02
# An engine in the caller's data centre gets the request if its first event is
# expected within this share of the goal, whatever other engines offer. Some
# tens of milliseconds do not matter to the caller, while traffic between data
# centres costs a twentieth of the request's value. Beyond this share, a
# preference for near engines cost 0.02 of the value where engines have long
# backlogs.
_EASY_GOAL_SHARE = 0.2
# Cost of a full batch, as seconds of waiting: the request waits until another
# one has ended.
_FULL_BATCH_SECONDS = 0.3


def find_holders(want: WantArtifact, engines: Iterable[Engine]) -> list[Engine]:
    """Returns the engines that can serve a request now."""
    return [
        engine
        for engine in engines
        if engine.name not in want.avoid
        and not engine.draining
        and want.accepts_software(engine.software)
        and want.artifact in engine.held
        and engine.held[want.artifact].version >= want.version
    ]


def rank_want(want: WantArtifact, engine: Engine, backlogs: Backlogs) -> int:
    """Returns the rank by which an engine's queue orders a request."""
    seconds = backlogs.read_seconds(engine.name, want.tokens)
    return rank_request(seconds, want.goal)


def predict_first_event(
    want: WantArtifact, engine: Engine, backlogs: Backlogs, now: float
) -> float:
    """Returns the expected time until an engine's first event, in seconds."""
    rank = rank_want(want, engine, backlogs)
    wait = backlogs.wait_seconds(engine.name, rank, now)
    return wait + backlogs.read_seconds(engine.name, want.tokens)


def choose_holder(
    want: WantArtifact,
    engines: Iterable[Engine],
    backlogs: Backlogs,
    now: float,
    busy: Mapping[str, int] | None = None,
    pauses: PauseCosts | None = None,
) -> Engine | None:
    """Returns the engine that should serve a request, if any holds its adapter.

    This is an engine in the caller's data centre that meets the goal with ease,
    or else the engine with the earliest expected first event. Where the prompt
    would make streams late by a pause on one of the holders, the engine with
    the fewest late requests goes first, the request itself included.

    Args:
        want: the message that asks for the artifact.
        engines: the engines that may be chosen.
        backlogs: the prompts that engines have yet to read.
        now: the owner's clock, in seconds.
        busy: the number of requests in progress by engine, if known.
        pauses: the streams that the prompt would make late, if known.
    """
    in_progress = busy or {}
    holders = find_holders(want, engines)
    late_streams = {
        engine.name: pauses.late_streams(engine.name, want.tokens)
        if pauses
        else 0
        for engine in holders
    }
    makes_pauses = any(late_streams.values())

    def cost(engine: Engine) -> tuple[int, bool, float]:
        seconds = predict_first_event(want, engine, backlogs, now)
        late = late_streams[engine.name]
        if makes_pauses and seconds > want.goal:
            late += 1
        if in_progress.get(engine.name, 0) >= engine.spec.slots:
            seconds += _FULL_BATCH_SECONDS
        is_near = engine.data_centre == want.data_centre
        is_easy = is_near and seconds <= _EASY_GOAL_SHARE * want.goal
        if not is_near:
            seconds += _REMOTE_SECONDS
        return late, not is_easy, seconds

    return min(holders, key=cost, default=None)
