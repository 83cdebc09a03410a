"""Orders to engines, their verdicts, and what engines report."""

import enum

import attrs

from ridgesill.core.codec import register


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


@register
@attrs.frozen
class FleetOrder:
    """An order.

    Attributes:
        upstream: the incarnation that is meant.
        artifact: `model` or `model/adapter`.
        version: to load; 0 for the newest.
        holder: the VM that delivers it.
        token: the fencing token of its lease.
        revision: the count of orders that the engine must have taken so far.
            Without one it would be carried out whenever it arrives: an order
            that came seconds late took an engine over its places.
    """

    action: Action
    upstream: str
    address: str
    artifact: str
    version: int
    holder: str
    token: int
    revision: int


@register
@attrs.frozen
class HolderAlive:
    """A VM tells the leader that it can deliver orders.

    Attributes:
        name: of the node.
        stamp: its own steady clock, in seconds.
    """

    name: str
    data_centre: str
    stamp: float


@register
@attrs.frozen
class DeliverOrder:
    """The leader has the holder of an engine's lease deliver an order.

    Attributes:
        stamp: the last that the leader has heard from the holder.
        term: of the leadership.
    """

    order: FleetOrder
    stamp: float
    term: int


class Delivery(enum.Enum):
    """How far an order came."""

    ANSWERED = "answered"
    NO_ANSWER = "no_answer"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not_sent"


@register
@attrs.frozen
class OrderAnswer:
    """What became of the delivery of an order.

    Attributes:
        detail: the start of the engine's answer, or why there is none.
        status: of that answer.
        leaves: whether the engine says in it that it leaves.
    """

    delivery: Delivery
    detail: str
    status: int = 0
    leaves: bool = False


@attrs.frozen
class EngineReport:
    """What an engine says when asked; some hundred milliseconds old.

    Attributes:
        start: of the engine; 0 when it doesn't tell.
        revision: how many orders it has taken.
        busy: whether a model is being loaded or unloaded.
        resident: versions by artifact.
        incoming: versions of adapters on their way.
        running: requests in its batch.
        queued: requests that wait there.
        unknown: fields that nothing here reads.
    """

    revision: int
    busy: bool
    resident: dict[str, int]
    incoming: dict[str, int]
    running: int = 0
    queued: int = 0
    start: int = 0
    unknown: tuple[str, ...] = ()
