"""What processes count, without saying how it is served."""

import collections
from collections.abc import Callable
from typing import Protocol

import attrs

# What is kept for instruments that nobody has asked for yet, in counts: ten
# minutes of a front's requests in a large fleet, in some 0.3 MB.
_KEPT_MOST = 1000


@attrs.frozen
class RequestEnd:
    """The end of a client's request.

    Attributes:
        kind: of its route; empty where none was found.
        priority: of its route.
        outcome: `served`, `refused`, `failed`, `unknown`, `cut` or
            `client_left`.
        reason: why, in a word; details of an upstream are left out.
        seconds: from its arrival.
        first_seconds: until the first part of the answer.
        waited_seconds: for a load.
        attempts: upstreams it was sent to.
        customer: whose it is: one of the few with the largest limits, or
            `others`; empty where callers need no keys.
        in_time: whether the first part of its answer came within the goal.
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
    """Takes what is counted."""

    def record_request_end(self, end: RequestEnd) -> None:
        """Counts the end of a request."""

    def record_order(self, action: str, verdict: str) -> None:
        """Counts an order to an engine."""

    def record_load_seconds(self, seconds: float) -> None:
        """Notes how long a load took."""

    def record_unknown_field(self, word: str) -> None:
        """Counts a word of an upstream that nothing here reads."""


class BufferedTelemetry:
    """Keeps the latest of what is counted until the instruments are there."""

    def __init__(self) -> None:
        self._kept: collections.deque[Callable[[Telemetry], None]] = (
            collections.deque(maxlen=_KEPT_MOST)
        )

    def record_request_end(self, end: RequestEnd) -> None:
        """Counts the end of a request."""
        self._kept.append(lambda to: to.record_request_end(end))

    def record_order(self, action: str, verdict: str) -> None:
        """Counts an order to an engine."""
        self._kept.append(lambda to: to.record_order(action, verdict))

    def record_load_seconds(self, seconds: float) -> None:
        """Notes how long a load took."""
        self._kept.append(lambda to: to.record_load_seconds(seconds))

    def record_unknown_field(self, word: str) -> None:
        """Counts a word of an upstream that nothing here reads."""
        self._kept.append(lambda to: to.record_unknown_field(word))

    def replay_into(self, to: Telemetry) -> None:
        """Has the instruments count what was kept."""
        for note in self._kept:
            note(to)
        self._kept.clear()
