"""Logs how much a process has sent to its peers, by message type."""

import asyncio

from eliot import log_message

from ridgesill.adapters.peer_rpc import KindTraffic, Traffic

# Each process logs one short line per interval.
_LOG_INTERVAL_SECONDS = 10.0


async def log_traffic(traffic: Traffic) -> None:
    """Logs and resets the counts at each interval, until cancelled."""
    while True:
        await asyncio.sleep(_LOG_INTERVAL_SECONDS)
        kinds, traffic.kinds = traffic.kinds, {}
        log_message(
            "peer:traffic",
            seconds=_LOG_INTERVAL_SECONDS,
            kinds={name: _list_counts(kind) for name, kind in kinds.items()},
        )


def _list_counts(kind: KindTraffic) -> list[int]:
    """Returns messages, bytes, and the bytes to other data centres."""
    return [kind.messages, kind.bytes, kind.far_bytes]
