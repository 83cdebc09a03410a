"""What entry nodes and a pool's owner say to each other."""

from typing import Any

import attrs

from ridgesill.core.codec import register
from ridgesill.core.runners import Order

# Reasons of a refusal; each is explained in docs/reference/outcomes.md.
QUEUE_FULL = "queue-full"
TOO_LATE = "deadline"
NO_RUNNER = "no-runner"
LOAD_FAILED = "load-failed"
NOT_OWNER = "not-owner"
SHED = "shed"


@register
@attrs.frozen
class Admit:
    """Asks a pool's owner for a runner.

    Attributes:
        request: an id unique over all nodes.
        node: the incarnation of the entry node.
        adapter: `name@version`; empty for a plain service.
        priority: 0 is the most important.
        patience: seconds within which the request must have begun.
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
    """Admits a request to a runner; its adapter stays until `Finished`."""

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
    """Refuses a request, which then has not run.

    Attributes:
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
    """Ends a request's pin.

    Attributes:
        verdict: `fine`, `failed` (the runner's fault) or `absent` (the
            runner said that it does not hold the adapter).
    """

    request: str
    pool: str
    verdict: str = FINE


@register
@attrs.frozen
class Pin:
    """A request that an entry node holds a grant for."""

    request: str
    runner: str
    incarnation: str
    adapter: str
    team: str


@register
@attrs.frozen
class Holding:
    """All grants that an entry node holds in a pool, sent regularly.

    A new owner rebuilds its pins from it; a known one ends those pins of the
    node that it no longer lists.
    """

    node: str
    pool: str
    pins: tuple[Pin, ...]


@register
@attrs.frozen
class Digest:
    """What an owner tells entry nodes about its pool, as hints only.

    Attributes:
        number: counts an owner's digests.
        is_whole: whether `added` is all that is resident.
        added: adapters resident since the digest before.
        removed: adapters gone since then.
        spare: requests that the pool's runners have room for.
        waiting: requests that wait there.
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
    """Asks the weight store's allocator for permission to load."""

    permit: str
    pool: str
    service: str
    urgency: int


@register
@attrs.frozen
class GrantPermit:
    """Allows one load to begin now."""

    permit: str
    pool: str


@register
@attrs.frozen
class ReturnPermit:
    """Says that a load has ended, or will not begin."""

    permit: str
    service: str


@attrs.frozen
class Reply:
    """An output: an answer to the node that sent an `Admit`."""

    node: str
    message: Any


@attrs.frozen
class SendOrder:
    """An output: an order for a runner, under a lease checked just before."""

    order: Order


@attrs.frozen
class ToAllocator:
    """An output: a message for the weight store's allocator."""

    message: Any
