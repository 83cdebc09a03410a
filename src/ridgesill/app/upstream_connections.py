"""Chooses the connection on which a request goes to its upstream.

A new connection to a brittle upstream may take a slot for a moment. The request
that opened it is sent after that, so that one permit covers both.
"""

import asyncio
from collections.abc import Iterable

from eliot import log_message

from ridgesill.adapters.http1.channel import UpstreamChannel
from ridgesill.app.front import Front
from ridgesill.core.fleet.messages import Upstream

# Channels to an upstream that a front may always open, however many fronts
# share the upstream: one in use and one for a request that arrives meanwhile.
_MIN_CHANNELS = 2
# Channels that were idle for longer aren't used, in seconds.
_MAX_IDLE_SECONDS = 60.0
# The same for requests that aren't idempotent: the upstream may just have
# closed the channel.
_UNSAFE_IDLE_SECONDS = 3.0


def _max_idle_seconds(*, is_repeatable: bool) -> float:
    return _MAX_IDLE_SECONDS if is_repeatable else _UNSAFE_IDLE_SECONDS


def list_connected(
    front: Front, upstreams: Iterable[Upstream], *, is_repeatable: bool
) -> list[str]:
    """Returns the names of the upstreams to which a channel is idle.

    Args:
        front: whose channels are looked at.
        upstreams: to look for.
        is_repeatable: whether the request may run twice.
    """
    max_idle_seconds = _max_idle_seconds(is_repeatable=is_repeatable)
    return [
        upstream.name
        for upstream in upstreams
        if front.channels.has_idle(upstream.address, max_idle_seconds)
    ]


async def acquire_channel(
    front: Front, upstream: Upstream, request: str, *, is_repeatable: bool
) -> UpstreamChannel:
    """Returns a channel on which a request can be sent.

    Args:
        front: whose channels are used.
        upstream: where the request goes.
        request: its id; empty if it has none.
        is_repeatable: whether it may run twice.

    Raises:
        ChannelError: no channel could be opened; nothing was sent.
    """
    channel = await front.channels.acquire(
        upstream.address,
        max_idle_seconds=_max_idle_seconds(is_repeatable=is_repeatable),
        max_open=_max_channels(front, upstream.service),
        is_patient=not is_repeatable,
        is_new=not request,
    )
    await _settle(front, upstream, request, channel)
    return channel


async def _settle(
    front: Front, upstream: Upstream, request: str, channel: UpstreamChannel
) -> None:
    """Waits until a new channel takes no slot any more."""
    settle_seconds = front.slots.settle_seconds(upstream.service)
    if not settle_seconds or channel.requests:
        return
    log_message(
        "request:connection_opened",
        request=request,
        upstream=upstream.name,
        settle=round(settle_seconds, 4),
    )
    now = asyncio.get_running_loop().time()
    seconds = channel.opened_at + settle_seconds - now
    if seconds <= 0:
        return
    try:
        await asyncio.sleep(seconds)
    except asyncio.CancelledError:
        front.channels.release_unused(channel)
        raise


def _max_channels(front: Front, service: str) -> int:
    """Returns this front's share of an upstream's channels; 0 for any."""
    known = front.table.services.get(service)
    if known is None or not known.connections:
        return 0
    return max(known.connections // front.fleet.view.fronts, _MIN_CHANNELS)
