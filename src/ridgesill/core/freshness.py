"""How far a node can trust that what it knows is still in force.

The leader knows until when a quorum followed it. Everyone else asks, and
counts from the moment it *sent* its question, so no clocks are compared and a
slow answer only makes the result more cautious.
"""

import attrs

NEVER = float("-inf")


@attrs.define
class Freshness:
    """The latest time at which this process knew all that was committed.

    Attributes:
        lease: seconds that such knowledge is relied on.
        as_of: that time on the runtime's clock.
    """

    lease: float
    as_of: float = NEVER

    def confirm(self, asked_at: float, age: float) -> None:
        """Notes an answer that was `age` seconds old when it was given."""
        self.as_of = max(self.as_of, asked_at - age)

    def is_valid(self, now: float) -> bool:
        """Whether the lease still runs."""
        return now - self.as_of < self.lease

    def age(self, now: float) -> float:
        """Returns the seconds since `as_of`."""
        return now - self.as_of
