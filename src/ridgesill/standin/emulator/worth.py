"""What callers got, by what the users say that an answer is worth to them.

From the users' third letter and rules: an answer counts from the caller's first
try; in time it is worth all, late a part, and nothing else counts. A stream is
in time by its first event and by its longest pause, and only when complete.
"""

import attrs

from ridgesill.standin.emulator.demand import Arrival

# What keeping a request costs that then isn't served, as a share of its worth,
# when it was kept for three quarters of its time; in proportion below, from an
# eighth of its goal on (the users' rules).
_HELD_SHARE = 0.75
_HELD_FROM = 0.125
# What one that comes back after a refusal and isn't served costs beside.
_IN_VAIN = 0.3


@attrs.define
class Outcome:
    """What a caller saw of its request. Times in seconds from its first try.

    Attributes:
        first: when the first event came; None without one.
        pause: the longest between events.
        complete: whether the whole answer came.
        refused: how often it was told to come back.
        held: how long it was kept in all, where it isn't served.
        offered: whether an engine was at work on it.
    """

    arrival: Arrival
    first: float | None = None
    pause: float = 0.0
    complete: bool = False
    refused: int = 0
    held: float = 0.0
    offered: bool = False

    @property
    def is_in_time(self) -> bool:
        """Whether the answer is worth all."""
        kind = self.arrival.kind
        return (
            self.complete
            and self.first is not None
            and self.first <= kind.goal
            and self.pause <= kind.pause_goal
        )

    @property
    def worth(self) -> float:
        """What it is worth to the caller."""
        if not self.complete:
            return 0.0
        if self.is_in_time:
            return self.arrival.worth
        return self.arrival.late_worth

    @property
    def cost(self) -> float:
        """What waiting or coming back in vain cost the caller."""
        if self.complete:
            return 0.0
        kind = self.arrival.kind
        cost = _IN_VAIN if self.refused > 1 else 0.0
        from_, most = _HELD_FROM * kind.goal, _HELD_SHARE * kind.patience
        if not self.offered and self.held > from_:
            cost += min((self.held - from_) / (most - from_), 1.0)
        return cost * self.arrival.worth
