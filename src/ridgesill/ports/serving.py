"""Interface between listeners for callers and the request path."""

from collections.abc import Iterator
from typing import Protocol

import attrs

from ridgesill.core.calls import Admission, Call, Refusal
from ridgesill.ports.runner import RunnerRequest


@attrs.frozen
class CallerRequest:
    """A caller's request.

    Attributes:
        call: the target, priority and deadline of the request.
        runner_request: the request as it is sent to a runner.
        key: value of the Idempotency-Key header; empty without one.
        digest: digest of method, path and body.
        repeatable: whether the request may be sent again if its outcome is
            unknown.
        streamed: whether the answer is a stream of events.
    """

    call: Call
    runner_request: RunnerRequest
    key: str
    digest: str
    repeatable: bool
    streamed: bool


@attrs.frozen
class Reply:
    """The answer that the caller gets.

    Attributes:
        status: HTTP status.
        content_type: value of the Content-Type header.
        body: the complete body, or an iterator over a streamed one.
        outcome: `completed`, `not-run` or `unknown`; for a stream, the outcome
            if it ends completely.
        admission: the runner's slot that the request was granted; None if the
            request was not admitted.
        refusal: why the request was refused; None if it was not.
        replayed: whether this is the recorded answer of an earlier attempt.
        headers: the runner's headers but Content-Type.
    """

    status: int
    content_type: str
    body: bytes | Iterator[bytes]
    outcome: str
    admission: Admission | None = None
    refusal: Refusal | None = None
    replayed: bool = False
    headers: tuple[tuple[str, str], ...] = ()


class IncompleteStreamError(Exception):
    """A stream ended early, so the connection must be aborted.

    A clean end would make the stream look complete to the caller.
    """


class Serving(Protocol):
    """Serves callers' requests; called from many threads."""

    def serve(self, request: CallerRequest) -> Reply:
        """Serves a request and returns the reply."""
