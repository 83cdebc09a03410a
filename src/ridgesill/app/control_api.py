"""Carries out the calls that upstreams and the operator make."""

import zlib
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import attrs
import msgspec
from eliot import log_message

from ridgesill.app.control import Control, UnavailableError
from ridgesill.app.fleet_owner import FleetOwner, NotOwnerError
from ridgesill.core.commands import (
    LiftQuarantine,
    PutArtifactVersion,
    PutRoutes,
)
from ridgesill.core.fleet.messages import HeardLeave
from ridgesill.core.fleet.rate_ledger import QuotaUse
from ridgesill.ports.control_calls import (
    BadCall,
    CallReply,
    ControlCalls,
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
from ridgesill.ports.http import HttpRequest, Responder

# Within which a change is committed or the caller is told to go elsewhere;
# callers go on after a second.
_PROPOSE_SECONDS = 0.9
_READ_SECONDS = 0.9
_UNAVAILABLE = 503
_BAD_REQUEST = 400


class ControlApi:
    """Serves the control address.

    Args:
        control: the control plane.
        owner: the fleet's owner on this node.
        calls: how calls are worded.
        owner_address: returns where upstreams should send heartbeats.
    """

    def __init__(
        self,
        control: Control,
        owner: FleetOwner,
        calls: ControlCalls,
        owner_address: Callable[[], str],
    ) -> None:
        self._control = control
        self._owner = owner
        self._calls = calls
        self._owner_address = owner_address

    async def serve(self, request: HttpRequest, responder: Responder) -> None:
        """Answers one call."""
        reply = await self._carry_out(self._calls.read(request))
        status, body = self._calls.write(reply)
        headers = (
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        )
        responder.send_head(status, headers)
        responder.send_data(body)
        responder.finish()

    @singledispatchmethod
    async def _carry_out(self, call: Any) -> CallReply:
        raise TypeError(f"no control call: {type(call).__name__}")

    @_carry_out.register
    async def _(self, call: BadCall) -> CallReply:
        log_message("control:bad_call", status=call.status, detail=call.detail)
        return CallReply(call.status, call.detail)

    @_carry_out.register
    async def _(self, call: HeartbeatCall) -> CallReply:
        service = call.heartbeat.service
        if self._owner.is_unknown_service(service):
            detail = f"service: no configuration names {service!r}"
            return await self._carry_out(BadCall(_BAD_REQUEST, detail))
        try:
            await self._owner.submit_heartbeat(call.heartbeat)
        except NotOwnerError as error:
            return _unavailable("heartbeat", str(error))
        return CallReply(200, next_address=self._owner_address())

    @_carry_out.register
    async def _(self, call: LeaveCall) -> CallReply:
        try:
            await self._owner.submit_leave(
                HeardLeave(call.instance, call.start)
            )
        except NotOwnerError as error:
            return _unavailable("leave", str(error))
        return CallReply(200)

    @_carry_out.register
    async def _(self, call: PutRoutesCall) -> CallReply:
        held = self._control.state.routes_version
        if call.version > held:
            document = zlib.compress(call.document)
            command = PutRoutes(call.version, document)
            try:
                await self._control.propose(command, _PROPOSE_SECONDS)
            except UnavailableError as error:
                return _unavailable("configuration", str(error))
        log_message(
            "control:configuration",
            version=call.version,
            held=held,
            bytes=len(call.document),
        )
        return CallReply(200)

    @_carry_out.register
    async def _(self, call: PutVersionCall) -> CallReply:
        command = PutArtifactVersion(call.artifact, call.version)
        try:
            await self._control.propose(command, _PROPOSE_SECONDS)
        except UnavailableError as error:
            return _unavailable("version", str(error))
        log_message(
            "control:version", artifact=call.artifact, version=call.version
        )
        return CallReply(200)

    @_carry_out.register
    async def _(self, call: ReadRoutesCall) -> CallReply:
        try:
            await self._control.confirm_latest(_READ_SECONDS)
        except UnavailableError as error:
            return _unavailable("read", str(error))
        document = self._control.state.routes_document
        if not document:
            return CallReply(404, "no configuration has been put yet")
        return CallReply(200, document=zlib.decompress(document))

    @_carry_out.register
    async def _(self, call: ListQuarantineCall) -> CallReply:
        try:
            await self._control.confirm_latest(_READ_SECONDS)
        except UnavailableError as error:
            return _unavailable("quarantine", str(error))
        said = [
            {"request": suspect.fingerprint.content, "ended": suspect.ends}
            for suspect in self._control.state.suspects.quarantined()
        ]
        return CallReply(200, document=msgspec.json.encode(said))

    @_carry_out.register
    async def _(self, call: ListQuotasCall) -> CallReply:
        try:
            uses = self._owner.list_quotas()
        except NotOwnerError as error:
            return _unavailable("quotas", str(error))
        said = [{"customer": u.name, **_without_name(u)} for u in uses]
        return CallReply(200, document=msgspec.json.encode(said))

    @_carry_out.register
    async def _(self, call: ListLimitsCall) -> CallReply:
        try:
            limits = self._owner.list_limits()
        except NotOwnerError as error:
            return _unavailable("limits", str(error))
        return CallReply(200, document=msgspec.json.encode(limits))

    @_carry_out.register
    async def _(self, call: LiftQuarantineCall) -> CallReply:
        if not self._control.state.suspects.has_content(call.request):
            return CallReply(404, "nothing is held against such a request")
        command = LiftQuarantine(call.request)
        try:
            await self._control.propose(command, _PROPOSE_SECONDS)
        except UnavailableError as error:
            return _unavailable("quarantine", str(error))
        log_message("control:quarantine_lifted", fingerprint=call.request)
        return CallReply(200)


def _without_name(use: QuotaUse) -> dict[str, Any]:
    return {k: v for k, v in attrs.asdict(use).items() if k != "name"}


def _unavailable(step: str, detail: str) -> CallReply:
    log_message("control:unavailable", step=step, detail=detail)
    return CallReply(_UNAVAILABLE, detail)
