"""What runners announce, and the orders that they take."""

import attrs

from ridgesill.core.codec import register


@register
@attrs.frozen
class Announcement:
    """What a runner says of itself, every second or so.

    Attributes:
        name: the runner's name.
        incarnation: drawn anew when its engine starts, with empty slots.
        service: the service it belongs to.
        data_centre: where it stands.
        address: `host:port` of its HTTP interface.
        slots: adapters it can hold; 0 for a plain service.
        capacity: requests it works on at once.
        resident: adapters it holds, as `name@version`.
        active: requests it works on or has queued, by adapter.
        leaving: whether it wants no new work.
        sequence: counts up within an incarnation.
    """

    name: str
    incarnation: str
    service: str
    data_centre: str
    address: str
    slots: int
    capacity: int
    resident: tuple[str, ...] = ()
    active: dict[str, int] = attrs.Factory(dict)
    leaving: bool = False
    sequence: int = 0


@register
@attrs.frozen
class Order:
    """An order to a runner.

    Attributes:
        action: `load`, `unload` or `fence`.
        adapter: `name@version`; empty for `fence`.
        epoch: the owner's fencing number.
        deadline: seconds for which the order may be begun.
    """

    action: str
    runner: str
    address: str
    adapter: str
    epoch: int
    deadline: float


LOAD = "load"
UNLOAD = "unload"
FENCE = "fence"


def versioned_name(adapter: str, version: str) -> str:
    """Returns the name under which a runner holds an adapter's version."""
    return f"{adapter}@{version}"
