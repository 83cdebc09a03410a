"""Measures the control plane on real processes: 500 changes under failures.

The leader is killed after 150 changes and a follower's disk is lost after
300. Every node must have every accepted version in force, and never go back.
"""

import sys
import tempfile
import time
from pathlib import Path

import attrs

from bench.declarations import apply_declaration, declare
from bench.usage import percentile, read_usage, resident_bytes
from testing.processes import Deployment, NodeHandle, deployed, wait_until

_CHANGES = 500
_ADAPTERS = 1000
_KILL_AT = 150
_WIPE_AT = 300
_LIMITS = {"limits": {"streams": 8}}
_PLACES = ("dc0", "dc1", "dc2")


@attrs.define
class Control:
    """The run and what it found."""

    deployment: Deployment
    in_force: list[float] = attrs.Factory(list)
    seen: dict[str, int] = attrs.Factory(dict)
    reverted: int = 0
    lost: int = 0
    failover: float = 0.0
    bytes_per_change: float = 0.0

    def running(self) -> list[NodeHandle]:
        """Returns the nodes that run."""
        return [
            node
            for node in self.deployment.nodes.values()
            if node.running and node.running.is_running
        ]

    def version(self, node: NodeHandle) -> int:
        """Returns a node's version in force; notes if it went back."""
        shown = self.deployment.show(node)
        version = shown["version"] if shown else 0
        if version < self.seen.get(node.name, 0) and shown:
            self.reverted += 1
        self.seen[node.name] = max(version, self.seen.get(node.name, 0))
        return version

    def change(self, version: int) -> None:
        """Applies a version and waits until all nodes have it in force."""
        declared = declare(version, _ADAPTERS, changed=2)

        def accepted() -> bool:
            node = self.running()[version % len(self.running())]
            return apply_declaration(self.deployment, node, declared)

        wait_until(accepted, f"version {version} is accepted", 60)
        began = time.monotonic()
        for node in self.running():
            wait_until(
                lambda node=node: self.version(node) >= version,
                f"{node.name} has {version}",
                60,
            )
        self.in_force.append(time.monotonic() - began)

    def kill_leader(self) -> None:
        """Kills the leader and times the next accepted change."""
        leader = wait_until(self.deployment.leader, "a leader")
        leader.running.kill()
        began = time.monotonic()
        self.change(_KILL_AT + 1)
        self.failover = time.monotonic() - began
        self.seen.pop(leader.name, None)
        self.deployment.start_node(leader.name)
        wait_until(leader.is_ready, "the old leader is ready")

    def wipe_follower(self) -> None:
        """Takes a follower's disk away and waits until it votes again."""
        leader = wait_until(self.deployment.leader, "a leader")
        victim = next(
            n for n in self.running() if n.is_voter and n.name != leader.name
        )
        victim.running.kill()
        for path in victim.data_folder.iterdir():
            path.unlink()
        self.seen.pop(victim.name, None)
        self.deployment.start_node(victim.name)
        old = f"{victim.name}.0"

        def votes() -> bool:
            status = self.deployment.status(leader)
            return len(status["voters"]) == 3 and old not in status["voters"]

        wait_until(votes, "the wiped voter votes again")

    def restart(self) -> float:
        """Kills a voter after all changes and times its restart."""
        leader = wait_until(self.deployment.leader, "a leader")
        voter = next(
            n for n in self.running() if n.is_voter and n.name != leader.name
        )
        voter.running.kill()
        began = time.monotonic()
        self.deployment.start_node(voter.name)
        wait_until(voter.is_ready, "the restarted voter is ready")
        took = time.monotonic() - began
        self.lost += int(self.version(voter) != _CHANGES)
        return took


def _bytes_received(control: Control) -> float:
    node = next(n for n in control.running() if not n.is_voter)
    return read_usage(control.deployment, node).received


def run(control: Control) -> float:
    """Makes all changes; returns the restart's seconds."""
    control.change(1)
    for version in range(2, _CHANGES + 1):
        if version == 11:
            before = _bytes_received(control)
        if version == 111:
            control.bytes_per_change = (_bytes_received(control) - before) / 100
        if version == _KILL_AT + 1:
            control.kill_leader()
            continue
        if version == _WIPE_AT + 1:
            control.wipe_follower()
        control.change(version)
    for node in control.running():
        control.lost += int(control.version(node) != _CHANGES)
    return control.restart()


def main() -> int:
    """Runs the measurement; returns 0 if nothing was lost or went back."""
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(Path(name), _LIMITS)
        for number in range(6):
            place = _PLACES[number % 3]
            deployment.add_node(f"n{number}", place, voter=number < 3)
        with deployed(deployment):
            wait_until(deployment.leader, "a leader")
            control = Control(deployment)
            restart = run(control)
            sizes = [
                sum(p.stat().st_size for p in n.data_folder.iterdir())
                for n in control.running()
                if n.is_voter
            ]
            rss = max(resident_bytes(n.running.pid) for n in control.running())
    print(f"data folder after {_CHANGES} changes: {max(sizes)} bytes at most")
    print(
        f"control: changes={_CHANGES} lost={control.lost} "
        f"reverted={control.reverted} "
        f"in_force_p99_s={percentile(control.in_force, 0.99):.3f} "
        f"restart_s={restart:.2f} failover_s={control.failover:.2f} "
        f"bytes_per_change_per_node={control.bytes_per_change:.0f} "
        f"rss_mb={rss / 2**20:.1f}"
    )
    return int(bool(control.lost or control.reverted))


if __name__ == "__main__":
    sys.exit(main())
