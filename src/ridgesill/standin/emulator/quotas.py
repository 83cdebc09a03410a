"""Fronts and an owner that keep a rate over all fronts, emulated.

Messages take some time in each direction; what is offered follows a plan.
Nothing else of a fleet is here, so that hundreds of fronts play in seconds.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from ridgesill.core.fleet.rate_ledger import RateLedger, Tolerance
from ridgesill.core.fleet.use_reports import OutgoingReports, Sent, UseReport
from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.limits import make_quota
from ridgesill.core.serving.rates import RateState, RateUse

# Tokens of a request and how often it comes: short ones, and a few long ones.
_SIZES = ((650, 0.85), (200, 0.10), (9_200, 0.05))


_OWNER = "owner"
# From when on after an owner began it is judged, and how long it stands before
# the next one is lost, in seconds.
_SETTLED_SECONDS = 1.0
_BETWEEN_LOSSES_SECONDS = 4.0
# How often the fronts that are heard are counted, in seconds.
_HEARD_SECONDS = 0.05


class FrontPart(Protocol):
    """What decides at a front."""

    used_since: float

    def admit(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        """Returns whether a request may pass."""

    def collect_uses(self) -> dict[str, RateUse]:
        """Returns what there is to report."""

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
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
        owner_seconds: without an owner after each loss.
        owner_losses: how often one is lost, some seconds after it began.
        owner_forgets: whether each one begins without the last one's word.
        tolerance: of the limit.
        sizes: of requests, and the share of each.
        learns_offers: whether the limit begins under way, as an upstream's.
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
    owner_losses: int = 1
    owner_forgets: bool = False
    lowered_at: float = float("inf")
    lowered_to: float = 0.3
    tolerance: Tolerance = Tolerance(slack=110_000)
    sizes: tuple[tuple[int, float], ...] = _SIZES
    learns_offers: bool = False


# Over which what an upstream gets is judged, in seconds.
_LIMIT_WINDOW_SECONDS = 4.0


def make_limit_plan(fronts: int, limit: float, offered: float) -> Plan:
    """Returns a plan of requests to an upstream that has named a limit.

    Args:
        fronts: how many there are.
        limit: requests a second that it takes.
        offered: requests a second that could go there.
    """
    return Plan(
        fronts,
        make_quota(limit),
        usual=offered / limit,
        hot=1.0,
        tolerance=Tolerance(_LIMIT_WINDOW_SECONDS, 0.0, 0.0),
        sizes=((1, 1.0),),
        learns_offers=True,
    )


@attrs.frozen
class Play:
    """What came of it.

    Attributes:
        most_in_window: tokens let through within the busiest window.
        allowed_in_window: that the limit names for a window.
        refused_calm: share of tokens refused before the customer was hot.
        passed_hot: tokens let through while it was, as a share of its limit.
        reports: messages to the owner.
        passed_second_half: a second, of the second half of the plan.
        refused_owned: share of tokens refused while an owner had stood for a
            second.
    """

    most_in_window: float
    allowed_in_window: float
    refused_calm: float
    passed_hot: float
    reports: int
    passed_second_half: float = 0.0
    refused_owned: float = 0.0

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
        self.reports = OutgoingReports()
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
        self._ledger = self._make_ledger()
        self._told: dict[str, RateState] = {}
        self._told_at = float("-inf")
        self._is_owned = True
        self._owned_at = float("-inf")
        self._losses_left = plan.owner_losses
        self._owned_passed = 0
        self._owned_refused = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._passed: list[tuple[float, int]] = []
        self._refused: list[tuple[float, int]] = []
        self._reports = 0
        self._heard = plan.fronts
        self._heard_until = 0.0
        self._fronts = [
            _Front(
                lambda: make_part(self._rng),
                [s for s in plan.silences if n < s.share * plan.fronts],
            )
            for n in range(plan.fronts)
        ]

    def _make_ledger(self) -> RateLedger:
        made = RateLedger(
            self._plan.tolerance, learns_offers=self._plan.learns_offers
        )
        made.set_quotas({"c": self._quota})
        return made

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
        mean = sum(size * share for size, share in plan.sizes)
        rate = plan.usual * plan.quota.rate / mean
        if plan.hot_at <= now < plan.hot_until:
            rate *= plan.hot
        return now + self._rng.expovariate(rate)

    def _arrive(self, now: float) -> None:
        self._at(self._next_arrival(now), self._arrive)
        sizes, shares = zip(*self._plan.sizes, strict=True)
        tokens = int(self._rng.choices(sizes, shares)[0])
        front = self._rng.choice(self._fronts)
        if front.is_down(now) or not front.has_news:
            # One that has just started waits for news first.
            return
        passed = front.part.admit("c", self._quota, tokens, now)
        (self._passed if passed else self._refused).append((now, tokens))
        if self._is_owned and now >= self._owned_at + _SETTLED_SECONDS:
            self._owned_passed += tokens * passed
            self._owned_refused += tokens * (not passed)

    # -- the fleet -----------------------------------------------------

    def _reporter(self, front: _Front) -> Callable[[float], None]:
        def report(now: float) -> None:
            self._at(now + self._plan.spacing, report)
            if front.is_silent(now):
                return
            since = front.part.used_since
            front.reports.add(Sent(front.part.collect_uses(), {}, since))
            reports = front.reports.make_reports(_OWNER, now)
            self._reports += 1
            self._at(now + self._plan.way_seconds, self._hearer(front, reports))

        return report

    def _hearer(
        self, front: _Front, reports: tuple[UseReport, ...]
    ) -> Callable[[float], None]:
        def hear(now: float) -> None:
            if not self._is_owned:
                front.reports.handle_answer(_OWNER, reports, ())
                return
            numbers = [report.number for report in reports]
            front.reports.handle_answer(_OWNER, reports, numbers)
            self._ledger.record_fronts(self._count_heard(now), now)
            for report in reports:
                span = report.span + self._plan.way_seconds
                self._ledger.record_uses(report.uses, now, span)
            self._told = self._ledger.states(now)
            self._told_at = now
            self._at(now + self._plan.way_seconds, self._teller(front, now))

        return hear

    def _count_heard(self, now: float) -> int:
        if not self._plan.silences:
            return len(self._fronts)
        if now >= self._heard_until:
            # Silences begin and end far more seldom than fronts report.
            self._heard = sum(not f.is_silent(now) for f in self._fronts)
            self._heard_until = now + _HEARD_SECONDS
        return self._heard

    def _teller(self, front: _Front, told_at: float) -> Callable[[float], None]:
        states = dict(self._told)

        def tell(now: float) -> None:
            if not front.is_silent(now):
                front.part.apply_news(states, len(self._fronts), told_at)
                front.has_news = True

        return tell

    def _restart(self, now: float) -> None:
        for front in self._fronts:
            if front.is_down(now):
                front.part = front.make()
                front.reports = OutgoingReports()
                front.has_news = False

    def _lose_owner(self, now: float) -> None:
        self._is_owned = False
        self._at(now + self._plan.owner_seconds, self._gain_owner)

    def _gain_owner(self, now: float) -> None:
        self._is_owned = True
        self._owned_at = now
        self._ledger = self._make_ledger()
        if self._plan.owner_forgets:
            self._ledger.restore({}, float("-inf"), now)
        else:
            self._ledger.restore(self._told, self._told_at, now)
        self._losses_left -= 1
        if self._losses_left:
            self._at(now + _BETWEEN_LOSSES_SECONDS, self._lose_owner)

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
            _tokens(self._passed, plan.seconds / 2, plan.seconds)
            / (plan.seconds / 2),
            self._owned_refused
            / max(self._owned_refused + self._owned_passed, 1),
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
