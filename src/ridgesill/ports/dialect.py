"""How the outside world words requests, answers, heartbeats and orders.

The data path and the fleet speak in these types; an adapter translates them.
"""

from typing import Protocol

import attrs

from ridgesill.core.fleet.messages import Heartbeat
from ridgesill.core.fleet.orders import EngineReport, FleetOrder, OrderVerdict
from ridgesill.ports.http import Headers, HttpRequest, ResponseHead

# What a request without a priority has; from 0, which goes first, to 9.
NORMAL_PRIORITY = 5


@attrs.frozen
class RequestFacts:
    """What a client says of its request.

    Attributes:
        request: its id.
        host: the name it was sent to.
        model: the base model; empty for a plain service.
        adapter: of that model; empty for none.
        prompt_tokens: tokens of the prompt.
        answer_tokens: the most that the answer may have.
        parts: of the prompt, in order: id and tokens.
        patience: seconds that the client will wait; 0 if it doesn't say.
        last_event: the id of the last event it has; empty at the start.
        key_digest: of the caller's key; empty without one.
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

    @property
    def artifact(self) -> str:
        """What an upstream must hold: `model` or `model/adapter`."""
        if self.adapter:
            return f"{self.model}/{self.adapter}"
        return self.model


@attrs.frozen
class ForwardOptions:
    """What is said to an upstream beside the client's own words.

    Attributes:
        upstream: the process that is meant, by incarnation.
        seconds_left: until the answer is of no use.
        version: of the adapter, where one is required; 0 for any.
        last_event: to go on after; empty for a start.
        priority: among the requests that an engine has not begun; 0 goes
            first.
        customer: whose request it is; empty where callers need no keys.
    """

    upstream: str
    seconds_left: float
    version: int = 0
    last_event: str = ""
    priority: int = NORMAL_PRIORITY
    customer: str = ""


@attrs.frozen
class UpstreamWord:
    """What an upstream says of itself in the head of any answer.

    Attributes:
        rest: seconds for which it wants nothing from this process.
        leaves: whether this start of it is about to end.
        unread: what it asked for instead of a rest that can be granted.
        instance: who has the address, where a request meant for another says
            so; empty otherwise.
        limit: requests a second that it takes from all fronts; None where it
            names no limit.
        unread_limit: what it named instead of a limit that can be kept.
    """

    rest: float = 0.0
    leaves: bool = False
    unread: str = ""
    instance: str = ""
    limit: float | None = None
    unread_limit: str = ""


# What nearly every answer says.
EMPTY_UPSTREAM_WORD = UpstreamWord()


class Dialect(Protocol):
    """Translates what clients and upstreams say."""

    def read_request(self, request: HttpRequest) -> RequestFacts:
        """Returns what a client says of its request."""

    def write_upstream_request(
        self, request: HttpRequest, terms: ForwardOptions
    ) -> HttpRequest:
        """Returns the request as it goes to an upstream."""

    def is_not_run(self, head: ResponseHead) -> bool:
        """Whether an upstream says that it has not run a request."""

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Whether an upstream lacks what a request asks for."""

    def read_upstream_word(self, head: ResponseHead) -> UpstreamWord:
        """Returns what an upstream says of itself beside its answer."""

    def find_unknown_headers(self, head: ResponseHead) -> tuple[str, ...]:
        """Returns the words of an upstream that nothing here reads."""

    def answer_headers(self, head: ResponseHead) -> Headers:
        """Returns the headers of an answer that the client gets."""

    def retry_headers(self, after: float) -> Headers:
        """Returns headers that tell a client when to come back."""


class EngineCalls(Protocol):
    """Translates orders to engines and what they report."""

    def write_order_request(self, order: FleetOrder) -> HttpRequest:
        """Returns the call that carries an order."""

    def read_verdict(self, status: int) -> OrderVerdict:
        """Returns what an answer says of an order."""

    def is_leaving(self, head: ResponseHead) -> bool:
        """Whether an engine says in an answer that it leaves."""

    def write_report_request(self, upstream: str, address: str) -> HttpRequest:
        """Returns the call that asks an engine for its report."""

    def make_incarnation_name(self, upstream: str, start: int) -> str:
        """Returns the name of another start of an upstream."""

    def read_report(self, body: bytes) -> EngineReport:
        """Returns what an engine reports."""


class HeartbeatCalls(Protocol):
    """Translates upstreams' heartbeats."""

    def read_heartbeat(self, name: str, body: bytes) -> Heartbeat:
        """Returns an upstream's heartbeat."""
