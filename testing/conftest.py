"""Fixtures that several test modules share."""

import gc
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.demo import make_configuration, make_deployment
from testing.processes import Deployment, deployed, wait_until

# Short leases keep scenarios short; their ratios are those of the defaults.
SHORT_LEASES = {
    "lease": {
        "lease_seconds": 2.0,
        "node_patience_seconds": 2.0,
        "follow_seconds": 0.3,
    },
    "node": {"drain_seconds": 20},
}


@pytest.fixture(autouse=True, scope="module")
def short_collections() -> None:
    """Takes the objects of earlier modules out of garbage collection.

    Late in a run, a full collection would stop the clients and upstreams of a
    test for some tenths of a second, which its time bounds don't allow for.
    """
    gc.collect()
    gc.freeze()


def make_small_deployment(
    folder: Path, settings: dict | None = None
) -> Deployment:
    """Returns the demo's deployment with short leases; doesn't start it."""
    return make_deployment(folder, {**SHORT_LEASES, **(settings or {})})


def configure(deployment: Deployment) -> None:
    """Applies the demo's configuration and waits until nodes serve it."""
    wait_until(deployment.leader, "a leader")
    first = next(iter(deployment.nodes.values()))
    answer = deployment.apply(first, make_configuration())
    assert "accepted" in answer, answer
    deployment.wait_serving()


@pytest.fixture(scope="module")
def serving(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """A running small deployment, shared by tests that don't change it."""
    limits = {"limits": {"body_bytes": 65536, "client_seconds": 2}}
    deployment = make_small_deployment(
        tmp_path_factory.mktemp("serving"), limits
    )
    with deployed(deployment):
        configure(deployment)
        yield deployment


@pytest.fixture
def small(tmp_path: Path) -> Iterator[Deployment]:
    """A running small deployment for a single test that disrupts it."""
    deployment = make_small_deployment(tmp_path)
    with deployed(deployment):
        configure(deployment)
        yield deployment
