"""Types of the calls that upstreams and the operator make to a control node."""

from typing import Protocol

import attrs

from ridgesill.core.fleet.messages import Heartbeat
from ridgesill.ports.http import HttpRequest


@attrs.frozen
class HeartbeatCall:
    """An upstream's heartbeat."""

    heartbeat: Heartbeat


@attrs.frozen
class LeaveCall:
    """An upstream's announcement that it is leaving.

    Attributes:
        instance: the upstream's own identifier.
        start: start time of the leaving incarnation in Unix milliseconds; 0 if
            the upstream doesn't send it.
    """

    instance: str
    start: int = 0


@attrs.frozen
class PutRoutesCall:
    """Replaces the configuration document.

    Attributes:
        version: version of the document.
        document: the document, valid and encoded as it was received.
    """

    version: int
    document: bytes


@attrs.frozen
class ReadRoutesCall:
    """Requests the newest configuration document."""


@attrs.frozen
class PutVersionCall:
    """Announces a new version of an artifact."""

    artifact: str
    version: int


@attrs.frozen
class ListQuarantineCall:
    """Requests the list of quarantined requests, which get no upstream."""


@attrs.frozen
class ListLimitsCall:
    """Requests the request rate limits that upstreams have asked for."""


@attrs.frozen
class ListQuotasCall:
    """Requests the customers' use of their quotas."""


@attrs.frozen
class LiftQuarantineCall:
    """Lifts the quarantine of a request.

    Attributes:
        request: hash of the request's content, as in the quarantine list.
    """

    request: str


@attrs.frozen
class BadCall:
    """An invalid call.

    Attributes:
        status: HTTP status of the answer.
        detail: what is invalid, for the sender.
    """

    status: int
    detail: str


@attrs.frozen
class CallReply:
    """The answer to a call.

    Attributes:
        status: HTTP status.
        detail: explanation for the sender; empty if there is none.
        next_address: where an upstream should send its next heartbeats.
        document: body of the answer, such as a configuration or a list; empty
            if there is none.
    """

    status: int
    detail: str = ""
    next_address: str = ""
    document: bytes = b""


class ControlCalls(Protocol):
    """Decodes calls and encodes their answers."""

    def read(self, request: HttpRequest) -> object:
        """Decodes a request; an invalid one becomes a `BadCall`."""

    def write(self, reply: CallReply) -> tuple[int, bytes]:
        """Encodes a reply as its HTTP status and JSON body."""
