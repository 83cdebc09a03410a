"""Messages between entry nodes, pool owners and the permit allocator."""

from typing import Any

import attrs

from ridgesill.core.codec import register
from ridgesill.core.runners import Order

# Reasons for a refusal; docs/reference/outcomes.md explains them.
QUEUE_FULL = "queue-full"
TOO_LATE = "deadline"
NO_RUNNER = "no-runner"
LOAD_FAILED = "load-failed"
NOT_OWNER = "not-owner"
SHED = "shed"


@register
@attrs.frozen
class Admit:
    """Requests a runner from the owner of a pool.

    Attributes:
        request: id of the request, unique over all nodes.
        node: the incarnation of the entry node.
        pool: name of the pool.
        adapter: `name@version`; empty for a plain service.
        team: name of the team, for fair queueing.
        priority: 0 is the most important.
        patience: seconds within which the request must have started.
        weight: weight of the team in fair queueing.
        avoid: names of runners to use only if no other is available.
    """

    request: str
    node: str
    pool: str
    adapter: str
    team: str
    priority: int
    patience: float
    weight: float = 1.0
    avoid: tuple[str, ...] = ()


@register
@attrs.frozen
class Granted:
    """Grants a runner to a request; pins its adapter until `Finished`.

    Attributes:
        request: id of the request.
        runner: name of the runner.
        address: `host:port` of the runner.
        incarnation: the incarnation of the runner.
        waited: seconds that the request waited in the queue.
        stalled: seconds of these that it waited for a load.
        batch: requests in flight at the runner, including this one.
    """

    request: str
    runner: str
    address: str
    incarnation: str
    waited: float
    stalled: float
    batch: int


@register
@attrs.frozen
class Refused:
    """Refuses a request, which has not been executed.

    Attributes:
        request: id of the request.
        reason: one of the reasons above.
        retry_after: seconds after which a retry makes sense.
    """

    request: str
    reason: str
    retry_after: float


FINE = "fine"
FAILED = "failed"
ABSENT = "absent"


@register
@attrs.frozen
class Finished:
    """Ends the pin of a request, or removes the request from the queue.

    Attributes:
        request: id of the request.
        pool: name of the pool.
        verdict: `fine`, `failed` (a fault of the runner) or `absent` (the
            runner doesn't hold the adapter).
    """

    request: str
    pool: str
    verdict: str = FINE


@register
@attrs.frozen
class Pin:
    """A granted request, which keeps its adapter from being unloaded.

    Attributes:
        request: id of the request.
        runner: name of the runner.
        incarnation: the incarnation of the runner.
        adapter: `name@version`; empty for a plain service.
        team: name of the team.
    """

    request: str
    runner: str
    incarnation: str
    adapter: str
    team: str


@register
@attrs.frozen
class Holding:
    """All grants that an entry node holds in a pool, sent regularly.

    A new owner rebuilds its pins from it. An owner that has pins of the node
    ends those that the message no longer lists.

    Attributes:
        node: the incarnation of the entry node.
        pool: name of the pool.
        pins: the granted requests.
    """

    node: str
    pool: str
    pins: tuple[Pin, ...]


@register
@attrs.frozen
class Digest:
    """The state of a pool for entry nodes, which use it only as a hint.

    Attributes:
        pool: name of the pool.
        epoch: epoch of the owner.
        number: sequence number among the digests of the owner.
        is_whole: whether `added` lists all resident adapters.
        added: adapters that became resident since the previous digest.
        removed: adapters that stopped being resident since then.
        spare: number of further requests that the runners can take.
        waiting: number of waiting requests.
    """

    pool: str
    epoch: int
    number: int
    is_whole: bool
    added: tuple[str, ...]
    removed: tuple[str, ...]
    spare: int
    waiting: int


@register
@attrs.frozen
class AskPermit:
    """Requests permission for a load from the weight store's allocator.

    Attributes:
        permit: id of the permit.
        pool: name of the pool.
        service: name of the service.
        urgency: number of requests that wait for the load.
    """

    permit: str
    pool: str
    service: str
    urgency: int


@register
@attrs.frozen
class GrantPermit:
    """Allows one load to start now.

    Attributes:
        permit: id of the permit.
        pool: name of the pool.
    """

    permit: str
    pool: str


@register
@attrs.frozen
class ReturnPermit:
    """Returns the permit of a load that has ended or will not start.

    Attributes:
        permit: id of the permit.
        service: name of the service.
    """

    permit: str
    service: str


@attrs.frozen
class Reply:
    """Output of an owner: an answer to the node that sent an `Admit`.

    Attributes:
        node: the incarnation of the entry node.
        message: a `Granted` or `Refused`.
    """

    node: str
    message: Any


@attrs.frozen
class SendOrder:
    """Output of an owner: an order to send to a runner.

    The sender checks just before that the lease of the owner is still valid.

    Attributes:
        order: the order.
    """

    order: Order


@attrs.frozen
class ToAllocator:
    """Output of an owner: a message for the weight store's allocator.

    Attributes:
        message: an `AskPermit` or `ReturnPermit`.
    """

    message: Any
