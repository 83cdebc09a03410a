"""Fronts and an owner that keep customers within their limits, emulated.

Messages take some time in each direction; what a customer sends follows a plan.
Nothing else of a fleet is here, so that hundreds of fronts play in seconds.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from ridgesill.core.fleet.quota_ledger import QuotaLedger, Tolerance
from ridgesill.core.serving.customers import Customer, Quota
from ridgesill.core.serving.quotas import CustomerUse, QuotaState

# Tokens of a request and how often it comes: short ones, and a few long ones.
_SIZES = ((650, 0.85), (200, 0.10), (9_200, 0.05))


class FrontPart(Protocol):
    """What decides at a front."""

    def admit(self, customer: Customer, tokens: int, now: float) -> bool:
        """Returns whether a request may pass."""

    def take_uses(self) -> dict[str, CustomerUse]:
        """Returns what there is to report."""

    def put_back(self, uses: Mapping[str, CustomerUse]) -> None:
        """Takes back a report that nobody has heard."""

    def take_news(
        self, states: Mapping[str, QuotaState], fronts: int, told_at: float
    ) -> None:
        """Takes what the owner says."""


@attrs.frozen
class Silence:
    """A time in which some fronts neither report nor hear.

    Attributes:
        share: of the fronts, the first ones.
        restarts: whether they forget what they knew and serve nobody.
    """

    at: float
    seconds: float
    share: float
    restarts: bool = False


@attrs.frozen
class Plan:
    """What is played.

    Attributes:
        usual: share of its limit that the customer usually sends.
        hot: by how much more it sends from `hot_at` to `hot_until`.
        way_seconds: from a front to the owner, and back.
        spacing: seconds between a front's reports.
        lowered_at: when the limit falls to `lowered_to` of what it was.
        tolerance: of the limit.
    """

    fronts: int
    quota: Quota
    seconds: float = 30.0
    usual: float = 0.55
    hot: float = 7.5
    hot_at: float = 10.0
    hot_until: float = 17.0
    way_seconds: float = 0.12
    spacing: float = 0.2
    silences: tuple[Silence, ...] = ()
    owner_lost_at: float = float("inf")
    owner_seconds: float = 2.0
    lowered_at: float = float("inf")
    lowered_to: float = 0.3
    tolerance: Tolerance = Tolerance(slack=110_000)


@attrs.frozen
class Play:
    """What came of it.

    Attributes:
        most_in_window: tokens let through within the busiest window.
        allowed_in_window: that the limit names for a window.
        refused_calm: share of tokens refused before the customer was hot.
        passed_hot: tokens let through while it was, as a share of its limit.
        reports: messages to the owner.
    """

    most_in_window: float
    allowed_in_window: float
    refused_calm: float
    passed_hot: float
    reports: int

    @property
    def excess(self) -> float:
        """Tokens beyond the limit in the busiest window."""
        return self.most_in_window - self.allowed_in_window


class _Front:
    """A front, and its place among the silent ones."""

    def __init__(
        self, make: Callable[[], FrontPart], silent: list[Silence]
    ) -> None:
        self.make = make
        self.part = make()
        self.has_news = True
        self.silences = silent

    def is_silent(self, now: float) -> bool:
        """Whether nothing reaches it, or leaves it."""
        return any(s.at <= now < s.at + s.seconds for s in self.silences)

    def is_down(self, now: float) -> bool:
        """Whether it serves nobody."""
        return any(
            s.restarts and s.at <= now < s.at + s.seconds for s in self.silences
        )


class QuotaEmulation:
    """Plays a plan once.

    Args:
        plan: what is played.
        make_part: makes what decides at a front.
        seed: of all chances.
    """

    def __init__(
        self,
        plan: Plan,
        make_part: Callable[[random.Random], FrontPart],
        seed: int = 1,
    ) -> None:
        self._plan = plan
        self._rng = random.Random(seed)
        self._quota = plan.quota
        self._ledger = QuotaLedger(plan.tolerance)
        self._ledger.set_quotas({"c": plan.quota})
        self._told: dict[str, QuotaState] = {}
        self._told_at = float("-inf")
        self._is_owned = True
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._passed: list[tuple[float, int]] = []
        self._refused: list[tuple[float, int]] = []
        self._reports = 0
        self._fronts = [
            _Front(
                lambda: make_part(self._rng),
                [s for s in plan.silences if n < s.share * plan.fronts],
            )
            for n in range(plan.fronts)
        ]

    def play(self) -> Play:
        """Returns what came of the plan."""
        for front in self._fronts:
            at = self._rng.random() * self._plan.spacing
            self._at(at, self._reporter(front))
        self._at(self._next_arrival(0.0), self._arrive)
        self._at(self._plan.owner_lost_at, self._lose_owner)
        self._at(self._plan.lowered_at, self._lower)
        for silence in self._plan.silences:
            if silence.restarts:
                self._at(silence.at, self._restart)
        while self._events and self._events[0][0] < self._plan.seconds:
            now, _, act = heapq.heappop(self._events)
            act(now)
        return self._sum_up()

    def _at(self, at: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    # -- the customer --------------------------------------------------

    def _next_arrival(self, now: float) -> float:
        plan = self._plan
        mean = sum(size * share for size, share in _SIZES)
        rate = plan.usual * plan.quota.rate / mean
        if plan.hot_at <= now < plan.hot_until:
            rate *= plan.hot
        return now + self._rng.expovariate(rate)

    def _arrive(self, now: float) -> None:
        self._at(self._next_arrival(now), self._arrive)
        sizes, shares = zip(*_SIZES, strict=True)
        tokens = int(self._rng.choices(sizes, shares)[0])
        front = self._rng.choice(self._fronts)
        if front.is_down(now) or not front.has_news:
            # One that has just started waits for news first.
            return
        customer = Customer("c", None, self._quota)
        passed = front.part.admit(customer, tokens, now)
        (self._passed if passed else self._refused).append((now, tokens))

    # -- the fleet -----------------------------------------------------

    def _reporter(self, front: _Front) -> Callable[[float], None]:
        def report(now: float) -> None:
            self._at(now + self._plan.spacing, report)
            if front.is_silent(now):
                return
            uses = front.part.take_uses()
            self._reports += 1
            self._at(now + self._plan.way_seconds, self._hearer(front, uses))

        return report

    def _hearer(
        self, front: _Front, uses: dict[str, CustomerUse]
    ) -> Callable[[float], None]:
        def hear(now: float) -> None:
            if not self._is_owned:
                front.part.put_back(uses)
                return
            self._ledger.note_fronts(self._count_heard(now), now)
            self._ledger.note(uses, now)
            self._told = self._ledger.states(now)
            self._told_at = now
            self._at(now + self._plan.way_seconds, self._teller(front, now))

        return hear

    def _count_heard(self, now: float) -> int:
        if not self._plan.silences:
            return len(self._fronts)
        return sum(not front.is_silent(now) for front in self._fronts)

    def _teller(self, front: _Front, told_at: float) -> Callable[[float], None]:
        states = dict(self._told)

        def tell(now: float) -> None:
            if not front.is_silent(now):
                front.part.take_news(states, len(self._fronts), told_at)
                front.has_news = True

        return tell

    def _restart(self, now: float) -> None:
        for front in self._fronts:
            if front.is_down(now):
                front.part = front.make()
                front.has_news = False

    def _lose_owner(self, now: float) -> None:
        self._is_owned = False
        self._at(now + self._plan.owner_seconds, self._gain_owner)

    def _gain_owner(self, now: float) -> None:
        self._is_owned = True
        self._ledger = QuotaLedger(self._plan.tolerance)
        self._ledger.set_quotas({"c": self._quota})
        self._ledger.begin(self._told, self._told_at, now)

    def _lower(self, now: float) -> None:
        rate = self._quota.rate * self._plan.lowered_to
        burst = self._quota.burst * self._plan.lowered_to
        self._quota = attrs.evolve(self._quota, rate=rate, burst=burst)
        self._ledger.set_quotas({"c": self._quota})

    # -- figures -------------------------------------------------------

    def _sum_up(self) -> Play:
        plan = self._plan
        hot = (plan.hot_at, plan.hot_until)
        calm_refused = _tokens(self._refused, 0.0, plan.hot_at)
        calm_passed = _tokens(self._passed, 0.0, plan.hot_at)
        passed_hot = _tokens(self._passed, *hot)
        return Play(
            self._most(),
            plan.tolerance.allowed(self._quota),
            calm_refused / max(calm_refused + calm_passed, 1),
            passed_hot / (plan.quota.rate * (hot[1] - hot[0])),
            self._reports,
        )

    def _most(self) -> int:
        """Returns the most tokens that passed within a window.

        A lower limit binds one window after it came.
        """
        seconds = self._plan.tolerance.window
        since = 0.0
        if self._plan.lowered_at < self._plan.seconds:
            since = self._plan.lowered_at + seconds
        window: collections.deque[tuple[float, int]] = collections.deque()
        held = most = 0
        for at, tokens in self._passed:
            if at < since:
                continue
            window.append((at, tokens))
            held += tokens
            while window[0][0] < at - seconds:
                held -= window.popleft()[1]
            most = max(most, held)
        return most


def _tokens(passed: list[tuple[float, int]], begin: float, end: float) -> int:
    return sum(tokens for at, tokens in passed if begin <= at < end)
