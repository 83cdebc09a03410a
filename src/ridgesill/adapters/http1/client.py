"""Channels to upstreams, kept for reuse, and exchanges on them."""

import asyncio
import collections
import socket

from ridgesill.adapters.http1.channel import (
    REQUEST_ID_HEADER,
    ChannelBrokenError,
    UpstreamChannel,
)
from ridgesill.core.addresses import split_address
from ridgesill.ports.http import (
    ChannelError,
    HttpRequest,
    ResponseHead,
    find_header,
)

# After this long without an acknowledgement the kernel gives a channel up;
# without it, a channel to a VM without power hangs for minutes.
_USER_TIMEOUT_MS = 800
# A channel on which nothing is sent is probed after this many seconds of rest:
# one may go silent for good, without a reset, while its answer is awaited. The
# next probe without an acknowledgement in time gives it up, 2 s after the last
# byte; clients give a stream up after two seconds of silence at the least.
_PROBE_INTERVAL_SECONDS = 1


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
            raise self._to_channel_error("head", error) from error
        return self.head

    async def read_data(self) -> bytes:
        """Returns the next part of the body, empty at its whole end."""
        try:
            data = await self._channel.read_data()
        except ChannelBrokenError as error:
            raise self._to_channel_error("body", error) from error
        if not data:
            self._finish()
        return data

    async def read_rest(self) -> bytes:
        """Returns what is left of the body, up to its whole end."""
        parts = []
        while data := await self.read_data():
            parts.append(data)
        return b"".join(parts)

    def _to_channel_error(self, step: str, error: Exception) -> ChannelError:
        self.cancel()
        return ChannelError(step, self._channel.address, str(error), True)

    def _finish(self) -> None:
        assert self.head is not None
        if not self._ended:
            self._ended = True
            self._channels.release(self._channel, self.head)

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
        self._idle: dict[str, list[UpstreamChannel]] = {}
        self._open_channels: dict[str, set[UpstreamChannel]] = {}
        self._opening: collections.Counter[str] = collections.Counter()
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        address: str,
        request: HttpRequest,
        *,
        max_idle_seconds: float = 60.0,
        max_open: int = 0,
    ) -> Exchange:
        """Sends a request.

        Args:
            address: the upstream's.
            request: the request, whole.
            max_idle_seconds: how long a kept channel may have been idle.
            max_open: limit on open channels to this upstream; 0 for none.

        Raises:
            ChannelError: no channel came up; nothing was sent.
        """
        channel = await self.acquire(
            address, max_idle_seconds=max_idle_seconds, max_open=max_open
        )
        return self.start_exchange(channel, request)

    async def acquire(
        self, address: str, *, max_idle_seconds: float = 60.0, max_open: int = 0
    ) -> UpstreamChannel:
        """Returns a channel on which a request can begin.

        Args:
            address: the upstream's.
            max_idle_seconds: how long a kept channel may have been idle.
            max_open: limit on open channels to this upstream; 0 for none.

        Raises:
            ChannelError: no channel came up; nothing was sent.
        """
        channel = self._acquire_idle(address, max_idle_seconds)
        if channel is None:
            self._enforce_limit(address, max_open)
            channel = await self._open(address)
        return channel

    def release_unused(self, channel: UpstreamChannel) -> None:
        """Keeps a channel that was taken and on which nothing was sent."""
        channel.idle_since = self._loop.time()
        self._idle.setdefault(channel.address, []).append(channel)

    def start_exchange(
        self, channel: UpstreamChannel, request: HttpRequest
    ) -> Exchange:
        """Sends a request on a channel that was taken."""
        request_id = find_header(request.headers, REQUEST_ID_HEADER).encode()
        channel.send(request, request_id)
        return Exchange(self, channel)

    def _acquire_idle(
        self, address: str, max_idle_seconds: float
    ) -> UpstreamChannel | None:
        idle = self._idle.get(address, [])
        now = self._loop.time()
        while idle:
            channel = idle.pop()
            idle_seconds = now - channel.idle_since
            if channel.is_open and idle_seconds < channel.idle_timeout_seconds:
                if idle_seconds < max_idle_seconds:
                    return channel
                idle.append(channel)
                return None
            self.discard(channel)
        return None

    def _enforce_limit(self, address: str, max_open: int) -> None:
        """Keeps within the share of an upstream's channels.

        An upstream resets what goes beyond its limit over all callers, and
        then nobody knows whether the request has run.
        """
        open_channels = self._open_channels.setdefault(address, set())
        open_channels.difference_update(
            [c for c in open_channels if not c.is_open]
        )
        if (
            not max_open
            or len(open_channels) + self._opening[address] < max_open
        ):
            return
        idle = self._idle.get(address)
        if not idle:
            detail = (
                f"all {max_open} channels of this process's share are in use"
            )
            raise ChannelError("connect", address, detail, False)
        self.discard(idle.pop(0))

    async def _open(self, address: str) -> UpstreamChannel:
        host, port = split_address(address)
        attempt = self._loop.create_connection(
            lambda: UpstreamChannel(address), host, port
        )
        self._opening[address] += 1
        try:
            transport, channel = await asyncio.wait_for(
                attempt, self._connect_seconds
            )
        except (OSError, TimeoutError) as error:
            detail = str(error) or "no channel came up in time"
            raise ChannelError("connect", address, detail, False) from error
        finally:
            self._opening[address] -= 1
        _enable_keepalive_probes(transport)
        self._open_channels.setdefault(address, set()).add(channel)
        return channel

    async def is_refused(self, address: str) -> bool:
        """Whether nothing takes channels at an address, by a try.

        One that is full or cut off takes it, or says nothing.
        """
        host, port = split_address(address)
        attempt = self._loop.create_connection(asyncio.Protocol, host, port)
        try:
            transport, _ = await asyncio.wait_for(
                attempt, self._connect_seconds
            )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        transport.abort()
        return False

    def release(self, channel: UpstreamChannel, head: ResponseHead) -> None:
        """Keeps a channel whose answer was read whole, if it can be."""
        if channel.finish(head):
            self._idle.setdefault(channel.address, []).append(channel)

    def discard(self, channel: UpstreamChannel) -> None:
        """Closes a channel that is in use or was taken from those at rest."""
        channel.close("given up")

    def prune(self) -> None:
        """Closes channels that have rested for too long."""
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            for channel in list(idle):
                idle_seconds = now - channel.idle_since
                if (
                    not channel.is_open
                    or idle_seconds >= channel.idle_timeout_seconds
                ):
                    idle.remove(channel)
                    self.discard(channel)
            if not idle:
                del self._idle[address]
        for address, open_channels in list(self._open_channels.items()):
            if not any(channel.is_open for channel in open_channels):
                del self._open_channels[address]
        self._opening = +self._opening

    def close(self) -> None:
        """Closes all channels at rest."""
        for idle in self._idle.values():
            while idle:
                self.discard(idle.pop())


def _enable_keepalive_probes(transport: asyncio.BaseTransport) -> None:
    """Has the kernel end a channel whose other side says nothing."""
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
        tcp_socket.setsockopt(
            socket.IPPROTO_TCP, option, _PROBE_INTERVAL_SECONDS
        )
