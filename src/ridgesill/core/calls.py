"""A caller's request as the decisions see it, and what became of it."""

import attrs

COMPLETED = "completed"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

# Reasons that an entry node itself refuses for.
UNKNOWN_ADAPTER = "unknown-adapter"
UNKNOWN_VERSION = "unknown-version"
UNKNOWN_SERVICE = "unknown-service"
NO_PLACE = "no-allowed-place"
STALE = "stale"
DRAINING = "draining"
TOO_MANY = "too-many-streams"
KEY_IN_USE = "key-in-use"
KEY_RUNNING = "running"
KEY_UNKNOWN = "key-unknown"
KEYS_FULL = "keys-full"
NO_LEADER = "no-leader"


@attrs.frozen
class Call:
    """A request to be admitted.

    Attributes:
        request: its id, unique over all nodes.
        service: a plain service's name; empty for a model call.
        model: `name` or `name@version` of an adapter; empty for plain.
        team: the caller's team where the adapter doesn't tell.
        priority: 0 is the most important.
        patience: seconds within which it must have begun.
    """

    request: str
    service: str = ""
    model: str = ""
    team: str = ""
    priority: int = 1
    patience: float = 10.0


@attrs.frozen
class Target:
    """What a call asks for, checked against the configuration in force."""

    service: str
    adapter: str
    team: str
    places: frozenset[str]
    weight: float = 1.0


@attrs.frozen
class Admission:
    """A grant, as the request path needs it.

    Attributes:
        adapter: `name@version` to ask the runner for.
        waited: seconds in the owner's queue.
        stalled: seconds of those that a load was waited for.
    """

    request: str
    pool: str
    runner: str
    address: str
    incarnation: str
    data_centre: str
    adapter: str
    team: str
    service: str
    waited: float
    stalled: float
    batch: int


@attrs.frozen
class Refusal:
    """A refusal: the request has not run.

    Attributes:
        retry_after: seconds after which a retry makes sense; 0 if it never
            does without a change of the request or the configuration.
    """

    reason: str
    detail: str
    retry_after: float = 0.0
    team: str = ""
