"""Forwards a client's request to upstreams and returns the answer.

Each request runs as a task of the event loop. When the client disconnects, the
task is cancelled, which closes the channel to the upstream and so ends the work
there.
"""

import asyncio
import functools
from collections.abc import Callable

import attrs
from eliot import log_message
from result import Err, Result

from ridgesill.adapters.http1.client import (
    Connectivity,
    Exchange,
    UnreachableError,
)
from ridgesill.app.answer_end import (
    AnswerEnd,
)
from ridgesill.app.answer_relay import AnswerRelay
from ridgesill.app.attempt_failure import Failure, claims_not_run
from ridgesill.app.client_answer import ClientAnswer
from ridgesill.app.front import Front, FrontLinks
from ridgesill.app.front_hop import AHEAD, BEHIND, FrontHop, HopAnswer
from ridgesill.app.quota_charge import QuotaCharge
from ridgesill.app.request_summary import (
    SENT_BACK,
    SENT_ON,
    SERVED,
    UNVERIFIED,
    RequestSummary,
    record_request_end,
)
from ridgesill.app.slot_client import SlotEnd
from ridgesill.app.start_checks import RestartedError, acquire_checked
from ridgesill.app.suspect_request import SuspectRequest
from ridgesill.app.upstream_connections import acquire_channel
from ridgesill.app.upstream_search import (
    Refusal,
    SearchTerms,
    UpstreamSearch,
)
from ridgesill.app.upstream_words import AnswerContext
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.serving.callers import STALE, UNKNOWN_KEY, check_caller
from ridgesill.core.serving.customers import Customer
from ridgesill.core.serving.events import EventSplitter
from ridgesill.core.serving.load_reports import RequestClass, UpstreamCalls
from ridgesill.core.serving.routes import STREAM, Route
from ridgesill.ports.dialect import (
    EMPTY_UPSTREAM_WORD,
    ForwardOptions,
    FrontOptions,
    RequestFacts,
)
from ridgesill.ports.http import (
    ChannelError,
    HttpRequest,
    Responder,
    ResponseHead,
)

# The front answers this long before a route's time-out, so that its answer is
# still in time.
_TIMEOUT_MARGIN_SECONDS = 0.02
# Retry delay for refused clients, unless a better one is known.
_RETRY_SECONDS = 0.5
# Retry delay for clients that a stopping front refuses. A retry on a new
# channel reaches another front.
_STOPPING_RETRY_SECONDS = 0.02
# Least retry delay for requests in quarantine.
_QUARANTINE_RETRY_SECONDS = 1.0
# A retry soon after reaches another front, on a new channel.
_FRONT_FULL_REFUSAL = Refusal("front_full", 0.1)
_OK = 200
_REDIRECT = 300
_SERVER_ERROR = 500
# Nobody in reach can serve the request. Most partitions last for seconds; a
# retry on a new channel may reach another front meanwhile.
_UNREACHABLE_REFUSAL = Refusal("unreachable", 0.5)
# Reasons of refusals for which another front may serve the request.
_ELSEWHERE_REASONS = frozenset(
    (
        "unreachable",
        "stopping",
        "front_full",
        "stale",
        "no_configuration",
        "no_upstream",
        BEHIND,
        AHEAD,
    )
)
# How long a request that finds out whether a silent upstream answers again
# waits for its answer, in seconds.
_PROBE_SECONDS = 0.3
# A request that is broken off counts as failed by its upstream if nothing of an
# answer came for this long. A full queue of a plain upstream takes up to 0.4 s,
# and clients may leave, or run out of time, at any moment.
_SILENT_SECONDS = 1.0
# How long a request with an unknown key waits for a newer configuration that
# may contain the key. Nearly all fronts have a change within this time.
_KEY_WAIT_SECONDS = 0.3
# How long a front waits for a change that another front has, with which it
# serves a request. Nearly all fronts have a change within this time.
_CATCH_UP_SECONDS = 0.3
# The share of a request's time that such a wait may take.
_CATCH_UP_SHARE = 0.5
# Retry delay for callers whose keys can't be checked because the configuration
# here is stale. A retry on a new channel reaches another front.
_STALE_RETRY_SECONDS = 0.5
# Ids that clients send are truncated to this length in the log.
_MAX_LOGGED_CHARACTERS = 64
_CALLER_REFUSALS = {
    UNKNOWN_KEY: Refusal(UNKNOWN_KEY, 0.0, 401),
    STALE: Refusal("stale", _STALE_RETRY_SECONDS),
}


class _WithheldError(Exception):
    """The request was not sent: its upstream accepts no requests now."""


async def serve_request(
    front: Front, request: HttpRequest, responder: Responder
) -> None:
    """Serves a client's request and counts it while it is in progress."""
    front.in_progress += 1
    forwarding = Forwarding(front, request, responder)
    try:
        await forwarding.run()
    finally:
        front.in_progress -= 1
        forwarding.end_trial()


class Forwarding:
    """Serves one request: checks it, sends it to upstreams and answers it.

    Args:
        front: the state that all requests of the front share.
        request: as the client sent it.
        responder: sends the answer to the client.
    """

    def __init__(
        self, front: Front, request: HttpRequest, responder: Responder
    ) -> None:
        self._front = front
        self._request = request
        self._responder = responder
        self._loop = asyncio.get_running_loop()
        self._facts: RequestFacts = front.dialect.read_request(request)
        self._search = UpstreamSearch(front, self._facts)
        self._answer = ClientAnswer(front, request, responder)
        self._relay = AnswerRelay(
            front, self._facts, self._search, self._answer
        )
        self._quota_charge = QuotaCharge(front.quotas, self._facts)
        self._suspect = SuspectRequest(front.quarantine, request, self._facts)
        self._route: Route | None = None
        self._customer: Customer | None = None
        self._service = ""
        # Class of a request to a plain service under control; else None.
        self._request_class: RequestClass | None = None
        # Whether it counts as in progress at its service.
        self._is_admitted = False
        self._deadline = 0.0
        self._timeout: asyncio.Timeout | None = None
        # `_deadline` as if the front didn't stop.
        self._full_deadline = 0.0
        self._goal_at = 0.0
        self._tried: list[str] = []
        self._may_have_run = False
        # Whether the client was told that the request has not run.
        self._was_answered_not_run = False
        self._last_upstream = ""
        # Whether another front serves the request, where it counts.
        self._was_sent_on = False
        self._hop: FrontHop | None = None
        # What the front that sent the request, or that served it, has applied.
        self._peer_applied = self._facts.sender
        # Key of the stream that it begins; empty if it begins none.
        self._stream_key = b""
        # Whose upstreams answer nothing here, so that another front is asked.
        self._silence: str | None = None
        # Whether it finds out if silent upstreams answer again.
        self._is_probe = False

    @property
    def was_sent(self) -> bool:
        """Whether an attempt to send the request to an upstream has begun."""
        return bool(self._relay.sent_at)

    # -- course of a request -------------------------------------------

    async def run(self) -> None:
        """Serves the request; answers, aborts or refuses it in every case."""
        if (route := await self._find_route()) is None:
            return
        self._route = route
        caller = await self._find_caller(route)
        if isinstance(caller, Err):
            self._refuse(_CALLER_REFUSALS[caller.err_value])
            return
        self._set_customer(caller.ok_value)
        self._apply_route(route)
        refusal = self._find_early_refusal()
        if refusal is None and not self._is_cut_off():
            refusal = self._refuse_by_admission()
        if refusal is not None:
            self._refuse(refusal)
            return
        self._deadline = min(self._deadline, self._front.stops_at)
        self._relay.deadline = self._deadline
        try:
            async with asyncio.timeout_at(self._deadline) as timeout:
                self._timeout = timeout
                self._front.timeouts.add(timeout)
                if (refusal := await self._take_up(route)) is not None:
                    self._give_up(refusal)
                else:
                    await self._run_attempts(route)
        except TimeoutError:
            self._search.abandon()
            self._time_out()
        except asyncio.CancelledError:
            self._search.abandon()
            self._record_end("client_left")
            raise
        finally:
            if self._timeout is not None:
                self._front.timeouts.discard(self._timeout)
            self._search.end_slot(SlotEnd.FREE)
            self._search.limit_draws.release()
            self._end_admission()
            if (
                self._was_answered_not_run
                or self._was_sent_on
                or not self.was_sent
            ):
                self._quota_charge.refund()

    def end_trial(self) -> None:
        """Lets another request be the trial if this one was and hasn't run."""
        if not self.was_sent or self._was_answered_not_run:
            self._suspect.return_trial()

    def _find_early_refusal(self) -> Refusal | None:
        """Returns why the request is refused whatever else holds."""
        if self._may_outlast_front():
            return Refusal("stopping", _STOPPING_RETRY_SECONDS)
        if (refusal := self._refuse_in_quarantine()) is not None:
            return refusal
        if self._is_front_full():
            return _FRONT_FULL_REFUSAL
        return None

    def _refuse_in_quarantine(self) -> Refusal | None:
        """Returns a refusal if the request, or a part of it, is harmful."""
        seconds = self._suspect.quarantine_seconds()
        if seconds is None:
            return None
        retry_after = max(seconds, _QUARANTINE_RETRY_SECONDS)
        return Refusal("quarantined", retry_after)

    def _can_decide(self) -> bool:
        """Whether this front can check routes, keys and quotas."""
        table = self._front.table
        if not table.version or table.customers is None:
            return bool(table.version)
        if table.customers.quotas and not self._front.fleet.view.epoch:
            # Before the owner's first news, the front would admit its own share
            # of each quota, whatever the customer has used elsewhere.
            return False
        freshness = self._front.configuration_freshness(self._loop.time())
        return not (freshness.is_stale and freshness.is_missing)

    async def _match_sender(self) -> Refusal | None:
        """Waits until this front has applied what the sending front has.

        A front that is behind would take back what the client has seen, and
        with one that is ahead the sending front's own next answers would.

        Returns:
            A refusal unless both have the same configuration.
        """
        sender = self._facts.sender
        if sender is None:
            return None
        front = self._front
        if not await self._catch_up(
            lambda: not front.is_behind(sender, self._loop.time())
        ):
            return Refusal(BEHIND)
        if front.table.version > sender.version:
            return Refusal(AHEAD)
        return None

    async def _catch_up(self, has_changes: Callable[[], bool]) -> bool:
        """Waits for changes that another front has applied.

        Args:
            has_changes: returns whether this front has them too.

        Returns:
            Whether they came in time.
        """
        now = self._loop.time()
        left = self._client_seconds_left(now)
        seconds = min(_CATCH_UP_SECONDS, left * _CATCH_UP_SHARE)
        deadline = now + seconds
        while not has_changes():
            seconds = deadline - self._loop.time()
            if seconds <= 0:
                return False
            await self._front.discovery_signal.wait(seconds)
        return True

    def _has_version(self, version: int) -> bool:
        return self._front.table.version >= version

    async def _find_caller(self, route: Route) -> Result[Customer | None, str]:
        """Returns the customer of the request, or why it can't be served.

        A request with an unknown key waits up to `_KEY_WAIT_SECONDS` for a
        newer configuration.
        """
        deadline = self._loop.time() + _KEY_WAIT_SECONDS
        version = self._front.table.version
        caller = self._check_caller(route)
        while caller == Err(UNKNOWN_KEY) and self._facts.key_digest:
            seconds_left = deadline - self._loop.time()
            if seconds_left <= 0 or not await self._front.discovery_signal.wait(
                seconds_left
            ):
                break
            if self._front.table.version != version:
                caller = self._check_caller(route)
        return caller

    def _check_caller(self, route: Route) -> Result[Customer | None, str]:
        return check_caller(
            route,
            self._front.table.customers,
            self._facts.key_digest,
            self._front.configuration_freshness(self._loop.time()),
        )

    def _set_customer(self, customer: Customer | None) -> None:
        self._customer = customer
        if customer is not None:
            self._suspect.set_customer(customer.name)
            self._responder.set_customer(customer.name)

    def _is_front_full(self) -> bool:
        """Whether this front refuses the request because of its own load."""
        load = self._front.load
        return load is not None and load.refuses(
            self._priority(), self._front.rng.random()
        )

    def _is_cut_off(self) -> bool:
        """Whether no upstream can be reached from here that could serve it."""
        chooser = self._front.chooser
        return chooser.reachability.has_unreachable and chooser.is_cut_off(
            self._search.requirements()
        )

    def _refuse_by_admission(self) -> Refusal | None:
        """Returns a refusal beyond a quota, or if the service is overloaded.

        A request that passes is charged to its customer's quota.
        """
        if not self._quota_charge.charge(self._customer, self._route):
            retry_after = self._front.quotas.retry_after_seconds()
            return Refusal("beyond_quota", retry_after, 429)
        refusal = self._refuse_for_overload()
        if refusal is not None:
            self._quota_charge.refund()
        return refusal

    def _find_class(self, route: Route) -> RequestClass | None:
        """Returns the class of a request to a plain service under control.

        None for engines, and where the owner controls no service.
        """
        service = self._front.table.services.get(self._service)
        if service is None or service.engine is not None:
            return None
        if not self._front.reports_load:
            return None
        return RequestClass(
            self._service,
            self._priority(),
            self._customer_name(),
            self._front.returning_callers.record(
                route.name, self._facts.patience, self._loop.time()
            ),
        )

    def _refuse_for_overload(self) -> Refusal | None:
        """Returns a refusal if the service can't serve the request in time."""
        request_class = self._request_class
        if request_class is None:
            return None
        admission = self._front.service_admission
        now = self._loop.time()
        seconds_left = self._client_seconds_left(now)
        # A request without the time for an answer isn't counted as offered:
        # other requests would be refused for its sake.
        has_time = admission.has_time(self._service, seconds_left, now)
        if has_time and admission.admit(request_class, now):
            self._is_admitted = True
            return None
        retry_after = admission.retry_after(request_class, seconds_left, now)
        log_message(
            "request:overload",
            request=self._facts.request,
            service=request_class.service,
            priority=request_class.priority,
            customer=request_class.customer,
            is_return=request_class.is_return,
            has_time=has_time,
            retry_after=retry_after,
            **admission.describe_decision(request_class, now),
        )
        return Refusal("overload", retry_after)

    def _end_admission(self) -> None:
        """Records that the request is no longer in progress at its service."""
        if self._is_admitted and self._request_class is not None:
            self._is_admitted = False
            self._front.service_admission.record_end(self._request_class)

    def _client_seconds_left(self, now: float) -> float:
        """Returns how long the client will wait; infinite if unknown."""
        if not self._facts.patience:
            return float("inf")
        return self._request.arrived_at + self._facts.patience - now

    def _default_retry_seconds(self) -> float:
        """Returns the retry delay of a refusal that names none of its own.

        Where the service is overloaded, callers return when there is room:
        after a constant delay they would meet the queue that rejected them.
        """
        request_class = self._request_class
        admission = self._front.service_admission
        if request_class is None or not admission.is_controlled(self._service):
            return _RETRY_SECONDS
        now = self._loop.time()
        seconds_left = self._client_seconds_left(now)
        return admission.retry_after(request_class, seconds_left, now)

    async def _find_route(self) -> Route | None:
        """Returns the route, or None if the request has been refused.

        Waits until this front can decide about the request.
        """
        if not self._can_decide():
            await self._search.wait_until_known(self._can_decide)
        if (refusal := await self._match_sender()) is not None:
            self._refuse(refusal)
            return None
        table = self._front.table
        if not table.version:
            self._refuse(Refusal("no_configuration"))
            return None
        route = table.find(self._facts.host, self._request.path)
        if route is None:
            self._refuse(Refusal("no_route", 0.0, 404))
        return route

    def _apply_route(self, route: Route) -> None:
        seconds = route.timeout
        if self._facts.patience:
            seconds = min(seconds, self._facts.patience)
        margin = min(_TIMEOUT_MARGIN_SECONDS, seconds / 4)
        self._deadline = self._request.arrived_at + seconds - margin
        self._full_deadline = self._deadline
        self._goal_at = self._request.arrived_at + route.goal
        self._set_service(
            route, route.choose_target(self._front.rng.random()), seconds
        )
        self._front.retries(self._service).record_request(self._loop.time())
        if self._facts.artifact and not self._request.is_from_front:
            self._front.record_request(self._facts.artifact)
        if route.is_resumable_stream:
            self._relay.splitter = EventSplitter(self._facts.last_event)

    def _set_service(self, route: Route, service: str, seconds: float) -> None:
        """Sets the service of the request, and its time in seconds."""
        self._service = self._relay.service = service
        self._request_class = self._find_class(route)
        self._search.set_terms(
            SearchTerms(
                self._service,
                route.goal,
                self._request.arrived_at,
                seconds,
                min(self._deadline, self._front.stops_at),
                self._priority(),
                route.is_idempotent,
                self._customer_name(),
            )
        )

    def _may_outlast_front(self) -> bool:
        """Whether this front may stop before the request is answered.

        A request that arrives late in a stop, on a channel that its client has
        kept open, would be forwarded and then cut.
        """
        front = self._front
        now = self._loop.time()
        may_outlast = self._full_deadline > front.stops_at
        return now >= front.refuses_from and may_outlast

    # -- streams that are taken up -------------------------------------

    async def _take_up(self, route: Route) -> Refusal | None:
        """Requires the version that began the stream, if there is one.

        Returns:
            A refusal if it isn't known at which version the stream began.
        """
        facts = self._facts
        if facts.software is not None:
            # The front that sent the request on knows the version.
            self._search.software = facts.software
            return None
        if not route.is_resumable_stream or not (
            facts.resumes or facts.last_event
        ):
            return None
        began_at = self._loop.time()
        found = await self._front.streams.find(
            self._customer_name(), facts.resumes, self._service
        )
        log_message(
            "request:taken_up",
            request=facts.request,
            resumes=facts.resumes[:_MAX_LOGGED_CHARACTERS],
            source=found.source if found else "",
            software=found.software if found else "",
            service=found.service if found else "",
            seconds=round(self._loop.time() - began_at, 4),
        )
        self._front.telemetry.record_stream_taken_up(
            found.source if found else "unknown"
        )
        if found is None:
            return Refusal("unknown_stream")
        if found.service != self._service:
            if all(found.service != target.service for target in route.targets):
                # The operator has moved the route since.
                return None
            seconds = self._deadline - self._request.arrived_at
            self._set_service(route, found.service, seconds)
        self._search.software = found.software
        return None

    def _record_stream(self, route: Route, upstream: Upstream) -> None:
        """Records where a new stream is about to begin."""
        facts = self._facts
        if (
            not route.is_resumable_stream
            or self._relay.first_event_at
            or facts.resumes
            or facts.last_event
        ):
            return
        self._stream_key = self._front.streams.record(
            self._customer_name(),
            facts.request,
            upstream,
            len(self._tried),
            max(route.timeout, facts.patience),
            is_certain=self._must_check_start(route, upstream),
        )

    def _customer_name(self) -> str:
        return self._customer.name if self._customer else ""

    async def _run_attempts(self, route: Route) -> None:
        failure: Failure | None = None
        while True:
            if await self._is_served_elsewhere(route):
                return
            upstream = await self._search.find(
                self._tried, is_new=not self._answer.has_started
            )
            if isinstance(upstream, Refusal):
                if failure is not None and failure.answer is not None:
                    # No other upstream is left, so this answer is delivered.
                    self._fail(failure)
                else:
                    self._give_up(upstream)
                return
            if (refusal := self._refuse_in_quarantine()) is not None:
                # It was quarantined since it arrived: more upstreams ended.
                self._give_up(refusal)
                return
            if (
                not self._answer.has_started
                and not self._may_have_run
                and self._may_outlast_front()
            ):
                # It waited until late in the stop.
                self._give_up(Refusal("stopping", _STOPPING_RETRY_SECONDS))
                return
            failure = await self._send(route, upstream)
            if failure is None:
                return
            self._record_failure(upstream, failure)
            if not self._may_retry(route, failure):
                self._fail(failure)
                return
            if failure.cut:
                # Whether the upstream or the way to it failed decides where the
                # request goes next.
                await self._front.reachability_tests.test(
                    upstream.name, upstream.address
                )

    # -- through another front -----------------------------------------

    async def _is_served_elsewhere(self, route: Route) -> bool:
        """Has another front serve the request if this one can't.

        Returns:
            Whether the request has ended.
        """
        if self._is_cut_off():
            if not await self._send_on(route):
                self._give_up(_UNREACHABLE_REFUSAL)
            return True
        if not self._is_unanswered(route):
            return False
        if self._request.is_from_front and not self._may_have_run:
            self._give_up(_UNREACHABLE_REFUSAL)
            return True
        return await self._send_on(route)

    def _is_unanswered(self, route: Route) -> bool:
        """Whether upstreams answer nothing here, and others should serve it."""
        chooser = self._front.chooser
        if not chooser.silence.is_suspected or self._hop is not None:
            return False
        now = self._loop.time()
        self._silence = chooser.find_silence(self._search.requirements(), now)
        if self._silence is None:
            return False
        if self._request.is_from_front:
            # The front that sent it can ask another one.
            return True
        self._is_probe = not self._tried and chooser.silence.takes_probe(
            self._silence,
            now,
            is_repeatable=route.is_idempotent and route.attempts > 1,
        )
        return not self._is_probe

    async def _send_on(self, route: Route) -> bool:
        """Has another front serve the request; returns whether one can."""
        links = self._front.links
        if (
            links is None
            or self._request.is_from_front
            or (self._answer.has_started and not route.resumable)
            or (self._may_have_run and not self._is_repeatable(route))
        ):
            return False
        last_event = self._relay.last_event if self._relay.splitter else ""
        options = FrontOptions(0.0, last_event, self._search.software)
        hop = self._hop = FrontHop(
            links,
            self._request,
            options,
            self._facts.request,
            lambda: self._front.describe_applied(self._loop.time()),
        )
        began_at = self._loop.time()
        while True:
            answer = await hop.send(
                self._deadline, functools.partial(self._is_repeatable, route)
            )
            self._may_have_run |= hop.may_have_run
            now = self._loop.time()
            seconds = now - began_at if answer is not None else None
            if self._silence is not None:
                self._front.chooser.silence.record_help(
                    self._silence, seconds, now
                )
            if answer is None:
                newer = hop.newer_version
                has_newer = functools.partial(self._has_version, newer)
                if newer and await self._catch_up(has_newer):
                    continue
                return self._has_no_other_way(route)
            self._was_sent_on = True
            try:
                await self._pass_on(route, links, answer)
                return True
            except ChannelError as error:
                self._may_have_run = True
                if self._answer.has_started or not self._is_repeatable(route):
                    self._fail(Failure(str(error), False))
                    return True
            finally:
                hop.end(answer)

    def _is_repeatable(self, route: Route) -> bool:
        """Whether the request may run twice.

        Another front may have served it by a version that has come into force
        here since the route was found.
        """
        if not route.is_idempotent:
            return False
        current = self._front.table.find(self._facts.host, self._request.path)
        return current is None or current.is_idempotent

    def _has_no_other_way(self, route: Route) -> bool:
        """Ends a request that may have run elsewhere and may not run twice.

        Returns:
            Whether it has ended.
        """
        if not self._may_have_run or self._is_repeatable(route):
            return False
        self._give_up(_UNREACHABLE_REFUSAL)
        return True

    async def _pass_on(
        self, route: Route, links: FrontLinks, answer: HopAnswer
    ) -> None:
        """Passes on the answer of another front, in the form of its framing.

        Raises:
            ChannelError: the answer was broken off.
        """
        exchange = answer.exchange
        peer = answer.front.address
        head = links.dialect.filter_front_answer(answer.head)
        self._peer_applied = links.dialect.read_applied(answer.head.headers)
        software = links.dialect.read_software(answer.head)
        if self._answer.has_started and head.status != _OK:
            await exchange.discard_rest()
            self._fail(Failure(f"status {head.status} on resuming", False))
            return
        if self._may_have_run and claims_not_run(head):
            # It has not run there, but may have run before.
            await exchange.discard_rest()
            self._fail(Failure(f"status {head.status} elsewhere", True))
            return
        if route.kind == STREAM and head.status == _OK:
            if self._search.software not in (None, software):
                # A front of the previous release requires no version.
                self._may_have_run = True
                self._fail(Failure("another software version elsewhere", False))
                return
            await self._relay.relay_from_front(answer, head, software)
            self._answer.check_framing(head, peer)
            self._answer.send_head(head)
            self._answer.finish()
        else:
            body = await self._relay.read_from_front(answer, head)
            self._answer.deliver(head, body)
        self._search.chosen_by = "front"
        self._record_end(SENT_ON, peer, status=head.status)

    # -- one attempt ---------------------------------------------------

    async def _send(self, route: Route, upstream: Upstream) -> Failure | None:
        """Sends the request to an upstream and delivers the answer.

        Returns:
            Why there was no answer to deliver; None if it was delivered.
        """
        chooser = self._front.chooser
        artifact = self._facts.artifact
        chooser.record_start(upstream.name, artifact)
        self._relay.begin_attempt()
        self._search.limit_draws.record_sent(upstream.name, self._relay.sent_at)
        chooser.outcomes.record_sent(upstream.name, self._relay.sent_at)
        self._last_upstream = upstream.name
        exchange: Exchange | None = None
        head: ResponseHead | None = None
        failure: Failure | None = None
        was_received = False
        try:
            exchange = await self._open(route, upstream)
            self._tried.append(upstream.name)
            self._record_stream(route, upstream)
            chooser.outcomes.record_forwarded(
                upstream.name, self._relay.sent_at
            )
            head = await self._read_head(upstream, exchange)
            self._front.reachability_tests.record_reached(upstream.name)
            asks_for_rest = self._handle_word(upstream, head)
            chooser.outcomes.record_byte(upstream.name, self._loop.time())
            failure = await self._receive(route, upstream, exchange, head)
            was_received = failure is None
            if failure is not None and asks_for_rest:
                failure = attrs.evolve(failure, asked_for_rest=True)
        except _WithheldError as error:
            self._revert_sent(upstream)
            failure = Failure(
                str(error), True, reached_upstream=False, withheld=True
            )
        except RestartedError as error:
            self._revert_sent(upstream)
            self._tried.append(upstream.name)
            chooser.unavailable.record_leaving(upstream.name, self._loop.time())
            failure = Failure(
                str(error), True, reached_upstream=False, withheld=True
            )
        except ChannelError as error:
            if not error.sent:
                self._revert_sent(upstream)
                self._tried.append(upstream.name)
            self._record_reachability(upstream, error)
            failure = Failure(
                str(error),
                not error.sent,
                reached_upstream=error.sent,
                cut=error.sent,
            )
        except asyncio.CancelledError:
            if head is None:
                self._record_silence(upstream)
            raise
        finally:
            self._report_reading_ended(failure)
            self._search.end_slot(
                _find_slot_end(exchange, failure, was_received=was_received)
            )
            chooser.record_end(upstream.name, artifact)
            chooser.outcomes.record_end(upstream.name)
            if exchange is not None:
                exchange.cancel()
        self._record_calls(upstream, failure)
        return failure

    async def _read_head(
        self, upstream: Upstream, exchange: Exchange
    ) -> ResponseHead:
        """Returns the head of an answer; a probe doesn't wait long for it.

        Raises:
            ChannelError: the head didn't arrive.
        """
        if not self._is_probe:
            return await exchange.read_head()
        try:
            async with asyncio.timeout(_PROBE_SECONDS):
                return await exchange.read_head()
        except TimeoutError as error:
            detail = "a silent upstream is still silent"
            raise ChannelError(
                "head", upstream.address, detail, True
            ) from error

    def _record_reachability(
        self, upstream: Upstream, error: ChannelError
    ) -> None:
        """Records what a failed exchange says about the way to an upstream."""
        if error.sent:
            self._front.chooser.reachability.record_doubt(upstream.name)
        elif not isinstance(error, UnreachableError):
            return
        elif error.connectivity is not Connectivity.UNKNOWN:
            self._front.reachability_tests.record_unreachable(
                upstream.name, upstream.address, error.connectivity
            )

    def _record_calls(
        self, upstream: Upstream, failure: Failure | None
    ) -> None:
        """Counts the outcome of an attempt, to report it to the owner."""
        if self._request_class is None:
            return
        admission = self._front.service_admission
        if failure is None:
            now = self._loop.time()
            seconds = now - self._relay.sent_at
            admission.record_answer(self._service, upstream.name, seconds, now)
            return
        calls = failure.calls
        unavailable = self._front.chooser.unavailable
        if calls.rejected and unavailable.is_leaving(upstream.name):
            # It rejects requests because it is shutting down, not full.
            return
        if calls != UpstreamCalls():
            admission.record_calls(upstream.name, calls)

    def _record_silence(self, upstream: Upstream) -> None:
        """Counts an attempt that was broken off before an answer came."""
        is_silent = self._loop.time() - self._relay.sent_at >= _SILENT_SECONDS
        if is_silent and self._request_class is not None:
            self._front.service_admission.record_calls(
                upstream.name, UpstreamCalls(failed=1)
            )

    def _revert_sent(self, upstream: Upstream) -> None:
        now = self._loop.time()
        self._search.limit_draws.revert_sent(upstream.name, now)

    def _handle_word(self, upstream: Upstream, head: ResponseHead) -> bool:
        """Handles what an upstream states about itself in its headers.

        Returns:
            Whether it asks for a pause in requests, or for fewer requests.
        """
        dialect = self._front.dialect
        unknown = dialect.find_unknown_headers(head)
        if unknown:
            self._front.unknown_field_log.record(
                upstream.name, upstream.address, "answer", unknown
            )
        word = dialect.read_upstream_word(head)
        keeps_words = self._front.limits.known or self._front.chooser.brittle
        if word == EMPTY_UPSTREAM_WORD and not keeps_words:
            return False
        context = AnswerContext(
            self._facts.request,
            head.status,
            self._search.chosen_by,
            self._relay.sent_at,
            self._front.chooser.count_own_requests(upstream.name),
            self._search.has_permit,
        )
        self._front.upstream_words.handle_word(upstream, word, context)
        return (
            bool(word.rest)
            or word.limit is not None
            or word.brittle is not None
        )

    def _report_reading_ended(self, failure: Failure | None) -> None:
        """Reports to the owner that the attempt ended before the first event.

        Does nothing if the first event has been reported.
        """
        reached_upstream = failure is None or failure.reached_upstream
        self._search.report_reading_ended(
            was_read=False,
            # An engine that answers that it did not run a request is healthy.
            failed=failure is not None
            and not failure.withheld
            and not (reached_upstream and failure.not_run),
            unreachable=not reached_upstream,
        )

    async def _open(self, route: Route, upstream: Upstream) -> Exchange:
        """Sends the request on a channel to the upstream.

        Raises:
            _WithheldError: if the upstream accepts no requests any more.
            RestartedError: if a later start of the upstream is there.
            ChannelError: if no channel could be opened or used.
        """
        front = self._front
        now = self._loop.time()
        terms = ForwardOptions(
            upstream.name,
            self._deadline - now,
            self._search.requirements().version,
            self._relay.last_event,
            self._search.rank(now),
            self._customer_name(),
        )
        forwarded = front.dialect.write_upstream_request(self._request, terms)
        acquire = functools.partial(
            acquire_channel,
            front,
            upstream,
            self._facts.request,
            is_repeatable=route.is_idempotent,
        )
        if self._must_check_start(route, upstream):
            channel = await acquire_checked(
                front.channels, front.dialect, upstream, acquire
            )
        else:
            channel = await acquire()
        if not self._search.accepts_requests(upstream.name):
            # The answer to another request said so while this one waited for
            # the channel.
            front.channels.release_unused(channel)
            raise _WithheldError(f"{upstream.name} wants no requests now")
        return front.channels.start_exchange(channel, forwarded)

    def _must_check_start(self, route: Route, upstream: Upstream) -> bool:
        """Whether the upstream may have started again with other software."""
        return (
            route.is_resumable_stream
            and upstream.start > 0
            and self._front.streams.is_told(upstream.service)
        )

    async def _receive(
        self,
        route: Route,
        upstream: Upstream,
        exchange: Exchange,
        head: ResponseHead,
    ) -> Failure | None:
        """Delivers an upstream's answer, or returns why it isn't delivered."""
        dialect = self._front.dialect
        if dialect.is_not_run(head):
            await exchange.discard_rest()
            return Failure(
                f"not run: {head.status}",
                True,
                misdirected=dialect.is_misdirected(head),
            )
        if dialect.is_unproven(head):
            # It may be the answer to something else. The channel is closed with
            # the rest of it unread.
            return Failure(f"unproven: {head.status}", False)
        if head.status >= _SERVER_ERROR or claims_not_run(head):
            body, _ = await self._relay.read_body(upstream, exchange, head)
            return Failure(f"status {head.status}", False, (head, body))
        if self._answer.has_started and head.status != _OK:
            # The body of a refusal must not be appended to a stream that
            # another upstream has begun.
            await exchange.discard_rest()
            return Failure(f"status {head.status} on resuming", False)
        if route.kind == STREAM:
            end = await self._relay.relay_stream(upstream, exchange, head)
        else:
            body, end = await self._relay.read_body(upstream, exchange, head)
            self._answer.deliver(head, body)
        self._record_served(upstream, head, end)
        return None

    # -- outcome of an attempt -----------------------------------------

    def _record_served(
        self, upstream: Upstream, head: ResponseHead, end: AnswerEnd
    ) -> None:
        now = self._loop.time()
        self._front.chooser.outcomes.record_success(upstream.name, now)
        if end.is_whole and head.status < _REDIRECT:
            # Other statuses don't show that the upstream began the request, so
            # they don't clear it. Neither does an answer that may be broken.
            self._suspect.record_served()
        if end.is_whole and self._stream_key:
            self._front.streams.record_whole(self._stream_key)
        self._record_end(
            SERVED if end.is_whole else UNVERIFIED,
            upstream.name,
            end.reason,
            head.status,
        )

    def _record_failure(self, upstream: Upstream, failure: Failure) -> None:
        self._may_have_run |= not failure.not_run
        now = self._loop.time()
        ejected = False
        if failure.counts_against_health:
            ejected = self._front.chooser.outcomes.record_failure(
                upstream.name, now, unreachable=not failure.reached_upstream
            )
        log_message(
            "request:attempt_failed",
            request=self._facts.request,
            upstream=upstream.name,
            peer=upstream.address,
            software=upstream.software,
            reason=failure.reason,
            not_run=failure.not_run,
            ejected=ejected,
            view_age=round(now - self._front.fleet.view.updated_at, 3),
        )
        if failure.cut:
            has_begun = self._relay.attempt_event_at > 0
            self._suspect.record_cut(upstream, has_begun=has_begun)

    def _may_retry(self, route: Route, failure: Failure) -> bool:
        """Whether the request may go to another upstream.

        True also acquires a retry from the service's budget, unless nothing
        has reached the upstream.
        """
        if not failure.not_run and not route.is_idempotent:
            return False
        if self._answer.has_started and not (
            route.resumable and self._is_version_certain()
        ):
            return False
        if not failure.reached_upstream:
            # Nothing reached the upstream, so the retry uses no budget.
            return len(self._tried) < 2 * route.attempts + 1
        if not failure.not_run and len(self._tried) >= route.attempts:
            return False
        if len(self._tried) > route.attempts:
            return False
        now = self._loop.time()
        fronts = self._front.fleet.view.fronts
        return self._front.retries(self._service).acquire(now, fronts)

    def _is_version_certain(self) -> bool:
        """Whether it is certain which version began the stream."""
        return not self._front.streams.is_ambiguous(self._stream_key)

    # -- end of the request --------------------------------------------

    def _give_up(self, refusal: Refusal) -> None:
        if self._answer.has_started:
            self._answer.abort()
            self._record_end("cut", reason=refusal.reason)
        elif self._may_have_run:
            self._answer.send_status(502, 0.0)
            self._record_end("unknown", reason=refusal.reason)
        else:
            self._refuse(refusal)

    def _fail(self, failure: Failure) -> None:
        if self._answer.has_started:
            self._answer.abort()
            self._record_end("cut", reason=failure.reason)
        elif failure.answer is not None and not claims_not_run(
            failure.answer[0]
        ):
            self._answer.deliver(*failure.answer)
            self._record_end("failed", reason=failure.reason)
        elif self._may_have_run:
            self._answer.send_status(502, 0.0)
            self._record_end("unknown", reason=failure.reason)
        else:
            self._refuse(Refusal(failure.reason))

    def _time_out(self) -> None:
        if self._last_upstream and not self._relay.first_event_at:
            now = self._loop.time()
            self._front.chooser.outcomes.record_failure(
                self._last_upstream, now
            )
        if self._answer.has_started:
            self._answer.abort()
            self._record_end("cut", reason="timeout")
        elif self._may_have_run or self._tried or self._is_elsewhere():
            self._answer.send_status(504, 0.0)
            self._record_end("unknown", reason="timeout")
        else:
            self._refuse(Refusal("timeout"))

    def _is_elsewhere(self) -> bool:
        """Whether another front may be running the request."""
        hop = self._hop
        return hop is not None and (hop.is_pending or hop.may_have_run)

    def _refuse(self, refusal: Refusal) -> None:
        self._was_answered_not_run = True
        retry_after = refusal.retry_after
        if retry_after is None:
            retry_after = self._default_retry_seconds()
        if self._request.is_from_front and refusal.reason in _ELSEWHERE_REASONS:
            self._answer.send_back(refusal.status, refusal.reason)
            self._record_end(SENT_BACK, reason=refusal.reason)
            return
        self._answer.send_status(refusal.status, retry_after)
        self._record_end("refused", reason=refusal.reason)

    def _record_end(
        self,
        outcome: str,
        upstream: str = "",
        reason: str = "",
        status: int = 0,
    ) -> None:
        arrived_at = self._request.arrived_at
        seconds = self._loop.time() - arrived_at
        first = seconds
        if self._relay.first_event_at:
            first = self._relay.first_event_at - arrived_at
        route = self._route
        record_request_end(
            self._front.telemetry,
            RequestSummary(
                request=self._facts.request,
                route=route.name if route else "",
                kind=route.kind if route else "",
                priority=self._priority(),
                goal=route.goal if route else 0.0,
                version=self._front.table.version,
                peer_version=(
                    self._peer_applied.version if self._peer_applied else 0
                ),
                customer=self._customer_name(),
                customer_label=self._customer_label(),
                artifact=self._facts.artifact,
                upstream=upstream,
                software=self._find_software(upstream),
                resumes=self._facts.resumes[:_MAX_LOGGED_CHARACTERS],
                chosen_by=self._search.chosen_by,
                outcome=outcome,
                reason=reason,
                status=status,
                attempts=len(self._tried),
                waited=self._search.waited_seconds,
                tokens=self._facts.prompt_tokens,
                sent=max(self._relay.sent_at - arrived_at, 0.0),
                foretold=self._search.predicted_first_seconds,
                first=first,
                seconds=seconds,
            ),
        )

    def _find_software(self, upstream: str) -> str:
        known = self._front.fleet.view.upstreams.get(upstream)
        return known.software if known is not None else ""

    def _priority(self) -> int:
        """Returns the customer's priority, or else its route's."""
        if self._customer is not None and self._customer.priority is not None:
            return self._customer.priority
        return self._route.priority if self._route else 0

    def _customer_label(self) -> str:
        customers = self._front.table.customers
        if self._customer is None or customers is None:
            return ""
        return customers.label(self._customer)


def _find_slot_end(
    exchange: Exchange | None, failure: Failure | None, *, was_received: bool
) -> SlotEnd:
    """Returns how an attempt left its slot at a brittle upstream."""
    if was_received:
        return SlotEnd.ANSWERED
    if exchange is None:
        return SlotEnd.CONNECTED
    if failure is None or failure.cut:
        # Its upstream may go on with a request that has been broken off.
        return SlotEnd.UNCERTAIN
    return SlotEnd.FREE
