"""Interfaces that translate requests, answers, heartbeats and orders.

The data path and the fleet use the types in this module; an adapter translates
them to and from the formats of clients and upstreams.
"""

from typing import Protocol

import attrs

from ridgesill.core.fleet.messages import Heartbeat
from ridgesill.core.fleet.orders import EngineReport, FleetOrder, OrderVerdict
from ridgesill.ports.http import Headers, HttpRequest, ResponseHead

# Default request priority; priorities range from 0 (scheduled first) to 9.
NORMAL_PRIORITY = 5


@attrs.frozen
class AppliedState:
    """How much of the log a front has applied.

    Attributes:
        version: version of its configuration; 0 without one.
        index: index of the last log entry that it has applied; 0 while it is
            out of touch, since others may then lack what it has.
    """

    version: int
    index: int = 0


@attrs.frozen
class RequestFacts:
    """The facts that a client gives about its request.

    Attributes:
        request: id of the request.
        host: host name that the request was sent to.
        model: the base model; empty for a plain service.
        adapter: adapter of that model; empty for the base model itself.
        prompt_tokens: number of tokens in the prompt.
        answer_tokens: maximum number of tokens in the answer.
        parts: parts of the prompt in order, each with its id and token count.
        patience: seconds that the client will wait; 0 if unknown.
        last_event: id of the last event that the client has received; empty
            for a new stream.
        key_digest: digest of the caller's API key; empty without a key.
        resumes: id of the client's earlier request that brought the first event
            of the stream that this one takes up; empty for a new stream.
        software: the software version that another front requires, which sent
            the request on; None if it requires none.
        sender: what that front has applied; None if a client sent the request,
            or if that front doesn't say.
    """

    request: str
    host: str
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    patience: float = 0.0
    last_event: str = ""
    key_digest: bytes = b""
    resumes: str = ""
    software: str | None = None
    sender: AppliedState | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt parts that other requests may contain.

        The last part belongs to the request itself or to its session.
        """
        return tuple(name for name, _ in self.parts[:-1])

    @property
    def artifact(self) -> str:
        """The artifact that an upstream must hold.

        It is `model` or `model/adapter`.
        """
        if self.adapter:
            return f"{self.model}/{self.adapter}"
        return self.model


@attrs.frozen
class ForwardOptions:
    """Options that a front adds to a request that it forwards.

    Attributes:
        upstream: name of the upstream's incarnation that must serve the
            request.
        seconds_left: seconds until the client's deadline.
        version: the required adapter version; 0 for any.
        last_event: id of the event after which the stream resumes; empty for a
            new stream.
        priority: priority in the engine's queue; 0 is scheduled first.
        customer: the customer that the request belongs to; empty if callers
            need no keys.
    """

    upstream: str
    seconds_left: float
    version: int = 0
    last_event: str = ""
    priority: int = NORMAL_PRIORITY
    customer: str = ""


@attrs.frozen
class FrontOptions:
    """What a front adds to a request that it sends on to another one.

    Attributes:
        seconds_left: seconds until the client's deadline.
        last_event: id of the event after which the stream goes on; empty if
            none has been sent to the client here.
        software: the software version that must serve it; None for any.
        applied: what this front has applied; None to name nothing.
    """

    seconds_left: float
    last_event: str = ""
    software: str | None = None
    applied: AppliedState | None = None


@attrs.frozen
class UpstreamWord:
    """What the head of an answer says about the upstream itself.

    Attributes:
        rest: seconds for which the upstream wants no requests from this
            process.
        leaves: whether this incarnation is about to stop.
        unread: value of a rest that is invalid or too long; empty otherwise.
        instance: identifier of the instance that answered, if the request was
            meant for another one; empty otherwise.
        limit: requests per second that the upstream accepts from all fronts
            together; None without a limit.
        unread_limit: value of a limit that is invalid or too low; empty
            otherwise.
        brittle: requests per second that the upstream can turn away for want of
            room, over all fronts, before it falls over; None if it doesn't say.
        unread_brittle: value of that if it is invalid; empty otherwise.
    """

    rest: float = 0.0
    leaves: bool = False
    unread: str = ""
    instance: str = ""
    limit: float | None = None
    unread_limit: str = ""
    brittle: float | None = None
    unread_brittle: str = ""


# Most answers say nothing about their upstream.
EMPTY_UPSTREAM_WORD = UpstreamWord()


class FrontDialect(Protocol):
    """Translates requests that one front sends on to another."""

    def write_front_request(
        self, request: HttpRequest, options: FrontOptions
    ) -> HttpRequest:
        """Builds the request that is sent on to another front."""

    def make_software_headers(self, software: str) -> Headers:
        """Returns the headers that tell another front which version serves."""

    def read_software(self, head: ResponseHead) -> str | None:
        """Returns which version serves at another front; None if unknown."""

    def make_applied_headers(self, applied: AppliedState) -> Headers:
        """Returns the headers that tell another front what is applied here."""

    def read_applied(self, headers: Headers) -> AppliedState | None:
        """Returns what another front has applied; None if it doesn't say."""

    def filter_front_answer(self, head: ResponseHead) -> ResponseHead:
        """Returns the head of another front's answer as an upstream sent it."""

    def read_front_request(self, request: HttpRequest) -> HttpRequest:
        """Returns a request as its client sent it to another front."""

    def read_front_refusal(self, head: ResponseHead) -> str:
        """Returns why another front can't help; empty for other answers."""

    def make_front_refusal_headers(self, reason: str) -> Headers:
        """Returns the headers that tell another front to go elsewhere."""


class Dialect(Protocol):
    """Translates clients' requests and upstreams' answers."""

    def read_request(self, request: HttpRequest) -> RequestFacts:
        """Extracts the facts that a client gives about its request."""

    def write_upstream_request(
        self, request: HttpRequest, options: ForwardOptions
    ) -> HttpRequest:
        """Builds the request that is forwarded to an upstream."""

    def is_not_run(self, head: ResponseHead) -> bool:
        """Whether an answer says that the request was not run."""

    def is_unproven(self, head: ResponseHead) -> bool:
        """Whether an answer claims success without the upstream's proof."""

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Whether the upstream is another instance or lacks the artifact."""

    def read_upstream_word(self, head: ResponseHead) -> UpstreamWord:
        """Returns what an answer's head says about the upstream itself."""

    def write_start_request(self, upstream: str, address: str) -> HttpRequest:
        """Builds the question which start of an upstream is at an address."""

    def read_start(self, body: bytes) -> int | None:
        """Returns the start in a report; 0 if it names none.

        None if the body isn't a report.
        """

    def find_unknown_headers(self, head: ResponseHead) -> tuple[str, ...]:
        """Returns the names of an upstream's headers that are not known."""

    def filter_answer_headers(self, head: ResponseHead) -> Headers:
        """Returns the headers of an answer that are passed to the client."""

    def make_retry_headers(self, after: float) -> Headers:
        """Returns the headers that tell a client when to retry.

        Args:
            after: seconds from now.
        """


class EngineCalls(Protocol):
    """Translates orders to engines and engines' reports."""

    def write_order_request(self, order: FleetOrder) -> HttpRequest:
        """Encodes an order to an engine as a request."""

    def read_verdict(self, status: int) -> OrderVerdict:
        """Returns the verdict on an order from the status of its answer."""

    def is_leaving(self, head: ResponseHead) -> bool:
        """Whether an answer says that the engine is leaving."""

    def write_report_request(self, upstream: str, address: str) -> HttpRequest:
        """Builds the request for an engine's report."""

    def make_incarnation_name(self, upstream: str, start: int) -> str:
        """Returns the name of another incarnation of an upstream.

        Args:
            upstream: name of any incarnation of the upstream.
            start: start time of the other one in Unix milliseconds.
        """

    def read_report(self, body: bytes) -> EngineReport:
        """Decodes an engine's report."""


class HeartbeatCalls(Protocol):
    """Decodes upstreams' heartbeats."""

    def read_heartbeat(self, name: str, body: bytes) -> Heartbeat:
        """Decodes an upstream's heartbeat."""
