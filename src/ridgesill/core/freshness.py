"""Tracks how recently a node knew everything that was committed.

The leader knows the time until which a quorum followed it. Every other node
asks, and counts from the time at which it *sent* its request. So clocks of
different nodes are never compared, and a slow answer only shortens the lease.
"""

import attrs

NEVER = float("-inf")


@attrs.define
class Freshness:
    """The latest time at which this process knew all that was committed.

    Attributes:
        lease: seconds for which that knowledge is valid.
        as_of: that latest time, in seconds on this process's clock.
    """

    lease: float
    as_of: float = NEVER

    def confirm(self, asked_at: float, age: float) -> None:
        """Records an answer.

        Args:
            asked_at: when the request was sent, on this process's clock.
            age: the age in seconds of the answer's knowledge when it was
                given.
        """
        self.as_of = max(self.as_of, asked_at - age)

    def is_valid(self, now: float) -> bool:
        """Returns whether the lease is still valid."""
        return now - self.as_of < self.lease

    def age(self, now: float) -> float:
        """Returns the seconds since `as_of`."""
        return now - self.as_of
