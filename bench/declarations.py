"""Declarations for measurements, applied over the administration API."""

import msgspec

from ridgesill.core.configuration import (
    Adapter,
    DataCentre,
    Service,
    Team,
    group_adapters,
)
from ridgesill.core.declaration import Declaration
from testing.processes import Deployment, NodeHandle


def declare(version: int, adapters: int, changed: int = 0) -> Declaration:
    """Returns a declaration of many adapters.

    Args:
        version: its version.
        adapters: how many it has.
        changed: how many differ from one version to the next.
    """
    named = []
    for number in range(adapters):
        revision = version if number < changed else 1
        team = f"team{number % 50}"
        versions = (f"v{revision + number % 7}",)
        adapter = Adapter(team, "assist", versions)
        named.append((f"adapter-{number:06d}", adapter))
    return Declaration(
        version,
        f"digest-{version}",
        -1,
        tuple(DataCentre(f"dc{n}", "region") for n in range(3)),
        tuple(Team(f"team{n}") for n in range(50)),
        (Service("assist", base_model="base"),),
        group_adapters(named),
    )


def apply_declaration(
    deployment: Deployment, node: NodeHandle, declared: Declaration
) -> bool:
    """Applies a declaration through a node; returns whether accepted."""
    answer = deployment.admin(
        node,
        "POST",
        "/v1/configuration",
        msgspec.json.encode(declared),
        {"X-Operation-Id": f"op-{declared.version}"},
    )
    return bool(answer) and answer.get("verdict") == "accepted"
