"""What a listener for callers hands on, and what it gets back."""

from collections.abc import Iterator
from typing import Protocol

import attrs

from ridgesill.core.calls import Admission, Call, Refusal
from ridgesill.ports.runner import RunnerRequest


@attrs.frozen
class CallerRequest:
    """A request as it came in.

    Attributes:
        key: its Idempotency-Key; empty without one.
        digest: of its method, path and body.
        repeatable: whether it may be sent again if its fate is unknown.
        streamed: whether its answer is a stream of events.
    """

    call: Call
    runner_request: RunnerRequest
    key: str
    digest: str
    repeatable: bool
    streamed: bool


@attrs.frozen
class Reply:
    """What the caller gets.

    Attributes:
        outcome: `completed`, `not-run` or `unknown`; for a stream, what it
            will be if it ends whole.
        refusal: set when it is refused.
        headers: the runner's own but for the content type.
        replayed: whether it is the recorded answer of an earlier attempt.
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
    """A stream that ended early; the connection must not end cleanly."""


class Serving(Protocol):
    """Serves callers' requests; used from many threads."""

    def serve(self, request: CallerRequest) -> Reply:
        """Returns the reply to a request."""
