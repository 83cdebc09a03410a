"""Orders to engines, their verdicts, and what engines report."""

import enum

import attrs


class Action(enum.Enum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderVerdict(enum.Enum):
    """What became of an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    REFUSED = "refused"
    FENCED = "fenced"
    MISDIRECTED = "misdirected"
    UNKNOWN = "unknown"


@attrs.frozen
class FleetOrder:
    """An order.

    Attributes:
        upstream: the incarnation that is meant.
        artifact: `model` or `model/adapter`.
        version: to load; 0 for the newest.
        holder: the VM that gives it.
        token: the fencing token of its ownership.
        revision: the count of orders that the engine must have taken so far;
            None when it isn't known.
    """

    action: Action
    upstream: str
    address: str
    artifact: str
    version: int
    holder: str
    token: int
    revision: int | None


@attrs.frozen
class EngineReport:
    """What an engine says when asked; some hundred milliseconds old.

    Attributes:
        revision: how many orders it has taken.
        busy: whether a model is being loaded or unloaded.
        resident: versions by artifact.
        incoming: versions of adapters on their way.
        running: requests in its batch.
        queued: requests that wait there.
    """

    revision: int
    busy: bool
    resident: dict[str, int]
    incoming: dict[str, int]
    running: int = 0
    queued: int = 0
