"""Upstreams' heartbeats and reports, and orders to them."""

from typing import Any

import msgspec

from ridgesill.core.fleet.messages import Heartbeat
from ridgesill.core.fleet.orders import (
    Action,
    EngineReport,
    FleetOrder,
    OrderVerdict,
)
from ridgesill.ports.http import HttpRequest

_ORDER_PATH = b"/ridgesill/order"
_REPORT_PATH = b"/ridgesill/report"
_VERDICTS = {
    200: OrderVerdict.HOLDS,
    202: OrderVerdict.TAKEN,
    409: OrderVerdict.REFUSED,
    412: OrderVerdict.FENCED,
    421: OrderVerdict.MISDIRECTED,
}


class MalformedError(ValueError):
    """A body that can't be understood; says which field."""


def read_heartbeat(name: str, body: bytes) -> Heartbeat:
    """Returns an upstream's heartbeat.

    Raises:
        MalformedError: a field is missing or wrong.
    """
    said = _object(body)
    try:
        remaining = said.get("remaining_ms")
        models = said.get("models")
        return Heartbeat(
            name=name,
            service=str(said["service"]),
            address=str(said["address"]),
            data_centre=str(said["zone"]),
            slots=int(said.get("slots") or 1),
            draining=said.get("state") == "draining",
            # Counts heartbeats here; in a report it counts orders taken.
            sequence=int(said.get("sequence") or 0),
            resident=None if models is None else _resident(models),
            gone_in=None if remaining is None else float(remaining) / 1000,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedError(f"heartbeat of {name}: {error!r}") from error


def _object(body: bytes) -> dict[str, Any]:
    try:
        said = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise MalformedError(f"not JSON: {error}") from error
    if not isinstance(said, dict):
        raise MalformedError("not a JSON object")
    return said


def _resident(models: list[dict[str, Any]]) -> dict[str, int]:
    """Returns versions by `model` and `model/adapter`."""
    resident = {}
    for model in models:
        name = str(model["name"])
        resident[name] = int(model.get("version") or 1)
        for listed in model.get("adapters") or ():
            adapter, _, version = str(listed).partition("@")
            resident[f"{name}/{adapter}"] = int(version or 1)
    return resident


def _incoming(listed: list[str]) -> dict[str, int]:
    """Returns versions by artifact, from MODEL/NAME@VERSION."""
    incoming = {}
    for item in listed:
        artifact, _, version = str(item).partition("@")
        incoming[artifact] = int(version or 1)
    return incoming


class PlatformEngines:
    """Implements `ports.dialect.EngineCalls`."""

    def write_order(self, order: FleetOrder) -> HttpRequest:
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

    def ask_report(self, upstream: str, address: str) -> HttpRequest:
        """Returns the call that asks an engine for its report."""
        return _call(b"GET", _REPORT_PATH, upstream, address, None)

    def read_report(self, body: bytes) -> EngineReport:
        """Returns what an engine reports.

        Raises:
            MalformedError: a field is missing or wrong.
        """
        said = _object(body)
        try:
            return EngineReport(
                # Counts orders taken here; in a heartbeat, heartbeats.
                revision=int(said["sequence"]),
                # Whether an order is under way, whatever its name says.
                busy=bool(said.get("busy_slots")),
                resident=_resident(said.get("models") or []),
                incoming=_incoming(said.get("incoming") or []),
                running=int(said.get("running_requests") or 0),
                queued=int(said.get("queued_requests") or 0),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise MalformedError(f"report: {error!r}") from error


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
        (b"expect-instance", upstream.encode()),
    ]
    if body is not None:
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", b"%d" % len(encoded)))
    return HttpRequest(method, path, tuple(headers), encoded)
