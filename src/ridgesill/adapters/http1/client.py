"""Channels to upstreams, kept for reuse, and exchanges on them."""

import asyncio
import collections
import socket

import attrs

from ridgesill.adapters.http1.channel import (
    REQUEST_ID,
    ChannelBrokenError,
    UpstreamChannel,
)
from ridgesill.ports.http import (
    ChannelError,
    HttpRequest,
    ResponseHead,
    find_header,
)

# After this long without an acknowledgement the kernel gives a channel up;
# without it, a channel to a VM without power hangs for minutes.
_USER_TIMEOUT_MS = 800


@attrs.define
class _AddressChannels:
    """The channels to one address."""

    resting: collections.deque[UpstreamChannel] = attrs.Factory(
        collections.deque
    )
    open: int = 0


class Exchange:
    """One request and its answer on a channel."""

    def __init__(
        self, channels: "UpstreamChannels", channel: UpstreamChannel
    ) -> None:
        self._channels = channels
        self._channel = channel
        self._ended = False
        self.head: ResponseHead | None = None

    async def read_head(self) -> ResponseHead:
        """Returns the head of the answer, or raises `ChannelError`."""
        try:
            self.head = await self._channel.read_head()
        except ChannelBrokenError as error:
            raise self._error("head", error) from error
        return self.head

    async def read_data(self) -> bytes:
        """Returns the next part of the body, empty at its whole end."""
        try:
            data = await self._channel.read_data()
        except ChannelBrokenError as error:
            raise self._error("body", error) from error
        if not data:
            self._finish()
        return data

    def _error(self, step: str, error: Exception) -> ChannelError:
        self.cancel()
        return ChannelError(step, self._channel.address, str(error), True)

    def _finish(self) -> None:
        assert self.head is not None
        if not self._ended:
            self._ended = True
            self._channels.give_back(self._channel, self.head)

    def cancel(self) -> None:
        """Closes the channel unless the answer was read whole."""
        if not self._ended:
            self._ended = True
            self._channels.discard(self._channel)


class UpstreamChannels:
    """Opens channels to upstreams and keeps those that can be used again.

    Args:
        connect_seconds: within which a channel must come up.
    """

    def __init__(self, connect_seconds: float) -> None:
        self._connect_seconds = connect_seconds
        self._addresses: dict[str, _AddressChannels] = {}
        self._loop = asyncio.get_running_loop()

    async def send(
        self, address: str, request: HttpRequest, *, fresh_within: float = 60.0
    ) -> Exchange:
        """Sends a request.

        Args:
            address: the upstream's.
            request: the request, whole.
            fresh_within: seconds that a kept channel may have rested.

        Raises:
            ChannelError: no channel came up; nothing was sent.
        """
        channel = self._take_resting(address, fresh_within)
        if channel is None:
            channel = await self._open(address)
        request_id = find_header(request.headers, REQUEST_ID).encode()
        channel.send(request, request_id)
        return Exchange(self, channel)

    def _take_resting(
        self, address: str, fresh_within: float
    ) -> UpstreamChannel | None:
        known = self._addresses.get(address)
        if known is None:
            return None
        now = self._loop.time()
        while known.resting:
            channel = known.resting.pop()
            rested = now - channel.rested_at
            if channel.is_open and rested < channel.rest_seconds:
                if rested < fresh_within:
                    return channel
                known.resting.append(channel)
                return None
            self.discard(channel)
        return None

    async def _open(self, address: str) -> UpstreamChannel:
        host, _, port = address.rpartition(":")
        known = self._addresses.setdefault(address, _AddressChannels())
        known.open += 1
        try:
            connecting = self._loop.create_connection(
                lambda: UpstreamChannel(address), host, int(port)
            )
            transport, channel = await asyncio.wait_for(
                connecting, self._connect_seconds
            )
        except (OSError, TimeoutError) as error:
            self._count_closed(address)
            detail = str(error) or "no channel came up in time"
            raise ChannelError("connect", address, detail, False) from error
        except asyncio.CancelledError:
            self._count_closed(address)
            raise
        _set_user_timeout(transport)
        return channel

    def give_back(self, channel: UpstreamChannel, head: ResponseHead) -> None:
        """Keeps a channel whose answer was read whole, if it can be."""
        if channel.finish(head):
            self._addresses[channel.address].resting.append(channel)
        else:
            self._count_closed(channel.address)

    def discard(self, channel: UpstreamChannel) -> None:
        """Closes a channel that is in use or was taken from those at rest."""
        channel.close("given up")
        self._count_closed(channel.address)

    def _count_closed(self, address: str) -> None:
        known = self._addresses.get(address)
        if known is None:
            return
        known.open -= 1
        if known.open <= 0:
            del self._addresses[address]

    def sweep(self) -> None:
        """Closes channels that have rested for too long."""
        now = self._loop.time()
        for known in list(self._addresses.values()):
            for channel in list(known.resting):
                rested = now - channel.rested_at
                if not channel.is_open or rested >= channel.rest_seconds:
                    known.resting.remove(channel)
                    self.discard(channel)

    def close(self) -> None:
        """Closes all channels at rest."""
        for known in list(self._addresses.values()):
            while known.resting:
                self.discard(known.resting.pop())


def _set_user_timeout(transport: asyncio.BaseTransport) -> None:
    opened = transport.get_extra_info("socket")
    if opened is not None:
        opened.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
        )
