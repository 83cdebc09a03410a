"""Orders without an answer, which an engine may still carry out.

Load pattern: for some seconds, six of ten orders get no answer and are carried
out 2 to 12 seconds later, while engines restart under the same name with an
order count of 0. Each order names the order count at which alone it is carried
out. Of the orders that name the same count, one start of an engine therefore
carries out at most one, and only in the state for which it was checked. A later
start reaches the same counts again in a different state, so orders to the
earlier start can be carried out there unchecked.
"""

import collections

import attrs

from ridgesill.core.fleet.orders import Action, FleetOrder

# How long an order without an answer may still be carried out, in seconds:
# engines delay it by 2 to 12 seconds, and it takes time to reach the engine.
UNANSWERED_SECONDS = 13.0
# Orders remembered for one instance. Fewer are sent within the time above, even
# at ten orders a second with five copies each.
_MAX_ORDERS_PER_INSTANCE = 1024


@attrs.frozen
class SentOrder:
    """An order that may still be carried out.

    Attributes:
        action: whether the artifact is loaded or unloaded.
        artifact: the artifact that the order names.
        start: the start of the engine for which the order was meant; 0 if
            engines do not report their starts.
        revision: the order count at which alone it is carried out.
        expires_at: when it can no longer be carried out, in seconds on the
            owner's clock.
    """

    action: Action
    artifact: str
    start: int
    revision: int
    expires_at: float


class SentOrders:
    """An owner's orders without an answer, by engine instance."""

    def __init__(self) -> None:
        self._sent: dict[str, collections.deque[SentOrder]] = {}

    def record(
        self, instance: str, start: int, order: FleetOrder, now: float
    ) -> SentOrder:
        """Records an order that is about to be sent.

        Args:
            instance: the name that the engine uses at each of its starts.
            start: the start of the engine for which the order is meant.
            order: the order.
            now: the owner's clock, in seconds.
        """
        sent = _to_sent(order, start, now)
        remembered = self._sent.setdefault(
            instance, collections.deque(maxlen=_MAX_ORDERS_PER_INSTANCE)
        )
        remembered.append(sent)
        return sent

    def discard(self, instance: str, sent: SentOrder) -> None:
        """Discards an order that was answered or was certainly not sent."""
        remembered = self._sent.get(instance)
        if remembered is not None and sent in remembered:
            remembered.remove(sent)

    def late_orders(
        self, instance: str, start: int, now: float
    ) -> list[SentOrder]:
        """Returns orders to other starts that a start may still carry out."""
        return [
            sent
            for sent in self._sent.get(instance, ())
            if sent.start != start and sent.expires_at > now
        ]

    def possible_loads_after(
        self, instance: str, order: FleetOrder, now: float
    ) -> list[set[str]]:
        """Returns what the next start may load on its own if an order is sent.

        Args:
            instance: the name that the engine uses at each of its starts.
            order: the order that may be sent.
            now: the owner's clock, in seconds.

        Returns:
            For each order count from 0 the artifacts of which at most one is
            loaded, as in find_load_chain().
        """
        remembered = self._sent.get(instance, ())
        return find_load_chain([*remembered, _to_sent(order, 0, now)], 0, now)

    def prune_expired(self, now: float) -> None:
        """Discards orders that can no longer be carried out."""
        for instance, remembered in list(self._sent.items()):
            while remembered and remembered[0].expires_at <= now:
                remembered.popleft()
            if not remembered:
                del self._sent[instance]


def _to_sent(order: FleetOrder, start: int, now: float) -> SentOrder:
    expires_at = now + UNANSWERED_SECONDS
    return SentOrder(
        order.action, order.artifact, start, order.revision, expires_at
    )


def find_load_chain(
    candidates: list[SentOrder], revision: int, now: float
) -> list[set[str]]:
    """Returns what an engine may load from late orders, count by count.

    A late order is carried out only at the order count that it names, and
    raises the count by one. Late orders at consecutive counts can therefore run
    one after another. The chain ends at the first count that no order names.

    Args:
        candidates: the orders that may still be carried out.
        revision: the order count of the engine.
        now: the owner's clock, in seconds.

    Returns:
        For each consecutive order count the artifacts of its load orders, of
        which at most one is carried out.
    """
    loads_by_revision: dict[int, set[str]] = {}
    for sent in candidates:
        if sent.expires_at > now:
            loads = loads_by_revision.setdefault(sent.revision, set())
            if sent.action is Action.LOAD:
                loads.add(sent.artifact)
    chain = []
    while revision in loads_by_revision:
        chain.append(loads_by_revision[revision])
        revision += 1
    return chain
