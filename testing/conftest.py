"""Fixtures that several test modules share."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.demo import make_configuration
from testing.processes import Deployment, deployed, wait_until

# Short leases keep scenarios short; their proportions are the defaults'.
FAST = {
    "lease": {
        "lease_seconds": 2.0,
        "node_patience_seconds": 2.0,
        "follow_seconds": 0.3,
    },
    "node": {"drain_seconds": 20},
}


def wait_serving(deployment: Deployment) -> None:
    """Waits until every running node serves and knows all pools' owners."""
    wanted = {
        f"{s.data_centre}/{s.service}"
        for s in deployment.stand_ins.values()
        if s.running and s.running.is_running
    }
    for node in deployment.nodes.values():
        if not (node.running and node.running.is_running):
            continue
        wait_until(node.is_ready, f"{node.name} is ready")

        def knows_owners() -> bool:
            status = deployment.status(node)  # noqa: B023
            return bool(status) and wanted <= {
                pool["pool"] for pool in status["pools"]
            }

        wait_until(knows_owners, f"{node.name} knows the owners")


def make_small(folder: Path, settings: dict | None = None) -> Deployment:
    """Returns three nodes, two runners and a plain service, not started."""
    deployment = Deployment(folder, {**FAST, **(settings or {})})
    for name, place in (("n1", "east"), ("n2", "east"), ("n3", "west")):
        deployment.add_node(name, place, voter=True)
    engine = {"load_seconds": 0.02}
    deployment.add_stand_in("r1", "assist", "east", engine=engine)
    deployment.add_stand_in("r2", "assist", "west", engine=engine)
    deployment.add_stand_in("t1", "tickets", "east", kind="plain", slots=0)
    return deployment


def configure(deployment: Deployment) -> None:
    """Applies the demo's configuration and waits until it is served."""
    wait_until(deployment.leader, "a leader")
    first = next(iter(deployment.nodes.values()))
    answer = deployment.apply(first, make_configuration())
    assert "accepted" in answer, answer
    wait_serving(deployment)


@pytest.fixture(scope="module")
def serving(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """A small deployment that serves; for tests that leave it as it is."""
    limits = {"limits": {"body_bytes": 65536, "client_seconds": 2}}
    deployment = make_small(tmp_path_factory.mktemp("serving"), limits)
    with deployed(deployment):
        configure(deployment)
        yield deployment


@pytest.fixture
def small(tmp_path: Path) -> Iterator[Deployment]:
    """A small deployment of its own for a test that breaks it."""
    deployment = make_small(tmp_path)
    with deployed(deployment):
        configure(deployment)
        yield deployment
