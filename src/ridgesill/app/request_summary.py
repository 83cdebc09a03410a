"""What became of a request, for the log and the metrics."""

import attrs
from eliot import log_message

from ridgesill.ports.telemetry import RequestEnd, Telemetry

# Outcomes of requests whose callers got the answer of an upstream. Nothing
# shows whether an unverified answer is whole.
SERVED = "served"
UNVERIFIED = "unverified"
# Outcomes at a front that had another front serve the request, and at one that
# was asked to and can't. A third line tells what became of the request.
SENT_ON = "sent_on"
SENT_BACK = "sent_back"
PARTIAL_OUTCOMES = frozenset((SENT_ON, SENT_BACK))
ANSWERED_OUTCOMES = frozenset((SERVED, UNVERIFIED))


@attrs.frozen(kw_only=True)
class RequestSummary:
    """What became of a request.

    All durations are in seconds; `sent` and `first` count from the arrival of
    the request.

    Attributes:
        request: its id.
        route: name of the route that it matched; empty if none.
        kind: kind of that route; empty if none.
        priority: its priority; 0 goes first.
        goal: time within which the first part of the answer must be sent; 0 if
            there is no route.
        version: version of the configuration.
        peer_version: version at the front that sent the request, or that served
            it; 0 if there is none, or if it doesn't say.
        customer: the customer that sent it; empty if unknown.
        customer_label: label of the customer in metrics.
        artifact: the model or adapter that it asked for.
        upstream: the upstream that served it.
        software: version of that upstream's software; empty if it names none.
        resumes: id of the request whose stream it takes up; empty for none.
        chosen_by: who chose the upstream, "front" or "owner".
        outcome: what became of it, such as `served` or `refused`.
        reason: why it was not served; empty if it was.
        status: status of the upstream's answer; 0 without one.
        attempts: number of upstreams that it was sent to.
        waited: time that it waited for an adapter to be loaded.
        tokens: number of tokens in the prompt.
        sent: time until it was last sent to an upstream; 0 if it never was.
        foretold: predicted time from sending until the first event.
        first: time until the first part of the answer, or until the end.
        seconds: time until the end.
    """

    request: str
    route: str
    kind: str
    priority: int
    goal: float
    version: int
    peer_version: int
    customer: str
    customer_label: str
    artifact: str
    upstream: str
    software: str
    resumes: str
    chosen_by: str
    outcome: str
    reason: str
    status: int
    attempts: int
    waited: float
    tokens: int
    sent: float
    foretold: float
    first: float
    seconds: float

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered, and its answer began within the goal."""
        if self.outcome not in ANSWERED_OUTCOMES or not self.route:
            return False
        return self.first <= self.goal


def record_request_end(telemetry: Telemetry, summary: RequestSummary) -> None:
    """Records the end of a request in the metrics and the log."""
    telemetry.record_request_end(
        RequestEnd(
            summary.kind,
            summary.priority,
            summary.outcome,
            _make_reason_label(summary.reason),
            summary.seconds,
            summary.first,
            summary.waited,
            summary.attempts,
            summary.customer_label,
            summary.is_in_time,
        )
    )
    log_message(
        "request:end",
        request=summary.request,
        route=summary.route,
        version=summary.version,
        peer_version=summary.peer_version,
        customer=summary.customer,
        artifact=summary.artifact,
        upstream=summary.upstream,
        software=summary.software,
        resumes=summary.resumes,
        chosen_by=summary.chosen_by,
        outcome=summary.outcome,
        reason=summary.reason,
        status=summary.status,
        attempts=summary.attempts,
        waited=round(summary.waited, 4),
        tokens=summary.tokens,
        sent=round(summary.sent, 4),
        foretold=round(summary.foretold, 4),
        goal=round(summary.goal, 4),
        first=round(summary.first, 4),
        seconds=round(summary.seconds, 4),
    )


def _make_reason_label(reason: str) -> str:
    """Returns the constant part of a reason, as a label for metrics."""
    return reason.partition(" ")[0].partition(":")[0]
