"""An event-driven emulation of a rate limit shared by all fronts.

The real limiters of the fronts and the real ledger of the owner exchange
messages with a fixed delay, while the offered load follows a plan. Nothing
else of a fleet is emulated, so that hundreds of fronts take only seconds.
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

# Tokens of a request and the share of requests with that size: mostly short
# ones and a few long ones.
_REQUEST_SIZES = ((650, 0.85), (200, 0.10), (9_200, 0.05))


_OWNER_ADDRESS = "owner"
# Refusals count towards `refused_share_with_owner` only from this time after
# an owner has started.
_SETTLED_SECONDS = 1.0
# How long each further owner stands before it is lost.
_BETWEEN_LOSSES_SECONDS = 4.0
# For how long a count of the reachable fronts is reused.
_REACHABLE_COUNT_SECONDS = 0.05


class FrontLimiter(Protocol):
    """The rate limiter of a front.

    Attributes:
        used_since: start of the period that the next report covers.
    """

    used_since: float

    def admit(self, name: str, quota: Quota, cost: int, now: float) -> bool:
        """Returns whether a request of `cost` tokens may pass."""

    def collect_uses(self) -> dict[str, RateUse]:
        """Returns the use to report, by name of the customer."""

    def apply_news(
        self, states: Mapping[str, RateState], fronts: int, told_at: float
    ) -> None:
        """Applies the states that the owner sent.

        Args:
            states: states of the limits, by name of the customer.
            fronts: number of fronts that share the limits.
            told_at: when the owner computed the states.
        """


@attrs.frozen
class FrontOutage:
    """A period in which some fronts and the owner can't reach each other.

    Attributes:
        at: start, in seconds.
        seconds: duration.
        share: share of the fronts; the first ones are affected.
        loses_state: whether the fronts also restart: they serve nothing
            during the outage and start without any state afterwards.
    """

    at: float
    seconds: float
    share: float
    loses_state: bool = False


@attrs.frozen
class QuotaPlan:
    """The load and the faults to emulate.

    Attributes:
        fronts: number of fronts.
        quota: limit of the customer.
        seconds: duration of the emulation.
        usual_share: share of its limit that the customer sends outside the
            overload.
        hot_factor: factor on that load from `hot_at` to `hot_until`, in
            seconds.
        one_way_seconds: message delay between a front and the owner.
        report_interval_seconds: time between two reports of a front.
        outages: periods in which fronts can't be reached.
        owner_lost_at: when the first owner is lost, in seconds.
        ownerless_seconds: time without an owner after each loss.
        owner_losses: number of losses; each further one comes some seconds
            after its owner started.
        owner_starts_empty: whether a new owner starts without the states
            that its predecessor sent last.
        lowered_at: when the limit falls to `lowered_share` of its value.
        tolerance: tolerance of the limit.
        sizes: pairs of tokens in a request and share of requests.
        learns_offers: whether the ledger has to learn the offered load, as
            for an upstream's limit that becomes known under load.
    """

    fronts: int
    quota: Quota
    seconds: float = 30.0
    usual_share: float = 0.55
    hot_factor: float = 7.5
    hot_at: float = 10.0
    hot_until: float = 17.0
    one_way_seconds: float = 0.12
    report_interval_seconds: float = 0.2
    outages: tuple[FrontOutage, ...] = ()
    owner_lost_at: float = float("inf")
    ownerless_seconds: float = 2.0
    owner_losses: int = 1
    owner_starts_empty: bool = False
    lowered_at: float = float("inf")
    lowered_share: float = 0.3
    tolerance: Tolerance = Tolerance(slack=110_000)
    sizes: tuple[tuple[int, float], ...] = _REQUEST_SIZES
    learns_offers: bool = False


# Window over which the requests to an upstream are compared with its limit.
_LIMIT_WINDOW_SECONDS = 4.0


def make_limit_plan(fronts: int, limit: float, offered: float) -> QuotaPlan:
    """Returns a plan of requests to an upstream with a limit of its own.

    Args:
        fronts: number of fronts.
        limit: requests per second that the upstream accepts.
        offered: requests per second that the fronts have for it.
    """
    return QuotaPlan(
        fronts,
        make_quota(limit),
        usual_share=offered / limit,
        hot_factor=1.0,
        tolerance=Tolerance(_LIMIT_WINDOW_SECONDS, 0.0, 0.0),
        sizes=((1, 1.0),),
        learns_offers=True,
    )


@attrs.frozen
class QuotaFigures:
    """The figures of an emulated plan.

    Attributes:
        peak_window_tokens: tokens admitted within the busiest window.
        allowed_window_tokens: tokens that the limit allows in a window.
        refused_share_before_hot: share of tokens refused before the overload.
        hot_passed_share: tokens admitted during the overload, as a share of
            the limit.
        reports: number of reports that fronts sent to the owner.
        second_half_tokens_per_second: rate of admitted tokens in the second
            half of the plan.
        refused_share_with_owner: share of tokens refused while an owner had
            stood for at least a second.
    """

    peak_window_tokens: float
    allowed_window_tokens: float
    refused_share_before_hot: float
    hot_passed_share: float
    reports: int
    second_half_tokens_per_second: float = 0.0
    refused_share_with_owner: float = 0.0

    @property
    def excess_tokens(self) -> float:
        """Tokens admitted beyond the limit in the busiest window."""
        return self.peak_window_tokens - self.allowed_window_tokens


class _EmulatedFront:
    """A front with its limiter, its reports and its outages.

    Args:
        make_limiter: makes the limiter, at the start and after a restart.
        outages: outages that affect this front.

    Attributes:
        has_news: whether the owner's states have arrived since the start; a
            front that restarts serves nothing before.
    """

    def __init__(
        self,
        make_limiter: Callable[[], FrontLimiter],
        outages: list[FrontOutage],
    ) -> None:
        self.make_limiter = make_limiter
        self.limiter = make_limiter()
        self.reports = OutgoingReports()
        self.has_news = True
        self.outages = outages

    def is_unreachable(self, now: float) -> bool:
        """Returns whether no message reaches or leaves the front."""
        return any(s.at <= now < s.at + s.seconds for s in self.outages)

    def is_down(self, now: float) -> bool:
        """Returns whether the front is restarting and serves nothing."""
        return any(
            s.loses_state and s.at <= now < s.at + s.seconds
            for s in self.outages
        )


class QuotaEmulation:
    """Emulates a plan; for a single run.

    Args:
        plan: load and faults.
        make_limiter: makes the limiter of a front.
        seed: seed of all random draws.
    """

    def __init__(
        self,
        plan: QuotaPlan,
        make_limiter: Callable[[random.Random], FrontLimiter],
        seed: int = 1,
    ) -> None:
        self._plan = plan
        self._rng = random.Random(seed)
        self._quota = plan.quota
        self._ledger = self._make_ledger()
        self._latest_states: dict[str, RateState] = {}
        self._latest_states_at = float("-inf")
        self._is_owned = True
        self._owned_since = float("-inf")
        self._losses_left = plan.owner_losses
        self._settled_passed = 0
        self._settled_refused = 0
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._passed: list[tuple[float, int]] = []
        self._refused: list[tuple[float, int]] = []
        self._reports = 0
        self._reachable_count = plan.fronts
        self._reachable_count_until = 0.0
        self._fronts = [
            _EmulatedFront(
                lambda: make_limiter(self._rng),
                [s for s in plan.outages if n < s.share * plan.fronts],
            )
            for n in range(plan.fronts)
        ]

    def _make_ledger(self) -> RateLedger:
        ledger = RateLedger(
            self._plan.tolerance, learns_offers=self._plan.learns_offers
        )
        ledger.set_quotas({"c": self._quota})
        return ledger

    def run(self) -> QuotaFigures:
        """Runs the plan to its end and returns its figures."""
        for front in self._fronts:
            at = self._rng.random() * self._plan.report_interval_seconds
            self._schedule(at, self._make_report_event(front))
        self._schedule(self._next_arrival(0.0), self._offer_request)
        self._schedule(self._plan.owner_lost_at, self._lose_owner)
        self._schedule(self._plan.lowered_at, self._lower_limit)
        for outage in self._plan.outages:
            if outage.loses_state:
                self._schedule(outage.at, self._restart_fronts)
        while self._events and self._events[0][0] < self._plan.seconds:
            now, _, callback = heapq.heappop(self._events)
            callback(now)
        return self._compute_figures()

    def _schedule(self, at: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), callback))

    # -- the customer --------------------------------------------------

    def _next_arrival(self, now: float) -> float:
        plan = self._plan
        mean = sum(size * share for size, share in plan.sizes)
        rate = plan.usual_share * plan.quota.rate / mean
        if plan.hot_at <= now < plan.hot_until:
            rate *= plan.hot_factor
        return now + self._rng.expovariate(rate)

    def _offer_request(self, now: float) -> None:
        self._schedule(self._next_arrival(now), self._offer_request)
        sizes, shares = zip(*self._plan.sizes, strict=True)
        tokens = int(self._rng.choices(sizes, shares)[0])
        front = self._rng.choice(self._fronts)
        if front.is_down(now) or not front.has_news:
            # A front that has just started serves nothing before it has
            # received the owner's states.
            return
        passed = front.limiter.admit("c", self._quota, tokens, now)
        (self._passed if passed else self._refused).append((now, tokens))
        if self._is_owned and now >= self._owned_since + _SETTLED_SECONDS:
            self._settled_passed += tokens * passed
            self._settled_refused += tokens * (not passed)

    # -- the fleet -----------------------------------------------------

    def _make_report_event(
        self, front: _EmulatedFront
    ) -> Callable[[float], None]:
        def report(now: float) -> None:
            self._schedule(now + self._plan.report_interval_seconds, report)
            if front.is_unreachable(now):
                return
            since = front.limiter.used_since
            front.reports.add(Sent(front.limiter.collect_uses(), {}, since))
            reports = front.reports.make_reports(_OWNER_ADDRESS, now)
            self._reports += 1
            self._schedule(
                now + self._plan.one_way_seconds,
                self._make_receive_event(front, reports),
            )

        return report

    def _make_receive_event(
        self, front: _EmulatedFront, reports: tuple[UseReport, ...]
    ) -> Callable[[float], None]:
        def receive(now: float) -> None:
            if not self._is_owned:
                front.reports.handle_answer(_OWNER_ADDRESS, reports, ())
                return
            numbers = [report.number for report in reports]
            front.reports.handle_answer(_OWNER_ADDRESS, reports, numbers)
            self._ledger.record_fronts(self._count_reachable(now), now)
            for report in reports:
                span = report.span + self._plan.one_way_seconds
                self._ledger.record_uses(report.uses, now, span)
            self._latest_states = self._ledger.states(now)
            self._latest_states_at = now
            self._schedule(
                now + self._plan.one_way_seconds,
                self._make_news_event(front, now),
            )

        return receive

    def _count_reachable(self, now: float) -> int:
        if not self._plan.outages:
            return len(self._fronts)
        if now >= self._reachable_count_until:
            # Counting is slow with hundreds of fronts, and outages start and
            # end far less often than fronts report.
            self._reachable_count = sum(
                not f.is_unreachable(now) for f in self._fronts
            )
            self._reachable_count_until = now + _REACHABLE_COUNT_SECONDS
        return self._reachable_count

    def _make_news_event(
        self, front: _EmulatedFront, states_at: float
    ) -> Callable[[float], None]:
        states = dict(self._latest_states)

        def deliver_news(now: float) -> None:
            if not front.is_unreachable(now):
                front.limiter.apply_news(states, len(self._fronts), states_at)
                front.has_news = True

        return deliver_news

    def _restart_fronts(self, now: float) -> None:
        for front in self._fronts:
            if front.is_down(now):
                front.limiter = front.make_limiter()
                front.reports = OutgoingReports()
                front.has_news = False

    def _lose_owner(self, now: float) -> None:
        self._is_owned = False
        self._schedule(now + self._plan.ownerless_seconds, self._start_owner)

    def _start_owner(self, now: float) -> None:
        self._is_owned = True
        self._owned_since = now
        self._ledger = self._make_ledger()
        if self._plan.owner_starts_empty:
            self._ledger.restore({}, float("-inf"), now)
        else:
            self._ledger.restore(
                self._latest_states, self._latest_states_at, now
            )
        self._losses_left -= 1
        if self._losses_left:
            self._schedule(now + _BETWEEN_LOSSES_SECONDS, self._lose_owner)

    def _lower_limit(self, now: float) -> None:
        rate = self._quota.rate * self._plan.lowered_share
        burst = self._quota.burst * self._plan.lowered_share
        self._quota = attrs.evolve(self._quota, rate=rate, burst=burst)
        self._ledger.set_quotas({"c": self._quota})

    # -- figures -------------------------------------------------------

    def _compute_figures(self) -> QuotaFigures:
        plan = self._plan
        hot_period = (plan.hot_at, plan.hot_until)
        calm_refused = _sum_tokens(self._refused, 0.0, plan.hot_at)
        calm_passed = _sum_tokens(self._passed, 0.0, plan.hot_at)
        hot_passed = _sum_tokens(self._passed, *hot_period)
        return QuotaFigures(
            self._peak_window_tokens(),
            plan.tolerance.allowed(self._quota),
            calm_refused / max(calm_refused + calm_passed, 1),
            hot_passed / (plan.quota.rate * (hot_period[1] - hot_period[0])),
            self._reports,
            _sum_tokens(self._passed, plan.seconds / 2, plan.seconds)
            / (plan.seconds / 2),
            self._settled_refused
            / max(self._settled_refused + self._settled_passed, 1),
        )

    def _peak_window_tokens(self) -> int:
        """Returns the most tokens that were admitted within a window.

        After the limit is lowered, counts only windows that start afterwards.
        """
        seconds = self._plan.tolerance.window
        since = 0.0
        if self._plan.lowered_at < self._plan.seconds:
            since = self._plan.lowered_at + seconds
        window: collections.deque[tuple[float, int]] = collections.deque()
        window_tokens = peak = 0
        for at, tokens in self._passed:
            if at < since:
                continue
            window.append((at, tokens))
            window_tokens += tokens
            while window[0][0] < at - seconds:
                window_tokens -= window.popleft()[1]
            peak = max(peak, window_tokens)
        return peak


def _sum_tokens(
    passed: list[tuple[float, int]], begin: float, end: float
) -> int:
    return sum(tokens for at, tokens in passed if begin <= at < end)
