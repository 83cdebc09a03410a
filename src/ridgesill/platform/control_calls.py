"""Calls of upstreams and the operator, by path."""

import msgspec

from ridgesill.platform.configuration import (
    InvalidConfigurationError,
    decode_adapter_version,
    decode_configuration,
)
from ridgesill.platform.upstreams import (
    MalformedError,
    read_heartbeat,
    read_identifier,
    read_leave,
)
from ridgesill.ports.control_calls import (
    BadCall,
    CallReply,
    HeartbeatCall,
    LeaveCall,
    LiftQuarantineCall,
    ListLimitsCall,
    ListQuarantineCall,
    ListQuotasCall,
    PutRoutesCall,
    PutVersionCall,
    ReadRoutesCall,
)
from ridgesill.ports.http import HttpRequest

_HEARTBEAT = "/ridgesill/Instances.Heartbeat/"
_LEAVE = "/ridgesill/Instances.Leave/"
_PUT = "/ridgesill/Configuration.Put"
_GET = "/ridgesill/Configuration.Get"
_VERSION = "/ridgesill/version-put"
QUARANTINE_PATH = "/ridgesill/Quarantine.List"
LIFT_PATH = "/ridgesill/Quarantine.Lift/"
QUOTAS_PATH = "/ridgesill/Quotas.List"
LIMITS_PATH = "/ridgesill/Limits.List"
READY_PATH = "/ridgesill/ready"


class PlatformControlCalls:
    """Implements `ports.control_calls.ControlCalls`."""

    def read(self, request: HttpRequest) -> object:
        """Returns the call that a request makes."""
        path = request.path
        if path == _GET:
            return ReadRoutesCall()
        if path == QUARANTINE_PATH:
            return ListQuarantineCall()
        if path == QUOTAS_PATH:
            return ListQuotasCall()
        if path == LIMITS_PATH:
            return ListLimitsCall()
        if request.method != b"POST":
            return BadCall(405, "expected POST")
        try:
            return self._read_post(path, request.body)
        except (InvalidConfigurationError, MalformedError) as error:
            return BadCall(400, str(error))

    def _read_post(self, path: str, body: bytes) -> object:
        if path.startswith(_HEARTBEAT):
            identifier = read_identifier(path[len(_HEARTBEAT) :])
            return HeartbeatCall(read_heartbeat(identifier, body))
        if path.startswith(_LEAVE):
            identifier = read_identifier(path[len(_LEAVE) :])
            return LeaveCall(identifier, read_leave(body))
        if path == _PUT:
            table = decode_configuration(body)
            return PutRoutesCall(table.version, body)
        if path == _VERSION:
            named = decode_adapter_version(body)
            artifact = named.model
            if named.adapter:
                artifact = f"{named.model}/{named.adapter}"
            return PutVersionCall(artifact, named.version)
        if path.startswith(LIFT_PATH):
            return LiftQuarantineCall(path[len(LIFT_PATH) :])
        return BadCall(404, f"no such call: {path}")

    def write(self, reply: CallReply) -> tuple[int, bytes]:
        """Returns status and JSON body of an answer."""
        if reply.document:
            return reply.status, reply.document
        if reply.next_address:
            said = {"heartbeat_address": reply.next_address}
            return reply.status, msgspec.json.encode(said)
        said = {"detail": reply.detail} if reply.detail else {}
        return reply.status, msgspec.json.encode(said)
