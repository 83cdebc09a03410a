"""Encoding of requests and orders between emulated callers and engines."""

import msgspec

from ridgesill.core.fleet.orders import (
    EngineReport,
    FleetOrder,
    OrderVerdict,
)
from ridgesill.ports.dialect import ForwardOptions, RequestFacts, UpstreamWord
from ridgesill.ports.http import (
    Headers,
    HttpRequest,
    ResponseHead,
    find_header,
)

_REQUEST_HEADER = b"request"
_TERMS_HEADER = b"terms"
_NOT_RUN_HEADER = b"not-run"
_RETRY_AFTER_HEADER = b"retry-after"
_ORDER_PATH = b"/order"
_REPORT_PATH = b"/report"
_STATUS_MISDIRECTED = 421
_VERDICTS = tuple(OrderVerdict)


class EmulatedDialect:
    """Implements `ports.dialect.Dialect` with a table of known requests.

    Args:
        facts: facts about each request, by request id.
    """

    def __init__(self, facts: dict[str, RequestFacts]) -> None:
        self._facts = facts

    def read_request(self, request: HttpRequest) -> RequestFacts:
        """Looks up the facts about a request by the id in its header."""
        return self._facts[find_header(request.headers, _REQUEST_HEADER)]

    def write_upstream_request(
        self, request: HttpRequest, options: ForwardOptions
    ) -> HttpRequest:
        """Adds the forwarding terms to a request, as a JSON header."""
        encoded = (_TERMS_HEADER, msgspec.json.encode(options))
        return HttpRequest(
            request.method, request.target, (*request.headers, encoded)
        )

    def is_not_run(self, head: ResponseHead) -> bool:
        """Returns whether an upstream states that it didn't run a request."""
        return bool(find_header(head.headers, _NOT_RUN_HEADER))

    def is_unproven(self, head: ResponseHead) -> bool:
        """Returns False: emulated engines make no proofs."""
        return False

    def read_upstream_word(self, head: ResponseHead) -> UpstreamWord:
        """Returns an empty word: emulated engines add none to answers."""
        return UpstreamWord()

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Returns whether an upstream lacks the artifact that it was sent."""
        return head.status == _STATUS_MISDIRECTED

    def find_unknown_headers(self, head: ResponseHead) -> tuple[str, ...]:
        """Returns (): emulated engines send no unknown headers."""
        return ()

    def write_start_request(self, upstream: str, address: str) -> HttpRequest:
        """Emulated upstreams have no start, so nobody asks."""
        raise NotImplementedError(f"{upstream} at {address} names no start")

    def read_start(self, body: bytes) -> int | None:
        """Emulated upstreams have no start."""
        del body
        return 0

    def filter_answer_headers(self, head: ResponseHead) -> Headers:
        """Returns the upstream's headers unchanged, for the caller."""
        return head.headers

    def make_retry_headers(self, after: float) -> Headers:
        """Returns headers that tell a caller to retry after some seconds."""
        return ((_RETRY_AFTER_HEADER, b"%.3f" % after),)


def make_request(name: str, path: str, now: float) -> HttpRequest:
    """Returns a caller's request as it arrives at a front.

    Args:
        name: id of the request.
        path: target of the request.
        now: when it arrives, in seconds.
    """
    headers = ((_REQUEST_HEADER, name.encode()),)
    return HttpRequest(b"POST", path.encode(), headers, arrived_at=now)


def read_terms(request: HttpRequest) -> tuple[str, ForwardOptions]:
    """Returns the id and the forwarding terms of a forwarded request."""
    terms = find_header(request.headers, _TERMS_HEADER)
    decoded = msgspec.json.decode(terms, type=ForwardOptions)
    return find_header(request.headers, _REQUEST_HEADER), decoded


def make_not_run_head(status: int) -> ResponseHead:
    """Returns an answer head that states that a request didn't run."""
    return ResponseHead(status, ((_NOT_RUN_HEADER, b"1"),))


def read_retry_after(headers: Headers) -> float | None:
    """Returns the seconds after which to retry; None if not stated."""
    text = find_header(headers, _RETRY_AFTER_HEADER)
    return float(text) if text else None


class EmulatedCalls:
    """Implements `ports.dialect.EngineCalls` for emulated engines."""

    def write_order_request(self, order: FleetOrder) -> HttpRequest:
        """Encodes an order as a request to an engine."""
        return HttpRequest(b"POST", _ORDER_PATH, (), msgspec.json.encode(order))

    def read_verdict(self, status: int) -> OrderVerdict:
        """Decodes an engine's verdict on an order from the answer's status."""
        return _VERDICTS[status]

    def is_leaving(self, head: ResponseHead) -> bool:
        """Returns False: emulated engines never announce that they leave."""
        return False

    def write_report_request(self, upstream: str, address: str) -> HttpRequest:
        """Returns the request that asks an engine for its report."""
        return HttpRequest(b"GET", _REPORT_PATH, ())

    def make_incarnation_name(self, upstream: str, start: int) -> str:
        """Returns a name for a further start of an engine.

        Emulated engines don't need it: each incarnation has its own name.
        """
        return f"{upstream}.{start}"

    def read_report(self, body: bytes) -> EngineReport:
        """Decodes an engine's report."""
        return msgspec.json.decode(body, type=EngineReport)


def read_order(request: HttpRequest) -> FleetOrder | None:
    """Decodes the order in a request; None if it asks for a report."""
    if request.target == _REPORT_PATH:
        return None
    return msgspec.json.decode(request.body, type=FleetOrder)


def encode_verdict(verdict: OrderVerdict) -> int:
    """Encodes a verdict as the status of an answer."""
    return _VERDICTS.index(verdict)
