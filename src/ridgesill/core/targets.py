"""Resolves a call against the configuration in force."""

from result import Err, Ok, Result

from ridgesill.core.calls import (
    NO_PLACE,
    UNKNOWN_ADAPTER,
    UNKNOWN_SERVICE,
    UNKNOWN_VERSION,
    Call,
    Refusal,
    Target,
)
from ridgesill.core.configuration import PLAIN, Table
from ridgesill.core.runners import versioned_name


def find_target(call: Call, table: Table) -> Result[Target, Refusal]:
    """Returns the target of a call, or the reason to refuse the call."""
    if call.service:
        return _find_service(call, table)
    return _find_adapter(call, table)


def _find_adapter(call: Call, table: Table) -> Result[Target, Refusal]:
    name, _, version = call.model.partition("@")
    adapter = table.adapters.get(name)
    if adapter is None:
        detail = f"no adapter {name!r} is declared; see GET /v1/models"
        return Err(Refusal(UNKNOWN_ADAPTER, detail))
    version = version or adapter.versions[0]
    if version not in adapter.versions:
        offered = ", ".join(adapter.versions)
        detail = f"{name!r} has no version {version!r}; it has {offered}"
        return Err(Refusal(UNKNOWN_VERSION, detail, team=adapter.team))
    places = table.allowed_places(adapter)
    if not places:
        detail = f"no data centre is allowed for {name!r}"
        return Err(Refusal(NO_PLACE, detail, team=adapter.team))
    weight = table.teams[adapter.team].weight
    return Ok(
        Target(
            adapter.service,
            versioned_name(name, version),
            adapter.team,
            places,
            weight,
        )
    )


def _find_service(call: Call, table: Table) -> Result[Target, Refusal]:
    service = table.services.get(call.service)
    if service is None or service.kind != PLAIN:
        detail = f"no plain service {call.service!r} is declared"
        return Err(Refusal(UNKNOWN_SERVICE, detail))
    team = table.teams.get(call.team)
    weight = team.weight if team else 1.0
    places = table.service_places(service)
    if team and team.places:
        places &= frozenset(team.places)
    if not places:
        detail = f"no data centre is allowed for {call.service!r}"
        return Err(Refusal(NO_PLACE, detail, team=call.team))
    name = team.name if team else ""
    return Ok(Target(service.name, "", name, places, weight))
