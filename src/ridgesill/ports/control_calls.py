"""The calls that upstreams and the operator make to a control node."""

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
    """An upstream's word that it is leaving.

    Attributes:
        instance: what it calls itself.
        start: which of its starts; 0 when it doesn't tell.
    """

    instance: str
    start: int = 0


@attrs.frozen
class PutRoutesCall:
    """A valid configuration document and its version."""

    version: int
    document: bytes


@attrs.frozen
class ReadRoutesCall:
    """Asks for the newest configuration document."""


@attrs.frozen
class PutVersionCall:
    """Names a new version of an artifact."""

    artifact: str
    version: int


@attrs.frozen
class ListQuarantineCall:
    """Asks which requests get no upstream."""


@attrs.frozen
class ListLimitsCall:
    """Asks which upstreams have named limits."""


@attrs.frozen
class ListQuotasCall:
    """Asks what customers use of their limits."""


@attrs.frozen
class LiftQuarantineCall:
    """Has a request get upstreams again.

    Attributes:
        request: the hash of its content, as the list names it.
    """

    request: str


@attrs.frozen
class BadCall:
    """A call that can't be carried out; says why."""

    status: int
    detail: str


@attrs.frozen
class CallReply:
    """The answer to a call.

    Attributes:
        next_address: where an upstream should send its next heartbeats.
        document: the configuration that was asked for.
    """

    status: int
    detail: str = ""
    next_address: str = ""
    document: bytes = b""


class ControlCalls(Protocol):
    """Translates calls and their answers."""

    def read(self, request: HttpRequest) -> object:
        """Returns the call that a request makes."""

    def write(self, reply: CallReply) -> tuple[int, bytes]:
        """Returns status and JSON body of an answer."""
