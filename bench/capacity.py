"""Measures the slopes that docs/CAPACITY.md is worked out from.

For 3, 10, 30 and 100 nodes: what a node spends idle, by role, and for a
change. On three nodes: what an adapter and an announcement cost.
"""

import argparse
import statistics
import sys
import tempfile
import time
from pathlib import Path

import attrs
import msgspec
import urllib3

from bench.declarations import apply_declaration, declare
from bench.usage import Usage, read_usage
from ridgesill.adapters.announce_http import ANNOUNCE_PATH
from ridgesill.core.runners import Announcement
from testing.processes import Deployment, NodeHandle, deployed, wait_until

_COUNTS = (3, 10, 30, 60, 100)
_ADAPTERS = (1_000, 20_000, 76_000)
_IDLE_SECONDS = 30.0
_SETTLE_SECONDS = 3.0
_CHANGES = 20
_RUNNERS = 100
_ANNOUNCE_SECONDS = 10
# What the letter's size would run with (docs/CAPACITY.md).
_SETTINGS = {
    "limits": {"streams": 4},
    "lease": {
        "follow_seconds": 2.0,
        "lease_seconds": 8.0,
        "node_patience_seconds": 8.0,
    },
}


@attrs.frozen
class Spent:
    """What nodes of a role spent, as means."""

    role: str
    nodes: int
    processor: float
    bytes: float
    messages: float
    resident: float

    def line(self, per: str) -> str:
        """Returns a line of the report."""
        return (
            f"  {self.role:>6} ({self.nodes}): "
            f"{self.processor * 1000:.2f} ms processor/{per}, "
            f"{self.bytes:.0f} B/{per}, {self.messages:.1f} messages/{per}, "
            f"{self.resident / 2**20:.1f} MB"
        )


def make(folder: Path, count: int) -> Deployment:
    """Returns a deployment of some nodes, up to five of them voters."""
    deployment = Deployment(folder, _SETTINGS)
    voters = 3 if count < 30 else 5
    for number in range(count):
        deployment.add_node(
            f"n{number}", f"dc{number % 3}", voter=number < voters
        )
    return deployment


def wait_version(deployment: Deployment, version: int) -> None:
    """Waits until all nodes have a version in force."""
    for node in deployment.nodes.values():

        def has_it(node: NodeHandle = node) -> bool:
            shown = deployment.show(node)
            return bool(shown) and shown["version"] >= version

        wait_until(has_it, f"{node.name} has version {version}", 60)


def wait_joined(deployment: Deployment) -> None:
    """Waits until every node knows every other, so that all is quiet."""
    leader = wait_until(deployment.leader, "a leader")

    def joined() -> bool:
        nodes = deployment.status(leader)["nodes"]
        return len(nodes) == len(deployment.nodes)

    wait_until(joined, "all nodes have joined")
    time.sleep(_SETTLE_SECONDS)


def readings(deployment: Deployment) -> dict[str, Usage]:
    """Returns a reading of every node."""
    return {
        name: read_usage(deployment, node)
        for name, node in deployment.nodes.items()
    }


def summarise(
    deployment: Deployment, before: dict[str, Usage], divisor: float
) -> list[Spent]:
    """Returns what each role has spent since a reading."""
    after = readings(deployment)
    leader = wait_until(deployment.leader, "a leader").name
    by_role: dict[str, list[Usage]] = {}
    for name, node in deployment.nodes.items():
        role = "node"
        if node.is_voter:
            role = "leader" if name == leader else "voter"
        by_role.setdefault(role, []).append(after[name].since(before[name]))
    return [
        Spent(
            role,
            len(used),
            statistics.mean(u.processor for u in used) / divisor,
            statistics.mean(u.sent + u.received for u in used) / divisor,
            statistics.mean(u.messages for u in used) / divisor,
            statistics.mean(u.resident for u in used),
        )
        for role, used in by_role.items()
    ]


def measure_nodes(count: int) -> None:
    """Prints what nodes spend idle and for a change, for a count of them."""
    with tempfile.TemporaryDirectory() as name:
        deployment = make(Path(name), count)
        with deployed(deployment):
            first = deployment.nodes["n0"]
            wait_until(deployment.leader, "a leader")
            apply_declaration(deployment, first, declare(1, 1000))
            wait_version(deployment, 1)
            wait_joined(deployment)
            before = readings(deployment)
            time.sleep(_IDLE_SECONDS)
            idle = summarise(deployment, before, _IDLE_SECONDS)
            print(f"{count} nodes, idle:")
            print("\n".join(spent.line("s") for spent in idle))
            before = readings(deployment)
            began = time.monotonic()
            for version in range(2, 2 + _CHANGES):
                declared = declare(version, 1000, changed=5)
                apply_declaration(deployment, first, declared)
            wait_version(deployment, 1 + _CHANGES)
            took = time.monotonic() - began
            changed = summarise(deployment, before, _CHANGES)
            print(f"{count} nodes, {_CHANGES} changes in {took:.1f} s:")
            print("\n".join(spent.line("change") for spent in changed))


def measure_adapters() -> None:
    """Prints what adapters cost: memory, and time to apply."""
    with tempfile.TemporaryDirectory() as name:
        deployment = make(Path(name), 4)
        with deployed(deployment):
            first = deployment.nodes["n0"]
            wait_until(deployment.leader, "a leader")
            for version, adapters in enumerate(_ADAPTERS, 1):
                declared = declare(version, adapters)
                began = time.monotonic()
                accepted = apply_declaration(deployment, first, declared)
                wait_version(deployment, version)
                took = time.monotonic() - began
                print(f"{adapters} adapters, in force after {took:.2f} s:")
                assert accepted
                for node in deployment.nodes.values():
                    usage = read_usage(deployment, node)
                    role = "voter" if node.is_voter else "node"
                    print(
                        f"  {node.name} ({role}): "
                        f"{usage.resident / 2**20:.1f} MB"
                    )


def measure_announcements() -> None:
    """Prints what a runner's announcement costs its owner."""
    with tempfile.TemporaryDirectory() as name:
        deployment = make(Path(name), 3)
        with deployed(deployment):
            first = deployment.nodes["n0"]
            wait_until(deployment.leader, "a leader")
            apply_declaration(deployment, first, declare(1, 1000))
            wait_version(deployment, 1)
            before = readings(deployment)
            _announce(first)
            spent = readings(deployment)["n0"].since(before["n0"])
            total = _RUNNERS * _ANNOUNCE_SECONDS
            print(
                f"{_RUNNERS} runners announcing each second: "
                f"{spent.processor / total * 1000:.3f} ms processor each, "
                f"idle share included; {spent.resident / 2**20:.1f} MB"
            )


def _announce(node: NodeHandle) -> None:
    pool = urllib3.PoolManager(retries=False, timeout=5)
    url = f"http://{node.runners}{ANNOUNCE_PATH}"
    resident = tuple(f"adapter-{n:06d}@v1" for n in range(16))
    for sequence in range(_ANNOUNCE_SECONDS):
        began = time.monotonic()
        for number in range(_RUNNERS):
            said = Announcement(
                f"r{number}",
                "x",
                "assist",
                "dc0",
                "127.0.0.1:1",
                16,
                16,
                resident,
                {},
                False,
                sequence,
            )
            pool.request("POST", url, body=msgspec.json.encode(said))
        time.sleep(max(0.0, 1.0 - (time.monotonic() - began)))


def main() -> int:
    """Prints all slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=max(_COUNTS))
    most = parser.parse_args().most
    for count in _COUNTS:
        if count <= most:
            measure_nodes(count)
    measure_adapters()
    measure_announcements()
    return 0


if __name__ == "__main__":
    sys.exit(main())
