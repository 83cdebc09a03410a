"""Requests to runners."""

from collections.abc import Iterator
from typing import Any, Protocol

import attrs
from result import Result


@attrs.frozen
class RunnerRequest:
    """A request as it goes to a runner.

    Attributes:
        document: a JSON body whose `model` is set when it is admitted;
            None where `body` is sent as it is.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    document: dict[str, Any] | None = None


@attrs.frozen
class RunnerFailure:
    """A request that got no usable answer.

    Attributes:
        step: what was being done.
        peer: the runner's address.
        not_run: whether it certainly was not started.
        absent: whether the runner says that it lacks the adapter.
    """

    step: str
    peer: str
    detail: str
    not_run: bool
    lacks_adapter: bool = False


class IncompleteAnswerError(Exception):
    """An answer that ended before it was whole."""


class RunnerResponse(Protocol):
    """A runner's answer whose body has not been read yet."""

    status: int

    @property
    def content_type(self) -> str:
        """The answer's content type."""

    @property
    def other_headers(self) -> tuple[tuple[str, str], ...]:
        """All other headers."""

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it arrives; raises `IncompleteAnswerError`."""

    def read(self) -> bytes:
        """Returns the whole body; raises `IncompleteAnswerError`."""

    def release(self) -> None:
        """Ends an answer that was read whole."""

    def cancel(self) -> None:
        """Tells the runner to stop."""


class Runners(Protocol):
    """Sends requests to runners; used from many threads."""

    def open(
        self, address: str, request: RunnerRequest, *, repeatable: bool
    ) -> Result[RunnerResponse, RunnerFailure]:
        """Sends a request; returns once the answer's header is here."""
