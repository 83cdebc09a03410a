"""Orders whose answer is not known, which may still be carried out.

Load pattern: for seconds, six orders in ten get no answer and are carried out
2 to 12 seconds later; meanwhile engines start again under the name that they
had, with the count of orders at 0. Each order names the count at which alone it
is carried out, so that on one start of an engine at most one of those that name
the same count is, and only in the state that it was checked against. On a later
start the same counts come again, in another state.
"""

import collections

import attrs

from ridgesill.core.fleet.orders import Action, FleetOrder

# How long an order without an answer may still be carried out, in seconds
# (the platform's protocol: 2 to 12, and the way there).
UNANSWERED_SECONDS = 13.0
# Orders remembered for one instance; at ten a second, each given five times,
# fewer fall within that time.
_MOST = 1024


@attrs.frozen
class SentOrder:
    """An order that may still be carried out.

    Attributes:
        start: of the engine that it was meant for; 0 when engines don't tell.
        revision: the count of orders at which alone it is carried out.
        until: when it can't be any more, on the owner's clock, in seconds.
    """

    action: Action
    artifact: str
    start: int
    revision: int
    expires_at: float


class SentOrders:
    """The orders of an owner without an answer, by instance of an engine."""

    def __init__(self) -> None:
        self._sent: dict[str, collections.deque[SentOrder]] = {}

    def record(
        self, instance: str, start: int, order: FleetOrder, now: float
    ) -> SentOrder:
        """Notes an order that is about to leave."""
        sent = _to_sent(order, start, now)
        kept = self._sent.setdefault(instance, collections.deque(maxlen=_MOST))
        kept.append(sent)
        return sent

    def discard(self, instance: str, sent: SentOrder) -> None:
        """Notes that an order was answered, or surely never left."""
        kept = self._sent.get(instance)
        if kept is not None and sent in kept:
            kept.remove(sent)

    def late_orders(
        self, instance: str, start: int, now: float
    ) -> list[SentOrder]:
        """Returns what was meant for earlier starts and may run on this one."""
        return [
            sent
            for sent in self._sent.get(instance, ())
            if sent.start != start and sent.expires_at > now
        ]

    def possible_loads_after(
        self, instance: str, order: FleetOrder, now: float
    ) -> list[set[str]]:
        """Returns what a next start may load by itself, were an order sent."""
        kept = self._sent.get(instance, ())
        return find_load_chain([*kept, _to_sent(order, 0, now)], 0, now)

    def prune_expired(self, now: float) -> None:
        """Forgets what can't be carried out any more."""
        for instance, kept in list(self._sent.items()):
            while kept and kept[0].expires_at <= now:
                kept.popleft()
            if not kept:
                del self._sent[instance]


def _to_sent(order: FleetOrder, start: int, now: float) -> SentOrder:
    until = now + UNANSWERED_SECONDS
    return SentOrder(order.action, order.artifact, start, order.revision, until)


def find_load_chain(
    strays: list[SentOrder], revision: int, now: float
) -> list[set[str]]:
    """Returns what an engine may load by itself from a count on.

    A stray is carried out at its count alone, and moves it by one. So those at
    a count, the next one and so on may run one after another; where a count is
    missing the chain ends.

    Args:
        strays: orders of earlier starts.
        revision: the engine's count of orders.
        now: the clock, in seconds.

    Returns:
        For each count in turn the artifacts of its loads, one of which at
        most is carried out.
    """
    by_count: dict[int, set[str]] = {}
    for sent in strays:
        if sent.expires_at > now:
            loads = by_count.setdefault(sent.revision, set())
            if sent.action is Action.LOAD:
                loads.add(sent.artifact)
    chain = []
    while revision in by_count:
        chain.append(by_count[revision])
        revision += 1
    return chain
