"""Measures the control plane on real processes: 500 changes under failures.

The leader is killed after 150 changes and a follower loses its disk after 300.
Every node must put every accepted version in force and never revert to an
earlier one.
"""

import sys
import tempfile
import time
from pathlib import Path

import attrs

from bench.declarations import apply_declaration, make_declaration
from bench.usage import percentile, read_usage, resident_bytes
from testing.processes import Deployment, NodeHandle, deployed, wait_until

_CHANGE_COUNT = 500
_ADAPTER_COUNT = 1000
_KILL_LEADER_AFTER = 150
_WIPE_FOLLOWER_AFTER = 300
_SETTINGS = {"limits": {"streams": 8}}
_DATA_CENTRES = ("dc0", "dc1", "dc2")


@attrs.define
class ControlMeasurement:
    """Applies the changes, injects the failures and counts the faults.

    Attributes:
        in_force_seconds: seconds from the acceptance of each change until all
            running nodes have it in force.
        highest_versions: the highest version that each node has shown since
            it was last killed.
        reverted: how often a node showed an earlier version again.
        lost: nodes that lack the last version after all changes, and the
            restarted voter if it lacks it.
        failover: seconds from killing the leader until the next change is in
            force.
        bytes_per_change: bytes that a non-voting node receives from its peers
            per change.
    """

    deployment: Deployment
    in_force_seconds: list[float] = attrs.Factory(list)
    highest_versions: dict[str, int] = attrs.Factory(dict)
    reverted: int = 0
    lost: int = 0
    failover: float = 0.0
    bytes_per_change: float = 0.0

    def running_nodes(self) -> list[NodeHandle]:
        """Returns the nodes whose process is running."""
        return [
            node
            for node in self.deployment.nodes.values()
            if node.running and node.running.is_running
        ]

    def read_version(self, node: NodeHandle) -> int:
        """Returns a node's version in force and records if it reverted.

        A node that does not answer has version 0, which is no reversion.
        """
        shown = self.deployment.show(node)
        version = shown["version"] if shown else 0
        if version < self.highest_versions.get(node.name, 0) and shown:
            self.reverted += 1
        self.highest_versions[node.name] = max(
            version, self.highest_versions.get(node.name, 0)
        )
        return version

    def apply_change(self, version: int) -> None:
        """Applies a version and waits until running nodes have it in force."""
        declaration = make_declaration(version, _ADAPTER_COUNT, changed=2)

        def accepted() -> bool:
            node = self.running_nodes()[version % len(self.running_nodes())]
            return apply_declaration(self.deployment, node, declaration)

        wait_until(accepted, f"version {version} is accepted", 60)
        began = time.monotonic()
        for node in self.running_nodes():
            wait_until(
                lambda node=node: self.read_version(node) >= version,
                f"{node.name} has {version}",
                60,
            )
        self.in_force_seconds.append(time.monotonic() - began)

    def kill_leader(self) -> None:
        """Kills the leader, times the next change and restarts the node."""
        leader = wait_until(self.deployment.leader, "a leader")
        leader.running.kill()
        began = time.monotonic()
        self.apply_change(_KILL_LEADER_AFTER + 1)
        self.failover = time.monotonic() - began
        self.highest_versions.pop(leader.name, None)
        self.deployment.start_node(leader.name)
        wait_until(leader.is_ready, "the old leader is ready")

    def wipe_follower(self) -> None:
        """Deletes a follower's data and waits until it is a voter again."""
        leader = wait_until(self.deployment.leader, "a leader")
        victim = next(
            n
            for n in self.running_nodes()
            if n.is_voter and n.name != leader.name
        )
        victim.running.kill()
        for path in victim.data_folder.iterdir():
            path.unlink()
        self.highest_versions.pop(victim.name, None)
        self.deployment.start_node(victim.name)
        old = f"{victim.name}.0"

        def is_voter_again() -> bool:
            status = self.deployment.status(leader)
            return len(status["voters"]) == 3 and old not in status["voters"]

        wait_until(is_voter_again, "the wiped voter votes again")

    def restart(self) -> float:
        """Kills and starts a voter; returns the seconds until it is ready."""
        leader = wait_until(self.deployment.leader, "a leader")
        voter = next(
            n
            for n in self.running_nodes()
            if n.is_voter and n.name != leader.name
        )
        voter.running.kill()
        began = time.monotonic()
        self.deployment.start_node(voter.name)
        wait_until(voter.is_ready, "the restarted voter is ready")
        restart_seconds = time.monotonic() - began
        self.lost += int(self.read_version(voter) != _CHANGE_COUNT)
        return restart_seconds


def _read_bytes_received(measurement: ControlMeasurement) -> float:
    node = next(n for n in measurement.running_nodes() if not n.is_voter)
    return read_usage(measurement.deployment, node).received


def run(measurement: ControlMeasurement) -> float:
    """Applies all changes with the failures between them.

    Returns:
        The seconds that a voter takes to restart afterwards.
    """
    measurement.apply_change(1)
    for version in range(2, _CHANGE_COUNT + 1):
        # Bytes per change are measured over versions 11 to 110.
        if version == 11:
            before = _read_bytes_received(measurement)
        if version == 111:
            measurement.bytes_per_change = (
                _read_bytes_received(measurement) - before
            ) / 100
        if version == _KILL_LEADER_AFTER + 1:
            measurement.kill_leader()
            continue
        if version == _WIPE_FOLLOWER_AFTER + 1:
            measurement.wipe_follower()
        measurement.apply_change(version)
    for node in measurement.running_nodes():
        measurement.lost += int(measurement.read_version(node) != _CHANGE_COUNT)
    return measurement.restart()


def main() -> int:
    """Runs the measurement; returns 0 if no version was lost or reverted."""
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(Path(name), _SETTINGS)
        for number in range(6):
            data_centre = _DATA_CENTRES[number % 3]
            deployment.add_node(f"n{number}", data_centre, voter=number < 3)
        with deployed(deployment):
            wait_until(deployment.leader, "a leader")
            measurement = ControlMeasurement(deployment)
            restart = run(measurement)
            sizes = [
                sum(p.stat().st_size for p in n.data_folder.iterdir())
                for n in measurement.running_nodes()
                if n.is_voter
            ]
            rss = max(
                resident_bytes(n.running.pid)
                for n in measurement.running_nodes()
            )
    print(
        f"data folder after {_CHANGE_COUNT} changes: {max(sizes)} bytes at most"
    )
    print(
        f"control: changes={_CHANGE_COUNT} lost={measurement.lost} "
        f"reverted={measurement.reverted} "
        f"in_force_p99_s={percentile(measurement.in_force_seconds, 0.99):.3f} "
        f"restart_s={restart:.2f} failover_s={measurement.failover:.2f} "
        f"bytes_per_change_per_node={measurement.bytes_per_change:.0f} "
        f"rss_mb={rss / 2**20:.1f}"
    )
    return int(bool(measurement.lost or measurement.reverted))


if __name__ == "__main__":
    sys.exit(main())
