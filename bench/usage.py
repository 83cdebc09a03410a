"""Reads the processor time, memory and peer traffic of nodes."""

import os
import re
from pathlib import Path

import attrs
import urllib3

from testing.processes import Deployment, NodeHandle

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PEER_GAUGE = re.compile(rb"^(ridgesill_peer_\w+) ([0-9.e+]+)$", re.MULTILINE)


@attrs.frozen
class Usage:
    """The resource use of one node.

    Attributes:
        processor: seconds of processor time since the process started.
        resident: bytes of resident memory at the time of reading.
        sent: bytes sent to peers since the process started.
        received: bytes received from peers since the process started.
        messages: messages sent to and received from peers since the process
            started.
    """

    processor: float
    resident: int
    sent: float
    received: float
    messages: float

    def since(self, before: "Usage") -> "Usage":
        """Returns the use since an earlier reading, with the memory of now."""
        return Usage(
            self.processor - before.processor,
            self.resident,
            self.sent - before.sent,
            self.received - before.received,
            self.messages - before.messages,
        )


def processor_seconds(pid: int) -> float:
    """Returns the processor seconds of a process since it started."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def read_usage(deployment: Deployment, node: NodeHandle) -> Usage:
    """Reads the use of a running node.

    Its processor time and memory come from /proc, the counts of messages and
    bytes from its metrics.
    """
    page = urllib3.request(
        "GET",
        f"http://{node.admin}/metrics",
        headers={"Authorization": f"Bearer {deployment.token}"},
    ).data
    gauges = {name.decode(): float(v) for name, v in _PEER_GAUGE.findall(page)}
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
    """Returns the value at a share of the ascending order.

    Args:
        values: one value or more.
        share: the percentile as a share, such as 0.95.
    """
    ranked = sorted(values)
    return ranked[min(int(len(ranked) * share), len(ranked) - 1)]
