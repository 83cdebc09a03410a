"""Wants that wait for a place on an engine, and which of them goes first."""

import attrs

from ridgesill.core.fleet.messages import WantArtifact

# From the order to load until the first event of an answer, in seconds: the
# load from the store takes 0.25 (the users' second letter), the rest is the
# reading of a prompt behind a few others.
_FIRST_EVENT_SECONDS = 0.35
# What an answer that comes late is worth beside one in time; the sheets pay
# three tenths of the whole.
_LATE_WORTH = 0.3


@attrs.define(eq=False)
class Waiter:
    """One request that waits.

    Attributes:
        goal_at: when its first event is late.
    """

    goal_at: float


@attrs.define(eq=False)
class Waiting:
    """All requests that wait for the same artifact.

    Attributes:
        want: of the first of them.
        avoid: engines that failed one of them.
        tries: engines that failed to load it.
    """

    want: WantArtifact
    asked_at: float
    waiters: list[Waiter] = attrs.Factory(list)
    avoid: set[str] = attrs.Factory(set)
    tries: int = 0

    def value(self, now: float) -> float:
        """Returns what a load that begins now is worth, in requests."""
        latest = now + _FIRST_EVENT_SECONDS
        return sum(
            1.0 if waiter.goal_at >= latest else _LATE_WORTH
            for waiter in self.waiters
        )

    def first_goal(self, now: float) -> float:
        """Returns the earliest goal that can still be met, or infinity."""
        latest = now + _FIRST_EVENT_SECONDS
        goals = (w.goal_at for w in self.waiters if w.goal_at >= latest)
        return min(goals, default=float("inf"))


class WantQueue:
    """Wants without a place, by what they are worth.

    When there are too few places for all, serving in order of arrival makes
    every answer late. So those that can still be in time go first, among them
    the one whose goal is nearest; those that are late take what is left.
    """

    def __init__(self) -> None:
        self._waiting: dict[tuple[str, str], Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, waiting: Waiting) -> bool:
        key = (waiting.want.service, waiting.want.artifact)
        return self._waiting.get(key) is waiting

    def add(self, waiting: Waiting) -> None:
        """Takes what waits for a place."""
        want = waiting.want
        self._waiting[(want.service, want.artifact)] = waiting

    def discard(self, waiting: Waiting) -> None:
        """Forgets what waits no more."""
        if waiting in self:
            del self._waiting[(waiting.want.service, waiting.want.artifact)]

    def ranked(self, now: float) -> list[Waiting]:
        """Returns all, those that should get a place first at the start."""
        return sorted(
            self._waiting.values(),
            key=lambda waiting: (
                -waiting.value(now),
                waiting.first_goal(now),
                waiting.asked_at,
            ),
        )
