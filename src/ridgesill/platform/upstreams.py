"""Upstreams' heartbeats and reports, and orders to them.

What they say may come from another writer: it is decoded into the types below
by the codec, whose errors name the field, or refused.
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

# An upstream that leaves says so in all its answers.
_LEAVING = b"server-leaving"
_ORDER_PATH = b"/ridgesill/order"
_REPORT_PATH = b"/ridgesill/report"
_VERDICTS = {
    200: OrderVerdict.HOLDS,
    202: OrderVerdict.TAKEN,
    409: OrderVerdict.REFUSED,
    412: OrderVerdict.FENCED,
    421: OrderVerdict.MISDIRECTED,
}
# What a path may hold as a name, and an adapter in a list.
_IDENTIFIER = re.compile(r"[A-Za-z0-9._~-]{1,128}")
_LISTED = re.compile(r"[^@]+(@[0-9]{1,15})?")
# Stands between an upstream's own name and its start, and in neither.
_START_MARK = "#"
# Largest number that other programs' JSON keeps whole.
_WHOLE_MOST = 2**53
# Requests that a runner may say it works on at once.
_SLOTS_MOST = 1_000_000
# How much of a decoder's message goes into an answer, in characters.
_DETAIL_MOST = 200
_PORT_MOST = 65535

_Whole = Annotated[int, msgspec.Meta(ge=0, le=_WHOLE_MOST)]
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_T = TypeVar("_T")


class MalformedError(ValueError):
    """What can't be understood; says which field."""


class _HeldModel(msgspec.Struct):
    """A model that an engine holds, with its adapters as NAME@VERSION."""

    name: _Text
    version: _Whole = 1
    adapters: list[_Text] | None = None


class _SaidHeartbeat(msgspec.Struct):
    """A registration or status report, without the fields not used here."""

    service: _Text
    address: _Text
    zone: _Text
    slots: Annotated[int, msgspec.Meta(ge=1, le=_SLOTS_MOST)]
    state: Literal["ready", "draining"]
    # Counts status reports here; in a report it counts orders taken.
    sequence: _Whole
    # The Unix millisecond of its start; older engines don't tell.
    born: _Whole = 0
    remaining_ms: float | None = None
    models: list[_HeldModel] | None = None


class _SaidReport(msgspec.Struct):
    """What an engine says when asked."""

    sequence: _Whole
    born: _Whole = 0
    busy_slots: bool = False
    models: list[_HeldModel] = []
    # Adapters on their way, as MODEL/NAME@VERSION.
    incoming: list[_Text] = []
    running_requests: _Whole = 0
    queued_requests: _Whole = 0


class _SaidLeave(msgspec.Struct):
    """An upstream's word that it leaves, which mostly is empty."""

    born: _Whole = 0


def read_identifier(text: str) -> str:
    """Returns the name that an upstream gives itself in a path.

    Raises:
        MalformedError: it is none.
    """
    if not _IDENTIFIER.fullmatch(text):
        raise MalformedError(f"identifier: not a name: {text[:40]!r}")
    return text


def make_incarnation_name(identifier: str, born: int) -> str:
    """Returns the name by which one start of an upstream is known here.

    What is known of an upstream, and what runs there, ends with its start. A
    name for each keeps a later start apart from it everywhere.
    """
    return f"{identifier}{_START_MARK}{born}" if born else identifier


def read_instance(name: str) -> str:
    """Returns the name that an upstream itself answers to."""
    return name.partition(_START_MARK)[0]


def read_heartbeat(identifier: str, body: bytes) -> Heartbeat:
    """Returns an upstream's heartbeat.

    Raises:
        MalformedError: a field is missing or wrong.
    """
    said = _decode(body, _SaidHeartbeat)
    _check_address(said.address)
    remaining = said.remaining_ms
    return Heartbeat(
        name=make_incarnation_name(identifier, said.born),
        service=said.service,
        address=said.address,
        data_centre=said.zone,
        slots=said.slots,
        draining=said.state == "draining",
        sequence=said.sequence,
        resident=None if said.models is None else _resident(said.models),
        gone_in=None if remaining is None else remaining / 1000,
        instance=identifier,
        start=said.born,
        unknown=find_unknown_fields(body, HEARTBEAT_FIELDS),
    )


def read_leave(body: bytes) -> int:
    """Returns the start that says it leaves; 0 when it doesn't tell.

    Raises:
        MalformedError: the body holds something else.
    """
    return _decode(body, _SaidLeave).born if body.strip() else 0


def _decode(body: bytes, shape: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=shape)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise MalformedError(str(error)[:_DETAIL_MOST]) from error


def _check_address(address: str) -> None:
    try:
        host, port = split_address(address)
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise MalformedError(f"address: {str(error)[:_DETAIL_MOST]}") from error
    if not 0 < port <= _PORT_MOST:
        raise MalformedError(f"address: no port: {port}")


def _resident(models: list[_HeldModel]) -> dict[str, int]:
    """Returns versions by `model` and `model/adapter`."""
    resident = {}
    for model in models:
        resident[model.name] = model.version
        for listed in model.adapters or ():
            adapter, version = _split_listed("models", listed)
            resident[f"{model.name}/{adapter}"] = version
    return resident


def _incoming(listed: list[str]) -> dict[str, int]:
    """Returns versions by artifact."""
    return dict(_split_listed("incoming", item) for item in listed)


def _split_listed(field: str, listed: str) -> tuple[str, int]:
    """Returns name and version of NAME@VERSION."""
    if not _LISTED.fullmatch(listed):
        raise MalformedError(f"{field}: not NAME@VERSION: {listed[:40]!r}")
    name, _, version = listed.partition("@")
    return name, int(version or 1)


def is_leaving(head: ResponseHead) -> bool:
    """Whether an upstream says in any answer that it leaves."""
    return find_header(head.headers, _LEAVING).strip() not in ("", "0")


class PlatformEngines:
    """Implements `ports.dialect.EngineCalls`."""

    def write_order_request(self, order: FleetOrder) -> HttpRequest:
        """Returns the call that carries an order."""
        model, _, adapter = order.artifact.partition("/")
        body: dict[str, Any] = {"operation": order.action.value, "model": model}
        if adapter:
            body["adapter"] = adapter
        if order.version and order.action is Action.LOAD:
            body["version"] = order.version
        body["expected_revision"] = order.revision
        body["holder"] = order.holder
        body["fencing_token"] = order.token
        return _call(b"POST", _ORDER_PATH, order.upstream, order.address, body)

    def read_verdict(self, status: int) -> OrderVerdict:
        """Returns what an answer says of an order."""
        return _VERDICTS.get(status, OrderVerdict.REFUSED)

    def is_leaving(self, head: ResponseHead) -> bool:
        """Whether an engine says in an answer that it leaves."""
        return is_leaving(head)

    def write_report_request(self, upstream: str, address: str) -> HttpRequest:
        """Returns the call that asks an engine for its report."""
        return _call(b"GET", _REPORT_PATH, upstream, address, None)

    def read_report(self, body: bytes) -> EngineReport:
        """Returns what an engine reports.

        Raises:
            MalformedError: a field is missing or wrong.
        """
        said = _decode(body, _SaidReport)
        return EngineReport(
            revision=said.sequence,
            # Whether an order is under way, whatever its name says.
            busy=said.busy_slots,
            resident=_resident(said.models),
            incoming=_incoming(said.incoming),
            running=said.running_requests,
            queued=said.queued_requests,
            start=said.born,
            unknown=find_unknown_fields(body, REPORT_FIELDS),
        )

    def make_incarnation_name(self, upstream: str, start: int) -> str:
        """Returns the name of another start of an upstream."""
        return make_incarnation_name(read_instance(upstream), start)


def _call(
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
