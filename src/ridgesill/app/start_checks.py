"""Makes certain which start of an upstream is behind a channel.

An upstream may start again under its identifier and at its address, with other
software, before anybody here has heard of it. A channel that is open since
leads to the same start.
"""

import asyncio
from collections.abc import Awaitable, Callable

from ridgesill.adapters.http1.channel import UpstreamChannel
from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.core.fleet.messages import Upstream
from ridgesill.ports.dialect import Dialect
from ridgesill.ports.http import MAX_REPORT_BYTES, ChannelError, ResponseHead

# How long an upstream may take to tell its start, in seconds.
_ANSWER_SECONDS = 0.3
# Channels that are asked before one request is sent, at most.
_MAX_CHECKS = 3
_OK = 200
# An upstream that has no reports answers with one of these.
_UNKNOWN_CALL_STATUSES = frozenset((404, 405, 501))


class RestartedError(Exception):
    """Another start of the upstream is behind its address."""


async def acquire_checked(
    channels: UpstreamChannels,
    dialect: Dialect,
    upstream: Upstream,
    acquire: Callable[[], Awaitable[UpstreamChannel]],
) -> UpstreamChannel:
    """Returns a channel to this start of an upstream and to no other.

    Args:
        channels: the pool that the channel comes from.
        dialect: writes the question for the start.
        upstream: the start that the channel must lead to.
        acquire: takes a channel from the pool.

    Raises:
        RestartedError: a later start answered.
        ChannelError: no channel could be opened or asked; nothing was sent.
    """
    for _ in range(_MAX_CHECKS):
        channel = await _acquire_current(channels, upstream, acquire)
        if channel.start == upstream.start:
            return channel
        channel.start = await _ask_start(channels, dialect, upstream, channel)
        if channel.start != upstream.start:
            channels.discard(channel)
            raise RestartedError(f"{upstream.name} has started again")
        if channel.is_open:
            return channel
    raise ChannelError("check", upstream.address, "no channel was left", False)


async def _acquire_current(
    channels: UpstreamChannels,
    upstream: Upstream,
    acquire: Callable[[], Awaitable[UpstreamChannel]],
) -> UpstreamChannel:
    """Returns a channel that isn't known to lead to another start.

    A channel is asked for its start once, since the second report of two
    couldn't be told from the first.
    """
    channel = await acquire()
    while channel.start not in (0, upstream.start):
        channels.discard(channel)
        channel = await acquire()
    return channel


async def _ask_start(
    channels: UpstreamChannels,
    dialect: Dialect,
    upstream: Upstream,
    channel: UpstreamChannel,
) -> int:
    """Returns the start that an upstream names on a channel.

    One that doesn't tell counts as the start that is wanted.

    Raises:
        RestartedError: another instance answered.
        ChannelError: no report came, or the answer is none.
    """
    question = dialect.write_start_request(upstream.name, upstream.address)
    exchange = channels.start_exchange(channel, question, is_held=True)
    try:
        async with asyncio.timeout(_ANSWER_SECONDS):
            head = await exchange.read_head()
            body = await exchange.read_rest(MAX_REPORT_BYTES)
    except TimeoutError as error:
        detail = "its start wasn't told in time"
        raise ChannelError("check", upstream.address, detail, False) from error
    except ChannelError as error:
        detail = str(error)
        raise ChannelError("check", upstream.address, detail, False) from error
    finally:
        exchange.cancel()
    if dialect.is_misdirected(head):
        raise RestartedError(f"{upstream.name} is no longer at its address")
    start = _read_start(dialect, head, body)
    if start is None:
        channels.discard(channel)
        detail = f"its answer with status {head.status} isn't a report"
        raise ChannelError("check", upstream.address, detail, False)
    return start or upstream.start


def _read_start(
    dialect: Dialect, head: ResponseHead, body: bytes
) -> int | None:
    """Returns the start in an answer; 0 if it tells none, None if no report.

    An upstream that doesn't know the call tells no start.
    """
    if head.status == _OK:
        return dialect.read_start(body)
    return 0 if head.status in _UNKNOWN_CALL_STATUSES else None
