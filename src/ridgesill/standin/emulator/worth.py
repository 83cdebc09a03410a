"""The outcomes of requests and their worth to callers.

Times count from a caller's first attempt. A complete answer in time has its
full worth, a complete late answer a part of it, and any other outcome none. A
stream is in time if it is complete and neither its first event nor its longest
pause exceeds the goal.
"""

import attrs

from ridgesill.standin.emulator.demand import Arrival

# A request that is held and then not served costs its whole worth when it was
# held for 0.75 of the caller's patience. Holding it for up to 0.125 of its
# goal is free; the cost grows linearly in between.
_FULL_COST_SHARE = 0.75
_FREE_SHARE = 0.125
# Additional cost, as a share of the worth, of a request that is refused again
# when it is retried.
_VAIN_RETRY_SHARE = 0.3


@attrs.define
class Outcome:
    """What a caller observed of its request, over all attempts.

    Attributes:
        arrival: the request.
        first_event_seconds: time from the first attempt to the first event;
            None without an event.
        longest_pause_seconds: longest time between two events.
        complete: whether the whole answer arrived.
        refusals: number of attempts that were refused.
        held_seconds: total time that attempts spent at fronts.
        was_offered: whether any attempt was forwarded to an engine.
    """

    arrival: Arrival
    first_event_seconds: float | None = None
    longest_pause_seconds: float = 0.0
    complete: bool = False
    refusals: int = 0
    held_seconds: float = 0.0
    was_offered: bool = False

    @property
    def is_in_time(self) -> bool:
        """Whether the answer is complete and met both goals."""
        kind = self.arrival.kind
        return (
            self.complete
            and self.first_event_seconds is not None
            and self.first_event_seconds <= kind.goal
            and self.longest_pause_seconds <= kind.pause_goal
        )

    @property
    def worth(self) -> float:
        """The worth of the answer to the caller."""
        if not self.complete:
            return 0.0
        if self.is_in_time:
            return self.arrival.worth
        return self.arrival.late_worth

    @property
    def cost(self) -> float:
        """The cost to the caller of waiting or retrying without an answer."""
        if self.complete:
            return 0.0
        kind = self.arrival.kind
        cost = _VAIN_RETRY_SHARE if self.refusals > 1 else 0.0
        cost_from, full_cost_at = (
            _FREE_SHARE * kind.goal,
            _FULL_COST_SHARE * kind.patience,
        )
        if not self.was_offered and self.held_seconds > cost_from:
            cost += min(
                (self.held_seconds - cost_from) / (full_cost_at - cost_from),
                1.0,
            )
        return cost * self.arrival.worth
