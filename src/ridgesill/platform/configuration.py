"""The operator's configuration document: routes, services and limits."""

from typing import Any

import attrs
import msgspec

from ridgesill.core.serving.customers import (
    Customer,
    Customers,
    Quota,
    digest_key,
)
from ridgesill.core.serving.routes import (
    ClientLimits,
    EngineSpec,
    Model,
    Route,
    RouteTable,
    Service,
    Target,
)

_KINDS = ("safe", "unsafe", "stream")
_MILLISECONDS = 1000.0
_UNITS = ("requests", "tokens")
_KEY_MOST = 256


class InvalidConfigurationError(Exception):
    """A document that must not come in force; says which part and why."""

    def __init__(self, where: str, expected: str) -> None:
        super().__init__(f"{where}: {expected}; nothing was changed")
        self.where = where


@attrs.frozen
class AdapterVersion:
    """An operator's word that a new version of an adapter exists."""

    model: str
    adapter: str
    version: int


def decode_configuration(document: bytes) -> RouteTable:
    """Returns the routes of a document.

    Raises:
        InvalidConfigurationError: it is not valid as a whole.
    """
    parsed = _parse(document)
    version = _integer(parsed, "version", "the configuration")
    services = [_service(item) for item in _list(parsed, "services")]
    names = {service.name for service in services}
    routes = [_route(item, names) for item in _list(parsed, "routes")]
    _check_places(routes)
    limits = parsed.get("limits")
    return RouteTable(
        version,
        routes,
        services,
        _limits(limits) if limits else None,
        _customers(parsed) if parsed.get("tenants") is not None else None,
    )


def decode_adapter_version(document: bytes) -> AdapterVersion:
    """Returns what names a new adapter version.

    Raises:
        InvalidConfigurationError: a field is missing or wrong.
    """
    parsed = _parse(document)
    where = "the adapter's version"
    return AdapterVersion(
        _text(parsed, "model", where),
        str(parsed.get("adapter") or ""),
        _integer(parsed, "version", where),
    )


def _parse(document: bytes) -> dict[str, Any]:
    try:
        parsed = msgspec.json.decode(document)
    except msgspec.DecodeError as error:
        raise InvalidConfigurationError("the body", f"not JSON: {error}") from (
            error
        )
    if not isinstance(parsed, dict):
        raise InvalidConfigurationError("the body", "not a JSON object")
    return parsed


def _list(parsed: dict[str, Any], field: str) -> list[dict[str, Any]]:
    items = parsed.get(field)
    if not isinstance(items, list) or not all(
        isinstance(item, dict) for item in items
    ):
        raise InvalidConfigurationError(field, "not a list of objects")
    return items


def _text(item: dict[str, Any], field: str, where: str) -> str:
    value = item.get(field)
    if not isinstance(value, str) or not value:
        raise InvalidConfigurationError(f"{where}: {field}", "not a text")
    return value


def _integer(item: dict[str, Any], field: str, where: str) -> int:
    value = item.get(field)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise InvalidConfigurationError(
            f"{where}: {field}", "not a whole number"
        )
    return value


def _number(item: dict[str, Any], field: str, default: float = 0.0) -> float:
    value = item.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidConfigurationError(field, "not a number")
    return float(value)


def _route(item: dict[str, Any], services: set[str]) -> Route:
    name = _text(item, "name", "a route")
    where = f"route {name}"
    kind = _text(item, "kind", where)
    if kind not in _KINDS:
        raise InvalidConfigurationError(
            f"{where}: kind", f"not one of {', '.join(_KINDS)}"
        )
    timeout = _number(item, "timeout_ms") / _MILLISECONDS
    if timeout <= 0:
        raise InvalidConfigurationError(f"{where}: timeout_ms", "not above 0")
    return Route(
        name=name,
        host=_text(item, "host", where),
        prefix=_text(item, "prefix", where),
        kind=kind,
        timeout=timeout,
        goal=_number(item, "goal_ms") / _MILLISECONDS,
        priority=int(_number(item, "priority")),
        targets=_targets(item, where, services),
        attempts=max(int(_number(item, "attempts", 1)), 1),
        affinity=bool(item.get("session_affinity", False)),
        resumable=bool(item.get("resumable", False)),
        pause_goal=_number(item, "gap_target_ms") / _MILLISECONDS,
        is_public=bool(item.get("public", False)),
    )


def _targets(
    item: dict[str, Any], where: str, services: set[str]
) -> tuple[Target, ...]:
    split = item.get("split")
    if split:
        targets = tuple(
            Target(
                _text(part, "service", where), _integer(part, "weight", where)
            )
            for part in _list(item, "split")
        )
    else:
        targets = (Target(_text(item, "service", where)),)
    for target in targets:
        if target.service not in services:
            raise InvalidConfigurationError(
                where, f"unknown service {target.service!r}"
            )
    if sum(target.weight for target in targets) <= 0:
        raise InvalidConfigurationError(where, "its weights add up to 0")
    return targets


def _check_places(routes: list[Route]) -> None:
    places: dict[tuple[str, str], str] = {}
    for route in routes:
        place = (route.host.lower(), route.prefix)
        if place in places:
            raise InvalidConfigurationError(
                f"route {route.name}",
                f"same host and prefix as route {places[place]}",
            )
        places[place] = route.name


def _service(item: dict[str, Any]) -> Service:
    name = _text(item, "name", "a service")
    engine = item.get("engine")
    return Service(
        name=name,
        health_path=str(item.get("health_path") or "/"),
        connections=int(_number(item, "connection_limit")),
        engine=_engine(engine) if isinstance(engine, dict) else None,
    )


def _engine(item: dict[str, Any]) -> EngineSpec:
    models = tuple(
        Model(
            name=_text(model, "name", "a model"),
            weights_mb=_number(model, "weights_mb"),
            load_seconds=_number(model, "load_time_s"),
            adapters=int(_number(model, "adapters")),
            adapter_mb=_number(model, "adapter_mb"),
        )
        for model in _list(item, "models")
    )
    return EngineSpec(
        slots=int(_number(item, "slots")),
        weights_mb=_number(item, "weights_mb"),
        adapter_slots=int(_number(item, "adapter_slots")),
        loads_per_second=_number(item, "loads_per_s"),
        models=models,
    )


def _customers(parsed: dict[str, Any]) -> Customers:
    customers: dict[str, Customer] = {}
    holders: dict[bytes, Customer] = {}
    for item in _list(parsed, "tenants"):
        customer = _customer(item)
        where = f"tenant {customer.name}"
        if customer.name in customers:
            raise InvalidConfigurationError(where, "named twice")
        customers[customer.name] = customer
        for digest in _key_digests(item, where):
            holder = holders.setdefault(digest, customer)
            if holder is not customer:
                raise InvalidConfigurationError(
                    f"{where}: api_keys", f"tenant {holder.name} has one too"
                )
    return Customers(tuple(customers.values()), holders)


def _customer(item: dict[str, Any]) -> Customer:
    name = _text(item, "name", "a tenant")
    if not (name.isascii() and name.isprintable()):
        raise InvalidConfigurationError(
            f"tenant {name!r}: name", "not printable ASCII"
        )
    priority = item.get("priority")
    if priority is not None:
        priority = _integer(item, "priority", f"tenant {name}")
    return Customer(name, priority, _quota(item, f"tenant {name}"))


def _key_digests(item: dict[str, Any], where: str) -> list[bytes]:
    """Returns the digests of a tenant's keys; no error shows a key."""
    keys = item.get("api_keys", [])
    if not isinstance(keys, list):
        raise InvalidConfigurationError(f"{where}: api_keys", "not a list")
    if not all(_is_key(key) for key in keys):
        raise InvalidConfigurationError(
            f"{where}: api_keys",
            f"not all are texts of 1 to {_KEY_MOST} visible ASCII characters",
        )
    return [digest_key(key.encode()) for key in keys]


def _is_key(key: Any) -> bool:
    return (
        isinstance(key, str)
        and 0 < len(key) <= _KEY_MOST
        and key.isascii()
        and key.isprintable()
        and " " not in key
    )


def _quota(item: dict[str, Any], where: str) -> Quota | None:
    rate = _number(item, "rate_per_s")
    burst = _number(item, "burst")
    if min(rate, burst) < 0:
        raise InvalidConfigurationError(
            f"{where}: rate_per_s and burst", "not 0 or above"
        )
    unit = item.get("unit") or _UNITS[0]
    if unit not in _UNITS:
        raise InvalidConfigurationError(
            f"{where}: unit", f"not one of {', '.join(_UNITS)}"
        )
    if not rate:
        return None
    plain_tokens = int(_number(item, "plain_tokens"))
    return Quota(rate, burst, unit == "tokens", plain_tokens)


def _limits(item: dict[str, Any]) -> ClientLimits:
    usual = ClientLimits()
    header_ms = _number(item, "header_ms", usual.header_seconds * _MILLISECONDS)
    idle_ms = _number(item, "idle_ms", usual.idle_seconds * _MILLISECONDS)
    return ClientLimits(
        header_bytes=int(_number(item, "header_bytes", usual.header_bytes)),
        body_bytes=int(_number(item, "body_bytes", usual.body_bytes)),
        header_seconds=header_ms / _MILLISECONDS,
        idle_seconds=idle_ms / _MILLISECONDS,
    )
