"""Makes declarations and applies them over the administration API."""

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


def make_declaration(
    version: int, adapters: int, changed: int = 0
) -> Declaration:
    """Returns a declaration of many adapters.

    Args:
        version: the version of the configuration.
        adapters: the number of adapters.
        changed: the number of adapters that differ from one version to the
            next.
    """
    named_adapters = []
    for number in range(adapters):
        revision = version if number < changed else 1
        team = f"team{number % 50}"
        versions = (f"v{revision + number % 7}",)
        adapter = Adapter(team, "assist", versions)
        named_adapters.append((f"adapter-{number:06d}", adapter))
    return Declaration(
        version,
        f"digest-{version}",
        -1,
        tuple(DataCentre(f"dc{n}", "region") for n in range(3)),
        tuple(Team(f"team{n}") for n in range(50)),
        (Service("assist", base_model="base"),),
        group_adapters(named_adapters),
    )


def apply_declaration(
    deployment: Deployment, node: NodeHandle, declaration: Declaration
) -> bool:
    """Applies a declaration through a node.

    Returns:
        Whether the node answered that the declaration is accepted.
    """
    answer = deployment.admin(
        node,
        "POST",
        "/v1/configuration",
        msgspec.json.encode(declaration),
        {"X-Operation-Id": f"op-{declaration.version}"},
    )
    return bool(answer) and answer.get("verdict") == "accepted"
