"""Readings of what processes use, and what their nodes count."""

import os
import re
from pathlib import Path

import attrs
import urllib3

from testing.processes import Deployment, NodeHandle

_TICKS = os.sysconf("SC_CLK_TCK")
_GAUGE = re.compile(rb"^(ridgesill_peer_\w+) ([0-9.e+]+)$", re.MULTILINE)


@attrs.frozen
class Usage:
    """A reading of one node.

    Attributes:
        processor: seconds of processor time so far.
        resident: bytes of memory now.
        sent: bytes sent to peers so far.
        received: bytes received from peers so far.
        messages: messages sent and received so far.
    """

    processor: float
    resident: int
    sent: float
    received: float
    messages: float

    def since(self, before: "Usage") -> "Usage":
        """Returns the difference to an earlier reading."""
        return Usage(
            self.processor - before.processor,
            self.resident,
            self.sent - before.sent,
            self.received - before.received,
            self.messages - before.messages,
        )


def processor_seconds(pid: int) -> float:
    """Returns a process's processor time so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident_bytes(pid: int) -> int:
    """Returns a process's resident memory."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def read_usage(deployment: Deployment, node: NodeHandle) -> Usage:
    """Returns a node's reading."""
    page = urllib3.request(
        "GET",
        f"http://{node.admin}/metrics",
        headers={"Authorization": f"Bearer {deployment.token}"},
    ).data
    gauges = {name.decode(): float(v) for name, v in _GAUGE.findall(page)}
    assert node.running is not None
    prefix = "ridgesill_peer_"
    return Usage(
        processor_seconds(node.running.pid),
        resident_bytes(node.running.pid),
        gauges[f"{prefix}bytes_sent"],
        gauges[f"{prefix}bytes_received"],
        gauges[f"{prefix}messages_sent"] + gauges[f"{prefix}messages_received"],
    )


def percentile(values: list[float], share: float) -> float:
    """Returns a percentile of some values."""
    ranked = sorted(values)
    return ranked[min(int(len(ranked) * share), len(ranked) - 1)]
