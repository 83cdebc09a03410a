"""One client's request, from its head to the last byte of its answer.

Each request runs as a task of the event loop. A client that leaves cancels
the task, which closes the upstream's channel and so ends its work.
"""

import asyncio

import attrs
from eliot import log_message
from result import Err, Result

from ridgesill.adapters.http1.client import Exchange
from ridgesill.app.front import Front
from ridgesill.app.suspect_request import SuspectRequest
from ridgesill.app.upstream_search import (
    Refusal,
    SearchTerms,
    UpstreamSearch,
)
from ridgesill.app.upstream_words import HeardIn
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.serving.callers import STALE, UNKNOWN_KEY, check_caller
from ridgesill.core.serving.customers import Customer
from ridgesill.core.serving.events import EventSplitter
from ridgesill.core.serving.rates import RateUse, weigh_priority
from ridgesill.core.serving.routes import STREAM, Route
from ridgesill.ports.dialect import (
    NO_WORD,
    ForwardTerms,
    RequestFacts,
)
from ridgesill.ports.http import (
    ChannelError,
    HttpRequest,
    Responder,
    ResponseHead,
)
from ridgesill.ports.telemetry import RequestEnd

# A route's time-out is kept with this much to spare, in seconds.
_TIMEOUT_MARGIN = 0.02
# Seconds after which a client that was refused by a stopping front may come
# back; it meets another front, on a new channel.
_STOPPING_AFTER = 0.02
# Channels to an upstream that a front may always have, however many fronts
# there are: one in use and one for a request that comes meanwhile.
_CHANNELS_LEAST = 2
# Channels kept longer than this aren't used for what may not run twice: an
# upstream may just have closed them. Seconds.
_FRESH_FOR_UNSAFE = 3.0
# Seconds after which a client whose request is in quarantine may come back. It
# stays there until an operator lifts it, so that a client that heeds this has
# stopped.
_QUARANTINED_AFTER = 3600.0
_PROMISES = frozenset((408, 421, 429, 503))
_QUARANTINED = Refusal("quarantined", _QUARANTINED_AFTER)
_OK = 200
_REDIRECT = 300
_SERVER_ERROR = 500
# How long a key that isn't known waits for a configuration that may just have
# brought it, in seconds: nearly all fronts know a change by then.
_KEY_LEARN_SECONDS = 0.3
# Seconds after which a caller whose key can't be relied on here may come back;
# it meets another front, on a new channel.
_STALE_AFTER = 0.5
_CALLER_REFUSALS = {
    UNKNOWN_KEY: Refusal(UNKNOWN_KEY, 0.0, 401),
    STALE: Refusal("stale", _STALE_AFTER),
}


class _WithheldError(Exception):
    """A request was not sent, since its upstream wants none now."""


@attrs.frozen
class Failure:
    """An attempt that gave no answer to deliver.

    Attributes:
        not_run: whether the request certainly did not run there.
        answer: the upstream's own answer, whole, if there was one.
        misdirected: whether the upstream lacks what was asked for.
        arrived: whether the request reached the upstream.
        cut: whether its channel ended before the answer did.
        withheld: whether it was kept back, since the upstream wants none.
        rests: whether the upstream asked for rest, or for fewer requests.
    """

    reason: str
    not_run: bool
    answer: tuple[ResponseHead, bytes] | None = None
    misdirected: bool = False
    arrived: bool = True
    cut: bool = False
    withheld: bool = False
    rests: bool = False

    @property
    def tells_of_health(self) -> bool:
        """Whether it says that the upstream serves badly.

        One that lacks something, or asks for rest, gets what it asks for.
        """
        return not (self.misdirected or self.withheld or self.rests)


async def serve_request(
    front: Front, request: HttpRequest, responder: Responder
) -> None:
    """Serves a client's request."""
    front.in_progress += 1
    try:
        await Forwarding(front, request, responder).run()
    finally:
        front.in_progress -= 1


class Forwarding:
    """Serves one request."""

    def __init__(
        self, front: Front, request: HttpRequest, responder: Responder
    ) -> None:
        self._front = front
        self._request = request
        self._responder = responder
        self._loop = asyncio.get_running_loop()
        self._facts: RequestFacts = front.dialect.read_request(request)
        self._search = UpstreamSearch(front, self._facts)
        self._suspect = SuspectRequest(front.quarantine, request, self._facts)
        self._route: Route | None = None
        self._customer: Customer | None = None
        self._service = ""
        self._deadline = 0.0
        self._goal_at = 0.0
        self._tried: list[str] = []
        self._may_have_run = False
        # Whether its answer has said so.
        self._has_not_run = False
        self._first_at = 0.0
        self._sent_at = 0.0
        self._asked = ""
        self._splitter: EventSplitter | None = None

    @property
    def was_offered(self) -> bool:
        """Whether the request has reached an upstream."""
        return bool(self._sent_at)

    # -- the whole -----------------------------------------------------

    async def run(self) -> None:
        """Answers the request, whatever becomes of it."""
        if not self._knows_enough():
            await self._search.learn(self._knows_enough)
        route = self._find_route()
        if route is None:
            return
        self._route = route
        caller = await self._find_caller(route)
        if isinstance(caller, Err):
            self._refuse(_CALLER_REFUSALS[caller.err_value])
            return
        self._note_customer(caller.ok_value)
        self._begin(route)
        if self._may_outlast_front():
            self._refuse(Refusal("stopping", _STOPPING_AFTER))
            return
        if self._suspect.is_quarantined():
            self._refuse(_QUARANTINED)
            return
        if self._is_beyond_quota():
            after = self._front.quotas.retry_after_seconds()
            self._refuse(Refusal("beyond_quota", after, 429))
            return
        self._deadline = min(self._deadline, self._front.stops_at)
        try:
            async with asyncio.timeout_at(self._deadline):
                await self._attempt(route)
        except TimeoutError:
            self._search.abandon()
            self._time_out()
        except asyncio.CancelledError:
            self._search.abandon()
            self._end("client_left")
            raise
        finally:
            self._search.draws.release()
            if self._has_not_run or not self.was_offered:
                self._give_quota_back()

    def _knows_enough(self) -> bool:
        """Whether this front can tell routes, callers and limits at all."""
        table = self._front.table
        if not table.version or table.customers is None:
            return bool(table.version)
        if table.customers.quotas and not self._front.fleet.view.epoch:
            # Without any news it would go by its own part of each limit.
            return False
        knowledge = self._front.knowledge(self._loop.time())
        return not (knowledge.is_stale and knowledge.is_missing)

    async def _find_caller(self, route: Route) -> Result[Customer | None, str]:
        """Returns whose request it is, or why it can't be served."""
        deadline = self._loop.time() + _KEY_LEARN_SECONDS
        version = self._front.table.version
        caller = self._check_caller(route)
        while caller == Err(UNKNOWN_KEY) and self._facts.key_digest:
            left = deadline - self._loop.time()
            if left <= 0 or not await self._front.learned.within(left):
                break
            if self._front.table.version != version:
                caller = self._check_caller(route)
        return caller

    def _check_caller(self, route: Route) -> Result[Customer | None, str]:
        return check_caller(
            route,
            self._front.table.customers,
            self._facts.key_digest,
            self._front.knowledge(self._loop.time()),
        )

    def _note_customer(self, customer: Customer | None) -> None:
        self._customer = customer
        if customer is not None:
            self._suspect.note_customer(customer.name)

    def _is_beyond_quota(self) -> bool:
        if self._customer is None:
            return False
        customer = self._customer
        if customer.quota is None:
            return False
        now = self._loop.time()
        cost = customer.quota.cost(self._tokens())
        quotas = self._front.quotas
        # The customer's own priority is the same for all of its requests.
        weight = weigh_priority(self._route.priority if self._route else 0)
        if quotas.admit(customer.name, customer.quota, cost, now, weight):
            return False
        log_message(
            "request:beyond_quota",
            request=self._facts.request,
            customer=customer.name,
            cost=cost,
            **quotas.describe_decision(customer.name, now),
        )
        return True

    def _give_quota_back(self) -> None:
        customer = self._customer
        if customer is not None and customer.quota is not None:
            cost = customer.quota.cost(self._tokens())
            use = RateUse(cost, cost)
            now = self._loop.time()
            self._front.quotas.refund(customer.name, use, now)

    def _tokens(self) -> int:
        """Returns the tokens that count towards a limit."""
        return self._facts.prompt_tokens + self._facts.answer_tokens

    def _find_route(self) -> Route | None:
        table = self._front.table
        if not table.version:
            self._refuse(Refusal("no_configuration"))
            return None
        route = table.find(self._facts.host, self._request.path)
        if route is None:
            self._refuse(Refusal("no_route", 0.0, 404))
        return route

    def _begin(self, route: Route) -> None:
        seconds = route.timeout
        if self._facts.patience:
            seconds = min(seconds, self._facts.patience)
        margin = min(_TIMEOUT_MARGIN, seconds / 4)
        self._deadline = self._request.arrived_at + seconds - margin
        self._goal_at = self._request.arrived_at + route.goal
        self._service = route.choose_target(self._front.rng.random())
        self._search.begin(
            SearchTerms(
                self._service,
                route.goal,
                self._request.arrived_at,
                seconds,
                min(self._deadline, self._front.stops_at),
                self._priority(),
            )
        )
        self._front.retries(self._service).record_request(self._loop.time())
        if self._facts.artifact:
            self._front.note_used(self._facts.artifact)
        if route.kind == STREAM and route.resumable:
            self._splitter = EventSplitter(self._facts.last_event)

    def _may_outlast_front(self) -> bool:
        """Whether this front may stop before the request has its answer.

        One that comes late in a stop, on a channel that its client has kept,
        would be sent on and cut.
        """
        front = self._front
        now = self._loop.time()
        return now >= front.refuses_from and self._deadline > front.stops_at

    async def _attempt(self, route: Route) -> None:
        failure: Failure | None = None
        while True:
            upstream = await self._search.find(
                self._tried, is_new=not self._responder.started
            )
            if isinstance(upstream, Refusal):
                if failure is not None and failure.answer is not None:
                    # Nobody else could do better than this answer.
                    self._fail(failure)
                else:
                    self._give_up(upstream)
                return
            if self._suspect.is_quarantined():
                # Since it came, others were cut by the ends of upstreams.
                self._give_up(_QUARANTINED)
                return
            failure = await self._send(route, upstream)
            if failure is None:
                return
            self._note_failure(upstream, failure)
            if not self._may_retry(route, failure):
                self._fail(failure)
                return

    # -- one attempt ---------------------------------------------------

    async def _send(self, route: Route, upstream: Upstream) -> Failure | None:
        """Returns None once the answer is delivered."""
        chooser = self._front.chooser
        artifact = self._facts.artifact
        chooser.record_start(upstream.name, artifact)
        self._sent_at = self._loop.time()
        self._search.draws.record_sent(upstream.name, self._sent_at)
        chooser.outcomes.record_sent(upstream.name, self._sent_at)
        self._asked = upstream.name
        exchange: Exchange | None = None
        failure: Failure | None = None
        try:
            exchange = await self._open(route, upstream)
            self._tried.append(upstream.name)
            head = await exchange.read_head()
            rests = self._take_word(upstream, head)
            chooser.outcomes.record_byte(upstream.name, self._loop.time())
            failure = await self._take(route, upstream, exchange, head)
            if failure is not None and rests:
                failure = attrs.evolve(failure, rests=True)
        except _WithheldError as error:
            self._note_not_sent(upstream)
            failure = Failure(str(error), True, arrived=False, withheld=True)
        except ChannelError as error:
            if not error.sent:
                self._note_not_sent(upstream)
                self._tried.append(upstream.name)
            failure = Failure(
                str(error),
                not error.sent,
                arrived=error.sent,
                cut=error.sent,
            )
        finally:
            self._tell_reading_ended(failure)
            chooser.record_end(upstream.name, artifact)
            chooser.outcomes.record_end(upstream.name)
            if exchange is not None:
                exchange.cancel()
        return failure

    def _note_not_sent(self, upstream: Upstream) -> None:
        now = self._loop.time()
        self._search.draws.revert_sent(upstream.name, now)

    def _take_word(self, upstream: Upstream, head: ResponseHead) -> bool:
        """Notes what an upstream says of itself beside its answer.

        Returns:
            Whether it asks for rest, or for fewer requests.
        """
        dialect = self._front.dialect
        unknown = dialect.find_unknown(head)
        if unknown:
            self._front.unknown_words.note(
                upstream.name, upstream.address, "answer", unknown
            )
        word = dialect.read_word(head)
        if word == NO_WORD and not self._front.limits.known:
            return False
        heard_in = HeardIn(
            self._facts.request,
            head.status,
            self._search.chosen_by,
            self._sent_at,
        )
        self._front.words.take(upstream, word, heard_in)
        return bool(word.rest) or word.limit is not None

    def _tell_reading_ended(self, failure: Failure | None) -> None:
        """Tells the owner of a prompt that has had no first event."""
        arrived = failure is None or failure.arrived
        self._search.note_reading_ended(
            was_read=False,
            # An engine that says that it did not run a request is well.
            failed=failure is not None
            and not failure.withheld
            and not (arrived and failure.not_run),
            unreachable=not arrived,
        )

    async def _open(self, route: Route, upstream: Upstream) -> Exchange:
        front = self._front
        last_event = self._facts.last_event
        if self._splitter is not None:
            last_event = self._splitter.last_id
        now = self._loop.time()
        terms = ForwardTerms(
            upstream.name,
            self._deadline - now,
            self._search.wanted().version,
            last_event,
            self._search.rank(now),
            self._customer.name if self._customer else "",
        )
        forwarded = front.dialect.forward(self._request, terms)
        fresh = 60.0 if route.is_idempotent else _FRESH_FOR_UNSAFE
        channel = await front.channels.acquire(
            upstream.address,
            max_idle_seconds=fresh,
            max_open=self._channels_most(),
        )
        if not self._search.takes_requests(upstream.name):
            # Another answer has said so while the channel came up.
            front.channels.release_unused(channel)
            raise _WithheldError(f"{upstream.name} wants no requests now")
        return front.channels.start_exchange(channel, forwarded)

    def _channels_most(self) -> int:
        """Returns this front's share of the channels that an upstream takes."""
        service = self._front.table.services.get(self._service)
        if service is None or not service.connections:
            return 0
        share = service.connections // self._front.fleet.view.fronts
        return max(share, _CHANNELS_LEAST)

    async def _take(
        self,
        route: Route,
        upstream: Upstream,
        exchange: Exchange,
        head: ResponseHead,
    ) -> Failure | None:
        dialect = self._front.dialect
        if dialect.is_not_run(head):
            await exchange.read_rest()
            return Failure(
                f"not run: {head.status}",
                True,
                misdirected=dialect.is_misdirected(head),
            )
        if head.status >= _SERVER_ERROR or _promises(head):
            body = await exchange.read_rest()
            return Failure(f"status {head.status}", False, (head, body))
        if self._responder.started and head.status != _OK:
            # A stream that goes on elsewhere must not end in a refusal's body.
            await exchange.read_rest()
            return Failure(f"status {head.status} on resuming", False)
        if route.kind == STREAM:
            await self._relay(upstream, exchange, head)
        else:
            body = await exchange.read_rest()
            self._deliver(head, body)
        self._note_served(upstream, head)
        return None

    async def _relay(
        self, upstream: Upstream, exchange: Exchange, head: ResponseHead
    ) -> None:
        """Passes a stream on, event by event where it may be resumed."""
        responder = self._responder
        if not responder.started:
            responder.send_head(
                head.status,
                self._front.dialect.answer_headers(head),
                head.reason,
            )
        splitter = self._splitter
        if splitter is not None:
            splitter.discard_partial()
        outcomes = self._front.chooser.outcomes
        while data := await exchange.read_data():
            outcomes.record_byte(upstream.name, self._loop.time())
            if splitter is not None:
                data = splitter.feed(data)
            if data:
                self._search.note_reading_ended(was_read=True)
                self._note_first()
                responder.send_data(data)
                await responder.drain()
        if splitter is not None and splitter.partial:
            responder.send_data(splitter.partial)
        responder.finish()

    def _note_first(self) -> None:
        """Notes the first event of the answer."""
        if self._first_at:
            return
        now = self._first_at = self._loop.time()
        took = now - self._sent_at
        self._front.admission(self._service).record_first_event(took, now)
        tokens = self._facts.prompt_tokens
        self._front.reading(self._service).record(tokens, took)

    def _deliver(self, head: ResponseHead, body: bytes) -> None:
        responder = self._responder
        headers = [
            (name, value)
            for name, value in self._front.dialect.answer_headers(head)
            if name != b"content-length"
        ]
        headers.append((b"content-length", b"%d" % len(body)))
        responder.send_head(head.status, tuple(headers), head.reason)
        if body:
            responder.send_data(body)
        responder.finish()

    # -- what became of an attempt -------------------------------------

    def _note_served(self, upstream: Upstream, head: ResponseHead) -> None:
        now = self._loop.time()
        self._front.chooser.outcomes.record_success(upstream.name, now)
        if not head.tells_its_end:
            # It may be the end of the upstream that looks like the answer's.
            self._suspect.note_cut(upstream)
        elif head.status < _REDIRECT:
            # A failure doesn't show that the upstream has begun it.
            self._suspect.note_served()
        self._end("served", upstream.name, status=head.status)

    def _note_failure(self, upstream: Upstream, failure: Failure) -> None:
        self._may_have_run |= not failure.not_run
        now = self._loop.time()
        ejected = False
        if failure.tells_of_health:
            ejected = self._front.chooser.outcomes.record_failure(
                upstream.name, now, unreachable=not failure.arrived
            )
        log_message(
            "request:attempt_failed",
            request=self._facts.request,
            upstream=upstream.name,
            peer=upstream.address,
            reason=failure.reason,
            not_run=failure.not_run,
            ejected=ejected,
            view_age=round(now - self._front.fleet.view.updated_at, 3),
        )
        if failure.cut:
            self._suspect.note_cut(upstream)

    def _may_retry(self, route: Route, failure: Failure) -> bool:
        if not failure.not_run and not route.is_idempotent:
            return False
        if self._responder.started and not route.resumable:
            return False
        if not failure.arrived:
            # Nothing reached the upstream, so this draws on no budget.
            return len(self._tried) < 2 * route.attempts + 1
        if not failure.not_run and len(self._tried) >= route.attempts:
            return False
        if len(self._tried) > route.attempts:
            return False
        now = self._loop.time()
        fronts = self._front.fleet.view.fronts
        return self._front.retries(self._service).acquire(now, fronts)

    # -- ends ----------------------------------------------------------

    def _give_up(self, refusal: Refusal) -> None:
        if self._responder.started:
            self._responder.abort()
            self._end("cut", reason=refusal.reason)
        elif self._may_have_run:
            self._answer(502, 0.0)
            self._end("unknown", reason=refusal.reason)
        else:
            self._refuse(refusal)

    def _fail(self, failure: Failure) -> None:
        if self._responder.started:
            self._responder.abort()
            self._end("cut", reason=failure.reason)
        elif failure.answer is not None and not _promises(failure.answer[0]):
            self._deliver(*failure.answer)
            self._end("failed", reason=failure.reason)
        elif self._may_have_run:
            self._answer(502, 0.0)
            self._end("unknown", reason=failure.reason)
        else:
            self._refuse(Refusal(failure.reason))

    def _time_out(self) -> None:
        if self._asked and not self._first_at:
            now = self._loop.time()
            self._front.chooser.outcomes.record_failure(self._asked, now)
        if self._responder.started:
            self._responder.abort()
            self._end("cut", reason="timeout")
        elif self._may_have_run or self._tried:
            self._answer(504, 0.0)
            self._end("unknown", reason="timeout")
        else:
            self._refuse(Refusal("timeout"))

    def _refuse(self, refusal: Refusal) -> None:
        self._has_not_run = True
        self._answer(refusal.status, refusal.after)
        self._end("refused", reason=refusal.reason)

    def _answer(self, status: int, after: float) -> None:
        headers = self._front.dialect.retry_headers(after) if after else ()
        self._responder.send_head(status, (*headers, (b"content-length", b"0")))
        self._responder.finish()

    def _end(
        self,
        outcome: str,
        upstream: str = "",
        reason: str = "",
        status: int = 0,
    ) -> None:
        arrived_at = self._request.arrived_at
        seconds = self._loop.time() - arrived_at
        first = self._first_at - arrived_at if self._first_at else seconds
        route = self._route
        self._front.telemetry.note_end(
            RequestEnd(
                route.kind if route else "",
                self._priority(),
                outcome,
                _bounded(reason),
                seconds,
                first,
                self._search.waited,
                len(self._tried),
                self._customer_label(),
                outcome == "served"
                and route is not None
                and first <= route.goal,
            )
        )
        log_message(
            "request:end",
            request=self._facts.request,
            route=self._route.name if self._route else "",
            version=self._front.table.version,
            customer=self._customer.name if self._customer else "",
            artifact=self._facts.artifact,
            upstream=upstream,
            chosen_by=self._search.chosen_by,
            outcome=outcome,
            reason=reason,
            status=status,
            attempts=len(self._tried),
            waited=round(self._search.waited, 4),
            tokens=self._facts.prompt_tokens,
            sent=round(max(self._sent_at - arrived_at, 0.0), 4),
            foretold=round(self._search.foretold, 4),
            goal=round(route.goal, 4) if route else 0.0,
            first=round(first, 4),
            seconds=round(seconds, 4),
        )

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


def _promises(head: ResponseHead) -> bool:
    """Whether a status says "not run", which is untrue once it has run."""
    return head.status in _PROMISES


def _bounded(reason: str) -> str:
    """Returns a reason without what differs from request to request."""
    return reason.partition(" ")[0].partition(":")[0]
