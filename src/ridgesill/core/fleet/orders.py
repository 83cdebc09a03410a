"""Orders to engines, their outcomes, and the reports of engines."""

import enum

import attrs

from ridgesill.core.codec import register


class Action(enum.Enum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderVerdict(enum.Enum):
    """The outcome of an order.

    Attributes:
        TAKEN: the engine accepted the order, which raises its order count by
            one.
        HOLDS: the engine has nothing left to do: the artifact is loaded or
            unloaded as ordered.
        REFUSED: the engine refused the order, or the order was not sent.
        FENCED: the engine has seen a higher fencing token.
        MISDIRECTED: the order did not reach the engine that it names.
        UNKNOWN: there was no answer; the engine may still carry out the order.
    """

    TAKEN = "taken"
    HOLDS = "holds"
    REFUSED = "refused"
    FENCED = "fenced"
    MISDIRECTED = "misdirected"
    UNKNOWN = "unknown"


@register
@attrs.frozen
class FleetOrder:
    """An order to load or unload an artifact.

    Attributes:
        action: whether the artifact is loaded or unloaded.
        upstream: the name of the engine's start for which the order is meant.
        address: where the engine is reached, as host:port.
        artifact: `model` or `model/adapter`.
        version: the version to load; 0 for the newest.
        holder: the VM that delivers the order.
        token: the fencing token of that VM's lease.
        revision: the order count that the engine must have, which is how many
            orders it has accepted. An order without one would be carried out
            whenever it arrives: such an order arrived seconds late and made an
            engine exceed its adapter slots.
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
    """Tells the leader that a VM can deliver orders.

    Attributes:
        name: the name of the VM's node.
        data_centre: the data centre in which the VM runs.
        stamp: the VM's own monotonic clock, in seconds.
    """

    name: str
    data_centre: str
    stamp: float


@register
@attrs.frozen
class DeliverOrder:
    """Asks the holder of an engine's order lease to deliver an order.

    Attributes:
        order: the order.
        stamp: the newest stamp that the leader has received from the holder, in
            seconds on the holder's clock.
        term: the log term in which the sender leads.
    """

    order: FleetOrder
    stamp: float
    term: int


class Delivery(enum.Enum):
    """How far the delivery of an order got.

    Attributes:
        ANSWERED: the engine answered.
        NO_ANSWER: the order was sent and no answer arrived.
        UNREACHABLE: the engine could not be reached.
        NOT_SENT: the holder did not send the order.
    """

    ANSWERED = "answered"
    NO_ANSWER = "no_answer"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not_sent"


@register
@attrs.frozen
class OrderAnswer:
    """The outcome of the delivery of an order.

    Attributes:
        delivery: how far the delivery got.
        detail: the start of the engine's answer, or the reason why there is
            none.
        status: the HTTP status of the answer; 0 if there is none.
        leaves: whether the answer says that the engine is leaving.
    """

    delivery: Delivery
    detail: str
    status: int = 0
    leaves: bool = False


@attrs.frozen
class EngineReport:
    """What an engine reports on request, up to some hundred milliseconds old.

    Attributes:
        revision: the order count, which is how many orders the engine has
            accepted.
        busy: whether a base model is being loaded or unloaded.
        resident: the versions of the held artifacts.
        incoming: the versions of the adapters that are being loaded.
        running: the number of requests in the engine's batch.
        queued: the number of requests that wait at the engine.
        start: the number of the engine's start; 0 if it reports none.
        unknown: the names of fields that are not understood here.
    """

    revision: int
    busy: bool
    resident: dict[str, int]
    incoming: dict[str, int]
    running: int = 0
    queued: int = 0
    start: int = 0
    unknown: tuple[str, ...] = ()
