"""Interface for the metrics that processes record."""

import collections
from collections.abc import Callable
from typing import Protocol

import attrs

# Records buffered until the instruments exist: ten minutes of a front's
# requests in a large fleet, about 0.3 MB.
_MAX_BUFFERED_RECORDS = 1000


@attrs.frozen
class RequestEnd:
    """The end of a client's request.

    Attributes:
        kind: kind of the request's route; empty if no route was found.
        priority: priority of the request.
        outcome: `served`, `unverified`, `sent_on`, `sent_back`, `refused`,
            `failed`, `unknown`, `cut` or `client_left`.
        reason: short reason for the outcome, without details of an upstream.
        seconds: time from the arrival of the request to its end.
        first_byte_seconds: time until the first part of the answer.
        load_wait_seconds: time spent waiting for an artifact to be loaded.
        attempts: number of upstreams that the request was sent to.
        customer: the customer if it is one of the few with the largest quotas,
            else `others`; empty if callers need no keys.
        in_time: whether the first part of the answer met the route's goal.
    """

    kind: str
    priority: int
    outcome: str
    reason: str
    seconds: float
    first_byte_seconds: float
    load_wait_seconds: float
    attempts: int
    customer: str = ""
    in_time: bool = False


class Telemetry(Protocol):
    """Records events in the process's metrics."""

    def record_request_end(self, end: RequestEnd) -> None:
        """Records the end of a client's request."""

    def record_order(self, action: str, verdict: str) -> None:
        """Records an order to an engine."""

    def record_load_seconds(self, seconds: float) -> None:
        """Records the duration of a load."""

    def record_unknown_field(self, word: str) -> None:
        """Records an unknown header or field name of an upstream."""

    def record_stream_taken_up(self, source: str) -> None:
        """Records who knew at which version a stream began that goes on."""


class BufferedTelemetry:
    """Buffers the latest records until the instruments exist."""

    def __init__(self) -> None:
        self._records: collections.deque[Callable[[Telemetry], None]] = (
            collections.deque(maxlen=_MAX_BUFFERED_RECORDS)
        )

    def record_request_end(self, end: RequestEnd) -> None:
        """Buffers the end of a client's request."""
        self._records.append(
            lambda telemetry: telemetry.record_request_end(end)
        )

    def record_order(self, action: str, verdict: str) -> None:
        """Buffers an order to an engine."""
        self._records.append(
            lambda telemetry: telemetry.record_order(action, verdict)
        )

    def record_load_seconds(self, seconds: float) -> None:
        """Buffers the duration of a load."""
        self._records.append(
            lambda telemetry: telemetry.record_load_seconds(seconds)
        )

    def record_unknown_field(self, word: str) -> None:
        """Buffers an unknown header or field name of an upstream."""
        self._records.append(
            lambda telemetry: telemetry.record_unknown_field(word)
        )

    def record_stream_taken_up(self, source: str) -> None:
        """Buffers who knew at which version a stream began."""
        self._records.append(
            lambda telemetry: telemetry.record_stream_taken_up(source)
        )

    def replay_into(self, telemetry: Telemetry) -> None:
        """Passes all buffered records to `telemetry` and drops them."""
        for replay in self._records:
            replay(telemetry)
        self._records.clear()
