"""Measures the resource use from which docs/CAPACITY.md is calculated.

For 3 to 100 nodes: what a node of each role uses per idle second and per
configuration change. On a small deployment: the memory and the time to apply
that adapters cost, and the processor time of a runner's announcement.
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

from bench.declarations import apply_declaration, make_declaration
from bench.usage import Usage, read_usage
from ridgesill.adapters.announce_http import ANNOUNCE_PATH
from ridgesill.core.runners import Announcement
from testing.processes import Deployment, NodeHandle, deployed, wait_until

_NODE_COUNTS = (3, 10, 30, 60, 100)
_ADAPTER_COUNTS = (1_000, 20_000, 76_000)
_IDLE_SECONDS = 30.0
_SETTLE_SECONDS = 3.0
_CHANGE_COUNT = 20
_RUNNER_COUNT = 100
_ANNOUNCE_SECONDS = 10
# The settings for the fleet size of docs/CAPACITY.md.
_SETTINGS = {
    "limits": {"streams": 4},
    "lease": {
        "follow_seconds": 2.0,
        "lease_seconds": 8.0,
        "node_patience_seconds": 8.0,
    },
}


@attrs.frozen
class RoleUsage:
    """The mean resource use of the nodes of one role.

    Attributes:
        role: "leader", "voter" or "node".
        nodes: the number of nodes of the role.
        processor: processor seconds per unit.
        bytes: bytes sent to and received from peers, per unit.
        messages: messages sent and received, per unit.
        resident: bytes of resident memory.
    """

    role: str
    nodes: int
    processor: float
    bytes: float
    messages: float
    resident: float

    def format_line(self, per: str) -> str:
        """Returns a line of the report.

        Args:
            per: the unit of the figures, such as "s" or "change".
        """
        return (
            f"  {self.role:>6} ({self.nodes}): "
            f"{self.processor * 1000:.2f} ms processor/{per}, "
            f"{self.bytes:.0f} B/{per}, {self.messages:.1f} messages/{per}, "
            f"{self.resident / 2**20:.1f} MB"
        )


def make_deployment(folder: Path, count: int) -> Deployment:
    """Returns a deployment that is not started.

    Three nodes are voters, or five from 30 nodes on.
    """
    deployment = Deployment(folder, _SETTINGS)
    voters = 3 if count < 30 else 5
    for number in range(count):
        deployment.add_node(
            f"n{number}", f"dc{number % 3}", voter=number < voters
        )
    return deployment


def wait_until_in_force(deployment: Deployment, version: int) -> None:
    """Waits until all nodes have a configuration version in force."""
    for node in deployment.nodes.values():

        def has_version(node: NodeHandle = node) -> bool:
            shown = deployment.show(node)
            return bool(shown) and shown["version"] >= version

        wait_until(has_version, f"{node.name} has version {version}", 60)


def wait_until_joined(deployment: Deployment) -> None:
    """Waits until all nodes have joined, then until their traffic settles."""
    leader = wait_until(deployment.leader, "a leader")

    def have_all_joined() -> bool:
        nodes = deployment.status(leader)["nodes"]
        return len(nodes) == len(deployment.nodes)

    wait_until(have_all_joined, "all nodes have joined")
    time.sleep(_SETTLE_SECONDS)


def read_all_usage(deployment: Deployment) -> dict[str, Usage]:
    """Returns the resource use of every node by name."""
    return {
        name: read_usage(deployment, node)
        for name, node in deployment.nodes.items()
    }


def average_by_role(
    deployment: Deployment, before: dict[str, Usage], divisor: float
) -> list[RoleUsage]:
    """Returns the mean use of each role since an earlier reading.

    Args:
        deployment: the deployment that is measured.
        before: the earlier reading by node.
        divisor: the seconds or changes since then.
    """
    after = read_all_usage(deployment)
    leader = wait_until(deployment.leader, "a leader").name
    by_role: dict[str, list[Usage]] = {}
    for name, node in deployment.nodes.items():
        role = "node"
        if node.is_voter:
            role = "leader" if name == leader else "voter"
        by_role.setdefault(role, []).append(after[name].since(before[name]))
    return [
        RoleUsage(
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
    """Prints what nodes use when idle and per configuration change."""
    with tempfile.TemporaryDirectory() as name:
        deployment = make_deployment(Path(name), count)
        with deployed(deployment):
            first = deployment.nodes["n0"]
            wait_until(deployment.leader, "a leader")
            apply_declaration(deployment, first, make_declaration(1, 1000))
            wait_until_in_force(deployment, 1)
            wait_until_joined(deployment)
            before = read_all_usage(deployment)
            time.sleep(_IDLE_SECONDS)
            idle = average_by_role(deployment, before, _IDLE_SECONDS)
            print(f"{count} nodes, idle:")
            print("\n".join(usage.format_line("s") for usage in idle))
            before = read_all_usage(deployment)
            began = time.monotonic()
            for version in range(2, 2 + _CHANGE_COUNT):
                declaration = make_declaration(version, 1000, changed=5)
                apply_declaration(deployment, first, declaration)
            wait_until_in_force(deployment, 1 + _CHANGE_COUNT)
            took = time.monotonic() - began
            changed = average_by_role(deployment, before, _CHANGE_COUNT)
            print(f"{count} nodes, {_CHANGE_COUNT} changes in {took:.1f} s:")
            print("\n".join(usage.format_line("change") for usage in changed))


def measure_adapters() -> None:
    """Prints the memory and the time to apply for each count of adapters."""
    with tempfile.TemporaryDirectory() as name:
        deployment = make_deployment(Path(name), 4)
        with deployed(deployment):
            first = deployment.nodes["n0"]
            wait_until(deployment.leader, "a leader")
            for version, adapters in enumerate(_ADAPTER_COUNTS, 1):
                declaration = make_declaration(version, adapters)
                began = time.monotonic()
                accepted = apply_declaration(deployment, first, declaration)
                wait_until_in_force(deployment, version)
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
    """Prints the cost of a runner's announcement to its owner."""
    with tempfile.TemporaryDirectory() as name:
        deployment = make_deployment(Path(name), 3)
        with deployed(deployment):
            first = deployment.nodes["n0"]
            wait_until(deployment.leader, "a leader")
            apply_declaration(deployment, first, make_declaration(1, 1000))
            wait_until_in_force(deployment, 1)
            before = read_all_usage(deployment)
            _send_announcements(first)
            usage = read_all_usage(deployment)["n0"].since(before["n0"])
            total = _RUNNER_COUNT * _ANNOUNCE_SECONDS
            print(
                f"{_RUNNER_COUNT} runners announcing each second: "
                f"{usage.processor / total * 1000:.3f} ms processor each, "
                f"idle share included; {usage.resident / 2**20:.1f} MB"
            )


def _send_announcements(node: NodeHandle) -> None:
    pool = urllib3.PoolManager(retries=False, timeout=5)
    url = f"http://{node.runners}{ANNOUNCE_PATH}"
    resident = tuple(f"adapter-{n:06d}@v1" for n in range(16))
    for sequence in range(_ANNOUNCE_SECONDS):
        began = time.monotonic()
        for number in range(_RUNNER_COUNT):
            announcement = Announcement(
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
            pool.request("POST", url, body=msgspec.json.encode(announcement))
        time.sleep(max(0.0, 1.0 - (time.monotonic() - began)))


def main() -> int:
    """Prints all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=max(_NODE_COUNTS))
    most = parser.parse_args().most
    for count in _NODE_COUNTS:
        if count <= most:
            measure_nodes(count)
    measure_adapters()
    measure_announcements()
    return 0


if __name__ == "__main__":
    sys.exit(main())
