"""Announcements from runners and orders to them."""

import attrs

from ridgesill.core.codec import register


@register
@attrs.frozen
class Announcement:
    """A runner's state, announced about once a second.

    Attributes:
        name: the runner's name.
        incarnation: a random id, drawn when its engine starts with empty
            slots.
        service: the service it belongs to.
        data_centre: the data centre it runs in.
        address: `host:port` of its HTTP interface.
        slots: the number of adapters it can hold; 0 for a plain service.
        capacity: the number of requests it can run at once.
        resident: the adapters it holds, as `name@version`.
        active: the number of requests running or queued, by adapter.
        leaving: whether it accepts no new work.
        sequence: the number of the announcement within an incarnation.
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
        runner: the name of the runner.
        address: `host:port` of the runner.
        adapter: `name@version`; empty for `fence`.
        epoch: the owner's fencing token.
        deadline: seconds within which the order may be begun.
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
    """Returns the `name@version` under which a runner holds an adapter."""
    return f"{adapter}@{version}"
