"""Decodes upstreams' heartbeats and reports, and encodes orders to them.

Other programs may write these messages, so each is decoded into one of the
types below or rejected with an error that names the invalid field.
"""

import ipaddress
import re
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from ridgesill.core.addresses import split_address
from ridgesill.core.fleet.messages import Heartbeat
from ridgesill.core.fleet.orders import (
    Action,
    EngineReport,
    FleetOrder,
    OrderVerdict,
)
from ridgesill.core.unknown_fields import find_unknown_fields
from ridgesill.platform.known_fields import HEARTBEAT_FIELDS, REPORT_FIELDS
from ridgesill.ports.http import HttpRequest, ResponseHead, find_header

# A leaving upstream sets this header in all of its answers.
LEAVING_HEADER = b"server-leaving"
_ORDER_PATH = b"/ridgesill/order"
_REPORT_PATH = b"/ridgesill/report"
_VERDICTS_BY_STATUS = {
    200: OrderVerdict.HOLDS,
    202: OrderVerdict.TAKEN,
    409: OrderVerdict.REFUSED,
    412: OrderVerdict.FENCED,
    421: OrderVerdict.MISDIRECTED,
}
# An upstream's identifier in a path, and an adapter in a list of artifacts.
_IDENTIFIER = re.compile(r"[A-Za-z0-9._~-]{1,128}")
_NAME_AT_VERSION = re.compile(r"[^@]+(@[0-9]{1,15})?")
# Separates an upstream's identifier from its start time; `_IDENTIFIER` does
# not allow it.
_INCARNATION_SEPARATOR = "#"
# JSON parsers that decode numbers as doubles are exact up to this integer.
_MAX_JSON_INTEGER = 2**53
# The most concurrent requests that an upstream may report as its slots.
_MAX_SLOTS = 1_000_000
# Models and adapters that an engine may report. Each takes over 200 bytes at
# the owner and goes to all fronts.
_MAX_REPORTED_ARTIFACTS = 4096
# Decoder messages are truncated to this length in answers.
_MAX_DETAIL_CHARACTERS = 200
_MAX_PORT = 65535

_WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=_MAX_JSON_INTEGER)]
_ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_T = TypeVar("_T")


class MalformedError(ValueError):
    """A message is malformed; the text names the field."""


class _HeldModel(msgspec.Struct):
    """A model that an engine holds; lists its adapters as NAME@VERSION."""

    name: _ShortText
    version: _WholeNumber = 1
    adapters: list[_ShortText] | None = None


class _SaidHeartbeat(msgspec.Struct):
    """The fields of a registration or status report that are used here."""

    service: _ShortText
    address: _ShortText
    zone: _ShortText
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # Counts the status reports sent. In `_SaidReport` the field of the same
    # name counts accepted orders instead.
    sequence: _WholeNumber
    # Of its software.
    version: _ShortText
    # Start time in Unix milliseconds; older engines don't send it.
    born: _WholeNumber = 0
    remaining_ms: float | None = None
    models: list[_HeldModel] | None = None


class _SaidReport(msgspec.Struct):
    """An engine's answer to a report request."""

    sequence: _WholeNumber
    born: _WholeNumber = 0
    busy_slots: bool = False
    models: list[_HeldModel] = []
    # Adapters that are being loaded, as MODEL/NAME@VERSION.
    incoming: list[_ShortText] = []
    running_requests: _WholeNumber = 0
    queued_requests: _WholeNumber = 0


class _SaidStart(msgspec.Struct):
    """The start in a report, whose other fields may be missing or invalid."""

    born: _WholeNumber = 0


class _SaidLeave(msgspec.Struct):
    """The body of a leave call; most upstreams send an empty body."""

    born: _WholeNumber = 0


def read_identifier(text: str) -> str:
    """Returns the identifier that an upstream puts into the path of a call.

    Raises:
        MalformedError: the text is not a valid identifier.
    """
    if not _IDENTIFIER.fullmatch(text):
        raise MalformedError(f"identifier: not a name: {text[:40]!r}")
    return text


def make_incarnation_name(identifier: str, born: int) -> str:
    """Returns the name of one incarnation of an upstream.

    An upstream loses its state and its running requests when it restarts, so
    each incarnation is tracked under a name of its own.

    Args:
        identifier: the identifier that all incarnations share.
        born: start time in Unix milliseconds; 0 if unknown.
    """
    return f"{identifier}{_INCARNATION_SEPARATOR}{born}" if born else identifier


def read_instance(name: str) -> str:
    """Returns the upstream's own identifier from an incarnation's name."""
    return name.partition(_INCARNATION_SEPARATOR)[0]


def read_heartbeat(identifier: str, body: bytes) -> Heartbeat:
    """Decodes an upstream's heartbeat.

    Raises:
        MalformedError: a field is missing or invalid.
    """
    message = _decode(body, _SaidHeartbeat)
    _check_address(message.address)
    remaining = message.remaining_ms
    return Heartbeat(
        name=make_incarnation_name(identifier, message.born),
        service=message.service,
        address=message.address,
        data_centre=message.zone,
        slots=message.slots,
        draining=message.state == "draining",
        sequence=message.sequence,
        resident=None
        if message.models is None
        else _collect_resident(message.models),
        gone_in=None if remaining is None else remaining / 1000,
        instance=identifier,
        start=message.born,
        unknown=find_unknown_fields(body, HEARTBEAT_FIELDS),
        software=message.version,
    )


def read_leave(body: bytes) -> int:
    """Decodes the body of a leave call to the incarnation's start time.

    Returns:
        Unix milliseconds; 0 if the upstream doesn't send its start time.

    Raises:
        MalformedError: the body is neither empty nor a valid leave message.
    """
    return _decode(body, _SaidLeave).born if body.strip() else 0


def read_start(body: bytes) -> int | None:
    """Decodes the start time in a report, and nothing else of it.

    Returns:
        Unix milliseconds; 0 if the report doesn't tell the start time, and None
        if the body isn't a report.
    """
    try:
        return _decode(body, _SaidStart).born
    except MalformedError:
        return None


def _decode(body: bytes, message_type: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise MalformedError(str(error)[:_MAX_DETAIL_CHARACTERS]) from error


def _check_address(address: str) -> None:
    try:
        host, port = split_address(address)
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise MalformedError(
            f"address: {str(error)[:_MAX_DETAIL_CHARACTERS]}"
        ) from error
    if not 0 < port <= _MAX_PORT:
        raise MalformedError(f"address: no port: {port}")


def _collect_resident(models: list[_HeldModel]) -> dict[str, int]:
    """Returns the versions of held artifacts by `model` or `model/adapter`."""
    _check_count(
        "models", len(models) + sum(len(each.adapters or ()) for each in models)
    )
    resident = {}
    for model in models:
        resident[model.name] = model.version
        for entry in model.adapters or ():
            adapter, version = _split_name_and_version("models", entry)
            resident[f"{model.name}/{adapter}"] = version
    return resident


def _collect_incoming(entries: list[str]) -> dict[str, int]:
    """Returns the versions of artifacts that are being loaded, by name."""
    _check_count("incoming", len(entries))
    return dict(_split_name_and_version("incoming", entry) for entry in entries)


def _check_count(field: str, count: int) -> None:
    if count > _MAX_REPORTED_ARTIFACTS:
        raise MalformedError(
            f"{field}: {count} models and adapters, and "
            f"{_MAX_REPORTED_ARTIFACTS} are allowed"
        )


def _split_name_and_version(field: str, entry: str) -> tuple[str, int]:
    """Splits NAME@VERSION; the version defaults to 1."""
    if not _NAME_AT_VERSION.fullmatch(entry):
        raise MalformedError(f"{field}: not NAME@VERSION: {entry[:40]!r}")
    name, _, version = entry.partition("@")
    return name, int(version or 1)


def is_leaving(head: ResponseHead) -> bool:
    """Whether an answer's headers say that the upstream is leaving."""
    return find_header(head.headers, LEAVING_HEADER).strip() not in ("", "0")


class PlatformEngines:
    """Implements `ports.dialect.EngineCalls`."""

    def write_order_request(self, order: FleetOrder) -> HttpRequest:
        """Encodes an order to an engine as a request."""
        model, _, adapter = order.artifact.partition("/")
        body: dict[str, Any] = {"operation": order.action.value, "model": model}
        if adapter:
            body["adapter"] = adapter
        if order.version and order.action is Action.LOAD:
            body["version"] = order.version
        body["expected_revision"] = order.revision
        body["holder"] = order.holder
        body["fencing_token"] = order.token
        return _make_request(
            b"POST", _ORDER_PATH, order.upstream, order.address, body
        )

    def read_verdict(self, status: int) -> OrderVerdict:
        """Returns the verdict on an order from the status of its answer.

        Unknown statuses count as refusals.
        """
        return _VERDICTS_BY_STATUS.get(status, OrderVerdict.REFUSED)

    def is_leaving(self, head: ResponseHead) -> bool:
        """Whether an answer's headers say that the engine is leaving."""
        return is_leaving(head)

    def write_report_request(self, upstream: str, address: str) -> HttpRequest:
        """Builds the request for an engine's report."""
        return _make_request(b"GET", _REPORT_PATH, upstream, address, None)

    def read_report(self, body: bytes) -> EngineReport:
        """Decodes an engine's report.

        Raises:
            MalformedError: a field is missing or invalid.
        """
        message = _decode(body, _SaidReport)
        return EngineReport(
            revision=message.sequence,
            # Despite its name, the field is set while the engine carries out
            # an order.
            busy=message.busy_slots,
            resident=_collect_resident(message.models),
            incoming=_collect_incoming(message.incoming),
            running=message.running_requests,
            queued=message.queued_requests,
            start=message.born,
            unknown=find_unknown_fields(body, REPORT_FIELDS),
        )

    def make_incarnation_name(self, upstream: str, start: int) -> str:
        """Returns the name of another incarnation of an upstream."""
        return make_incarnation_name(read_instance(upstream), start)


def _make_request(
    method: bytes,
    path: bytes,
    upstream: str,
    address: str,
    body: dict[str, Any] | None,
) -> HttpRequest:
    encoded = msgspec.json.encode(body) if body is not None else b""
    headers = [
        (b"host", address.encode()),
        (b"expect-instance", read_instance(upstream).encode()),
    ]
    if body is not None:
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", b"%d" % len(encoded)))
    return HttpRequest(method, path, tuple(headers), encoded)
