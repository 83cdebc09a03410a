"""How emulated callers, fronts and engines word requests and orders."""

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

_REQUEST = b"request"
_TERMS = b"terms"
_NOT_RUN = b"not-run"
_RETRY_AFTER = b"retry-after"
_ORDER = b"/order"
_REPORT = b"/report"
_MISDIRECTED = 421
_VERDICTS = tuple(OrderVerdict)


class EmulatedDialect:
    """Implements `ports.dialect.Dialect`; what a request is stands in a map.

    Args:
        facts: of each request, by its id.
    """

    def __init__(self, facts: dict[str, RequestFacts]) -> None:
        self._facts = facts

    def read_request(self, request: HttpRequest) -> RequestFacts:
        """Returns what a caller says of its request."""
        return self._facts[find_header(request.headers, _REQUEST)]

    def write_upstream_request(
        self, request: HttpRequest, options: ForwardOptions
    ) -> HttpRequest:
        """Returns the request as it goes to an upstream."""
        encoded = (_TERMS, msgspec.json.encode(options))
        return HttpRequest(
            request.method, request.target, (*request.headers, encoded)
        )

    def is_not_run(self, head: ResponseHead) -> bool:
        """Whether an upstream says that it has not run a request."""
        return bool(find_header(head.headers, _NOT_RUN))

    def read_upstream_word(self, head: ResponseHead) -> UpstreamWord:
        """Returns what an engine says of itself: nothing."""
        return UpstreamWord()

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Whether an upstream lacks what a request asks for."""
        return head.status == _MISDIRECTED

    def find_unknown_headers(self, head: ResponseHead) -> tuple[str, ...]:
        """Finds none: emulated engines say nothing else."""
        return ()

    def filter_answer_headers(self, head: ResponseHead) -> Headers:
        """Returns the headers of an answer that the caller gets."""
        return head.headers

    def make_retry_headers(self, after: float) -> Headers:
        """Returns headers that tell a caller when to come back."""
        return ((_RETRY_AFTER, b"%.3f" % after),)


def make_request(name: str, path: str, now: float) -> HttpRequest:
    """Returns a caller's request as it arrives at a front."""
    headers = ((_REQUEST, name.encode()),)
    return HttpRequest(b"POST", path.encode(), headers, arrived_at=now)


def read_terms(request: HttpRequest) -> tuple[str, ForwardOptions]:
    """Returns the id of a forwarded request, and what a front asks."""
    terms = find_header(request.headers, _TERMS)
    decoded = msgspec.json.decode(terms, type=ForwardOptions)
    return find_header(request.headers, _REQUEST), decoded


def not_run(status: int) -> ResponseHead:
    """Returns the head of an answer that says a request has not run."""
    return ResponseHead(status, ((_NOT_RUN, b"1"),))


def read_after(headers: Headers) -> float | None:
    """Returns when a refused caller may come back, if that is said."""
    text = find_header(headers, _RETRY_AFTER)
    return float(text) if text else None


class EmulatedCalls:
    """Implements `ports.dialect.EngineCalls`."""

    def write_order_request(self, order: FleetOrder) -> HttpRequest:
        """Returns the call that carries an order."""
        return HttpRequest(b"POST", _ORDER, (), msgspec.json.encode(order))

    def read_verdict(self, status: int) -> OrderVerdict:
        """Returns what an answer says of an order."""
        return _VERDICTS[status]

    def is_leaving(self, head: ResponseHead) -> bool:
        """Whether an engine says that it leaves: none does."""
        return False

    def write_report_request(self, upstream: str, address: str) -> HttpRequest:
        """Returns the call that asks an engine for its report."""
        return HttpRequest(b"GET", _REPORT, ())

    def make_incarnation_name(self, upstream: str, start: int) -> str:
        """Returns the name of another start; emulated engines have new ones."""
        return f"{upstream}.{start}"

    def read_report(self, body: bytes) -> EngineReport:
        """Returns what an engine reports."""
        return msgspec.json.decode(body, type=EngineReport)


def read_order(request: HttpRequest) -> FleetOrder | None:
    """Returns the order that a call carries; None where it asks a report."""
    if request.target == _REPORT:
        return None
    return msgspec.json.decode(request.body, type=FleetOrder)


def write_verdict(verdict: OrderVerdict) -> int:
    """Returns the status that stands for a verdict."""
    return _VERDICTS.index(verdict)
