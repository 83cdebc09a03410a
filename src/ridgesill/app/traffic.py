"""Says at times what a process has sent its peers, by kind of message."""

import asyncio

from eliot import log_message

from ridgesill.adapters.peer_rpc import KindTraffic, Traffic

# How often, in seconds: one short line of each process.
_TELL_SECONDS = 10.0


async def log_traffic(traffic: Traffic) -> None:
    """Logs what was sent since the last line, until cancelled."""
    while True:
        await asyncio.sleep(_TELL_SECONDS)
        kinds, traffic.kinds = traffic.kinds, {}
        log_message(
            "peer:traffic",
            seconds=_TELL_SECONDS,
            kinds={name: _describe(kind) for name, kind in kinds.items()},
        )


def _describe(kind: KindTraffic) -> list[int]:
    """Returns messages, bytes, and of these those to other data centres."""
    return [kind.messages, kind.bytes, kind.far_bytes]
