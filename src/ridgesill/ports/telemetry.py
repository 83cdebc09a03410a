"""What processes count, without saying how it is served."""

from typing import Protocol

import attrs


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
    """

    kind: str
    priority: int
    outcome: str
    reason: str
    seconds: float
    first_seconds: float
    waited_seconds: float
    attempts: int


class Telemetry(Protocol):
    """Takes what is counted."""

    def note_end(self, end: RequestEnd) -> None:
        """Counts the end of a request."""

    def note_order(self, action: str, verdict: str) -> None:
        """Counts an order to an engine."""

    def note_load(self, seconds: float) -> None:
        """Notes how long a load took."""


class NoTelemetry:
    """Counts nothing; until the instruments are there."""

    def note_end(self, end: RequestEnd) -> None:
        """Passes over the end of a request."""

    def note_order(self, action: str, verdict: str) -> None:
        """Passes over an order."""

    def note_load(self, seconds: float) -> None:
        """Passes over a load."""
