"""Bytes of answers that a front holds for clients that read slowly.

Load pattern: some clients read a byte a second, while engines abort answers
that stay unread. The front therefore reads on and holds what these clients
haven't taken, up to a bound. Beyond it, it disconnects the client that holds
most, of the customer that holds most, so that a customer with many slow clients
doesn't cost other customers theirs.
"""

import collections
from collections.abc import Iterable


class HeldBytes:
    """Counts held bytes by customer and client.

    Args:
        bound: bytes that may be held in total.

    Attributes:
        bound: see above.
        total: bytes held for all clients.
    """

    def __init__(self, bound: float) -> None:
        self.bound = bound
        self.total = 0
        self._customers: collections.Counter[str] = collections.Counter()
        # Customer and held bytes by client.
        self._clients: dict[str, tuple[str, int]] = {}

    def record(self, client: str, customer: str, held: int) -> None:
        """Replaces what is held for a client.

        Args:
            client: name of the client's connection.
            customer: the customer on whose behalf it asks; empty if unknown.
            held: bytes of answers that it hasn't taken.
        """
        self.discard(client)
        if held <= 0:
            return
        self._clients[client] = (customer, held)
        self._customers[customer] += held
        self.total += held

    def discard(self, client: str) -> None:
        """Removes a client that has disconnected."""
        customer, held = self._clients.pop(client, ("", 0))
        self.total -= held
        self._customers[customer] -= held
        if not self._customers[customer]:
            del self._customers[customer]

    def count(self, client: str) -> int:
        """Returns the bytes held for a client."""
        return self._clients.get(client, ("", 0))[1]

    def discard_except(self, clients: Iterable[str]) -> None:
        """Removes all clients but those that are still connected."""
        for client in set(self._clients).difference(clients):
            self.discard(client)

    def find_excess(self) -> str:
        """Returns the client to disconnect; empty within the bound."""
        if self.total <= self.bound:
            return ""
        customer = max(self._customers, key=self._customers.__getitem__)
        held_by_client = {
            client: held
            for client, (owner, held) in self._clients.items()
            if owner == customer
        }
        return max(held_by_client, key=held_by_client.__getitem__)


def find_link_backlog(held: int, sent: int, span: float) -> float:
    """Returns the part of a connection's held bytes that waits at the link.

    Bytes behind a narrow link flow out steadily, those for a slow reader hardly
    at all. So the part is at most what the connection sends within a second.

    Args:
        held: bytes that the connection holds.
        sent: bytes that it has sent in the last `span` seconds.
        span: seconds, more than 0.
    """
    return min(float(held), max(sent, 0) / span)
