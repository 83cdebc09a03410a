"""Handles the control calls of upstreams and operators."""

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

# How long a change may take to be committed before the caller is refused, in
# seconds. Callers turn to another node after a second.
_PROPOSE_SECONDS = 0.9
# How long it may take to confirm the newest state before a read, in seconds.
_CONFIRM_LATEST_SECONDS = 0.9
# HTTP status codes of refusals.
_SERVICE_UNAVAILABLE = 503
_BAD_REQUEST = 400


class ControlApi:
    """Serves HTTP calls on the control address.

    Args:
        control: this node's part in the control plane.
        owner: this node's fleet owner.
        calls: decodes calls and encodes replies.
        owner_address: returns the address to which upstreams should send
            heartbeats.
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
        """Handles one call and sends the reply."""
        reply = await self._handle_call(self._calls.read(request))
        status, body = self._calls.write(reply)
        headers = (
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        )
        responder.send_head(status, headers)
        responder.send_data(body)
        responder.finish()

    @singledispatchmethod
    async def _handle_call(self, call: Any) -> CallReply:
        raise TypeError(f"no control call: {type(call).__name__}")

    @_handle_call.register
    async def _(self, call: BadCall) -> CallReply:
        log_message("control:bad_call", status=call.status, detail=call.detail)
        return CallReply(call.status, call.detail)

    @_handle_call.register
    async def _(self, call: HeartbeatCall) -> CallReply:
        service = call.heartbeat.service
        if self._owner.is_unknown_service(service):
            detail = f"service: no configuration names {service!r}"
            return await self._handle_call(BadCall(_BAD_REQUEST, detail))
        try:
            await self._owner.submit_heartbeat(call.heartbeat)
        except NotOwnerError as error:
            return _reply_unavailable("heartbeat", str(error))
        return CallReply(200, next_address=self._owner_address())

    @_handle_call.register
    async def _(self, call: LeaveCall) -> CallReply:
        try:
            await self._owner.submit_leave(
                HeardLeave(call.instance, call.start)
            )
        except NotOwnerError as error:
            return _reply_unavailable("leave", str(error))
        return CallReply(200)

    @_handle_call.register
    async def _(self, call: PutRoutesCall) -> CallReply:
        held = self._control.state.routes_version
        if call.version > held:
            document = zlib.compress(call.document)
            command = PutRoutes(call.version, document)
            try:
                await self._control.propose(command, _PROPOSE_SECONDS)
            except UnavailableError as error:
                return _reply_unavailable("configuration", str(error))
        log_message(
            "control:configuration",
            version=call.version,
            held=held,
            bytes=len(call.document),
        )
        return CallReply(200)

    @_handle_call.register
    async def _(self, call: PutVersionCall) -> CallReply:
        command = PutArtifactVersion(call.artifact, call.version)
        try:
            await self._control.propose(command, _PROPOSE_SECONDS)
        except UnavailableError as error:
            return _reply_unavailable("version", str(error))
        log_message(
            "control:version", artifact=call.artifact, version=call.version
        )
        return CallReply(200)

    @_handle_call.register
    async def _(self, call: ReadRoutesCall) -> CallReply:
        try:
            await self._control.confirm_latest(_CONFIRM_LATEST_SECONDS)
        except UnavailableError as error:
            return _reply_unavailable("read", str(error))
        document = self._control.state.routes_document
        if not document:
            return CallReply(404, "no configuration has been put yet")
        return CallReply(200, document=zlib.decompress(document))

    @_handle_call.register
    async def _(self, call: ListQuarantineCall) -> CallReply:
        try:
            await self._control.confirm_latest(_CONFIRM_LATEST_SECONDS)
        except UnavailableError as error:
            return _reply_unavailable("quarantine", str(error))
        listing: list[dict[str, Any]] = [
            {"request": suspect.fingerprint.content, "ended": suspect.ends}
            for suspect in self._control.state.suspects.quarantined()
        ]
        listing += [
            {"part": part.part, "ended": part.ends, "trials": part.trials}
            for part in self._control.state.harmful_parts.quarantined()
        ]
        return CallReply(200, document=msgspec.json.encode(listing))

    @_handle_call.register
    async def _(self, call: ListQuotasCall) -> CallReply:
        try:
            uses = self._owner.list_quotas()
        except NotOwnerError as error:
            return _reply_unavailable("quotas", str(error))
        listing = [{"customer": u.name, **_without_name(u)} for u in uses]
        return CallReply(200, document=msgspec.json.encode(listing))

    @_handle_call.register
    async def _(self, call: ListLimitsCall) -> CallReply:
        try:
            limits = self._owner.list_limits()
        except NotOwnerError as error:
            return _reply_unavailable("limits", str(error))
        return CallReply(200, document=msgspec.json.encode(limits))

    @_handle_call.register
    async def _(self, call: LiftQuarantineCall) -> CallReply:
        state = self._control.state
        is_suspected = state.suspects.has_content(call.request)
        if not is_suspected and state.harmful_parts.find(call.request) is None:
            return CallReply(
                404, "nothing is held against such a request or part"
            )
        command = LiftQuarantine(call.request)
        try:
            await self._control.propose(command, _PROPOSE_SECONDS)
        except UnavailableError as error:
            return _reply_unavailable("quarantine", str(error))
        log_message("control:quarantine_lifted", fingerprint=call.request)
        return CallReply(200)


def _without_name(use: QuotaUse) -> dict[str, Any]:
    return {k: v for k, v in attrs.asdict(use).items() if k != "name"}


def _reply_unavailable(step: str, detail: str) -> CallReply:
    log_message("control:unavailable", step=step, detail=detail)
    return CallReply(_SERVICE_UNAVAILABLE, detail)
