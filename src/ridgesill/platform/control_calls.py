"""Decodes the HTTP calls that upstreams and the operator make to control."""

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

_HEARTBEAT_PATH = "/ridgesill/Instances.Heartbeat/"
_LEAVE_PATH = "/ridgesill/Instances.Leave/"
_PUT_CONFIGURATION_PATH = "/ridgesill/Configuration.Put"
_GET_CONFIGURATION_PATH = "/ridgesill/Configuration.Get"
_PUT_VERSION_PATH = "/ridgesill/version-put"
QUARANTINE_PATH = "/ridgesill/Quarantine.List"
LIFT_PATH = "/ridgesill/Quarantine.Lift/"
QUOTAS_PATH = "/ridgesill/Quotas.List"
LIMITS_PATH = "/ridgesill/Limits.List"
READY_PATH = "/ridgesill/ready"


class PlatformControlCalls:
    """Implements `ports.control_calls.ControlCalls`."""

    def read(self, request: HttpRequest) -> object:
        """Decodes a request; an invalid one becomes a `BadCall`."""
        path = request.path
        if path == _GET_CONFIGURATION_PATH:
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
        if path.startswith(_HEARTBEAT_PATH):
            identifier = read_identifier(path[len(_HEARTBEAT_PATH) :])
            return HeartbeatCall(read_heartbeat(identifier, body))
        if path.startswith(_LEAVE_PATH):
            identifier = read_identifier(path[len(_LEAVE_PATH) :])
            return LeaveCall(identifier, read_leave(body))
        if path == _PUT_CONFIGURATION_PATH:
            table = decode_configuration(body)
            return PutRoutesCall(table.version, body)
        if path == _PUT_VERSION_PATH:
            announced = decode_adapter_version(body)
            artifact = announced.model
            if announced.adapter:
                artifact = f"{announced.model}/{announced.adapter}"
            return PutVersionCall(artifact, announced.version)
        if path.startswith(LIFT_PATH):
            return LiftQuarantineCall(path[len(LIFT_PATH) :])
        return BadCall(404, f"no such call: {path}")

    def write(self, reply: CallReply) -> tuple[int, bytes]:
        """Encodes a reply as its HTTP status and JSON body."""
        if reply.document:
            return reply.status, reply.document
        if reply.next_address:
            document = {"heartbeat_address": reply.next_address}
            return reply.status, msgspec.json.encode(document)
        document = {"detail": reply.detail} if reply.detail else {}
        return reply.status, msgspec.json.encode(document)
