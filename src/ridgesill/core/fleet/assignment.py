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
) -> Engine | None:
    """Returns the engine that should serve a request, if any holds its adapter.

    This is an engine in the caller's data centre that meets the goal with ease,
    or else the engine with the earliest expected first event.

    Args:
        want: the message that asks for the artifact.
        engines: the engines that may be chosen.
        backlogs: the prompts that engines have yet to read.
        now: the owner's clock, in seconds.
        busy: the number of requests in progress by engine, if known.
    """
    in_progress = busy or {}

    def cost(engine: Engine) -> tuple[bool, float]:
        seconds = predict_first_event(want, engine, backlogs, now)
        if in_progress.get(engine.name, 0) >= engine.spec.slots:
            seconds += _FULL_BATCH_SECONDS
        is_near = engine.data_centre == want.data_centre
        is_easy = is_near and seconds <= _EASY_GOAL_SHARE * want.goal
        if not is_near:
            seconds += _REMOTE_SECONDS
        return not is_easy, seconds

    return min(find_holders(want, engines), key=cost, default=None)
