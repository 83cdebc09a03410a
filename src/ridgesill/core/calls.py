"""A caller's request as the entry node handles it, and its outcome."""

import attrs

COMPLETED = "completed"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

# Reasons for which the entry node itself refuses a request.
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
    """A request that waits for admission.

    Attributes:
        request: the request's id, unique over all nodes.
        service: the name of a plain service; empty for a model call.
        model: `name` or `name@version` of an adapter; empty for a call of a
            plain service.
        team: the caller's team, for plain services; an adapter declares its
            own.
        priority: 0 is the highest.
        patience: seconds within which the request must have begun to run.
    """

    request: str
    service: str = ""
    model: str = ""
    team: str = ""
    priority: int = 1
    patience: float = 10.0


@attrs.frozen
class Target:
    """The target of a call, checked against the configuration in force.

    Attributes:
        service: the name of the service.
        adapter: `name@version`; empty for a plain service.
        team: the team that the call is accounted to; empty for none.
        places: the data centres in which the call may run.
        weight: the team's share of a contended runner against other teams.
    """

    service: str
    adapter: str
    team: str
    places: frozenset[str]
    weight: float = 1.0


@attrs.frozen
class Admission:
    """A granted request with the runner that is to serve it.

    Attributes:
        address: `host:port` of the runner.
        incarnation: the runner's incarnation.
        adapter: `name@version` to ask the runner for.
        waited: seconds that the request spent in the pool owner's queue.
        stalled: the part of `waited`, in seconds, spent waiting for an
            adapter load.
        batch: the requests in flight on the runner at the time of the grant.
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
    """A refused request, which has not run.

    Attributes:
        reason: one of the constants of this module, or a reason of the
            pool's owner.
        detail: a sentence for the caller.
        retry_after: seconds after which a retry may succeed; 0 if it can't
            without a change of the request or the configuration.
        team: the team that the call is accounted to, if it is known.
    """

    reason: str
    detail: str
    retry_after: float = 0.0
    team: str = ""
