"""Interface for sending requests to runners."""

from collections.abc import Iterator
from typing import Any, Protocol

import attrs
from result import Result


@attrs.frozen
class RunnerRequest:
    """A request as it is sent to a runner.

    Attributes:
        method: HTTP method.
        path: path and query.
        headers: all headers of the request.
        body: the body; used if `document` is None.
        document: a JSON body whose `model` is set when the request is admitted;
            None if `body` is sent unchanged.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    document: dict[str, Any] | None = None


@attrs.frozen
class RunnerFailure:
    """A request got no usable answer.

    Attributes:
        step: the operation that failed.
        peer: the runner's address.
        detail: what happened.
        not_run: whether the request certainly was not started.
        lacks_adapter: whether the runner says that it lacks the adapter.
    """

    step: str
    peer: str
    detail: str
    not_run: bool
    lacks_adapter: bool = False


class IncompleteAnswerError(Exception):
    """An answer ended before it was complete."""


class RunnerResponse(Protocol):
    """A runner's answer whose body has not been read yet."""

    status: int

    @property
    def content_type(self) -> str:
        """The value of the Content-Type header."""

    @property
    def other_headers(self) -> tuple[tuple[str, str], ...]:
        """All headers but Content-Type."""

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            IncompleteAnswerError: the body ended early.
        """

    def read(self) -> bytes:
        """Reads and returns the complete body.

        Raises:
            IncompleteAnswerError: the body ended early.
        """

    def release(self) -> None:
        """Releases the connection after the answer was read completely."""

    def cancel(self) -> None:
        """Aborts the request, so that the runner stops working on it."""


class Runners(Protocol):
    """Sends requests to runners; called from many threads."""

    def open(
        self, address: str, request: RunnerRequest, *, repeatable: bool
    ) -> Result[RunnerResponse, RunnerFailure]:
        """Sends a request and waits for the head of its answer.

        Args:
            address: the runner's address.
            request: the request to send.
            repeatable: whether the request may safely be sent again.
        """
