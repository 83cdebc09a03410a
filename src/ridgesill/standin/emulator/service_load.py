"""An event-driven emulation of a plain service that all fronts share.

The real decisions of fronts (admission, choice of the upstream, recognition of
callers that return) and of the owner (overload control, registry) exchange
reports and news with delays. Upstreams, callers and faults are emulated.
Nothing else of a fleet is, so that hundreds of fronts take only seconds.
"""

import heapq
import itertools
import random
import time
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

import attrs

from ridgesill.core.fleet.messages import (
    FleetNews,
    Heartbeat,
    ServiceNews,
    Upstream,
    WatchFleet,
)
from ridgesill.core.fleet.registry import FleetView, Registry
from ridgesill.core.fleet.use_reports import OutgoingReports, Sent, UseReport
from ridgesill.core.serving.choice import Chooser, Requirements
from ridgesill.core.serving.load_reports import RequestClass, UpstreamCalls
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.core.serving.returning_callers import ReturningCallers
from ridgesill.standin.emulator.plain_upstreams import (
    ANSWERED,
    FAILED,
    LOST,
    REJECTED,
    PlainUpstream,
)
from ridgesill.standin.emulator.service_plan import Call, ServicePlan

SERVICE = "orders"
_DATA_CENTRE = "d"
_OWNER_ADDRESS = "owner"
_REPORT_SECONDS = 0.1
_TICK_SECONDS = 0.1
_HEARTBEAT_SECONDS = 0.25
# Time without a heartbeat after which the owner removes an upstream.
_HEARTBEAT_PATIENCE_SECONDS = 1.0
# Time without a question after which a front doesn't count as reporting.
_REPORTING_SECONDS = 1.0
# One-way time between processes, in seconds.
_NETWORK_SECONDS = 0.0014
# Upstreams that a request is sent to at most.
_MAX_ATTEMPTS = 3
# A client waits for this share of its remaining time at most before it returns.
_MAX_WAIT_SHARE = 1 / 3
# How soon a caller that ignores `Retry-After` retries, in seconds.
_RETRY_AT_ONCE_SECONDS = 0.02
# Exponent by which customers differ in size; the largest of 16 sends a seventh.
_SIZE_EXPONENT = 0.6


class FrontControl(Protocol):
    """Decides which requests a front admits."""

    def apply_news(self, view: FleetView) -> None:
        """Applies the owner's news."""

    def has_time(self, service: str, seconds_left: float, now: float) -> bool:
        """Returns whether an answer can arrive in the remaining time."""

    def admit(self, request_class: RequestClass, now: float) -> bool:
        """Returns whether to admit a request."""

    def retry_after(
        self, request_class: RequestClass, seconds_left: float, now: float
    ) -> float:
        """Returns the seconds after which a refused caller should return."""

    def record_answer(
        self, service: str, upstream: str, seconds: float, now: float
    ) -> None:
        """Records a complete answer."""

    def record_calls(self, upstream: str, calls: UpstreamCalls) -> None:
        """Records rejections and failures."""

    def record_end(self, request_class: RequestClass) -> None:
        """Records that an admitted request is no longer in progress."""

    def collect(self) -> Sent:
        """Returns what to report to the owner."""


class LoadState(Protocol):
    """What the owner sets of an upstream."""

    @property
    def pace(self) -> float:
        """See `Upstream.pace`."""

    @property
    def is_ejected(self) -> bool:
        """See `Upstream.is_ejected`."""


class OwnerControl(Protocol):
    """Decides for all fronts what they may admit."""

    def record(self, sent: Sent, span: float, now: float) -> object:
        """Counts a report."""

    def update(
        self,
        upstreams: Collection[Upstream],
        busy: Mapping[str, int],
        fronts: int,
        now: float,
    ) -> None:
        """Updates the decisions."""

    def make_news(self, now: float) -> dict[str, ServiceNews]:
        """Returns what fronts are told."""

    def load_states(self) -> Mapping[str, LoadState]:
        """Returns what is set of each upstream."""


class _EmulatedFront:
    """The state of one front; replaced when it restarts."""

    def __init__(
        self, control: FrontControl, rng: random.Random, epoch: int
    ) -> None:
        self.control = control
        self.view = FleetView(epoch)
        self.chooser = Chooser(_DATA_CENTRE, self.view, Outcomes(), rng)
        self.callers = ReturningCallers()
        self.reports = OutgoingReports()
        self.reported_at = 0.0
        self.news_at = 0.0

    def make_reports(self, now: float) -> tuple[UseReport, ...]:
        """Returns the reports to send to the owner now."""
        sent = self.control.collect()
        since = min(sent.since, self.reported_at)
        self.reported_at = now
        self.reports.add(attrs.evolve(sent, since=since))
        return self.reports.make_reports(_OWNER_ADDRESS, now)


class ServiceEmulation:
    """Emulates a plan; for a single run.

    Args:
        plan: load and faults.
        make_control: makes the control of a front.
        make_owner: makes the owner's control at a time; None if fronts decide
            alone.
        seed: seed of all random draws.

    Attributes:
        calls: all calls, in order.
        sent_to: times at which requests were sent to each upstream.
        failed_at: times at which an upstream failed a request, by upstream.
        owner_seconds: processor time of the owner's updates.
        admissions: number of decisions at fronts.
        admission_seconds: processor time of these.
    """

    def __init__(
        self,
        plan: ServicePlan,
        make_control: Callable[[random.Random], FrontControl],
        make_owner: Callable[[float], OwnerControl] | None,
        seed: int = 1,
    ) -> None:
        self._plan = plan
        self._make_control = make_control
        self._make_owner = make_owner
        self._rng = random.Random(seed)
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._upstreams = [
            self._make_upstream(n) for n in range(plan.upstreams)
        ]
        self._by_name = {u.name: u for u in self._upstreams}
        self._is_owned = True
        self._registry = Registry(1, _HEARTBEAT_PATIENCE_SECONDS)
        self._owner = make_owner(float("-inf")) if make_owner else None
        self._services: dict[str, ServiceNews] = {}
        # Requests in progress and time of the latest question, by front.
        self._busy: dict[int, dict[str, dict[str, int]]] = {}
        self._asked_at: dict[int, float] = {}
        # Sums over all fronts, as of the latest tick.
        self._busy_sums: dict[str, int] = {}
        self._reporting = 0
        self._fronts = [self._make_front() for _ in range(plan.fronts)]
        self._sizes = [
            (n + 1) ** -_SIZE_EXPONENT for n in range(max(plan.customers, 1))
        ]
        self.calls: list[Call] = []
        self.sent_to: dict[str, list[float]] = {}
        self.failed_at: dict[str, list[float]] = {}
        self.owner_seconds = 0.0
        self.admissions = 0
        self.admission_seconds = 0.0

    def _make_upstream(self, number: int) -> PlainUpstream:
        plan = self._plan
        return PlainUpstream(
            f"u{number}",
            plan.slots,
            plan.queue,
            plan.service_seconds,
            tuple(f for f in plan.faults if f.upstream == number),
            self._rng,
            self._schedule,
        )

    def _make_front(self) -> _EmulatedFront:
        return _EmulatedFront(self._make_control(self._rng), self._rng, 0)

    def _schedule(self, at: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), callback))

    def run(self) -> "ServiceEmulation":
        """Runs the plan to its end."""
        plan = self._plan
        self._beat(0.0)
        for number in range(plan.fronts):
            at = self._rng.random() * _REPORT_SECONDS
            self._schedule(at, self._make_report_event(number))
        self._schedule(0.0, self._tick)
        self._schedule(0.5, self._offer)
        self._schedule(plan.restarted_at, self._restart_fronts)
        for at in plan.owner_lost_at:
            self._schedule(at, self._lose_owner)
        for upstream in self._upstreams:
            for fault in upstream.faults:
                if fault.kind == LOST:
                    self._schedule(fault.at, upstream.fail_all)
        ends_at = plan.seconds + max(r.patience for r in plan.routes)
        while self._events and self._events[0][0] < ends_at:
            now, _, callback = heapq.heappop(self._events)
            callback(now)
        return self

    # -- callers -------------------------------------------------------

    def _offer(self, now: float) -> None:
        plan = self._plan
        loads = [
            size * plan.find_load(number, now)
            for number, size in enumerate(self._sizes)
        ]
        rate = plan.offered * plan.find_load(None, now)
        rate *= sum(loads) / sum(self._sizes)
        following = now + self._rng.expovariate(rate)
        if following < plan.seconds:
            self._schedule(following, self._offer)
        customer = self._rng.choices(range(len(loads)), loads)[0]
        call = Call(
            self._rng.choice(plan.routes),
            customer,
            now,
            self._rng.random() < plan.at_once_share,
        )
        self.calls.append(call)
        self._send(call, now)

    def _send(self, call: Call, now: float) -> None:
        """Sends an attempt of a call to a front."""
        call.sent_at = now
        call.tries = []
        front = self._rng.choice(self._fronts)
        seconds_left = round(call.at + call.route.patience - now, 3)
        is_return = front.callers.record(call.route.name, seconds_left, now)
        name = f"c{call.customer}" if self._plan.customers else ""
        request_class = RequestClass(SERVICE, 0, name, is_return)
        began_at = time.process_time()
        is_admitted = front.control.has_time(
            SERVICE, seconds_left, now
        ) and front.control.admit(request_class, now)
        self.admission_seconds += time.process_time() - began_at
        self.admissions += 1
        if is_admitted:
            self._forward(call, front, request_class, now)
        else:
            self._refuse(call, front, request_class, now)

    def _refuse(
        self,
        call: Call,
        front: _EmulatedFront,
        request_class: RequestClass,
        now: float,
    ) -> None:
        """Refuses a call; its client returns once."""
        seconds_left = call.at + call.route.patience - now
        told = front.control.retry_after(request_class, seconds_left, now)
        latest = seconds_left * _MAX_WAIT_SHARE
        news = front.view.services.get(SERVICE, ServiceNews())
        call.refusals += 1
        call.refusal_seconds = max(call.refusal_seconds, now - call.sent_at)
        if call.has_returned:
            return
        call.has_returned = True
        call.had_room = news.returns_in <= latest
        wait = min(told, latest)
        if call.ignores_delay:
            wait = _RETRY_AT_ONCE_SECONDS
        self._schedule(now + wait, lambda at: self._send(call, at))

    # -- fronts --------------------------------------------------------

    def _forward(
        self,
        call: Call,
        front: _EmulatedFront,
        request_class: RequestClass,
        now: float,
    ) -> None:
        """Sends a call to an upstream, or refuses it if none is left."""
        upstream = None
        if len(call.tries) < _MAX_ATTEMPTS:
            upstream = front.chooser.choose(
                Requirements(SERVICE),
                call.tries,
                now,
                is_repeatable=call.route.is_repeatable,
            )
        if upstream is None:
            front.control.record_end(request_class)
            self._refuse(call, front, request_class, now)
            return
        name = upstream.name
        call.tries.append(name)
        front.chooser.record_start(name, "")
        front.chooser.outcomes.record_sent(name, now)
        self.sent_to.setdefault(name, []).append(now)

        def handle_outcome(outcome: str, at: float) -> None:
            self._handle_outcome(call, front, request_class, outcome, now, at)

        def respond(outcome: str, at: float) -> None:
            self._schedule(
                at + _NETWORK_SECONDS,
                lambda later: handle_outcome(outcome, later),
            )

        handle = self._by_name[name].handle
        self._schedule(
            now + _NETWORK_SECONDS, lambda later: handle(respond, later)
        )

    def _handle_outcome(
        self,
        call: Call,
        front: _EmulatedFront,
        request_class: RequestClass,
        outcome: str,
        sent_at: float,
        now: float,
    ) -> None:
        if front not in self._fronts:
            # It has been restarted; the client's connection is lost.
            return
        name = call.tries[-1]
        front.chooser.record_end(name, "")
        front.chooser.outcomes.record_end(name)
        if outcome == ANSWERED:
            front.chooser.outcomes.record_success(name, now)
            front.control.record_answer(SERVICE, name, now - sent_at, now)
            front.control.record_end(request_class)
            call.answered_at = now
        elif outcome == REJECTED:
            front.control.record_calls(name, UpstreamCalls(rejected=1))
            self._forward(call, front, request_class, now)
        elif outcome == FAILED:
            self.failed_at.setdefault(name, []).append(now)
            front.chooser.outcomes.record_failure(name, now)
            front.control.record_calls(name, UpstreamCalls(failed=1))
            if call.route.is_repeatable:
                self._forward(call, front, request_class, now)
            else:
                front.control.record_end(request_class)

    def _restart_fronts(self, now: float) -> None:
        self._fronts = [self._make_front() for _ in self._fronts]
        for front in self._fronts:
            front.reported_at = front.news_at = now
        self._busy.clear()

    # -- reports and news ----------------------------------------------

    def _make_report_event(self, number: int) -> Callable[[float], None]:
        def report(now: float) -> None:
            self._schedule(now + _REPORT_SECONDS, report)
            front = self._fronts[number]
            reports = front.make_reports(now)
            busy = front.chooser.report_busy()
            self._schedule(
                now + _NETWORK_SECONDS,
                lambda at: self._receive(number, front, reports, busy, at),
            )

        return report

    def _receive(
        self,
        number: int,
        front: _EmulatedFront,
        reports: tuple[UseReport, ...],
        busy: dict[str, dict[str, int]],
        now: float,
    ) -> None:
        """Handles a front's question at the owner."""
        if not self._is_owned:
            front.reports.handle_answer(_OWNER_ADDRESS, reports, ())
            return
        taken = [report.number for report in reports]
        front.reports.handle_answer(_OWNER_ADDRESS, reports, taken)
        self._busy[number] = busy
        self._asked_at[number] = now
        self._record_reports(reports, now)
        if self._rng.random() < self._plan.news_lost_share:
            return
        news = self._make_news(front, now)
        arrives_at = now + self._rng.uniform(*self._plan.news_seconds)
        front.news_at = max(arrives_at, front.news_at)
        self._schedule(
            front.news_at, lambda at: self._apply_news(front, news, at)
        )

    def _record_reports(
        self, reports: tuple[UseReport, ...], now: float
    ) -> None:
        if self._owner is None:
            return
        began_at = time.process_time()
        for report in reports:
            sent = Sent(offers=report.offers, calls=report.calls)
            self._owner.record(sent, report.span + _NETWORK_SECONDS, now)
        self.owner_seconds += time.process_time() - began_at

    def _make_news(self, front: _EmulatedFront, now: float) -> FleetNews:
        question = WatchFleet(front.view.epoch, front.view.number, 0.0)
        news = self._registry.make_news(
            question, self._reporting, self._busy_sums, now
        )
        return attrs.evolve(news, services=self._services)

    @staticmethod
    def _apply_news(front: _EmulatedFront, news: FleetNews, now: float) -> None:
        front.view.apply_news(news, now)
        front.chooser.update_means(now)
        front.control.apply_news(front.view)

    # -- owner ---------------------------------------------------------

    def _sum_up_fronts(self, now: float) -> None:
        oldest = now - _REPORTING_SECONDS
        self._reporting = sum(at >= oldest for at in self._asked_at.values())
        sums = dict.fromkeys(self._by_name, 0)
        for busy in self._busy.values():
            for name, by_artifact in busy.items():
                sums[name] += sum(by_artifact.values())
        self._busy_sums = sums

    def _tick(self, now: float) -> None:
        self._schedule(now + _TICK_SECONDS, self._tick)
        if not self._is_owned:
            return
        self._registry.expire(now)
        self._sum_up_fronts(now)
        if self._owner is None:
            return
        began_at = time.process_time()
        upstreams = list(self._registry.upstreams.values())
        self._owner.update(upstreams, self._busy_sums, self._reporting, now)
        for name, state in self._owner.load_states().items():
            self._registry.set_load_state(name, state.pace, state.is_ejected)
        self._services = self._owner.make_news(now)
        self.owner_seconds += time.process_time() - began_at

    def _beat(self, now: float) -> None:
        self._schedule(now + _HEARTBEAT_SECONDS, self._beat)
        sequence = round(now / _HEARTBEAT_SECONDS)
        for number, upstream in enumerate(self._upstreams):
            if self._is_owned and not upstream.has_fault(LOST, now):
                heartbeat = Heartbeat(
                    upstream.name,
                    SERVICE,
                    f"localhost:{number}",
                    _DATA_CENTRE,
                    upstream.slots,
                    False,
                    sequence,
                )
                self._registry.handle_heartbeat(heartbeat, now)

    def _lose_owner(self, now: float) -> None:
        self._is_owned = False
        self._schedule(now + self._plan.ownerless_seconds, self._start_owner)

    def _start_owner(self, now: float) -> None:
        previous = self._registry
        self._registry = Registry(
            previous.epoch + 1, _HEARTBEAT_PATIENCE_SECONDS
        )
        self._registry.adopt(previous.upstreams.values(), now)
        self._is_owned = True
        self._services = {}
        self._asked_at.clear()
        self._busy.clear()
        if self._make_owner:
            self._owner = self._make_owner(now)
