"""Decodes the operator's documents: configurations and adapter versions."""

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

_ROUTE_KINDS = ("safe", "unsafe", "stream")
_MILLISECONDS_PER_SECOND = 1000.0
_QUOTA_UNITS = ("requests", "tokens")
_MAX_KEY_CHARACTERS = 256


class InvalidConfigurationError(Exception):
    """A document that is rejected as a whole.

    Attributes:
        location: the part of the document that is invalid.
    """

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(f"{location}: {problem}; nothing was changed")
        self.location = location


@attrs.frozen
class AdapterVersion:
    """A new version of a model or adapter, announced by the operator.

    Attributes:
        model: name of the base model.
        adapter: name of the adapter; empty if the model itself has changed.
        version: the new version number.
    """

    model: str
    adapter: str
    version: int


def decode_configuration(document: bytes) -> RouteTable:
    """Decodes and validates a configuration document.

    Raises:
        InvalidConfigurationError: any part of the document is invalid.
    """
    parsed = _parse(document)
    version = _get_integer(parsed, "version", "the configuration")
    services = [
        _decode_service(item) for item in _get_objects(parsed, "services")
    ]
    names = {service.name for service in services}
    routes = [
        _decode_route(item, names) for item in _get_objects(parsed, "routes")
    ]
    _check_unique_prefixes(routes)
    limits = parsed.get("limits")
    return RouteTable(
        version,
        routes,
        services,
        _decode_limits(limits) if limits else None,
        _decode_customers(parsed)
        if parsed.get("tenants") is not None
        else None,
    )


def decode_adapter_version(document: bytes) -> AdapterVersion:
    """Decodes the announcement of a new adapter version.

    Raises:
        InvalidConfigurationError: a field is missing or invalid.
    """
    parsed = _parse(document)
    location = "the adapter's version"
    return AdapterVersion(
        _get_text(parsed, "model", location),
        str(parsed.get("adapter") or ""),
        _get_integer(parsed, "version", location),
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


def _get_objects(parsed: dict[str, Any], field: str) -> list[dict[str, Any]]:
    items = parsed.get(field)
    if not isinstance(items, list) or not all(
        isinstance(item, dict) for item in items
    ):
        raise InvalidConfigurationError(field, "not a list of objects")
    return items


def _get_text(item: dict[str, Any], field: str, location: str) -> str:
    value = item.get(field)
    if not isinstance(value, str) or not value:
        raise InvalidConfigurationError(f"{location}: {field}", "not a text")
    return value


def _get_integer(item: dict[str, Any], field: str, location: str) -> int:
    value = item.get(field)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise InvalidConfigurationError(
            f"{location}: {field}", "not a whole number"
        )
    return value


def _get_number(
    item: dict[str, Any], field: str, default: float = 0.0
) -> float:
    value = item.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidConfigurationError(field, "not a number")
    return float(value)


def _decode_route(item: dict[str, Any], services: set[str]) -> Route:
    name = _get_text(item, "name", "a route")
    location = f"route {name}"
    kind = _get_text(item, "kind", location)
    if kind not in _ROUTE_KINDS:
        raise InvalidConfigurationError(
            f"{location}: kind", f"not one of {', '.join(_ROUTE_KINDS)}"
        )
    timeout = _get_number(item, "timeout_ms") / _MILLISECONDS_PER_SECOND
    if timeout <= 0:
        raise InvalidConfigurationError(
            f"{location}: timeout_ms", "not above 0"
        )
    return Route(
        name=name,
        host=_get_text(item, "host", location),
        prefix=_get_text(item, "prefix", location),
        kind=kind,
        timeout=timeout,
        goal=_get_number(item, "goal_ms") / _MILLISECONDS_PER_SECOND,
        priority=int(_get_number(item, "priority")),
        targets=_decode_targets(item, location, services),
        attempts=max(int(_get_number(item, "attempts", 1)), 1),
        affinity=bool(item.get("session_affinity", False)),
        resumable=bool(item.get("resumable", False)),
        pause_goal=_get_number(item, "gap_target_ms")
        / _MILLISECONDS_PER_SECOND,
        is_public=bool(item.get("public", False)),
    )


def _decode_targets(
    item: dict[str, Any], location: str, services: set[str]
) -> tuple[Target, ...]:
    split = item.get("split")
    if split:
        targets = tuple(
            Target(
                _get_text(part, "service", location),
                _get_integer(part, "weight", location),
            )
            for part in _get_objects(item, "split")
        )
    else:
        targets = (Target(_get_text(item, "service", location)),)
    for target in targets:
        if target.service not in services:
            raise InvalidConfigurationError(
                location, f"unknown service {target.service!r}"
            )
    if sum(target.weight for target in targets) <= 0:
        raise InvalidConfigurationError(location, "its weights add up to 0")
    return targets


def _check_unique_prefixes(routes: list[Route]) -> None:
    names_by_prefix: dict[tuple[str, str], str] = {}
    for route in routes:
        host_and_prefix = (route.host.lower(), route.prefix)
        if host_and_prefix in names_by_prefix:
            raise InvalidConfigurationError(
                f"route {route.name}",
                "same host and prefix as route "
                f"{names_by_prefix[host_and_prefix]}",
            )
        names_by_prefix[host_and_prefix] = route.name


def _decode_service(item: dict[str, Any]) -> Service:
    name = _get_text(item, "name", "a service")
    engine = item.get("engine")
    return Service(
        name=name,
        health_path=str(item.get("health_path") or "/"),
        connections=int(_get_number(item, "connection_limit")),
        engine=_decode_engine(engine) if isinstance(engine, dict) else None,
    )


def _decode_engine(item: dict[str, Any]) -> EngineSpec:
    models = tuple(
        Model(
            name=_get_text(model, "name", "a model"),
            weights_mb=_get_number(model, "weights_mb"),
            load_seconds=_get_number(model, "load_time_s"),
            adapters=int(_get_number(model, "adapters")),
            adapter_mb=_get_number(model, "adapter_mb"),
        )
        for model in _get_objects(item, "models")
    )
    return EngineSpec(
        slots=int(_get_number(item, "slots")),
        weights_mb=_get_number(item, "weights_mb"),
        adapter_slots=int(_get_number(item, "adapter_slots")),
        loads_per_second=_get_number(item, "loads_per_s"),
        models=models,
    )


def _decode_customers(parsed: dict[str, Any]) -> Customers:
    customers: dict[str, Customer] = {}
    holders: dict[bytes, Customer] = {}
    for item in _get_objects(parsed, "tenants"):
        customer = _decode_customer(item)
        location = f"tenant {customer.name}"
        if customer.name in customers:
            raise InvalidConfigurationError(location, "named twice")
        customers[customer.name] = customer
        for digest in _decode_key_digests(item, location):
            holder = holders.setdefault(digest, customer)
            if holder is not customer:
                raise InvalidConfigurationError(
                    f"{location}: api_keys",
                    f"tenant {holder.name} has one too",
                )
    return Customers(tuple(customers.values()), holders)


def _decode_customer(item: dict[str, Any]) -> Customer:
    name = _get_text(item, "name", "a tenant")
    if not (name.isascii() and name.isprintable()):
        raise InvalidConfigurationError(
            f"tenant {name!r}: name", "not printable ASCII"
        )
    priority = item.get("priority")
    if priority is not None:
        priority = _get_integer(item, "priority", f"tenant {name}")
    return Customer(name, priority, _decode_quota(item, f"tenant {name}"))


def _decode_key_digests(item: dict[str, Any], location: str) -> list[bytes]:
    """Returns the digests of a tenant's keys.

    Error messages never contain a key.
    """
    keys = item.get("api_keys", [])
    if not isinstance(keys, list):
        raise InvalidConfigurationError(f"{location}: api_keys", "not a list")
    if not all(_is_valid_key(key) for key in keys):
        raise InvalidConfigurationError(
            f"{location}: api_keys",
            "not all are texts of 1 to "
            f"{_MAX_KEY_CHARACTERS} visible ASCII characters",
        )
    return [digest_key(key.encode()) for key in keys]


def _is_valid_key(key: Any) -> bool:
    return (
        isinstance(key, str)
        and 0 < len(key) <= _MAX_KEY_CHARACTERS
        and key.isascii()
        and key.isprintable()
        and " " not in key
    )


def _decode_quota(item: dict[str, Any], location: str) -> Quota | None:
    rate = _get_number(item, "rate_per_s")
    burst = _get_number(item, "burst")
    if min(rate, burst) < 0:
        raise InvalidConfigurationError(
            f"{location}: rate_per_s and burst", "not 0 or above"
        )
    unit = item.get("unit") or _QUOTA_UNITS[0]
    if unit not in _QUOTA_UNITS:
        raise InvalidConfigurationError(
            f"{location}: unit", f"not one of {', '.join(_QUOTA_UNITS)}"
        )
    if not rate:
        return None
    plain_tokens = int(_get_number(item, "plain_tokens"))
    return Quota(rate, burst, unit == "tokens", plain_tokens)


def _decode_limits(item: dict[str, Any]) -> ClientLimits:
    defaults = ClientLimits()
    header_ms = _get_number(
        item, "header_ms", defaults.header_seconds * _MILLISECONDS_PER_SECOND
    )
    idle_ms = _get_number(
        item, "idle_ms", defaults.idle_seconds * _MILLISECONDS_PER_SECOND
    )
    return ClientLimits(
        header_bytes=int(
            _get_number(item, "header_bytes", defaults.header_bytes)
        ),
        body_bytes=int(_get_number(item, "body_bytes", defaults.body_bytes)),
        header_seconds=header_ms / _MILLISECONDS_PER_SECOND,
        idle_seconds=idle_ms / _MILLISECONDS_PER_SECOND,
    )
