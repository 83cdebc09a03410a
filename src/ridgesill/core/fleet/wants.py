"""Wants that wait for a place on an engine, and which of them goes first."""

import attrs

from ridgesill.core.fleet.messages import WantArtifact

# From the order to load until the first event of an answer, beside the reading
# of its prompt, in seconds: the load from the store takes 0.25 (the users'
# second letter), the rest is the way there and a step of the batch.
LOAD_SECONDS = 0.3
# The same for what the engine had lately, which loads ten times as fast.
RELOAD_SECONDS = 0.08
# What an answer that comes late is worth beside one in time; the sheets pay
# three tenths of the whole.
_LATE_WORTH = 0.3


@attrs.define(eq=False)
class Waiter:
    """One request that waits.

    Attributes:
        goal_at: when its first event is late.
        read_seconds: that its prompt takes to read.
        request: its id.
        tokens: of its prompt.
    """

    goal_at: float
    read_seconds: float = 0.05
    request: str = ""
    tokens: int = 0

    def can_meet_goal(self, now: float) -> bool:
        """Whether a load that begins now comes early enough."""
        seconds = LOAD_SECONDS + self.read_seconds
        return self.goal_at >= now + seconds


@attrs.define(eq=False)
class ArtifactWaiters:
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
    failed_loads: int = 0

    def value(self, now: float) -> float:
        """Returns what a load that begins now is worth, in requests."""
        return sum(
            1.0 if waiter.can_meet_goal(now) else _LATE_WORTH
            for waiter in self.waiters
        )

    def can_meet_goal(self, now: float) -> bool:
        """Whether a load that begins now comes early enough for any."""
        return any(waiter.can_meet_goal(now) for waiter in self.waiters)

    def earliest_goal(self, now: float) -> float:
        """Returns the earliest goal that can still be met, or infinity."""
        goals = (w.goal_at for w in self.waiters if w.can_meet_goal(now))
        return min(goals, default=float("inf"))


class WantQueue:
    """Wants without a place, by what they are worth.

    When there are too few places for all, serving in order of arrival makes
    every answer late. So those that can still be in time go first; those that
    are late take what is left. Among each, those go first that give the place
    back soon: an answer of 300 tokens holds one for 2 to 8 s, and a long prompt
    with a short answer waited behind them (emulated, four seeds: 0.565 to 0.596
    of the worth). Then the nearest goal.
    """

    def __init__(self) -> None:
        self._waiting: dict[tuple[str, str], ArtifactWaiters] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, waiting: ArtifactWaiters) -> bool:
        key = (waiting.want.service, waiting.want.artifact)
        return self._waiting.get(key) is waiting

    def add(self, waiting: ArtifactWaiters) -> None:
        """Takes what waits for a place."""
        want = waiting.want
        self._waiting[(want.service, want.artifact)] = waiting

    def discard(self, waiting: ArtifactWaiters) -> None:
        """Forgets what waits no more."""
        if waiting in self:
            del self._waiting[(waiting.want.service, waiting.want.artifact)]

    def ranked(self, now: float) -> list[ArtifactWaiters]:
        """Returns all, those that should get a place first at the start."""
        return sorted(
            self._waiting.values(),
            key=lambda waiting: (
                -waiting.value(now),
                waiting.want.answer_tokens,
                waiting.earliest_goal(now),
                waiting.asked_at,
            ),
        )
